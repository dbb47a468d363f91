// Package observe evaluates an experiment from the responses that callers received and
// the calls that stand-ins recorded. It uses no data reported by the router itself.
package observe

import (
	"strings"
	"time"

	"carawayrouter.example/router/internal/endpoint"
	"carawayrouter.example/router/internal/errkind"
	"carawayrouter.example/router/internal/load/workload"
	"carawayrouter.example/router/internal/standin/engine"
	"carawayrouter.example/router/internal/standin/service"
)

// Outcome is a request's result as seen by its caller.
type Outcome string

// The outcomes.
const (
	Answered    Outcome = "answered"   // complete response
	Refused     Outcome = "refused"    // error response from the router
	Interrupted Outcome = "broken"     // connection closed before the end of the response
	Cancelled   Outcome = "left"       // cancelled by the caller
	Unfinished  Outcome = "unfinished" // still running at the end of the experiment
)

// Request is one request with the response that its caller received.
type Request struct {
	Seq           int
	ID            string // assigned by the router; empty if the caller received none
	Account       string
	Kind          workload.Kind
	Instance      string // last instance that the request was sent to
	Sent, End     time.Time
	Measured      bool // sent inside the measurement window
	CallerCancels bool // the caller cancels before the response is complete
	OldKey        bool // sent with a withdrawn key

	Prompt         string
	PromptTokens   int
	MaxTokens      int
	ExpectedTokens int // tokens in the complete output
	IdempotencyKey string
	Duplicate      bool   // second copy of the same operation
	Digest         string // identifies a call without an idempotency key in the service's ledger

	Outcome   Outcome
	ErrKind   errkind.Kind
	Execution errkind.Execution
	Error     string

	Text         string
	Tokens       int
	DoneCount    int // received [DONE] events
	FirstTokenAt time.Time
	TokenTimes   []time.Time // arrival of each token
	Body         string      // response body of a call
}

// usedTokens returns the number of tokens that the request used.
func (q *Request) usedTokens() float64 {
	if q.Kind != workload.Completion || q.Outcome == Answered {
		return float64(q.PromptTokens + q.ExpectedTokens)
	}
	return float64(q.PromptTokens + q.Tokens)
}

// offeredTokens returns the number of tokens that the request would use if it were
// answered.
func (q *Request) offeredTokens() float64 { return float64(q.PromptTokens + q.ExpectedTokens) }

// Account is a client account's rate limit.
type Account struct {
	Name  string
	Rate  float64 // tokens per second
	Burst float64 // tokens
}

// Engine is the data recorded by a stand-in engine.
type Engine struct {
	Name    string
	Ledger  engine.Ledger
	Running []endpoint.Running // requests still held after the drain
	Pieces  int                // KV pieces still used after the drain
}

// Service is the data recorded by a stand-in plain service.
type Service struct {
	Name   string
	Ledger service.Ledger
}

// Probe is one check whether a ticket was in force on an instance.
type Probe struct {
	Ticket   uint64
	Instance string
	At       time.Time
	InForce  bool
}

// ExperimentRecord holds all data recorded during one experiment.
type ExperimentRecord struct {
	Model            string
	FirstTokenTarget time.Duration // first-token latency target of the completions route
	Capacity         float64       // requests per second
	Start            time.Time     // of the measurement window
	MeasuredTime     time.Duration
	Accounts         []Account
	Requests         []Request
	Engines          []Engine
	Services         []Service
	Drained          map[string]time.Time   // start of the graceful drain, by instance
	Killed           map[string][]time.Time // kill times, by instance
	Started          map[string][]time.Time // restart times, by instance
	Leaving          map[string]time.Time   // acceptance time of the leaving ticket, by endpoint
	Withdrawn        map[string]time.Time   // withdrawal time of the first key, by account
	Accepted         map[uint64]time.Time   // acceptance times of the probed tickets, by number
	Probes           []Probe
}

// expectedText returns the complete correct response text of a completion.
func (e *ExperimentRecord) expectedText(q *Request) string {
	var b strings.Builder
	for i := range q.ExpectedTokens {
		b.WriteString(engine.ExpectedText(e.Model, q.Prompt, i))
	}
	return b.String()
}
