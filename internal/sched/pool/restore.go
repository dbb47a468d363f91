package pool

import (
	"time"

	"carawayrouter.example/router/internal/endpoint"
	"carawayrouter.example/router/internal/reqid"
	"carawayrouter.example/router/internal/sched"
)

// Held describes a grant as its holder reports it, for rebuilding a Core.
type Held struct {
	Key     Key
	Account string
	Prefill string // endpoint name; empty once the prefill ended
	Decode  string // endpoint name
	Pieces  int    // at the decode engine
	Prompt  int    // tokens
}

// Restore adds a grant that its holder reported. It reports whether the grant is
// allocated.
func (c *Core) Restore(now time.Time, h Held, lease time.Time) bool {
	if m, ok := c.demands[h.Key]; ok {
		m.lease = lease
		return m.entry == nil
	}
	dec := c.targets[h.Decode]
	if dec == nil {
		return false
	}
	m := &demand{key: h.Key, decodePieces: h.Pieces, decode: dec, granted: now, lease: lease}
	m.d = sched.Demand{ID: h.Key.ID, Account: h.Account, Pool: c.pool, Prompt: h.Prompt}
	c.allocate(dec, h.Pieces)
	if pre := c.targets[h.Prefill]; pre != nil && pre.cache != nil {
		m.prefill = pre
		m.uncachedTokens = h.Prompt
		m.predictedPrefill = c.prefillTime(pre, h.Prompt)
		c.allocate(pre, endpoint.Pieces(h.Prompt))
		pre.addPrefill(now, m.predictedPrefill)
	}
	c.add(m)
	c.grantsByID[h.Key.ID]++
	return true
}

// Reconcile compares the known demands of a holder with the holder's list, taken when
// the last Try it had issued was last. The leases of listed demands are extended;
// demands up to last that are not listed are released. It returns the listed tries
// that are unknown.
func (c *Core) Reconcile(now time.Time, h Holder, listed []uint64, last uint64, lease time.Time) (unknown []uint64) {
	demands := c.byHolder[h]
	keep := make(map[uint64]bool, len(listed))
	for _, try := range listed {
		keep[try] = true
		if m := demands[try]; m != nil {
			m.lease = lease
			continue
		}
		unknown = append(unknown, try)
	}
	for try, m := range demands {
		if try <= last && !keep[try] {
			c.Release(now, m.key, sched.Abandoned)
		}
	}
	return unknown
}

// Pause stops or resumes granting. A paused Core still queues and refuses demands.
func (c *Core) Pause(paused bool) { c.paused = paused }

// ExpireLeases releases the demands whose lease has expired and returns their keys.
func (c *Core) ExpireLeases(now time.Time) []Key {
	var expired []Key
	for key, m := range c.demands {
		if !m.lease.IsZero() && m.lease.Before(now) {
			expired = append(expired, key)
		}
	}
	for _, key := range expired {
		c.Release(now, key, sched.Abandoned)
	}
	return expired
}

// Granted reports whether the request has any grant.
func (c *Core) Granted(id reqid.ID) bool { return c.grantsByID[id] > 0 }

// Lookup returns the decision for a granted demand. ok is false if the demand is still
// queued or the key is unknown.
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
