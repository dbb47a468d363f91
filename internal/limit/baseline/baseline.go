// Package baseline implements simple rate limiters as baselines for comparison with
// the distributed limiter in package escrow.
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

// reservation implements limit.Reservation with a function, which may be nil.
type reservation struct{ settle func(used int) }

// Settle implements limit.Reservation.
func (r reservation) Settle(used int) {
	if r.settle != nil {
		r.settle(used)
	}
}

// checkAccount returns the account, or an error if it is not configured or tokens
// exceeds its burst.
func checkAccount(source config.Source, account string, tokens int) (*config.Account, error) {
	a := source.Current().Accounts[account]
	if a == nil {
		return nil, errkind.New(errkind.KeyRefused, "client account is not configured")
	}
	if float64(tokens) > a.Burst {
		return nil, errkind.New(errkind.TooLarge, "request needs more tokens than the burst of its client account")
	}
	return a, nil
}

// overRateError returns the refusal of a request that could be served after d.
func overRateError(d time.Duration) error {
	return errkind.New(errkind.OverRate, "client account is above its rate").WithRetryAfter(d)
}

// callerGoneError returns the error for a caller that has stopped waiting.
func callerGoneError(err error) error {
	return errkind.Wrap(err, errkind.ClientGone, errkind.NotRun, "request was given up while it waited for tokens")
}

// sleep waits for d; it returns early with an error when ctx ends.
func sleep(ctx context.Context, c clock.Clock, d time.Duration) error {
	select {
	case <-ctx.Done():
		return callerGoneError(ctx.Err())
	case <-c.After(d):
		return nil
	}
}

func toMicroTokens(tokens float64) int64 { return int64(tokens * bucket.MicroPerToken) }
