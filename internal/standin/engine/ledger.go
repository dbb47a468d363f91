package engine

import (
	"sync"
	"time"

	"carawayrouter.example/router/internal/endpoint"
	"carawayrouter.example/router/internal/reqid"
	"carawayrouter.example/router/internal/standin/host"
)

// Limits of the ledger's lists. At the limit, the oldest tenth of the entries is dropped.
const (
	maxCalls    = 100_000
	maxArrivals = 3600
)

// ReceivedCall records one call that the engine received for a request.
type ReceivedCall struct {
	ID      reqid.ID  `json:"id"`
	Attempt int       `json:"attempt"`
	Stage   string    `json:"stage"` // "prefill", "import", "decode" or "cancel"
	At      time.Time `json:"at"`
}

// ArrivalCount is the number of calls that arrived in one second, without cancels.
type ArrivalCount struct {
	Unix     int64 `json:"unix"`
	Requests int   `json:"requests"`
}

// Ledger is the record of an engine's activity that experiments and tests evaluate. It
// survives a crash of the engine.
type Ledger struct {
	Calls            []ReceivedCall  `json:"seen"`
	Leaks            []host.Leak     `json:"leaks"`
	TokensGenerated  int             `json:"tokens_generated"`
	PrefillsDone     int             `json:"prefills_done"`
	PrefillTokens    int             `json:"prefill_tokens"` // computed tokens, without cached ones
	CachedTokens     int             `json:"cached_tokens"`
	PrefillsImported int             `json:"prefills_imported"`
	PrefillsWasted   int             `json:"prefills_wasted"` // results that were never imported
	WastedTokens     int             `json:"wasted_tokens"`
	OutputsDelivered int             `json:"outputs_delivered"`
	OutputsCancelled int             `json:"outputs_cancelled"`
	Orders           map[uint64]int  `json:"orders"` // accepted orders, by epoch
	OrdersRefused    int             `json:"orders_refused"`
	LastOrder        *endpoint.Order `json:"last_order,omitempty"`
	Arrivals         []ArrivalCount  `json:"arrivals"`
	Full             int             `json:"full"` // requests refused because no slot, queue place or memory was free
}

// ledger is a Ledger with a lock.
type ledger struct {
	mu sync.Mutex
	l  Ledger
}

func newLedger() *ledger { return &ledger{l: Ledger{Orders: map[uint64]int{}}} }

// snapshot returns a copy of the ledger.
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

// update calls f with the ledger locked.
func (g *ledger) update(f func(l *Ledger)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f(&g.l)
}

// addCall records one call and counts it as an arrival, unless it is a cancel.
func (g *ledger) addCall(s ReceivedCall) {
	g.update(func(l *Ledger) {
		l.Calls = appendBounded(l.Calls, s, maxCalls)
		if s.Stage == stageCancel {
			return
		}
		unix := s.At.Unix()
		if n := len(l.Arrivals); n > 0 && l.Arrivals[n-1].Unix == unix {
			l.Arrivals[n-1].Requests++
			return
		}
		l.Arrivals = appendBounded(l.Arrivals, ArrivalCount{Unix: unix, Requests: 1}, maxArrivals)
	})
}

func appendBounded[T any](list []T, v T, limit int) []T {
	if len(list) >= limit {
		list = append(list[:0], list[limit/10:]...)
	}
	return append(list, v)
}
