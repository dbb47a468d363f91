package shard

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"carawayrouter.example/router/internal/clock"
	"carawayrouter.example/router/internal/member"
	"carawayrouter.example/router/internal/peer"
	"carawayrouter.example/router/internal/platform"
	"carawayrouter.example/router/internal/platform/memplatform"
)

// cluster is a data centre of shard controllers with membership decided by the test.
type cluster struct {
	clock       *clock.Fake
	store       *memplatform.Store
	lateCommits []platform.Txn // commits with unknown outcome that have not taken effect
	loseCommits bool           // commits get lost in this way
	nodes       map[string]*node
	dead        map[member.Session]bool
	epoch       uint64
	// lastHeld is the epoch under which each shard was last held, and by whom.
	lastHeld  map[Key]Assignment
	violation string
}

// node is one process; it implements Members.
type node struct {
	*Controller
	w            *cluster
	self         member.Session
	unresponsive bool // neither hears nor acts
	fenced       chan struct{}
}

func newCluster() *cluster {
	c := clock.NewFake(time.Unix(1000, 0))
	return &cluster{
		clock: c, store: memplatform.New(memplatform.Options{Clock: c}),
		nodes: map[string]*node{}, dead: map[member.Session]bool{}, lastHeld: map[Key]Assignment{},
	}
}

func (w *cluster) start(t assert.TestingT, name string) *node {
	if old := w.nodes[name]; old != nil {
		w.kill(name)
	}
	w.epoch++
	n := &node{
		w: w, fenced: make(chan struct{}),
		self: member.Session{Name: name, Addr: name, DataCentre: "a", Epoch: w.epoch},
	}
	c, err := NewController(Options{
		Members: n, Table: w, Caller: w, Clock: w.clock, Rand: rand.New(rand.NewPCG(w.epoch, 1)),
	})
	assert.NilError(t, err)
	n.Controller = c
	w.nodes[name] = n
	return n
}

// kill ends a process and proves its death.
func (w *cluster) kill(name string) {
	n := w.nodes[name]
	close(n.fenced)
	w.dead[n.self] = true
	delete(w.nodes, name)
}

func (n *node) View() *member.View {
	v := &member.View{Self: n.self}
	for i := range 9 {
		name := fmt.Sprintf("i%d", i)
		if o := n.w.nodes[name]; o != nil && o != n && !o.unresponsive {
			v.Peers = append(v.Peers, o.self)
		}
	}
	return v
}

func (n *node) ActiveEpoch() (uint64, bool) {
	return n.self.Epoch, !n.unresponsive && !n.w.dead[n.self]
}

func (n *node) Dead(_ context.Context, s member.Session) (bool, error) { return n.w.dead[s], nil }

func (n *node) Fenced() <-chan struct{} { return n.fenced }

func (w *cluster) Call(_ context.Context, addr, method string, args, reply any) error {
	n := w.nodes[addr]
	if n == nil || n.unresponsive {
		return peer.ErrUnreachable
	}
	s := &Service{n.Controller}
	switch a := args.(type) {
	case SyncArgs:
		return s.Sync(a, reply.(*SyncReply))
	case ReadyArgs:
		return s.Ready(a, reply.(*ReadyReply))
	case OfferArgs:
		return s.Offer(a, reply.(*OfferReply))
	case LookupArgs:
		return s.Lookup(a, reply.(*LookupReply))
	}
	return errors.Newf("no method %s", method)
}

func (w *cluster) Get(ctx context.Context, keys ...string) ([]platform.Row, error) {
	return w.store.For("a").Table.Get(ctx, keys...)
}

func (w *cluster) Scan(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	return w.store.For("a").Table.Scan(ctx, prefix, after, limit)
}

func (w *cluster) Commit(ctx context.Context, t platform.Txn) (uint64, error) {
	for _, wr := range t.Writes {
		k, _ := parseKey(wr.Key)
		r, _ := parseRow(k, platform.Row{Version: 1, Value: wr.Value})
		for _, n := range w.nodes {
			if _, held := n.Held(k); held && r.released() {
				w.violation = fmt.Sprintf("%s was held while its release was written", k)
			}
		}
	}
	if w.loseCommits {
		w.lateCommits = append(w.lateCommits, t)
		return 0, platform.ErrUnknownOutcome
	}
	return w.store.For("a").Table.Commit(ctx, t)
}

// applyLateCommits makes the lost commits take effect.
func (w *cluster) applyLateCommits() {
	for _, t := range w.lateCommits {
		_, _ = w.store.For("a").Table.Commit(context.Background(), t)
	}
	w.lateCommits = nil
}

func (w *cluster) rounds(t assert.TestingT, n int) {
	for range n {
		w.clock.Advance(DefaultRoundEvery)
		for i := range 9 {
			if o := w.nodes[fmt.Sprintf("i%d", i)]; o != nil && !o.unresponsive {
				o.Round(context.Background())
			}
		}
		w.checkInvariants(t)
	}
}

// checkInvariants holds the world to the invariants: one holder of a shard at a time, and a
// higher epoch for each new one.
func (w *cluster) checkInvariants(t assert.TestingT) {
	assert.Equal(t, w.violation, "")
	now := map[Key]*node{}
	for _, n := range w.nodes {
		for k, epoch := range n.Holdings() {
			assert.Assert(t, now[k] == nil, "%s is held twice", k)
			now[k] = n
			last := w.lastHeld[k]
			assert.Assert(t, epoch > last.Epoch || epoch == last.Epoch && last.Home == n.self,
				"%s: epoch %d after %d", k, epoch, last.Epoch)
			w.lastHeld[k] = Assignment{Key: k, Home: n.self, Epoch: epoch}
		}
	}
}

func (w *cluster) loads() map[string]int {
	out := map[string]int{}
	for name, n := range w.nodes {
		out[name] = len(n.Holdings())
	}
	return out
}

func TestShardsAreTakenAndBalanced(t *testing.T) {
	w := newCluster()
	w.start(t, "i1")
	w.rounds(t, 3)
	assert.DeepEqual(t, w.loads(), map[string]int{"i1": Count})
	w.start(t, "i2")
	w.rounds(t, 2)
	assert.Equal(t, w.loads()["i2"], 0, "a new member is not given shards at once")
	w.rounds(t, 60)
	assert.DeepEqual(t, w.loads(), map[string]int{"i1": Count / 2, "i2": Count / 2})
}

func TestSixMembersBalance(t *testing.T) {
	w := newCluster()
	for i := range 6 {
		w.start(t, fmt.Sprintf("i%d", i))
		w.rounds(t, 1)
	}
	w.rounds(t, 120)
	for name, n := range w.loads() {
		assert.Assert(t, n >= Count/6-1 && n <= Count/6+1, "%s is home of %d shards: %v", name, n, w.loads())
	}
}

func TestUnresponsiveHomeKeepsItsShardsUntilItsDeathIsProved(t *testing.T) {
	w := newCluster()
	a := w.start(t, "i1")
	w.start(t, "i2")
	w.rounds(t, 60)
	a.unresponsive = true
	w.rounds(t, 60)
	assert.Equal(t, w.loads()["i2"], Count/2)
	w.kill("i1")
	w.rounds(t, 5)
	assert.Equal(t, w.loads()["i2"], Count)
}

func TestReleaseHandsShardsOverAtOnce(t *testing.T) {
	w := newCluster()
	a := w.start(t, "i1")
	w.start(t, "i2")
	w.rounds(t, 60)
	var lost []Key
	a.OnLose(func(k Key, _ uint64) {
		_, held := a.Held(k)
		assert.Assert(t, !held)
		lost = append(lost, k)
	})
	assert.NilError(t, a.Release(context.Background()))
	assert.Equal(t, len(lost), Count/2)
	w.rounds(t, 1)
	assert.Equal(t, w.loads()["i2"], Count)
}

func TestReleaseWithUnknownOutcomeIsNotTakenBack(t *testing.T) {
	w := newCluster()
	a := w.start(t, "i1")
	w.rounds(t, 3)
	w.loseCommits = true
	assert.Assert(t, a.Release(context.Background()) != nil)
	w.rounds(t, 5)
	assert.Equal(t, len(a.Holdings()), 0)
	w.loseCommits = false
	w.rounds(t, 2)
	w.applyLateCommits()
	w.rounds(t, 2)
	rows, err := w.Scan(context.Background(), RowPrefix, "", Count)
	assert.NilError(t, err)
	for _, r := range parseRows(rows) {
		assert.Assert(t, r.released() && r.Version > 0, "%s", r.Key)
	}
}

// A member that hears its peers but not the table is given no shards, which would stay
// without a home.
func TestMemberWithoutTheStoreIsGivenNoShards(t *testing.T) {
	w := newCluster()
	w.start(t, "i1")
	w.rounds(t, 3)
	b := w.start(t, "i2")
	cut := memplatform.New(memplatform.Options{})
	cut.Down(true)
	b.opts.Table = cut.For("a").Table
	w.rounds(t, 60)
	assert.DeepEqual(t, w.loads(), map[string]int{"i1": Count, "i2": 0})
	b.opts.Table = w
	w.rounds(t, 90)
	assert.Equal(t, w.loads()["i2"], Count/2)
}

func TestOlderReadIsIgnored(t *testing.T) {
	w := newCluster()
	a := w.start(t, "i1")
	w.rounds(t, 3)
	k := Key{DataCentre: "a"}
	old := a.records[k]
	assert.NilError(t, a.Release(context.Background()))
	a.updateRecords([]Record{old})
	_, held := a.Held(k)
	assert.Assert(t, !held)
}

func TestHomeOfAnotherDataCentreIsLookedUp(t *testing.T) {
	w := newCluster()
	n := w.start(t, "i1")
	k := Key{DataCentre: "b", Index: 7}
	home := member.Session{Name: "x", Addr: "x", DataCentre: "b", Epoch: 3}
	_, err := w.Commit(context.Background(), platform.Txn{
		Writes: []platform.Write{Assignment{Key: k, Home: home, Epoch: 5}.write()},
	})
	assert.NilError(t, err)
	_, ok := n.Home(k)
	assert.Assert(t, !ok)
	n.lookup(context.Background(), n.drainLookups(<-n.lookups))
	a, ok := n.Home(k)
	assert.Assert(t, ok)
	assert.DeepEqual(t, a, Assignment{Key: k, Home: home, Epoch: 5})
	assert.Equal(t, len(n.lookups), 0, "a cached row is not looked up again")
	n.Refresh(k)
	assert.Equal(t, len(n.lookups), 1)
}

func TestPlacementMovesFewShards(t *testing.T) {
	var members []member.Session
	for i := range 24 {
		members = append(members, member.Session{Name: fmt.Sprintf("i%02d", i), Epoch: 1})
	}
	before := place(members)
	after := place(members[1:])
	moved := 0
	for i := range before {
		if before[i] != after[i] {
			moved++
		}
	}
	assert.Assert(t, moved <= Count/4, "%d shards moved", moved)
}

// Processes come, fall silent, wake, die and are replaced while commits are lost or
// land late: no shard is ever held twice, epochs rise, and after the faults end every
// shard is held by a live process.
func TestShardHasOneHolderAtATime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newCluster()
		name := rapid.SampledFrom([]string{"i1", "i2", "i3"})
		w.start(t, "i1")
		w.rounds(t, 3)
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) { w.checkInvariants(t) },
			"run": func(t *rapid.T) {
				w.rounds(t, rapid.IntRange(1, 20).Draw(t, "rounds"))
			},
			"start": func(t *rapid.T) { w.start(t, name.Draw(t, "name")) },
			"die": func(t *rapid.T) {
				if n := name.Draw(t, "name"); w.nodes[n] != nil {
					w.kill(n)
				}
			},
			"silence": func(t *rapid.T) {
				if n := w.nodes[name.Draw(t, "name")]; n != nil {
					n.unresponsive = !n.unresponsive
				}
			},
			"release": func(t *rapid.T) {
				if n := w.nodes[name.Draw(t, "name")]; n != nil && !n.unresponsive {
					_ = n.Release(context.Background())
				}
			},
			"lose commits": func(t *rapid.T) { w.loseCommits = rapid.Bool().Draw(t, "lose") },
			"land commits": func(*rapid.T) { w.applyLateCommits() },
			"store":        func(t *rapid.T) { w.store.Down(rapid.Bool().Draw(t, "down")) },
		})
		w.store.Down(false)
		w.loseCommits = false
		w.applyLateCommits()
		for n := range w.nodes {
			w.kill(n)
		}
		w.start(t, "i4")
		w.start(t, "i5")
		w.rounds(t, 80)
		assert.DeepEqual(t, w.loads(), map[string]int{"i4": Count / 2, "i5": Count / 2})
	})
}
