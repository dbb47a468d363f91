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

// roomTick is how often waiting requests are looked at when nothing else wakes them;
// memory at the engines moves with every event of their streams.
const roomTick = 10 * time.Millisecond

// room holds the scheduler and the generations that wait for a place.
type room struct {
	now func() time.Time

	mu      sync.Mutex
	sched   *placement.Scheduler
	line    placement.Line
	granted map[*placement.Waiter]chan *placement.Lease
	lengths map[string]*placement.Lengths // by pool
	ticking bool
	ejected func(ep *config.Endpoint)
	changed func() // told of every place taken or given back; must not block
}

func newRoom(s *placement.Scheduler, ejected func(*config.Endpoint)) *room {
	return &room{now: time.Now, sched: s, granted: map[*placement.Waiter]chan *placement.Lease{}, lengths: map[string]*placement.Lengths{}, ejected: ejected, changed: func() {}}
}

// engine waits for a place. The error is a refusal with the time to come back.
func (r *room) engine(ctx context.Context, w *placement.Waiter) (*placement.Lease, error) {
	r.mu.Lock()
	now := r.now()
	if r.line.Len() == 0 {
		if l := r.sched.Engine(now, w.Demand); l != nil {
			r.mu.Unlock()
			r.changed()
			return l, nil
		}
	}
	if !r.sched.Usable(now, w.Demand.Pool) {
		r.mu.Unlock()
		return nil, refusal(errkind.NoEndpoint, "no engine can be used", time.Second)
	}
	if wait := r.line.Predict(now, r.sched, w); now.Add(wait).After(w.Latest) {
		r.mu.Unlock()
		return nil, refusal(errkind.QueueFull, "the engines are full", wait)
	}
	ch := make(chan *placement.Lease, 1)
	r.granted[w] = ch
	r.line.Push(w)
	r.serve(now)
	r.tick()
	r.mu.Unlock()
	r.changed()

	timer := time.NewTimer(time.Until(w.Latest))
	defer timer.Stop()
	select {
	case l := <-ch:
		return l, nil
	case <-ctx.Done():
	case <-timer.C:
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case l := <-ch:
		if ctx.Err() == nil {
			return l, nil
		}
		r.sched.Release(r.now(), l, sched.Abandoned)
	default:
		r.line.Remove(w)
		delete(r.granted, w)
	}
	if ctx.Err() != nil {
		return nil, context.Cause(ctx)
	}
	return nil, refusal(errkind.QueueFull, "the engines stayed full", r.line.Predict(r.now(), r.sched, w))
}

// serve grants places to those that wait. The caller holds the lock.
func (r *room) serve(now time.Time) {
	for _, g := range r.line.Serve(now, r.sched) {
		r.granted[g.Waiter] <- g.Lease
		delete(r.granted, g.Waiter)
		r.changed()
	}
}

// tick looks at the line again soon, as long as somebody waits. The caller holds the lock.
func (r *room) tick() {
	if r.ticking || r.line.Len() == 0 {
		return
	}
	r.ticking = true
	time.AfterFunc(roomTick, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.ticking = false
		r.serve(r.now())
		r.tick()
	})
}

// with runs f with the scheduler.
func (r *room) with(f func(now time.Time, s *placement.Scheduler)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(r.now(), r.sched)
}

// freed runs f, which gives something back, and serves those that wait.
func (r *room) freed(f func(now time.Time, s *placement.Scheduler)) {
	r.mu.Lock()
	now := r.now()
	f(now, r.sched)
	r.serve(now)
	r.mu.Unlock()
	r.changed()
}

// peek shows f the scheduler and the line.
func (r *room) peek(f func(now time.Time, s *placement.Scheduler, l *placement.Line)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(r.now(), r.sched, &r.line)
}

// release gives back the places of a generation.
func (r *room) release(l *placement.Lease, o sched.Outcome) {
	r.freed(func(now time.Time, s *placement.Scheduler) {
		if s.Release(now, l, o) {
			r.ejected(l.Target)
		}
	})
}

// answered gives back the place of a plain call. The other instances are not told: it
// is over before they could use it.
func (r *room) answered(l *placement.Lease, o sched.Outcome) {
	r.with(func(now time.Time, s *placement.Scheduler) {
		if s.Release(now, l, o) {
			r.ejected(l.Target)
		}
	})
}

func (r *room) prefillDone(l *placement.Lease, o sched.Outcome) {
	ep := l.Prefill
	r.freed(func(now time.Time, s *placement.Scheduler) {
		if s.PrefillDone(now, l, o) {
			r.ejected(ep)
		}
	})
}

// usual returns the usual latency of a plain call at the lease's endpoint.
func (r *room) usual(l *placement.Lease) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sched.Usual(l)
}

// prefillTime returns the time that the lease's prefill is expected to take.
func (r *room) prefillTime(l *placement.Lease) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sched.PrefillTime(l)
}

// lengthsOf returns what is known of a pool's outputs. The caller holds the lock.
func (r *room) lengthsOf(pool string) *placement.Lengths {
	l := r.lengths[pool]
	if l == nil {
		l = &placement.Lengths{}
		r.lengths[pool] = l
	}
	return l
}

// expect returns the output that a generation is expected to make.
func (r *room) expect(c *Call) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lengthsOf(c.Pool.Name).Predict(c.Hint, c.Output)
}

// learn records a whole output.
func (r *room) learn(c *Call, output int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lengthsOf(c.Pool.Name).Observe(output, c.Hint)
}

// calm reports whether nobody waits, here or at another instance.
func (r *room) calm() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.line.Calm(r.now(), r.sched)
}

// redirect moves a generation to another decode engine.
func (r *room) redirect(l *placement.Lease, d placement.Demand, o sched.Outcome) (moved bool) {
	from := l.Target
	r.freed(func(now time.Time, s *placement.Scheduler) {
		var ejected bool
		if moved, ejected = s.Redirect(now, l, d, o); ejected {
			r.ejected(from)
		}
	})
	return moved
}

// waiting returns how many generations wait here.
func (r *room) waiting() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.line.Len()
}
