// Package endpoint defines the interfaces between the router and the servers that run
// requests: model engines and plain services. Protocol adapters implement the interfaces.
package endpoint

import (
	"context"
	"io"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"carawayrouter.example/router/internal/reqid"
)

// PieceTokens is the number of tokens in one piece, the unit (block) in which KV cache is
// allocated and shared.
const PieceTokens = 2048

// BytesPerToken is the average token length in bytes that is assumed by estimates.
const BytesPerToken = 4

// EstimateTokens returns the estimated number of prompt tokens, which is the number charged
// to the client account.
func EstimateTokens(prompt string) int {
	return max(1, (len(prompt)+BytesPerToken-1)/BytesPerToken)
}

// Pieces returns the number of KV cache pieces needed for the given number of tokens.
func Pieces(tokens int) int { return (tokens + PieceTokens - 1) / PieceTokens }

// PrefixHashes returns one chained hash per complete piece of the prompt. Two prompts share
// n cached pieces if their first n hashes are equal.
func PrefixHashes(model, prompt string) []uint64 {
	const pieceBytes = PieceTokens * BytesPerToken
	h := xxhash.New()
	_, _ = h.WriteString(model)
	var hashes []uint64
	for len(prompt) >= pieceBytes {
		_, _ = h.WriteString(prompt[:pieceBytes])
		prompt = prompt[pieceBytes:]
		hashes = append(hashes, h.Sum64())
	}
	return hashes
}

// Errors returned by adapters for engines and services, possibly wrapped.
var (
	// ErrNotSent means that no byte of the request was sent.
	ErrNotSent = errors.New("request was not sent")
	// ErrRefused means that the endpoint stated explicitly that it did not run the request.
	ErrRefused = errors.New("endpoint refused the request")
	// ErrFull means that the endpoint has no slot or memory for the request and did not
	// run it.
	ErrFull = errors.New("endpoint is full")
	// ErrGone means that the engine does not know the handle or request, or no longer
	// knows it.
	ErrGone = errors.New("handle or request is unknown to the engine")
	// ErrCallFailed means that the connection broke, or that the response was malformed,
	// truncated or an error without proof that the request did not run.
	ErrCallFailed = errors.New("call to endpoint failed")
	// ErrIdleTimeout means that the endpoint sent nothing within the idle timeout.
	ErrIdleTimeout = errors.New("endpoint sent nothing within the idle timeout")
	// ErrMismatch means that the response carried the id or attempt of another request.
	ErrMismatch = errors.New("response belongs to another request")
	// ErrStaleEpoch means that the epoch of an order is lower than one that the engine has
	// already seen.
	ErrStaleEpoch = errors.New("order has a stale epoch")
)

// PrefillRequest asks a prefill engine to compute the KV cache of a prompt.
type PrefillRequest struct {
	ID       reqid.ID `json:"id"`
	Attempt  int      `json:"attempt"`
	Model    string   `json:"model"`
	Adapter  string   `json:"adapter,omitempty"`
	Prompt   string   `json:"prompt"`
	Priority int      `json:"priority"` // lower runs first
}

// PrefillResult identifies KV cache that the prefill engine holds until the TTL expires.
type PrefillResult struct {
	ID           reqid.ID      `json:"id"`
	Attempt      int           `json:"attempt"`
	Handle       string        `json:"handle"`
	Tokens       int           `json:"tokens"`
	CachedTokens int           `json:"cached_tokens"`
	TTL          time.Duration `json:"ttl_ns"` // lifetime of the handle
}

// ImportRequest asks a decode engine to transfer KV cache from a prefill engine. It
// reserves a decode slot and memory for the prompt and the output.
type ImportRequest struct {
	ID        reqid.ID `json:"id"`
	Attempt   int      `json:"attempt"`
	Model     string   `json:"model"`
	Handle    string   `json:"handle"`
	Source    string   `json:"source"` // address of the prefill engine
	Tokens    int      `json:"tokens"`
	MaxOutput int      `json:"max_output"`
}

// DecodeRequest starts the output of an imported request, or resumes it at an offset.
type DecodeRequest struct {
	ID        reqid.ID `json:"id"`
	Attempt   int      `json:"attempt"`
	MaxOutput int      `json:"max_output"`
	Offset    int      `json:"offset"` // index of the first token to send
	Priority  int      `json:"priority"`
}

// Token is one output token. Finish is set on the last token of the output.
type Token struct {
	ID      reqid.ID `json:"id"`
	Attempt int      `json:"attempt"`
	Index   int      `json:"index"` // starts at 0
	Text    string   `json:"text"`
	Finish  string   `json:"finish,omitempty"` // "stop" or "length"
}

// TokenStream is the output of one decode. It is used by one goroutine.
type TokenStream interface {
	// Next returns the next token, io.EOF after the last one, or one of the errors of
	// this package. It verifies the request id, attempt and index of each token.
	Next() (Token, error)
	// Close releases the connection. It does not cancel the request on the engine.
	Close() error
}

// Running describes one request for which an engine holds memory.
type Running struct {
	ID      reqid.ID `json:"id"`
	Attempt int      `json:"attempt"`
	Stage   string   `json:"stage"` // "prefill", "result", "import" or "decode"
	Pieces  int      `json:"pieces"`
}

// LoadReport is the load that an engine reported at TakenAt. It lags behind the actual load.
type LoadReport struct {
	Running     int       `json:"running"`
	Waiting     int       `json:"waiting"`
	Slots       int       `json:"slots"`
	Pieces      int       `json:"pieces"`
	UsedPieces  int       `json:"used_pieces"`
	QueueTokens int       `json:"queue_tokens"` // prompt tokens waiting for prefill
	TakenAt     time.Time `json:"taken_at"`
}

// CacheEvent reports that a piece was added to or removed from an engine's prefix cache.
type CacheEvent struct {
	Seq     uint64 `json:"seq"`
	Hash    uint64 `json:"hash"`
	Removed bool   `json:"removed"`
}

// Order sets the complete desired state of one engine. It is idempotent.
type Order struct {
	Epoch    uint64   `json:"epoch"` // fencing token
	Home     string   `json:"home"`  // instance that sends the order
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters"`
	Role     string   `json:"role"` // "prefill" or "decode"
}

// OrderResult is an engine's response to an accepted order.
type OrderResult struct {
	Epoch uint64 `json:"epoch"` // highest epoch seen; 0 if the engine ignores epochs
}

// Engine is the client of one model engine. All methods are safe for concurrent use and
// return the errors of this package or a context error.
type Engine interface {
	Prefill(ctx context.Context, r PrefillRequest) (PrefillResult, error)
	Import(ctx context.Context, r ImportRequest) error
	Decode(ctx context.Context, r DecodeRequest) (TokenStream, error)
	// Cancel ends a request and frees its resources on the engine. It is idempotent and
	// does not affect attempts with a higher number than attempt.
	Cancel(ctx context.Context, id reqid.ID, attempt int) error
	Running(ctx context.Context) ([]Running, error)
	Load(ctx context.Context) (LoadReport, error)
	// CacheEvents returns the events after the given sequence number. The sequence may
	// have gaps.
	CacheEvents(ctx context.Context, after uint64) ([]CacheEvent, error)
	Order(ctx context.Context, o Order) (OrderResult, error)
}

// Header is one HTTP header line.
type Header struct{ Name, Value string }

// ServiceRequest is a call to a plain service.
type ServiceRequest struct {
	ID      reqid.ID
	Method  string
	Path    string // including the query
	Headers []Header
	Body    []byte
}

// ServiceResponse is the response of a plain service. The caller must close Body.
type ServiceResponse struct {
	Status  int
	Headers []Header
	Body    io.ReadCloser
}

// Service is the client of one plain service.
type Service interface {
	Do(ctx context.Context, r ServiceRequest) (*ServiceResponse, error)
}

// Dialer returns the client for the address of an endpoint. Clients are shared.
type Dialer interface {
	Engine(addr string) Engine
	Service(addr string) Service
}
