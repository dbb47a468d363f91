package pool

import (
	"slices"
	"time"
)

// health is the judgement on one endpoint by the outcomes seen.
type health struct {
	failures     int       // in a row
	ejections    int       // in a row
	ejectedUntil time.Time // zero while in use
	ejected      bool
	probing      bool // one request is under way to an ejected endpoint
	latency      ewma // seconds, in the unit that the role is judged by
	failedPolls  int  // failed polls in a row
	fullUntil    time.Time
	fullPause    time.Duration
}

// ewma is an exponentially weighted moving average.
type ewma struct {
	value   float64
	samples int
}

const ewmaWeight = 0.2

func (e *ewma) add(x float64) {
	if e.samples == 0 {
		e.value = x
	} else {
		e.value += ewmaWeight * (x - e.value)
	}
	e.samples++
}

// available reports whether the endpoint may get a request as far as health goes.
func (h *health) available(now time.Time, t *Tuning) bool {
	if h.failedPolls >= t.UnreachableAfter {
		return false
	}
	if now.Before(h.fullUntil) {
		return false
	}
	if !h.ejected {
		return true
	}
	return !h.probing && !now.Before(h.ejectedUntil)
}

// unusable reports whether the endpoint counts as ejected.
func (h *health) unusable(t *Tuning) bool { return h.ejected || h.failedPolls >= t.UnreachableAfter }

// predatesProbe reports whether a request that was granted at the given time says nothing
// of an ejected endpoint, because it began before the ejection ended. Requests that
// began later are probes.
func (h *health) predatesProbe(granted time.Time) bool {
	return h.ejected && granted.Before(h.ejectedUntil)
}

// recordAbandoned records the end of a request that says nothing of the endpoint.
func (h *health) recordAbandoned(granted time.Time) {
	if !h.predatesProbe(granted) {
		h.probing = false
	}
}

// recordFull records that the endpoint refused for want of room.
func (h *health) recordFull(now, granted time.Time, t *Tuning) {
	h.fullPause = min(max(2*h.fullPause, t.FullPause), t.MaxFullPause)
	h.fullUntil = now.Add(h.fullPause)
	h.recordAbandoned(granted)
}

// recordSuccess records a good outcome; that of a probe ends the ejection.
func (h *health) recordSuccess(granted time.Time) {
	if h.predatesProbe(granted) {
		return
	}
	h.failures = 0
	h.ejections = 0
	h.ejected = false
	h.probing = false
	h.fullPause = 0
}

// eject takes the endpoint out of use for a time that doubles with each ejection.
func (h *health) eject(now time.Time, t *Tuning) {
	pause := t.EjectTime
	for range h.ejections {
		pause = min(2*pause, t.MaxEjectTime)
	}
	h.ejections++
	h.ejected = true
	h.probing = false
	h.failures = 0
	h.ejectedUntil = now.Add(pause)
	h.latency = ewma{}
}

// HealthChange tells that an endpoint was ejected or is in use again.
type HealthChange struct {
	Endpoint string
	Ejected  bool
	Reason   string // "failures" or "slow"
}

// maxHealthChanges bounds the notices that wait to be taken.
const maxHealthChanges = 256

// recordHealthChange keeps a notice until Notices takes it.
func (c *Core) recordHealthChange(n HealthChange) {
	if len(c.healthChanges) < maxHealthChanges {
		c.healthChanges = append(c.healthChanges, n)
	}
}

// HealthChanges returns what happened since the last call.
func (c *Core) HealthChanges() []HealthChange {
	n := c.healthChanges
	c.healthChanges = nil
	return n
}

// eject takes x out of use.
func (c *Core) eject(now time.Time, x *target, reason string) {
	x.eject(now, &c.tuning)
	c.recordHealthChange(HealthChange{Endpoint: x.ep.Name, Ejected: true, Reason: reason})
}

// observeSuccess takes a good outcome of x.
func (c *Core) observeSuccess(granted time.Time, x *target) {
	before := x.ejected
	x.recordSuccess(granted)
	if before && !x.ejected {
		c.recordHealthChange(HealthChange{Endpoint: x.ep.Name})
	}
}

// observeFailure judges a failure of x.
func (c *Core) observeFailure(now, granted time.Time, x *target) {
	if x.predatesProbe(granted) {
		return
	}
	x.failures++
	if x.ejected || x.failures >= c.tuning.EjectAfter && c.mayEject(x) {
		c.eject(now, x, "failures")
	}
}

// observeLatency judges a latency of x against the median of its role. A slow probe
// lengthens the ejection.
func (c *Core) observeLatency(now, granted time.Time, x *target, d time.Duration) {
	if x.predatesProbe(granted) {
		return
	}
	x.latency.add(d.Seconds())
	if !x.ejected && x.latency.samples < c.tuning.SlowSamples {
		return
	}
	median := medianLatency(c.roleTargets(x), c.tuning.SlowSamples)
	if median == 0 || x.latency.value <= median*c.tuning.SlowFactor+c.tuning.SlowFloor.Seconds() {
		return
	}
	if x.ejected || c.mayEject(x) {
		c.eject(now, x, "slow")
	}
}

// medianLatency returns the median over the endpoints with enough samples, or 0 if
// fewer than three have them.
func medianLatency(group []*target, samples int) float64 {
	var all []float64
	for _, x := range group {
		if x.latency.samples >= samples {
			all = append(all, x.latency.value)
		}
	}
	if len(all) < 3 {
		return 0
	}
	slices.Sort(all)
	return all[len(all)/2]
}

// mayEject reports whether one more endpoint of x's role may be ejected: at most
// the configured fraction, and never the last one.
func (c *Core) mayEject(x *target) bool {
	total, out := 0, 0
	for _, y := range c.roleTargets(x) {
		if y.leaving {
			continue
		}
		total++
		if y.unusable(&c.tuning) && y != x {
			out++
		}
	}
	return out+1 <= int(float64(total)*c.tuning.MaxEjected) && out+1 < total
}
