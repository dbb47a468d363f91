package entry

import (
	"context"
	"expvar"
	"math/rand/v2"
	"net"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"golang.org/x/sync/errgroup"

	"carawayrouter.example/router/internal/cancel"
	"carawayrouter.example/router/internal/clock"
	"carawayrouter.example/router/internal/endpoint"
	"carawayrouter.example/router/internal/event"
	"carawayrouter.example/router/internal/filter"
	"carawayrouter.example/router/internal/filters"
	"carawayrouter.example/router/internal/front"
	"carawayrouter.example/router/internal/metrics"
	"carawayrouter.example/router/internal/netgate"
	"carawayrouter.example/router/internal/operator"
	"carawayrouter.example/router/internal/platform"
	"carawayrouter.example/router/internal/reqid"
	"carawayrouter.example/router/internal/retry"
	"carawayrouter.example/router/internal/shard"
	"carawayrouter.example/router/internal/tcp"
)

const (
	retryBudgetLimit  = 20 // retries
	retryBase         = 20 * time.Millisecond
	retryCap          = time.Second
	deregisterTimeout = 2 * time.Second
	handoverTimeout   = 5 * time.Second
)

// Deps are the dependencies of a daemon besides its settings. Clock, Seed, Listeners, Network
// and Policy have defaults.
type Deps struct {
	Platform  platform.Platform
	Clock     clock.Clock
	Seed      uint64 // of the random sources; 0 means a random seed
	Log       logr.Logger
	Listeners Listeners
	Network   Network
	Policy    Policy
}

// Listeners are the listening sockets of a daemon. Nil ones are opened as the settings say.
type Listeners struct{ Callers, Peers, Operator net.Listener }

// open opens the listeners that are nil.
func (l *Listeners) open(s ListenSettings) error {
	for _, x := range []struct {
		name string
		addr string
		ln   *net.Listener
	}{
		{"listen.callers", s.Callers, &l.Callers},
		{"listen.peers", s.Peers, &l.Peers},
		{"listen.operator", s.Operator, &l.Operator},
	} {
		if *x.ln != nil {
			continue
		}
		ln, err := tcp.Listen(x.addr)
		if err != nil {
			l.close()
			return errors.Newf("%s: %s: cannot listen: %s", x.name, x.addr, socketErrorText(err))
		}
		*x.ln = ln
	}
	return nil
}

func (l *Listeners) close() {
	for _, ln := range []net.Listener{l.Callers, l.Peers, l.Operator} {
		if ln != nil {
			_ = ln.Close()
		}
	}
}

// socketErrorText returns the operating system's error message of a failed socket call.
func socketErrorText(err error) string {
	var se *os.SyscallError
	if errors.As(err, &se) {
		return se.Err.Error()
	}
	return err.Error()
}

// Daemon is one entry instance.
type Daemon struct {
	settings   Settings
	gate       *netgate.Gate
	process    uint64 // start time in Unix nanoseconds, the incarnation number of this process
	deps       Deps
	listeners  Listeners
	events     *event.Ring
	metrics    *metrics.Set
	refusals   *operator.RefusalCounter
	dialer     endpoint.Dialer
	canceller  *cancel.Canceller
	front      *front.Server
	components *components
}

// New creates a daemon and opens its listeners. An error means that the settings are invalid.
func New(s Settings, d Deps) (*Daemon, error) {
	if d.Clock == nil {
		d.Clock = clock.Real{}
	}
	if d.Seed == 0 {
		d.Seed = rand.Uint64()
	}
	if d.Network.Gate == nil {
		d.Network.Gate = netgate.New(nil)
	}
	daemon := &Daemon{
		gate:      d.Network.Gate,
		process:   uint64(d.Clock.Now().UnixNano()),
		settings:  s,
		deps:      d,
		listeners: d.Listeners,
		events:    event.NewRing(s.Instance.Name, s.Log.Events, d.Clock),
		metrics:   metrics.New(),
		refusals:  operator.NewRefusalCounter(d.Clock),
	}
	if err := daemon.listeners.open(s.Listen); err != nil {
		return nil, err
	}
	daemon.dialer = newDialer(s.Requests, daemon.gate)
	daemon.canceller = cancel.New(daemon.dialer, daemon.events, daemon.metrics)
	if err := daemon.assemble(); err != nil {
		daemon.listeners.close()
		return nil, err
	}
	return daemon, nil
}

// Metrics returns the daemon's metrics under their published names.
func (d *Daemon) Metrics() *expvar.Map { return d.metrics.Map() }

// Home returns the home of a shard as this instance knows it.
func (d *Daemon) Home(k shard.Key) (shard.Assignment, bool) { return d.components.shards.Home(k) }

// newRand returns the random source of one component; see the seed constants.
func (d *Daemon) newRand(component uint64) *rand.Rand {
	return rand.New(rand.NewPCG(d.deps.Seed, component))
}

// chain builds the filter chain.
func (d *Daemon) chain() filter.Handler {
	p := d.components
	return filter.Chain(
		&filters.Route{Config: p.config},
		&filters.Identify{Config: p.config},
		&filters.RateLimit{Limiter: p.limiter},
		&filters.Operation{Store: p.operations, Events: d.events},
		&filters.Retry{
			MaxAttempts: d.settings.Requests.MaxAttempts,
			Budget:      retry.NewBudget(d.settings.Requests.RetryBudget, retryBudgetLimit),
			Backoff:     retry.NewBackoff(retryBase, retryCap, d.newRand(seedRetry)),
			Clock:       d.deps.Clock,
			Events:      d.events,
			Metrics:     d.metrics,
		},
		&filters.Schedule{Scheduler: p.scheduler, Events: d.events, Metrics: d.metrics},
		&filters.Authorize{Config: p.config},
		&filters.Dispatch{
			Dialer:    d.dialer,
			Canceller: d.canceller,
			Clock:     d.deps.Clock,
			Events:    d.events,
			Metrics:   d.metrics,
		},
	)
}

func (d *Daemon) newFront(ids *reqid.Source) *front.Server {
	return front.New(front.Options{
		Chain:           d.chain(),
		IDs:             ids,
		Config:          d.components.config,
		Operations:      d.components.operations,
		Clock:           d.deps.Clock,
		Log:             d.deps.Log,
		Events:          d.events,
		Metrics:         d.metrics,
		OnRefusal:       d.refusals.Add,
		MaxBodyBytes:    d.settings.Requests.MaxBody,
		MaxOutputTokens: d.settings.Requests.MaxOutput,
		MaxConnections:  d.settings.Listen.Connections,
		ReadTimeout:     d.settings.Listen.ReadTimeout,
		IdleTimeout:     d.settings.Listen.IdleTimeout,
		WriteTimeout:    d.settings.Listen.WriteTimeout,
	})
}

// Run serves until drain is done. It then lets running requests finish and hands over what
// the instance holds. When force is done, it stops at once and logs the number of aborted
// requests.
func (d *Daemon) Run(drain, force context.Context) error {
	controllers, stopControllers := context.WithCancel(force)
	defer stopControllers()
	g, ctx := errgroup.WithContext(controllers)
	for _, c := range d.components.controllers {
		g.Go(func() error { return c(ctx) })
	}
	g.Go(func() error { return d.canceller.Run(ctx) })
	g.Go(func() error { return d.front.Serve(d.gate.Listener(d.listeners.Callers)) })
	d.deps.Log.Info("serving", "callers", d.settings.Listen.Callers)

	select {
	case <-drain.Done():
	case <-force.Done():
	case <-ctx.Done():
	case <-d.components.members.Fenced():
		d.deps.Log.Info("another process has taken over the session of this instance; shutting down")
	}
	d.shutDown(ctx, force)
	stopControllers()
	d.listeners.close()
	err := g.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// shutDown deregisters the instance from the platform, keeps serving for LeaveGrace because
// the platform's instance list lags, drains running requests, closes the HTTP server, and
// hands over to the other instances.
func (d *Daemon) shutDown(ctx, force context.Context) {
	if force.Err() == nil && ctx.Err() == nil {
		d.deregister()
		select {
		case <-d.deps.Clock.After(d.settings.Requests.LeaveGrace):
		case <-force.Done():
		}
	}
	waitCtx, stop := context.WithTimeout(force, d.drainTimeout())
	defer stop()
	if aborted := d.front.Drain(waitCtx); aborted > 0 {
		d.deps.Log.Info("shutdown aborts running requests", "requests", aborted)
	}
	if err := d.front.Close(); err != nil {
		d.deps.Log.Error(err, "failed to close the HTTP server for callers")
	}
	if force.Err() == nil {
		d.handover()
	}
}

// handover hands over shards and account state and releases the session, so that other
// instances can take over without waiting for the session to expire.
func (d *Daemon) handover() {
	ctx, stop := context.WithTimeout(context.Background(), handoverTimeout)
	defer stop()
	d.components.handover(ctx)
	d.logFailure("failed to release the session", d.components.members.Leave(ctx))
}

// deregister removes the instance from the platform's list, so that the load balancer sends
// it no more callers.
func (d *Daemon) deregister() {
	ctx, stop := context.WithTimeout(context.Background(), deregisterTimeout)
	defer stop()
	d.logFailure("failed to deregister from the platform", d.deps.Platform.Instances.Leave(ctx, d.settings.Instance.Name))
	d.events.Add(event.Event{Kind: "instance.drain"})
}

// drainTimeout returns the maximum time to wait for running requests at shutdown: the
// setting drain_timeout or, if that is 0, the longest route deadline.
func (d *Daemon) drainTimeout() time.Duration {
	longest := d.settings.Requests.Drain
	if longest > 0 {
		return longest
	}
	for _, r := range d.components.config.Current().Routes {
		longest = max(longest, r.Deadline)
	}
	return longest
}
