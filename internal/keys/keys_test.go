package keys

import (
	"bytes"
	"crypto/rand"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"carawayrouter.example/router/internal/config"
)

func TestGenerate(t *testing.T) {
	key, hash, err := Generate(rand.Reader)
	assert.NilError(t, err)
	assert.Equal(t, len(key), len("cwy_")+32)
	assert.Equal(t, hash, config.HashKey(key))
	other, _, err := Generate(rand.Reader)
	assert.NilError(t, err)
	assert.Assert(t, key != other)
	_, _, err = Generate(bytes.NewReader(make([]byte, 23)))
	assert.ErrorContains(t, err, "read randomness")
}

func TestBearer(t *testing.T) {
	for _, c := range []struct {
		header, want string
		ok           bool
	}{
		{"Bearer abc", "abc", true},
		{"bearer  abc", "abc", true},
		{"Basic abc", "", false},
		{"Bearer", "", false},
		{"Bearer ", "", false},
		{"Bearer a b", "", false},
		{"abc", "", false},
		{"Bearer " + strings.Repeat("x", 513), "", false},
	} {
		got, ok := Bearer(c.header)
		assert.Equal(t, got, c.want, c.header)
		assert.Equal(t, ok, c.ok, c.header)
	}
}
