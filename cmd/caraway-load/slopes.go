package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"carawayrouter.example/router/internal/load/slopes"
)

type slopesArgs struct {
	Vary      string        `arg:"--vary" default:"instances,accounts,endpoints,tickets" placeholder:"NAME[,NAME...]" help:"quantities to vary, one series each"`
	Instances int           `arg:"--instances" default:"8" help:"number of entry instances in the other series; must be even"`
	Duration  time.Duration `arg:"--duration" default:"8s" help:"measurement time per point"`
	Settle    time.Duration `arg:"--settle" default:"4s" help:"settling time before each point"`
	Seed      uint64        `arg:"--seed" default:"1"`
	JSON      string        `arg:"--json" placeholder:"FILE" help:"write the results to this file"`
}

// runSlopes measures each series, then prints and saves the results.
func runSlopes(ctx context.Context, a *slopesArgs) error {
	o := slopes.Options{Instances: a.Instances, Duration: a.Duration, Settle: a.Settle, Seed: a.Seed, Progress: progressWriter()}
	for _, name := range strings.Split(a.Vary, ",") {
		q := slopes.Quantity(name)
		if !slopes.IsKnown(q) {
			return &usageError{errors.Newf("--vary: %q is unknown; known: %v", name, slopes.Quantities)}
		}
		o.Quantities = append(o.Quantities, q)
	}
	if a.Duration <= 0 || a.Settle <= 0 {
		return &usageError{errors.New("--duration and --settle must be positive")}
	}
	all, err := slopes.Run(ctx, o)
	if err != nil {
		return err
	}
	printSlopes(os.Stdout, all)
	return saveJSON(a.JSON, all)
}

// printSlopes writes one table per series.
func printSlopes(w io.Writer, all []slopes.Series) {
	for _, s := range all {
		t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
		fmt.Fprintf(t, "%s\tinstances\tCPU %% of a core\theap KB\tbytes out/s\tbytes in/s\tmessages/s\tstore reads/s\tstore writes/s\t\n", s.Quantity)
		for i := range s.Points {
			p := &s.Points[i]
			fmt.Fprintf(t, "%g\t%d\t", p.Size, p.Instances)
			printCosts(t, p.Costs())
		}
		var slope, intercept []float64
		for _, l := range s.Lines {
			slope = append(slope, l.Slope)
			intercept = append(intercept, l.Intercept)
		}
		fmt.Fprint(t, "intercept\t\t")
		printCosts(t, intercept)
		fmt.Fprint(t, "slope\t\t")
		printCosts(t, slope)
		_ = t.Flush()
		fmt.Fprintln(w)
	}
	fmt.Fprintln(w, "CPU time, heap, bytes and messages are per instance; store reads and writes are for the whole fleet.")
}

func printCosts(w io.Writer, c []float64) {
	fmt.Fprintf(w, "%.4f\t%.2f\t%.2f\t%.2f\t%.3f\t%.3f\t%.3f\t\n", 100*c[0], c[1]/1024, c[2], c[3], c[4], c[5], c[6])
}
