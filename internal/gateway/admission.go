package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"carawayrouter.example/router/internal/config"
	"carawayrouter.example/router/internal/errkind"
	"carawayrouter.example/router/internal/placement"
	"carawayrouter.example/router/internal/sched"
)

// queuePollInterval is how often the queue is checked if nothing else triggers it: memory use
// at the engines changes with every event of their streams.
const queuePollInterval = 10 * time.Millisecond

// admission holds the scheduler and the queue of generations that wait for an engine.
type admission struct {
	now func() time.Time

	mu            sync.Mutex
	sched         *placement.Scheduler
	queue         placement.Queue
	grants        map[*placement.Waiter]chan grant
	outputLengths map[string]*placement.LengthPredictor // by pool
	timerSet      bool
	onEject       func(ep *config.Endpoint)
	onChange      func() // called whenever a lease is granted or released; must not block
}

// grant is what a waiter gets: a lease, or a refusal.
type grant struct {
	lease *placement.Lease
	err   error
}

func newAdmission(s *placement.Scheduler, onEject func(*config.Endpoint)) *admission {
	return &admission{now: time.Now, sched: s, grants: map[*placement.Waiter]chan grant{}, outputLengths: map[string]*placement.LengthPredictor{}, onEject: onEject, onChange: func() {}}
}

// acquireEngine waits for a lease on engines. The error is a refusal with a retry delay.
func (a *admission) acquireEngine(ctx context.Context, w *placement.Waiter) (*placement.Lease, error) {
	a.mu.Lock()
	now := a.now()
	if a.queue.Len() == 0 && !a.queue.MustQueue(now, a.sched, w) {
		if l := a.sched.AcquireEngine(now, w.Demand); l != nil {
			a.mu.Unlock()
			a.onChange()
			return l, nil
		}
	}
	pause := a.sched.PauseLeft(now, w.Demand) // for which a generation waits, if its caller does
	if !a.sched.HasUsableEndpoint(now, w.Demand) && (pause == 0 || now.Add(pause).After(w.Deadline)) {
		a.mu.Unlock()
		return nil, refusal(errkind.NoEndpoint, "no engine can be used", max(pause, evacuationRetryAfter))
	}
	if wait, ok := a.queue.Enter(now, a.sched, w); pause == 0 && !ok {
		a.mu.Unlock()
		return nil, refusal(errkind.QueueFull, "the engines are full", wait)
	}
	ch := make(chan grant, 1)
	a.grants[w] = ch
	a.queue.Push(w)
	a.serveQueue(now)
	a.armTimer()
	a.mu.Unlock()
	a.onChange()

	timer := time.NewTimer(time.Until(w.Deadline))
	defer timer.Stop()
	select {
	case g := <-ch:
		return g.lease, g.err
	case <-ctx.Done():
	case <-timer.C:
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	select {
	case g := <-ch:
		if ctx.Err() == nil {
			return g.lease, g.err
		}
		if g.lease != nil {
			a.sched.Release(a.now(), g.lease, sched.Abandoned)
		}
	default:
		a.queue.Remove(w)
		delete(a.grants, w)
	}
	if ctx.Err() != nil {
		return nil, context.Cause(ctx)
	}
	return nil, refusal(errkind.QueueFull, "the engines stayed full", a.queue.PredictWait(a.now(), a.sched, w))
}

// arrive records the arrival of a generation, and returns how it takes part.
func (a *admission) arrive(d placement.Demand, rank int) (st placement.Standing) {
	a.withScheduler(func(now time.Time, s *placement.Scheduler) { st = s.Arrive(now, d, rank) })
	return st
}

// floods is placement.Scheduler.Floods.
func (a *admission) floods(pool string, priority, rank int) (is bool) {
	a.withScheduler(func(now time.Time, s *placement.Scheduler) { is = s.Floods(now, pool, priority, rank) })
	return is
}

// tryAcquireEngine returns a lease on engines, or nil if the generation would have to wait.
func (a *admission) tryAcquireEngine(d placement.Demand) (l *placement.Lease) {
	a.withScheduler(func(now time.Time, s *placement.Scheduler) { l = s.AcquireEngine(now, d) })
	return l
}

// acquireService returns a lease for a plain call. The error is a refusal with a retry delay.
func (a *admission) acquireService(d placement.Demand) (*placement.Lease, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	if l := a.sched.AcquireService(now, d); l != nil {
		return l, nil
	}
	if wait := a.sched.NextTurn(now, d); wait > 0 {
		return nil, refusal(errkind.EndpointLimit, "the endpoints accept no more requests for now", wait+rand.N(limitRetrySpread))
	}
	if a.sched.IsHeldUpByCold(now, d) {
		return nil, refusal(errkind.EndpointLimit, "the cold endpoints accept no more requests for now", endpointRetryAfter+rand.N(limitRetrySpread))
	}
	return nil, refusal(errkind.NoEndpoint, "no endpoint can be used", a.noEndpointRetryAfter(now, d))
}

// noEndpointRetryAfter returns when a pool without a usable endpoint is worth another try: when the first one
// wants requests again, if that is known. The caller holds the lock.
func (a *admission) noEndpointRetryAfter(now time.Time, d placement.Demand) time.Duration {
	if left := a.sched.PauseLeft(now, d); left > 0 {
		return left + rand.N(limitRetrySpread)
	}
	if a.sched.NeedsEvacuated(now, d) {
		return evacuationRetryAfter
	}
	return endpointRetryAfter
}

// limitRetrySpread is over how long the callers that are refused until the same time return, at
// random.
const limitRetrySpread = 400 * time.Millisecond

// serveQueue grants leases to queued generations, and refuses those that would wait in vain. The caller holds the lock.
func (a *admission) serveQueue(now time.Time) {
	for _, g := range a.queue.Serve(now, a.sched) {
		a.end(g.Waiter, grant{lease: g.Lease})
	}
	for _, r := range a.queue.GiveUp(now, a.sched) {
		a.end(r.Waiter, grant{err: refusal(errkind.QueueFull, "no engine would be free in time", r.RetryAfter)})
	}
}

// end ends the wait of a queued generation. The caller holds the lock.
func (a *admission) end(w *placement.Waiter, g grant) {
	a.grants[w] <- g
	delete(a.grants, w)
	a.onChange()
}

// armTimer checks the queue again after queuePollInterval, for as long as it is not empty. The
// caller holds the lock.
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

// withScheduler runs f with the scheduler under the lock.
func (a *admission) withScheduler(f func(now time.Time, s *placement.Scheduler)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	f(a.now(), a.sched)
}

// takeTurn reports whether the endpoint may be sent a request without a lease under the limit
// that it announces.
func (a *admission) takeTurn(endpoint string) (ok bool) {
	a.withScheduler(func(now time.Time, s *placement.Scheduler) { ok = s.TakeTurn(now, endpoint) })
	return ok
}

// isUnlimited reports whether the endpoint announces no limit and bears any number of requests. Of another one the
// entry is taken at its word: requests for its incarnation would take the turns of callers' requests.
func (a *admission) isUnlimited(endpoint string) (ok bool) {
	a.withScheduler(func(now time.Time, s *placement.Scheduler) {
		ok = !s.IsLimited(endpoint) && !s.IsColdBound(now, endpoint)
	})
	return ok
}

// releaseAndServe runs f, which frees capacity, and then serves the queue.
func (a *admission) releaseAndServe(f func(now time.Time, s *placement.Scheduler)) {
	a.mu.Lock()
	now := a.now()
	f(now, a.sched)
	a.serveQueue(now)
	a.mu.Unlock()
	a.onChange()
}

// inspect runs f with the scheduler and the queue under the lock.
func (a *admission) inspect(f func(now time.Time, s *placement.Scheduler, q *placement.Queue)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	f(a.now(), a.sched, &a.queue)
}

// release releases the lease of a generation.
func (a *admission) release(l *placement.Lease, o sched.Outcome) {
	a.releaseAndServe(func(now time.Time, s *placement.Scheduler) {
		if s.Release(now, l, o) {
			a.onEject(l.Target)
		}
	})
}

// releaseCall releases the lease of a service call. The other instances are not notified,
// because such a call ends before they could use the information.
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

// typicalLatency returns the typical latency of a service call at the lease's endpoint.
func (a *admission) typicalLatency(l *placement.Lease) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.sched.AverageLatency(l)
}

// expectedPrefillTime returns the expected duration of the lease's prefill.
func (a *admission) expectedPrefillTime(l *placement.Lease) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.sched.ExpectedPrefillTime(l)
}

// lengthsOf returns the output length statistics of a pool. The caller holds the lock.
func (a *admission) lengthsOf(pool string) *placement.LengthPredictor {
	l := a.outputLengths[pool]
	if l == nil {
		l = &placement.LengthPredictor{}
		a.outputLengths[pool] = l
	}
	return l
}

// predictOutput returns the expected number of output tokens of a generation.
func (a *admission) predictOutput(c *Call) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.lengthsOf(c.Pool.Name).Predict(c.OutputHint, c.MaxOutputTokens)
}

// observeOutput records the length of a complete output.
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

// queueLength returns the number of generations queued on this instance.
func (a *admission) queueLength() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.queue.Len()
}
