package pool

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"carawayrouter.example/router/internal/clock"
	"carawayrouter.example/router/internal/config"
	"carawayrouter.example/router/internal/endpoint"
	"carawayrouter.example/router/internal/errkind"
	"carawayrouter.example/router/internal/event"
	"carawayrouter.example/router/internal/reqid"
	"carawayrouter.example/router/internal/sched"
)

// Intervals between the ticks of Run, with and without queued demands.
const (
	busyInterval = 20 * time.Millisecond
	idleInterval = 200 * time.Millisecond
)

// Dispatcher wraps a Core for concurrent callers and delivers its decisions to them.
// It is safe for concurrent use.
type Dispatcher struct {
	clock  clock.Clock
	events *event.Ring

	mu      sync.Mutex
	core    *Core
	waiters map[Key]func(Decision)
}

// NewDispatcher returns a Dispatcher without endpoints.
func NewDispatcher(pool, dataCentre string, kind config.PoolKind, t Tuning, c clock.Clock, r *rand.Rand, events *event.Ring) *Dispatcher {
	return &Dispatcher{
		clock:   c,
		events:  events,
		core:    NewCore(pool, dataCentre, kind, t, r),
		waiters: map[Key]func(Decision){},
	}
}

// Submit adds a demand and returns the channel on which its decision arrives; see
// SubmitFunc.
func (d *Dispatcher) Submit(key Key, dem sched.Demand, lease time.Time) <-chan Decision {
	ch := make(chan Decision, 1)
	d.SubmitFunc(key, dem, lease, func(dec Decision) { ch <- dec })
	return ch
}

// SubmitFunc adds a demand and calls deliver once with its decision. A known key keeps
// its place in the queue or its grant, and the new deliver replaces the earlier one.
// deliver must not call the Dispatcher. A zero lease never expires.
func (d *Dispatcher) SubmitFunc(key Key, dem sched.Demand, lease time.Time, deliver func(Decision)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	evicted, err := d.core.Enqueue(d.clock.Now(), key, dem, lease)
	if err != nil {
		dec := Decision{Key: key, Err: err}
		d.recordEvent(dec)
		deliver(dec)
		return
	}
	if dec, ok := d.core.Lookup(key); ok {
		deliver(dec)
		return
	}
	d.waiters[key] = deliver
	if evicted != nil {
		d.deliver(*evicted)
	}
	d.dispatch()
}

// PrefillDone ends the prefill of a grant.
func (d *Dispatcher) PrefillDone(key Key, o sched.Outcome) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.core.PrefillDone(d.clock.Now(), key, o)
	d.dispatch()
}

// FirstToken records that the first token of a grant arrived.
func (d *Dispatcher) FirstToken(key Key) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.core.FirstToken(d.clock.Now(), key)
}

// Release ends a grant or removes a queued demand.
func (d *Dispatcher) Release(key Key, o sched.Outcome) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.waiters, key)
	d.core.Release(d.clock.Now(), key, o)
	d.dispatch()
}

// Reconcile compares a holder's list of its demands with the Core's; see
// Core.Reconcile.
func (d *Dispatcher) Reconcile(h Holder, listed []uint64, last uint64, lease time.Time) (unknown []uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	unknown = d.core.Reconcile(d.clock.Now(), h, listed, last, lease)
	d.removeStaleWaiters()
	d.dispatch()
	return unknown
}

// Pause stops or resumes granting.
func (d *Dispatcher) Pause(paused bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.core.Pause(paused)
	d.dispatch()
}

// Idle reports whether the Dispatcher has no demands.
func (d *Dispatcher) Idle() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.core.demands) == 0
}

// removeStaleWaiters removes the waiters of demands that the Core no longer has. The
// caller holds mu.
func (d *Dispatcher) removeStaleWaiters() {
	for key := range d.waiters {
		if d.core.demands[key] == nil {
			delete(d.waiters, key)
		}
	}
}

// Restore adds grants that their holders reported.
func (d *Dispatcher) Restore(held []Held, lease time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	for _, h := range held {
		d.core.Restore(now, h, lease)
	}
}

// SetEndpoints replaces the endpoints and refuses the queued demands that none of them
// can serve.
func (d *Dispatcher) SetEndpoints(eps []*config.Endpoint, leaving map[string]bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.core.SetEndpoints(eps, leaving)
	for _, dec := range d.core.RefuseInfeasible() {
		d.deliver(dec)
	}
	d.dispatch()
}

// Load returns the current load.
func (d *Dispatcher) Load() Load {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.Load(d.clock.Now())
}

// Granted reports whether the request has any grant.
func (d *Dispatcher) Granted(id reqid.ID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.Granted(id)
}

// ObserveRunning takes the list of requests that an engine runs; see
// Core.ObserveRunning.
func (d *Dispatcher) ObserveRunning(name string, running []endpoint.Running) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.core.ObserveRunning(d.clock.Now(), name, running)
}

// ObservePollFailure records a failed poll of an endpoint.
func (d *Dispatcher) ObservePollFailure(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.core.ObservePollFailure(name)
}

// ObserveCache applies the cache events of a prefill engine.
func (d *Dispatcher) ObserveCache(name string, events []endpoint.CacheEvent) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.core.ObserveCache(name, events)
}

// Run calls Tick at intervals until ctx ends, and then refuses the queued demands.
func (d *Dispatcher) Run(ctx context.Context) {
	for {
		tick := idleInterval
		if d.Load().Waiting > 0 {
			tick = busyInterval
		}
		select {
		case <-ctx.Done():
			d.close()
			return
		case <-d.clock.After(tick):
			d.Tick()
		}
	}
}

// Tick expires leases and makes the decisions that are due.
func (d *Dispatcher) Tick() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, key := range d.core.ExpireLeases(d.clock.Now()) {
		delete(d.waiters, key)
	}
	d.dispatch()
}

// close refuses the demands that still wait.
func (d *Dispatcher) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for key := range d.waiters {
		d.core.Release(d.clock.Now(), key, sched.Abandoned)
		d.deliver(Decision{Key: key, Err: errkind.New(errkind.ShuttingDown, "instance is shutting down")})
	}
}

// dispatch runs Core.Dispatch, delivers its decisions and records health changes. The
// caller holds mu.
func (d *Dispatcher) dispatch() {
	for _, dec := range d.core.Dispatch(d.clock.Now()) {
		d.deliver(dec)
	}
	for _, change := range d.core.HealthChanges() {
		e := event.Event{Kind: "sched.return", Endpoint: change.Endpoint, Detail: change.Reason}
		if change.Ejected {
			e.Kind = "sched.eject"
		}
		d.events.Add(e)
	}
}

// deliver passes a decision to its waiter. The caller holds mu. A grant without a
// waiter stays allocated under its key.
func (d *Dispatcher) deliver(dec Decision) {
	d.recordEvent(dec)
	if deliver, ok := d.waiters[dec.Key]; ok {
		delete(d.waiters, dec.Key)
		deliver(dec)
	}
}

// recordEvent adds the decision to the event ring.
func (d *Dispatcher) recordEvent(dec Decision) {
	e := event.Event{Kind: "sched.grant", Request: dec.Key.ID.String()}
	switch {
	case dec.Err != nil:
		e.Kind, e.Detail = "sched.refuse", string(dec.Err.Kind)
	case dec.Prefill != nil:
		e.Endpoint, e.Detail = dec.Decode.Name, "prefill at "+dec.Prefill.Name
	default:
		e.Endpoint = dec.Decode.Name
	}
	d.events.Add(e)
}
