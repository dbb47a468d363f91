package fleet

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"github.com/valyala/fasthttp"

	"carawayrouter.example/router/internal/config"
	"carawayrouter.example/router/internal/entry"
	"carawayrouter.example/router/internal/platform"
	"carawayrouter.example/router/internal/platform/httpplatform"
	"carawayrouter.example/router/internal/platform/memplatform"
	"carawayrouter.example/router/internal/standin/engine"
	"carawayrouter.example/router/internal/standin/service"
	"carawayrouter.example/router/internal/ticket"
)

const (
	loopback     = "127.0.0.1:0"
	entryGroup   = "entry"
	pollInterval = 20 * time.Millisecond
)

// Options configure a Fleet.
type Options struct {
	Seed    uint64
	Log     logr.Logger
	ListLag time.Duration // delay of the platform's instance list
	Policy  entry.Policy  // policy of the entry instances
}

// Fleet is a deployment running in this process.
type Fleet struct {
	Deployment   Deployment
	Store        *memplatform.Store
	PlatformAddr string
	Engines      []*Engine
	Services     []*Service
	Entries      []*Entry

	options       Options
	platform      *fasthttp.Server
	operatorToken string

	mu               sync.Mutex
	isolated         map[string]bool // data centres cut off from the others
	dataCentreByAddr map[string]string
}

// Engine is a model engine of the fleet.
type Engine struct {
	config.Endpoint
	Server *engine.Server
}

// Service is a plain service of the fleet.
type Service struct {
	config.Endpoint
	Server *service.Server
}

// Start starts the stand-ins and the entry instances of a deployment. The fleet has no
// configuration until Bootstrap or Submit.
func Start(d Deployment, o Options) (*Fleet, error) {
	f := &Fleet{
		Deployment:       d,
		Store:            memplatform.New(memplatform.Options{Seed: o.Seed}),
		options:          o,
		isolated:         map[string]bool{},
		dataCentreByAddr: map[string]string{},
	}
	f.operatorToken = f.deriveSecret("operator")
	f.Store.ListLag(o.ListLag)
	for _, step := range []func() error{f.startPlatform, f.startEndpoints, f.startEntries} {
		if err := step(); err != nil {
			f.Close()
			return nil, err
		}
	}
	return f, nil
}

func (f *Fleet) startPlatform() error {
	ln, err := net.Listen("tcp", loopback)
	if err != nil {
		return errors.Wrap(err, "platform stand-in")
	}
	f.PlatformAddr = ln.Addr().String()
	f.platform = &fasthttp.Server{Handler: httpplatform.Handler(f.Store), MaxRequestBodySize: 64 << 20}
	go func() { _ = f.platform.Serve(ln) }()
	return nil
}

func (f *Fleet) startEndpoints() error {
	for _, dc := range f.Deployment.DataCentres {
		for i := range dc.Prefills {
			if err := f.startEngine(dc.Name, config.Prefill, i); err != nil {
				return err
			}
		}
		for i := range dc.Decodes {
			if err := f.startEngine(dc.Name, config.Decode, i); err != nil {
				return err
			}
		}
		for i := range dc.Services {
			if err := f.startService(dc.Name, i); err != nil {
				return err
			}
		}
	}
	return nil
}

func (f *Fleet) startEngine(dc string, role config.Role, n int) error {
	m := f.Deployment.Model
	s := engine.DefaultSettings()
	s.Name = numberedName(dc+"-"+string(role), n)
	s.Role = string(role)
	s.Model = m.Model
	s.Slots = m.Slots
	s.Pieces = m.Pieces
	s.TokenInterval = m.TokenInterval
	s.StepCost = m.StepCost
	s.PrefillPerPiece = m.PrefillPerPiece
	s.ResultTTL = m.ResultTTL
	s.LinkRate = m.LinkRate
	s.CachePieces = m.CachePieces
	s.Seed = int(f.options.Seed) + len(f.Engines) + 1
	server := engine.New(engine.Options{Settings: s})
	addr, err := serveOnLoopback(server.Serve)
	if err != nil {
		return errors.Wrapf(err, "engine %s", s.Name)
	}
	e := config.Endpoint{Name: s.Name, Pool: m.Name, Addr: addr, DataCentre: dc, Role: role, Slots: s.Slots, Pieces: s.Pieces, Fencing: true}
	f.Engines = append(f.Engines, &Engine{Endpoint: e, Server: server})
	f.register(e)
	return nil
}

func (f *Fleet) startService(dc string, n int) error {
	p := f.Deployment.Service
	s := service.DefaultSettings()
	s.Name = numberedName(dc+"-"+p.Name, n)
	s.Slots = p.Slots
	server := service.New(service.Options{Settings: s})
	addr, err := serveOnLoopback(server.Serve)
	if err != nil {
		return errors.Wrapf(err, "service %s", s.Name)
	}
	e := config.Endpoint{Name: s.Name, Pool: p.Name, Addr: addr, DataCentre: dc, Role: config.Plain, Slots: s.Slots}
	f.Services = append(f.Services, &Service{Endpoint: e, Server: server})
	f.register(e)
	return nil
}

// register adds an endpoint to the platform's list.
func (f *Fleet) register(e config.Endpoint) {
	f.mu.Lock()
	f.dataCentreByAddr[e.Addr] = e.DataCentre
	f.mu.Unlock()
	f.Store.SetInstance(platform.Instance{Name: e.Name, Addr: e.Addr, DataCentre: e.DataCentre, Group: e.Pool, State: platform.Live})
}

// serveOnLoopback runs a server on a free loopback port and returns its address.
func serveOnLoopback(run func(net.Listener) error) (addr string, err error) {
	ln, err := net.Listen("tcp", loopback)
	if err != nil {
		return "", err
	}
	go func() { _ = run(ln) }()
	return ln.Addr().String(), nil
}

// endpoints returns the engines and services of the fleet.
func (f *Fleet) endpoints() []config.Endpoint {
	var all []config.Endpoint
	for _, e := range f.Engines {
		all = append(all, e.Endpoint)
	}
	for _, s := range f.Services {
		all = append(all, s.Endpoint)
	}
	return all
}

// Key returns the API key of an account.
func (f *Fleet) Key(account string) string { return f.deriveSecret("key/" + account) }

// OperatorToken returns the token that the operator ports accept.
func (f *Fleet) OperatorToken() string { return f.operatorToken }

// deriveSecret derives a secret from the seed, so that it is the same in every run with
// that seed. Such secrets are safe because the fleet listens on loopback only.
func (f *Fleet) deriveSecret(name string) string {
	sum := sha256.Sum256(fmt.Appendf(nil, "%s/%s/%d", f.Deployment.Name, name, f.options.Seed))
	return "cwy_" + hex.EncodeToString(sum[:])
}

func (f *Fleet) keyHash(account string) config.KeyHash { return config.HashKey(f.Key(account)) }

// Platform returns the platform as seen from the first data centre.
func (f *Fleet) Platform() platform.Platform {
	return httpplatform.NewClient(f.PlatformAddr, f.Deployment.DataCentres[0].Name)
}

// Submit submits a ticket file and returns the number of the accepted ticket.
func (f *Fleet) Submit(ctx context.Context, file string) (uint64, error) {
	draft, err := ticket.ParseFile("ticket.ini", []byte(file))
	if err != nil {
		return 0, err
	}
	p := f.Platform()
	submitter := ticket.Submitter{Table: p.Table, Objects: p.Objects}
	t, err := submitter.Submit(ctx, "fleet", draft)
	if err != nil {
		return 0, err
	}
	return t.Number, nil
}

// WaitApplied waits until every running entry instance has applied a ticket.
func (f *Fleet) WaitApplied(ctx context.Context, number uint64) error {
	for _, e := range f.Entries {
		for e.Running() && e.Applied() < number {
			select {
			case <-ctx.Done():
				return errors.Wrapf(ctx.Err(), "ticket %d at %s", number, e.Name())
			case <-time.After(pollInterval):
			}
		}
	}
	return nil
}

// Bootstrap submits the initial ticket, waits until it is applied and returns its number.
func (f *Fleet) Bootstrap(ctx context.Context) (uint64, error) {
	number, err := f.Submit(ctx, f.InitialTicket())
	if err != nil {
		return 0, err
	}
	return number, f.WaitApplied(ctx, number)
}

// Close kills the entry instances and stops all servers of the fleet.
func (f *Fleet) Close() {
	var wg sync.WaitGroup
	for _, e := range f.Entries {
		wg.Go(e.Kill)
	}
	wg.Wait()
	for _, e := range f.Engines {
		_ = e.Server.Close()
	}
	for _, s := range f.Services {
		_ = s.Server.Close()
	}
	if f.platform != nil {
		_ = f.platform.Shutdown()
	}
}
