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

// Options configures a dialer. Defaults apply to zero fields.
type Options struct {
	ConnectTimeout     time.Duration
	IdleTimeout        time.Duration // timeout of each read and write on connections to engines
	ServiceIdleTimeout time.Duration // the same for plain services
	MaxConns           int           // connections per endpoint and transport
	MaxClients         int           // cached clients, separately for engines and services
	// DialContext establishes the connections. If it is nil, a net.Dialer is used.
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

// dialer caches one client per endpoint.
type dialer struct {
	opts Options

	mu         sync.Mutex
	useCounter uint64 // incremented by each lookup; orders the clients by last use
	engines    map[string]*cachedClient[*engine]
	services   map[string]*cachedClient[*service]
}

// cachedClient is a client in the cache of a dialer.
type cachedClient[C any] struct {
	client  C
	lastUse uint64 // useCounter at the last lookup
}

// idleCloser is a client that can close its idle connections.
type idleCloser interface{ closeIdle() }

// NewDialer returns a Dialer for endpoints that implement the HTTP protocol of this package.
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
			// Control calls use separate connections, so that a cancel call never
			// waits for the streams that it is meant to end.
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

// getOrCreate returns the client for an address. A new client replaces the least recently
// used one if the limit is reached. Calls in progress on an evicted client continue.
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
