package filters

import (
	"context"

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
	res, err := f.Limiter.Reserve(ctx, r.Account.Name, r.Tokens, r.Arrived.Add(r.Route.MaxWait))
	if err != nil {
		return err
	}
	r.Reservation = res
	defer func() { res.Settle(r.Used) }()
	return next(ctx, r)
}
