// Package refusal remembers which accounts were refused lately, for the operators'
// page.
package refusal

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"time"

	"carawayrouter.example/router/internal/clock"
	"carawayrouter.example/router/internal/errkind"
	"carawayrouter.example/router/internal/operator"
)

const (
	window   = time.Minute // refusals older than this are forgotten
	maxPairs = 256         // accounts and kinds remembered
	shown    = 20          // accounts and kinds listed
)

type pair struct {
	account string
	kind    errkind.Kind
}

// Recorder counts refusals of the current and the last window. It is safe for
// concurrent use and implements operator.Refusals.
type Recorder struct {
	clock clock.Clock

	mu      sync.Mutex
	started time.Time // of the current window
	current map[pair]uint64
	last    map[pair]uint64
}

// NewRecorder returns an empty Recorder.
func NewRecorder(c clock.Clock) *Recorder {
	return &Recorder{clock: c, started: c.Now(), current: map[pair]uint64{}}
}

// Add counts one refusal. Requests without an account are not counted.
func (r *Recorder) Add(account string, kind errkind.Kind) {
	if account == "" {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.turn()
	p := pair{account, kind}
	if _, known := r.current[p]; !known && len(r.current) >= maxPairs {
		return
	}
	r.current[p]++
}

// turn starts a new window when the current one is over. The caller holds mu.
func (r *Recorder) turn() {
	now := r.clock.Now()
	age := now.Sub(r.started)
	if age < window {
		return
	}
	r.last = r.current
	if age >= 2*window {
		r.last = nil
	}
	r.current = map[pair]uint64{}
	r.started = now
}

// Refusals implements operator.Refusals.
func (r *Recorder) Refusals() []operator.Refusal {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.turn()
	sum := map[pair]uint64{}
	for _, m := range []map[pair]uint64{r.last, r.current} {
		for p, n := range m {
			sum[p] += n
		}
	}
	list := make([]operator.Refusal, 0, len(sum))
	for p, n := range sum {
		list = append(list, operator.Refusal{Account: p.account, Kind: p.kind, Count: n})
	}
	slices.SortFunc(list, func(a, b operator.Refusal) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), strings.Compare(a.Account, b.Account), cmp.Compare(a.Kind, b.Kind))
	})
	return list[:min(len(list), shown)]
}
