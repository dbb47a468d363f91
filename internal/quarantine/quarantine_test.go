package quarantine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var epoch = time.Unix(5000, 0)

func after(s float64) time.Time { return epoch.Add(time.Duration(s * float64(time.Second))) }

func refuses(t *Tracker, now time.Time, parts ...string) bool {
	_, _, refused := t.Refuses(now, parts)
	return refused
}

func TestPartOfSeveralCrashesIsQuarantined(t *testing.T) {
	x := New()
	assert.Equal(t, len(x.Crashed(after(0), "e0", []string{"first", "deadly", "a"})), 0)
	x.Begun(after(1), []string{"first", "a"})
	assert.Equal(t, len(x.Crashed(after(2), "e1", []string{"first", "deadly", "b"})), 0)
	assert.Assert(t, !refuses(x, after(2), "first", "deadly"))
	x.Begun(after(3), []string{"first", "b"})
	x.Begun(after(3), []string{"first", "c"})
	assert.DeepEqual(t, x.Crashed(after(4), "e2", []string{"first", "deadly", "c"}), []string{"deadly"})
	assert.Assert(t, refuses(x, after(4), "first", "deadly", "d"))
	assert.Assert(t, !refuses(x, after(4), "first", "a", "b", "c"))
}

// Two crashes of a part without begun outputs make a third likely, but are not enough to
// refuse all requests with it.
func TestSuspectedPart(t *testing.T) {
	x := New()
	x.Crashed(after(0), "e0", []string{"first", "deadly"})
	assert.Assert(t, !x.Suspected(after(0), []string{"first", "deadly"}))
	x.Begun(after(1), []string{"first"})
	x.Crashed(after(2), "e1", []string{"first", "deadly"})
	assert.Assert(t, x.Suspected(after(2), []string{"first", "deadly"}))
	assert.Assert(t, !x.Suspected(after(2), []string{"first", "other"}))
	assert.Assert(t, !x.Suspected(after(2).Add(2*memory), []string{"deadly"}), "forgotten")
}

// Crashes that a quarantined part explains are no evidence against the other parts of the
// requests that were on the engine.
func TestOtherPartsOfACrashAreNotBlamed(t *testing.T) {
	x := New()
	for i := range 3 {
		x.Crashed(after(float64(2*i)), fmt.Sprint("e", i), []string{"deadly", fmt.Sprint("own", i)})
	}
	for i := range 4 {
		x.Crashed(after(float64(6+2*i)), fmt.Sprint("f", i), []string{"deadly", "bystander"})
	}
	assert.Assert(t, refuses(x, after(20), "deadly"))
	assert.Assert(t, !refuses(x, after(20), "bystander"))
}

// Every instance sees other requests of the same crash, and other outputs that begin.
func TestEvidenceOfAllInstancesCounts(t *testing.T) {
	a, b := New(), New()
	share := func(now time.Time) {
		a.Merge(now, "b", b.Report(now))
		b.Merge(now, "a", a.Report(now))
	}
	for i := range 3 {
		now := after(float64(2 * i))
		engine := fmt.Sprint("e", i)
		a.Crashed(now, engine, []string{"first", "deadly"})
		b.Crashed(now, engine, []string{"first", fmt.Sprint("x", i)})
		b.Begun(now, []string{"first"})
		share(now)
		assert.Equal(t, refuses(b, now, "deadly"), i == 2, "crash %d", i)
	}
	assert.Assert(t, !refuses(a, after(5), "first"), "an output with it began at the other instance")
	b.Crashed(after(4.1), "e2", []string{"first", "y"})
	share(after(4.1))
	assert.Equal(t, a.Len(), 1)

	c := New()
	c.Merge(after(5), "a", a.Report(after(5)))
	assert.Assert(t, refuses(c, after(5), "deadly"), "an instance that starts later")
}

// Of parts that were in the same crashes only the last one is quarantined, because more
// requests share the parts before it.
func TestSharedStartIsNotQuarantinedWithTheCause(t *testing.T) {
	x := New()
	for i := range 3 {
		x.Crashed(after(float64(2*i)), fmt.Sprint("e", i), []string{"first", "deadly"})
	}
	assert.Assert(t, refuses(x, after(5), "first", "deadly"))
	assert.Assert(t, !refuses(x, after(5), "first"))
}

// A quarantine ends at all instances and for good.
func TestQuarantineEnds(t *testing.T) {
	a, b := New(), New()
	a.Restore(epoch, "deadly", epoch.Add(time.Hour))
	b.Merge(epoch, "a", a.Report(epoch))
	now := epoch.Add(time.Hour - time.Second)
	assert.Equal(t, len(a.Expired(now)), 0)
	_, left, refused := b.Refuses(now, []string{"deadly"})
	assert.Assert(t, refused && left == time.Second)
	end := epoch.Add(time.Hour)
	assert.DeepEqual(t, a.Expired(end), []string{"deadly"})
	a.Merge(end, "b", b.Report(end))
	assert.Assert(t, !refuses(a, end, "deadly"))
	assert.DeepEqual(t, b.Expired(end), []string{"deadly"})
	a.Restore(end, "deadly", end.Add(100*ttl))
	_, left, _ = a.Refuses(end, []string{"deadly"})
	assert.Equal(t, left, ttl, "no longer than one that begins now")
}

func TestQuarantineIsBounded(t *testing.T) {
	x := New()
	for i := range 2 * maxQuarantined {
		x.Restore(after(float64(i)), fmt.Sprint(i), after(float64(i)).Add(time.Hour))
	}
	assert.Equal(t, x.Len(), maxQuarantined)
	assert.Assert(t, refuses(x, after(600), fmt.Sprint(2*maxQuarantined-1)))
	for i := range 2 * maxCrashes {
		x.Crashed(after(600+float64(2*i)/10), fmt.Sprint(i), make([]string, 2*maxParts))
	}
	assert.Assert(t, len(x.Report(after(600)).Crashes) <= maxCrashes)
}

// Whatever else the requests share and wherever they go, a deadly part takes few engines with
// it, and requests without it go on being served.
func TestDeadlyPartAmongRandomTraffic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const instances = 3
		fleet := make([]*Tracker, instances)
		for i := range fleet {
			fleet[i] = New()
		}
		subject := rapid.IntRange(0, 9)
		crashes := 0
		for n := range 100 {
			now := after(float64(n) / 5)
			x := fleet[rapid.IntRange(0, instances-1).Draw(t, "instance")]
			parts := []string{"first", fmt.Sprint("subject", subject.Draw(t, "subject"))}
			deadly := rapid.IntRange(0, 9).Draw(t, "deadly") == 0
			if deadly {
				parts = slices.Insert(parts, rapid.IntRange(1, 2).Draw(t, "position"), "deadly")
			}
			switch _, _, refused := x.Refuses(now, parts); {
			case refused:
			case deadly:
				crashes++
				x.Crashed(now, fmt.Sprint("e", n), parts)
			default:
				x.Begun(now, parts)
			}
			for i, from := range fleet {
				for j, to := range fleet {
					if i != j {
						to.Merge(now, fmt.Sprint(i), from.Report(now))
					}
				}
			}
		}
		if crashes > 5+3 { // the users' bound
			t.Fatalf("%d crashes", crashes)
		}
		for _, x := range fleet {
			if refuses(x, after(60), "first") {
				t.Fatalf("the part that all requests share is quarantined")
			}
		}
	})
}
