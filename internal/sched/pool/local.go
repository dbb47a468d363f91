package pool

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"carawayrouter.example/router/internal/clock"
	"carawayrouter.example/router/internal/config"
	"carawayrouter.example/router/internal/endpoint"
	"carawayrouter.example/router/internal/errkind"
	"carawayrouter.example/router/internal/event"
	"carawayrouter.example/router/internal/sched"
)

// LeavingSource provides the endpoint addresses that the platform lists as leaving.
type LeavingSource interface{ Leaving() map[string]bool }

// Options configures a Local.
type Options struct {
	Config     config.Source
	Dialer     endpoint.Dialer // nil: engines are not polled
	Clock      clock.Clock
	Rand       *rand.Rand
	DataCentre string
	Logger     logr.Logger
	Events     *event.Ring
	Leaving    LeavingSource // nil: only the configuration marks endpoints as leaving
	Tuning     *Tuning       // nil: DefaultTuning
}

// Local is a sched.Scheduler that decides within this process alone. If several
// processes schedule one pool this way, the engines refuse requests beyond their
// capacity.
type Local struct {
	opts   Options
	tuning Tuning
	try    atomic.Uint64

	mu      sync.Mutex
	rand    *rand.Rand
	state   *config.State
	leaving map[string]bool
	pools   map[place]*localDispatcher
	ctx     context.Context // set by Run
	wg      sync.WaitGroup
}

// place identifies the endpoints that one dispatcher schedules.
type place struct{ pool, dataCentre string }

// localDispatcher is a dispatcher with the function that stops its goroutines.
type localDispatcher struct {
	*Dispatcher
	stop context.CancelFunc
}

// NewLocal returns a Local. Acquire works before Run is called, but Run is needed for
// decisions that depend on time and for polling.
func NewLocal(o Options) *Local {
	t := DefaultTuning()
	if o.Tuning != nil {
		t = *o.Tuning
	}
	return &Local{opts: o, tuning: t, rand: o.Rand, pools: map[place]*localDispatcher{}}
}

// Run runs the dispatchers and follows the configuration until ctx ends. It returns nil.
func (l *Local) Run(ctx context.Context) error {
	l.mu.Lock()
	l.ctx = ctx
	for p, r := range l.pools {
		l.start(p, r)
	}
	l.mu.Unlock()
	for {
		l.refresh()
		select {
		case <-ctx.Done():
			l.wg.Wait()
			return nil
		case <-l.opts.Clock.After(idleInterval):
		}
	}
}

// Acquire implements sched.Scheduler.
func (l *Local) Acquire(ctx context.Context, d sched.Demand) (*sched.Grant, error) {
	l.refresh()
	candidates := l.candidates(d.Pool)
	var refusal error = noEndpoint()
	for _, r := range candidates {
		g, err := l.acquireAt(ctx, r.Dispatcher, d)
		if err == nil {
			return g, nil
		}
		refusal = err
		if !errkind.Is(err, errkind.NoEndpoint) && !errkind.Is(err, errkind.QueueFull) {
			break
		}
	}
	return nil, refusal
}

// acquireAt waits for a grant from one dispatcher.
func (l *Local) acquireAt(ctx context.Context, dispatcher *Dispatcher, d sched.Demand) (*sched.Grant, error) {
	key := Key{ID: d.ID, Try: l.try.Add(1)}
	select {
	case dec := <-dispatcher.Submit(key, d, time.Time{}):
		if dec.Err != nil {
			return nil, dec.Err
		}
		return NewGrant(dec, dispatcher), nil
	case <-ctx.Done():
		dispatcher.Release(key, sched.Abandoned)
		return nil, waitError(ctx.Err())
	}
}

// waitError returns the refusal of a demand whose context ended.
func waitError(cause error) error {
	if errors.Is(cause, context.DeadlineExceeded) {
		return errkind.Wrap(cause, errkind.DeadlineUnreachable, errkind.NotRun, "deadline passed while the request waited")
	}
	return errkind.Wrap(cause, errkind.ClientGone, errkind.NotRun, "request ended while it waited")
}

// candidates returns the dispatchers of a pool in the order in which to try them. The
// local data centre comes first, unless it is saturated and another has spare
// capacity. The others follow by free slots.
func (l *Local) candidates(pool string) []*localDispatcher {
	l.mu.Lock()
	var own *localDispatcher
	var others []*localDispatcher
	for _, p := range slices.SortedFunc(maps.Keys(l.pools), comparePlaces) {
		switch {
		case p.pool != pool:
		case p.dataCentre == l.opts.DataCentre:
			own = l.pools[p]
		default:
			others = append(others, l.pools[p])
		}
	}
	l.mu.Unlock()
	if own == nil && len(others) == 0 {
		return nil
	}
	loads := make(map[*localDispatcher]Load, len(others))
	for _, r := range others {
		loads[r] = r.Load()
	}
	slices.SortStableFunc(others, func(a, b *localDispatcher) int { return loads[b].Free - loads[a].Free })
	if own == nil {
		return others
	}
	if len(others) > 0 && own.Load().Saturated() && loads[others[0]].HasSpareCapacity() {
		return append([]*localDispatcher{others[0], own}, others[1:]...)
	}
	return append([]*localDispatcher{own}, others...)
}

// Saturated reports whether a new demand would be queued.
func (l Load) Saturated() bool { return l.Free == 0 || l.Waiting > 0 }

// HasSpareCapacity reports whether a data centre can take demands of other data
// centres: none is queued and at least a twentieth of its slots is free.
func (l Load) HasSpareCapacity() bool { return l.Waiting == 0 && l.Free > 0 && 20*l.Free >= l.Slots }

func comparePlaces(a, b place) int {
	if a.pool != b.pool {
		if a.pool < b.pool {
			return -1
		}
		return 1
	}
	switch {
	case a.dataCentre < b.dataCentre:
		return -1
	case a.dataCentre > b.dataCentre:
		return 1
	}
	return 0
}

// refresh applies changes of the configuration and of the platform's list.
func (l *Local) refresh() {
	st := l.opts.Config.Current()
	var leaving map[string]bool
	if l.opts.Leaving != nil {
		leaving = l.opts.Leaving.Leaving()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if st == l.state && maps.Equal(leaving, l.leaving) {
		return
	}
	l.state, l.leaving = st, leaving
	places := map[place]bool{}
	for name := range st.Pools {
		for _, ep := range st.Pool(name) {
			places[place{name, ep.DataCentre}] = true
		}
	}
	for p, r := range l.pools {
		if !places[p] {
			r.SetEndpoints(nil, nil)
			if r.stop != nil {
				r.stop()
			}
			delete(l.pools, p)
		}
	}
	for p := range places {
		r := l.pools[p]
		if r == nil {
			seed := rand.New(rand.NewPCG(l.rand.Uint64(), l.rand.Uint64()))
			r = &localDispatcher{Dispatcher: NewDispatcher(p.pool, p.dataCentre, st.Pools[p.pool].Kind, l.tuning, l.opts.Clock, seed, l.opts.Events)}
			l.pools[p] = r
			l.start(p, r)
		}
		r.SetEndpoints(EndpointsFor(st, p.pool, p.dataCentre), leaving)
	}
}

// maxRemotePrefill bounds the prefill engines of other data centres that a dispatcher
// uses.
const maxRemotePrefill = 8

// EndpointsFor lists the endpoints that the dispatcher of a pool in a data centre
// schedules: the local ones, and some prefill engines of other data centres to fall
// back to if no local one is available.
func EndpointsFor(st *config.State, pool, dataCentre string) []*config.Endpoint {
	var own, remote []*config.Endpoint
	for _, ep := range st.Pool(pool) {
		switch {
		case ep.DataCentre == dataCentre:
			own = append(own, ep)
		case ep.Role == config.Prefill && !ep.Leaving:
			remote = append(remote, ep)
		}
	}
	if len(own) == 0 {
		return nil
	}
	if len(remote) > maxRemotePrefill {
		at := int(xxhash.Sum64String(dataCentre) % uint64(len(remote)))
		remote = append(remote[at:], remote[:at]...)[:maxRemotePrefill]
	}
	return append(own, remote...)
}

// PolledEndpoints lists the endpoints that a dispatcher polls: the local ones, and those
// of other data centres if there is no local prefill engine.
func PolledEndpoints(st *config.State, pool, dataCentre string) []*config.Endpoint {
	eps := EndpointsFor(st, pool, dataCentre)
	ownPrefill := slices.ContainsFunc(eps, func(ep *config.Endpoint) bool {
		return ep.Role == config.Prefill && ep.DataCentre == dataCentre && !ep.Leaving
	})
	if !ownPrefill {
		return eps
	}
	return slices.DeleteFunc(eps, func(ep *config.Endpoint) bool { return ep.DataCentre != dataCentre })
}

// start starts the goroutines of a dispatcher if Run has been called. The caller holds
// mu.
func (l *Local) start(p place, r *localDispatcher) {
	if l.ctx == nil || r.stop != nil {
		return
	}
	ctx, cancel := context.WithCancel(l.ctx)
	r.stop = cancel
	l.wg.Go(func() { r.Run(ctx) })
	if l.opts.Dialer == nil || p.dataCentre != l.opts.DataCentre {
		return
	}
	poller := &Poller{Dispatcher: r.Dispatcher, Dialer: l.opts.Dialer, Clock: l.opts.Clock}
	l.wg.Go(func() {
		poller.Run(ctx, func() []*config.Endpoint {
			return PolledEndpoints(l.opts.Config.Current(), p.pool, p.dataCentre)
		})
	})
}

// Waiting returns the number of demands queued for a pool.
func (l *Local) Waiting(pool string) int {
	n := 0
	for _, r := range l.candidates(pool) {
		n += r.Load().Waiting
	}
	return n
}
