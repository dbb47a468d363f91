// Package origin records which software version of a pool began which stream. A broken stream may
// go on only at an engine of that version, whichever instance its caller comes to.
package origin

import (
	"crypto/sha256"
	"encoding/binary"
	"io"
	"slices"
	"time"
)

const (
	// Lifetime is how long after a stream began it can be taken up again.
	Lifetime = time.Minute
	// maxRecords bounds the records in memory; the oldest are dropped first.
	maxRecords = 1 << 15
	keyBytes   = 12 // no caller can find an attempt with the key of another account's
)

// Key identifies the attempt that brought a stream's first event.
type Key [keyBytes]byte

// KeyOf returns the key of an account's attempt. Attempt IDs are chosen by callers, so they say
// nothing about the streams of other accounts.
func KeyOf(account, attempt string) Key {
	h := sha256.New()
	var length [4]byte
	binary.BigEndian.PutUint32(length[:], uint32(len(account)))
	h.Write(length[:])
	_, _ = io.WriteString(h, account)
	_, _ = io.WriteString(h, attempt)
	return Key(h.Sum(nil)[:keyBytes])
}

// Origin is where a stream began. The zero Origin stands for several: of streams with the same key
// that began at different versions, none is known to be the one that a caller means.
type Origin struct {
	Pool    string `json:"pool"`
	Version string `json:"software_version"` // of the engine
}

// Record is the origin of one stream.
type Record struct {
	Key    Key
	Origin Origin
	Begun  time.Time
}

// Table holds the origins of the streams of all instances. It is not safe for concurrent use.
//
// Invariant: own is sorted by Begun. The origin of a key is fixed once it is recorded, or becomes the zero Origin, so
// records from any source and of any age can be merged in any order.
type Table struct {
	records map[Key]Record
	order   []Key    // of records, by arrival
	own     []Record // begun at this instance, by time
}

// New returns an empty table.
func New() *Table { return &Table{records: map[Key]Record{}} }

// Begin records a stream that began at this instance.
func (t *Table) Begin(r Record) {
	t.Merge(r.Begun, r)
	t.own = append(t.own, r)
	if len(t.own) > maxRecords {
		t.own = t.own[1:]
	}
}

// Restore adds a record of an earlier incarnation of this instance to its own ones.
func (t *Table) Restore(now time.Time, r Record) {
	if now.Sub(r.Begun) >= Lifetime {
		return
	}
	t.Merge(now, r)
	i, _ := slices.BinarySearchFunc(t.own, r.Begun, func(r Record, at time.Time) int { return r.Begun.Compare(at) })
	for _, old := range t.own[i:] {
		if old.Key == r.Key && old.Begun.Equal(r.Begun) {
			return
		}
		if old.Begun.After(r.Begun) {
			break
		}
	}
	t.own = slices.Insert(t.own, i, r)
}

// Merge adds a record of any instance. It reports whether the table has changed.
func (t *Table) Merge(now time.Time, r Record) (changed bool) {
	if now.Sub(r.Begun) >= Lifetime {
		return false
	}
	if old, ok := t.records[r.Key]; ok {
		if old.Origin == r.Origin || old.Origin == (Origin{}) {
			return false
		}
		old.Origin = Origin{}
		t.records[r.Key] = old
		return true
	}
	t.records[r.Key] = r
	t.order = append(t.order, r.Key)
	if len(t.order) > maxRecords {
		delete(t.records, t.order[0])
		t.order = t.order[1:]
	}
	return true
}

// Get returns a record, which may have the zero Origin.
func (t *Table) Get(k Key) (Record, bool) {
	r, ok := t.records[k]
	return r, ok
}

// Find returns the origin of a stream, if it is known.
func (t *Table) Find(now time.Time, k Key) (Origin, bool) {
	r, ok := t.records[k]
	if !ok || r.Origin == (Origin{}) || now.Sub(r.Begun) >= Lifetime {
		return Origin{}, false
	}
	return r.Origin, true
}

// Own returns the streams that began at this instance since a time.
func (t *Table) Own(since time.Time) []Record {
	i, _ := slices.BinarySearchFunc(t.own, since, func(r Record, at time.Time) int { return r.Begun.Compare(at) })
	return slices.Clone(t.own[i:])
}

// All returns all records.
func (t *Table) All() []Record {
	out := make([]Record, 0, len(t.records))
	for _, r := range t.records {
		out = append(out, r)
	}
	return out
}

// Len returns the number of records.
func (t *Table) Len() int { return len(t.records) }

// Expire drops the records whose lifetime is over.
func (t *Table) Expire(now time.Time) {
	kept := t.order[:0]
	for _, k := range t.order {
		if now.Sub(t.records[k].Begun) < Lifetime {
			kept = append(kept, k)
		} else {
			delete(t.records, k)
		}
	}
	t.order = kept
	t.own = slices.DeleteFunc(t.own, func(r Record) bool { return now.Sub(r.Begun) >= Lifetime })
}
