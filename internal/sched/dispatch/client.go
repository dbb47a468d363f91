package dispatch

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"carawayrouter.example/router/internal/config"
	"carawayrouter.example/router/internal/errkind"
	"carawayrouter.example/router/internal/reqid"
	"carawayrouter.example/router/internal/sched"
	"carawayrouter.example/router/internal/sched/pool"
)

const (
	maxPlaces  = 4                     // data centres tried
	maxMoves   = 5                     // dispatchers tried in one data centre
	meetTime   = 10 * time.Second      // in which a new process meets the other data centres
	movePause  = 20 * time.Millisecond // before the next one, times the number tried
	spillWait  = 200 * time.Millisecond
	spillPause = 10 * time.Millisecond // between two of them
	maxSpills  = 4                     // requests that try another data centre at the same moment
)

// ticket is one demand of this instance, from its submission until its grant is
// released or it is refused. Fields home and held are guarded by Node.mu.
type ticket struct {
	try    uint64
	demand sched.Demand
	place  Place
	ch     chan result

	home string     // address of the dispatcher
	held *pool.Held // nil while waiting

	// Of a ticket that waits at a link, guarded by link.mu.
	sent  time.Time     // when the demand was sent last
	pause time.Duration // until it is sent again
}

// result is the end of a ticket's wait.
type result struct {
	dec pool.Decision
	err error // errMoved, or an *errkind.Error for a grant that cannot be used
}

func (t *ticket) key() pool.Key { return pool.Key{ID: t.demand.ID, Try: t.try} }

// answer ends the wait; later answers have no effect.
func (t *ticket) answer(r result) {
	select {
	case t.ch <- r:
	default:
	}
}

// Acquire implements sched.Scheduler.
func (n *Node) Acquire(ctx context.Context, d sched.Demand) (*sched.Grant, error) {
	var refusal error
	places := n.candidates(d.Pool)
	for _, p := range places[:min(len(places), maxPlaces)] {
		g, err := n.acquireAt(ctx, p, d)
		if err == nil {
			return g, nil
		}
		if refusal == nil {
			refusal = err
		}
		if !n.elsewhere(ctx, d, err) {
			break
		}
	}
	if refusal == nil {
		refusal = errkind.New(errkind.NoEndpoint, "the pool has no endpoints").WithRetryAfter(time.Second)
	}
	return nil, refusal
}

// elsewhere reports whether another data centre may grant what one refused.
func (n *Node) elsewhere(ctx context.Context, d sched.Demand, err error) bool {
	if ctx.Err() != nil {
		return false
	}
	switch errkind.From(err).Kind {
	case errkind.NoEndpoint, errkind.QueueFull:
		return true
	case errkind.DeadlineUnreachable:
		return d.MaxWait > 0 && n.opts.Clock.Now().Before(d.Arrived.Add(d.MaxWait))
	}
	return false
}

// acquireAt asks the dispatcher of a place, and the next one where that cannot be
// reached or is no longer the place's dispatcher.
func (n *Node) acquireAt(ctx context.Context, p Place, d sched.Demand) (*sched.Grant, error) {
	for moves := 1; ; moves++ {
		addr, ok := n.home(p)
		if !ok && n.metAll(d) {
			return nil, unreachable(p)
		}
		if !ok {
			if err := n.pause(ctx, moves); err != nil {
				return nil, err
			}
			continue
		}
		g, err := n.await(ctx, n.issue(d, p, addr))
		if !errors.Is(err, errMoved) {
			return g, err
		}
		if n.context().Err() != nil {
			return nil, errkind.New(errkind.ShuttingDown, "instance is shutting down")
		}
		if moves == maxMoves || p.DataCentre != n.self().DataCentre {
			return nil, unreachable(p)
		}
		if err := n.pause(ctx, moves); err != nil {
			return nil, err
		}
	}
}

// pause waits before the next look for a dispatcher.
func (n *Node) pause(ctx context.Context, moves int) error {
	select {
	case <-ctx.Done():
		return endedWait(ctx.Err())
	case <-n.opts.Clock.After(time.Duration(min(moves, maxMoves)) * movePause):
		return nil
	}
}

// metAll reports whether an instance that is not in the view is missing rather than
// not met yet: this process has run for long enough, or the demand cannot wait.
func (n *Node) metAll(d sched.Demand) bool {
	now := n.opts.Clock.Now()
	return now.Sub(n.started) >= meetTime || !now.Before(d.Arrived.Add(d.MaxWait))
}

func unreachable(p Place) error {
	return errkind.New(errkind.NoEndpoint, "no dispatcher of the pool can be reached in "+p.DataCentre).WithRetryAfter(time.Second)
}

func endedWait(cause error) error {
	if errors.Is(cause, context.DeadlineExceeded) {
		return errkind.Wrap(cause, errkind.DeadlineUnreachable, errkind.NotRun, "deadline passed while the request waited")
	}
	return errkind.Wrap(cause, errkind.ClientGone, errkind.NotRun, "request ended while it waited")
}

// issue makes a ticket and submits it.
func (n *Node) issue(d sched.Demand, p Place, addr string) *ticket {
	t := &ticket{demand: d, place: p, home: addr, ch: make(chan result, 1)}
	n.mu.Lock()
	n.last++
	t.try = n.last
	n.tickets[t.try] = t
	n.ids[d.ID]++
	h := n.hints[p]
	h.asked = n.opts.Clock.Now()
	n.hints[p] = h
	n.mu.Unlock()
	n.submit(t, addr)
	return t
}

// submit sends a ticket's demand to a dispatcher.
func (n *Node) submit(t *ticket, addr string) {
	if addr != n.self().Addr {
		n.link(t.place, addr).submit(t)
		return
	}
	h, err := n.host(t.place)
	if err != nil {
		t.answer(result{err: errMoved})
		return
	}
	h.SubmitFunc(t.key(), t.demand, n.lease(), func(dec pool.Decision) { t.answer(result{dec: dec}) })
}

// await waits for a ticket's answer.
func (n *Node) await(ctx context.Context, t *ticket) (*sched.Grant, error) {
	look := n.opts.Clock.After(spillInterval)
	for {
		select {
		case r := <-t.ch:
			return n.settle(t, r)
		default:
		}
		select {
		case r := <-t.ch:
			return n.settle(t, r)
		case <-ctx.Done():
			n.drop(t, sched.Abandoned)
			return nil, endedWait(ctx.Err())
		case <-n.changes():
			if addr, ok := n.home(t.place); !ok || addr != n.homeOf(t) {
				n.drop(t, sched.Abandoned)
				return nil, errMoved
			}
		case <-look:
			if g := n.spill(ctx, t); g != nil {
				n.drop(t, sched.Abandoned)
				return g, nil
			}
			look = n.opts.Clock.After(spillInterval)
		}
	}
}

// settle ends a ticket's wait with a grant or a refusal.
func (n *Node) settle(t *ticket, r result) (*sched.Grant, error) {
	if errors.Is(r.err, errMoved) {
		n.remove(t)
		return nil, r.err
	}
	if r.err != nil {
		n.drop(t, sched.Abandoned)
		return nil, r.err
	}
	if r.dec.Err != nil && r.dec.Err.Kind == errkind.ShuttingDown {
		n.remove(t) // the dispatcher ends; another takes over
		return nil, errMoved
	}
	if r.dec.Err != nil {
		n.remove(t)
		return nil, r.dec.Err
	}
	held := &pool.Held{
		Key:     t.key(),
		Account: t.demand.Account,
		Decode:  r.dec.Decode.Name,
		Prompt:  t.demand.Prompt,
	}
	if r.dec.Prefill != nil {
		held.Prefill = r.dec.Prefill.Name
		held.Pieces = pool.DecodePieces(t.demand)
	}
	n.mu.Lock()
	t.held = held
	n.mu.Unlock()
	return pool.NewGrant(r.dec, reporter{n, t}), nil
}

// decision turns an answer from the wire into a result.
func (n *Node) decision(t *ticket, a Answer) result {
	if a.Kind != "" {
		return result{dec: pool.Decision{Key: t.key(), Err: errkind.New(a.Kind, a.Message).WithRetryAfter(a.RetryAfter)}}
	}
	st := n.opts.Config.Current()
	dec := pool.Decision{Key: t.key(), Decode: st.Endpoints[a.Decode]}
	if a.Prefill != "" {
		dec.Prefill = st.Endpoints[a.Prefill]
	}
	if dec.Decode == nil || a.Prefill != "" && dec.Prefill == nil {
		// The two instances are at different tickets.
		return result{err: errkind.New(errkind.NoEndpoint, "granted endpoint is not configured here").WithRetryAfter(time.Second)}
	}
	return result{dec: dec}
}

// drop ends a ticket and gives back what its dispatcher booked.
func (n *Node) drop(t *ticket, o sched.Outcome) {
	if n.remove(t) {
		n.report(t, OpRelease, o)
	}
}

// remove forgets a ticket; it reports false if that was done before.
func (n *Node) remove(t *ticket) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.tickets[t.try] != t {
		return false
	}
	delete(n.tickets, t.try)
	if n.ids[t.demand.ID]--; n.ids[t.demand.ID] <= 0 {
		delete(n.ids, t.demand.ID)
	}
	return true
}

// report tells a ticket's dispatcher of a step.
func (n *Node) report(t *ticket, kind OpKind, o sched.Outcome) {
	addr := n.homeOf(t)
	if addr != n.self().Addr {
		n.link(t.place, addr).report(t, kind, o)
		return
	}
	h, err := n.host(t.place)
	if err != nil {
		return
	}
	switch kind {
	case OpPrefillDone:
		h.PrefillDone(t.key(), o)
	case OpFirstToken:
		h.FirstToken(t.key())
	case OpRelease:
		h.Release(t.key(), o)
	}
}

// reporter sends the reports of one grant.
type reporter struct {
	node *Node
	t    *ticket
}

// PrefillDone implements pool.Reporter.
func (r reporter) PrefillDone(_ pool.Key, o sched.Outcome) {
	r.node.mu.Lock()
	held := *r.t.held
	held.Prefill = ""
	r.t.held = &held
	r.node.mu.Unlock()
	r.node.report(r.t, OpPrefillDone, o)
}

// FirstToken implements pool.Reporter.
func (r reporter) FirstToken(pool.Key) { r.node.report(r.t, OpFirstToken, sched.Succeeded) }

// Release implements pool.Reporter.
func (r reporter) Release(_ pool.Key, o sched.Outcome) { r.node.drop(r.t, o) }

// holdings lists the grants held at a place.
func (n *Node) holdings(p Place) []pool.Held {
	n.mu.Lock()
	defer n.mu.Unlock()
	var held []pool.Held
	for _, t := range n.tickets {
		if t.place == p && t.held != nil {
			held = append(held, *t.held)
		}
	}
	return held
}

// owns reports whether this instance works on a request.
func (n *Node) owns(id reqid.ID) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.ids[id] > 0
}

// holds reports whether a ticket with the try exists.
func (n *Node) holds(try uint64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.tickets[try] != nil
}

func (n *Node) homeOf(t *ticket) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return t.home
}

func (n *Node) changes() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.changed
}

func (n *Node) context() context.Context {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.ctx
}

func (n *Node) done() <-chan struct{} { return n.context().Done() }

func (n *Node) lease() time.Time { return n.opts.Clock.Now().Add(leaseTime) }

// candidates lists the places of a pool in the order in which to try them: the own
// data centre, unless requests wait there and another has room; then those with
// room, near ones first; then the others.
func (n *Node) candidates(poolName string) []Place {
	own := n.self().DataCentre
	var ownPlace *Place
	var others []Place
	for _, p := range n.places(poolName) {
		if p.DataCentre == own {
			ownPlace = &p
			continue
		}
		others = append(others, p)
	}
	n.sortByRoom(others)
	if ownPlace == nil {
		return others
	}
	if load, ok := n.load(*ownPlace); ok && load.Saturated() && len(others) > 0 && n.spare(others[0]) {
		return slices.Insert(others, 1, *ownPlace)
	}
	return slices.Insert(others, 0, *ownPlace)
}

// places lists the places of a pool, in order.
func (n *Node) places(poolName string) []Place {
	st := n.opts.Config.Current()
	n.mu.Lock()
	defer n.mu.Unlock()
	if st != n.placed {
		n.placed = st
		clear(n.byPool)
	}
	list, ok := n.byPool[poolName]
	if !ok {
		list = placesIn(st, poolName)
		n.byPool[poolName] = list
	}
	return slices.Clone(list)
}

// placesIn lists the places of a pool in a configuration, in order.
func placesIn(st *config.State, poolName string) []Place {
	var out []Place
	for _, ep := range st.Pool(poolName) {
		p := Place{poolName, ep.DataCentre}
		if !slices.Contains(out, p) {
			out = append(out, p)
		}
	}
	slices.SortFunc(out, comparePlaces)
	return out
}

// sortByRoom sorts places with spare room first, near ones before far ones.
func (n *Node) sortByRoom(places []Place) {
	type rank struct {
		full int
		trip time.Duration
		free int
	}
	ranks := make(map[Place]rank, len(places))
	for _, p := range places {
		load, known := n.load(p)
		r := rank{full: 1, free: load.Free}
		if known && load.HasSpareCapacity() {
			r.full = 0
		}
		n.mu.Lock()
		r.trip = n.hints[p].trip.Round(5 * time.Millisecond)
		n.mu.Unlock()
		ranks[p] = r
	}
	slices.SortStableFunc(places, func(a, b Place) int {
		ra, rb := ranks[a], ranks[b]
		return cmp.Or(cmp.Compare(ra.full, rb.full), cmp.Compare(ra.trip, rb.trip), cmp.Compare(rb.free, ra.free))
	})
}

// load returns the load of a place as last heard; ok is false if that is long ago.
func (n *Node) load(p Place) (l pool.Load, ok bool) {
	n.mu.Lock()
	h := n.hosts[p]
	hint := n.hints[p]
	n.mu.Unlock()
	if h != nil {
		if addr, _ := n.home(p); addr == n.self().Addr {
			return h.Load(), true
		}
	}
	if n.opts.Clock.Now().Sub(hint.at) > hintLife {
		return pool.Load{}, false
	}
	return hint.load, true
}

// spare reports whether a place is known to have room for other data centres.
func (n *Node) spare(p Place) bool {
	l, ok := n.load(p)
	return ok && l.HasSpareCapacity()
}

// spill tries to get a grant of another data centre with room for a request that
// waits in its own one.
func (n *Node) spill(ctx context.Context, t *ticket) *sched.Grant {
	if t.place.DataCentre != n.self().DataCentre || !n.startSpill(t.place) {
		return nil
	}
	defer n.endSpill()
	others := slices.DeleteFunc(n.places(t.place.Pool), func(p Place) bool { return p == t.place || !n.spare(p) })
	n.sortByRoom(others)
	if len(others) == 0 {
		n.probeSoon()
		return nil
	}
	addr, ok := n.home(others[0])
	if !ok {
		return nil
	}
	other := n.issue(t.demand, others[0], addr)
	select {
	case r := <-other.ch:
		g, _ := n.settle(other, r)
		return g
	case r := <-t.ch:
		t.answer(r)
	case <-ctx.Done():
	case <-n.opts.Clock.After(spillWait):
	}
	n.drop(other, sched.Abandoned)
	return nil
}

// startSpill takes one of the places for requests that try another data centre, at a
// bounded rate.
func (n *Node) startSpill(p Place) bool {
	now := n.opts.Clock.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	h := n.hints[p]
	if n.spills >= maxSpills || now.Before(h.nextSpill) {
		return false
	}
	n.spills++
	h.nextSpill = now.Add(spillPause)
	n.hints[p] = h
	return true
}

func (n *Node) endSpill() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.spills--
}

// noteLoad records a dispatcher's load.
func (n *Node) noteLoad(p Place, l pool.Load) {
	n.mu.Lock()
	defer n.mu.Unlock()
	h := n.hints[p]
	h.load, h.at = l, n.opts.Clock.Now()
	n.hints[p] = h
}

// noteTrip records that a dispatcher answered, and how fast.
func (n *Node) noteTrip(p Place, addr string, d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	h := n.hints[p]
	if h.trip == 0 || d < h.trip {
		h.trip = d
	} else {
		h.trip += (d - h.trip) / 8
	}
	n.hints[p] = h
	delete(n.suspects, addr)
}
