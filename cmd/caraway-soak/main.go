// Command caraway-soak runs router daemons as separate processes against stand-ins,
// injects seeded random faults from outside and checks the router's guarantees.
package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"carawayrouter.example/router/internal/cli"
	"carawayrouter.example/router/platform/soak"
)

const program = "caraway-soak"

type args struct {
	Binary      string `arg:"--binary" default:"target/caraway-entry" placeholder:"FILE" help:"router daemon to run"`
	Former      string `arg:"--former" placeholder:"FILE" help:"daemon of another build; each start of an instance has one of the two"`
	Seed        uint64 `arg:"--seed" default:"1" help:"first seed"`
	Seeds       int    `arg:"--seeds" default:"1" help:"number of consecutive seeds to run"`
	Instances   int    `arg:"--instances" default:"4" help:"number of daemons"`
	Rounds      int    `arg:"--rounds" default:"2" help:"number of fault phases, each followed by a quiet phase"`
	Logs        string `arg:"--logs" placeholder:"DIR" help:"directory that keeps the settings and logs of failed seeds"`
	Untimed     bool   `arg:"--untimed" help:"skip the time-bounded guarantees"`
	LowRate     bool   `arg:"--low-rate" help:"limit the account to a rate that binds"`
	Lapses      bool   `arg:"--lapses" help:"cut endpoints off from the store for longer than their entries live"`
	SlowReaders bool   `arg:"--slow-readers" help:"let callers and endpoints read slowly for some seconds after each quiet phase"`
	Places      bool   `arg:"--places" help:"evacuate a data centre and take it back cold, amid faults of instances and the store"`
	Uneven      bool   `arg:"--uneven" help:"change the pace of endpoints, and let a lower rank ask for more than there is"`
	Unframed    bool   `arg:"--unframed" help:"end endpoints in the middle of answers that end with their connection, and let them answer twice"`
	Releases    bool   `arg:"--releases" help:"replace engines by others of newer software versions, while callers take streams up again"`
	Verbose     bool   `arg:"-v,--verbose" help:"log every injected fault"`
}

// Version implements go-arg's Versioned.
func (args) Version() string { return cli.Version(program) }

func main() {
	var a args
	cli.Parse(program, &a)
	stop, _ := cli.Signals()
	failed := 0
	for i := range a.Seeds {
		violated, err := runSeed(stop, a, a.Seed+uint64(i))
		if err != nil {
			cli.Exit(program, cli.ExitFailed, err)
		}
		if violated {
			failed++
		}
	}
	fmt.Printf("%d seeds, %d with guarantee violations\n", a.Seeds, failed)
	if failed > 0 {
		os.Exit(cli.ExitFailed)
	}
}

// runSeed runs one seed and reports whether a guarantee was violated.
func runSeed(ctx context.Context, a args, seed uint64) (violated bool, err error) {
	dir, err := os.MkdirTemp(a.Logs, fmt.Sprintf("soak-%d-", seed))
	if err != nil {
		return false, err
	}
	binary, err := filepath.Abs(a.Binary)
	if err != nil {
		return false, err
	}
	former := a.Former
	if former != "" {
		if former, err = filepath.Abs(former); err != nil {
			return false, err
		}
	}
	r, err := soak.Run(ctx, soak.Options{Binary: binary, Former: former, Dir: dir, Seed: seed, Instances: a.Instances, Rounds: a.Rounds, Timed: !a.Untimed, Releases: a.Releases, LowRate: a.LowRate, Lapses: a.Lapses, Unframed: a.Unframed, SlowReaders: a.SlowReaders, Places: a.Places, Uneven: a.Uneven, Log: func(format string, args ...any) {
		if a.Verbose {
			fmt.Printf(format+"\n", args...)
		}
	}})
	if err != nil {
		return false, err
	}
	faults := 0
	for _, n := range r.Faults {
		faults += n
	}
	fmt.Printf("seed %d: %d faults, %d requests: %d complete, %d refused, %d failed; %d guarantee violations\n", seed, faults, r.Requests, r.Complete, r.Refused, r.Failed, len(r.Violations))
	if a.Releases {
		fmt.Printf("  streams: %d, %d of several versions; at undisturbed instances %d of %d new ones began and %d of %d went on\n", r.Streams, r.Mixed, r.Begun.Answered, r.Begun.All, r.Resumed.Answered, r.Resumed.All)
	}
	if len(r.Violations) == 0 {
		return false, os.RemoveAll(dir)
	}
	for i, b := range r.Violations {
		if i == 8 {
			fmt.Printf("  and %d more\n", len(r.Violations)-i)
			break
		}
		fmt.Println("  " + b)
		if f := strings.Fields(b); len(f) > 1 && i < 2 {
			fmt.Print(soak.Logs(dir, f[1]))
		}
	}
	fmt.Println("  logs: " + dir)
	return true, nil
}
