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
		b.setFleet(fleet, 0)
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
		b.setFleet(fleet, 0)
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

// An instance that restarts does not know how many retries it made. Whether one instance of a
// fleet restarts, or all of them twice in one window, their retries before and after it stay
// within the fleet's budget.
func TestRestartsKeepTheRetryBudget(t *testing.T) {
	const (
		fleet  = 8
		extra  = 96.0
		window = 10 * time.Second
	)
	start := time.Unix(1000, 0)
	for _, restarted := range []int{1, 3, fleet} {
		total := 0
		var budgets [fleet]*retryBudget
		for i := range budgets {
			budgets[i] = newRetryBudget(0.2, extra, window, time.Time{})
			budgets[i].setFleet(fleet, 0)
			total += countRetries(budgets[i], start)
		}
		for _, at := range []time.Duration{2 * time.Second, 4 * time.Second} {
			now := start.Add(at)
			for i := range restarted {
				budgets[i] = newRetryBudget(0.2, extra, window, now)
				budgets[i].setFleet(fleet, restarted)
				total += countRetries(budgets[i], now)
				total += countRetries(budgets[i], now.Add(time.Second))
			}
		}
		for i := range restarted {
			total += countRetries(budgets[i], start.Add(window-time.Millisecond))
		}
		assert.Assert(t, total <= int(extra), "%d of %d restarted: %d retries in a window, %.0f are allowed", restarted, fleet, total, extra)
		assert.Equal(t, countRetries(budgets[0], start.Add(4*window)), countRetries(newFleetBudget(fleet, extra, window), start), "all of the part is back later")
	}
}

func newFleetBudget(fleet int, extra float64, window time.Duration) *retryBudget {
	b := newRetryBudget(0.2, extra, window, time.Time{})
	b.setFleet(fleet, 0)
	return b
}

// Retries are reserved before they are sent. A connection that could not be opened costs
// nothing, and unused reservations are refunded.
func TestArrivalsArePaidOnce(t *testing.T) {
	x := newStreamExchange()
	b := newRetryBudget(0, 100, 10*time.Second, time.Time{})
	b.setFleet(1, 0)
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
