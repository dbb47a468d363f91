package pool

import (
	"time"

	"carawayrouter.example/router/internal/endpoint"
	"carawayrouter.example/router/internal/reqid"
	"carawayrouter.example/router/internal/sched"
)

// Held describes a grant that a holder has, for rebuilding a Core.
type Held struct {
	Key     Key
	Account string
	Prefill string // endpoint name; empty once the prefill ended
	Decode  string // endpoint name
	Pieces  int    // at the decode engine
	Prompt  int    // tokens
}

// Restore books a grant that a holder proved. It reports whether it is booked.
func (c *Core) Restore(now time.Time, h Held, lease time.Time) bool {
	if m, ok := c.demands[h.Key]; ok {
		m.lease = lease
		return m.entry == nil
	}
	dec := c.targets[h.Decode]
	if dec == nil {
		return false
	}
	m := &demand{key: h.Key, need: h.Pieces, decode: dec, granted: now, lease: lease}
	m.d = sched.Demand{ID: h.Key.ID, Account: h.Account, Pool: c.pool, Prompt: h.Prompt}
	c.hold(dec, h.Pieces)
	if pre := c.targets[h.Prefill]; pre != nil && pre.cache != nil {
		m.prefill = pre
		m.uncached = h.Prompt
		m.service = c.prefillTime(pre, h.Prompt)
		c.hold(pre, endpoint.Pieces(h.Prompt))
		pre.addPrefill(now, m.service)
	}
	c.add(m)
	c.ids[h.Key.ID]++
	return true
}

// Reconcile compares the demands of a holder with its own list, taken when the last
// Try that it had issued was the one given. Listed demands live on until lease,
// others that it had issued by then are over. It returns listed tries that are not
// known here.
func (c *Core) Reconcile(now time.Time, h Holder, listed []uint64, last uint64, lease time.Time) (unknown []uint64) {
	mine := c.holders[h]
	keep := make(map[uint64]bool, len(listed))
	for _, try := range listed {
		keep[try] = true
		if m := mine[try]; m != nil {
			m.lease = lease
			continue
		}
		unknown = append(unknown, try)
	}
	for try, m := range mine {
		if try <= last && !keep[try] {
			c.Release(now, m.key, sched.Abandoned)
		}
	}
	return unknown
}

// Pause stops or resumes granting. A paused Core queues and refuses.
func (c *Core) Pause(paused bool) { c.paused = paused }

// Lapse releases the demands whose lease ended and returns their keys.
func (c *Core) Lapse(now time.Time) []Key {
	var lapsed []Key
	for key, m := range c.demands {
		if !m.lease.IsZero() && m.lease.Before(now) {
			lapsed = append(lapsed, key)
		}
	}
	for _, key := range lapsed {
		c.Release(now, key, sched.Abandoned)
	}
	return lapsed
}

// Granted reports whether any grant of the request is booked.
func (c *Core) Granted(id reqid.ID) bool { return c.ids[id] > 0 }

// Lookup returns the decision for a granted demand; ok is false while it waits or
// if the key is not known.
func (c *Core) Lookup(key Key) (d Decision, ok bool) {
	m := c.demands[key]
	if m == nil || m.decode == nil {
		return Decision{}, false
	}
	d = Decision{Key: key, Decode: m.decode.ep}
	if m.prefill != nil {
		d.Prefill = m.prefill.ep
	}
	return d, true
}
