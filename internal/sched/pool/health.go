package pool

import (
	"slices"
	"time"
)

// health is the state of one endpoint for outlier detection.
type health struct {
	failures     int       // consecutive
	ejections    int       // consecutive
	ejectedUntil time.Time // zero until the first ejection
	ejected      bool
	probing      bool // a probe request to the ejected endpoint is in flight
	latency      ewma // seconds: per piece (prefill), to the first token (decode) or in total (plain)
	failedPolls  int  // consecutive
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

// available reports whether the endpoint's health allows new requests.
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

// unusable reports whether the endpoint is ejected or unreachable.
func (h *health) unusable(t *Tuning) bool { return h.ejected || h.failedPolls >= t.UnreachableAfter }

// predatesProbe reports whether the endpoint is ejected and a request granted at the
// given time started before the ejection ended. The outcome of such a request is
// ignored; requests granted later are probes.
func (h *health) predatesProbe(granted time.Time) bool {
	return h.ejected && granted.Before(h.ejectedUntil)
}

// recordAbandoned records the end of a request whose outcome does not depend on the
// endpoint.
func (h *health) recordAbandoned(granted time.Time) {
	if !h.predatesProbe(granted) {
		h.probing = false
	}
}

// recordFull records that the endpoint refused a request for lack of capacity.
func (h *health) recordFull(now, granted time.Time, t *Tuning) {
	h.fullPause = min(max(2*h.fullPause, t.FullPause), t.MaxFullPause)
	h.fullUntil = now.Add(h.fullPause)
	h.recordAbandoned(granted)
}

// recordSuccess records a success. The success of a probe ends the ejection.
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

// eject removes the endpoint from use for a time that doubles with each consecutive
// ejection.
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

// HealthChange reports that an endpoint was ejected or is in use again.
type HealthChange struct {
	Endpoint string
	Ejected  bool
	Reason   string // "failures" or "slow"
}

// maxHealthChanges bounds the changes buffered between calls of HealthChanges.
const maxHealthChanges = 256

// recordHealthChange buffers a change until HealthChanges returns it.
func (c *Core) recordHealthChange(change HealthChange) {
	if len(c.healthChanges) < maxHealthChanges {
		c.healthChanges = append(c.healthChanges, change)
	}
}

// HealthChanges returns the changes since the last call.
func (c *Core) HealthChanges() []HealthChange {
	changes := c.healthChanges
	c.healthChanges = nil
	return changes
}

// eject ejects x and records the change.
func (c *Core) eject(now time.Time, x *target, reason string) {
	x.eject(now, &c.tuning)
	c.recordHealthChange(HealthChange{Endpoint: x.ep.Name, Ejected: true, Reason: reason})
}

// observeSuccess records a success of x.
func (c *Core) observeSuccess(granted time.Time, x *target) {
	before := x.ejected
	x.recordSuccess(granted)
	if before && !x.ejected {
		c.recordHealthChange(HealthChange{Endpoint: x.ep.Name})
	}
}

// observeFailure records a failure of x and ejects it after too many.
func (c *Core) observeFailure(now, granted time.Time, x *target) {
	if x.predatesProbe(granted) {
		return
	}
	x.failures++
	if x.ejected || x.failures >= c.tuning.EjectAfter && c.mayEject(x) {
		c.eject(now, x, "failures")
	}
}

// observeLatency records a latency of x and ejects x if its average is far above the
// median of its role. A slow probe extends the ejection.
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
