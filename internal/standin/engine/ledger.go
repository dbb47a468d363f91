package engine

import (
	"sync"
	"time"

	"carawayrouter.example/router/internal/endpoint"
	"carawayrouter.example/router/internal/reqid"
	"carawayrouter.example/router/internal/standin/host"
)

// Bounds of the ledger's lists; the oldest entries go first.
const (
	maxSeen    = 100_000
	maxSeconds = 3600
)

// ReceivedCall is one call that the engine received for a request.
type ReceivedCall struct {
	ID      reqid.ID  `json:"id"`
	Attempt int       `json:"attempt"`
	Stage   string    `json:"stage"` // "prefill", "import", "decode" or "cancel"
	At      time.Time `json:"at"`
}

// ArrivalCount counts the work that arrived in one second.
type ArrivalCount struct {
	Unix     int64 `json:"unix"`
	Requests int   `json:"requests"`
}

// Ledger is what observers learn of an engine. It outlives a crash of the engine.
type Ledger struct {
	Calls            []ReceivedCall  `json:"seen"`
	Leaks            []host.Leak     `json:"leaks"`
	TokensGenerated  int             `json:"tokens_generated"`
	PrefillsDone     int             `json:"prefills_done"`
	PrefillTokens    int             `json:"prefill_tokens"` // computed, cached ones left out
	CachedTokens     int             `json:"cached_tokens"`
	PrefillsImported int             `json:"prefills_imported"`
	PrefillsWasted   int             `json:"prefills_wasted"` // result never imported
	WastedTokens     int             `json:"wasted_tokens"`
	OutputsDelivered int             `json:"outputs_delivered"`
	OutputsCancelled int             `json:"outputs_cancelled"`
	Orders           map[uint64]int  `json:"orders"` // accepted, by epoch
	OrdersRefused    int             `json:"orders_refused"`
	LastOrder        *endpoint.Order `json:"last_order,omitempty"`
	Arrivals         []ArrivalCount  `json:"arrivals"`
	Full             int             `json:"full"` // refusals for want of a slot or memory
}

// ledger collects a Ledger.
type ledger struct {
	mu sync.Mutex
	l  Ledger
}

func newLedger() *ledger { return &ledger{l: Ledger{Orders: map[uint64]int{}}} }

// snapshot returns a copy.
func (g *ledger) snapshot() Ledger {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := g.l
	c.Calls = append([]ReceivedCall(nil), g.l.Calls...)
	c.Arrivals = append([]ArrivalCount(nil), g.l.Arrivals...)
	c.Orders = map[uint64]int{}
	for e, n := range g.l.Orders {
		c.Orders[e] = n
	}
	return c
}

// update changes counters.
func (g *ledger) update(f func(l *Ledger)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f(&g.l)
}

// seen records one call.
func (g *ledger) seen(s ReceivedCall) {
	g.update(func(l *Ledger) {
		l.Calls = appendBounded(l.Calls, s, maxSeen)
		if s.Stage == stageCancel {
			return
		}
		unix := s.At.Unix()
		if n := len(l.Arrivals); n > 0 && l.Arrivals[n-1].Unix == unix {
			l.Arrivals[n-1].Requests++
			return
		}
		l.Arrivals = appendBounded(l.Arrivals, ArrivalCount{Unix: unix, Requests: 1}, maxSeconds)
	})
}

func appendBounded[T any](list []T, v T, limit int) []T {
	if len(list) >= limit {
		list = append(list[:0], list[limit/10:]...)
	}
	return append(list, v)
}
