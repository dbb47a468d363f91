package gateway

import (
	"bufio"
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"carawayrouter.example/router/internal/config"
	"carawayrouter.example/router/internal/endpoint"
	"carawayrouter.example/router/internal/placement"
	"carawayrouter.example/router/internal/relaybuffer"
	"carawayrouter.example/router/internal/responsehead"
	"carawayrouter.example/router/internal/tcp"
)

const (
	dialTimeout    = 250 * time.Millisecond // many times the round trip within a region; an instance that is throttled by its CPU limit stalls for 100 ms
	defaultIdleTTL = 4 * time.Second        // TTL of idle connections if the endpoint gives none
	idleMargin     = time.Second            // subtracted from the endpoint's own timeout
	// sendOnceMaxIdle is how long a connection may have been idle to carry a request that must
	// not be sent twice: if the endpoint closed the connection, it would be unknown whether the
	// request ran.
	sendOnceMaxIdle  = time.Second
	maxIdleConns     = 8 // per endpoint
	maxSkipped       = 2 // responses to other requests skipped before the expected one
	maxResponseBytes = 16 << 20
	// maxHeadBytes bounds the heads that are read for one response, with interim responses and
	// late responses to other requests.
	maxHeadBytes = 64 << 10
)

// upstream is the connection pool for endpoints.
type upstream struct {
	wire       Wire
	paths      *paths
	onOpen     func(net.Conn)                                                 // configures a new connection
	onResponse func(req endpointRequest, sentAt time.Time, resp ResponseInfo) // observes the response to every request
	// onAnnouncement observes what an endpoint announces in any response: also to a request for its incarnation,
	// in a late one, and in one that another instance receives through this one.
	onAnnouncement func(req endpointRequest, resp ResponseInfo)
	mayAsk         func(endpoint string) bool               // reports whether an endpoint may be asked for its incarnation
	recheck        func(r placement.Send) placement.Refusal // decides once more whether a request may be written
	admit          func(r placement.Send) placement.Refusal // recheck for a request that is written next, which it counts
	onEndByClose   func(confirmed bool)                     // observes the end of an answer without a length

	memory *bodyMemory
	ahead  *relaybuffer.Memory // for events that are read ahead of their callers; nil if none are

	mu   sync.Mutex
	idle map[string][]*endpointConn // by address, newest last
}

type endpointConn struct {
	net.Conn
	addr      string
	limited   *io.LimitedReader // below head
	head      *responsehead.Reader
	br        *bufio.Reader // of head
	idleSince time.Time
	idleTTL   time.Duration
	detoured  bool // it goes through another instance
	openedAt  time.Time

	// carriedUnnamed says that a request without an attempt ID was sent on the connection. Its response, which names
	// no attempt either, may come a second time where that of a later request is due.
	carriedUnnamed bool

	// refused are the attempts that were refused on the connection, the latest last. A faulty endpoint may
	// write a refusal once more where the answer to a later request is due.
	refused []string

	incarnation int64 // of the process at the other end, as it says itself; 0 if it was not asked
}

// setReader buffers what is read from the connection, and calls heard when something is.
func (c *endpointConn) setReader(heard func()) {
	c.limited = &io.LimitedReader{R: readerFunc(func(b []byte) (int, error) {
		n, err := c.Conn.Read(b)
		if n > 0 {
			heard()
		}
		return n, err
	})}
	c.head = responsehead.NewReader(c.limited)
	c.br = bufio.NewReaderSize(c.head, readBuffer)
}

type readerFunc func(b []byte) (int, error)

func (f readerFunc) Read(b []byte) (int, error) { return f(b) }

// notStated is the incarnation of a process that does not state one.
const notStated = -1

// errOtherIncarnation means that the process at an endpoint's address is not the one in its entry.
var errOtherIncarnation = errors.New("another incarnation of the endpoint answers at its address")

// errNotEligible means that an endpoint may not be given a request that was meant for it. Nothing was sent.
var errNotEligible = errors.New("the endpoint may not be given the request")

// notEligible returns the error for a request that an endpoint may not be given.
func notEligible(r placement.Refusal) error {
	return errors.Mark(errors.Wrap(errNotEligible, string(r)), endpoint.ErrNotSent)
}

// errIncarnationUnknown means that an endpoint did not say which incarnation it is.
var errIncarnationUnknown = errors.New("the endpoint's incarnation is not known")

func newUpstream(w Wire, onOpen func(net.Conn)) *upstream {
	return &upstream{wire: w, memory: newBodyMemory(0), paths: newPaths(dialTCP, func(context.Context, string) (net.Conn, error) { return nil, errNoDetour }), onOpen: onOpen, onResponse: func(endpointRequest, time.Time, ResponseInfo) {}, onAnnouncement: func(endpointRequest, ResponseInfo) {},
		mayAsk: func(string) bool { return true }, recheck: func(placement.Send) placement.Refusal { return "" }, admit: func(placement.Send) placement.Refusal { return "" }, onEndByClose: func(bool) {}, idle: map[string][]*endpointConn{}}
}

// dialTCP is the usual Dial.
func dialTCP(ctx context.Context, addr string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", addr)
}

// get returns a connection to addr that has been idle for at most maxAge, or a new one. It is one on which
// the attempt was not refused.
func (u *upstream) get(ctx context.Context, addr, attemptID string, maxAge time.Duration) (*endpointConn, error) {
	for {
		c := u.pop(addr)
		if c == nil {
			break
		}
		age := time.Since(c.idleSince)
		if age < min(c.idleTTL, maxAge) && !c.outdated() && !c.stale() && (attemptID == "" || !slices.Contains(c.refused, attemptID)) {
			return c, nil
		}
		_ = c.Close()
	}
	return u.dial(ctx, addr)
}

// maxRefused bounds the refused attempts of a connection that are known. A connection with more is used
// for no further request.
const maxRefused = 64

// dial opens a new connection to addr.
func (u *upstream) dial(ctx context.Context, addr string) (*endpointConn, error) {
	nc, detoured, err := u.paths.open(ctx, addr)
	if err != nil {
		return nil, errors.Mark(err, endpoint.ErrNotSent)
	}
	return u.newConn(nc, addr, detoured), nil
}

// ensureConn makes sure that a connection to an endpoint is available, so that an unreachable one,
// or another incarnation of it, is detected before work is done for it. With mustAnswer the
// endpoint has to answer now, so that a silent one is detected too.
func (u *upstream) ensureConn(ctx context.Context, ep *config.Endpoint, mustAnswer bool) error {
	c, err := u.get(ctx, ep.Addr, "", defaultIdleTTL)
	if err != nil {
		return err
	}
	if mustAnswer {
		c.incarnation = 0
	}
	c, err = u.identify(ctx, c, endpointRequest{endpoint: ep.Name, addr: ep.Addr, incarnation: ep.Incarnation, mustConfirm: mustAnswer})
	if err != nil {
		return err
	}
	u.put(c)
	return nil
}

// identify makes sure that the process at the other end of a connection is the incarnation that
// the request is meant for, and returns the connection to use: a process cannot be replaced without
// breaking its connections. The error is marked with ErrNotSent.
func (u *upstream) identify(ctx context.Context, c *endpointConn, req endpointRequest) (*endpointConn, error) {
	if req.incarnation == 0 {
		return c, nil
	}
	if c.incarnation == 0 && !u.mayAsk(req.endpoint) {
		return c, nil
	}
	if c.incarnation == 0 {
		if r := u.recheck(req.question()); r != "" {
			u.put(c)
			return nil, notEligible(r)
		}
	}
	if c.incarnation == 0 {
		if reusable, _ := u.askIncarnation(ctx, c, req); !reusable { // an error leaves it unknown
			_ = c.Close()
			next, err := u.dial(ctx, req.addr)
			if err != nil {
				return nil, err
			}
			c = next
		}
	}
	err := error(nil)
	switch {
	case c.incarnation == 0 && req.mustConfirm:
		err = errIncarnationUnknown
	case c.incarnation > 0 && c.incarnation != req.incarnation:
		err = errOtherIncarnation
	default:
		return c, nil
	}
	u.put(c)
	return nil, errors.Mark(err, endpoint.ErrNotSent)
}

// askIncarnation asks the process at the other end of an idle connection for its incarnation, and records it.
// Reusable says that the connection may carry another request; it is not after an error.
func (u *upstream) askIncarnation(ctx context.Context, c *endpointConn, req endpointRequest) (reusable bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	defer context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })()
	resp, err := u.roundTrip(c, endpointRequest{endpoint: req.endpoint, placedAt: req.incarnation, sender: "incarnation", method: http.MethodGet, uri: u.wire.ReportPath(), host: req.addr})
	if err != nil {
		return false, err
	}
	body, err := resp.readAll()
	resp.held.release()
	if err != nil {
		return false, err
	}
	if resp.Status != http.StatusOK {
		return false, errors.Newf("the endpoint's report has status %d", resp.Status)
	}
	incarnation, err := u.wire.ReportedIncarnation(body)
	if err != nil {
		return false, err
	}
	if c.incarnation = incarnation; incarnation == 0 {
		c.incarnation = notStated
	}
	return resp.keepAlive && ctx.Err() == nil, nil
}

func (u *upstream) pop(addr string) *endpointConn {
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

// put returns a connection to the pool after its last response was read completely.
func (u *upstream) put(c *endpointConn) {
	c.idleSince = time.Now()
	_ = c.SetDeadline(time.Time{})
	u.mu.Lock()
	list := u.idle[c.addr]
	var drop *endpointConn
	if len(list) >= maxIdleConns {
		drop, list = list[0], list[1:]
	}
	u.idle[c.addr] = append(list, c)
	u.mu.Unlock()
	if drop != nil {
		_ = drop.Close()
	}
}

// sweep closes connections that were idle for too long and connections to addresses that are no
// longer in use.
func (u *upstream) sweep(inUse map[string]bool) {
	now := time.Now()
	var drop []*endpointConn
	u.mu.Lock()
	for addr, list := range u.idle {
		kept := list[:0]
		for _, c := range list {
			if inUse[addr] && now.Sub(c.idleSince) < c.idleTTL {
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
	u.paths.keep(inUse)
	for _, c := range drop {
		_ = c.Close()
	}
}

// reset closes a connection whose request is abandoned. Bytes that a broken link holds up are
// dropped instead of being delivered when it heals.
func (c *endpointConn) reset() {
	if tc, ok := c.Conn.(interface{ SetLinger(int) error }); ok {
		_ = tc.SetLinger(0)
	}
	_ = c.Close()
}

// outdated reports whether the connection is a tunnel that is not used any more.
func (c *endpointConn) outdated() bool { return c.detoured && time.Since(c.openedAt) > maxTunnelAge }

// stale reports whether the endpoint has closed the idle connection or sent unsolicited bytes.
func (c *endpointConn) stale() bool {
	if c.br.Buffered() > 0 {
		return true
	}
	sc, ok := c.Conn.(syscall.Conn)
	return ok && tcp.Peek(sc) != tcp.Idle
}

// endpointRequest is one request to an endpoint.
type endpointRequest struct {
	endpoint  string // name
	addr      string
	method    string
	uri       string
	host      string
	header    http.Header
	body      []byte
	attemptID string // attempt that the response must belong to; empty accepts one that names none
	sendOnce  bool   // must not be sent on a connection that may be closing
	placedAt  int64  // incarnation in the endpoint's entry when it was chosen
	sender    string // what sends it, for the log; empty for a caller's request

	forCaller  bool   // the response is passed on to a caller
	healthPath string // of the endpoint; empty if it has none

	incarnation int64 // of the endpoint; 0 accepts any
	mustConfirm bool  // is sent only to an endpoint that has said to be the incarnation, or says none

	homes placement.Homes // of a caller's request
}

// send returns what decides whether the request may be written.
func (r endpointRequest) send() placement.Send {
	return placement.Send{Endpoint: r.endpoint, Incarnation: r.placedAt, Homes: r.homes, NoWork: r.sender != ""}
}

// question returns what decides whether a question about its incarnation or its health may be written to the request's endpoint.
func (r endpointRequest) question() placement.Send {
	return placement.Send{Endpoint: r.endpoint, Incarnation: r.placedAt, NoWork: true}
}

// endpointResponse is an endpoint's response. Close must be called; if the body was not read
// completely, it closes the connection, and the endpoint stops its work.
type endpointResponse struct {
	ResponseInfo
	Status    int
	body      io.ReadCloser
	conn      *endpointConn
	upstream  *upstream
	stopWatch func() bool
	held      *holding // memory of the body
	length    int64    // announced, or negative
	bodyRead  bool     // the body was read completely
	framing   framing
	keepAlive bool
	confirmed bool // it comes from the incarnation that the request was meant for, as far as endpoints say
}

// framing says what ends the body of a response.
type framing string

const (
	framedByLength framing = "length"
	framedByChunks framing = "chunks"
	framedByClose  framing = "close" // the end of the connection
)

func framingOf(r *http.Response) framing {
	switch {
	case len(r.TransferEncoding) > 0:
		return framedByChunks
	case r.ContentLength >= 0 || r.Body == http.NoBody:
		return framedByLength
	}
	return framedByClose
}

// isAnsweredBy reports whether a response may be that of the endpoint that the request was meant for.
func (r endpointRequest) isAnsweredBy(resp ResponseInfo) bool {
	return r.endpoint != "" && !resp.WrongEndpoint && (resp.EndpointName == "" || resp.EndpointName == r.endpoint)
}

// announcesLeaving reports whether the endpoint that the request was meant for has announced in its
// response that it leaves.
func (r endpointRequest) announcesLeaving(resp ResponseInfo) bool {
	return resp.Leaving && r.isAnsweredBy(resp)
}

// do sends a request and reads the header of its response. Ctx applies until the response is
// closed: when it ends, the connection is closed. Errors are marked with ErrNotSent if nothing
// was sent.
func (u *upstream) do(ctx context.Context, req endpointRequest) (*endpointResponse, error) {
	maxAge := defaultIdleTTL * 4
	if req.sendOnce {
		maxAge = sendOnceMaxIdle
	}
	c, err := u.get(ctx, req.addr, req.attemptID, maxAge)
	if err != nil {
		return nil, err
	}
	if c, err = u.identify(ctx, c, req); err != nil {
		return nil, err
	}
	if ctx.Err() != nil {
		u.put(c)
		return nil, errors.Mark(context.Cause(ctx), endpoint.ErrNotSent)
	}
	// The endpoint may have been evacuated, have asked for a pause or leave since the request was placed.
	if r := u.admit(req.send()); r != "" {
		u.put(c)
		return nil, notEligible(r)
	}
	sentAt := time.Now()
	stopWatch := context.AfterFunc(ctx, c.reset)
	silence := time.AfterFunc(pathSilence, func() { u.checkPath(context.WithoutCancel(ctx), req.addr, false) })
	resp, err := u.roundTrip(c, req)
	silence.Stop()
	if err != nil {
		stopWatch()
		_ = c.Close()
		if ctx.Err() != nil {
			err = errors.CombineErrors(context.Cause(ctx), err)
		}
		return nil, errors.Mark(err, endpoint.ErrCallFailed)
	}
	resp.stopWatch = stopWatch
	if req.forCaller && !resp.NotRun && resp.framing == framedByClose {
		resp.body = &confirmedBody{ReadCloser: resp.body, confirm: func() error { return u.confirmEnd(ctx, c, req) }}
	}
	u.onResponse(req, sentAt, resp.ResponseInfo)
	return resp, nil
}

func (u *upstream) roundTrip(c *endpointConn, req endpointRequest) (*endpointResponse, error) {
	if err := writeRequest(c, req); err != nil {
		return nil, err
	}
	defer func() { c.carriedUnnamed = c.carriedUnnamed || req.attemptID == "" }()
	c.limited.N = maxHeadBytes
	for skipped := 0; ; {
		httpResp, err := c.head.ReadResponse(c.br, &http.Request{Method: req.method})
		if err != nil {
			return nil, err
		}
		if httpResp.StatusCode < 200 {
			continue
		}
		info := u.wire.ParseResponse(httpResp.StatusCode, httpResp.Header)
		u.onAnnouncement(req, info)
		if info.AttemptID != req.attemptID && (info.AttemptID != "" || c.carriedUnnamed) {
			// A late response to an earlier request on this connection.
			if skipped++; skipped > maxSkipped {
				return nil, endpoint.ErrMismatch
			}
			c.limited.N = maxResponseBytes
			if _, err := io.Copy(io.Discard, httpResp.Body); err != nil {
				return nil, err
			}
			c.limited.N = maxHeadBytes
			continue
		}
		if info.AttemptID != req.attemptID {
			return nil, endpoint.ErrMismatch // it names no attempt and may answer any request
		}
		if info.NotRun && req.attemptID != "" {
			c.refused = append(c.refused, req.attemptID)
		}
		c.limited.N = math.MaxInt64
		resp := &endpointResponse{ResponseInfo: info, Status: httpResp.StatusCode, body: httpResp.Body, length: httpResp.ContentLength, framing: framingOf(httpResp), conn: c, upstream: u, held: u.memory.hold()}
		resp.keepAlive = !httpResp.Close && skipped == 0 && len(c.refused) <= maxRefused
		resp.confirmed = c.incarnation != 0 || req.incarnation == 0 || !u.mayAsk(req.endpoint)
		if ttl, ok := keepAliveTTL(httpResp.Header); ok {
			c.idleTTL = ttl
		}
		return resp, nil
	}
}

// keepAliveTTL returns how long the endpoint keeps idle connections, less a margin.
func keepAliveTTL(h http.Header) (time.Duration, bool) {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		if v, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout="); ok {
			if n, err := strconv.Atoi(v); err == nil {
				return max(0, time.Duration(n)*time.Second-idleMargin), true
			}
		}
	}
	return 0, false
}

// maxCopiedBody is how much of a request's body is copied, to be sent in one write with the head. A larger body is sent
// from where it is.
const maxCopiedBody = 16 << 10 // bytes

// writeRequest sends a request in one write if it fits the buffer.
func writeRequest(c *endpointConn, req endpointRequest) error {
	bw := bufio.NewWriterSize(c, writeBuffer+min(len(req.body), maxCopiedBody))
	_, _ = bw.WriteString(req.method + " " + req.uri + " HTTP/1.1\r\nHost: " + req.host + "\r\n")
	for name, values := range req.header {
		for _, v := range values {
			_, _ = bw.WriteString(name + ": " + v + "\r\n")
		}
	}
	if len(req.body) > 0 || req.method == http.MethodPost || req.method == http.MethodPut || req.method == http.MethodPatch {
		_, _ = bw.WriteString("Content-Length: " + strconv.Itoa(len(req.body)) + "\r\n")
	}
	_, _ = bw.WriteString("\r\n")
	_, _ = bw.Write(req.body)
	return bw.Flush()
}

// readAll reads a body of at most maxResponseBytes. Closing the response gives its memory back.
func (r *endpointResponse) readAll() ([]byte, error) {
	b, err := r.held.readAll(r.body, r.length, true, maxResponseBytes)
	if err != nil {
		return nil, errors.Mark(err, endpoint.ErrCallFailed)
	}
	r.bodyRead = true
	return b, nil
}

// close returns the connection to the pool if the response was read completely.
func (r *endpointResponse) close() {
	r.held.release()
	r.closeConn()
}

// closeConn is close for a response whose body stays in memory.
func (r *endpointResponse) closeConn() {
	stopped := r.stopWatch()
	if stopped && r.bodyRead && r.keepAlive && r.conn.br.Buffered() == 0 {
		r.upstream.put(r.conn)
		return
	}
	_ = r.conn.Close()
}
