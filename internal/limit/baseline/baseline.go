// Package baseline holds simple limiters that the fleet-wide one is compared with.
package baseline

import (
	"context"
	"time"

	"carawayrouter.example/router/internal/clock"
	"carawayrouter.example/router/internal/config"
	"carawayrouter.example/router/internal/errkind"
	"carawayrouter.example/router/internal/limit"
	"carawayrouter.example/router/internal/limit/bucket"
)

// Unlimited admits every request.
type Unlimited struct{}

var _ limit.Limiter = Unlimited{}

// Reserve implements limit.Limiter.
func (Unlimited) Reserve(context.Context, string, int, limit.Wait) (limit.Reservation, error) {
	return reservation{}, nil
}

// reservation implements limit.Reservation by a function, which may be nil.
type reservation struct{ settle func(used int) }

// Settle implements limit.Reservation.
func (r reservation) Settle(used int) {
	if r.settle != nil {
		r.settle(used)
	}
}

// lookup returns the account, or the refusal of a request that it can never hold.
func lookup(source config.Source, account string, tokens int) (*config.Account, error) {
	a := source.Current().Accounts[account]
	if a == nil {
		return nil, errkind.New(errkind.KeyRefused, "client account is not configured")
	}
	if float64(tokens) > a.Burst {
		return nil, errkind.New(errkind.TooLarge, "request needs more tokens than the burst of its client account")
	}
	return a, nil
}

// overRate refuses a request that could be served after d.
func overRate(d time.Duration) error {
	return errkind.New(errkind.OverRate, "client account is above its rate").WithRetryAfter(d)
}

// gone is the answer to a caller that does not wait any longer.
func gone(err error) error {
	return errkind.Wrap(err, errkind.ClientGone, errkind.NotRun, "request was given up while it waited for tokens")
}

// sleep waits for d; it returns early with an error when ctx ends.
func sleep(ctx context.Context, c clock.Clock, d time.Duration) error {
	select {
	case <-ctx.Done():
		return gone(ctx.Err())
	case <-c.After(d):
		return nil
	}
}

func micro(tokens float64) int64 { return int64(tokens * bucket.MicroPerToken) }
