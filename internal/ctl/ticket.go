package ctl

import (
	"context"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"carawayrouter.example/router/internal/rollout"
	"carawayrouter.example/router/internal/ticket"
)

// waitInterval is the time between two looks at the instances' progress.
const waitInterval = 500 * time.Millisecond

func (c *command) ticket(ctx context.Context, cmd *TicketCmd) error {
	switch {
	case cmd.Submit != nil:
		return c.submit(ctx, cmd.Submit)
	case cmd.Show != nil:
		return c.show(ctx, cmd.Show.Number)
	case cmd.Wait != nil:
		return c.wait(ctx, cmd.Wait.Number, cmd.Wait.Timeout)
	case cmd.Diff != nil:
		return c.diff(ctx, cmd.Diff)
	case cmd.Check != nil:
		return c.check(ctx, cmd.Check)
	}
	return usage(errors.New("a command is required: ticket submit, show, wait, diff or check"))
}

func (c *command) submit(ctx context.Context, cmd *SubmitCmd) error {
	d, err := readFile(cmd.File)
	if err != nil {
		return err
	}
	if cmd.Submission != "" {
		d.Submission = cmd.Submission
	}
	t, err := c.send(ctx, d)
	if err != nil {
		return err
	}
	if err := c.print(accepted{t.Number, t.Submission, len(t.Changes)}, func(l *lines) {
		l.add("ticket %d accepted", t.Number)
		l.add("objects changed: %d", len(t.Changes))
	}); err != nil || !cmd.Wait {
		return err
	}
	return c.wait(ctx, t.Number, cmd.Timeout)
}

type accepted struct {
	Ticket     uint64 `json:"ticket"`
	Submission string `json:"submission"`
	Changes    int    `json:"changes"`
}

// send submits a draft within one command's time.
func (c *command) send(ctx context.Context, d *ticket.Draft) (*ticket.Ticket, error) {
	ctx, cancel := c.bounded(ctx)
	defer cancel()
	return c.submitter().Submit(ctx, c.settings.Operator.Name, d)
}

// shown is a ticket with its progress.
type shown struct {
	*ticket.Ticket
	Progress rollout.Progress `json:"progress"`
}

func (c *command) show(ctx context.Context, n uint64) error {
	ctx, cancel := c.bounded(ctx)
	defer cancel()
	t, err := ticket.Get(ctx, c.platform.Table, n)
	if err != nil {
		return err
	}
	p, err := c.progress(ctx, n)
	if err != nil {
		return err
	}
	return c.print(shown{t, p}, func(l *lines) {
		l.add("ticket %d", t.Number)
		l.add("by %s at %s", t.Author, t.At.Format(time.DateTime))
		if t.Note != "" {
			l.add("note: %s", t.Note)
		}
		for i := range t.Changes {
			showChange(l, &t.Changes[i])
		}
		showProgress(l, p)
	})
}

// showChange lists the whole new state of one object.
func showChange(l *lines, ch *ticket.Change) {
	if ch.Delete {
		l.add("%s deleted", ch.Ref)
		return
	}
	l.add("%s", ch.Ref)
	for _, f := range fieldsOf(ch) {
		l.add("  %s = %s", f.name, f.value)
	}
}

func (c *command) progress(ctx context.Context, n uint64) (rollout.Progress, error) {
	sessions, err := rollout.Sessions(ctx, c.platform.Table)
	return rollout.ProgressOf(n, sessions), err
}

// maxLaggards bounds the laggards that are listed by name.
const maxLaggards = 20

func showProgress(l *lines, p rollout.Progress) {
	l.add("in force on %d of %d", p.InForce, p.Instances)
	for i, s := range p.Laggards {
		if i == maxLaggards {
			l.add("and %d more behind", len(p.Laggards)-maxLaggards)
			return
		}
		l.add("behind: %s at %d", s.Name, s.Applied)
	}
}

// wait blocks until ticket n is in force on all instances.
func (c *command) wait(ctx context.Context, n uint64, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	head, err := ticket.Head(ctx, c.platform.Table)
	if err != nil {
		return err
	}
	if n == 0 || n > head {
		return errors.Newf("there is no ticket %d; the newest is %d", n, head)
	}
	var last rollout.Progress
	known := false
	for {
		p, err := c.progress(ctx, n)
		if err == nil {
			last, known = p, true
		}
		if known && last.Complete() {
			break
		}
		select {
		case <-c.clock.After(waitInterval):
			continue
		case <-ctx.Done():
		}
		break
	}
	if !known {
		return errors.New("the instances' state cannot be read")
	}
	if err := c.print(last, func(l *lines) {
		l.add("ticket %d", n)
		showProgress(l, last)
	}); err != nil {
		return err
	}
	if !last.Complete() {
		return errors.Newf("ticket %d is not in force everywhere after %s", n, timeout)
	}
	return nil
}

func (c *command) check(ctx context.Context, cmd *CheckCmd) error {
	d, err := readFile(cmd.File)
	if err != nil {
		return err
	}
	if cmd.Offline {
		return c.print(checked{cmd.File}, func(l *lines) {
			l.add("%s: %d objects, form is valid", cmd.File, len(d.Changes))
		})
	}
	ctx, cancel := c.bounded(ctx)
	defer cancel()
	head, err := ticket.Head(ctx, c.platform.Table)
	if err != nil {
		return err
	}
	state, err := ticket.Load(ctx, c.platform, head)
	if err != nil {
		return err
	}
	if err := ticket.Validate(state, d); err != nil {
		return err
	}
	return c.print(checked{cmd.File}, func(l *lines) {
		l.add("%s: %d objects, valid at ticket %d", cmd.File, len(d.Changes), head)
	})
}

// parseNumber reads a ticket number given as an argument.
func parseNumber(text string) (uint64, error) {
	n, err := strconv.ParseUint(text, 10, 63)
	if err != nil {
		return 0, usage(errors.Newf("%q is not a ticket number", text))
	}
	return n, nil
}
