// Package errkind defines the error kinds that are reported to callers, and their HTTP
// status codes.
package errkind

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Kind is the kind of an error. The constants below are the complete list.
type Kind string

// The error kinds.
const (
	BadRequest          Kind = "bad_request"           // malformed body or header
	BodyTooLarge        Kind = "body_too_large"        // request body above the configured maximum size
	NoKey               Kind = "no_key"                // route requires a key and the request has none
	KeyRefused          Kind = "key_refused"           // key is unknown or withdrawn
	StaleConfiguration  Kind = "stale_configuration"   // no configuration yet, or too old to accept the key
	UnknownRoute        Kind = "unknown_route"         // no route matches method and path
	UnknownModel        Kind = "unknown_model"         // no pool serves the model
	TooLarge            Kind = "too_large"             // exceeds the account's burst or an engine's memory
	OverRate            Kind = "over_rate"             // account has exceeded its rate and burst
	QueueFull           Kind = "queue_full"            // request queue is full
	DeadlineUnreachable Kind = "deadline_unreachable"  // first token cannot be produced in time
	NoEndpoint          Kind = "no_endpoint"           // no endpoint of the pool can be used
	EndpointLimit       Kind = "endpoint_limit"        // endpoints accept no more requests at the moment
	PromptQuarantined   Kind = "prompt_quarantined"    // engines crash on a part of the prompt
	RequestQuarantined  Kind = "request_quarantined"   // endpoints crash on the request
	ResumeUnknown       Kind = "resume_unknown"        // not known to go on where the broken stream began
	EndpointFailed      Kind = "endpoint_failed"       // endpoint returned an error or the connection broke
	EndpointTimeout     Kind = "endpoint_timeout"      // endpoint stopped responding
	StoreUnavailable    Kind = "store_unavailable"     // the platform's table is required and unavailable
	OperationConflict   Kind = "operation_conflict"    // idempotency key reused with other inputs
	OperationInProgress Kind = "operation_in_progress" // the same operation is still running
	OperationUnknown    Kind = "operation_unknown"     // outcome of an operation is not known
	OperationNotFound   Kind = "operation_not_found"   // no operation is recorded under the key
	NotOperator         Kind = "not_operator"          // request to the operator port without operator credentials
	ShuttingDown        Kind = "shutting_down"         // instance is draining
	ClientGone          Kind = "client_gone"           // caller closed its connection
	Internal            Kind = "internal"              // bug in the router
)

// Execution says whether the request was run by an endpoint.
type Execution string

// The execution states reported to callers.
const (
	NotRun  Execution = "not_run"
	Unknown Execution = "unknown"
	Ran     Execution = "ran"
)

// properties holds what is the same for all errors of a kind.
type properties struct {
	status    int
	retryable bool
}

// kindProperties has an entry for every Kind.
var kindProperties = map[Kind]properties{
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
	EndpointLimit:       {503, true},
	PromptQuarantined:   {503, true},
	RequestQuarantined:  {503, true},
	ResumeUnknown:       {503, true},
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

// Kinds returns all kinds in no particular order.
func Kinds() []Kind {
	all := make([]Kind, 0, len(kindProperties))
	for k := range kindProperties {
		all = append(all, k)
	}
	return all
}

// Status returns the HTTP status code of a kind. It is 500 for unknown kinds.
func (k Kind) Status() int {
	a, ok := kindProperties[k]
	if !ok {
		return kindProperties[Internal].status
	}
	return a.status
}

// Retryable reports whether the same request may succeed later.
func (k Kind) Retryable() bool { return kindProperties[k].retryable }

// Error is an error of a known kind.
type Error struct {
	Kind       Kind
	Execution  Execution
	Message    string        // may be shown to callers
	RetryAfter time.Duration // zero if not known
	cause      error
}

// Error implements error.
func (e *Error) Error() string {
	if e.cause == nil {
		return string(e.Kind) + ": " + e.Message
	}
	return string(e.Kind) + ": " + e.Message + ": " + e.cause.Error()
}

// Unwrap returns the cause. It must not be shown to callers.
func (e *Error) Unwrap() error { return e.cause }

// New returns an Error for a request that did not run.
func New(k Kind, message string) *Error {
	return &Error{Kind: k, Execution: NotRun, Message: message}
}

// Wrap returns an Error with a cause, for a request in the given execution state.
func Wrap(cause error, k Kind, x Execution, message string) *Error {
	return &Error{Kind: k, Execution: x, Message: message, cause: cause}
}

// WithRetryAfter returns a copy that tells the caller to retry after d.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// WithExecution returns a copy with execution state x.
func (e *Error) WithExecution(x Execution) *Error {
	c := *e
	c.Execution = x
	return &c
}

// From returns the *Error in err's chain. Any other error is wrapped as Internal with execution
// Unknown.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Wrap(err, Internal, Unknown, "internal error")
}

// Is reports whether err's chain has an *Error of kind k.
func Is(err error, k Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == k
}
