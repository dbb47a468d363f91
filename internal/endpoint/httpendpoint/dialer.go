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

	mu         sync.Mutex
	useCounter uint64 // counts calls, orders clients by last use
	engines    map[string]*cachedClient[*engine]
	services   map[string]*cachedClient[*service]
}

// entry is a kept client with the time of its last use.
type cachedClient[C any] struct {
	client  C
	lastUse uint64
}

// closer drops the idle connections of a client.
type idleCloser interface{ closeIdle() }

// NewDialer returns a dialer whose clients speak the HTTP forms of this package.
func NewDialer(o Options) endpoint.Dialer {
	return &dialer{
		opts:     o.withDefaults(),
		engines:  map[string]*cachedClient[*engine]{},
		services: map[string]*cachedClient[*service]{},
	}
}

// Engine implements endpoint.Dialer.
func (d *dialer) Engine(addr string) endpoint.Engine {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.useCounter++
	return getOrCreate(d.engines, addr, d.useCounter, d.opts.MaxClients, func() *engine {
		return &engine{
			base:          "http://" + addr,
			workTransport: newTransport(d.opts, d.opts.IdleTimeout),
			// Control calls have their own connections, so that a cancel never
			// waits behind the streams that it is to end.
			controlTransport: newTransport(d.opts, d.opts.IdleTimeout),
		}
	})
}

// Service implements endpoint.Dialer.
func (d *dialer) Service(addr string) endpoint.Service {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.useCounter++
	return getOrCreate(d.services, addr, d.useCounter, d.opts.MaxClients, func() *service {
		return &service{base: "http://" + addr, transport: newTransport(d.opts, d.opts.ServiceIdleTimeout)}
	})
}

// keep returns the client for an address; above the limit the one that was not used
// for longest is forgotten. Calls that run on a forgotten client go on.
func getOrCreate[C idleCloser](m map[string]*cachedClient[C], addr string, use uint64, limit int, create func() C) C {
	if e, ok := m[addr]; ok {
		e.lastUse = use
		return e.client
	}
	if len(m) >= limit {
		evictLeastRecentlyUsed(m)
	}
	e := &cachedClient[C]{client: create(), lastUse: use}
	m[addr] = e
	return e.client
}

func evictLeastRecentlyUsed[C idleCloser](m map[string]*cachedClient[C]) {
	var oldest string
	for addr, e := range m {
		if oldest == "" || e.lastUse < m[oldest].lastUse {
			oldest = addr
		}
	}
	m[oldest].client.closeIdle()
	delete(m, oldest)
}

func (e *engine) closeIdle() {
	for _, tr := range []*http.Transport{e.workTransport, e.controlTransport} {
		tr.CloseIdleConnections()
	}
}

func (s *service) closeIdle() { s.transport.CloseIdleConnections() }
