package ticketpeer

import (
	"context"
	"fmt"
	"net/rpc"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"carawayrouter.example/router/internal/config"
	"carawayrouter.example/router/internal/member"
	"carawayrouter.example/router/internal/peer"
	"carawayrouter.example/router/internal/platform/memplatform"
	"carawayrouter.example/router/internal/ticket"
)

const testTimeout = 30 * time.Second

// testNetwork is an in-memory peer.Caller that connects the instances of a test.
type testNetwork struct {
	mu           sync.Mutex
	servers      map[string]*rpc.Server
	unresponsive map[string]bool // instances that do not answer
	callCounts   map[string]int  // number of calls by method
	sessions     []member.Session
}

func newTestNetwork(names map[string][]string) *testNetwork {
	f := &testNetwork{servers: map[string]*rpc.Server{}, unresponsive: map[string]bool{}, callCounts: map[string]int{}}
	for dc, list := range names {
		for _, n := range list {
			f.sessions = append(f.sessions, member.Session{Name: n, Addr: n, DataCentre: dc})
		}
	}
	return f
}

// Call implements peer.Caller.
func (f *testNetwork) Call(ctx context.Context, addr, method string, args, reply any) error {
	f.mu.Lock()
	f.callCounts[method]++
	srv, unresponsive := f.servers[addr], f.unresponsive[addr]
	f.mu.Unlock()
	if srv == nil || unresponsive {
		return errors.WithStack(peer.ErrUnreachable)
	}
	return callServer(ctx, srv, method, args, reply)
}

func (f *testNetwork) setUnresponsive(addr string, unresponsive bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unresponsive[addr] = unresponsive
}

func (f *testNetwork) callCount(method string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.callCounts[method]
}

// staticView is a member.Source with a fixed membership, from the view of one instance.
type staticView struct {
	f    *testNetwork
	self string
}

// View implements member.Source.
func (v staticView) View() *member.View {
	out := &member.View{}
	for _, s := range v.f.sessions {
		if s.Name == v.self {
			out.Self = s
			continue
		}
		out.Peers = append(out.Peers, s)
	}
	return out
}

// instance is an instance of a test.
type instance struct {
	*ticket.Applier
	node *Node
}

func (f *testNetwork) startAll(t testing.TB, store *memplatform.Store, fast, slow time.Duration) map[string]*instance {
	t.Helper()
	all := map[string]*instance{}
	for _, s := range f.sessions {
		all[s.Name] = f.startOne(t, store, s, fast, slow)
	}
	return all
}

func (f *testNetwork) startOne(t testing.TB, store *memplatform.Store, s member.Session, fast, slow time.Duration) *instance {
	t.Helper()
	node := New(Options{Members: staticView{f, s.Name}, Caller: f, Seed: rendezvousScore(s.Name)})
	p := store.For(s.DataCentre)
	a := ticket.NewApplier(ticket.Options{
		Table: p.Table, Objects: p.Objects, Peers: node, Announce: node, IsFastPoller: node.IsFastPoller,
		Seed: rendezvousScore(s.Name), FastInterval: fast, SlowInterval: slow, CallTimeout: time.Second,
	})
	srv := rpc.NewServer()
	assert.NilError(t, srv.RegisterName(ServiceName, node.Service(a)))
	f.mu.Lock()
	f.servers[s.Addr] = srv
	f.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 2)
	go func() { done <- a.Run(ctx) }()
	go func() { done <- node.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.Check(t, <-done)
		assert.Check(t, <-done)
	})
	return &instance{Applier: a, node: node}
}

func waitAll(t testing.TB, all map[string]*instance, n uint64) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for name, i := range all {
			if i.Applied() < n {
				return poll.Continue("%s applied %d of %d", name, i.Applied(), n)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(testTimeout), poll.WithDelay(time.Millisecond))
}

func submit(t testing.TB, store *memplatform.Store, dc string, rate float64) {
	t.Helper()
	d := ticket.NewDraft("", ticket.PutAccount(&config.Account{Name: "x", Rate: rate, Burst: 1, Weight: 1}))
	_, err := ticket.Submit(context.Background(), store.For(dc).Table, "ana", d)
	assert.NilError(t, err)
}

func instanceNames(prefix string, n int) []string {
	var list []string
	for i := range n {
		list = append(list, fmt.Sprintf("%s-%02d", prefix, i))
	}
	return list
}

// TestAnnouncementsReachAllWithoutTheirPolls uses a slow interval that does not elapse
// during the test, so that tickets reach the other instances only through the fast
// pollers' announcements.
func TestAnnouncementsReachAllWithoutTheirPolls(t *testing.T) {
	f := newTestNetwork(map[string][]string{"a": instanceNames("a", 24), "b": instanceNames("b", 3)})
	store := memplatform.New(memplatform.Options{})
	all := f.startAll(t, store, 5*time.Millisecond, time.Hour)
	fast := 0
	for _, i := range all {
		<-i.Ready()
		if i.node.IsFastPoller() {
			fast++
		}
	}
	assert.Equal(t, fast, 2*pollersPerDC)
	const tickets = 5
	for i := 1; i <= tickets; i++ {
		submit(t, store, "a", float64(i))
		waitAll(t, all, uint64(i))
	}
	most := tickets * pollersPerDC * (23 + 2)
	assert.Assert(t, f.callCount("Tickets.Announce") <= most, "%d calls", f.callCount("Tickets.Announce"))
}

// TestAnnouncementsBypassUnresponsiveInstances has unresponsive instances in the forwarding
// tree; the instances behind them must still receive the tickets.
func TestAnnouncementsBypassUnresponsiveInstances(t *testing.T) {
	f := newTestNetwork(map[string][]string{"a": instanceNames("a", 20)})
	store := memplatform.New(memplatform.Options{})
	all := f.startAll(t, store, 5*time.Millisecond, time.Hour)
	for _, i := range all {
		<-i.Ready()
	}
	unresponsive := 0
	for name, i := range all {
		if !i.node.IsFastPoller() && unresponsive < 8 {
			f.setUnresponsive(name, true)
			delete(all, name)
			unresponsive++
		}
	}
	submit(t, store, "a", 1)
	waitAll(t, all, 1)
}

func TestFetchUsesMostCurrentPeerAcrossDataCentres(t *testing.T) {
	f := newTestNetwork(map[string][]string{"a": instanceNames("a", 2), "b": instanceNames("b", 1)})
	store := memplatform.New(memplatform.Options{})
	all := f.startAll(t, store, 5*time.Millisecond, 20*time.Millisecond)
	submit(t, store, "a", 1)
	waitAll(t, all, 1)
	store.Cut("a", true)
	submit(t, store, "b", 2)
	waitAll(t, all, 2) // data centre a is partitioned from the store, but not from b
	assert.Assert(t, all["a-00"].Age() < ticket.UnknownAge)
}

// TestFleetStartsWithStoreDown starts an additional instance while the store is down; it
// must get the configuration from a peer.
func TestFleetStartsWithStoreDown(t *testing.T) {
	f := newTestNetwork(map[string][]string{"a": instanceNames("a", 3)})
	store := memplatform.New(memplatform.Options{})
	all := f.startAll(t, store, 5*time.Millisecond, 20*time.Millisecond)
	submit(t, store, "a", 1)
	waitAll(t, all, 1)
	store.Down(true)
	joining := member.Session{Name: "joining", Addr: "joining", DataCentre: "a"}
	self := New(Options{Members: joiningView{staticView{f, ""}, joining}, Caller: f})
	p := store.For("a")
	a := ticket.NewApplier(ticket.Options{Table: p.Table, Objects: p.Objects, Peers: self, FastInterval: 5 * time.Millisecond})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- a.Run(ctx) }()
	waitAll(t, map[string]*instance{"joining": {Applier: a}}, 1)
	cancel()
	assert.NilError(t, <-done)
}

// joiningView is the membership from the view of an instance that the others do not know
// yet.
type joiningView struct {
	staticView
	self member.Session
}

// View implements member.Source.
func (v joiningView) View() *member.View {
	out := v.staticView.View()
	out.Self = v.self
	return out
}
