package gateway

import (
	"context"
	"sync"
	"time"

	"carawayrouter.example/router/internal/config"
	"carawayrouter.example/router/internal/errkind"
	"carawayrouter.example/router/internal/placement"
	"carawayrouter.example/router/internal/sched"
)

// queueTick is how often waiting requests are looked at when nothing else wakes them;
// memory at the engines moves with every event of their streams.
const queueTick = 10 * time.Millisecond

// admission holds the scheduler and the generations that wait for a place.
type admission struct {
	now func() time.Time

	mu      sync.Mutex
	sched   *placement.Scheduler
	queue   placement.Queue
	granted map[*placement.Waiter]chan *placement.Lease
	lengths map[string]*placement.LengthPredictor // by pool
	ticking bool
	ejected func(ep *config.Endpoint)
	changed func() // told of every place taken or given back; must not block
}

func newAdmission(s *placement.Scheduler, ejected func(*config.Endpoint)) *admission {
	return &admission{now: time.Now, sched: s, granted: map[*placement.Waiter]chan *placement.Lease{}, lengths: map[string]*placement.LengthPredictor{}, ejected: ejected, changed: func() {}}
}

// engine waits for a place. The error is a refusal with the time to come back.
func (a *admission) engine(ctx context.Context, w *placement.Waiter) (*placement.Lease, error) {
	a.mu.Lock()
	now := a.now()
	if a.queue.Len() == 0 {
		if l := a.sched.AcquireEngine(now, w.Demand); l != nil {
			a.mu.Unlock()
			a.changed()
			return l, nil
		}
	}
	if !a.sched.HasUsableEndpoint(now, w.Demand.Pool) {
		a.mu.Unlock()
		return nil, refusal(errkind.NoEndpoint, "no engine can be used", time.Second)
	}
	if wait := a.queue.PredictWait(now, a.sched, w); now.Add(wait).After(w.Deadline) {
		a.mu.Unlock()
		return nil, refusal(errkind.QueueFull, "the engines are full", wait)
	}
	ch := make(chan *placement.Lease, 1)
	a.granted[w] = ch
	a.queue.Push(w)
	a.serve(now)
	a.tick()
	a.mu.Unlock()
	a.changed()

	timer := time.NewTimer(time.Until(w.Deadline))
	defer timer.Stop()
	select {
	case l := <-ch:
		return l, nil
	case <-ctx.Done():
	case <-timer.C:
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	select {
	case l := <-ch:
		if ctx.Err() == nil {
			return l, nil
		}
		a.sched.Release(a.now(), l, sched.Abandoned)
	default:
		a.queue.Remove(w)
		delete(a.granted, w)
	}
	if ctx.Err() != nil {
		return nil, context.Cause(ctx)
	}
	return nil, refusal(errkind.QueueFull, "the engines stayed full", a.queue.PredictWait(a.now(), a.sched, w))
}

// serve grants places to those that wait. The caller holds the lock.
func (a *admission) serve(now time.Time) {
	for _, g := range a.queue.Serve(now, a.sched) {
		a.granted[g.Waiter] <- g.Lease
		delete(a.granted, g.Waiter)
		a.changed()
	}
}

// tick looks at the queue again soon, as long as somebody waits. The caller holds the lock.
func (a *admission) tick() {
	if a.ticking || a.queue.Len() == 0 {
		return
	}
	a.ticking = true
	time.AfterFunc(queueTick, func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.ticking = false
		a.serve(a.now())
		a.tick()
	})
}

// with runs f with the scheduler.
func (a *admission) with(f func(now time.Time, s *placement.Scheduler)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	f(a.now(), a.sched)
}

// freed runs f, which gives something back, and serves those that wait.
func (a *admission) freed(f func(now time.Time, s *placement.Scheduler)) {
	a.mu.Lock()
	now := a.now()
	f(now, a.sched)
	a.serve(now)
	a.mu.Unlock()
	a.changed()
}

// peek shows f the scheduler and the queue.
func (a *admission) peek(f func(now time.Time, s *placement.Scheduler, q *placement.Queue)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	f(a.now(), a.sched, &a.queue)
}

// release gives back the places of a generation.
func (a *admission) release(l *placement.Lease, o sched.Outcome) {
	a.freed(func(now time.Time, s *placement.Scheduler) {
		if s.Release(now, l, o) {
			a.ejected(l.Target)
		}
	})
}

// answered gives back the place of a plain call. The other instances are not told: it
// is over before they could use it.
func (a *admission) answered(l *placement.Lease, o sched.Outcome) {
	a.with(func(now time.Time, s *placement.Scheduler) {
		if s.Release(now, l, o) {
			a.ejected(l.Target)
		}
	})
}

func (a *admission) prefillDone(l *placement.Lease, o sched.Outcome) {
	ep := l.Prefill
	a.freed(func(now time.Time, s *placement.Scheduler) {
		if s.PrefillDone(now, l, o) {
			a.ejected(ep)
		}
	})
}

// usual returns the usual latency of a plain call at the lease's endpoint.
func (a *admission) usual(l *placement.Lease) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.sched.AverageLatency(l)
}

// prefillTime returns the time that the lease's prefill is expected to take.
func (a *admission) prefillTime(l *placement.Lease) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.sched.ExpectedPrefillTime(l)
}

// lengthsOf returns what is known of a pool's outputs. The caller holds the lock.
func (a *admission) lengthsOf(pool string) *placement.LengthPredictor {
	l := a.lengths[pool]
	if l == nil {
		l = &placement.LengthPredictor{}
		a.lengths[pool] = l
	}
	return l
}

// expect returns the output that a generation is expected to make.
func (a *admission) expect(c *Call) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.lengthsOf(c.Pool.Name).Predict(c.Hint, c.Output)
}

// learn records a whole output.
func (a *admission) learn(c *Call, output int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lengthsOf(c.Pool.Name).Observe(output, c.Hint)
}

// redirect moves a generation to another decode engine.
func (a *admission) redirect(l *placement.Lease, d placement.Demand, o sched.Outcome) (moved bool) {
	from := l.Target
	a.freed(func(now time.Time, s *placement.Scheduler) {
		var ejected bool
		if moved, ejected = s.Redirect(now, l, d, o); ejected {
			a.ejected(from)
		}
	})
	return moved
}

// waiting returns how many generations wait here.
func (a *admission) waiting() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.queue.Len()
}
