package origin

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var (
	v1 = Origin{Pool: "writers", Version: "v1"}
	v2 = Origin{Pool: "writers", Version: "v2"}
)

// Tables that have merged the same records in any order agree, and a key with two origins has none.
func TestMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		var all []Record
		want := map[Key]Origin{}
		for range rapid.IntRange(1, 20).Draw(t, "records") {
			k := KeyOf("a", fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "attempt")))
			o := rapid.SampledFrom([]Origin{v1, v2}).Draw(t, "origin")
			all = append(all, Record{Key: k, Origin: o, Begun: now})
			if old, ok := want[k]; ok && old != o {
				o = Origin{}
			}
			want[k] = o
		}
		a, b := New(), New()
		for _, r := range all {
			a.Merge(now, r)
		}
		for _, r := range rapid.Permutation(all).Draw(t, "order") {
			b.Merge(now, r)
		}
		c := New()
		for _, r := range a.All() {
			c.Merge(now, r)
		}
		for k, o := range want {
			for _, table := range []*Table{a, b, c} {
				got, known := table.Find(now, k)
				assert.Equal(t, known, o != Origin{})
				assert.Equal(t, got, o)
			}
		}
	})
}

// A caller cannot name the stream of another account.
func TestKeysOfAccountsDiffer(t *testing.T) {
	assert.Assert(t, KeyOf("a", "bc") != KeyOf("ab", "c"))
	assert.Assert(t, KeyOf("a", "c") != KeyOf("b", "c"))
}

// Records end with their lifetime, and the oldest give way when there are too many.
func TestTableIsBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	table := New()
	for i := range maxRecords + 10 {
		table.Begin(Record{Key: KeyOf("a", fmt.Sprint(i)), Origin: v1, Begun: now.Add(time.Duration(i) * time.Microsecond)})
	}
	assert.Equal(t, table.Len(), maxRecords)
	_, known := table.Find(now, KeyOf("a", "0"))
	assert.Assert(t, !known)
	last := KeyOf("a", fmt.Sprint(maxRecords+9))
	_, known = table.Find(now.Add(Lifetime), last)
	assert.Assert(t, known)
	_, known = table.Find(now.Add(2*Lifetime), last)
	assert.Assert(t, !known)
	table.Expire(now.Add(2 * Lifetime))
	assert.Equal(t, table.Len(), 0)
	assert.Equal(t, len(table.Own(time.Time{})), 0)
}

// A restarted instance goes on reporting the streams that its former incarnation began.
func TestOwnRecordsAreRestored(t *testing.T) {
	now := time.Unix(1000, 0)
	older := Record{Key: KeyOf("a", "1"), Origin: v1, Begun: now.Add(-2 * time.Second)}
	table := New()
	table.Begin(Record{Key: KeyOf("a", "2"), Origin: v2, Begun: now})
	table.Restore(now, older)
	table.Restore(now, older)
	assert.Equal(t, len(table.Own(now.Add(-time.Minute))), 2)
	assert.Equal(t, table.Own(now.Add(-time.Minute))[0], older)
	assert.Equal(t, len(table.Own(now.Add(-time.Second))), 1)
	o, known := table.Find(now, older.Key)
	assert.Assert(t, known)
	assert.Equal(t, o, v1)
}
