package peer

import "context"

type idempotentKey struct{}

// Idempotent returns a context that declares calls made with it idempotent: the
// Caller may send one a second time over a new connection when the first sending
// got no answer.
func Idempotent(ctx context.Context) context.Context {
	return context.WithValue(ctx, idempotentKey{}, true)
}

// IsIdempotent reports whether ctx came from Idempotent.
func IsIdempotent(ctx context.Context) bool {
	v, _ := ctx.Value(idempotentKey{}).(bool)
	return v
}
