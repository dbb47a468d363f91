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
	// minWait is allowed for the calls themselves where a request may not wait.
	minWait = 100 * time.Millisecond
	// retryFirst and retryMost bound the pause after a failed call.
	retryFirst = 10 * time.Millisecond
	retryMost  = 200 * time.Millisecond
	// failuresAtHome is the number of failed calls after which homes of other data
	// centres are asked.
	failuresAtHome = 2
	// unreachableRetry is told to callers where no home could be asked.
	unreachableRetry = time.Second
)

// client takes tokens for the requests of this instance.
type client struct {
	o        *Options
	home     *home
	out      *outbox
	borrower uint64
	loans    atomic.Uint64
	spares   spares

	mu   sync.Mutex
	rand *rand.Rand
}

func newClient(o *Options, h *home) *client {
	return &client{
		o:        o,
		home:     h,
		out:      newOutbox(o, h),
		borrower: xxhash.Sum64String(o.Self.Addr + "/" + strconv.FormatUint(o.Self.Process, 10)),
		rand:     o.Rand,
		spares:   spares{accounts: map[string]*spare{}},
	}
}

// nextLoan implements loanIDs.
func (c *client) nextLoan() bucket.LoanID {
	return bucket.LoanID{Borrower: c.borrower, N: c.loans.Add(1)}
}

// reserve implements limit.Limiter.
func (c *client) reserve(ctx context.Context, account string, tokens int, w limit.Wait) (limit.Reservation, error) {
	cfg := c.o.Config.Current().Accounts[account]
	if cfg == nil {
		return nil, errkind.New(errkind.KeyRefused, "client account is not configured")
	}
	need := int64(tokens) * bucket.MicroPerToken
	if need > micro(cfg.Burst) {
		return nil, errkind.New(errkind.TooLarge, "request needs more tokens than the burst of its client account")
	}
	now := c.o.Clock.Now()
	if need <= 0 {
		return &reservation{client: c, account: account}, nil
	}
	if p, ok := c.spares.take(account, need, now); ok {
		c.news(account, p, ReturnItem{Spent: need})
		return c.reservation(account, need, []Part{p}), nil
	}
	if least := now.Add(minWait); w.Deadline.Before(least) {
		w.Deadline = least
	}
	t := &taking{client: c, account: account, need: need, begun: now, wait: w, loan: c.nextLoan()}
	parts, err := t.run(ctx)
	if err != nil {
		return nil, err
	}
	return c.reservation(account, need, parts), nil
}

func (c *client) reservation(account string, need int64, parts []Part) *reservation {
	return &reservation{client: c, account: account, need: need, parts: parts}
}

// news tells the lender of p about its loan.
func (c *client) news(account string, p Part, it ReturnItem) {
	it.Account, it.Epoch, it.Loan = account, p.Epoch, p.Loan
	if p.Addr == c.o.Self.Addr {
		c.home.giveBack([]ReturnItem{it})
		return
	}
	c.out.add(p.Addr, it)
}

// jitter returns a random time below d.
func (c *client) jitter(d time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Duration(c.rand.Int64N(int64(d) + 1))
}

// status asks the home of this data centre about an account.
func (c *client) status(ctx context.Context, account string) (reply StatusReply, err error) {
	as, ok := c.o.Directory.Home(keyOf(c.o.Self.DataCentre, account))
	if !ok {
		return StatusReply{Status: NotHome, DataCentre: c.o.Self.DataCentre}, nil
	}
	if as.Home.Addr == c.o.Self.Addr {
		return c.home.status(account), nil
	}
	err = c.o.call(peer.Idempotent(ctx), c.o.CallTime, as.Home.Addr, "Status", &StatusArgs{Account: account}, &reply)
	return reply, err
}

// taking is one request's way to its tokens.
type taking struct {
	client   *client
	account  string
	need     int64
	begun    time.Time
	wait     limit.Wait
	queued   time.Time // when a home first answered; zero before
	loan     bucket.LoanID
	addr     string // home that has the request in its queue
	failures int
}

// run asks homes until the tokens are there, refused, or the deadline has passed.
func (t *taking) run(ctx context.Context) ([]Part, error) {
	for {
		if err := ctx.Err(); err != nil {
			t.withdraw()
			return nil, errkind.Wrap(err, errkind.ClientGone, errkind.NotRun, "request was given up while it waited for tokens")
		}
		if !t.client.o.Clock.Now().Before(t.wait.Deadline) {
			t.withdraw()
			return nil, t.late()
		}
		addr, ok := t.target()
		if !ok {
			t.pause(ctx, t.backoff())
			continue
		}
		reply, sent, err := t.ask(ctx, addr)
		if err != nil {
			t.failures++
			t.pause(ctx, t.backoff())
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
			return nil, errkind.New(errkind.OverRate, "client account is above its rate").WithRetryAfter(reply.RetryAfter)
		case Queued:
			t.failures = 0
			if t.queued.IsZero() {
				t.queued = sent
			}
			t.pause(ctx, reply.Again)
		default:
			t.failures++
			t.pause(ctx, t.backoff())
		}
	}
}

// late returns the refusal of a request whose wait is over.
func (t *taking) late() error {
	if t.queued.IsZero() {
		return errkind.New(errkind.StoreUnavailable, "the client account's rate cannot be checked at the moment").WithRetryAfter(unreachableRetry)
	}
	return errkind.New(errkind.OverRate, "tokens of the client account cannot be had in time").WithRetryAfter(unreachableRetry)
}

// target returns the home to ask: that of the own data centre, or after failures
// one of another.
func (t *taking) target() (addr string, ok bool) {
	o := t.client.o
	// Looked up also while it is not needed, so that it is known when the store is
	// down and the own home does not grant.
	spare, spareOK := o.Directory.Home(keyOf(nextDataCentre(o), t.account))
	as, ok := o.Directory.Home(keyOf(o.Self.DataCentre, t.account))
	if t.failures >= failuresAtHome {
		i := int(t.client.jitter(time.Duration(len(o.DataCentres) - 1)))
		as, ok = o.Directory.Home(keyOf(o.DataCentres[i], t.account))
		if !ok {
			as, ok = spare, spareOK
		}
	}
	if !ok {
		t.failures++
		return "", false
	}
	if t.addr != "" && t.addr != as.Home.Addr {
		// The grant of a former home may have been lost on its way.
		t.withdraw()
		t.loan = t.client.nextLoan()
	}
	t.addr = as.Home.Addr
	return t.addr, true
}

// nextDataCentre returns the data centre after the own one in their common order.
func nextDataCentre(o *Options) string {
	i := slices.Index(o.DataCentres, o.Self.DataCentre)
	return o.DataCentres[(i+1)%len(o.DataCentres)]
}

// ask makes one call. Life counts from the time returned.
func (t *taking) ask(ctx context.Context, addr string) (reply TakeReply, sent time.Time, err error) {
	c := t.client
	sent = c.o.Clock.Now()
	args := TakeArgs{
		Account: t.account,
		Loan:    t.loan,
		Need:    t.need,
		Wait:    t.end(sent).Sub(sent),
		Waited:  sent.Sub(t.begun),
	}
	if addr == c.o.Self.Addr {
		return c.home.take(&args, true, ctx.Done()), sent, nil
	}
	args.Extra = c.spares.wanted(t.account, sent)
	err = c.o.call(peer.Idempotent(ctx), pollTime+c.o.CallTime, addr, "Take", &args, &reply)
	return reply, sent, err
}

// end returns when the wait in the queue of a home ends.
func (t *taking) end(now time.Time) time.Time {
	if t.queued.IsZero() {
		return t.wait.End(now)
	}
	return t.wait.End(t.queued)
}

// accept admits the request on a grant whose life has not passed.
func (t *taking) accept(reply TakeReply, sent time.Time) ([]Part, bool) {
	c := t.client
	now := c.o.Clock.Now()
	expires := sent.Add(reply.Life)
	if !now.Before(expires) {
		for _, p := range reply.Parts {
			c.news(t.account, p, ReturnItem{Unspent: p.Amount, Done: p.Sole})
		}
		t.loan = c.nextLoan()
		t.addr = ""
		return nil, false
	}
	local := t.addr == c.o.Self.Addr
	rest := t.need
	parts := make([]Part, 0, len(reply.Parts))
	for _, p := range reply.Parts {
		n := min(rest, p.Amount)
		rest -= n
		if p.Amount > n {
			spare := p
			spare.Amount = p.Amount - n
			c.put(t.account, spare, expires, now)
		}
		p.Amount = n
		parts = append(parts, p)
		if !local || p.Loan != t.loan {
			c.news(t.account, p, ReturnItem{Spent: n})
		}
	}
	c.spares.used(t.account, t.need, now)
	return parts, true
}

// put keeps tokens for the next requests of a busy account.
func (c *client) put(account string, p Part, expires, now time.Time) {
	if old, ok := c.spares.put(account, p, expires, now); ok {
		c.news(account, old, ReturnItem{Unspent: old.Amount})
	}
}

// sweep returns tokens that no request came for.
func (c *client) sweep() {
	for account, p := range c.spares.sweep(c.o.Clock.Now()) {
		c.news(account, p, ReturnItem{Unspent: p.Amount})
	}
}

// giveUpSpares returns all tokens fetched ahead.
func (c *client) giveUpSpares() {
	for account, p := range c.spares.empty() {
		c.news(account, p, ReturnItem{Unspent: p.Amount})
	}
}

// withdraw gives up the place in a queue, and what may have been granted.
func (t *taking) withdraw() {
	if t.addr != "" {
		t.client.news(t.account, Part{Addr: t.addr, Loan: t.loan}, ReturnItem{Cancel: true})
	}
}

func (t *taking) backoff() time.Duration {
	d := retryMost
	if t.failures < 5 {
		d = min(retryMost, retryFirst<<t.failures)
	}
	return d/2 + t.client.jitter(d/2)
}

func (t *taking) pause(ctx context.Context, d time.Duration) {
	d = min(d, t.wait.Deadline.Sub(t.client.o.Clock.Now()))
	if d <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-t.client.o.Clock.After(d):
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
	back := max(0, r.need-max(0, int64(used))*bucket.MicroPerToken)
	for _, p := range r.parts {
		n := min(back, p.Amount)
		back -= n
		if n > 0 || p.Sole {
			r.client.news(r.account, p, ReturnItem{Refund: n, Done: p.Sole})
		}
	}
}
