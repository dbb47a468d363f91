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
	refusalWindow = time.Minute // refusals are counted over one to two windows
	maxRefusals   = 1000        // accounts and kinds counted in one window
)

// RefusalCounter counts refused requests of the last one to two minutes. It
// implements Refusals and is safe for concurrent use.
type RefusalCounter struct {
	clock clock.Clock

	mu      sync.Mutex
	start   time.Time // of the current window
	current map[refusalKey]uint64
	last    map[refusalKey]uint64
}

type refusalKey struct {
	account string
	kind    errkind.Kind
}

// NewRefusalCounter returns a counter without refusals.
func NewRefusalCounter(c clock.Clock) *RefusalCounter {
	return &RefusalCounter{clock: c, start: c.Now(), current: map[refusalKey]uint64{}}
}

// Add counts one refused request of an account. Once a window holds as many
// accounts and kinds as it may, further ones are not counted.
func (r *RefusalCounter) Add(account string, kind errkind.Kind) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.turn()
	k := refusalKey{account, kind}
	if _, ok := r.current[k]; ok || len(r.current) < maxRefusals {
		r.current[k]++
	}
}

// turn starts a new window if the current one has ended. The caller holds mu.
func (r *RefusalCounter) turn() {
	now := r.clock.Now()
	past := now.Sub(r.start)
	if past < refusalWindow {
		return
	}
	r.last = r.current
	if past >= 2*refusalWindow {
		r.last = nil
	}
	r.current, r.start = map[refusalKey]uint64{}, now
}

// Refusals implements Refusals.
func (r *RefusalCounter) Refusals() []Refusal {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.turn()
	var list []Refusal
	for k, n := range r.current {
		list = append(list, Refusal{Account: k.account, Kind: k.kind, Count: n + r.last[k]})
	}
	for k, n := range r.last {
		if r.current[k] == 0 {
			list = append(list, Refusal{Account: k.account, Kind: k.kind, Count: n})
		}
	}
	slices.SortFunc(list, func(a, b Refusal) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Account, b.Account), cmp.Compare(a.Kind, b.Kind))
	})
	return list
}
