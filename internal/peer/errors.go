package peer

import "github.com/cockroachdb/errors"

// ErrUnreachable means that no connection to the instance could be made; the call
// did not run there.
var ErrUnreachable = errors.New("instance cannot be reached")

// ErrConnectionLost means that the connection broke after the call was sent; it may or may
// not have run.
var ErrConnectionLost = errors.New("connection to instance broke during the call")

// RemoteError is the error that a method returned at the other instance.
type RemoteError struct {
	Method string
	Text   string
}

// Error implements error. It returns the text that the method gave.
func (e *RemoteError) Error() string { return e.Text }
