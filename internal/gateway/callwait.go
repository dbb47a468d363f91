package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"carawayrouter.example/router/internal/callqueue"
	"carawayrouter.example/router/internal/errkind"
	"carawayrouter.example/router/internal/placement"
	"carawayrouter.example/router/internal/sched"
)

const (
	maxWaitingCalls = 512
	// waitingCallRatio is the part of the instance's memory that the bodies of waiting calls may take.
	waitingCallRatio = 1.0 / 32
	// waitingCallBytes is the same for an instance without a limit.
	waitingCallBytes = 64 << 20
)

// waitingCall is a plain call that waits for an endpoint.
type waitingCall struct {
	demand placement.Demand
	result chan grant
}

// callLimits returns what may wait at an instance with the given memory, 0 for any.
func callLimits(memoryBytes int64) callqueue.Limits {
	l := callqueue.Limits{Calls: maxWaitingCalls, Bytes: waitingCallBytes}
	if memoryBytes > 0 {
		l.Bytes = int(waitingCallRatio * float64(memoryBytes))
	}
	return l
}

// callPlace returns a lease for a plain call that may still be sent once it has it.
func (x *exchange) callPlace(ctx context.Context) (*placement.Lease, error) {
	l, waited, err := x.waitForPlace(ctx)
	if err != nil || !waited {
		return l, err
	}
	if err = x.admit(); err == nil {
		err = x.endsBeforeExit()
	}
	if err != nil {
		x.s.admission.releaseCall(l, sched.Abandoned)
		return nil, err
	}
	return l, nil
}

// waitForPlace returns a lease for a plain call. While no endpoint has room, the call waits for as long as it can still end in time. The
// error is a refusal with a retry delay.
func (x *exchange) waitForPlace(ctx context.Context) (l *placement.Lease, waited bool, err error) {
	began := time.Now()
	d := x.callDemand()
	c := &callqueue.Call{Pool: d.Pool, Rank: x.priority(), Account: x.account(), Bytes: len(x.call.Body)}
	later := d
	later.Exclude = x.excluded // one that had no room may have some by then
	l, waited, err = x.s.admission.acquireCall(ctx, d, later, c, x.call.Route.FirstToken, x.call.Arrived)
	if !waited {
		return l, false, err
	}
	took := time.Since(began)
	x.queueTime += took
	fields := []any{
		"pool", c.Pool, "rank", c.Rank, "ahead", c.Standing.Ahead, "predicted_ms", c.Standing.Predicted.Milliseconds(), "waiting", c.Standing.Waiting,
		"left_ms", time.Until(c.LastStart).Milliseconds(), "waited_ms", took.Milliseconds(),
	}
	if err != nil {
		x.s.stats.callsRefused.Inc()
		x.decision("no_call_place", append(fields, "cause", err.Error())...)
		return nil, true, err
	}
	x.s.stats.callsWaited.Inc()
	x.decision("call_waited", fields...)
	return l, true, nil
}

// acquireCall is waitForPlace for the demand d, or later if the call has to wait, and the call c, whose times it sets. Waited reports
// whether no endpoint had room.
func (a *admission) acquireCall(ctx context.Context, d, later placement.Demand, c *callqueue.Call, target time.Duration, arrived time.Time) (l *placement.Lease, waited bool, err error) {
	a.mu.Lock()
	now := a.now()
	full := a.calls.Waits(d.Pool)
	if !full {
		l, full = a.sched.PlaceCall(now, d)
		if l == nil && !full && len(later.Exclude) < len(d.Exclude) {
			l, full = a.sched.PlaceCall(now, later)
		}
		if l != nil || !full {
			if l == nil {
				err = a.noPlaceForCall(now, d)
			}
			a.mu.Unlock()
			return l, false, err
		}
	}
	if a.stopped {
		a.mu.Unlock()
		return nil, true, refusal(errkind.ShuttingDown, "this instance is shutting down", shutdownRetryAfter)
	}
	usual := a.sched.CallTime(now, d.Pool)
	c.Due = arrived.Add(target - usual - usual/2) // calls differ in length
	c.LastStart = c.Due
	if latest := d.EndBy.Add(-usual); latest.Before(c.LastStart) {
		c.LastStart = latest
	}
	w := waitingCall{demand: later, result: make(chan grant, 1)}
	a.waitingCalls[c] = w
	evicted, retryAfter, ok := a.calls.Enter(now, c)
	if evicted != nil {
		a.endCall(evicted, a.leastBad(now, a.waitingCalls[evicted].demand, evicted.Standing.Predicted))
	}
	if !ok {
		delete(a.waitingCalls, c)
		g := a.leastBad(now, later, retryAfter)
		a.mu.Unlock()
		return g.lease, true, g.err
	}
	a.serveCalls(now)
	a.armTimer()
	a.mu.Unlock()
	select {
	case g := <-w.result:
		return g.lease, true, g.err
	case <-ctx.Done():
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	select {
	case g := <-w.result:
		if g.lease != nil {
			a.sched.Release(a.now(), g.lease, sched.Abandoned)
		}
	default:
		a.calls.Remove(c)
		delete(a.waitingCalls, c)
	}
	return nil, true, context.Cause(ctx)
}

// leastBad ends the wait of a call that can no longer be on time, or would wait in vain: it goes to the endpoint that is expected to answer
// first, whose own queue may still have room when it arrives. The caller holds the lock.
func (a *admission) leastBad(now time.Time, d placement.Demand, retryAfter time.Duration) grant {
	if l := a.sched.AcquireService(now, d); l != nil {
		return grant{lease: l}
	}
	return grant{err: callsFull(retryAfter)}
}

// callsFull refuses a call for which no endpoint has room in time.
func callsFull(retryAfter time.Duration) error {
	return refusal(errkind.QueueFull, "the endpoints are full", max(retryAfter, endpointRetryAfter))
}

// noPlaceForCall returns the refusal of a call without an endpoint. The caller holds the lock.
func (a *admission) noPlaceForCall(now time.Time, d placement.Demand) error {
	if wait := a.sched.NextTurn(now, d.Pool); wait > 0 {
		return refusal(errkind.EndpointLimit, "the endpoints accept no more requests for now", wait+rand.N(limitRetrySpread))
	}
	return refusal(errkind.NoEndpoint, "no endpoint can be used", a.noEndpointRetryAfter(now, d.Pool))
}

// serveCalls gives the calls that wait the places that there are, and refuses those that can no longer end in time. The caller holds
// the lock.
func (a *admission) serveCalls(now time.Time) {
	if a.calls.Len() == 0 {
		return
	}
	a.calls.Serve(now, func(c *callqueue.Call) bool {
		l, _ := a.sched.PlaceCall(now, a.waitingCalls[c].demand)
		if l != nil {
			a.endCall(c, grant{lease: l})
		}
		return l != nil
	})
	for _, c := range a.calls.Expire(now) {
		a.endCall(c, a.leastBad(now, a.waitingCalls[c].demand, c.Standing.Predicted))
	}
}

// endCall ends the wait of a call. The caller holds the lock.
func (a *admission) endCall(c *callqueue.Call, g grant) {
	a.waitingCalls[c].result <- g
	delete(a.waitingCalls, c)
}

// stopCalls refuses the calls that wait, and lets none wait from now on.
func (a *admission) stopCalls() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stopped = true
	for _, c := range a.calls.Clear() {
		a.endCall(c, grant{err: refusal(errkind.ShuttingDown, "this instance is shutting down", shutdownRetryAfter)})
	}
}

// callsWaiting returns the number of plain calls that wait at this instance.
func (a *admission) callsWaiting() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.calls.Len()
}
