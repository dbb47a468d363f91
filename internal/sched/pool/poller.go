package pool

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"carawayrouter.example/router/internal/clock"
	"carawayrouter.example/router/internal/config"
	"carawayrouter.example/router/internal/endpoint"
)

// Polling of engines.
const (
	PollInterval = time.Second // between two polls of one engine
	pollTimeout  = time.Second // for one call
	pollWorkers  = 8           // engines polled at the same moment
)

// Poller polls engines for what they run and for cache events, and tells a
// Dispatcher. It is used by one goroutine.
type Poller struct {
	Dispatcher *Dispatcher
	Dialer     endpoint.Dialer
	Clock      clock.Clock
	// OnRunning, if set, is told of each list, for example to find orphans.
	OnRunning func(ctx context.Context, ep *config.Endpoint, running []endpoint.Running)

	lastEvent map[string]uint64 // last cache event by endpoint name
}

// Run polls the engines that eps returns until ctx ends.
func (w *Poller) Run(ctx context.Context, eps func() []*config.Endpoint) {
	for {
		w.Poll(ctx, eps())
		select {
		case <-ctx.Done():
			return
		case <-w.Clock.After(PollInterval):
		}
	}
}

// Poll asks each engine once.
func (w *Poller) Poll(ctx context.Context, eps []*config.Endpoint) {
	last := make([]uint64, len(eps))
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(pollWorkers)
	for i, ep := range eps {
		if ep.Role == config.Plain {
			continue
		}
		after := w.lastEvent[ep.Name]
		g.Go(func() error {
			last[i] = w.pollEngine(ctx, ep, after)
			return nil
		})
	}
	_ = g.Wait()
	w.lastEvent = make(map[string]uint64, len(eps))
	for i, ep := range eps {
		w.lastEvent[ep.Name] = last[i]
	}
}

// pollEngine asks one engine and returns the sequence number of the last cache event.
func (w *Poller) pollEngine(ctx context.Context, ep *config.Endpoint, after uint64) uint64 {
	call, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	engine := w.Dialer.Engine(ep.Addr)
	running, err := engine.Running(call)
	if err != nil {
		if ctx.Err() == nil {
			w.Dispatcher.ObservePollFailure(ep.Name)
		}
		return after
	}
	w.Dispatcher.ObserveRunning(ep.Name, running)
	if w.OnRunning != nil {
		w.OnRunning(ctx, ep, running)
	}
	if ep.Role != config.Prefill {
		return after
	}
	events, err := engine.CacheEvents(call, after)
	if err != nil || len(events) == 0 {
		return after
	}
	w.Dispatcher.ObserveCache(ep.Name, events)
	return events[len(events)-1].Seq
}
