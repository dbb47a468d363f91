package gateway

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"carawayrouter.example/router/internal/config"
	"carawayrouter.example/router/internal/endpoint"
	"carawayrouter.example/router/internal/errkind"
	"carawayrouter.example/router/internal/placement"
	"carawayrouter.example/router/internal/sched"
)

const (
	// Callers leave a stream after this long without an event, also before the first.
	callerPatience = 2 * time.Second // at the least
	patienceGoals  = 4               // times the latency target
	patienceGaps   = 8               // times the longest pause on time
	// startMargin is what remains of a caller's patience when its request is placed last.
	startMargin = 900 * time.Millisecond

	silentGaps   = 4                      // times the longest pause on time, beyond what preempted streams pause
	prefillTimes = 4                      // times the predicted time of a prefill until it is given up
	prefillLeast = 400 * time.Millisecond // and at least this long
	// resumeSpread is about as long as an engine reads what one stream had made: streams
	// that break off together, at all instances, then find each other's places.
	resumeSpread  = 160 * time.Millisecond
	leaveWait     = 50 * time.Millisecond // a caller reaches another instance with its next connection
	handlePart    = 0.7                   // of its life, in which a prefill result is offered again
	maxEvent      = 1 << 20               // bytes of one event
	eventBuffer   = 4 << 10
	freeTimeout   = time.Second            // to give a prefill result back
	expectedStart = 150 * time.Millisecond // from the place to the first event, on engines that are not slow
)

// generation runs a request at a model pool: place, prefill, decode, and once more where
// that is allowed.
func (x *exchange) generation(ctx context.Context) error {
	if x.s.closing() {
		return refusal(errkind.ShuttingDown, "this instance is shutting down", leaveWait)
	}
	var last error
	for x.sends < 2*maxSends {
		if !x.mayArrive(1) {
			return last
		}
		began := time.Now()
		lease, err := x.s.admission.engine(ctx, x.waiter())
		x.waited += time.Since(began)
		if err != nil {
			if last != nil {
				return last
			}
			return err
		}
		x.decision("place", "prefill", endpointName(lease.Prefill), "decode", lease.Target.Name, "waited_ms", x.waited.Milliseconds(), "prompt", x.call.Prompt, "output", x.call.Output)
		done, err := x.attempt(ctx, lease)
		if errors.Is(err, errNoBudget) && last != nil {
			return last
		}
		if done || err == nil {
			return err
		}
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
		last = err
		if x.tokens > 0 {
			x.s.stats.resumes.Inc()
			pause(ctx, resumeSpread)
		}
		x.s.stats.repeats.Inc()
		x.decision("repeat", "endpoint", x.target, "sends", x.sends, "runs", x.runs, "cause", err.Error())
	}
	return last
}

// callerLeaves returns how long a caller waits for the next event.
func (x *exchange) callerLeaves() time.Duration {
	r := x.call.Route
	return max(callerPatience, patienceGoals*r.FirstToken, patienceGaps*r.MaxGap)
}

// longestSilence returns how long the next attempt's engine may be silent: until the caller
// leaves, or, where the stream can go on elsewhere, until it is so late that the engine is
// rather out of reach than slow. The caller must still be there when it goes on.
func (x *exchange) longestSilence() time.Duration {
	r := x.call.Route
	if !r.Resumable || x.runs+1 >= r.MaxAttempts {
		return x.callerLeaves()
	}
	return min(x.callerLeaves(), max(r.FirstToken, silentGaps*r.MaxGap))
}

func (x *exchange) waiter() *placement.Waiter {
	c := x.call
	since := c.Arrived
	if x.tokens > 0 {
		since = x.lastAt
	}
	latest := since.Add(x.callerLeaves() - startMargin)
	if latest.After(x.deadline) {
		latest = x.deadline
	}
	return &placement.Waiter{
		Demand:   placement.Demand{Pool: c.Pool.Name, Prompt: c.Prompt, MaxOutput: c.Output, ExpectedOutput: x.s.admission.expect(c), Generated: x.before + x.tokens, Exclude: x.exclude},
		Arrived:  c.Arrived,
		Due:      since.Add(c.Route.FirstToken - expectedStart - time.Duration(c.Prompt)*prefillToken),
		Deadline: latest,
		Priority: x.urgency(),
	}
}

// errNoBudget ends a request that would be read and run once more without the budget for it.
var errNoBudget = errors.New("the budget for repeats is used up")

// prefillToken is the usual time to read one prompt token.
const prefillToken = 18 * time.Microsecond

// attempt runs prefill and decode once. Done is false where another attempt may follow.
func (x *exchange) attempt(ctx context.Context, l *placement.Lease) (done bool, err error) {
	outcome := sched.Abandoned
	defer func() { x.s.admission.release(l, outcome) }()
	if err := x.identify(x.s.state.Current()); err != nil {
		return true, err
	}
	x.target = l.Target.Name
	if err := x.s.up.warm(ctx, l.Target.Addr); err != nil {
		outcome = outcomeOf(ctx, err)
		x.exclude = append(x.exclude, l.Target.Name)
		return ctx.Err() != nil, err
	}
	if l.Prefill != nil && x.prefilled && !x.mayArrive(2) {
		return true, errNoBudget
	}
	source := ""
	if p := l.Prefill; p != nil {
		handle, err := x.prefill(ctx, l)
		if err != nil {
			x.exclude = append(x.exclude, p.Name)
			return errors.Is(err, errCallerGone), err
		}
		source = p.Addr + "/" + handle
		defer func() {
			if !x.fetched {
				x.s.stats.unfetched.Inc()
				x.s.free(p.Addr, p.Name, handle)
			}
		}()
	}
	read := time.Now()
	for {
		if err := x.identify(x.s.state.Current()); err != nil {
			return true, err
		}
		x.target = l.Target.Name
		refused := false
		refused, done, outcome, err = x.decode(ctx, l, source)
		if outcome != sched.Succeeded && outcome != sched.Abandoned {
			x.exclude = append(x.exclude, l.Target.Name)
		}
		if !refused || source == "" || ctx.Err() != nil || time.Since(read) > x.handleLife() || !x.redirect(l, outcome, err) {
			return done, err
		}
	}
}

// handleLife is how long after a prefill its result may still be offered to another
// engine.
func (x *exchange) handleLife() time.Duration {
	return time.Duration(handlePart * float64(x.call.Pool.Engine.HandleTTL))
}

// redirect moves a generation whose prompt has been read to another decode engine: to
// read it again would cost more than all else.
func (x *exchange) redirect(l *placement.Lease, o sched.Outcome, cause error) bool {
	if !x.mayArrive(1) {
		return false
	}
	from := l.Target
	moved := x.s.admission.redirect(l, x.waiter().Demand, o)
	x.s.stats.redirects.Inc()
	x.decision("redirect", "from", from.Name, "to", l.Target.Name, "moved", moved, "cause", cause.Error())
	return moved
}

// prefill has the prompt read and returns the handle of the result.
func (x *exchange) prefill(ctx context.Context, l *placement.Lease) (string, error) {
	outcome := sched.Failed
	p := l.Prefill
	defer func() { x.s.admission.prefillDone(l, outcome) }()
	limit := max(prefillLeast, prefillTimes*x.s.admission.prefillTime(l))
	pctx, cancel := context.WithTimeoutCause(ctx, limit, errSilent)
	defer cancel()
	before, paid := x.sends, x.paid
	in, err := x.send(pctx, p.Addr, SendOptions{Endpoint: p.Name, PrefillOnly: true})
	if err != nil {
		if ctx.Err() != nil {
			outcome = sched.Abandoned
			return "", context.Cause(ctx)
		}
		return "", err
	}
	defer in.close()
	body, err := in.readAll()
	if err != nil {
		return "", err
	}
	if in.Status != http.StatusOK {
		if in.NotRun {
			outcome = refusedOutcome(in)
		}
		return "", errors.Newf("the prefill was refused with %d", in.Status)
	}
	handle, err := x.s.wire.PrefillResult(body)
	if err != nil {
		return "", errors.Mark(err, endpoint.ErrBroken)
	}
	outcome = sched.Succeeded
	x.s.stats.prefills.Inc()
	x.decision("prefill", "endpoint", p.Name, "tokens", x.call.Prompt)
	if !x.prefilled {
		x.prefilled, x.sends, x.paid = true, before, paid
	}
	return handle, nil
}

// decode streams the output to the caller. Refused tells that the engine did not take the
// request, so that a prefill result is still there.
func (x *exchange) decode(ctx context.Context, l *placement.Lease, source string) (refused, done bool, o sched.Outcome, err error) {
	sctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	limit := x.longestSilence()
	silence := time.AfterFunc(limit, func() { cancel(errSilent) })
	defer silence.Stop()
	in, err := x.send(sctx, l.Target.Addr, SendOptions{Endpoint: l.Target.Name, Source: source, LastEvent: x.lastEvent})
	if err != nil {
		if errors.Is(err, endpoint.ErrNotSent) {
			return true, ctx.Err() != nil, outcomeOf(ctx, err), err
		}
		x.runs, x.fetched = x.runs+1, true
		return false, x.cannotResume(ctx), outcomeOf(ctx, err), err
	}
	defer in.close()
	if in.NotRun {
		_, _ = in.readAll()
		return true, false, refusedOutcome(in), refusal(errkind.QueueFull, "the engine refused the request", endpointWait)
	}
	x.runs, x.fetched = x.runs+1, true
	if err := trusted(in); err != nil {
		return false, x.cannotResume(ctx), sched.Failed, err
	}
	if in.Status != http.StatusOK {
		body, err := in.readAll()
		if err != nil {
			return false, x.cannotResume(ctx), sched.Failed, err
		}
		if x.reply.started || !x.cannotResume(ctx) {
			x.fallback = &whole{status: in.Status, header: in.Headers, body: body}
			return false, x.cannotResume(ctx), sched.Failed, errors.Newf("the engine answered %d", in.Status)
		}
		x.reply.whole(in.Status, in.Headers, body)
		return false, true, sched.Succeeded, x.reply.err
	}
	err = x.relay(in, l, func() { silence.Reset(limit) })
	switch {
	case err == nil:
		in.whole = true
		if x.call.LastEvent == "" {
			x.s.admission.learn(x.call, x.tokens)
		}
		if !x.reply.started {
			x.reply.stream(in.Status, in.Headers)
		}
		x.reply.end()
		return false, true, sched.Succeeded, x.reply.err
	case x.reply.err != nil:
		return false, true, sched.Abandoned, errors.Mark(x.reply.err, errCallerGone)
	}
	return false, x.cannotResume(ctx), outcomeOf(ctx, err), err
}

// outcomeOf says whether a failure was the endpoint's.
func outcomeOf(ctx context.Context, err error) sched.Outcome {
	cause := context.Cause(ctx)
	switch {
	case cause != nil && !errors.Is(cause, errSilent):
		return sched.Abandoned
	case errors.Is(err, endpoint.ErrNotSent):
		return sched.Unreachable
	}
	return sched.Failed
}

// cannotResume reports whether the stream ends here: the request may have run, and the
// route does not allow to go on elsewhere.
func (x *exchange) cannotResume(ctx context.Context) bool {
	return ctx.Err() != nil || !x.call.Route.Resumable || x.runs >= x.call.Route.MaxAttempts
}

// relay passes whole events on as they arrive.
func (x *exchange) relay(in *incoming, l *placement.Lease, alive func()) error {
	br := bufio.NewReaderSize(in.body, eventBuffer)
	stride := max(1, x.call.Pool.Engine.Stride)
	events := 0
	for {
		e, err := readEvent(br)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return errors.Mark(err, endpoint.ErrBroken)
		}
		alive()
		if !x.reply.started {
			x.reply.stream(in.Status, in.Headers)
		}
		if err := x.reply.event(e.raw); err != nil {
			return err
		}
		if e.id != "" {
			x.lastEvent = e.id
		}
		x.timed(time.Now())
		events++
		x.tokens += stride
		x.s.admission.with(func(now time.Time, s *placement.Scheduler) { s.RecordProgress(now, l, events*stride) })
	}
}

// timed notes when an event was relayed.
func (x *exchange) timed(now time.Time) {
	if x.tokens == 0 {
		x.first = now.Sub(x.call.Arrived)
	} else {
		x.pause = max(x.pause, now.Sub(x.lastAt))
	}
	x.lastAt = now
}

// free gives back a prefill result that will not be fetched.
func (s *Server) free(addr, name, handle string) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
		defer cancel()
		in, err := s.up.do(ctx, outgoing{addr: addr, method: http.MethodDelete, uri: s.wire.FreePath(handle), host: addr})
		if err != nil {
			s.log.Info("prefill.not_freed", "endpoint", name, "cause", err.Error())
			return
		}
		defer in.close()
		_, _ = in.readAll()
	}()
}

// endpointName returns the endpoint's name, empty for none.
func endpointName(e *config.Endpoint) string {
	if e == nil {
		return ""
	}
	return e.Name
}
