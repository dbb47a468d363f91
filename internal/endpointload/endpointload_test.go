package endpointload

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

func at(d time.Duration) time.Time { return start.Add(d) }

const ms = time.Millisecond

func paceAt(pace float64, d time.Duration) Report {
	return Report{Running: 2, Slots: 6, Pace: pace, At: at(d)}
}

// An endpoint turns four times slower for 5 s: from the first report that anybody hears it is expected to be slow, and
// when reports end it is not slow for ever.
func TestSlowSecondsAreKnownAndForgotten(t *testing.T) {
	var r Record
	pool := Level{Pace: 1}
	for i := range 20 {
		r.Observe(paceAt(1, time.Duration(i)*100*ms))
	}
	r.Observe(Report{Pace: 4, Slots: 6, At: at(2000 * ms), Source: OtherInstance})
	assert.Assert(t, r.Expect(at(2050*ms), pool).Pace > 3.5)
	for i := range 50 {
		r.Observe(paceAt(4, 2*time.Second+time.Duration(i)*100*ms))
	}
	end := 2*time.Second + 49*100*ms
	assert.Assert(t, r.Expect(at(end+400*ms), pool).Pace > 3)
	assert.Assert(t, r.Expect(at(end+10*time.Second), pool).Pace < 1.05)
}

// Pace that changes ten times a second: between reports that are 400 ms apart the expected pace is closer to what the
// next request meets than the last report is.
func TestPaceThatChangesAllTheTimeIsTakenAtItsMean(t *testing.T) {
	var r Record
	state := uint64(1)
	pace := func() float64 {
		state = state*6364136223846793005 + 1442695040888963407
		if state>>33%100 < 15 {
			return 2.5
		}
		return 1
	}
	last, errExpected, errLast := 1.0, 0.0, 0.0
	for i := range 2000 {
		now := time.Duration(i) * 100 * ms
		p := pace()
		if i%4 == 0 {
			r.Observe(paceAt(p, now))
			last = p
			continue
		}
		errExpected += math.Pow(r.Expect(at(now), Level{Pace: 1.2}).Pace-p, 2)
		errLast += math.Pow(last-p, 2)
	}
	assert.Assert(t, errExpected < 0.85*errLast, "%.0f and %.0f", errExpected, errLast)
}

// One slow report of an endpoint of usual pace counts for a call that follows, and little for a stream of seconds.
func TestSlowMomentIsNotAllOfALongStream(t *testing.T) {
	var r Record
	for i := range 30 {
		r.Observe(paceAt(1, time.Duration(i)*100*ms))
	}
	r.Observe(paceAt(4, 3000*ms))
	now, pool := at(3010*ms), Level{Pace: 1}
	assert.Assert(t, r.ExpectFor(now, 30*ms, pool).Pace > 3.7)
	assert.Assert(t, r.ExpectFor(now, 4*time.Second, pool).Pace < 1.8)
	assert.DeepEqual(t, r.ExpectFor(now, 0, pool), r.Expect(now, pool))
}

// An endpoint that was free when it fell silent is expected to be as loaded as its pool, and one that was slow not to be
// slower than usual: it has to be asked to show it.
func TestSilentEndpointIsNotTakenForFree(t *testing.T) {
	var silent, busy Record
	silent.Observe(Report{Slots: 6, Pace: 0.5, At: at(0)})
	now := 8 * time.Second
	busy.Observe(Report{Running: 6, Waiting: 3, Slots: 6, Pace: 2, At: at(now)})
	var mean PoolMean
	mean.Add(at(now), &silent)
	mean.Add(at(now), &busy)
	got := silent.Expect(at(now), mean.Level())
	assert.Assert(t, got.Busy > 1.2 && got.Pace <= 1, "%+v", got)
	var slow, unheard Record
	slow.Observe(paceAt(4, 0))
	assert.Assert(t, slow.Expect(at(now), mean.Level()).Pace <= 1)
	assert.DeepEqual(t, unheard.Expect(at(now), mean.Level()), Level{Pace: 1, Busy: mean.Level().Busy})
	var none PoolMean
	assert.DeepEqual(t, none.Level(), Level{Pace: 1})
}

// Reports of several instances in any order: the newest counts, an older one changes nothing, and what is expected lies
// between what was reported and the pool.
func TestReportsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var r Record
		low, high, newest := 1.0, 1.0, time.Time{}
		for range rapid.IntRange(1, 20).Draw(t, "reports") {
			report := paceAt(rapid.Float64Range(0.1, 9).Draw(t, "pace"), time.Duration(rapid.IntRange(0, 5000).Draw(t, "at"))*ms)
			report.Source = rapid.SampledFrom(Sources).Draw(t, "source")
			before := r.Latest()
			if r.Observe(report) {
				assert.Assert(t, report.At.After(newest))
				newest = report.At
			} else {
				assert.DeepEqual(t, r.Latest(), before)
			}
			low, high = min(low, report.Pace), max(high, report.Pace)
		}
		got := r.Expect(at(time.Duration(rapid.IntRange(0, 20000).Draw(t, "now"))*ms), Level{Pace: 1}).Pace
		assert.Assert(t, got >= low-1e-9 && got <= high+1e-9, "%f of %f to %f", got, low, high)
	})
}

// 51 endpoints change at once: an update tells a few, the most different first, and the next ones the rest. Reports of
// other instances are not repeated, nor those that are told or too old.
func TestFewReportsAreToldAtOnce(t *testing.T) {
	const endpoints, most = 51, 6
	records := make([]Record, endpoints)
	collect := func(now time.Time) (untold []Untold) {
		for i := range records {
			if records[i].HasUntold(now) {
				untold = append(untold, Untold{Endpoint: fmt.Sprintf("e%02d", i), Record: &records[i]})
			}
		}
		return untold
	}
	told := map[string]bool{}
	for range (endpoints + most - 1) / most {
		for i := range records {
			if len(told) == 0 {
				records[i].Observe(paceAt(1, 0))
			}
		}
		got := Tell(at(0), collect(at(0)), most)
		assert.Assert(t, len(got) <= most)
		for _, u := range got {
			assert.Assert(t, !told[u.Endpoint])
			told[u.Endpoint] = true
		}
	}
	assert.Equal(t, len(told), endpoints)
	assert.Equal(t, len(collect(at(0))), 0)

	records[7].Observe(paceAt(1.1, 100*ms))
	records[9].Observe(paceAt(4, 90*ms))
	records[11].Observe(Report{Pace: 5, At: at(100 * ms), Source: OtherInstance})
	got := Tell(at(100*ms), collect(at(100*ms)), 1)
	assert.Equal(t, got[0].Endpoint, "e09")
	assert.Equal(t, len(collect(at(100*ms))), 1)
	assert.Equal(t, len(collect(at(101*ms+maxUntold))), 0)
}
