// Command caraway-timeline merges the events of all entry instances into one time
// line.
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
	scanLimit    = 1000 // sessions read in one call
	storeTimeout = 10 * time.Second
)

type args struct {
	cli.Common
	Instances []string `arg:"--instance,separate" placeholder:"ADDR" help:"operator address of an instance; default: all that have a session"`
	Logs      []string `arg:"--log,separate" placeholder:"FILE" help:"read log lines from FILE, - for standard input, instead of asking instances"`
	Request   string   `arg:"--request" help:"events of one request"`
	Account   string   `arg:"--account" help:"events of one client account"`
	Endpoint  string   `arg:"--endpoint" help:"events of one endpoint"`
	Ticket    uint64   `arg:"--ticket" help:"events of one ticket"`
	Kind      string   `arg:"--kind" help:"events whose kind starts with this"`
	Format    string   `arg:"--format" default:"text" help:"text, json or html"`
}

// Version implements go-arg's Versioned.
func (args) Version() string { return cli.Version(program) }

// Description implements go-arg's Described.
func (args) Description() string {
	return "Merges the events of all entry instances, or the lines of their logs, into one time line. It takes the settings of caraway-ctl."
}

func main() {
	var a args
	cli.Parse(program, &a)
	if len(a.Logs) > 0 {
		if err := fromLogs(a); err != nil {
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
		if addrs, err = operators(ctx, httpplatform.NewClient(s.Platform.Addr, s.Platform.DataCentre).Table); err != nil {
			return err
		}
	}
	pages, losses := timeline.Fetch(ctx, addrs, s.Operator.Token)
	return show(a, pages, losses)
}

// fromLogs merges the log lines of files.
func fromLogs(a args) error {
	var pages []event.Page
	var losses []timeline.Loss
	for _, name := range a.Logs {
		p, l, err := readLog(name)
		if err != nil {
			return err
		}
		pages, losses = append(pages, p...), append(losses, l...)
	}
	return show(a, pages, losses)
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

// show writes the time line of the events that the arguments select.
func show(a args, pages []event.Page, losses []timeline.Loss) error {
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

// operators lists the operator addresses of all sessions.
func operators(ctx context.Context, t platform.Table) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	var addrs []string
	after := ""
	for {
		rows, err := t.Scan(ctx, member.RowPrefix, after, scanLimit)
		if err != nil {
			return nil, err
		}
		for _, r := range rows {
			after = r.Key
			if row, err := member.ParseRow(r); err == nil && !row.Released && row.Operator != "" {
				addrs = append(addrs, row.Operator)
			}
		}
		if len(rows) < scanLimit {
			return addrs, nil
		}
	}
}
