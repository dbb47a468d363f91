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
	c.freePrefill(now, m)
	m.ready = now
	switch o {
	case sched.Succeeded:
		transfer := time.Duration(m.d.Prompt) * c.tuning.TransferPerToken
		c.measure(now, m.granted, x, m.uncached, transfer)
		c.observeRate(now, m.granted, x)
		c.succeeded(m.granted, x)
	default:
		c.judge(now, m.granted, x, o)
	}
}

// measure learns the rate of a prefill engine and of the pool.
func (c *Core) measure(now, granted time.Time, x *target, tokens int, transfer time.Duration) {
	seconds, work := x.workTime, x.workToken
	x.measure(now, granted, tokens, transfer)
	if x.gone {
		return
	}
	c.workTime += x.workTime - seconds
	c.workToken += x.workToken - work
}

// judge takes an outcome other than a success.
func (c *Core) judge(now, granted time.Time, x *target, o sched.Outcome) {
	switch o {
	case sched.Failed:
		c.failed(now, granted, x)
	case sched.Full:
		x.full(now, granted, &c.tuning)
	case sched.Unreachable:
		if c.kind == config.ServicePool {
			c.failed(now, granted, x) // services are not polled
			return
		}
		// Nobody listens there: it waits for a poll to succeed, also where it is
		// the last endpoint, because waiting is better than failing.
		x.badPolls = c.tuning.UnreachableAt
		x.abandon(granted)
	default:
		x.abandon(granted)
	}
}

// observeRate judges a prefill engine by its time for one piece.
func (c *Core) observeRate(now, granted time.Time, x *target) {
	if x.workToken <= 0 {
		return
	}
	perPiece := x.workTime / x.workToken * endpoint.PieceTokens
	c.observeLatency(now, granted, x, time.Duration(perPiece*float64(time.Second)))
}

// freePrefill gives back the prefill part of a grant.
func (c *Core) freePrefill(now time.Time, m *demand) {
	x := m.prefill
	m.prefill = nil
	x.slots--
	x.pieces -= endpoint.Pieces(m.d.Prompt)
	x.endPrefill(now, m.service)
}

// FirstToken records that the first token of a grant arrived.
func (c *Core) FirstToken(now time.Time, key Key) {
	m := c.demands[key]
	if m == nil || m.decode == nil || m.first {
		return
	}
	m.first = true
	if !m.ready.IsZero() {
		c.observeLatency(now, m.granted, m.decode, now.Sub(m.ready))
		c.succeeded(m.granted, m.decode)
	}
}

// Release ends a grant, or the wait for one, and gives back all that it holds. It
// reports whether the key was known.
func (c *Core) Release(now time.Time, key Key, o sched.Outcome) bool {
	m := c.demands[key]
	if m == nil {
		return false
	}
	if m.entry != nil {
		c.queue.Remove(m.entry)
		c.forget(m)
		return true
	}
	if m.prefill != nil {
		m.prefill.abandon(m.granted)
		c.freePrefill(now, m)
	}
	x := m.decode
	x.slots--
	x.pieces -= m.need
	c.forget(m)
	if c.ids[key.ID]--; c.ids[key.ID] <= 0 {
		delete(c.ids, key.ID)
	}
	if o != sched.Succeeded {
		c.judge(now, m.granted, x, o)
		return true
	}
	if c.kind == config.ServicePool {
		c.observeLatency(now, m.granted, x, now.Sub(m.granted))
	}
	c.succeeded(m.granted, x)
	return true
}

// ObserveRunning takes an engine's own list of what it runs. What no grant explains
// counts against the engine until the next list or for a bounded time.
func (c *Core) ObserveRunning(now time.Time, name string, running []endpoint.Running) {
	x := c.targets[name]
	if x == nil {
		return
	}
	x.badPolls = 0
	slots, pieces := countForeign(running, c.Granted)
	x.setForeign(slots, pieces, now.Add(c.tuning.ForeignLifetime))
}

// ObserveSilent records a failed poll.
func (c *Core) ObserveSilent(name string) {
	x := c.targets[name]
	if x == nil || x.badPolls >= c.tuning.UnreachableAt {
		return
	}
	if x.badPolls+1 >= c.tuning.UnreachableAt && !c.mayEject(x) {
		return
	}
	x.badPolls++
}

// ObserveCache takes cache events of a prefill engine as hints.
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
