// Package cli holds what the command-line programs share: arguments, versions, exit
// codes and signals.
package cli

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alexflint/go-arg"
	"github.com/cockroachdb/errors"
)

// The exit codes of all programs.
const (
	ExitOK     = 0
	ExitFailed = 1 // the work was tried and failed
	ExitUsage  = 2 // arguments or settings are wrong; nothing was tried
)

// Common are the arguments of every daemon.
type Common struct {
	Settings string `arg:"--settings" placeholder:"FILE" help:"settings file (INI)"`
	Check    bool   `arg:"--check" help:"check the settings and exit"`
}

// Version returns the version that the program was built from.
func Version(program string) string {
	version := "devel"
	if info, ok := debug.ReadBuildInfo(); ok && info.Main.Version != "" && info.Main.Version != "(devel)" {
		version = info.Main.Version
	}
	return program + " " + version
}

// Parse reads the command line into dest. It exits for --help, --version and for
// arguments that are wrong.
func Parse(program string, dest any) {
	p, err := arg.NewParser(arg.Config{Program: program}, dest)
	if err != nil {
		Exit(program, ExitUsage, err)
	}
	switch err := p.Parse(os.Args[1:]); {
	case errors.Is(err, arg.ErrHelp):
		_ = p.WriteHelpForSubcommand(os.Stdout, p.SubcommandNames()...)
		os.Exit(ExitOK)
	case errors.Is(err, arg.ErrVersion):
		fmt.Println(Version(program))
		os.Exit(ExitOK)
	case err != nil:
		Exit(program, ExitUsage, err)
	}
}

// Exit prints err on one line and ends the process.
func Exit(program string, code int, err error) {
	fmt.Fprintf(os.Stderr, "%s: %v\n", program, err)
	os.Exit(code)
}

// Signals returns two contexts: the first ends with the first interrupt or
// termination signal, the second with the second one.
func Signals() (first, second context.Context) {
	first, endFirst := context.WithCancel(context.Background())
	second, endSecond := context.WithCancel(context.Background())
	ch := make(chan os.Signal, 2)
	signal.Notify(ch, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-ch
		endFirst()
		<-ch
		endSecond()
	}()
	return first, second
}
