package filters

import (
	"context"

	"github.com/cockroachdb/errors"

	"carawayrouter.example/router/internal/endpoint"
	"carawayrouter.example/router/internal/errkind"
	"carawayrouter.example/router/internal/event"
	"carawayrouter.example/router/internal/filter"
	"carawayrouter.example/router/internal/metrics"
	"carawayrouter.example/router/internal/sched"
)

// Schedule acquires endpoints for one attempt and releases them afterwards.
type Schedule struct {
	Scheduler sched.Scheduler
	Events    *event.Ring
	Metrics   *metrics.Set
}

// Name implements filter.Filter.
func (*Schedule) Name() string { return "schedule" }

// Handle implements filter.Filter.
func (f *Schedule) Handle(ctx context.Context, r *filter.Request, next filter.Handler) error {
	grant, err := f.Scheduler.Acquire(ctx, newDemand(r))
	if errkind.Is(err, errkind.NoEndpoint) && len(r.ExcludedEndpoints) > 0 {
		// All usable endpoints have failed this request once. Retry on any of them
		// instead of refusing the request.
		r.ExcludedEndpoints = nil
		grant, err = f.Scheduler.Acquire(ctx, newDemand(r))
	}
	if err != nil {
		return correctExecution(r, err)
	}
	r.Attempt++
	f.Metrics.Attempts.Add(1)
	f.Events.Add(event.Event{Kind: "request.grant", Request: r.ID.String(), Account: accountName(r), Endpoint: grant.Decode.Name})
	r.Grant = grant
	outcome := sched.Abandoned
	defer func() {
		r.Grant = nil
		grant.Release(outcome)
		f.Events.Add(event.Event{Kind: "request.release", Request: r.ID.String(), Endpoint: grant.Decode.Name})
	}()
	err = next(ctx, r)
	outcome = decodeOutcome(err)
	if r.FailedEndpoint == "" {
		r.FailedEndpoint = grant.Decode.Name
	}
	if outcome == sched.Failed {
		r.ExcludedEndpoints = append(r.ExcludedEndpoints, r.FailedEndpoint)
	}
	if err != nil && r.FailedEndpoint != grant.Decode.Name {
		outcome = sched.Abandoned // the failure was already reported for the prefill engine
	}
	return err
}

// decodeOutcome maps the result of an attempt to the outcome reported for the decode
// endpoint.
func decodeOutcome(err error) sched.Outcome {
	if err == nil {
		return sched.Succeeded
	}
	e := errkind.From(err)
	switch e.Kind {
	case errkind.EndpointFailed, errkind.EndpointTimeout:
		switch {
		case errors.Is(err, endpoint.ErrNotSent):
			return sched.Unreachable
		case errors.Is(err, endpoint.ErrFull):
			return sched.Full
		case errors.Is(err, endpoint.ErrGone):
			return sched.Abandoned
		}
		return sched.Failed
	default:
		return sched.Abandoned
	}
}

func newDemand(r *filter.Request) sched.Demand {
	d := sched.Demand{
		ID:         r.ID,
		Account:    accountName(r),
		Weight:     1,
		Pool:       r.Pool.Name,
		Class:      r.Route.Class,
		FirstToken: r.Route.FirstToken,
		MaxWait:    r.Route.MaxWait,
		Arrived:    r.Arrived,
		Exclude:    r.ExcludedEndpoints,
		Prompt:     r.ReservedTokens,
	}
	if r.Account != nil {
		d.Weight = r.Account.Weight * r.Account.Rate
	}
	if c := r.Completion; c != nil {
		d.Model = c.Model
		d.Prompt = endpoint.EstimateTokens(c.Prompt)
		d.MaxOutput = c.MaxTokens
		d.Prefix = endpoint.PrefixHashes(c.Model, c.Prompt)
	}
	return d
}

func accountName(r *filter.Request) string {
	if r.Account == nil {
		return ""
	}
	return r.Account.Name
}
