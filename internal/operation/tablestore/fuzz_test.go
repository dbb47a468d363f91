package tablestore

import (
	"testing"

	"gotest.tools/v3/assert"

	"carawayrouter.example/router/internal/platform"
)

// FuzzDecodeRow tests that a row that can be decoded does not change when it is encoded
// and decoded again.
func FuzzDecodeRow(f *testing.F) {
	for _, s := range []string{
		"", "null", "{}", "[]", "{", `{"nonce":7}`, `{"nonce":"n","state":"released"}`, `{"state":"unknown","answer":{}}`,
		`{"answer":{"status":200,"body":"eA=="}}`, `{"answer":{"body":"%"}}`, `{"updated":"2026-01-02T03:04:05Z"}`, `{"claimed":"never"}`,
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, value []byte) {
		r, err := decodeRow(platform.Row{Key: "op/a/b", Version: 3, Value: value})
		if err != nil {
			return
		}
		assert.Equal(t, r.version, uint64(3))
		data, err := r.encode()
		assert.NilError(t, err)
		again, err := decodeRow(platform.Row{Key: "op/a/b", Version: 3, Value: data})
		assert.NilError(t, err)
		written, err := again.encode()
		assert.NilError(t, err)
		assert.Equal(t, string(written), string(data))
	})
}
