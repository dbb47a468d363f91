// Package dispatch distributes scheduling over the instances of the fleet. In each
// data centre, one instance is the dispatcher of a pool and decides for all; the
// others send it their demands. A dispatcher's state is soft: it is rebuilt from the
// reports of grant holders and engines, and engines refuse requests beyond their
// capacity.
//
// Invariants: a grant stays allocated at its dispatcher from the decision until its
// holder releases or disowns it or its lease expires; a request that runs at an engine
// is cancelled only if its owner is proven dead or disowns it.
package dispatch

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"carawayrouter.example/router/internal/clock"
	"carawayrouter.example/router/internal/config"
	"carawayrouter.example/router/internal/endpoint"
	"carawayrouter.example/router/internal/event"
	"carawayrouter.example/router/internal/member"
	"carawayrouter.example/router/internal/peer"
	"carawayrouter.example/router/internal/platform"
	"carawayrouter.example/router/internal/reqid"
	"carawayrouter.example/router/internal/sched/pool"
)

// Intervals and times.
const (
	refreshInterval = 200 * time.Millisecond
	renewInterval   = time.Second
	leaseTime       = 8 * time.Second // of a demand, since its holder last submitted or listed it
	callTimeout     = time.Second
	collectWait     = 2 * time.Second
	warmUpTime      = 500 * time.Millisecond // longest time for which a new dispatcher does not grant
	idleTimeout     = 10 * time.Second       // after which an unused dispatcher stops
	loadLifetime    = 3 * time.Second        // validity of another data centre's load
	minProbePause   = 100 * time.Millisecond
	spillInterval   = 100 * time.Millisecond // between attempts of a waiting demand to spill
	suspectPause    = time.Second            // before a suspect is pinged again; doubles each time
	maxSuspectPause = 10 * time.Second
)

// Options configures a Node.
type Options struct {
	Config    config.Source
	Members   member.Source
	Caller    peer.Caller
	Dialer    endpoint.Dialer
	Clock     clock.Clock
	Rand      *rand.Rand
	Logger    logr.Logger
	Events    *event.Ring
	Instances platform.Instances // nil: only the configuration marks endpoints as leaving
	Table     platform.Table     // nil: no data centre is evacuated
	Evidence  Evidence           // nil: only the members' view is used
	Tuning    *pool.Tuning       // nil: pool.DefaultTuning
}

// Node is an instance's part in scheduling: the client side, which implements
// sched.Scheduler, and the dispatchers that the instance runs. Service must be
// registered with the peers' server before Run.
type Node struct {
	opts   Options
	tuning pool.Tuning
	reaper *reaper
	list   *leavingList

	mu                 sync.Mutex
	rand               *rand.Rand
	ctx                context.Context // of Run
	started            time.Time       // start of the process
	running            bool
	lastTry            uint64 // last try issued
	tracked            map[uint64]*trackedDemand
	ids                map[reqid.ID]int // tracked demands by request
	links              map[linkKey]*link
	hosted             map[Place]*hostedDispatcher
	suspects           map[string]suspect // by peer address
	stats              map[Place]placeStats
	dispatchersChanged chan struct{} // closed when dispatchers may have changed
	dispatchers        map[Place]string
	state              *config.State
	leaving            map[string]bool
	view               *member.View
	members            map[string][]member.Session // of view, by data centre
	lastRenewed        map[linkKey]bool            // dispatchers whose last list was not empty
	byPoolState        *config.State               // configuration that byPool was built from
	byPool             map[string][]Place          // places by pool
	activeSpills       int
	probeRequests      chan struct{} // requests a probe ahead of schedule
	wg                 sync.WaitGroup
}

// suspect is an instance that did not answer a call. It is avoided until it answers a
// ping.
type suspect struct {
	retry time.Time // of the next ping
	pause time.Duration
}

// placeStats is what this instance knows of a place.
type placeStats struct {
	load     pool.Load
	loadAt   time.Time
	rtt      time.Duration // smoothed round-trip time
	lastUsed time.Time     // last use of the place by a local request
	// nextSpill is the earliest time of the next spill from this place.
	nextSpill time.Time
}

// New returns a Node.
func New(o Options) *Node {
	t := pool.DefaultTuning()
	if o.Tuning != nil {
		t = *o.Tuning
	}
	n := &Node{
		opts:               o,
		started:            o.Clock.Now(),
		tuning:             t,
		rand:               o.Rand,
		ctx:                context.Background(),
		tracked:            map[uint64]*trackedDemand{},
		ids:                map[reqid.ID]int{},
		links:              map[linkKey]*link{},
		hosted:             map[Place]*hostedDispatcher{},
		suspects:           map[string]suspect{},
		stats:              map[Place]placeStats{},
		dispatchersChanged: make(chan struct{}),
		dispatchers:        map[Place]string{},
		lastRenewed:        map[linkKey]bool{},
		byPool:             map[string][]Place{},
		probeRequests:      make(chan struct{}, 1),
		members:            map[string][]member.Session{},
	}
	n.reaper = newReaper(n)
	n.list = &leavingList{node: n}
	return n
}

// Run runs the node until ctx ends. It returns once all goroutines have ended.
func (n *Node) Run(ctx context.Context) error {
	n.mu.Lock()
	n.ctx, n.running = ctx, true
	n.mu.Unlock()
	n.refresh()
	n.wg.Go(func() { n.every(ctx, renewInterval, n.renew) })
	n.wg.Go(func() { n.probeLoop(ctx) })
	n.wg.Go(func() { n.every(ctx, renewInterval, n.reaper.run) })
	if n.opts.Instances != nil {
		n.wg.Go(func() { n.every(ctx, renewInterval, n.list.update) })
	}
	n.every(ctx, refreshInterval, func(context.Context) { n.refresh() })
	n.wg.Wait()
	return nil
}

// every calls f at an interval until ctx ends.
func (n *Node) every(ctx context.Context, d time.Duration, f func(context.Context)) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.opts.Clock.After(d):
			f(ctx)
		}
	}
}

// self returns this instance's session.
func (n *Node) self() member.Session { return n.opts.Members.View().Self }

// holder identifies this process as a holder of demands.
func (n *Node) holder() pool.Holder {
	s := n.self()
	return pool.Holder{Instance: s.Name, Incarnation: s.Process}
}

// dispatcherAddr returns the address of the dispatcher of a place, in this instance's
// view. Suspects are avoided if there are other members.
func (n *Node) dispatcherAddr(p Place) (addr string, ok bool) {
	view := n.opts.Members.View()
	n.mu.Lock()
	defer n.mu.Unlock()
	members := n.membersOf(view, p.DataCentre)
	usable := members[:0:0]
	for _, m := range members {
		if _, ok := n.suspects[m.Addr]; !ok {
			usable = append(usable, m)
		}
	}
	if len(usable) == 0 {
		usable = members
	}
	return rendezvous(p, usable)
}

// membersOf returns the members of a data centre. The caller holds mu.
func (n *Node) membersOf(view *member.View, dc string) []member.Session {
	if view != n.view {
		n.view = view
		clear(n.members)
	}
	members, ok := n.members[dc]
	if !ok {
		members = view.InDataCentre(dc)
		n.members[dc] = members
	}
	return members
}

// markSuspect records that an instance did not answer.
func (n *Node) markSuspect(addr string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := n.suspects[addr]
	now := n.opts.Clock.Now()
	if now.Before(s.retry) {
		return
	}
	s.pause = min(max(2*s.pause, suspectPause), maxSuspectPause)
	s.retry = now.Add(s.pause)
	n.suspects[addr] = s
	n.wakeWaiting()
}

// wakeWaiting makes waiting requests look up their dispatcher again. The caller holds
// mu.
func (n *Node) wakeWaiting() {
	close(n.dispatchersChanged)
	n.dispatchersChanged = make(chan struct{})
}

// refresh applies changes of the members, the configuration and the platform's list.
func (n *Node) refresh() {
	st := n.opts.Config.Current()
	leaving := n.list.Leaving()
	self := n.self()
	for _, p := range n.allPlaces(st) {
		addr, ok := n.dispatcherAddr(p)
		n.recordDispatcher(p, addr)
		if ok && addr == self.Addr && p.DataCentre == self.DataCentre {
			_, _ = n.hostedAt(p)
		}
	}
	n.mu.Lock()
	changed := st != n.state || !maps.Equal(leaving, n.leaving)
	n.state, n.leaving = st, leaving
	hosts := maps.Clone(n.hosted)
	n.mu.Unlock()
	for p, h := range hosts {
		if changed {
			h.SetEndpoints(pool.EndpointsFor(st, p.Pool, p.DataCentre), leaving)
		}
		h.prune()
		n.retire(p, h)
	}
	n.prune(st, self)
}

// recordDispatcher wakes waiting requests if the dispatcher of a place changed.
func (n *Node) recordDispatcher(p Place, addr string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if old, ok := n.dispatchers[p]; ok && old != addr {
		n.wakeWaiting()
	}
	n.dispatchers[p] = addr
}

// retire stops a dispatcher whose place no longer exists, or that has been idle while
// another instance is the dispatcher.
func (n *Node) retire(p Place, h *hostedDispatcher) {
	if slices.Contains(n.places(p.Pool), p) {
		if addr, ok := n.dispatcherAddr(p); ok && addr == n.self().Addr {
			return
		}
		if !h.idleFor(n.opts.Clock.Now(), idleTimeout) {
			return
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.hosted, p)
	h.stop()
}

// prune removes the state of places, instances and links that no longer exist.
func (n *Node) prune(st *config.State, self member.Session) {
	known := map[Place]bool{}
	for _, p := range n.allPlaces(st) {
		known[p] = true
	}
	addrs := map[string]bool{self.Addr: true}
	for _, s := range n.opts.Members.View().Peers {
		addrs[s.Addr] = true
	}
	n.pruneLinks(addrs)
	n.mu.Lock()
	defer n.mu.Unlock()
	maps.DeleteFunc(n.dispatchers, func(p Place, _ string) bool { return !known[p] })
	maps.DeleteFunc(n.stats, func(p Place, _ placeStats) bool { return !known[p] })
	maps.DeleteFunc(n.suspects, func(a string, _ suspect) bool { return !addrs[a] })
}

// pruneLinks removes idle links to instances that are no longer members.
func (n *Node) pruneLinks(addrs map[string]bool) {
	n.mu.Lock()
	links := maps.Clone(n.links)
	n.mu.Unlock()
	maps.DeleteFunc(links, func(k linkKey, l *link) bool { return addrs[k.addr] || !l.idle() })
	n.mu.Lock()
	defer n.mu.Unlock()
	for k := range links {
		delete(n.links, k)
	}
}

// allPlaces lists the places of all pools.
func (n *Node) allPlaces(st *config.State) []Place {
	var out []Place
	for _, name := range slices.Sorted(maps.Keys(st.Pools)) {
		out = append(out, n.places(name)...)
	}
	return out
}
