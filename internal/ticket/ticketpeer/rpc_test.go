package ticketpeer

import (
	"context"
	"net"
	"net/rpc"
)

// callServer makes one call over an in-memory connection.
func callServer(ctx context.Context, srv *rpc.Server, method string, args, reply any) error {
	near, far := net.Pipe()
	go srv.ServeConn(far)
	client := rpc.NewClient(near)
	defer func() { _ = client.Close() }()
	select {
	case call := <-client.Go(method, args, reply, make(chan *rpc.Call, 1)).Done:
		return call.Error
	case <-ctx.Done():
		return ctx.Err()
	}
}
