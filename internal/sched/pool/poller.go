package pool

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"carawayrouter.example/router/internal/clock"
	"carawayrouter.example/router/internal/config"
	"carawayrouter.example/router/internal/endpoint"
)

// Limits of polling.
const (
	PollInterval = time.Second // between polls of one engine
	pollTimeout  = time.Second // for one call
	pollWorkers  = 8           // engines polled concurrently
)

// Poller polls engines for their running requests and cache events and passes them to
// a Dispatcher. It is not safe for concurrent use.
type Poller struct {
	Dispatcher *Dispatcher
	Dialer     endpoint.Dialer
	Clock      clock.Clock
	// OnRunning, if set, is called with each list, for example to find orphans.
	OnRunning func(ctx context.Context, ep *config.Endpoint, running []endpoint.Running)

	lastEvent map[string]uint64 // last sequence number by endpoint name
}

// Run polls the engines that eps returns until ctx ends.
func (p *Poller) Run(ctx context.Context, eps func() []*config.Endpoint) {
	for {
		p.Poll(ctx, eps())
		select {
		case <-ctx.Done():
			return
		case <-p.Clock.After(PollInterval):
		}
	}
}

// Poll polls each engine once.
func (p *Poller) Poll(ctx context.Context, eps []*config.Endpoint) {
	last := make([]uint64, len(eps))
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(pollWorkers)
	for i, ep := range eps {
		if ep.Role == config.Plain {
			continue
		}
		after := p.lastEvent[ep.Name]
		g.Go(func() error {
			last[i] = p.pollEngine(ctx, ep, after)
			return nil
		})
	}
	_ = g.Wait()
	p.lastEvent = make(map[string]uint64, len(eps))
	for i, ep := range eps {
		p.lastEvent[ep.Name] = last[i]
	}
}

// pollEngine polls one engine and returns the sequence number of the last cache event.
func (p *Poller) pollEngine(ctx context.Context, ep *config.Endpoint, after uint64) uint64 {
	call, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	engine := p.Dialer.Engine(ep.Addr)
	running, err := engine.Running(call)
	if err != nil {
		if ctx.Err() == nil {
			p.Dispatcher.ObservePollFailure(ep.Name)
		}
		return after
	}
	p.Dispatcher.ObserveRunning(ep.Name, running)
	if p.OnRunning != nil {
		p.OnRunning(ctx, ep, running)
	}
	if ep.Role != config.Prefill {
		return after
	}
	events, err := engine.CacheEvents(call, after)
	if err != nil || len(events) == 0 {
		return after
	}
	p.Dispatcher.ObserveCache(ep.Name, events)
	return events[len(events)-1].Seq
}
