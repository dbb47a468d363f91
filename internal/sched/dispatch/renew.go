package dispatch

import (
	"context"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"carawayrouter.example/router/internal/peer"
	"carawayrouter.example/router/internal/sched/pool"
)

const (
	renewCalls           = 8 // dispatchers renewed concurrently
	probeCalls           = 8
	maxProbedDataCentres = 3 // other data centres probed for one pool
)

// renew sends each dispatcher the list of this instance's demands there. Grants whose
// place has a new dispatcher are migrated to it first.
func (n *Node) renew(ctx context.Context) {
	n.migrateGrants(ctx)
	groups, last := n.demandsByDispatcher()
	var g errgroup.Group
	g.SetLimit(renewCalls)
	for k, tries := range groups {
		g.Go(func() error {
			n.renewAt(ctx, k, tries, last)
			return nil
		})
	}
	_ = g.Wait()
}

// migration is a move of grants from one dispatcher to another.
type migration struct {
	place    Place
	from, to string
}

// migrateGrants moves grants to the current dispatcher of their place. They stay with
// the old one until the new one has restored them.
func (n *Node) migrateGrants(ctx context.Context) {
	var g errgroup.Group
	g.SetLimit(renewCalls)
	for m, held := range n.migrations() {
		g.Go(func() error {
			if n.restoreAt(ctx, m.place, m.to, held) == nil {
				n.recordMigration(m, held)
			}
			return nil
		})
	}
	_ = g.Wait()
}

// migrations lists the grants whose dispatcher is no longer that of their place.
func (n *Node) migrations() map[migration][]pool.Held {
	addrs := map[Place]string{}
	for _, p := range n.usedPlaces() {
		if addr, ok := n.dispatcherAddr(p); ok {
			addrs[p] = addr
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	out := map[migration][]pool.Held{}
	for _, t := range n.tracked {
		to := addrs[t.place]
		if t.held == nil || to == "" || to == t.dispatcher {
			continue
		}
		m := migration{t.place, t.dispatcher, to}
		out[m] = append(out[m], *t.held)
	}
	return out
}

// recordMigration records that grants have a new dispatcher. The next renewal sends it
// a list even if all the grants have ended by then.
func (n *Node) recordMigration(m migration, held []pool.Held) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lastRenewed[linkKey{m.place, m.to}] = true
	for _, h := range held {
		if t := n.tracked[h.Key.Try]; t != nil && t.dispatcher == m.from {
			t.dispatcher = m.to
		}
	}
}

// restoreAt restores grants at a dispatcher that does not know them.
func (n *Node) restoreAt(ctx context.Context, p Place, addr string, held []pool.Held) error {
	if addr != n.self().Addr {
		l := n.link(p, addr)
		err := l.call(methodRestore, &RestoreArgs{Place: p, Held: held}, &Empty{})
		if err != nil && ctx.Err() == nil {
			l.fail()
		}
		return err
	}
	h, err := n.hostedAt(p)
	if err != nil {
		return err
	}
	h.Restore(held, n.lease())
	return nil
}

// demandsByDispatcher returns the tries to list to each dispatcher in use, and the
// last try issued. A dispatcher is sent the grants held at its place, including those
// that another dispatcher made before it, and the demands that wait at it. A
// dispatcher whose last demand has ended gets one more list.
func (n *Node) demandsByDispatcher() (groups map[linkKey][]uint64, last uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	groups = map[linkKey][]uint64{}
	for k := range n.lastRenewed {
		groups[k] = nil
	}
	clear(n.lastRenewed)
	held := map[Place][]uint64{}
	for try, t := range n.tracked {
		k := linkKey{t.place, t.dispatcher}
		n.lastRenewed[k] = true
		if t.held == nil {
			groups[k] = append(groups[k], try)
			continue
		}
		held[t.place] = append(held[t.place], try)
		if _, ok := groups[k]; !ok {
			groups[k] = nil
		}
	}
	for k, tries := range groups {
		tries = append(tries, held[k.place]...)
		slices.Sort(tries)
		groups[k] = tries
	}
	return groups, n.lastTry
}

// usedPlaces lists the places of the tracked demands.
func (n *Node) usedPlaces() []Place {
	n.mu.Lock()
	defer n.mu.Unlock()
	seen := map[Place]bool{}
	var out []Place
	for _, t := range n.tracked {
		if !seen[t.place] {
			seen[t.place] = true
			out = append(out, t.place)
		}
	}
	return out
}

// renewAt sends one list, then restores or resubmits the demands that the dispatcher
// does not know.
func (n *Node) renewAt(ctx context.Context, k linkKey, tries []uint64, last uint64) {
	if k.addr == n.self().Addr {
		if h, err := n.hostedAt(k.place); err == nil {
			unknown := h.Reconcile(n.holder(), tries, last, n.lease())
			held, _ := n.split(unknown)
			h.Restore(held, n.lease())
		}
		return
	}
	l := n.link(k.place, k.addr)
	var reply RenewReply
	args := &RenewArgs{Holder: n.holder(), Place: k.place, Last: last, Steps: deltaEncode(tries)}
	if err := l.call(methodRenew, args, &reply); err != nil {
		if ctx.Err() == nil {
			l.fail()
		}
		return
	}
	n.recordLoad(k.place, reply.Load)
	held, waiting := n.split(reply.Unknown)
	if len(held) > 0 {
		_ = n.restoreAt(ctx, k.place, k.addr, held)
	}
	for _, try := range waiting {
		l.resubmit(try)
	}
	l.resendOverdue()
}

// split separates tries into held grants and waiting demands.
func (n *Node) split(tries []uint64) (held []pool.Held, waiting []uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, try := range tries {
		switch t := n.tracked[try]; {
		case t == nil:
		case t.held != nil:
			held = append(held, *t.held)
		default:
			waiting = append(waiting, try)
		}
	}
	return held, waiting
}

// probeLoop probes at an interval, and earlier on request.
func (n *Node) probeLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.opts.Clock.After(renewInterval):
		case <-n.probeRequests:
		}
		n.probe(ctx)
		select {
		case <-ctx.Done():
			return
		case <-n.opts.Clock.After(minProbePause):
		}
	}
}

// requestProbe requests a probe ahead of schedule.
func (n *Node) requestProbe() {
	select {
	case n.probeRequests <- struct{}{}:
	default:
	}
}

// probe pings the suspects that are due. For places without capacity, it asks a few
// other data centres for their load.
func (n *Node) probe(ctx context.Context) {
	var g errgroup.Group
	g.SetLimit(probeCalls)
	for _, addr := range n.dueSuspects() {
		g.Go(func() error {
			n.ping(ctx, addr)
			return nil
		})
	}
	for _, p := range n.saturatedPlaces() {
		asked := 0
		for _, other := range n.rotatedPlaces(p.Pool) {
			if other == p || asked == maxProbedDataCentres {
				continue
			}
			asked++
			g.Go(func() error {
				n.probeLoad(ctx, other)
				return nil
			})
		}
	}
	_ = g.Wait()
}

// dueSuspects lists the suspects that are due for a ping.
func (n *Node) dueSuspects() []string {
	now := n.opts.Clock.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	var due []string
	for addr, s := range n.suspects {
		if !now.Before(s.retry) {
			due = append(due, addr)
		}
	}
	return due
}

// ping checks whether a suspect answers again.
func (n *Node) ping(ctx context.Context, addr string) {
	call, cancel := context.WithTimeout(ctx, callTimeout/2)
	defer cancel()
	if err := n.opts.Caller.Call(peer.Idempotent(call), addr, methodOwns, &OwnsArgs{}, &OwnsReply{}); err != nil {
		n.markSuspect(addr)
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.suspects, addr)
}

// saturatedPlaces lists the recently used local places that are saturated or whose
// load is not known.
func (n *Node) saturatedPlaces() []Place {
	now := n.opts.Clock.Now()
	n.mu.Lock()
	var recent []Place
	for p, s := range n.stats {
		if now.Sub(s.lastUsed) < idleTimeout {
			recent = append(recent, p)
		}
	}
	n.mu.Unlock()
	own := n.self().DataCentre
	return slices.DeleteFunc(recent, func(p Place) bool {
		load, ok := n.loadOf(p)
		return p.DataCentre != own || ok && !load.Saturated()
	})
}

// rotatedPlaces lists the places of a pool from a random start.
func (n *Node) rotatedPlaces(poolName string) []Place {
	places := n.places(poolName)
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(places) > 1 {
		at := n.rand.IntN(len(places))
		places = append(places[at:], places[:at]...)
	}
	return places
}

func (n *Node) probeLoad(ctx context.Context, p Place) {
	addr, ok := n.dispatcherAddr(p)
	if !ok || addr == n.self().Addr {
		return
	}
	call, cancel := context.WithTimeout(ctx, callTimeout/2)
	defer cancel()
	start := n.opts.Clock.Now()
	var load pool.Load
	if err := n.opts.Caller.Call(peer.Idempotent(call), addr, methodLoad, &LoadArgs{p}, &load); err != nil {
		return
	}
	n.recordLoad(p, load)
	n.recordRTT(p, addr, max(time.Microsecond, n.opts.Clock.Now().Sub(start)))
}
