// Package evacuation decides which data centres the operator wants empty: their endpoints are to get no requests. It answers an
// evacuation that has to hold at all instances within seconds, also at those that are cut off from the store, that start while it
// is away, or that read an older copy of it.
//
// Each instance holds a Set. It is fed by reads of the store and by what other instances tell, in any order and more than once. It does
// no input or output and reads no clock.
package evacuation

import (
	"cmp"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// RestoreHold is how long an evacuation stays in force whose row is missing from a store that was restored: the copy may be
	// older than the row. Within it the operator sees what the restore has lost, and writes it again.
	RestoreHold = time.Minute
	// takenBackMemory is how long at least it is known that an evacuation was taken back: longer than an older state can be told by
	// another instance, or read from the store. Instances that forget it at different times tell each other again, so in a fleet it
	// is known until another data centre needs the room.
	takenBackMemory = 10 * time.Minute
	// MaxDataCentres bounds the data centres of which something is known, so that all fit into an update.
	MaxDataCentres = 32
	// MaxName bounds the name of a data centre.
	MaxName = 64 // bytes
)

// Era returns the life of the store of a position: positions of a later one are later.
type Era func(position uint64) uint64

// Record says what the operator wants of a data centre.
type Record struct {
	DataCentre string
	Evacuated  bool
	Written    uint64 // position in the store of the write or the removal of the row
}

// Change is a record that has come into force.
type Change struct {
	Record
	Restored bool // it rests on a row that is missing from a store that was restored
}

// CheckName returns an error for what cannot be the name of a data centre.
func CheckName(name string) error {
	if name == "" || len(name) > MaxName {
		return errors.Newf("the name of a data centre has 1 to %d bytes, this one %d", MaxName, len(name))
	}
	return nil
}

// Set is what an instance knows. It is not safe for concurrent use.
//
// Invariant: the position of a data centre's record never falls while the record is known.
type Set struct {
	era   Era
	known map[string]*entry
	// wholeAt is the position of the last full read all of whose rows were taken in; 0 if there was none. What was written until then
	// and is not known was removed, or lost by a restore.
	wholeAt uint64
}

type entry struct {
	Record
	learned time.Time
	// missing is the position of the first read of a restored store from which the row was missing; 0 if none was.
	missing   uint64
	missingAt time.Time
}

// New returns a Set that knows nothing.
func New(era Era) *Set { return &Set{era: era, known: map[string]*entry{}} }

// Merge applies the records of another instance.
func (s *Set) Merge(now time.Time, records []Record) (changes []Change) {
	for _, r := range records {
		e := s.known[r.DataCentre]
		isMissing := r.Evacuated && r.Written <= s.wholeAt && (e == nil || r.Written > e.Written)
		if isMissing && s.era(r.Written) == s.era(s.wholeAt) {
			r = Record{DataCentre: r.DataCentre, Written: s.wholeAt}
		}
		changes = s.put(changes, now, r)
		if e = s.known[r.DataCentre]; isMissing && r.Evacuated && e != nil {
			e.missing, e.missingAt = s.wholeAt, now
		}
	}
	return changes
}

// Read applies rows of the operator's table, read at a position: those that evacuate data centres, and, after a change, those that were
// removed. A row that cannot be read has no position: it is there and changes nothing. With full, data centres without a row are not
// evacuated. Held are those whose rows are newly missing from a store that was
// restored; their evacuations stay in force for RestoreHold.
func (s *Set) Read(now time.Time, rows []Record, at uint64, full bool) (changes []Change, held []string) {
	for _, r := range rows {
		if r.Written != 0 {
			changes = s.put(changes, now, r)
		}
	}
	if !full {
		return changes, nil
	}
	present, whole := map[string]bool{}, true
	for _, r := range rows {
		present[r.DataCentre] = r.Evacuated
		whole = whole && r.Written != 0 && s.known[r.DataCentre] != nil
	}
	if whole {
		s.wholeAt = max(s.wholeAt, at)
	}
	for _, name := range s.names() {
		e := s.known[name]
		switch {
		case present[name] || !e.Evacuated || at <= e.Written:
		case s.era(at) > s.era(e.Written):
			if e.missing == 0 {
				e.missing, e.missingAt = at, now
				held = append(held, name)
			}
		default:
			changes = s.put(changes, now, Record{DataCentre: name, Written: at})
		}
	}
	return changes, held
}

// Expire ends evacuations whose rows have been missing from a restored store for RestoreHold, and forgets data centres that were taken back
// long ago.
func (s *Set) Expire(now time.Time) (changes []Change) {
	for _, name := range s.names() {
		e := s.known[name]
		if e.missing != 0 && now.Sub(e.missingAt) >= RestoreHold {
			changes = s.put(changes, now, Record{DataCentre: name, Written: e.missing})
			changes[len(changes)-1].Restored = true
		}
		if !e.Evacuated && now.Sub(e.learned) > takenBackMemory {
			delete(s.known, name)
		}
	}
	return changes
}

// put applies a record if it is later than what is known, and adds it to the changes if it changes what is in force.
func (s *Set) put(changes []Change, now time.Time, r Record) []Change {
	if CheckName(r.DataCentre) != nil {
		return changes
	}
	e := s.known[r.DataCentre]
	switch {
	case e == nil:
		if !s.hasRoom() {
			return changes
		}
		e = &entry{}
		s.known[r.DataCentre] = e
	case r.Written < e.Written, r.Written == e.Written && (r.Evacuated == e.Evacuated || !r.Evacuated):
		// Of two records of one position the one that evacuates counts: the other one is of a read in which the row was missing.
		return changes
	}
	changed := e.Evacuated != r.Evacuated
	*e = entry{Record: r, learned: now}
	if changed {
		changes = append(changes, Change{Record: r})
	}
	return changes
}

// hasRoom makes room for another data centre, if one of those known was taken back.
func (s *Set) hasRoom() bool {
	if len(s.known) < MaxDataCentres {
		return true
	}
	oldest := ""
	for name, e := range s.known {
		if !e.Evacuated && (oldest == "" || e.Written < s.known[oldest].Written) {
			oldest = name
		}
	}
	delete(s.known, oldest)
	return oldest != ""
}

// Knows reports whether there is a record of a data centre.
func (s *Set) Knows(dataCentre string) bool { return s.known[dataCentre] != nil }

// Records returns all records, for other instances.
func (s *Set) Records() []Record {
	out := make([]Record, 0, len(s.known))
	for _, name := range s.names() {
		out = append(out, s.known[name].Record)
	}
	return out
}

// Evacuated returns the evacuated data centres, sorted.
func (s *Set) Evacuated() (out []string) {
	for _, name := range s.names() {
		if s.known[name].Evacuated {
			out = append(out, name)
		}
	}
	return out
}

func (s *Set) names() []string {
	names := make([]string, 0, len(s.known))
	for name := range s.known {
		names = append(names, name)
	}
	slices.SortFunc(names, cmp.Compare[string])
	return names
}
