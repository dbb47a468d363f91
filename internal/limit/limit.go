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

// Wait bounds how long a request waits for tokens.
type Wait struct {
	// Deadline is the longest wait, also where the account's home cannot be asked.
	Deadline time.Time
	// QueueTimeout is the longest time behind other requests of the account, from the
	// first word of its home. Zero means until Deadline.
	QueueTimeout time.Duration
}

// WaitUntil returns a Wait that only a deadline bounds.
func WaitUntil(deadline time.Time) Wait { return Wait{Deadline: deadline} }

// End returns the time at which a wait that starts now in a queue ends.
func (w Wait) End(now time.Time) time.Time {
	if w.QueueTimeout <= 0 || now.Add(w.QueueTimeout).After(w.Deadline) {
		return w.Deadline
	}
	return now.Add(w.QueueTimeout)
}

// Limiter reserves tokens of client accounts.
type Limiter interface {
	// Reserve waits for tokens within the bounds of w. It returns an *errkind.Error of
	// kind OverRate, or TooLarge where tokens exceed the account's burst.
	Reserve(ctx context.Context, account string, tokens int, w Wait) (Reservation, error)
}
