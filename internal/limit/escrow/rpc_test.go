package escrow

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"carawayrouter.example/router/internal/peer"
	"carawayrouter.example/router/internal/peer/rpc"
)

// Over real connections an account with far more waiting requests than a connection
// may have calls in progress does not hold up another one at the same home.
func TestFloodOverRealConnections(t *testing.T) {
	const maxCalls = 32
	w := emptyWorld(oneDC, acct("flood", 20_000, 20_000), acct("calm", 20_000, 20_000))
	w.listen = func() (peer.Caller, peer.Registrar, string) {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		s := rpc.NewServer(rpc.Options{MaxCallsPerConn: maxCalls})
		c := rpc.NewClient(rpc.Options{})
		served := make(chan error, 1)
		go func() { served <- s.Serve(ln) }()
		t.Cleanup(func() {
			assert.NilError(t, c.Close())
			assert.NilError(t, s.Close())
			assert.NilError(t, <-served)
		})
		return c, s, ln.Addr().String()
	}
	w.populate(2)
	defer w.endNow()
	home := w.home("a", "calm")
	w.assign(keyOf("a", "flood"), home)
	n := w.other(home)
	_, _, err := n.reserve("flood", 20_000, 5*time.Second)
	assert.NilError(t, err)
	var wg sync.WaitGroup
	var left atomic.Int64
	for range 20 * maxCalls {
		left.Add(1)
		wg.Go(func() {
			defer left.Add(-1)
			if r, u, err := n.reserve("flood", 100, 30*time.Second); err == nil {
				n.settle(r, u, 50)
			} else {
				t.Error(err)
			}
		})
	}
	for range 20 {
		r, u, err := n.reserve("calm", 100, 10*time.Second)
		assert.NilError(t, err)
		n.settle(r, u, 50)
	}
	assert.Assert(t, left.Load() > 10*maxCalls, "%d requests of the flood left", left.Load())
	wg.Wait()
	w.checkNoExcess(t, "flood", 20_000, 20_000)
}
