package gateway

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"carawayrouter.example/router/internal/config"
	"carawayrouter.example/router/internal/errkind"
	"carawayrouter.example/router/internal/tcp"
)

const (
	readBuffer  = 4 << 10 // bytes; most heads fit
	writeBuffer = 4 << 10
	// writeTimeout frees a connection whose caller stopped reading.
	writeTimeout = 5 * time.Second
	bodyTimeout  = 10 * time.Second // for a whole body, where the caller named no deadline
	userTimeout  = 5 * time.Second  // unacknowledged bytes end a silent connection

	defaultHeaderBytes   = 16 << 10
	defaultBodyBytes     = 4 << 20
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 15 * time.Second
)

var errCallerGone = errors.New("the caller closed its connection")

// callerConn is a caller's connection. One goroutine serves it; while a request is
// handled a second one watches for the caller's departure.
type callerConn struct {
	s  *Server
	nc net.Conn
	br *bufio.Reader
	bw *bufio.Writer

	limited *io.LimitedReader // bounds the head of a request
}

func (s *Server) newConn(nc net.Conn) *callerConn {
	c := &callerConn{s: s, nc: nc, bw: bufio.NewWriterSize(nc, writeBuffer)}
	c.limited = &io.LimitedReader{R: nc}
	c.br = bufio.NewReaderSize(c.limited, readBuffer)
	return c
}

// serve handles the connection's requests one after the other.
func (c *callerConn) serve(ctx context.Context) {
	defer c.nc.Close()
	for {
		again, err := c.next(ctx)
		if err != nil || !again {
			return
		}
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

// next reads and answers one request and reports whether another may follow.
func (c *callerConn) next(ctx context.Context) (again bool, err error) {
	limits := limitsOf(c.s.state.Current())
	c.limited.N = int64(limits.HeaderBytes) + readBuffer
	_ = c.nc.SetReadDeadline(time.Now().Add(limits.IdleTimeout))
	if _, err := c.br.Peek(1); err != nil {
		return false, err
	}
	arrived := time.Now()
	c.s.active.Add(1)
	defer c.s.active.Add(-1)
	_ = c.nc.SetReadDeadline(arrived.Add(limits.HeaderTimeout))
	req, err := http.ReadRequest(c.br)
	if err != nil {
		return false, c.fail(errkind.New(errkind.BadRequest, "the request could not be read"), "")
	}
	r := &reply{conn: c, keep: !req.Close && req.ProtoAtLeast(1, 1), head: req.Method == http.MethodHead}
	call, err := c.s.wire.ParseCall(req.Header, arrived)
	r.id = call.ID
	if err != nil {
		return false, c.fail(errkind.New(errkind.BadRequest, err.Error()), call.ID)
	}
	call.Method, call.URI, call.Host, call.Path = req.Method, req.RequestURI, req.Host, req.URL.Path
	c.limited.N = int64(limits.BodyBytes) + 2*readBuffer
	if err := c.readBody(req, &call, limits); err != nil {
		return false, c.fail(err, call.ID)
	}
	c.limited.N = 1 << 62
	return c.handle(ctx, &call, r)
}

// readBody reads the whole body, so that a request can be sent more than once.
func (c *callerConn) readBody(req *http.Request, call *Call, limits config.Limits) error {
	if req.ContentLength > int64(limits.BodyBytes) {
		return errkind.New(errkind.BodyTooLarge, "the request body is too large")
	}
	deadline := call.Deadline
	if deadline.IsZero() {
		deadline = call.Arrived.Add(bodyTimeout)
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
	var b bytes.Buffer
	if req.ContentLength > 0 {
		b.Grow(int(req.ContentLength) + bytes.MinRead)
	}
	n, err := b.ReadFrom(io.LimitReader(req.Body, int64(limits.BodyBytes)+1))
	if err != nil {
		return errkind.Wrap(err, errkind.BadRequest, errkind.NotRun, "the request body could not be read")
	}
	if n > int64(limits.BodyBytes) {
		return errkind.New(errkind.BodyTooLarge, "the request body is too large")
	}
	call.Body = b.Bytes()
	return nil
}

// handle runs the request while watching for the caller's departure.
func (c *callerConn) handle(ctx context.Context, call *Call, r *reply) (again bool, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	_ = c.nc.SetReadDeadline(time.Time{})
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		if _, err := c.br.Peek(1); err != nil && !isTimeout(err) {
			cancel(errCallerGone)
		}
	}()
	c.s.handle(ctx, call, r)
	_ = c.nc.SetReadDeadline(time.Unix(1, 0))
	<-watched
	if r.err != nil || !r.finished {
		return false, r.err
	}
	return r.keep, nil
}

func isTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}

// fail answers a request that could not be read, and ends the connection.
func (c *callerConn) fail(err error, id string) error {
	r := &reply{conn: c, id: id}
	r.fail(err)
	if w, ok := c.nc.(interface{ CloseWrite() error }); ok && r.err == nil {
		// The caller may still be sending: a close now would reset the connection
		// before the answer was read.
		_ = w.CloseWrite()
		_ = c.nc.SetReadDeadline(time.Now().Add(500 * time.Millisecond))
		_, _ = io.CopyN(io.Discard, c.nc, defaultBodyBytes)
	}
	return err
}

// reply writes the answer to one request. It is used by one goroutine.
type reply struct {
	conn *callerConn
	id   string
	keep bool // the connection may serve another request
	head bool // the answer has no body

	status   int
	started  bool // bytes of the answer may have left
	finished bool
	err      error // of writing
}

// whole sends a complete answer.
func (r *reply) whole(status int, h http.Header, body []byte) {
	r.begin(status, h)
	bw := r.conn.bw
	_, _ = bw.WriteString("Content-Length: ")
	_, _ = bw.WriteString(strconv.Itoa(len(body)))
	_, _ = bw.WriteString("\r\n\r\n")
	if !r.head {
		_, _ = bw.Write(body)
	}
	r.err = bw.Flush()
	r.finished = true
}

// begin buffers status line and headers.
func (r *reply) begin(status int, h http.Header) {
	r.started, r.status = true, status
	if r.conn.s.draining.Load() || r.conn.s.cutOff.Load() {
		r.keep = false
	}
	_ = r.conn.nc.SetWriteDeadline(time.Now().Add(writeTimeout))
	bw := r.conn.bw
	_, _ = bw.WriteString("HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\n")
	for name, values := range h {
		for _, v := range values {
			_, _ = bw.WriteString(name + ": " + v + "\r\n")
		}
	}
	if !r.keep {
		_, _ = bw.WriteString("Connection: close\r\n")
	}
}

// stream starts an answer whose length is not known.
func (r *reply) stream(status int, h http.Header) {
	r.begin(status, h)
	_, _ = r.conn.bw.WriteString("Transfer-Encoding: chunked\r\n\r\n")
}

// event sends one piece of a streamed answer at once.
func (r *reply) event(b []byte) error {
	_ = r.conn.nc.SetWriteDeadline(time.Now().Add(writeTimeout))
	bw := r.conn.bw
	_, _ = bw.WriteString(strconv.FormatInt(int64(len(b)), 16))
	_, _ = bw.WriteString("\r\n")
	_, _ = bw.Write(b)
	_, _ = bw.WriteString("\r\n")
	r.err = bw.Flush()
	return r.err
}

// end completes a streamed answer. Without it the connection is closed, and the
// caller sees that the answer is not whole.
func (r *reply) end() {
	_, _ = r.conn.bw.WriteString("0\r\n\r\n")
	r.err = r.conn.bw.Flush()
	r.finished = true
}

// fail answers with the status of the error's kind.
func (r *reply) fail(err error) {
	e := errkind.From(err)
	h := http.Header{"Content-Type": {"application/json"}}
	if r.id != "" {
		name, value := r.conn.s.wire.EchoID(r.id)
		h[name] = []string{value}
	}
	if e.RetryAfter > 0 {
		name, value := r.conn.s.wire.RetryAfter(e.RetryAfter)
		h[name] = []string{value}
	}
	r.whole(statusOf(e), h, []byte(`{"error":{"kind":"`+string(e.Kind)+`","execution":"`+string(e.Execution)+`"}}`))
}

// statusOf returns the status of an error. Only a request that has not run may get a
// status that says so.
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

// limitSilence ends the connection once its bytes are not acknowledged for a while.
func (s *Server) limitSilence(nc net.Conn) {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return
	}
	if err := tcp.SetUserTimeout(sc, userTimeout); err != nil {
		s.log.V(1).Info("connection.no_timeout", "cause", err.Error())
	}
}
