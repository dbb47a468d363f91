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
	answerMargin = 30 * time.Millisecond // for the answer's way back to the caller
	noConfigWait = 500 * time.Millisecond
	endpointWait = 400 * time.Millisecond // a service without usable endpoint is looked at again after this time
)

// handle runs one request through the stages and answers it.
func (s *Server) handle(ctx context.Context, c *Call, r *reply) {
	x := &exchange{s: s, call: c, reply: r, lastEvent: c.LastEvent, logged: s.logQuota.take(c.Arrived)}
	err := x.run(ctx)
	switch {
	case err == nil || r.started:
	case errors.Is(err, errCallerGone):
		r.err = err
	case x.fallback != nil:
		r.whole(x.fallback.status, x.fallback.header, x.fallback.body)
	default:
		known := x.classify(ctx, err)
		s.stats.refused[errkind.From(known).Kind].Inc()
		r.fail(known)
	}
	x.report(err)
}

// exchange is one caller's request on its way through the stages.
type exchange struct {
	s     *Server
	call  *Call
	reply *reply

	deadline  time.Time
	sends     int      // arrivals at endpoints that count as such
	paid      int      // further arrivals taken from the budget; negative for ones that were not
	prefilled bool     // an engine has read the prompt; only the first time is no arrival
	runs      int      // endpoints that may have run the request
	fetched   bool     // an engine may have taken the prefill result
	exclude   []string // endpoints that failed the request
	target    string   // endpoint that answered last
	waited    time.Duration
	tokens    int           // output tokens relayed
	before    int           // output tokens that the caller had before, from an earlier attempt
	lastEvent string        // id of the last event relayed, or the caller's own
	logged    bool          // lines are written at once
	kept      []logLine     // lines that wait for the end
	fallback  *whole        // an endpoint's own failure, for want of a better answer
	first     time.Duration // from arrival to the first event
	pause     time.Duration // longest between two events
	lastAt    time.Time     // of the last event relayed
}

// run is the chain of stages: route, identify, limit, dispatch.
func (x *exchange) run(ctx context.Context) error {
	if x.s.stopping.Load() {
		return refusal(errkind.ShuttingDown, "this instance is shutting down", leaveWait)
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
	x.s.budget.request(time.Now(), x.call.Pool.Name)
	var err error
	if x.call.Pool.Engine != nil {
		err = x.generation(ctx)
	} else {
		err = x.service(ctx)
	}
	x.settle()
	if x.runs == 0 && x.call.Account != nil {
		x.s.quotaReturn(x.call.Account.Name, x.call.Tokens)
	}
	return err
}

var errDeadline = errors.New("the deadline passed")

// route finds the route and the pool, and the deadline that follows.
func (x *exchange) route() error {
	st := x.s.state.Current()
	if st.Ticket == 0 {
		return refusal(errkind.StaleConfiguration, "this instance has no configuration yet", noConfigWait)
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
		return refusal(errkind.NoEndpoint, "the route's pool is not configured", endpointWait)
	}
	if e := c.Pool.Engine; e != nil {
		x.before = min(c.EventsHad*max(1, e.Stride), c.Output)
	}
	x.deadline = c.Arrived.Add(c.Route.Deadline)
	if c.Route.Deadline <= 0 {
		x.deadline = c.Arrived.Add(bodyTimeout)
	}
	if d := c.Deadline.Add(-answerMargin); !c.Deadline.IsZero() && d.Before(x.deadline) {
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
	c.Tokens = c.Account.FlatTokens
	size := window.PlainCall
	if c.Sized {
		c.Tokens, size = c.Prompt+c.Output, window.Generation
	}
	d := x.s.quotaReserve(c.Account, c.Tokens, size)
	c.Beyond = d.UsedSlack
	if !d.Allowed {
		x.decision("over_rate", "account", c.Account.Name, "tokens", c.Tokens, "limit", int(d.Limit), "own", d.OwnUsage, "others", int(d.PeerUsage), "silent", d.SilentPeers, "retry_after_ms", d.RetryAfter.Milliseconds())
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
func (x *exchange) mayArrive(n int) bool {
	if x.sends == 0 {
		n--
	}
	need := n - x.paid
	if need <= 0 {
		return true
	}
	if !x.s.budget.spend(time.Now(), x.call.Pool.Name, need) {
		x.s.stats.noBudget.Inc()
		x.decision("no_repeat", "reason", "budget", "arrivals", need)
		return false
	}
	x.paid += need
	return true
}

// settle gives back what was taken for arrivals that were not made.
func (x *exchange) settle() {
	if x.paid > 0 {
		x.s.budget.giveBack(time.Now(), x.call.Pool.Name, x.paid)
		x.paid = 0
	}
}

// beyondRank puts a request above its account's limit after all that are within theirs.
const beyondRank = 1000

// urgency is the rank of the request: the account's goes before the route's.
func (x *exchange) urgency() int {
	rank := x.call.Route.Priority
	if x.call.Account != nil {
		rank += 10 * x.call.Account.Priority
	}
	if x.call.Beyond {
		rank += beyondRank
	}
	return rank
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
			return errkind.Wrap(err, errkind.DeadlineUnreachable, execution, "the deadline passed").WithRetryAfter(endpointWait)
		}
		return errkind.Wrap(err, errkind.EndpointTimeout, execution, "the deadline passed")
	}
	e := errkind.Wrap(err, errkind.EndpointFailed, execution, "the endpoint failed")
	if execution == errkind.NotRun {
		return e.WithRetryAfter(endpointWait)
	}
	return e
}

// report counts and logs how the request ended.
func (x *exchange) report(err error) {
	c, r := x.call, x.reply
	took := time.Since(c.Arrived)
	outcome := x.outcome(err)
	x.s.stats.ended[outcome].Inc()
	switch {
	case x.tokens > 0:
		x.s.stats.first.Update(x.first.Seconds())
		x.s.stats.pauses.Update(x.pause.Seconds())
		x.s.stats.waits.Update(x.waited.Seconds())
	case outcome == outcomeWhole:
		x.s.stats.plain.Update(took.Seconds())
	}
	routine := outcome == outcomeWhole && r.status < 400 && x.sends <= 1 && !x.slow(took)
	if !x.logged && routine {
		x.s.stats.omitted.Inc()
		return
	}
	for _, line := range x.kept {
		x.s.log.Info(line.what, line.fields...)
	}
	x.logged = true
	fields := []any{
		"outcome", outcome, "status", r.status, "ms", took.Milliseconds(), "waited_ms", x.waited.Milliseconds(),
		"sends", x.sends, "runs", x.runs, "endpoint", x.target, "account", x.account(),
	}
	if c.Route != nil {
		fields = append(fields, "route", c.Route.Name)
	}
	if x.tokens > 0 {
		fields = append(fields, "output_tokens", x.tokens, "last_event", x.lastEvent, "hint", c.Hint, "first_ms", x.first.Milliseconds(), "pause_ms", x.pause.Milliseconds())
	}
	if err != nil {
		fields = append(fields, "cause", err.Error())
	}
	x.decision("end", fields...)
}

// outcome sums the request up.
func (x *exchange) outcome(err error) string {
	r := x.reply
	switch {
	case errors.Is(err, errCallerGone) || r.err != nil:
		return outcomeGone
	case r.started && !r.finished:
		return outcomeCut
	case err == nil || x.fallback != nil:
		return outcomeWhole
	case x.runs == 0:
		return outcomeRefused
	}
	return outcomeFailed
}

// slow reports whether the answer missed the route's latency target.
func (x *exchange) slow(took time.Duration) bool {
	r := x.call.Route
	if r == nil || r.FirstToken <= 0 {
		return false
	}
	if x.tokens > 0 {
		return x.first > r.FirstToken || (r.MaxGap > 0 && x.pause > r.MaxGap)
	}
	return took > r.FirstToken
}

// logLine is a line that is written only if the request does not end as usual.
type logLine struct {
	what   string
	fields []any
}

// decision logs one decision about the request, with the time since its arrival: a line
// that is kept is written later than the decision was taken.
func (x *exchange) decision(what string, fields ...any) {
	line := logLine{"request." + what, append([]any{"request", x.call.ID, "at_ms", time.Since(x.call.Arrived).Milliseconds()}, fields...)}
	if !x.logged {
		x.kept = append(x.kept, line)
		return
	}
	x.s.log.Info(line.what, line.fields...)
}
