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
	probeEvery = 300 * time.Millisecond // a cut that has healed is noticed well before its requests' next try
	probeLimit = 16                     // connections tried at a time
	// probeTimeout is for the answer to a health check, some round trips.
	probeTimeout = 100 * time.Millisecond
	// peersSilent is how long other instances may be silent until they count as out of
	// reach: two of their idle updates and a margin.
	peersSilent = 900 * time.Millisecond
)

// probe tries to connect to the endpoints that no connection could be made to, so that
// no request has to find out that they are back. It also notes whether the instance is
// cut off.
func (s *Server) probe(ctx context.Context) error {
	for ctx.Err() == nil {
		s.probeRound(ctx)
		s.noteCut(time.Now())
		pause(ctx, probeEvery)
	}
	return nil
}

func (s *Server) probeRound(ctx context.Context) {
	var unreachable []*config.Endpoint
	s.admission.with(func(now time.Time, p *placement.Scheduler) {
		p.EachUnreachable(now, func(ep *config.Endpoint) { unreachable = append(unreachable, ep) })
	})
	var g errgroup.Group
	g.SetLimit(probeLimit)
	for _, ep := range unreachable {
		g.Go(func() error {
			s.probeOne(ctx, ep)
			return nil
		})
	}
	_ = g.Wait()
}

// probeOne notes whether the endpoint is in reach again, or another one has its address.
func (s *Server) probeOne(ctx context.Context, ep *config.Endpoint) {
	name, err := s.whoAnswers(ctx, ep)
	switch {
	case err != nil: // still out of reach; tried again in the next round
	case name != "" && name != ep.Name:
		s.admission.with(func(_ time.Time, p *placement.Scheduler) { p.MarkReplaced(ep) })
		s.log.Info("endpoint.replaced", "endpoint", ep.Name, "addr", ep.Addr, "by", name)
	default:
		s.admission.freed(func(_ time.Time, p *placement.Scheduler) { p.MarkReachable(ep) })
		s.log.Info("endpoint.reached", "endpoint", ep.Name, "addr", ep.Addr)
	}
}

// whoAnswers connects to the endpoint's address and asks for the name of the endpoint
// there; it is empty where none is told. One that crashed comes back under another name at
// its address before its new entry is read.
func (s *Server) whoAnswers(ctx context.Context, ep *config.Endpoint) (string, error) {
	c, err := s.up.dial(ctx, ep.Addr)
	if err != nil {
		return "", err
	}
	s.up.put(c)
	pool := s.state.Current().Pools[ep.Pool]
	if pool == nil || pool.HealthPath == "" {
		return "", nil
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	in, err := s.up.do(ctx, outgoing{addr: ep.Addr, method: http.MethodGet, uri: pool.HealthPath, host: ep.Addr})
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return "", nil // in reach, but busy: health checks wait for a slot like requests
	}
	if err != nil {
		return "", err
	}
	defer in.close()
	_, err = in.readAll()
	return in.Name, err
}

// noteCut decides whether the instance is cut off: it reaches no endpoint of some pool,
// and does not hear most of the other instances either. Such an instance leaves the
// balancer's rotation, so that callers come to instances that can serve them. Where the
// others are heard, the endpoints themselves are down, and to leave would help nobody.
func (s *Server) noteCut(now time.Time) {
	cut := false
	s.admission.with(func(now time.Time, p *placement.Scheduler) { cut = p.CutOff(now) })
	silent, known := s.peers.silent(now)
	cut = cut && 2*silent > known
	if s.cutOff.Swap(cut) != cut {
		s.log.Info("process.cut_off", "cut_off", cut, "silent", silent, "instances", known)
	}
}
