// Command caraway-standin runs one stand-in: the platform services, a model engine
// or a plain service.
package main

import (
	"fmt"
	"net"

	"github.com/cockroachdb/errors"

	"carawayrouter.example/router/internal/cli"
	"carawayrouter.example/router/internal/standin/process"
)

const program = "caraway-standin"

type args struct {
	Platform *cli.Common `arg:"subcommand:platform" help:"table service, object store and instance list"`
	Engine   *cli.Common `arg:"subcommand:engine" help:"model engine"`
	Service  *cli.Common `arg:"subcommand:service" help:"plain service"`
}

// Version implements go-arg's Versioned.
func (args) Version() string { return cli.Version(program) }

func main() {
	var a args
	cli.Parse(program, &a)
	switch {
	case a.Platform != nil:
		run(a.Platform, process.Platform)
	case a.Engine != nil:
		run(a.Engine, process.Engine)
	case a.Service != nil:
		run(a.Service, process.Service)
	default:
		cli.Exit(program, cli.ExitUsage, errors.New("one of platform, engine, service is required"))
	}
}

// run serves the stand-in that the settings file describes until a signal arrives.
func run(c *cli.Common, prepare func(file string) (*process.Standin, error)) {
	if c.Settings == "" {
		cli.Exit(program, cli.ExitUsage, errors.New("--settings FILE is required"))
	}
	s, err := prepare(c.Settings)
	if err != nil {
		cli.Exit(program, cli.ExitUsage, err)
	}
	if c.Check {
		fmt.Printf("%s: settings are valid\n", c.Settings)
		return
	}
	ln, err := s.Listen()
	if err != nil {
		cli.Exit(program, cli.ExitUsage, fmt.Errorf("%s: %w", c.Settings, err))
	}
	first, _ := cli.Signals()
	go func() {
		<-first.Done()
		_ = s.Close()
	}()
	fmt.Printf("serving on %s\n", ln.Addr())
	if err := s.Serve(ln); err != nil && !errors.Is(err, net.ErrClosed) && first.Err() == nil {
		cli.Exit(program, cli.ExitFailed, err)
	}
}
