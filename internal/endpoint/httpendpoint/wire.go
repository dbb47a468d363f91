// Package httpendpoint is the HTTP adapter for model engines and plain services.
//
// The response to a long-running call (prefill, import, decode) is a stream of server-sent
// events. Comment lines serve as keepalives, so that a dead connection can be distinguished
// from a busy engine. All other responses are plain JSON.
package httpendpoint

import (
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"

	"carawayrouter.example/router/internal/endpoint"
	"carawayrouter.example/router/internal/reqid"
)

// Paths of the engine interface.
const (
	PathPrefill     = "/engine/v1/prefill"
	PathImport      = "/engine/v1/import"
	PathDecode      = "/engine/v1/decode"
	PathCancel      = "/engine/v1/cancel"
	PathOrders      = "/engine/v1/orders"
	PathRunning     = "/engine/v1/running"
	PathLoad        = "/engine/v1/load"
	PathCacheEvents = "/engine/v1/cache-events" // query: after=N
	PathExport      = "/engine/v1/export"       // used between engines only
)

// Headers of the interface.
const (
	// HeaderNotRun is "true" on a response that guarantees that the request did not run.
	HeaderNotRun = "X-Not-Run"
	// HeaderRequestID passes the request id to plain services.
	HeaderRequestID = "X-Request-Id"
)

// Constants of the event stream format.
const (
	EventError             = "error"  // name of an event whose data is an ErrorBody
	DoneData               = "[DONE]" // data of the last event of an output stream
	EventStreamContentType = "text/event-stream"
)

// Code is the error code in an ErrorBody.
type Code string

// The error codes.
const (
	CodeFull       Code = "full"
	CodeRefused    Code = "refused"
	CodeGone       Code = "gone"
	CodeStaleEpoch Code = "stale_epoch"
	CodeFailed     Code = "failed"
)

// ErrorBody is the JSON body of an error response.
type ErrorBody struct {
	Code    Code   `json:"code"`
	Message string `json:"message"`
}

// CancelRequest is the body of a cancel call.
type CancelRequest struct {
	ID      reqid.ID `json:"id"`
	Attempt int      `json:"attempt"`
}

// ImportResult is the data of the event that ends a successful import.
type ImportResult struct {
	ID      reqid.ID `json:"id"`
	Attempt int      `json:"attempt"`
}

// ExportRequest is the body of an export call.
type ExportRequest struct {
	Handle string `json:"handle"`
}

// ExportResult describes KV cache that is transferred from one engine to another.
type ExportResult struct {
	Handle string `json:"handle"`
	Model  string `json:"model"`
	Prompt string `json:"prompt"`
	Tokens int    `json:"tokens"`
}

// statusError maps an error response to one of the errors of package endpoint. 410 and 412
// map to ErrGone and ErrStaleEpoch. Any other status counts as a refusal only if
// HeaderNotRun guarantees that the request did not run.
func statusError(status int, header http.Header, body ErrorBody) error {
	provenNotRun := strings.EqualFold(header.Get(HeaderNotRun), "true")
	switch {
	case status == http.StatusGone:
		return codeError(CodeGone, body.Message)
	case status == http.StatusPreconditionFailed:
		return codeError(CodeStaleEpoch, body.Message)
	case !provenNotRun:
		return errors.Wrapf(endpoint.ErrCallFailed, "status %d", status)
	case status == http.StatusTooManyRequests, status == http.StatusServiceUnavailable && body.Code == CodeFull:
		return codeError(CodeFull, body.Message)
	case status >= 400 && status < 500, status == http.StatusServiceUnavailable:
		return codeError(CodeRefused, body.Message)
	}
	return errors.Wrapf(endpoint.ErrCallFailed, "status %d", status)
}

// codeError maps an error code to one of the errors of package endpoint.
func codeError(c Code, message string) error {
	var base error
	switch c {
	case CodeFull:
		base = endpoint.ErrFull
	case CodeRefused:
		base = endpoint.ErrRefused
	case CodeGone:
		base = endpoint.ErrGone
	case CodeStaleEpoch:
		base = endpoint.ErrStaleEpoch
	default:
		base = endpoint.ErrCallFailed
	}
	if message == "" {
		return base
	}
	return errors.Wrap(base, message)
}

// wrapCause wraps base, one of the errors of package endpoint, with the failed operation
// and the text of its cause.
func wrapCause(base, cause error, operation string) error {
	return errors.Wrapf(base, "%s: %v", operation, cause)
}
