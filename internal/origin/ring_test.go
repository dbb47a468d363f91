package origin

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func keysOf(from, n int) (keys []Key) {
	for i := range n {
		keys = append(keys, KeyOf("a", fmt.Sprint(from+i)))
	}
	return keys
}

// More streams than a row holds make further rows, and full rows are not written again.
func TestFullRowsOfTheRingAreWrittenOnce(t *testing.T) {
	var r Ring
	now := time.UnixMilli(1_800_000_000_000)
	for _, k := range keysOf(0, 2*RowStreams+10) {
		r.Add(now, k)
	}
	rows := r.Due(now)
	assert.Equal(t, len(rows), 3)
	for _, row := range rows {
		assert.Assert(t, len(row.Keys) <= RowStreams)
	}
	r.Add(now, KeyOf("a", "next"))
	again := r.Due(now)
	assert.Equal(t, len(again), 1)
	assert.Equal(t, again[0].Name, rows[2].Name)
	assert.Equal(t, len(again[0].Keys), 11)
	assert.Equal(t, len(r.Due(now)), 0)
}

// A row is not overwritten before RingTime is nearly over, and there are no more rows than the ring has.
func TestRowsOfTheRingLast(t *testing.T) {
	var r Ring
	written := map[string]time.Time{}
	begin := time.UnixMilli(1_800_000_000_000)
	for i := range 1000 {
		now := begin.Add(time.Duration(i) * 100 * time.Millisecond)
		r.Add(now, KeyOf("a", fmt.Sprint(i)))
		for _, row := range r.Due(now) {
			if last, ok := written[row.Name]; ok {
				gap := now.Sub(last)
				assert.Assert(t, gap < ringSpan || gap >= RingTime-ringSpan, "overwritten after %v", gap)
			}
			written[row.Name] = now
		}
	}
	assert.Equal(t, len(written), ringRows)
}

// A row that was not written is due again, in its own slot.
func TestUnwrittenRowOfTheRingIsDueAgain(t *testing.T) {
	var r Ring
	now := time.UnixMilli(1_800_000_000_000)
	r.Add(now, KeyOf("a", "1"))
	first := r.Due(now)
	assert.Assert(t, r.Unwritten(func(name string) bool { return name == first[0].Name }))
	assert.DeepEqual(t, r.Due(now.Add(3*ringSpan)), first)
	assert.Assert(t, r.Unwritten(func(string) bool { return true }))
	assert.Equal(t, len(r.Due(now.Add(RingTime))), 0)
}

// An instance that starts anew in the time slot of its earlier incarnation does not overwrite its streams.
func TestRestartedInstanceKeepsItsRowOfTheRing(t *testing.T) {
	now := time.UnixMilli(1_800_000_000_000)
	var before, after Ring
	for _, k := range keysOf(0, RowStreams+5) {
		before.Add(now, k)
	}
	rows := before.Due(now)
	for _, row := range rows {
		after.Restore(now, row.Name, row.Keys)
	}
	after.Add(now, KeyOf("a", "next"))
	kept := map[Key]bool{}
	for _, row := range after.Due(now) {
		for _, k := range row.Keys {
			kept[k] = true
		}
	}
	assert.Equal(t, len(kept), RowStreams+6)
}

// An instance that does not write the ring forgets what others have written.
func TestStreamsThatOthersWroteAreForgotten(t *testing.T) {
	var r Ring
	now := time.UnixMilli(1_800_000_000_000)
	r.Add(now, KeyOf("a", "old"))
	r.Add(now.Add(handoverTime), KeyOf("a", "new"))
	r.Forget(now.Add(handoverTime))
	rows := r.Due(now.Add(handoverTime))
	assert.Equal(t, len(rows), 1)
	assert.Equal(t, len(rows[0].Keys), 1)
}
