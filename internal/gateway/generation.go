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
	minCallerTimeout     = 2 * time.Second // at the least
	callerTimeoutTargets = 4               // times the latency target
	callerTimeoutGaps    = 8               // times the longest pause on time
	// startMargin is what remains of a caller's patience when its request is placed last.
	startMargin = 900 * time.Millisecond

	engineTimeoutGaps    = 4                      // times the longest pause on time, beyond what preempted streams pause
	prefillTimeoutFactor = 4                      // times the predicted time of a prefill until it is given up
	minPrefillTimeout    = 400 * time.Millisecond // and at least this long
	// resumeSpread is about as long as an engine reads what one stream had made: streams
	// that break off together, at all instances, then find each other's places.
	resumeJitter       = 160 * time.Millisecond
	shutdownRetryAfter = 50 * time.Millisecond // a caller reaches another instance with its next connection
	handleReuseRatio   = 0.7                   // of its life, in which a prefill result is offered again
	maxEventBytes      = 1 << 20               // bytes of one event
	eventBufferBytes   = 4 << 10
	releaseTimeout     = time.Second            // to give a prefill result back
	expectedStartDelay = 150 * time.Millisecond // from the place to the first event, on engines that are not slow
)

// generation runs a request at a model pool: place, prefill, decode, and once more where
// that is allowed.
func (x *exchange) generation(ctx context.Context) error {
	if x.s.refusesStreams() {
		return refusal(errkind.ShuttingDown, "this instance is shutting down", shutdownRetryAfter)
	}
	var last error
	for x.sends < 2*maxSends {
		if !x.reserveSends(1) {
			return last
		}
		began := time.Now()
		lease, err := x.s.admission.acquireEngine(ctx, x.newWaiter())
		x.queueTime += time.Since(began)
		if err != nil {
			if last != nil {
				return last
			}
			return err
		}
		x.decision("place", "prefill", endpointName(lease.Prefill), "decode", lease.Target.Name, "waited_ms", x.queueTime.Milliseconds(), "prompt", x.call.PromptTokens, "output", x.call.MaxOutputTokens)
		done, err := x.attempt(ctx, lease)
		if errors.Is(err, errNoRetryBudget) && last != nil {
			return last
		}
		if done || err == nil {
			return err
		}
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
		last = err
		if x.relayedTokens > 0 {
			x.s.stats.resumes.Inc()
			sleepJitter(ctx, resumeJitter)
		}
		x.s.stats.retries.Inc()
		x.decision("repeat", "endpoint", x.lastEndpoint, "sends", x.sends, "runs", x.runs, "cause", err.Error())
	}
	return last
}

// callerLeaves returns how long a caller waits for the next event.
func (x *exchange) callerTimeout() time.Duration {
	r := x.call.Route
	return max(minCallerTimeout, callerTimeoutTargets*r.FirstToken, callerTimeoutGaps*r.MaxGap)
}

// longestSilence returns how long the next attempt's engine may be silent: until the caller
// leaves, or, where the stream can go on elsewhere, until it is so late that the engine is
// rather out of reach than slow. The caller must still be there when it goes on.
func (x *exchange) engineTimeout() time.Duration {
	r := x.call.Route
	if !r.Resumable || x.runs+1 >= r.MaxAttempts {
		return x.callerTimeout()
	}
	return min(x.callerTimeout(), max(r.FirstToken, engineTimeoutGaps*r.MaxGap))
}

func (x *exchange) newWaiter() *placement.Waiter {
	c := x.call
	since := c.Arrived
	if x.relayedTokens > 0 {
		since = x.lastEventAt
	}
	latest := since.Add(x.callerTimeout() - startMargin)
	if latest.After(x.deadline) {
		latest = x.deadline
	}
	return &placement.Waiter{
		Demand:  placement.Demand{Pool: c.Pool.Name, Prompt: c.PromptTokens, Output: c.MaxOutputTokens, Expect: x.s.admission.predictOutput(c), Generated: x.priorTokens + x.relayedTokens, Exclude: x.excluded},
		Arrived: c.Arrived,
		Due:     since.Add(c.Route.FirstToken - expectedStartDelay - time.Duration(c.PromptTokens)*prefillTimePerToken),
		Latest:  latest,
		Urgency: x.priority(),
	}
}

// errNoBudget ends a request that would be read and run once more without the budget for it.
var errNoRetryBudget = errors.New("the budget for repeats is used up")

// prefillToken is the usual time to read one prompt token.
const prefillTimePerToken = 18 * time.Microsecond

// attempt runs prefill and decode once. Done is false where another attempt may follow.
func (x *exchange) attempt(ctx context.Context, l *placement.Lease) (done bool, err error) {
	outcome := sched.Abandoned
	defer func() { x.s.admission.release(l, outcome) }()
	if err := x.identify(x.s.state.Current()); err != nil {
		return true, err
	}
	x.lastEndpoint = l.Target.Name
	if err := x.s.upstream.ensureConn(ctx, l.Target.Addr); err != nil {
		outcome = outcomeOf(ctx, err)
		x.excluded = append(x.excluded, l.Target.Name)
		return ctx.Err() != nil, err
	}
	if l.Prefill != nil && x.prefilled && !x.reserveSends(2) {
		return true, errNoRetryBudget
	}
	source := ""
	if p := l.Prefill; p != nil {
		handle, err := x.prefill(ctx, l)
		if err != nil {
			x.excluded = append(x.excluded, p.Name)
			return errors.Is(err, errCallerGone), err
		}
		source = p.Addr + "/" + handle
		defer func() {
			if !x.handleFetched {
				x.s.stats.prefillsUnfetched.Inc()
				x.s.releaseHandle(p.Addr, p.Name, handle)
			}
		}()
	}
	read := time.Now()
	for {
		if err := x.identify(x.s.state.Current()); err != nil {
			return true, err
		}
		x.lastEndpoint = l.Target.Name
		refused := false
		refused, done, outcome, err = x.decode(ctx, l, source)
		if outcome != sched.Succeeded && outcome != sched.Abandoned {
			x.excluded = append(x.excluded, l.Target.Name)
		}
		if !refused || source == "" || ctx.Err() != nil || time.Since(read) > x.handleReuseTime() || !x.redirect(l, outcome, err) {
			return done, err
		}
	}
}

// handleLife is how long after a prefill its result may still be offered to another
// engine.
func (x *exchange) handleReuseTime() time.Duration {
	return time.Duration(handleReuseRatio * float64(x.call.Pool.Engine.HandleTTL))
}

// redirect moves a generation whose prompt has been read to another decode engine: to
// read it again would cost more than all else.
func (x *exchange) redirect(l *placement.Lease, o sched.Outcome, cause error) bool {
	if !x.reserveSends(1) {
		return false
	}
	from := l.Target
	moved := x.s.admission.redirect(l, x.newWaiter().Demand, o)
	x.s.stats.redirects.Inc()
	x.decision("redirect", "from", from.Name, "to", l.Target.Name, "moved", moved, "cause", cause.Error())
	return moved
}

// prefill has the prompt read and returns the handle of the result.
func (x *exchange) prefill(ctx context.Context, l *placement.Lease) (string, error) {
	outcome := sched.Failed
	p := l.Prefill
	defer func() { x.s.admission.releasePrefill(l, outcome) }()
	limit := max(minPrefillTimeout, prefillTimeoutFactor*x.s.admission.expectedPrefillTime(l))
	pctx, cancel := context.WithTimeoutCause(ctx, limit, errEndpointTimeout)
	defer cancel()
	before, paid := x.sends, x.reserved
	in, err := x.send(pctx, p.Addr, RequestOptions{Endpoint: p.Name, PrefillOnly: true})
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
	handle, err := x.s.wire.PrefillHandle(body)
	if err != nil {
		return "", errors.Mark(err, endpoint.ErrBroken)
	}
	outcome = sched.Succeeded
	x.s.stats.prefills.Inc()
	x.decision("prefill", "endpoint", p.Name, "tokens", x.call.PromptTokens)
	if !x.prefilled {
		x.prefilled, x.sends, x.reserved = true, before, paid
	}
	return handle, nil
}

// decode streams the output to the caller. Refused tells that the engine did not take the
// request, so that a prefill result is still there.
func (x *exchange) decode(ctx context.Context, l *placement.Lease, source string) (refused, done bool, o sched.Outcome, err error) {
	sctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	limit := x.engineTimeout()
	silence := time.AfterFunc(limit, func() { cancel(errEndpointTimeout) })
	defer silence.Stop()
	in, err := x.send(sctx, l.Target.Addr, RequestOptions{Endpoint: l.Target.Name, KVSource: source, LastEventID: x.lastEventID})
	if err != nil {
		if errors.Is(err, endpoint.ErrNotSent) {
			return true, ctx.Err() != nil, outcomeOf(ctx, err), err
		}
		x.runs, x.handleFetched = x.runs+1, true
		return false, x.cannotResume(ctx), outcomeOf(ctx, err), err
	}
	defer in.close()
	if in.NotRun {
		_, _ = in.readAll()
		return true, false, refusedOutcome(in), refusal(errkind.QueueFull, "the engine refused the request", endpointRetryAfter)
	}
	x.runs, x.handleFetched = x.runs+1, true
	if err := checkResponse(in); err != nil {
		return false, x.cannotResume(ctx), sched.Failed, err
	}
	if in.Status != http.StatusOK {
		body, err := in.readAll()
		if err != nil {
			return false, x.cannotResume(ctx), sched.Failed, err
		}
		if x.resp.started || !x.cannotResume(ctx) {
			x.fallback = &bufferedResponse{status: in.Status, header: in.Headers, body: body}
			return false, x.cannotResume(ctx), sched.Failed, errors.Newf("the engine answered %d", in.Status)
		}
		x.resp.send(in.Status, in.Headers, body)
		return false, true, sched.Succeeded, x.resp.writeErr
	}
	err = x.relayStream(in, l, func() { silence.Reset(limit) })
	switch {
	case err == nil:
		in.bodyRead = true
		if x.call.LastEventID == "" {
			x.s.admission.observeOutput(x.call, x.relayedTokens)
		}
		if !x.resp.started {
			x.resp.startStream(in.Status, in.Headers)
		}
		x.resp.finishStream()
		return false, true, sched.Succeeded, x.resp.writeErr
	case x.resp.writeErr != nil:
		return false, true, sched.Abandoned, errors.Mark(x.resp.writeErr, errCallerGone)
	}
	return false, x.cannotResume(ctx), outcomeOf(ctx, err), err
}

// outcomeOf says whether a failure was the endpoint's.
func outcomeOf(ctx context.Context, err error) sched.Outcome {
	cause := context.Cause(ctx)
	switch {
	case cause != nil && !errors.Is(cause, errEndpointTimeout):
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
func (x *exchange) relayStream(in *endpointResponse, l *placement.Lease, alive func()) error {
	br := bufio.NewReaderSize(in.body, eventBufferBytes)
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
		if !x.resp.started {
			x.resp.startStream(in.Status, in.Headers)
		}
		if err := x.resp.writeChunk(e.raw); err != nil {
			return err
		}
		if e.id != "" {
			x.lastEventID = e.id
		}
		x.recordEventTime(time.Now())
		events++
		x.relayedTokens += stride
		x.s.admission.withScheduler(func(now time.Time, s *placement.Scheduler) { s.Progress(now, l, events*stride) })
	}
}

// timed notes when an event was relayed.
func (x *exchange) recordEventTime(now time.Time) {
	if x.relayedTokens == 0 {
		x.firstEventDelay = now.Sub(x.call.Arrived)
	} else {
		x.longestGap = max(x.longestGap, now.Sub(x.lastEventAt))
	}
	x.lastEventAt = now
}

// free gives back a prefill result that will not be fetched.
func (s *Server) releaseHandle(addr, name, handle string) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		in, err := s.upstream.do(ctx, endpointRequest{addr: addr, method: http.MethodDelete, uri: s.wire.HandlePath(handle), host: addr})
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
