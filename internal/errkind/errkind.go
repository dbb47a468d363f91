// Package errkind holds the closed list of error kinds that callers can meet and
// the single table from kind to HTTP answer.
package errkind

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Kind names one class of failure. The list below is closed.
type Kind string

// The error kinds.
const (
	BadRequest          Kind = "bad_request"           // malformed body or header
	BodyTooLarge        Kind = "body_too_large"        // request body above the configured size
	NoKey               Kind = "no_key"                // route needs a key and none came
	KeyRefused          Kind = "key_refused"           // key unknown or withdrawn
	StaleConfiguration  Kind = "stale_configuration"   // no configuration yet, or too old to trust the key
	UnknownRoute        Kind = "unknown_route"         // no route for method and path
	UnknownModel        Kind = "unknown_model"         // no pool serves the model
	TooLarge            Kind = "too_large"             // cost above the account's burst or an engine's memory
	OverRate            Kind = "over_rate"             // account is above its rate and burst
	QueueFull           Kind = "queue_full"            // bounded queue is full
	DeadlineUnreachable Kind = "deadline_unreachable"  // first token cannot come in time
	NoEndpoint          Kind = "no_endpoint"           // no endpoint of the pool can be used
	EndpointFailed      Kind = "endpoint_failed"       // endpoint answered with an error or broke off
	EndpointTimeout     Kind = "endpoint_timeout"      // endpoint went silent
	StoreUnavailable    Kind = "store_unavailable"     // the platform's table is needed and down
	OperationConflict   Kind = "operation_conflict"    // idempotency key reused with other inputs
	OperationInProgress Kind = "operation_in_progress" // the same operation is still running
	OperationUnknown    Kind = "operation_unknown"     // outcome of an operation is not known
	OperationNotFound   Kind = "operation_not_found"   // no operation is recorded under the key
	NotOperator         Kind = "not_operator"          // operator port without operator credentials
	ShuttingDown        Kind = "shutting_down"         // instance is draining
	ClientGone          Kind = "client_gone"           // caller closed its connection
	Internal            Kind = "internal"              // defect in the router
)

// Execution tells whether the request ran at an endpoint.
type Execution string

// The execution states reported to callers.
const (
	NotRun  Execution = "not_run"
	Unknown Execution = "unknown"
	Ran     Execution = "ran"
)

// answer is the fixed part of the reply to one kind.
type answer struct {
	status    int
	retryable bool
}

// answers is the one table from kind to answer.
var answers = map[Kind]answer{
	BadRequest:          {400, false},
	BodyTooLarge:        {413, false},
	NoKey:               {401, false},
	KeyRefused:          {401, false},
	StaleConfiguration:  {503, true},
	UnknownRoute:        {404, false},
	UnknownModel:        {404, false},
	TooLarge:            {422, false},
	OverRate:            {429, true},
	QueueFull:           {503, true},
	DeadlineUnreachable: {503, true},
	NoEndpoint:          {503, true},
	EndpointFailed:      {502, true},
	EndpointTimeout:     {504, true},
	StoreUnavailable:    {503, true},
	OperationConflict:   {409, false},
	OperationInProgress: {409, true},
	OperationUnknown:    {502, false},
	OperationNotFound:   {404, false},
	NotOperator:         {401, false},
	ShuttingDown:        {503, true},
	ClientGone:          {499, false},
	Internal:            {500, false},
}

// Kinds returns the closed list in no particular order.
func Kinds() []Kind {
	all := make([]Kind, 0, len(answers))
	for k := range answers {
		all = append(all, k)
	}
	return all
}

// Status returns the HTTP status of a kind; kinds outside the list give 500.
func (k Kind) Status() int {
	a, ok := answers[k]
	if !ok {
		return answers[Internal].status
	}
	return a.status
}

// Retryable reports whether the same request may succeed later.
func (k Kind) Retryable() bool { return answers[k].retryable }

// Error is a failure of a known kind.
type Error struct {
	Kind       Kind
	Execution  Execution
	Message    string        // safe to show to callers
	RetryAfter time.Duration // zero where no useful time is known
	cause      error
}

// Error implements error.
func (e *Error) Error() string {
	if e.cause == nil {
		return string(e.Kind) + ": " + e.Message
	}
	return string(e.Kind) + ": " + e.Message + ": " + e.cause.Error()
}

// Unwrap returns the cause, which is never shown to callers.
func (e *Error) Unwrap() error { return e.cause }

// New returns an Error for a request that did not run.
func New(k Kind, message string) *Error {
	return &Error{Kind: k, Execution: NotRun, Message: message}
}

// Wrap returns an Error with a cause, for a request in the given execution state.
func Wrap(cause error, k Kind, x Execution, message string) *Error {
	return &Error{Kind: k, Execution: x, Message: message, cause: cause}
}

// WithRetryAfter returns a copy that tells the caller when to come back.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// WithExecution returns a copy in another execution state.
func (e *Error) WithExecution(x Execution) *Error {
	c := *e
	c.Execution = x
	return &c
}

// From returns err as an *Error; anything else becomes Internal with unknown execution.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Wrap(err, Internal, Unknown, "internal error")
}

// Is reports whether err carries kind k.
func Is(err error, k Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == k
}
