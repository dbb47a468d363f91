package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"carawayrouter.example/router/internal/sched"
)

// arrival is one generation of a load pattern.
type arrival struct {
	at             time.Duration
	prompt, output int
}

// overload returns arrivals at twice the rate that two decode engines of 40,000 tokens
// serve, over some seconds and with prompts and outputs of the usual sizes.
func overload() []arrival {
	var arrivals []arrival
	sizes := []struct{ prompt, output int }{{5200, 4800}, {2100, 2200}, {9800, 7400}, {4700, 3600}, {6100, 5100}}
	for i := range 60 {
		s := sizes[i%len(sizes)]
		arrivals = append(arrivals, arrival{at: time.Duration(i) * 120 * time.Millisecond, prompt: s.prompt, output: s.output})
	}
	return arrivals
}

const (
	latencyTarget = 900 * time.Millisecond
	maxWait       = 2700 * time.Millisecond
	tokenTime     = 700 * time.Microsecond
	tick          = 10 * time.Millisecond
)

// simulate serves the arrivals with the given due times and returns how many start on time,
// late, and not at all.
func simulate(t *testing.T, arrivals []arrival, due func(arrived time.Time) time.Time) (onTime, late, refused int) {
	s := newScheduler(7, engines(2, 2, 40000))
	var queue Queue
	endTimes := map[*Lease]time.Time{}
	granted := func(now time.Time, w *Waiter, l *Lease) {
		s.PrefillDone(now, l, sched.Succeeded)
		endTimes[l] = now.Add(time.Duration(w.Demand.MaxOutput) * tokenTime)
		if now.Sub(w.Arrived) <= latencyTarget {
			onTime++
		} else {
			late++
		}
	}
	next := 0
	for now := start; next < len(arrivals) || queue.Len() > 0; now = now.Add(tick) {
		for l, end := range endTimes {
			if !now.Before(end) {
				s.Release(now, l, sched.Succeeded)
				delete(endTimes, l)
			}
		}
		for ; next < len(arrivals) && !start.Add(arrivals[next].at).After(now); next++ {
			a := arrivals[next]
			queue.Push(&Waiter{Demand: demand(a.prompt, a.output), Arrived: now, Due: due(now), Deadline: now.Add(maxWait)})
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

// Under a burst above capacity, FIFO order starts nearly every generation late. Serving
// those that can still meet the target first starts more of them on time.
func TestLateWaitersYieldToThoseOnTime(t *testing.T) {
	neverDue := func(arrived time.Time) time.Time { return arrived.Add(time.Hour) }
	atTarget := func(arrived time.Time) time.Time { return arrived.Add(latencyTarget) }
	onTimeFIFO, lateFIFO, refusedFIFO := simulate(t, overload(), neverDue)
	onTime, late, refused := simulate(t, overload(), atTarget)
	t.Logf("FIFO: %d on time, %d late, %d refused; by due time: %d, %d, %d", onTimeFIFO, lateFIFO, refusedFIFO, onTime, late, refused)
	assert.Assert(t, onTime > onTimeFIFO)
	assert.Equal(t, onTime+late+refused, len(overload()))
}

// The capacity for an earlier waiter of another instance is left free.
func TestRemoteWaiterHasItsTurn(t *testing.T) {
	s := newScheduler(1, engines(1, 1, 10000))
	first := &Waiter{Demand: demand(5000, 2000), Arrived: start, Due: start.Add(latencyTarget)}
	s.SetPeer("other", &PeerState{UpdatedAt: start, Waiters: []*Waiter{first}})
	var queue Queue
	queue.Push(&Waiter{Demand: demand(5000, 2000), Arrived: start.Add(tick), Due: start.Add(latencyTarget + tick), Deadline: start.Add(maxWait)})
	assert.Equal(t, len(queue.Serve(start.Add(tick), s)), 0)
	assert.Equal(t, len(queue.Serve(start.Add(peerWaitersTTL+tick), s)), 1, "the other instance's report has expired")
}

// Small requests stop overtaking a large one after maxBypassTime.
func TestLargeWaiterIsNotStarved(t *testing.T) {
	s := newScheduler(1, engines(1, 1, 12000))
	lease := s.AcquireEngine(start, demand(5000, 1000))
	s.PrefillDone(start, lease, sched.Succeeded)
	var queue Queue
	large := &Waiter{Demand: demand(9000, 1000), Arrived: start, Due: start.Add(latencyTarget), Deadline: start.Add(maxWait)}
	queue.Push(large)
	now := start.Add(maxBypassTime + tick)
	for i := range 5 {
		queue.Push(&Waiter{Demand: demand(500, 100), Arrived: start.Add(time.Duration(i+1) * tick), Due: start.Add(latencyTarget), Deadline: start.Add(maxWait)})
	}
	assert.Equal(t, len(queue.Serve(now, s)), 0, "small ones wait behind the large one after maxBypassTime")
	s.Release(now, lease, sched.Succeeded)
	granted := queue.Serve(now, s)
	assert.Assert(t, len(granted) > 0 && granted[0].Waiter == large)
}

// The predicted wait, which a refused caller gets as retry time, grows with the waiters
// before it.
func TestPredictWaitGrowsWithQueue(t *testing.T) {
	s := newScheduler(1, engines(1, 1, 40000))
	var queue Queue
	previous := time.Duration(0)
	for range 5 {
		w := &Waiter{Demand: demand(5000, 5000), Arrived: start, Due: start.Add(latencyTarget)}
		d := queue.PredictWait(start, s, w)
		assert.Assert(t, d > previous)
		previous = d
		queue.Push(w)
	}
}

// Two instances resume broken streams at the same time. If both choose the same engine, the
// prefill of their output delays its other streams: in scenario barniz-quito trouble-1, 13,000
// tokens at one engine delayed ten streams by 540 ms after a power loss. Each instance
// leaves the engine free that the other's waiter takes, so they choose different ones.
func TestBrokenStreamsOfTwoInstancesChooseDifferentEngines(t *testing.T) {
	demand := Demand{Pool: modelPool, Prompt: 2000, MaxOutput: 9360, ExpectedOutput: 9000, Generated: 6400}
	first := &Waiter{Demand: demand, Arrived: start, Due: start.Add(latencyTarget), Deadline: start.Add(maxWait)}
	second := &Waiter{Demand: demand, Arrived: start.Add(time.Millisecond), Due: start.Add(latencyTarget), Deadline: start.Add(maxWait)}
	engineFor := func(own, other *Waiter) string {
		s := newScheduler(1, engines(2, 2, 100000))
		s.SetPeer("other", &PeerState{UpdatedAt: start, Waiters: []*Waiter{other},
			// One engine has less load, so that both instances would prefer it.
			Generations: map[string][]Generation{"decode-2": {{Prompt: 4000, PlannedOutput: 4000, AsOf: start}}}})
		var q Queue
		q.Push(own)
		grants := q.Serve(start.Add(2*time.Millisecond), s)
		assert.Equal(t, len(grants), 1)
		return grants[0].Lease.Target.Name
	}
	assert.Equal(t, engineFor(first, second), "decode-3")
	assert.Equal(t, engineFor(second, first), "decode-2")
}

// All callers return after a restart, more than the engines can take. A stream that its caller
// took up again goes before new ones that came earlier, of this and of other instances, and yields
// like them once it is late.
func TestBrokenStreamsGoBeforeNewOnes(t *testing.T) {
	waiter := func(generated, priority int, arrived, due time.Duration) *Waiter {
		return &Waiter{Demand: Demand{Pool: "m", Generated: generated}, Arrived: start.Add(arrived), Due: start.Add(due), Priority: priority}
	}
	broken, first := waiter(10, 0, time.Second, 3*time.Second), waiter(0, 0, 0, 3*time.Second)
	late, urgent := waiter(10, 0, 0, time.Second), waiter(0, -1, time.Second, 3*time.Second)
	now := start.Add(2 * time.Second)
	s := newScheduler(7, engines(2, 2, 40000))
	s.SetPeer("other", &PeerState{UpdatedAt: now, Waiters: []*Waiter{first}})
	queue := Queue{waiting: []*Waiter{late, broken, urgent}}
	got := queue.ordered(now, s)
	for i, want := range []*Waiter{urgent, broken, first, late} {
		assert.Assert(t, got[i] == want, "position %d", i)
	}
}
