package gateway

import (
	"time"

	"carawayrouter.example/router/internal/config"
)

// heldEntry is an entry whose removal an instance holds back, as it tells another one. Without the removal the other one
// would take the entry for one in force, and may have read past the removal in the store.
type heldEntry struct {
	Endpoint  *config.Endpoint `json:"endpoint"`
	RemovedAt uint64           `json:"removed_at"`           // position in the store
	DropIn    time.Duration    `json:"drop_in"`              // until the entry is dropped
	Suspends  bool             `json:"suspends,omitempty"`   // the endpoint gets no more requests some time before that
	SuspendIn time.Duration    `json:"suspend_in,omitempty"` // until then; negative if it is past
}

// held returns the entries whose removal is pending.
func (d *directory) held(now time.Time) (out []heldEntry) {
	for _, entry := range d.entries {
		if !entry.removalPending {
			continue
		}
		h := heldEntry{Endpoint: entry.ep, RemovedAt: entry.removedAt, DropIn: entry.removeAt.Sub(now)}
		if !entry.suspendAt.IsZero() {
			h.Suspends, h.SuspendIn = true, entry.suspendAt.Sub(now)
		}
		out = append(out, h)
	}
	return out
}

// mergeHeld applies an entry whose removal another instance holds back.
func (d *directory) mergeHeld(now time.Time, h heldEntry) bool {
	changed := d.merge(h.Endpoint)
	entry := d.entries[h.Endpoint.Name]
	if entry == nil || entry.ep.Written > h.RemovedAt {
		return changed
	}
	entry.removedAt = max(entry.removedAt, h.RemovedAt)
	if !entry.removalPending {
		entry.removalPending, entry.removeAt = true, now.Add(h.DropIn)
		if h.Suspends {
			entry.suspendAt = now.Add(h.SuspendIn)
		}
	}
	return changed
}
