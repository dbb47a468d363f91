package gateway

import (
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// sourceMatches returns the first submatch of every match of the patterns in the sources of
// this package.
func sourceMatches(t *testing.T, patterns ...string) []string {
	t.Helper()
	files, err := filepath.Glob("*.go")
	assert.NilError(t, err)
	var out []string
	for _, f := range files {
		if strings.HasSuffix(f, "_test.go") {
			continue
		}
		b, err := os.ReadFile(f)
		assert.NilError(t, err)
		for _, p := range patterns {
			for _, m := range regexp.MustCompile(p).FindAllStringSubmatch(string(b), -1) {
				out = append(out, m[1])
			}
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// Every log line and every metric is on the operations page, and the page lists no metric that
// does not exist.
func TestOperationsPageIsComplete(t *testing.T) {
	b, err := os.ReadFile("../../docs/OPERATIONS.md")
	assert.NilError(t, err)
	page := string(b)
	lines := sourceMatches(t, `(?:Info|Error)\((?:err, )?"([a-z]+\.[a-z_]+)"`)
	for _, d := range sourceMatches(t, `decision\("([a-z_]+)"`) {
		lines = append(lines, "request."+d)
	}
	for _, l := range lines {
		assert.Assert(t, strings.Contains(page, "`"+l+"`"), "log line %s", l)
	}
	metrics := sourceMatches(t, "[\"`](caraway_[a-z_]+)")
	for _, m := range metrics {
		assert.Assert(t, strings.Contains(page, m), "metric %s", m)
	}
	for _, m := range regexp.MustCompile("`(caraway_[a-z_]+)").FindAllStringSubmatch(page, -1) {
		assert.Assert(t, slices.Contains(metrics, m[1]), "metric %s is not in the code", m[1])
	}
}
