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
	maxDataCentres        = 4                     // data centres tried
	maxDispatcherAttempts = 5                     // dispatchers tried in one data centre
	discoveryTime         = 10 * time.Second      // in which a new process meets the other data centres
	dispatcherRetryPause  = 20 * time.Millisecond // before the next one, times the number tried
	spillTimeout          = 200 * time.Millisecond
	spillPause            = 10 * time.Millisecond // between two of them
	maxSpills             = 4                     // requests that try another data centre at the same moment
)

// trackedDemand is one demand of this instance, from its submission until its grant is
// released or it is refused. Fields home and held are guarded by Node.mu.
type trackedDemand struct {
	try    uint64
	demand sched.Demand
	place  Place
	ch     chan result

	dispatcher string     // address of the dispatcher
	held       *pool.Held // nil while waiting

	// Of a ticket that waits at a link, guarded by link.mu.
	lastSent    time.Time     // when the demand was sent last
	resendPause time.Duration // until it is sent again
}

// result is the end of a ticket's wait.
type result struct {
	dec pool.Decision
	err error // errMoved, or an *errkind.Error for a grant that cannot be used
}

func (t *trackedDemand) key() pool.Key { return pool.Key{ID: t.demand.ID, Try: t.try} }

// answer ends the wait; later answers have no effect.
func (t *trackedDemand) answer(r result) {
	select {
	case t.ch <- r:
	default:
	}
}

// Acquire implements sched.Scheduler.
func (n *Node) Acquire(ctx context.Context, d sched.Demand) (*sched.Grant, error) {
	var refusal error
	places := n.candidates(d.Pool)
	for _, p := range places[:min(len(places), maxDataCentres)] {
		g, err := n.acquireAt(ctx, p, d)
		if err == nil {
			return g, nil
		}
		if refusal == nil {
			refusal = err
		}
		if !n.mayTryElsewhere(ctx, d, err) {
			break
		}
	}
	if refusal == nil {
		refusal = errkind.New(errkind.NoEndpoint, "the pool has no endpoints").WithRetryAfter(time.Second)
	}
	return nil, refusal
}

// mayTryElsewhere reports whether another data centre may grant what one refused.
func (n *Node) mayTryElsewhere(ctx context.Context, d sched.Demand, err error) bool {
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
	for attempt := 1; ; attempt++ {
		addr, ok := n.dispatcherAddr(p)
		if !ok && n.discoveryDone(d) {
			return nil, unreachable(p)
		}
		if !ok {
			if err := n.pauseBeforeRetry(ctx, attempt); err != nil {
				return nil, err
			}
			continue
		}
		g, err := n.waitForGrant(ctx, n.submitNew(d, p, addr))
		if !errors.Is(err, errDispatcherChanged) {
			return g, err
		}
		if n.context().Err() != nil {
			return nil, errkind.New(errkind.ShuttingDown, "instance is shutting down")
		}
		if attempt == maxDispatcherAttempts || p.DataCentre != n.self().DataCentre {
			return nil, unreachable(p)
		}
		if err := n.pauseBeforeRetry(ctx, attempt); err != nil {
			return nil, err
		}
	}
}

// pauseBeforeRetry waits before the next look for a dispatcher.
func (n *Node) pauseBeforeRetry(ctx context.Context, attempt int) error {
	select {
	case <-ctx.Done():
		return waitError(ctx.Err())
	case <-n.opts.Clock.After(time.Duration(min(attempt, maxDispatcherAttempts)) * dispatcherRetryPause):
		return nil
	}
}

// discoveryDone reports whether an instance that is not in the view is missing rather than
// not met yet: this process has run for long enough, or the demand cannot wait.
func (n *Node) discoveryDone(d sched.Demand) bool {
	now := n.opts.Clock.Now()
	return now.Sub(n.started) >= discoveryTime || !now.Before(d.Arrived.Add(d.MaxWait))
}

func unreachable(p Place) error {
	return errkind.New(errkind.NoEndpoint, "no dispatcher of the pool can be reached in "+p.DataCentre).WithRetryAfter(time.Second)
}

func waitError(cause error) error {
	if errors.Is(cause, context.DeadlineExceeded) {
		return errkind.Wrap(cause, errkind.DeadlineUnreachable, errkind.NotRun, "deadline passed while the request waited")
	}
	return errkind.Wrap(cause, errkind.ClientGone, errkind.NotRun, "request ended while it waited")
}

// submitNew makes a ticket and submits it.
func (n *Node) submitNew(d sched.Demand, p Place, addr string) *trackedDemand {
	t := &trackedDemand{demand: d, place: p, dispatcher: addr, ch: make(chan result, 1)}
	n.mu.Lock()
	n.lastTry++
	t.try = n.lastTry
	n.tracked[t.try] = t
	n.ids[d.ID]++
	h := n.stats[p]
	h.lastUsed = n.opts.Clock.Now()
	n.stats[p] = h
	n.mu.Unlock()
	n.submit(t, addr)
	return t
}

// submit sends a ticket's demand to a dispatcher.
func (n *Node) submit(t *trackedDemand, addr string) {
	if addr != n.self().Addr {
		n.link(t.place, addr).submit(t)
		return
	}
	h, err := n.hostedAt(t.place)
	if err != nil {
		t.answer(result{err: errDispatcherChanged})
		return
	}
	h.SubmitFunc(t.key(), t.demand, n.lease(), func(dec pool.Decision) { t.answer(result{dec: dec}) })
}

// waitForGrant waits for a ticket's answer.
func (n *Node) waitForGrant(ctx context.Context, t *trackedDemand) (*sched.Grant, error) {
	spillTimer := n.opts.Clock.After(spillInterval)
	for {
		select {
		case r := <-t.ch:
			return n.finishWait(t, r)
		default:
		}
		select {
		case r := <-t.ch:
			return n.finishWait(t, r)
		case <-ctx.Done():
			n.release(t, sched.Abandoned)
			return nil, waitError(ctx.Err())
		case <-n.dispatcherChanges():
			if addr, ok := n.dispatcherAddr(t.place); !ok || addr != n.dispatcherOf(t) {
				n.release(t, sched.Abandoned)
				return nil, errDispatcherChanged
			}
		case <-spillTimer:
			if g := n.spill(ctx, t); g != nil {
				n.release(t, sched.Abandoned)
				return g, nil
			}
			spillTimer = n.opts.Clock.After(spillInterval)
		}
	}
}

// finishWait ends a ticket's wait with a grant or a refusal.
func (n *Node) finishWait(t *trackedDemand, r result) (*sched.Grant, error) {
	if errors.Is(r.err, errDispatcherChanged) {
		n.untrack(t)
		return nil, r.err
	}
	if r.err != nil {
		n.release(t, sched.Abandoned)
		return nil, r.err
	}
	if r.dec.Err != nil && r.dec.Err.Kind == errkind.ShuttingDown {
		n.untrack(t) // the dispatcher ends; another takes over
		return nil, errDispatcherChanged
	}
	if r.dec.Err != nil {
		n.untrack(t)
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

// resultOf turns an answer from the wire into a result.
func (n *Node) resultOf(t *trackedDemand, a Answer) result {
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

// release ends a ticket and gives back what its dispatcher booked.
func (n *Node) release(t *trackedDemand, o sched.Outcome) {
	if n.untrack(t) {
		n.report(t, OpRelease, o)
	}
}

// untrack forgets a ticket; it reports false if that was done before.
func (n *Node) untrack(t *trackedDemand) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.tracked[t.try] != t {
		return false
	}
	delete(n.tracked, t.try)
	if n.ids[t.demand.ID]--; n.ids[t.demand.ID] <= 0 {
		delete(n.ids, t.demand.ID)
	}
	return true
}

// report tells a ticket's dispatcher of a step.
func (n *Node) report(t *trackedDemand, kind OpKind, o sched.Outcome) {
	addr := n.dispatcherOf(t)
	if addr != n.self().Addr {
		n.link(t.place, addr).report(t, kind, o)
		return
	}
	h, err := n.hostedAt(t.place)
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
	t    *trackedDemand
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
func (r reporter) Release(_ pool.Key, o sched.Outcome) { r.node.release(r.t, o) }

// holdings lists the grants held at a place.
func (n *Node) holdings(p Place) []pool.Held {
	n.mu.Lock()
	defer n.mu.Unlock()
	var held []pool.Held
	for _, t := range n.tracked {
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

// isTracked reports whether a ticket with the try exists.
func (n *Node) isTracked(try uint64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.tracked[try] != nil
}

func (n *Node) dispatcherOf(t *trackedDemand) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return t.dispatcher
}

func (n *Node) dispatcherChanges() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dispatchersChanged
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
	n.sortByCapacity(others)
	if ownPlace == nil {
		return others
	}
	if load, ok := n.loadOf(*ownPlace); ok && load.Saturated() && len(others) > 0 && n.hasSpareCapacity(others[0]) {
		return slices.Insert(others, 1, *ownPlace)
	}
	return slices.Insert(others, 0, *ownPlace)
}

// places lists the places of a pool, in order.
func (n *Node) places(poolName string) []Place {
	st := n.opts.Config.Current()
	n.mu.Lock()
	defer n.mu.Unlock()
	if st != n.byPoolState {
		n.byPoolState = st
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

// sortByCapacity sorts places with spare room first, near ones before far ones.
func (n *Node) sortByCapacity(places []Place) {
	type rank struct {
		full int
		rtt  time.Duration
		free int
	}
	ranks := make(map[Place]rank, len(places))
	for _, p := range places {
		load, known := n.loadOf(p)
		r := rank{full: 1, free: load.Free}
		if known && load.HasSpareCapacity() {
			r.full = 0
		}
		n.mu.Lock()
		r.rtt = n.stats[p].rtt.Round(5 * time.Millisecond)
		n.mu.Unlock()
		ranks[p] = r
	}
	slices.SortStableFunc(places, func(a, b Place) int {
		ra, rb := ranks[a], ranks[b]
		return cmp.Or(cmp.Compare(ra.full, rb.full), cmp.Compare(ra.rtt, rb.rtt), cmp.Compare(rb.free, ra.free))
	})
}

// loadOf returns the loadOf of a place as last heard; ok is false if that is long ago.
func (n *Node) loadOf(p Place) (l pool.Load, ok bool) {
	n.mu.Lock()
	h := n.hosted[p]
	hint := n.stats[p]
	n.mu.Unlock()
	if h != nil {
		if addr, _ := n.dispatcherAddr(p); addr == n.self().Addr {
			return h.Load(), true
		}
	}
	if n.opts.Clock.Now().Sub(hint.loadAt) > loadLifetime {
		return pool.Load{}, false
	}
	return hint.load, true
}

// hasSpareCapacity reports whether a place is known to have room for other data centres.
func (n *Node) hasSpareCapacity(p Place) bool {
	l, ok := n.loadOf(p)
	return ok && l.HasSpareCapacity()
}

// spill tries to get a grant of another data centre with room for a request that
// waits in its own one.
func (n *Node) spill(ctx context.Context, t *trackedDemand) *sched.Grant {
	if t.place.DataCentre != n.self().DataCentre || !n.startSpill(t.place) {
		return nil
	}
	defer n.endSpill()
	others := slices.DeleteFunc(n.places(t.place.Pool), func(p Place) bool { return p == t.place || !n.hasSpareCapacity(p) })
	n.sortByCapacity(others)
	if len(others) == 0 {
		n.requestProbe()
		return nil
	}
	addr, ok := n.dispatcherAddr(others[0])
	if !ok {
		return nil
	}
	other := n.submitNew(t.demand, others[0], addr)
	select {
	case r := <-other.ch:
		g, _ := n.finishWait(other, r)
		return g
	case r := <-t.ch:
		t.answer(r)
	case <-ctx.Done():
	case <-n.opts.Clock.After(spillTimeout):
	}
	n.release(other, sched.Abandoned)
	return nil
}

// startSpill takes one of the places for requests that try another data centre, at a
// bounded rate.
func (n *Node) startSpill(p Place) bool {
	now := n.opts.Clock.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	h := n.stats[p]
	if n.activeSpills >= maxSpills || now.Before(h.nextSpill) {
		return false
	}
	n.activeSpills++
	h.nextSpill = now.Add(spillPause)
	n.stats[p] = h
	return true
}

func (n *Node) endSpill() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.activeSpills--
}

// recordLoad records a dispatcher's load.
func (n *Node) recordLoad(p Place, l pool.Load) {
	n.mu.Lock()
	defer n.mu.Unlock()
	h := n.stats[p]
	h.load, h.loadAt = l, n.opts.Clock.Now()
	n.stats[p] = h
}

// recordRTT records that a dispatcher answered, and how fast.
func (n *Node) recordRTT(p Place, addr string, d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	h := n.stats[p]
	if h.rtt == 0 || d < h.rtt {
		h.rtt = d
	} else {
		h.rtt += (d - h.rtt) / 8
	}
	n.stats[p] = h
	delete(n.suspects, addr)
}
