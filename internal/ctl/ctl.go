// Package ctl implements the operators' command line for tickets, keys and status. It
// prints JSON, or text of at most 40 columns so that it is readable on a phone.
package ctl

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"io"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"carawayrouter.example/router/internal/clock"
	"carawayrouter.example/router/internal/platform"
	"carawayrouter.example/router/internal/platform/httpplatform"
	"carawayrouter.example/router/internal/settings"
	"carawayrouter.example/router/internal/ticket"
)

// Settings is the settings file of the command line.
type Settings struct {
	Platform struct {
		Addr       string        `ini:"addr" doc:"IP:port of the platform's services"`
		DataCentre string        `ini:"data_centre" default:"" doc:"data centre that the commands run in"`
		Timeout    time.Duration `ini:"timeout" default:"30s" min:"100ms" max:"10m" doc:"longest time for one command other than wait"`
	} `ini:"platform"`
	Operator struct {
		Name     string `ini:"name" doc:"author of tickets"`
		Instance string `ini:"instance" default:"" doc:"IP:port of an instance's operator port, asked for its status"`
		Token    string `ini:"token" default:"" doc:"operator token for that port"`
	} `ini:"operator"`
}

// Args defines the command line's arguments.
type Args struct {
	Settings string     `arg:"--settings" placeholder:"FILE" default:"caraway-ctl.ini" help:"settings file (INI)"`
	Check    bool       `arg:"--check" help:"check the settings and exit"`
	JSON     bool       `arg:"--json" help:"write JSON"`
	Ticket   *TicketCmd `arg:"subcommand:ticket" help:"submit, show, wait for, compare and check tickets"`
	Key      *KeyCmd    `arg:"subcommand:key" help:"issue and withdraw keys"`
	Status   *StatusCmd `arg:"subcommand:status" help:"show the newest ticket and where it is in force"`

	Evacuate   *EvacuateCmd   `arg:"subcommand:evacuate" help:"keep a data centre's endpoints free of new requests"`
	Quarantine *QuarantineCmd `arg:"subcommand:quarantine" help:"show and lift quarantines of requests and prompt parts"`
}

// TicketCmd groups the ticket subcommands.
type TicketCmd struct {
	Submit *SubmitCmd `arg:"subcommand:submit" help:"submit a ticket file"`
	Show   *ShowCmd   `arg:"subcommand:show" help:"show an accepted ticket"`
	Wait   *WaitCmd   `arg:"subcommand:wait" help:"wait until a ticket is in force everywhere"`
	Diff   *DiffCmd   `arg:"subcommand:diff" help:"show what a file changes, or what changed between two tickets"`
	Check  *CheckCmd  `arg:"subcommand:check" help:"check a ticket file without submitting it"`
}

// SubmitCmd submits a ticket file.
type SubmitCmd struct {
	File       string        `arg:"positional,required" placeholder:"FILE"`
	Submission string        `arg:"--submission" placeholder:"ID" help:"repeat an earlier submission whose outcome is unknown"`
	Wait       bool          `arg:"--wait" help:"wait until it is in force everywhere"`
	Timeout    time.Duration `arg:"--timeout" default:"30s" help:"longest wait"`
}

// ShowCmd shows an accepted ticket and its progress.
type ShowCmd struct {
	Number uint64 `arg:"positional,required" placeholder:"N"`
}

// WaitCmd waits until a ticket is in force on all instances.
type WaitCmd struct {
	Number  uint64        `arg:"positional,required" placeholder:"N"`
	Timeout time.Duration `arg:"--timeout" default:"30s" help:"longest wait"`
}

// DiffCmd compares a ticket file with the newest configuration, or two tickets.
type DiffCmd struct {
	From string `arg:"positional,required" placeholder:"FILE|N"`
	To   string `arg:"positional" placeholder:"M"`
}

// KeyCmd groups the key subcommands.
type KeyCmd struct {
	Issue    *IssueCmd    `arg:"subcommand:issue" help:"issue a key; it is shown once"`
	Withdraw *WithdrawCmd `arg:"subcommand:withdraw" help:"withdraw a key"`
}

// IssueCmd issues a key.
type IssueCmd struct {
	Account string `arg:"--account,required" placeholder:"NAME" help:"account that the key belongs to"`
	ID      string `arg:"--id" help:"ID of the key; generated if absent"`
}

// WithdrawCmd withdraws a key.
type WithdrawCmd struct {
	ID      string        `arg:"positional,required" placeholder:"ID"`
	Wait    bool          `arg:"--wait" help:"wait until it is in force everywhere"`
	Timeout time.Duration `arg:"--timeout" default:"30s" help:"longest wait"`
}

// StatusCmd shows the fleet's status.
type StatusCmd struct{}

// UsageError reports invalid arguments, settings or ticket files.
type UsageError struct{ cause error }

// Error implements error.
func (e *UsageError) Error() string { return e.cause.Error() }

// Unwrap returns the underlying error.
func (e *UsageError) Unwrap() error { return e.cause }

func newUsageError(err error) error {
	if err == nil {
		return nil
	}
	return &UsageError{err}
}

// IsUsage reports whether err is caused by invalid arguments, settings or ticket files.
// Commands that fail with such an error have had no effect.
func IsUsage(err error) bool {
	var u *UsageError
	var f *settings.FileError
	return errors.As(err, &u) || errors.As(err, &f)
}

// Run executes the command selected by the arguments.
func Run(ctx context.Context, a Args, out io.Writer) error {
	if !a.Check && a.Ticket == nil && a.Key == nil && a.Status == nil && a.Evacuate == nil && a.Quarantine == nil {
		return newUsageError(errors.New("a command is required: ticket, key, status, evacuate or quarantine"))
	}
	c, err := newCommand(a, out)
	if err != nil {
		return err
	}
	return c.run(ctx, a)
}

func (c *command) run(ctx context.Context, a Args) error {
	if a.Check {
		return c.print(checkResult{File: a.Settings}, func(p *lineWriter) { p.addf("%s: settings are valid", a.Settings) })
	}
	switch {
	case a.Ticket != nil:
		return c.ticket(ctx, a.Ticket)
	case a.Key != nil:
		return c.key(ctx, a.Key)
	case a.Evacuate != nil:
		return c.evacuate(ctx, a.Evacuate)
	case a.Quarantine != nil:
		return c.quarantine(ctx, a.Quarantine)
	}
	return c.status(ctx)
}

type checkResult struct {
	File string `json:"file"`
}

// command holds the state of one invocation of the program.
type command struct {
	settings Settings
	platform platform.Platform
	clock    clock.Clock
	rand     io.Reader
	out      io.Writer
	json     bool
}

func newCommand(a Args, out io.Writer) (*command, error) {
	c := &command{clock: clock.Real{}, rand: rand.Reader, out: out, json: a.JSON}
	if a.Ticket != nil && a.Ticket.Check != nil && !a.Ticket.Check.readsStore() {
		return c, nil
	}
	if a.Quarantine != nil {
		return c, nil // its store is an argument
	}
	if err := settings.Load(a.Settings, &c.settings); err != nil {
		return nil, err
	}
	c.platform = httpplatform.NewClient(c.settings.Platform.Addr, c.settings.Platform.DataCentre)
	return c, nil
}

// withTimeout limits a command to the configured timeout.
func (c *command) withTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, c.settings.Platform.Timeout)
}

func (c *command) submitter() *ticket.Submitter {
	return &ticket.Submitter{Table: c.platform.Table, Objects: c.platform.Objects, Clock: c.clock}
}

// print writes v if JSON output is selected, else the lines that text adds.
func (c *command) print(v any, text func(*lineWriter)) error {
	if c.json {
		enc := json.NewEncoder(c.out)
		enc.SetIndent("", "  ")
		return errors.Wrap(enc.Encode(v), "write")
	}
	var l lineWriter
	text(&l)
	return l.flush(c.out)
}

func readTicketFile(name string) (*ticket.Draft, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, &settings.FileError{File: name, Name: "file", Problem: "cannot be read: " + pathCause(err).Error()}
	}
	return ticket.ParseFile(name, data)
}

// pathCause returns the cause of a file's error without operation and path.
func pathCause(err error) error {
	var pe *os.PathError
	if errors.As(err, &pe) {
		return pe.Err
	}
	return err
}
