// Command caraway-load generates load, runs experiments and reports their results.
package main

import (
	"context"
	"encoding/json"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"carawayrouter.example/router/internal/cli"
	"carawayrouter.example/router/internal/load/overhead"
)

const program = "caraway-load"

type overheadArgs struct {
	Entry    string        `arg:"--entry,required" placeholder:"URL" help:"base URL of the entry instance"`
	Key      string        `arg:"--key,required" help:"API key of a client account"`
	Model    string        `arg:"--model,required"`
	Prefill  string        `arg:"--prefill,required" placeholder:"ADDR" help:"address of the prefill engine"`
	Decode   string        `arg:"--decode,required" placeholder:"ADDR" help:"address of the decode engine"`
	Rate     float64       `arg:"--rate" default:"500" help:"requests per second, for direct and routed requests each"`
	Duration time.Duration `arg:"--duration" default:"10s"`
	Streams  int           `arg:"--streams" default:"20" help:"concurrent streams in the throughput measurement"`
	Tokens   int           `arg:"--tokens" default:"5000" help:"tokens per stream"`
	PID      int           `arg:"--pid" help:"process ID of the entry instance, to measure its CPU time"`
}

type args struct {
	Run      *runArgs      `arg:"subcommand:run" help:"run a workload against a deployment and evaluate the results"`
	Report   *reportArgs   `arg:"subcommand:report" help:"render saved runs as one HTML page"`
	Slopes   *slopesArgs   `arg:"subcommand:slopes" help:"measure control-plane overhead at several fleet sizes"`
	Overhead *overheadArgs `arg:"subcommand:overhead" help:"measure the overhead of one instance compared with direct engine calls"`
}

// Version implements go-arg's Versioned.
func (args) Version() string { return cli.Version(program) }

func main() {
	var a args
	cli.Parse(program, &a)
	first, _ := cli.Signals()
	var err error
	switch {
	case a.Run != nil:
		err = run(first, a.Run)
	case a.Report != nil:
		err = runReport(a.Report)
	case a.Slopes != nil:
		err = runSlopes(first, a.Slopes)
	case a.Overhead != nil:
		err = runOverhead(first, a.Overhead)
	default:
		err = &usageError{errors.New("a subcommand is required")}
	}
	var usage *usageError
	if errors.As(err, &usage) {
		cli.Exit(program, cli.ExitUsage, err)
	}
	if err != nil {
		cli.Exit(program, cli.ExitFailed, err)
	}
}

// usageError reports invalid arguments, found before any work started.
type usageError struct{ error }

func runOverhead(ctx context.Context, a *overheadArgs) error {
	r, err := overhead.Run(ctx, overhead.Options(*a))
	if err != nil {
		return err
	}
	out := json.NewEncoder(os.Stdout)
	out.SetIndent("", "  ")
	return out.Encode(r)
}
