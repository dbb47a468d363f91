package escrow

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"carawayrouter.example/router/internal/errkind"
	"carawayrouter.example/router/internal/limit"
	"carawayrouter.example/router/internal/limit/bucket"
	"carawayrouter.example/router/internal/peer"
)

const (
	// minWait is the minimum wait of a request, so that the calls themselves have time
	// to complete.
	minWait = 100 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the delay after a failed call.
	minRetryDelay = 10 * time.Millisecond
	maxRetryDelay = 200 * time.Millisecond
	// maxTimeoutDoublings bounds how often the timeout of calls doubles: a grant lives from when it was asked for.
	maxTimeoutDoublings = 2
	// maxHomeFailures is the number of failed calls after which homes in other data
	// centres are asked.
	maxHomeFailures = 2
	// unreachableRetryAfter is the Retry-After value for a request whose wait timed out.
	unreachableRetryAfter = time.Second
)

// client takes tokens from homes for the requests of this instance.
type client struct {
	opts       *Options
	home       *home
	outbox     *outbox
	borrowerID uint64
	loanCount  atomic.Uint64
	prefetched prefetchCache

	mu   sync.Mutex
	rand *rand.Rand
}

func newClient(o *Options, h *home) *client {
	return &client{
		opts:       o,
		home:       h,
		outbox:     newOutbox(o, h),
		borrowerID: xxhash.Sum64String(o.Self.Addr + "/" + strconv.FormatUint(o.Self.Process, 10)),
		rand:       o.Rand,
		prefetched: prefetchCache{accounts: map[string]*prefetchEntry{}},
	}
}

// nextLoanID returns a new loan ID, unique to this process.
func (c *client) nextLoanID() bucket.LoanID {
	return bucket.LoanID{Borrower: c.borrowerID, N: c.loanCount.Add(1)}
}

// reserve implements limit.Limiter.
func (c *client) reserve(ctx context.Context, account string, tokens int, w limit.Wait) (limit.Reservation, error) {
	cfg := c.opts.Config.Current().Accounts[account]
	if cfg == nil {
		return nil, errkind.New(errkind.KeyRefused, "client account is not configured")
	}
	need := int64(tokens) * bucket.MicroPerToken
	if need > toMicroTokens(cfg.Burst) {
		return nil, errkind.New(errkind.TooLarge, "request needs more tokens than the burst of its client account")
	}
	now := c.opts.Clock.Now()
	if need <= 0 {
		return &reservation{client: c, account: account}, nil
	}
	if p, ok := c.prefetched.take(account, need, now); ok {
		c.report(account, p, ReturnItem{Spent: need})
		return c.reservation(account, need, []Part{p}), nil
	}
	if earliest := now.Add(minWait); w.Deadline.Before(earliest) {
		w.Deadline = earliest
	}
	t := &takeRequest{client: c, account: account, need: need, startedAt: now, wait: w, loan: c.nextLoanID()}
	parts, err := t.run(ctx)
	if err != nil {
		return nil, err
	}
	return c.reservation(account, need, parts), nil
}

func (c *client) reservation(account string, need int64, parts []Part) *reservation {
	return &reservation{client: c, account: account, need: need, parts: parts}
}

// report sends an update about the loan of p to its lender.
func (c *client) report(account string, p Part, it ReturnItem) {
	it.Account, it.Epoch, it.Loan = account, p.Epoch, p.Loan
	if p.Addr == c.opts.Self.Addr {
		c.home.applyReturns([]ReturnItem{it})
		return
	}
	c.outbox.add(p.Addr, it)
}

// jitter returns a random duration of at most d.
func (c *client) jitter(d time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Duration(c.rand.Int64N(int64(d) + 1))
}

// status asks the home in this data centre for the state of an account.
func (c *client) status(ctx context.Context, account string) (reply StatusReply, err error) {
	assignment, ok := c.opts.Directory.Home(shardOf(c.opts.Self.DataCentre, account))
	if !ok {
		return StatusReply{Status: NotHome, DataCentre: c.opts.Self.DataCentre}, nil
	}
	if assignment.Home.Addr == c.opts.Self.Addr {
		return c.home.status(account), nil
	}
	err = c.opts.callPeer(peer.Idempotent(ctx), c.opts.CallTimeout, assignment.Home.Addr, "Status", &StatusArgs{Account: account}, &reply)
	return reply, err
}

// takeRequest tracks one request until its tokens are granted or refused.
type takeRequest struct {
	client    *client
	account   string
	need      int64
	startedAt time.Time
	wait      limit.Wait
	queuedAt  time.Time // time of the call that a home with the account open first answered with Queued; zero before
	loan      bucket.LoanID
	homeAddr  string // home that was called last and may have the request in its queue
	failures  int
}

// run calls homes until the tokens are granted or refused, or the deadline has passed.
func (t *takeRequest) run(ctx context.Context) ([]Part, error) {
	for {
		if err := ctx.Err(); err != nil {
			t.withdraw()
			return nil, errkind.Wrap(err, errkind.ClientGone, errkind.NotRun, "request was given up while it waited for tokens")
		}
		if !t.client.opts.Clock.Now().Before(t.wait.Deadline) {
			t.withdraw()
			return nil, t.timeoutError()
		}
		addr, ok := t.selectHome()
		if !ok {
			t.sleep(ctx, t.retryDelay())
			continue
		}
		reply, sent, err := t.callTake(ctx, addr)
		if err != nil {
			t.failures++
			t.sleep(ctx, t.retryDelay())
			continue
		}
		switch reply.Status {
		case Granted:
			if parts, ok := t.accept(reply, sent); ok {
				return parts, nil
			}
		case Refused:
			if ctx.Err() != nil {
				continue
			}
			if reply.Opening {
				t.sleep(ctx, t.retryDelay())
				continue
			}
			return nil, errkind.New(errkind.OverRate, "client account is above its rate").WithRetryAfter(reply.RetryAfter)
		case Queued:
			t.failures = 0
			if t.queuedAt.IsZero() && !reply.Opening {
				t.queuedAt = sent
			}
			t.sleep(ctx, reply.Again)
		default:
			t.failures++
			t.sleep(ctx, t.retryDelay())
		}
	}
}

// timeoutError returns the error of a request whose wait has timed out.
func (t *takeRequest) timeoutError() error {
	if t.queuedAt.IsZero() {
		return errkind.New(errkind.StoreUnavailable, "the client account's rate cannot be checked at the moment").WithRetryAfter(unreachableRetryAfter)
	}
	return errkind.New(errkind.OverRate, "tokens of the client account cannot be had in time").WithRetryAfter(unreachableRetryAfter)
}

// selectHome returns the home to call: the local data centre's, or after repeated
// failures that of a random data centre.
func (t *takeRequest) selectHome() (addr string, ok bool) {
	o := t.client.opts
	// Looked up even when not needed, so that it is known if the store goes down and
	// the local home does not grant.
	fallback, fallbackOK := o.Directory.Home(shardOf(nextDataCentre(o), t.account))
	assignment, ok := o.Directory.Home(shardOf(o.Self.DataCentre, t.account))
	if t.failures >= maxHomeFailures {
		i := int(t.client.jitter(time.Duration(len(o.DataCentres) - 1)))
		assignment, ok = o.Directory.Home(shardOf(o.DataCentres[i], t.account))
		if !ok {
			assignment, ok = fallback, fallbackOK
		}
	}
	if !ok {
		t.failures++
		return "", false
	}
	if t.homeAddr != "" && t.homeAddr != assignment.Home.Addr {
		// The previous home's grant may have been lost in transit.
		t.withdraw()
		t.loan = t.client.nextLoanID()
	}
	t.homeAddr = assignment.Home.Addr
	return t.homeAddr, true
}

// nextDataCentre returns the data centre that follows the local one in the sorted list.
func nextDataCentre(o *Options) string {
	i := slices.Index(o.DataCentres, o.Self.DataCentre)
	return o.DataCentres[(i+1)%len(o.DataCentres)]
}

// callTake makes one call. The grant's lifetime counts from the returned time.
func (t *takeRequest) callTake(ctx context.Context, addr string) (reply TakeReply, sent time.Time, err error) {
	c := t.client
	sent = c.opts.Clock.Now()
	args := TakeArgs{
		Account: t.account,
		Loan:    t.loan,
		Need:    t.need,
		Wait:    t.waitEnd(sent).Sub(sent),
		Waited:  sent.Sub(t.startedAt),
	}
	if addr == c.opts.Self.Addr {
		return c.home.take(&args, true, ctx.Done()), sent, nil
	}
	args.Extra = c.prefetched.amountToFetch(t.account, sent)
	err = c.opts.callPeer(peer.Idempotent(ctx), maxCallWait+t.callTimeout(sent), addr, "Take", &args, &reply)
	return reply, sent, err
}

// callTimeout returns how long a call to a home may take, besides the wait for tokens. It doubles with each failure, as
// calls to homes that are only slow would all be given up otherwise, but stays within what the request may wait.
func (t *takeRequest) callTimeout(now time.Time) time.Duration {
	first := t.client.opts.CallTimeout
	return max(first, min(first<<min(t.failures, maxTimeoutDoublings), t.wait.Deadline.Sub(now)))
}

// waitEnd returns the time at which the wait in a home's queue ends.
func (t *takeRequest) waitEnd(now time.Time) time.Time {
	if t.queuedAt.IsZero() {
		return t.wait.End(now)
	}
	return t.wait.End(t.queuedAt)
}

// accept uses a grant for the request. It returns false and gives the tokens back if
// the grant has expired.
func (t *takeRequest) accept(reply TakeReply, sent time.Time) ([]Part, bool) {
	c := t.client
	now := c.opts.Clock.Now()
	expires := sent.Add(reply.Life)
	if !now.Before(expires) {
		for _, p := range reply.Parts {
			c.report(t.account, p, ReturnItem{Unspent: p.Amount, Done: p.Sole})
		}
		t.loan = c.nextLoanID()
		t.homeAddr = ""
		return nil, false
	}
	local := t.homeAddr == c.opts.Self.Addr
	rest := t.need
	parts := make([]Part, 0, len(reply.Parts))
	for _, p := range reply.Parts {
		n := min(rest, p.Amount)
		rest -= n
		if p.Amount > n {
			extra := p
			extra.Amount = p.Amount - n
			c.keepPrefetched(t.account, extra, expires, now)
		}
		p.Amount = n
		parts = append(parts, p)
		if !local || p.Loan != t.loan {
			c.report(t.account, p, ReturnItem{Spent: n})
		}
	}
	c.prefetched.recordUse(t.account, t.need, now)
	return parts, true
}

// keepPrefetched keeps tokens for the next requests of a busy account.
func (c *client) keepPrefetched(account string, p Part, expires, now time.Time) {
	if old, ok := c.prefetched.put(account, p, expires, now); ok {
		c.report(account, old, ReturnItem{Unspent: old.Amount})
	}
}

// sweep returns prefetched tokens that no request used.
func (c *client) sweep() {
	for account, p := range c.prefetched.sweep(c.opts.Clock.Now()) {
		c.report(account, p, ReturnItem{Unspent: p.Amount})
	}
}

// returnPrefetched returns all prefetched tokens.
func (c *client) returnPrefetched() {
	for account, p := range c.prefetched.drain() {
		c.report(account, p, ReturnItem{Unspent: p.Amount})
	}
}

// withdraw cancels the request at the home, along with any grant it may have made.
func (t *takeRequest) withdraw() {
	if t.homeAddr != "" {
		t.client.report(t.account, Part{Addr: t.homeAddr, Loan: t.loan}, ReturnItem{Cancel: true})
	}
}

func (t *takeRequest) retryDelay() time.Duration {
	d := maxRetryDelay
	if t.failures < 5 {
		d = min(maxRetryDelay, minRetryDelay<<t.failures)
	}
	return d/2 + t.client.jitter(d/2)
}

func (t *takeRequest) sleep(ctx context.Context, d time.Duration) {
	d = min(d, t.wait.Deadline.Sub(t.client.opts.Clock.Now()))
	if d <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-t.client.opts.Clock.After(d):
	}
}

// reservation implements limit.Reservation.
type reservation struct {
	client  *client
	account string
	need    int64
	parts   []Part
	settled atomic.Bool
}

// Settle implements limit.Reservation.
func (r *reservation) Settle(used int) {
	if r.settled.Swap(true) {
		return
	}
	refund := max(0, r.need-max(0, int64(used))*bucket.MicroPerToken)
	for _, p := range r.parts {
		n := min(refund, p.Amount)
		refund -= n
		if n > 0 || p.Sole {
			r.client.report(r.account, p, ReturnItem{Refund: n, Done: p.Sole})
		}
	}
}
