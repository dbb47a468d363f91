package entry

import (
	"context"
	"time"

	"carawayrouter.example/router/internal/config"
	"carawayrouter.example/router/internal/endpoint"
	"carawayrouter.example/router/internal/endpoint/httpendpoint"
	"carawayrouter.example/router/internal/errkind"
	"carawayrouter.example/router/internal/limit"
	"carawayrouter.example/router/internal/netgate"
	"carawayrouter.example/router/internal/operation"
	"carawayrouter.example/router/internal/reqid"
	"carawayrouter.example/router/internal/sched"
	"carawayrouter.example/router/internal/sched/pool"
	"carawayrouter.example/router/internal/ticket"
)

// Parts of the daemon that draw random numbers; each has its own sequence.
const (
	seedRetry = iota + 1
	seedSched
	seedTicket
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
}

// newDialer returns the clients for endpoints.
func newDialer(s RequestSettings, g *netgate.Gate) endpoint.Dialer {
	return httpendpoint.NewDialer(httpendpoint.Options{Idle: s.EndpointIdle, DialContext: g.DialContext})
}

// assemble builds the controllers, the filter chain and the front.
func (d *Daemon) assemble() error {
	p := &parts{handOver: func() {}}
	d.parts = p
	d.assembleConfig(p)
	d.assembleScheduler(p)
	p.limiter = unlimited{}
	p.operations = noStore{}
	d.front = d.newFront(reqid.NewSource(d.settings.Instance.Name, uint64(time.Now().UnixNano())))
	return nil
}

// noStore refuses operations.
type noStore struct{}

var errNoStore = errkind.New(errkind.StoreUnavailable, "operations cannot be recorded")

// Claim implements operation.Store.
func (noStore) Claim(context.Context, string, string, string, string) (operation.Claim, *operation.Answer, error) {
	return nil, nil, errNoStore
}

// Status implements operation.Store.
func (noStore) Status(context.Context, string, string) (*operation.Record, error) {
	return nil, errNoStore
}

type unlimited struct{}

type unlimitedReservation struct{}

func (unlimitedReservation) Settle(int) {}

func (unlimited) Reserve(context.Context, string, int, time.Time) (limit.Reservation, error) {
	return unlimitedReservation{}, nil
}

func (d *Daemon) assembleConfig(p *parts) {
	applier := ticket.NewApplier(ticket.Options{
		Table:   d.deps.Platform.Table,
		Objects: d.deps.Platform.Objects,
		Clock:   d.deps.Clock,
		Seed:    d.deps.Seed + seedTicket,
		Ring:    d.events,
		Log:     d.deps.Log.WithName("ticket"),
	})
	p.config = applier
	p.applied = applier.Applied
	p.controllers = append(p.controllers, applier.Run)
}

func (d *Daemon) assembleScheduler(p *parts) {
	local := pool.NewLocal(pool.Options{
		Config:     p.config,
		Dialer:     d.dialer,
		Clock:      d.deps.Clock,
		Rand:       d.random(seedSched),
		DataCentre: d.settings.Instance.DataCentre,
		Logger:     d.deps.Log.WithName("sched"),
		Events:     d.events,
	})
	p.scheduler = local
	p.controllers = append(p.controllers, local.Run)
}

// Applied returns the number of the ticket in force on this instance.
func (d *Daemon) Applied() uint64 { return d.parts.applied() }
