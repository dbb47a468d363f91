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

// Watcher polls engines for what they run and for cache events, and tells a
// Dispatcher. It is used by one goroutine.
type Watcher struct {
	Dispatcher *Dispatcher
	Dialer     endpoint.Dialer
	Clock      clock.Clock
	// Found, if set, is told of each list, for example to find orphans.
	Found func(ctx context.Context, ep *config.Endpoint, running []endpoint.Running)

	seen map[string]uint64 // last cache event by endpoint name
}

// Run polls the engines that eps returns until ctx ends.
func (w *Watcher) Run(ctx context.Context, eps func() []*config.Endpoint) {
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
func (w *Watcher) Poll(ctx context.Context, eps []*config.Endpoint) {
	last := make([]uint64, len(eps))
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(pollWorkers)
	for i, ep := range eps {
		if ep.Role == config.Plain {
			continue
		}
		after := w.seen[ep.Name]
		g.Go(func() error {
			last[i] = w.pollOne(ctx, ep, after)
			return nil
		})
	}
	_ = g.Wait()
	w.seen = make(map[string]uint64, len(eps))
	for i, ep := range eps {
		w.seen[ep.Name] = last[i]
	}
}

// pollOne asks one engine and returns the sequence number of the last cache event.
func (w *Watcher) pollOne(ctx context.Context, ep *config.Endpoint, after uint64) uint64 {
	call, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	engine := w.Dialer.Engine(ep.Addr)
	running, err := engine.Running(call)
	if err != nil {
		if ctx.Err() == nil {
			w.Dispatcher.ObserveSilent(ep.Name)
		}
		return after
	}
	w.Dispatcher.ObserveRunning(ep.Name, running)
	if w.Found != nil {
		w.Found(ctx, ep, running)
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
