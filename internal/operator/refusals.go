package operator

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"carawayrouter.example/router/internal/clock"
	"carawayrouter.example/router/internal/errkind"
)

const (
	refusalWindow  = time.Minute // counts cover between one and two windows
	maxRefusalKeys = 1000        // pairs of account and kind counted in one window
)

// RefusalCounter counts the refused requests of the last one to two minutes. It implements
// RefusalSource and is safe for concurrent use.
type RefusalCounter struct {
	clock clock.Clock

	mu          sync.Mutex
	windowStart time.Time // start of the current window
	current     map[refusalKey]uint64
	previous    map[refusalKey]uint64
}

type refusalKey struct {
	account string
	kind    errkind.Kind
}

// NewRefusalCounter returns an empty counter.
func NewRefusalCounter(c clock.Clock) *RefusalCounter {
	return &RefusalCounter{clock: c, windowStart: c.Now(), current: map[refusalKey]uint64{}}
}

// Add counts one refused request of an account. Once a window holds maxRefusalKeys pairs of
// account and kind, new pairs are not counted.
func (r *RefusalCounter) Add(account string, kind errkind.Kind) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rotate()
	k := refusalKey{account, kind}
	if _, ok := r.current[k]; ok || len(r.current) < maxRefusalKeys {
		r.current[k]++
	}
}

// rotate starts a new window if the current one has ended. The caller holds mu.
func (r *RefusalCounter) rotate() {
	now := r.clock.Now()
	elapsed := now.Sub(r.windowStart)
	if elapsed < refusalWindow {
		return
	}
	r.previous = r.current
	if elapsed >= 2*refusalWindow {
		r.previous = nil
	}
	r.current, r.windowStart = map[refusalKey]uint64{}, now
}

// Refusals implements RefusalSource.
func (r *RefusalCounter) Refusals() []Refusal {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rotate()
	var list []Refusal
	for k, n := range r.current {
		list = append(list, Refusal{Account: k.account, Kind: k.kind, Count: n + r.previous[k]})
	}
	for k, n := range r.previous {
		if r.current[k] == 0 {
			list = append(list, Refusal{Account: k.account, Kind: k.kind, Count: n})
		}
	}
	slices.SortFunc(list, func(a, b Refusal) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Account, b.Account), cmp.Compare(a.Kind, b.Kind))
	})
	return list
}
