package timeline

import (
	"html/template"
	"io"
	"slices"
	"time"
)

// HTML writes a self-contained page with one column per process and time running downwards.
func (l *Timeline) HTML(w io.Writer) error {
	return pageTemplate.Execute(w, l.view())
}

type pageView struct {
	Processes []string
	Rows      []rowView
	Losses    []lossView
}

type rowView struct {
	At     string
	Gap    string // time since the previous row
	Column int    // counted from 1; column 1 holds the time
	Kind   string
	Text   string
}

type lossView struct{ Process, Text string }

func (l *Timeline) view() pageView {
	v := pageView{Processes: l.processes()}
	var last int64
	for i, e := range l.Events {
		row := rowView{
			At:     time.Unix(0, e.At.Wall).UTC().Format("15:04:05.000000"),
			Column: slices.Index(v.Processes, e.Process) + 2,
			Kind:   e.Kind,
			Text:   formatFields(e),
		}
		if i > 0 {
			row.Gap = "+" + time.Duration(e.At.Wall-last).Round(time.Microsecond).String()
		}
		last = e.At.Wall
		v.Rows = append(v.Rows, row)
	}
	for _, loss := range l.Losses {
		v.Losses = append(v.Losses, lossView{loss.Process, loss.describe()})
	}
	return v
}

func (l *Timeline) processes() []string {
	var names []string
	for _, e := range l.Events {
		names = append(names, e.Process)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// Columns returns the number of process columns; the template calls it.
func (v pageView) Columns() int { return len(v.Processes) }

var pageTemplate = template.Must(template.New("timeline").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>time line</title>
<style>
body { font: 13px/1.4 system-ui, sans-serif; margin: 1em; }
.grid { display: grid; grid-template-columns: 13em repeat({{.Columns}}, minmax(9em, 1fr)); gap: 1px 4px; }
.head { font-weight: 600; position: sticky; top: 0; background: #fff; border-bottom: 1px solid #888; }
.at { grid-column: 1; color: #555; font-variant-numeric: tabular-nums; }
.event { background: #eef3fa; border-left: 3px solid #4a78b5; padding: 0 4px; overflow-wrap: anywhere; }
.lost { color: #a40000; }
</style></head><body>
<h1>Time line</h1>
{{range .Losses}}<p class="lost">lost: {{.Process}}: {{.Text}}</p>{{end}}
<div class="grid"><div class="head">time (UTC)</div>{{range .Processes}}<div class="head">{{.}}</div>{{end}}
{{range .Rows}}<div class="at">{{.At}} {{.Gap}}</div><div class="event" style="grid-column: {{.Column}}"><b>{{.Kind}}</b> {{.Text}}</div>
{{end}}</div></body></html>
`))
