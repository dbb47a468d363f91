package pacing

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"carawayrouter.example/router/internal/clock"
)

var epoch = time.Unix(1_700_000_000, 0)

func at(s float64) time.Time { return epoch.Add(clock.Seconds(s)) }

const (
	tick       = 10 * time.Millisecond
	roundTrip  = 20 * time.Millisecond // of a request
	reportGap  = 400 * time.Millisecond
	windowSize = 4 * time.Second
	notice     = 500 * time.Millisecond // within which an instance has to obey a limit that it has received
)

// fleet simulates instances that send requests to one endpoint.
type fleet struct {
	rand    *rand.Rand
	now     time.Time
	transit time.Duration // of reports
	limit   func(time.Time) (rate float64, limited bool)
	demand  float64 // requests per second of an instance that would be sent without a limit
	nodes   []*node
	events  map[time.Time][]func()
	sent    []arrival
}

type node struct {
	pacer     Pacer
	member    Member
	told      time.Time // first response with a limit since the start
	group     int       // instances in different groups do not hear each other
	restarted time.Time
	reported  time.Time
	frozen    time.Time // until then
}

type arrival struct {
	at   time.Time
	from *node
}

func newFleet(seed uint64, n int, transit time.Duration, demand float64, limit func(time.Time) (float64, bool)) *fleet {
	f := &fleet{rand: rand.New(rand.NewPCG(seed, 1)), now: epoch, transit: transit, demand: demand, limit: limit, events: map[time.Time][]func(){}}
	for range n {
		f.nodes = append(f.nodes, &node{})
	}
	f.setMembers()
	return f
}

// setMembers tells all instances their places in the fleet.
func (f *fleet) setMembers() {
	for i, x := range f.nodes {
		x.member = Member{Rank: i, Count: len(f.nodes)}
		x.pacer.Forfeit(f.now)
	}
}

func (f *fleet) after(d time.Duration, event func()) {
	t := f.now.Add(d).Truncate(tick)
	f.events[t] = append(f.events[t], event)
}

// run advances the simulation by d.
func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(tick) {
		t := f.now.Truncate(tick)
		for _, event := range f.events[t] {
			event()
		}
		delete(f.events, t)
		for _, x := range f.nodes {
			if f.now.Before(x.frozen) {
				continue
			}
			if f.now.Sub(x.reported) >= reportGap {
				f.report(x)
			}
			if f.rand.Float64() < f.demand*tick.Seconds() && x.pacer.Ready(f.now, x.member) {
				x.pacer.Take(f.now, x.member)
				f.send(x)
			}
		}
	}
}

// send lets a request of x arrive half a round trip later and its response another half later.
func (f *fleet) send(x *node) {
	sentAt := f.now
	f.after(roundTrip/2, func() {
		f.sent = append(f.sent, arrival{at: f.now, from: x})
		rate, limited := f.limit(f.now)
		f.after(roundTrip/2, func() {
			if x.restarted.After(sentAt) {
				return
			}
			changed := false
			if limited {
				if x.told.IsZero() {
					x.told = f.now
				}
				changed = x.pacer.Announced(f.now, rate)
			} else {
				changed = x.pacer.Unannounced(f.now, sentAt)
			}
			if changed {
				f.report(x)
			}
		})
	})
}

// report sends what x knows to the instances that hear it. Ages are in whole milliseconds.
func (f *fleet) report(x *node) {
	x.reported = f.now
	l, ok := x.pacer.Report(f.now)
	if !ok {
		return
	}
	since, age := f.now.Sub(l.Since).Truncate(time.Millisecond), f.now.Sub(l.ObservedAt).Truncate(time.Millisecond)
	for _, y := range f.nodes {
		if y != x && y.group == x.group && f.rand.Float64() > 0.01 {
			f.after(f.transit+time.Duration(f.rand.IntN(10))*time.Millisecond, func() {
				y.pacer.Merge(f.now, Limit{Limited: l.Limited, Rate: l.Rate, Since: f.now.Add(-since), ObservedAt: f.now.Add(-age)})
			})
		}
	}
}

// restart ends the process of x; the new one knows nothing.
func (f *fleet) restart(x *node) {
	x.pacer, x.told, x.restarted = Pacer{}, time.Time{}, f.now
	x.pacer.Forfeit(f.now)
}

// excess returns the greatest number of requests above the allowed ones in a window that begins
// at from or later, from instances that had been told of a limit in time.
func (f *fleet) excess(from time.Time) float64 {
	var counted []time.Time
	for _, a := range f.sent {
		if !a.at.Before(from) && !a.from.told.IsZero() && a.at.Sub(a.from.told) >= notice {
			counted = append(counted, a.at)
		}
	}
	worst, first := math.Inf(-1), 0
	for i, t := range counted {
		for t.Sub(counted[first]) > windowSize {
			first++
		}
		worst = max(worst, float64(i-first+1)-f.allowed(t))
	}
	return worst
}

// allowed is what the endpoint accepts in the window that ends at t. While it announces no limit
// it accepts anything.
func (f *fleet) allowed(t time.Time) float64 {
	sum := 0.0
	const step = 50 * time.Millisecond
	for s := t.Add(-windowSize); s.Before(t); s = s.Add(step) {
		rate, limited := f.limit(s)
		if !limited {
			return math.Inf(1)
		}
		sum += rate * step.Seconds()
	}
	return 1.5*sum + 5
}

func constantly(rate float64) func(time.Time) (float64, bool) {
	return func(time.Time) (float64, bool) { return rate, true }
}

// A flood at all instances of any fleet stays within the limit and uses most of it.
func TestFloodKeepsLimitOfAnyFleet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.SampledFrom([]int{1, 2, 8, 24, 83}).Draw(t, "instances")
		rate := rapid.Float64Range(0.5, 60).Draw(t, "rate")
		transit := 10 * time.Millisecond
		if n > 16 {
			transit = 100 * time.Millisecond
		}
		demand := max(2, 10*rate/float64(n))
		f := newFleet(rapid.Uint64().Draw(t, "seed"), n, transit, demand, constantly(rate))
		f.run(8 * time.Second)
		if e := f.excess(at(3)); e > 0 {
			t.Fatalf("%.1f requests too many", e)
		}
		if used := float64(len(f.sent)) / 8; used < 0.7*rate-1 {
			t.Fatalf("%.1f requests per second of %.1f", used, rate)
		}
	})
}

// A large fleet, in which an instance has a slot every 100 s, uses the limit all the same.
func TestLargeFleetUsesLimit(t *testing.T) {
	f := newFleet(9, 300, 100*time.Millisecond, 2, constantly(3))
	f.run(20 * time.Second)
	assert.Assert(t, f.excess(at(3)) <= 0)
	assert.Assert(t, len(f.sent) > 20*3/2, "%d requests", len(f.sent))
}

// A flood that begins after a quiet time finds no more than the slots of a short time, also when
// the slots change their owners in it.
func TestFloodAfterQuietTimeKeepsLimit(t *testing.T) {
	for _, rate := range []float64{0.5, 3, 20} {
		for _, changes := range []int{0, 4} {
			f := newFleet(7, 24, 100*time.Millisecond, 20, constantly(rate))
			f.run(2 * time.Second)
			f.demand = 0.02
			f.run(12 * time.Second)
			f.demand = 50
			f.run(200 * time.Millisecond)
			for range changes {
				f.nodes = f.nodes[:len(f.nodes)-1]
				f.setMembers()
				f.run(300 * time.Millisecond)
			}
			f.run(5 * time.Second)
			assert.Assert(t, f.excess(at(3)) <= 0, "rate %g, %d changes", rate, changes)
		}
	}
}

// A rate that changes with every announcement does not give out slots again.
func TestChangingRateKeepsLimit(t *testing.T) {
	rate := func(now time.Time) (float64, bool) {
		if int(now.Sub(epoch)/(300*time.Millisecond))%2 == 0 {
			return 20, true
		}
		return 18, true
	}
	f := newFleet(8, 24, 20*time.Millisecond, 50, rate)
	f.run(20 * time.Second)
	assert.Assert(t, f.excess(at(3)) <= 0)
	assert.Assert(t, len(f.sent) > 20*18/2, "%d requests", len(f.sent))
}

// A limit that falls while no instance sends is not exceeded by the requests that end the silence.
func TestFallOfLimitInSilenceKeepsLimit(t *testing.T) {
	for _, n := range []int{2, 8, 24} {
		for _, rate := range []float64{5, 10, 20} {
			for _, quiet := range []time.Duration{time.Second, 1500 * time.Millisecond, 4 * time.Second} {
				for _, lead := range []time.Duration{0, 500 * time.Millisecond, 900 * time.Millisecond} { // of the silence on the fall
					for seed := range uint64(10) {
						f := newFleet(seed, n, 20*time.Millisecond, 20, func(now time.Time) (float64, bool) {
							if now.Before(at(8)) {
								return rate, true
							}
							return 1, true
						})
						f.run(8*time.Second - lead)
						f.demand = 0
						f.run(quiet)
						f.demand = 20
						f.run(8 * time.Second)
						assert.Assert(t, f.excess(at(3)) <= 0, "%d instances, from %g, %s quiet from %s before the fall, seed %d", n, rate, quiet, lead, seed)
					}
				}
			}
		}
	}
}

// Instances that restart, freeze, join, leave or are cut off from each other, and limits that
// change or end for a time, do not let the others exceed the limit.
func TestChangesOfFleetKeepLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.SampledFrom([]int{2, 8, 24}).Draw(t, "instances")
		rates := rapid.SliceOfN(rapid.Float64Range(1, 20), 1, 3).Draw(t, "rates")
		pause := rapid.Bool().Draw(t, "pause")
		limit := func(now time.Time) (float64, bool) {
			s := now.Sub(epoch).Seconds()
			return rates[min(int(s/8), len(rates)-1)], !pause || s < 10 || s > 13
		}
		f := newFleet(rapid.Uint64().Draw(t, "seed"), n, 20*time.Millisecond, 20, limit)
		var excused []*node
		for range 16 {
			f.demand = rapid.SampledFrom([]float64{0.05, 20}).Draw(t, "demand")
			f.run(time.Second)
			i := f.rand.IntN(len(f.nodes))
			x := f.nodes[i]
			switch rapid.IntRange(0, 7).Draw(t, "what") {
			case 0:
				f.restart(x)
				excused = append(excused, x)
			case 1:
				x.group = 1 - x.group
				excused = append(excused, x)
			case 2:
				f.nodes = append(f.nodes, &node{})
				f.setMembers()
			case 3:
				if len(f.nodes) > 2 {
					f.nodes = slices.Delete(f.nodes, i, i+1)
					f.setMembers()
				}
			case 4:
				x.frozen = f.now.Add(2 * time.Second)
				excused = append(excused, x)
			}
		}
		f.sent = slices.DeleteFunc(f.sent, func(a arrival) bool { return slices.Contains(excused, a.from) })
		if e := f.excess(at(3)); e > 0 {
			t.Fatalf("%.1f requests too many", e)
		}
	})
}

// After all instances have restarted in a flood they know no limit; the sum stays within it from
// the first responses on.
func TestRestartOfAllKeepsLimit(t *testing.T) {
	f := newFleet(3, 8, 10*time.Millisecond, 20, constantly(3))
	f.run(6 * time.Second)
	f.sent = nil
	for _, x := range f.nodes {
		f.restart(x)
	}
	f.run(10 * time.Second)
	assert.Assert(t, f.excess(f.now.Add(-10*time.Second)) <= 0)
}

// A limit that is no longer announced ends at all instances, and a late response to a request
// that was sent before the announcement does not end it.
func TestLimitEndsWithItsAnnouncement(t *testing.T) {
	f := newFleet(4, 8, 10*time.Millisecond, 20, func(now time.Time) (float64, bool) { return 3, now.Before(at(6)) })
	f.run(8 * time.Second)
	for _, x := range f.nodes {
		assert.Assert(t, !x.pacer.Limit().Limited)
	}
	var p Pacer
	assert.Assert(t, p.Announced(at(2), 3))
	assert.Assert(t, !p.Unannounced(at(3), at(1)))
	assert.Assert(t, p.Limit().Limited)
	assert.Assert(t, p.Unannounced(at(4), at(3)))
	assert.Assert(t, !p.Limit().Limited)
	assert.Assert(t, !p.Merge(at(5), Limit{Limited: true, Rate: 3, Since: at(1), ObservedAt: at(2)}), "an older observation")
}

// Updates do not make an observation look newer than it is, however long they go on.
func TestObservationAges(t *testing.T) {
	const quiet = 10 * time.Second
	for _, n := range []int{8, 83} {
		f := newFleet(10, n, 100*time.Millisecond, 2, constantly(3))
		f.run(6 * time.Second)
		f.demand = 0
		f.run(quiet)
		for _, x := range f.nodes {
			age := f.now.Sub(x.pacer.Limit().ObservedAt)
			assert.Assert(t, age > quiet-200*time.Millisecond, "%s in a fleet of %d", age, n)
		}
	}
}

// Rates without sense neither stop an endpoint for good nor break the computation.
func TestUnusualRates(t *testing.T) {
	for _, rate := range []float64{0, 1e-300, 1e300, math.MaxFloat64} {
		var p Pacer
		p.Announced(at(0), rate)
		m := Member{Rank: 7, Count: 8}
		ready := 0
		for s := 0.0; s < 100; s += 0.1 {
			if p.Ready(at(s), m) {
				p.Take(at(s), m)
				ready++
			}
		}
		assert.Assert(t, ready > 0, "rate %g", rate)
	}
}
