package filters

import (
	"context"
	"time"

	"carawayrouter.example/router/internal/config"
	"carawayrouter.example/router/internal/filter"
	"carawayrouter.example/router/internal/limit"
)

// RateLimit charges the account for the prompt and the longest output, and gives
// back what was not used.
type RateLimit struct {
	Limiter limit.Limiter
}

// Name implements filter.Filter.
func (*RateLimit) Name() string { return "ratelimit" }

// Handle implements filter.Filter.
func (f *RateLimit) Handle(ctx context.Context, r *filter.Request, next filter.Handler) error {
	if r.Account == nil {
		return next(ctx, r)
	}
	res, err := f.Limiter.Reserve(ctx, r.Account.Name, r.Tokens, limit.Wait{
		Deadline:     r.Arrived.Add(r.Route.MaxWait),
		QueueTimeout: longestQueue(r.Route),
	})
	if err != nil {
		return err
	}
	r.Reservation = res
	defer func() { res.Settle(r.Used) }()
	return next(ctx, r)
}

// longestQueue bounds the wait behind other requests of the account. An interactive
// request that has waited for half of its time to the first token leaves the other
// half to queue and prefill; one that needs longer is told at once when to come back.
func longestQueue(r *config.Route) time.Duration {
	if r.Class == config.Interactive && r.FirstToken > 0 {
		return r.FirstToken / 2
	}
	return 0
}
