package main

import (
	"bytes"
	"encoding/json"
	"os"

	"github.com/cockroachdb/errors"

	"carawayrouter.example/router/internal/load/experiment"
	"carawayrouter.example/router/internal/load/report"
)

type reportArgs struct {
	Files  []string `arg:"positional,required" placeholder:"FILE.json" help:"results saved by the run subcommand"`
	Output string   `arg:"--output,-o" placeholder:"FILE.html" help:"write the page to this file instead of standard output"`
}

// runReport renders saved runs as one HTML page.
func runReport(a *reportArgs) error {
	var runs []*experiment.Report
	for _, file := range a.Files {
		r, err := readRun(file)
		if err != nil {
			return err
		}
		runs = append(runs, r)
	}
	var b bytes.Buffer
	if err := report.Render(&b, runs); err != nil {
		return err
	}
	if a.Output == "" {
		_, err := os.Stdout.Write(b.Bytes())
		return err
	}
	return errors.Wrap(os.WriteFile(a.Output, b.Bytes(), 0o644), "--output")
}

// readRun reads one saved run and checks that it has a result for every policy.
func readRun(file string) (*experiment.Report, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, &usageError{err}
	}
	r := new(experiment.Report)
	if err := json.Unmarshal(data, r); err != nil {
		return nil, &usageError{errors.Wrapf(err, "%s", file)}
	}
	if len(r.Order) == 0 {
		return nil, &usageError{errors.Newf("%s: does not contain a caraway-load run", file)}
	}
	for _, name := range r.Order {
		if r.Policies[name] == nil {
			return nil, &usageError{errors.Newf("%s: has no result for policy %q", file, name)}
		}
	}
	return r, nil
}
