package peer

import "context"

type idempotentKey struct{}

// Idempotent returns a context that marks calls made with it as idempotent. The Caller may
// resend such a call once over a new connection if it got no reply.
func Idempotent(ctx context.Context) context.Context {
	return context.WithValue(ctx, idempotentKey{}, true)
}

// IsIdempotent reports whether ctx is derived from a context returned by Idempotent.
func IsIdempotent(ctx context.Context) bool {
	v, _ := ctx.Value(idempotentKey{}).(bool)
	return v
}
