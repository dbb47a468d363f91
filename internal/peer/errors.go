package peer

import "github.com/cockroachdb/errors"

// ErrUnreachable means that no connection to the instance could be made; the call
// did not run there.
var ErrUnreachable = errors.New("instance cannot be reached")
