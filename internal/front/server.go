package front

import (
	"bufio"
	"context"
	"encoding/json"
	"net"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"github.com/valyala/fasthttp"

	"carawayrouter.example/router/internal/clock"
	"carawayrouter.example/router/internal/config"
	"carawayrouter.example/router/internal/errkind"
	"carawayrouter.example/router/internal/event"
	"carawayrouter.example/router/internal/filter"
	"carawayrouter.example/router/internal/keys"
	"carawayrouter.example/router/internal/metrics"
	"carawayrouter.example/router/internal/operation"
	"carawayrouter.example/router/internal/reqid"
	"carawayrouter.example/router/internal/tcp"
)

const (
	disconnectPollInterval = 250 * time.Millisecond // how often a caller's connection is checked for closure
	streamStartDelay       = 10 * time.Second       // longest wait for a first token before a stream's headers are sent
	keepAliveInterval      = 5 * time.Second
	drainPollInterval      = 20 * time.Millisecond
	connDrainDelay         = time.Second // longest pause between requests on an active keep-alive connection
	maxHeaderBytes         = 16 << 10
	acceptTimeout          = time.Second // longest wait for established connections to be accepted at the end of a drain
	shutdownTimeout        = 5 * time.Second
)

// Options configures a Server.
type Options struct {
	Chain           filter.Handler
	IDs             *reqid.Source
	Config          config.Source
	Operations      operation.Store
	Clock           clock.Clock
	Log             logr.Logger
	Events          *event.Ring
	Metrics         *metrics.Set
	OnRefusal       func(account string, kind errkind.Kind) // called for every refused request of an account
	MaxBodyBytes    int
	MaxOutputTokens int
	MaxConnections  int           // concurrently open caller connections
	ReadTimeout     time.Duration // for a whole request, headers included
	IdleTimeout     time.Duration // between requests on a connection
	WriteTimeout    time.Duration // for each write
}

// Server is the HTTP server for callers.
type Server struct {
	opts       Options
	http       *fasthttp.Server
	listener   atomic.Pointer[listener]
	draining   atomic.Bool
	baseCtx    context.Context
	cancelBase context.CancelCauseFunc
}

// New returns a Server for the given options.
func New(o Options) *Server {
	s := &Server{opts: o}
	s.baseCtx, s.cancelBase = context.WithCancelCause(context.Background())
	s.http = &fasthttp.Server{
		Handler:               s.handle,
		ErrorHandler:          s.handleProtocolError,
		ReadTimeout:           o.ReadTimeout,
		IdleTimeout:           o.IdleTimeout,
		MaxRequestBodySize:    o.MaxBodyBytes,
		ReadBufferSize:        maxHeaderBytes,
		Concurrency:           o.MaxConnections,
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
		CloseOnShutdown:       true,
		Logger:                redactingLogger{o.Log},
	}
	return s
}

// redactingLogger logs at verbosity 1 that the HTTP library reported a connection error.
// The library's message is dropped because it can quote request data.
type redactingLogger struct{ log logr.Logger }

// Printf implements fasthttp.Logger.
func (q redactingLogger) Printf(string, ...any) { q.log.V(1).Info("connection error") }

// Serve accepts connections on ln until Close is called, and then returns nil.
func (s *Server) Serve(ln net.Listener) error {
	l := &listener{Listener: ln, writeTimeout: s.opts.WriteTimeout}
	s.listener.Store(l)
	return s.http.Serve(l)
}

// Drain refuses new requests and waits until the running ones have ended or ctx is
// done. It returns the number of requests still running. Keep-alive connections stay
// open for connDrainDelay after the last request: a request on one is refused with
// Connection: close. Closing them from the server side could reset a connection on
// which a request is already in transit. At the end new connections are refused, and
// those already established are accepted, so that Close resets none; a cancelled ctx
// ends the drain at once.
func (s *Server) Drain(ctx context.Context) int {
	s.draining.Store(true)
	running := s.waitIdle(ctx)
	if !errors.Is(ctx.Err(), context.Canceled) {
		s.stopListening()
	}
	return running
}

// stopListening refuses new connections and waits until the established ones are accepted.
func (s *Server) stopListening() {
	l := s.listener.Load()
	if l == nil {
		return
	}
	ctx, cancel := context.WithTimeout(s.baseCtx, acceptTimeout)
	defer cancel()
	if err := tcp.StopListening(ctx, l.Listener); err != nil {
		s.opts.Log.Error(err, "connections may be reset")
	}
}

// waitIdle waits as Drain says and returns the number of requests still running.
func (s *Server) waitIdle(ctx context.Context) int {
	var idleSince time.Time
	for {
		running := int(s.opts.Metrics.Running.Value())
		now := s.opts.Clock.Now()
		switch {
		case running > 0:
			idleSince = time.Time{}
		case idleSince.IsZero():
			idleSince = now
		}
		idle := running == 0 && (s.http.GetOpenConnectionsCount() <= 0 || now.Sub(idleSince) >= connDrainDelay)
		if idle || ctx.Err() != nil {
			return running
		}
		select {
		case <-ctx.Done():
		case <-s.opts.Clock.After(drainPollInterval):
		}
	}
}

// Close cancels running requests and closes the connections.
func (s *Server) Close() error {
	s.draining.Store(true)
	s.cancelBase(filter.ErrForcedShutdown)
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	return s.http.ShutdownWithContext(ctx)
}

// handleProtocolError responds to requests that could not be read.
func (s *Server) handleProtocolError(ctx *fasthttp.RequestCtx, err error) {
	if c, ok := ctx.Conn().(*conn); ok && !c.requestPending.Load() {
		// Close an idle connection without a response: a caller that is just sending
		// a request could take an error response for the response to that request.
		_ = c.Close()
		return
	}
	e := errkind.New(errkind.BadRequest, "the request could not be read")
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		e = errkind.New(errkind.BodyTooLarge, "the request body is too large")
		if c, ok := ctx.Conn().(*conn); ok {
			c.lingerOnClose.Store(true)
		}
	}
	s.opts.Metrics.Refused[e.Kind].Add(1)
	ctx.SetConnectionClose()
	writeError(ctx, e, "")
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	if c, ok := ctx.Conn().(*conn); ok {
		c.requestPending.Store(false)
	}
	path := string(ctx.Path())
	switch {
	case path == healthPath:
		s.serveHealth(ctx)
	case s.draining.Load():
		ctx.SetConnectionClose()
		s.refuse(ctx, errkind.New(errkind.ShuttingDown, "this instance is shutting down").WithRetryAfter(time.Second), "")
	case strings.HasPrefix(path, operationsPath) && ctx.IsGet():
		s.serveOperationStatus(ctx, strings.TrimPrefix(path, operationsPath))
	default:
		s.serveRequest(ctx, path)
	}
}

func (s *Server) serveHealth(ctx *fasthttp.RequestCtx) {
	if s.draining.Load() {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		ctx.SetBodyString("draining\n")
		return
	}
	if s.opts.Config.Current().Ticket == 0 {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		ctx.SetBodyString("no configuration yet\n")
		return
	}
	ctx.SetBodyString("ok\n")
}

// serveRequest runs one request through the filter chain.
func (s *Server) serveRequest(ctx *fasthttp.RequestCtx, path string) {
	r, err := s.parseRequest(ctx, path)
	if err != nil {
		s.refuse(ctx, errkind.From(err), "")
		return
	}
	x := newExchange(s.baseCtx, r.ID.String(), r.Completion, r.Arrived)
	r.Responder = x
	ctx.Response.Header.Set("X-Request-Id", x.id)
	s.opts.Metrics.Requests.Add(1)
	s.opts.Metrics.Running.Add(1)
	s.opts.Events.Add(event.Event{Kind: "request.arrive", Request: x.id, Detail: r.Method + " " + path})
	go func() {
		x.runChain(s.opts.Chain, r)
		s.recordResult(x, r)
	}()
	go s.watchDisconnect(ctx.Conn(), x)
	s.respond(ctx, x)
}

// respond waits for the result of the chain, the first streamed frame or streamStartDelay,
// and writes the response.
func (s *Server) respond(ctx *fasthttp.RequestCtx, x *exchange) {
	var startTimer <-chan time.Time
	if x.streaming() {
		startTimer = s.opts.Clock.After(streamStartDelay)
	}
	select {
	case <-x.done:
	case <-x.firstFrame:
	case <-startTimer:
	}
	select {
	case <-x.done:
		if x.err != nil && !x.Started() {
			s.respondError(ctx, x)
			return
		}
	default:
	}
	if x.streaming() {
		s.startStream(ctx, x)
		return
	}
	defer s.responseEnded()
	defer x.cancel(nil)
	s.writeFullResponse(ctx, x)
}

func (s *Server) respondError(ctx *fasthttp.RequestCtx, x *exchange) {
	defer s.responseEnded()
	x.cancel(nil)
	e := errkind.From(x.err)
	if e.Kind == errkind.ClientGone {
		ctx.SetConnectionClose()
	}
	writeError(ctx, e, x.id)
}

func (s *Server) startStream(ctx *fasthttp.RequestCtx, x *exchange) {
	ctx.SetContentType("text/event-stream")
	ctx.Response.Header.Set("Cache-Control", "no-store")
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer s.responseEnded()
		x.writeStream(w, keepAliveInterval)
	})
}

// writeFullResponse writes a response that is not streamed.
func (s *Server) writeFullResponse(ctx *fasthttp.RequestCtx, x *exchange) {
	switch {
	case x.service != nil:
		writeServiceResponse(ctx, x.service)
	case x.full != nil:
		b, err := json.Marshal(x.full)
		if err != nil {
			writeError(ctx, errkind.Wrap(err, errkind.Internal, errkind.Ran, "internal error"), x.id)
			return
		}
		ctx.SetContentType("application/json")
		ctx.SetBody(b)
	default:
		writeError(ctx, errkind.Wrap(nil, errkind.Internal, errkind.Unknown, "internal error"), x.id)
	}
}

// responseEnded takes a request out of the running count once its response is written.
func (s *Server) responseEnded() { s.opts.Metrics.Running.Add(-1) }

// recordResult records the outcome of a request in events, metrics and the log.
func (s *Server) recordResult(x *exchange, r *filter.Request) {
	e := event.Event{Kind: "request.done", Request: x.id}
	if r.Account != nil {
		e.Account = r.Account.Name
	}
	if x.err != nil {
		refusal := errkind.From(x.err)
		s.countRefusal(refusal)
		e.Kind = "request.refused"
		if e.Account != "" {
			s.opts.OnRefusal(e.Account, refusal.Kind)
		}
		e.Detail = string(refusal.Kind) + " " + string(refusal.Execution)
		if refusal.Kind == errkind.Internal {
			s.opts.Log.Error(x.err, "internal error", "request", x.id)
		}
	}
	s.opts.Events.Add(e)
}

func (s *Server) countRefusal(e *errkind.Error) {
	if e.Kind == errkind.ClientGone {
		s.opts.Metrics.ClientsGone.Add(1)
	}
	if n := s.opts.Metrics.Refused[e.Kind]; n != nil {
		n.Add(1)
	}
}

func (s *Server) refuse(ctx *fasthttp.RequestCtx, e *errkind.Error, id string) {
	s.countRefusal(e)
	writeError(ctx, e, id)
}

// watchDisconnect cancels the request when the caller closes its connection. It polls the
// socket so that a disconnect is noticed even while nothing is being written.
func (s *Server) watchDisconnect(nc net.Conn, x *exchange) {
	c, ok := nc.(*conn)
	if !ok {
		return
	}
	for {
		select {
		case <-x.ctx.Done():
			return
		case <-x.done:
			return
		case <-s.opts.Clock.After(disconnectPollInterval):
		}
		if c.closedByPeer() {
			x.cancel(errCallerDisconnected)
			return
		}
	}
}

// parseRequest builds the filter request. It copies all data, since fasthttp reuses its
// buffers.
func (s *Server) parseRequest(ctx *fasthttp.RequestCtx, path string) (*filter.Request, error) {
	r := &filter.Request{
		ID:             s.opts.IDs.Next(),
		Arrived:        s.opts.Clock.Now(),
		Method:         string(ctx.Method()),
		Path:           string(ctx.RequestURI()),
		Body:           append([]byte(nil), ctx.PostBody()...),
		IdempotencyKey: string(ctx.Request.Header.Peek("Idempotency-Key")),
	}
	r.BearerKey, _ = keys.Bearer(string(ctx.Request.Header.Peek("Authorization")))
	for name, value := range ctx.Request.Header.All() {
		r.Headers = append(r.Headers, header{Name: string(name), Value: string(value)})
	}
	if path != completionsPath && path != chatPath {
		return r, nil
	}
	if r.Method != fasthttp.MethodPost {
		return nil, errkind.New(errkind.UnknownRoute, "this path takes POST")
	}
	c, err := ParseCompletion(path, r.Body, s.opts.MaxOutputTokens)
	r.Completion = c
	return r, err
}

// serveOperationStatus handles GET /v1/operations/KEY for the account of the caller's key.
func (s *Server) serveOperationStatus(ctx *fasthttp.RequestCtx, name string) {
	key, ok := keys.Bearer(string(ctx.Request.Header.Peek("Authorization")))
	if !ok {
		s.refuse(ctx, errkind.New(errkind.NoKey, "this route needs a key: Authorization: Bearer KEY"), "")
		return
	}
	state := s.opts.Config.Current()
	k := state.Keys[config.HashKey(key)]
	if k == nil || k.Withdrawn {
		s.refuse(ctx, errkind.New(errkind.KeyRefused, "the key is not valid"), "")
		return
	}
	rec, err := s.opts.Operations.Status(s.baseCtx, k.Account, name)
	if err != nil {
		s.refuse(ctx, errkind.From(err), "")
		return
	}
	b, err := json.Marshal(rec)
	if err != nil {
		s.refuse(ctx, errkind.From(err), "")
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(b)
}
