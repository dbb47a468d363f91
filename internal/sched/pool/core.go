// Package pool assigns the endpoints of one pool in one data centre: exact decode
// slots and KV memory, the prefill queues, and a fair queue of waiting demands.
//
// Core is the state machine: pure of sockets and goroutines, with the time as an
// argument. Dispatcher makes it usable by concurrent callers. Local is a
// sched.Scheduler on top of dispatchers in this process.
package pool

import (
	"math/rand/v2"
	"time"

	"carawayrouter.example/router/internal/config"
	"carawayrouter.example/router/internal/endpoint"
	"carawayrouter.example/router/internal/errkind"
	"carawayrouter.example/router/internal/fairqueue"
	"carawayrouter.example/router/internal/reqid"
	"carawayrouter.example/router/internal/sched"
)

// Key names one attempt of a request to get a grant. A process never uses a Try
// twice, so that reports of an earlier grant never touch a later one.
type Key struct {
	ID  reqid.ID
	Try uint64
}

// Holder is the process that a demand belongs to: the one that issued its request id.
type Holder struct {
	Instance    string
	Incarnation uint64
}

// Holder returns the process that issued the key's request id.
func (k Key) Holder() Holder { return Holder{k.ID.Instance, k.ID.Incarnation} }

// Decision is the end of one demand's wait: endpoints, or the reason for a refusal.
type Decision struct {
	Key     Key
	Prefill *config.Endpoint
	Decode  *config.Endpoint
	Err     *errkind.Error // nil for a grant
}

// Held describes a grant that a holder has, for rebuilding a Core.
type Held struct {
	Key     Key
	Account string
	Prefill string // endpoint name; empty once the prefill ended
	Decode  string // endpoint name
	Pieces  int    // at the decode engine
	Prompt  int    // tokens
}

// demand is one waiting or granted request.
type demand struct {
	key      Key
	d        sched.Demand
	need     int                               // decode pieces
	entry    *fairqueue.Entry[*demand]         // not nil while waiting
	prefill  *target                           // not nil while a prefill is outstanding
	decode   *target                           // not nil once granted
	placed   struct{ prefill, decode *target } // result of the last place
	service  time.Duration                     // predicted prefill time
	uncached int                               // tokens to prefill, as predicted
	granted  time.Time
	ready    time.Time // end of the prefill
	first    bool
	lease    time.Time // zero: never expires
}

// Core is the state machine of one pool in one data centre. It is not safe for
// concurrent use.
//
// Invariants: a target's slots and pieces equal the sum over the demands that name
// it; a Core never grants more than an endpoint's slots and pieces; a leaving
// endpoint is in no new grant.
type Core struct {
	pool    string
	kind    config.PoolKind
	tuning  Tuning
	rand    *rand.Rand
	queue   *fairqueue.Queue[*demand]
	demands map[Key]*demand
	ids     map[reqid.ID]int // granted demands by request id
	holders map[Holder]map[uint64]*demand
	targets map[string]*target
	prefill []*target
	decode  []*target // decode engines or plain services
	paused  bool      // nothing is granted

	served       float64 // cost granted since backlogSince
	backlogSince time.Time
	rate         ewma // cost granted a second while demands waited
}

// NewCore returns a Core without endpoints.
func NewCore(pool string, kind config.PoolKind, t Tuning, r *rand.Rand) *Core {
	if t.Order == FIFO {
		t.Queue.MaxPerAccount = t.Queue.MaxEntries
	}
	return &Core{
		pool:    pool,
		kind:    kind,
		tuning:  t,
		rand:    r,
		queue:   fairqueue.New[*demand](t.Queue),
		demands: map[Key]*demand{},
		ids:     map[reqid.ID]int{},
		holders: map[Holder]map[uint64]*demand{},
		targets: map[string]*target{},
	}
}

// role returns the targets of a role.
func (c *Core) role(r config.Role) []*target {
	if r == config.Prefill {
		return c.prefill
	}
	return c.decode
}

// DecodePieces returns the KV pieces that a demand needs at its decode engine.
func DecodePieces(d sched.Demand) int { return endpoint.Pieces(d.Prompt + d.MaxOutput) }

// SetEndpoints replaces the endpoints. Those in leaving, or configured as leaving,
// get no new work from now on. State is kept by name and address.
func (c *Core) SetEndpoints(eps []*config.Endpoint, leaving map[string]bool) {
	old := c.targets
	c.targets = make(map[string]*target, len(eps))
	c.prefill, c.decode = nil, nil
	for _, ep := range eps {
		x := old[ep.Name]
		if x == nil || x.ep.Addr != ep.Addr || x.ep.Role != ep.Role {
			x = &target{}
			if ep.Role == config.Prefill {
				x.cache = newHints(c.tuning.CacheHints)
			}
		} else {
			delete(old, ep.Name)
		}
		x.ep = ep
		x.leaving = ep.Leaving || leaving[ep.Addr]
		c.targets[ep.Name] = x
		if ep.Role == config.Prefill {
			c.prefill = append(c.prefill, x)
		} else {
			c.decode = append(c.decode, x)
		}
	}
	for _, x := range old {
		x.gone = true
	}
}

// Enqueue adds a demand. It is idempotent by key: a demand that is known already is
// left as it is. The error is a final refusal. Evicted is the refusal of another
// demand that lost its place.
func (c *Core) Enqueue(now time.Time, key Key, d sched.Demand, lease time.Time) (evicted *Decision, err *errkind.Error) {
	if m, ok := c.demands[key]; ok {
		m.lease = lease
		return nil, nil
	}
	m := &demand{key: key, d: d, lease: lease}
	if c.kind == config.ModelPool {
		m.need = DecodePieces(d)
	}
	if err := c.possible(m); err != nil {
		return nil, err
	}
	e := c.newEntry(m)
	if c.hopeless(now, e) {
		return nil, errkind.New(errkind.DeadlineUnreachable, "queue is too long for the route's longest wait").
			WithRetryAfter(time.Second)
	}
	out, full := c.queue.Push(e)
	if full != nil {
		return nil, queueFull()
	}
	m.entry = e
	c.add(m)
	if out != nil {
		c.forget(out.Value)
		evicted = &Decision{Key: out.Value.key, Err: queueFull()}
	}
	return evicted, nil
}

// add books a demand under its key and holder.
func (c *Core) add(m *demand) {
	c.demands[m.key] = m
	h := m.key.Holder()
	if c.holders[h] == nil {
		c.holders[h] = map[uint64]*demand{}
	}
	c.holders[h][m.key.Try] = m
}

// forget is the reverse of add.
func (c *Core) forget(m *demand) {
	delete(c.demands, m.key)
	h := m.key.Holder()
	delete(c.holders[h], m.key.Try)
	if len(c.holders[h]) == 0 {
		delete(c.holders, h)
	}
}

func queueFull() *errkind.Error {
	return errkind.New(errkind.QueueFull, "too many requests wait for the pool").WithRetryAfter(time.Second)
}

func noEndpoint() *errkind.Error {
	return errkind.New(errkind.NoEndpoint, "no endpoint of the pool can be used").WithRetryAfter(time.Second)
}

// newEntry makes the queue entry of a demand.
func (c *Core) newEntry(m *demand) *fairqueue.Entry[*demand] {
	wait := m.d.MaxWait
	if wait <= 0 {
		wait = c.tuning.DefaultMaxWait
	}
	e := &fairqueue.Entry[*demand]{
		Account:  m.d.Account,
		Weight:   m.d.Weight,
		Cost:     float64(max(1, m.d.Prompt+m.d.MaxOutput)),
		Class:    m.d.Class,
		Deadline: m.d.Arrived.Add(wait),
		Value:    m,
	}
	if c.tuning.Order == FIFO {
		e.Account, e.Class, e.Weight = "", config.Interactive, 1
		return e
	}
	// A demand that cannot meet its target even alone is not treated as late.
	if slack := m.d.FirstToken - c.typicalPrefill(m.d.Prompt); m.d.FirstToken > 0 && slack > 0 {
		e.Due = m.d.Arrived.Add(slack)
	}
	return e
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
		for _, x := range c.prefill {
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
	for _, x := range c.prefill {
		if c.open(now, x) && c.prefillRoom(now, x, 0) {
			return true
		}
	}
	return false
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
	return x.slots == 0 || x.backlog(now) < c.tuning.MaxPrefillBacklog
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
	for _, x := range c.rotated(c.prefill) {
		if !c.open(now, x) || !c.prefillRoom(now, x, need) || excluded(x, &m.d) {
			continue
		}
		u := max(0, m.d.Prompt-x.cache.match(m.d.Prefix)*endpoint.PieceTokens)
		s := c.prefillTime(x, u) + time.Duration(m.d.Prompt)*c.tuning.TransferPerToken
		if end := x.backlog(now) + s; best == nil || end < bestEnd {
			best, bestEnd, service, uncached = x, end, s, u
		}
	}
	return best, service, uncached
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
	seconds, work := 0.0, 0.0
	for _, x := range c.prefill {
		seconds += x.workTime
		work += x.workToken
	}
	if work == 0 {
		return time.Duration(tokens) * c.tuning.PrefillPerToken
	}
	return time.Duration(float64(tokens) * seconds / work * float64(time.Second))
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
		x.measure(now, m.granted, m.uncached, transfer)
		c.observeRate(now, m.granted, x)
		x.succeed(m.granted)
	default:
		c.judge(now, m.granted, x, o)
	}
}

// judge takes an outcome other than a success.
func (c *Core) judge(now, granted time.Time, x *target, o sched.Outcome) {
	switch o {
	case sched.Failed:
		c.failed(now, granted, x)
	case sched.Full:
		x.full(now, granted, &c.tuning)
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
		m.decode.succeed(m.granted)
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
	x.succeed(m.granted)
	return true
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

// Refuse removes the waiting demands that no endpoint can take any more, for
// example after SetEndpoints.
func (c *Core) Refuse() []Decision {
	var out []Decision
	c.queue.Each(func(e *fairqueue.Entry[*demand]) {
		if err := c.possible(e.Value); err != nil {
			out = append(out, Decision{Key: e.Value.key, Err: err})
		}
	})
	for _, d := range out {
		m := c.demands[d.Key]
		c.queue.Remove(m.entry)
		c.forget(m)
	}
	return out
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

// Load sums up a Core for the choice between data centres.
type Load struct {
	Slots   int // of endpoints that may get work
	Free    int
	Waiting int
}

// Load returns the present load.
func (c *Core) Load(now time.Time) Load {
	l := Load{Waiting: c.queue.Len()}
	for _, x := range c.decode {
		if !c.open(now, x) {
			continue
		}
		slots, _ := x.held(now)
		l.Slots += x.limit(&c.tuning)
		l.Free += max(0, x.limit(&c.tuning)-slots)
	}
	return l
}

// Waiting returns the number of waiting demands.
func (c *Core) Waiting() int { return c.queue.Len() }
