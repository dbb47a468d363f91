package front

import (
	"encoding/json"
	"strings"

	"carawayrouter.example/router/internal/errkind"
	"carawayrouter.example/router/internal/filter"
)

// Paths handled by the server itself.
const (
	completionsPath = "/v1/completions"
	chatPath        = "/v1/chat/completions"
	operationsPath  = "/v1/operations/"
	healthPath      = "/healthz"
)

// DefaultMaxTokens applies to completion requests without max_tokens.
const DefaultMaxTokens = 256

// completionBody is the JSON body of a completion request. Other fields of the OpenAI API
// are ignored.
type completionBody struct {
	Model               string        `json:"model"`
	Adapter             string        `json:"adapter"`
	Prompt              *string       `json:"prompt"`
	Messages            []chatMessage `json:"messages"`
	MaxTokens           *int          `json:"max_tokens"`
	MaxCompletionTokens *int          `json:"max_completion_tokens"`
	Stream              bool          `json:"stream"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ParseCompletion parses and validates the body of a completion request. Errors are of
// kind BadRequest and say which field is wrong.
func ParseCompletion(path string, body []byte, maxOutput int) (*filter.Completion, error) {
	var b completionBody
	if err := json.Unmarshal(body, &b); err != nil {
		return nil, errkind.Wrap(err, errkind.BadRequest, errkind.NotRun, "the body is not valid JSON for this path")
	}
	c := &filter.Completion{
		Chat:      path == chatPath,
		Model:     b.Model,
		Adapter:   b.Adapter,
		Stream:    b.Stream,
		MaxTokens: DefaultMaxTokens,
	}
	if c.Model == "" {
		return nil, errkind.New(errkind.BadRequest, "model is required")
	}
	for _, n := range []*int{b.MaxTokens, b.MaxCompletionTokens} {
		if n != nil {
			c.MaxTokens = *n
		}
	}
	if c.MaxTokens < 1 || c.MaxTokens > maxOutput {
		return nil, errkind.New(errkind.BadRequest, "max_tokens is out of bounds")
	}
	prompt, err := buildPrompt(c.Chat, &b)
	if err != nil {
		return nil, err
	}
	c.Prompt = prompt
	return c, nil
}

// buildPrompt returns the prompt text for the engine. Chat messages are joined as
// "role: content" lines.
func buildPrompt(chat bool, b *completionBody) (string, error) {
	if !chat {
		if b.Prompt == nil || *b.Prompt == "" {
			return "", errkind.New(errkind.BadRequest, "prompt is required")
		}
		return *b.Prompt, nil
	}
	if len(b.Messages) == 0 {
		return "", errkind.New(errkind.BadRequest, "messages is required")
	}
	var text strings.Builder
	for _, m := range b.Messages {
		if m.Role == "" {
			return "", errkind.New(errkind.BadRequest, "every message needs a role")
		}
		text.WriteString(m.Role)
		text.WriteString(": ")
		text.WriteString(m.Content)
		text.WriteString("\n")
	}
	return text.String(), nil
}
