package front

import (
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"carawayrouter.example/router/internal/errkind"
)

// FuzzParseCompletion checks that any body is either refused with kind BadRequest and
// execution NotRun, or parsed into a completion within the limits.
func FuzzParseCompletion(f *testing.F) {
	const maxOutput = 1000
	for _, body := range []string{
		"", "{", "null", "[]", `"x"`, "{}", `{"model":"m","prompt":"p"}`, `{"model":"m","prompt":""}`, `{"model":"m","prompt":null}`,
		`{"model":"m","prompt":["p"]}`, `{"model":"m","prompt":"p","max_tokens":0}`, `{"model":"m","prompt":"p","max_tokens":1001}`,
		`{"model":"m","prompt":"p","max_tokens":1e99}`, `{"model":"m","prompt":"p","max_tokens":5,"max_completion_tokens":-1}`,
		`{"model":"m","prompt":"p","max_tokens":1.5}`, `{"model":"m","prompt":"\ud800","stream":true}`, `{"model":"m","prompt":"p"}{}`,
		`{"model":"m","messages":[]}`, `{"model":"m","messages":[{"role":"user","content":"hi"}],"stream":true}`,
		`{"model":"m","messages":[{"content":"hi"}]}`, `{"model":"m","messages":[null]}`, `{"model":"m","messages":[{"role":"user","content":[]}]}`,
		"{\"model\":\"\xff\",\"prompt\":\"p\"}", `{"MODEL":"m","Prompt":"p","adapter":"a"}`,
	} {
		f.Add(false, []byte(body))
		f.Add(true, []byte(body))
	}
	f.Fuzz(func(t *testing.T, chat bool, body []byte) {
		path := completionsPath
		if chat {
			path = chatPath
		}
		c, err := ParseCompletion(path, body, maxOutput)
		if err != nil {
			var e *errkind.Error
			assert.Assert(t, errors.As(err, &e), "%v", err)
			assert.Equal(t, e.Kind, errkind.BadRequest)
			assert.Equal(t, e.Execution, errkind.NotRun)
			assert.Assert(t, c == nil)
			return
		}
		assert.Equal(t, c.Chat, chat)
		assert.Assert(t, c.Model != "" && c.Prompt != "")
		assert.Assert(t, c.MaxTokens >= 1 && c.MaxTokens <= maxOutput)
	})
}
