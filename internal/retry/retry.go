// Package retry provides a retry budget and a backoff for failed requests.
package retry

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Budget limits retries to a fraction of recent requests. It is safe for concurrent use.
type Budget struct {
	mu         sync.Mutex
	balance    float64
	fraction   float64
	maxBalance float64
}

// NewBudget returns a Budget that gains fraction of a retry with every request. It starts
// with maxBalance retries, which is also its maximum.
func NewBudget(fraction, maxBalance float64) *Budget {
	return &Budget{balance: maxBalance, fraction: fraction, maxBalance: maxBalance}
}

// Deposit adds the fraction of a retry for one request.
func (b *Budget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance = min(b.maxBalance, b.balance+b.fraction)
}

// TryWithdraw takes one retry from the budget and reports whether one was available.
func (b *Budget) TryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}

// Backoff computes exponential delays with full jitter.
type Backoff struct {
	Base time.Duration // upper bound of the first delay
	Cap  time.Duration // upper bound of every delay

	mu   sync.Mutex
	rand *rand.Rand
}

// NewBackoff returns a Backoff that takes its jitter from rnd.
func NewBackoff(base, maxDelay time.Duration, rnd *rand.Rand) *Backoff {
	return &Backoff{Base: base, Cap: maxDelay, rand: rnd}
}

// Delay returns the delay before the given retry, counted from 1.
func (b *Backoff) Delay(retry int) time.Duration {
	maxDelay := b.Cap
	if shift := retry - 1; shift < 16 {
		maxDelay = min(b.Cap, b.Base<<shift)
	}
	if maxDelay <= 0 {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Duration(b.rand.Int64N(int64(maxDelay) + 1))
}
