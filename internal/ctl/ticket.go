package ctl

import (
	"context"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"carawayrouter.example/router/internal/rollout"
	"carawayrouter.example/router/internal/ticket"
)

// progressPollInterval is the time between two reads of the instances' progress.
const progressPollInterval = 500 * time.Millisecond

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
	return newUsageError(errors.New("a command is required: ticket submit, show, wait, diff or check"))
}

func (c *command) submit(ctx context.Context, cmd *SubmitCmd) error {
	d, err := readTicketFile(cmd.File)
	if err != nil {
		return err
	}
	if cmd.Submission != "" {
		d.Submission = cmd.Submission
	}
	t, err := c.submitDraft(ctx, d)
	if err != nil {
		return err
	}
	if err := c.print(submitResult{t.Number, t.Submission, len(t.Changes)}, func(l *lineWriter) {
		l.addf("ticket %d accepted", t.Number)
		l.addf("objects changed: %d", len(t.Changes))
	}); err != nil || !cmd.Wait {
		return err
	}
	return c.wait(ctx, t.Number, cmd.Timeout)
}

type submitResult struct {
	Ticket     uint64 `json:"ticket"`
	Submission string `json:"submission"`
	Changes    int    `json:"changes"`
}

// submitDraft submits a draft within the command timeout.
func (c *command) submitDraft(ctx context.Context, d *ticket.Draft) (*ticket.Ticket, error) {
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	return c.submitter().Submit(ctx, c.settings.Operator.Name, d)
}

// shown is a ticket with its progress.
type shown struct {
	*ticket.Ticket
	Progress rollout.Progress `json:"progress"`
}

func (c *command) show(ctx context.Context, n uint64) error {
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	t, err := ticket.Get(ctx, c.platform.Table, n)
	if err != nil {
		return err
	}
	p, err := c.progress(ctx, n)
	if err != nil {
		return err
	}
	return c.print(shown{t, p}, func(l *lineWriter) {
		l.addf("ticket %d", t.Number)
		l.addf("by %s at %s", t.Author, t.At.Format(time.DateTime))
		if t.Note != "" {
			l.addf("note: %s", t.Note)
		}
		for i := range t.Changes {
			writeChange(l, &t.Changes[i])
		}
		writeProgress(l, p)
	})
}

// writeChange writes the complete new state of an object.
func writeChange(l *lineWriter, ch *ticket.Change) {
	if ch.Delete {
		l.addf("%s deleted", ch.Ref)
		return
	}
	l.addf("%s", ch.Ref)
	for _, f := range fieldsOf(ch) {
		l.addf("  %s = %s", f.name, f.value)
	}
}

func (c *command) progress(ctx context.Context, n uint64) (rollout.Progress, error) {
	sessions, err := rollout.Sessions(ctx, c.platform.Table)
	return rollout.ProgressOf(n, sessions), err
}

// maxLaggards limits the instances and refusals that are listed individually.
const maxLaggards = 20

func writeProgress(l *lineWriter, p rollout.Progress) {
	l.addf("in force on %d of %d", p.InForce, p.Instances)
	for i, s := range p.Laggards {
		if i == maxLaggards {
			l.addf("and %d more behind", len(p.Laggards)-maxLaggards)
			return
		}
		l.addf("behind: %s at %d", s.Name, s.Applied)
	}
}

// wait blocks until ticket n is in force on all instances, or until the timeout. Its error says
// what is known by then.
func (c *command) wait(ctx context.Context, n uint64, timeout time.Duration) error {
	ctx, cancel := c.withWait(ctx, timeout)
	defer cancel()
	head, err := ticket.Head(ctx, c.platform.Table)
	if err != nil && errors.Is(context.Cause(ctx), errWaitEnded) {
		return errors.Newf("the store did not answer within %s: it is not known whether there is a ticket %d or where it is in force", timeout, n)
	}
	if err != nil {
		return err
	}
	if n == 0 || n > head {
		return errors.Newf("there is no ticket %d; the newest is %d", n, head)
	}
	w := c.poll(ctx, n)
	if !w.known {
		if w.err == nil {
			return errors.Newf("ticket %d is accepted; the store did not say within %s where it is in force", n, timeout)
		}
		return errors.Wrapf(w.err, "ticket %d is accepted; it cannot be read where it is in force", n)
	}
	if err := c.print(w.last, func(l *lineWriter) {
		l.addf("ticket %d", n)
		writeProgress(l, w.last)
	}); err != nil {
		return err
	}
	if w.last.Complete() {
		return nil
	}
	if w.err != nil {
		return errors.Wrapf(w.err, "ticket %d was not in force everywhere %s ago; since then the store cannot be read", n, c.clock.Now().Sub(w.readAt).Round(time.Millisecond))
	}
	return errors.Newf("ticket %d is not in force everywhere after %s", n, timeout)
}

var errWaitEnded = errors.New("wait ended")

// withWait returns a context that ends after the timeout on the command's clock.
func (c *command) withWait(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	end := c.clock.After(timeout)
	go func() {
		select {
		case <-end:
			cancel(errWaitEnded)
		case <-ctx.Done():
		}
	}()
	return ctx, func() { cancel(context.Canceled) }
}

// waited is what a wait has learned.
type waited struct {
	last   rollout.Progress
	known  bool // last was read
	readAt time.Time
	err    error // of the latest read, unless the end of the wait broke it off
}

// poll reads the progress of ticket n until it is in force everywhere or ctx ends.
func (c *command) poll(ctx context.Context, n uint64) (w waited) {
	for {
		p, err := c.progress(ctx, n)
		if err == nil {
			w = waited{last: p, known: true, readAt: c.clock.Now()}
		} else if ctx.Err() == nil {
			w.err = err
		}
		if w.known && w.last.Complete() {
			return w
		}
		select {
		case <-c.clock.After(progressPollInterval):
		case <-ctx.Done():
			return w
		}
	}
}

// parseNumber parses a ticket number argument.
func parseNumber(text string) (uint64, error) {
	n, err := strconv.ParseUint(text, 10, 63)
	if err != nil {
		return 0, newUsageError(errors.Newf("%q is not a ticket number", text))
	}
	return n, nil
}
