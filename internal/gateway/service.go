package gateway

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"carawayrouter.example/router/internal/endpoint"
	"carawayrouter.example/router/internal/errkind"
	"carawayrouter.example/router/internal/placement"
	"carawayrouter.example/router/internal/sched"
)

const (
	// Minimum timeouts of an attempt that can be retried on another endpoint. With shorter
	// ones, calls that are merely slow would be retried.
	attemptLatencyFactor = 6   // multiple of the pool's typical latency
	attemptTargetRatio   = 0.6 // fraction of the latency target
	maxSends             = 4   // per request, including sends that the endpoint refused
)

// service runs a service call. It is retried only if the route allows it, or if the endpoint
// states that the call did not run.
func (x *exchange) service(ctx context.Context) error {
	var last error
	var next *placement.Lease // acquired for the next attempt
	for x.sends < maxSends {
		if err := x.admit(); err != nil {
			x.returnLease(next)
			if last != nil && errors.Is(err, errQuarantined) {
				return last
			}
			return err
		}
		if !x.reserveSends(1) {
			x.returnLease(next)
			return last
		}
		lease := next
		if lease == nil {
			var err error
			if lease, err = x.s.admission.acquireService(x.callDemand()); err != nil {
				if last != nil {
					return last
				}
				return err
			}
		}
		x.decision("place", "endpoint", lease.Target.Name, "sends", x.sends)
		x.crashed = false
		var done bool
		var err error
		next, done, err = x.attemptCall(ctx, lease)
		if done {
			x.returnLease(next)
			return err
		}
		last = err
		x.excluded = append(x.excluded, lease.Target.Name)
		if x.suspected() {
			x.returnLease(next)
			return last
		}
		if ctx.Err() != nil {
			x.returnLease(next)
			return context.Cause(ctx)
		}
		x.s.stats.retries.Inc()
		x.decision("repeat", "endpoint", lease.Target.Name, "sends", x.sends, "runs", x.runs, "cause", err.Error())
	}
	x.returnLease(next)
	return last
}

func (x *exchange) callDemand() placement.Demand {
	return placement.Demand{Pool: x.call.Pool.Name, Exclude: x.excluded}
}

// returnLease releases a lease that was not used, if there is one.
func (x *exchange) returnLease(l *placement.Lease) {
	if l != nil {
		x.s.admission.releaseCall(l, sched.Abandoned)
	}
}

// canRetry reports whether the request may be run again although it may already have run.
func (x *exchange) canRetry() bool {
	return x.call.Route.Idempotent && x.runs < x.call.Route.MaxAttempts
}

// attemptCall makes one attempt. Done is false if another endpoint may be tried; next is a lease
// for that if the attempt was given up because its endpoint was silent.
func (x *exchange) attemptCall(ctx context.Context, l *placement.Lease) (next *placement.Lease, done bool, err error) {
	outcome := sched.Failed
	defer func() { x.s.admission.releaseCall(l, outcome) }()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	x.lastEndpoint = l.Target.Name
	p := x.startCall(ctx, l.Target.Addr, RequestOptions{Endpoint: l.Target.Name})
	next = x.awaitCall(l, p, cancel)
	x.finishCall(p, l.Target.Name)
	resp, body, err := p.resp, p.body, p.err
	if resp == nil {
		outcome = outcomeOf(ctx, err)
		x.recordBreak(ctx, l.Target, err)
		return next, x.recordFailure(err), err
	}
	defer resp.close()
	if resp.HasLoad {
		x.s.admission.withScheduler(func(now time.Time, s *placement.Scheduler) { s.RecordLoad(now, l, resp.Running, resp.Queued) })
	}
	if err != nil {
		x.recordBreak(ctx, l.Target, err)
		x.runs++
		return next, !x.canRetry(), err
	}
	if resp.NotRun {
		outcome = refusedOutcome(resp)
		return next, false, refusal(errkind.NoEndpoint, "the endpoint refused the request", endpointRetryAfter)
	}
	x.runs++
	if err := checkResponse(resp); err != nil {
		return next, !x.canRetry(), err
	}
	outcome = sched.Succeeded
	x.recordBegun()
	if resp.Status >= 500 && x.canRetry() && time.Until(x.deadline) > x.s.admission.typicalLatency(l) {
		// The endpoint itself reports the failure; another one may succeed.
		x.fallback = &bufferedResponse{status: resp.Status, header: resp.Headers, body: body}
		return next, false, errors.Newf("endpoint responded with status %d", resp.Status)
	}
	x.resp.send(resp.Status, resp.Headers, body)
	return next, true, x.resp.writeErr
}

// awaitCall waits for the response to a call. If the endpoint is silent for too long, and another
// one may and can be tried, it gives the call up and returns the lease for the other one.
func (x *exchange) awaitCall(l *placement.Lease, p *pendingCall, cancel context.CancelCauseFunc) *placement.Lease {
	if !x.call.Route.Idempotent || x.runs+1 >= x.call.Route.MaxAttempts {
		<-p.answered
		return nil
	}
	silence := time.NewTimer(x.attemptTimeout(l))
	defer silence.Stop()
	for {
		select {
		case <-p.answered:
			return nil
		case <-silence.C:
			if next := x.acquireOther(l); next != nil {
				cancel(errEndpointTimeout)
				<-p.answered
				return next
			}
			silence.Reset(standbyRetryDelay)
		}
	}
}

// acquireOther returns a lease at another endpoint than that of l, or nil if the call may not or
// cannot be sent to one.
func (x *exchange) acquireOther(l *placement.Lease) *placement.Lease {
	if x.sends >= maxSends || x.admit() != nil || !x.reserveSends(1) {
		return nil
	}
	d := x.callDemand()
	d.Exclude = append(slices.Clone(d.Exclude), l.Target.Name)
	next, err := x.s.admission.acquireService(d)
	if err != nil {
		x.decision("no_standby", "endpoint", l.Target.Name, "cause", err.Error())
		return nil
	}
	return next
}

var (
	errEndpointTimeout = errors.New("endpoint did not respond in time")
	errUnsigned        = errors.New("response is not signed by the endpoint or was re-encoded")
)

// checkResponse returns an error for a response that must not reach a caller.
func checkResponse(resp *endpointResponse) error {
	if resp.Encoded || (resp.Status < 300 && !resp.Signed) {
		return errors.Mark(errUnsigned, endpoint.ErrCallFailed)
	}
	return nil
}

// refusedOutcome returns what a request that was not run says about the endpoint: it is full,
// or another endpoint has taken its address.
func refusedOutcome(resp *endpointResponse) sched.Outcome {
	if resp.WrongEndpoint {
		return sched.Replaced
	}
	return sched.Full
}

// pendingCall is a request whose whole response is read in the background.
type pendingCall struct {
	answered chan struct{}     // closed when the fields below are set
	resp     *endpointResponse // nil if no response began; must be closed
	body     []byte
	err      error
}

// startCall sends the request once and counts it.
func (x *exchange) startCall(ctx context.Context, addr string, opts RequestOptions) *pendingCall {
	x.countSend()
	req := x.request(addr, opts)
	p := &pendingCall{answered: make(chan struct{})}
	go func() {
		defer close(p.answered)
		if p.resp, p.err = x.s.upstream.do(ctx, req); p.err == nil {
			p.body, p.err = p.resp.readAll()
		}
	}()
	return p
}

// finishCall records what an answered call says about its endpoint.
func (x *exchange) finishCall(p *pendingCall, endpointName string) {
	if errors.Is(p.err, endpoint.ErrNotSent) {
		x.uncountSend()
	}
	if p.resp != nil {
		x.reportLimit(p.resp, endpointName)
	}
}

// request returns the request to an endpoint.
func (x *exchange) request(addr string, opts RequestOptions) endpointRequest {
	opts.Account, opts.Deadline = x.account(), x.deadline
	return endpointRequest{
		endpoint:  opts.Endpoint,
		addr:      addr,
		method:    x.call.Method,
		uri:       x.call.URI,
		host:      x.call.Host,
		header:    x.s.wire.RequestHeaders(x.call, opts),
		body:      x.call.Body,
		attemptID: x.call.ID,
		sendOnce:  !x.call.Route.Idempotent && !opts.PrefillOnly,
	}
}

// countSend counts a request to an endpoint. The first one needs no reservation.
func (x *exchange) countSend() {
	if x.sends++; x.sends > 1 {
		x.reserved--
	}
	x.s.stats.sends.Inc()
}

// uncountSend takes back a send of which the endpoint received nothing.
func (x *exchange) uncountSend() {
	if x.sends--; x.sends > 0 {
		x.reserved++
	}
}

// reportLimit logs a limit that cannot be read.
func (x *exchange) reportLimit(resp *endpointResponse, endpoint string) {
	if resp.Limit.Malformed {
		x.decision("limit_unreadable", "endpoint", endpoint)
	}
}

// recordFailure records an attempt without a response and reports whether it was the last one.
func (x *exchange) recordFailure(err error) (done bool) {
	if errors.Is(err, endpoint.ErrNotSent) {
		return false
	}
	x.runs++
	return !x.canRetry() || errors.Is(err, errCallerGone)
}

// attemptTimeout is how long the endpoint has to respond before the call is retried on another
// one.
func (x *exchange) attemptTimeout(l *placement.Lease) time.Duration {
	target := time.Duration(attemptTargetRatio * float64(x.call.Route.FirstToken))
	return max(target, attemptLatencyFactor*x.s.admission.typicalLatency(l))
}

// bufferedResponse is a response that is sent if no other attempt succeeds.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}
