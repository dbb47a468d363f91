package httpendpoint

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"carawayrouter.example/router/internal/endpoint"
)

// Defaults of Options.
const (
	DefaultConnectTimeout     = time.Second
	DefaultIdleTimeout        = 3 * time.Second
	DefaultServiceIdleTimeout = 30 * time.Second
	DefaultMaxConns           = 256
	DefaultMaxClients         = 4096
)

// Options configure a dialer. Zero values take the defaults.
type Options struct {
	ConnectTimeout     time.Duration
	IdleTimeout        time.Duration // longest silence of an engine on a read or write
	ServiceIdleTimeout time.Duration // longest silence of a plain service
	MaxConns           int           // connections to one endpoint, for each kind of call
	MaxClients         int           // endpoints whose clients are kept
	// DialContext makes the connections; net.Dialer's if nil.
	DialContext func(ctx context.Context, network, addr string) (net.Conn, error)
}

func (o Options) withDefaults() Options {
	if o.ConnectTimeout <= 0 {
		o.ConnectTimeout = DefaultConnectTimeout
	}
	if o.IdleTimeout <= 0 {
		o.IdleTimeout = DefaultIdleTimeout
	}
	if o.ServiceIdleTimeout <= 0 {
		o.ServiceIdleTimeout = DefaultServiceIdleTimeout
	}
	if o.MaxConns <= 0 {
		o.MaxConns = DefaultMaxConns
	}
	if o.MaxClients <= 0 {
		o.MaxClients = DefaultMaxClients
	}
	if o.DialContext == nil {
		o.DialContext = new(net.Dialer).DialContext
	}
	return o
}

// dialer keeps one client for each endpoint in use.
type dialer struct {
	opts Options

	mu       sync.Mutex
	uses     uint64 // counts calls, orders clients by last use
	engines  map[string]*entry[*engine]
	services map[string]*entry[*service]
}

// entry is a kept client with the time of its last use.
type entry[C any] struct {
	client C
	used   uint64
}

// closer drops the idle connections of a client.
type closer interface{ closeIdle() }

// NewDialer returns a dialer whose clients speak the HTTP forms of this package.
func NewDialer(o Options) endpoint.Dialer {
	return &dialer{
		opts:     o.withDefaults(),
		engines:  map[string]*entry[*engine]{},
		services: map[string]*entry[*service]{},
	}
}

// Engine implements endpoint.Dialer.
func (d *dialer) Engine(addr string) endpoint.Engine {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.uses++
	return keep(d.engines, addr, d.uses, d.opts.MaxClients, func() *engine {
		return &engine{
			base: "http://" + addr,
			work: newTransport(d.opts, d.opts.IdleTimeout),
			// Control calls have their own connections, so that a cancel never
			// waits behind the streams that it is to end.
			control: newTransport(d.opts, d.opts.IdleTimeout),
		}
	})
}

// Service implements endpoint.Dialer.
func (d *dialer) Service(addr string) endpoint.Service {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.uses++
	return keep(d.services, addr, d.uses, d.opts.MaxClients, func() *service {
		return &service{base: "http://" + addr, tr: newTransport(d.opts, d.opts.ServiceIdleTimeout)}
	})
}

// keep returns the client for an address; above the limit the one that was not used
// for longest is forgotten. Calls that run on a forgotten client go on.
func keep[C closer](m map[string]*entry[C], addr string, use uint64, limit int, make func() C) C {
	if e, ok := m[addr]; ok {
		e.used = use
		return e.client
	}
	if len(m) >= limit {
		forgetOldest(m)
	}
	e := &entry[C]{client: make(), used: use}
	m[addr] = e
	return e.client
}

func forgetOldest[C closer](m map[string]*entry[C]) {
	var oldest string
	for addr, e := range m {
		if oldest == "" || e.used < m[oldest].used {
			oldest = addr
		}
	}
	m[oldest].client.closeIdle()
	delete(m, oldest)
}

func (e *engine) closeIdle() {
	for _, tr := range []*http.Transport{e.work, e.control} {
		tr.CloseIdleConnections()
	}
}

func (s *service) closeIdle() { s.tr.CloseIdleConnections() }
