package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"carawayrouter.example/router/internal/config"
	"carawayrouter.example/router/internal/endpoint"
	"carawayrouter.example/router/internal/placement"
	"carawayrouter.example/router/internal/scarcity"
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
	prefillTimeoutFactor = 4 // multiple of the predicted prefill time after which another engine is asked
	minPrefillTimeout    = 400 * time.Millisecond
	standbyRetryDelay    = 400 * time.Millisecond // between two attempts to replace a silent engine
	maxRunOverlap        = 300 * time.Millisecond // for which two engines may have a request; a refusal comes at once
	maxGenerationSends   = 2 * maxSends           // with prefills and refused sends
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

// generation runs a request on a model pool. A request has one run at a decode engine, and while
// that engine is silent another one is prepared elsewhere: the standby. The silent run ends only
// when the standby's response has begun, or when its engine has not refused it for maxRunOverlap, so
// that silence costs the request nothing if the engine goes on before, or if no other one takes the
// request.
type generation struct {
	*exchange
	ctx     context.Context
	current *engineRun
	standby *engineRun
	silence *time.Timer // fires when the current run's engine has been silent for too long
}

func (x *exchange) generation(ctx context.Context) error {
	g := &generation{exchange: x, ctx: ctx, silence: time.NewTimer(x.engineTimeout())}
	defer g.silence.Stop()
	defer g.abandonAll()
	x.standing = x.s.admission.arrive(x.demand(), x.priority())
	var last error
	for {
		done, err := g.step()
		switch {
		case done && last != nil && errors.IsAny(err, errNoRetryBudget, errQuarantined, errNoPlace):
			return last
		case done:
			return err
		case err == nil:
			continue
		case ctx.Err() != nil:
			return context.Cause(ctx)
		}
		last = err
		if g.current != nil {
			continue
		}
		if x.suspected() || x.sends >= maxGenerationSends {
			return last
		}
		x.recordRepeat(err)
		if x.relayedTokens > 0 {
			sleepJitter(ctx, resumeJitter)
		}
	}
}

// recordRepeat records that the request is sent to another engine because of cause.
func (x *exchange) recordRepeat(cause error) {
	if x.relayedTokens > 0 {
		x.s.stats.resumes.Inc()
	}
	x.s.stats.retries.Inc()
	x.decision("repeat", "endpoint", x.lastEndpoint, "sends", x.sends, "runs", x.runs, "cause", cause.Error())
}

// step starts a run if there is none, or handles what happens next. An error with done unset
// means that a run failed.
func (g *generation) step() (done bool, err error) {
	if g.current == nil {
		return g.startFirst()
	}
	var standby chan runResult
	if g.standby != nil {
		standby = g.standby.results
	}
	select {
	case r := <-g.current.results:
		return g.handleCurrent(r)
	case r := <-standby:
		g.handleStandby(r)
	case <-g.silence.C:
		return g.handleSilence()
	case <-g.ctx.Done():
		return true, context.Cause(g.ctx)
	}
	return false, nil
}

// handleSilence handles the end of the timer for the current run's silence.
func (g *generation) handleSilence() (done bool, err error) {
	select {
	case r := <-g.current.results: // it was heard at the same time
		return g.handleCurrent(r)
	default:
	}
	go g.s.upstream.checkPath(context.WithoutCancel(g.ctx), g.current.lease.Target.Addr, false)
	if g.standby != nil {
		g.replaceCurrent()
	} else {
		g.startStandby()
	}
	return false, nil
}

// startFirst starts a run while there is none.
func (g *generation) startFirst() (done bool, err error) {
	if !g.reserveSends(1) {
		return true, errNoRetryBudget
	}
	w := g.newWaiter()
	began := time.Now()
	lease, err := g.s.admission.acquireEngine(g.ctx, w)
	g.queueTime += time.Since(began)
	if err != nil {
		f := w.Forecast
		g.decision("no_place", "pool", w.Demand.Pool, "rank", w.Priority, "by_request", g.priority(), "taken_percent", int(100*f.Taken), "ahead", f.Ahead, "predicted_ms", predictedMillis(f), "left_ms", time.Until(w.Deadline).Milliseconds(), "engines", f.Engines, "free_tokens", f.Free, "oldest_ms", f.Oldest.Milliseconds(), "waited_ms", g.queueTime.Milliseconds())
		return true, errors.Mark(err, errNoPlace)
	}
	g.crashed = false
	run, done, err := g.launch(g.ctx, lease)
	if run != nil {
		g.lastEndpoint = lease.Target.Name
		g.current = run
		g.watchSilence()
	}
	return done, err
}

// predictedMillis returns a predicted wait for the log; -1 if none could be predicted or no place is expected.
func predictedMillis(f placement.Forecast) int64 {
	if !f.Known || f.Wait == scarcity.Never {
		return -1
	}
	return f.Wait.Milliseconds()
}

// watchSilence restarts the timer for the silence of the current run's engine. The streams of an
// engine become silent together, so the times are spread.
func (g *generation) watchSilence() {
	g.silence.Reset(g.silenceLimit(g.otherRuns(g.current)) + rand.N(resumeJitter))
}

// otherRuns returns how many runs besides this one may have run the request.
func (g *generation) otherRuns(run *engineRun) int {
	if run.counted {
		return g.runs - 1
	}
	return g.runs
}

// startStandby prepares a run at another engine until the current run's engine is heard.
func (g *generation) startStandby() {
	if !g.mayUseAnotherEngine() {
		return // before the current run makes progress
	}
	g.silence.Reset(standbyRetryDelay)
	defer g.refundSends()
	if !g.reserveSends(1) {
		return
	}
	ctx, cancel := context.WithCancel(g.ctx)
	defer cancel()
	g.current.notifyProgress(cancel)
	lease, err := g.s.admission.acquireEngine(ctx, g.newWaiter())
	if err == nil {
		g.standby, _, err = g.launch(ctx, lease)
	}
	if err != nil {
		g.decision("no_standby", "endpoint", g.current.lease.Target.Name, "cause", err.Error())
		return
	}
	g.silence.Reset(maxRunOverlap)
}

// replaceCurrent ends the silent current run in favour of the standby.
func (g *generation) replaceCurrent() {
	old := g.current
	g.current, g.standby = g.standby, nil
	g.abandon(old, sched.Failed)
	g.takeOver(errEndpointTimeout)
}

// mayUseAnotherEngine reports whether the request may run at another engine besides those that
// may have run it.
func (g *generation) mayUseAnotherEngine() bool {
	return g.resumable() && g.otherRuns(g.current)+1 < g.call.Route.MaxAttempts && g.sends < maxGenerationSends && !g.suspected()
}

// newWaiter returns a waiter for another run. It leaves out the engines of the runs in progress.
func (g *generation) newWaiter() *placement.Waiter {
	w := g.exchange.newWaiter()
	w.Demand.Exclude = slices.Clone(w.Demand.Exclude)
	for _, run := range []*engineRun{g.current, g.standby} {
		if run != nil {
			w.Demand.Exclude = append(w.Demand.Exclude, run.lease.Target.Name)
		}
	}
	return w
}

// demand returns the demand of another run.
func (g *generation) demand() placement.Demand { return g.newWaiter().Demand }

// handleCurrent handles a result of the current run.
func (g *generation) handleCurrent(r runResult) (done bool, err error) {
	run := g.current
	run.received(r)
	v, outcome, err := g.receive(run, r)
	switch v {
	case runProgressed:
		g.dropStandby()
		g.watchSilence()
		return false, nil
	case runFinished:
		g.current = nil
		g.end(run, outcome)
		return true, err
	case runRefused:
		if next := g.redirectRun(run, outcome, err); next != nil {
			g.current = next
			g.lastEndpoint = next.lease.Target.Name
			g.watchSilence()
			return false, nil
		}
	case runFailed:
	}
	g.end(run, outcome)
	g.current, g.standby = g.standby, nil
	if g.current != nil {
		g.takeOver(err)
		return false, err
	}
	if g.ctx.Err() != nil {
		return true, context.Cause(g.ctx)
	}
	return v == runFailed && g.cannotResume(g.ctx), err
}

// handleStandby handles a result of the standby. It replaces the current run once its response
// has begun.
func (g *generation) handleStandby(r runResult) {
	run := g.standby
	run.received(r)
	v, outcome, err := g.receive(run, r)
	switch v {
	case runProgressed:
		g.replaceCurrent()
		return
	case runRefused:
		if next := g.redirectRun(run, outcome, err); next != nil {
			g.standby = next
			g.silence.Reset(maxRunOverlap)
			return
		}
	case runFinished, runFailed:
	}
	g.standby = nil
	g.end(run, outcome)
	g.decision("no_standby", "endpoint", run.lease.Target.Name, "cause", err.Error())
	g.silence.Reset(standbyRetryDelay)
}

// takeOver records that the standby has become the current run because of cause.
func (g *generation) takeOver(cause error) {
	g.recordRepeat(cause)
	g.lastEndpoint = g.current.lease.Target.Name
	g.watchSilence()
}

// dropStandby ends the standby, if there is one.
func (g *generation) dropStandby() {
	if run := g.standby; run != nil {
		g.standby = nil
		g.abandon(run, sched.Abandoned)
	}
}

// abandonAll ends all runs.
func (g *generation) abandonAll() {
	g.dropStandby()
	if run := g.current; run != nil {
		g.current = nil
		g.abandon(run, sched.Abandoned)
	}
}

// abandon ends a run in progress.
func (g *generation) abandon(run *engineRun, o sched.Outcome) {
	g.countRun(run)
	if run.events < beginEvents {
		g.recordAbandoned(run.lease.Target)
	}
	g.end(run, o)
}

// end frees what a run holds.
func (g *generation) end(run *engineRun, o sched.Outcome) {
	run.cancel(errRunAbandoned)
	if p := run.prefill; p != nil && !run.counted {
		g.s.stats.prefillsUnfetched.Inc()
		g.s.releaseHandle(p.addr, p.endpoint, p.handle)
	}
	// An engine that was full for a standby may have room when the current run breaks.
	if o != sched.Succeeded && o != sched.Abandoned && (o != sched.Full || run == g.current) {
		g.excluded = append(append(g.excluded, run.refusedBy...), run.lease.Target.Name)
	}
	g.s.admission.release(run.lease, o)
}

// callerTimeout returns how long a caller waits for the next event.
func (x *exchange) callerTimeout() time.Duration {
	r := x.call.Route
	return max(minCallerTimeout, callerTimeoutTargets*r.FirstToken, callerTimeoutGaps*r.MaxGap)
}

// engineTimeout returns how long the engine of the next attempt may send nothing before another
// one is prepared.
func (x *exchange) engineTimeout() time.Duration { return x.silenceLimit(x.runs) }

// silenceLimit returns how long an engine may send nothing before another one is prepared, after
// runs at other engines: until the caller gives up, or, if the stream can be resumed on another
// engine, until the engine is more likely unreachable than slow. The caller must still be
// connected when the stream resumes.
func (x *exchange) silenceLimit(runs int) time.Duration {
	r := x.call.Route
	if !r.Resumable || runs+1 >= r.MaxAttempts {
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
	latest, dueFrom := since.Add(x.callerTimeout()-startMargin), since
	if latest.After(x.deadline) {
		latest = x.deadline
	}
	if x.takenUp && x.relayedTokens == 0 && !x.chargedAt.IsZero() {
		// The wait for tokens must not put it behind all new requests.
		dueFrom = x.chargedAt
	}
	return &placement.Waiter{
		Demand:   x.demand(),
		Arrived:  c.Arrived,
		Due:      dueFrom.Add(c.Route.FirstToken - expectedStartDelay - time.Duration(c.PromptTokens)*prefillTimePerToken),
		Deadline: latest,
		Priority: x.standing.Rank,
	}
}

// demand returns what a run of the generation needs.
func (x *exchange) demand() placement.Demand {
	c := x.call
	return placement.Demand{
		Pool: c.Pool.Name, Prompt: c.PromptTokens, MaxOutput: c.MaxOutputTokens, ExpectedOutput: x.s.admission.predictOutput(c),
		Generated: x.priorTokens + x.relayedTokens, Exclude: x.excluded, SoftwareVersion: x.softwareVersion,
		Homes: x.homes(), MaxGap: c.Route.MaxGap, Rank: x.standing.Rank,
	}
}

var (
	// errNoRetryBudget ends a request that would have to be sent again when the retry budget
	// does not allow it.
	errNoRetryBudget = errors.New("retry budget is exhausted")
	// errEngineLeft ends an attempt whose engine may not be given the request any more after the prefill: it leaves, is
	// in a pause, or its data centre was evacuated.
	errEngineLeft = errors.New("the engine may not be given the request any more")
	// errNoPlace marks the refusal of a request for which no engine can be had in time.
	errNoPlace = errors.New("no engine can be had in time")
)

// prefillTimePerToken is the typical time to prefill one prompt token.
const prefillTimePerToken = 18 * time.Microsecond

// launch prefills the prompt, if the lease has an engine for that, and sends the request to the
// lease's decode engine. Done is false if another attempt may follow. Ctx limits the
// preparation only. The run holds the lease; without a run it is released.
func (g *generation) launch(ctx context.Context, l *placement.Lease) (run *engineRun, done bool, err error) {
	fields := []any{"prefill", endpointName(l.Prefill), "decode", l.Target.Name, "software", l.Target.SoftwareVersion, "waited_ms", g.queueTime.Milliseconds(), "prompt", g.call.PromptTokens, "output", g.call.MaxOutputTokens}
	fields = g.s.appendChoice(fields, "prefill_", l.PrefillChoice)
	g.decision("place", g.s.appendChoice(fields, "", l.TargetChoice)...)
	outcome := sched.Abandoned
	defer func() {
		if run == nil {
			g.s.admission.release(l, outcome)
		}
	}()
	err = g.admit()
	if err == nil && g.sends == 0 {
		err = g.endsBeforeExit() // it may have waited for the lease
	}
	if err != nil {
		return nil, true, err
	}
	// A standby is worth nothing at an engine that is silent too.
	if err := g.s.upstream.ensureConn(ctx, l.Target, g.current != nil); err != nil {
		outcome = outcomeOf(ctx, err)
		g.s.recordConnectError(l.Target, err)
		if ctx.Err() == nil && !errors.IsAny(err, errIncarnationUnknown, errNotEligible) {
			g.excluded = append(g.excluded, l.Target.Name)
		}
		return nil, ctx.Err() != nil, err
	}
	var p *prefillResult
	if engine := l.Prefill; engine != nil {
		if g.prefilled && !g.reserveSends(2) {
			return nil, true, errNoRetryBudget
		}
		if p, err = g.prefill(ctx, l); err != nil {
			if ctx.Err() == nil && !errors.Is(err, errNotEligible) {
				g.excluded = append(g.excluded, engine.Name)
			}
			return nil, errors.Is(err, errCallerGone), err
		}
	}
	if err = g.admit(); err == nil && ctx.Err() != nil {
		err = context.Cause(ctx)
	}
	done = err != nil
	if err == nil && p != nil && !g.mayStillSend(l.Target) && !g.redirect(l, g.demand(), sched.Abandoned, errEngineLeft) {
		err = errEngineLeft
	}
	if err != nil {
		if p != nil {
			g.s.releaseHandle(p.addr, p.endpoint, p.handle)
		}
		return nil, done, err
	}
	return g.sendRun(l, p), false, nil
}

// mayStillSend reports whether the request may be sent to an endpoint that was chosen for it some time ago.
func (g *generation) mayStillSend(ep *config.Endpoint) bool {
	return g.s.admission.recheck(placement.Send{Endpoint: ep.Name, Incarnation: ep.Incarnation, Homes: g.homes()}) == ""
}

// sendRun sends the request to the lease's decode engine.
func (g *generation) sendRun(l *placement.Lease, p *prefillResult) *engineRun {
	g.countSend()
	req := g.request(l.Target, RequestOptions{KVSource: p.source(), LastEventID: g.lastEventID})
	// The software version in an entry holds for its incarnation only.
	req.incarnation, req.mustConfirm = l.Target.Incarnation, p != nil || g.softwareVersion != ""
	var ids *idSequence
	if g.call.Route.Resumable {
		ids = newIDSequence(g.lastEventID, g.idOrder, g.refusedEventID)
	}
	return g.s.upstream.startRun(g.ctx, req, l, p, ids)
}

// handleReuseTime is how long after a prefill its result may still be offered to another
// engine.
func (x *exchange) handleReuseTime() time.Duration {
	return time.Duration(handleReuseRatio * float64(x.call.Pool.Engine.HandleTTL))
}

// redirectRun sends a request that an engine refused to another one, with the result of the same
// prefill: repeating the prefill would cost more than anything else. It returns nil if that is
// not possible.
func (g *generation) redirectRun(run *engineRun, o sched.Outcome, cause error) *engineRun {
	p, l, from := run.prefill, run.lease, run.lease.Target
	if p == nil || g.ctx.Err() != nil || time.Since(p.at) > g.handleReuseTime() || !g.reserveSends(1) {
		return nil
	}
	d := g.demand()
	d.Exclude = append(d.Exclude, run.refusedBy...)
	if !g.redirect(l, d, o, cause) || g.admit() != nil {
		return nil
	}
	run.cancel(errRunAbandoned)
	next := g.sendRun(l, p)
	next.refusedBy = append(run.refusedBy, from.Name)
	return next
}

// redirect moves a lease whose prefill is done to another decode engine.
func (g *generation) redirect(l *placement.Lease, d placement.Demand, o sched.Outcome, cause error) (moved bool) {
	from := l.Target
	moved = g.s.admission.redirect(l, d, o)
	g.s.stats.redirects.Inc()
	g.decision("redirect", "from", from.Name, "to", l.Target.Name, "software", l.Target.SoftwareVersion, "moved", moved, "cause", cause.Error())
	return moved
}

// outcomeOf classifies a failure by whether the endpoint caused it.
func outcomeOf(ctx context.Context, err error) sched.Outcome {
	cause := context.Cause(ctx)
	switch {
	case cause != nil && !errors.Is(cause, errEndpointTimeout), errors.Is(err, errNotEligible):
		return sched.Abandoned
	case errors.Is(err, errOtherIncarnation):
		return sched.Replaced
	case errors.Is(err, errIncarnationUnknown):
		return sched.Full // worth another try soon
	case errors.Is(err, endpoint.ErrNotSent):
		return sched.Unreachable
	}
	return sched.Failed
}

// cannotResume reports whether the stream ends here because the request may have run and cannot
// be resumed on another engine.
func (x *exchange) cannotResume(ctx context.Context) bool {
	return ctx.Err() != nil || !x.resumable() || x.runs >= x.call.Route.MaxAttempts
}

// resumable reports whether another engine may go on with the stream. An instance of a release
// that does not know software versions may have passed on the entry of the engine that began it. Sparse ids do not show
// whether the last one is right.
func (x *exchange) resumable() bool {
	return x.call.Route.Resumable && (x.relayedTokens == 0 || x.softwareVersion != "" && x.idOrder != orderSparse)
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
		resp, err := s.upstream.do(ctx, endpointRequest{endpoint: name, addr: addr, sender: "release", method: http.MethodDelete, uri: s.wire.HandlePath(handle), host: addr})
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
