// Package limit enforces each client account's rate and burst over the whole fleet.
package limit

import (
	"context"
	"time"
)

// Reservation is a charge for a request's prompt and longest output.
type Reservation interface {
	// Settle gives back what was reserved above the tokens used. Further calls
	// have no effect.
	Settle(used int)
}

// Limiter reserves tokens of client accounts.
type Limiter interface {
	// Reserve waits until deadline for tokens. It returns an *errkind.Error of
	// kind OverRate, or TooLarge where tokens exceed the account's burst.
	Reserve(ctx context.Context, account string, tokens int, deadline time.Time) (Reservation, error)
}
