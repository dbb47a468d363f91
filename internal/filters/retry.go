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

// Retry retries the rest of the chain if the error, the route and the retry budget allow it.
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
	f.Budget.Deposit()
	for retries := 1; ; retries++ {
		err := next(ctx, r)
		if err == nil || !f.shouldRetry(ctx, r, err) {
			return err
		}
		f.Metrics.Retries.Add(1)
		f.Events.Add(event.Event{Kind: "retry.wait", Request: r.ID.String(), Detail: err.Error()})
		select {
		case <-f.Clock.After(f.Backoff.Delay(retries)):
		case <-ctx.Done():
			return correctExecution(r, err)
		}
	}
}

// shouldRetry reports whether to make another attempt after err.
func (f *Retry) shouldRetry(ctx context.Context, r *filter.Request, err error) bool {
	if ctx.Err() != nil || r.Attempt >= f.MaxAttempts || !safeToRetry(r, errkind.From(err)) {
		return false
	}
	if f.Budget.TryWithdraw() {
		return true
	}
	f.Metrics.RetryExhausted.Add(1)
	return false
}

// safeToRetry reports whether a failed request may be sent again. A request that did not run
// is always safe to retry; one that may have run is safe on idempotent routes only. A service
// call is not retried once part of the response was forwarded.
func safeToRetry(r *filter.Request, e *errkind.Error) bool {
	switch e.Kind {
	case errkind.EndpointFailed, errkind.EndpointTimeout:
	default:
		return false
	}
	if r.Completion == nil && r.Responder.Started() {
		return false
	}
	return e.Execution == errkind.NotRun || r.Route.Idempotent
}
