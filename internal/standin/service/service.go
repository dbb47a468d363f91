// Package service is the stand-in for a plain service. It answers every call with a
// receipt and counts how often each operation ran, so that observers can check that
// non-idempotent requests run at most once.
package service

import (
	"encoding/hex"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"carawayrouter.example/router/internal/clock"
	"carawayrouter.example/router/internal/endpoint/httpendpoint"
	"carawayrouter.example/router/internal/standin/host"
)

// HeaderIdempotencyKey names an operation for the run counts.
const HeaderIdempotencyKey = "Idempotency-Key"

// maxOperations bounds the operations whose runs are counted.
const maxOperations = 1_000_000

// Settings are the [service] section of a stand-in's settings file.
type Settings struct {
	Name  string        `ini:"name" default:"service" doc:"name of the service"`
	Slots int           `ini:"slots" default:"32" min:"1" doc:"calls served at once"`
	Time  time.Duration `ini:"time" default:"10ms" min:"0s" doc:"time of one call"`
}

// DefaultSettings returns the defaults of the settings file.
func DefaultSettings() Settings {
	return Settings{Name: "service", Slots: 32, Time: 10 * time.Millisecond}
}

// Options configure a Server.
type Options struct {
	Settings Settings
	Clock    clock.Clock // clock.Real if nil
}

// Receipt is the answer to a call.
type Receipt struct {
	Receipt string `json:"receipt"` // depends on method, path and body
	Path    string `json:"path"`
	N       int    `json:"n"` // how often the operation ran, this run included
}

// Ledger is what observers learn of a service. It outlives a crash.
type Ledger struct {
	Runs    map[string]int `json:"runs"` // by Idempotency-Key or digest of the call
	Calls   int            `json:"calls"`
	Refused int            `json:"refused"` // for want of a slot; not run
	Leaks   []host.Leak    `json:"leaks"`
}

// Server is one stand-in service. It is safe for concurrent use.
type Server struct {
	*host.Host
	s   Settings
	clk clock.Clock

	mu       sync.Mutex
	runs     map[string]int
	calls    int
	refused  int
	lifetime lifetime
}

// New returns a service that works as soon as it is served.
func New(o Options) *Server {
	if o.Clock == nil {
		o.Clock = clock.Real{}
	}
	s := &Server{s: o.Settings, clk: o.Clock, runs: map[string]int{}}
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

// Ledger returns what the service saw and did so far.
func (s *Server) Ledger() Ledger {
	leaks := s.Leaks()
	s.mu.Lock()
	defer s.mu.Unlock()
	l := Ledger{Runs: map[string]int{}, Calls: s.calls, Refused: s.refused, Leaks: leaks}
	for k, n := range s.runs {
		l.Runs[k] = n
	}
	return l
}

// Handler answers one call.
func (s *Server) Handler(ctx *fasthttp.RequestCtx) {
	l, ok := s.acquireSlot()
	if !ok {
		ctx.Response.Header.Set(httpendpoint.HeaderNotRun, "true")
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	defer s.releaseSlot(l)
	r := s.recordRun(ctx)
	if !s.simulateWork(l) {
		ctx.SetConnectionClose()
		ctx.SetStatusCode(fasthttp.StatusBadGateway)
		return
	}
	if _, drop := s.Faults().Active(host.DropAfter); drop {
		_ = ctx.Conn().Close()
		return
	}
	host.WriteJSON(ctx, r)
}

// run takes effect: the operation counts as run from here on.
func (s *Server) recordRun(ctx *fasthttp.RequestCtx) Receipt {
	digest := digestOf(ctx)
	op := string(ctx.Request.Header.Peek(HeaderIdempotencyKey))
	if op == "" {
		op = digest
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if _, known := s.runs[op]; known || len(s.runs) < maxOperations {
		s.runs[op]++
	}
	return Receipt{Receipt: digest, Path: string(ctx.RequestURI()), N: s.runs[op]}
}

// spend takes the time of one call; it fails if the service dies meanwhile.
func (s *Server) simulateWork(l lifetime) bool {
	if host.Sleep(l.ctx, s.clk, s.Faults().ScaleDuration(s.s.Time)) != nil {
		return false
	}
	if s.Faults().WaitWhileActive(l.ctx, host.Stall) != nil {
		return false
	}
	return s.Faults().DelayAnswer(l.ctx) == nil
}

func digestOf(ctx *fasthttp.RequestCtx) string {
	return Digest(string(ctx.Method()), string(ctx.RequestURI()), ctx.PostBody())
}

// Digest returns the name under which calls without an Idempotency-Key are counted.
func Digest(method, uri string, body []byte) string {
	h := xxhash.New()
	_, _ = h.WriteString(method)
	_, _ = h.WriteString(uri)
	_, _ = h.WriteString(strconv.Itoa(len(body)))
	_, _ = h.Write(body)
	return hex.EncodeToString(h.Sum(nil))
}
