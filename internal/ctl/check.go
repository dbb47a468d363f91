package ctl

import (
	"context"
	"encoding/hex"
	"fmt"
	"os"
	"strings"

	"github.com/cockroachdb/errors"

	"carawayrouter.example/router/internal/config"
	"carawayrouter.example/router/internal/configcheck"
	"carawayrouter.example/router/internal/settings"
	"carawayrouter.example/router/internal/ticket"
	"carawayrouter.example/router/platform"
)

// CheckCmd checks a ticket file, or a configuration of the users' platform.
type CheckCmd struct {
	File     string `arg:"positional,required" placeholder:"FILE"`
	Offline  bool   `arg:"--offline" help:"check the file alone, without reading the current configuration"`
	Platform bool   `arg:"--platform" help:"the file is a whole configuration (JSON) of the users' platform; the store is not read"`
	Against  string `arg:"--against" placeholder:"FILE" help:"with --platform: the configuration in force"`
	Strict   bool   `arg:"--strict" help:"warnings fail too"`
}

func (c *CheckCmd) readsStore() bool { return !c.Offline && !c.Platform }

// checkOutput is the output of the check command with --json.
type checkOutput struct {
	File        string                `json:"file"`
	Against     string                `json:"against,omitempty"` // what findings and differences compare with
	Findings    []configcheck.Finding `json:"findings"`
	Differences []objectDiff          `json:"differences"` // empty without a configuration in force
	Errors      int                   `json:"errors"`
	Warnings    int                   `json:"warnings"`
	Notes       int                   `json:"notes"`
}

func (c *command) check(ctx context.Context, cmd *CheckCmd) error {
	switch {
	case cmd.Against != "" && !cmd.Platform:
		return newUsageError(errors.New("--against is for --platform; a ticket is compared with the newest one"))
	case cmd.Offline && cmd.Platform:
		return newUsageError(errors.New("--platform reads no store; --offline is for tickets"))
	case cmd.Platform:
		return c.checkPlatform(cmd)
	}
	d, err := readTicketFile(cmd.File)
	if err != nil {
		return err
	}
	if cmd.Offline {
		o := ticket.Outcome(config.Empty(), d).Objects()
		return c.printCheck(cmd, checkOutput{Findings: configcheck.Check(o, nil, configcheck.Rules{Partial: true})}, func(l *lineWriter) {
			l.addf("%s: %d objects, form is valid", cmd.File, len(d.Changes))
		})
	}
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	state, err := c.newestState(ctx)
	if err != nil {
		return err
	}
	if err := ticket.Validate(state, d); err != nil {
		return err
	}
	next := ticket.Outcome(state, d)
	out := checkOutput{
		Against:     fmt.Sprintf("ticket %d", state.Ticket),
		Findings:    configcheck.Check(next.Objects(), state.Objects(), configcheck.Rules{}),
		Differences: diffObjects(indexByRef(state), indexByRef(next)),
	}
	return c.printCheck(cmd, out, func(l *lineWriter) {
		l.addf("%s: %d objects, valid at ticket %d", cmd.File, len(d.Changes), state.Ticket)
	})
}

// checkPlatform checks a configuration of the users' platform. Its endpoints are in the platform's
// store, which is not read.
func (c *command) checkPlatform(cmd *CheckCmd) error {
	o, version, err := readPlatformFile(cmd.File)
	if err != nil {
		return err
	}
	rules := configcheck.Rules{HostRoutes: true, ZeroIsUnlimited: true, NoEndpoints: true}
	out := checkOutput{Against: cmd.Against}
	var inForce *config.Objects
	if cmd.Against != "" {
		var old uint64
		if inForce, old, err = readPlatformFile(cmd.Against); err != nil {
			return err
		}
		out.Differences = hideHashes(diffObjects(indexByRef(config.Build(old, inForce)), indexByRef(config.Build(version, o))))
		if o.Limits != inForce.Limits {
			d := objectDiff{Object: "limits"}
			d.Before, d.After = differingFields(objectFields(inForce.Limits), objectFields(o.Limits))
			out.Differences = append(out.Differences, d)
		}
	}
	out.Findings = configcheck.Check(o, inForce, rules)
	return c.printCheck(cmd, out, func(l *lineWriter) {
		l.addf("%s: version %d, form is valid", cmd.File, version)
	})
}

// readPlatformFile reads a configuration of the users' platform. It has no IDs of keys; they get
// one from the account and the start of the hash.
func readPlatformFile(name string) (*config.Objects, uint64, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, 0, &settings.FileError{File: name, Name: "file", Problem: "cannot be read: " + pathCause(err).Error()}
	}
	o, version, err := platform.ParseConfiguration(data)
	if err != nil {
		return nil, 0, &settings.FileError{File: name, Name: "file", Problem: err.Error()}
	}
	for _, k := range o.Keys {
		k.ID = k.Account + "-" + hex.EncodeToString(k.Hash[:4])
	}
	return o, version, nil
}

// hideHashes removes the keys' hashes: those of short keys could be guessed.
func hideHashes(list []objectDiff) []objectDiff {
	for _, d := range list {
		if strings.HasPrefix(d.Object, string(config.KindKey)+" ") {
			delete(d.Before, "hash")
			delete(d.After, "hash")
		}
	}
	return list
}

// printCheck prints the findings. It returns an error if they fail the check.
func (c *command) printCheck(cmd *CheckCmd, out checkOutput, summary func(*lineWriter)) error {
	out.File = cmd.File
	if out.Differences == nil {
		out.Differences = []objectDiff{}
	}
	out.Errors = configcheck.Count(out.Findings, configcheck.Error)
	out.Warnings = configcheck.Count(out.Findings, configcheck.Warning)
	out.Notes = configcheck.Count(out.Findings, configcheck.Note)
	err := c.print(out, func(l *lineWriter) {
		summary(l)
		for _, f := range out.Findings {
			since := ""
			if f.InForce {
				since = " (so in force already)"
			}
			l.addf("%s: %s%s", f.Severity, f.Object, since)
			l.addf("  %s", f.Problem)
			l.addf("  mend: %s", f.Remedy)
		}
		if out.Against != "" {
			l.addf("differences from %s:", out.Against)
			writeDiff(l, out.Differences)
		}
	})
	if err == nil && (out.Errors > 0 || cmd.Strict && out.Warnings > 0) {
		return errors.Newf("%d errors, %d warnings", out.Errors, out.Warnings)
	}
	return err
}
