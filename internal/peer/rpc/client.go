package rpc

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	netrpc "net/rpc"
	"reflect"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"carawayrouter.example/router/internal/peer"
)

// Client calls methods of other instances over one cached connection for each
// address. It implements peer.Caller.
//
// A connection over which nothing arrived for the whole of a call that timed out is
// taken for silent: it is retired, and the next call dials a new one. A timeout says
// nothing about the instance at the other end.
type Client struct {
	opts    Options
	traffic Traffic
	calls   atomic.Int64

	mu        sync.Mutex
	conns     map[string]*cachedConn
	openConns map[*clientConn]struct{} // also retired ones with calls in progress
	done      chan struct{}            // closed by Close
}

// link is the cached connection to one address, or the attempt to make it.
type cachedConn struct {
	ready chan struct{} // closed once conn or err is set
	conn  *clientConn
	err   error
}

// clientConn is one connection. Its fields after rpc are guarded by Client.mu.
type clientConn struct {
	addr       string
	socket     *instrumentedConn
	rpc        *netrpc.Client
	generation uint64 // of the identity used in the handshake
	inUse      int
	retired    bool
	lastUse    time.Time
}

// NewClient returns a Client. Close ends it.
func NewClient(o Options) *Client {
	c := &Client{
		opts:      o.withDefaults(),
		conns:     map[string]*cachedConn{},
		openConns: map[*clientConn]struct{}{},
		done:      make(chan struct{}),
	}
	go c.closeIdle()
	return c
}

// Traffic returns the counters of all the client's connections.
func (c *Client) Traffic() *Traffic { return &c.traffic }

// Calls returns the number of calls sent.
func (c *Client) Calls() int64 { return c.calls.Load() }

// Call implements peer.Caller. A call with peer.Idempotent is sent a second time
// over a new connection if the first got no answer within half the time left.
func (c *Client) Call(ctx context.Context, addr, method string, args, reply any) error {
	if _, ok := ctx.Deadline(); !ok {
		return errors.AssertionFailedf("peer call %s without a deadline", method)
	}
	if !peer.IsIdempotent(ctx) {
		return c.attempt(ctx, addr, method, args, reply)
	}
	first, cancel := withHalfTimeout(ctx)
	err := c.attempt(first, addr, method, args, reply)
	cancel()
	if err == nil || ctx.Err() != nil || !unanswered(err) {
		return err
	}
	return c.attempt(ctx, addr, method, args, reply)
}

// withHalf returns a context that ends after half of the time left.
func withHalfTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	deadline, _ := ctx.Deadline()
	return context.WithTimeout(ctx, time.Until(deadline)/2)
}

func unanswered(err error) bool {
	return errors.Is(err, context.DeadlineExceeded) || errors.Is(err, peer.ErrConnectionLost)
}

// attempt sends the call over the cached connection. If that was closed before the
// call was sent, it dials once more.
func (c *Client) attempt(ctx context.Context, addr, method string, args, reply any) error {
	for first := true; ; first = false {
		conn, err := c.acquire(ctx, addr)
		if err != nil {
			return err
		}
		err = c.send(ctx, conn, method, args, reply)
		c.release(conn)
		if errors.Is(err, netrpc.ErrShutdown) {
			if first {
				continue
			}
			return errors.Wrapf(peer.ErrUnreachable, "%s closes connections", addr)
		}
		return err
	}
}

// send runs one call over conn. It returns net/rpc's ErrShutdown if the connection
// was closed before the call was sent.
func (c *Client) send(ctx context.Context, conn *clientConn, method string, args, reply any) error {
	start := time.Now().UnixNano()
	// A late answer is decoded into a value that the caller never sees.
	result := reflect.New(reflect.TypeOf(reply).Elem())
	var sent atomic.Bool
	stop := context.AfterFunc(ctx, func() {
		if !sent.Load() {
			_ = conn.socket.Close() // the write is stuck
		}
	})
	defer stop()
	c.calls.Add(1)
	call := conn.rpc.Go(method, args, result.Interface(), make(chan *netrpc.Call, 1))
	sent.Store(true)
	select {
	case <-call.Done:
		return c.handleReply(conn, call, reply, result)
	case <-ctx.Done():
		if conn.socket.lastRead.Load() < start && errors.Is(ctx.Err(), context.DeadlineExceeded) {
			c.retire(conn)
		}
		return errors.Wrapf(ctx.Err(), "call %s at %s", method, conn.addr)
	}
}

func (c *Client) handleReply(conn *clientConn, call *netrpc.Call, reply any, result reflect.Value) error {
	var remote netrpc.ServerError
	switch {
	case call.Error == nil:
		reflect.ValueOf(reply).Elem().Set(result.Elem())
		return nil
	case errors.As(call.Error, &remote):
		return &peer.RemoteError{Method: call.ServiceMethod, Text: string(remote)}
	}
	c.retire(conn)
	if errors.Is(call.Error, netrpc.ErrShutdown) {
		return netrpc.ErrShutdown
	}
	return errors.Wrapf(peer.ErrConnectionLost, "call %s at %s: %v", call.ServiceMethod, conn.addr, call.Error)
}

// acquire returns the connection to addr, dialling one if there is none.
func (c *Client) acquire(ctx context.Context, addr string) (*clientConn, error) {
	c.mu.Lock()
	l, err := c.connFor(addr)
	c.mu.Unlock()
	if err != nil {
		return nil, err
	}
	select {
	case <-l.ready:
	case <-ctx.Done():
		return nil, errors.Wrapf(ctx.Err(), "waiting for a connection to %s", addr)
	}
	if l.err != nil {
		return nil, l.err
	}
	c.mu.Lock()
	l.conn.inUse++
	c.mu.Unlock()
	return l.conn, nil
}

// link returns the link to addr, starting to dial if there is none. The caller
// holds mu.
func (c *Client) connFor(addr string) (*cachedConn, error) {
	select {
	case <-c.done:
		return nil, errors.Wrap(peer.ErrUnreachable, "client is closed")
	default:
	}
	if l := c.conns[addr]; l != nil {
		if l.conn == nil || l.conn.generation == c.opts.Identity.Generation() {
			return l, nil
		}
		c.retireLocked(l.conn) // made with a certificate since replaced
	}
	if len(c.conns) >= c.opts.MaxConns && !c.evictOldestIdle() {
		return nil, errors.Wrapf(peer.ErrUnreachable, "%d connections are in use", len(c.conns))
	}
	l := &cachedConn{ready: make(chan struct{})}
	c.conns[addr] = l
	go c.dial(addr, l)
	return l, nil
}

// dial makes the connection of l.
func (c *Client) dial(addr string, l *cachedConn) {
	conn, err := c.connect(addr)
	c.mu.Lock()
	defer c.mu.Unlock()
	defer close(l.ready)
	select {
	case <-c.done:
		if conn != nil {
			_ = conn.socket.Close()
			conn, err = nil, errors.New("client is closed")
		}
	default:
	}
	if err != nil {
		l.err = errors.Wrapf(peer.ErrUnreachable, "%s: %v", addr, err)
		if c.conns[addr] == l {
			delete(c.conns, addr)
		}
		return
	}
	l.conn = conn
	c.openConns[conn] = struct{}{}
}

func (c *Client) connect(addr string) (*clientConn, error) {
	if c.opts.Identity == nil {
		if err := checkPlain(addr); err != nil {
			return nil, err
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.opts.DialTimeout)
	defer cancel()
	var linkState func() LinkState
	if c.opts.LinkStateOf != nil {
		linkState = func() LinkState { return c.opts.LinkStateOf(addr) }
		switch linkState() {
		case LinkRefused:
			return nil, errors.New("link is refused")
		case LinkSilent:
			<-ctx.Done()
			return nil, ctx.Err()
		}
	}
	raw, err := c.opts.Dial(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	setSocketOptions(raw, c.opts.TCPUserTimeout)
	instrumented := &instrumentedConn{Conn: raw, traffic: &c.traffic, linkState: linkState}
	conn := &clientConn{addr: addr, socket: instrumented, lastUse: time.Now()}
	var stream io.ReadWriteCloser = instrumented
	if id := c.opts.Identity; id != nil {
		conn.generation = id.Generation()
		t := tls.Client(instrumented, id.clientConfig())
		if err := t.HandshakeContext(ctx); err != nil {
			_ = raw.Close()
			return nil, err
		}
		stream = t
	}
	conn.rpc = netrpc.NewClientWithCodec(clientCodec{newCodec(stream.(net.Conn), c.opts.MaxMessageBytes)})
	return conn, nil
}

func (c *Client) release(conn *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn.inUse--
	conn.lastUse = time.Now()
	if conn.retired && conn.inUse == 0 {
		c.closeLocked(conn)
	}
}

// retire keeps conn from being used by new calls; calls in progress go on.
func (c *Client) retire(conn *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.retireLocked(conn)
}

func (c *Client) retireLocked(conn *clientConn) {
	if l := c.conns[conn.addr]; l != nil && l.conn == conn {
		delete(c.conns, conn.addr)
	}
	conn.retired = true
	if conn.inUse == 0 {
		c.closeLocked(conn)
	}
}

// closeLocked closes a connection without calls in progress. The socket goes first:
// net/rpc's ErrShutdown then always means that a call was not sent.
func (c *Client) closeLocked(conn *clientConn) {
	delete(c.openConns, conn)
	_ = conn.socket.Close()
	go conn.rpc.Close()
}

// evict retires the connection unused for longest. The caller holds mu.
func (c *Client) evictOldestIdle() bool {
	var oldest *clientConn
	for _, l := range c.conns {
		if l.conn != nil && l.conn.inUse == 0 && (oldest == nil || l.conn.lastUse.Before(oldest.lastUse)) {
			oldest = l.conn
		}
	}
	if oldest == nil {
		return false
	}
	c.retireLocked(oldest)
	return true
}

// closeIdle closes connections that were not used for the idle time.
func (c *Client) closeIdle() {
	ticker := time.NewTicker(c.opts.IdleTimeout / 2)
	defer ticker.Stop()
	for {
		select {
		case <-c.done:
			return
		case now := <-ticker.C:
			c.retireIdle(now.Add(-c.opts.IdleTimeout))
		}
	}
}

func (c *Client) retireIdle(before time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, l := range c.conns {
		if l.conn != nil && l.conn.inUse == 0 && l.conn.lastUse.Before(before) {
			c.retireLocked(l.conn)
		}
	}
}

// SilenceOpenConns makes the connections open now to addr go silent for good, while new
// ones work. It is a fault for tests and load tools.
func (c *Client) SilenceOpenConns(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.openConns {
		if conn.addr == addr {
			conn.socket.silent.Store(true)
		}
	}
}

// Close closes all connections; calls in progress fail.
func (c *Client) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-c.done:
		return nil
	default:
	}
	close(c.done)
	for conn := range c.openConns {
		conn.retired = true
		if conn.inUse == 0 {
			c.closeLocked(conn)
			continue
		}
		_ = conn.socket.Close()
	}
	clear(c.conns)
	return nil
}
