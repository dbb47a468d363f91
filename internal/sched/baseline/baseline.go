// Package baseline implements simple scheduling policies for comparison. Each decides
// within one instance and does not know the requests of other instances.
package baseline

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"carawayrouter.example/router/internal/clock"
	"carawayrouter.example/router/internal/config"
	"carawayrouter.example/router/internal/endpoint"
	"carawayrouter.example/router/internal/errkind"
	"carawayrouter.example/router/internal/sched"
	"carawayrouter.example/router/internal/sched/pool"
)

// usable lists the endpoints of a role that a demand may use: those of the local data
// centre, or all others if there are none.
func usable(st *config.State, d *sched.Demand, role func(config.Role) bool, dataCentre string) []*config.Endpoint {
	var own, others []*config.Endpoint
	for _, ep := range st.Pool(d.Pool) {
		switch {
		case ep.Leaving || !role(ep.Role) || slices.Contains(d.Exclude, ep.Name):
		case ep.DataCentre == dataCentre:
			own = append(own, ep)
		default:
			others = append(others, ep)
		}
	}
	if len(own) > 0 {
		return own
	}
	return others
}

func isPrefill(r config.Role) bool    { return r == config.Prefill }
func isNotPrefill(r config.Role) bool { return r != config.Prefill }

// assign makes a grant without tracking it. pick chooses from a list that is not
// empty.
func assign(st *config.State, d *sched.Demand, dataCentre string, pick func([]*config.Endpoint) *config.Endpoint) (*sched.Grant, error) {
	g := &sched.Grant{
		PrefillDone: func(sched.Outcome) {},
		FirstToken:  func() {},
		Release:     func(sched.Outcome) {},
	}
	targets := usable(st, d, isNotPrefill, dataCentre)
	p := st.Pools[d.Pool]
	if p == nil || len(targets) == 0 {
		return nil, noEndpoint()
	}
	if p.Kind == config.ModelPool {
		prefills := usable(st, d, isPrefill, dataCentre)
		if len(prefills) == 0 {
			return nil, noEndpoint()
		}
		g.Prefill = pick(prefills)
	}
	g.Decode = pick(targets)
	return g, nil
}

func noEndpoint() error {
	return errkind.New(errkind.NoEndpoint, "no endpoint of the pool can be used").WithRetryAfter(time.Second)
}

// RoundRobin uses endpoints in turn, regardless of their load. The prefill starts at
// once; only afterwards does it turn out whether the decode engine has capacity.
type RoundRobin struct {
	config     config.Source
	dataCentre string
	turn       atomic.Uint64
}

// NewRoundRobin returns a RoundRobin.
func NewRoundRobin(c config.Source, dataCentre string) *RoundRobin {
	return &RoundRobin{config: c, dataCentre: dataCentre}
}

// Acquire implements sched.Scheduler.
func (r *RoundRobin) Acquire(_ context.Context, d sched.Demand) (*sched.Grant, error) {
	turn := r.turn.Add(1)
	return assign(r.config.Current(), &d, r.dataCentre, func(eps []*config.Endpoint) *config.Endpoint {
		return eps[turn%uint64(len(eps))]
	})
}

// LeastLoaded uses the endpoints with the lowest load in their last report, and
// equally loaded ones in turn. Reports are fetched once every ReportInterval, so they
// lag.
type LeastLoaded struct {
	config     config.Source
	dialer     endpoint.Dialer
	clock      clock.Clock
	dataCentre string
	turn       atomic.Uint64

	mu    sync.Mutex
	loads map[string]float64 // by endpoint name
}

// ReportInterval is the time between two load reports of an endpoint.
const ReportInterval = time.Second

const pollWorkers = 8

// NewLeastLoaded returns a LeastLoaded. Run fetches its reports.
func NewLeastLoaded(c config.Source, d endpoint.Dialer, k clock.Clock, dataCentre string) *LeastLoaded {
	return &LeastLoaded{config: c, dialer: d, clock: k, dataCentre: dataCentre, loads: map[string]float64{}}
}

// Run fetches load reports until ctx ends. It returns nil.
func (l *LeastLoaded) Run(ctx context.Context) error {
	for {
		l.poll(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-l.clock.After(ReportInterval):
		}
	}
}

// poll fetches one report from each engine of the local data centre.
func (l *LeastLoaded) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, ReportInterval)
	defer cancel()
	loads := map[string]float64{}
	var mu sync.Mutex
	var g errgroup.Group
	g.SetLimit(pollWorkers)
	for _, ep := range l.config.Current().Endpoints {
		if ep.Role == config.Plain || ep.DataCentre != l.dataCentre {
			continue
		}
		g.Go(func() error {
			report, err := l.dialer.Engine(ep.Addr).Load(ctx)
			if err != nil {
				return nil
			}
			mu.Lock()
			defer mu.Unlock()
			loads[ep.Name] = float64(report.Running+report.Waiting) / float64(max(1, report.Slots))
			return nil
		})
	}
	_ = g.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.loads = loads
}

// Acquire implements sched.Scheduler.
func (l *LeastLoaded) Acquire(_ context.Context, d sched.Demand) (*sched.Grant, error) {
	turn := int(l.turn.Add(1))
	l.mu.Lock()
	defer l.mu.Unlock()
	return assign(l.config.Current(), &d, l.dataCentre, func(eps []*config.Endpoint) *config.Endpoint {
		best := eps[turn%len(eps)]
		for i := range eps {
			if ep := eps[(turn+i)%len(eps)]; l.loads[ep.Name] < l.loads[best.Name] {
				best = ep
			}
		}
		return best
	})
}

// FIFOTuning returns the tuning for decode-first scheduling without fairness: one
// queue in order of arrival. It is for use with pool.NewLocal or dispatch.New.
func FIFOTuning() *pool.Tuning {
	t := pool.DefaultTuning()
	t.Order = pool.FIFO
	return &t
}

// NewDecodeFirstFIFO returns a pool.Local that serves demands in order of arrival.
func NewDecodeFirstFIFO(o pool.Options) *pool.Local {
	o.Tuning = FIFOTuning()
	return pool.NewLocal(o)
}
