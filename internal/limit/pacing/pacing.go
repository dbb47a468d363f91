// Package pacing keeps the requests that all instances send to an endpoint within the rate that
// the endpoint announces. Every instance decides on its own. The package opens no sockets; the
// current time is an argument.
//
// Time is divided into slots, one for each request that the rate allows, which the instances own
// in turn. An instance may use a slot for a short time after it begins; elsewhere such a slot is
// called a turn, as slots of endpoints are their concurrent requests. Instances need to agree
// on the beginning of the first slot and on the list of instances only; both are part of their
// updates. Where they disagree, every instance still sends its equal share of the rate.
//
// Invariant: an instance uses each of its slots at most once, so that instances which agree send
// in any time t at most rate x (t + lifetime of a slot) + 1 requests.
package pacing

import (
	"math"
	"time"

	"carawayrouter.example/router/internal/clock"
)

const (
	// baseLifetime and lifetimeSlots set how long a slot can be used: a fixed time and the time of
	// some slots. A longer time serves the instances with few requests, a shorter one keeps
	// requests from arriving together. A slot that begins after the last observation has the time
	// of the slots only: the limit may have fallen since.
	baseLifetime  = time.Second
	lifetimeSlots = 3
	// minRate replaces lower rates, in requests per second: an endpoint that gets no request
	// cannot announce the end of its limit.
	minRate = 0.1
	// maxRate replaces higher rates, which no fleet reaches, in requests per second.
	maxRate = 1e6
)

// Member is an instance's place in the fleet.
type Member struct {
	Rank  int // from 0
	Count int // instances, at least 1
}

// Limit is what is known of an endpoint's limit.
type Limit struct {
	Limited    bool
	Rate       float64   // requests per second
	Since      time.Time // beginning of the first slot
	ObservedAt time.Time // of the response that announced the limit, or the sending of the request whose response had none
}

// Pacer applies the limit of one endpoint on one instance. The zero value has no limit. It is not
// safe for concurrent use.
type Pacer struct {
	limit    Limit
	own      bool      // limit was observed by this instance
	usedSlot time.Time // slots up to this time are used or forfeited
}

// Limit returns what is known of the limit.
func (p *Pacer) Limit() Limit { return p.limit }

// reportTime is for how long the end of a limit is reported to the other instances.
const reportTime = 10 * time.Second

// Report returns what this instance tells the others, if anything. It tells what it has observed
// itself only: an observation that is passed on looks newer by the transit of the update each time.
func (p *Pacer) Report(now time.Time) (l Limit, ok bool) {
	return p.limit, p.own && (p.limit.Limited || now.Sub(p.limit.ObservedAt) < reportTime)
}

// sameRate is the relative difference up to which an announced rate counts as the one in force:
// another rate changes the slots of all instances.
const sameRate = 0.05

// Announced records a response that announces a limit. It reports whether the limit has changed.
func (p *Pacer) Announced(now time.Time, rate float64) (changed bool) {
	if p.limit.Limited && math.Abs(rate-p.limit.Rate) <= sameRate*p.limit.Rate {
		rate = p.limit.Rate
	}
	return p.observe(now, Limit{Limited: true, Rate: rate, Since: now, ObservedAt: now})
}

// Unannounced records a response without a limit, to a request that was sent at the given time.
// The endpoint may have announced a limit in later responses. It reports whether the limit has
// changed.
func (p *Pacer) Unannounced(now, sentAt time.Time) (changed bool) {
	if !p.limit.Limited {
		return false
	}
	return p.observe(now, Limit{ObservedAt: sentAt})
}

func (p *Pacer) observe(now time.Time, l Limit) (changed bool) {
	newer := l.ObservedAt.After(p.limit.ObservedAt)
	changed = p.Merge(now, l)
	p.own = p.own || newer
	return changed
}

// Merge applies what another instance has observed of the limit. The latest observation decides.
// Of two first slots the earlier one does, so that all instances come to the same one. It reports
// whether the limit has changed.
func (p *Pacer) Merge(now time.Time, l Limit) (changed bool) {
	l.Rate = min(maxRate, max(minRate, l.Rate))
	since := l.Since
	if p.limit.Limited && p.limit.Since.Before(since) {
		since = p.limit.Since
	}
	if !l.ObservedAt.After(p.limit.ObservedAt) {
		if l.Limited && p.limit.Limited {
			p.limit.Since = since
		}
		return false
	}
	old := p.limit
	p.limit, p.own = l, false
	if l.Limited {
		p.limit.Since = since
	}
	changed = old.Limited != l.Limited || (l.Limited && old.Rate != l.Rate)
	if changed {
		p.Forfeit(now)
	}
	return changed
}

// Forfeit gives up the slots that have begun. Under another rate or another list of instances
// they may belong to an instance that has used them.
func (p *Pacer) Forfeit(now time.Time) { p.usedSlot = now }

// Next returns the beginning of the first slot of m that can be used now or later; without a
// limit it is now.
func (p *Pacer) Next(now time.Time, m Member) time.Time {
	if !p.limit.Limited {
		return now
	}
	unconfirmed := now.Add(-clock.Seconds(lifetimeSlots / p.limit.Rate))
	slot := p.slotFrom(unconfirmed.Add(-baseLifetime), m)
	if slot.After(p.limit.ObservedAt) && slot.Before(unconfirmed) {
		slot = p.slotFrom(unconfirmed, m)
	}
	return slot
}

// slotFrom returns the beginning of the first unused slot of m at t or later.
func (p *Pacer) slotFrom(t time.Time, m Member) time.Time {
	n := max(0, math.Ceil(p.ownSlot(t, m)))
	if !p.usedSlot.IsZero() {
		n = max(n, math.Floor(p.ownSlot(p.usedSlot, m)+slotTolerance)+1)
	}
	return p.limit.Since.Add(clock.Seconds((n*float64(m.Count) + float64(m.Rank)) / p.limit.Rate))
}

// slotTolerance is by how much a computed position may be below that of the slot, as a fraction
// of the time between two slots of the instance.
const slotTolerance = 1e-3

// ownSlot returns the position of t among the slots of m: 0 at the beginning of the first one, 1
// at that of the second.
func (p *Pacer) ownSlot(t time.Time, m Member) float64 {
	return (t.Sub(p.limit.Since).Seconds()*p.limit.Rate - float64(m.Rank)) / float64(m.Count)
}

// Ready reports whether m may send a request.
func (p *Pacer) Ready(now time.Time, m Member) bool { return !p.Next(now, m).After(now) }

// Take uses a slot for a request that m may send.
func (p *Pacer) Take(now time.Time, m Member) {
	if p.limit.Limited {
		p.usedSlot = p.Next(now, m)
	}
}
