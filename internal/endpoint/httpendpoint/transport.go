package httpendpoint

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"os"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"carawayrouter.example/router/internal/endpoint"
)

// errRepeated stops the transport from sending a request a second time by itself.
var errRepeated = errors.New("request was written before on another connection")

// watchedConn is a connection on which every read and write has a deadline. It
// counts the bytes written, so that "not sent" can be proved.
type watchedConn struct {
	net.Conn
	idle    time.Duration
	written atomic.Int64
	refuse  atomic.Bool // set before a write that must not happen
	silent  atomic.Bool // a read met its deadline
}

// Read implements net.Conn.
func (c *watchedConn) Read(b []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.idle)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(b)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.silent.Store(true)
	}
	return n, err
}

// Write implements net.Conn. The silence that a read allows starts again with it.
func (c *watchedConn) Write(b []byte) (int, error) {
	if c.refuse.Load() {
		return 0, errRepeated
	}
	if err := c.SetDeadline(time.Now().Add(c.idle)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(b)
	c.written.Add(int64(n))
	return n, err
}

// newTransport returns a transport for one endpoint.
func newTransport(o Options, idle time.Duration) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, o.ConnectTimeout)
			defer cancel()
			c, err := o.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &watchedConn{Conn: c, idle: idle}, nil
		},
		DisableCompression:  true,
		MaxConnsPerHost:     o.MaxConns,
		MaxIdleConns:        o.MaxConns,
		MaxIdleConnsPerHost: o.MaxConns,
		// A pooled connection goes before its read deadline can hit a new request.
		IdleConnTimeout: idle / 2,
	}
}

// sendTrace follows one request through the transport.
type sendTrace struct {
	once  bool // the transport must not repeat the request
	conn  *watchedConn
	start int64 // bytes written on conn before this request
}

// sent reports whether a byte of the request may have left.
func (t *sendTrace) sent() bool {
	return t.conn != nil && t.conn.written.Load() != t.start
}

// gotConn implements the hook of httptrace. The transport may repeat a request by
// itself on a second connection; where the request must go out once, that is
// refused as soon as a byte was written.
func (t *sendTrace) gotConn(info httptrace.GotConnInfo) {
	c, ok := info.Conn.(*watchedConn)
	if !ok {
		return
	}
	if t.once && t.sent() {
		c.refuse.Store(true)
		return
	}
	t.conn, t.start = c, c.written.Load()
}

// roundTrip sends one request, with once at most one time, and classifies failures before the answer's header.
func roundTrip(tr *http.Transport, req *http.Request, once bool) (*http.Response, error) {
	t := sendTrace{once: once}
	trace := &httptrace.ClientTrace{GotConn: t.gotConn}
	ctx := req.Context()
	resp, err := tr.RoundTrip(req.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err == nil {
		return resp, nil
	}
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	if !t.sent() {
		return nil, as(endpoint.ErrNotSent, err, "dial or write")
	}
	if errors.Is(err, errRepeated) && t.conn.silent.Load() {
		err = os.ErrDeadlineExceeded
	}
	return nil, readError(ctx, tr, err)
}

// readError classifies a failed read. After a silence the idle connections of the
// endpoint are dropped too, since whatever lost one connection may have lost all.
func readError(ctx context.Context, tr *http.Transport, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	var timeout interface{ Timeout() bool }
	if errors.Is(err, os.ErrDeadlineExceeded) || errors.As(err, &timeout) && timeout.Timeout() {
		tr.CloseIdleConnections()
		return as(endpoint.ErrIdleTimeout, err, "read")
	}
	return as(endpoint.ErrCallFailed, err, "read")
}
