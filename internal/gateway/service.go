package gateway

import (
	"context"
	"net/http"
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
	for x.sends < maxSends {
		if err := x.admit(); err != nil {
			if last != nil && errors.Is(err, errQuarantined) {
				return last
			}
			return err
		}
		if !x.reserveSends(1) {
			return last
		}
		lease, err := x.s.admission.acquireService(placement.Demand{Pool: x.call.Pool.Name, Exclude: x.excluded})
		if err != nil {
			if last != nil {
				return last
			}
			return err
		}
		x.decision("place", "endpoint", lease.Target.Name, "sends", x.sends)
		x.crashed = false
		done, err := x.attemptCall(ctx, lease)
		if done {
			return err
		}
		last = err
		x.excluded = append(x.excluded, lease.Target.Name)
		if x.suspected() {
			return last
		}
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
		x.s.stats.retries.Inc()
		x.decision("repeat", "endpoint", lease.Target.Name, "sends", x.sends, "runs", x.runs, "cause", err.Error())
	}
	return last
}

// canRetry reports whether the request may be run again although it may already have run.
func (x *exchange) canRetry() bool {
	return x.call.Route.Idempotent && x.runs < x.call.Route.MaxAttempts
}

// attemptCall makes one attempt. Done is false if another endpoint may be tried.
func (x *exchange) attemptCall(ctx context.Context, l *placement.Lease) (done bool, err error) {
	outcome := sched.Failed
	defer func() { x.s.admission.releaseCall(l, outcome) }()
	if x.call.Route.Idempotent && x.runs+1 < x.call.Route.MaxAttempts {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeoutCause(ctx, x.attemptTimeout(l), errEndpointTimeout)
		defer cancel()
	}
	x.lastEndpoint = l.Target.Name
	resp, err := x.send(ctx, l.Target.Addr, RequestOptions{Endpoint: l.Target.Name})
	if err != nil {
		outcome = outcomeOf(ctx, err)
		x.recordBreak(ctx, l.Target, err)
		return x.recordFailure(err), err
	}
	defer resp.close()
	if resp.HasLoad {
		x.s.admission.withScheduler(func(now time.Time, s *placement.Scheduler) { s.RecordLoad(now, l, resp.Running, resp.Queued) })
	}
	body, err := resp.readAll()
	if err != nil {
		x.recordBreak(ctx, l.Target, err)
		x.runs++
		return !x.canRetry(), err
	}
	if resp.NotRun {
		outcome = refusedOutcome(resp)
		return false, refusal(errkind.NoEndpoint, "the endpoint refused the request", endpointRetryAfter)
	}
	x.runs++
	if err := checkResponse(resp); err != nil {
		return !x.canRetry(), err
	}
	outcome = sched.Succeeded
	x.recordBegun()
	if resp.Status >= 500 && x.canRetry() && time.Until(x.deadline) > x.s.admission.typicalLatency(l) {
		// The endpoint itself reports the failure; another one may succeed.
		x.fallback = &bufferedResponse{status: resp.Status, header: resp.Headers, body: body}
		return false, errors.Newf("endpoint responded with status %d", resp.Status)
	}
	x.resp.send(resp.Status, resp.Headers, body)
	return true, x.resp.writeErr
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

// send sends the request once and counts it.
func (x *exchange) send(ctx context.Context, addr string, opts RequestOptions) (*endpointResponse, error) {
	opts.Account, opts.Deadline = x.account(), x.deadline
	sends, reserved := x.sends, x.reserved
	if x.sends++; x.sends > 1 {
		x.reserved--
	}
	x.s.stats.sends.Inc()
	resp, err := x.s.upstream.do(ctx, endpointRequest{
		endpoint:  opts.Endpoint,
		addr:      addr,
		method:    x.call.Method,
		uri:       x.call.URI,
		host:      x.call.Host,
		header:    x.s.wire.RequestHeaders(x.call, opts),
		body:      x.call.Body,
		attemptID: x.call.ID,
		sendOnce:  !x.call.Route.Idempotent && !opts.PrefillOnly,
	})
	if errors.Is(err, endpoint.ErrNotSent) {
		x.sends, x.reserved = sends, reserved // the endpoint received nothing
	}
	if err == nil && resp.Limit.Malformed {
		x.decision("limit_unreadable", "endpoint", opts.Endpoint)
	}
	return resp, err
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
