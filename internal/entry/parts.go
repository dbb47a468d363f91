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
	"carawayrouter.example/router/internal/member"
	"carawayrouter.example/router/internal/netgate"
	"carawayrouter.example/router/internal/operation"
	"carawayrouter.example/router/internal/operation/tablestore"
	"carawayrouter.example/router/internal/operator"
	"carawayrouter.example/router/internal/peer/rpc"
	"carawayrouter.example/router/internal/reqid"
	"carawayrouter.example/router/internal/sched"
	"carawayrouter.example/router/internal/sched/baseline"
	"carawayrouter.example/router/internal/sched/dispatch"
	"carawayrouter.example/router/internal/sched/pool"
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
	handOver    func()
	peerServer  *rpc.Server
	peers       *rpc.Client
	members     *member.Controller
}

// newDialer returns the clients for endpoints.
func newDialer(s RequestSettings, g *netgate.Gate) endpoint.Dialer {
	return httpendpoint.NewDialer(httpendpoint.Options{Idle: s.EndpointIdle, DialContext: g.DialContext})
}

// assemble builds the controllers, the filter chain and the front.
func (d *Daemon) assemble() error {
	p := &parts{handOver: func() {}}
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
	if err := d.assembleScheduler(p); err != nil {
		return err
	}
	d.assembleOperations(p)
	if err := d.assembleOperator(p); err != nil {
		return err
	}
	p.limiter = unlimited{}
	d.front = d.newFront(reqid.NewSource(d.settings.Instance.Name, d.process))
	return nil
}

type unlimited struct{}

type unlimitedReservation struct{}

func (unlimitedReservation) Settle(int) {}

func (unlimited) Reserve(context.Context, string, int, time.Time) (limit.Reservation, error) {
	return unlimitedReservation{}, nil
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
		Logger:    d.deps.Log.WithName("member"),
		Events:    d.events,
	})
	if err != nil {
		return err
	}
	p.members = members
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
	local := pool.Options{
		Config:     p.config,
		Dialer:     d.dialer,
		Clock:      d.deps.Clock,
		Rand:       d.random(seedSched),
		DataCentre: d.settings.Instance.DataCentre,
		Logger:     d.deps.Log.WithName("sched"),
		Events:     d.events,
	}
	switch d.deps.Policy.Scheduler {
	case "":
		return d.assembleDispatch(p)
	case RoundRobin:
		p.scheduler = baseline.NewRoundRobin(p.config, local.DataCentre)
	case LeastLoaded:
		s := baseline.NewLeastLoaded(p.config, d.dialer, d.deps.Clock, local.DataCentre)
		p.scheduler = s
		p.controllers = append(p.controllers, s.Run)
	case DecodeFirstFIFO:
		s := baseline.NewDecodeFirstFIFO(local)
		p.scheduler = s
		p.controllers = append(p.controllers, s.Run)
	default:
		return errors.Newf("scheduler %q is unknown", d.deps.Policy.Scheduler)
	}
	return nil
}

// assembleDispatch schedules with one dispatcher for each pool and data centre.
func (d *Daemon) assembleDispatch(p *parts) error {
	node := dispatch.New(dispatch.Options{
		Config:   p.config,
		Members:  p.members,
		Caller:   p.peers,
		Dialer:   d.dialer,
		Clock:    d.deps.Clock,
		Rand:     d.random(seedSched),
		Logger:   d.deps.Log.WithName("sched"),
		Events:   d.events,
		Evidence: newEvidence(p.members, d.deps.Platform.Table, d.deps.Clock),
	})
	p.scheduler = node
	p.controllers = append(p.controllers, node.Run)
	return p.peerServer.Register(dispatch.ServiceName, node.Service())
}

func (d *Daemon) assembleOperations(p *parts) {
	s := tablestore.DefaultSettings()
	s.Retention = d.settings.Requests.OperationTTL
	store := tablestore.New(tablestore.Options{
		Settings: s,
		Table:    d.deps.Platform.Table,
		Clock:    d.deps.Clock,
		Log:      d.deps.Log.WithName("operation"),
	})
	p.operations = store
	p.controllers = append(p.controllers, store.Run)
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
