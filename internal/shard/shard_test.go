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

// cluster is a data centre of shard controllers whose membership the test controls.
type cluster struct {
	clock       *clock.Fake
	store       *memplatform.Store
	lateCommits []platform.Txn // commits with unknown outcome that have not taken effect yet
	loseCommits bool           // commits are deferred with an unknown outcome
	nodes       map[string]*node
	dead        map[member.Session]bool
	epoch       uint64
	// lastHeld is the epoch under which each shard was last held, and its holder.
	lastHeld  map[Key]Assignment
	violation string
}

// node is one process; it implements Members.
type node struct {
	*Controller
	cluster      *cluster
	self         member.Session
	unresponsive bool // receives no calls and runs no rounds
	fenced       chan struct{}
}

func newCluster() *cluster {
	c := clock.NewFake(time.Unix(1000, 0))
	return &cluster{
		clock: c, store: memplatform.New(memplatform.Options{Clock: c}),
		nodes: map[string]*node{}, dead: map[member.Session]bool{}, lastHeld: map[Key]Assignment{},
	}
}

func (cl *cluster) start(t assert.TestingT, name string) *node {
	if old := cl.nodes[name]; old != nil {
		cl.kill(name)
	}
	cl.epoch++
	n := &node{
		cluster: cl, fenced: make(chan struct{}),
		self: member.Session{Name: name, Addr: name, DataCentre: "a", Epoch: cl.epoch},
	}
	c, err := NewController(Options{
		Members: n, Table: cl, Caller: cl, Clock: cl.clock, Rand: rand.New(rand.NewPCG(cl.epoch, 1)),
	})
	assert.NilError(t, err)
	n.Controller = c
	cl.nodes[name] = n
	return n
}

// kill ends a process and records its session as dead.
func (cl *cluster) kill(name string) {
	n := cl.nodes[name]
	close(n.fenced)
	cl.dead[n.self] = true
	delete(cl.nodes, name)
}

func (n *node) View() *member.View {
	v := &member.View{Self: n.self}
	for i := range 9 {
		name := fmt.Sprintf("i%d", i)
		if o := n.cluster.nodes[name]; o != nil && o != n && !o.unresponsive {
			v.Peers = append(v.Peers, o.self)
		}
	}
	return v
}

func (n *node) ActiveEpoch() (uint64, bool) {
	return n.self.Epoch, !n.unresponsive && !n.cluster.dead[n.self]
}

func (n *node) Dead(_ context.Context, s member.Session) (bool, error) { return n.cluster.dead[s], nil }

func (n *node) Fenced() <-chan struct{} { return n.fenced }

func (cl *cluster) Call(_ context.Context, addr, method string, args, reply any) error {
	n := cl.nodes[addr]
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

func (cl *cluster) Get(ctx context.Context, keys ...string) ([]platform.Row, error) {
	return cl.store.For("a").Table.Get(ctx, keys...)
}

func (cl *cluster) Scan(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	return cl.store.For("a").Table.Scan(ctx, prefix, after, limit)
}

func (cl *cluster) Commit(ctx context.Context, t platform.Txn) (uint64, error) {
	for _, wr := range t.Writes {
		k, _ := parseKey(wr.Key)
		r, _ := parseRow(k, platform.Row{Version: 1, Value: wr.Value})
		for _, n := range cl.nodes {
			if _, held := n.Held(k); held && r.released() {
				cl.violation = fmt.Sprintf("%s was held while its release was written", k)
			}
		}
	}
	if cl.loseCommits {
		cl.lateCommits = append(cl.lateCommits, t)
		return 0, platform.ErrUnknownOutcome
	}
	return cl.store.For("a").Table.Commit(ctx, t)
}

// applyLateCommits makes the deferred commits take effect.
func (cl *cluster) applyLateCommits() {
	for _, t := range cl.lateCommits {
		_, _ = cl.store.For("a").Table.Commit(context.Background(), t)
	}
	cl.lateCommits = nil
}

func (cl *cluster) rounds(t assert.TestingT, n int) {
	for range n {
		cl.clock.Advance(DefaultRoundEvery)
		for i := range 9 {
			if o := cl.nodes[fmt.Sprintf("i%d", i)]; o != nil && !o.unresponsive {
				o.Round(context.Background())
			}
		}
		cl.checkInvariants(t)
	}
}

// checkInvariants asserts that each shard has at most one holder and that every new
// holder has a higher epoch.
func (cl *cluster) checkInvariants(t assert.TestingT) {
	assert.Equal(t, cl.violation, "")
	now := map[Key]*node{}
	for _, n := range cl.nodes {
		for k, epoch := range n.Holdings() {
			assert.Assert(t, now[k] == nil, "%s is held twice", k)
			now[k] = n
			last := cl.lastHeld[k]
			assert.Assert(t, epoch > last.Epoch || epoch == last.Epoch && last.Home == n.self,
				"%s: epoch %d after %d", k, epoch, last.Epoch)
			cl.lastHeld[k] = Assignment{Key: k, Home: n.self, Epoch: epoch}
		}
	}
}

func (cl *cluster) loads() map[string]int {
	out := map[string]int{}
	for name, n := range cl.nodes {
		out[name] = len(n.Holdings())
	}
	return out
}

func TestShardsAreTakenAndBalanced(t *testing.T) {
	cl := newCluster()
	cl.start(t, "i1")
	cl.rounds(t, 3)
	assert.DeepEqual(t, cl.loads(), map[string]int{"i1": Count})
	cl.start(t, "i2")
	cl.rounds(t, 2)
	assert.Equal(t, cl.loads()["i2"], 0, "a new member is not given shards before StableFor")
	cl.rounds(t, 60)
	assert.DeepEqual(t, cl.loads(), map[string]int{"i1": Count / 2, "i2": Count / 2})
}

func TestSixMembersBalance(t *testing.T) {
	cl := newCluster()
	for i := range 6 {
		cl.start(t, fmt.Sprintf("i%d", i))
		cl.rounds(t, 1)
	}
	cl.rounds(t, 120)
	for name, n := range cl.loads() {
		assert.Assert(t, n >= Count/6-1 && n <= Count/6+1, "%s is home of %d shards: %v", name, n, cl.loads())
	}
}

func TestUnresponsiveHomeKeepsItsShardsUntilItsDeathIsProved(t *testing.T) {
	cl := newCluster()
	a := cl.start(t, "i1")
	cl.start(t, "i2")
	cl.rounds(t, 60)
	a.unresponsive = true
	cl.rounds(t, 60)
	assert.Equal(t, cl.loads()["i2"], Count/2)
	cl.kill("i1")
	cl.rounds(t, 5)
	assert.Equal(t, cl.loads()["i2"], Count)
}

func TestReleaseHandsShardsOverAtOnce(t *testing.T) {
	cl := newCluster()
	a := cl.start(t, "i1")
	cl.start(t, "i2")
	cl.rounds(t, 60)
	var lost []Key
	a.OnLose(func(k Key, _ uint64) {
		_, held := a.Held(k)
		assert.Assert(t, !held)
		lost = append(lost, k)
	})
	assert.NilError(t, a.Release(context.Background()))
	assert.Equal(t, len(lost), Count/2)
	cl.rounds(t, 1)
	assert.Equal(t, cl.loads()["i2"], Count)
}

func TestReleaseWithUnknownOutcomeIsNotTakenBack(t *testing.T) {
	cl := newCluster()
	a := cl.start(t, "i1")
	cl.rounds(t, 3)
	cl.loseCommits = true
	assert.Assert(t, a.Release(context.Background()) != nil)
	cl.rounds(t, 5)
	assert.Equal(t, len(a.Holdings()), 0)
	cl.loseCommits = false
	cl.rounds(t, 2)
	cl.applyLateCommits()
	cl.rounds(t, 2)
	rows, err := cl.Scan(context.Background(), RowPrefix, "", Count)
	assert.NilError(t, err)
	for _, r := range parseRows(rows) {
		assert.Assert(t, r.released() && r.Version > 0, "%s", r.Key)
	}
}

// A member that reaches its peers but not the store must not be given shards: it could
// not claim them, and they would have no home.
func TestMemberWithoutTheStoreIsGivenNoShards(t *testing.T) {
	cl := newCluster()
	cl.start(t, "i1")
	cl.rounds(t, 3)
	b := cl.start(t, "i2")
	cut := memplatform.New(memplatform.Options{})
	cut.Down(true)
	b.opts.Table = cut.For("a").Table
	cl.rounds(t, 60)
	assert.DeepEqual(t, cl.loads(), map[string]int{"i1": Count, "i2": 0})
	b.opts.Table = cl
	cl.rounds(t, 90)
	assert.Equal(t, cl.loads()["i2"], Count/2)
}

func TestOlderReadIsIgnored(t *testing.T) {
	cl := newCluster()
	a := cl.start(t, "i1")
	cl.rounds(t, 3)
	k := Key{DataCentre: "a"}
	old := a.records[k]
	assert.NilError(t, a.Release(context.Background()))
	a.updateRecords([]Record{old})
	_, held := a.Held(k)
	assert.Assert(t, !held)
}

func TestHomeOfAnotherDataCentreIsLookedUp(t *testing.T) {
	cl := newCluster()
	n := cl.start(t, "i1")
	k := Key{DataCentre: "b", Index: 7}
	home := member.Session{Name: "x", Addr: "x", DataCentre: "b", Epoch: 3}
	_, err := cl.Commit(context.Background(), platform.Txn{
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

// Processes start, become unresponsive, recover, die and are replaced while commits are
// lost or take effect late: no shard ever has two holders, epochs increase, and after
// the faults have ended every shard is held by a live process.
func TestShardHasOneHolderAtATime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cl := newCluster()
		name := rapid.SampledFrom([]string{"i1", "i2", "i3"})
		cl.start(t, "i1")
		cl.rounds(t, 3)
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) { cl.checkInvariants(t) },
			"run": func(t *rapid.T) {
				cl.rounds(t, rapid.IntRange(1, 20).Draw(t, "rounds"))
			},
			"start": func(t *rapid.T) { cl.start(t, name.Draw(t, "name")) },
			"die": func(t *rapid.T) {
				if n := name.Draw(t, "name"); cl.nodes[n] != nil {
					cl.kill(n)
				}
			},
			"silence": func(t *rapid.T) {
				if n := cl.nodes[name.Draw(t, "name")]; n != nil {
					n.unresponsive = !n.unresponsive
				}
			},
			"release": func(t *rapid.T) {
				if n := cl.nodes[name.Draw(t, "name")]; n != nil && !n.unresponsive {
					_ = n.Release(context.Background())
				}
			},
			"lose commits": func(t *rapid.T) { cl.loseCommits = rapid.Bool().Draw(t, "lose") },
			"land commits": func(*rapid.T) { cl.applyLateCommits() },
			"store":        func(t *rapid.T) { cl.store.Down(rapid.Bool().Draw(t, "down")) },
		})
		cl.store.Down(false)
		cl.loseCommits = false
		cl.applyLateCommits()
		for n := range cl.nodes {
			cl.kill(n)
		}
		cl.start(t, "i4")
		cl.start(t, "i5")
		cl.rounds(t, 80)
		assert.DeepEqual(t, cl.loads(), map[string]int{"i4": Count / 2, "i5": Count / 2})
	})
}
