package peer

import "github.com/cockroachdb/errors"

// ErrUnreachable means that no connection to the instance could be established. The call
// was not executed there.
var ErrUnreachable = errors.New("instance cannot be reached")

// ErrConnectionLost means that the connection broke after the call was sent. The call may
// or may not have been executed.
var ErrConnectionLost = errors.New("connection to instance broke during the call")

// RemoteError is an error returned by a method on the remote instance.
type RemoteError struct {
	Method string
	Text   string
}

// Error implements error. It returns the error text of the remote method.
func (e *RemoteError) Error() string { return e.Text }
