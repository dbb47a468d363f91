package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"carawayrouter.example/router/internal/callqueue"
	"carawayrouter.example/router/internal/sched"
)

const (
	callWork     = 60 * time.Millisecond
	callTarget   = 300 * time.Millisecond
	callPatience = 800 * time.Millisecond
	endpointLine = 12 // calls that an endpoint queues
)

// replayedCall is one plain call of a replay.
type replayedCall struct {
	at      time.Duration
	account string
	left    []string // endpoints that turned it away

	done, served bool
	took         time.Duration
}

// callEndpoint is an endpoint with slots, a queue, and no more room than these.
type callEndpoint struct {
	running, waiting []*callAt
	slots            int
	down             bool
}

type callAt struct {
	call  *replayedCall
	lease *Lease
	at    *Scheduler
	ends  time.Time
}

// replayCalls serves calls by some instances and the three endpoints of six slots of the configuration. With line, calls for
// which no endpoint has room wait at their instance; without, they are sent to the least bad endpoint. It returns how many
// times an endpoint turned a call away.
func replayCalls(calls []*replayedCall, line bool, down func(now time.Time, name string) bool) (turnedAway int) {
	st := engines(0, 1, 1000)
	endpoints := map[string]*callEndpoint{}
	names := []string{"plain-0", "plain-1", "plain-2"}
	for _, name := range names {
		endpoints[name] = &callEndpoint{slots: 6}
	}
	type instance struct {
		s       *Scheduler
		q       *callqueue.Queue
		waiting map[*callqueue.Call]*replayedCall
	}
	var instances []*instance
	for i := range 4 {
		instances = append(instances, &instance{newScheduler(uint64(i), st), callqueue.New(callqueue.Limits{Calls: 512, Bytes: 1}), map[*callqueue.Call]*replayedCall{}})
	}
	r := rand.New(rand.NewPCG(5, 5))
	var send func(now time.Time, i *instance, c *replayedCall)
	dispatch := func(now time.Time, i *instance, c *replayedCall, l *Lease) {
		e := endpoints[l.Target.Name]
		switch {
		case e.down:
			i.s.Release(now, l, sched.Unreachable)
			c.left = append(c.left, l.Target.Name)
			send(now, i, c)
		case len(e.running)+len(e.waiting) >= e.slots+endpointLine:
			turnedAway++
			i.s.Release(now, l, sched.Full)
			c.left = append(c.left, l.Target.Name)
			send(now, i, c)
		default:
			e.waiting = append(e.waiting, &callAt{call: c, lease: l, at: i.s})
		}
	}
	send = func(now time.Time, i *instance, c *replayedCall) {
		if len(c.left) > 3 {
			c.done = true
			return
		}
		d := Demand{Pool: servicePool, Exclude: c.left, EndBy: start.Add(c.at + callPatience)}
		if !line {
			if l := i.s.AcquireService(now, d); l != nil {
				dispatch(now, i, c, l)
			} else {
				c.done = true
			}
			return
		}
		if !i.q.Waits(servicePool) {
			if l, _ := i.s.PlaceCall(now, d); l != nil {
				dispatch(now, i, c, l)
				return
			}
		}
		w := &callqueue.Call{Pool: servicePool, Account: c.account, Due: start.Add(c.at + callTarget - i.s.CallTime(now, servicePool)*3/2), LastStart: d.EndBy.Add(-i.s.CallTime(now, servicePool))}
		if _, _, ok := i.q.Enter(now, w); !ok {
			c.done = true
			return
		}
		i.waiting[w] = c
	}
	next := 0
	for now := start; next < len(calls) || now.Before(start.Add(calls[len(calls)-1].at+2*callPatience)); now = now.Add(time.Millisecond) {
		for _, name := range names {
			e := endpoints[name]
			e.down = down != nil && down(now, name)
			var running []*callAt
			for _, c := range e.running {
				if now.Before(c.ends) && !e.down {
					running = append(running, c)
					continue
				}
				c.call.done, c.call.served, c.call.took = true, !e.down, now.Sub(start.Add(c.call.at))
				c.at.Release(now, c.lease, sched.Succeeded)
			}
			e.running = running
			for len(e.waiting) > 0 && len(e.running) < e.slots {
				c := e.waiting[0]
				e.waiting = e.waiting[1:]
				if now.After(start.Add(c.call.at + callPatience)) {
					c.call.done = true
					c.at.Release(now, c.lease, sched.Abandoned)
					continue
				}
				c.ends = now.Add(callWork/2 + time.Duration(r.Int64N(int64(callWork))))
				e.running = append(e.running, c)
			}
		}
		for ; next < len(calls) && !start.Add(calls[next].at).After(now); next++ {
			send(now, instances[r.IntN(len(instances))], calls[next])
		}
		for _, i := range instances {
			var leases []*Lease
			var placed []*replayedCall
			i.q.Serve(now, func(w *callqueue.Call) bool {
				c := i.waiting[w]
				l, _ := i.s.PlaceCall(now, Demand{Pool: servicePool, EndBy: start.Add(c.at + callPatience)})
				if l == nil {
					return false
				}
				leases, placed = append(leases, l), append(placed, c)
				delete(i.waiting, w)
				return true
			})
			for n, l := range leases {
				placed[n].left = nil
				dispatch(now, i, placed[n], l)
			}
			for _, w := range i.q.Expire(now) {
				i.waiting[w].done = true
				delete(i.waiting, w)
			}
			for _, name := range names {
				if down == nil || !down(now, name) {
					i.s.endpoints[name].markReachable()
				}
			}
		}
	}
	return turnedAway
}

// callBurst returns calls at 150 a second, and at 2.2 times what the endpoints serve for a second and a half.
func callBurst(one string) []*replayedCall {
	r := rand.New(rand.NewPCG(6, 6))
	var calls []*replayedCall
	for at := time.Duration(0); at < 5*time.Second; {
		rate := 150.0
		if at > time.Second && at < 2500*time.Millisecond {
			rate = 660
		}
		at += time.Duration(r.ExpFloat64() / rate * float64(time.Second))
		c := &replayedCall{at: at, account: string(rune('a' + r.IntN(4)))}
		if rate > 150 && one != "" && r.IntN(4) > 0 {
			c.account = one
		}
		calls = append(calls, c)
	}
	return calls
}

func callShare(calls []*replayedCall, of func(*replayedCall) bool, is func(*replayedCall) bool) float64 {
	n, all := 0, 0
	for _, c := range calls {
		if of(c) {
			all++
			if is(c) {
				n++
			}
		}
	}
	return float64(n) / float64(max(1, all))
}

func anyCall(*replayedCall) bool      { return true }
func onTimeCall(c *replayedCall) bool { return c.served && c.took <= callTarget }
func servedCall(c *replayedCall) bool { return c.served && c.took <= callPatience }

// In a burst above the places, endpoints turn calls away, which costs attempts. Calls that wait in line are turned away less, and no
// fewer are served, with about as many on time; an account that sends most of the burst does not take the others' places.
func TestCallsWaitInLineInABurst(t *testing.T) {
	for _, one := range []string{"", "d"} {
		before, after := callBurst(one), callBurst(one)
		away, awayInLine := replayCalls(before, false, nil), replayCalls(after, true, nil)
		others := func(c *replayedCall) bool { return c.account != one }
		t.Logf("account %q: turned away %d, %d in line; served %.3f, %.3f; on time %.3f, %.3f; others served %.3f, %.3f", one, away, awayInLine,
			callShare(before, anyCall, servedCall), callShare(after, anyCall, servedCall), callShare(before, anyCall, onTimeCall), callShare(after, anyCall, onTimeCall),
			callShare(before, others, servedCall), callShare(after, others, servedCall))
		assert.Assert(t, awayInLine < away/2)
		assert.Assert(t, callShare(after, anyCall, servedCall) >= callShare(before, anyCall, servedCall))
		assert.Assert(t, callShare(after, anyCall, onTimeCall) >= callShare(before, anyCall, onTimeCall)-0.05)
		for _, c := range after {
			assert.Assert(t, c.done)
		}
	}
}

// Where places are enough, no call waits and each goes where it went before.
func TestCallsDoNotWaitWhereThereIsRoom(t *testing.T) {
	st := engines(0, 1, 1000)
	before, after := newScheduler(3, st), newScheduler(3, st)
	for i := range 400 {
		now := start.Add(time.Duration(i) * 5 * time.Millisecond)
		d := Demand{Pool: servicePool, EndBy: now.Add(callPatience)}
		b := before.AcquireService(now, d)
		a, full := after.PlaceCall(now, d)
		assert.Assert(t, !full && a != nil && a.Target.Name == b.Target.Name)
		if i%20 != 0 {
			before.Release(now.Add(3*time.Millisecond), b, sched.Succeeded)
			after.Release(now.Add(3*time.Millisecond), a, sched.Succeeded)
		}
	}
}

// A free slot, or a queue at the endpoint from which the call still ends in time, is always used.
func TestFreeSlotIsAlwaysUsed(t *testing.T) {
	s := newScheduler(1, engines(0, 1, 1000))
	for _, x := range s.pools[servicePool] {
		x.callLatency = time.Second
	}
	for range 3 * 6 {
		l, full := s.PlaceCall(start, Demand{Pool: servicePool, EndBy: start.Add(tick)})
		assert.Assert(t, l != nil && !full)
	}
	l, full := s.PlaceCall(start, Demand{Pool: servicePool, EndBy: start.Add(tick)})
	assert.Assert(t, l == nil && full)
	l, _ = s.PlaceCall(start, Demand{Pool: servicePool, EndBy: start.Add(2 * time.Second)})
	assert.Assert(t, l != nil)
}

// All endpoints are lost for a moment while calls wait: those that can still end in time are served when they come back, and the
// others are refused.
func TestEndpointsAreLostWhileCallsWait(t *testing.T) {
	calls := callBurst("")
	replayCalls(calls, true, func(now time.Time, _ string) bool {
		return now.After(start.Add(2*time.Second)) && now.Before(start.Add(2300*time.Millisecond))
	})
	later := func(c *replayedCall) bool { return c.at > 3*time.Second }
	assert.Assert(t, callShare(calls, later, servedCall) == 1)
	for _, c := range calls {
		assert.Assert(t, c.done)
	}
}
