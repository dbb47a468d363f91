package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"carawayrouter.example/router/internal/sched"
)

// A stream that its caller takes up again waits for one of the two engines of its version. It came
// before all others and is more urgent, and yet new streams, which any engine can serve, overtake it
// for longer than maxBypassTime.
func TestWaiterForAVersionIsNotOvertakenForever(t *testing.T) {
	for _, version := range []string{"", "v1"} {
		t.Run("version "+version, func(t *testing.T) {
			state := engines(2, 4, 30000)
			for name, ep := range state.Endpoints {
				e := *ep
				e.SoftwareVersion = "v1"
				if name == "decode-4" || name == "decode-5" || name == "prefill-1" {
					e.SoftwareVersion = "v2"
				}
				state.Endpoints[name] = &e
			}
			s := newScheduler(7, state)
			var queue Queue
			ends := map[*Lease]time.Time{}
			big := &Waiter{Demand: demand(14000, 7400), Arrived: start, Due: start.Add(time.Hour), Deadline: start.Add(time.Hour), Priority: -1}
			big.Demand.SoftwareVersion = version
			var began time.Time
			pushed := false
			for now := start.Add(-2 * time.Second); now.Before(start.Add(20 * time.Second)); now = now.Add(tick) {
				for l, end := range ends {
					if !now.Before(end) {
						s.Release(now, l, sched.Succeeded)
						delete(ends, l)
					}
				}
				if !now.Before(start) && !pushed {
					queue.Push(big)
					pushed = true
				}
				for len(queue.waiting) < 40 {
					queue.Push(&Waiter{Demand: demand(700, 500), Arrived: now, Due: now.Add(latencyTarget), Deadline: now.Add(maxWait)})
				}
				for _, g := range queue.Serve(now, s) {
					s.PrefillDone(now, g.Lease, sched.Succeeded)
					if g.Waiter == big {
						began = now
					}
					ends[g.Lease] = now.Add(time.Duration(g.Waiter.Demand.MaxOutput) * tokenTime)
				}
				for _, w := range append([]*Waiter{}, queue.Waiters()...) {
					if now.After(w.Deadline) {
						queue.Remove(w)
					}
				}
			}
			assert.Assert(t, !began.IsZero(), "never placed in 20 s")
			t.Logf("placed after %v", began.Sub(start))
			assert.Assert(t, began.Sub(start) < 3*time.Second)
		})
	}
}

// An engine whose version is not known does not open the pairs of engines of different versions.
func TestEngineWithoutAVersionPairsNoOthers(t *testing.T) {
	state := engines(2, 3, 40000)
	for name, ep := range state.Endpoints {
		e := *ep
		e.SoftwareVersion = map[string]string{"prefill-0": "v1", "prefill-1": "v1", "decode-2": "v2", "decode-3": "v2", "decode-4": ""}[name]
		state.Endpoints[name] = &e
	}
	s := newScheduler(7, state)
	for range 20 {
		l := s.AcquireEngine(start, demand(100, 100))
		if l != nil && l.Prefill != nil {
			assert.Equal(t, l.Prefill.SoftwareVersion, l.Target.SoftwareVersion, "%s decodes a prefill result of %s", l.Target.Name, l.Prefill.Name)
		}
	}
}
