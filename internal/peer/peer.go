// Package peer defines the RPC interface between instances, which is based on net/rpc.
// Every call has a deadline.
package peer

import "context"

// Caller calls methods of another instance.
type Caller interface {
	// Call invokes method ("Service.Method") on the instance with the given peer
	// address. It returns ErrUnreachable if no connection can be established,
	// ErrConnectionLost if the connection breaks during the call, a context error if
	// ctx ends first, or the error returned by the method as a *RemoteError. ctx must
	// have a deadline.
	Call(ctx context.Context, addr, method string, args, reply any) error
}

// Registrar registers the RPC services that an instance offers to its peers.
type Registrar interface {
	// Register makes the exported methods of rcvr callable under the given service
	// name. The methods must have the signature required by net/rpc.
	Register(name string, rcvr any) error
}
