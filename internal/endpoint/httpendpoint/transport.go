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
var errResent = errors.New("request was written before on another connection")

// watchedConn is a connection on which every read and write has a deadline. It
// counts the bytes written, so that "not sent" can be proved.
type deadlineConn struct {
	net.Conn
	idleTimeout  time.Duration
	bytesWritten atomic.Int64
	refuseWrites atomic.Bool // set before a write that must not happen
	readTimedOut atomic.Bool // a read met its deadline
}

// Read implements net.Conn.
func (c *deadlineConn) Read(b []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.idleTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(b)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.readTimedOut.Store(true)
	}
	return n, err
}

// Write implements net.Conn. The silence that a read allows starts again with it.
func (c *deadlineConn) Write(b []byte) (int, error) {
	if c.refuseWrites.Load() {
		return 0, errResent
	}
	if err := c.SetDeadline(time.Now().Add(c.idleTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(b)
	c.bytesWritten.Add(int64(n))
	return n, err
}

// newTransport returns a transport for one endpoint.
func newTransport(o Options, idleTimeout time.Duration) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, o.ConnectTimeout)
			defer cancel()
			c, err := o.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &deadlineConn{Conn: c, idleTimeout: idleTimeout}, nil
		},
		DisableCompression:  true,
		MaxConnsPerHost:     o.MaxConns,
		MaxIdleConns:        o.MaxConns,
		MaxIdleConnsPerHost: o.MaxConns,
		// A pooled connection goes before its read deadline can hit a new request.
		IdleConnTimeout: idleTimeout / 2,
	}
}

// sendTrace follows one request through the transport.
type sendTrace struct {
	sendOnce      bool // the transport must not repeat the request
	conn          *deadlineConn
	writtenBefore int64 // bytes written on conn before this request
}

// sent reports whether a byte of the request may have left.
func (t *sendTrace) sent() bool {
	return t.conn != nil && t.conn.bytesWritten.Load() != t.writtenBefore
}

// gotConn implements the hook of httptrace. The transport may repeat a request by
// itself on a second connection; where the request must go out once, that is
// refused as soon as a byte was written.
func (t *sendTrace) gotConn(info httptrace.GotConnInfo) {
	c, ok := info.Conn.(*deadlineConn)
	if !ok {
		return
	}
	if t.sendOnce && t.sent() {
		c.refuseWrites.Store(true)
		return
	}
	t.conn, t.writtenBefore = c, c.bytesWritten.Load()
}

// roundTrip sends one request, with once at most one time, and classifies failures before the answer's header.
func roundTrip(tr *http.Transport, req *http.Request, sendOnce bool) (*http.Response, error) {
	t := sendTrace{sendOnce: sendOnce}
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
		return nil, wrapCause(endpoint.ErrNotSent, err, "dial or write")
	}
	if errors.Is(err, errResent) && t.conn.readTimedOut.Load() {
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
		return wrapCause(endpoint.ErrIdleTimeout, err, "read")
	}
	return wrapCause(endpoint.ErrCallFailed, err, "read")
}
