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
const queuePollInterval = 10 * time.Millisecond

// admission holds the scheduler and the generations that wait for a place.
type admission struct {
	now func() time.Time

	mu            sync.Mutex
	sched         *placement.Scheduler
	queue         placement.Queue
	grants        map[*placement.Waiter]chan *placement.Lease
	outputLengths map[string]*placement.Lengths // by pool
	timerSet      bool
	onEject       func(ep *config.Endpoint)
	onChange      func() // told of every place taken or given back; must not block
}

func newAdmission(s *placement.Scheduler, onEject func(*config.Endpoint)) *admission {
	return &admission{now: time.Now, sched: s, grants: map[*placement.Waiter]chan *placement.Lease{}, outputLengths: map[string]*placement.Lengths{}, onEject: onEject, onChange: func() {}}
}

// engine waits for a place. The error is a refusal with the time to come back.
func (a *admission) acquireEngine(ctx context.Context, w *placement.Waiter) (*placement.Lease, error) {
	a.mu.Lock()
	now := a.now()
	if a.queue.Len() == 0 {
		if l := a.sched.Engine(now, w.Demand); l != nil {
			a.mu.Unlock()
			a.onChange()
			return l, nil
		}
	}
	if !a.sched.Usable(now, w.Demand.Pool) {
		a.mu.Unlock()
		return nil, refusal(errkind.NoEndpoint, "no engine can be used", time.Second)
	}
	if wait := a.queue.Predict(now, a.sched, w); now.Add(wait).After(w.Latest) {
		a.mu.Unlock()
		return nil, refusal(errkind.QueueFull, "the engines are full", wait)
	}
	ch := make(chan *placement.Lease, 1)
	a.grants[w] = ch
	a.queue.Push(w)
	a.serveQueue(now)
	a.armTimer()
	a.mu.Unlock()
	a.onChange()

	timer := time.NewTimer(time.Until(w.Latest))
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
		delete(a.grants, w)
	}
	if ctx.Err() != nil {
		return nil, context.Cause(ctx)
	}
	return nil, refusal(errkind.QueueFull, "the engines stayed full", a.queue.Predict(a.now(), a.sched, w))
}

// serve grants places to those that wait. The caller holds the lock.
func (a *admission) serveQueue(now time.Time) {
	for _, g := range a.queue.Serve(now, a.sched) {
		a.grants[g.Waiter] <- g.Lease
		delete(a.grants, g.Waiter)
		a.onChange()
	}
}

// tick looks at the queue again soon, as long as somebody waits. The caller holds the lock.
func (a *admission) armTimer() {
	if a.timerSet || a.queue.Len() == 0 {
		return
	}
	a.timerSet = true
	time.AfterFunc(queuePollInterval, func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.timerSet = false
		a.serveQueue(a.now())
		a.armTimer()
	})
}

// with runs f with the scheduler.
func (a *admission) withScheduler(f func(now time.Time, s *placement.Scheduler)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	f(a.now(), a.sched)
}

// freed runs f, which gives something back, and serves those that wait.
func (a *admission) releaseAndServe(f func(now time.Time, s *placement.Scheduler)) {
	a.mu.Lock()
	now := a.now()
	f(now, a.sched)
	a.serveQueue(now)
	a.mu.Unlock()
	a.onChange()
}

// peek shows f the scheduler and the queue.
func (a *admission) inspect(f func(now time.Time, s *placement.Scheduler, q *placement.Queue)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	f(a.now(), a.sched, &a.queue)
}

// release gives back the places of a generation.
func (a *admission) release(l *placement.Lease, o sched.Outcome) {
	a.releaseAndServe(func(now time.Time, s *placement.Scheduler) {
		if s.Release(now, l, o) {
			a.onEject(l.Target)
		}
	})
}

// answered gives back the place of a plain call. The other instances are not told: it
// is over before they could use it.
func (a *admission) releaseCall(l *placement.Lease, o sched.Outcome) {
	a.withScheduler(func(now time.Time, s *placement.Scheduler) {
		if s.Release(now, l, o) {
			a.onEject(l.Target)
		}
	})
}

func (a *admission) releasePrefill(l *placement.Lease, o sched.Outcome) {
	ep := l.Prefill
	a.releaseAndServe(func(now time.Time, s *placement.Scheduler) {
		if s.PrefillDone(now, l, o) {
			a.onEject(ep)
		}
	})
}

// usual returns the usual latency of a plain call at the lease's endpoint.
func (a *admission) typicalLatency(l *placement.Lease) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.sched.Usual(l)
}

// prefillTime returns the time that the lease's prefill is expected to take.
func (a *admission) expectedPrefillTime(l *placement.Lease) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.sched.PrefillTime(l)
}

// lengthsOf returns what is known of a pool's outputs. The caller holds the lock.
func (a *admission) lengthsOf(pool string) *placement.Lengths {
	l := a.outputLengths[pool]
	if l == nil {
		l = &placement.Lengths{}
		a.outputLengths[pool] = l
	}
	return l
}

// expect returns the output that a generation is expected to make.
func (a *admission) predictOutput(c *Call) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.lengthsOf(c.Pool.Name).Predict(c.OutputHint, c.MaxOutputTokens)
}

// learn records a whole output.
func (a *admission) observeOutput(c *Call, output int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lengthsOf(c.Pool.Name).Observe(output, c.OutputHint)
}

// redirect moves a generation to another decode engine.
func (a *admission) redirect(l *placement.Lease, d placement.Demand, o sched.Outcome) (moved bool) {
	from := l.Target
	a.releaseAndServe(func(now time.Time, s *placement.Scheduler) {
		var ejected bool
		if moved, ejected = s.Redirect(now, l, d, o); ejected {
			a.onEject(from)
		}
	})
	return moved
}

// waiting returns how many generations wait here.
func (a *admission) queueLength() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.queue.Len()
}
