package pool

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"carawayrouter.example/router/internal/clock"
	"carawayrouter.example/router/internal/config"
	"carawayrouter.example/router/internal/endpoint"
	"carawayrouter.example/router/internal/errkind"
	"carawayrouter.example/router/internal/reqid"
	"carawayrouter.example/router/internal/sched"
)

// source is a config.Source whose endpoints tests can change.
type source struct {
	mu sync.Mutex
	st *config.State
}

func (s *source) Age() time.Duration { return 0 }

func (s *source) Current() *config.State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.st
}

func (s *source) set(eps []*config.Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.st = config.Build(1, &config.Objects{
		Pools:     []*config.Pool{{Name: "m", Kind: config.ModelPool}, {Name: "svc", Kind: config.ServicePool}},
		Endpoints: eps,
	})
}

// fakeEngine implements the methods that polls call; no others are called.
type fakeEngine struct {
	endpoint.Engine
	running []endpoint.Running
	err     error
}

func (f *fakeEngine) Running(context.Context) ([]endpoint.Running, error) { return f.running, f.err }

func (f *fakeEngine) CacheEvents(context.Context, uint64) ([]endpoint.CacheEvent, error) {
	return []endpoint.CacheEvent{{Seq: 7, Hash: 42}}, nil
}

type fakeDialer map[string]*fakeEngine

func (f fakeDialer) Engine(addr string) endpoint.Engine { return f[addr] }
func (f fakeDialer) Service(string) endpoint.Service    { return nil }

func newLocal(t *testing.T, src config.Source, d endpoint.Dialer) *Local {
	l := NewLocal(Options{
		Config: src, Dialer: d, Clock: clock.Real{}, Rand: rand.New(rand.NewPCG(1, 2)),
		DataCentre: "dc", Logger: logr.Discard(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- l.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-done)
	})
	return l
}

func newPoolDemand(ids *reqid.Source, pool string) sched.Demand {
	return sched.Demand{ID: ids.Next(), Account: "a", Weight: 1, Pool: pool, Class: config.Interactive, Prompt: 10, MaxOutput: 10, MaxWait: 30 * time.Second, Arrived: time.Now()}
}

// TestLocalUnderConcurrency runs many callers that acquire, cancel and release
// concurrently. No engine exceeds its slots, and all slots are free at the end.
func TestLocalUnderConcurrency(t *testing.T) {
	src := &source{}
	src.set(endpoints(2, 2, 3, 100))
	l := newLocal(t, src, nil)
	ids := reqid.NewSource("i", 1)
	var mu sync.Mutex
	held := map[string]int{}
	var wg sync.WaitGroup
	for i := range 20 {
		wg.Go(func() {
			r := rand.New(rand.NewPCG(3, uint64(i)))
			for range 50 {
				ctx, cancel := context.WithCancel(context.Background())
				if r.IntN(3) == 0 {
					time.AfterFunc(time.Duration(r.IntN(500))*time.Microsecond, cancel)
				}
				g, err := l.Acquire(ctx, newPoolDemand(ids, "m"))
				if err != nil {
					assert.Check(t, errkind.Is(err, errkind.ClientGone), "%v", err)
					cancel()
					continue
				}
				mu.Lock()
				held[g.Decode.Name]++
				assert.Check(t, held[g.Decode.Name] <= 3)
				mu.Unlock()
				g.PrefillDone(sched.Succeeded)
				g.FirstToken()
				mu.Lock()
				held[g.Decode.Name]--
				mu.Unlock()
				g.Release(sched.Succeeded)
				g.Release(sched.Failed) // no effect
				cancel()
			}
		})
	}
	wg.Wait()
	assert.Equal(t, l.candidates("m")[0].Load(), Load{Slots: 6, Free: 6})
}

func TestLocalFollowsLeavingAndOtherDataCentres(t *testing.T) {
	src := &source{}
	eps := endpoints(1, 1, 1, 0)
	eps = append(eps, &config.Endpoint{Name: "far", Pool: "svc", Addr: "a", DataCentre: "other", Role: config.Plain},
		&config.Endpoint{Name: "near", Pool: "svc", Addr: "b", DataCentre: "dc", Role: config.Plain, Slots: 1})
	src.set(eps)
	l := newLocal(t, src, nil)
	ids := reqid.NewSource("i", 1)
	acquire := func() string {
		g, err := l.Acquire(context.Background(), newPoolDemand(ids, "svc"))
		assert.NilError(t, err)
		assert.Assert(t, g.Prefill == nil)
		return g.Decode.Name
	}
	assert.Equal(t, acquire(), "near")
	assert.Equal(t, acquire(), "far", "the local data centre is full")
	leaving := *eps[2]
	leaving.Leaving = true
	src.set([]*config.Endpoint{eps[0], eps[1], &leaving})
	_, err := l.Acquire(context.Background(), newPoolDemand(ids, "svc"))
	assert.Assert(t, errkind.Is(err, errkind.NoEndpoint), "%v", err)
	_, err = l.Acquire(context.Background(), newPoolDemand(ids, "nothing"))
	assert.Assert(t, errkind.Is(err, errkind.NoEndpoint), "%v", err)
}

// TestPollerReportsUntrackedWorkAndFailures polls an engine whose slots are taken by
// untracked work and one that does not answer.
func TestPollerReportsUntrackedWorkAndFailures(t *testing.T) {
	src := &source{}
	eps := endpoints(1, 2, 1, 0)
	src.set(eps)
	dialer := fakeDialer{
		eps[0].Addr: {},
		eps[1].Addr: {running: []endpoint.Running{{ID: reqid.ID{Instance: "x", Seq: 1}}}},
		eps[2].Addr: {err: endpoint.ErrCallFailed},
	}
	l := newLocal(t, src, dialer)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if r := l.candidates("m"); len(r) == 1 && r[0].Load() == (Load{Slots: 1}) {
			return poll.Success()
		}
		return poll.Continue("poller has not observed both engines")
	}, poll.WithTimeout(time.Minute))
	d := l.candidates("m")[0].Dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	assert.Equal(t, d.core.targets["p0"].cache.match([]uint64{42}), 1)
}

func TestRunEndRefusesWaitingDemands(t *testing.T) {
	d := NewDispatcher("m", "dc", config.ModelPool, DefaultTuning(), clock.Real{}, rand.New(rand.NewPCG(1, 2)), nil)
	d.SetEndpoints(endpoints(1, 1, 1, 0), nil)
	dem := newDemand(1, "a")
	dem.Arrived = time.Now()
	assert.Assert(t, (<-d.Submit(key(1), dem, time.Time{})).Err == nil)
	wait := d.Submit(key(2), dem, time.Time{})
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	d.Run(ctx)
	assert.Equal(t, (<-wait).Err.Kind, errkind.ShuttingDown)
}
