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
	"carawayrouter.example/router/internal/errkind"
	"carawayrouter.example/router/internal/limit/coldstart"
	"carawayrouter.example/router/internal/limit/pacing"
	"carawayrouter.example/router/internal/limit/window"
	"carawayrouter.example/router/internal/placement"
)

const (
	sweepInterval = time.Second // for idle connections
	// balancerDelay is how long the balancer may keep sending callers after the instance has
	// stopped being ready: two readiness probes, one per second, and their responses.
	balancerDelay       = 3200 * time.Millisecond
	callDrainTime       = 800 * time.Millisecond // before exit, for running service calls to end
	exitMargin          = 400 * time.Millisecond // before the platform kills the process
	exitAnswerTime      = 150 * time.Millisecond // before exit, to answer the requests that are still in progress
	drainPollInterval   = 20 * time.Millisecond
	storeScaleFleet     = 8                      // largest fleet for which the intervals between store calls are not scaled
	delayPerInstance    = 25 * time.Millisecond  // per instance, so that a series of row changes is read in few calls
	maxBatchDelay       = 500 * time.Millisecond // well within the time that endpoints keep serving after they announce that they leave
	internalIdleTimeout = 10 * time.Second
	internalReadTimeout = 3 * time.Second // for a request
	maxInternalBody     = 1 << 10         // bytes
)

// Deps are what a gateway needs besides its settings.
type Deps struct {
	Wire       Wire
	RowDecoder RowDecoder
	Store      Store
	Log        logr.Logger
	Reload     <-chan os.Signal // the settings have changed
	Load       LoadSettings     // nil if settings cannot be read again
	Dial       Dial             // opens connections to endpoints; nil selects net.Dialer
}

// Dial opens a TCP connection to addr.
type Dial func(ctx context.Context, addr string) (net.Conn, error)

// Server is the gateway of one instance.
type Server struct {
	settings   Settings
	wire       Wire
	store      Store
	log        logr.Logger
	stats      *stats
	logLimiter logLimiter
	state      *state
	admission  *admission
	upstream   *upstream
	budget     *retryBudget
	reload     <-chan os.Signal
	load       LoadSettings
	peers      *peers
	era        storeEra
	following  []*watcher

	reloadMu sync.Mutex // held while settings are read and applied
	grace    gracePeriod

	quotaMu sync.Mutex
	quota   *window.Limiter

	coldLogged  map[string]placement.ColdEndpoint // by endpoint; used by probeLoop only
	coldRefused endpointLog                       // of cold times that cannot be read

	quarantine *quarantineState
	evacuation *evacuations
	origins    *origins

	active      atomic.Int64 // requests being read or answered
	draining    atomic.Bool
	stopping    atomic.Bool  // requests are no longer forwarded to endpoints
	unreachable atomic.Int64 // endpoints to which no connection can be made
	cutOff      atomic.Bool  // other instances serve callers better; see updateCutOff

	exiting context.Context // ends when requests in progress have to be answered because of the exit
	exit    context.CancelCauseFunc

	callers *callerConns

	listenMu  sync.Mutex
	listeners []*steadyListener

	connMu sync.Mutex
	conns  map[net.Conn]struct{}

	drainStartedAt atomic.Pointer[time.Time] // set before draining
	times          requestTimes
}

// New returns a Server that has no configuration yet.
func New(s Settings, d Deps) *Server {
	g := &Server{
		settings: s,
		wire:     d.Wire,
		store:    d.Store,
		log:      d.Log,

		quarantine: newQuarantineState(),
		evacuation: newEvacuations(),

		callers: newCallerConns(),

		conns:  map[net.Conn]struct{}{},
		reload: d.Reload,
		load:   d.Load,
	}
	g.grace.set(s.GracePeriod)
	g.exiting, g.exit = context.WithCancelCause(context.Background())
	var start time.Time
	if !s.Bootstrap {
		start = time.Now()
	}
	g.budget = newRetryBudget(s.RetryRatio, s.RetryExtra, s.RetryWindow, start)
	g.quota = window.New(s.QuotaWindow, window.Slack{Fraction: s.QuotaSlackRatio, Tokens: s.QuotaSlackTokens}, start)
	g.quota.SetPeers(nil, assumedFleetSize, updateTransit(assumedFleetSize))
	seed := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	scheduler := placement.New(s.DataCentre, seed)
	scheduler.SetColdSlack(s.ColdSlackRatio, s.ColdSlackRequests, coldstart.NewFleet(s.Instance, time.Now()))
	scheduler.SetMember(time.Now(), pacing.Member{Rank: rand.IntN(assumedFleetSize), Count: assumedFleetSize})
	g.admission = newAdmission(scheduler, func(ep *config.Endpoint) {
		g.stats.ejections.Inc()
		g.log.Info("endpoint.ejected", "endpoint", ep.Name, "addr", ep.Addr)
	})
	g.upstream = newUpstream(d.Wire, g.setUserTimeout)
	g.upstream.memory = newBodyMemory(s.MemoryBytes)
	g.upstream.memory.onShort = func() { g.stats.memoryShort.Inc() }
	if s.SlowReaders {
		g.upstream.ahead = g.upstream.memory.readAhead()
	}
	g.upstream.onResponse = func(req endpointRequest, sentAt time.Time, resp ResponseInfo) {
		g.recordLimit(req, sentAt, resp)
	}
	g.upstream.onAnnouncement = func(req endpointRequest, resp ResponseInfo) {
		g.recordPause(req, resp)
		g.recordCold(req, resp)
		g.recordLoad(req, resp)
		if req.announcesLeaving(resp) {
			if g.state.announceLeaving(time.Now(), req.endpoint, req.placedAt) {
				g.peers.requestUpdate()
			}
		}
	}
	if d.Dial != nil {
		g.upstream.paths.direct = d.Dial
	}
	g.upstream.paths.detour, g.upstream.paths.onCut, g.upstream.paths.onBack = g.dialDetour, g.pathCut, g.pathBack
	g.upstream.mayAsk = g.admission.isUnlimited
	g.upstream.recheck, g.upstream.admit = g.admission.recheck, g.admitSend
	g.upstream.onEndByClose = func(confirmed bool) { g.stats.closedAnswers[confirmed].Inc() }
	g.state = newState(d.RowDecoder, g.admission, d.Log)
	g.origins = newOrigins(d.Store, s.Instance, g.state)
	g.state.onEndpoint, g.state.onMove, g.origins.synced = g.origins.seeSoftware, g.origins.routesMoved, g.synced
	g.peers = newPeers(g)
	g.origins.fleetSize, g.origins.heardRank = g.peers.fleetSize, g.peers.heardRank
	g.admission.onChange = g.peers.requestUpdate
	g.stats = newStats(g)
	g.callers.onYield = func(n int) { g.stats.yieldedConns.Add(n) }
	return g
}

// Run serves until drain ends, then completes running requests within the grace period.
func (s *Server) Run(drain context.Context) error {
	callers, err := s.listen("callers", s.settings.CallerAddr)
	if err != nil {
		return err
	}
	readiness, err := s.listen("readiness probes", s.settings.ReadinessAddr)
	if err != nil {
		return err
	}
	state, err := s.listen("other instances", s.settings.PeerAddr)
	if err != nil {
		return err
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
	s.following = s.watchers()
	s.era.onRaise = func() { s.endWaits(time.Now()) }
	for _, w := range s.following {
		g.Go(func() error { return w.run(ctx) })
	}
	g.Go(readiness.serveForever(s.serveReadiness))
	if metrics != nil {
		g.Go(metrics.serveForever(newInternalServer(s.serveMetrics).Serve))
	}
	g.Go(state.serveForever(newInternalServer(s.peers.serve).Serve))
	for _, loop := range []func(context.Context) error{s.peers.sendLoop, s.peers.receiveLoop, s.peers.relayLoop, s.peers.registerLoop, s.peers.catchUp, s.probeLoop, s.settleLoop, s.quarantineLoop, s.originsLoop} {
		g.Go(func() error { return loop(ctx) })
	}
	g.Go(func() error { return s.accept(ctx, callers) })
	g.Go(func() error { return s.housekeeping(ctx) })
	s.log.Info("process.start", "callers", s.settings.CallerAddr, "data_centre", s.settings.DataCentre)
	select {
	case <-drain.Done():
		s.shutDown(callers)
		return nil
	case <-ctx.Done():
		// A part has ended without which the instance cannot serve. The platform starts the process again; the other
		// parts are not waited for.
		err := context.Cause(ctx)
		s.log.Error(err, "process.part_ended")
		s.closeListeners()
		return err
	}
}

// scaleToFleet lengthens the interval between two calls to the store in proportion to the
// fleet, up to a limit, so that the load on the store hardly depends on its size.
func (s *Server) scaleToFleet(d, limit time.Duration) time.Duration {
	fleet := time.Duration(max(1, s.peers.fleetSize()))
	return min(limit, max(d, d*fleet/storeScaleFleet))
}

// pollWait returns how long a call waits for changes. Open connections may fall silent, all of them
// at once, right after a change has made all instances begin to wait for the next one: then a few
// instances notice it early, and the others end their waits when these have newer state.
func (s *Server) pollWait() time.Duration {
	if s.peers.pollsOften(time.Now()) {
		return frequentPollWait
	}
	return s.scaleToFleet(pollWait, maxPollWait)
}

// endWaits ends the calls that have been waiting for changes since before t, and reports whether there
// were any.
func (s *Server) endWaits(t time.Time) bool {
	ended := false
	for _, w := range s.following {
		ended = w.endWait(t) || ended
	}
	return ended
}

// batchDelay returns how long after a change a table is not read again, so that a series of
// changes costs each instance of a large fleet few calls.
func (s *Server) batchDelay() time.Duration {
	return min(maxBatchDelay, time.Duration(s.peers.fleetSize())*delayPerInstance)
}

func (s *Server) watchers() []*watcher {
	return []*watcher{
		{store: s.store, era: &s.era, table: Configuration, wait: s.pollWait, log: s.log,
			apply: func(rows []Row, at Position, full bool) {
				s.readEvacuations(time.Now(), rows, at, full) // first: an instance with a configuration serves
				for _, r := range rows {
					if r.Kind == ConfigurationRow && !r.Deleted {
						s.state.applyConfiguration(r.Value, "store")
					}
				}
			},
			batchDelay: s.batchDelay,
		},
		{store: s.store, era: &s.era, table: Endpoints, wait: s.pollWait, log: s.log,
			apply:      func(rows []Row, at Position, full bool) { s.state.applyEndpoints(time.Now(), rows, at, full) },
			batchDelay: s.batchDelay,
			onFailure: func() {
				s.stats.storeFailures.Inc()
				s.state.storeFailed(time.Now())
			},
			onRecovery: func() { s.state.storeRecovered(time.Now()) },
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
			return errors.Wrap(err, "the listener for callers has ended")
		}
		s.setUserTimeout(nc)
		s.connMu.Lock()
		s.conns[nc] = struct{}{}
		s.connMu.Unlock()
		s.callers.add()
		go func() {
			s.newConn(nc).serve(ctx)
			s.connMu.Lock()
			delete(s.conns, nc)
			s.connMu.Unlock()
			s.callers.remove()
		}()
	}
}

// serveReadiness responds to the balancer's readiness probes.
func (s *Server) serveReadiness(ln net.Listener) error {
	return newInternalServer(func(ctx *fasthttp.RequestCtx) {
		if !s.ready() {
			ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		}
	}).Serve(ln)
}

// listenMetrics opens the listener for metrics, if an address is set.
func (s *Server) listenMetrics() (*steadyListener, error) {
	if s.settings.MetricsAddr == "" {
		return nil, nil
	}
	return s.listen("metrics", s.settings.MetricsAddr)
}

func (s *Server) serveMetrics(ctx *fasthttp.RequestCtx) {
	ctx.SetContentType("text/plain; version=0.0.4")
	s.stats.write(ctx)
}

// newInternalServer returns an HTTP server for clients other than callers. Their requests have no body.
func newInternalServer(h fasthttp.RequestHandler) *fasthttp.Server {
	return &fasthttp.Server{Handler: h, NoDefaultServerHeader: true, NoDefaultDate: true, Logger: discardLogger{}, IdleTimeout: internalIdleTimeout, ReadTimeout: internalReadTimeout, MaxRequestBodySize: maxInternalBody}
}

// discardLogger drops the log messages of fasthttp, which can quote untrusted bytes.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}

// ready reports whether the instance can serve callers.
func (s *Server) ready() bool {
	st := s.state.Current()
	return !s.draining.Load() && !s.cutOff.Load() && st.Ticket > 0 && len(st.Endpoints) > 0 && s.synced(time.Now()) && s.knowsQuarantine(time.Now())
}

// knowsQuarantine reports whether the instance knows what is quarantined, as far as it can find
// out. Without it a request that crashes its endpoints would crash some after every restart.
func (s *Server) knowsQuarantine(now time.Time) bool {
	return s.quarantine.isKnown() || now.Sub(s.peers.started) > syncTimeout
}

// syncTimeout is how long after its start an instance waits for updates from the others: three
// idle update intervals.
const syncTimeout = 1200 * time.Millisecond

// synced reports whether the instance knows the load and the token usage of most others, and has
// their configuration. Without them it would refuse requests that it cannot prove to be within an
// account's rate, assume that engines are idle, and go by the older configuration of a store that
// was restored.
func (s *Server) synced(now time.Time) bool {
	if now.Sub(s.peers.started) > syncTimeout {
		return true
	}
	if s.settings.Bootstrap {
		return s.peers.isListed() // no instance has used anything yet
	}
	silent, known := s.peers.countSilent(now)
	return s.peers.isListed() && known > 0 && 2*silent <= known && !s.peers.isBehind(s.state.Current().Ticket)
}

// housekeeping closes idle connections, drops endpoints that did not register again, reads changed
// settings, and logs how many routine requests were not logged.
func (s *Server) housekeeping(ctx context.Context) error {
	omitted := uint64(0)
	expire := time.NewTicker(expireInterval)
	defer expire.Stop()
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-expire.C:
			s.state.expire(time.Now())
			s.origins.expire(time.Now())
			s.expireEvacuations(time.Now())
		case <-sweep.C:
			inUse := map[string]bool{}
			for _, e := range s.state.Current().Endpoints {
				inUse[e.Addr] = true
			}
			s.upstream.sweep(inUse)
			s.peers.logChanges(time.Now())
			if n := s.stats.omitted.Get(); n > omitted {
				s.log.Info("log.omitted", "requests", n-omitted)
				omitted = n
			}
		case <-s.reload:
			s.log.Info("process.reload")
			go s.reloadSettings() // the read may be slow
		}
	}
}

// busy reports whether there are requests in progress: of callers, or of other instances through tunnels.
func (s *Server) busy() bool { return s.active.Load() > 0 || s.peers.tunnelRequests.Load() > 0 }

// shutDown makes the instance not ready, serves the requests that still arrive, and waits for
// running ones.
func (s *Server) shutDown(ln net.Listener) {
	began := time.Now()
	s.drainStartedAt.Store(&began)
	s.draining.Store(true)
	s.log.Info("process.drain", "active", s.active.Load())
	// The settings may have changed without a signal. A slow read must not delay the exit.
	go s.reloadSettings()
	for time.Now().Before(s.exitAt().Add(-callDrainTime)) {
		deregistered := time.Since(began) >= balancerDelay
		if deregistered && !s.busy() {
			break
		}
		time.Sleep(drainPollInterval)
	}
	// Requests read from now on are refused instead of forwarded, so that the exit interrupts
	// none.
	s.stopping.Store(true)
	_ = ln.Close()
	answerAll := time.AfterFunc(time.Until(s.answerBy()), func() {
		s.exit(refusal(errkind.ShuttingDown, "this instance is shutting down", shutdownRetryAfter))
	})
	defer answerAll.Stop()
	s.peers.leave()
	for s.busy() && time.Now().Before(s.exitAt()) {
		time.Sleep(drainPollInterval)
	}
	s.log.Info("process.stop", "cut", s.active.Load(), "tunnels_cut", s.peers.tunnelRequests.Load(), "ms", time.Since(began).Milliseconds())
}
