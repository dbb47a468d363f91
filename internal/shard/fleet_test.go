package shard

import (
	"context"
	"flag"
	"fmt"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"carawayrouter.example/router/internal/member"
	"carawayrouter.example/router/internal/peer/rpc"
	"carawayrouter.example/router/internal/platform"
	"carawayrouter.example/router/internal/platform/memplatform"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "7") // a seed on the command line takes precedence
	m.Run()
}

// instance is one process on loopback with real connections and the real clock.
type instance struct {
	self    member.Session
	members *member.Controller
	shards  *Controller
	client  *rpc.Client
	server  *rpc.Server
	stop    func()
}

// network simulates a partition between the data centres.
type network struct {
	mu          sync.Mutex
	dcOf        map[string]string // by peer address
	partitioned bool              // data centres do not reach each other
}

func (n *network) linkState(dc, addr string) rpc.LinkState {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.partitioned && n.dcOf[addr] != dc {
		return rpc.LinkSilent
	}
	return rpc.LinkOK
}

func (n *network) setPartitioned(partitioned bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned = partitioned
}

// shortTimeouts sets short intervals for tests, in the order that safety requires.
func shortTimeouts(m *member.Options, s *Options) {
	m.RenewEvery, m.HeartbeatEvery, m.SuspectAfter = time.Second, 100*time.Millisecond, 500*time.Millisecond
	m.IsolateAfter, m.LapseAfter, m.DeadAfter = time.Second, 2*time.Second, 3*time.Second
	m.ScanEvery, m.CallTimeout = 300*time.Millisecond, 500*time.Millisecond
	s.RoundEvery, s.ScanEvery, s.StableFor = 100*time.Millisecond, 300*time.Millisecond, 500*time.Millisecond
	s.HandOverEvery, s.HandOverBatch, s.ClaimDelay = 100*time.Millisecond, 16, time.Second
	s.CallTimeout = 500 * time.Millisecond
}

func startInstance(
	t testing.TB, store *memplatform.Store, n *network, dc, name string, times func(*member.Options, *Options),
) *instance {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	addr := ln.Addr().String()
	n.mu.Lock()
	n.dcOf[addr] = dc
	n.mu.Unlock()
	p := store.For(dc)
	server := rpc.NewServer(rpc.Options{})
	client := rpc.NewClient(rpc.Options{LinkStateOf: func(a string) rpc.LinkState { return n.linkState(dc, a) }})
	mo := member.Options{
		Session: member.Session{Name: name, Addr: addr, DataCentre: dc},
		Table:   p.Table, Instances: p.Instances, Caller: client, Registrar: server,
	}
	so := Options{Table: p.Table, Caller: client, Registrar: server}
	times(&mo, &so)
	members, err := member.NewController(mo)
	assert.NilError(t, err)
	so.Members = members
	shards, err := NewController(so)
	assert.NilError(t, err)
	store.SetInstance(platform.Instance{Name: name, Addr: addr, DataCentre: dc, State: platform.Live})
	ctx, cancel := context.WithCancel(context.Background())
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return server.Serve(ln) })
	g.Go(func() error { return members.Run(ctx) })
	g.Go(func() error { return shards.Run(ctx) })
	stop := sync.OnceFunc(func() {
		cancel()
		_ = server.Close()
		_ = client.Close()
		assert.NilError(t, g.Wait())
	})
	t.Cleanup(stop)
	return &instance{self: members.Self(), members: members, shards: shards, client: client, server: server, stop: stop}
}

// assertSingleHolder fails if two instances hold a shard at the same time: one of them
// before and after the other's holdings were read.
func assertSingleHolder(t testing.TB, all []*instance) {
	t.Helper()
	var snapshots [3][]map[Key]uint64
	for i := range snapshots {
		for _, n := range all {
			snapshots[i] = append(snapshots[i], n.shards.Holdings())
		}
	}
	for i := range all {
		for k, epoch := range snapshots[0][i] {
			if snapshots[2][i][k] != epoch {
				continue
			}
			for j := range all {
				assert.Assert(t, i == j || snapshots[1][j][k] == 0, "%s is held by %s and %s", k, all[i].self.Name, all[j].self.Name)
			}
		}
	}
}

// waitFor waits for a condition and checks meanwhile that no shard has two holders.
func waitFor(t testing.TB, all []*instance, what string, ok func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		assertSingleHolder(t, all)
		if ok() {
			return poll.Success()
		}
		return poll.Continue("waiting for %s", what)
	}, poll.WithTimeout(2*time.Minute), poll.WithDelay(10*time.Millisecond))
}

func holdings(all ...*instance) int {
	sum := 0
	for _, n := range all {
		sum += len(n.shards.Holdings())
	}
	return sum
}

// Runs a fleet on real connections through silent connections, a partition between the
// data centres, one of them cut off from the platform, and the loss of an instance.
func TestFleetOnLoopback(t *testing.T) {
	store := memplatform.New(memplatform.Options{})
	n := &network{dcOf: map[string]string{}}
	var all []*instance
	for i, dc := range []string{"a", "a", "a", "b", "b"} {
		all = append(all, startInstance(t, store, n, dc, fmt.Sprintf("i%d", i), shortTimeouts))
	}
	a, b := all[:3], all[3:]
	waitFor(t, all, "balanced shards", func() bool {
		return holdings(a...) == Count && holdings(b...) == Count && holdings(a[0]) < Count/2 && holdings(b[0]) == Count/2
	})

	k := Key{DataCentre: "b"}
	waitFor(t, all, "the home of a shard in another data centre", func() bool {
		_, ok := a[0].shards.Home(k)
		return ok
	})

	// The connections open now stop delivering data; new ones work.
	for _, from := range all {
		for _, to := range all {
			from.client.SilenceOpenConns(to.self.Addr)
		}
	}
	since := time.Now()
	waitFor(t, all, "new connections", func() bool {
		return time.Since(since) > 2*time.Second && holdings(all...) == 2*Count
	})

	// Data centre a cannot reach the store for longer than a session takes to expire; in
	// b, the poller is killed.
	before := a[1].shards.Holdings()
	n.setPartitioned(true)
	store.Cut("a", true)
	b[0].stop()
	store.RemoveInstance(b[0].self.Name)
	cutAt := time.Now()
	waitFor(t, []*instance{a[0], a[1], a[2], b[1]}, "take-over in b", func() bool { return holdings(b[1]) == Count })
	waitFor(t, a, "the cut to last", func() bool { return time.Since(cutAt) > 5*time.Second })
	waitFor(t, a, "a to act without the table", func() bool { return holdings(a...) == Count })
	assert.DeepEqual(t, a[1].shards.Holdings(), before)

	n.setPartitioned(false)
	store.Cut("a", false)
	waitFor(t, a, "a after the cut", func() bool { return holdings(a...) == Count })

	// A graceful shutdown hands all shards over at once.
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	assert.NilError(t, a[0].shards.Release(ctx))
	assert.NilError(t, a[0].members.Leave(ctx))
	waitFor(t, a, "the others to take over", func() bool { return holdings(a[1], a[2]) == Count })
}

// BenchmarkControlCost measures the cost of membership and shards per instance with
// the default intervals. Run it with -benchtime 1x.
func BenchmarkControlCost(b *testing.B) {
	const settle, window = 5 * time.Second, 15 * time.Second
	for _, size := range []int{3, 6, 12, 24} {
		b.Run(fmt.Sprintf("instances=%d", size), func(b *testing.B) {
			store := memplatform.New(memplatform.Options{})
			n := &network{dcOf: map[string]string{}}
			var all []*instance
			for i := range size {
				all = append(all, startInstance(b, store, n, "a", fmt.Sprintf("i%02d", i), func(*member.Options, *Options) {}))
			}
			waitFor(b, all, "balanced shards", func() bool {
				balanced := holdings(all...) == Count
				for _, i := range all {
					balanced = balanced && holdings(i) <= (Count+size-1)/size
				}
				return balanced
			})
			time.Sleep(settle)
			for b.Loop() {
				before, counts := usage(all), store.Counts()
				time.Sleep(window)
				after, now := usage(all), store.Counts()
				per := float64(size) * window.Seconds()
				b.ReportMetric(float64(after.bytes-before.bytes)/per, "bytes/s/instance")
				b.ReportMetric(float64(after.calls-before.calls)/per, "calls/s/instance")
				b.ReportMetric((after.cpu-before.cpu).Seconds()/per*100, "%core/instance")
				b.ReportMetric(float64(now.Writes-counts.Writes)/window.Seconds(), "writes/s")
				b.ReportMetric(float64(now.Reads-counts.Reads)/window.Seconds(), "reads/s")
				b.ReportMetric(float64(now.RowsRead-counts.RowsRead)/window.Seconds(), "rows-read/s")
			}
			for _, i := range all {
				i.stop()
			}
		})
	}
}

type cost struct {
	bytes, calls int64
	cpu          time.Duration // of the whole process, including the in-memory platform
}

func usage(all []*instance) cost {
	var c cost
	for _, i := range all {
		for _, t := range []*rpc.Traffic{i.client.Traffic(), i.server.Traffic()} {
			c.bytes += t.BytesIn.Load() + t.BytesOut.Load()
		}
		c.calls += i.client.Calls()
	}
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err == nil {
		c.cpu = time.Duration(r.Utime.Nano() + r.Stime.Nano())
	}
	return c
}
