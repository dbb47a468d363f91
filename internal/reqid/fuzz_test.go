package reqid

import (
	"testing"

	"gotest.tools/v3/assert"
)

// FuzzParse checks that an accepted identifier is unchanged by formatting and parsing it
// again.
func FuzzParse(f *testing.F) {
	for _, s := range []string{
		"", ".", "..", "east-1.3.17", ".3.17", "east-1.3", "east-1.3.17.9", "east-1.-3.17",
		"east-1.3.18446744073709551616", "east-1.03.+17", "east-1. 3.17", "\x00.0.0", "\xff.1.1",
	} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, s string) {
		id, err := Parse(s)
		if err != nil {
			assert.Equal(t, id, ID{})
			return
		}
		assert.Assert(t, id.Instance != "")
		reparsed, err := Parse(id.String())
		assert.NilError(t, err)
		assert.Equal(t, reparsed, id)
	})
}
