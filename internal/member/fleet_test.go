package member

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"carawayrouter.example/router/internal/clock"
	"carawayrouter.example/router/internal/peer"
	"carawayrouter.example/router/internal/platform"
	"carawayrouter.example/router/internal/platform/memplatform"
)

// roundInterval is the time between two rounds of a test fleet.
const roundInterval = DefaultHeartbeatEvery

// process is one process of a test fleet.
type process struct {
	*Controller
	paused bool
}

// fleet runs controllers round by round with a fake clock, an in-memory platform and an
// in-memory network.
type fleet struct {
	t              testing.TB
	clock          *clock.Fake
	store          *memplatform.Store
	seed           uint64
	processes      map[string]*process // by address
	cut            func(from, to string) bool
	replyInTransit func(from string) // called before a response reaches from
	afterQuery     func()            // called after a peer has answered a Heard query
	calls          atomic.Int64
	storeDown      bool // the store refuses calls
}

func newFleet(t testing.TB) *fleet {
	c := clock.NewFake(time.Unix(1000, 0))
	return &fleet{
		t: t, clock: c, store: memplatform.New(memplatform.Options{Clock: c}),
		processes:      map[string]*process{},
		cut:            func(string, string) bool { return false },
		replyInTransit: func(string) {},
		afterQuery:     func() {},
	}
}

func (f *fleet) start(dc, name, addr string) *process {
	f.seed++
	c, err := NewController(Options{
		Session:   Session{Name: name, Addr: addr, DataCentre: dc},
		Table:     f.store.For(dc).Table,
		Instances: f.store.For(dc).Instances,
		Caller:    &network{f, addr},
		Clock:     f.clock,
		Rand:      rand.New(rand.NewPCG(f.seed, 1)),
	})
	assert.NilError(f.t, err)
	p := &process{Controller: c}
	f.processes[addr] = p
	f.store.SetInstance(platform.Instance{Name: name, Addr: addr, DataCentre: dc, State: platform.Live})
	return p
}

// crash ends the process at addr and removes it from the platform's list.
func (f *fleet) crash(addr string) {
	if p := f.processes[addr]; p != nil {
		f.store.RemoveInstance(p.opts.Session.Name)
		delete(f.processes, addr)
	}
}

func (f *fleet) addrs() []string {
	var out []string
	for i := range 40 {
		if a := fmt.Sprintf("10.0.0.%d:1", i); f.processes[a] != nil {
			out = append(out, a)
		}
	}
	return out
}

// rounds runs n rounds of every process that is not paused.
func (f *fleet) rounds(n int) {
	ctx := context.Background()
	for range n {
		f.clock.Advance(roundInterval)
		for _, a := range f.addrs() {
			p := f.processes[a]
			if p == nil || p.paused {
				continue
			}
			p.heartbeatRound(ctx)
			p.renewRound(ctx)
			p.scanRound(ctx)
			p.listRound(ctx)
			p.expiryRound(ctx)
		}
		f.checkInvariant()
	}
}

// checkInvariant asserts the invariant of ActiveEpoch for every process.
func (f *fleet) checkInvariant() {
	for _, a := range f.addrs() {
		p := f.processes[a]
		if _, ok := p.ActiveEpoch(); ok && !p.paused {
			assert.Assert(f.t, !f.dead(p), "%s is active although its session is recorded as dead", a)
		}
	}
}

// setStoreDown makes the store refuse calls or accept them again.
func (f *fleet) setStoreDown(down bool) {
	f.storeDown = down
	f.store.Down(down)
}

// setStoreUnreachable cuts one process off from the platform or reconnects it.
func (f *fleet) setStoreUnreachable(p *process, unreachable bool) {
	dc := p.opts.Session.DataCentre
	if unreachable {
		dc = "cut off"
		f.store.Cut(dc, true)
	}
	p.opts.Table, p.opts.Instances = f.store.For(dc).Table, f.store.For(dc).Instances
}

// dead reports whether p's session is recorded as dead. Store faults do not affect it.
func (f *fleet) dead(p *process) bool {
	f.store.Down(false)
	defer f.store.Down(f.storeDown)
	c := &Controller{opts: Options{Table: f.store.For("observer").Table}}
	dead, err := c.Dead(context.Background(), p.Self())
	assert.NilError(f.t, err)
	return dead
}

// delayReply makes p send one heartbeat and pauses p for n rounds before it receives
// the response.
func (f *fleet) delayReply(p *process, n int) {
	to := p.heartbeatTargets()
	if len(to) == 0 {
		return
	}
	f.replyInTransit = func(from string) {
		if from != p.opts.Session.Addr {
			return
		}
		f.replyInTransit = func(string) {}
		p.paused = true
		f.rounds(n)
		p.paused = false
	}
	p.heartbeat(context.Background(), to[0])
	f.replyInTransit = func(string) {}
}

// network is the network as seen from one address.
type network struct {
	f    *fleet
	from string
}

func (n *network) Call(_ context.Context, addr, method string, args, reply any) error {
	f := n.f
	f.calls.Add(1)
	p := f.processes[addr]
	if p == nil {
		return peer.ErrUnreachable
	}
	if p.paused || f.cut(n.from, addr) {
		return context.DeadlineExceeded
	}
	s := &Service{p.Controller}
	var err error
	switch a := args.(type) {
	case HeartbeatArgs:
		err = s.Heartbeat(a, reply.(*HeartbeatReply))
	case HeardArgs:
		err = s.Heard(a, reply.(*HeardReply))
	case SyncArgs:
		err = s.Sync(a, reply.(*SyncReply))
	default:
		err = errors.Newf("no method %s", method)
	}
	if _, isQuery := args.(HeardArgs); isQuery {
		f.afterQuery()
	}
	f.replyInTransit(n.from)
	return err
}
