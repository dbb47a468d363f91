package httpendpoint

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"carawayrouter.example/router/internal/endpoint"
	"carawayrouter.example/router/internal/reqid"
)

// FuzzTokenStream reads arbitrary bytes as the output of a decode engine. The tokens that
// are returned must belong to the attempt and have consecutive indexes. The stream may end
// with io.EOF only after a token with Finish set, and Next must keep returning the same
// error.
func FuzzTokenStream(f *testing.F) {
	const offset = 4
	id := reqid.ID{Instance: "east-1", Incarnation: 3, Seq: 17}
	token := func(id string, attempt, index, rest string) string {
		return `data: {"id":"` + id + `","attempt":` + attempt + `,"index":` + index + `,"text":"x"` + rest + "}\n\n"
	}
	own := func(index, rest string) string { return token("east-1.3.17", "2", index, rest) }
	for _, s := range []string{
		"", "\n", ":\n\n", "data: \n\n", "data: {}\n\n", "data: null\n\n", "data: [DONE]\n\n", "event: error\ndata: {}\n\n",
		"event: error\ndata: {\"code\":\"full\"}\n\n", "event: error\ndata: nonsense\n\n",
		own("4", "") + own("5", `,"finish":"stop"`), own("4", `,"finish":"length"`) + own("5", ""), own("4", "") + own("4", ""),
		own("4", "") + own("6", ""), own("0", ""), own("-1", ""), own("4", "") + "event: error\n" + own("5", ""),
		token("east-1.3.18", "2", "4", ""), token("east-1.3.17", "1", "4", ""), token("west-1.3.17", "2", "4", ""),
		own("4", "") + token("east-1.3.18", "2", "5", ""), own("4", "")[:30], own("4", "") + "data: {\"id\":7}\n\n",
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		body := io.NopCloser(bytes.NewReader(b))
		s := &tokenStream{events: newEventReader(context.Background(), &http.Transport{}, body), id: id, attempt: 2, nextIndex: offset}
		next, finished := offset, false
		var tok endpoint.Token
		var err error
		for tok, err = s.Next(); err == nil; tok, err = s.Next() {
			assert.Assert(t, !finished, "token %d after the last", tok.Index)
			assert.Equal(t, tok.ID, id)
			assert.Equal(t, tok.Attempt, 2)
			assert.Equal(t, tok.Index, next)
			next++
			finished = tok.Finish != ""
		}
		assert.Equal(t, err == io.EOF, finished, "%v", err)
		_, again := s.Next()
		assert.Equal(t, again, err)
	})
}
