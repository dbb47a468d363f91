// Package sendonce keeps http.Transport from sending a request a second time.
package sendonce

import (
	"context"
	"net/http/httptrace"
	"sync/atomic"
)

// Context returns a context for one request. It ends when the request was written to a connection and is
// about to be sent over another one, as http.Transport does after a kept connection was closed.
func Context(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	var written atomic.Bool
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) {
			if written.Load() {
				cancel()
			}
		},
		WroteRequest: func(i httptrace.WroteRequestInfo) { written.Store(i.Err == nil) },
	}), cancel
}
