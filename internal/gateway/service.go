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
	patienceTimes = 6   // of the pool's usual latency
	patiencePart  = 0.6 // of the latency target, at least
	maxSends      = 4   // arrivals of one request, refused ones included
)

// service runs a plain call. It is repeated only where the route allows, or where the
// endpoint states that the call did not run.
func (x *exchange) service(ctx context.Context) error {
	var last error
	for x.sends < maxSends {
		if err := x.identify(x.s.state.Current()); err != nil {
			return err
		}
		if !x.mayArrive(1) {
			return last
		}
		var lease *placement.Lease
		x.s.admission.with(func(now time.Time, s *placement.Scheduler) {
			lease = s.AcquireService(now, placement.Demand{Pool: x.call.Pool.Name, Exclude: x.exclude})
		})
		if lease == nil {
			if last != nil {
				return last
			}
			return refusal(errkind.NoEndpoint, "no endpoint can be used", endpointWait)
		}
		x.decision("place", "endpoint", lease.Target.Name, "sends", x.sends)
		done, err := x.callOnce(ctx, lease)
		if done {
			return err
		}
		last = err
		x.exclude = append(x.exclude, lease.Target.Name)
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
		x.s.stats.repeats.Inc()
		x.decision("repeat", "endpoint", lease.Target.Name, "sends", x.sends, "runs", x.runs, "cause", err.Error())
	}
	return last
}

// repeatable reports whether the request may run once more although it may have run.
func (x *exchange) repeatable() bool {
	return x.call.Route.Idempotent && x.runs < x.call.Route.MaxAttempts
}

// callOnce makes one attempt. Done is false where another endpoint may be tried.
func (x *exchange) callOnce(ctx context.Context, l *placement.Lease) (done bool, err error) {
	outcome := sched.Failed
	defer func() { x.s.admission.answered(l, outcome) }()
	if x.call.Route.Idempotent && x.runs+1 < x.call.Route.MaxAttempts {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeoutCause(ctx, x.patience(l), errSilent)
		defer cancel()
	}
	x.target = l.Target.Name
	in, err := x.send(ctx, l.Target.Addr, SendOptions{Endpoint: l.Target.Name})
	if err != nil {
		outcome = outcomeOf(ctx, err)
		return x.failed(err), err
	}
	defer in.close()
	if in.HasLoad {
		x.s.admission.with(func(now time.Time, s *placement.Scheduler) { s.RecordLoad(now, l, in.Running, in.Waiting) })
	}
	body, err := in.readAll()
	if err != nil {
		x.runs++
		return !x.repeatable(), err
	}
	if in.NotRun {
		outcome = refusedOutcome(in)
		return false, refusal(errkind.NoEndpoint, "the endpoint refused the request", endpointWait)
	}
	x.runs++
	if err := trusted(in); err != nil {
		return !x.repeatable(), err
	}
	outcome = sched.Succeeded
	if in.Status >= 500 && x.repeatable() && time.Until(x.deadline) > x.s.admission.usual(l) {
		// The failure is the endpoint's own word; another one may do better.
		x.fallback = &whole{status: in.Status, header: in.Headers, body: body}
		return false, errors.Newf("the endpoint answered %d", in.Status)
	}
	x.reply.whole(in.Status, in.Headers, body)
	return true, x.reply.err
}

var (
	errSilent   = errors.New("the endpoint did not answer in time")
	errUnsigned = errors.New("the answer is not the endpoint's own")
)

// trusted returns an error for an answer that must not reach a caller.
func trusted(in *incoming) error {
	if in.Encoded || (in.Status < 300 && !in.Signed) {
		return errors.Mark(errUnsigned, endpoint.ErrBroken)
	}
	return nil
}

// refusedOutcome says what a request that was not run tells of the endpoint: it has no
// room, or another endpoint has its address.
func refusedOutcome(in *incoming) sched.Outcome {
	if in.Other {
		return sched.Replaced
	}
	return sched.Full
}

// send sends the request once and counts it.
func (x *exchange) send(ctx context.Context, addr string, o SendOptions) (*incoming, error) {
	o.Account, o.Deadline = x.account(), x.deadline
	before, paid := x.sends, x.paid
	if x.sends++; x.sends > 1 {
		x.paid--
	}
	x.s.stats.sends.Inc()
	in, err := x.s.up.do(ctx, outgoing{
		addr:   addr,
		method: x.call.Method,
		uri:    x.call.URI,
		host:   x.call.Host,
		header: x.s.wire.Send(x.call, o),
		body:   x.call.Body,
		id:     x.call.ID,
		once:   !x.call.Route.Idempotent && !o.PrefillOnly,
	})
	if errors.Is(err, endpoint.ErrNotSent) {
		x.sends, x.paid = before, paid // nothing has arrived
	}
	return in, err
}

// failed takes note of an attempt without an answer and reports whether it was the last.
func (x *exchange) failed(err error) (done bool) {
	if errors.Is(err, endpoint.ErrNotSent) {
		return false
	}
	x.runs++
	return !x.repeatable() || errors.Is(err, errCallerGone)
}

// patience is how long the endpoint may take before the call goes to another one.
func (x *exchange) patience(l *placement.Lease) time.Duration {
	target := time.Duration(patiencePart * float64(x.call.Route.FirstToken))
	return max(target, patienceTimes*x.s.admission.usual(l))
}

// whole is an answer that is sent if nothing better comes.
type whole struct {
	status int
	header http.Header
	body   []byte
}
