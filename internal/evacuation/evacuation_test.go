package evacuation

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1_700_000_000, 0)

const eraBits = 20

func era(position uint64) uint64 { return position >> eraBits }

func at(e, version uint64) uint64 { return e<<eraBits | version }

func newSet() *Set { return New(era) }

func evacuated(dataCentre string, written uint64) Record {
	return Record{DataCentre: dataCentre, Evacuated: true, Written: written}
}

func read(s *Set, now time.Time, rows []Record, at uint64, full bool) []Change {
	changes, _ := s.Read(now, rows, at, full)
	return changes
}

func takenBack(dataCentre string, written uint64) Record {
	return Record{DataCentre: dataCentre, Written: written}
}

// The operator evacuates a data centre and takes it back, as told by changes, by a full read after a compaction, and late.
func TestRowsBeginAndEndAnEvacuation(t *testing.T) {
	s := newSet()
	assert.Equal(t, len(read(s, start, nil, at(0, 5), true)), 0)
	assert.DeepEqual(t, read(s, start, []Record{evacuated("a", at(0, 7))}, at(0, 7), false), []Change{{Record: evacuated("a", at(0, 7))}})
	assert.Equal(t, len(read(s, start, nil, at(0, 6), true)), 0, "a stale read is from before the row")
	assert.DeepEqual(t, s.Evacuated(), []string{"a"})
	assert.Equal(t, len(read(s, start, []Record{evacuated("a", at(0, 7))}, at(0, 9), true)), 0)
	assert.DeepEqual(t, read(s, start, []Record{takenBack("a", at(0, 10))}, at(0, 10), false), []Change{{Record: takenBack("a", at(0, 10))}})
	assert.Equal(t, len(read(s, start, []Record{evacuated("a", at(0, 7))}, at(0, 9), true)), 0, "a stale read brings nothing back")
	s.Read(start, []Record{evacuated("a", at(0, 12))}, at(0, 12), false)
	assert.DeepEqual(t, read(s, start, nil, at(0, 20), true), []Change{{Record: takenBack("a", at(0, 20))}}) // the removal was in the history that is gone
}

// The store is restored from a copy that is older than the evacuation. The operator has not removed the row, so it stays in force until
// the operator writes or removes it, or has had a minute to do so.
func TestRestoredStoreDoesNotEndAnEvacuation(t *testing.T) {
	for name, tc := range map[string]struct {
		rows      []Record
		after     time.Duration
		evacuated bool
	}{
		"nothing more is heard":   {after: RestoreHold - 1, evacuated: true},
		"the hold is over":        {after: RestoreHold},
		"the operator removes it": {rows: []Record{takenBack("a", at(1, 9))}},
		"it is written again":     {rows: []Record{evacuated("a", at(1, 9))}, after: time.Hour, evacuated: true},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSet()
			s.Read(start, []Record{evacuated("a", at(0, 100))}, at(0, 100), true)
			s.Read(start, nil, at(1, 3), true)
			s.Read(start.Add(time.Second), nil, at(1, 4), true) // history gone
			assert.DeepEqual(t, s.Evacuated(), []string{"a"})
			s.Read(start.Add(time.Second), tc.rows, at(1, 9), false)
			s.Expire(start.Add(tc.after))
			assert.Equal(t, len(s.Evacuated()) == 1, tc.evacuated)
		})
	}
}

// An instance has read the operator's table without the row. Another one, which has been cut off since before the removal and
// may end before it reads the store, tells of the evacuation: the read counts. If the store was restored in between, the row may be one that the
// copy has lost, and is held like others.
func TestTellingOfARowThatIsNotInTheTable(t *testing.T) {
	s := newSet()
	s.Read(start, nil, at(0, 50), true)
	s.Merge(start, []Record{evacuated("a", at(0, 30)), evacuated("b", at(0, 51))})
	assert.DeepEqual(t, s.Evacuated(), []string{"b"})
	assert.DeepEqual(t, s.Records()[0], takenBack("a", at(0, 50))) // so that the other one is told

	s = newSet()
	s.Read(start, nil, at(1, 3), true)
	s.Merge(start, []Record{evacuated("a", at(0, 100))})
	assert.Equal(t, len(s.Expire(start.Add(RestoreHold-1))), 0)
	assert.DeepEqual(t, s.Evacuated(), []string{"a"})
	s.Expire(start.Add(RestoreHold))
	assert.Equal(t, len(s.Evacuated()), 0)
	s.Merge(start.Add(RestoreHold), []Record{evacuated("a", at(0, 100))})
	assert.Equal(t, len(s.Evacuated()), 0)
}

// A table with a row that cannot be read, or is not taken in, does not show that other rows were removed before it was read.
func TestTellingOfARowThatCannotBeRead(t *testing.T) {
	s := newSet()
	s.Read(start, []Record{evacuated("a", 0)}, at(0, 50), true)
	assert.Equal(t, len(s.Evacuated()), 0)
	s.Merge(start, []Record{evacuated("a", at(0, 30))})
	s.Read(start, []Record{evacuated("a", 0)}, at(0, 60), true)
	assert.DeepEqual(t, s.Evacuated(), []string{"a"})
}

// More data centres than can be told are not taken in; those that were taken back give way.
func TestNumberOfDataCentresIsBounded(t *testing.T) {
	s := newSet()
	for i := range uint64(MaxDataCentres + 5) {
		s.Read(start, []Record{evacuated(string(rune('A'+i)), i+1)}, i+1, false)
	}
	assert.Equal(t, len(s.Records()), MaxDataCentres)
	s.Read(start, []Record{takenBack("A", 1000)}, 1000, false)
	s.Read(start, []Record{evacuated("new", 1001)}, 1001, false)
	assert.Equal(t, len(s.Records()), MaxDataCentres)
	assert.Assert(t, slices.Contains(s.Evacuated(), "new"))
	s.Read(start, []Record{evacuated("", 1002), evacuated(string(make([]byte, MaxName+1)), 1003)}, 1003, false)
	assert.Equal(t, len(s.Records()), MaxDataCentres)
}

// world is a store with the operator's writes, and instances that read it and tell each other what they know.
type world struct {
	rows    map[string]uint64 // position by data centre
	version uint64
	era     uint64
	log     []Record // changes of this era, in order
	removed []Record // removals of all eras
}

// removedBefore reports whether the operator has removed the row in the life of the store of the record, before it.
func (w *world) removedBefore(r Record) bool {
	return slices.ContainsFunc(w.removed, func(x Record) bool {
		return x.DataCentre == r.DataCentre && era(x.Written) == era(r.Written) && x.Written <= r.Written
	})
}

func (w *world) position() uint64 { return at(w.era, w.version) }

func (w *world) write(dataCentre string, evacuate bool) {
	w.version++
	if _, ok := w.rows[dataCentre]; !ok && !evacuate {
		return
	}
	if evacuate {
		w.rows[dataCentre] = w.position()
	} else {
		delete(w.rows, dataCentre)
	}
	r := Record{DataCentre: dataCentre, Evacuated: evacuate, Written: w.position()}
	w.log = append(w.log, r)
	if !evacuate {
		w.removed = append(w.removed, r)
	}
}

func (w *world) table() (out []Record) {
	for name, written := range w.rows {
		out = append(out, evacuated(name, at(w.era, written&(1<<eraBits-1))))
	}
	return out
}

// Whatever is lost, late, stale or told twice, over restores of the store: what an instance knows of a data centre never goes back to an
// earlier position, an evacuation ends only by the operator's removal or after the hold, and at the end all instances agree with the store.
func TestInstancesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{rows: map[string]uint64{}, version: 1}
		now := start
		dataCentres := []string{"a", "b", "c"}
		sets := []*Set{newSet(), newSet(), newSet()}
		var inFlight [][]Record
		type read struct {
			rows []Record
			at   uint64
		}
		stale := []read{{nil, at(0, 1)}}
		newest := make([]map[string]Record, len(sets))
		for i := range newest {
			newest[i] = map[string]Record{}
		}
		restored := []time.Time{now.Add(-time.Hour)} // by era
		check := func(i int) {
			for _, r := range sets[i].Records() {
				old := newest[i][r.DataCentre]
				if r.Written < old.Written {
					t.Fatalf("instance %d went back from %v to %v", i, old, r)
				}
				if old.Evacuated && !r.Evacuated && era(r.Written) > era(old.Written) && !w.removedBefore(r) && now.Sub(restored[era(r.Written)]) < RestoreHold {
					t.Fatalf("instance %d: the restore of the store ended %v", i, old)
				}
				newest[i][r.DataCentre] = r
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, len(sets)-1).Draw(t, "instance")
			switch rapid.SampledFrom([]string{"evacuate", "undo", "read", "stale", "change", "tell", "hear", "restore", "restart", "expire"}).Draw(t, "step") {
			case "evacuate":
				w.write(rapid.SampledFrom(dataCentres).Draw(t, "dc"), true)
			case "undo":
				w.write(rapid.SampledFrom(dataCentres).Draw(t, "dc"), false)
			case "read":
				stale = append(stale, read{w.table(), w.position()})
				sets[i].Read(now, w.table(), w.position(), true)
			case "stale":
				r := rapid.SampledFrom(stale).Draw(t, "read")
				if era(r.at) == w.era { // the watcher refuses the answers of an earlier era
					sets[i].Read(now, r.rows, r.at, true)
				}
			case "change":
				if len(w.log) > 0 {
					r := rapid.SampledFrom(w.log).Draw(t, "change")
					sets[i].Read(now, []Record{r}, r.Written, false)
				}
			case "tell":
				inFlight = append(inFlight, sets[i].Records())
			case "hear":
				if len(inFlight) > 0 {
					sets[i].Merge(now, rapid.SampledFrom(inFlight).Draw(t, "update"))
				}
			case "restore":
				// From a copy without the newest rows.
				for _, r := range w.log {
					if rapid.Bool().Draw(t, "lost") {
						delete(w.rows, r.DataCentre)
					}
				}
				w.era++
				w.version = uint64(rapid.IntRange(1, int(w.version)).Draw(t, "version"))
				for name, written := range w.rows { // the copy has no later versions
					w.rows[name] = at(w.era, min(written&(1<<eraBits-1), w.version))
				}
				w.log, restored = nil, append(restored, now)
			case "restart":
				sets[i], newest[i] = newSet(), map[string]Record{}
			case "expire":
				sets[i].Expire(now)
			}
			check(i)
		}
		// All read the store, and hear each other once the hold is over.
		for range 2 {
			for _, s := range sets {
				s.Read(now, w.table(), w.position(), true)
			}
			now = now.Add(RestoreHold)
			for _, s := range sets {
				s.Expire(now)
			}
			for _, from := range sets {
				for _, to := range sets {
					to.Merge(now, from.Records())
				}
			}
			w.version++
		}
		var want []string
		for name := range w.rows {
			want = append(want, name)
		}
		slices.Sort(want)
		for _, s := range sets {
			assert.DeepEqual(t, append([]string{}, s.Evacuated()...), append([]string{}, want...))
		}
	})
}

// BenchmarkMerge is what an update of another instance costs that tells nothing new of three data centres.
func BenchmarkMerge(b *testing.B) {
	s := newSet()
	told := []Record{evacuated("dohoku-a", at(0, 7)), takenBack("dohoku-b", at(0, 8)), takenBack("dohoku-c", at(0, 9))}
	s.Merge(start, told)
	b.ReportAllocs()
	for b.Loop() {
		s.Merge(start, told)
	}
}
