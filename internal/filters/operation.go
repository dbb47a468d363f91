package filters

import (
	"context"
	"crypto/sha256"
	"encoding/hex"

	"carawayrouter.example/router/internal/errkind"
	"carawayrouter.example/router/internal/event"
	"carawayrouter.example/router/internal/filter"
	"carawayrouter.example/router/internal/operation"
)

// MaxIdempotencyKey is the maximum length of an idempotency key in bytes.
const MaxIdempotencyKey = 255

// Operation claims non-idempotent requests that have an idempotency key, so that each runs
// at most once, and replays recorded responses.
type Operation struct {
	Store  operation.Store
	Events *event.Ring
}

// Name implements filter.Filter.
func (*Operation) Name() string { return "operation" }

// Handle implements filter.Filter.
func (f *Operation) Handle(ctx context.Context, r *filter.Request, next filter.Handler) error {
	if r.Route.Idempotent || r.IdempotencyKey == "" || r.Completion != nil {
		return next(ctx, r)
	}
	if len(r.IdempotencyKey) > MaxIdempotencyKey {
		return errkind.New(errkind.BadRequest, "Idempotency-Key is longer than 255 bytes")
	}
	if r.Account == nil {
		return errkind.New(errkind.NoKey, "Idempotency-Key needs an account's key")
	}
	claim, answer, err := f.Store.Claim(ctx, r.Account.Name, r.IdempotencyKey, requestDigest(r), r.ID.String())
	if err != nil {
		return err
	}
	if answer != nil {
		f.Events.Add(event.Event{Kind: "operation.replay", Request: r.ID.String(), Account: r.Account.Name})
		return r.Responder.Replay(answer)
	}
	r.Claim = claim
	err = next(ctx, r)
	f.endClaim(r, err)
	return err
}

// endClaim ends a claim that Dispatch did not finish: it is released if the request did not
// run, and marked as having an unknown outcome otherwise.
func (f *Operation) endClaim(r *filter.Request, err error) {
	if r.Claim == nil {
		return
	}
	claim := r.Claim
	r.Claim = nil
	ctx, cancel := context.WithTimeout(context.Background(), claimEndTimeout)
	defer cancel()
	kind := "operation.release"
	if r.Sent && (err == nil || errkind.From(err).Execution != errkind.NotRun) {
		kind = "operation.unknown"
		_ = claim.Abandon(ctx)
	} else {
		_ = claim.Release(ctx)
	}
	f.Events.Add(event.Event{Kind: kind, Request: r.ID.String(), Account: r.Account.Name})
}

// requestDigest hashes the inputs that identify an operation: method, path and body.
func requestDigest(r *filter.Request) string {
	h := sha256.New()
	h.Write([]byte(r.Method))
	h.Write([]byte{0})
	h.Write([]byte(r.Path))
	h.Write([]byte{0})
	h.Write(r.Body)
	return hex.EncodeToString(h.Sum(nil))
}
