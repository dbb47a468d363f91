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

// Client calls methods of other instances over one cached connection per address. It
// implements peer.Caller.
//
// If a call times out and nothing was received on its connection in the meantime, the
// connection is considered dead. It is retired, and the next call dials a new one. A
// timeout does not imply that the remote instance has failed.
type Client struct {
	opts    Options
	traffic Traffic
	calls   atomic.Int64

	mu        sync.Mutex
	conns     map[string]*cachedConn
	openConns map[*clientConn]struct{} // includes retired connections with calls in progress
	done      chan struct{}            // closed by Close
}

// cachedConn is the cached connection to one address. It is created before dialling, so
// that concurrent calls wait for the same connection.
type cachedConn struct {
	ready chan struct{} // closed when conn or err is set
	conn  *clientConn
	err   error
}

// clientConn is one connection. inUse, retired and lastUse are guarded by Client.mu.
type clientConn struct {
	addr       string
	socket     *instrumentedConn
	rpc        *netrpc.Client
	generation uint64        // generation of the Identity used in the handshake
	callSlots  chan struct{} // one element for each unanswered call
	inUse      int
	retired    bool
	noNewCalls chan struct{} // closed when retired is set
	lastUse    time.Time
}

// NewClient returns a Client. Call Close to release its connections.
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

// Traffic returns the byte counters for all connections of the client.
func (c *Client) Traffic() *Traffic { return &c.traffic }

// Calls returns the number of calls sent so far.
func (c *Client) Calls() int64 { return c.calls.Load() }

// Call implements peer.Caller. A call marked with peer.Idempotent is resent once if the
// connection breaks or no reply arrives within half of the remaining time.
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

// withHalfTimeout returns a context that expires after half of the time remaining in ctx.
func withHalfTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	deadline, _ := ctx.Deadline()
	return context.WithTimeout(ctx, time.Until(deadline)/2)
}

func unanswered(err error) bool {
	return errors.Is(err, context.DeadlineExceeded) || errors.Is(err, peer.ErrConnectionLost)
}

// attempt sends the call over the cached connection. If that connection was closed before
// the call was sent, attempt tries once more with a new one.
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
			return errors.Wrapf(peer.ErrUnreachable, "%s closed the connection before the call was sent", addr)
		}
		return err
	}
}

// send performs one call over conn. It returns net/rpc's ErrShutdown if the connection was
// closed or retired before the call was sent.
//
// A call that was given up counts as unanswered until its reply arrives, as the remote
// instance still serves it. Without this limit, callers that repeat their calls can keep the
// remote instance busy with calls that nobody waits for.
func (c *Client) send(ctx context.Context, conn *clientConn, method string, args, reply any) error {
	select {
	case conn.callSlots <- struct{}{}:
	case <-conn.noNewCalls:
		return netrpc.ErrShutdown
	case <-ctx.Done():
		return errors.Wrapf(ctx.Err(), "waiting to call %s at %s", method, conn.addr)
	}
	start := time.Now().UnixNano()
	// Decode into a separate value: a reply that arrives after the deadline must not
	// modify the caller's reply.
	result := reflect.New(reflect.TypeOf(reply).Elem())
	var sent atomic.Bool
	stop := context.AfterFunc(ctx, func() {
		if !sent.Load() {
			_ = conn.socket.Close() // the write is blocked
		}
	})
	defer stop()
	c.calls.Add(1)
	call := conn.rpc.Go(method, args, result.Interface(), make(chan *netrpc.Call, 1))
	sent.Store(true)
	select {
	case <-call.Done:
		<-conn.callSlots
		return c.handleReply(conn, call, reply, result)
	case <-ctx.Done():
		go func() {
			<-call.Done
			<-conn.callSlots
		}()
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

// acquire returns the connection to addr, dialling if necessary, and marks it as in use.
func (c *Client) acquire(ctx context.Context, addr string) (*clientConn, error) {
	c.mu.Lock()
	cc, err := c.connFor(addr)
	c.mu.Unlock()
	if err != nil {
		return nil, err
	}
	select {
	case <-cc.ready:
	case <-ctx.Done():
		return nil, errors.Wrapf(ctx.Err(), "waiting for a connection to %s", addr)
	}
	if cc.err != nil {
		return nil, cc.err
	}
	c.mu.Lock()
	cc.conn.inUse++
	c.mu.Unlock()
	return cc.conn, nil
}

// connFor returns the cache entry for addr. It starts dialling if there is none. The caller
// must hold mu.
func (c *Client) connFor(addr string) (*cachedConn, error) {
	select {
	case <-c.done:
		return nil, errors.Wrap(peer.ErrUnreachable, "client is closed")
	default:
	}
	if cc := c.conns[addr]; cc != nil {
		if cc.conn == nil || cc.conn.generation == c.opts.Identity.Generation() {
			return cc, nil
		}
		c.retireLocked(cc.conn) // the certificate was reloaded after the handshake
	}
	if len(c.conns) >= c.opts.MaxConns && !c.evictOldestIdle() {
		return nil, errors.Wrapf(peer.ErrUnreachable, "%d connections are in use", len(c.conns))
	}
	cc := &cachedConn{ready: make(chan struct{})}
	c.conns[addr] = cc
	go c.dial(addr, cc)
	return cc, nil
}

// dial establishes the connection of cc.
func (c *Client) dial(addr string, cc *cachedConn) {
	conn, err := c.connect(addr)
	c.mu.Lock()
	defer c.mu.Unlock()
	defer close(cc.ready)
	select {
	case <-c.done:
		if conn != nil {
			_ = conn.socket.Close()
			conn, err = nil, errors.New("client is closed")
		}
	default:
	}
	if err != nil {
		cc.err = errors.Wrapf(peer.ErrUnreachable, "%s: %v", addr, err)
		if c.conns[addr] == cc {
			delete(c.conns, addr)
		}
		return
	}
	cc.conn = conn
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
			return nil, errors.New("fault injection: connection refused")
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
	conn := &clientConn{
		addr:       addr,
		socket:     instrumented,
		callSlots:  make(chan struct{}, c.opts.MaxCallsPerConn),
		noNewCalls: make(chan struct{}),
		lastUse:    time.Now(),
	}
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

// retire prevents new calls from using conn. Calls in progress continue.
func (c *Client) retire(conn *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.retireLocked(conn)
}

func (c *Client) retireLocked(conn *clientConn) {
	if cc := c.conns[conn.addr]; cc != nil && cc.conn == conn {
		delete(c.conns, conn.addr)
	}
	if !conn.retired {
		conn.retired = true
		close(conn.noNewCalls)
	}
	if conn.inUse == 0 {
		c.closeLocked(conn)
	}
}

// closeLocked closes a connection without calls in progress. The socket is closed before
// the net/rpc client, so that net/rpc's ErrShutdown always means that a call was not sent.
func (c *Client) closeLocked(conn *clientConn) {
	delete(c.openConns, conn)
	_ = conn.socket.Close()
	go conn.rpc.Close()
}

// evictOldestIdle retires the least recently used connection without calls in progress.
// It reports false if there is none. The caller must hold mu.
func (c *Client) evictOldestIdle() bool {
	var oldest *clientConn
	for _, cc := range c.conns {
		if cc.conn != nil && cc.conn.inUse == 0 && (oldest == nil || cc.conn.lastUse.Before(oldest.lastUse)) {
			oldest = cc.conn
		}
	}
	if oldest == nil {
		return false
	}
	c.retireLocked(oldest)
	return true
}

// closeIdle periodically closes connections that were unused for the idle timeout.
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
	for _, cc := range c.conns {
		if cc.conn != nil && cc.conn.inUse == 0 && cc.conn.lastUse.Before(before) {
			c.retireLocked(cc.conn)
		}
	}
}

// SilenceOpenConns makes all currently open connections to addr drop traffic permanently.
// New connections are not affected. It injects a fault for tests and load tools.
func (c *Client) SilenceOpenConns(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.openConns {
		if conn.addr == addr {
			conn.socket.silent.Store(true)
		}
	}
}

// Close closes all connections. Calls in progress fail.
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
