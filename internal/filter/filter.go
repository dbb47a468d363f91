// Package filter defines the chain that every caller's request passes through.
package filter

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"carawayrouter.example/router/internal/config"
	"carawayrouter.example/router/internal/endpoint"
	"carawayrouter.example/router/internal/limit"
	"carawayrouter.example/router/internal/operation"
	"carawayrouter.example/router/internal/reqid"
	"carawayrouter.example/router/internal/sched"
)

// Completion is the parsed body of a completion request.
type Completion struct {
	Chat      bool
	Model     string
	Adapter   string
	Prompt    string
	MaxTokens int
	Stream    bool
}

// Responder writes the answer to the caller. It is used by one goroutine.
type Responder interface {
	// Token sends one output token of a streamed answer.
	Token(t endpoint.Token) error
	// Finish ends a completion; for answers that are not streamed it sends the whole.
	Finish(u Usage) error
	// Service passes on a plain service's answer.
	Service(r *endpoint.ServiceResponse) error
	// Replay sends the recorded answer of an operation.
	Replay(a *operation.Answer) error
	// Started reports whether any byte of an answer may have reached the caller.
	Started() bool
}

// ErrCut is the cancellation cause of requests that a forced shutdown ends.
var ErrCut = errors.New("instance was stopped before the request ended")

// Usage counts the tokens of a finished completion.
type Usage struct {
	PromptTokens     int    `json:"prompt_tokens"`
	CompletionTokens int    `json:"completion_tokens"`
	TotalTokens      int    `json:"total_tokens"`
	CachedTokens     int    `json:"cached_tokens"`
	Finish           string `json:"-"`
}

// Request is one caller's request on its way through the chain. Filters fill the
// fields below the line as they go; only the goroutine that runs the chain uses it.
type Request struct {
	ID             reqid.ID
	Arrived        time.Time
	Method         string
	Path           string // with query
	Headers        []endpoint.Header
	Body           []byte
	Key            string // bearer key; cleared once identified
	IdempotencyKey string
	Completion     *Completion // nil for plain service requests
	Out            Responder

	State       *config.State // snapshot at arrival
	KeyHash     config.KeyHash
	Account     *config.Account // nil on open routes without a key
	Route       *config.Route
	Pool        *config.Pool
	Tokens      int // reserved: prompt and longest output
	Reservation limit.Reservation
	Claim       operation.Claim
	Grant       *sched.Grant
	Attempt     int  // counts from 1 with every grant used
	Sent        bool // a byte of the request may have reached an endpoint
	Delivered   int  // output tokens handed to Out
	Used        int  // tokens used so far, prompt included

	Excluded       []string // endpoints that failed this request
	FailedEndpoint string   // endpoint that failed the attempt, if not the decode one
}

// Handler runs the rest of the chain. It returns nil once an answer was sent, or
// an error (an *errkind.Error where the kind is known) for the caller.
type Handler func(ctx context.Context, r *Request) error

// Filter is one stage of the chain.
type Filter interface {
	// Name is used in events and metrics.
	Name() string
	// Handle does the stage's work and calls next, or refuses the request.
	Handle(ctx context.Context, r *Request, next Handler) error
}

// Chain joins filters into one Handler; the last filter must not call next.
func Chain(filters ...Filter) Handler {
	h := func(context.Context, *Request) error { return nil }
	for i := len(filters) - 1; i >= 0; i-- {
		f, next := filters[i], h
		h = func(ctx context.Context, r *Request) error { return f.Handle(ctx, r, next) }
	}
	return h
}
