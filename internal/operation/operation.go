// Package operation runs non-idempotent requests at most once, by claiming them in
// the platform's table before dispatch.
package operation

import (
	"context"
	"time"
)

// State is the recorded state of an operation.
type State string

// The states of operations. Claimed becomes Done, Unknown or is released.
const (
	Claimed State = "claimed" // dispatch may have happened
	Done    State = "done"    // answer recorded
	Unknown State = "unknown" // dispatched, outcome not known
)

// Answer is the recorded answer of a finished operation.
type Answer struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type"`
	Body        []byte `json:"body"`
	Truncated   bool   `json:"truncated"` // body was above the size kept
}

// Record is what the table keeps of an operation.
type Record struct {
	Account   string    `json:"account"`
	Key       string    `json:"key"`
	Digest    string    `json:"digest"` // of method, path and body
	State     State     `json:"state"`
	Owner     string    `json:"owner"` // request id that claimed it
	Answer    *Answer   `json:"answer,omitempty"`
	ClaimedAt time.Time `json:"claimed_at"`
}

// Claim is the exclusive right to dispatch one operation once. Exactly one of its
// methods is called.
type Claim interface {
	// Finish records the answer.
	Finish(ctx context.Context, a Answer) error
	// Release gives the claim back; allowed only if nothing was dispatched.
	Release(ctx context.Context) error
	// Abandon records that the outcome is not known.
	Abandon(ctx context.Context) error
}

// Store claims and looks up operations.
type Store interface {
	// Claim returns a Claim, or the recorded answer of the same operation, or an
	// *errkind.Error: OperationConflict, OperationInProgress, OperationUnknown
	// or StoreUnavailable.
	Claim(ctx context.Context, account, key, digest, owner string) (Claim, *Answer, error)
	// Status returns the record, or an *errkind.Error of kind OperationNotFound
	// or StoreUnavailable.
	Status(ctx context.Context, account, key string) (*Record, error)
}
