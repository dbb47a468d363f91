package gateway

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"carawayrouter.example/router/internal/config"
	"carawayrouter.example/router/internal/errkind"
	"carawayrouter.example/router/internal/tcp"
)

const (
	readBuffer  = 4 << 10 // bytes; most request headers fit
	writeBuffer = 4 << 10
	// writeTimeout closes a connection whose caller stopped reading.
	writeTimeout   = 5 * time.Second
	bodyRetryAfter = time.Second      // after a refusal for want of memory; a large body takes seconds to arrive
	bodyTimeout    = 10 * time.Second // for a whole body, if the caller set no deadline
	tcpUserTimeout = 5 * time.Second  // limit for unacknowledged data, to detect dead connections

	defaultHeaderBytes   = 16 << 10
	defaultBodyBytes     = 4 << 20
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 15 * time.Second
)

var errCallerGone = errors.New("the caller closed its connection")

// callerConn is a caller's connection. One goroutine serves it; while a request is handled, a
// second one detects that the caller disconnects.
type callerConn struct {
	s  *Server
	nc net.Conn
	br *bufio.Reader
	bw *bufio.Writer

	out *callerWriter // below bw

	limited *io.LimitedReader // limits the size of a request

	// The rest of a refused body, and until when it may arrive. Many callers send all of it before they read the response,
	// which they would not get if the connection were closed before.
	discard      int64
	discardUntil time.Time
}

func (s *Server) newConn(nc net.Conn) *callerConn {
	c := &callerConn{s: s, nc: nc, out: &callerWriter{Conn: nc}}
	c.bw = bufio.NewWriterSize(c.out, writeBuffer)
	c.limited = &io.LimitedReader{R: nc}
	c.br = bufio.NewReaderSize(c.limited, readBuffer)
	return c
}

// serve handles the connection's requests one after the other.
func (c *callerConn) serve(ctx context.Context) {
	defer c.nc.Close()
	for {
		reuse, err := c.serveRequest(ctx)
		if err != nil || !reuse {
			break
		}
	}
	if !c.discardUntil.IsZero() {
		_ = c.nc.SetReadDeadline(c.discardUntil)
		_, _ = io.Copy(io.Discard, io.LimitReader(c.nc, c.discard))
	}
}

func limitsOf(st *config.State) config.Limits {
	l := st.Limits
	if l.HeaderBytes <= 0 {
		l.HeaderBytes = defaultHeaderBytes
	}
	if l.BodyBytes <= 0 {
		l.BodyBytes = defaultBodyBytes
	}
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = defaultHeaderTimeout
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = defaultIdleTimeout
	}
	return l
}

// serveRequest reads and answers one request and reports whether the connection can be reused.
func (c *callerConn) serveRequest(ctx context.Context) (reuse bool, err error) {
	limits := limitsOf(c.s.state.Current())
	c.limited.N = int64(limits.HeaderBytes) + readBuffer
	_ = c.nc.SetReadDeadline(time.Now().Add(limits.IdleTimeout))
	c.s.callers.setIdle(c)
	_, err = c.br.Peek(1)
	c.s.callers.setBusy(c)
	if err != nil {
		return false, err
	}
	arrived := time.Now()
	c.s.active.Add(1)
	defer c.s.active.Add(-1)
	_ = c.nc.SetReadDeadline(arrived.Add(limits.HeaderTimeout))
	req, err := http.ReadRequest(c.br)
	if err != nil {
		return false, c.reject(errkind.New(errkind.BadRequest, "the request could not be read"), "")
	}
	r := &response{conn: c, keepAlive: !req.Close && req.ProtoAtLeast(1, 1), headOnly: req.Method == http.MethodHead}
	call, err := c.s.wire.ParseCall(req.Header, arrived)
	r.attemptID = call.ID
	if err != nil {
		return false, c.reject(errkind.New(errkind.BadRequest, err.Error()), call.ID)
	}
	call.Method, call.URI, call.Host, call.Path = req.Method, req.RequestURI, req.Host, req.URL.Path
	c.limited.N = int64(limits.BodyBytes) + 2*readBuffer
	held := c.s.upstream.memory.hold()
	defer held.release()
	if err := c.readBody(req, &call, limits, held); err != nil {
		held.release()
		return false, c.reject(err, call.ID)
	}
	c.limited.N = 1 << 62
	return c.handleCall(ctx, &call, r)
}

// readBody reads the whole body, so that the request can be sent more than once. It takes memory as the body arrives,
// since a slow caller may announce much long before; a body that would not fit now is refused before it is read.
func (c *callerConn) readBody(req *http.Request, call *Call, limits config.Limits, held *holding) error {
	if req.ContentLength > int64(limits.BodyBytes) {
		return errkind.New(errkind.BodyTooLarge, "the request body is too large")
	}
	deadline := call.Deadline
	if deadline.IsZero() {
		deadline = call.Arrived.Add(bodyTimeout)
	}
	if req.ContentLength > 0 && !held.memory.hasRoom(req.ContentLength) {
		return c.refuseBody(limits, deadline)
	}
	_ = c.nc.SetReadDeadline(deadline)
	if req.Header.Get("Expect") == "100-continue" {
		if _, err := io.WriteString(c.nc, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return err
		}
	}
	if req.ContentLength == 0 {
		return nil
	}
	body, err := held.readAll(req.Body, req.ContentLength, false, int64(limits.BodyBytes))
	switch {
	case errors.Is(err, errBuffersFull):
		return c.refuseBody(limits, deadline)
	case errors.Is(err, errBodyTooLarge):
		return errkind.New(errkind.BodyTooLarge, "the request body is too large")
	case err != nil:
		return errkind.Wrap(err, errkind.BadRequest, errkind.NotRun, "the request body could not be read")
	}
	call.Body = body
	return nil
}

// refuseBody returns the error for a request whose body does not fit in the memory for bodies.
func (c *callerConn) refuseBody(limits config.Limits, deadline time.Time) error {
	c.discard, c.discardUntil = int64(limits.BodyBytes), deadline
	c.s.stats.refused[errkind.QueueFull].Inc()
	return refusal(errkind.QueueFull, "the bodies of other requests take the memory for bodies", bodyRetryAfter)
}

// handleCall handles the request and cancels it if the caller disconnects.
func (c *callerConn) handleCall(ctx context.Context, call *Call, r *response) (reuse bool, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer context.AfterFunc(c.s.exiting, func() {
		if !r.streaming.Load() {
			cancel(context.Cause(c.s.exiting))
		}
	})()
	_ = c.nc.SetReadDeadline(time.Time{})
	watcherDone := make(chan struct{})
	go func() {
		defer close(watcherDone)
		if _, err := c.br.Peek(1); err != nil && !isTimeout(err) {
			cancel(errCallerGone)
		}
	}()
	c.s.handle(ctx, call, r)
	c.out.relay(nil, time.Time{})
	_ = c.nc.SetReadDeadline(time.Unix(1, 0))
	<-watcherDone
	if r.writeErr != nil || !r.finished {
		return false, r.writeErr
	}
	return r.keepAlive, nil
}

func isTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}

// reject answers a request that could not be read, and closes the connection.
func (c *callerConn) reject(err error, id string) error {
	r := &response{conn: c, attemptID: id}
	r.sendError(err)
	if w, ok := c.nc.(interface{ CloseWrite() error }); ok && r.writeErr == nil {
		if !c.discardUntil.IsZero() {
			_ = w.CloseWrite()
			return err
		}
		// The caller may still be sending. Closing now would reset the connection before the
		// caller has read the response.
		_ = w.CloseWrite()
		_ = c.nc.SetReadDeadline(time.Now().Add(500 * time.Millisecond))
		_, _ = io.CopyN(io.Discard, c.nc, defaultBodyBytes)
	}
	return err
}

// response writes the response to one request. It is used by one goroutine.
type response struct {
	conn      *callerConn
	attemptID string
	keepAlive bool // the connection may serve another request
	headOnly  bool // the response has no body

	status   int
	started  bool // part of the response may have been sent
	finished bool
	writeErr error

	streaming atomic.Bool // a response of unknown length has begun
}

// send sends a complete response.
func (r *response) send(status int, h http.Header, body []byte) {
	r.writeHead(status, h)
	bw := r.conn.bw
	_, _ = bw.WriteString("Content-Length: ")
	_, _ = bw.WriteString(strconv.Itoa(len(body)))
	_, _ = bw.WriteString("\r\n\r\n")
	if !r.headOnly {
		_, _ = bw.Write(body)
	}
	r.writeErr = bw.Flush()
	r.finished = true
}

// writeHead buffers the status line and the headers.
func (r *response) writeHead(status int, h http.Header) {
	r.started, r.status = true, status
	if r.conn.s.draining.Load() || r.conn.s.cutOff.Load() {
		r.keepAlive = false
	}
	_ = r.conn.nc.SetWriteDeadline(time.Now().Add(writeTimeout))
	bw := r.conn.bw
	_, _ = bw.WriteString("HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\n")
	for name, values := range h {
		for _, v := range values {
			_, _ = bw.WriteString(name + ": " + v + "\r\n")
		}
	}
	if !r.keepAlive {
		_, _ = bw.WriteString("Connection: close\r\n")
	}
}

// startStream starts a response of unknown length.
func (r *response) startStream(status int, h http.Header) {
	r.streaming.Store(true)
	r.writeHead(status, h)
	_, _ = r.conn.bw.WriteString("Transfer-Encoding: chunked\r\n\r\n")
}

// writeChunk sends and flushes one chunk of a streamed response.
func (r *response) writeChunk(b []byte) error {
	_ = r.conn.nc.SetWriteDeadline(time.Now().Add(writeTimeout))
	bw := r.conn.bw
	_, _ = bw.WriteString(strconv.FormatInt(int64(len(b)), 16))
	_, _ = bw.WriteString("\r\n")
	_, _ = bw.Write(b)
	_, _ = bw.WriteString("\r\n")
	r.writeErr = bw.Flush()
	return r.writeErr
}

// finishStream completes a streamed response. Without it the connection is closed, and the
// caller sees that the response is incomplete.
func (r *response) finishStream() {
	_, _ = r.conn.bw.WriteString("0\r\n\r\n")
	r.writeErr = r.conn.bw.Flush()
	r.finished = true
}

// sendError responds with the status of the error's kind.
func (r *response) sendError(err error) {
	e := errkind.From(err)
	h := http.Header{"Content-Type": {"application/json"}}
	if r.attemptID != "" {
		name, value := r.conn.s.wire.EchoID(r.attemptID)
		h[name] = []string{value}
	}
	if e.RetryAfter > 0 {
		name, value := r.conn.s.wire.RetryAfter(e.RetryAfter)
		h[name] = []string{value}
	}
	r.send(statusOf(e), h, []byte(`{"error":{"kind":"`+string(e.Kind)+`","execution":"`+string(e.Execution)+`"}}`))
}

// statusOf returns the HTTP status of an error. Only a request that was not run may get a
// status that implies so.
func statusOf(e *errkind.Error) int {
	status := e.Kind.Status()
	if e.Execution != errkind.NotRun && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests) {
		return http.StatusBadGateway
	}
	if e.Execution == errkind.NotRun && status >= 500 && e.Kind != errkind.Internal {
		return http.StatusServiceUnavailable
	}
	return status
}

// setUserTimeout closes the connection when sent data stays unacknowledged for tcpUserTimeout.
func (s *Server) setUserTimeout(nc net.Conn) {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return
	}
	if err := tcp.SetUserTimeout(sc, tcpUserTimeout); err != nil {
		s.log.V(1).Info("connection.no_timeout", "cause", err.Error())
	}
}
