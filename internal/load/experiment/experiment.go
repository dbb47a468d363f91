// Package experiment runs a workload against a new fleet, once per policy with the same
// arrivals and faults, and evaluates what the callers and stand-ins recorded.
package experiment

import (
	"context"
	"io"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"carawayrouter.example/router/internal/entry"
	"carawayrouter.example/router/internal/fleet"
	"carawayrouter.example/router/internal/load/fault"
	"carawayrouter.example/router/internal/load/observe"
	"carawayrouter.example/router/internal/load/workload"
	"carawayrouter.example/router/internal/timeline"
)

// Options describe an experiment.
type Options struct {
	Deployment fleet.Deployment
	Load       float64 // offered load as a multiple of the capacity
	Duration   time.Duration
	Warmup     time.Duration
	Drain      time.Duration // maximum wait for outstanding responses
	Seed       uint64
	Policies   []string
	Floods     map[string]float64 // arrival rate factor by account
	Faults     fault.Script
	Mix        workload.Mix
	Progress   io.Writer // nil disables progress output
	Log        logr.Logger
	// SaveEvents, if set, receives the events of all instances running after the drain.
	SaveEvents func(policy string, line *timeline.Timeline) error
}

// Report is the result of an experiment in the form that is saved.
type Report struct {
	Deployment string                     `json:"deployment"`
	Load       float64                    `json:"load"`
	Duration   float64                    `json:"duration_seconds"`
	Seed       uint64                     `json:"seed"`
	Faults     string                     `json:"faults,omitempty"` // file name of the fault script
	Capacity   workload.Capacity          `json:"capacity"`
	Order      []string                   `json:"order"` // policy names in order of execution
	Policies   map[string]*observe.Result `json:"policies"`
}

// Violated reports whether any policy violated a guarantee.
func (r *Report) Violated() bool {
	for _, p := range r.Policies {
		if len(p.Violated) > 0 {
			return true
		}
	}
	return false
}

// Check returns an error if the options name an unknown policy, account or fault target.
func (o *Options) Check() error {
	for _, name := range o.Policies {
		if _, err := findPolicy(name); err != nil {
			return err
		}
	}
	for account := range o.Floods {
		if !slices.ContainsFunc(o.Deployment.Accounts, func(a fleet.AccountSpec) bool { return a.Name == account }) {
			return errors.Newf("account %q is unknown in %s", account, o.Deployment.Name)
		}
	}
	return o.Faults.Check(o.Deployment)
}

// startTimeout bounds starting a fleet and applying its first ticket.
const startTimeout = time.Minute

// Run runs the experiment under each policy in turn.
func Run(ctx context.Context, o Options) (*Report, error) {
	if err := o.Check(); err != nil {
		return nil, err
	}
	capacity := workload.CapacityOf(o.Deployment, o.Mix, o.Seed)
	workload.SetRates(&o.Deployment, capacity)
	report := &Report{
		Deployment: o.Deployment.Name, Load: o.Load, Duration: o.Duration.Seconds(), Seed: o.Seed,
		Faults: o.Faults.File, Capacity: capacity, Order: o.Policies, Policies: map[string]*observe.Result{},
	}
	requests := workload.Generate(workloadOptions(o, capacity))
	for _, name := range o.Policies {
		p, _ := findPolicy(name)
		result, err := runPolicy(ctx, o, p, name, capacity, requests)
		if err != nil {
			return report, errors.Wrapf(err, "policy %s", name)
		}
		report.Policies[name] = result
	}
	return report, nil
}

// workloadOptions distributes the load over the accounts and adds floods.
func workloadOptions(o Options, c workload.Capacity) workload.Options {
	w := workload.Options{Seed: o.Seed, Mix: o.Mix, Duration: o.Warmup + o.Duration}
	for _, a := range o.Deployment.Accounts {
		x := workload.Account{Name: a.Name, Rate: c.Requests * o.Load * a.Rate / c.Tokens}
		if f, ok := o.Floods[a.Name]; ok {
			x.Bursts = append(x.Bursts, workload.Burst{From: 0, To: w.Duration, Factor: f})
		}
		for _, f := range o.Faults.Floods(a.Name) {
			x.Bursts = append(x.Bursts, workload.Burst{From: o.Warmup + f.At, To: o.Warmup + f.At + f.Duration, Factor: f.Factor})
		}
		w.Accounts = append(w.Accounts, x)
	}
	return w
}

// runPolicy runs the requests against a new fleet.
func runPolicy(ctx context.Context, o Options, p entry.Policy, name string, c workload.Capacity, requests []workload.Request) (*observe.Result, error) {
	f, err := fleet.Start(o.Deployment, fleet.Options{Seed: o.Seed, Log: o.Log, ListLag: listLag, Policy: p})
	if err != nil {
		return nil, err
	}
	defer f.Close()
	startCtx, stop := context.WithTimeout(ctx, startTimeout)
	defer stop()
	if _, err := f.Bootstrap(startCtx); err != nil {
		return nil, errors.Wrap(err, "first ticket")
	}
	r := newRunner(o, f, name, c, len(requests))
	record, err := r.run(ctx, requests)
	if err != nil {
		return nil, err
	}
	if err := saveEvents(ctx, o, f, name); err != nil {
		return nil, err
	}
	result := observe.Evaluate(record)
	result.Policy = name
	counts := f.Store.Counts()
	result.StoreReads, result.StoreWrites = counts.Reads, counts.Writes
	return result, nil
}

// saveEvents passes the merged timeline of a run to Options.SaveEvents.
func saveEvents(ctx context.Context, o Options, f *fleet.Fleet, policy string) error {
	if o.SaveEvents == nil {
		return nil
	}
	var addrs []string
	for _, e := range f.Entries {
		if e.Running() {
			addrs = append(addrs, e.Settings().Listen.Operator)
		}
	}
	ctx, stop := context.WithTimeout(ctx, startTimeout)
	defer stop()
	pages, losses := timeline.Fetch(ctx, addrs, f.OperatorToken())
	line := timeline.Merge(pages, timeline.Filter{})
	line.Losses = append(line.Losses, losses...)
	return o.SaveEvents(policy, line)
}
