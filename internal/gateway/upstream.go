package gateway

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"carawayrouter.example/router/internal/endpoint"
	"carawayrouter.example/router/internal/tcp"
)

const (
	dialTimeout = 250 * time.Millisecond // many times the round trip within a region; an instance without processor share pauses for 100 ms
	defaultIdle = 4 * time.Second        // life of idle connections where the endpoint names none
	idleMargin  = time.Second            // taken off the endpoint's own limit
	// safeIdle is how long a connection may have been idle to carry a request that
	// must not be sent twice: a close by the endpoint would leave its fate unknown.
	safeIdle    = time.Second
	maxIdle     = 8 // connections kept to one endpoint
	maxSkipped  = 2 // answers to other requests skipped before the expected one
	largestBody = 16 << 20
)

// upstream holds the connections to endpoints.
type upstream struct {
	wire   Wire
	opened func(net.Conn) // prepares a new connection

	mu   sync.Mutex
	idle map[string][]*upConn // by address, newest last
}

type upConn struct {
	net.Conn
	addr  string
	br    *bufio.Reader
	since time.Time     // idle since
	ttl   time.Duration // life while idle
}

func newUpstream(w Wire, opened func(net.Conn)) *upstream {
	return &upstream{wire: w, opened: opened, idle: map[string][]*upConn{}}
}

// get returns a connection to addr, at most maxAge idle.
func (u *upstream) get(ctx context.Context, addr string, maxAge time.Duration) (*upConn, error) {
	for {
		c := u.pop(addr)
		if c == nil {
			break
		}
		age := time.Since(c.since)
		if age < min(c.ttl, maxAge) && !c.stale() {
			return c, nil
		}
		_ = c.Close()
	}
	return u.dial(ctx, addr)
}

// dial opens a new connection to addr.
func (u *upstream) dial(ctx context.Context, addr string) (*upConn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	var d net.Dialer
	nc, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, errors.Mark(err, endpoint.ErrNotSent)
	}
	u.opened(nc)
	return &upConn{Conn: nc, addr: addr, br: bufio.NewReaderSize(nc, readBuffer), ttl: defaultIdle}, nil
}

// warm makes sure that a connection to addr is ready, so that an endpoint that cannot be
// reached is found before work is done for it.
func (u *upstream) warm(ctx context.Context, addr string) error {
	c, err := u.get(ctx, addr, defaultIdle)
	if err != nil {
		return err
	}
	u.put(c)
	return nil
}

func (u *upstream) pop(addr string) *upConn {
	u.mu.Lock()
	defer u.mu.Unlock()
	list := u.idle[addr]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	u.idle[addr] = list[:len(list)-1]
	return c
}

// put keeps a connection whose last answer was read to its end.
func (u *upstream) put(c *upConn) {
	c.since = time.Now()
	_ = c.SetDeadline(time.Time{})
	u.mu.Lock()
	list := u.idle[c.addr]
	var drop *upConn
	if len(list) >= maxIdle {
		drop, list = list[0], list[1:]
	}
	u.idle[c.addr] = append(list, c)
	u.mu.Unlock()
	if drop != nil {
		_ = drop.Close()
	}
}

// sweep closes the connections that have been idle for too long, and those to
// addresses that are not in use any more.
func (u *upstream) sweep(inUse map[string]bool) {
	now := time.Now()
	var drop []*upConn
	u.mu.Lock()
	for addr, list := range u.idle {
		kept := list[:0]
		for _, c := range list {
			if inUse[addr] && now.Sub(c.since) < c.ttl {
				kept = append(kept, c)
			} else {
				drop = append(drop, c)
			}
		}
		if u.idle[addr] = kept; len(kept) == 0 {
			delete(u.idle, addr)
		}
	}
	u.mu.Unlock()
	for _, c := range drop {
		_ = c.Close()
	}
}

// stale reports whether the endpoint has closed the idle connection or sent bytes
// that nobody asked for.
func (c *upConn) stale() bool {
	if c.br.Buffered() > 0 {
		return true
	}
	sc, ok := c.Conn.(syscall.Conn)
	return ok && tcp.Peek(sc) != tcp.Idle
}

// outgoing is one request to an endpoint.
type outgoing struct {
	addr   string
	method string
	uri    string
	host   string
	header http.Header
	body   []byte
	id     string // attempt that the answer must belong to; empty accepts any
	once   bool   // must not be sent on a connection that may be closing
}

// incoming is an endpoint's answer. Close must be called; a body that was not read to
// its end closes the connection, upon which the endpoint stops its work.
type incoming struct {
	AnswerInfo
	Status int
	body   io.ReadCloser
	conn   *upConn
	up     *upstream
	stop   func() bool
	whole  bool // the body was read to its end
	keep   bool
}

// do sends a request and reads the head of its answer. Ctx bounds the whole exchange:
// when it ends, the connection is closed. Errors are marked with ErrNotSent where no
// byte left.
func (u *upstream) do(ctx context.Context, o outgoing) (*incoming, error) {
	maxAge := defaultIdle * 4
	if o.once {
		maxAge = safeIdle
	}
	c, err := u.get(ctx, o.addr, maxAge)
	if err != nil {
		return nil, err
	}
	if ctx.Err() != nil {
		u.put(c)
		return nil, errors.Mark(context.Cause(ctx), endpoint.ErrNotSent)
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	in, err := u.exchange(c, o)
	if err != nil {
		stop()
		_ = c.Close()
		if ctx.Err() != nil {
			err = errors.CombineErrors(context.Cause(ctx), err)
		}
		return nil, errors.Mark(err, endpoint.ErrCallFailed)
	}
	in.stop = stop
	return in, nil
}

func (u *upstream) exchange(c *upConn, o outgoing) (*incoming, error) {
	if err := writeRequest(c, o); err != nil {
		return nil, err
	}
	for skipped := 0; ; {
		resp, err := http.ReadResponse(c.br, &http.Request{Method: o.method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode < 200 {
			continue
		}
		info := u.wire.Answer(resp.StatusCode, resp.Header)
		if o.id != "" && info.ID != "" && info.ID != o.id {
			// A late answer to an earlier request on this connection.
			if skipped++; skipped > maxSkipped {
				return nil, endpoint.ErrMismatch
			}
			if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, largestBody)); err != nil {
				return nil, err
			}
			continue
		}
		in := &incoming{AnswerInfo: info, Status: resp.StatusCode, body: resp.Body, conn: c, up: u}
		in.keep = !resp.Close && skipped == 0
		if ttl, ok := keepAlive(resp.Header); ok {
			c.ttl = ttl
		}
		return in, nil
	}
}

// keepAlive returns how long the endpoint keeps idle connections, less a margin.
func keepAlive(h http.Header) (time.Duration, bool) {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		if v, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout="); ok {
			if n, err := strconv.Atoi(v); err == nil {
				return max(0, time.Duration(n)*time.Second-idleMargin), true
			}
		}
	}
	return 0, false
}

// writeRequest sends a request in one write where it fits the buffer.
func writeRequest(c *upConn, o outgoing) error {
	bw := bufio.NewWriterSize(c, writeBuffer+len(o.body))
	_, _ = bw.WriteString(o.method + " " + o.uri + " HTTP/1.1\r\nHost: " + o.host + "\r\n")
	for name, values := range o.header {
		for _, v := range values {
			_, _ = bw.WriteString(name + ": " + v + "\r\n")
		}
	}
	if len(o.body) > 0 || o.method == http.MethodPost || o.method == http.MethodPut || o.method == http.MethodPatch {
		_, _ = bw.WriteString("Content-Length: " + strconv.Itoa(len(o.body)) + "\r\n")
	}
	_, _ = bw.WriteString("\r\n")
	_, _ = bw.Write(o.body)
	return bw.Flush()
}

// readAll reads a body of at most largestBody.
func (in *incoming) readAll() ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(in.body, largestBody+1))
	if err != nil {
		return nil, errors.Mark(err, endpoint.ErrCallFailed)
	}
	if len(b) > largestBody {
		return nil, errors.Mark(errors.New("the answer is too large"), endpoint.ErrCallFailed)
	}
	in.whole = true
	return b, nil
}

// close gives the connection back if its answer was read to the end.
func (in *incoming) close() {
	ours := in.stop()
	if ours && in.whole && in.keep && in.conn.br.Buffered() == 0 {
		in.up.put(in.conn)
		return
	}
	_ = in.conn.Close()
}
