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
	maxDataCentres        = 4                     // tried for one request
	maxDispatcherAttempts = 5                     // dispatchers tried in one data centre
	discoveryTime         = 10 * time.Second      // after which a new process is assumed to know the other data centres
	dispatcherRetryPause  = 20 * time.Millisecond // before the next dispatcher is tried, times the number of attempts
	spillTimeout          = 200 * time.Millisecond
	spillPause            = 10 * time.Millisecond // between spills from one place
	maxSpills             = 4                     // concurrent spills
)

// trackedDemand is a demand of this instance, from its submission until it is refused
// or its grant is released. Fields dispatcher and held are guarded by Node.mu.
type trackedDemand struct {
	try    uint64
	demand sched.Demand
	place  Place
	ch     chan result

	dispatcher string     // its address
	held       *pool.Held // nil while waiting

	// Used while the demand waits at a link; guarded by link.mu.
	lastSent    time.Time     // when the demand was last sent
	resendPause time.Duration // before the demand is sent again
}

// result is the outcome of waiting for a grant.
type result struct {
	dec pool.Decision
	err error // errDispatcherChanged, or an *errkind.Error for a grant that cannot be used
}

func (t *trackedDemand) key() pool.Key { return pool.Key{ID: t.demand.ID, Try: t.try} }

// answer ends the wait. Later answers have no effect.
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

// acquireAt requests a grant from the dispatcher of a place. If that instance cannot
// be reached or is no longer the dispatcher, it tries the next one.
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

// pauseBeforeRetry waits before the dispatcher is looked up again.
func (n *Node) pauseBeforeRetry(ctx context.Context, attempt int) error {
	select {
	case <-ctx.Done():
		return waitError(ctx.Err())
	case <-n.opts.Clock.After(time.Duration(min(attempt, maxDispatcherAttempts)) * dispatcherRetryPause):
		return nil
	}
}

// discoveryDone reports whether a place without a dispatcher in the view really has
// none, rather than not being discovered yet: the process has run for discoveryTime,
// or the demand cannot wait any longer.
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

// submitNew tracks a new demand and submits it to a dispatcher.
func (n *Node) submitNew(d sched.Demand, p Place, addr string) *trackedDemand {
	t := &trackedDemand{demand: d, place: p, dispatcher: addr, ch: make(chan result, 1)}
	n.mu.Lock()
	n.lastTry++
	t.try = n.lastTry
	n.tracked[t.try] = t
	n.ids[d.ID]++
	s := n.stats[p]
	s.lastUsed = n.opts.Clock.Now()
	n.stats[p] = s
	n.mu.Unlock()
	n.submit(t, addr)
	return t
}

// submit sends a demand to a dispatcher.
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

// waitForGrant waits for the decision on a demand. Meanwhile it tries other data
// centres and watches for a change of dispatcher.
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

// finishWait turns the result of a wait into a grant or a refusal.
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
		n.untrack(t) // the dispatcher is shutting down; another takes over
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

// resultOf converts an answer from the dispatcher into a result.
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
		// The two instances have different configuration versions.
		return result{err: errkind.New(errkind.NoEndpoint, "granted endpoint is not configured here").WithRetryAfter(time.Second)}
	}
	return result{dec: dec}
}

// release stops tracking a demand and tells its dispatcher to free what it allocated.
func (n *Node) release(t *trackedDemand, o sched.Outcome) {
	if n.untrack(t) {
		n.report(t, OpRelease, o)
	}
}

// untrack stops tracking a demand. It reports false if the demand was not tracked any
// more.
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

// report sends an operation on a demand to its dispatcher.
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

// reporter sends the reports of one grant to its dispatcher.
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

// holdings lists the grants that this instance holds at a place.
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

// owns reports whether this instance is working on a request.
func (n *Node) owns(id reqid.ID) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.ids[id] > 0
}

// isTracked reports whether the demand with this try is still tracked.
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

// candidates lists the places of a pool in the order in which to try them: the local
// data centre, unless it is saturated and another has spare capacity; then those with
// spare capacity, the nearest first; then the others.
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

// places lists the places of a pool, sorted.
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

// placesIn lists the places of a pool in a configuration, sorted.
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

// sortByCapacity sorts places with spare capacity first, then by round-trip time, then
// by free slots.
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

// loadOf returns the last known load of a place. ok is false if it is too old.
func (n *Node) loadOf(p Place) (l pool.Load, ok bool) {
	n.mu.Lock()
	h := n.hosted[p]
	stats := n.stats[p]
	n.mu.Unlock()
	if h != nil {
		if addr, _ := n.dispatcherAddr(p); addr == n.self().Addr {
			return h.Load(), true
		}
	}
	if n.opts.Clock.Now().Sub(stats.loadAt) > loadLifetime {
		return pool.Load{}, false
	}
	return stats.load, true
}

// hasSpareCapacity reports whether a place is known to have capacity for other data
// centres.
func (n *Node) hasSpareCapacity(p Place) bool {
	l, ok := n.loadOf(p)
	return ok && l.HasSpareCapacity()
}

// spill tries to get a grant from another data centre with spare capacity for a demand
// that waits in the local one.
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

// startSpill starts a spill, or reports false if too many are active or the last one
// from this place was too recent.
func (n *Node) startSpill(p Place) bool {
	now := n.opts.Clock.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	s := n.stats[p]
	if n.activeSpills >= maxSpills || now.Before(s.nextSpill) {
		return false
	}
	n.activeSpills++
	s.nextSpill = now.Add(spillPause)
	n.stats[p] = s
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
	s := n.stats[p]
	s.load, s.loadAt = l, n.opts.Clock.Now()
	n.stats[p] = s
}

// recordRTT records that a dispatcher answered, and its round-trip time. The estimate
// drops at once and rises slowly.
func (n *Node) recordRTT(p Place, addr string, d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := n.stats[p]
	if s.rtt == 0 || d < s.rtt {
		s.rtt = d
	} else {
		s.rtt += (d - s.rtt) / 8
	}
	n.stats[p] = s
	delete(n.suspects, addr)
}
