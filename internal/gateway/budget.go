package gateway

import (
	"sync"
	"time"
)

const (
	budgetSlots = 20
	// budgetPart of what the fleet may repeat is used; the rest covers requests that
	// are counted in other windows than ours.
	budgetPart = 0.9
	// restartPart of its budget is left to an instance that does not know what it spent
	// before its restart; the rest comes back with the window.
	restartPart = 0.4
	// unknownFleet is the fleet's size until the other instances are known.
	unknownFleet = 12
)

// repeatBudget bounds what this instance sends beyond the first arrival of each
// request, for each pool over a sliding window.
type repeatBudget struct {
	share  float64
	extra  float64 // of the whole fleet
	window time.Duration
	start  time.Time // of an instance that may have spent before; zero for a new fleet

	mu    sync.Mutex
	fleet int
	pools map[string]*[budgetSlots]budgetSlot
}

type budgetSlot struct {
	index             int64
	requests, repeats int
}

func newRepeatBudget(share, extra float64, window time.Duration, start time.Time) *repeatBudget {
	if window <= 0 {
		window = 10 * time.Second
	}
	return &repeatBudget{share: share, extra: extra, window: window, start: start, fleet: unknownFleet, pools: map[string]*[budgetSlots]budgetSlot{}}
}

func (b *repeatBudget) setFleet(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fleet = max(1, n)
}

// at returns the slot of now and the sums over the window.
func (b *repeatBudget) at(now time.Time, pool string) (s *budgetSlot, requests, repeats int) {
	slots := b.pools[pool]
	if slots == nil {
		slots = new([budgetSlots]budgetSlot)
		b.pools[pool] = slots
	}
	index := now.UnixNano() / int64(b.window/budgetSlots)
	s = &slots[index%budgetSlots]
	if s.index != index {
		*s = budgetSlot{index: index}
	}
	for i := range slots {
		if index-slots[i].index < budgetSlots {
			requests += slots[i].requests
			repeats += slots[i].repeats
		}
	}
	return s, requests, repeats
}

// request counts a caller's request.
func (b *repeatBudget) request(now time.Time, pool string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, _, _ := b.at(now, pool)
	s.requests++
}

// spend takes n repeats and reports whether there were as many.
func (b *repeatBudget) spend(now time.Time, pool string, n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, requests, repeats := b.at(now, pool)
	part := budgetPart * min(1, max(restartPart, now.Sub(b.start).Seconds()/b.window.Seconds()))
	if float64(repeats+n) > part*(b.share*float64(requests)+b.extra/float64(b.fleet)) {
		return false
	}
	s.repeats += n
	return true
}

// giveBack returns repeats that were taken and not made.
func (b *repeatBudget) giveBack(now time.Time, pool string, n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, _, _ := b.at(now, pool)
	s.repeats -= n
}
