package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"carawayrouter.example/router/internal/callqueue"
	"carawayrouter.example/router/internal/config"
	"carawayrouter.example/router/internal/errkind"
	"carawayrouter.example/router/internal/placement"
	"carawayrouter.example/router/internal/sched"
)

// fullDesk returns an admission whose only endpoint has just turned a call away and has one of this instance in progress.
func fullDesk(t *testing.T) (*admission, *placement.Lease) {
	s := placement.New("a", rand.New(rand.NewPCG(1, 1)))
	o := &config.Objects{Pools: []*config.Pool{{Name: "desk", Kind: config.ServicePool}}}
	o.Endpoints = append(o.Endpoints, &config.Endpoint{Name: "e", Pool: "desk", Addr: "10.0.0.1:1", DataCentre: "a", Role: config.Plain, Slots: 2})
	s.SetEndpoints(time.Now(), config.Build(1, o))
	a := newAdmission(s, func(*config.Endpoint) {})
	a.calls = callqueue.New(callLimits(0))
	running, _, err := a.acquireCall(context.Background(), deskDemand(), deskDemand(), deskCall(), time.Second, time.Now())
	assert.NilError(t, err)
	refused, _, err := a.acquireCall(context.Background(), deskDemand(), deskDemand(), deskCall(), time.Second, time.Now())
	assert.NilError(t, err)
	a.releaseCall(refused, sched.Full)
	return a, running
}

func deskDemand() placement.Demand {
	return placement.Demand{Pool: "desk", EndBy: time.Now().Add(30 * time.Second)}
}

func deskCall() *callqueue.Call { return &callqueue.Call{Pool: "desk", Account: "a"} }

// waitAtDesk lets n calls wait, and returns where they end.
func waitAtDesk(ctx context.Context, t *testing.T, a *admission, n int) chan error {
	ends := make(chan error, n)
	for range n {
		go func() {
			l, waited, err := a.acquireCall(ctx, deskDemand(), deskDemand(), deskCall(), time.Second, time.Now())
			if err == nil && !waited {
				err = fmt.Errorf("it did not wait")
			}
			if err == nil {
				a.releaseCall(l, sched.Succeeded)
			}
			ends <- err
		}()
	}
	for a.callsWaiting() < n {
		time.Sleep(time.Millisecond)
		if t.Failed() {
			return nil
		}
	}
	return ends
}

// An instance stops while calls wait: all are refused at once, not run, and none waits from then on.
func TestStopRefusesWaitingCalls(t *testing.T) {
	a, _ := fullDesk(t)
	ends := waitAtDesk(context.Background(), t, a, 3)
	a.stopCalls()
	for range 3 {
		err := <-ends
		assert.Equal(t, errkind.From(err).Kind, errkind.ShuttingDown)
		assert.Equal(t, errkind.From(err).Execution, errkind.NotRun)
	}
	_, _, err := a.acquireCall(context.Background(), deskDemand(), deskDemand(), deskCall(), time.Second, time.Now())
	assert.Equal(t, errkind.From(err).Kind, errkind.ShuttingDown)
	assert.Equal(t, a.callsWaiting(), 0)
}

// The first call that waits goes as soon as a place is free, and the next one when that ends.
func TestFreedPlaceWakesWaitingCalls(t *testing.T) {
	a, running := fullDesk(t)
	ends := waitAtDesk(context.Background(), t, a, 3)
	a.releaseCall(running, sched.Succeeded)
	for range 3 {
		assert.NilError(t, <-ends)
	}
}

// A call leaves with its caller, and one that is over at the same moment frees its place.
func TestWaitingCallLeavesWithItsCaller(t *testing.T) {
	a, running := fullDesk(t)
	ctx, cancel := context.WithCancelCause(context.Background())
	ends := waitAtDesk(ctx, t, a, 2)
	cancel(errCallerGone)
	for range 2 {
		assert.ErrorIs(t, <-ends, errCallerGone)
	}
	assert.Equal(t, a.callsWaiting(), 0)
	a.mu.Lock()
	assert.Equal(t, len(a.waitingCalls), 0)
	a.mu.Unlock()
	a.releaseCall(running, sched.Succeeded)
}

// The only endpoint is lost while calls wait: they stay, and go when a connection to it succeeds.
func TestRecoveredEndpointWakesWaitingCalls(t *testing.T) {
	a, running := fullDesk(t)
	ends := waitAtDesk(context.Background(), t, a, 2)
	a.releaseCall(running, sched.Unreachable)
	assert.Equal(t, a.callsWaiting(), 2)
	a.withScheduler(func(_ time.Time, s *placement.Scheduler) { s.MarkReachable(running.Target) })
	for range 2 {
		assert.NilError(t, <-ends)
	}
}
