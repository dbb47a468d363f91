// Package service simulates a plain service. It responds to every call with a receipt
// and counts how often each operation ran, so that experiments and tests can check that
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

// HeaderIdempotencyKey is the header that identifies an operation in the run counts.
const HeaderIdempotencyKey = "Idempotency-Key"

// maxOperations limits the number of operations whose runs are counted.
const maxOperations = 1_000_000

// Settings is the [service] section of a simulated service's settings file.
type Settings struct {
	Name  string        `ini:"name" default:"service" doc:"name of the service"`
	Slots int           `ini:"slots" default:"32" min:"1" doc:"maximum number of calls served concurrently"`
	Time  time.Duration `ini:"time" default:"10ms" min:"0s" doc:"duration of one call"`
}

// DefaultSettings returns the defaults given in the tags of Settings.
func DefaultSettings() Settings {
	return Settings{Name: "service", Slots: 32, Time: 10 * time.Millisecond}
}

// Options configure a Server.
type Options struct {
	Settings Settings
	Clock    clock.Clock // clock.Real if nil
}

// Receipt is the response to a call.
type Receipt struct {
	Receipt string `json:"receipt"` // digest of method, path and body
	Path    string `json:"path"`
	N       int    `json:"n"` // how often the operation ran, including this run
}

// Ledger is the record of a service's activity that experiments and tests evaluate. It
// survives a crash of the service.
type Ledger struct {
	Runs    map[string]int `json:"runs"` // by Idempotency-Key, or by digest of the call if it has no key
	Calls   int            `json:"calls"`
	Refused int            `json:"refused"` // calls refused without running because no slot was free
	Leaks   []host.Leak    `json:"leaks"`
}

// Server is one simulated service. It is safe for concurrent use.
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

// New returns a running service; Serve accepts its connections.
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

// Ledger returns a copy of the record of the service's activity.
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

// Handler serves one call.
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

// recordRun counts one run of the operation, before its work is simulated, and returns
// the receipt.
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

// simulateWork sleeps for the duration of one call, extended by active faults. It
// returns false if the service stops in the meantime.
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

// Digest returns the digest under which calls without an Idempotency-Key are counted.
func Digest(method, uri string, body []byte) string {
	h := xxhash.New()
	_, _ = h.WriteString(method)
	_, _ = h.WriteString(uri)
	_, _ = h.WriteString(strconv.Itoa(len(body)))
	_, _ = h.Write(body)
	return hex.EncodeToString(h.Sum(nil))
}
