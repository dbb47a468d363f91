package gateway

import (
	"maps"
	"slices"
	"strings"
	"time"

	"carawayrouter.example/router/internal/config"
)

// returnTime is how long an endpoint whose entry vanished while the store was away may
// take to enter itself again once the store is back: about two seconds, by the platform.
const reregistrationGrace = 2200 * time.Millisecond

// directory is what the instance believes of the endpoints. It is not safe for
// concurrent use.
//
// Invariant: an incarnation of an endpoint that was seen leaving stays so.
type directory struct {
	entries       map[string]*directoryEntry
	retired       map[string]int64 // newest incarnation seen leaving or gone, by name
	removals      int              // entries that vanished since vanishedAt
	removalsSince time.Time
	graceUntil    time.Time // entries that vanish before this time may come back
}

type directoryEntry struct {
	ep             *config.Endpoint
	removalPending bool      // its entry vanished while the store was away
	removeAt       time.Time // of a pending one
}

func newDirectory() *directory {
	return &directory{entries: map[string]*directoryEntry{}, retired: map[string]int64{}}
}

// storeLost notes that the store could not be used; entries may lapse without their
// endpoints having left, until shortly after its return.
func (d *directory) storeFailed(now time.Time) { d.graceUntil = now.Add(reregistrationGrace) }

// storeBack notes that the store answers again. It may have returned at any moment since
// the last failed call, so entries have the whole time from now on.
func (d *directory) storeRecovered(now time.Time) { d.graceUntil = now.Add(reregistrationGrace) }

// put takes an entry and reports whether it changed anything. Entries of an older
// incarnation, or older ones of the same, are left out.
func (d *directory) put(ep *config.Endpoint) bool {
	old := d.entries[ep.Name]
	if old != nil {
		switch {
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
	d.entries[e.Name] = &directoryEntry{ep: &e}
	return old == nil || old.removalPending || !equalExceptRevision(old.ep, &e)
}

// supersede retires the older of two endpoints of a pool with one address: the newer one
// runs where the older one ended, whose entry stays for some heartbeats. It reports whether
// e is the older one. An entry of another pool proves nothing: it may not be an endpoint's.
func (d *directory) supersede(e *config.Endpoint) (older bool) {
	for name, r := range d.entries {
		switch {
		case name == e.Name || r.ep.Addr != e.Addr || r.ep.Pool != e.Pool:
		case r.ep.Incarnation < e.Incarnation:
			d.retire(name, r.ep.Incarnation)
		case r.ep.Incarnation > e.Incarnation:
			older = true
		}
	}
	return older
}

func equalExceptRevision(a, b *config.Endpoint) bool {
	x, y := *a, *b
	x.Revision, y.Revision = 0, 0
	return x == y
}

// remove takes out an entry that has vanished from the store.
func (d *directory) remove(now time.Time, name string) bool {
	r := d.entries[name]
	if r == nil || r.removalPending {
		return false
	}
	if now.Before(d.graceUntil) || d.isRemovalBurst(now) {
		if d.graceUntil.Before(now) {
			d.graceUntil = now.Add(reregistrationGrace)
		}
		r.removalPending, r.removeAt = true, d.graceUntil
		return false
	}
	d.drop(name)
	return true
}

// tooMany counts vanished entries and reports whether they are more than leave at once
// on purpose: then the store was away, even if this instance has not noticed.
func (d *directory) isRemovalBurst(now time.Time) bool {
	if now.Sub(d.removalsSince) > removalBurstWindow {
		d.removalsSince, d.removals = now, 0
	}
	d.removals++
	return d.removals > max(removalBurstMin, len(d.entries)/removalBurstDivisor)
}

const (
	removalBurstWindow  = 500 * time.Millisecond // in which vanished entries are counted together
	removalBurstDivisor = 4                      // of all entries
	removalBurstMin     = 2
)

func (d *directory) drop(name string) {
	d.retired[name] = max(d.retired[name], d.entries[name].ep.Incarnation)
	delete(d.entries, name)
}

// learn takes an entry from another instance. It may be older than what this instance
// has read itself: then it brings nothing back that has vanished since.
func (d *directory) merge(ep *config.Endpoint) bool {
	if old := d.entries[ep.Name]; old != nil {
		if ep.Incarnation < old.ep.Incarnation || ep.Incarnation == old.ep.Incarnation && ep.Revision <= old.ep.Revision {
			return false
		}
	} else if incarnation, ok := d.retired[ep.Name]; ok && ep.Incarnation <= incarnation {
		return false
	}
	return d.put(ep)
}

// retire notes that another instance saw an incarnation leaving or gone.
func (d *directory) retire(name string, incarnation int64) bool {
	if old, ok := d.retired[name]; ok && old >= incarnation {
		return false
	}
	d.retired[name] = incarnation
	if r := d.entries[name]; r != nil && r.ep.Incarnation <= incarnation && !r.ep.Leaving {
		e := *r.ep
		e.Leaving = true
		r.ep = &e
		return true
	}
	return false
}

// replace takes the whole table: entries that are not in it have vanished.
func (d *directory) replace(now time.Time, eps []*config.Endpoint) bool {
	present := map[string]bool{}
	changed := false
	for _, ep := range eps {
		present[ep.Name] = true
		changed = d.put(ep) || changed
	}
	for name := range d.entries {
		if !present[name] {
			changed = d.remove(now, name) || changed
		}
	}
	return changed
}

// expire drops the entries that did not come back.
func (d *directory) expire(now time.Time) bool {
	changed := false
	for name, r := range d.entries {
		if r.removalPending && !now.Before(r.removeAt) {
			d.drop(name)
			changed = true
		}
	}
	return changed
}

// list returns the endpoints by name.
func (d *directory) list() []*config.Endpoint {
	out := make([]*config.Endpoint, 0, len(d.entries))
	for r := range maps.Values(d.entries) {
		out = append(out, r.ep)
	}
	slices.SortFunc(out, func(a, b *config.Endpoint) int { return strings.Compare(a.Name, b.Name) })
	return out
}
