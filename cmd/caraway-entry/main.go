// Command caraway-entry is the router daemon; every entry instance runs one.
package main

import (
	"expvar"
	"fmt"
	"os"

	"carawayrouter.example/router/internal/cli"
	"carawayrouter.example/router/internal/entry"
	"carawayrouter.example/router/internal/logging"
	"carawayrouter.example/router/internal/platform/httpplatform"
	"carawayrouter.example/router/internal/settings"
	"carawayrouter.example/router/platform"
)

const program = "caraway-entry"

type args struct {
	cli.Common
	Metrics int `arg:"--metrics" placeholder:"PORT" help:"port that serves metrics on the users' platform; 0 disables it"`
}

// Version implements go-arg's Versioned.
func (args) Version() string { return cli.Version(program) }

func main() {
	var a args
	cli.Parse(program, &a)
	if file := os.Getenv(platform.SettingsVariable); a.Settings == "" && file != "" {
		runOnPlatform(file, a.Metrics, a.Check)
		return
	}
	if a.Settings == "" {
		cli.Exit(program, cli.ExitUsage, fmt.Errorf("--settings FILE is required"))
	}
	var s entry.Settings
	if err := settings.Load(a.Settings, &s); err != nil {
		cli.Exit(program, cli.ExitUsage, err)
	}
	if err := s.Validate(a.Settings); err != nil {
		cli.Exit(program, cli.ExitUsage, err)
	}
	if a.Check {
		fmt.Printf("%s: settings are valid\n", a.Settings)
		return
	}
	run(s, a.Settings)
}

// run serves until the first signal, then drains; a second signal exits immediately.
func run(s entry.Settings, file string) {
	log := logging.New(os.Stderr, program, s.Log.Verbosity)
	daemon, err := entry.New(s, entry.Deps{
		Platform: httpplatform.NewClient(s.Platform.Addr, s.Instance.DataCentre),
		Log:      log,
	})
	if err != nil {
		cli.Exit(program, cli.ExitUsage, fmt.Errorf("%s: %w", file, err))
	}
	expvar.Publish("caraway", daemon.Metrics())
	first, second := cli.Signals()
	if err := daemon.Run(first, second); err != nil {
		cli.Exit(program, cli.ExitFailed, err)
	}
}

// runOnPlatform serves on the users' platform, which supplies its own settings file.
func runOnPlatform(file string, metricsPort int, check bool) {
	if _, _, err := platform.LoadSettings(file); err != nil {
		cli.Exit(program, cli.ExitUsage, err)
	}
	if check {
		fmt.Printf("%s: settings are valid\n", file)
		return
	}
	drain, _ := cli.Signals()
	lines := logging.NewAsync(os.Stdout)
	err := platform.Run(file, metricsPort, logging.New(lines, program, 0), drain)
	lines.Close()
	if err != nil {
		cli.Exit(program, cli.ExitFailed, err)
	}
}
