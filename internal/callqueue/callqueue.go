// Package callqueue orders the plain calls that wait at an instance because no endpoint of their pool has room. It opens no sockets
// and starts no goroutines; the current time is an argument.
//
// It answers bursts of calls above the endpoints' places, and endpoints that are lost for a moment: an endpoint turns away what comes
// beyond its own queue, by arrival, which costs an attempt and the caller's time.
package callqueue

import (
	"math"
	"slices"
	"time"
)

// Limits bound what waits.
type Limits struct {
	Calls int
	Bytes int // of the calls' bodies
}

// Call is a plain call that waits.
type Call struct {
	Pool      string
	Rank      int // lower values first
	Account   string
	Due       time.Time // latest start that meets the latency target
	LastStart time.Time // latest start with which the call still ends in time
	Bytes     int
	Standing  Standing // when it entered

	arrival uint64
	entered time.Time
}

// Standing is what is known of a call's chances, for its refusal and the log.
type Standing struct {
	Ahead     int           // calls of the pool that go first
	Predicted time.Duration // until it is served; negative if nothing is known
	Waiting   int           // calls that wait at the instance
}

// freedTime is the time over which the rate of places that waiting calls get is taken: some calls, and well within a caller's patience.
const freedTime = 500 * time.Millisecond

// minFreed is the number of places that waiting calls must have got lately for their rate to count.
const minFreed = 4

// predictionError is the part by which a predicted wait may be too long.
const predictionError = 0.3

// freed is the decaying number of places of a pool that waiting calls got. Others tell nothing: where nothing waits, calls end as
// they come.
type freed struct {
	count     float64
	since, at time.Time // since when calls wait, and of the last place
}

// Queue holds the calls that wait at an instance. It is not safe for concurrent use.
type Queue struct {
	limits   Limits
	waiting  []*Call
	bytes    int
	arrivals uint64
	turns    uint64
	// served is the turn in which each account with waiting calls was served last.
	served map[string]uint64
	freed  map[string]*freed // by pool
}

// New returns an empty queue.
func New(l Limits) *Queue {
	return &Queue{limits: l, served: map[string]uint64{}, freed: map[string]*freed{}}
}

// Len returns the number of waiting calls.
func (q *Queue) Len() int { return len(q.waiting) }

// Waits reports whether calls of a pool wait.
func (q *Queue) Waits(pool string) bool {
	return slices.ContainsFunc(q.waiting, func(c *Call) bool { return c.Pool == pool })
}

// got records that a waiting call of a pool got a place.
func (q *Queue) got(now time.Time, pool string) {
	if f := q.freed[pool]; f != nil {
		f.decay(now)
		f.count++
	}
}

func (f *freed) decay(now time.Time) {
	if age := now.Sub(f.at); age > 0 {
		f.count *= math.Exp(-age.Seconds() / freedTime.Seconds())
	}
	f.at = now
}

// predict estimates how long a call waits with as many before it.
func (q *Queue) predict(now time.Time, pool string, ahead int) time.Duration {
	f := q.freed[pool]
	if f == nil {
		return -1
	}
	f.decay(now)
	if f.count < minFreed {
		return -1
	}
	// The part of freedTime that the places were counted over.
	counted := float64(freedTime) * (1 - math.Exp(-now.Sub(f.since).Seconds()/freedTime.Seconds()))
	return time.Duration(float64(ahead+1) / f.count * counted)
}

// compare orders calls: by rank, then those that can still meet the latency target, then the accounts that were served least
// lately, then by the latest start. It is negative if a goes first.
func (q *Queue) compare(now time.Time, a, b *Call) int {
	switch lateA, lateB := now.After(a.Due), now.After(b.Due); {
	case a.Rank != b.Rank:
		return a.Rank - b.Rank
	case lateA != lateB:
		return firstIf(lateB)
	case q.served[a.Account] != q.served[b.Account]:
		return firstIf(q.served[a.Account] < q.served[b.Account])
	case !a.LastStart.Equal(b.LastStart):
		return a.LastStart.Compare(b.LastStart)
	}
	return firstIf(a.arrival < b.arrival)
}

func firstIf(first bool) int {
	if first {
		return -1
	}
	return 1
}

// ahead returns the number of calls that go before c: all of better ranks, and of its rank as many of each other account as
// it has itself, as accounts take turns.
func (q *Queue) ahead(now time.Time, c *Call) int {
	own, others, n := 0, map[string]int{}, 0
	for _, w := range q.waiting {
		switch {
		case w.Pool != c.Pool || w == c:
		case w.Rank < c.Rank:
			n++
		case w.Rank > c.Rank:
		case w.Account == c.Account:
			own++
		default:
			others[w.Account]++
		}
	}
	for _, waiting := range others {
		n += min(waiting, own+1)
	}
	return n + own
}

// Enter adds a call, or reports that it would wait in vain, with the time to come back. If the queue is full, a call of the worst
// rank leaves it: the last one of the account with the most; that may be the newcomer.
func (q *Queue) Enter(now time.Time, c *Call) (evicted *Call, retryAfter time.Duration, ok bool) {
	c.arrival, c.entered = q.arrivals, now
	q.arrivals++
	ahead := q.ahead(now, c)
	c.Standing = Standing{Ahead: ahead, Predicted: q.predict(now, c.Pool, ahead), Waiting: len(q.waiting)}
	patience := c.LastStart.Sub(now)
	if patience <= 0 || float64(c.Standing.Predicted)*(1-predictionError) > float64(patience) {
		return nil, max(0, c.Standing.Predicted), false
	}
	q.add(c)
	if len(q.waiting) <= q.limits.Calls && q.bytes <= q.limits.Bytes {
		return nil, 0, true
	}
	evicted = q.last()
	q.Remove(evicted)
	if evicted == c {
		return nil, max(0, c.Standing.Predicted), false
	}
	if len(q.waiting) > q.limits.Calls || q.bytes > q.limits.Bytes {
		// One that is larger than what left.
		q.Remove(c)
		return evicted, max(0, c.Standing.Predicted), false
	}
	return evicted, 0, true
}

func (q *Queue) add(c *Call) {
	if q.freed[c.Pool] == nil {
		q.freed[c.Pool] = &freed{since: c.entered, at: c.entered}
	}
	q.waiting = append(q.waiting, c)
	q.bytes += c.Bytes
	if _, known := q.served[c.Account]; !known {
		q.served[c.Account] = 0
	}
}

// last returns the call that leaves a full queue.
func (q *Queue) last() *Call {
	counts := map[string]int{}
	for _, c := range q.waiting {
		counts[c.Account]++
	}
	return slices.MaxFunc(q.waiting, func(a, b *Call) int {
		switch {
		case a.Rank != b.Rank:
			return a.Rank - b.Rank
		case counts[a.Account] != counts[b.Account]:
			return counts[a.Account] - counts[b.Account]
		}
		return firstIf(a.arrival < b.arrival)
	})
}

// Remove takes a call out, if it waits.
func (q *Queue) Remove(c *Call) {
	i := slices.Index(q.waiting, c)
	if i < 0 {
		return
	}
	q.waiting = slices.Delete(q.waiting, i, i+1)
	q.bytes -= c.Bytes
	if !slices.ContainsFunc(q.waiting, func(other *Call) bool { return other.Account == c.Account }) {
		delete(q.served, c.Account)
	}
	if !q.Waits(c.Pool) {
		delete(q.freed, c.Pool)
	}
}

// maxUnplaced is the number of calls of a pool without a place at which Serve stops looking: one may be left out by the endpoints that
// failed it, while others are not.
const maxUnplaced = 3

// Serve takes out the calls for which place finds a place, in order.
func (q *Queue) Serve(now time.Time, place func(*Call) bool) {
	unplaced := map[string][]*Call{}
	for {
		var first *Call
		for _, c := range q.waiting {
			tried := unplaced[c.Pool]
			if len(tried) < maxUnplaced && !slices.Contains(tried, c) && (first == nil || q.compare(now, c, first) < 0) {
				first = c
			}
		}
		if first == nil {
			return
		}
		if !place(first) {
			unplaced[first.Pool] = append(unplaced[first.Pool], first)
			continue
		}
		q.turns++
		q.served[first.Account] = q.turns
		q.got(now, first.Pool)
		q.Remove(first)
	}
}

// Expire takes out and returns the calls that can no longer end in time.
func (q *Queue) Expire(now time.Time) []*Call {
	var expired []*Call
	for _, c := range q.waiting {
		if now.After(c.LastStart) {
			expired = append(expired, c)
		}
	}
	for _, c := range expired {
		q.Remove(c)
	}
	return expired
}

// Clear takes out and returns all calls.
func (q *Queue) Clear() []*Call {
	all := q.waiting
	q.waiting, q.bytes = nil, 0
	clear(q.served)
	clear(q.freed)
	return all
}
