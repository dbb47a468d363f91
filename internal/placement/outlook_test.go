package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"carawayrouter.example/router/internal/scarcity"
	"carawayrouter.example/router/internal/sched"
)

// burst returns some seconds at about three quarters of what eight decode engines serve, with three seconds at 2.2 times that.
func burst() []*replayed {
	return inOrder(poisson(1, 12, 0, 8*time.Second, 0), poisson(2, 14.4, 3*time.Second, 6*time.Second, 0))
}

// In a burst requests waited until shortly before their callers leave, and were refused then. Those that will not have a
// place in time are refused as soon as that is known, and no fewer of the others are served.
func TestBurstIsRefusedAtOnce(t *testing.T) {
	play := func(giveUp bool) []*replayed {
		requests := burst()
		f := newReplayFleet(6, engines(4, 8, 40000), replayRules{giveUp: giveUp})
		f.run(requests, func(now time.Time) {
			if now.Equal(start.Add(4 * time.Second)) {
				f.lose(now, 0.45)
			}
		})
		median, most := refusedWaits(requests)
		t.Logf("giving up %v: %d asked, %.2f on time, %.2f started, refused after %v (median), %v (most)", giveUp, len(requests),
			share(requests, (*replayed).onTime), share(requests, func(r *replayed) bool { return r.started }), median, most)
		return requests
	}
	before, after := play(false), play(true)
	started := func(r *replayed) bool { return r.started }
	medianBefore, _ := refusedWaits(before)
	median, _ := refusedWaits(after)
	assert.Assert(t, median < medianBefore/2)
	waitedInVain := func(r *replayed) bool { return !r.started && r.waited > 2300*time.Millisecond }
	assert.Assert(t, share(after, waitedInVain) < share(before, waitedInVain)/10)
	assert.Assert(t, share(after, (*replayed).onTime) >= share(before, (*replayed).onTime)-0.02)
	assert.Assert(t, share(after, started) >= share(before, started)-0.02)
}

// A request that a free place serves is not refused, whatever waits elsewhere.
func TestFreePlaceIsNotRefused(t *testing.T) {
	s := newScheduler(1, engines(1, 2, 20000))
	var queue Queue
	w := &Waiter{Demand: demand(5000, 4000), Arrived: start, Due: start.Add(latencyTarget), Deadline: start.Add(tick)}
	_, ok := queue.Enter(start, s, w)
	assert.Assert(t, ok)
	queue.Push(w)
	assert.Equal(t, len(queue.Serve(start, s)), 1)
	assert.Equal(t, len(queue.GiveUp(start, s)), 0)
}

// The engine is full until what runs there ends: whoever leaves before is refused at arrival, with that time to come back.
func TestNewcomerIsRefusedByWhatRuns(t *testing.T) {
	s := newScheduler(1, engines(1, 1, 12000))
	l := s.AcquireEngine(start, demand(6000, 4000))
	s.PrefillDone(start, l, sched.Succeeded)
	var queue Queue
	w := &Waiter{Demand: demand(5000, 2000), Arrived: start, Due: start.Add(latencyTarget), Deadline: start.Add(2 * time.Second)}
	retryAfter, ok := queue.Enter(start, s, w)
	assert.Assert(t, !ok)
	assert.Assert(t, retryAfter >= 4000*defaultTokenTime && retryAfter < 4*time.Second, "%v", retryAfter)
	w.Deadline = start.Add(4 * time.Second)
	_, ok = queue.Enter(start, s, w)
	assert.Assert(t, ok)
}

// An engine has room for one large request, or for some small ones. The large one is served once what runs there has ended, and is not
// refused for the part of a usual place that is left over.
func TestLargeRequestBesideSmallOnesIsNotRefused(t *testing.T) {
	s := newScheduler(1, engines(1, 1, 12000))
	s.PrefillDone(start, s.AcquireEngine(start, demand(2500, 800)), sched.Succeeded)
	var queue Queue
	for _, d := range []Demand{demand(2000, 400), demand(8000, 400)} {
		w := &Waiter{Demand: d, Arrived: start, Due: start.Add(latencyTarget), Deadline: start.Add(4 * time.Second)}
		_, ok := queue.Enter(start, s, w)
		assert.Check(t, ok, "%+v", w.Forecast)
		queue.Push(w)
	}
	now := start
	for range 4 {
		queue.Serve(now, s)
		assert.Equal(t, len(queue.GiveUp(now, s)), 0)
		now = now.Add(outlookInterval)
	}
	assert.Equal(t, queue.Len(), 1)
	assert.Assert(t, queue.waiting[0].Forecast.Wait < 3*time.Second, "%v", queue.waiting[0].Forecast)
}

// Half of the engines are lost while requests wait: those that are not served in time now are refused within three predictions. One
// whose engine is ejected for a moment only is not.
func TestWaitersAreAskedAgainAsEnginesAreLost(t *testing.T) {
	s := newScheduler(1, engines(1, 2, 12000))
	for range 2 {
		s.PrefillDone(start, s.AcquireEngine(start, demand(6000, 2800)), sched.Succeeded)
	}
	var queue Queue
	for range 2 {
		w := &Waiter{Demand: demand(6000, 2800), Arrived: start, Due: start.Add(latencyTarget), Deadline: start.Add(2300 * time.Millisecond)}
		_, ok := queue.Enter(start, s, w)
		assert.Assert(t, ok)
		queue.Push(w)
	}
	giveUp := func(now time.Time) (refused int) {
		for range 3 {
			assert.Equal(t, len(queue.Serve(now, s)), 0)
			refused += len(queue.GiveUp(now, s))
			now = now.Add(outlookInterval)
		}
		return refused
	}
	assert.Equal(t, giveUp(start.Add(tick)), 0)
	x := s.endpoints["decode-2"]
	x.ejectedUntil = start.Add(time.Second)
	assert.Equal(t, giveUp(start.Add(200*time.Millisecond)), 0, "it is back in time")
	x.recordOutcome(start.Add(400*time.Millisecond), sched.Unreachable)
	assert.Equal(t, giveUp(start.Add(400*time.Millisecond)), 1, "one engine serves one of the two in time")
	assert.Equal(t, queue.Len(), 1)
}

// An engine that has gone without a trace leaves nothing to predict: nobody is refused for it here.
func TestNothingIsPredictedWithoutEngines(t *testing.T) {
	s := newScheduler(1, engines(1, 1, 12000))
	s.endpoints["decode-1"].recordOutcome(start, sched.Unreachable)
	var queue Queue
	w := &Waiter{Demand: demand(6000, 2800), Arrived: start, Deadline: start.Add(time.Second)}
	_, ok := queue.Enter(start, s, w)
	assert.Assert(t, ok && !w.Forecast.Known)
	assert.Assert(t, !scarcity.InVain(w.Forecast.Wait, time.Second))
}
