package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"carawayrouter.example/router/internal/fleet"
	"carawayrouter.example/router/internal/load/experiment"
	"carawayrouter.example/router/internal/load/fault"
	"carawayrouter.example/router/internal/load/workload"
	"carawayrouter.example/router/internal/timeline"
)

type runArgs struct {
	Deployment string        `arg:"--deployment,required" placeholder:"NAME" help:"dohoku or sierra-norte"`
	Load       float64       `arg:"--load" default:"0.95" placeholder:"FACTOR" help:"offered load as a multiple of the deployment's capacity"`
	Duration   time.Duration `arg:"--duration" default:"20s" help:"length of the measurement window"`
	Warmup     time.Duration `arg:"--warmup" default:"4s" help:"arrivals before the measurement window starts"`
	Drain      time.Duration `arg:"--drain" default:"40s" help:"maximum wait for outstanding responses"`
	Seed       uint64        `arg:"--seed" default:"1" help:"seed for arrivals and random choices"`
	Policy     string        `arg:"--policy" default:"caraway" placeholder:"NAME[,NAME...]" help:"policies to compare under the same arrivals"`
	Faults     string        `arg:"--faults" placeholder:"FILE.ini" help:"fault script"`
	Flood      []string      `arg:"--flood,separate" placeholder:"ACCOUNT=FACTOR" help:"multiply a client account's arrival rate"`
	JSON       string        `arg:"--json" placeholder:"FILE" help:"write the results to this file"`
	Events     string        `arg:"--events" placeholder:"FILE" help:"write the merged timeline of all instances to FILE.POLICY"`
}

// options converts the arguments to experiment options.
func (a *runArgs) options() (experiment.Options, error) {
	o := experiment.Options{
		Load: a.Load, Duration: a.Duration, Warmup: a.Warmup, Drain: a.Drain, Seed: a.Seed,
		Policies: strings.Split(a.Policy, ","), Floods: map[string]float64{},
		Mix: workload.DefaultMix(), Log: logr.Discard(),
	}
	var err error
	if o.Deployment, err = fleet.FindDeployment(a.Deployment); err != nil {
		return o, err
	}
	if a.Load <= 0 || a.Duration <= 0 || a.Warmup < 0 || a.Drain <= 0 {
		return o, errors.New("--load, --duration and --drain must be positive, --warmup must not be negative")
	}
	for _, text := range a.Flood {
		account, factor, err := fault.ParseFlood(text)
		if err != nil {
			return o, err
		}
		o.Floods[account] = factor
	}
	if a.Faults != "" {
		if o.Faults, err = fault.Load(a.Faults); err != nil {
			return o, err
		}
	}
	return o, o.Check()
}

// run runs an experiment, then prints and saves its results.
func run(ctx context.Context, a *runArgs) error {
	o, err := a.options()
	if err != nil {
		return &usageError{err}
	}
	o.Progress = progressWriter()
	if a.Events != "" {
		o.SaveEvents = a.saveEvents
	}
	report, err := experiment.Run(ctx, o)
	if err != nil {
		return err
	}
	printReport(os.Stdout, report)
	if err := saveJSON(a.JSON, report); err != nil {
		return err
	}
	if report.Violated() {
		return errors.New("a guarantee was violated")
	}
	return nil
}

// saveEvents writes the timeline of one policy's run.
func (a *runArgs) saveEvents(policy string, line *timeline.Timeline) error {
	f, err := os.Create(a.Events + "." + policy)
	if err != nil {
		return errors.Wrap(err, "--events")
	}
	return errors.Wrap(errors.CombineErrors(line.Text(f), f.Close()), "--events")
}

// printReport writes a table with one column per policy, followed by details.
func printReport(w io.Writer, r *experiment.Report) {
	fmt.Fprintf(w, "%s, load %g, %g s, seed %d; capacity %.1f requests/s (prefill %.1f, decode %.1f, link %.1f)\n",
		r.Deployment, r.Load, r.Duration, r.Seed, r.Capacity.Requests, r.Capacity.Prefill, r.Capacity.Decode, r.Capacity.Link)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "\t%s\n", strings.Join(r.Order, "\t"))
	for _, row := range resultRows {
		fmt.Fprint(t, row.name)
		for _, name := range r.Order {
			fmt.Fprint(t, "\t", row.value(r.Policies[name]))
		}
		fmt.Fprintln(t)
	}
	_ = t.Flush()
	for _, name := range r.Order {
		p := r.Policies[name]
		fmt.Fprintf(w, "%s: missed %v; refused %v; wrongful %v\n", name, p.MissedByReason, p.RefusalsByKind, p.WrongfulByKind)
		for _, a := range p.Accounts {
			fmt.Fprintf(w, "  %s: %d requests, %d in rate, %d good (%.3f), wrongful %d, excess %.0f tokens\n",
				a.Account, a.Requests, a.InRate, a.Good, a.Fraction, a.WrongfulRefusals, a.ExcessTokens)
		}
		for _, b := range p.Violated {
			fmt.Fprintf(w, "  VIOLATED %s\n", b)
		}
		for _, n := range append(p.Violations, p.RequestFailures...) {
			fmt.Fprintf(w, "    %s\n", n)
		}
	}
}

func formatNumber(x float64) string { return strconv.FormatFloat(x, 'f', 3, 64) }

// progressWriter returns standard error if it is a terminal, otherwise nil.
func progressWriter() io.Writer {
	if info, err := os.Stderr.Stat(); err == nil && info.Mode()&os.ModeCharDevice != 0 {
		return os.Stderr
	}
	return nil
}

// saveJSON writes v to a file as JSON. It does nothing if the file name is empty.
func saveJSON(file string, v any) error {
	if file == "" {
		return nil
	}
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	return errors.Wrap(os.WriteFile(file, append(data, '\n'), 0o644), "--json")
}
