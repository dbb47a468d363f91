package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestBudgetBoundsRetriesToAFraction(t *testing.T) {
	b := NewBudget(0.1, 5)
	retries := 0
	for range 1000 {
		b.Deposit()
		if b.TryWithdraw() {
			retries++
		}
	}
	assert.Assert(t, retries >= 100 && retries <= 105, "%d retries", retries)
}

func TestBackoffStaysUnderItsCap(t *testing.T) {
	b := NewBackoff(10*time.Millisecond, 80*time.Millisecond, rand.New(rand.NewPCG(1, 2)))
	maxDelay := time.Duration(0)
	for retry := 1; retry < 40; retry++ {
		d := b.Delay(retry)
		assert.Assert(t, d >= 0 && d <= 80*time.Millisecond)
		maxDelay = max(maxDelay, d)
	}
	assert.Assert(t, maxDelay > 40*time.Millisecond)
}
