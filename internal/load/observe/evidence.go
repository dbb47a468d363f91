// Package observe judges an experiment by what reached the callers and what the
// stand-ins saw. It takes nothing from the daemon's own word.
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

// Outcome is how a request ended for its caller.
type Outcome string

// The outcomes.
const (
	Answered   Outcome = "answered"   // the answer ended as a whole one
	Refused    Outcome = "refused"    // the router told of an error
	Broken     Outcome = "broken"     // the connection ended before the answer did
	Left       Outcome = "left"       // the caller cancelled
	Unfinished Outcome = "unfinished" // still running when the experiment ended
)

// Request is what one caller sent and what reached it.
type Request struct {
	Seq       int
	ID        string // given by the router; empty where none reached the caller
	Account   string
	Kind      workload.Kind
	Instance  string // that the request was sent to last
	Sent, End time.Time
	Measured  bool // sent inside the measured time
	Cancels   bool // the caller leaves early
	OldKey    bool // sent with a key that is withdrawn

	Prompt       string
	PromptTokens int
	MaxTokens    int
	Expected     int    // tokens of the whole output
	Key          string // Idempotency-Key
	Twin         bool   // second copy of an operation
	Digest       string // under which the service counts a call without a key

	Outcome   Outcome
	ErrKind   errkind.Kind
	Execution errkind.Execution
	Error     string

	Text   string
	Tokens int
	Done   int // ends of answer that arrived
	First  time.Time
	Times  []time.Time // arrival of each token
	Body   string      // of a call's answer
}

// charge returns the tokens that the request used.
func (q *Request) charge() float64 {
	if q.Kind != workload.Completion || q.Outcome == Answered {
		return float64(q.PromptTokens + q.Expected)
	}
	return float64(q.PromptTokens + q.Tokens)
}

// offered returns the tokens that the request would use if it were answered.
func (q *Request) offered() float64 { return float64(q.PromptTokens + q.Expected) }

// Account is a client account's limit.
type Account struct {
	Name  string
	Rate  float64 // tokens per second
	Burst float64 // tokens
}

// Engine is what an engine saw.
type Engine struct {
	Name   string
	Ledger engine.Ledger
	Held   []endpoint.Running // after the drain
	Pieces int                // KV pieces used after the drain
}

// Service is what a plain service saw.
type Service struct {
	Name   string
	Ledger service.Ledger
}

// Probe is one look at whether a ticket was in force on an instance.
type Probe struct {
	Ticket   uint64
	Instance string
	At       time.Time
	InForce  bool
}

// Evidence is all that was seen of one experiment.
type Evidence struct {
	Model      string
	FirstToken time.Duration // target of the completions' route
	Capacity   float64       // requests per second
	Start      time.Time     // of the measured time
	Measured   time.Duration
	Accounts   []Account
	Requests   []Request
	Engines    []Engine
	Services   []Service
	Drained    map[string]time.Time   // instances drained gracefully, with the start
	Killed     map[string][]time.Time // instances killed
	Started    map[string][]time.Time // instances started again
	Leaving    map[string]time.Time   // endpoints, with the acceptance of their ticket
	Withdrawn  map[string]time.Time   // accounts whose first key was withdrawn
	Accepted   map[uint64]time.Time   // tickets that probes look for
	Probes     []Probe
}

// expected returns the whole right answer to a completion.
func (e *Evidence) expected(q *Request) string {
	var b strings.Builder
	for i := range q.Expected {
		b.WriteString(engine.ExpectedText(e.Model, q.Prompt, i))
	}
	return b.String()
}
