// Package coldstart keeps the requests that all instances send to a cold endpoint within what it bears in a second.
// It answers endpoints of a whole data centre that come back cold at once with the callers of the lost ones waiting.
// Every instance decides on its own. The package opens no sockets; the current time is an argument.
//
// For each incarnation of an endpoint the instances are ordered by rendezvous hashing, and the divided part of the
// bound is shared out in this order. Each instance counts its own sends in a sliding window.
//
// Invariant: instances that know the same list send at most Divided(bound) requests within any second of their own
// clocks, and at most bound if each list lacks up to a tenth of the instances, where bound leaves so many to spare.
package coldstart

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// window is the second of the bound and a margin: an instance that is throttled by its CPU limit may write a
	// request 100 ms after it was counted.
	window = 1100 * time.Millisecond
	// dividedShare of the bound is divided among the instances. The rest is for lists that differ.
	dividedShare = 0.75
	// quietTime is for how long an instance sends nothing after its start: longer than the window, as it has forgotten
	// what its predecessor sent, and than the others take to hear of it.
	quietTime = 3 * time.Second
	// retention is for how long an instance that is no longer listed keeps its part: it may be running behind a cut.
	retention = time.Minute
	// maxPart bounds the part of one instance, and so the times that are kept.
	maxPart = 1024
	// maxBound replaces higher bounds, which no fleet reaches.
	maxBound = 1 << 20
)

// Bound returns how many requests a cold endpoint that bears rate requests per second may get within a second, with
// the tolerated factor (0 for none) and the tolerated number of requests.
func Bound(rate, ratio, requests float64) int {
	if ratio <= 0 {
		ratio = 1
	}
	b := rate*ratio + max(0, requests)
	if !(b > 0) {
		return 0
	}
	return int(math.Floor(min(maxBound, b)))
}

// Divided returns how many requests of a bound are divided among the instances.
func Divided(bound int) int {
	if bound <= 0 {
		return 0
	}
	return max(1, int(dividedShare*float64(bound)))
}

// Fleet is the list of instances as one of them knows it. It is not safe for concurrent use.
type Fleet struct {
	self    string
	started time.Time
	listed  bool
	absent  map[string]time.Time // not listed any more, since then
	others  []string
	version int // of others
}

// NewFleet returns the fleet of an instance whose process has started at the given time and that knows no other one
// yet.
func NewFleet(self string, started time.Time) *Fleet {
	return &Fleet{self: self, started: started, absent: map[string]time.Time{}}
}

// Set tells which other instances there are. Listed says that these are all.
func (f *Fleet) Set(now time.Time, others []string, listed bool) {
	f.listed = listed
	present := make(map[string]bool, len(others))
	for _, name := range others {
		present[name] = true
		delete(f.absent, name)
	}
	next := slices.Clone(others)
	for _, name := range f.others {
		if present[name] {
			continue
		}
		if since, ok := f.absent[name]; !ok {
			f.absent[name] = now
		} else if now.Sub(since) > retention {
			delete(f.absent, name)
			continue
		}
		next = append(next, name)
	}
	slices.Sort(next)
	if !slices.Equal(next, f.others) {
		f.others = next
		f.version++
	}
}

// quietFor returns for how long the instance still sends nothing to cold endpoints because of its start.
func (f *Fleet) quietFor(now time.Time) time.Duration {
	return max(0, f.started.Add(quietTime).Sub(now))
}

// part returns how many of the divided requests fall to this instance.
func (f *Fleet) part(endpoint string, incarnation int64, divided int) int {
	own, before := weight(f.self, endpoint, incarnation), 0
	for _, name := range f.others {
		if w := weight(name, endpoint, incarnation); w > own || w == own && name < f.self {
			before++
		}
	}
	count := len(f.others) + 1
	n := divided / count
	if before < divided%count {
		n++
	}
	return min(maxPart, n)
}

// weight orders the instances for an incarnation of an endpoint.
func weight(instance, endpoint string, incarnation int64) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(instance)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(endpoint)
	var b [9]byte
	for i := range 8 {
		b[i+1] = byte(incarnation >> (8 * i))
	}
	_, _ = d.Write(b[:])
	return d.Sum64()
}

// Turns are the requests that one instance may send to one cold incarnation of an endpoint. They are not safe for
// concurrent use.
type Turns struct {
	endpoint    string
	incarnation int64

	bound   int // for which part was computed
	version int // of the fleet, for which part was computed
	known   bool
	part    int

	chosen, sent []time.Time // within the window, oldest first
}

// NewTurns returns the turns at an incarnation of an endpoint.
func NewTurns(endpoint string, incarnation int64) *Turns {
	return &Turns{endpoint: endpoint, incarnation: incarnation}
}

// Part returns how many requests this instance may send within a window.
func (t *Turns) Part(f *Fleet, bound int) int {
	if !t.known || t.bound != bound || t.version != f.version {
		t.known, t.bound, t.version = true, bound, f.version
		t.part = f.part(t.endpoint, t.incarnation, Divided(bound))
	}
	return t.part
}

// Rate returns how many requests per second this instance may send on average.
func (t *Turns) Rate(f *Fleet, bound int) float64 {
	return float64(t.Part(f, bound)) / window.Seconds()
}

// Next returns after what time this instance may choose the endpoint for a request. Ok is false if it never may, as
// far as it knows.
func (t *Turns) Next(now time.Time, f *Fleet, bound int) (wait time.Duration, ok bool) {
	part := t.Part(f, bound)
	if part == 0 || !f.listed {
		return 0, false
	}
	t.chosen, t.sent = forget(now, t.chosen), forget(now, t.sent)
	return max(f.quietFor(now), untilRoom(now, t.chosen, part), untilRoom(now, t.sent, part)), true
}

// Ready reports whether this instance may choose the endpoint for a request.
func (t *Turns) Ready(now time.Time, f *Fleet, bound int) bool {
	wait, ok := t.Next(now, f, bound)
	return ok && wait == 0
}

// Choose records that the endpoint was chosen for a request.
func (t *Turns) Choose(now time.Time) {
	if len(t.chosen) < maxPart {
		t.chosen = append(t.chosen, now)
	}
}

// HasRoom reports whether a request may be written now.
func (t *Turns) HasRoom(now time.Time, f *Fleet, bound int) bool {
	part := t.Part(f, bound)
	t.sent = forget(now, t.sent)
	return f.listed && f.quietFor(now) == 0 && len(t.sent) < part
}

// Send records a request that is about to be written, and reports whether it may be.
func (t *Turns) Send(now time.Time, f *Fleet, bound int) bool {
	if !t.HasRoom(now, f, bound) {
		return false
	}
	t.sent = append(t.sent, now)
	return true
}

// forget removes the times that are out of the window.
func forget(now time.Time, times []time.Time) []time.Time {
	n := 0
	for n < len(times) && now.Sub(times[n]) >= window {
		n++
	}
	if n == 0 {
		return times
	}
	return times[:copy(times, times[n:])]
}

// untilRoom returns how long it takes until fewer than part of the times are within the window.
func untilRoom(now time.Time, times []time.Time, part int) time.Duration {
	if len(times) < part {
		return 0
	}
	return times[len(times)-part].Add(window).Sub(now)
}
