package metrics

import (
	"expvar"
	"os"
	"regexp"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

// TestDocsListEveryMetric checks that the operators' page lists exactly the published
// metrics.
func TestDocsListEveryMetric(t *testing.T) {
	page, err := os.ReadFile("../../docs/operators/errors-and-metrics.md")
	assert.NilError(t, err)
	var listed []string
	for _, row := range regexp.MustCompile("(?m)^\\| `([a-z_]+_(?:total|running))` \\|").FindAllSubmatch(page, -1) {
		listed = append(listed, string(row[1]))
	}
	var published []string
	New().Map().Do(func(kv expvar.KeyValue) { published = append(published, kv.Key) })
	slices.Sort(listed)
	slices.Sort(published)
	assert.DeepEqual(t, listed, published)
}
