// Command caraway-ctl is the operators' command-line tool.
package main

import (
	"os"

	"carawayrouter.example/router/internal/cli"
	"carawayrouter.example/router/internal/ctl"
)

const program = "caraway-ctl"

type args struct {
	ctl.Args
}

// Version implements go-arg's Versioned.
func (args) Version() string { return cli.Version(program) }

func main() {
	var a args
	cli.Parse(program, &a)
	ctx, _ := cli.Signals()
	err := ctl.Run(ctx, a.Args, os.Stdout)
	switch {
	case err == nil:
	case ctl.IsUsage(err):
		cli.Exit(program, cli.ExitUsage, err)
	default:
		cli.Exit(program, cli.ExitFailed, err)
	}
}
