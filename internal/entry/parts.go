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

// Parts of the daemon that draw random numbers; each has its own sequence.
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

// Network is the daemon's way to other processes.
type Network struct {
	Gate *netgate.Gate // nil: an open gate
}

// Policy selects among policies that are compared with each other.
type Policy struct {
	Scheduler string // "" is the policy of operation
	Limiter   string // "" is the policy of operation
}

// Names of schedulers that the policy of operation is compared with.
const (
	RoundRobin      = "round-robin"
	LeastLoaded     = "least-loaded"
	DecodeFirstFIFO = "decode-first-fifo"
)

// Names of limiters that the policy of operation is compared with.
const (
	PerInstance     = "per-instance"
	TablePerRequest = "table-per-request"
	Unlimited       = "unlimited"
)

// controller is a duty that runs until its context ends.
type controller func(ctx context.Context) error

// parts are the pieces that the filter chain is built from.
type parts struct {
	config      config.Source
	applied     func() uint64
	limiter     limit.Limiter
	operations  operation.Store
	scheduler   sched.Scheduler
	controllers []controller
	handOver    func(ctx context.Context) // gives shards and rights to other instances
	peerServer  *rpc.Server
	peers       *rpc.Client
	members     *member.Controller
	evidence    *evidence
	shards      *shard.Controller
}

// newDialer returns the clients for endpoints.
func newDialer(s RequestSettings, g *netgate.Gate) endpoint.Dialer {
	return httpendpoint.NewDialer(httpendpoint.Options{Idle: s.EndpointIdle, ServiceIdle: s.ServiceIdle, DialContext: g.DialContext})
}

// assemble builds the controllers, the filter chain and the front.
func (d *Daemon) assemble() error {
	p := &parts{}
	d.parts = p
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

// assemblePeers opens the connections between instances.
func (d *Daemon) assemblePeers(p *parts) error {
	o := rpc.Options{Dial: d.gate.DialContext, Logger: d.deps.Log.WithName("peer")}
	if s := d.settings.Peers; !s.Plain {
		id, err := rpc.LoadIdentity(rpc.Files{Cert: s.Cert, Key: s.Key, CA: s.CA}, o.Logger)
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

// assembleMembers keeps the instance's session and its view of the others.
func (d *Daemon) assembleMembers(p *parts) error {
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
		Rand:      d.random(seedMember),
		Applied:   func() uint64 { return p.applied() },
		Seeds:     s.Peers.Seeds,
		Logger:    d.deps.Log.WithName("member"),
		Events:    d.events,
	})
	if err != nil {
		return err
	}
	p.members = members
	p.evidence = newEvidence(members, d.deps.Platform.Table, d.deps.Clock)
	p.controllers = append(p.controllers, members.Run)
	return nil
}

// assembleConfig keeps the configuration in force, from the table or from peers.
func (d *Daemon) assembleConfig(p *parts) error {
	exchange := ticketpeer.New(ticketpeer.Options{
		Members: p.members,
		Caller:  p.peers,
		Seed:    d.deps.Seed + seedTicketPeer,
		Log:     d.deps.Log.WithName("ticketpeer"),
	})
	applier := ticket.NewApplier(ticket.Options{
		Table:    d.deps.Platform.Table,
		Objects:  d.deps.Platform.Objects,
		Peers:    exchange,
		Announce: exchange,
		Fast:     exchange.Fast,
		Clock:    d.deps.Clock,
		Seed:     d.deps.Seed + seedTicket,
		Ring:     d.events,
		Log:      d.deps.Log.WithName("ticket"),
	})
	p.config = applier
	p.applied = applier.Applied
	p.controllers = append(p.controllers, exchange.Run, applier.Run)
	return exchange.Register(p.peerServer, applier)
}

// assembleScheduler chooses the scheduling policy.
func (d *Daemon) assembleScheduler(p *parts) error {
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

// assembleDispatch schedules with one dispatcher for each pool and data centre. A nil
// tuning is that of operation.
func (d *Daemon) assembleDispatch(p *parts, tuning *pool.Tuning) error {
	node := dispatch.New(dispatch.Options{
		Config:    p.config,
		Members:   p.members,
		Caller:    p.peers,
		Dialer:    d.dialer,
		Clock:     d.deps.Clock,
		Rand:      d.random(seedSched),
		Logger:    d.deps.Log.WithName("sched"),
		Events:    d.events,
		Tuning:    tuning,
		Evidence:  p.evidence,
		Instances: d.deps.Platform.Instances,
	})
	p.scheduler = node
	p.controllers = append(p.controllers, node.Run)
	return p.peerServer.Register(dispatch.ServiceName, node.Service())
}

// assembleLimiter chooses the rate limit policy.
func (d *Daemon) assembleLimiter(p *parts) error {
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

// assembleEscrow limits rates with one home for each account and data centre.
func (d *Daemon) assembleEscrow(p *parts) error {
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
		Rand:        d.random(seedLimit),
		Logger:      d.deps.Log.WithName("limit"),
		Events:      d.events,
	})
	if err != nil {
		return err
	}
	p.shards.OnRelease(limiter.Release)
	p.limiter = limiter
	p.controllers = append(p.controllers, limiter.Run)
	p.handOver = func(ctx context.Context) {
		limiter.Freeze()
		d.note("shards not released", p.shards.Release(ctx))
		d.note("rights not handed over", limiter.Close(ctx))
	}
	return nil
}

// assembleShards takes part in the shards of the data centre and gives the orders to
// the endpoints that this instance is home of.
func (d *Daemon) assembleShards(p *parts) error {
	shards, err := shard.NewController(shard.Options{
		Members:   p.members,
		Table:     d.deps.Platform.Table,
		Caller:    p.peers,
		Registrar: p.peerServer,
		Clock:     d.deps.Clock,
		Rand:      d.random(seedShard),
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
		Rand:    d.random(seedOrder),
		Logger:  d.deps.Log.WithName("order"),
		Events:  d.events,
	})
	p.shards = shards
	p.handOver = func(ctx context.Context) { d.note("shards not released", shards.Release(ctx)) }
	p.controllers = append(p.controllers, shards.Run, orders.Run)
	return nil
}

func (d *Daemon) assembleOperations(p *parts) {
	s := tablestore.DefaultSettings()
	s.Retention = d.settings.Requests.OperationTTL
	store := tablestore.New(tablestore.Options{
		Settings: s,
		Table:    d.deps.Platform.Table,
		Clock:    d.deps.Clock,
		Log:      d.deps.Log.WithName("operation"),
		OwnerDead: func(owner string) bool {
			id, err := reqid.Parse(owner)
			return err == nil && p.evidence.Dead(id.Instance, id.Incarnation)
		},
		Sweeps: func() bool { return firstOfDataCentre(p.members.View()) },
	})
	p.operations = store
	p.controllers = append(p.controllers, store.Run, func(ctx context.Context) error {
		return d.shareWrites(ctx, store)
	})
}

// assembleOperator serves the operator port; without operators there is none.
func (d *Daemon) assembleOperator(p *parts) error {
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
		CutOff:     cuts{members: p.members, dataCentres: d.settings.Instance.DataCentres},
		Refusals:   d.refusals,
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

// operatorTimeout bounds reading and answering one request of an operator.
const operatorTimeout = 10 * time.Second

// discardLogger drops the HTTP library's messages, which can quote callers' bytes.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}

// Applied returns the number of the ticket in force on this instance.
func (d *Daemon) Applied() uint64 { return d.parts.applied() }
