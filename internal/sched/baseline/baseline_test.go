package baseline

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"carawayrouter.example/router/internal/clock"
	"carawayrouter.example/router/internal/config"
	"carawayrouter.example/router/internal/endpoint"
	"carawayrouter.example/router/internal/errkind"
	"carawayrouter.example/router/internal/reqid"
	"carawayrouter.example/router/internal/sched"
	"carawayrouter.example/router/internal/sched/pool"
)

type source struct{ st *config.State }

func (s source) Current() *config.State { return s.st }
func (s source) Age() time.Duration     { return 0 }

type fakeEngine struct {
	endpoint.Engine
	running int
}

func (r fakeEngine) Load(context.Context) (endpoint.LoadReport, error) {
	return endpoint.LoadReport{Running: r.running, Slots: 10}, nil
}

type fakeDialer map[string]fakeEngine

func (d fakeDialer) Engine(addr string) endpoint.Engine { return d[addr] }
func (d fakeDialer) Service(string) endpoint.Service    { return nil }

func newSource() source {
	ep := func(name string, r config.Role, dc string) *config.Endpoint {
		return &config.Endpoint{Name: name, Addr: name, Pool: "m", Role: r, DataCentre: dc, Slots: 1}
	}
	return source{config.Build(1, &config.Objects{
		Pools: []*config.Pool{{Name: "m", Kind: config.ModelPool}},
		Endpoints: []*config.Endpoint{
			ep("p0", config.Prefill, "a"), ep("d0", config.Decode, "a"), ep("d1", config.Decode, "a"), ep("d2", config.Decode, "b"),
		},
	})}
}

func TestRoundRobinTakesTurns(t *testing.T) {
	r := NewRoundRobin(newSource(), "a")
	used := map[string]int{}
	for range 10 {
		g, err := r.Acquire(context.Background(), sched.Demand{Pool: "m"})
		assert.NilError(t, err)
		assert.Equal(t, g.Prefill.Name, "p0")
		used[g.Decode.Name]++
	}
	assert.DeepEqual(t, used, map[string]int{"d0": 5, "d1": 5})
	g, err := r.Acquire(context.Background(), sched.Demand{Pool: "m", Exclude: []string{"d0", "d1"}})
	assert.NilError(t, err)
	assert.Equal(t, g.Decode.Name, "d2")
	_, err = r.Acquire(context.Background(), sched.Demand{Pool: "m", Exclude: []string{"p0"}})
	assert.Assert(t, errkind.Is(err, errkind.NoEndpoint))
}

func TestLeastLoadedFollowsReports(t *testing.T) {
	l := NewLeastLoaded(newSource(), fakeDialer{"d0": {running: 5}, "d1": {running: 2}}, clock.Real{}, "a")
	l.poll(context.Background())
	for range 4 {
		g, err := l.Acquire(context.Background(), sched.Demand{Pool: "m"})
		assert.NilError(t, err)
		assert.Equal(t, g.Decode.Name, "d1")
	}
}

// TestFIFOServesByArrival checks the behaviour that fair queuing prevents: the last
// account to arrive waits behind all requests of a flood.
func TestFIFOServesByArrival(t *testing.T) {
	l := NewDecodeFirstFIFO(pool.Options{Config: newSource(), Clock: clock.Real{}, Rand: rand.New(rand.NewPCG(1, 2)), DataCentre: "a"})
	ids := reqid.NewSource("i", 1)
	demand := func(account string) sched.Demand {
		return sched.Demand{ID: ids.Next(), Pool: "m", Account: account, Prompt: 1, MaxOutput: 1, MaxWait: time.Hour, Arrived: time.Now()}
	}
	var held []*sched.Grant
	for range 3 { // including the decode engine of the other data centre
		g, err := l.Acquire(context.Background(), demand("flood"))
		assert.NilError(t, err)
		g.PrefillDone(sched.Succeeded)
		held = append(held, g)
	}
	served := make(chan string, 4)
	grants := make(chan *sched.Grant, 4)
	for i, account := range []string{"flood", "flood", "flood", "modest"} {
		started := make(chan struct{})
		go func() {
			close(started)
			g, err := l.Acquire(context.Background(), demand(account))
			assert.Check(t, err)
			g.PrefillDone(sched.Succeeded)
			served <- account
			grants <- g
		}()
		<-started
		waitForQueued(t, l, i+1)
	}
	held[0].Release(sched.Succeeded)
	for range 3 {
		assert.Equal(t, <-served, "flood")
		(<-grants).Release(sched.Succeeded)
	}
	assert.Equal(t, <-served, "modest")
	(<-grants).Release(sched.Succeeded)
}

// waitForQueued waits until n demands are queued.
func waitForQueued(t *testing.T, l *pool.Local, n int) {
	t.Helper()
	for range 10000 {
		if l.Waiting("m") == n {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatalf("%d demands are queued, want %d", l.Waiting("m"), n)
}
