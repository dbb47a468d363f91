package report

import (
	"bytes"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"carawayrouter.example/router/internal/load/experiment"
	"carawayrouter.example/router/internal/load/observe"
)

func TestPageComparesRunsAndIsSelfContained(t *testing.T) {
	result := func(good float64) *observe.Result {
		return &observe.Result{
			GoodputFraction: good, Violated: []string{"late_new_work = 1"}, Violations: observe.Messages{"late <work>"},
			TTFT:     []observe.Point{{Quantile: 0, Seconds: 0.1}, {Quantile: 0.95, Seconds: 0.4}},
			Accounts: []observe.AccountResult{{Account: "doto-press"}},
		}
	}
	run := func(load float64) *experiment.Report {
		return &experiment.Report{
			Deployment: "dohoku", Load: load, Order: []string{"caraway", "round-robin"},
			Policies: map[string]*observe.Result{"caraway": result(0.875), "round-robin": result(0.5)},
		}
	}
	var b bytes.Buffer
	other := run(1.3) // the same run with another policy
	other.Order, other.Policies = []string{"least-loaded"}, map[string]*observe.Result{"least-loaded": result(0.25)}
	assert.NilError(t, Render(&b, []*experiment.Report{run(0.7), run(1.3), other}))
	html := b.String()
	for _, want := range []string{"dohoku over the load", "dohoku, load 1.3", "0.875", "round-robin", "<th>least-loaded</th>", "doto-press", "late &lt;work&gt;"} {
		assert.Assert(t, strings.Contains(html, want), "%s is missing", want)
	}
	assert.Equal(t, strings.Count(html, "<svg"), 4+2*2)
	for _, outside := range []string{"<script src", "<link", "<img"} {
		assert.Assert(t, !strings.Contains(html, outside), outside)
	}
}
