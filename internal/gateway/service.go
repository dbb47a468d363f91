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
	// Bounds of the time that an endpoint gets to answer a call that can go to another
	// one: shorter ones repeat calls that are merely slow.
	attemptLatencyFactor = 6   // of the pool's usual latency
	attemptTargetRatio   = 0.6 // of the latency target, at least
	maxSends             = 4   // arrivals of one request, refused ones included
)

// service runs a plain call. It is repeated only where the route allows, or where the
// endpoint states that the call did not run.
func (x *exchange) service(ctx context.Context) error {
	var last error
	for x.sends < maxSends {
		if err := x.identify(x.s.state.Current()); err != nil {
			return err
		}
		if !x.reserveSends(1) {
			return last
		}
		var lease *placement.Lease
		x.s.admission.withScheduler(func(now time.Time, s *placement.Scheduler) {
			lease = s.Service(now, placement.Demand{Pool: x.call.Pool.Name, Exclude: x.excluded})
		})
		if lease == nil {
			if last != nil {
				return last
			}
			return refusal(errkind.NoEndpoint, "no endpoint can be used", endpointRetryAfter)
		}
		x.decision("place", "endpoint", lease.Target.Name, "sends", x.sends)
		done, err := x.attemptCall(ctx, lease)
		if done {
			return err
		}
		last = err
		x.excluded = append(x.excluded, lease.Target.Name)
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
		x.s.stats.retries.Inc()
		x.decision("repeat", "endpoint", lease.Target.Name, "sends", x.sends, "runs", x.runs, "cause", err.Error())
	}
	return last
}

// repeatable reports whether the request may run once more although it may have run.
func (x *exchange) canRetry() bool {
	return x.call.Route.Idempotent && x.runs < x.call.Route.MaxAttempts
}

// callOnce makes one attempt. Done is false where another endpoint may be tried.
func (x *exchange) attemptCall(ctx context.Context, l *placement.Lease) (done bool, err error) {
	outcome := sched.Failed
	defer func() { x.s.admission.releaseCall(l, outcome) }()
	if x.call.Route.Idempotent && x.runs+1 < x.call.Route.MaxAttempts {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeoutCause(ctx, x.attemptTimeout(l), errEndpointTimeout)
		defer cancel()
	}
	x.lastEndpoint = l.Target.Name
	in, err := x.send(ctx, l.Target.Addr, RequestOptions{Endpoint: l.Target.Name})
	if err != nil {
		outcome = outcomeOf(ctx, err)
		return x.recordFailure(err), err
	}
	defer in.close()
	if in.HasLoad {
		x.s.admission.withScheduler(func(now time.Time, s *placement.Scheduler) { s.Reported(now, l, in.Running, in.Queued) })
	}
	body, err := in.readAll()
	if err != nil {
		x.runs++
		return !x.canRetry(), err
	}
	if in.NotRun {
		outcome = refusedOutcome(in)
		return false, refusal(errkind.NoEndpoint, "the endpoint refused the request", endpointRetryAfter)
	}
	x.runs++
	if err := checkResponse(in); err != nil {
		return !x.canRetry(), err
	}
	outcome = sched.Succeeded
	if in.Status >= 500 && x.canRetry() && time.Until(x.deadline) > x.s.admission.typicalLatency(l) {
		// The failure is the endpoint's own word; another one may do better.
		x.fallback = &bufferedResponse{status: in.Status, header: in.Headers, body: body}
		return false, errors.Newf("the endpoint answered %d", in.Status)
	}
	x.resp.send(in.Status, in.Headers, body)
	return true, x.resp.writeErr
}

var (
	errEndpointTimeout = errors.New("the endpoint did not answer in time")
	errUnsigned        = errors.New("the answer is not the endpoint's own")
)

// trusted returns an error for an answer that must not reach a caller.
func checkResponse(in *endpointResponse) error {
	if in.Encoded || (in.Status < 300 && !in.Signed) {
		return errors.Mark(errUnsigned, endpoint.ErrBroken)
	}
	return nil
}

// refusedOutcome says what a request that was not run tells of the endpoint: it has no
// room, or another endpoint has its address.
func refusedOutcome(in *endpointResponse) sched.Outcome {
	if in.WrongEndpoint {
		return sched.Replaced
	}
	return sched.Full
}

// send sends the request once and counts it.
func (x *exchange) send(ctx context.Context, addr string, o RequestOptions) (*endpointResponse, error) {
	o.Account, o.Deadline = x.account(), x.deadline
	before, paid := x.sends, x.reserved
	if x.sends++; x.sends > 1 {
		x.reserved--
	}
	x.s.stats.sends.Inc()
	in, err := x.s.upstream.do(ctx, endpointRequest{
		addr:      addr,
		method:    x.call.Method,
		uri:       x.call.URI,
		host:      x.call.Host,
		header:    x.s.wire.RequestHeaders(x.call, o),
		body:      x.call.Body,
		attemptID: x.call.ID,
		sendOnce:  !x.call.Route.Idempotent && !o.PrefillOnly,
	})
	if errors.Is(err, endpoint.ErrNotSent) {
		x.sends, x.reserved = before, paid // nothing has arrived
	}
	return in, err
}

// failed takes note of an attempt without an answer and reports whether it was the last.
func (x *exchange) recordFailure(err error) (done bool) {
	if errors.Is(err, endpoint.ErrNotSent) {
		return false
	}
	x.runs++
	return !x.canRetry() || errors.Is(err, errCallerGone)
}

// patience is how long the endpoint may take before the call goes to another one.
func (x *exchange) attemptTimeout(l *placement.Lease) time.Duration {
	target := time.Duration(attemptTargetRatio * float64(x.call.Route.FirstToken))
	return max(target, attemptLatencyFactor*x.s.admission.typicalLatency(l))
}

// whole is an answer that is sent if nothing better comes.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}
