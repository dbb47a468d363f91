package gateway

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"carawayrouter.example/router/internal/config"
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
	// maxCallOverlap is how long two endpoints may work on one call; a refusal comes at once.
	maxCallOverlap = 300 * time.Millisecond
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
		lease, err := x.s.admission.acquireService(x.callDemand())
		if err != nil {
			if last != nil {
				return last
			}
			return err
		}
		x.crashed = false
		done, err := x.attemptCall(ctx, x.startCallRun(ctx, lease))
		if done {
			return err
		}
		last = err
		if x.suspected() {
			return last
		}
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
		x.s.stats.retries.Inc()
		x.decision("repeat", "endpoint", x.lastEndpoint, "sends", x.sends, "runs", x.runs, "cause", err.Error())
	}
	return last
}

func (x *exchange) callDemand() placement.Demand {
	return placement.Demand{Pool: x.call.Pool.Name, Exclude: x.excluded, Homes: x.homes()}
}

// canRetry reports whether the request may be run again although it may already have run.
func (x *exchange) canRetry() bool {
	return x.call.Route.Idempotent && x.runs < x.call.Route.MaxAttempts
}

// callRun is a service call at one endpoint.
type callRun struct {
	lease   *placement.Lease
	call    *pendingCall
	cancel  context.CancelCauseFunc
	standby bool // sent while another endpoint has the call
}

// startCallRun sends the call to the lease's endpoint.
func (x *exchange) startCallRun(ctx context.Context, l *placement.Lease) *callRun {
	x.decision("place", x.s.appendChoice([]any{"endpoint", l.Target.Name, "sends", x.sends}, "", l.TargetChoice)...)
	x.lastEndpoint = l.Target.Name
	r := &callRun{lease: l}
	ctx, r.cancel = context.WithCancelCause(ctx)
	x.countSend()
	r.call = x.s.upstream.startCall(ctx, x.request(l.Target, RequestOptions{}))
	return r
}

// attemptCall waits for the response to a call. While its endpoint is silent, and another one may
// and can be tried, the call is sent to that one too, and given up at the silent one when the
// other one has not refused it. Done is false if another endpoint may be tried.
func (x *exchange) attemptCall(ctx context.Context, run *callRun) (done bool, err error) {
	silence := time.NewTimer(x.attemptTimeout(run.lease))
	defer silence.Stop()
	var standby *callRun
	for {
		var standbyAnswered chan struct{}
		if standby != nil {
			standbyAnswered = standby.call.answered
		}
		select {
		case <-run.call.answered:
			done, err = x.finishCallRun(ctx, run, standby != nil)
			if done || standby == nil {
				if standby != nil {
					x.abandonCallRun(standby, sched.Abandoned)
				}
				return done, err
			}
			run, standby = promote(standby, silence, x.attemptTimeout(standby.lease)), nil
		case <-standbyAnswered:
			if standby.call.refused() {
				_, err = x.finishCallRun(ctx, standby, true)
				x.decision("no_standby", "endpoint", run.lease.Target.Name, "cause", err.Error())
				standby = nil
				silence.Reset(standbyRetryDelay)
				continue
			}
			x.abandonCallRun(run, sched.Failed)
			run, standby = promote(standby, silence, x.attemptTimeout(standby.lease)), nil
		case <-silence.C:
			switch {
			case standby != nil:
				x.abandonCallRun(run, sched.Failed)
				run, standby = promote(standby, silence, x.attemptTimeout(standby.lease)), nil
			case x.call.Route.Idempotent && x.runs+1 < x.call.Route.MaxAttempts:
				if other := x.acquireOther(run.lease); other != nil {
					standby = x.startCallRun(ctx, other)
					standby.standby = true
					silence.Reset(maxCallOverlap)
				} else {
					silence.Reset(standbyRetryDelay)
				}
			}
		}
	}
}

// promote makes a standby the only run of its call.
func promote(standby *callRun, silence *time.Timer, timeout time.Duration) *callRun {
	standby.standby = false
	silence.Reset(timeout)
	return standby
}

// refused reports whether an answered call was certainly not run.
func (p *pendingCall) refused() bool {
	return errors.Is(p.err, endpoint.ErrNotSent) || p.err == nil && p.resp.NotRun
}

// abandonCallRun ends a call without its response.
func (x *exchange) abandonCallRun(run *callRun, o sched.Outcome) {
	run.cancel(errEndpointTimeout)
	<-run.call.answered
	x.finishCall(run.call, run.lease.Target.Name)
	if !run.call.refused() {
		x.runs++
		x.recordAbandoned(run.lease.Target)
	}
	x.endCallRun(run, o)
}

// endCallRun frees what a call holds.
func (x *exchange) endCallRun(run *callRun, o sched.Outcome) {
	if run.call.resp != nil {
		run.call.resp.close() // before its context ends, which would close the connection
	}
	run.cancel(nil)
	if o != sched.Succeeded && o != sched.Abandoned && (o != sched.Full || !run.standby) {
		x.excluded = append(x.excluded, run.lease.Target.Name)
	}
	x.s.admission.releaseCall(run.lease, o)
}

// finishCallRun handles an answered call. Another says that the call is in progress at another
// endpoint too. Done is false if another endpoint may be tried.
func (x *exchange) finishCallRun(ctx context.Context, run *callRun, another bool) (done bool, err error) {
	outcome := sched.Failed
	defer func() { x.endCallRun(run, outcome) }()
	l := run.lease
	x.lastEndpoint = l.Target.Name
	x.finishCall(run.call, l.Target.Name)
	resp, body, err := run.call.resp, run.call.body, run.call.err
	if resp == nil {
		outcome = outcomeOf(ctx, err)
		x.recordBreak(ctx, l.Target, err)
		return x.recordFailure(err) && !another, err
	}
	if err != nil {
		x.recordBreak(ctx, l.Target, err)
		x.runs++
		return !x.canRetry() && !another, err
	}
	if resp.NotRun {
		outcome = refusedOutcome(resp)
		return false, refusal(errkind.NoEndpoint, "the endpoint refused the request", max(resp.Pause, endpointRetryAfter))
	}
	x.runs++
	if err := checkResponse(resp); err != nil {
		return !x.canRetry() && !another, err
	}
	outcome = sched.Succeeded
	x.recordBegun()
	if resp.Status >= 500 && (another || x.canRetry() && time.Until(x.deadline) > x.s.admission.typicalLatency(l)) {
		// The endpoint itself reports the failure; another one may succeed.
		x.setFallback(resp, body)
		x.excluded = append(x.excluded, l.Target.Name)
		return false, errors.Newf("endpoint responded with status %d", resp.Status)
	}
	x.resp.send(resp.Status, resp.Headers, body)
	return true, x.resp.writeErr
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
		x.refundSends()
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

// startCall sends a request and reads its response in the background.
func (u *upstream) startCall(ctx context.Context, req endpointRequest) *pendingCall {
	p := &pendingCall{answered: make(chan struct{})}
	go func() {
		defer close(p.answered)
		if p.resp, p.err = u.do(ctx, req); p.err == nil {
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
		x.observeResponse(p.resp, endpointName)
	}
}

// request returns the request to an endpoint.
func (x *exchange) request(ep *config.Endpoint, opts RequestOptions) endpointRequest {
	opts.Endpoint, opts.Account, opts.Deadline, opts.Urgency = ep.Name, x.account(), x.deadline, x.standing.Level
	return endpointRequest{
		endpoint:  ep.Name,
		addr:      ep.Addr,
		placedAt:  ep.Incarnation,
		method:    x.call.Method,
		uri:       x.call.URI,
		host:      x.call.Host,
		header:    x.s.wire.RequestHeaders(x.call, opts),
		body:      x.call.Body,
		attemptID: x.call.ID,
		sendOnce:  !x.call.Route.Idempotent && !opts.PrefillOnly,

		forCaller:  !opts.PrefillOnly,
		healthPath: x.call.Pool.HealthPath,

		homes: x.homes(),
	}
}

// homes returns the regions that the request stays in.
func (x *exchange) homes() placement.Homes {
	h := placement.Homes{Route: x.call.Route.Homes}
	if x.call.Account != nil {
		h.Account = x.call.Account.Homes
	}
	return h
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

// observeResponse records how a response came, and logs what it announces and the request has to do with.
func (x *exchange) observeResponse(resp *endpointResponse, endpoint string) {
	x.lastFraming, x.lastDetoured = resp.framing, resp.conn.detoured
	if resp.Leaving {
		x.decision("endpoint_leaves", "endpoint", endpoint)
	}
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
	held   *holding
}

// setFallback keeps an endpoint's error response until the request ends.
func (x *exchange) setFallback(resp *endpointResponse, body []byte) {
	x.dropFallback()
	x.fallback = &bufferedResponse{status: resp.Status, header: resp.Headers, body: body, held: resp.held.move()}
}

func (x *exchange) dropFallback() {
	if x.fallback != nil {
		x.fallback.held.release()
		x.fallback = nil
	}
}
