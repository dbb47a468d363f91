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

var requests int

// prompt returns a request of its own with the given prompt parts.
func prompt(parts ...string) Request {
	requests++
	return Request{Fingerprint: fmt.Sprint("request:", requests), Parts: parts}
}

func call(fingerprint string) Request { return Request{Fingerprint: fingerprint} }

func refuses(t *Tracker, now time.Time, r Request) bool {
	_, _, refused := t.Refuses(now, r)
	return refused
}

func TestPartOfSeveralCrashesIsQuarantined(t *testing.T) {
	x := New()
	assert.Equal(t, len(x.Crashed(after(0), "e0", prompt("first", "deadly", "a"))), 0)
	x.Begun(after(1), prompt("first", "a"))
	assert.Equal(t, len(x.Crashed(after(2), "e1", prompt("first", "deadly", "b"))), 0)
	assert.Assert(t, !refuses(x, after(2), prompt("first", "deadly")))
	x.Begun(after(3), prompt("first", "b"))
	x.Begun(after(3), prompt("first", "c"))
	assert.DeepEqual(t, x.Crashed(after(4), "e2", prompt("first", "deadly", "c")), []string{"deadly"})
	assert.Assert(t, refuses(x, after(4), prompt("first", "deadly", "d")))
	assert.Assert(t, !refuses(x, after(4), prompt("first", "a", "b", "c")))
}

// Two crashes of a part without begun outputs make a third likely, but are not enough to
// refuse all requests with it.
func TestSuspectedPart(t *testing.T) {
	x := New()
	x.Crashed(after(0), "e0", prompt("first", "deadly"))
	assert.Assert(t, !x.Suspected(after(0), prompt("first", "deadly")))
	x.Begun(after(1), prompt("first"))
	x.Crashed(after(2), "e1", prompt("first", "deadly"))
	assert.Assert(t, x.Suspected(after(2), prompt("first", "deadly")))
	assert.Assert(t, !x.Suspected(after(2), prompt("first", "other")))
	assert.Assert(t, !x.Suspected(after(2).Add(2*memory), prompt("deadly")), "forgotten")
}

// Crashes that a quarantined part explains are no evidence against the other parts of the
// requests that were on the engine.
func TestOtherPartsOfACrashAreNotBlamed(t *testing.T) {
	x := New()
	for i := range 3 {
		x.Crashed(after(float64(2*i)), fmt.Sprint("e", i), prompt("deadly", fmt.Sprint("own", i)))
	}
	for i := range 4 {
		x.Crashed(after(float64(6+2*i)), fmt.Sprint("f", i), prompt("deadly", "bystander"))
	}
	assert.Assert(t, refuses(x, after(20), prompt("deadly")))
	assert.Assert(t, !refuses(x, after(20), prompt("bystander")))
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
		a.Crashed(now, engine, prompt("first", "deadly"))
		b.Crashed(now, engine, prompt("first", fmt.Sprint("x", i)))
		b.Begun(now, prompt("first"))
		share(now)
		assert.Equal(t, refuses(b, now, prompt("deadly")), i == 2, "crash %d", i)
	}
	assert.Assert(t, !refuses(a, after(5), prompt("first")), "an output with it began at the other instance")
	b.Crashed(after(4.1), "e2", prompt("first", "y"))
	share(after(4.1))
	assert.Equal(t, a.Len(), 1)

	c := New()
	c.Merge(after(5), "a", a.Report(after(5)))
	assert.Assert(t, refuses(c, after(5), prompt("deadly")), "an instance that starts later")
}

// Of parts that were in the same crashes only the last one is quarantined, because more
// requests share the parts before it.
func TestSharedStartIsNotQuarantinedWithTheCause(t *testing.T) {
	x := New()
	for i := range 3 {
		x.Crashed(after(float64(2*i)), fmt.Sprint("e", i), prompt("first", "deadly"))
	}
	assert.Assert(t, refuses(x, after(5), prompt("first", "deadly")))
	assert.Assert(t, !refuses(x, after(5), prompt("first")))
}

// A quarantine ends at all instances and for good.
func TestQuarantineEnds(t *testing.T) {
	a, b := New(), New()
	a.Restore(epoch, "deadly", epoch.Add(time.Hour))
	b.Merge(epoch, "a", a.Report(epoch))
	now := epoch.Add(time.Hour - time.Second)
	assert.Equal(t, len(a.Expired(now)), 0)
	_, left, refused := b.Refuses(now, prompt("deadly"))
	assert.Assert(t, refused && left == time.Second)
	end := epoch.Add(time.Hour)
	assert.DeepEqual(t, a.Expired(end), []string{"deadly"})
	a.Merge(end, "b", b.Report(end))
	assert.Assert(t, !refuses(a, end, prompt("deadly")))
	assert.DeepEqual(t, b.Expired(end), []string{"deadly"})
	a.Restore(end, "deadly", end.Add(100*ttl))
	_, left, _ = a.Refuses(end, prompt("deadly"))
	assert.Equal(t, left, ttl, "no longer than one that begins now")
}

func TestQuarantineIsBounded(t *testing.T) {
	x := New()
	for i := range 2 * maxQuarantined {
		x.Restore(after(float64(i)), fmt.Sprint(i), after(float64(i)).Add(time.Hour))
	}
	assert.Equal(t, x.Len(), maxQuarantined)
	assert.Assert(t, refuses(x, after(600), prompt(fmt.Sprint(2*maxQuarantined-1))))
	for i := range 2 * maxCrashes {
		x.Crashed(after(600+float64(2*i)/10), fmt.Sprint(i), prompt(make([]string, 2*maxParts)...))
	}
	assert.Assert(t, len(x.Report(after(600)).Crashes) <= maxCrashes)
}

func newFleet(instances int) []*Tracker {
	fleet := make([]*Tracker, instances)
	for i := range fleet {
		fleet[i] = New()
	}
	return fleet
}

// exchangeReports sends the report of every instance to all others.
func exchangeReports(fleet []*Tracker, now time.Time) {
	for i, from := range fleet {
		for j, to := range fleet {
			if i != j {
				to.Merge(now, fmt.Sprint(i), from.Report(now))
			}
		}
	}
}

// Whatever else the requests share and wherever they go, a deadly part takes few engines with
// it, and requests without it go on being served.
func TestDeadlyPartAmongRandomTraffic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const instances = 3
		fleet := newFleet(instances)
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
			r := prompt(parts...)
			switch {
			case refuses(x, now, r):
			case deadly:
				crashes++
				x.Crashed(now, fmt.Sprint("e", n), r)
			default:
				x.Begun(now, r)
			}
			exchangeReports(fleet, now)
		}
		if crashes > 5+3 { // the users' bound
			t.Fatalf("%d crashes", crashes)
		}
		for _, x := range fleet {
			if refuses(x, after(60), prompt("first")) {
				t.Fatalf("the part that all requests share is quarantined")
			}
		}
	})
}

// A request that comes again and crashes every endpoint is quarantined. Requests that were at the
// same endpoints by chance, also several times, are not.
func TestRepeatedRequestIsQuarantined(t *testing.T) {
	x := New()
	x.Begun(epoch, call("lookup"))
	for i := range 3 {
		now, endpoint := after(float64(2*i)), fmt.Sprint("e", i)
		x.Crashed(now, endpoint, call("lookup"))
		x.Crashed(now, endpoint, call(fmt.Sprint("victim ", i)))
		if i > 0 {
			x.Crashed(now, endpoint, call("unlucky"))
		}
		assert.Equal(t, len(x.Crashed(now, endpoint, call("deadly"))) > 0, i == 2)
		assert.Equal(t, x.Suspected(now, call("deadly")), i == 1, "crash %d", i)
	}
	assert.Assert(t, refuses(x, after(4), call("deadly")))
	for _, sound := range []string{"lookup", "victim 0", "unlucky", "another"} {
		assert.Assert(t, !refuses(x, after(4), call(sound)), sound)
	}
	x.Crashed(after(5), "e3", call("unlucky"))
	assert.Assert(t, !refuses(x, after(5), call("unlucky")), "the quarantined request explains its other crashes")
}

// Crashes of one request that comes again are not blamed on the parts of its prompt, which sound
// requests share, even if another crash hits one of these.
func TestPartsOfRepeatedRequestAreNotBlamed(t *testing.T) {
	x := New()
	deadly := Request{Fingerprint: "deadly", Parts: []string{"first", "session"}}
	for i := range 3 {
		x.Begun(after(float64(i)), prompt("first"))
		x.Crashed(after(float64(2*i)), fmt.Sprint("e", i), deadly)
	}
	assert.Assert(t, refuses(x, after(5), deadly))
	assert.Assert(t, !refuses(x, after(5), prompt("first", "session")))
	x.Begun(after(6), prompt("first", "session"))
	x.Crashed(after(7), "e4", prompt("first", "session"))
	assert.Assert(t, !refuses(x, after(7), prompt("first", "session")))
}

// A part is found although each of its requests comes again until it is quarantined itself.
func TestPartOfRepeatedRequestsIsQuarantined(t *testing.T) {
	x := New()
	crashes := 0
	for i := range 10 {
		r := prompt("first", "deadly")
		for attempt := range 3 {
			if !refuses(x, after(float64(i)), r) {
				crashes++
				x.Crashed(after(float64(i)), fmt.Sprint("e", i, attempt), r)
			}
		}
		x.Begun(after(float64(i)), prompt("first"))
	}
	assert.Assert(t, refuses(x, after(10), prompt("deadly")))
	assert.Assert(t, crashes <= 5, "%d crashes", crashes)
	assert.Assert(t, !refuses(x, after(10), prompt("first")))
}

// Of causes with the same evidence all instances quarantine the same one.
func TestInstancesAgreeOnTheCause(t *testing.T) {
	for range 20 {
		x := New()
		for i := range 3 {
			for _, fingerprint := range []string{"c", "a", "b"} {
				x.own = insert(x.own, Crash{Endpoint: fmt.Sprint("e", i), At: epoch, Requests: []Request{call(fingerprint)}}, maxOwnCrashes)
			}
		}
		y := New()
		learned, found := y.Merge(epoch, "x", x.Report(epoch))
		assert.DeepEqual(t, found, []string{"a"})
		assert.Equal(t, len(learned), 0)
	}
}

// Among random calls of which many come again, at any instance and with updates that are late, a
// deadly one takes few endpoints with it, and no call that has ever been answered is refused.
func TestDeadlyCallAmongRandomTraffic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const instances = 3
		fleet := newFleet(instances)
		seen := map[string]bool{}
		crashes := 0
		for n := range 150 {
			now := after(float64(n) / 5)
			x := fleet[rapid.IntRange(0, instances-1).Draw(t, "instance")]
			// The calls that are at one endpoint at the same time.
			var calls []Request
			deadly := false
			for range rapid.IntRange(1, 4).Draw(t, "calls") {
				r := call(fmt.Sprint("call ", rapid.IntRange(0, 20).Draw(t, "call")))
				if !refuses(x, now, r) {
					calls, deadly = append(calls, r), deadly || r.Fingerprint == "call 0"
				}
			}
			if deadly {
				crashes++
			}
			for _, r := range calls {
				switch {
				case deadly:
					x.Crashed(now, fmt.Sprint("e", n), r)
				default:
					x.Begun(now, r)
					seen[r.Fingerprint] = true
				}
			}
			if n%rapid.IntRange(1, 3).Draw(t, "late") == 0 {
				exchangeReports(fleet, now)
			}
		}
		if crashes > 3+3 { // the users' bound
			t.Fatalf("%d crashes", crashes)
		}
		for _, x := range fleet {
			for fingerprint := range seen {
				if refuses(x, after(60), call(fingerprint)) {
					t.Fatalf("%s is quarantined", fingerprint)
				}
			}
		}
	})
}

// The requests that a crash affected become known in any order and at several instances. A sound
// one that is known before the deadly one is refused until all are known, and not longer.
func TestSoundRequestKnownBeforeTheDeadlyOneIsNotQuarantined(t *testing.T) {
	for _, atOtherInstance := range []bool{false, true} {
		x, other := New(), New()
		deadlyAt := x
		if atOtherInstance {
			deadlyAt = other
		}
		for i := range 3 {
			now, endpoint := after(float64(2*i)), fmt.Sprint("e", i)
			x.Crashed(now, endpoint, call("sound"))
			if i == 2 {
				assert.Assert(t, refuses(x, now, call("sound")))
				_, left, _ := x.Refuses(now, call("sound"))
				assert.Equal(t, left, settleTime)
				assert.Assert(t, !x.Suspected(now, call("sound")), "it is refused")
			}
			deadlyAt.Crashed(now, endpoint, call("deadly"))
			x.Merge(now.Add(settleTime-time.Millisecond), "other", other.Report(now.Add(settleTime-time.Millisecond)))
		}
		crashedAt := after(4)
		assert.Assert(t, refuses(x, crashedAt, call("deadly")))
		found, next := x.Settle(crashedAt)
		assert.Equal(t, len(found), 0)
		assert.Equal(t, next, settleTime)
		found, next = x.Settle(crashedAt.Add(settleTime))
		assert.DeepEqual(t, found, []string{"deadly"})
		assert.Equal(t, next, time.Duration(0))
		assert.Assert(t, !refuses(x, crashedAt.Add(settleTime), call("sound")))
		_, left, refused := x.Refuses(crashedAt.Add(settleTime), call("deadly"))
		assert.Assert(t, refused)
		assert.Equal(t, left, ttl)
		found, _ = x.Settle(after(5))
		assert.Equal(t, len(found), 0, "told once")
	}
}

// A request that was abandoned shortly before its endpoint crashed counts as much as one that was
// awaited, whoever noticed the crash.
func TestAbandonedRequestIsBlamed(t *testing.T) {
	x, other := New(), New()
	x.Abandoned(after(0), "e0", call("deadly"))
	assert.Equal(t, len(x.Ended(after(1), "e0")), 0)
	assert.Equal(t, len(x.Ended(after(1.5), "e0")), 0, "the same crash")

	x.Abandoned(after(5), "e1", call("deadly"))
	x.Crashed(after(5.3), "e1", call("victim"))

	x.Abandoned(after(7), "e9", call("slow"))
	assert.Equal(t, len(x.Ended(after(10), "e9")), 0, "too long ago")
	assert.Equal(t, len(x.Ended(after(10), "e8")), 0)

	x.Abandoned(after(12), "e2", call("deadly"))
	other.Crashed(after(12.4), "e2", call("another victim"))
	_, found := x.Merge(after(12.5), "other", other.Report(after(12.5)))
	assert.DeepEqual(t, found, []string{"deadly"})
	assert.Assert(t, !refuses(x, after(13), call("slow")))
	for range 2 * maxAbandoned {
		x.Abandoned(after(20), "e3", call("slow"))
	}
	assert.Equal(t, len(x.abandoned), maxAbandoned)
}
