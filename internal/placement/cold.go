package placement

import (
	"slices"
	"time"

	"carawayrouter.example/router/internal/config"
	"carawayrouter.example/router/internal/limit/coldstart"
)

// coldState is what is known of the cold time of an endpoint's incarnation. It answers endpoints that come back cold
// together while the callers of the lost ones wait at all instances.
type coldState struct {
	entryRead bool
	revision  uint64        // of the entry that entryEnd was read from
	entryEnd  time.Time     // of the cold time, by the entry
	saidEnd   time.Time     // of the cold time, by responses of the endpoint, here or at other instances
	ownEnd    time.Time     // of the cold time, by responses to this instance; zero if it has had none
	time      time.Duration // for which the pool's endpoints are cold after their start
	bound     int           // requests within a second, from all instances
	bounded   bool          // it gets no more than bound while it is cold
	turns     *coldstart.Turns
	served    int // answers and first tokens of this incarnation since it was cold first, or again; streams that ran then count too
}

// readColdTime applies the endpoint's entry. The remaining time counts from when this revision was read, so it ends late rather than early.
func (x *endpointState) readColdTime(now time.Time) {
	c := &x.cold
	if c.entryRead && c.revision >= x.ep.Revision {
		return
	}
	c.entryRead, c.revision = true, x.ep.Revision
	x.beginCold(now, x.ep.WarmUp)
	c.entryEnd = now.Add(x.ep.WarmUp)
}

// beginCold forgets what an endpoint has shown that becomes cold again, but for the streams that it still runs.
func (x *endpointState) beginCold(now time.Time, left time.Duration) {
	if left <= 0 || now.Before(x.cold.end()) {
		return
	}
	x.cold.served = 0
	for l := range x.generations {
		if l.begun {
			x.cold.served++
		}
	}
}

// end returns until when the endpoint is cold.
func (c *coldState) end() time.Time {
	if c.saidEnd.After(c.entryEnd) {
		return c.saidEnd
	}
	return c.entryEnd
}

// boundNow reports whether the endpoint is cold and bears only so many requests.
func (x *endpointState) boundNow(now time.Time) bool {
	return x.cold.bounded && now.Before(x.cold.end())
}

// coldTurns returns the turns at a cold endpoint.
func (x *endpointState) coldTurns() *coldstart.Turns {
	if x.cold.turns == nil {
		x.cold.turns = coldstart.NewTurns(x.ep.Name, x.ep.Incarnation)
	}
	return x.cold.turns
}

// SetColdSlack sets what is tolerated above the rate of requests that a cold endpoint bears: a factor and a number of
// requests. Fleet is the list of instances among which the bound is divided.
func (s *Scheduler) SetColdSlack(ratio, requests float64, fleet *coldstart.Fleet) {
	s.coldSlackRatio, s.coldSlackRequests, s.fleet = ratio, requests, fleet
}

// SetFleet tells which other instances there are, and whether these are all.
func (s *Scheduler) SetFleet(now time.Time, others []string, listed bool) {
	s.fleet.Set(now, others, listed)
}

// readCold applies what an entry and the endpoint's pool say of its cold time.
func (s *Scheduler) readCold(now time.Time, x *endpointState, pool *config.Pool) {
	x.readColdTime(now)
	x.cold.bounded, x.cold.time = pool.ColdRate > 0, pool.ColdTime
	if x.cold.bounded {
		x.cold.bound = coldstart.Bound(pool.ColdRate, s.coldSlackRatio, s.coldSlackRequests)
	}
}

// coldReady reports whether this instance may choose an endpoint as far as its cold time goes. It has at most one
// request in progress there more than the endpoint is known to have served: an endpoint that turns out to be slow, or ends, holds up
// few.
func (s *Scheduler) coldReady(now time.Time, x *endpointState) bool {
	if !x.boundNow(now) {
		return true
	}
	inProgress := x.inProgress()
	if x.ep.Role == config.Prefill && x.prefillTokens > 0 {
		inProgress++
	}
	return inProgress <= x.shown(now) && x.coldTurns().Ready(now, s.fleet, x.cold.bound)
}

// IsHeldUpByCold reports whether an endpoint may be used for a plain call, but for its cold time: it has no turn, or has yet to
// show that it serves, of which no one knows the time.
func (s *Scheduler) IsHeldUpByCold(now time.Time, d Demand) bool {
	return slices.ContainsFunc(s.pools[d.Pool], func(x *endpointState) bool {
		return x.boundNow(now) && x.refusal(now, choosing, &d) == "" && s.turn(now, x) == Cold
	})
}

// chooseCold uses a turn at an endpoint if it is cold.
func (s *Scheduler) chooseCold(now time.Time, x *endpointState) {
	if x.boundNow(now) {
		x.coldTurns().Choose(now)
	}
}

// countSend counts a request that is about to be written to an endpoint, and reports whether it may be.
func (s *Scheduler) countSend(now time.Time, x *endpointState) bool {
	return !x.boundNow(now) || x.coldTurns().Send(now, s.fleet, x.cold.bound)
}

// hasColdRoom reports whether countSend would let a request through.
func (s *Scheduler) hasColdRoom(now time.Time, x *endpointState) bool {
	return !x.boundNow(now) || x.coldTurns().HasRoom(now, s.fleet, x.cold.bound)
}

// coldDelay is by how much an endpoint counts as slower before it has served anything while cold, as a factor.
const coldDelay = 1.0

// coldFactor is by how much an endpoint counts as slower than it was measured: less with each request that it has
// served.
func (x *endpointState) coldFactor(now time.Time) float64 {
	if !x.boundNow(now) {
		return 1
	}
	return 1 + coldDelay/float64(1+x.shown(now))
}

// shown returns how many requests a cold endpoint is known to have served: this instance's, and the streams of the
// others that run there. In a large fleet each instance by itself sees few of them within a cold time.
func (x *endpointState) shown(now time.Time) int {
	n := x.cold.served
	for _, load := range x.peerLoads {
		if now.Sub(load.updatedAt) > peerTimeout {
			continue
		}
		for _, g := range load.generations {
			if g.Generated > 0 {
				n++
			}
		}
	}
	return n
}

// coldWait returns how long this instance waits for a turn at a cold endpoint and how many it has in a second.
func (s *Scheduler) coldWait(now time.Time, x *endpointState) (wait time.Duration, rate float64) {
	warm := x.cold.end().Sub(now)
	wait, ok := x.coldTurns().Next(now, s.fleet, x.cold.bound)
	if !ok {
		return warm, 0
	}
	return min(wait, warm), x.coldTurns().Rate(s.fleet, x.cold.bound)
}

// ColdEndpoint is the cold time of an endpoint's incarnation.
type ColdEndpoint struct {
	Endpoint    string
	Incarnation int64
	Left        time.Duration
}

// RecordCold records that an incarnation of an endpoint has said to this instance for how long it stays cold.
func (s *Scheduler) RecordCold(now time.Time, c ColdEndpoint) {
	if x := s.known(c.Endpoint); x != nil && x.ep.Incarnation == c.Incarnation {
		x.beginCold(now, c.Left)
		x.cold.ownEnd = later(x.cold.ownEnd, now.Add(c.Left))
		x.cold.saidEnd = later(x.cold.saidEnd, x.cold.ownEnd)
	}
}

// MergeCold applies what an endpoint has said to another instance of its cold time.
func (s *Scheduler) MergeCold(now time.Time, c ColdEndpoint) {
	if x := s.known(c.Endpoint); x != nil && x.ep.Incarnation == c.Incarnation {
		x.beginCold(now, c.Left)
		x.cold.saidEnd = later(x.cold.saidEnd, now.Add(c.Left))
	}
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// recordReturn records that the endpoints of a data centre may be given requests again after a time without any. They
// count as cold for as long as after a start: they may have become so meanwhile, and their entries tell it late. All
// instances see the end of an evacuation themselves, so it is not told to the others.
func (s *Scheduler) recordReturn(now time.Time, dataCentre string) {
	for _, x := range s.endpoints {
		if x.ep.DataCentre == dataCentre && x.cold.bounded {
			x.beginCold(now, x.cold.time)
			x.cold.saidEnd = later(x.cold.saidEnd, now.Add(x.cold.time))
		}
	}
}

// EachReportedCold calls visit with every cold endpoint that has said so to this instance itself. What other instances
// have told is not passed on: it would last longer by the transit of the update each time.
func (s *Scheduler) EachReportedCold(now time.Time, visit func(ColdEndpoint)) {
	for name, x := range s.endpoints {
		if left := x.cold.ownEnd.Sub(now); x.cold.bounded && left > 0 {
			visit(ColdEndpoint{Endpoint: name, Incarnation: x.ep.Incarnation, Left: left})
		}
	}
}

// EachCold calls visit with every endpoint that is cold and bears only so many requests.
func (s *Scheduler) EachCold(now time.Time, visit func(ColdEndpoint)) {
	for name, x := range s.endpoints {
		if x.boundNow(now) {
			visit(ColdEndpoint{Endpoint: name, Incarnation: x.ep.Incarnation, Left: x.cold.end().Sub(now)})
		}
	}
}

// IsColdBound reports whether the endpoint is cold and bears only so many requests.
func (s *Scheduler) IsColdBound(now time.Time, endpoint string) bool {
	x := s.known(endpoint)
	return x != nil && x.boundNow(now)
}
