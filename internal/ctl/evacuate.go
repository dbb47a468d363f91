package ctl

import (
	"context"

	"carawayrouter.example/router/internal/evacuation"
)

// EvacuateCmd evacuates a data centre, takes that back, or lists the evacuated ones.
type EvacuateCmd struct {
	DataCentre string `arg:"positional,required" placeholder:"DATACENTRE|list" help:"its endpoints get no new requests from now on; list shows the evacuated ones"`
	Undo       bool   `arg:"--undo" help:"its endpoints get requests again"`
}

// listEvacuated is the argument that lists the evacuated data centres instead of naming one.
const listEvacuated = "list"

// evacuations is the output of the command.
type evacuations struct {
	Evacuated []string `json:"evacuated"`
}

func (c *command) evacuate(ctx context.Context, a *EvacuateCmd) error {
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	rows := evacuation.Rows{Table: c.platform.Table}
	if a.DataCentre != listEvacuated {
		if err := evacuation.CheckName(a.DataCentre); err != nil {
			return newUsageError(err)
		}
		change := rows.Write
		if a.Undo {
			change = rows.Remove
		}
		if err := change(ctx, a.DataCentre); err != nil {
			return err
		}
	}
	names, err := rows.List(ctx)
	if err != nil {
		return err
	}
	return c.print(evacuations{Evacuated: append([]string{}, names...)}, func(l *lineWriter) {
		writeEvacuated(l, names)
		if len(names) == 0 {
			l.addf("no data centre is evacuated")
		}
	})
}

func writeEvacuated(l *lineWriter, names []string) {
	for _, name := range names {
		l.addf("evacuated: %s", name)
	}
}
