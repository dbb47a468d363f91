package ticketpeer

import (
	"context"
	"net"
	"net/rpc"
)

// callServer performs one RPC over an in-memory connection.
func callServer(ctx context.Context, srv *rpc.Server, method string, args, reply any) error {
	clientConn, serverConn := net.Pipe()
	go srv.ServeConn(serverConn)
	client := rpc.NewClient(clientConn)
	defer func() { _ = client.Close() }()
	select {
	case call := <-client.Go(method, args, reply, make(chan *rpc.Call, 1)).Done:
		return call.Error
	case <-ctx.Done():
		return ctx.Err()
	}
}
