package placement

import (
	"slices"
	"time"

	"carawayrouter.example/router/internal/config"
	"carawayrouter.example/router/internal/sched"
)

// patience is how long a waiter may be passed by smaller ones behind it that fit.
const patience = 300 * time.Millisecond

// passOver is how many that do not fit are looked past for smaller ones that do; more
// cost processor time and seldom bring a place.
const passOver = 4

// waitingLife is how long the word of another instance that somebody waits there is
// believed; while somebody waits, it is repeated more often.
const waitingLife = 150 * time.Millisecond

// Waiter is a generation that waits for a place.
type Waiter struct {
	Demand   Demand
	Arrived  time.Time
	Due      time.Time // latest start for an answer on time
	Deadline time.Time // latest start at all
	Priority int       // 0 goes first
}

// Grant is a place given to a waiter.
type Grant struct {
	Waiter *Waiter
	Lease  *Lease
}

// Queue is the order of those that wait. It answers bursts above what the engines can
// serve: first come, first served would make every answer late once the queue is longer
// than the latency target, so whoever can still be on time goes before whoever cannot.
// It is not safe for concurrent use.
type Queue struct {
	waiting []*Waiter
}

// Len returns the number of waiters.
func (q *Queue) Len() int { return len(q.waiting) }

// Push adds a waiter.
func (q *Queue) Push(w *Waiter) { q.waiting = append(q.waiting, w) }

// Remove takes a waiter out.
func (q *Queue) Remove(w *Waiter) {
	if i := slices.Index(q.waiting, w); i >= 0 {
		q.waiting = slices.Delete(q.waiting, i, i+1)
	}
}

// before reports whether a goes before b: those that can be on time first, then by
// urgency, then by arrival.
func before(now time.Time, a, b *Waiter) int {
	lateA, lateB := now.After(a.Due), now.After(b.Due)
	switch {
	case lateA != lateB && lateB:
		return -1
	case lateA != lateB:
		return 1
	case a.Priority != b.Priority:
		return a.Priority - b.Priority
	}
	return a.Arrived.Compare(b.Arrived)
}

// Serve places those that fit, in order. Those that wait at other instances have their
// turn too: what they would take is kept free for them.
func (q *Queue) Serve(now time.Time, s *Scheduler) []Grant {
	if len(q.waiting) == 0 {
		return nil
	}
	var out []Grant
	var kept []*Waiter
	var keptFree []*Lease
	blocked := map[string]bool{}
	failed := 0
	own := map[*Waiter]bool{}
	for _, w := range q.waiting {
		own[w] = true
	}
	for _, w := range q.ordered(now, s) {
		if !blocked[w.Demand.Pool] {
			lease := s.AcquireEngine(now, w.Demand)
			switch {
			case lease != nil && own[w]:
				out = append(out, Grant{Waiter: w, Lease: lease})
				continue
			case lease != nil:
				keptFree = append(keptFree, lease)
				continue
			}
			failed++
			blocked[w.Demand.Pool] = now.Sub(w.Arrived) > patience || failed >= passOver
		}
		if own[w] {
			kept = append(kept, w)
		}
	}
	for _, lease := range keptFree {
		s.Release(now, lease, sched.Abandoned)
	}
	q.waiting = kept
	return out
}

// ordered returns all that wait here and at other instances, in order.
func (q *Queue) ordered(now time.Time, s *Scheduler) []*Waiter {
	all := slices.Clone(q.waiting)
	for _, r := range s.remotes {
		if now.Sub(r.UpdatedAt) <= waitingLife {
			all = append(all, r.Waiters...)
		}
	}
	slices.SortStableFunc(all, func(a, b *Waiter) int { return before(now, a, b) })
	return all
}

// Waiters returns those that wait here.
func (q *Queue) Waiters() []*Waiter { return q.waiting }

// PredictWait estimates how long w would wait: the memory and time of those before it over
// the memory of the usable engines.
func (q *Queue) PredictWait(now time.Time, s *Scheduler, w *Waiter) time.Duration {
	work, capacity := 0.0, 0.0
	step := defaultStep
	for _, x := range s.pools[w.Demand.Pool] {
		if x.ep.Role == config.Decode && x.spec != nil && x.open(now) {
			capacity += memoryHeadroom * float64(x.spec.KVTokens)
			step = x.step
		}
	}
	if capacity == 0 {
		return time.Second
	}
	for _, o := range q.ordered(now, s) {
		if o != w && o.Demand.Pool == w.Demand.Pool && before(now, o, w) <= 0 {
			work += area(o.Demand, step)
		}
	}
	work += area(w.Demand, step)
	return time.Duration(work / capacity * float64(time.Second))
}

// area returns the memory of a run over its time, in tokens times seconds.
func area(d Demand, step time.Duration) float64 {
	output := float64(d.expected())
	return (float64(d.Prompt+d.Generated) + output/2) * output * step.Seconds()
}
