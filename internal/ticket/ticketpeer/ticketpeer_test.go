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

// fabric carries calls between the instances of a test in memory.
type fabric struct {
	mu       sync.Mutex
	servers  map[string]*rpc.Server
	deaf     map[string]bool // does not answer
	sent     map[string]int  // calls by method
	sessions []member.Session
}

func newFabric(names map[string][]string) *fabric {
	f := &fabric{servers: map[string]*rpc.Server{}, deaf: map[string]bool{}, sent: map[string]int{}}
	for dc, list := range names {
		for _, n := range list {
			f.sessions = append(f.sessions, member.Session{Name: n, Addr: n, DataCentre: dc})
		}
	}
	return f
}

// Call implements peer.Caller.
func (f *fabric) Call(ctx context.Context, addr, method string, args, reply any) error {
	f.mu.Lock()
	f.sent[method]++
	srv, deaf := f.servers[addr], f.deaf[addr]
	f.mu.Unlock()
	if srv == nil || deaf {
		return errors.WithStack(peer.ErrUnreachable)
	}
	return callServer(ctx, srv, method, args, reply)
}

func (f *fabric) setDeaf(addr string, deaf bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.deaf[addr] = deaf
}

func (f *fabric) calls(method string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.sent[method]
}

// viewOf is the membership as one instance sees it.
type viewOf struct {
	f    *fabric
	self string
}

// View implements member.Source.
func (v viewOf) View() *member.View {
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

// instance is one instance of a test fleet.
type instance struct {
	*ticket.Applier
	node *Node
}

func (f *fabric) start(t testing.TB, store *memplatform.Store, fast, slow time.Duration) map[string]*instance {
	t.Helper()
	all := map[string]*instance{}
	for _, s := range f.sessions {
		all[s.Name] = f.startOne(t, store, s, fast, slow)
	}
	return all
}

func (f *fabric) startOne(t testing.TB, store *memplatform.Store, s member.Session, fast, slow time.Duration) *instance {
	t.Helper()
	node := New(Options{Members: viewOf{f, s.Name}, Caller: f, Seed: score(s.Name)})
	p := store.For(s.DataCentre)
	a := ticket.NewApplier(ticket.Options{
		Table: p.Table, Objects: p.Objects, Peers: node, Announce: node, IsFastPoller: node.IsFastPoller,
		Seed: score(s.Name), FastInterval: fast, SlowInterval: slow, CallTimeout: time.Second,
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

func names(prefix string, n int) []string {
	var list []string
	for i := range n {
		list = append(list, fmt.Sprintf("%s-%02d", prefix, i))
	}
	return list
}

// TestAnnouncementsReachAllWithoutTheirPolls sets a slow interval that never comes,
// so that only the fast pollers' announcements can bring the tickets.
func TestAnnouncementsReachAllWithoutTheirPolls(t *testing.T) {
	f := newFabric(map[string][]string{"a": names("a", 24), "b": names("b", 3)})
	store := memplatform.New(memplatform.Options{})
	all := f.start(t, store, 5*time.Millisecond, time.Hour)
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
	assert.Assert(t, f.calls("Tickets.Announce") <= most, "%d calls", f.calls("Tickets.Announce"))
}

// TestAnnouncementsPassDeafInstances has instances in the tree that do not answer;
// the instances behind them still learn.
func TestAnnouncementsPassDeafInstances(t *testing.T) {
	f := newFabric(map[string][]string{"a": names("a", 20)})
	store := memplatform.New(memplatform.Options{})
	all := f.start(t, store, 5*time.Millisecond, time.Hour)
	for _, i := range all {
		<-i.Ready()
	}
	deaf := 0
	for name, i := range all {
		if !i.node.IsFastPoller() && deaf < 8 {
			f.setDeaf(name, true)
			delete(all, name)
			deaf++
		}
	}
	submit(t, store, "a", 1)
	waitAll(t, all, 1)
}

func TestFetchTakesFurthestPeerAcrossDataCentres(t *testing.T) {
	f := newFabric(map[string][]string{"a": names("a", 2), "b": names("b", 1)})
	store := memplatform.New(memplatform.Options{})
	all := f.start(t, store, 5*time.Millisecond, 20*time.Millisecond)
	submit(t, store, "a", 1)
	waitAll(t, all, 1)
	store.Cut("a", true)
	submit(t, store, "b", 2)
	waitAll(t, all, 2) // data centre a is cut off from the store, not from b
	assert.Assert(t, all["a-00"].Age() < ticket.UnknownAge)
}

// TestFleetStartsWithStoreDown adds an instance while the store is down.
func TestFleetStartsWithStoreDown(t *testing.T) {
	f := newFabric(map[string][]string{"a": names("a", 3)})
	store := memplatform.New(memplatform.Options{})
	all := f.start(t, store, 5*time.Millisecond, 20*time.Millisecond)
	submit(t, store, "a", 1)
	waitAll(t, all, 1)
	store.Down(true)
	late := member.Session{Name: "late", Addr: "late", DataCentre: "a"}
	self := New(Options{Members: lateView{viewOf{f, ""}, late}, Caller: f})
	p := store.For("a")
	a := ticket.NewApplier(ticket.Options{Table: p.Table, Objects: p.Objects, Peers: self, FastInterval: 5 * time.Millisecond})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- a.Run(ctx) }()
	waitAll(t, map[string]*instance{"late": {Applier: a}}, 1)
	cancel()
	assert.NilError(t, <-done)
}

// lateView is the membership as an instance sees it that others do not know yet.
type lateView struct {
	viewOf
	self member.Session
}

// View implements member.Source.
func (v lateView) View() *member.View {
	out := v.viewOf.View()
	out.Self = v.self
	return out
}
