package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// countRetries returns how many retries the budget allows at once.
func countRetries(b *retryBudget, now time.Time) int {
	n := 0
	for b.reserve(now, "writers", 1) {
		n++
	}
	return n
}

// The total retries of all instances stay within the fleet's budget.
func TestRepeatBudget(t *testing.T) {
	const fleet = 4
	total := 0
	for range fleet {
		b := newRetryBudget(0.2, 56, 10*time.Second, time.Time{})
		b.setFleetSize(fleet)
		for range 100 {
			b.recordRequest(baseTime, "desk")
		}
		for b.reserve(baseTime, "desk", 1) {
			total++
		}
		assert.Assert(t, b.reserve(baseTime.Add(time.Minute), "desk", 1), "budget is available again after the window")
	}
	assert.Assert(t, total <= 0.2*100*fleet+56 && total > 0, "%d retries", total)
}

// 12 engines of a fleet of 83 instances crash at once, and every instance has a few broken
// streams to retry (run barniz-quito-grown scale-2). Together they stay within the fleet's
// bound and use most of it.
func TestRepeatsOfALargeFleet(t *testing.T) {
	const (
		fleet    = 83
		requests = 5 // per instance and window
		ratio    = 0.2
		extra    = 206.0
		window   = 10 * time.Second
	)
	now := time.Unix(1000, 0)
	total := 0
	for range fleet {
		b := newRetryBudget(ratio, extra, window, time.Time{})
		b.setFleetSize(fleet)
		for range requests {
			b.recordRequest(now, "writers")
		}
		total += countRetries(b, now)
		assert.Equal(t, countRetries(b, now.Add(window/2)), 0)
	}
	bound := ratio*fleet*requests + extra
	assert.Assert(t, float64(total) <= bound, "%d of %.0f retries", total, bound)
	assert.Assert(t, float64(total) >= 0.8*bound, "%d of %.0f retries", total, bound)
}

// After a restart an instance does not know how many retries it made, so its budget is reduced
// for one window.
func TestRepeatsAfterARestart(t *testing.T) {
	start := time.Unix(1000, 0)
	b := newRetryBudget(0.2, 100, 10*time.Second, start)
	b.setFleetSize(1)
	assert.Equal(t, countRetries(b, start), 36)
	assert.Equal(t, countRetries(b, start.Add(9*time.Second)), 45, "budget withheld after the restart")
	assert.Equal(t, countRetries(b, start.Add(25*time.Second)), 90)
}

// Retries are reserved before they are sent. A connection that could not be opened costs
// nothing, and unused reservations are refunded.
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
	assert.Assert(t, x.reserveSends(1), "the first send is free")
	x.sends = 1
	for range 3 {
		assert.Assert(t, x.reserveSends(1), "reserved once, however many connections failed")
	}
	assert.Equal(t, left(), 89)
	assert.Assert(t, x.reserveSends(2), "another prefill and another decode")
	assert.Equal(t, left(), 88)
	x.refundSends()
	assert.Equal(t, left(), 90)
}
