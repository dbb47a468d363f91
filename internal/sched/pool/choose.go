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

// slack returns how long a demand may wait and still meet its latency target, or 0
// if it has none or cannot meet it even alone. Such a demand is never late.
func (c *Core) slack(m *demand) time.Duration {
	if m.d.FirstToken <= 0 {
		return 0
	}
	alone := c.typicalPrefill(m.d.Prompt) + time.Duration(m.d.Prompt)*c.tuning.TransferPerToken
	left := m.d.FirstToken - alone
	return max(left-c.tuning.MaxPrefillBacklog-m.d.FirstToken/20, left/2, 0)
}

// possible returns the refusal of a demand that no configured endpoint can take.
func (c *Core) possible(m *demand) *errkind.Error {
	usable, fits := false, false
	for _, x := range c.decode {
		if x.leaving || excluded(x, &m.d) {
			continue
		}
		usable = true
		fits = fits || x.ep.Pieces <= 0 || m.need <= x.ep.Pieces
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

// hopeless reports whether the predicted start of an entry is past its deadline.
func (c *Core) hopeless(now time.Time, e *fairqueue.Entry[*demand]) bool {
	const minSamples = 3
	left := e.Deadline.Sub(now)
	if left <= 0 {
		return true
	}
	if c.queue.Len() == 0 || c.rate.samples < minSamples || c.rate.value <= 0 {
		return false
	}
	return c.queue.CostAhead(e)/c.rate.value > left.Seconds()*c.tuning.RefusalMargin
}

// Dispatch grants what can be granted and refuses what waited too long.
func (c *Core) Dispatch(now time.Time) []Decision {
	var out []Decision
	for _, e := range c.queue.Expire(now) {
		c.forget(e.Value)
		late := errkind.New(errkind.DeadlineUnreachable, "request waited as long as its route allows")
		out = append(out, Decision{Key: e.Value.key, Err: late.WithRetryAfter(time.Second)})
	}
	for _, x := range c.decode {
		x.reserved = false
	}
	for c.queue.Len() > 0 && !c.paused && c.anyRoom(now) {
		e := c.queue.Next(now, func(e *fairqueue.Entry[*demand], starved bool) bool {
			return c.place(now, e.Value, starved)
		})
		if e == nil {
			break
		}
		out = append(out, c.grant(now, e.Value))
		c.served += e.Cost
	}
	c.learnRate(now)
	return out
}

// learnRate measures the cost granted a second over times when demands waited.
func (c *Core) learnRate(now time.Time) {
	const window = 500 * time.Millisecond
	if c.queue.Len() == 0 {
		c.backlogSince, c.served = time.Time{}, 0
		return
	}
	if c.backlogSince.IsZero() {
		c.backlogSince, c.served = now, 0
		return
	}
	if d := now.Sub(c.backlogSince); d >= window {
		c.rate.add(c.served / d.Seconds())
		c.backlogSince, c.served = now, 0
	}
}

// anyRoom reports whether some endpoints could take a small demand.
func (c *Core) anyRoom(now time.Time) bool {
	room := false
	for _, x := range c.decode {
		if c.open(now, x) && !x.reserved && x.fits(now, &c.tuning, 0) {
			room = true
			break
		}
	}
	if !room || c.kind != config.ModelPool {
		return room
	}
	for _, x := range c.prefills(now, nil) {
		if c.open(now, x) && c.prefillRoom(now, x, 0) {
			return true
		}
	}
	return false
}

// prefills returns the prefill engines to choose from: the own ones, or those of
// other data centres where no own one can be used.
func (c *Core) prefills(now time.Time, d *sched.Demand) []*target {
	if len(c.remote) == 0 {
		return c.prefill
	}
	for _, x := range c.prefill {
		if c.open(now, x) && (d == nil || !excluded(x, d)) {
			return c.prefill
		}
	}
	return c.remote
}

// open reports whether x may get new work.
func (c *Core) open(now time.Time, x *target) bool {
	return !x.leaving && x.health.open(now, &c.tuning)
}

// prefillRoom reports whether a prefill may be added to x: its predicted queue is
// short, so that the order of service stays with the fair queue.
func (c *Core) prefillRoom(now time.Time, x *target, need int) bool {
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
	m.placed.decode, m.placed.prefill = dec, nil
	if c.kind != config.ModelPool {
		return true
	}
	pre, service, uncached := c.pickPrefill(now, m)
	m.placed.prefill, m.service, m.uncached = pre, service, uncached
	return pre != nil
}

// pickDecode returns the emptiest decode engine, or service, that takes the demand.
func (c *Core) pickDecode(now time.Time, m *demand) *target {
	var best *target
	bestFill := 0.0
	for _, x := range c.rotated(c.decode) {
		if x.reserved || !c.open(now, x) || !x.fits(now, &c.tuning, m.need) || excluded(x, &m.d) {
			continue
		}
		if f := x.fill(now, &c.tuning); best == nil || f < bestFill {
			best, bestFill = x, f
		}
	}
	return best
}

// reserve keeps the engine with the most free memory for a starved demand until the
// end of this Dispatch.
func (c *Core) reserve(now time.Time, m *demand) {
	var best *target
	most := -1
	for _, x := range c.decode {
		if x.reserved || !c.open(now, x) || excluded(x, &m.d) || x.ep.Pieces > 0 && x.ep.Pieces < m.need {
			continue
		}
		_, pieces := x.held(now)
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
	for _, x := range c.rotated(c.prefills(now, &m.d)) {
		if !c.open(now, x) || !c.prefillRoom(now, x, need) || excluded(x, &m.d) {
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

// backlog predicts how long a prefill added to x now would wait, behind the
// outstanding ones and behind what the engine reported besides them.
func (c *Core) backlog(now time.Time, x *target) time.Duration {
	d := x.backlog(now)
	if x.foreignPieces == 0 || !now.Before(x.foreignUntil) {
		return d
	}
	seen := x.foreignUntil.Add(-c.tuning.ForeignLifetime)
	foreign := c.prefillTime(x, x.foreignPieces*endpoint.PieceTokens) - now.Sub(seen)
	return d + max(0, foreign)
}

// rotated visits targets from a random start, so that equals are used alike.
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

// excluded reports whether the demand must not use x.
func excluded(x *target, d *sched.Demand) bool {
	for _, name := range d.Exclude {
		if name == x.ep.Name {
			return true
		}
	}
	return false
}

// prefillTime predicts the time to compute tokens at x.
func (c *Core) prefillTime(x *target, tokens int) time.Duration {
	if x.workToken > 0 {
		return time.Duration(float64(tokens) * x.workTime / x.workToken * float64(time.Second))
	}
	return c.typicalPrefill(tokens)
}

// typicalPrefill predicts the time to compute tokens at an engine of the pool.
func (c *Core) typicalPrefill(tokens int) time.Duration {
	if c.workToken <= 0 {
		return time.Duration(tokens) * c.tuning.PrefillPerToken
	}
	return time.Duration(float64(tokens) * c.workTime / c.workToken * float64(time.Second))
}

// grant books the placement of m.
func (c *Core) grant(now time.Time, m *demand) Decision {
	m.entry = nil
	m.granted = now
	c.ids[m.key.ID]++
	m.decode = m.placed.decode
	c.hold(m.decode, m.need)
	out := Decision{Key: m.key, Decode: m.decode.ep}
	if m.prefill = m.placed.prefill; m.prefill != nil {
		c.hold(m.prefill, endpoint.Pieces(m.d.Prompt))
		m.prefill.addPrefill(now, m.service)
		for _, hash := range m.d.Prefix {
			m.prefill.cache.add(hash)
		}
		out.Prefill = m.prefill.ep
	}
	return out
}

// hold books a slot and pieces at x; a request to an ejected endpoint is its probe.
func (c *Core) hold(x *target, pieces int) {
	x.slots++
	x.pieces += pieces
	if x.ejected {
		x.probing = true
	}
}
