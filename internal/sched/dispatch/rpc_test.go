package dispatch

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"carawayrouter.example/router/internal/clock"
	"carawayrouter.example/router/internal/config"
	"carawayrouter.example/router/internal/endpoint"
	"carawayrouter.example/router/internal/member"
	"carawayrouter.example/router/internal/peer/rpc"
	"carawayrouter.example/router/internal/reqid"
	"carawayrouter.example/router/internal/sched"
)

type fixedConfig struct{ st *config.State }

func (f fixedConfig) Current() *config.State { return f.st }
func (f fixedConfig) Age() time.Duration     { return 0 }

// idleEngine is an engine that runs no requests.
type idleEngine struct{ endpoint.Engine }

func (idleEngine) Running(context.Context) ([]endpoint.Running, error) { return nil, nil }

func (idleEngine) CacheEvents(context.Context, uint64) ([]endpoint.CacheEvent, error) {
	return nil, nil
}

type idleDialer struct{}

func (idleDialer) Engine(string) endpoint.Engine   { return idleEngine{} }
func (idleDialer) Service(string) endpoint.Service { return nil }

// newPair starts two nodes connected over TCP and returns the one that is not the
// dispatcher, with its client.
func newPair(tb testing.TB, eps []*config.Endpoint) (*fleetNode, *rpc.Client) {
	tb.Helper()
	st := config.Build(1, &config.Objects{Pools: []*config.Pool{{Name: "m", Kind: config.ModelPool}}, Endpoints: eps})
	var listeners []net.Listener
	var sessions []member.Session
	for i := range 2 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(tb, err)
		listeners = append(listeners, l)
		sessions = append(sessions, member.Session{Name: fmt.Sprint("i", i), Addr: l.Addr().String(), DataCentre: "a", Process: 1})
	}
	var nodes []*fleetNode
	var clients []*rpc.Client
	for i, l := range listeners {
		server, client := rpc.NewServer(rpc.Options{}), rpc.NewClient(rpc.Options{})
		n := New(Options{
			Config: fixedConfig{st}, Members: fixedView{&member.View{Self: sessions[i], Peers: sessions[1-i : 2-i]}},
			Caller: client, Dialer: idleDialer{}, Clock: clock.Real{}, Rand: rand.New(rand.NewPCG(1, uint64(i))), Logger: logr.Discard(),
		})
		assert.NilError(tb, server.Register(ServiceName, n.Service()))
		ctx, cancel := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		wg.Go(func() { _ = server.Serve(l) })
		wg.Go(func() { _ = n.Run(ctx) })
		tb.Cleanup(func() {
			cancel()
			_ = server.Close()
			_ = client.Close()
			wg.Wait()
		})
		nodes = append(nodes, &fleetNode{Node: n, session: sessions[i], ids: reqid.NewSource(sessions[i].Name, 1)})
		clients = append(clients, client)
	}
	addr, _ := nodes[0].dispatcherAddr(Place{"m", "a"})
	if addr == sessions[0].Addr {
		return nodes[1], clients[1]
	}
	return nodes[0], clients[0]
}

func manyEndpoints(slots int) []*config.Endpoint {
	var eps []*config.Endpoint
	for i := range 33 {
		ep := &config.Endpoint{Name: fmt.Sprintf("caption-models-decode-%d", i), Pool: "m", DataCentre: "a", Role: config.Decode, Slots: slots}
		if i%3 == 0 {
			ep.Role, ep.Slots = config.Prefill, 1000
		}
		ep.Addr = ep.Name
		eps = append(eps, ep)
	}
	return eps
}

// TestOverRealConnections serves far more waiting requests than a connection allows
// calls in flight.
func TestOverRealConnections(t *testing.T) {
	n, _ := newPair(t, manyEndpoints(2))
	var wg sync.WaitGroup
	for range 1000 {
		wg.Go(func() {
			g, err := n.Acquire(context.Background(), n.demand())
			if !assert.Check(t, err) {
				return
			}
			g.PrefillDone(sched.Succeeded)
			g.FirstToken()
			g.Release(sched.Succeeded)
		})
	}
	wg.Wait()
}

// BenchmarkAcquireOverConnection measures the scheduling of a request at an instance
// that is not the dispatcher: the time until the grant, and the bytes in both
// directions.
func BenchmarkAcquireOverConnection(b *testing.B) {
	for _, parallel := range []int{1, 64} {
		b.Run(fmt.Sprint(parallel), func(b *testing.B) {
			n, client := newPair(b, manyEndpoints(20))
			time.Sleep(2 * warmUpTime)
			in, out := client.Traffic().BytesIn.Load(), client.Traffic().BytesOut.Load()
			b.SetParallelism(max(1, parallel/10))
			b.ResetTimer()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					d := n.demand()
					d.Account = "kita-shimbun"
					d.Prefix = []uint64{1 << 60, 1 << 61, 1 << 62}
					g, err := n.Acquire(context.Background(), d)
					if err != nil {
						b.Error(err)
						return
					}
					g.PrefillDone(sched.Succeeded)
					g.FirstToken()
					g.Release(sched.Succeeded)
				}
			})
			b.ReportMetric(float64(client.Traffic().BytesIn.Load()-in)/float64(b.N), "B-in/op")
			b.ReportMetric(float64(client.Traffic().BytesOut.Load()-out)/float64(b.N), "B-out/op")
		})
	}
}
