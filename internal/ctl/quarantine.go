package ctl

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"carawayrouter.example/router/internal/gateway"
	"carawayrouter.example/router/platform"
)

// QuarantineCmd groups the quarantine subcommands.
type QuarantineCmd struct {
	Store string             `arg:"--store,required" placeholder:"IP:PORT" help:"the platform's store"`
	Show  *QuarantineShowCmd `arg:"subcommand:show" help:"show what is quarantined, and until when"`
	Lift  *QuarantineLiftCmd `arg:"subcommand:lift" help:"lift the quarantine of a request or a prompt part"`
}

// QuarantineShowCmd shows what is quarantined.
type QuarantineShowCmd struct{}

// QuarantineLiftCmd lifts a quarantine.
type QuarantineLiftCmd struct {
	Cause string `arg:"positional,required" placeholder:"CAUSE"`
}

// quarantined is a cause in the output of the show command.
type quarantined struct {
	Cause  string    `json:"cause"`
	Until  time.Time `json:"until,omitzero"`
	Lifted bool      `json:"lifted,omitempty"` // the instances are about to lift it
}

func (c *command) quarantine(ctx context.Context, a *QuarantineCmd) error {
	store := platform.NewStore(a.Store)
	switch {
	case a.Show != nil:
		rows, err := gateway.QuarantineRows(ctx, store)
		if err != nil {
			return err
		}
		out := []quarantined{}
		for _, r := range rows {
			q := quarantined{Cause: r.Cause, Lifted: r.Lifted}
			if !r.Lifted {
				q.Until = r.At
			}
			out = append(out, q)
		}
		return c.print(out, func(l *lineWriter) {
			for _, q := range out {
				if q.Lifted {
					l.addf("%s: about to be lifted", q.Cause)
				} else {
					l.addf("%s: until %s", q.Cause, q.Until.Format(time.RFC3339))
				}
			}
			if len(out) == 0 {
				l.addf("nothing is quarantined")
			}
		})
	case a.Lift != nil:
		if err := gateway.LiftQuarantine(ctx, store, c.clock.Now(), a.Lift.Cause); err != nil {
			return err
		}
		return c.print(quarantined{Cause: a.Lift.Cause, Lifted: true}, func(l *lineWriter) { l.addf("%s: about to be lifted", a.Lift.Cause) })
	}
	return newUsageError(errors.New("a command is required: show or lift"))
}
