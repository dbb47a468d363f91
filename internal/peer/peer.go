// Package peer carries calls between instances over net/rpc with a deadline on
// every call.
package peer

import "context"

// Caller calls methods of another instance.
type Caller interface {
	// Call runs method ("Service.Method") at the instance with the given peer
	// address. It returns ErrUnreachable if no connection can be had, a context
	// error when ctx ends first, or the error that the method returned. Every
	// call must be given a ctx with a deadline.
	Call(ctx context.Context, addr, method string, args, reply any) error
}

// Registrar accepts the services that an instance offers to its peers.
type Registrar interface {
	// Register offers the exported methods of rcvr under the given name, as
	// net/rpc defines them.
	Register(name string, rcvr any) error
}
