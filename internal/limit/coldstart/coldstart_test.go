package coldstart

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var epoch = time.Unix(1_700_000_000, 0)

const (
	tick        = 25 * time.Millisecond
	hearing     = 1500 * time.Millisecond // until an instance that starts has heard of all others, and they of it
	incarnation = 17
)

// instance is one process of a simulated fleet that sends to one cold endpoint.
type instance struct {
	name   string
	offset time.Duration // of its clock
	fleet  *Fleet
	turns  *Turns
	cut    bool
	demand float64 // requests per tick
	decode []time.Time
}

// world simulates instances that send requests to one endpoint.
type world struct {
	rand      *rand.Rand
	now       time.Time
	bound     int
	instances []*instance
	added     int
	sent      []time.Time
	delayed   bool        // a part of the requests is sent some time after its choice
	tellAt    []time.Time // when a started instance has heard of all others, and they of it
}

func newWorld(seed uint64, n, bound int) *world {
	w := &world{rand: rand.New(rand.NewPCG(seed, 1)), now: epoch, bound: bound, delayed: true}
	for range n {
		w.add()
	}
	w.tell()
	w.now, w.tellAt = w.now.Add(quietTime), nil
	return w
}

func (w *world) add() {
	x := &instance{name: fmt.Sprintf("i%d", w.added), demand: 1}
	w.added++
	w.instances = append(w.instances, x)
	w.start(x)
}

// start begins a process of x, which knows nothing of what the former one sent, and whose clock has another zero.
func (w *world) start(x *instance) {
	x.offset = time.Duration(w.rand.Int64N(int64(time.Hour)))
	x.fleet, x.turns, x.decode = NewFleet(x.name, w.now.Add(x.offset)), NewTurns("e", incarnation), nil
	w.tellAt = append(w.tellAt, w.now.Add(hearing))
}

// tell gives all instances that are not cut off the list of all.
func (w *world) tell() {
	for _, x := range w.instances {
		if x.cut {
			continue
		}
		var others []string
		for _, y := range w.instances {
			if y != x {
				others = append(others, y.name)
			}
		}
		x.fleet.Set(w.now.Add(x.offset), others, true)
	}
}

// run lets all instances send as much as they want and may.
func (w *world) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(tick) {
		if len(w.tellAt) > 0 && !w.now.Before(w.tellAt[0]) {
			w.tell()
			w.tellAt = slices.DeleteFunc(w.tellAt, func(at time.Time) bool { return !at.After(w.now) })
		}
		for _, x := range w.instances {
			now := w.now.Add(x.offset)
			x.decode = slices.DeleteFunc(x.decode, func(at time.Time) bool {
				if now.Before(at) {
					return false
				}
				w.send(x, now)
				return true
			})
			for wanted := x.demand; wanted > 0 && (wanted >= 1 || w.rand.Float64() < wanted); wanted-- {
				if !x.turns.Ready(now, x.fleet, w.bound) {
					break
				}
				x.turns.Choose(now)
				if !w.delayed || w.rand.IntN(4) > 0 {
					w.send(x, now)
				} else {
					x.decode = append(x.decode, now.Add(time.Duration(w.rand.IntN(1500))*time.Millisecond))
				}
			}
		}
	}
}

func (w *world) send(x *instance, now time.Time) {
	if x.turns.Send(now, x.fleet, w.bound) {
		w.sent = append(w.sent, w.now)
	}
}

// worst returns the greatest number of requests within a second.
func (w *world) worst() int {
	most, first := 0, 0
	for i, at := range w.sent {
		for at.Sub(w.sent[first]) > time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// A flood at all instances of any fleet stays within any bound and uses most of what is divided of it.
func TestFloodKeepsBoundOfAnyFleet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, bound := rapid.IntRange(1, 300).Draw(t, "instances"), rapid.IntRange(0, 120).Draw(t, "bound")
		w := newWorld(rapid.Uint64().Draw(t, "seed"), n, bound)
		w.delayed = rapid.Bool().Draw(t, "delayed")
		for _, x := range w.instances {
			x.demand = 4
		}
		const seconds = 6
		w.run(seconds * time.Second)
		if most := w.worst(); most > Divided(bound) {
			t.Fatalf("%d requests within a second, %d are divided", most, Divided(bound))
		}
		if used := float64(len(w.sent)) / seconds; !w.delayed && used < 0.85*float64(Divided(bound)) {
			t.Fatalf("%.1f requests per second of %d", used, Divided(bound))
		}
	})
}

// Instances that are killed, started again, added or cut off, with uneven callers, keep the bound. Each knows by its
// own clock only what it has been told since its start.
func TestChangesOfFleetKeepBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, bound := rapid.IntRange(1, 60).Draw(t, "instances"), rapid.IntRange(1, 60).Draw(t, "bound")
		w := newWorld(rapid.Uint64().Draw(t, "seed"), n, bound)
		for range 12 {
			x := w.instances[w.rand.IntN(len(w.instances))]
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0:
				w.start(x)
				x.cut = false
			case 1:
				for _, y := range w.instances {
					w.start(y)
					y.cut = false
				}
			case 2:
				x.cut = !x.cut
			case 3:
				if cut := slices.ContainsFunc(w.instances, func(y *instance) bool { return y.cut }); !cut {
					w.add() // one that a cut instance has not heard of: see TestListsThatDifferKeepBound
				}
			case 4:
				x.demand = rapid.SampledFrom([]float64{0, 0.1, 20}).Draw(t, "demand")
			}
			w.run(time.Duration(rapid.IntRange(1, 2500).Draw(t, "ms")) * time.Millisecond)
		}
		w.run(4 * time.Second)
		if most := w.worst(); most > bound {
			t.Fatalf("%d requests within a second of %d", most, bound)
		}
	})
}

// Lists that each lack up to a tenth of the instances, others at each, keep the bound.
func TestListsThatDifferKeepBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, bound := rapid.IntRange(1, 300).Draw(t, "instances"), rapid.IntRange(8, 120).Draw(t, "bound")
		w := newWorld(rapid.Uint64().Draw(t, "seed"), n, bound)
		for _, x := range w.instances {
			x.demand, x.fleet.others = 4, nil
			var others []string
			for _, y := range w.instances {
				if y != x {
					others = append(others, y.name)
				}
			}
			w.rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
			x.fleet.Set(w.now.Add(x.offset), others[min(len(others), n/10):], true)
		}
		w.run(4 * time.Second)
		// An order that lacks d instances moves each up by d places at most.
		spare := bound - Divided(bound)
		if most := w.worst(); n/10 <= spare/2 && most > bound {
			t.Fatalf("%d requests within a second of %d, %d instances", most, bound, n)
		}
	})
}

// An instance that is no longer listed keeps its part until it cannot be running behind a cut any more.
func TestSilentInstancesKeepTheirPart(t *testing.T) {
	f, turns := NewFleet("a", epoch), NewTurns("e", incarnation)
	f.Set(epoch, []string{"b", "c", "d"}, true)
	assert.Equal(t, turns.Part(f, 43), 32/4)
	f.Set(epoch.Add(time.Second), nil, true)
	assert.Equal(t, turns.Part(f, 43), 32/4)
	f.Set(epoch.Add(30*time.Second), nil, true)
	assert.Equal(t, turns.Part(f, 43), 32/4)
	f.Set(epoch.Add(time.Second+retention+tick), nil, true)
	assert.Equal(t, turns.Part(f, 43), 32)
}

// An instance that has just started, or has not read the list of instances, sends nothing.
func TestInstanceThatKnowsTooLittleSendsNothing(t *testing.T) {
	f, turns := NewFleet("a", epoch), NewTurns("e", incarnation)
	assert.Assert(t, !turns.Send(epoch.Add(time.Hour), f, 44))
	_, ok := turns.Next(epoch.Add(time.Hour), f, 44)
	assert.Assert(t, !ok)
	f.Set(epoch, nil, true)
	assert.Assert(t, !turns.Send(epoch.Add(window), f, 44))
	wait, ok := turns.Next(epoch, f, 44)
	assert.Assert(t, ok && wait == quietTime)
	assert.Assert(t, turns.Send(epoch.Add(quietTime), f, 44))
}

// In a fleet larger than the divided requests each endpoint has other holders, so that every instance has a part
// somewhere.
func TestHoldersDifferByEndpoint(t *testing.T) {
	const instances, endpoints = 65, 19
	var names []string
	for i := range instances {
		names = append(names, fmt.Sprintf("10.0.%d.%d", i%3, i))
	}
	for i, name := range names {
		f := NewFleet(name, epoch)
		f.Set(epoch, slices.Delete(slices.Clone(names), i, i+1), true)
		parts := 0
		for e := range endpoints {
			parts += NewTurns(fmt.Sprintf("s%d", e), int64(1000+e)).Part(f, 44)
		}
		assert.Assert(t, parts > 0, name)
	}
}

// A bound below one request, or without sense, gives no turns, and a large one no large lists.
func TestUnusualBounds(t *testing.T) {
	assert.Equal(t, Bound(26, 1.5, 5), 44)
	assert.Equal(t, Bound(26, 0, 0), 26)
	assert.Equal(t, Bound(0.5, 1.5, 0), 0)
	assert.Equal(t, Bound(1e300, 1e300, 0), maxBound)
	assert.Equal(t, Bound(1, 1, -7), 1)
	assert.Equal(t, Divided(0), 0)
	assert.Equal(t, Divided(1), 1)
	f := NewFleet("a", epoch)
	f.Set(epoch, nil, true)
	assert.Equal(t, NewTurns("e", 1).Part(f, maxBound), maxPart)
}

func BenchmarkReady(b *testing.B) {
	f, turns := NewFleet("a", epoch), NewTurns("e", incarnation)
	var names []string
	for i := range 300 {
		names = append(names, fmt.Sprintf("i%d", i))
	}
	f.Set(epoch, names, true)
	now := epoch.Add(time.Minute)
	b.ReportAllocs()
	for b.Loop() {
		turns.Ready(now, f, 1000)
		now = now.Add(time.Millisecond)
	}
}
