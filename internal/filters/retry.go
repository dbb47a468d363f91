package filters

import (
	"context"

	"carawayrouter.example/router/internal/clock"
	"carawayrouter.example/router/internal/errkind"
	"carawayrouter.example/router/internal/event"
	"carawayrouter.example/router/internal/filter"
	"carawayrouter.example/router/internal/metrics"
	"carawayrouter.example/router/internal/retry"
)

// Retry repeats the rest of the chain where the outcome and the route allow it.
type Retry struct {
	MaxAttempts int
	Budget      *retry.Budget
	Backoff     *retry.Backoff
	Clock       clock.Clock
	Events      *event.Ring
	Metrics     *metrics.Set
}

// Name implements filter.Filter.
func (*Retry) Name() string { return "retry" }

// Handle implements filter.Filter.
func (f *Retry) Handle(ctx context.Context, r *filter.Request, next filter.Handler) error {
	f.Budget.Earn()
	for retries := 1; ; retries++ {
		err := next(ctx, r)
		if err == nil || !f.again(ctx, r, err) {
			return err
		}
		f.Metrics.Retries.Add(1)
		f.Events.Add(event.Event{Kind: "retry.wait", Request: r.ID.String(), Detail: err.Error()})
		select {
		case <-f.Clock.After(f.Backoff.Delay(retries)):
		case <-ctx.Done():
			return notRunUnlessSent(r, err)
		}
	}
}

// again decides whether to try once more after err.
func (f *Retry) again(ctx context.Context, r *filter.Request, err error) bool {
	if ctx.Err() != nil || r.Attempt >= f.MaxAttempts || !repeatable(r, errkind.From(err)) {
		return false
	}
	if f.Budget.Spend() {
		return true
	}
	f.Metrics.RetryExhausted.Add(1)
	return false
}

// repeatable reports whether running the request again can do no harm. A request
// that did not run may always be repeated; one that may have run only on
// idempotent routes, and a service's answer only before any of it was passed on.
func repeatable(r *filter.Request, e *errkind.Error) bool {
	switch e.Kind {
	case errkind.EndpointFailed, errkind.EndpointTimeout:
	default:
		return false
	}
	if r.Completion == nil && r.Out.Started() {
		return false
	}
	return e.Execution == errkind.NotRun || r.Route.Idempotent
}
