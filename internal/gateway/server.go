package gateway

import (
	"context"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"math/rand/v2"

	"carawayrouter.example/router/internal/config"
	"carawayrouter.example/router/internal/limit/window"
	"carawayrouter.example/router/internal/placement"
)

const (
	sweepEvery = time.Second // of idle connections
	// leaveTime is how long the balancer may go on sending callers after the instance
	// has said that it is not ready: two questions, one a second, and their answers.
	leaveTime = 3200 * time.Millisecond
	// lastStream is how long after the start of a drain streams are still begun: they
	// take some seconds, and the platform kills the process after the grace period.
	lastStream    = 2900 * time.Millisecond
	closeTime     = 800 * time.Millisecond // before the exit, for plain calls under way to end
	exitMargin    = 400 * time.Millisecond // before the platform kills the process
	drainPoll     = 20 * time.Millisecond
	callersAtOnce = 8                      // instances that the intervals between store calls are made for
	restEach      = 25 * time.Millisecond  // for each instance, so that a row of changes is read in few calls
	longestRest   = 500 * time.Millisecond // well within the time that endpoints serve on after they said that they leave
	longestFeed   = 12 * time.Second       // a silent connection to the store is found after it
	internalIdle  = 10 * time.Second
)

// Deps are what a gateway needs besides its settings.
type Deps struct {
	Wire    Wire
	Formats Formats
	Store   Store
	Log     logr.Logger
	Reload  <-chan os.Signal
}

// Server is the gateway of one instance.
type Server struct {
	settings  Settings
	wire      Wire
	store     Store
	log       logr.Logger
	stats     *stats
	logQuota  logQuota
	state     *state
	admission *admission
	up        *upstream
	budget    *repeatBudget
	reload    <-chan os.Signal
	peers     *peers

	quotaMu sync.Mutex
	quota   *window.Limiter

	active   atomic.Int64 // requests being read or answered
	draining atomic.Bool
	stopping atomic.Bool // nothing is passed on to endpoints any more
	cutOff   atomic.Bool // callers are better served elsewhere; see noteCut

	connMu sync.Mutex
	conns  map[net.Conn]struct{}

	drainedAt atomic.Int64 // start of the drain, Unix ns
}

// New returns a Server that has no configuration yet.
func New(s Settings, d Deps) *Server {
	g := &Server{
		settings: s,
		wire:     d.Wire,
		store:    d.Store,
		log:      d.Log,

		conns:  map[net.Conn]struct{}{},
		reload: d.Reload,
	}
	var start time.Time
	if !s.NewFleet {
		start = time.Now()
	}
	g.budget = newRepeatBudget(s.RetryShare, s.RetryExtra, s.RetryWindow, start)
	g.quota = window.New(s.QuotaWindow, window.Slack{Fraction: s.QuotaSlackPart, Tokens: s.QuotaSlackTokens}, start)
	seed := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	g.admission = newAdmission(placement.New(s.DataCentre, seed), func(ep *config.Endpoint) {
		g.stats.ejections.Inc()
		g.log.Info("endpoint.ejected", "endpoint", ep.Name, "addr", ep.Addr)
	})
	g.up = newUpstream(d.Wire, g.limitSilence)
	g.state = newState(d.Formats, g.admission, d.Log)
	g.peers = newPeers(g)
	g.admission.changed = g.peers.changed
	g.stats = newStats(g)
	return g
}

// Run serves until drain ends, then finishes what is running within the grace period.
func (s *Server) Run(drain context.Context) error {
	callers, err := net.Listen("tcp", s.settings.Callers)
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	readiness, err := net.Listen("tcp", s.settings.Readiness)
	if err != nil {
		return errors.Wrap(err, "listen for the balancer")
	}
	state, err := net.Listen("tcp", s.settings.Peers)
	if err != nil {
		return errors.Wrap(err, "listen for other instances")
	}
	if err := s.peers.listen(); err != nil {
		return err
	}
	metrics, err := s.listenMetrics()
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	g, ctx := errgroup.WithContext(ctx)
	for _, w := range s.watchers() {
		g.Go(func() error { return w.run(ctx) })
	}
	g.Go(func() error { return s.serveReadiness(readiness) })
	if metrics != nil {
		g.Go(func() error { return newInternalServer(s.serveMetrics).Serve(metrics) })
	}
	g.Go(func() error { return newInternalServer(s.peers.serveState).Serve(state) })
	for _, duty := range []func(context.Context) error{s.peers.send, s.peers.receive, s.peers.relays, s.peers.enter, s.peers.catchUp, s.probe} {
		g.Go(func() error { return duty(ctx) })
	}
	g.Go(func() error { return s.accept(ctx, callers) })
	g.Go(func() error { return s.housekeeping(ctx) })
	s.log.Info("process.start", "callers", s.settings.Callers, "data_centre", s.settings.DataCentre)
	select {
	case <-drain.Done():
		s.shutDown(callers)
		return nil
	case <-ctx.Done():
		return g.Wait()
	}
}

// scaled lengthens the time between two calls to the store with the size of the fleet,
// so that the store gets about as many from a large one as from a small one. Update of
// changes still arrive at once by whichever instance has a call under way.
func (s *Server) scaled(d time.Duration) time.Duration {
	fleet := time.Duration(max(1, s.peers.fleet()))
	return min(longestFeed, max(d, d*fleet/callersAtOnce))
}

func (s *Server) watchers() []*watcher {
	return []*watcher{
		{store: s.store, table: Configuration, wait: func() time.Duration { return s.scaled(feedWait) }, log: s.log, apply: func(rows []Row, _ bool) {
			for _, r := range rows {
				if !r.Deleted {
					s.state.applyConfiguration(r.Value, "store")
				}
			}
		}},
		{store: s.store, table: Endpoints, wait: func() time.Duration { return s.scaled(feedWait) }, log: s.log,
			apply: func(rows []Row, whole bool) { s.state.applyEndpoints(time.Now(), rows, whole) },
			rest:  func() time.Duration { return min(longestRest, time.Duration(s.peers.fleet())*restEach) },
			lost: func() {
				s.stats.storeFail.Inc()
				s.state.storeLost(time.Now())
			},
			back: func() { s.state.storeBack(time.Now()) },
		},
	}
}

// accept serves callers' connections until the listener is closed.
func (s *Server) accept(ctx context.Context, ln net.Listener) error {
	for {
		nc, err := ln.Accept()
		if err != nil {
			if s.draining.Load() || ctx.Err() != nil {
				return nil
			}
			s.log.Error(err, "accept")
			pause(ctx, retryLeast)
			continue
		}
		s.limitSilence(nc)
		s.connMu.Lock()
		s.conns[nc] = struct{}{}
		s.connMu.Unlock()
		go func() {
			s.newConn(nc).serve(ctx)
			s.connMu.Lock()
			delete(s.conns, nc)
			s.connMu.Unlock()
		}()
	}
}

// serveReadiness answers the balancer's question whether callers may come.
func (s *Server) serveReadiness(ln net.Listener) error {
	return newInternalServer(func(ctx *fasthttp.RequestCtx) {
		if !s.ready() {
			ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		}
	}).Serve(ln)
}

// listenMetrics opens the address for metrics; without one there are none.
func (s *Server) listenMetrics() (net.Listener, error) {
	if s.settings.Metrics == "" {
		return nil, nil
	}
	ln, err := net.Listen("tcp", s.settings.Metrics)
	return ln, errors.Wrap(err, "listen for metrics")
}

func (s *Server) serveMetrics(ctx *fasthttp.RequestCtx) {
	ctx.SetContentType("text/plain; version=0.0.4")
	s.stats.write(ctx)
}

// newInternalServer returns a server for other processes than callers'.
func newInternalServer(h fasthttp.RequestHandler) *fasthttp.Server {
	return &fasthttp.Server{Handler: h, NoDefaultServerHeader: true, NoDefaultDate: true, Logger: quiet{}, IdleTimeout: internalIdle}
}

// quiet drops the HTTP library's messages, which can quote foreign bytes.
type quiet struct{}

// Printf implements fasthttp.Logger.
func (quiet) Printf(string, ...any) {}

// ready reports whether the instance can serve callers.
func (s *Server) ready() bool {
	st := s.state.Current()
	return !s.draining.Load() && !s.cutOff.Load() && st.Ticket > 0 && len(st.Endpoints) > 0 && s.settled(time.Now())
}

// settleTime is how long after its start an instance waits for word of the others: three
// of their idle updates.
const settleTime = 1200 * time.Millisecond

// settled reports whether the instance knows what most of the others hold and have spent.
// Before, it would refuse what it cannot tell to be within an account's rate, and take
// engines for empty.
func (s *Server) settled(now time.Time) bool {
	if s.settings.NewFleet || now.Sub(s.peers.started) > settleTime {
		return true
	}
	silent, known := s.peers.silent(now)
	return known > 0 && 2*silent <= known
}

// housekeeping closes idle connections, drops endpoints that did not come back, and says
// of how many routine requests no lines were written.
func (s *Server) housekeeping(ctx context.Context) error {
	omitted := uint64(0)
	expire := time.NewTicker(expirePoll)
	defer expire.Stop()
	sweep := time.NewTicker(sweepEvery)
	defer sweep.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-expire.C:
			s.state.expire(time.Now())
		case <-sweep.C:
			inUse := map[string]bool{}
			for _, e := range s.state.Current().Endpoints {
				inUse[e.Addr] = true
			}
			s.up.sweep(inUse)
			if n := s.stats.omitted.Get(); n > omitted {
				s.log.Info("log.omitted", "requests", n-omitted)
				omitted = n
			}
		case <-s.reload:
			s.log.Info("process.reload")
		}
	}
}

// shutDown leaves the balancer's list, serves what still arrives meanwhile, and waits
// for what is running.
func (s *Server) shutDown(ln net.Listener) {
	began := time.Now()
	s.drainedAt.Store(began.UnixNano())
	s.draining.Store(true)
	s.log.Info("process.drain", "active", s.active.Load())
	last := began.Add(s.settings.GracePeriod - exitMargin)
	for time.Now().Before(last.Add(-closeTime)) {
		left := time.Since(began) >= leaveTime
		if left && s.active.Load() == 0 {
			break
		}
		time.Sleep(drainPoll)
	}
	// What is read from now on is refused, not passed on, so that the end cuts nothing.
	s.stopping.Store(true)
	_ = ln.Close()
	s.peers.leave()
	for s.active.Load() > 0 && time.Now().Before(last) {
		time.Sleep(drainPoll)
	}
	s.log.Info("process.stop", "cut", s.active.Load(), "ms", time.Since(began).Milliseconds())
}

// closing reports whether a stream that starts now may be cut by the end of the process.
func (s *Server) closing() bool {
	return s.draining.Load() && time.Since(time.Unix(0, s.drainedAt.Load())) > lastStream
}

func (s *Server) quotaReserve(a *config.Account, tokens int, size window.RequestKind) window.Decision {
	s.quotaMu.Lock()
	defer s.quotaMu.Unlock()
	return s.quota.Reserve(time.Now(), a, tokens, size)
}

func (s *Server) quotaReturn(account string, tokens int) {
	s.quotaMu.Lock()
	defer s.quotaMu.Unlock()
	s.quota.Refund(time.Now(), account, tokens)
}
