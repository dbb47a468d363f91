package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"carawayrouter.example/router/internal/config"
	"carawayrouter.example/router/internal/placement"
)

const (
	probeInterval    = 300 * time.Millisecond // detects the end of a network partition well before requests that failed in it are retried
	probeConcurrency = 16
	// probeTimeout limits a health check; it allows some round trips.
	probeTimeout = 100 * time.Millisecond
	// peerSilenceLimit is how long other instances may be silent before they count as
	// unreachable: two idle update intervals and a margin.
	peerSilenceLimit = 900 * time.Millisecond
)

// probeLoop tries to connect to the unreachable endpoints, so that no request has to find out
// that they are back. It also updates whether the instance is cut off.
func (s *Server) probeLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		s.probeRound(ctx)
		s.probePaths(ctx)
		s.updateCutOff(time.Now())
		s.logCold()
		sleepJitter(ctx, probeInterval)
	}
	return nil
}

func (s *Server) probeRound(ctx context.Context) {
	var unreachable []*config.Endpoint
	s.admission.withScheduler(func(now time.Time, p *placement.Scheduler) {
		p.EachUnreachable(now, func(ep *config.Endpoint) { unreachable = append(unreachable, ep) })
	})
	var g errgroup.Group
	g.SetLimit(probeConcurrency)
	for _, ep := range unreachable {
		g.Go(func() error {
			s.probeEndpoint(ctx, ep)
			return nil
		})
	}
	_ = g.Wait()
}

// probeEndpoint checks whether the endpoint is reachable again or another one has taken its
// address.
func (s *Server) probeEndpoint(ctx context.Context, ep *config.Endpoint) {
	name, err := s.identifyEndpoint(ctx, ep)
	switch {
	case err != nil: // still unreachable; tried again in the next round
		s.recordConnectError(ep, err)
	case name != "" && name != ep.Name:
		s.admission.withScheduler(func(_ time.Time, p *placement.Scheduler) { p.MarkReplaced(ep) })
		s.log.Info("endpoint.replaced", "endpoint", ep.Name, "addr", ep.Addr, "by", name)
	default:
		s.admission.releaseAndServe(func(_ time.Time, p *placement.Scheduler) { p.MarkReachable(ep) })
		s.log.Info("endpoint.reached", "endpoint", ep.Name, "addr", ep.Addr)
	}
}

// identifyEndpoint connects to the endpoint's address and returns the name of the endpoint
// there, or "" if it gives none. An endpoint that crashed comes back at the same address under
// another name before its new entry has been read.
func (s *Server) identifyEndpoint(ctx context.Context, ep *config.Endpoint) (string, error) {
	c, err := s.upstream.dial(ctx, ep.Addr)
	if err != nil {
		return "", err
	}
	s.upstream.put(c)
	pool := s.state.Current().Pools[ep.Pool]
	if pool == nil || pool.HealthPath == "" || !s.admission.takeTurn(ep.Name) {
		return "", nil
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	resp, err := s.upstream.do(ctx, endpointRequest{endpoint: ep.Name, addr: ep.Addr, placedAt: ep.Incarnation, sender: healthCheck, method: http.MethodGet, uri: pool.HealthPath, host: ep.Addr})
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return "", nil // reachable but busy: health checks wait for a slot like requests
	}
	if err != nil {
		return "", err
	}
	defer resp.close()
	_, err = resp.readAll()
	return resp.EndpointName, err
}

// updateCutOff determines whether the instance is cut off: it reaches no endpoint of some pool
// and has no updates from most of the other instances either. Such an instance fails its
// readiness probe, so that callers reach instances that can serve them. If the other instances
// are heard, the endpoints themselves are down, and leaving the balancer would not help.
func (s *Server) updateCutOff(now time.Time) {
	cutOff, here, onlyHere := false, 0, 0
	s.admission.withScheduler(func(now time.Time, p *placement.Scheduler) {
		cutOff = p.CutOff(now)
		here, onlyHere = p.CountUnreachable(now)
	})
	if s.unreachable.Swap(int64(here)) != int64(here) {
		s.log.Info("endpoints.unreachable", "endpoints", here, "only_here", onlyHere)
	}
	silent, known := s.peers.countSilent(now)
	cutOff = cutOff && 2*silent > known
	if s.cutOff.Swap(cutOff) != cutOff {
		s.log.Info("process.cut_off", "cut_off", cutOff, "silent", silent, "instances", known)
	}
}
