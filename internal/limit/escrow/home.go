package escrow

import (
	"slices"
	"sync"
	"time"

	"carawayrouter.example/router/internal/event"
	"carawayrouter.example/router/internal/limit/bucket"
	"carawayrouter.example/router/internal/shard"
)

const (
	// maxCallWait is the maximum time that a call blocks at a home.
	maxCallWait = 200 * time.Millisecond
	// maxPollEstimate is the maximum estimated wait for which a call blocks at a home.
	maxPollEstimate = 2 * time.Second
	// maxPollingCalls is the number of requests at the head of an account's queue whose
	// calls may block at the home; the others are told to call again later. It keeps a
	// busy account from exhausting a connection's limit of calls in progress.
	maxPollingCalls = 8
	// repollWindow is the time in which a client whose call timed out is expected to
	// call again.
	repollWindow = 50 * time.Millisecond
	// maxPollStep is the maximum time between two checks of the queue.
	maxPollStep = 50 * time.Millisecond
	// minQueuedDelay and maxQueuedDelay bound the delay after which a queued client
	// that does not poll calls again.
	minQueuedDelay = 20 * time.Millisecond
	maxQueuedDelay = 5 * time.Second
	// placeGrace is how long a place is kept beyond the delay told to the client.
	placeGrace = 3 * time.Second
	// maxQueue bounds the requests that wait for one account at its home.
	maxQueue = 1024
	// clockDriftDivisor is the inverse of the relative difference between clock rates
	// that loan lifetimes allow for.
	clockDriftDivisor = 16
	// openGrace is the time allowed for opening an account before other data centres
	// are asked.
	openGrace = 100 * time.Millisecond
	// handoverGrace is the time after the start of a home in which the tokens of the
	// previous home may still arrive: its interval between two lookups, the spread of
	// the assignment and the call.
	handoverGrace = 100 * time.Millisecond
	// borrowThreshold is the refill wait from which on tokens are borrowed from other
	// data centres.
	borrowThreshold = 10 * time.Millisecond
	// remoteSupplyTTL is how long answers of other data centres are used in estimates.
	remoteSupplyTTL = 250 * time.Millisecond
	// reserveHorizon is the time span of local demand that a lender reserves tokens for.
	reserveHorizon = 250 * time.Millisecond
	// remoteHoldTTL is how long tokens are held for another data centre.
	remoteHoldTTL = time.Second
	// maxRetryAfter bounds the RetryAfter of a refusal.
	maxRetryAfter = time.Hour
	// refusalEventInterval is the minimum time between two refusal events of an account.
	refusalEventInterval = time.Second
)

// home holds the accounts that this instance is home of.
type home struct {
	opts           *Options
	openRequests   chan *account
	borrowRequests chan *account
	staleRows      chan string // accounts whose rows must be read again

	mu         sync.RWMutex
	accounts   map[string]*account
	heldShards map[shard.Key]heldShard
	closing    bool
}

// heldShard records when this process was first seen to hold a shard under an epoch.
type heldShard struct {
	epoch uint64
	since time.Time
}

func newHome(o *Options) *home {
	return &home{
		opts:           o,
		openRequests:   make(chan *account, 4096),
		borrowRequests: make(chan *account, 1024),
		staleRows:      make(chan string, 1024),
		accounts:       map[string]*account{},
		heldShards:     map[shard.Key]heldShard{},
	}
}

// shardOf returns the shard of an account in a data centre.
func shardOf(dc, account string) shard.Key { return shard.Of(dc, "account/"+account) }

// mayGrant reports whether this process still holds the shard under the epoch, and so
// may act as its home.
func (h *home) mayGrant(k shard.Key, epoch uint64) bool {
	e, ok := h.opts.Directory.Held(k)
	return ok && e == epoch
}

// account returns the state of an account, or a status other than Granted if this
// process is not its home.
func (h *home) account(name string) (*account, Status) {
	c := h.opts.Config.Current().Accounts[name]
	if c == nil {
		return nil, Unknown
	}
	key := shardOf(h.opts.Self.DataCentre, name)
	epoch, ok := h.opts.Directory.Held(key)
	if !ok {
		return nil, NotHome
	}
	h.mu.RLock()
	a, closing := h.accounts[name], h.closing
	h.mu.RUnlock()
	if closing {
		return nil, NotHome
	}
	if a == nil || a.epoch != epoch {
		a = h.createAccount(name, key, epoch)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.config != c {
		a.config = c
		a.applyLimits(h.opts.Clock.Now())
	}
	h.requestOpen(a)
	return a, Granted
}

func (h *home) createAccount(name string, key shard.Key, epoch uint64) *account {
	h.mu.Lock()
	defer h.mu.Unlock()
	if a := h.accounts[name]; a != nil && a.epoch >= epoch {
		return a
	}
	a := newAccount(name, key, epoch, h.opts.Config.Current().Accounts[name], h.opts.Clock.Now())
	h.accounts[name] = a
	h.noteHeld(key, epoch)
	return a
}

// noteHeld records since when the shard has been held under the epoch. The caller
// holds mu.
func (h *home) noteHeld(key shard.Key, epoch uint64) heldShard {
	s := h.heldShards[key]
	if s.epoch != epoch {
		s = heldShard{epoch: epoch, since: h.opts.Clock.Now()}
		h.heldShards[key] = s
	}
	return s
}

// requestOpen queues the account at the opener once. The caller holds a.mu.
func (h *home) requestOpen(a *account) {
	if a.opened || a.openRequested {
		return
	}
	select {
	case h.openRequests <- a:
		a.openRequested = true
	default:
	}
}

// take grants tokens in order of arrival and blocks for at most maxCallWait. A local
// borrower's tokens are counted as spent at once. It returns early when done is closed.
func (h *home) take(args *TakeArgs, local bool, done <-chan struct{}) TakeReply {
	a, status := h.account(args.Account)
	if status != Granted {
		return TakeReply{Status: status}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	now := h.opts.Clock.Now()
	end := now.Add(maxCallWait)
	a.pruneGrants(now)
	w := a.findWaiter(args.Loan)
	if w == nil {
		w = &waiter{
			loan:         args.Loan,
			need:         args.Need,
			extra:        args.Extra,
			waitingSince: now.Add(-args.Waited),
			deadline:     now.Add(args.Wait),
			wakeup:       make(chan struct{}, 1),
		}
		a.demand.add(now, w.need)
		if len(a.queue) >= maxQueue {
			return h.refuse(a, w, now)
		}
		a.queue = append(a.queue, w)
	}
	w.activeCalls++
	defer func() { w.activeCalls-- }()
	for {
		reply, finished := h.tryServe(a, w, local, now, end)
		if finished {
			return reply
		}
		timer := h.opts.Clock.After(h.pollInterval(a, w, now, end))
		a.mu.Unlock()
		canceled := false
		select {
		case <-w.wakeup:
		case <-timer:
		case <-done:
			canceled = true
		}
		a.mu.Lock()
		now = h.opts.Clock.Now()
		if canceled && !w.granted {
			a.dequeue(w)
			return TakeReply{Status: Refused}
		}
	}
}

// tryServe makes one attempt to serve w and reports whether its call is finished.
func (h *home) tryServe(a *account, w *waiter, local bool, now, end time.Time) (TakeReply, bool) {
	if !w.granted && (a.frozen || !h.mayGrant(a.key, a.epoch)) {
		a.dequeue(w)
		return TakeReply{Status: NotHome}, true
	}
	shortfall := a.grantQueued(now, h.opts.Self.Addr, h.opts.LoanTTL)
	if w.granted {
		h.requestBalance(a, now)
		return h.grantReply(a, w, local, now), true
	}
	estimate := a.estimateWait(now, w)
	if h.handoverPending(a, now) {
		estimate = 0
	}
	if !slices.Contains(a.queue, w) || estimate > w.deadline.Sub(now) {
		a.dequeue(w)
		return h.refuse(a, w, now), true
	}
	h.requestOpen(a)
	h.requestBorrow(a, shortfall, now)
	if estimate > maxPollEstimate || slices.Index(a.queue, w) >= maxPollingCalls {
		again := min(max(estimate/2, minQueuedDelay), maxQueuedDelay)
		w.placeExpires = now.Add(again + placeGrace)
		return TakeReply{Status: Queued, Opening: !a.opened, Again: again}, true
	}
	if !now.Before(end) {
		w.placeExpires = now.Add(placeGrace)
		w.nextCallBy = now.Add(repollWindow)
		return TakeReply{Status: Queued, Opening: !a.opened}, true
	}
	return TakeReply{}, false
}

// handoverPending reports whether the tokens of the previous home may still arrive.
func (h *home) handoverPending(a *account, now time.Time) bool {
	_, remaining, ok := a.bucket.LoanRemaining(now, previousHomeLoans)
	return ok && h.opts.lenderTTL()-remaining < handoverGrace
}

// grantReply returns the grant of w. A repeated call gets the same grant.
func (h *home) grantReply(a *account, w *waiter, local bool, now time.Time) TakeReply {
	if local {
		for _, p := range w.parts {
			if p.Loan == w.loan {
				a.bucket.Spend(now, w.loan, p.Amount)
			}
		}
	}
	return TakeReply{Status: Granted, Parts: w.parts, Life: w.expires.Sub(now)}
}

// refuse returns the refusal of a request that cannot be served in time.
func (h *home) refuse(a *account, w *waiter, now time.Time) TakeReply {
	if now.Sub(a.lastRefusalEvent) >= refusalEventInterval {
		a.lastRefusalEvent = now
		h.opts.Events.Add(event.Event{Kind: "limit.refuse", Account: a.name})
	}
	return TakeReply{Status: Refused, Opening: !a.opened, RetryAfter: min(max(a.estimateWait(now, w), time.Millisecond), maxRetryAfter)}
}

// pollInterval returns the time until the next check of the queue.
func (h *home) pollInterval(a *account, w *waiter, now, end time.Time) time.Duration {
	d := min(maxPollStep, end.Sub(now), w.deadline.Sub(now))
	if shortfall := a.tokensThrough(w) - a.available(now); shortfall > 0 {
		d = min(d, a.refillWait(now, shortfall))
	}
	return max(d, time.Millisecond)
}

// dequeue removes a waiter from the queue.
func (a *account) dequeue(w *waiter) {
	if i := slices.Index(a.queue, w); i >= 0 {
		a.queue = slices.Delete(a.queue, i, i+1)
	}
}

// applyReturns applies the updates of borrowers about their loans.
func (h *home) applyReturns(items []ReturnItem) {
	now := h.opts.Clock.Now()
	for i := range items {
		it := &items[i]
		h.mu.RLock()
		a := h.accounts[it.Account]
		h.mu.RUnlock()
		if a == nil || (a.epoch != it.Epoch && !it.Cancel) {
			continue
		}
		a.mu.Lock()
		a.applyReturn(now, it)
		h.grantQueued(a, now)
		a.mu.Unlock()
	}
}

// grantQueued serves the account's queue if this process may grant.
func (h *home) grantQueued(a *account, now time.Time) {
	if len(a.queue) > 0 && !a.frozen && h.mayGrant(a.key, a.epoch) {
		a.grantQueued(now, h.opts.Self.Addr, h.opts.LoanTTL)
	}
}

// applyReturn applies one loan update.
func (a *account) applyReturn(now time.Time, it *ReturnItem) {
	if it.Cancel {
		a.cancelLoan(now, it.Loan)
		return
	}
	if it.Spent > 0 {
		a.bucket.Spend(now, it.Loan, it.Spent)
	}
	if it.Unspent > 0 {
		a.bucket.Return(now, it.Loan, it.Unspent)
	}
	if it.Refund > 0 || it.Done {
		a.bucket.RefundLoan(now, it.Loan, it.Refund, it.Done)
		a.demand.add(now, -it.Refund)
	}
}

// cancelLoan removes the waiter of a loan and takes back tokens already granted to it.
func (a *account) cancelLoan(now time.Time, id bucket.LoanID) {
	w := a.findWaiter(id)
	if w == nil {
		return
	}
	a.dequeue(w)
	if !w.granted {
		return
	}
	delete(a.grants, id)
	for _, p := range w.parts {
		if p.Loan == id {
			a.bucket.Return(now, id, p.Amount)
			continue
		}
		a.borrowedLoans = append(a.borrowedLoans, borrowedLoan{addr: p.Addr, epoch: p.Epoch, loan: p.Loan, amount: p.Amount, expires: w.expires})
	}
}

// lend serves a loan or probe request of the home in another data centre.
func (h *home) lend(args *LendArgs) LendReply {
	a, status := h.account(args.Account)
	if status != Granted {
		return LendReply{Status: status}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	now := h.opts.Clock.Now()
	if !a.opened || a.frozen {
		return LendReply{Status: Queued}
	}
	if args.Demand > args.Rate {
		a.recordRemoteDemand(now, args.DataCentre, args.Demand-args.Rate)
	}
	h.grantQueued(a, now)
	reply := LendReply{Status: Granted, Epoch: a.epoch, SpareRate: a.rate(), Capacity: a.bucket.Capacity()}
	if len(a.queue) > 0 && !args.Must {
		reply.SpareRate = max(0, a.rate()-a.demand.rate(now))
	}
	if n, ttl, ok := a.bucket.LoanRemaining(now, args.Loan); ok && !args.Probe {
		reply.Amount, reply.Life = n, ttl-ttl/clockDriftDivisor
		return reply
	}
	since := now.Add(-args.Waited)
	avail := max(0, a.bucket.Level(now)-a.reservedAgainst(now, since, args.DataCentre, args.Idle))
	if args.Probe {
		reply.Amount = avail
		if args.Must {
			a.holdForRemote(now, args.DataCentre, since, args.Amount)
		}
		return reply
	}
	n := min(args.Amount, avail)
	if n <= 0 || !h.mayGrant(a.key, a.epoch) {
		return reply
	}
	if a.remoteHold.dataCentre == args.DataCentre {
		a.remoteHold = remoteHold{}
	}
	ttl := h.opts.LoanTTL
	if a.bucket.Lend(now, args.Loan, n, ttl+ttl/clockDriftDivisor) {
		reply.Amount, reply.Life = n, ttl
	}
	return reply
}

// holdForRemote holds tokens for another data centre unless they are already held for
// an older request.
func (a *account) holdForRemote(now time.Time, dc string, since time.Time, amount int64) {
	hold := a.remoteHold
	active := hold.amount > 0 && now.Before(hold.expires)
	if active && hold.dataCentre != dc && isOlder(hold.since, hold.dataCentre, since, dc) {
		return
	}
	a.remoteHold = remoteHold{dataCentre: dc, since: since, amount: min(amount, a.bucket.Capacity()), expires: now.Add(remoteHoldTTL)}
}

// status returns the state of an account.
func (h *home) status(name string) StatusReply {
	a, status := h.account(name)
	if status != Granted {
		return StatusReply{Status: status, DataCentre: h.opts.Self.DataCentre}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	now := h.opts.Clock.Now()
	return StatusReply{
		Status:     Granted,
		DataCentre: h.opts.Self.DataCentre,
		Epoch:      a.epoch,
		Share:      a.share,
		Level:      a.bucket.Level(now),
		Lent:       a.bucket.Outstanding(now),
		Capacity:   a.bucket.Capacity(),
		Rate:       a.bucket.Rate(),
		Demand:     a.demand.rate(now),
		Waiting:    len(a.queue),
		Unsettled:  a.pendingMove != nil,
	}
}

// sweep records which shards are held, and drops accounts that have a newer home or
// are no longer configured.
func (h *home) sweep() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := range shard.Count {
		k := shard.Key{DataCentre: h.opts.Self.DataCentre, Index: i}
		if epoch, ok := h.opts.Directory.Held(k); ok {
			h.noteHeld(k, epoch)
		}
	}
	configured := h.opts.Config.Current().Accounts
	for name, a := range h.accounts {
		assignment, ok := h.opts.Directory.Home(a.key)
		if configured[name] == nil || ok && assignment.Epoch > a.epoch {
			delete(h.accounts, name)
		}
	}
}

// accountList returns all accounts that have state here.
func (h *home) accountList() []*account {
	h.mu.RLock()
	defer h.mu.RUnlock()
	all := make([]*account, 0, len(h.accounts))
	for _, a := range h.accounts {
		all = append(all, a)
	}
	return all
}
