// Command caraway-dev runs a complete deployment in one process on loopback and sends
// one streamed completion and one non-idempotent call through it.
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"carawayrouter.example/router/internal/cli"
	"carawayrouter.example/router/internal/fleet"
	"carawayrouter.example/router/internal/logging"
)

const (
	program        = "caraway-dev"
	startTimeout   = 30 * time.Second
	requestTimeout = 30 * time.Second
)

type args struct {
	Deployment string `arg:"--deployment" default:"dohoku" placeholder:"NAME" help:"dohoku or sierra-norte"`
	Once       bool   `arg:"--once" help:"exit after the two requests, with status 0 only if both responses were correct"`
	Seed       uint64 `arg:"--seed" default:"1" help:"seed for keys and random choices"`
	Verbose    bool   `arg:"--verbose" help:"write the daemons' logs to standard error"`
}

// Version implements go-arg's Versioned.
func (args) Version() string { return cli.Version(program) }

func main() {
	var a args
	cli.Parse(program, &a)
	d, err := fleet.FindDeployment(a.Deployment)
	if err != nil {
		cli.Exit(program, cli.ExitUsage, err)
	}
	first, _ := cli.Signals()
	if err := run(first, d, a); err != nil {
		cli.Exit(program, cli.ExitFailed, err)
	}
}

// run starts the deployment, sends the two requests and, without --once, waits for a signal.
func run(ctx context.Context, d fleet.Deployment, a args) error {
	log := logr.Discard()
	if a.Verbose {
		log = logging.New(os.Stderr, program, 0)
	}
	f, err := fleet.Start(d, fleet.Options{Seed: a.Seed, Log: log})
	if err != nil {
		return err
	}
	defer f.Close()
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	number, err := f.Bootstrap(startCtx)
	if err != nil {
		return errors.Wrap(err, "first ticket")
	}
	fmt.Printf("%s: %d entry instances, %d engines, %d services\n", d.Name, len(f.Entries), len(f.Engines), len(f.Services))
	fmt.Printf("ticket %d is in force on every entry instance\n", number)
	requestCtx, cancelRequests := context.WithTimeout(ctx, requestTimeout)
	defer cancelRequests()
	err = errors.Join(demoCompletion(requestCtx, f), demoOperation(requestCtx, f))
	if a.Once || err != nil {
		return err
	}
	fmt.Println("\nrunning until interrupted")
	<-ctx.Done()
	return nil
}
