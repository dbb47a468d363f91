package placement

import (
	"slices"
	"time"

	"carawayrouter.example/router/internal/config"
	"carawayrouter.example/router/internal/scarcity"
	"carawayrouter.example/router/internal/sched"
)

// maxBypassTime is how long a waiter that does not fit may be overtaken by smaller ones
// behind it that do.
const maxBypassTime = 300 * time.Millisecond

// maxUnplaced is the number of waiters that did not fit at which a call of Serve stops
// looking for smaller ones that do. A longer search costs processor time and seldom finds
// one.
const maxUnplaced = 4

// peerWaitersTTL is how long the waiters reported by another instance count. An instance
// with waiters reports them more often than this.
const peerWaitersTTL = 150 * time.Millisecond

// Waiter is a generation that waits for engines.
type Waiter struct {
	Demand   Demand
	Arrived  time.Time
	Due      time.Time // latest start that meets the latency target
	Deadline time.Time // latest start at all
	Priority int       // lower values first
	Forecast Forecast  // the last one that was made for it

	queue *Queue // that it waits in; nil for one of another instance
	doubt scarcity.Doubt
}

// Grant is a lease granted to a waiter.
type Grant struct {
	Waiter *Waiter
	Lease  *Lease
}

// Queue holds the generations of this instance that wait for engines. It is designed for
// bursts above the engines' capacity: under FIFO order every answer would be late once the
// queueing delay exceeds the latency target, so waiters that can still meet the target go
// before those that cannot. It is not safe for concurrent use.
type Queue struct {
	waiting     []*Waiter
	predictedAt time.Time // of the last GiveUp
}

// Len returns the number of waiters.
func (q *Queue) Len() int { return len(q.waiting) }

// Push adds a waiter.
func (q *Queue) Push(w *Waiter) {
	w.queue = q
	q.waiting = append(q.waiting, w)
}

// Remove removes a waiter, if it is in the queue.
func (q *Queue) Remove(w *Waiter) {
	if i := slices.Index(q.waiting, w); i >= 0 {
		q.waiting = slices.Delete(q.waiting, i, i+1)
	}
}

// isBroken reports whether the waiter goes on with a stream.
func (w *Waiter) isBroken() bool { return w.Demand.Generated > 0 }

// compareWaiters orders the waiters of ranked pools by compareRanked, before all others. Of the others it orders those that can
// still meet their latency target before those that cannot, then by priority, then broken streams before new ones, then by arrival. It is negative
// if a goes first.
func (s *Scheduler) compareWaiters(now time.Time, a, b *Waiter) int {
	if s.anyRanked {
		rankedA := s.IsRanked(a.Demand.Pool)
		if b.Demand.Pool != a.Demand.Pool && s.IsRanked(b.Demand.Pool) != rankedA {
			return firstIf(rankedA)
		}
		if rankedA {
			return compareRanked(now, a, b)
		}
	}
	if lateA, lateB := now.After(a.Due), now.After(b.Due); lateA != lateB {
		return firstIf(lateB)
	}
	if a.Priority != b.Priority {
		return a.Priority - b.Priority
	}
	if a.isBroken() != b.isBroken() {
		return firstIf(a.isBroken())
	}
	return a.Arrived.Compare(b.Arrived)
}

func firstIf(first bool) int {
	if first {
		return -1
	}
	return 1
}

// poolVersion is what a waiter can use: the engines of a pool, or those of one software version or of some regions.
// A stream that waits for the few engines of its version does not hold up the others.
type poolVersion struct{ pool, version, homes string }

// group returns what the demand can use.
func (d *Demand) group() poolVersion { return poolVersion{d.Pool, d.SoftwareVersion, d.Homes.key()} }

// Serve places the waiters that fit, in order, and removes them from the queue. The waiters
// of other instances take part in the order: the capacity that they would take is left free
// for them.
func (q *Queue) Serve(now time.Time, s *Scheduler) []Grant {
	if len(q.waiting) == 0 {
		return nil
	}
	var grants []Grant
	var stillWaiting []*Waiter
	var reserved []*Lease
	blocked := map[poolVersion]bool{}
	kept := map[string][]string{} // software versions, by pool, whose engines are kept free for a waiter
	unplaced := map[string]int{}  // by ranked pool, and of all others together
	for _, w := range q.ordered(now, s) {
		need := w.Demand.group()
		if !blocked[need] {
			acquire := s.AcquireEngine
			if w.queue != q {
				acquire = s.reserveForPeer
			}
			d := w.Demand
			d.avoid = kept[d.Pool]
			lease := acquire(now, d)
			switch {
			case lease != nil && w.queue == q:
				grants = append(grants, Grant{Waiter: w, Lease: lease})
				continue
			case lease != nil:
				reserved = append(reserved, lease)
				continue
			}
			group := ""
			if s.IsRanked(d.Pool) {
				group = d.Pool
			}
			unplaced[group]++
			overdue := now.Sub(w.Arrived) > maxBypassTime
			blocked[need] = overdue || unplaced[group] >= maxUnplaced
			if overdue && need.version != "" {
				kept[need.pool] = append(kept[need.pool], need.version)
			}
		}
		if w.queue == q {
			stillWaiting = append(stillWaiting, w)
		}
	}
	for _, lease := range reserved {
		s.Release(now, lease, sched.Abandoned)
	}
	q.waiting = stillWaiting
	return grants
}

// all returns the waiters of this and the other instances.
func (q *Queue) all(now time.Time, s *Scheduler) []*Waiter {
	all := slices.Clone(q.waiting)
	for _, peer := range s.peers {
		if now.Sub(peer.UpdatedAt) <= peerWaitersTTL {
			all = append(all, peer.Waiters...)
		}
	}
	return all
}

// ordered returns the waiters of this and the other instances, in order.
func (q *Queue) ordered(now time.Time, s *Scheduler) []*Waiter {
	all := q.all(now, s)
	slices.SortStableFunc(all, func(a, b *Waiter) int { return s.compareWaiters(now, a, b) })
	return all
}

// Waiters returns the waiters of this instance.
func (q *Queue) Waiters() []*Waiter { return q.waiting }

// PredictWait estimates after which time w is worth another try: the memory-time of the waiters before it and
// its own, divided by the memory of the available engines, but not before it is predicted to start.
func (q *Queue) PredictWait(now time.Time, s *Scheduler, w *Waiter) time.Duration {
	w.Forecast = q.Forecast(now, s, w)
	return q.retryAfter(now, s, w)
}

// retryAfter is PredictWait with the last forecast for w.
func (q *Queue) retryAfter(now time.Time, s *Scheduler, w *Waiter) time.Duration {
	wait := q.shareOfTime(now, s, w)
	if f := w.Forecast; f.Known && f.Wait != scarcity.Never {
		wait = max(wait, f.Wait)
	}
	return wait
}

// shareOfTime returns how long the available engines need for w and the waiters before it.
func (q *Queue) shareOfTime(now time.Time, s *Scheduler, w *Waiter) time.Duration {
	work, capacity, poolCapacity := 0.0, 0.0, 0.0
	tokenTime := defaultTokenTime
	version := w.Demand.SoftwareVersion
	need := *w.Demand.anyEndpoint()
	need.SoftwareVersion = "" // the others count for the order
	for _, x := range s.pools[w.Demand.Pool] {
		if x.ep.Role != config.Decode || x.spec == nil || x.refusal(now, choosing, &need) != "" {
			continue
		}
		memory := memoryHeadroom * float64(x.spec.KVTokens)
		poolCapacity += memory
		if version == "" || version == x.ep.SoftwareVersion {
			capacity += memory
			tokenTime = x.tokenTime
		}
	}
	if capacity == 0 {
		return time.Second
	}
	for _, other := range q.all(now, s) {
		if other == w || other.Demand.Pool != w.Demand.Pool || s.compareWaiters(now, other, w) > 0 {
			continue
		}
		switch need := memoryTime(other.Demand, tokenTime); other.Demand.SoftwareVersion {
		case version:
			work += need
		case "":
			work += need * capacity / poolCapacity
		default:
			if version == "" {
				work += need
			}
		}
	}
	work += memoryTime(w.Demand, tokenTime)
	return max(time.Duration(work/capacity*float64(time.Second)), q.predictTurn(now, s, w))
}

// predictTurn estimates how long w would wait because of the limits that engines announce: the
// waiters of this instance before it and w itself need a turn each.
func (q *Queue) predictTurn(now time.Time, s *Scheduler, w *Waiter) time.Duration {
	before := 0
	need := w.Demand
	need.SoftwareVersion = ""
	for _, other := range q.waiting {
		if other != w && other.Demand.Pool == w.Demand.Pool && s.compareWaiters(now, other, w) <= 0 {
			before++
		}
	}
	return max(s.turnAfter(now, &need, config.Prefill, before), s.turnAfter(now, &need, config.Decode, before))
}

// memoryTime returns a generation's memory use integrated over its duration, in
// token-seconds.
func memoryTime(d Demand, tokenTime time.Duration) float64 {
	output := float64(d.remainingOutput())
	return (float64(d.Prompt+d.Generated) + output/2) * output * tokenTime.Seconds()
}
