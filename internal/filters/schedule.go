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

// Schedule obtains endpoints for one attempt and gives them back afterwards.
type Schedule struct {
	Scheduler sched.Scheduler
	Events    *event.Ring
	Metrics   *metrics.Set
}

// Name implements filter.Filter.
func (*Schedule) Name() string { return "schedule" }

// Handle implements filter.Filter.
func (f *Schedule) Handle(ctx context.Context, r *filter.Request, next filter.Handler) error {
	grant, err := f.Scheduler.Acquire(ctx, demand(r))
	if errkind.Is(err, errkind.NoEndpoint) && len(r.Excluded) > 0 {
		// Every endpoint failed the request once; one of them is better than none.
		r.Excluded = nil
		grant, err = f.Scheduler.Acquire(ctx, demand(r))
	}
	if err != nil {
		return notRunUnlessSent(r, err)
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
	outcome = outcomeOf(err)
	if r.FailedEndpoint == "" {
		r.FailedEndpoint = grant.Decode.Name
	}
	if outcome == sched.Failed {
		r.Excluded = append(r.Excluded, r.FailedEndpoint)
	}
	if err != nil && r.FailedEndpoint != grant.Decode.Name {
		outcome = sched.Abandoned // the prefill engine was judged by its own outcome
	}
	return err
}

// outcomeOf maps the result of an attempt to what it says of the decode endpoint.
func outcomeOf(err error) sched.Outcome {
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

func demand(r *filter.Request) sched.Demand {
	d := sched.Demand{
		ID:         r.ID,
		Account:    accountName(r),
		Weight:     1,
		Pool:       r.Pool.Name,
		Class:      r.Route.Class,
		FirstToken: r.Route.FirstToken,
		MaxWait:    r.Route.MaxWait,
		Arrived:    r.Arrived,
		Exclude:    r.Excluded,
		Prompt:     r.Tokens,
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
