package origin

import (
	"slices"
	"strconv"
	"time"
)

const (
	ringRows = 16
	ringSpan = 2 * time.Second // for which streams are added to a row
	// RingTime is how long a row of the ring lasts. By then the instances have written the rows of their own streams.
	RingTime = ringRows * ringSpan
	// RowStreams bounds the streams in a stored row, as the platform limits its size.
	RowStreams = 400
	// handoverTime is for how long streams are kept for an instance that takes over the writing of the ring.
	handoverTime = 3 * time.Second
)

// Ring decides which rows the streams of all instances are written to by the few instances that write them soon after
// they began. It is not safe for concurrent use.
//
// The load that it answers: several streams a second begin at each of 50 to 200 instances, and all instances are killed
// at once. Each instance's own rows cost calls in proportion to the fleet, so that they are written seldom and lack the
// streams of the last seconds. The calls for a ring depend on the time only: one for each write, or one for each
// RowStreams streams that were heard of since the last. A row is a part of a time slot, and nothing is added to a full
// one.
type Ring struct {
	pending []heard // in no row yet
	slots   [ringRows]ringSlot
}

type heard struct {
	key Key
	at  time.Time
}

// ringSlot holds the streams that were first written in a time slot, in rows of RowStreams.
type ringSlot struct {
	number  int64
	keys    []Key
	written int // the first keys, which the store has
}

// RingRow is a row to write. Its name is unique in the ring.
type RingRow struct {
	Name string
	Keys []Key
}

// Add adds a stream that the instance has just heard of.
func (r *Ring) Add(now time.Time, k Key) {
	if len(r.pending) >= maxRecords {
		r.pending = r.pending[1:]
	}
	r.pending = append(r.pending, heard{k, now})
}

// Forget drops the streams that others have written, if the instance does not write the ring.
func (r *Ring) Forget(now time.Time) {
	i := slices.IndexFunc(r.pending, func(h heard) bool { return now.Sub(h.at) < handoverTime })
	if i < 0 {
		i = len(r.pending)
	}
	r.pending = slices.Clone(r.pending[i:])
}

// Due returns the rows to write, which count as written from then on.
func (r *Ring) Due(now time.Time) (rows []RingRow) {
	if len(r.pending) > 0 {
		slot := r.slot(now)
		for _, h := range r.pending {
			slot.keys = append(slot.keys, h.key)
		}
		r.pending = nil
	}
	for i := range r.slots {
		slot := &r.slots[i]
		if slot.number <= slotNumber(now)-ringRows {
			continue // others have written these streams
		}
		for part := slot.written / RowStreams; slot.written < len(slot.keys); part++ {
			slot.written = min(len(slot.keys), (part+1)*RowStreams)
			rows = append(rows, RingRow{rowName(i, part), slices.Clone(slot.keys[part*RowStreams : slot.written])})
		}
	}
	return rows
}

// Unwritten has rows returned again by Due that the store does not have.
func (r *Ring) Unwritten(lacks func(name string) bool) (found bool) {
	for i := range r.slots {
		slot := &r.slots[i]
		for part := 0; part*RowStreams < slot.written; part++ {
			if lacks(rowName(i, part)) {
				slot.written, found = part*RowStreams, true
			}
		}
	}
	return found
}

// Restore adds the streams of a row that an earlier incarnation of the instance wrote, if the row is about to be
// overwritten.
func (r *Ring) Restore(now time.Time, name string, keys []Key) {
	slot := r.slot(now)
	for part := 0; part <= maxRecords/RowStreams; part++ {
		if name == rowName(slotIndex(slot.number), part) {
			slot.keys = append(slot.keys, keys...)
		}
	}
}

// slot returns the slot of a time, empty if it held those of an earlier one.
func (r *Ring) slot(now time.Time) *ringSlot {
	n := slotNumber(now)
	slot := &r.slots[slotIndex(n)]
	if slot.number != n {
		*slot = ringSlot{number: n}
	}
	return slot
}

func slotNumber(t time.Time) int64 { return t.UnixMilli() / ringSpan.Milliseconds() }

func slotIndex(number int64) int { return int(number % ringRows) }

func rowName(slot, part int) string { return strconv.Itoa(slot) + "." + strconv.Itoa(part) }
