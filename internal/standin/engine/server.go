package engine

import (
	"encoding/json"
	"strconv"
	"sync"

	"github.com/valyala/fasthttp"

	"carawayrouter.example/router/internal/clock"
	"carawayrouter.example/router/internal/endpoint"
	"carawayrouter.example/router/internal/endpoint/httpendpoint"
	"carawayrouter.example/router/internal/standin/host"
)

// Server is one simulated engine. It is safe for concurrent use.
type Server struct {
	*host.Host
	s      Settings
	clk    clock.Clock
	ledger *ledger

	mu sync.Mutex
	st *state // nil while the engine is down
}

// New returns a running engine; Serve accepts its connections.
func New(o Options) *Server {
	if o.Clock == nil {
		o.Clock = clock.Real{}
	}
	s := &Server{s: o.Settings, clk: o.Clock, ledger: newLedger()}
	s.Host = host.New(host.Options{
		Clock:   o.Clock,
		Handler: s.Handler,
		Start:   s.start,
		Stop:    s.stop,
		Ledger:  func() any { return s.Ledger() },
	})
	s.start()
	return s
}

// start creates an empty state.
func (s *Server) start() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.st = newState(s.s, s.clk, s.Faults(), s.ledger)
}

// stop discards the state and ends its goroutines.
func (s *Server) stop() {
	s.mu.Lock()
	st := s.st
	s.st = nil
	s.mu.Unlock()
	if st != nil {
		st.stop()
	}
}

// Ledger returns a copy of the record of the engine's activity.
func (s *Server) Ledger() Ledger {
	l := s.ledger.snapshot()
	l.Leaks = s.Leaks()
	return l
}

// Running lists the queued and running requests and the results that are not imported.
// It returns nil while the engine is down.
func (s *Server) Running() []endpoint.Running {
	if st := s.state(); st != nil {
		return st.running()
	}
	return nil
}

// UsedPieces returns the number of KV pieces in use, which is 0 while the engine is down.
func (s *Server) UsedPieces() int {
	st := s.state()
	if st == nil {
		return 0
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.usedPieces
}

func (s *Server) state() *state {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.st
}

// Handler serves one request of the engine API.
func (s *Server) Handler(ctx *fasthttp.RequestCtx) {
	st := s.state()
	if st == nil || s.Faults().DelayAnswer(st.ctx) != nil {
		ctx.SetStatusCode(fasthttp.StatusBadGateway)
		ctx.SetConnectionClose()
		return
	}
	st.handle(ctx, string(ctx.Path()))
}

func (st *state) handle(ctx *fasthttp.RequestCtx, path string) {
	switch path {
	case httpendpoint.PathPrefill:
		decodeBody(ctx, st.handlePrefill)
	case httpendpoint.PathImport:
		decodeBody(ctx, st.handleImport)
	case httpendpoint.PathDecode:
		decodeBody(ctx, st.handleDecode)
	case httpendpoint.PathExport:
		decodeBody(ctx, st.handleExport)
	case httpendpoint.PathCancel:
		decodeBody(ctx, st.handleCancel)
	case httpendpoint.PathOrders:
		decodeBody(ctx, st.handleOrder)
	case httpendpoint.PathRunning:
		host.WriteJSON(ctx, st.running())
	case httpendpoint.PathLoad:
		host.WriteJSON(ctx, st.load())
	case httpendpoint.PathCacheEvents:
		st.handleCacheEvents(ctx)
	default:
		refuse(ctx, &refusal{404, true, httpendpoint.CodeRefused, "unknown path"})
	}
}

func (st *state) recordCall(k key, stage string) {
	st.ledger.addCall(ReceivedCall{ID: k.id, Attempt: k.attempt, Stage: stage, At: st.clk.Now()})
}

func (st *state) handlePrefill(ctx *fasthttp.RequestCtx, r endpoint.PrefillRequest) {
	st.recordCall(key{r.ID, r.Attempt}, stagePrefill)
	j, ref := st.prefill(r)
	if ref != nil {
		refuse(ctx, ref)
		return
	}
	st.streamResult(ctx, j.done, func() (any, *refusal) {
		res, ref := st.result(j)
		return res, ref
	})
}

func (st *state) handleImport(ctx *fasthttp.RequestCtx, q endpoint.ImportRequest) {
	st.recordCall(key{q.ID, q.Attempt}, stageImport)
	r, ref := st.importKV(q)
	if ref != nil {
		refuse(ctx, ref)
		return
	}
	st.streamResult(ctx, r.ready, func() (any, *refusal) {
		return httpendpoint.ImportResult{ID: q.ID, Attempt: q.Attempt}, r.failed
	})
}

func (st *state) handleDecode(ctx *fasthttp.RequestCtx, q endpoint.DecodeRequest) {
	st.recordCall(key{q.ID, q.Attempt}, stageDecode)
	r, ref := st.decode(q)
	if ref != nil {
		refuse(ctx, ref)
		return
	}
	startEvents(ctx, &tokenBody{st: st, run: r, next: q.Offset})
}

func (st *state) handleExport(ctx *fasthttp.RequestCtx, q httpendpoint.ExportRequest) {
	j, ref := st.startExport(q.Handle)
	if ref != nil {
		refuse(ctx, ref)
		return
	}
	startEvents(ctx, newExportBody(st, j))
}

func (st *state) handleCancel(ctx *fasthttp.RequestCtx, q httpendpoint.CancelRequest) {
	st.recordCall(key{q.ID, q.Attempt}, stageCancel)
	st.cancelRequest(q.ID, q.Attempt)
	host.WriteJSON(ctx, struct{}{})
}

func (st *state) handleOrder(ctx *fasthttp.RequestCtx, o endpoint.Order) {
	res, ref := st.order(o)
	if ref != nil {
		refuse(ctx, ref)
		return
	}
	host.WriteJSON(ctx, res)
}

func (st *state) handleCacheEvents(ctx *fasthttp.RequestCtx) {
	after, err := strconv.ParseUint(string(ctx.QueryArgs().Peek("after")), 10, 64)
	if err != nil {
		after = 0
	}
	st.mu.Lock()
	list := st.cache.since(after, st.clk.Now().Add(-st.s.CacheEventDelay))
	st.mu.Unlock()
	host.WriteJSON(ctx, list)
}

// decodeBody parses the JSON request body and calls handle with it.
func decodeBody[T any](ctx *fasthttp.RequestCtx, handle func(*fasthttp.RequestCtx, T)) {
	var v T
	if err := json.Unmarshal(ctx.PostBody(), &v); err != nil {
		refuse(ctx, &refusal{400, true, httpendpoint.CodeRefused, err.Error()})
		return
	}
	handle(ctx, v)
}

func refuse(ctx *fasthttp.RequestCtx, r *refusal) {
	host.WriteJSON(ctx, httpendpoint.ErrorBody{Code: r.code, Message: r.text})
	ctx.SetStatusCode(r.status)
	if r.notRun {
		ctx.Response.Header.Set(httpendpoint.HeaderNotRun, "true")
	}
}
