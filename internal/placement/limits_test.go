package placement

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"carawayrouter.example/router/internal/config"
	"carawayrouter.example/router/internal/limit/pacing"
	"carawayrouter.example/router/internal/sched"
)

// limitAll announces a limit of rate for all endpoints of a role.
func limitAll(s *Scheduler, now time.Time, role config.Role, rate float64) {
	for name, x := range s.endpoints {
		if x.ep.Role == role {
			s.RecordLimit(now, name, rate)
		}
	}
}

// countLeases returns how many leases acquire gives within d, trying every 10 ms.
func countLeases(from time.Time, d time.Duration, acquire func(now time.Time) *Lease) int {
	n := 0
	for now := from; now.Before(from.Add(d)); now = now.Add(10 * time.Millisecond) {
		for acquire(now) != nil {
			n++
		}
	}
	return n
}

// Plain calls, generations, prefills, moves to another engine and requests without a lease all
// use the turns at the endpoints that they reach.
func TestEveryRequestUsesATurn(t *testing.T) {
	const seconds = 4
	plain := func(s *Scheduler) func(time.Time) *Lease {
		return func(now time.Time) *Lease { return s.AcquireService(now, Demand{Pool: servicePool}) }
	}
	generation := func(s *Scheduler) func(time.Time) *Lease {
		return func(now time.Time) *Lease {
			l := s.AcquireEngine(now, demand(10, 10))
			if l != nil {
				s.PrefillDone(now, l, sched.Succeeded)
			}
			return l
		}
	}
	for _, c := range []struct {
		role    config.Role
		count   int // endpoints
		acquire func(*Scheduler) func(time.Time) *Lease
	}{{config.Plain, 3, plain}, {config.Prefill, 2, generation}, {config.Decode, 3, generation}} {
		t.Run(string(c.role), func(t *testing.T) {
			s := newScheduler(1, engines(2, 3, 1e6))
			limitAll(s, start, c.role, 2)
			n := countLeases(start, seconds*time.Second, c.acquire(s))
			assert.Assert(t, n <= c.count*(2*seconds+1) && n >= c.count*2*seconds/2, "%d leases", n)
			for name, x := range s.endpoints {
				if x.ep.Role == c.role {
					assert.Assert(t, !s.TakeTurn(start.Add(seconds*time.Second-10*time.Millisecond), name))
				}
			}
		})
	}

	s := newScheduler(1, engines(1, 2, 1e6))
	l := s.AcquireEngine(start, demand(10, 10))
	limitAll(s, start, config.Decode, 1)
	moved, _ := s.Redirect(start, l, demand(10, 10), sched.Full)
	assert.Assert(t, !moved, "the other engine accepts no request yet")
	later := start.Add(1100 * time.Millisecond)
	moved, _ = s.Redirect(later, l, demand(10, 10), sched.Full)
	assert.Assert(t, moved)
	assert.Assert(t, !s.TakeTurn(later, l.Target.Name))
}

// Instances take turns: together they stay within the limit of an endpoint, and none of them gets
// all.
func TestInstancesShareALimit(t *testing.T) {
	const instances = 8
	total := 0
	for rank := range instances {
		s := newScheduler(uint64(rank), engines(0, 0, 0))
		s.SetMember(start, pacing.Member{Rank: rank, Count: instances})
		limitAll(s, start, config.Plain, 4)
		n := countLeases(start, 4*time.Second, func(now time.Time) *Lease { return s.AcquireService(now, Demand{Pool: servicePool}) })
		assert.Assert(t, n > 0)
		total += n
	}
	assert.Assert(t, total <= 3*(4*4+1) && total >= 3*4*4/2, "%d calls", total)
}

// An endpoint without a limit takes the calls of those that have used theirs up, and waiters of
// other instances use no turns of this one.
func TestLimitsLeaveOtherEndpointsAlone(t *testing.T) {
	s := newScheduler(1, engines(1, 1, 1e6))
	s.RecordLimit(start, "plain-0", 1)
	s.RecordLimit(start, "plain-1", 1)
	for i := range 50 {
		l := s.AcquireService(start, Demand{Pool: servicePool})
		assert.Equal(t, l.Target.Name, "plain-2", "call %d", i)
	}
	assert.Equal(t, s.NextTurn(start, Demand{Pool: servicePool}), time.Duration(0))

	limitAll(s, start, config.Decode, 1)
	now := start.Add(1100 * time.Millisecond)
	s.SetPeer("other", &PeerState{UpdatedAt: now, Waiters: []*Waiter{{Demand: demand(10, 10), Arrived: start, Due: now.Add(time.Second)}}})
	var q Queue
	q.Push(&Waiter{Demand: demand(10, 10), Arrived: now, Due: now.Add(time.Second), Deadline: now.Add(time.Second)})
	assert.Equal(t, len(q.Serve(now, s)), 1)
}

// A generation that the limits of the engines hold up for longer than its caller stays is known
// to wait that long when it arrives.
func TestWaitForLimitIsPredicted(t *testing.T) {
	s := newScheduler(1, engines(2, 2, 1e6))
	limitAll(s, start, config.Decode, 0.5)
	var q Queue
	wait := func() time.Duration {
		w := &Waiter{Demand: demand(10, 10), Arrived: start, Due: start.Add(time.Second), Deadline: start.Add(time.Minute)}
		defer q.Push(w)
		return q.PredictWait(start, s, w)
	}
	for i := range 4 {
		want := 2*time.Second + time.Duration(i)*time.Second // two engines with a turn every 2 s
		got := wait()
		assert.Assert(t, (got-want).Abs() < 10*time.Millisecond, "waiter %d: %s instead of %s", i, got, want)
	}
	s.RecordNoLimit(start.Add(time.Second), start.Add(time.Second), "decode-2")
	assert.Assert(t, wait() < time.Second)
}

// The limit of an endpoint ends with its incarnation.
func TestLimitEndsWithTheIncarnation(t *testing.T) {
	st := engines(0, 0, 0)
	s := newScheduler(1, st)
	limitAll(s, start, config.Plain, 1)
	reports := 0
	s.EachReportedLimit(start, func(l EndpointLimit) {
		reports++
		other := newScheduler(2, st)
		assert.Assert(t, other.MergeLimit(start, l))
		l.Incarnation++
		assert.Assert(t, !other.MergeLimit(start, l), "of another incarnation")
	})
	assert.Equal(t, reports, 3)
	o := &config.Objects{Pools: []*config.Pool{{Name: servicePool, Kind: config.ServicePool}}}
	for i := range 3 {
		o.Endpoints = append(o.Endpoints, &config.Endpoint{Name: fmt.Sprintf("plain-%d", i), Pool: servicePool, Addr: "10.0.0.1:1", Role: config.Plain, Incarnation: 2, Slots: 6})
	}
	s.SetEndpoints(start, config.Build(2, o))
	assert.Assert(t, s.AcquireService(start, Demand{Pool: servicePool}) != nil)
	assert.Assert(t, s.TakeTurn(start, "plain-0") && s.TakeTurn(start, "unknown"))
}
