package errkind

import (
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

func TestEveryKindHasAnErrorStatus(t *testing.T) {
	for _, k := range Kinds() {
		assert.Assert(t, k.Status() >= 400 && k.Status() < 600, "%s", k)
	}
}

func TestFromFindsWrappedKinds(t *testing.T) {
	err := errors.Wrap(New(OverRate, "wait"), "limit")
	assert.Equal(t, From(err).Kind, OverRate)
	assert.Equal(t, From(err).Execution, NotRun)
	plain := From(errors.New("disk"))
	assert.Equal(t, plain.Kind, Internal)
	assert.Equal(t, plain.Execution, Unknown)
}
