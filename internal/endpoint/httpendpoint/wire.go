// Package httpendpoint is the HTTP adapter for model engines and plain services.
//
// Calls that take long (prefill, import, decode) answer with a stream of server-sent
// events, so that a connection that went silent can be told from an engine that is
// busy: comment lines keep the stream alive. All other answers are plain JSON.
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
	PathExport      = "/engine/v1/export"       // between engines only
)

// Headers of the interface.
const (
	// HeaderNotRun is "true" on an answer that proves that the request did not run.
	HeaderNotRun = "X-Not-Run"
	// HeaderRequestID carries the request id to plain services.
	HeaderRequestID = "X-Request-Id"
)

// Parts of the event stream.
const (
	EventError             = "error"  // event name of an ErrorBody
	DoneData               = "[DONE]" // data of the event that ends an output
	EventStreamContentType = "text/event-stream"
)

// Code names the reason for a refusal in an ErrorBody.
type Code string

// The codes.
const (
	CodeFull       Code = "full"
	CodeRefused    Code = "refused"
	CodeGone       Code = "gone"
	CodeStaleEpoch Code = "stale_epoch"
	CodeFailed     Code = "failed"
)

// ErrorBody is the JSON body of an answer that is not a success.
type ErrorBody struct {
	Code    Code   `json:"code"`
	Message string `json:"message"`
}

// CancelRequest is the body of a cancel call.
type CancelRequest struct {
	ID      reqid.ID `json:"id"`
	Attempt int      `json:"attempt"`
}

// ImportResult is the event that ends a successful import.
type ImportResult struct {
	ID      reqid.ID `json:"id"`
	Attempt int      `json:"attempt"`
}

// ExportRequest is the body of an export call.
type ExportRequest struct {
	Handle string `json:"handle"`
}

// ExportResult describes KV cache that one engine passes to another.
type ExportResult struct {
	Handle string `json:"handle"`
	Model  string `json:"model"`
	Prompt string `json:"prompt"`
	Tokens int    `json:"tokens"`
}

// statusError turns an answer that is not a success into one of endpoint's errors.
// Only the proof header or a code of the interface makes "not run" out of it.
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

// codeError turns a code into one of endpoint's errors.
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

// as returns one of endpoint's errors with the text of its cause.
func wrapCause(base, cause error, where string) error {
	return errors.Wrapf(base, "%s: %v", where, cause)
}
