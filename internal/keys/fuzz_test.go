package keys

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// FuzzBearer checks that an accepted credential is one word of the header of bounded
// length, and that it is accepted again in the canonical form.
func FuzzBearer(f *testing.F) {
	for _, s := range []string{
		"", " ", "Bearer", "Bearer ", "Bearer abc", "bearer   abc", "BEARER abc ", "Bearer a\tb", "Bearer a\r\nX: y",
		"Basic abc", " Bearer abc", "Bearer \xff\x00", "Bearer " + strings.Repeat("x", maxBearer), "Bearer " + strings.Repeat("x", maxBearer+1),
	} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, header string) {
		credential, ok := Bearer(header)
		if !ok {
			assert.Equal(t, credential, "")
			return
		}
		assert.Assert(t, credential != "" && len(credential) <= maxBearer)
		assert.Assert(t, strings.HasSuffix(header, " "+credential))
		assert.Assert(t, !strings.ContainsAny(credential, " \t\r\n"))
		again, ok := Bearer("Bearer " + credential)
		assert.Assert(t, ok)
		assert.Equal(t, again, credential)
	})
}
