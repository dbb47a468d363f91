package pool

import (
	"time"

	"carawayrouter.example/router/internal/config"
	"carawayrouter.example/router/internal/endpoint"
	"carawayrouter.example/router/internal/sched"
)

// PrefillDone ends the prefill of a grant.
func (c *Core) PrefillDone(now time.Time, key Key, o sched.Outcome) {
	m := c.demands[key]
	if m == nil || m.prefill == nil {
		return
	}
	x := m.prefill
	c.releasePrefill(now, m)
	m.prefillEnded = now
	switch o {
	case sched.Succeeded:
		transfer := time.Duration(m.d.Prompt) * c.tuning.TransferPerToken
		c.updatePrefillRate(now, m.granted, x, m.uncachedTokens, transfer)
		c.observePrefillRate(now, m.granted, x)
		c.observeSuccess(m.granted, x)
	default:
		c.observeOutcome(now, m.granted, x, o)
	}
}

// updatePrefillRate updates the prefill rates of an engine and of the pool.
func (c *Core) updatePrefillRate(now, granted time.Time, x *target, tokens int, transfer time.Duration) {
	seconds, work := x.prefillSeconds, x.prefillTokens
	x.updatePrefillRate(now, granted, tokens, transfer)
	if x.removed {
		return
	}
	c.prefillSeconds += x.prefillSeconds - seconds
	c.prefillTokens += x.prefillTokens - work
}

// observeOutcome records an outcome other than a success.
func (c *Core) observeOutcome(now, granted time.Time, x *target, o sched.Outcome) {
	switch o {
	case sched.Failed:
		c.observeFailure(now, granted, x)
	case sched.Full:
		x.recordFull(now, granted, &c.tuning)
	case sched.Unreachable:
		if c.kind == config.ServicePool {
			c.observeFailure(now, granted, x) // services are not polled
			return
		}
		// No process listens at the address. The endpoint stays out of use until a
		// poll succeeds, even if it is the last one: queuing requests is better
		// than failing them.
		x.failedPolls = c.tuning.UnreachableAfter
		x.recordAbandoned(granted)
	default:
		x.recordAbandoned(granted)
	}
}

// observePrefillRate records the time that a prefill engine needs for one piece as its
// latency.
func (c *Core) observePrefillRate(now, granted time.Time, x *target) {
	if x.prefillTokens <= 0 {
		return
	}
	perPiece := x.prefillSeconds / x.prefillTokens * endpoint.PieceTokens
	c.observeLatency(now, granted, x, time.Duration(perPiece*float64(time.Second)))
}

// releasePrefill releases the prefill part of a grant.
func (c *Core) releasePrefill(now time.Time, m *demand) {
	x := m.prefill
	m.prefill = nil
	x.slots--
	x.pieces -= endpoint.Pieces(m.d.Prompt)
	x.endPrefill(now, m.predictedPrefill)
}

// FirstToken records that the first token of a grant arrived.
func (c *Core) FirstToken(now time.Time, key Key) {
	m := c.demands[key]
	if m == nil || m.decode == nil || m.firstTokenSeen {
		return
	}
	m.firstTokenSeen = true
	if !m.prefillEnded.IsZero() {
		c.observeLatency(now, m.granted, m.decode, now.Sub(m.prefillEnded))
		c.observeSuccess(m.granted, m.decode)
	}
}

// Release ends a grant and frees all that it holds, or removes a queued demand. It
// reports whether the key was known.
func (c *Core) Release(now time.Time, key Key, o sched.Outcome) bool {
	m := c.demands[key]
	if m == nil {
		return false
	}
	if m.entry != nil {
		c.queue.Remove(m.entry)
		c.remove(m)
		return true
	}
	if m.prefill != nil {
		m.prefill.recordAbandoned(m.granted)
		c.releasePrefill(now, m)
	}
	x := m.decode
	x.slots--
	x.pieces -= m.decodePieces
	c.remove(m)
	if c.grantsByID[key.ID]--; c.grantsByID[key.ID] <= 0 {
		delete(c.grantsByID, key.ID)
	}
	if o != sched.Succeeded {
		c.observeOutcome(now, m.granted, x, o)
		return true
	}
	if c.kind == config.ServicePool {
		c.observeLatency(now, m.granted, x, now.Sub(m.granted))
	}
	c.observeSuccess(m.granted, x)
	return true
}

// ObserveRunning takes the list of requests that an engine runs. Requests without a
// grant here count against the engine's capacity until the next list, or until
// UntrackedLifetime has passed.
func (c *Core) ObserveRunning(now time.Time, name string, running []endpoint.Running) {
	x := c.targets[name]
	if x == nil {
		return
	}
	x.failedPolls = 0
	slots, pieces := countUntracked(running, c.Granted)
	x.setUntracked(slots, pieces, now.Add(c.tuning.UntrackedLifetime))
}

// ObservePollFailure records a failed poll. It makes the endpoint unusable only within
// the limits of mayEject.
func (c *Core) ObservePollFailure(name string) {
	x := c.targets[name]
	if x == nil || x.failedPolls >= c.tuning.UnreachableAfter {
		return
	}
	if x.failedPolls+1 >= c.tuning.UnreachableAfter && !c.mayEject(x) {
		return
	}
	x.failedPolls++
}

// ObserveCache applies the cache events of a prefill engine.
func (c *Core) ObserveCache(name string, events []endpoint.CacheEvent) {
	x := c.targets[name]
	if x == nil || x.cache == nil {
		return
	}
	for _, e := range events {
		if e.Removed {
			x.cache.remove(e.Hash)
		} else {
			x.cache.add(e.Hash)
		}
	}
}
