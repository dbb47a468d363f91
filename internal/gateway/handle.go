package gateway

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"carawayrouter.example/router/internal/config"
	"carawayrouter.example/router/internal/errkind"
	"carawayrouter.example/router/internal/limit/window"
)

const (
	responseMargin     = 30 * time.Millisecond // for the answer's way back to the caller
	noConfigRetryAfter = 500 * time.Millisecond
	endpointRetryAfter = 400 * time.Millisecond // a service without usable endpoint is looked at again after this time
)

// handle runs one request through the stages and answers it.
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
}

// exchange is one caller's request on its way through the stages.
type exchange struct {
	s    *Server
	call *Call
	resp *response

	deadline        time.Time
	sends           int      // arrivals at endpoints that count as such
	reserved        int      // further arrivals taken from the budget; negative for ones that were not
	prefilled       bool     // an engine has read the prompt; only the first time is no arrival
	runs            int      // endpoints that may have run the request
	handleFetched   bool     // an engine may have taken the prefill result
	excluded        []string // endpoints that failed the request
	lastEndpoint    string   // endpoint that answered last
	queueTime       time.Duration
	relayedTokens   int               // output tokens relayed
	priorTokens     int               // output tokens that the caller had before, from an earlier attempt
	lastEventID     string            // id of the last event relayed, or the caller's own
	logNow          bool              // lines are written at once
	deferredLines   []logLine         // lines that wait for the end
	fallback        *bufferedResponse // an endpoint's own failure, for want of a better answer
	firstEventDelay time.Duration     // from arrival to the first event
	longestGap      time.Duration     // longest between two events
	lastEventAt     time.Time         // of the last event relayed
}

// run is the chain of stages: route, identify, limit, dispatch.
func (x *exchange) run(ctx context.Context) error {
	if x.s.stopping.Load() {
		return refusal(errkind.ShuttingDown, "this instance is shutting down", shutdownRetryAfter)
	}
	if err := x.route(); err != nil {
		return err
	}
	if err := x.identify(x.s.state.Current()); err != nil {
		return err
	}
	ctx, cancel := context.WithDeadlineCause(ctx, x.deadline, errDeadline)
	defer cancel()
	if err := x.limit(); err != nil {
		return err
	}
	x.s.budget.recordRequest(time.Now(), x.call.Pool.Name)
	var err error
	if x.call.Pool.Engine != nil {
		err = x.generation(ctx)
	} else {
		err = x.service(ctx)
	}
	x.refundSends()
	if x.runs == 0 && x.call.Account != nil {
		x.s.quotaReturn(x.call.Account.Name, x.call.ChargedTokens)
	}
	return err
}

var errDeadline = errors.New("the deadline passed")

// route finds the route and the pool, and the deadline that follows.
func (x *exchange) route() error {
	st := x.s.state.Current()
	if st.Ticket == 0 {
		return refusal(errkind.StaleConfiguration, "this instance has no configuration yet", noConfigRetryAfter)
	}
	c := x.call
	host := c.Host
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	c.Route = st.HostRoute(host, c.Method, c.Path)
	if c.Route == nil {
		return errkind.New(errkind.UnknownRoute, "no route for this host and path")
	}
	c.Pool = st.Pools[c.Route.PoolFor(rand.Float64())]
	if c.Pool == nil {
		return refusal(errkind.NoEndpoint, "the route's pool is not configured", endpointRetryAfter)
	}
	if e := c.Pool.Engine; e != nil {
		x.priorTokens = min(c.EventsReceived*max(1, e.Stride), c.MaxOutputTokens)
	}
	x.deadline = c.Arrived.Add(c.Route.Deadline)
	if c.Route.Deadline <= 0 {
		x.deadline = c.Arrived.Add(bodyTimeout)
	}
	if d := c.Deadline.Add(-responseMargin); !c.Deadline.IsZero() && d.Before(x.deadline) {
		x.deadline = d
	}
	return nil
}

// identify finds the account of the caller's key. It runs again before each send, with
// the newest configuration.
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

// limit charges the request's tokens to the account.
func (x *exchange) limit() error {
	c := x.call
	if c.Account == nil {
		return nil
	}
	c.ChargedTokens = c.Account.FlatTokens
	size := window.Small
	if c.HasTokenCounts {
		c.ChargedTokens, size = c.PromptTokens+c.MaxOutputTokens, window.Large
	}
	d := x.s.quotaReserve(c.Account, c.ChargedTokens, size)
	c.OverLimit = d.Beyond
	if !d.Allowed {
		x.decision("over_rate", "account", c.Account.Name, "tokens", c.ChargedTokens, "limit", int(d.Limit), "own", d.Own, "others", int(d.Others), "silent", d.Silent, "retry_after_ms", d.RetryAfter.Milliseconds())
		return refusal(errkind.OverRate, "the account is above its rate", d.RetryAfter)
	}
	return nil
}

// account returns the account's name, empty on open routes.
func (x *exchange) account() string {
	if x.call.Account == nil {
		return ""
	}
	return x.call.Account.Name
}

// mayArrive reports whether the request may arrive n more times at endpoints, and takes
// from the fleet's budget what that needs: the first arrival is free.
func (x *exchange) reserveSends(n int) bool {
	if x.sends == 0 {
		n--
	}
	need := n - x.reserved
	if need <= 0 {
		return true
	}
	if !x.s.budget.reserve(time.Now(), x.call.Pool.Name, need) {
		x.s.stats.retriesDenied.Inc()
		x.decision("no_repeat", "reason", "budget", "arrivals", need)
		return false
	}
	x.reserved += need
	return true
}

// settle gives back what was taken for arrivals that were not made.
func (x *exchange) refundSends() {
	if x.reserved > 0 {
		x.s.budget.refund(time.Now(), x.call.Pool.Name, x.reserved)
		x.reserved = 0
	}
}

// beyondRank puts a request above its account's limit after all that are within theirs.
const overLimitPriority = 1000

// urgency is the rank of the request: the account's goes before the route's.
func (x *exchange) priority() int {
	priority := x.call.Route.Priority
	if x.call.Account != nil {
		priority += 10 * x.call.Account.Priority
	}
	if x.call.OverLimit {
		priority += overLimitPriority
	}
	return priority
}

// classify turns any error into one of the closed list.
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
	routine := outcome == outcomeComplete && r.status < 400 && x.sends <= 1 && !x.missedTarget(took)
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
	if x.relayedTokens > 0 {
		fields = append(fields, "output_tokens", x.relayedTokens, "last_event", x.lastEventID, "hint", c.OutputHint, "first_ms", x.firstEventDelay.Milliseconds(), "pause_ms", x.longestGap.Milliseconds())
	}
	if err != nil {
		fields = append(fields, "cause", err.Error())
	}
	x.decision("end", fields...)
}

// outcome sums the request up.
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

// slow reports whether the answer missed the route's latency target.
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

// logLine is a line that is written only if the request does not end as usual.
type logLine struct {
	event  string
	fields []any
}

// decision logs one decision about the request, with the time since its arrival: a line
// that is kept is written later than the decision was taken.
func (x *exchange) decision(event string, fields ...any) {
	line := logLine{"request." + event, append([]any{"request", x.call.ID, "at_ms", time.Since(x.call.Arrived).Milliseconds()}, fields...)}
	if !x.logNow {
		x.deferredLines = append(x.deferredLines, line)
		return
	}
	x.s.log.Info(line.event, line.fields...)
}
