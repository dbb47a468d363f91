// Package limit defines the interface of the rate limiters that enforce each client
// account's rate and burst across all instances.
package limit

import (
	"context"
	"time"
)

// Reservation holds the tokens charged for a request's prompt and maximum output.
type Reservation interface {
	// Settle refunds the reserved tokens that were not used. Further calls have no
	// effect.
	Settle(used int)
}

// Wait bounds how long a request waits for tokens.
type Wait struct {
	// Deadline ends the wait, including when the account's home is unreachable.
	Deadline time.Time
	// QueueTimeout is the maximum time in the queue behind other requests of the
	// account, measured from the home's first response. Zero means until Deadline.
	QueueTimeout time.Duration
}

// WaitUntil returns a Wait that is bounded only by a deadline.
func WaitUntil(deadline time.Time) Wait { return Wait{Deadline: deadline} }

// End returns the end of a wait for a request that is queued at time now.
func (w Wait) End(now time.Time) time.Time {
	if w.QueueTimeout <= 0 || now.Add(w.QueueTimeout).After(w.Deadline) {
		return w.Deadline
	}
	return now.Add(w.QueueTimeout)
}

// Limiter reserves tokens of client accounts.
type Limiter interface {
	// Reserve waits for tokens within the bounds of w. It returns an *errkind.Error of
	// kind OverRate, or of kind TooLarge if tokens exceeds the account's burst.
	Reserve(ctx context.Context, account string, tokens int, w Wait) (Reservation, error)
}
