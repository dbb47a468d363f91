// Package operation defines the claims that let non-idempotent requests run at most once:
// a request is claimed in the platform's table before it is dispatched.
package operation

import (
	"context"
	"time"
)

// State is the recorded state of an operation.
type State string

// States of an operation. A claimed operation becomes Done or Unknown, or its claim is
// released.
const (
	Claimed State = "claimed" // may have been dispatched
	Done    State = "done"    // answer has been recorded
	Unknown State = "unknown" // dispatched, outcome unknown
)

// Answer is the recorded response of a finished operation.
type Answer struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type"`
	Body        []byte `json:"body"`
	Truncated   bool   `json:"truncated"` // the body exceeded the size limit
}

// Record is the stored record of an operation.
type Record struct {
	Account   string    `json:"account"`
	Key       string    `json:"key"`
	Digest    string    `json:"digest"` // of the method, path and body
	State     State     `json:"state"`
	Owner     string    `json:"owner"` // ID of the request that claimed the operation
	Answer    *Answer   `json:"answer,omitempty"`
	ClaimedAt time.Time `json:"claimed_at"`
}

// Claim is the exclusive right to dispatch an operation once. Callers must call exactly
// one of its methods.
type Claim interface {
	// Finish records the answer.
	Finish(ctx context.Context, a Answer) error
	// Release releases the claim. It may be called only if nothing was dispatched.
	Release(ctx context.Context) error
	// Abandon records that the outcome is unknown.
	Abandon(ctx context.Context) error
}

// Store claims and looks up operations.
type Store interface {
	// Claim returns a Claim, the recorded answer of the same operation, or an
	// *errkind.Error of kind OperationConflict, OperationInProgress,
	// OperationUnknown or StoreUnavailable.
	Claim(ctx context.Context, account, key, digest, owner string) (Claim, *Answer, error)
	// Status returns the record, or an *errkind.Error of kind OperationNotFound
	// or StoreUnavailable.
	Status(ctx context.Context, account, key string) (*Record, error)
}
