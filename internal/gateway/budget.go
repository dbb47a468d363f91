package gateway

import (
	"sync"
	"time"
)

const (
	budgetBuckets = 20
	// budgetUseRatio is the part of the fleet's retry budget that is used. The rest covers
	// requests that others count in different windows.
	budgetUseRatio = 0.9
	// restartRatio is the greatest part of its budget that an instance has for one window after
	// a restart, when it does not know what it used before.
	restartRatio = 0.4
	// restartShare is the part of the fleet's budget that all instances which restart in a
	// window have together. Twice this and budgetUseRatio are the whole budget.
	restartShare = 0.05
)

// retryBudget limits what this instance sends beyond the first attempt of each request, per
// pool over a sliding window.
type retryBudget struct {
	window time.Duration
	start  time.Time // start time of an instance that may have used budget before; zero for a new fleet

	mu        sync.Mutex
	ratio     float64
	extra     float64 // for the whole fleet
	fleetSize int
	restarted int // instances that have restarted within the last window
	pools     map[string]*[budgetBuckets]budgetBucket
}

type budgetBucket struct {
	index             int64
	requests, retries int
}

func newRetryBudget(ratio, extra float64, window time.Duration, start time.Time) *retryBudget {
	if window <= 0 {
		window = 10 * time.Second
	}
	return &retryBudget{ratio: ratio, extra: extra, window: window, start: start, fleetSize: assumedFleetSize, pools: map[string]*[budgetBuckets]budgetBucket{}}
}

// setLimits replaces the ratio and what is allowed beyond it.
func (b *retryBudget) setLimits(ratio, extra float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio, b.extra = ratio, extra
}

// setFleet sets the number of instances, and how many of them have restarted within the last
// window.
func (b *retryBudget) setFleet(n, restarted int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fleetSize, b.restarted = max(1, n), restarted
}

// currentBucket returns the bucket for now and the totals over the window.
func (b *retryBudget) currentBucket(now time.Time, pool string) (bucket *budgetBucket, requests, retries int) {
	buckets := b.pools[pool]
	if buckets == nil {
		buckets = new([budgetBuckets]budgetBucket)
		b.pools[pool] = buckets
	}
	index := now.UnixNano() / int64(b.window/budgetBuckets)
	bucket = &buckets[index%budgetBuckets]
	if bucket.index != index {
		*bucket = budgetBucket{index: index}
	}
	for i := range buckets {
		if index-buckets[i].index < budgetBuckets {
			requests += buckets[i].requests
			retries += buckets[i].retries
		}
	}
	return bucket, requests, retries
}

// recordRequest counts a caller's request.
func (b *retryBudget) recordRequest(now time.Time, pool string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	bucket, _, _ := b.currentBucket(now, pool)
	bucket.requests++
}

// reserve takes n retries from the budget and reports whether they were available.
func (b *retryBudget) reserve(now time.Time, pool string, n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	bucket, requests, retries := b.currentBucket(now, pool)
	ratio := budgetUseRatio
	if now.Sub(b.start) < b.window {
		ratio *= min(restartRatio, restartShare*float64(b.fleetSize)/float64(max(1, b.restarted)))
	}
	if float64(retries+n) > ratio*(b.ratio*float64(requests)+b.extra/float64(b.fleetSize)) {
		return false
	}
	bucket.retries += n
	return true
}

// refund returns retries that were reserved at a time but not made. They count for the window in
// which they were reserved.
func (b *retryBudget) refund(reservedAt time.Time, pool string, n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	buckets := b.pools[pool]
	index := reservedAt.UnixNano() / int64(b.window/budgetBuckets)
	if buckets == nil || buckets[index%budgetBuckets].index != index {
		return
	}
	buckets[index%budgetBuckets].retries -= n
}
