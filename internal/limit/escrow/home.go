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
	// pollTime is the longest time that a call waits at a home.
	pollTime = 200 * time.Millisecond
	// pollWithin is the longest expected wait for which a call waits at the home.
	pollWithin = 2 * time.Second
	// pollCalls is the number of requests at the head of an account's queue whose
	// calls may wait at the home; the others ask again. It keeps a busy account from
	// using up the calls that a connection may have in progress.
	pollCalls = 8
	// askSoon is the time in which a client that was told to asks again.
	askSoon = 50 * time.Millisecond
	// pollStep is the longest time between two looks at the queue.
	pollStep = 50 * time.Millisecond
	// minAgain and maxAgain bound the time after which a queued client asks again.
	minAgain = 20 * time.Millisecond
	maxAgain = 5 * time.Second
	// placeKept is how long a place is kept beyond the time told to the client.
	placeKept = 3 * time.Second
	// maxQueue bounds the requests that wait for one account at its home.
	maxQueue = 1024
	// drift is the inverse of the difference of clock rates that loans allow for.
	drift = 16
	// openGrace is the time that opening an account may take before others are asked.
	openGrace = 100 * time.Millisecond
	// gatherAfter is the wait from which on other data centres are asked.
	gatherAfter = 10 * time.Millisecond
	// outlookFresh is how long other data centres' answers count.
	outlookFresh = 250 * time.Millisecond
	// reserveSpan is the time of own demand that a lender keeps tokens for.
	reserveSpan = 250 * time.Millisecond
	// pledgeTime is how long tokens are kept for another data centre.
	pledgeTime = time.Second
	// maxRetryAfter bounds what callers are told.
	maxRetryAfter = time.Hour
	// refusalEvents is the shortest time between two events of refusals of an account.
	refusalEvents = time.Second
)

// home holds the accounts whose home is this instance.
type home struct {
	o      *Options
	opens  chan *account
	shorts chan *account
	stale  chan string // accounts whose rows are to be read again

	mu       sync.RWMutex
	accounts map[string]*account
	held     map[shard.Key]holding
	closing  bool
}

// holding is when this process was first seen to hold a shard under an epoch.
type holding struct {
	epoch uint64
	since time.Time
}

func newHome(o *Options) *home {
	return &home{
		o:        o,
		opens:    make(chan *account, 4096),
		shorts:   make(chan *account, 1024),
		stale:    make(chan string, 1024),
		accounts: map[string]*account{},
		held:     map[shard.Key]holding{},
	}
}

// keyOf returns the shard of an account in a data centre.
func keyOf(dc, account string) shard.Key { return shard.Of(dc, "account/"+account) }

// mayGrant reports whether this process may act as home under the epoch now.
func (h *home) mayGrant(k shard.Key, epoch uint64) bool {
	e, ok := h.o.Directory.Held(k)
	return ok && e == epoch
}

// account returns the state of an account that this process is home of.
func (h *home) account(name string) (*account, Status) {
	c := h.o.Config.Current().Accounts[name]
	if c == nil {
		return nil, Unknown
	}
	key := keyOf(h.o.Self.DataCentre, name)
	epoch, ok := h.o.Directory.Held(key)
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
		a = h.create(name, key, epoch)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.config != c {
		a.config = c
		a.apply(h.o.Clock.Now())
	}
	h.askOpen(a)
	return a, Granted
}

func (h *home) create(name string, key shard.Key, epoch uint64) *account {
	h.mu.Lock()
	defer h.mu.Unlock()
	if a := h.accounts[name]; a != nil && a.epoch >= epoch {
		return a
	}
	a := newAccount(name, key, epoch, h.o.Config.Current().Accounts[name], h.o.Clock.Now())
	h.accounts[name] = a
	h.hold(key, epoch)
	return a
}

// hold notes since when the shard is held under the epoch. The caller holds mu.
func (h *home) hold(key shard.Key, epoch uint64) holding {
	s := h.held[key]
	if s.epoch != epoch {
		s = holding{epoch: epoch, since: h.o.Clock.Now()}
		h.held[key] = s
	}
	return s
}

// askOpen hands the account to the opener once. The caller holds a.mu.
func (h *home) askOpen(a *account) {
	if a.opened || a.asked {
		return
	}
	select {
	case h.opens <- a:
		a.asked = true
	default:
	}
}

// take grants tokens, waiting for a while in order of arrival. A local borrower
// spends them at once. It returns early when done is closed.
func (h *home) take(args *TakeArgs, local bool, done <-chan struct{}) TakeReply {
	a, status := h.account(args.Account)
	if status != Granted {
		return TakeReply{Status: status}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	now := h.o.Clock.Now()
	end := now.Add(pollTime)
	a.prune(now)
	w := a.find(args.Loan)
	if w == nil {
		w = &waiter{
			loan:     args.Loan,
			need:     args.Need,
			extra:    args.Extra,
			since:    now.Add(-args.Waited),
			deadline: now.Add(args.Wait),
			woken:    make(chan struct{}, 1),
		}
		a.demand.add(now, w.need)
		if len(a.queue) >= maxQueue {
			return h.refuse(a, w, now)
		}
		a.queue = append(a.queue, w)
	}
	w.calls++
	defer func() { w.calls-- }()
	for {
		reply, over := h.try(a, w, local, now, end)
		if over {
			return reply
		}
		step := h.o.Clock.After(h.step(a, w, now, end))
		a.mu.Unlock()
		stop := false
		select {
		case <-w.woken:
		case <-step:
		case <-done:
			stop = true
		}
		a.mu.Lock()
		now = h.o.Clock.Now()
		if stop && !w.granted {
			a.leave(w)
			return TakeReply{Status: Refused}
		}
	}
}

// try makes one attempt to serve w and reports whether its call is over.
func (h *home) try(a *account, w *waiter, local bool, now, end time.Time) (TakeReply, bool) {
	if !w.granted && (a.frozen || !h.mayGrant(a.key, a.epoch)) {
		a.leave(w)
		return TakeReply{Status: NotHome}, true
	}
	lack := a.pump(now, h.o.Self.Addr, h.o.LoanLife)
	if w.granted {
		h.askBalance(a, now)
		return h.grantReply(a, w, local, now), true
	}
	estimate := a.estimate(now, w)
	if !slices.Contains(a.queue, w) || estimate > w.deadline.Sub(now) {
		a.leave(w)
		return h.refuse(a, w, now), true
	}
	h.askOpen(a)
	h.askGather(a, lack, now)
	if estimate > pollWithin || slices.Index(a.queue, w) >= pollCalls {
		again := min(max(estimate/2, minAgain), maxAgain)
		w.kept = now.Add(again + placeKept)
		return TakeReply{Status: Queued, Again: again}, true
	}
	if !now.Before(end) {
		w.kept = now.Add(placeKept)
		w.soon = now.Add(askSoon)
		return TakeReply{Status: Queued}, true
	}
	return TakeReply{}, false
}

// grantReply returns what w was granted. A repeated call gets it again.
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

// refuse answers a request whose tokens cannot be there in time.
func (h *home) refuse(a *account, w *waiter, now time.Time) TakeReply {
	if now.Sub(a.refused) >= refusalEvents {
		a.refused = now
		h.o.Events.Add(event.Event{Kind: "limit.refuse", Account: a.name})
	}
	return TakeReply{Status: Refused, RetryAfter: min(max(a.estimate(now, w), time.Millisecond), maxRetryAfter)}
}

// step returns the time until the next look at the queue.
func (h *home) step(a *account, w *waiter, now, end time.Time) time.Duration {
	d := min(pollStep, end.Sub(now), w.deadline.Sub(now))
	if lack := a.ahead(w) - a.available(now); lack > 0 {
		d = min(d, a.ownWait(now, lack))
	}
	return max(d, time.Millisecond)
}

// leave takes a waiter out of the queue.
func (a *account) leave(w *waiter) {
	if i := slices.Index(a.queue, w); i >= 0 {
		a.queue = slices.Delete(a.queue, i, i+1)
	}
}

// giveBack applies what borrowers report about their loans.
func (h *home) giveBack(items []ReturnItem) {
	now := h.o.Clock.Now()
	for i := range items {
		it := &items[i]
		h.mu.RLock()
		a := h.accounts[it.Account]
		h.mu.RUnlock()
		if a == nil || (a.epoch != it.Epoch && !it.Cancel) {
			continue
		}
		a.mu.Lock()
		a.settle(now, it)
		h.pump(a, now)
		a.mu.Unlock()
	}
}

// pump grants what can be granted if this process may grant at all.
func (h *home) pump(a *account, now time.Time) {
	if len(a.queue) > 0 && !a.frozen && h.mayGrant(a.key, a.epoch) {
		a.pump(now, h.o.Self.Addr, h.o.LoanLife)
	}
}

// settle applies one item.
func (a *account) settle(now time.Time, it *ReturnItem) {
	if it.Cancel {
		a.cancel(now, it.Loan)
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

// cancel ends a wait, and takes back what was granted to it meanwhile.
func (a *account) cancel(now time.Time, id bucket.LoanID) {
	w := a.find(id)
	if w == nil {
		return
	}
	a.leave(w)
	if !w.granted {
		return
	}
	delete(a.grants, id)
	for _, p := range w.parts {
		if p.Loan == id {
			a.bucket.Return(now, id, p.Amount)
			continue
		}
		a.parcels = append(a.parcels, parcel{addr: p.Addr, epoch: p.Epoch, loan: p.Loan, amount: p.Amount, expires: w.expires})
	}
}

// lend answers the home of another data centre.
func (h *home) lend(args *LendArgs) LendReply {
	a, status := h.account(args.Account)
	if status != Granted {
		return LendReply{Status: status}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	now := h.o.Clock.Now()
	if !a.opened || a.frozen {
		return LendReply{Status: Queued}
	}
	if args.Demand > args.Rate {
		a.noteBorrower(now, args.DataCentre, args.Demand-args.Rate)
	}
	h.pump(a, now)
	reply := LendReply{Status: Granted, Epoch: a.epoch, SpareRate: a.rate(), Capacity: a.bucket.Capacity()}
	if len(a.queue) > 0 && !args.Must {
		reply.SpareRate = max(0, a.rate()-a.demand.rate(now))
	}
	if n, life, ok := a.bucket.LoanRemaining(now, args.Loan); ok && !args.Probe {
		reply.Amount, reply.Life = n, life-life/drift
		return reply
	}
	since := now.Add(-args.Waited)
	avail := max(0, a.bucket.Level(now)-a.reserve(now, since, args.DataCentre, args.Idle))
	if args.Probe {
		reply.Amount = avail
		if args.Must {
			a.pledgeTo(now, args.DataCentre, since, args.Amount)
		}
		return reply
	}
	n := min(args.Amount, avail)
	if n <= 0 || !h.mayGrant(a.key, a.epoch) {
		return reply
	}
	if a.pledge.dataCentre == args.DataCentre {
		a.pledge = pledge{}
	}
	life := h.o.LoanLife
	if a.bucket.Lend(now, args.Loan, n, life+life/drift) {
		reply.Amount, reply.Life = n, life
	}
	return reply
}

// pledgeTo keeps tokens for another data centre unless an older request has them.
func (a *account) pledgeTo(now time.Time, dc string, since time.Time, amount int64) {
	p := a.pledge
	live := p.amount > 0 && now.Before(p.until)
	if live && p.dataCentre != dc && older(p.since, p.dataCentre, since, dc) {
		return
	}
	a.pledge = pledge{dataCentre: dc, since: since, amount: min(amount, a.bucket.Capacity()), until: now.Add(pledgeTime)}
}

// status describes an account.
func (h *home) status(name string) StatusReply {
	a, status := h.account(name)
	if status != Granted {
		return StatusReply{Status: status, DataCentre: h.o.Self.DataCentre}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	now := h.o.Clock.Now()
	return StatusReply{
		Status:     Granted,
		DataCentre: h.o.Self.DataCentre,
		Epoch:      a.epoch,
		Share:      a.share,
		Level:      a.bucket.Level(now),
		Lent:       a.bucket.Outstanding(now),
		Capacity:   a.bucket.Capacity(),
		Rate:       a.bucket.Rate(),
		Demand:     a.demand.rate(now),
		Waiting:    len(a.queue),
		Unsettled:  a.pending != nil,
	}
}

// sweep notes which shards are held and drops accounts that are no longer at home
// here or no longer configured.
func (h *home) sweep() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := range shard.Count {
		k := shard.Key{DataCentre: h.o.Self.DataCentre, Index: i}
		if epoch, ok := h.o.Directory.Held(k); ok {
			h.hold(k, epoch)
		}
	}
	configured := h.o.Config.Current().Accounts
	for name, a := range h.accounts {
		as, ok := h.o.Directory.Home(a.key)
		if configured[name] == nil || ok && as.Epoch > a.epoch {
			delete(h.accounts, name)
		}
	}
}

// list returns the accounts that are open here.
func (h *home) list() []*account {
	h.mu.RLock()
	defer h.mu.RUnlock()
	all := make([]*account, 0, len(h.accounts))
	for _, a := range h.accounts {
		all = append(all, a)
	}
	return all
}
