package gateway

import (
	"maps"
	"slices"
	"strings"
	"time"

	"carawayrouter.example/router/internal/config"
)

// reregistrationGrace is how long an endpoint whose entry expired during a store outage has to
// register again after the store recovers. The platform specifies about two seconds.
const reregistrationGrace = 2200 * time.Millisecond

// directory is the instance's view of the endpoint table. It is not safe for concurrent use.
//
// It answers endpoints that are cut off from the store for longer than their entries last, and
// come back: half of a fleet at once.
//
// Invariants: once an incarnation of an endpoint was seen leaving, it stays leaving. An endpoint whose entry
// was removed is not used until an entry that was written after the removal, or of a newer incarnation, is
// seen. Positions in the store decide which was first, so that stale reads, late changes and older
// views of other instances bring no endpoint back that has left without a word. After a restore of the store, entries
// of its copy are no proof either: they were written before its first answer.
// What was written until wholeAt and is not known was removed.
type directory struct {
	entries       map[string]*directoryEntry
	wholeAt       uint64                  // position up to which the whole table was read; 0 if it never was
	retired       map[string]int64        // newest incarnation seen leaving, by name
	removed       map[string]removedEntry // entries that were removed and not written again, by name
	removals      int                     // entries removed since removalsSince
	removalsSince time.Time
	graceUntil    time.Time // entries removed before this time may come back
	burstUntil    time.Time // entries removed before this time may come back if a store outage was missed
}

type directoryEntry struct {
	ep             *config.Endpoint
	removalPending bool      // the entry was removed during a store outage
	removedAt      uint64    // position of a pending removal
	removeAt       time.Time // when a pending removal takes effect
	suspendAt      time.Time // when the endpoint gets no more requests until it registers again; zero for never
	suspended      bool
	withheld       bool // its incarnation was seen leaving, but the entry does not say so
}

// removedEntry says which entry was removed.
type removedEntry struct {
	Incarnation int64     `json:"incarnation"`
	At          uint64    `json:"at"` // position in the store
	seen        time.Time // when this instance learned of it
}

// removalMemory is how long removals are known: far longer than a read can be stale.
const removalMemory = time.Hour

func newDirectory() *directory {
	return &directory{entries: map[string]*directoryEntry{}, retired: map[string]int64{}, removed: map[string]removedEntry{}}
}

// storeFailed records that the store could not be used. Until shortly after its recovery,
// entries may expire although their endpoints are still running.
func (d *directory) storeFailed(now time.Time) { d.graceUntil = now.Add(reregistrationGrace) }

// storeRecovered records that the store responds again. It may have recovered at any time since
// the last failed call, so the full grace period starts now.
func (d *directory) storeRecovered(now time.Time) { d.graceUntil = now.Add(reregistrationGrace) }

// storeRestored records that the store was restored, and its first position since.
func (d *directory) storeRestored(now time.Time, first uint64) {
	d.storeRecovered(now)
	if d.wholeAt > 0 {
		d.wholeAt = max(d.wholeAt, first)
	}
	for name, r := range d.removed {
		r.At = max(r.At, first)
		d.removed[name] = r
	}
}

// put adds or updates an entry and reports whether anything changed. Entries of an older
// incarnation, of an older revision of the same incarnation, or that were written before their removal, are
// ignored.
func (d *directory) put(ep *config.Endpoint) bool {
	if r, ok := d.removed[ep.Name]; ok {
		if ep.Incarnation <= r.Incarnation && ep.Written <= r.At {
			return false
		}
		delete(d.removed, ep.Name)
	}
	old := d.entries[ep.Name]
	if old != nil {
		switch {
		case old.removalPending && ep.Incarnation <= old.ep.Incarnation && ep.Written <= old.removedAt:
			return false
		case ep.Incarnation < old.ep.Incarnation:
			return false
		case ep.Incarnation == old.ep.Incarnation && ep.Revision < old.ep.Revision:
			return false
		}
	}
	e := *ep
	if incarnation, ok := d.retired[e.Name]; ok && e.Incarnation <= incarnation {
		e.Leaving = true
	}
	e.Leaving = d.supersede(&e) || e.Leaving
	if e.Leaving {
		d.retired[e.Name] = max(d.retired[e.Name], e.Incarnation)
	}
	d.entries[e.Name] = &directoryEntry{ep: &e, withheld: e.Leaving && !ep.Leaving}
	return old == nil || old.removalPending || !equalExceptRevision(old.ep, &e)
}

// supersede retires the older of two endpoints of a pool with the same address: the newer one
// has taken over the address, while the old entry remains for some heartbeats. It reports
// whether e is the older one. An entry of another pool is no evidence, since it may not have
// been written by an endpoint.
func (d *directory) supersede(e *config.Endpoint) (older bool) {
	for name, entry := range d.entries {
		switch {
		case name == e.Name || entry.ep.Addr != e.Addr || entry.ep.Pool != e.Pool:
		case entry.ep.Incarnation < e.Incarnation:
			d.retire(name, entry.ep.Incarnation)
		case entry.ep.Incarnation > e.Incarnation:
			older = true
		}
	}
	return older
}

func equalExceptRevision(a, b *config.Endpoint) bool {
	x, y := *a, *b
	x.Revision, y.Revision, x.Written, y.Written = 0, 0, 0, 0
	return x == y
}

// remove removes an entry that is not in the store at a position.
func (d *directory) remove(now time.Time, name string, at uint64) bool {
	entry := d.entries[name]
	if entry == nil {
		if r, ok := d.removed[name]; ok {
			r.At = max(r.At, at)
			d.removed[name] = r
		}
		return false
	}
	if entry.ep.Written > at {
		return false
	}
	entry.removedAt = max(entry.removedAt, at)
	if entry.removalPending {
		return false
	}
	if now.Before(d.graceUntil) {
		entry.removalPending, entry.removeAt = true, d.graceUntil
		return false
	}
	if burst := d.isRemovalBurst(now); burst || now.Before(d.burstUntil) {
		if !now.Before(d.burstUntil) {
			d.burstUntil = now.Add(reregistrationGrace)
		}
		entry.removalPending, entry.removeAt, entry.suspendAt = true, d.burstUntil, now.Add(suspendDelay)
		return false
	}
	d.drop(now, name)
	return true
}

// suspendDelay is how long an endpoint whose entry was removed in a burst still gets requests. An
// endpoint that leaves without a word serves on for two seconds after the removal of its entry.
const suspendDelay = 900 * time.Millisecond

// isRemovalBurst counts removed entries and reports whether there are more than endpoints would
// leave at once on purpose. That indicates a store outage, even if this instance has not
// noticed one.
func (d *directory) isRemovalBurst(now time.Time) bool {
	if now.Sub(d.removalsSince) > removalBurstWindow {
		d.removalsSince, d.removals = now, 0
	}
	d.removals++
	return d.removals > max(removalBurstMin, len(d.entries)/removalBurstDivisor)
}

const (
	removalBurstWindow  = 500 * time.Millisecond // window for counting removed entries
	removalBurstDivisor = 4                      // a burst is more than 1/4 of all entries
	removalBurstMin     = 2
)

func (d *directory) drop(now time.Time, name string) {
	entry := d.entries[name]
	d.removed[name] = removedEntry{Incarnation: entry.ep.Incarnation, At: entry.removedAt, seen: now}
	delete(d.entries, name)
}

// mergeRemoved applies a removal that another instance has seen.
func (d *directory) mergeRemoved(now time.Time, name string, r removedEntry) bool {
	entry := d.entries[name]
	if entry != nil && (entry.ep.Incarnation > r.Incarnation || entry.ep.Written > r.At) {
		return false
	}
	if old, ok := d.removed[name]; ok && old.At >= r.At {
		return false
	}
	r.seen = now
	d.removed[name] = r
	delete(d.entries, name)
	return entry != nil
}

// merge applies an entry from another instance. It may be older than what this instance has read;
// then it does not restore an entry that was removed since.
func (d *directory) merge(ep *config.Endpoint) bool {
	if old := d.entries[ep.Name]; old != nil {
		if ep.Incarnation < old.ep.Incarnation || ep.Incarnation == old.ep.Incarnation && ep.Revision <= old.ep.Revision {
			return false
		}
	} else if incarnation, ok := d.retired[ep.Name]; ok && ep.Incarnation <= incarnation || d.isGone(ep) {
		return false
	}
	return d.put(ep)
}

// isGone reports whether an entry that this instance does not have was removed before it read the table. Instances of
// former builds do not say when an entry was written.
func (d *directory) isGone(ep *config.Endpoint) bool {
	return d.entries[ep.Name] == nil && ep.Written != 0 && ep.Written <= d.wholeAt
}

// retire records that an incarnation was seen leaving, by this instance or by another one.
func (d *directory) retire(name string, incarnation int64) bool {
	if old, ok := d.retired[name]; ok && old >= incarnation {
		return false
	}
	if !d.hasRoomForRetired(name) {
		return false
	}
	d.retired[name] = incarnation
	if entry := d.entries[name]; entry != nil && entry.ep.Incarnation <= incarnation && !entry.ep.Leaving {
		e := *entry.ep
		e.Leaving = true
		entry.ep, entry.withheld = &e, true
		return true
	}
	return false
}

const (
	// maxRetired bounds the names in retired that have no entry: many times the endpoints of a large fleet.
	maxRetired     = 1 << 14
	maxRetiredName = 256 // bytes of such a name
)

// hasRoomForRetired makes room for a name in retired, if it has no entry.
func (d *directory) hasRoomForRetired(name string) bool {
	if _, ok := d.retired[name]; ok || d.entries[name] != nil {
		return true
	}
	if len(name) > maxRetiredName {
		return false
	}
	if len(d.retired) < maxRetired+len(d.entries) {
		return true
	}
	for other := range d.retired {
		if d.entries[other] == nil {
			delete(d.retired, other)
			break
		}
	}
	return true
}

// replace applies a full read of the table at a position: entries that are missing from it are removed.
func (d *directory) replace(now time.Time, eps []*config.Endpoint, at uint64) bool {
	present := map[string]bool{}
	changed := false
	for _, ep := range eps {
		present[ep.Name] = true
		changed = d.put(ep) || changed
	}
	for name := range d.entries {
		if !present[name] {
			changed = d.remove(now, name, at) || changed
		}
	}
	d.wholeAt = at
	return changed
}

// followed records that all changes of the table up to a position were applied.
func (d *directory) followed(at uint64) {
	if d.wholeAt > 0 {
		d.wholeAt = at
	}
}

// expire drops the entries whose endpoints did not register again in time, and suspends those that
// may have left.
func (d *directory) expire(now time.Time) bool {
	changed := false
	maps.DeleteFunc(d.removed, func(_ string, r removedEntry) bool { return now.Sub(r.seen) > removalMemory })
	for name, entry := range d.entries {
		switch {
		case !entry.removalPending:
		case !now.Before(entry.removeAt):
			d.drop(now, name)
			changed = true
		case !entry.suspended && !entry.suspendAt.IsZero() && !now.Before(entry.suspendAt):
			entry.suspended, changed = true, true
		}
	}
	return changed
}

// list returns the endpoints sorted by name. Suspended ones are leaving.
func (d *directory) list() []*config.Endpoint {
	out := make([]*config.Endpoint, 0, len(d.entries))
	for _, entry := range d.entries {
		ep := entry.ep
		if entry.suspended {
			e := *ep
			e.Leaving = true
			ep = &e
		}
		out = append(out, ep)
	}
	slices.SortFunc(out, func(a, b *config.Endpoint) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// registered returns the endpoints whose entries are in the store, as they have registered.
func (d *directory) registered() (out []*config.Endpoint) {
	for _, entry := range d.entries {
		if !entry.removalPending {
			out = append(out, entry.ep)
		}
	}
	return out
}

// withholds reports whether an endpoint is not used although its entry does not say that it leaves.
func (d *directory) withholds(name string) bool {
	entry := d.entries[name]
	return entry != nil && (entry.withheld || entry.suspended)
}

// countWithheld returns how many endpoints are not used although their entries do not say that they leave.
func (d *directory) countWithheld() (n int) {
	for name := range d.entries {
		if d.withholds(name) {
			n++
		}
	}
	return n
}
