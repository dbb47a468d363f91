// Package report renders saved experiment results as a self-contained HTML page that
// compares runs and policies.
package report

import (
	"bytes"
	"cmp"
	"fmt"
	"html/template"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"carawayrouter.example/router/internal/load/experiment"
	"carawayrouter.example/router/internal/load/observe"
)

// Size of each plot.
const (
	plotWidth  = 14 * vg.Centimeter
	plotHeight = 8 * vg.Centimeter
)

// page is the template's data.
type page struct {
	Comparisons []comparison
	Runs        []runView
}

// comparison holds one deployment's plots of metrics over load.
type comparison struct {
	Deployment string
	Plots      []template.HTML
}

// runView is the page's data for one run.
type runView struct {
	Title    string
	Capacity string
	Policies []string
	Rows     []tableRow
	Accounts []accountRow
	Plots    []template.HTML
	Notes    []string
}

type tableRow struct {
	Name   string
	Values []string
}

type accountRow struct {
	Policy string
	observe.AccountResult
}

// Render writes the HTML page to w.
func Render(w io.Writer, runs []*experiment.Report) error {
	var p page
	runs = mergeRuns(runs)
	for _, r := range runs {
		v, err := newRunView(r)
		if err != nil {
			return err
		}
		p.Runs = append(p.Runs, v)
	}
	var err error
	if p.Comparisons, err = compare(runs); err != nil {
		return err
	}
	return errors.Wrap(pageTemplate.Execute(w, p), "report")
}

// mergeRuns merges runs that differ only in their policies.
func mergeRuns(runs []*experiment.Report) []*experiment.Report {
	var merged []*experiment.Report
	byTitle := map[string]*experiment.Report{}
	for _, r := range runs {
		first := byTitle[runTitle(r)]
		if first == nil {
			c := *r
			c.Order, c.Policies = slices.Clone(r.Order), maps.Clone(r.Policies)
			byTitle[runTitle(r)] = &c
			merged = append(merged, &c)
			continue
		}
		for _, name := range r.Order {
			if first.Policies[name] == nil {
				first.Order = append(first.Order, name)
				first.Policies[name] = r.Policies[name]
			}
		}
	}
	return merged
}

func runTitle(r *experiment.Report) string {
	t := fmt.Sprintf("%s, load %g, %g s, seed %d", r.Deployment, r.Load, r.Duration, r.Seed)
	if r.Faults != "" {
		t += ", faults " + r.Faults[strings.LastIndexByte(r.Faults, '/')+1:]
	}
	return t
}

// newRunView builds the view of one run.
func newRunView(r *experiment.Report) (runView, error) {
	v := runView{
		Title:    runTitle(r),
		Capacity: fmt.Sprintf("%.1f requests/s (prefill %.1f, decode %.1f, link %.1f)", r.Capacity.Requests, r.Capacity.Prefill, r.Capacity.Decode, r.Capacity.Link),
		Policies: r.Order,
	}
	for _, m := range metrics {
		row := tableRow{Name: m.name}
		for _, name := range r.Order {
			row.Values = append(row.Values, strconv.FormatFloat(m.value(r.Policies[name]), 'g', 4, 64))
		}
		v.Rows = append(v.Rows, row)
	}
	for _, name := range r.Order {
		p := r.Policies[name]
		for _, a := range p.Accounts {
			v.Accounts = append(v.Accounts, accountRow{name, a})
		}
		for _, n := range append(p.Violated, p.Violations...) {
			v.Notes = append(v.Notes, name+": "+n)
		}
	}
	for _, l := range latencies {
		svg, err := plotDistribution(r, l)
		if err != nil {
			return v, err
		}
		v.Plots = append(v.Plots, svg)
	}
	return v, nil
}

// latency is a latency distribution that is plotted for each run.
type latency struct {
	title  string
	points func(*observe.Result) []observe.Point
}

var latencies = []latency{
	{"time to first token", func(r *observe.Result) []observe.Point { return r.TTFT }},
	{"time between tokens", func(r *observe.Result) []observe.Point { return r.ITL }},
}

// maxPlottedQuantile is the highest plotted quantile. The slowest requests above it
// would flatten the rest of the curve.
const maxPlottedQuantile = 0.995

// plotDistribution plots a latency by quantile, with one line per policy.
func plotDistribution(r *experiment.Report, l latency) (template.HTML, error) {
	lines := map[string]plotter.XYs{}
	for _, name := range r.Order {
		for _, p := range l.points(r.Policies[name]) {
			if p.Quantile <= maxPlottedQuantile {
				lines[name] = append(lines[name], plotter.XY{X: 100 * p.Quantile, Y: 1000 * p.Seconds})
			}
		}
	}
	return renderPlot(l.title, "percentile", "ms", r.Order, lines)
}

// metric is a named value of a result.
type metric struct {
	name  string
	value func(*observe.Result) float64
}

var metrics = []metric{
	{"requests", func(r *observe.Result) float64 { return float64(r.Requests) }},
	{"goodput_fraction", func(r *observe.Result) float64 { return r.GoodputFraction }},
	{"goodput_of_capacity", func(r *observe.Result) float64 { return r.GoodputOfCapacity }},
	{"wasted_prefill_fraction", func(r *observe.Result) float64 { return r.WastedPrefill }},
	{"worst_account_fraction", func(r *observe.Result) float64 { return r.WorstAccount }},
	{"wrongful_refusals", func(r *observe.Result) float64 { return float64(r.WrongfulRefusals) }},
	{"ttft_p95_seconds", func(r *observe.Result) float64 { return r.TTFTP95 }},
	{"itl_p95_seconds", func(r *observe.Result) float64 { return r.ITLP95 }},
	{"ticket_in_force_max_seconds", func(r *observe.Result) float64 { return r.TicketInForceSeconds }},
	{"excess_tokens", func(r *observe.Result) float64 { return r.ExcessTokens }},
	{"duplicate_answers", func(r *observe.Result) float64 { return float64(r.DuplicateAnswers) }},
	{"incomplete_answers", func(r *observe.Result) float64 { return float64(r.IncompleteAnswers) }},
	{"cut_requests", func(r *observe.Result) float64 { return float64(r.CutRequests) }},
	{"false_not_run", func(r *observe.Result) float64 { return float64(r.FalseNotRun) }},
	{"operations_run_twice", func(r *observe.Result) float64 { return float64(r.OperationsRunTwice) }},
	{"key_leaks", func(r *observe.Result) float64 { return float64(r.KeyLeaks) }},
	{"held_after_drain", func(r *observe.Result) float64 { return float64(r.HeldAfterDrain) }},
	{"late_new_work", func(r *observe.Result) float64 { return float64(r.LateNewWork) }},
}

// comparedMetrics lists the metrics that are plotted over load.
var comparedMetrics = []string{"goodput_of_capacity", "worst_account_fraction", "wasted_prefill_fraction", "wrongful_refusals"}

// compare plots each deployment's runs without faults over their load.
func compare(runs []*experiment.Report) ([]comparison, error) {
	byDeployment := map[string][]*experiment.Report{}
	var order []string
	for _, r := range runs {
		if r.Faults != "" {
			continue
		}
		if byDeployment[r.Deployment] == nil {
			order = append(order, r.Deployment)
		}
		byDeployment[r.Deployment] = append(byDeployment[r.Deployment], r)
	}
	var list []comparison
	for _, name := range order {
		c := comparison{Deployment: name}
		for _, m := range metrics {
			if !slices.Contains(comparedMetrics, m.name) {
				continue
			}
			svg, err := plotOverLoad(byDeployment[name], m)
			if err != nil {
				return nil, err
			}
			c.Plots = append(c.Plots, svg)
		}
		list = append(list, c)
	}
	return list, nil
}

func plotOverLoad(runs []*experiment.Report, m metric) (template.HTML, error) {
	runs = slices.Clone(runs)
	slices.SortStableFunc(runs, func(a, b *experiment.Report) int { return cmp.Compare(a.Load, b.Load) })
	lines := map[string]plotter.XYs{}
	var order []string
	for _, r := range runs {
		for _, name := range r.Order {
			if lines[name] == nil {
				order = append(order, name)
			}
			lines[name] = append(lines[name], plotter.XY{X: r.Load, Y: m.value(r.Policies[name])})
		}
	}
	return renderPlot(m.name, "load", "", order, lines)
}

// renderPlot returns an SVG plot with one line per name.
func renderPlot(title, x, y string, order []string, lines map[string]plotter.XYs) (template.HTML, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, x, y
	p.Legend.Top = true
	p.Legend.Left = true
	p.Y.Min = 0
	p.Add(plotter.NewGrid())
	for i, name := range order {
		if len(lines[name]) == 0 {
			continue
		}
		line, dots, err := plotter.NewLinePoints(lines[name])
		if err != nil {
			return "", errors.Wrapf(err, "plot %s", title)
		}
		line.Color, dots.Color = plotutil.Color(i), plotutil.Color(i)
		dots.Radius = vg.Points(1.5)
		p.Add(line, dots)
		p.Legend.Add(name, line, dots)
	}
	c := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(c))
	var b bytes.Buffer
	if _, err := c.WriteTo(&b); err != nil {
		return "", errors.Wrapf(err, "plot %s", title)
	}
	svg := b.String()
	return template.HTML(svg[max(0, strings.Index(svg, "<svg")):]), nil
}
