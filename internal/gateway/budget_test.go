package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// spent returns how many repeats the budget allows at once.
func countRetries(b *retryBudget, now time.Time) int {
	n := 0
	for b.reserve(now, "writers", 1) {
		n++
	}
	return n
}

// The fleet's budget for repeats holds over the sum of its instances.
func TestRepeatBudget(t *testing.T) {
	const fleet = 4
	sum := 0
	for range fleet {
		b := newRetryBudget(0.2, 56, 10*time.Second, time.Time{})
		b.setFleetSize(fleet)
		for range 100 {
			b.recordRequest(baseTime, "desk")
		}
		for b.reserve(baseTime, "desk", 1) {
			sum++
		}
		assert.Assert(t, b.reserve(baseTime.Add(time.Minute), "desk", 1), "the window has passed")
	}
	assert.Assert(t, sum <= 0.2*100*fleet+56 && sum > 0, "%d repeats", sum)
}

// barniz-quito-grown scale-2: 12 engines of a fleet of 83 instances crash at once, and each
// instance has some broken streams to repeat. All together stay within the users' bound,
// and use most of it.
func TestRepeatsOfALargeFleet(t *testing.T) {
	const (
		fleet    = 83
		requests = 5 // of each instance in a window
		share    = 0.2
		extra    = 206.0
		window   = 10 * time.Second
	)
	now := time.Unix(1000, 0)
	all := 0
	for range fleet {
		b := newRetryBudget(share, extra, window, time.Time{})
		b.setFleetSize(fleet)
		for range requests {
			b.recordRequest(now, "writers")
		}
		all += countRetries(b, now)
		assert.Equal(t, countRetries(b, now.Add(window/2)), 0)
	}
	bound := share*fleet*requests + extra
	assert.Assert(t, float64(all) <= bound, "%d of %.0f", all, bound)
	assert.Assert(t, float64(all) >= 0.8*bound, "%d of %.0f", all, bound)
}

// An instance that restarts does not know what it spent: it has less until a window passed.
func TestRepeatsAfterARestart(t *testing.T) {
	start := time.Unix(1000, 0)
	b := newRetryBudget(0.2, 100, 10*time.Second, start)
	b.setFleetSize(1)
	assert.Equal(t, countRetries(b, start), 36)
	assert.Equal(t, countRetries(b, start.Add(9*time.Second)), 45, "what the restart kept back")
	assert.Equal(t, countRetries(b, start.Add(25*time.Second)), 90)
}

// What a request may arrive beyond the first time is taken before it is sent. A connection
// that was not made costs nothing, and what is left is given back.
func TestArrivalsArePaidOnce(t *testing.T) {
	x := newStreamExchange()
	b := newRetryBudget(0, 100, 10*time.Second, time.Time{})
	b.setFleetSize(1)
	x.s.budget = b
	left := func() int {
		n := 0
		for b.reserve(time.Now(), x.call.Pool.Name, 1) {
			n++
		}
		b.refund(time.Now(), x.call.Pool.Name, n)
		return n
	}
	assert.Equal(t, left(), 90)
	assert.Assert(t, x.reserveSends(1), "the first arrival is free")
	x.sends = 1
	for range 3 {
		assert.Assert(t, x.reserveSends(1), "taken once, whatever was tried without a connection")
	}
	assert.Equal(t, left(), 89)
	assert.Assert(t, x.reserveSends(2), "a prompt read once more, and a run")
	assert.Equal(t, left(), 88)
	x.refundSends()
	assert.Equal(t, left(), 90)
}
