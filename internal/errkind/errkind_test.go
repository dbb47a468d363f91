package errkind

import (
	"fmt"
	"os"
	"strings"
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

func TestDocsListEveryKind(t *testing.T) {
	page, err := os.ReadFile("../../docs/errors.md")
	assert.NilError(t, err)
	for _, k := range Kinds() {
		retryable := "no"
		if k.Retryable() {
			retryable = "yes"
		}
		tableRow := fmt.Sprintf("| `%s` | %d | %s |", k, k.Status(), retryable)
		assert.Assert(t, strings.Contains(string(page), tableRow), "docs/errors.md lacks %s", tableRow)
	}
	assert.Equal(t, strings.Count(string(page), "| `"), len(Kinds()))
}
