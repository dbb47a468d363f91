package dispatch

import (
	"bytes"
	"context"
	"encoding/gob"
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"carawayrouter.example/router/internal/clock"
	"carawayrouter.example/router/internal/config"
	"carawayrouter.example/router/internal/endpoint"
	"carawayrouter.example/router/internal/errkind"
	"carawayrouter.example/router/internal/evacuation"
	"carawayrouter.example/router/internal/member"
	"carawayrouter.example/router/internal/peer"
	"carawayrouter.example/router/internal/platform"
	"carawayrouter.example/router/internal/platform/memplatform"
	"carawayrouter.example/router/internal/reqid"
	"carawayrouter.example/router/internal/sched"
	"carawayrouter.example/router/internal/sched/pool"
)

// engine is a decode or prefill engine that refuses requests beyond its slots.
type engine struct {
	endpoint.Engine
	mu      sync.Mutex
	slots   int
	running map[reqid.ID]int // attempt by request
	refused int
	peak    int
}

func (e *engine) start(id reqid.ID) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.running) >= e.slots {
		e.refused++
		return false
	}
	e.running[id] = 1
	e.peak = max(e.peak, len(e.running))
	return true
}

func (e *engine) Cancel(_ context.Context, id reqid.ID, _ int) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.running, id)
	return nil
}

func (e *engine) Running(context.Context) ([]endpoint.Running, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []endpoint.Running
	for id, attempt := range e.running {
		out = append(out, endpoint.Running{ID: id, Attempt: attempt, Stage: "decode", Pieces: 1})
	}
	return out, nil
}

func (e *engine) CacheEvents(context.Context, uint64) ([]endpoint.CacheEvent, error) {
	return nil, nil
}

func (e *engine) runs(id reqid.ID) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running[id] > 0
}

func (e *engine) count() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.running)
}

// fleet is a set of nodes on an in-memory network with fault injection.
type fleet struct {
	mu        sync.Mutex
	rand      *rand.Rand
	state     *config.State
	all       []member.Session // members in every view
	nodes     map[string]*fleetNode
	engines   map[string]*engine
	lossRate  float64       // probability that a request or an answer is lost
	prefill   time.Duration // duration of each prefill
	leaving   []string      // leaving addresses on the platform list
	listReads int
	cut       func(from, to string) bool  // by address; cut connections lose all calls
	views     map[string][]member.Session // views that differ from all, by address
	table     platform.Table
}

type fleetNode struct {
	*Node
	session member.Session
	stop    context.CancelFunc
	ended   chan struct{}
	ids     *reqid.Source
}

func newFleet(seed uint64, dcs []string, perDC, decodes, slots int) *fleet {
	f := &fleet{prefill: 5 * time.Millisecond, rand: rand.New(rand.NewPCG(seed, 1)), nodes: map[string]*fleetNode{}, engines: map[string]*engine{}, views: map[string][]member.Session{}, table: memplatform.New(memplatform.Options{}).For("a").Table}
	var eps []*config.Endpoint
	for _, dc := range dcs {
		for i := range decodes + 2 {
			ep := &config.Endpoint{Name: fmt.Sprintf("%s-d%d", dc, i), Pool: "m", DataCentre: dc, Role: config.Decode, Slots: slots}
			if i >= decodes {
				ep.Name, ep.Role, ep.Slots = fmt.Sprintf("%s-p%d", dc, i), config.Prefill, 0
			}
			ep.Addr = ep.Name
			eps = append(eps, ep)
			f.engines[ep.Addr] = &engine{slots: slots, running: map[reqid.ID]int{}}
		}
	}
	f.state = config.Build(1, &config.Objects{Pools: []*config.Pool{{Name: "m", Kind: config.ModelPool}}, Endpoints: eps})
	for _, dc := range dcs {
		for i := range perDC {
			f.start(member.Session{Name: fmt.Sprintf("%s-i%d", dc, i), DataCentre: dc, Process: 1})
		}
	}
	return f
}

// start starts a process. A restarted one has a higher process number and the same
// address.
func (f *fleet) start(s member.Session) *fleetNode {
	s.Addr = "peer-" + s.Name
	ctx, cancel := context.WithCancel(context.Background())
	fn := &fleetNode{session: s, stop: cancel, ended: make(chan struct{}), ids: reqid.NewSource(s.Name, s.Process)}
	f.mu.Lock()
	f.all = slices.DeleteFunc(f.all, func(o member.Session) bool { return o.Name == s.Name })
	f.all = append(f.all, s)
	slices.SortFunc(f.all, func(a, b member.Session) int { return strings.Compare(a.Name, b.Name) })
	seed := f.rand.Uint64()
	f.mu.Unlock()
	fn.Node = New(Options{
		Config: f, Members: view{f, s}, Caller: caller{f, s.Addr}, Dialer: f, Clock: clock.Real{},
		Rand: rand.New(rand.NewPCG(seed, 2)), Logger: logr.Discard(), Instances: lister{f}, Table: f.table,
	})
	f.mu.Lock()
	f.nodes[s.Addr] = fn
	f.mu.Unlock()
	go func() {
		_ = fn.Run(ctx)
		close(fn.ended)
	}()
	return fn
}

// kill stops a process at once. inView says whether it stays in the views of the
// others.
func (f *fleet) kill(fn *fleetNode, inView bool) {
	f.mu.Lock()
	if f.nodes[fn.session.Addr] == fn {
		delete(f.nodes, fn.session.Addr)
	}
	if !inView {
		f.all = slices.DeleteFunc(f.all, func(o member.Session) bool { return o == fn.session })
	}
	f.mu.Unlock()
	fn.stop()
	<-fn.ended
}

func (f *fleet) stopAll() {
	f.mu.Lock()
	all := make([]*fleetNode, 0, len(f.nodes))
	for _, fn := range f.nodes {
		all = append(all, fn)
	}
	f.mu.Unlock()
	for _, fn := range all {
		f.kill(fn, true)
	}
	time.Sleep(10 * time.Second) // lets calls in flight end
}

func (f *fleet) Current() *config.State             { return f.state }
func (f *fleet) Age() time.Duration                 { return 0 }
func (f *fleet) Engine(addr string) endpoint.Engine { return f.engines[addr] }
func (f *fleet) Service(string) endpoint.Service    { return nil }

// dispatcher returns the dispatcher of a data centre in a node's view.
func (f *fleet) dispatcher(of *fleetNode, dc string) *fleetNode {
	addr, _ := of.dispatcherAddr(Place{"m", dc})
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nodes[addr]
}

func (f *fleet) list() []*fleetNode {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []*fleetNode
	for _, s := range f.all {
		if fn := f.nodes[s.Addr]; fn != nil {
			out = append(out, fn)
		}
	}
	return out
}

// lister implements the platform's list.
type lister struct{ f *fleet }

func (l lister) Leave(context.Context, string) error { return nil }

func (l lister) List(context.Context) ([]platform.Instance, error) {
	l.f.mu.Lock()
	defer l.f.mu.Unlock()
	l.f.listReads++
	out := []platform.Instance{{Addr: "a-d0", State: platform.Live}}
	for _, addr := range l.f.leaving {
		out = append(out, platform.Instance{Addr: addr, State: platform.Leaving})
	}
	return out, nil
}

// view is the membership as one process sees it.
type view struct {
	f    *fleet
	self member.Session
}

func (v view) View() *member.View {
	v.f.mu.Lock()
	defer v.f.mu.Unlock()
	all := v.f.all
	if own, ok := v.f.views[v.self.Addr]; ok {
		all = own
	}
	out := &member.View{Self: v.self}
	for _, s := range all {
		if s.Name != v.self.Name {
			out.Peers = append(out.Peers, s)
		}
	}
	return out
}

// caller makes calls over the in-memory network. Arguments and replies are
// gob-encoded, as between processes.
type caller struct {
	f    *fleet
	from string
}

func (c caller) Call(ctx context.Context, addr, method string, args, reply any) error {
	c.f.mu.Lock()
	fn := c.f.nodes[addr]
	lostRequest := c.f.rand.Float64() < c.f.lossRate
	lostAnswer := c.f.rand.Float64() < c.f.lossRate
	if c.f.cut != nil && c.f.cut(c.from, addr) {
		lostRequest = true
	}
	c.f.mu.Unlock()
	time.Sleep(time.Millisecond)
	if fn == nil {
		return peer.ErrUnreachable
	}
	if lostRequest {
		<-ctx.Done()
		return ctx.Err()
	}
	m := reflect.ValueOf(fn.Service()).MethodByName(strings.TrimPrefix(method, ServiceName+"."))
	in := reflect.New(m.Type().In(0).Elem())
	out := reflect.New(m.Type().In(1).Elem())
	if err := gobCopy(args, in.Interface()); err != nil {
		return err
	}
	done := make(chan error, 1)
	go func() {
		err, _ := m.Call([]reflect.Value{in, out})[0].Interface().(error)
		done <- err
	}()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case err := <-done:
		if lostAnswer {
			<-ctx.Done()
			return ctx.Err()
		}
		if err != nil {
			return err
		}
	}
	time.Sleep(time.Millisecond)
	return gobCopy(out.Interface(), reply)
}

func gobCopy(from, to any) error {
	var b bytes.Buffer
	if err := gob.NewEncoder(&b).Encode(from); err != nil {
		return err
	}
	return gob.NewDecoder(&b).Decode(to)
}

func (fn *fleetNode) demand() sched.Demand {
	return sched.Demand{ID: fn.ids.Next(), Account: "a", Weight: 1, Pool: "m", Class: config.Interactive, Prompt: 100, MaxOutput: 100, MaxWait: 30 * time.Second, Arrived: time.Now()}
}

// serve runs one request: grant, prefill, decode for the given time, release. It
// retries if the engine is full, and returns the error if no grant was made.
func (f *fleet) serve(ctx context.Context, t *testing.T, fn *fleetNode, d sched.Demand, decode time.Duration) error {
	for {
		g, err := fn.Acquire(ctx, d)
		if err != nil {
			return err
		}
		time.Sleep(f.prefill)
		g.PrefillDone(sched.Succeeded)
		e := f.engines[g.Decode.Addr]
		if !e.start(d.ID) {
			g.Release(sched.Full)
			continue
		}
		g.FirstToken()
		select {
		case <-time.After(decode):
			assert.Check(t, e.runs(d.ID), "live work was cancelled")
		case <-ctx.Done():
		}
		_ = e.Cancel(ctx, d.ID, 1)
		g.Release(sched.Succeeded)
		return nil
	}
}

// leftovers describes a demand that is still tracked or allocated, or a request that
// still runs; it is empty if there is none.
func (f *fleet) leftovers() string {
	for _, fn := range f.list() {
		fn.mu.Lock()
		tickets, hosts := len(fn.tracked), make([]*hostedDispatcher, 0, len(fn.hosted))
		for _, h := range fn.hosted {
			hosts = append(hosts, h)
		}
		fn.mu.Unlock()
		if tickets > 0 {
			return fmt.Sprintf("%s has %d tickets", fn.session.Name, tickets)
		}
		for _, h := range hosts {
			if !h.Idle() {
				return fmt.Sprintf("dispatcher %v at %s has demands", h.place, fn.session.Name)
			}
		}
	}
	for addr, e := range f.engines {
		if n := e.count(); n > 0 {
			return fmt.Sprintf("%s runs %d", addr, n)
		}
	}
	return ""
}

// TestManyHoldersOneDispatcher shares a pool between the instances of a data centre.
// Because one dispatcher decides, no engine refuses a request and all slots get used.
func TestManyHoldersOneDispatcher(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1, []string{"a"}, 4, 3, 4)
		defer f.stopAll()
		time.Sleep(3 * time.Second)
		var wg sync.WaitGroup
		for _, fn := range f.list() {
			for range 50 {
				wg.Go(func() {
					assert.Check(t, f.serve(context.Background(), t, fn, fn.demand(), 500*time.Millisecond))
				})
			}
		}
		wg.Wait()
		time.Sleep(2 * time.Second)
		assert.Equal(t, f.leftovers(), "")
		peak := 0
		for _, e := range f.engines {
			assert.Equal(t, e.refused, 0)
			peak += e.peak
		}
		assert.Equal(t, peak, 12)
	})
}

// TestReleaseIsPrompt runs requests one after another in a single slot, from an
// instance that is not the dispatcher. A release must not wait for the next renewal.
func TestReleaseIsPrompt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(8, []string{"a"}, 2, 1, 1)
		defer f.stopAll()
		time.Sleep(2 * time.Second)
		fn := f.list()[0]
		if f.dispatcher(fn, "a") == fn {
			fn = f.list()[1]
		}
		start := time.Now()
		var wg sync.WaitGroup
		for range 20 {
			wg.Go(func() {
				assert.Check(t, f.serve(context.Background(), t, fn, fn.demand(), 10*time.Millisecond))
			})
		}
		wg.Wait()
		assert.Assert(t, time.Since(start) < 500*time.Millisecond, "%v of simulated time", time.Since(start))
	})
}

// TestIdleHolderUsesDispatcherAgain lets a holder be idle for so long that the
// dispatcher removes its mailbox. Its later requests must still get their answers.
func TestIdleHolderUsesDispatcherAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(9, []string{"a"}, 2, 1, 4)
		defer f.stopAll()
		time.Sleep(2 * time.Second)
		for _, fn := range f.list() {
			for range 3 {
				for range 5 {
					ctx, cancel := context.WithTimeout(context.Background(), time.Second)
					assert.NilError(t, f.serve(ctx, t, fn, fn.demand(), time.Millisecond))
					cancel()
				}
				time.Sleep(3 * leaseTime)
			}
		}
	})
}

// TestRandomFaultsLeakNothing runs requests under lost calls, cancellations, and
// crashes and restarts of instances, including dispatchers, that the others learn of
// at once or late. Afterwards nothing is allocated or running, and no request was
// cancelled at an engine unless its caller had cancelled it or its instance had been
// killed.
func TestRandomFaultsLeakNothing(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { randomFaults(t, seed) })
		})
	}
}

func randomFaults(t *testing.T, seed uint64) {
	f := newFleet(seed, []string{"a", "b"}, 3, 2, 3)
	defer f.stopAll()
	r := rand.New(rand.NewPCG(seed, 9))
	time.Sleep(2 * time.Second)
	f.mu.Lock()
	f.lossRate = 0.05
	f.mu.Unlock()
	var wg sync.WaitGroup
	for step := range 400 {
		time.Sleep(time.Duration(r.IntN(40)) * time.Millisecond)
		all := f.list()
		fn := all[r.IntN(len(all))]
		life := 20 * time.Second
		if r.IntN(4) == 0 {
			life = time.Duration(r.IntN(300)) * time.Millisecond
		}
		decode := time.Duration(r.IntN(400)) * time.Millisecond
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), life)
			defer cancel()
			stop := context.AfterFunc(fn.context(), cancel)
			defer stop()
			if err := f.serve(ctx, t, fn, fn.demand(), decode); err != nil {
				assert.Check(t, errkind.From(err).Execution == errkind.NotRun, "%v", err)
			}
		})
		if step%80 == 40 && len(all) > 3 {
			f.kill(fn, r.IntN(2) == 0)
			s := fn.session
			s.Process++
			time.AfterFunc(time.Duration(r.IntN(8))*time.Second, func() { f.start(s) })
		}
	}
	wg.Wait()
	f.mu.Lock()
	f.lossRate = 0
	f.mu.Unlock()
	time.Sleep(60 * time.Second)
	assert.Equal(t, f.leftovers(), "")
	fn := f.list()[0]
	assert.NilError(t, f.serve(context.Background(), t, fn, fn.demand(), time.Millisecond))
}

// crashWait is the longest wait in TestDispatcherCrashKeepsGrants. Its first ten
// requests take all slots at once. By then the engines are known to take 3 s for a
// prefill, and an engine is given the next prompt as it finishes one, so the other
// twenty requests are prefilled two at a time and the last is granted after 30 s. The
// rest allows for the crash: a call timeout, the pause of the next dispatcher, and the
// renewal of the waiting demands.
const crashWait = 36 * time.Second

// TestDispatcherCrashKeepsGrants kills the dispatcher while grants are held that no
// decode engine knows of yet. The next dispatcher must learn of them before it grants,
// so that no engine refuses a request.
func TestDispatcherCrashKeepsGrants(t *testing.T) {
	for _, inView := range []bool{true, false} {
		t.Run(fmt.Sprint(inView), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(2, []string{"a"}, 3, 2, 5)
				defer f.stopAll()
				f.prefill = 3 * time.Second
				time.Sleep(2 * time.Second)
				d := f.dispatcher(f.list()[0], "a")
				var others []*fleetNode
				for _, fn := range f.list() {
					if fn != d {
						others = append(others, fn)
					}
				}
				var wg sync.WaitGroup
				for i := range 30 {
					fn := others[i%2]
					d := fn.demand()
					d.MaxWait = crashWait
					wg.Go(func() {
						assert.Check(t, f.serve(context.Background(), t, fn, d, 5*time.Second))
					})
				}
				time.Sleep(time.Second)
				f.kill(d, inView)
				wg.Wait()
				for addr, e := range f.engines {
					assert.Equal(t, e.refused, 0, addr)
				}
				time.Sleep(20 * time.Second)
				assert.Equal(t, f.leftovers(), "")
			})
		})
	}
}

// TestTwoDispatchersAtOnce gives two instances views in which each is alone, so that
// both grant the same engines. The engines refuse some requests, and every request is
// still served.
func TestTwoDispatchersAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(3, []string{"a"}, 2, 2, 4)
		defer f.stopAll()
		f.mu.Lock()
		f.views["peer-a-i0"], f.views["peer-a-i1"] = []member.Session{}, []member.Session{}
		f.mu.Unlock()
		time.Sleep(2 * time.Second)
		var wg sync.WaitGroup
		for _, fn := range f.list() {
			for range 40 {
				wg.Go(func() {
					assert.Check(t, f.serve(context.Background(), t, fn, fn.demand(), 300*time.Millisecond))
				})
			}
		}
		wg.Wait()
		time.Sleep(20 * time.Second)
		assert.Equal(t, f.leftovers(), "")
		for addr, e := range f.engines {
			assert.Assert(t, e.peak <= 4, addr)
		}
	})
}

// TestOrphansAreReapedAndLiveWorkIsNot runs requests of a dead instance, of a dead
// incarnation, and of live owners that own or disown them. Only requests of the dead
// and disowned requests may be cancelled.
func TestOrphansAreReapedAndLiveWorkIsNot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(4, []string{"a"}, 3, 1, 20)
		defer f.stopAll()
		time.Sleep(2 * time.Second)
		all := f.list()
		e := f.engines["a-d0"]
		g, err := all[0].Acquire(context.Background(), all[0].demand())
		assert.NilError(t, err)
		claimed := reqid.ID{Instance: "a-i0", Incarnation: 1, Seq: 1}
		disowned := reqid.ID{Instance: "a-i0", Incarnation: 1, Seq: 999}
		unknown := reqid.ID{Instance: "a-i1", Incarnation: 0, Seq: 1}
		silent := reqid.ID{Instance: "a-i2", Incarnation: 1, Seq: 5}
		owned := reqid.ID{Instance: "a-i0", Incarnation: 1, Seq: 777} // has no grant at its dispatcher
		all[0].mu.Lock()
		all[0].Node.ids[owned]++
		all[0].mu.Unlock()
		for _, id := range []reqid.ID{claimed, disowned, unknown, silent, owned} {
			assert.Assert(t, e.start(id))
		}
		f.mu.Lock() // requests of a live owner that cannot be asked are kept
		f.cut = func(_, to string) bool { return to == "peer-a-i2" }
		f.mu.Unlock()
		time.Sleep(2 * time.Second)
		assert.Equal(t, e.count(), 5, "nothing is cancelled within the grace period")
		time.Sleep(8 * time.Second)
		e.mu.Lock()
		assert.Equal(t, e.running[claimed], 1)
		assert.Equal(t, e.running[silent], 1)
		assert.Equal(t, e.running[owned], 1)
		assert.Equal(t, len(e.running), 3)
		e.mu.Unlock()
		f.mu.Lock()
		f.cut = nil
		f.mu.Unlock()
		f.kill(all[2], false)
		time.Sleep(2 * absenceTimeout)
		assert.Equal(t, e.count(), 2)
		all[0].mu.Lock()
		delete(all[0].Node.ids, owned)
		all[0].mu.Unlock()
		g.Release(sched.Succeeded)
		time.Sleep(10 * time.Second)
		assert.Equal(t, e.count(), 0)
	})
}

// TestRequestsSpillToOtherDataCentre fills the local data centre, so that requests
// spill to the other one, and then cuts the connection between the two. A further
// request must be granted locally once a slot is free.
func TestRequestsSpillToOtherDataCentre(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(5, []string{"a", "b"}, 2, 1, 4)
		defer f.stopAll()
		time.Sleep(2 * time.Second)
		fn := f.list()[0]
		var grants []*sched.Grant
		used := map[string]int{}
		for range 7 { // up to three quarters of the other one, which then has no spare capacity
			g, err := fn.Acquire(context.Background(), fn.demand())
			assert.NilError(t, err)
			g.PrefillDone(sched.Succeeded)
			grants = append(grants, g)
			used[g.Decode.DataCentre]++
		}
		assert.Equal(t, used["a"], 4)
		assert.Equal(t, used["b"], 3)
		f.mu.Lock()
		f.cut = func(from, to string) bool {
			return strings.HasPrefix(from, "peer-a") != strings.HasPrefix(to, "peer-a")
		}
		f.mu.Unlock()
		time.AfterFunc(15*time.Second, func() { grants[0].Release(sched.Succeeded) })
		g, err := fn.Acquire(context.Background(), fn.demand())
		assert.NilError(t, err)
		assert.Equal(t, g.Decode.DataCentre, "a")
		for _, g := range append(grants, g) {
			g.Release(sched.Succeeded)
		}
		time.Sleep(20 * time.Second)
		f.mu.Lock()
		f.cut = nil
		f.mu.Unlock()
		time.Sleep(20 * time.Second)
		assert.Equal(t, f.leftovers(), "")
	})
}

// TestUnresponsiveDispatcherIsReplaced loses all calls to the dispatcher. Waiting
// requests must get their grants from the next dispatcher, and later requests must not
// wait for the unresponsive one.
func TestUnresponsiveDispatcherIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(6, []string{"a"}, 3, 2, 4)
		defer f.stopAll()
		time.Sleep(2 * time.Second)
		d := f.dispatcher(f.list()[0], "a")
		f.mu.Lock()
		f.cut = func(_, to string) bool { return to == d.session.Addr }
		f.mu.Unlock()
		for _, fn := range f.list() {
			if fn == d {
				continue
			}
			assert.NilError(t, f.serve(context.Background(), t, fn, fn.demand(), time.Millisecond))
			start := time.Now()
			for range 100 {
				assert.NilError(t, f.serve(context.Background(), t, fn, fn.demand(), time.Millisecond))
			}
			assert.Assert(t, time.Since(start) < 2*time.Second, "%v of simulated time", time.Since(start))
		}
	})
}

// TestLeavingEndpointGetsNothing marks an endpoint as leaving on the platform's list,
// which one instance reads for the whole data centre. The endpoint gets no new work;
// running requests continue.
func TestLeavingEndpointGetsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(7, []string{"a"}, 4, 2, 50)
		defer f.stopAll()
		time.Sleep(2 * time.Second)
		var grants []*sched.Grant
		acquire := func() string {
			fn := f.list()[len(grants)%4]
			g, err := fn.Acquire(context.Background(), fn.demand())
			assert.NilError(t, err)
			g.PrefillDone(sched.Succeeded)
			grants = append(grants, g)
			return g.Decode.Name
		}
		used := map[string]int{}
		for range 20 {
			used[acquire()]++
		}
		assert.Equal(t, len(used), 2)
		f.mu.Lock()
		f.leaving = []string{"a-d1"}
		read := f.listReads
		f.mu.Unlock()
		time.Sleep(3 * time.Second)
		f.mu.Lock()
		assert.Assert(t, f.listReads-read <= 4, "one instance reads the list: %d", f.listReads-read)
		f.mu.Unlock()
		for range 20 {
			assert.Equal(t, acquire(), "a-d0")
		}
		for _, g := range grants {
			g.Release(sched.Succeeded)
		}
	})
}

// The operator evacuates a data centre, which one instance reads for all of its own. Its endpoints get no new work, those of the other
// serve its callers, and running requests continue and are counted.
func TestEvacuatedDataCentreGetsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(7, []string{"a", "b"}, 2, 2, 50)
		defer f.stopAll()
		rows := evacuation.Rows{Table: f.table}
		time.Sleep(2 * time.Second)
		ctx := context.Background()
		acquire := func() (g *sched.Grant, used map[string]int) {
			used = map[string]int{}
			for range 5 {
				for _, fn := range f.list() {
					var err error
					g, err = fn.Acquire(ctx, fn.demand())
					assert.NilError(t, err)
					g.PrefillDone(sched.Succeeded)
					used[g.Decode.DataCentre]++
					defer g.Release(sched.Succeeded)
				}
			}
			return g, used
		}
		_, used := acquire()
		assert.Assert(t, used["a"] > 0 && used["b"] > 0)
		first := f.list()[0]
		held, err := first.Acquire(ctx, first.demand())
		assert.NilError(t, err)
		dc := held.Decode.DataCentre
		assert.NilError(t, rows.Write(ctx, dc))
		time.Sleep(3 * time.Second)
		_, used = acquire()
		assert.Equal(t, used[dc], 0)
		assert.Equal(t, first.Running(dc), 1)
		held.Release(sched.Succeeded)
		assert.Equal(t, first.Running(dc), 0)
		assert.NilError(t, rows.Remove(ctx, dc))
		time.Sleep(3 * time.Second)
		_, used = acquire()
		assert.Assert(t, used[dc] > 0)
	})
}

func TestDeltaRoundTrip(t *testing.T) {
	tries := []uint64{3, 4, 9, 1 << 40}
	assert.DeepEqual(t, deltaDecode(deltaEncode(tries)), tries)
}

func TestRendezvousMovesFewPlaces(t *testing.T) {
	var members []member.Session
	for i := range 25 {
		members = append(members, member.Session{Name: fmt.Sprint("i", i), Addr: fmt.Sprint("i", i)})
	}
	moved, won := 0, map[string]int{}
	for i := range 1000 {
		p := Place{fmt.Sprint("m", i), "a"}
		all, _ := rendezvous(p, members)
		rest, _ := rendezvous(p, members[1:])
		won[all]++
		if all != rest {
			moved++
			assert.Equal(t, all, "i0")
		}
	}
	assert.Assert(t, moved < 80 && len(won) == 25, "%d moved, %d won", moved, len(won))
	_, ok := rendezvous(Place{"m", "a"}, nil)
	assert.Assert(t, !ok)
}

var _ sched.Scheduler = (*Node)(nil)
var _ pool.Reporter = reporter{}
