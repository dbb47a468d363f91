package window

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var testSlack = Slack{Fraction: 0.1, Tokens: 4000}

// allowedInWindow is the users' bound on the tokens of the account in any window.
const allowedInWindow = windowLimit*11/10 + 4000

// testFleet is a fleet whose instances hear each other at once.
type testFleet struct {
	limiters []*Limiter // nil for an instance that is down
	births   []time.Time
	charges  []charge
	side     []int // instances on different sides of a network partition do not hear each other
	delay    time.Duration
	transit  []delivery // in the order of their arrival

	announced []announcement // generations that wait until they are heard
	keys      int            // generations that were announced
}

// announcement is a generation that waits at an instance.
type announcement struct {
	instance, tokens int
	limiter          *Limiter // of the process to which it was sent
	key              ClaimKey
}

// delivery is a report on its way to the others.
type delivery struct {
	at     time.Time
	from   int
	report Report
}

func newTestFleet(n int, now time.Time) *testFleet { return newTestFleetWithSlack(n, now, testSlack) }

func newTestFleetWithSlack(n int, now time.Time, slack Slack) *testFleet {
	f := &testFleet{limiters: make([]*Limiter, n), births: make([]time.Time, n), side: make([]int, n)}
	for i := range f.limiters {
		f.limiters[i], f.births[i] = New(windowLength, slack, time.Time{}), now.Add(-time.Hour)
	}
	f.exchange(now)
	return f
}

func instanceName(i int) string { return fmt.Sprintf("i%d", i) }

// exchange passes every instance's usage to all others.
func (f *testFleet) exchange(now time.Time) {
	for len(f.transit) > 0 && !f.transit[0].at.After(now) {
		f.deliver(now, f.transit[0].from, f.transit[0].report)
		f.transit = f.transit[1:]
	}
	f.decideAnnounced(now)
	for j, from := range f.limiters {
		if from != nil {
			f.send(now, j)
		}
	}
}

// decideAnnounced tries the generations that wait. Those at instances that are down are lost.
func (f *testFleet) decideAnnounced(now time.Time) {
	f.announced = slices.DeleteFunc(f.announced, func(a announcement) bool {
		if f.limiters[a.instance] != a.limiter {
			return true
		}
		d, waits := a.limiter.ReserveAnnounced(now, account, a.key, a.tokens)
		if d.Allowed {
			f.charges = append(f.charges, charge{now, a.tokens})
		}
		return !waits
	})
}

func (f *testFleet) send(now time.Time, j int) {
	report := reportOf(now, instanceName(j), f.births[j].UnixNano(), f.limiters[j])
	if f.delay > 0 {
		f.transit = append(f.transit, delivery{now.Add(f.delay), j, report})
		return
	}
	f.deliver(now, j, report)
}

func (f *testFleet) deliver(now time.Time, j int, report Report) {
	for i, to := range f.limiters {
		if to != nil && i != j && f.side[i] == f.side[j] {
			to.UpdatePeer(now, report, accounts)
		}
	}
}

// kill ends an instance without notice.
func (f *testFleet) kill(i int) { f.limiters[i] = nil }

// start starts an instance that knows nothing of before.
func (f *testFleet) start(now time.Time, i int) {
	f.limiters[i], f.births[i] = New(windowLength, testSlack, now), now
	f.exchange(now)
}

// leave ends an instance after it has said so to the others.
func (f *testFleet) leave(now time.Time, i int) {
	f.send(now, i)
	f.limiters[i] = nil
	for j, l := range f.limiters {
		if l == nil {
			continue
		}
		var names []string
		for k, other := range f.limiters {
			if other != nil && k != j {
				names = append(names, instanceName(k))
			}
		}
		l.SetPeers(names, len(names)+1, f.delay)
	}
}

// request sends a generation to an instance and reports whether it was allowed at once.
func (f *testFleet) request(now time.Time, i, tokens int) bool {
	if f.limiters[i] == nil {
		return false
	}
	d := f.limiters[i].Reserve(now, account, tokens, Generation)
	if d.Announce {
		f.keys++
		f.announced = append(f.announced, announcement{i, tokens, f.limiters[i], announcedKey(f.keys)})
	}
	if !d.Allowed {
		return false
	}
	f.charges = append(f.charges, charge{now, tokens})
	f.send(now, i)
	return true
}

func announcedKey(i int) ClaimKey {
	k := claimKey(i)
	k[len(k)-1] = 1
	return k
}

// flood sends a generation of 300 tokens every step to the instances in turn.
func (f *testFleet) flood(from time.Time, length, step time.Duration) {
	f.floodOf(300, from, length, step)
}

func (f *testFleet) floodOf(tokens int, from time.Time, length, step time.Duration) {
	for at := time.Duration(0); at < length; at += step {
		f.exchange(from.Add(at))
		f.request(from.Add(at), int(at/step)%len(f.limiters), tokens)
	}
}

// A deployment with small requests and little slack for its size.
var (
	largeSlack   = Slack{Fraction: 0.1, Tokens: 220}
	largeAllowed = windowLimit*11/10 + 220
)

const smallGeneration = 44 // tokens

// An account that spends its tokens in the last second before all instances restart is still
// held to its limit.
func TestBurstBeforeRestartOfAllIsCounted(t *testing.T) {
	now := epoch
	f := newTestFleet(3, now)
	f.flood(now, time.Second, 5*time.Millisecond)
	now = now.Add(time.Second)
	for i := range f.limiters {
		f.kill(i)
	}
	now = now.Add(500 * time.Millisecond)
	for i := range f.limiters {
		f.start(now, i)
	}
	f.flood(now, 20*time.Second, 5*time.Millisecond)
	got := maxWindowSum(f.charges)
	assert.Assert(t, got <= allowedInWindow, "%d tokens in a window, %d are allowed", got, allowedInWindow)
	late := 0
	for _, c := range f.charges {
		if c.at.Sub(now) >= windowLength {
			late += c.tokens
		}
	}
	assert.Assert(t, late >= 12*1000, "the rate is granted again: %d in 12 s", late)
}

// A flood goes on while the fleet is partitioned. Until the sides notice, neither uses what
// drains of the other side's usage.
func TestPartitionDuringAFloodKeepsTheLimit(t *testing.T) {
	for _, cut := range []int{1, 2, 3} {
		now := epoch
		f := newTestFleetWithSlack(4, now, largeSlack)
		f.floodOf(smallGeneration, now, 5*time.Second, 5*time.Millisecond)
		now = now.Add(5 * time.Second)
		for i := range cut {
			f.side[i] = 1
		}
		f.floodOf(smallGeneration, now, 6*time.Second, 5*time.Millisecond)
		now = now.Add(6 * time.Second)
		clear(f.side)
		f.floodOf(smallGeneration, now, 8*time.Second, 5*time.Millisecond)
		got := maxWindowSum(f.charges)
		assert.Assert(t, got <= largeAllowed, "%d of 4 cut off: %d tokens in a window, %d are allowed", cut, got, largeAllowed)
	}
}

// Usage that the updates do not show yet must not make the known usage drain faster: in a flood
// the error would add up.
func TestLateUpdatesDuringAFloodKeepTheLimit(t *testing.T) {
	now := epoch
	f := newTestFleetWithSlack(8, now, largeSlack)
	f.delay = 100 * time.Millisecond
	for _, l := range f.limiters {
		l.transit = f.delay
	}
	f.floodOf(smallGeneration, now, 30*time.Second, 5*time.Millisecond)
	got := maxWindowSum(f.charges)
	assert.Assert(t, got <= largeAllowed, "%d tokens in a window, %d are allowed", got, largeAllowed)
	assert.Assert(t, got >= windowLimit, "the account's rate is granted: %d", got)
}

// Instances that are killed, leave and start in any order and number keep the limit.
func TestSeriesOfRestartsKeepsTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const n = 3
		now := epoch
		f := newTestFleet(n, now)
		for range rapid.IntRange(1, 12).Draw(t, "events") {
			f.flood(now, time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms"))*time.Millisecond, time.Duration(rapid.IntRange(5, 60).Draw(t, "step"))*time.Millisecond)
			now = now.Add(3 * time.Second)
			up := 0
			for _, l := range f.limiters {
				if l != nil {
					up++
				}
			}
			i := rapid.IntRange(0, n-1).Draw(t, "instance")
			switch {
			case rapid.IntRange(0, 3).Draw(t, "all") == 0:
				for i := range f.limiters {
					f.kill(i)
				}
				for i := range f.limiters {
					f.start(now, i)
				}
			case f.limiters[i] == nil:
				f.start(now, i)
			case up > 1 && rapid.Bool().Draw(t, "leaves"):
				f.leave(now, i)
			default:
				f.kill(i)
			}
		}
		f.flood(now, 8*time.Second, 20*time.Millisecond)
		if got := maxWindowSum(f.charges); got > allowedInWindow {
			t.Fatalf("%d tokens in a window, %d are allowed", got, allowedInWindow)
		}
	})
}

// An instance that starts takes no report for the whole fleet's usage that leaves accounts out.
func TestIncompleteReportIsNotAdopted(t *testing.T) {
	now := epoch
	f := newTestFleet(2, now)
	f.flood(now, 2*time.Second, 5*time.Millisecond)
	now = now.Add(2 * time.Second)
	l := New(windowLength, testSlack, now)
	l.SetPeers([]string{instanceName(1)}, 2, 0)
	report := reportOf(now, instanceName(1), f.births[1].UnixNano(), f.limiters[1])
	report.Usage, report.Complete = nil, false
	l.UpdatePeer(now, report, accounts)
	assert.Assert(t, !l.Reserve(now, account, 4000, Generation).Allowed, "a full bucket was taken for an empty one")
}

// All instances of a large fleet restart and hear each other. Then each gets a request at the same time,
// within the transit of an update: what has drained since the restart may be granted only once.
func TestRequestsWithinATransitAfterARestartOfAllKeepTheLimit(t *testing.T) {
	const n, tokens = 40, 300
	now := epoch
	f := newTestFleet(n, now)
	f.flood(now, 8*time.Second, 5*time.Millisecond)
	now = now.Add(8 * time.Second)
	var names []string
	for i := range n {
		names = append(names, instanceName(i))
	}
	slices.Sort(names)
	for i := range f.limiters {
		f.limiters[i], f.births[i] = New(windowLength, testSlack, now), now
		f.limiters[i].SetPeers(slices.DeleteFunc(slices.Clone(names), func(s string) bool { return s == instanceName(i) }), n, 100*time.Millisecond)
	}
	f.delay = 100 * time.Millisecond
	for range 55 {
		now = now.Add(10 * time.Millisecond)
		f.exchange(now)
	}
	served := len(f.charges)
	for i := range f.limiters {
		f.request(now, i, tokens)
	}
	for range 100 {
		now = now.Add(10 * time.Millisecond)
		f.exchange(now)
	}
	got := maxWindowSum(f.charges)
	assert.Assert(t, got <= allowedInWindow, "%d tokens in a window, %d are allowed", got, allowedInWindow)
	assert.Assert(t, len(f.charges) > served, "what has drained is granted")
	assert.Equal(t, len(f.announced), 0)
}

// All instances of a large fleet restart and do not know each other yet, or one other at most. None grants as
// if it were alone.
func TestInstancesThatDoNotKnowTheFleetKeepTheLimit(t *testing.T) {
	for _, known := range []int{0, 1} {
		const n, tokens = 200, 300
		now := epoch
		f := newTestFleet(2, now)
		f.flood(now, 8*time.Second, 5*time.Millisecond)
		now = now.Add(8 * time.Second)
		f.limiters, f.births, f.side = make([]*Limiter, n), make([]time.Time, n), make([]int, n)
		for i := range f.limiters {
			f.limiters[i] = New(windowLength, testSlack, now)
			f.limiters[i].SetPeers(nil, n, 100*time.Millisecond)
			f.side[i] = i
		}
		for range 100 {
			now = now.Add(10 * time.Millisecond)
			for i, l := range f.limiters {
				if other := (i + 1) % n; known > 0 {
					l.UpdatePeer(now, reportOf(now, instanceName(other), 1, f.limiters[other]), accounts)
				}
				f.request(now, i, tokens)
			}
			f.decideAnnounced(now)
		}
		got := maxWindowSum(f.charges)
		assert.Assert(t, got <= allowedInWindow, "%d others known: %d tokens in a window, %d are allowed", known, got, allowedInWindow)
	}
}
