package gateway

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"carawayrouter.example/router/internal/config"
	"carawayrouter.example/router/internal/errkind"
	"carawayrouter.example/router/internal/placement"
	"carawayrouter.example/router/internal/scarcity"
)

const (
	responseMargin     = 30 * time.Millisecond // reserved for the response to reach the caller
	noConfigRetryAfter = 500 * time.Millisecond
	endpointRetryAfter = 400 * time.Millisecond // after this time a pool without usable endpoints is worth another try
)

// handle processes one request and responds to it.
func (s *Server) handle(ctx context.Context, c *Call, r *response) {
	x := &exchange{s: s, call: c, resp: r, lastEventID: c.LastEventID, logNow: s.logLimiter.allow(c.Arrived)}
	err := x.run(ctx)
	switch {
	case err == nil || r.started:
	case errors.Is(err, errCallerGone):
		r.writeErr = err
	case x.fallback != nil:
		r.send(x.fallback.status, x.fallback.header, x.fallback.body)
	default:
		known := x.classify(ctx, err)
		s.stats.refused[errkind.From(known).Kind].Inc()
		r.sendError(known)
	}
	x.report(err)
	x.dropFallback()
}

// exchange is one caller's request and its state while it is processed.
type exchange struct {
	s    *Server
	call *Call
	resp *response

	deadline        time.Time
	chargedAt       time.Time // when the tokens were charged to the account
	sends           int       // requests received by endpoints that count against the retry budget
	reserved        int       // retries reserved in the budget and not yet used; negative for sends without a reservation
	reservedAt      time.Time // of the oldest reservation
	prefilled       bool      // a prefill has succeeded; only the first one does not count as a send
	runs            int       // endpoints that may have run the request
	crashed         bool      // the endpoint of the last attempt crashed before its response began
	excluded        []string  // endpoints that failed the request
	lastEndpoint    string    // endpoint of the last attempt
	lastFraming     framing   // of the last response; empty before the first one
	lastDetoured    bool      // the last response came through another instance
	queueTime       time.Duration
	relayedTokens   int                // output tokens relayed
	standing        placement.Standing // of a generation among those of its pool
	priorTokens     int                // output tokens that the caller received in an earlier attempt
	softwareVersion string             // of the engine that began the stream; empty before
	takenUp         bool               // the caller takes up a broken stream
	lastEventID     string             // ID of the last event relayed, or the one sent by the caller
	idOrder         idOrder            // of the events relayed
	refusedEventID  uint64             // id with which the last run of the stream ended; 0 if it was not one
	logNow          bool               // log lines are written immediately
	deferredLines   []logLine          // log lines to write when the request ends
	fallback        *bufferedResponse  // an endpoint's error response, sent if no attempt succeeds
	firstEventDelay time.Duration      // from arrival to the first event
	longestGap      time.Duration      // longest time between two events
	lastEventAt     time.Time

	fingerprintCache string // empty until it is needed
}

// run passes the request through the stages: route, identify, resume, limit, dispatch.
func (x *exchange) run(ctx context.Context) error {
	if x.s.stopping.Load() {
		return refusal(errkind.ShuttingDown, "this instance is shutting down", shutdownRetryAfter)
	}
	if err := x.route(); err != nil {
		return err
	}
	if err := x.endsBeforeExit(); err != nil {
		return err
	}
	if err := x.admit(); err != nil {
		return err
	}
	ctx, cancel := context.WithDeadlineCause(ctx, x.deadline, errDeadline)
	defer cancel()
	// A stream that is taken up again is charged once it is known where it may go on.
	if err := x.resume(ctx); err != nil {
		return err
	}
	if err := x.limit(ctx); err != nil {
		return err
	}
	x.s.budget.recordRequest(time.Now(), x.call.Pool.Name)
	err := x.dispatch(ctx)
	x.refundSends()
	if x.runs == 0 && x.call.Account != nil {
		x.s.refundTokens(x.chargedAt, x.call.Account, x.call.ChargedTokens)
	}
	return err
}

// dispatch sends the request to endpoints.
func (x *exchange) dispatch(ctx context.Context) error {
	if x.call.Pool.Engine != nil {
		return x.generation(ctx)
	}
	return x.service(ctx)
}

var errDeadline = errors.New("the deadline passed")

// route determines the route, the pool and the deadline.
func (x *exchange) route() error {
	st := x.s.state.Current()
	if st.Ticket == 0 {
		return refusal(errkind.StaleConfiguration, "this instance has no configuration yet", noConfigRetryAfter)
	}
	c := x.call
	c.Route = st.HostRoute(hostName(c.Host), c.Method, c.Path)
	if c.Route == nil {
		return errkind.New(errkind.UnknownRoute, "no route for this host and path")
	}
	c.Pool = st.Pools[c.Route.PoolFor(rand.Float64())]
	if c.Pool == nil {
		return refusal(errkind.NoEndpoint, "the route's pool is not configured", endpointRetryAfter)
	}
	x.countPriorTokens()
	x.deadline = c.Arrived.Add(c.Route.Deadline)
	if c.Route.Deadline <= 0 {
		x.deadline = c.Arrived.Add(bodyTimeout)
	}
	if d := c.Deadline.Add(-responseMargin); !c.Deadline.IsZero() && d.Before(x.deadline) {
		x.deadline = d
	}
	return nil
}

// countPriorTokens counts the output tokens that the caller received in an earlier attempt.
func (x *exchange) countPriorTokens() {
	if e := x.call.Pool.Engine; e != nil {
		x.priorTokens = min(x.call.EventsReceived*max(1, e.Stride), x.call.MaxOutputTokens)
	}
}

// hostName returns the host without a port.
func hostName(host string) string {
	if h, _, err := net.SplitHostPort(host); err == nil {
		return h
	}
	return host
}

// identify looks up the account of the caller's key. It runs again before each send, with the
// newest configuration.
func (x *exchange) identify(st *config.State) error {
	c := x.call
	if c.Route.Open {
		return nil
	}
	if c.Key == "" {
		return errkind.New(errkind.NoKey, "this route needs a key")
	}
	k := st.Keys[config.HashKey(c.Key)]
	if k == nil || k.Withdrawn {
		return errkind.New(errkind.KeyRefused, "the key is not valid")
	}
	c.Account = st.Accounts[k.Account]
	if c.Account == nil {
		return errkind.New(errkind.KeyRefused, "the key is not valid")
	}
	return nil
}

// account returns the account's name, or "" on open routes.
func (x *exchange) account() string {
	if x.call.Account == nil {
		return ""
	}
	return x.call.Account.Name
}

// reserveSends reports whether the request may be sent n more times, and reserves the retries
// for it in the fleet's budget. The first send is free.
func (x *exchange) reserveSends(n int) bool {
	if x.sends == 0 {
		n--
	}
	need := n - x.reserved
	if need <= 0 {
		return true
	}
	now := time.Now()
	if !x.s.budget.reserve(now, x.call.Pool.Name, need) {
		x.s.stats.retriesDenied.Inc()
		x.decision("no_repeat", "reason", "budget", "arrivals", need)
		return false
	}
	if x.reserved <= 0 {
		x.reservedAt = now
	}
	x.reserved += need
	return true
}

// refundSends returns reserved retries that were not used.
func (x *exchange) refundSends() {
	if x.reserved > 0 {
		x.s.budget.refund(x.reservedAt, x.call.Pool.Name, x.reserved)
		x.reserved = 0
	}
}

// priority returns the priority of the request; lower values go first. The account's priority
// takes precedence over the route's.
func (x *exchange) priority() int {
	priority := x.call.Route.Priority
	if x.call.Account != nil {
		priority += scarcity.AccountRanks * x.call.Account.Priority
	}
	if x.call.OverLimit {
		priority += scarcity.OverLimit // behind all requests within limits
	}
	return priority
}

// classify converts any error to one of the fixed error kinds.
func (x *exchange) classify(ctx context.Context, err error) error {
	var known *errkind.Error
	if errors.As(err, &known) {
		if known.Execution == errkind.NotRun && x.runs > 0 {
			return known.WithExecution(errkind.Unknown)
		}
		return known
	}
	execution := errkind.NotRun
	if x.runs > 0 {
		execution = errkind.Unknown
	}
	if errors.Is(err, errDeadline) || errors.Is(err, context.DeadlineExceeded) {
		if execution == errkind.NotRun {
			return errkind.Wrap(err, errkind.DeadlineUnreachable, execution, "the deadline passed").WithRetryAfter(endpointRetryAfter)
		}
		return errkind.Wrap(err, errkind.EndpointTimeout, execution, "the deadline passed")
	}
	e := errkind.Wrap(err, errkind.EndpointFailed, execution, "the endpoint failed")
	if execution == errkind.NotRun {
		return e.WithRetryAfter(endpointRetryAfter)
	}
	return e
}

// report counts and logs how the request ended.
func (x *exchange) report(err error) {
	c, r := x.call, x.resp
	took := time.Since(c.Arrived)
	x.observeTime(took)
	outcome := x.outcome(err)
	x.s.stats.requests[outcome].Inc()
	switch {
	case x.relayedTokens > 0:
		x.s.stats.firstEvent.Update(x.firstEventDelay.Seconds())
		x.s.stats.longestGap.Update(x.longestGap.Seconds())
		x.s.stats.queueWait.Update(x.queueTime.Seconds())
	case outcome == outcomeComplete:
		x.s.stats.callLatency.Update(took.Seconds())
	}
	x.countByRank(outcome, took)
	routine := outcome == outcomeComplete && r.status < 400 && x.sends <= 1 && !x.missedTarget(took) && x.lastFraming != framedByClose
	if !x.logNow && routine {
		x.s.stats.omitted.Inc()
		return
	}
	for _, line := range x.deferredLines {
		x.s.log.Info(line.event, line.fields...)
	}
	x.logNow = true
	fields := []any{
		"outcome", outcome, "status", r.status, "ms", took.Milliseconds(), "waited_ms", x.queueTime.Milliseconds(),
		"sends", x.sends, "runs", x.runs, "endpoint", x.lastEndpoint, "account", x.account(),
	}
	if c.Route != nil {
		fields = append(fields, "route", c.Route.Name)
	}
	if x.standing.Own > 0 {
		fields = append(fields, "rank", x.priority(), "as_rank", x.standing.Rank)
	}
	if x.lastFraming != "" {
		fields = append(fields, "framing", string(x.lastFraming), "detoured", x.lastDetoured)
	}
	if x.relayedTokens > 0 {
		fields = append(fields, "output_tokens", x.relayedTokens, "last_event", x.lastEventID, "hint", c.OutputHint, "first_ms", x.firstEventDelay.Milliseconds(), "pause_ms", x.longestGap.Milliseconds())
	}
	if err != nil {
		fields = append(fields, "cause", err.Error())
	}
	x.decision("end", fields...)
}

// countByRank counts a generation of a pool with several ranks.
func (x *exchange) countByRank(outcome string, took time.Duration) {
	if x.standing.Own == 0 {
		return
	}
	m := x.s.stats.byRank[rankLabel(x.standing.Own)]
	m["arrived"].Inc()
	if x.queueTime >= queuePollInterval {
		m["waited"].Inc()
	}
	switch {
	case outcome == outcomeRefused:
		m["refused"].Inc()
	case outcome == outcomeComplete && !x.missedTarget(took):
		m["on_time"].Inc()
	}
}

// outcome returns how the request ended.
func (x *exchange) outcome(err error) string {
	r := x.resp
	switch {
	case errors.Is(err, errCallerGone) || r.writeErr != nil:
		return outcomeCallerGone
	case r.started && !r.finished:
		return outcomeTruncated
	case err == nil || x.fallback != nil:
		return outcomeComplete
	case x.runs == 0:
		return outcomeRefused
	}
	return outcomeFailed
}

// missedTarget reports whether the response missed the route's latency target.
func (x *exchange) missedTarget(took time.Duration) bool {
	r := x.call.Route
	if r == nil || r.FirstToken <= 0 {
		return false
	}
	if x.relayedTokens > 0 {
		return x.firstEventDelay > r.FirstToken || (r.MaxGap > 0 && x.longestGap > r.MaxGap)
	}
	return took > r.FirstToken
}

// logLine is a log line that is written only if the request does not end normally.
type logLine struct {
	event  string
	fields []any
}

// decision logs a decision about the request with the time since its arrival, because a
// deferred line is written later than the decision was made.
func (x *exchange) decision(event string, fields ...any) {
	line := logLine{"request." + event, append([]any{"request", x.call.ID, "at_ms", time.Since(x.call.Arrived).Milliseconds()}, fields...)}
	if !x.logNow {
		x.deferredLines = append(x.deferredLines, line)
		return
	}
	x.s.log.Info(line.event, line.fields...)
}
