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
	"carawayrouter.example/router/internal/responsehead"
)

// errResent is returned for writes that would resend a request, to prevent retries by the
// transport.
var errResent = errors.New("request was already sent on another connection")

// deadlineConn is a connection with a deadline on every read and write. It counts the bytes
// written, to determine whether any byte of a request was sent.
type deadlineConn struct {
	*responsehead.Conn
	idleTimeout  time.Duration
	bytesWritten atomic.Int64
	refuseWrites atomic.Bool // makes all further writes fail with errResent
	readTimedOut atomic.Bool // set when a read exceeds its deadline
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

// Write implements net.Conn. It also restarts the timeout of a concurrent read.
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
			return &deadlineConn{Conn: responsehead.NewConn(c), idleTimeout: idleTimeout}, nil
		},
		DisableCompression:  true,
		MaxConnsPerHost:     o.MaxConns,
		MaxIdleConns:        o.MaxConns,
		MaxIdleConnsPerHost: o.MaxConns,
		// The transport reads from pooled connections, so the read deadline also runs
		// while they are idle. Closing them earlier prevents it from failing a new request.
		IdleConnTimeout: idleTimeout / 2,
	}
}

// sendTrace records the connection and the bytes sent for one request.
type sendTrace struct {
	sendOnce      bool // the transport must not resend the request
	conn          *deadlineConn
	writtenBefore int64 // bytes written on conn before this request
}

// sent reports whether any byte of the request may have been sent.
func (t *sendTrace) sent() bool {
	return t.conn != nil && t.conn.bytesWritten.Load() != t.writtenBefore
}

// gotConn is the GotConn hook of httptrace. The transport may retry a request on another
// connection. With sendOnce, such a retry is refused if any byte was already written.
func (t *sendTrace) gotConn(info httptrace.GotConnInfo) {
	c, ok := info.Conn.(*deadlineConn)
	if !ok {
		return
	}
	if t.sendOnce && t.sent() {
		c.refuseWrites.Store(true)
		return
	}
	c.ExpectResponse()
	t.conn, t.writtenBefore = c, c.bytesWritten.Load()
}

// roundTrip sends a request and classifies errors that occur before the response header is
// received. With sendOnce, the request is sent at most once.
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
	if t.conn.readTimedOut.Load() {
		// err may be that of a connection on which the transport tried the request again.
		err = os.ErrDeadlineExceeded
	}
	return nil, readError(ctx, tr, err)
}

// readError classifies a read error. After a timeout it also closes the idle connections to
// the endpoint, because the fault that broke one connection may have broken all of them.
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
