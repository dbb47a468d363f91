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
	// Callers abandon a stream after this long without an event, including before the first
	// one.
	minCallerTimeout     = 2 * time.Second
	callerTimeoutTargets = 4 // multiple of the latency target
	callerTimeoutGaps    = 8 // multiple of the maximum gap between events
	// startMargin is the part of the caller's timeout that must be left when a queued request
	// starts.
	startMargin = 900 * time.Millisecond

	engineTimeoutGaps    = 4 // multiple of the maximum gap between events; longer than the pauses of preempted streams
	prefillTimeoutFactor = 4 // multiple of the predicted prefill time after which a prefill is abandoned
	minPrefillTimeout    = 400 * time.Millisecond
	// resumeJitter is about the time that an engine needs to prefill the output of one
	// interrupted stream. It spreads the resumption of streams that break at the same time at
	// all instances, so that each instance learns of the leases of the others.
	resumeJitter       = 160 * time.Millisecond
	shutdownRetryAfter = 50 * time.Millisecond // the caller reaches another instance with its next connection
	handleReuseRatio   = 0.7                   // part of the handle's TTL in which a prefill result may be offered to another engine
	maxEventBytes      = 1 << 20
	eventBufferBytes   = 4 << 10
	releaseTimeout     = time.Second            // to free a prefill result
	expectedStartDelay = 150 * time.Millisecond // from the lease to the first event, on engines that are not slow
)

// generation runs a request on a model pool: lease, prefill, decode, and retries where they are
// allowed.
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
		x.crashed = false
		done, err := x.attempt(ctx, lease)
		if last != nil && errors.IsAny(err, errNoRetryBudget, errQuarantined) {
			return last
		}
		if done || err == nil {
			return err
		}
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
		last = err
		if x.suspected() {
			return last
		}
		if x.relayedTokens > 0 {
			x.s.stats.resumes.Inc()
			sleepJitter(ctx, resumeJitter)
		}
		x.s.stats.retries.Inc()
		x.decision("repeat", "endpoint", x.lastEndpoint, "sends", x.sends, "runs", x.runs, "cause", err.Error())
	}
	return last
}

// callerTimeout returns how long a caller waits for the next event.
func (x *exchange) callerTimeout() time.Duration {
	r := x.call.Route
	return max(minCallerTimeout, callerTimeoutTargets*r.FirstToken, callerTimeoutGaps*r.MaxGap)
}

// engineTimeout returns how long the engine of the next attempt may send nothing: until the
// caller gives up, or, if the stream can be resumed on another engine, until the engine is more
// likely unreachable than slow. The caller must still be connected when the stream resumes.
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
		Demand:   placement.Demand{Pool: c.Pool.Name, Prompt: c.PromptTokens, MaxOutput: c.MaxOutputTokens, ExpectedOutput: x.s.admission.predictOutput(c), Generated: x.priorTokens + x.relayedTokens, Exclude: x.excluded},
		Arrived:  c.Arrived,
		Due:      since.Add(c.Route.FirstToken - expectedStartDelay - time.Duration(c.PromptTokens)*prefillTimePerToken),
		Deadline: latest,
		Priority: x.priority(),
	}
}

// errNoRetryBudget ends a request that would need another prefill and decode when the retry
// budget does not allow them.
var errNoRetryBudget = errors.New("retry budget is exhausted")

// prefillTimePerToken is the typical time to prefill one prompt token.
const prefillTimePerToken = 18 * time.Microsecond

// attempt runs prefill and decode once. Done is false if another attempt may follow.
func (x *exchange) attempt(ctx context.Context, l *placement.Lease) (done bool, err error) {
	outcome := sched.Abandoned
	defer func() { x.s.admission.release(l, outcome) }()
	if err := x.admit(); err != nil {
		return true, err
	}
	x.lastEndpoint = l.Target.Name
	if err := x.s.upstream.ensureConn(ctx, l.Target.Addr); err != nil {
		outcome = outcomeOf(ctx, err)
		x.s.recordConnectError(l.Target, err)
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
	prefilledAt := time.Now()
	for {
		if err := x.admit(); err != nil {
			return true, err
		}
		x.lastEndpoint = l.Target.Name
		refused := false
		refused, done, outcome, err = x.decode(ctx, l, source)
		if outcome != sched.Succeeded && outcome != sched.Abandoned {
			x.excluded = append(x.excluded, l.Target.Name)
		}
		if !refused || source == "" || ctx.Err() != nil || time.Since(prefilledAt) > x.handleReuseTime() || !x.redirect(l, outcome, err) {
			return done, err
		}
	}
}

// handleReuseTime is how long after a prefill its result may still be offered to another
// engine.
func (x *exchange) handleReuseTime() time.Duration {
	return time.Duration(handleReuseRatio * float64(x.call.Pool.Engine.HandleTTL))
}

// redirect moves a generation to another decode engine after its prefill: repeating the prefill
// would cost more than anything else.
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

// prefill runs the prompt on a prefill engine and returns the handle of the result.
func (x *exchange) prefill(ctx context.Context, l *placement.Lease) (string, error) {
	outcome := sched.Failed
	p := l.Prefill
	defer func() { x.s.admission.releasePrefill(l, outcome) }()
	limit := max(minPrefillTimeout, prefillTimeoutFactor*x.s.admission.expectedPrefillTime(l))
	pctx, cancel := context.WithTimeoutCause(ctx, limit, errEndpointTimeout)
	defer cancel()
	sends, reserved := x.sends, x.reserved
	resp, err := x.send(pctx, p.Addr, RequestOptions{Endpoint: p.Name, PrefillOnly: true})
	if err != nil {
		if ctx.Err() != nil {
			outcome = sched.Abandoned
			return "", context.Cause(ctx)
		}
		x.recordBreak(pctx, p, err)
		return "", err
	}
	defer resp.close()
	body, err := resp.readAll()
	if err != nil {
		x.recordBreak(pctx, p, err)
		return "", err
	}
	if resp.Status != http.StatusOK {
		if resp.NotRun {
			outcome = refusedOutcome(resp)
		}
		return "", errors.Newf("prefill failed with status %d", resp.Status)
	}
	handle, err := x.s.wire.PrefillHandle(body)
	if err != nil {
		return "", errors.Mark(err, endpoint.ErrCallFailed)
	}
	outcome = sched.Succeeded
	x.s.stats.prefills.Inc()
	x.decision("prefill", "endpoint", p.Name, "tokens", x.call.PromptTokens)
	if !x.prefilled {
		x.prefilled, x.sends, x.reserved = true, sends, reserved
	}
	return handle, nil
}

// decode streams the output to the caller. Refused means that the engine did not accept the
// request, so that a prefill result is still available.
func (x *exchange) decode(ctx context.Context, l *placement.Lease, source string) (refused, done bool, outcome sched.Outcome, err error) {
	sctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	limit := x.engineTimeout()
	idleTimer := time.AfterFunc(limit, func() { cancel(errEndpointTimeout) })
	defer idleTimer.Stop()
	resp, err := x.send(sctx, l.Target.Addr, RequestOptions{Endpoint: l.Target.Name, KVSource: source, LastEventID: x.lastEventID})
	if err != nil {
		if errors.Is(err, endpoint.ErrNotSent) {
			return true, ctx.Err() != nil, outcomeOf(ctx, err), err
		}
		x.runs, x.handleFetched = x.runs+1, true
		x.recordBreak(sctx, l.Target, err)
		return false, x.cannotResume(ctx), outcomeOf(ctx, err), err
	}
	defer resp.close()
	if resp.NotRun {
		_, _ = resp.readAll()
		return true, false, refusedOutcome(resp), refusal(errkind.QueueFull, "the engine refused the request", endpointRetryAfter)
	}
	x.runs, x.handleFetched = x.runs+1, true
	if err := checkResponse(resp); err != nil {
		return false, x.cannotResume(ctx), sched.Failed, err
	}
	if resp.Status != http.StatusOK {
		body, err := resp.readAll()
		if err != nil {
			return false, x.cannotResume(ctx), sched.Failed, err
		}
		if x.resp.started || !x.cannotResume(ctx) {
			x.fallback = &bufferedResponse{status: resp.Status, header: resp.Headers, body: body}
			return false, x.cannotResume(ctx), sched.Failed, errors.Newf("engine responded with status %d", resp.Status)
		}
		x.resp.send(resp.Status, resp.Headers, body)
		return false, true, sched.Succeeded, x.resp.writeErr
	}
	events, err := x.relayStream(resp, l, func() { idleTimer.Reset(limit) })
	switch {
	case err != nil && events < beginEvents:
		x.recordBreak(sctx, l.Target, err)
	case events < beginEvents:
		x.recordBegun()
	}
	switch {
	case err == nil:
		resp.bodyRead = true
		if x.call.LastEventID == "" {
			x.s.admission.observeOutput(x.call, x.relayedTokens)
		}
		if !x.resp.started {
			x.resp.startStream(resp.Status, resp.Headers)
		}
		x.resp.finishStream()
		return false, true, sched.Succeeded, x.resp.writeErr
	case x.resp.writeErr != nil:
		return false, true, sched.Abandoned, errors.Mark(x.resp.writeErr, errCallerGone)
	}
	return false, x.cannotResume(ctx), outcomeOf(ctx, err), err
}

// outcomeOf classifies a failure by whether the endpoint caused it.
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

// cannotResume reports whether the stream ends here because the request may have run and cannot
// be resumed on another engine.
func (x *exchange) cannotResume(ctx context.Context) bool {
	return ctx.Err() != nil || !x.call.Route.Resumable || x.runs >= x.call.Route.MaxAttempts
}

// relayStream forwards complete events as they arrive and returns how many there were.
func (x *exchange) relayStream(resp *endpointResponse, l *placement.Lease, onEvent func()) (events int, err error) {
	br := bufio.NewReaderSize(resp.body, eventBufferBytes)
	stride := max(1, x.call.Pool.Engine.Stride)
	for {
		e, err := readEvent(br)
		if errors.Is(err, io.EOF) {
			return events, nil
		}
		if err != nil {
			return events, errors.Mark(err, endpoint.ErrCallFailed)
		}
		onEvent()
		if !x.resp.started {
			x.resp.startStream(resp.Status, resp.Headers)
		}
		if err := x.resp.writeChunk(e.raw); err != nil {
			return events, err
		}
		if e.id != "" {
			x.lastEventID = e.id
		}
		x.recordEventTime(time.Now())
		if events++; events == beginEvents {
			x.recordBegun()
		}
		x.relayedTokens += stride
		x.s.admission.withScheduler(func(now time.Time, s *placement.Scheduler) { s.RecordProgress(now, l, events*stride) })
	}
}

// recordEventTime records when an event was relayed.
func (x *exchange) recordEventTime(now time.Time) {
	if x.relayedTokens == 0 {
		x.firstEventDelay = now.Sub(x.call.Arrived)
	} else {
		x.longestGap = max(x.longestGap, now.Sub(x.lastEventAt))
	}
	x.lastEventAt = now
}

// releaseHandle frees a prefill result that will not be fetched.
func (s *Server) releaseHandle(addr, name, handle string) {
	if !s.admission.takeTurn(name) {
		s.log.Info("prefill.not_freed", "endpoint", name, "cause", "limit of the endpoint")
		return // the engine frees it when its time is over
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		resp, err := s.upstream.do(ctx, endpointRequest{endpoint: name, addr: addr, method: http.MethodDelete, uri: s.wire.HandlePath(handle), host: addr})
		if err != nil {
			s.log.Info("prefill.not_freed", "endpoint", name, "cause", err.Error())
			return
		}
		defer resp.close()
		_, _ = resp.readAll()
	}()
}

// endpointName returns the endpoint's name, or "" for nil.
func endpointName(e *config.Endpoint) string {
	if e == nil {
		return ""
	}
	return e.Name
}
