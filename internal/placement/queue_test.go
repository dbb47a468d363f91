package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"carawayrouter.example/router/internal/sched"
)

// burst is a recorded pattern of load: more generations than the engines hold arrive for
// some seconds. Prompts and outputs are of the usual sizes.
type burst struct {
	at             time.Duration
	prompt, output int
}

// overload returns arrivals at twice of what two decode engines of 40,000 tokens serve.
func overload() []burst {
	var out []burst
	sizes := []struct{ prompt, output int }{{5200, 4800}, {2100, 2200}, {9800, 7400}, {4700, 3600}, {6100, 5100}}
	for i := range 60 {
		s := sizes[i%len(sizes)]
		out = append(out, burst{at: time.Duration(i) * 120 * time.Millisecond, prompt: s.prompt, output: s.output})
	}
	return out
}

const (
	goal     = 900 * time.Millisecond
	patient  = 2700 * time.Millisecond
	tokenT   = 700 * time.Microsecond
	tickTime = 10 * time.Millisecond
)

// replay serves the arrivals with the given order and returns how many start on time,
// late, and not at all.
func replay(t *testing.T, arrivals []burst, due func(arrived time.Time) time.Time) (onTime, late, refused int) {
	s := newScheduler(7, engines(2, 2, 40000))
	var queue Queue
	ends := map[*Lease]time.Time{}
	granted := func(now time.Time, w *Waiter, l *Lease) {
		s.PrefillDone(now, l, sched.Succeeded)
		ends[l] = now.Add(time.Duration(w.Demand.MaxOutput) * tokenT)
		if now.Sub(w.Arrived) <= goal {
			onTime++
		} else {
			late++
		}
	}
	i := 0
	for now := start; i < len(arrivals) || queue.Len() > 0; now = now.Add(tickTime) {
		for l, end := range ends {
			if !now.Before(end) {
				s.Release(now, l, sched.Succeeded)
				delete(ends, l)
			}
		}
		for ; i < len(arrivals) && !start.Add(arrivals[i].at).After(now); i++ {
			a := arrivals[i]
			queue.Push(&Waiter{Demand: demand(a.prompt, a.output), Arrived: now, Due: due(now), Deadline: now.Add(patient)})
		}
		for _, g := range queue.Serve(now, s) {
			granted(now, g.Waiter, g.Lease)
		}
		for _, w := range append([]*Waiter{}, queue.Waiters()...) {
			if now.After(w.Deadline) {
				queue.Remove(w)
				refused++
			}
		}
	}
	return onTime, late, refused
}

// Under a burst above capacity, first come first served makes nearly everybody late;
// those that can still be on time go first.
func TestLateWaitersYieldToThoseOnTime(t *testing.T) {
	fifo := func(arrived time.Time) time.Time { return arrived.Add(time.Hour) }
	byDue := func(arrived time.Time) time.Time { return arrived.Add(goal) }
	onTimeFIFO, lateFIFO, refusedFIFO := replay(t, overload(), fifo)
	onTime, late, refused := replay(t, overload(), byDue)
	t.Logf("first come: %d on time, %d late, %d refused; by due time: %d, %d, %d", onTimeFIFO, lateFIFO, refusedFIFO, onTime, late, refused)
	assert.Assert(t, onTime > onTimeFIFO)
	assert.Equal(t, onTime+late+refused, len(overload()))
}

// A waiter at another instance that goes first keeps its place free here.
func TestRemoteWaiterHasItsTurn(t *testing.T) {
	s := newScheduler(1, engines(1, 1, 10000))
	first := &Waiter{Demand: demand(5000, 2000), Arrived: start, Due: start.Add(goal)}
	s.SetPeer("other", &PeerState{UpdatedAt: start, Waiters: []*Waiter{first}})
	var queue Queue
	queue.Push(&Waiter{Demand: demand(5000, 2000), Arrived: start.Add(tickTime), Due: start.Add(goal + tickTime), Deadline: start.Add(patient)})
	assert.Equal(t, len(queue.Serve(start.Add(tickTime), s)), 0)
	assert.Equal(t, len(queue.Serve(start.Add(waitingLife+tickTime), s)), 1, "the word of the other instance has aged")
}

// A large request is not passed by small ones for ever.
func TestLargeWaiterIsNotStarved(t *testing.T) {
	s := newScheduler(1, engines(1, 1, 12000))
	held := s.AcquireEngine(start, demand(5000, 1000))
	s.PrefillDone(start, held, sched.Succeeded)
	var queue Queue
	large := &Waiter{Demand: demand(9000, 1000), Arrived: start, Due: start.Add(goal), Deadline: start.Add(patient)}
	queue.Push(large)
	now := start.Add(patience + tickTime)
	for i := range 5 {
		queue.Push(&Waiter{Demand: demand(500, 100), Arrived: start.Add(time.Duration(i+1) * tickTime), Due: start.Add(goal), Deadline: start.Add(patient)})
	}
	assert.Equal(t, len(queue.Serve(now, s)), 0, "small ones wait behind the large one once its patience is over")
	s.Release(now, held, sched.Succeeded)
	granted := queue.Serve(now, s)
	assert.Assert(t, len(granted) > 0 && granted[0].Waiter == large)
}

// The predicted wait grows with those before, and is what a refused caller is told.
func TestPredictGrowsWithTheQueue(t *testing.T) {
	s := newScheduler(1, engines(1, 1, 40000))
	var queue Queue
	last := time.Duration(0)
	for range 5 {
		w := &Waiter{Demand: demand(5000, 5000), Arrived: start, Due: start.Add(goal)}
		d := queue.PredictWait(start, s, w)
		assert.Assert(t, d > last)
		last = d
		queue.Push(w)
	}
}

// barniz-quito trouble-1, after the power loss: callers took up their streams at several
// instances, which placed two of them on one engine at the same moment; reading 13,000
// tokens held up its ten streams for 540 ms. Each instance keeps the engine of the other's
// turn free, so that they choose different ones.
func TestBrokenStreamsOfTwoInstancesChooseDifferentEngines(t *testing.T) {
	demand := Demand{Pool: model, Prompt: 2000, MaxOutput: 9360, ExpectedOutput: 9000, Generated: 6400}
	first := &Waiter{Demand: demand, Arrived: start, Due: start.Add(goal), Deadline: start.Add(patient)}
	second := &Waiter{Demand: demand, Arrived: start.Add(time.Millisecond), Due: start.Add(goal), Deadline: start.Add(patient)}
	place := func(own, other *Waiter) string {
		s := newScheduler(1, engines(2, 2, 100000))
		s.SetPeer("other", &PeerState{UpdatedAt: start, Waiters: []*Waiter{other},
			// One engine is lighter, so that both would prefer it.
			Generations: map[string][]Generation{"decode-2": {{Prompt: 4000, PlannedOutput: 4000, AsOf: start}}}})
		var q Queue
		q.Push(own)
		grants := q.Serve(start.Add(2*time.Millisecond), s)
		assert.Equal(t, len(grants), 1)
		return grants[0].Lease.Target.Name
	}
	assert.Equal(t, place(first, second), "decode-3")
	assert.Equal(t, place(second, first), "decode-2")
}
