// Package endpoint describes what the router needs of the servers it sends work
// to: model engines and plain services. Adapters implement the interfaces.
package endpoint

import (
	"context"
	"io"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"carawayrouter.example/router/internal/reqid"
)

// PieceTokens is the number of tokens in one piece of KV memory.
const PieceTokens = 2048

// BytesPerToken is the average length of a token that estimates assume, in bytes.
const BytesPerToken = 4

// EstimateTokens returns the number of tokens that a prompt is charged for.
func EstimateTokens(prompt string) int {
	return max(1, (len(prompt)+BytesPerToken-1)/BytesPerToken)
}

// Pieces returns the number of KV pieces that hold the given number of tokens.
func Pieces(tokens int) int { return (tokens + PieceTokens - 1) / PieceTokens }

// PrefixHashes returns one chained hash for every whole piece of the prompt. Two
// prompts share n cached pieces where their first n hashes are equal.
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

// Errors that an engine or service adapter returns, possibly wrapped.
var (
	// ErrNotSent means that no byte of the request left this process.
	ErrNotSent = errors.New("request was not sent")
	// ErrRefused means that the endpoint proved that it did not run the request.
	ErrRefused = errors.New("endpoint refused the request")
	// ErrFull means that the endpoint has no slot or memory for the request; not run.
	ErrFull = errors.New("endpoint is full")
	// ErrGone means that the handle or request is not known to the engine (any more).
	ErrGone = errors.New("handle or request is gone")
	// ErrCallFailed means that the connection broke or the answer was malformed or cut.
	ErrCallFailed = errors.New("connection to endpoint broke")
	// ErrIdleTimeout means that the endpoint sent nothing for the idle time allowed.
	ErrIdleTimeout = errors.New("endpoint went silent")
	// ErrMismatch means that an answer carried another request's id or attempt.
	ErrMismatch = errors.New("answer belongs to another request")
	// ErrStaleEpoch means that an order carried an epoch lower than one seen before.
	ErrStaleEpoch = errors.New("order carries a stale epoch")
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

// PrefillResult names KV cache held by the prefill engine for a short time.
type PrefillResult struct {
	ID           reqid.ID      `json:"id"`
	Attempt      int           `json:"attempt"`
	Handle       string        `json:"handle"`
	Tokens       int           `json:"tokens"`
	CachedTokens int           `json:"cached_tokens"`
	TTL          time.Duration `json:"ttl_ns"` // life of the handle
}

// ImportRequest asks a decode engine to take over KV cache from a prefill engine.
// It reserves a decode slot and memory for the prompt and the output.
type ImportRequest struct {
	ID        reqid.ID `json:"id"`
	Attempt   int      `json:"attempt"`
	Model     string   `json:"model"`
	Handle    string   `json:"handle"`
	Source    string   `json:"source"` // address of the prefill engine
	Tokens    int      `json:"tokens"`
	MaxOutput int      `json:"max_output"`
}

// DecodeRequest starts, or resumes at an offset, the output of an imported request.
type DecodeRequest struct {
	ID        reqid.ID `json:"id"`
	Attempt   int      `json:"attempt"`
	MaxOutput int      `json:"max_output"`
	Offset    int      `json:"offset"` // index of the first token wanted
	Priority  int      `json:"priority"`
}

// Token is one output token. The last token of an answer has Finish set.
type Token struct {
	ID      reqid.ID `json:"id"`
	Attempt int      `json:"attempt"`
	Index   int      `json:"index"` // counts from 0
	Text    string   `json:"text"`
	Finish  string   `json:"finish,omitempty"` // "stop" or "length"
}

// TokenStream is the output of one decode. It is used by one goroutine.
type TokenStream interface {
	// Next returns the next token, io.EOF after the last one, or one of the
	// package's errors. The stream checks request id, attempt and index.
	Next() (Token, error)
	// Close drops the connection; it does not cancel the request at the engine.
	Close() error
}

// Running is one request that an engine holds memory for.
type Running struct {
	ID      reqid.ID `json:"id"`
	Attempt int      `json:"attempt"`
	Stage   string   `json:"stage"` // "prefill", "result", "import" or "decode"
	Pieces  int      `json:"pieces"`
}

// LoadReport is an engine's account of its own load; it lags.
type LoadReport struct {
	Running     int       `json:"running"`
	Waiting     int       `json:"waiting"`
	Slots       int       `json:"slots"`
	Pieces      int       `json:"pieces"`
	UsedPieces  int       `json:"used_pieces"`
	QueueTokens int       `json:"queue_tokens"` // prompt tokens waiting for prefill
	TakenAt     time.Time `json:"taken_at"`
}

// CacheEvent tells that a prefix piece entered or left an engine's prefix cache.
type CacheEvent struct {
	Seq     uint64 `json:"seq"`
	Hash    uint64 `json:"hash"`
	Removed bool   `json:"removed"`
}

// Order sets the whole desired state of one engine; it can be repeated.
type Order struct {
	Epoch    uint64   `json:"epoch"` // fencing token
	Home     string   `json:"home"`  // instance that gives the order
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters"`
	Role     string   `json:"role"` // "prefill" or "decode"
}

// OrderResult is what an engine says of an order that it took.
type OrderResult struct {
	Epoch uint64 `json:"epoch"` // highest epoch seen; 0 where the engine ignores epochs
}

// Engine is one model engine. All methods are safe for concurrent use and return
// the package's errors or a context error.
type Engine interface {
	Prefill(ctx context.Context, r PrefillRequest) (PrefillResult, error)
	Import(ctx context.Context, r ImportRequest) error
	Decode(ctx context.Context, r DecodeRequest) (TokenStream, error)
	// Cancel frees all that the engine holds for a request. It is idempotent.
	// Attempts above the one given are left alone.
	Cancel(ctx context.Context, id reqid.ID, attempt int) error
	Running(ctx context.Context) ([]Running, error)
	Load(ctx context.Context) (LoadReport, error)
	// CacheEvents returns events after the sequence number given; gaps can occur.
	CacheEvents(ctx context.Context, after uint64) ([]CacheEvent, error)
	Order(ctx context.Context, o Order) (OrderResult, error)
}

// Header is one HTTP header line.
type Header struct{ Name, Value string }

// ServiceRequest is a call to a plain service.
type ServiceRequest struct {
	ID      reqid.ID
	Method  string
	Path    string // with query
	Headers []Header
	Body    []byte
}

// ServiceResponse is a plain service's answer. Body must be closed.
type ServiceResponse struct {
	Status  int
	Headers []Header
	Body    io.ReadCloser
}

// Service is one plain service.
type Service interface {
	Do(ctx context.Context, r ServiceRequest) (*ServiceResponse, error)
}

// Dialer returns the client for an endpoint's address; clients are shared.
type Dialer interface {
	Engine(addr string) Engine
	Service(addr string) Service
}
