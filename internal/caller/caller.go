// Package caller is a client for the router's public API, used by tools and tests. It
// reports exactly what the caller received.
package caller

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"carawayrouter.example/router/internal/errkind"
)

// Client sends requests to one entry instance.
type Client struct {
	base string
	key  string
	http *http.Client
}

// New returns a Client with its own connection pool. With an empty key it sends no
// Authorization header.
func New(base, key string) *Client {
	return NewWithHTTPClient(base, key, &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}})
}

// NewWithHTTPClient returns a Client that uses the given HTTP client.
func NewWithHTTPClient(base, key string, h *http.Client) *Client {
	return &Client{base: base, key: key, http: h}
}

// RefusedError is an error response from the router.
type RefusedError struct {
	Status     int
	Kind       errkind.Kind      `json:"kind"`
	Execution  errkind.Execution `json:"execution"`
	Message    string            `json:"message"`
	RequestID  string            `json:"request_id"`
	RetryAfter float64           `json:"retry_after_seconds"`
}

// Error implements error.
func (e *RefusedError) Error() string {
	return string(e.Kind) + " (" + string(e.Execution) + "): " + e.Message
}

// Completion is a completion request, always streamed.
type Completion struct {
	Model     string
	Prompt    string
	MaxTokens int
	OnToken   func(text string) // may be nil
}

// Result is the part of a completion's response that the caller received.
type Result struct {
	RequestID    string
	Text         string
	Tokens       int
	FinishReason string
	Done         bool // [DONE] arrived
	DoneCount    int  // number of [DONE] events
	FirstTokenAt time.Time
	TokenTimes   []time.Time // arrival of each token
}

type completionBody struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

type streamEvent struct {
	ID      string        `json:"id"`
	Choices []eventChoice `json:"choices"`
	Error   *RefusedError `json:"error"`
}

type eventChoice struct {
	Text   string  `json:"text"`
	Finish *string `json:"finish_reason"`
}

// Complete sends a completion and reads its stream. Errors from the router are of type
// *RefusedError; the Result then holds what arrived before the error.
func (c *Client) Complete(ctx context.Context, q Completion) (*Result, error) {
	body, err := json.Marshal(completionBody{Model: q.Model, Prompt: q.Prompt, MaxTokens: q.MaxTokens, Stream: true})
	if err != nil {
		return nil, err
	}
	resp, err := c.send(ctx, Call{Method: http.MethodPost, Path: "/v1/completions", Body: body})
	if err != nil {
		return &Result{}, err
	}
	defer resp.Body.Close()
	result := &Result{RequestID: resp.Header.Get("X-Request-Id")}
	if resp.StatusCode != http.StatusOK {
		return result, readRefusal(resp)
	}
	return result, result.readStream(resp.Body, q.OnToken)
}

// readStream consumes the event stream.
func (r *Result) readStream(body io.Reader, onToken func(string)) error {
	var text strings.Builder
	defer func() { r.Text = text.String() }()
	lines := bufio.NewReader(body)
	for {
		line, err := lines.ReadString('\n')
		if err != nil {
			if r.Done {
				return nil
			}
			return errors.Wrap(err, "stream ended early")
		}
		data, ok := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			r.Done = true
			r.DoneCount++
			continue
		}
		var f streamEvent
		if err := json.Unmarshal([]byte(data), &f); err != nil {
			return errors.Wrap(err, "malformed event")
		}
		if f.Error != nil {
			return f.Error
		}
		for _, choice := range f.Choices {
			r.addToken(&text, choice, onToken)
		}
	}
}

func (r *Result) addToken(text *strings.Builder, choice eventChoice, onToken func(string)) {
	now := time.Now()
	if r.Tokens == 0 {
		r.FirstTokenAt = now
	}
	r.TokenTimes = append(r.TokenTimes, now)
	r.Tokens++
	text.WriteString(choice.Text)
	if choice.Finish != nil {
		r.FinishReason = *choice.Finish
	}
	if onToken != nil {
		onToken(choice.Text)
	}
}

// Call is a request to a plain (non-model) service.
type Call struct {
	Method         string
	Path           string
	IdempotencyKey string
	Header         http.Header // may be nil
	Body           []byte
}

// Answer is a plain service's response.
type Answer struct {
	Status   int
	Body     []byte
	Replayed bool // recorded response of an earlier call with the same idempotency key
}

// Call sends a request. Error responses are returned as *RefusedError.
func (c *Client) Call(ctx context.Context, q Call) (*Answer, error) {
	resp, err := c.send(ctx, q)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusBadRequest {
		return nil, readRefusal(resp)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, err
	}
	return &Answer{Status: resp.StatusCode, Body: body, Replayed: resp.Header.Get("Idempotency-Replayed") != ""}, nil
}

func (c *Client) send(ctx context.Context, q Call) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, q.Method, c.base+q.Path, bytes.NewReader(q.Body))
	if err != nil {
		return nil, err
	}
	for name, values := range q.Header {
		req.Header[name] = values
	}
	req.Header.Set("Content-Type", "application/json")
	if c.key != "" {
		req.Header.Set("Authorization", "Bearer "+c.key)
	}
	if q.IdempotencyKey != "" {
		req.Header.Set("Idempotency-Key", q.IdempotencyKey)
	}
	return c.http.Do(req)
}

// readRefusal reads an error response. If the body is not in the router's format, only
// the status is kept.
func readRefusal(resp *http.Response) error {
	var body struct {
		Error RefusedError `json:"error"`
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, 1<<20))
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, &body); err != nil {
		body.Error.Message = "error response in an unknown format"
	}
	body.Error.Status = resp.StatusCode
	return &body.Error
}
