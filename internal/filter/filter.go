// Package filter defines the filter chain that processes every caller's request.
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

// Responder writes the response to the caller. It is used by one goroutine.
type Responder interface {
	// Token passes on one output token. It is sent at once if the response is streamed.
	Token(t endpoint.Token) error
	// Finish ends a completion. A response that is not streamed is sent as a whole.
	Finish(u Usage) error
	// Service forwards the response of a plain service.
	Service(r *endpoint.ServiceResponse) error
	// Replay sends the recorded response of an operation.
	Replay(a *operation.Answer) error
	// Started reports whether any byte of the response may have reached the caller.
	Started() bool
}

// ErrForcedShutdown is the cancellation cause of requests that are still running when the
// server is closed.
var ErrForcedShutdown = errors.New("instance was stopped before the request ended")

// Usage is the token count of a finished completion.
type Usage struct {
	PromptTokens     int    `json:"prompt_tokens"`
	CompletionTokens int    `json:"completion_tokens"`
	TotalTokens      int    `json:"total_tokens"`
	CachedTokens     int    `json:"cached_tokens"`
	Finish           string `json:"-"`
}

// Request is one caller's request as it passes through the chain. The filters set the
// fields from State on. Only the goroutine that runs the chain uses a Request.
type Request struct {
	ID             reqid.ID
	Arrived        time.Time
	Method         string
	Path           string // including the query
	Headers        []endpoint.Header
	Body           []byte
	BearerKey      string // cleared once the account is identified
	IdempotencyKey string
	Completion     *Completion // nil for plain service requests
	Responder      Responder

	State           *config.State // snapshot at arrival
	KeyHash         config.KeyHash
	Account         *config.Account // nil for requests without a key on open routes
	Route           *config.Route
	Pool            *config.Pool
	ReservedTokens  int // prompt and maximum output
	Reservation     limit.Reservation
	Claim           operation.Claim
	Grant           *sched.Grant
	Attempt         int  // number of the current attempt, from 1; each grant starts one
	Sent            bool // a byte of the request may have reached an endpoint
	DeliveredTokens int  // output tokens passed to Responder
	UsedTokens      int  // tokens used so far, including the prompt

	ExcludedEndpoints []string // endpoints that failed an earlier attempt
	FailedEndpoint    string   // endpoint that failed the current attempt; if empty, the decode endpoint
}

// Handler runs the rest of the chain. It returns nil once a response was sent, or an error
// for the caller, which is an *errkind.Error if the kind is known.
type Handler func(ctx context.Context, r *Request) error

// Filter is one stage of the chain.
type Filter interface {
	// Name returns the name of the filter in events and metrics.
	Name() string
	// Handle processes the request and calls next, or refuses the request with an error.
	Handle(ctx context.Context, r *Request, next Handler) error
}

// Chain combines filters into one Handler. The last filter must not call next.
func Chain(filters ...Filter) Handler {
	h := func(context.Context, *Request) error { return nil }
	for i := len(filters) - 1; i >= 0; i-- {
		f, next := filters[i], h
		h = func(ctx context.Context, r *Request) error { return f.Handle(ctx, r, next) }
	}
	return h
}
