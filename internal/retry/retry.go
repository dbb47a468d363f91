// Package retry bounds how often failed requests are tried again.
package retry

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Budget allows retries up to a fraction of the requests seen lately. It is safe
// for concurrent use.
type Budget struct {
	mu       sync.Mutex
	balance  float64
	fraction float64
	limit    float64
}

// NewBudget returns a Budget that earns fraction of a retry for every request and
// holds at most limit retries, which it starts with.
func NewBudget(fraction, limit float64) *Budget {
	return &Budget{balance: limit, fraction: fraction, limit: limit}
}

// Earn counts one request.
func (b *Budget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance = min(b.limit, b.balance+b.fraction)
}

// Spend takes one retry and reports whether there was one.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}

// Backoff computes delays with full jitter.
type Backoff struct {
	Base time.Duration // upper bound of the first delay
	Cap  time.Duration // upper bound of every delay

	mu  sync.Mutex
	rnd *rand.Rand
}

// NewBackoff returns a Backoff that draws from rnd.
func NewBackoff(base, limit time.Duration, rnd *rand.Rand) *Backoff {
	return &Backoff{Base: base, Cap: limit, rnd: rnd}
}

// Delay returns a delay before the given retry, counted from 1.
func (b *Backoff) Delay(retry int) time.Duration {
	bound := b.Cap
	if shift := retry - 1; shift < 16 {
		bound = min(b.Cap, b.Base<<shift)
	}
	if bound <= 0 {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Duration(b.rnd.Int64N(int64(bound) + 1))
}
