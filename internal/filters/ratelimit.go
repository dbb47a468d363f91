package filters

import (
	"context"
	"time"

	"carawayrouter.example/router/internal/config"
	"carawayrouter.example/router/internal/filter"
	"carawayrouter.example/router/internal/limit"
)

// RateLimit reserves tokens for the prompt and the maximum output from the client account's
// rate limit, and refunds the unused part when the request ends.
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
	res, err := f.Limiter.Reserve(ctx, r.Account.Name, r.ReservedTokens, limit.Wait{
		Deadline:     r.Arrived.Add(r.Route.MaxWait),
		QueueTimeout: maxQueueWait(r.Route),
	})
	if err != nil {
		return err
	}
	r.Reservation = res
	defer func() { res.Settle(r.UsedTokens) }()
	return next(ctx, r)
}

// maxQueueWait returns the maximum time to wait behind other requests of the account; zero
// means until the deadline. An interactive request waits at most half of its target time to the first
// token, which leaves the other half for scheduling and prefill. A request that would wait
// longer is refused at once with a retry time.
func maxQueueWait(r *config.Route) time.Duration {
	if r.Class == config.Interactive && r.FirstToken > 0 {
		return r.FirstToken / 2
	}
	return 0
}
