package entry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"carawayrouter.example/router/internal/cli"
	"carawayrouter.example/router/internal/config"
	"carawayrouter.example/router/internal/endpoint"
	"carawayrouter.example/router/internal/endpoint/httpendpoint"
	"carawayrouter.example/router/internal/limit"
	"carawayrouter.example/router/internal/limit/baseline"
	"carawayrouter.example/router/internal/limit/escrow"
	"carawayrouter.example/router/internal/member"
	"carawayrouter.example/router/internal/netgate"
	"carawayrouter.example/router/internal/operation"
	"carawayrouter.example/router/internal/operation/tablestore"
	"carawayrouter.example/router/internal/operator"
	"carawayrouter.example/router/internal/order"
	"carawayrouter.example/router/internal/peer/rpc"
	"carawayrouter.example/router/internal/reqid"
	"carawayrouter.example/router/internal/sched"
	schedbaseline "carawayrouter.example/router/internal/sched/baseline"
	"carawayrouter.example/router/internal/sched/dispatch"
	"carawayrouter.example/router/internal/sched/pool"
	"carawayrouter.example/router/internal/shard"
	"carawayrouter.example/router/internal/ticket"
	"carawayrouter.example/router/internal/ticket/ticketpeer"
)

// Components with a random source. Each has its own sequence derived from Deps.Seed.
const (
	seedRetry = iota + 1
	seedSched
	seedTicket
	seedTicketPeer
	seedMember
	seedShard
	seedLimit
	seedOrder
)

// Network is the daemon's access to the network.
type Network struct {
	Gate *netgate.Gate // nil means a gate that passes all connections
}

// Policy selects the scheduler and the rate limiter. Load experiments compare the defaults
// with the baselines named below.
type Policy struct {
	Scheduler string // "" means the default scheduler
	Limiter   string // "" means the default limiter
}

// Names of the baseline schedulers.
const (
	RoundRobin      = "round-robin"
	LeastLoaded     = "least-loaded"
	DecodeFirstFIFO = "decode-first-fifo"
)

// Names of the baseline limiters.
const (
	PerInstance     = "per-instance"
	TablePerRequest = "table-per-request"
	Unlimited       = "unlimited"
)

// controller is a background task that runs until its context is done.
type controller func(ctx context.Context) error

// components are the parts of a daemon that the filter chain and shutdown use.
type components struct {
	config      config.Source
	applied     func() uint64
	limiter     limit.Limiter
	operations  operation.Store
	scheduler   sched.Scheduler
	running     operator.RunningSource // nil with a scheduler that does not tell
	controllers []controller
	handover    func(ctx context.Context) // hands shards and account state over to other instances
	peerServer  *rpc.Server
	peers       *rpc.Client
	members     *member.Controller
	liveness    *livenessChecker
	shards      *shard.Controller
}

// newDialer returns the dialer for endpoints.
func newDialer(s RequestSettings, g *netgate.Gate) endpoint.Dialer {
	return httpendpoint.NewDialer(httpendpoint.Options{IdleTimeout: s.EndpointIdle, ServiceIdleTimeout: s.ServiceIdle, DialContext: g.DialContext})
}

// assemble creates the controllers, the filter chain and the HTTP server for callers.
func (d *Daemon) assemble() error {
	p := &components{}
	d.components = p
	if err := d.assemblePeers(p); err != nil {
		return err
	}
	if err := d.assembleMembers(p); err != nil {
		return err
	}
	if err := d.assembleConfig(p); err != nil {
		return err
	}
	if err := d.assembleShards(p); err != nil {
		return err
	}
	if err := d.assembleScheduler(p); err != nil {
		return err
	}
	d.assembleOperations(p)
	if err := d.assembleOperator(p); err != nil {
		return err
	}
	if err := d.assembleLimiter(p); err != nil {
		return err
	}
	d.front = d.newFront(reqid.NewSource(d.settings.Instance.Name, d.process))
	return nil
}

// assemblePeers creates the RPC server and client for other instances.
func (d *Daemon) assemblePeers(p *components) error {
	o := rpc.Options{Dial: d.gate.DialContext, Logger: d.deps.Log.WithName("peer")}
	if s := d.settings.Peers; !s.Plain {
		id, err := rpc.LoadIdentity(rpc.CertFiles{Cert: s.Cert, Key: s.Key, CA: s.CA}, o.Logger)
		if err != nil {
			return errors.Wrap(err, "peers")
		}
		o.Identity = id
	}
	p.peerServer = rpc.NewServer(o)
	p.peers = rpc.NewClient(o)
	p.controllers = append(p.controllers, func(ctx context.Context) error {
		stop := context.AfterFunc(ctx, func() {
			_ = p.peerServer.Close()
			_ = p.peers.Close()
		})
		defer stop()
		err := p.peerServer.Serve(d.gate.Listener(d.listeners.Peers))
		if ctx.Err() != nil {
			return ctx.Err()
		}
		return err
	})
	return nil
}

// assembleMembers creates the member controller, which keeps the session of this instance
// and its view of the other instances.
func (d *Daemon) assembleMembers(p *components) error {
	s := d.settings
	members, err := member.NewController(member.Options{
		Session: member.Session{
			Name:       s.Instance.Name,
			Addr:       s.Listen.Peers,
			Callers:    s.Listen.Callers,
			Operator:   s.Listen.Operator,
			DataCentre: s.Instance.DataCentre,
			Process:    d.process,
		},
		Table:     d.deps.Platform.Table,
		Instances: d.deps.Platform.Instances,
		Caller:    p.peers,
		Registrar: p.peerServer,
		Clock:     d.deps.Clock,
		Rand:      d.newRand(seedMember),
		Applied:   func() uint64 { return p.applied() },
		Seeds:     s.Peers.Seeds,
		Logger:    d.deps.Log.WithName("member"),
		Events:    d.events,
	})
	if err != nil {
		return err
	}
	p.members = members
	p.liveness = newLivenessChecker(members, d.deps.Platform.Table, d.deps.Clock)
	p.controllers = append(p.controllers, members.Run)
	return nil
}

// assembleConfig creates the controllers that keep the configuration current, from the
// platform's table or from peers.
func (d *Daemon) assembleConfig(p *components) error {
	ticketPeers := ticketpeer.New(ticketpeer.Options{
		Members: p.members,
		Caller:  p.peers,
		Seed:    d.deps.Seed + seedTicketPeer,
		Log:     d.deps.Log.WithName("ticketpeer"),
	})
	applier := ticket.NewApplier(ticket.Options{
		Table:        d.deps.Platform.Table,
		Objects:      d.deps.Platform.Objects,
		Peers:        ticketPeers,
		Announce:     ticketPeers,
		IsFastPoller: ticketPeers.IsFastPoller,
		Clock:        d.deps.Clock,
		Seed:         d.deps.Seed + seedTicket,
		Ring:         d.events,
		Log:          d.deps.Log.WithName("ticket"),
	})
	p.config = applier
	p.applied = applier.Applied
	p.controllers = append(p.controllers, ticketPeers.Run, applier.Run)
	return ticketPeers.Register(p.peerServer, applier)
}

// assembleScheduler creates the scheduler that Deps.Policy selects.
func (d *Daemon) assembleScheduler(p *components) error {
	switch d.deps.Policy.Scheduler {
	case "":
		return d.assembleDispatch(p, nil)
	case RoundRobin:
		p.scheduler = schedbaseline.NewRoundRobin(p.config, d.settings.Instance.DataCentre)
	case LeastLoaded:
		s := schedbaseline.NewLeastLoaded(p.config, d.dialer, d.deps.Clock, d.settings.Instance.DataCentre)
		p.scheduler = s
		p.controllers = append(p.controllers, s.Run)
	case DecodeFirstFIFO:
		return d.assembleDispatch(p, schedbaseline.FIFOTuning())
	default:
		return errors.Newf("scheduler %q is unknown", d.deps.Policy.Scheduler)
	}
	return nil
}

// assembleDispatch creates the scheduler with one dispatcher per pool and data centre. Nil
// means the default tuning.
func (d *Daemon) assembleDispatch(p *components, tuning *pool.Tuning) error {
	node := dispatch.New(dispatch.Options{
		Config:    p.config,
		Members:   p.members,
		Caller:    p.peers,
		Dialer:    d.dialer,
		Clock:     d.deps.Clock,
		Rand:      d.newRand(seedSched),
		Logger:    d.deps.Log.WithName("sched"),
		Events:    d.events,
		Tuning:    tuning,
		Evidence:  p.liveness,
		Instances: d.deps.Platform.Instances,
		Table:     d.deps.Platform.Table,
	})
	p.scheduler, p.running = node, node
	p.controllers = append(p.controllers, node.Run)
	return p.peerServer.Register(dispatch.ServiceName, node.Service())
}

// assembleLimiter creates the rate limiter that Deps.Policy selects.
func (d *Daemon) assembleLimiter(p *components) error {
	switch d.deps.Policy.Limiter {
	case "":
		return d.assembleEscrow(p)
	case PerInstance:
		p.limiter = baseline.NewPerInstance(p.config, p.members, d.deps.Clock)
	case TablePerRequest:
		p.limiter = baseline.NewTablePerRequest(p.config, d.deps.Platform.Table, d.deps.Clock)
	case Unlimited:
		p.limiter = baseline.Unlimited{}
	default:
		return errors.Newf("limiter %q is unknown", d.deps.Policy.Limiter)
	}
	return nil
}

// assembleEscrow creates the rate limiter with one home per client account and data centre.
func (d *Daemon) assembleEscrow(p *components) error {
	limiter, err := escrow.New(escrow.Options{
		Self:        p.members.Self(),
		Config:      p.config,
		Directory:   p.shards,
		Members:     p.members,
		Caller:      p.peers,
		Registrar:   p.peerServer,
		Table:       d.deps.Platform.Table,
		DataCentres: d.settings.Instance.DataCentres,
		Clock:       d.deps.Clock,
		Rand:        d.newRand(seedLimit),
		Logger:      d.deps.Log.WithName("limit"),
		Events:      d.events,
	})
	if err != nil {
		return err
	}
	p.shards.OnRelease(limiter.Release)
	p.limiter = limiter
	p.controllers = append(p.controllers, limiter.Run)
	p.handover = func(ctx context.Context) {
		limiter.Freeze()
		d.logFailure("failed to release shards", p.shards.Release(ctx))
		d.logFailure("failed to hand over account state", limiter.Close(ctx))
	}
	return nil
}

// assembleShards creates the controller of the data centre's shards and the controller that
// sends orders to the endpoints whose home is this instance.
func (d *Daemon) assembleShards(p *components) error {
	shards, err := shard.NewController(shard.Options{
		Members:   p.members,
		Table:     d.deps.Platform.Table,
		Caller:    p.peers,
		Registrar: p.peerServer,
		Clock:     d.deps.Clock,
		Rand:      d.newRand(seedShard),
		Logger:    d.deps.Log.WithName("shard"),
		Events:    d.events,
	})
	if err != nil {
		return err
	}
	orders := order.NewController(order.Options{
		Home:    d.settings.Instance.Name,
		Shards:  shards,
		Config:  p.config,
		Engines: func(e *config.Endpoint) endpoint.Engine { return d.dialer.Engine(e.Addr) },
		Clock:   d.deps.Clock,
		Rand:    d.newRand(seedOrder),
		Logger:  d.deps.Log.WithName("order"),
		Events:  d.events,
	})
	p.shards = shards
	p.handover = func(ctx context.Context) { d.logFailure("failed to release shards", shards.Release(ctx)) }
	p.controllers = append(p.controllers, shards.Run, orders.Run)
	return nil
}

func (d *Daemon) assembleOperations(p *components) {
	s := tablestore.DefaultSettings()
	s.Retention = d.settings.Requests.OperationTTL
	store := tablestore.New(tablestore.Options{
		Settings: s,
		Table:    d.deps.Platform.Table,
		Clock:    d.deps.Clock,
		Log:      d.deps.Log.WithName("operation"),
		OwnerDead: func(owner string) bool {
			id, err := reqid.Parse(owner)
			return err == nil && p.liveness.Dead(id.Instance, id.Incarnation)
		},
		IsSweeper: func() bool { return firstOfDataCentre(p.members.View()) },
	})
	p.operations = store
	p.controllers = append(p.controllers, store.Run, func(ctx context.Context) error {
		return d.updateWriteShare(ctx, store)
	})
}

// assembleOperator creates the server of the operator port. Nothing is served there if no
// operator token is configured.
func (d *Daemon) assembleOperator(p *components) error {
	if len(d.settings.Operator.TokenHashes) == 0 {
		return nil
	}
	h, err := operator.Handler(operator.Options{
		Instance:   d.settings.Instance.Name,
		DataCentre: d.settings.Instance.DataCentre,
		Version:    cli.Version("caraway-entry"),
		Tokens:     d.settings.Operator.TokenHashes,
		Config:     p.config,
		Table:      d.deps.Platform.Table,
		CutOff:     cutOffDetector{members: p.members, dataCentres: d.settings.Instance.DataCentres},
		Refusals:   d.refusals,
		Running:    p.running,
		Ring:       d.events,
	})
	if err != nil {
		return errors.Wrap(err, "operator.token_sha256")
	}
	server := &fasthttp.Server{Handler: h, ReadTimeout: operatorTimeout, WriteTimeout: operatorTimeout, NoDefaultServerHeader: true, Logger: discardLogger{}}
	p.controllers = append(p.controllers, func(ctx context.Context) error {
		stop := context.AfterFunc(ctx, func() { _ = d.listeners.Operator.Close() })
		defer stop()
		err := server.Serve(d.gate.Listener(d.listeners.Operator))
		if ctx.Err() != nil {
			return ctx.Err()
		}
		return err
	})
	return nil
}

// operatorTimeout limits reading a request on the operator port, and writing its response.
const operatorTimeout = 10 * time.Second

// discardLogger drops the HTTP library's messages, which can quote request data.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}

// Applied returns the number of the ticket whose configuration this instance uses.
func (d *Daemon) Applied() uint64 { return d.components.applied() }
