package baseline

import (
	"context"
	"math"
	"sync"
	"time"

	"carawayrouter.example/router/internal/clock"
	"carawayrouter.example/router/internal/config"
	"carawayrouter.example/router/internal/limit"
	"carawayrouter.example/router/internal/limit/bucket"
	"carawayrouter.example/router/internal/member"
)

// PerInstance gives every instance an equal part of each account's rate and burst.
type PerInstance struct {
	config  config.Source
	members member.Source
	clock   clock.Clock

	mu       sync.Mutex
	accounts map[string]*localBucket
}

var _ limit.Limiter = (*PerInstance)(nil)

// localBucket is an account's bucket at this instance.
type localBucket struct {
	front chan struct{} // held by the first waiter; acquired in order of arrival

	mu           sync.Mutex
	bucket       *bucket.Bucket
	queuedTokens int64
}

// NewPerInstance returns a PerInstance that divides limits by the number of members.
func NewPerInstance(c config.Source, m member.Source, clk clock.Clock) *PerInstance {
	return &PerInstance{config: c, members: m, clock: clk, accounts: map[string]*localBucket{}}
}

// Reserve implements limit.Limiter.
func (p *PerInstance) Reserve(ctx context.Context, account string, tokens int, w limit.Wait) (limit.Reservation, error) {
	deadline := w.End(p.clock.Now())
	a, err := checkAccount(p.config, account, tokens)
	if err != nil {
		return nil, err
	}
	n := float64(len(p.members.View().Peers) + 1)
	l := p.localBucket(account, toMicroTokens(a.Burst/n), toMicroTokens(a.Rate/n))
	need := int64(tokens) * bucket.MicroPerToken
	if wait := l.enqueue(p.clock.Now(), need); wait > deadline.Sub(p.clock.Now()) {
		l.dequeue(need)
		return nil, overRateError(wait)
	}
	defer l.dequeue(need)
	select {
	case <-ctx.Done():
		return nil, callerGoneError(ctx.Err())
	case l.front <- struct{}{}:
	}
	defer func() { <-l.front }()
	for {
		mark, wait := l.charge(p.clock.Now(), need)
		if wait == 0 {
			return l.reservation(p.clock, mark, need), nil
		}
		if wait > deadline.Sub(p.clock.Now()) {
			return nil, overRateError(wait)
		}
		if err := sleep(ctx, p.clock, wait); err != nil {
			return nil, err
		}
	}
}

func (p *PerInstance) localBucket(account string, capacity, rate int64) *localBucket {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	l := p.accounts[account]
	if l == nil {
		l = &localBucket{front: make(chan struct{}, 1), bucket: bucket.New(now, capacity, rate, capacity)}
		p.accounts[account] = l
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bucket.SetLimits(now, capacity, rate)
	return l
}

// enqueue adds the tokens of a waiter and returns its estimated wait.
func (l *localBucket) enqueue(now time.Time, need int64) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queuedTokens += need
	if need > l.bucket.Capacity() {
		return math.MaxInt64
	}
	return bucket.AccrualTime(l.queuedTokens-l.bucket.Level(now), l.bucket.Rate())
}

func (l *localBucket) dequeue(need int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queuedTokens -= need
}

// charge takes the tokens, or returns the time until they are available.
func (l *localBucket) charge(now time.Time, need int64) (bucket.Mark, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if mark, ok := l.bucket.Charge(now, need); ok {
		return mark, 0
	}
	wait, ok := l.bucket.TimeUntil(now, need)
	if !ok {
		wait = math.MaxInt64
	}
	return 0, wait
}

func (l *localBucket) reservation(c clock.Clock, m bucket.Mark, need int64) limit.Reservation {
	var once sync.Once
	return reservation{func(used int) {
		once.Do(func() { l.refund(c.Now(), m, need-int64(max(0, used))*bucket.MicroPerToken) })
	}}
}

func (l *localBucket) refund(now time.Time, m bucket.Mark, n int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bucket.Refund(now, m, n)
}
