// Package cli contains code shared by the command-line programs: arguments, versions,
// exit codes and signals.
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
	ExitFailed = 1 // the operation failed
	ExitUsage  = 2 // invalid arguments or settings; nothing was attempted
)

// Common holds the arguments that every daemon accepts.
type Common struct {
	Settings string `arg:"--settings" placeholder:"FILE" help:"settings file (INI)"`
	Check    bool   `arg:"--check" help:"check the settings and exit"`
}

// Version returns the program name and the module version it was built from.
func Version(program string) string {
	version := "devel"
	if info, ok := debug.ReadBuildInfo(); ok && info.Main.Version != "" && info.Main.Version != "(devel)" {
		version = info.Main.Version
	}
	return program + " " + version
}

// Parse parses the command line into dest. It exits after --help and --version, and if
// the arguments are invalid.
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

// Exit prints err to standard error and exits with the given code.
func Exit(program string, code int, err error) {
	fmt.Fprintf(os.Stderr, "%s: %v\n", program, err)
	os.Exit(code)
}

// Signals returns two contexts: the first is cancelled by the first interrupt or
// termination signal, the second by the second signal.
func Signals() (first, second context.Context) {
	first, cancelFirst := context.WithCancel(context.Background())
	second, cancelSecond := context.WithCancel(context.Background())
	ch := make(chan os.Signal, 2)
	signal.Notify(ch, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-ch
		cancelFirst()
		<-ch
		cancelSecond()
	}()
	return first, second
}
