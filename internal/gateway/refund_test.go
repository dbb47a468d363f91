package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Retries that are returned after the window in which they were reserved add nothing to a later one.
func TestLateRefundAddsNothingToTheBudget(t *testing.T) {
	const window, budget = 10 * time.Second, 20
	b := newRetryBudget(0, budget, window, time.Time{})
	b.setFleet(1, 0)
	now := time.Unix(1_000_000, 0)
	held := 0
	for b.reserve(now, "p", 1) {
		held++ // by streams that then find no other engine and go on
	}
	reservedAt := now
	now = now.Add(window + time.Second)
	b.refund(reservedAt, "p", held) // as these streams end
	sent := 0
	for b.reserve(now, "p", 1) {
		sent++
	}
	assert.Assert(t, sent <= budget, "%d retries in a window, with a budget of %d", sent, budget)
}
