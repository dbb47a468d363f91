package pool

import (
	"slices"
	"time"

	"carawayrouter.example/router/internal/config"
	"carawayrouter.example/router/internal/endpoint"
	"carawayrouter.example/router/internal/errkind"
	"carawayrouter.example/router/internal/fairqueue"
	"carawayrouter.example/router/internal/sched"
)

// slack returns how long a demand may be queued and still meet its latency target.
// It returns 0 if the demand has no target or would miss it even on an idle engine;
// the fair queue never treats such a demand as late.
func (c *Core) slack(m *demand) time.Duration {
	if m.d.FirstToken <= 0 {
		return 0
	}
	alone := c.typicalPrefill(m.d.Prompt) + time.Duration(m.d.Prompt)*c.tuning.TransferPerToken
	left := m.d.FirstToken - alone
	return max(left-c.tuning.MaxPrefillBacklog-m.d.FirstToken/20, left/2, 0)
}

// checkFeasible returns an error if no configured endpoint can serve the demand.
func (c *Core) checkFeasible(m *demand) *errkind.Error {
	usable, fits := false, false
	for _, x := range c.decode {
		if x.leaving || excluded(x, &m.d) {
			continue
		}
		usable = true
		fits = fits || x.ep.Pieces <= 0 || m.decodePieces <= x.ep.Pieces
	}
	if !usable {
		return noEndpoint()
	}
	if c.kind == config.ModelPool {
		usable = false
		prompt, room := endpoint.Pieces(m.d.Prompt), false
		for _, x := range slices.Concat(c.prefill, c.remote) {
			if x.leaving || excluded(x, &m.d) {
				continue
			}
			usable = true
			room = room || x.ep.Pieces <= 0 || prompt <= x.ep.Pieces
		}
		if !usable {
			return noEndpoint()
		}
		fits = fits && room
	}
	if !fits {
		return errkind.New(errkind.TooLarge, "prompt and output exceed the memory of the pool's engines")
	}
	return nil
}

// missesDeadline reports whether an entry is predicted to start after its deadline.
func (c *Core) missesDeadline(now time.Time, e *fairqueue.Entry[*demand]) bool {
	const minSamples = 3
	left := e.Deadline.Sub(now)
	if left <= 0 {
		return true
	}
	if c.queue.Len() == 0 || c.serviceRate.samples < minSamples || c.serviceRate.value <= 0 {
		return false
	}
	return c.queue.CostAhead(e)/c.serviceRate.value > left.Seconds()*c.tuning.RefusalMargin
}

// Dispatch grants as many waiting demands as there is capacity for and refuses those
// whose deadline has passed.
func (c *Core) Dispatch(now time.Time) []Decision {
	var out []Decision
	for _, e := range c.queue.Expire(now) {
		c.remove(e.Value)
		late := errkind.New(errkind.DeadlineUnreachable, "request waited as long as its route allows")
		out = append(out, Decision{Key: e.Value.key, Err: late.WithRetryAfter(time.Second)})
	}
	for _, x := range c.decode {
		x.reserved = false
	}
	for c.queue.Len() > 0 && !c.paused && c.hasCapacity(now) {
		e := c.queue.Next(now, func(e *fairqueue.Entry[*demand], starved bool) bool {
			return c.place(now, e.Value, starved)
		})
		if e == nil {
			break
		}
		out = append(out, c.grant(now, e.Value))
		c.grantedCost += e.Cost
	}
	c.updateServiceRate(now)
	return out
}

// updateServiceRate measures the cost granted per second while demands are queued.
func (c *Core) updateServiceRate(now time.Time) {
	const window = 500 * time.Millisecond
	if c.queue.Len() == 0 {
		c.backlogSince, c.grantedCost = time.Time{}, 0
		return
	}
	if c.backlogSince.IsZero() {
		c.backlogSince, c.grantedCost = now, 0
		return
	}
	if d := now.Sub(c.backlogSince); d >= window {
		c.serviceRate.add(c.grantedCost / d.Seconds())
		c.backlogSince, c.grantedCost = now, 0
	}
}

// hasCapacity reports whether a demand of minimal size could be placed.
func (c *Core) hasCapacity(now time.Time) bool {
	room := false
	for _, x := range c.decode {
		if c.available(now, x) && !x.reserved && x.fits(now, &c.tuning, 0) {
			room = true
			break
		}
	}
	if !room || c.kind != config.ModelPool {
		return room
	}
	for _, x := range c.prefillCandidates(now, nil) {
		if c.available(now, x) && c.acceptsPrefill(now, x, 0) {
			return true
		}
	}
	return false
}

// prefillCandidates returns the prefill engines to choose from: the local ones, or
// those of other data centres if no local one is available.
func (c *Core) prefillCandidates(now time.Time, d *sched.Demand) []*target {
	if len(c.remote) == 0 {
		return c.prefill
	}
	for _, x := range c.prefill {
		if c.available(now, x) && (d == nil || !excluded(x, d)) {
			return c.prefill
		}
	}
	return c.remote
}

// available reports whether x may be given new work.
func (c *Core) available(now time.Time, x *target) bool {
	return !x.leaving && x.health.available(now, &c.tuning)
}

// acceptsPrefill reports whether a prefill may be sent to x. The engine's own queue is
// kept short, so that the fair queue decides the order of service.
func (c *Core) acceptsPrefill(now time.Time, x *target, need int) bool {
	if !x.fits(now, &c.tuning, need) {
		return false
	}
	return x.slots == 0 || c.backlog(now, x) < c.tuning.MaxPrefillBacklog
}

// place chooses endpoints for a demand: decode slot and memory first, then the
// prefill engine with the earliest predicted first token.
func (c *Core) place(now time.Time, m *demand, starved bool) bool {
	dec := c.pickDecode(now, m)
	if dec == nil {
		if starved {
			c.reserve(now, m)
		}
		return false
	}
	m.placement.decode, m.placement.prefill = dec, nil
	if c.kind != config.ModelPool {
		return true
	}
	pre, service, uncached := c.pickPrefill(now, m)
	m.placement.prefill, m.predictedPrefill, m.uncachedTokens = pre, service, uncached
	return pre != nil
}

// pickDecode returns the least utilized decode engine or service that fits the demand.
func (c *Core) pickDecode(now time.Time, m *demand) *target {
	var best *target
	bestFill := 0.0
	for _, x := range c.rotated(c.decode) {
		if x.reserved || !c.available(now, x) || !x.fits(now, &c.tuning, m.decodePieces) || excluded(x, &m.d) {
			continue
		}
		if f := x.utilization(now, &c.tuning); best == nil || f < bestFill {
			best, bestFill = x, f
		}
	}
	return best
}

// reserve keeps the engine with the most free memory for a starved demand until the
// end of the current Dispatch.
func (c *Core) reserve(now time.Time, m *demand) {
	var best *target
	most := -1
	for _, x := range c.decode {
		if x.reserved || !c.available(now, x) || excluded(x, &m.d) || x.ep.Pieces > 0 && x.ep.Pieces < m.decodePieces {
			continue
		}
		_, pieces := x.inUse(now)
		if free := x.ep.Pieces - pieces; best == nil || free > most {
			best, most = x, free
		}
	}
	if best != nil {
		best.reserved = true
	}
}

// pickPrefill returns the prefill engine with the earliest predicted end, its
// predicted service time and the number of tokens it has to compute.
func (c *Core) pickPrefill(now time.Time, m *demand) (best *target, service time.Duration, uncached int) {
	var bestEnd time.Duration
	need := endpoint.Pieces(m.d.Prompt)
	for _, x := range c.rotated(c.prefillCandidates(now, &m.d)) {
		if !c.available(now, x) || !c.acceptsPrefill(now, x, need) || excluded(x, &m.d) {
			continue
		}
		u := max(0, m.d.Prompt-x.cache.match(m.d.Prefix)*endpoint.PieceTokens)
		s := c.prefillTime(x, u) + time.Duration(m.d.Prompt)*c.tuning.TransferPerToken
		if end := c.backlog(now, x) + s; best == nil || end < bestEnd {
			best, bestEnd, service, uncached = x, end, s, u
		}
	}
	return best, service, uncached
}

// backlog predicts how long a prefill sent to x now would be queued behind the
// outstanding prefills and behind the untracked work that the engine reported.
func (c *Core) backlog(now time.Time, x *target) time.Duration {
	d := x.backlog(now)
	if x.untrackedPieces == 0 || !now.Before(x.untrackedUntil) {
		return d
	}
	observed := x.untrackedUntil.Add(-c.tuning.UntrackedLifetime)
	untracked := c.prefillTime(x, x.untrackedPieces*endpoint.PieceTokens) - now.Sub(observed)
	return d + max(0, untracked)
}

// rotated iterates over targets from a random start, to spread load over equal ones.
func (c *Core) rotated(all []*target) func(yield func(int, *target) bool) {
	return func(yield func(int, *target) bool) {
		if len(all) == 0 {
			return
		}
		at := c.rand.IntN(len(all))
		for i := range all {
			if !yield(i, all[(at+i)%len(all)]) {
				return
			}
		}
	}
}

// excluded reports whether the demand excludes x.
func excluded(x *target, d *sched.Demand) bool {
	for _, name := range d.Exclude {
		if name == x.ep.Name {
			return true
		}
	}
	return false
}

// prefillTime predicts the time that x needs to prefill the given tokens.
func (c *Core) prefillTime(x *target, tokens int) time.Duration {
	if x.prefillTokens > 0 {
		return time.Duration(float64(tokens) * x.prefillSeconds / x.prefillTokens * float64(time.Second))
	}
	return c.typicalPrefill(tokens)
}

// typicalPrefill predicts the time to prefill tokens at the pool's average rate.
func (c *Core) typicalPrefill(tokens int) time.Duration {
	if c.prefillTokens <= 0 {
		return time.Duration(tokens) * c.tuning.PrefillPerToken
	}
	return time.Duration(float64(tokens) * c.prefillSeconds / c.prefillTokens * float64(time.Second))
}

// grant allocates the endpoints that place chose for m.
func (c *Core) grant(now time.Time, m *demand) Decision {
	m.entry = nil
	m.granted = now
	c.grantsByID[m.key.ID]++
	m.decode = m.placement.decode
	c.allocate(m.decode, m.decodePieces)
	out := Decision{Key: m.key, Decode: m.decode.ep}
	if m.prefill = m.placement.prefill; m.prefill != nil {
		c.allocate(m.prefill, endpoint.Pieces(m.d.Prompt))
		m.prefill.addPrefill(now, m.predictedPrefill)
		for _, hash := range m.d.Prefix {
			m.prefill.cache.add(hash)
		}
		out.Prefill = m.prefill.ep
	}
	return out
}

// allocate takes a slot and pieces at x. A request to an ejected endpoint is a probe.
func (c *Core) allocate(x *target, pieces int) {
	x.slots++
	x.pieces += pieces
	if x.ejected {
		x.probing = true
	}
}
