package quarantine

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// traffic is the requests of a fleet whose prompts begin with the same part. Each prompt has a part
// of its own, too.
type traffic struct {
	fleet []*Tracker
	rate  int // begun responses a second at an instance
}

// run begins the responses to sound requests with a part between two times.
func (f traffic) run(from, to time.Time, part string) {
	interval := time.Second / time.Duration(f.rate)
	shared := from
	for now := from; now.Before(to); now = now.Add(interval) {
		for _, x := range f.fleet {
			x.Begun(now, prompt(part, fmt.Sprint("own", requests)))
		}
		if now.Sub(shared) >= 200*time.Millisecond {
			shared = now
			exchangeReports(f.fleet, now)
		}
	}
}

// crashAll ends endpoints at the same time, each with a request with the part at one instance.
func (f traffic) crashAll(now time.Time, endpoints int, part string) {
	for i := range endpoints {
		f.fleet[i%len(f.fleet)].Crashed(now, fmt.Sprint("e", now.UnixMilli(), i), prompt(part, fmt.Sprint("crashed", requests)))
	}
}

// settle has all instances weigh the crashes of a moment ago.
func (f traffic) settle(now time.Time) {
	exchangeReports(f.fleet, now)
	for _, x := range f.fleet {
		x.Settle(now)
	}
}

// At any rate of requests, a part that all prompts share is not refused when some endpoints crash at
// once, also if it came up only lately; a part on which endpoints crash is.
func TestSharedPartAtAnyRate(t *testing.T) {
	for _, rate := range []int{10, 250, 2000} {
		t.Run(fmt.Sprint(rate, " a second"), func(t *testing.T) {
			f := traffic{newFleet(2), rate}
			f.run(after(0), after(24), "old")
			f.run(after(24), after(30), "new")
			f.crashAll(after(30), 3, "new")
			f.settle(after(30.25))
			for i, x := range f.fleet {
				for _, part := range []string{"old", "new"} {
					cause, left, refused := x.Refuses(after(30.25), prompt(part))
					assert.Assert(t, !refused, "instance %d refuses %s for %v", i, cause, left)
				}
			}
			// Beside this traffic, across periods of counting.
			crashes := 0
			for n := range 8 {
				from, to := after(31+9*float64(n)), after(40+9*float64(n))
				f.run(from, to, "new")
				if deadly := prompt("new", "deadly"); !refuses(f.fleet[0], to, deadly) {
					crashes++
					f.fleet[0].Crashed(to, fmt.Sprint("f", n), deadly)
					f.settle(to.Add(settleTime))
				}
			}
			assert.Assert(t, crashes <= minCrashes+2, "%d crashes", crashes) // with collisions of two periods
			assert.Assert(t, refuses(f.fleet[1], after(110), prompt("new", "deadly")))
			assert.Assert(t, !refuses(f.fleet[1], after(110), prompt("new", "sound")))
			// Other requests lift no quarantine, however many they are.
			f.run(after(110), after(190), "new")
			assert.Assert(t, refuses(f.fleet[1], after(190), prompt("new", "deadly")))
		})
	}
}

// quarantinePart has a part quarantined at all instances, of which no response is known.
func quarantinePart(t *testing.T, f traffic, part string) {
	t.Helper()
	f.crashAll(after(0), minCrashes, part)
	f.settle(after(0.25))
	f.settle(after(0.5))
	for _, x := range f.fleet {
		assert.Assert(t, refuses(x, after(0.5), prompt(part)))
	}
}

// Responses that begin later, to requests that were on their way, lift a quarantine at all instances
// and for good: also where an instance hears of it late and goes on telling of the quarantine.
func TestLaterResponsesLiftAQuarantine(t *testing.T) {
	f := traffic{newFleet(3), 1}
	quarantinePart(t, f, "sound")
	late := f.fleet[2]
	f.fleet[1].Begun(after(1), prompt("sound", "another"))
	assert.DeepEqual(t, f.fleet[1].Lifted(), []string{"sound"})
	assert.Equal(t, len(f.fleet[1].Lifted()), 0, "told once")
	f.fleet[1].Merge(after(1.1), "2", late.Report(after(1.1)))
	assert.Assert(t, !refuses(f.fleet[1], after(1.1), prompt("sound")))
	exchangeReports(f.fleet, after(3600))
	assert.DeepEqual(t, late.Lifted(), []string{"sound"})
	for _, x := range f.fleet {
		assert.Assert(t, !refuses(x, after(3600), prompt("sound")))
		x.Restore(after(3601), "sound", after(0.25).Add(ttl))
		assert.Assert(t, !refuses(x, after(3601), prompt("sound")), "a row of the store that is about to be deleted")
	}
	started := New()
	started.Restore(after(4000), "sound", after(0.25).Add(ttl))
	started.Merge(after(4001), "1", f.fleet[1].Report(after(4001)))
	assert.Assert(t, !refuses(started, after(4001), prompt("sound")), "an instance that starts later")

	f.crashAll(after(5000), minCrashes, "sound")
	f.settle(after(5000.25))
	f.settle(after(5000.5))
	for _, x := range f.fleet {
		assert.Assert(t, refuses(x, after(5001), prompt("sound")), "further crashes count")
	}
}

// A quarantine is lifted only when its crashes no longer outweigh the responses, with the crashes
// that become known after it began.
func TestMoreCrashesNeedMoreResponses(t *testing.T) {
	f := traffic{newFleet(2), 1}
	quarantinePart(t, f, "deadly")
	f.crashAll(after(2), 2, "deadly")
	exchangeReports(f.fleet, after(2))
	f.fleet[0].Begun(after(3), prompt("deadly"))
	f.fleet[1].Begun(after(3), prompt("deadly"))
	exchangeReports(f.fleet, after(3))
	for _, x := range f.fleet {
		assert.Assert(t, refuses(x, after(3), prompt("deadly")))
	}
	f.fleet[1].Begun(after(4), prompt("deadly"))
	exchangeReports(f.fleet, after(4))
	for _, x := range f.fleet {
		assert.Assert(t, !refuses(x, after(4), prompt("deadly")))
	}
}

// What one instance knows of responses lifts the quarantine that another has found without it.
func TestResponsesOfAnotherInstanceLiftAQuarantine(t *testing.T) {
	x, other := New(), New()
	for range 10 {
		other.Begun(after(-1), prompt("sound"))
	}
	for i := range minCrashes {
		x.Crashed(after(0), fmt.Sprint("e", i), prompt("sound"))
	}
	x.Settle(after(0.25))
	assert.Assert(t, refuses(x, after(0.3), prompt("sound")))
	other.Merge(after(0.4), "x", x.Report(after(0.4)))
	x.Merge(after(0.5), "other", other.Report(after(0.5)))
	assert.Assert(t, !refuses(x, after(0.5), prompt("sound")))
	assert.Assert(t, !refuses(other, after(0.5), prompt("sound")))
}

func TestLiftedCausesAreBounded(t *testing.T) {
	x := New()
	for i := range 2 * maxLifted {
		cause, now := fmt.Sprint(i), after(float64(i))
		x.Restore(now, cause, now.Add(ttl))
		x.Begun(now, call(cause))
	}
	assert.Equal(t, x.Len(), 0)
	assert.Equal(t, len(x.watched), 0)
	assert.Equal(t, len(x.Report(after(100)).Lifted), maxLifted)
	x.Expired(after(100).Add(ttl + time.Minute))
	assert.Equal(t, len(x.lifted), 0)
}

// A count is never too low, and hardly ever too high at the highest rate.
func TestSketchCounts(t *testing.T) {
	const causes = 2 * 2000 * 60 // fingerprints and parts of a period
	s := newSketch()
	for i := range causes {
		s.add(fmt.Sprint("own", i))
	}
	for range 2 * sketchMax {
		s.add("shared")
	}
	assert.Equal(t, s.count("shared"), sketchMax)
	wrong := 0
	for i := range causes {
		if s.count(fmt.Sprint("own", i)) == 0 {
			t.Fatalf("cause %d is not counted", i)
		}
		if s.count(fmt.Sprint("other", i)) > 0 {
			wrong++
		}
	}
	assert.Assert(t, wrong <= causes/50, "%d of %d", wrong, causes)
	s.clear()
	assert.Equal(t, s.count("shared"), 0)
}
