package front

import (
	"encoding/json"
	"io"
	"math"
	"strconv"
	"strings"

	"github.com/valyala/fasthttp"

	"carawayrouter.example/router/internal/errkind"
	"carawayrouter.example/router/internal/filter"
	"carawayrouter.example/router/internal/operation"
)

// errorBody is the one JSON form of errors.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Kind       errkind.Kind      `json:"kind"`
	Execution  errkind.Execution `json:"execution"`
	Message    string            `json:"message"`
	RequestID  string            `json:"request_id,omitempty"`
	RetryAfter float64           `json:"retry_after_seconds,omitempty"`
}

func errorJSON(e *errkind.Error, requestID string) []byte {
	b, err := json.Marshal(errorBody{Error: errorDetail{
		Kind:       e.Kind,
		Execution:  e.Execution,
		Message:    e.Message,
		RequestID:  requestID,
		RetryAfter: e.RetryAfter.Seconds(),
	}})
	if err != nil {
		return []byte(`{"error":{"kind":"internal","execution":"unknown"}}`)
	}
	return b
}

// writeError answers with the status of the error's kind.
func writeError(ctx *fasthttp.RequestCtx, e *errkind.Error, requestID string) {
	ctx.Response.ResetBody()
	ctx.SetStatusCode(e.Kind.Status())
	ctx.SetContentType("application/json")
	if e.RetryAfter > 0 {
		seconds := int(math.Ceil(e.RetryAfter.Seconds()))
		ctx.Response.Header.Set("Retry-After", strconv.Itoa(seconds))
	}
	ctx.SetBody(errorJSON(e, requestID))
}

// chunk is one piece of a streamed answer, or a whole one.
type chunk struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Created int64         `json:"created"`
	Model   string        `json:"model"`
	Choices []choice      `json:"choices"`
	Usage   *filter.Usage `json:"usage,omitempty"`
}

type choice struct {
	Index   int      `json:"index"`
	Text    *string  `json:"text,omitempty"`
	Delta   *message `json:"delta,omitempty"`
	Message *message `json:"message,omitempty"`
	Finish  *string  `json:"finish_reason"`
}

type message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// tokenChunk is the form of one streamed token.
func (x *exchange) tokenChunk(text, finish string, index int) chunk {
	c := choice{}
	if finish != "" {
		c.Finish = &finish
	}
	object := "text_completion"
	if x.completion.Chat {
		object = "chat.completion.chunk"
		c.Delta = &message{Content: text}
		if index == 0 {
			c.Delta.Role = "assistant"
		}
	} else {
		c.Text = &text
	}
	return x.chunk(object, c)
}

// wholeAnswer is the form of an answer that is not streamed.
func (x *exchange) wholeAnswer(u filter.Usage) chunk {
	text := strings.Join(x.texts, "")
	c := choice{Finish: &u.Finish}
	object := "text_completion"
	if x.completion.Chat {
		object = "chat.completion"
		c.Message = &message{Role: "assistant", Content: text}
	} else {
		c.Text = &text
	}
	answer := x.chunk(object, c)
	answer.Usage = &u
	return answer
}

func (x *exchange) chunk(object string, c choice) chunk {
	return chunk{
		ID:      x.id,
		Object:  object,
		Created: x.created,
		Model:   x.completion.Model,
		Choices: []choice{c},
	}
}

// writeService passes on a plain service's answer.
func writeService(ctx *fasthttp.RequestCtx, a *serviceAnswer) {
	ctx.SetStatusCode(a.status)
	for _, h := range a.headers {
		if !isHopHeader(h.Name) {
			ctx.Response.Header.Add(h.Name, h.Value)
		}
	}
	ctx.SetBody(a.body)
}

func readAll(r io.ReadCloser) ([]byte, error) {
	defer r.Close()
	return io.ReadAll(r)
}

func replayAnswer(a *operation.Answer) *serviceAnswer {
	return &serviceAnswer{
		status: a.Status,
		headers: []header{
			{Name: "Content-Type", Value: a.ContentType},
			{Name: "Idempotency-Replayed", Value: "true"},
		},
		body: a.Body,
	}
}

func isHopHeader(name string) bool {
	switch strings.ToLower(name) {
	case "connection", "keep-alive", "te", "trailer", "transfer-encoding", "upgrade", "content-length", "server", "date":
		return true
	}
	return false
}
