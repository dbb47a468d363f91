// Command caraway-timeline merges the events of all entry instances into one
// timeline.
package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"carawayrouter.example/router/internal/cli"
	"carawayrouter.example/router/internal/ctl"
	"carawayrouter.example/router/internal/event"
	"carawayrouter.example/router/internal/member"
	"carawayrouter.example/router/internal/platform"
	"carawayrouter.example/router/internal/platform/httpplatform"
	"carawayrouter.example/router/internal/settings"
	"carawayrouter.example/router/internal/timeline"
)

const (
	program      = "caraway-timeline"
	scanPageSize = 1000 // session rows per scan call
	scanTimeout  = 10 * time.Second
)

type args struct {
	cli.Common
	Instances []string `arg:"--instance,separate" placeholder:"ADDR" help:"operator address of an instance; default: every instance with a session"`
	Logs      []string `arg:"--log,separate" placeholder:"FILE" help:"read log lines from FILE, or standard input if -, instead of querying instances"`
	Request   string   `arg:"--request" help:"only events of this request"`
	Account   string   `arg:"--account" help:"only events of this client account"`
	Endpoint  string   `arg:"--endpoint" help:"only events of this endpoint"`
	Ticket    uint64   `arg:"--ticket" help:"only events of this ticket"`
	Kind      string   `arg:"--kind" help:"only events whose kind has this prefix"`
	Format    string   `arg:"--format" default:"text" help:"output format: text, json or html"`
}

// Version implements go-arg's Versioned.
func (args) Version() string { return cli.Version(program) }

// Description implements go-arg's Described.
func (args) Description() string {
	return "Merges the events of all entry instances, or their log lines, into one timeline. Uses the same settings file as caraway-ctl."
}

func main() {
	var a args
	cli.Parse(program, &a)
	if len(a.Logs) > 0 {
		if err := runFromLogs(a); err != nil {
			cli.Exit(program, cli.ExitFailed, err)
		}
		return
	}
	if a.Settings == "" {
		cli.Exit(program, cli.ExitUsage, errors.New("--settings FILE or --log FILE is required"))
	}
	var s ctl.Settings
	if err := settings.Load(a.Settings, &s); err != nil {
		cli.Exit(program, cli.ExitUsage, err)
	}
	if a.Check {
		fmt.Printf("%s: settings are valid\n", a.Settings)
		return
	}
	if err := run(a, s); err != nil {
		cli.Exit(program, cli.ExitFailed, err)
	}
}

func run(a args, s ctl.Settings) error {
	ctx, cancel := context.WithTimeout(context.Background(), s.Platform.Timeout)
	defer cancel()
	addrs := a.Instances
	if len(addrs) == 0 {
		var err error
		if addrs, err = operatorAddrs(ctx, httpplatform.NewClient(s.Platform.Addr, s.Platform.DataCentre).Table); err != nil {
			return err
		}
	}
	pages, losses := timeline.Fetch(ctx, addrs, s.Operator.Token)
	return writeTimeline(a, pages, losses)
}

// runFromLogs merges the log lines of the given files.
func runFromLogs(a args) error {
	var pages []event.Page
	var losses []timeline.Loss
	for _, name := range a.Logs {
		p, l, err := readLog(name)
		if err != nil {
			return err
		}
		pages, losses = append(pages, p...), append(losses, l...)
	}
	return writeTimeline(a, pages, losses)
}

func readLog(name string) ([]event.Page, []timeline.Loss, error) {
	if name == "-" {
		return timeline.ReadLogs("stdin", os.Stdin)
	}
	f, err := os.Open(name)
	if err != nil {
		return nil, nil, err
	}
	defer f.Close()
	return timeline.ReadLogs(strings.TrimSuffix(filepath.Base(name), filepath.Ext(name)), f)
}

// writeTimeline writes the timeline of the selected events in the chosen format.
func writeTimeline(a args, pages []event.Page, losses []timeline.Loss) error {
	line := timeline.Merge(pages, timeline.Filter{Request: a.Request, Account: a.Account, Endpoint: a.Endpoint, Ticket: a.Ticket, Kind: a.Kind})
	line.Losses = append(line.Losses, losses...)
	switch a.Format {
	case "text":
		return line.Text(os.Stdout)
	case "json":
		return line.JSON(os.Stdout)
	case "html":
		return line.HTML(os.Stdout)
	}
	return fmt.Errorf("format %q is unknown; known: text, json, html", a.Format)
}

// operatorAddrs returns the operator addresses of all unreleased sessions.
func operatorAddrs(ctx context.Context, t platform.Table) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, scanTimeout)
	defer cancel()
	var addrs []string
	after := ""
	for {
		rows, err := t.Scan(ctx, member.RowPrefix, after, scanPageSize)
		if err != nil {
			return nil, err
		}
		for _, r := range rows {
			after = r.Key
			if row, err := member.ParseRow(r); err == nil && !row.Released && row.Operator != "" {
				addrs = append(addrs, row.Operator)
			}
		}
		if len(rows) < scanPageSize {
			return addrs, nil
		}
	}
}
