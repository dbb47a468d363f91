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

// errorBody is the JSON body of all error responses.
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

// writeError writes an error response with the HTTP status of the error's kind.
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

// completionObject is a full completion or one chunk of a streamed completion.
type completionObject struct {
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

// streamedToken returns the chunk for one streamed token.
func (x *exchange) streamedToken(text, finish string, index int) completionObject {
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
	return x.newObject(object, c)
}

// fullCompletion returns the body of a completion that is not streamed.
func (x *exchange) fullCompletion(u filter.Usage) completionObject {
	text := strings.Join(x.tokenTexts, "")
	c := choice{Finish: &u.Finish}
	object := "text_completion"
	if x.completion.Chat {
		object = "chat.completion"
		c.Message = &message{Role: "assistant", Content: text}
	} else {
		c.Text = &text
	}
	full := x.newObject(object, c)
	full.Usage = &u
	return full
}

func (x *exchange) newObject(object string, c choice) completionObject {
	return completionObject{
		ID:      x.id,
		Object:  object,
		Created: x.created,
		Model:   x.completion.Model,
		Choices: []choice{c},
	}
}

// writeServiceResponse forwards the response of a plain service.
func writeServiceResponse(ctx *fasthttp.RequestCtx, a *serviceResponse) {
	ctx.SetStatusCode(a.status)
	for _, h := range a.headers {
		if !isHopByHopHeader(h.Name) {
			ctx.Response.Header.Add(h.Name, h.Value)
		}
	}
	ctx.SetBody(a.body)
}

func readBody(r io.ReadCloser) ([]byte, error) {
	defer r.Close()
	return io.ReadAll(r)
}

func replayedResponse(a *operation.Answer) *serviceResponse {
	return &serviceResponse{
		status: a.Status,
		headers: []header{
			{Name: "Content-Type", Value: a.ContentType},
			{Name: "Idempotency-Replayed", Value: "true"},
		},
		body: a.Body,
	}
}

func isHopByHopHeader(name string) bool {
	switch strings.ToLower(name) {
	case "connection", "keep-alive", "te", "trailer", "transfer-encoding", "upgrade", "content-length", "server", "date":
		return true
	}
	return false
}
