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
)

const (
	departurePoll   = 250 * time.Millisecond // how often a caller's connection is looked at
	earlyStream     = 10 * time.Second       // wait after which a stream starts without a token
	keepAliveEvery  = 5 * time.Second
	drainPoll       = 20 * time.Millisecond
	keptLinger      = time.Second // callers that keep a connection busy send at least once in it
	maxHeaderBytes  = 16 << 10
	shutdownTimeout = 5 * time.Second
)

// Options configures a Server.
type Options struct {
	Chain        filter.Handler
	IDs          *reqid.Source
	Config       config.Source
	Operations   operation.Store
	Clock        clock.Clock
	Log          logr.Logger
	Events       *event.Ring
	Metrics      *metrics.Set
	Refused      func(account string, kind errkind.Kind) // told of every refusal
	MaxBody      int                                     // bytes
	MaxOutput    int                                     // tokens
	Connections  int                                     // open callers' connections
	ReadTimeout  time.Duration                           // for a whole request, headers included
	IdleTimeout  time.Duration                           // between requests of a connection
	WriteTimeout time.Duration                           // for each write
}

// Server serves callers.
type Server struct {
	o        Options
	http     *fasthttp.Server
	draining atomic.Bool
	base     context.Context
	stop     context.CancelCauseFunc
}

// New returns a Server for the given options.
func New(o Options) *Server {
	s := &Server{o: o}
	s.base, s.stop = context.WithCancelCause(context.Background())
	s.http = &fasthttp.Server{
		Handler:               s.handle,
		ErrorHandler:          s.protocolError,
		ReadTimeout:           o.ReadTimeout,
		IdleTimeout:           o.IdleTimeout,
		MaxRequestBodySize:    o.MaxBody,
		ReadBufferSize:        maxHeaderBytes,
		Concurrency:           o.Connections,
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
		CloseOnShutdown:       true,
		Logger:                quiet{o.Log},
	}
	return s
}

// quiet passes the HTTP library's messages to the log at high verbosity; they can
// quote callers' bytes, so only the fact is logged.
type quiet struct{ log logr.Logger }

// Printf implements fasthttp.Logger.
func (q quiet) Printf(string, ...any) { q.log.V(1).Info("connection error") }

// Serve accepts callers until Shutdown; it returns nil after a shutdown.
func (s *Server) Serve(ln net.Listener) error {
	return s.http.Serve(&listener{Listener: ln, writeTimeout: s.o.WriteTimeout})
}

// Drain refuses new requests and waits until the running ones have ended or ctx
// ends. It returns the number of requests still running. Connections that callers keep
// are then left open for a while: each request on them is refused and closes its
// connection, whereas a close of ours could meet a request on its way and reset it.
func (s *Server) Drain(ctx context.Context) int {
	s.draining.Store(true)
	var idleSince time.Time
	for {
		running := int(s.o.Metrics.Running.Value())
		now := s.o.Clock.Now()
		switch {
		case running > 0:
			idleSince = time.Time{}
		case idleSince.IsZero():
			idleSince = now
		}
		idle := running == 0 && (s.http.GetOpenConnectionsCount() <= 0 || now.Sub(idleSince) >= keptLinger)
		if idle || ctx.Err() != nil {
			return running
		}
		select {
		case <-ctx.Done():
		case <-s.o.Clock.After(drainPoll):
		}
	}
}

// Close ends all that is still running and closes the connections.
func (s *Server) Close() error {
	s.draining.Store(true)
	s.stop(filter.ErrCut)
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	return s.http.ShutdownWithContext(ctx)
}

// protocolError answers requests that could not be read.
func (s *Server) protocolError(ctx *fasthttp.RequestCtx, err error) {
	if c, ok := ctx.Conn().(*conn); ok && !c.begun.Load() {
		// An idle connection ends without a word; an answer now could be taken for
		// that to a request which the caller is just sending.
		_ = c.Close()
		return
	}
	e := errkind.New(errkind.BadRequest, "the request could not be read")
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		e = errkind.New(errkind.BodyTooLarge, "the request body is too large")
		if c, ok := ctx.Conn().(*conn); ok {
			c.linger.Store(true)
		}
	}
	s.o.Metrics.Refused[e.Kind].Add(1)
	ctx.SetConnectionClose()
	writeError(ctx, e, "")
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	if c, ok := ctx.Conn().(*conn); ok {
		c.begun.Store(false)
	}
	path := string(ctx.Path())
	switch {
	case path == healthPath:
		s.health(ctx)
	case s.draining.Load():
		ctx.SetConnectionClose()
		s.refuse(ctx, errkind.New(errkind.ShuttingDown, "this instance is shutting down").WithRetryAfter(time.Second), "")
	case strings.HasPrefix(path, operationsPath) && ctx.IsGet():
		s.operationStatus(ctx, strings.TrimPrefix(path, operationsPath))
	default:
		s.serve(ctx, path)
	}
}

func (s *Server) health(ctx *fasthttp.RequestCtx) {
	if s.draining.Load() {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		ctx.SetBodyString("draining\n")
		return
	}
	if s.o.Config.Current().Ticket == 0 {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		ctx.SetBodyString("no configuration yet\n")
		return
	}
	ctx.SetBodyString("ok\n")
}

// serve runs one request through the chain.
func (s *Server) serve(ctx *fasthttp.RequestCtx, path string) {
	r, err := s.parse(ctx, path)
	if err != nil {
		s.refuse(ctx, errkind.From(err), "")
		return
	}
	x := newExchange(s.base, r.ID.String(), r.Completion, r.Arrived)
	r.Out = x
	ctx.Response.Header.Set("X-Request-Id", x.id)
	s.o.Metrics.Requests.Add(1)
	s.o.Metrics.Running.Add(1)
	s.o.Events.Add(event.Event{Kind: "request.arrive", Request: x.id, Detail: r.Method + " " + path})
	go func() {
		x.run(s.o.Chain, r)
		s.finished(x, r)
	}()
	go s.watch(ctx.Conn(), x)
	s.answer(ctx, x)
}

// answer waits for the result or the first streamed frame, and sends it.
func (s *Server) answer(ctx *fasthttp.RequestCtx, x *exchange) {
	var early <-chan time.Time
	if x.streams() {
		early = s.o.Clock.After(earlyStream)
	}
	select {
	case <-x.done:
	case <-x.first:
	case <-early:
	}
	select {
	case <-x.done:
		if x.err != nil && !x.Started() {
			s.respondError(ctx, x)
			return
		}
	default:
	}
	if x.streams() {
		s.startStream(ctx, x)
		return
	}
	defer s.ended()
	defer x.cancel(nil)
	s.whole(ctx, x)
}

func (s *Server) respondError(ctx *fasthttp.RequestCtx, x *exchange) {
	defer s.ended()
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
		defer s.ended()
		x.stream(w, keepAliveEvery)
	})
}

// whole sends an answer that is not streamed.
func (s *Server) whole(ctx *fasthttp.RequestCtx, x *exchange) {
	switch {
	case x.service != nil:
		writeService(ctx, x.service)
	case x.whole != nil:
		b, err := json.Marshal(x.whole)
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

// ended counts a request as no longer running; its answer has been handed over.
func (s *Server) ended() { s.o.Metrics.Running.Add(-1) }

// finished records the result of the chain.
func (s *Server) finished(x *exchange, r *filter.Request) {
	e := event.Event{Kind: "request.done", Request: x.id}
	if r.Account != nil {
		e.Account = r.Account.Name
	}
	if x.err != nil {
		known := errkind.From(x.err)
		s.countRefusal(known)
		e.Kind = "request.refused"
		if e.Account != "" {
			s.o.Refused(e.Account, known.Kind)
		}
		e.Detail = string(known.Kind) + " " + string(known.Execution)
		if known.Kind == errkind.Internal {
			s.o.Log.Error(x.err, "internal error", "request", x.id)
		}
	}
	s.o.Events.Add(e)
}

func (s *Server) countRefusal(e *errkind.Error) {
	if e.Kind == errkind.ClientGone {
		s.o.Metrics.ClientsGone.Add(1)
	}
	if n := s.o.Metrics.Refused[e.Kind]; n != nil {
		n.Add(1)
	}
}

func (s *Server) refuse(ctx *fasthttp.RequestCtx, e *errkind.Error, id string) {
	s.countRefusal(e)
	writeError(ctx, e, id)
}

// watch cancels the request when the caller closes its connection, also while
// nothing is being written.
func (s *Server) watch(nc net.Conn, x *exchange) {
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
		case <-s.o.Clock.After(departurePoll):
		}
		if c.gone() {
			x.cancel(errCallerGone)
			return
		}
	}
}

// parse copies what the chain needs out of the connection's buffers.
func (s *Server) parse(ctx *fasthttp.RequestCtx, path string) (*filter.Request, error) {
	r := &filter.Request{
		ID:             s.o.IDs.Next(),
		Arrived:        s.o.Clock.Now(),
		Method:         string(ctx.Method()),
		Path:           string(ctx.RequestURI()),
		Body:           append([]byte(nil), ctx.PostBody()...),
		IdempotencyKey: string(ctx.Request.Header.Peek("Idempotency-Key")),
	}
	r.Key, _ = keys.Bearer(string(ctx.Request.Header.Peek("Authorization")))
	for name, value := range ctx.Request.Header.All() {
		r.Headers = append(r.Headers, header{Name: string(name), Value: string(value)})
	}
	if path != completionsPath && path != chatPath {
		return r, nil
	}
	if r.Method != fasthttp.MethodPost {
		return nil, errkind.New(errkind.UnknownRoute, "this path takes POST")
	}
	c, err := ParseCompletion(path, r.Body, s.o.MaxOutput)
	r.Completion = c
	return r, err
}

// operationStatus answers GET /v1/operations/KEY for the account of the caller's key.
func (s *Server) operationStatus(ctx *fasthttp.RequestCtx, name string) {
	key, ok := keys.Bearer(string(ctx.Request.Header.Peek("Authorization")))
	if !ok {
		s.refuse(ctx, errkind.New(errkind.NoKey, "this route needs a key: Authorization: Bearer KEY"), "")
		return
	}
	state := s.o.Config.Current()
	k := state.Keys[config.HashKey(key)]
	if k == nil || k.Withdrawn {
		s.refuse(ctx, errkind.New(errkind.KeyRefused, "the key is not valid"), "")
		return
	}
	rec, err := s.o.Operations.Status(s.base, k.Account, name)
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
