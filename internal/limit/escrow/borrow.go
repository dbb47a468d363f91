package escrow

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"carawayrouter.example/router/internal/limit/bucket"
	"carawayrouter.example/router/internal/peer"
)

const (
	// maxConcurrentBorrows bounds the accounts that borrow at the same time.
	maxConcurrentBorrows = 64
	// borrowInterval is the minimum time between two rounds for one account, per two
	// homes asked.
	borrowInterval = 50 * time.Millisecond
	// stragglerTimeout is how long to wait for slow answers once the others suffice.
	stragglerTimeout = 30 * time.Millisecond
	// balanceInterval is the minimum time between two rounds that only balance levels.
	balanceInterval = 250 * time.Millisecond
	// maxBalanceLenders bounds the homes asked in a round that only balances levels.
	maxBalanceLenders = 3
)

// borrower borrows tokens from the homes in other data centres for requests that the
// local share cannot serve in time.
type borrower struct {
	home   *home
	opts   *Options
	outbox *outbox
	client *client
}

// requestBorrow queues the account at the borrower if its waiters lack tokens that
// its own rate will not provide soon. The caller holds a.mu.
func (h *home) requestBorrow(a *account, shortfall int64, now time.Time) {
	if shortfall <= 0 || a.borrowing || len(h.opts.DataCentres) < 2 || now.Before(a.nextBorrow) {
		return
	}
	if need := a.firstNeed(now); need <= a.capacity() && a.refillWait(now, shortfall) < borrowThreshold {
		return
	}
	select {
	case h.borrowRequests <- a:
		a.borrowing = true
	default:
	}
}

// requestBalance queues the account for balancing if the local level is low.
// Otherwise tokens would overflow in data centres without demand while this one has
// free capacity. The caller holds a.mu.
func (h *home) requestBalance(a *account, now time.Time) {
	if a.borrowing || len(h.opts.DataCentres) < 2 || now.Before(a.nextBalance) || a.bucket.Level(now) >= a.bucket.Capacity()/2 {
		return
	}
	select {
	case h.borrowRequests <- a:
		a.borrowing = true
		a.nextBalance = now.Add(balanceInterval)
	default:
	}
}

// firstNeed returns the tokens needed by the first polling waiter, 0 if there is none.
func (a *account) firstNeed(now time.Time) int64 {
	for _, w := range a.queue {
		if w.polling(now) {
			return w.need
		}
	}
	return 0
}

func (b *borrower) run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxConcurrentBorrows)
	for {
		select {
		case <-ctx.Done():
			return group.Wait()
		case a := <-b.home.borrowRequests:
			group.Go(func() error {
				b.borrowRound(ctx, a)
				return nil
			})
		}
	}
}

// shortage describes what an account lacks at the start of a round.
type shortage struct {
	firstShortfall int64 // lacking for the first polling waiter, at most 0 without one
	totalShortfall int64 // lacking for all polling waiters
	ownLevel       int64 // level of the local bucket
	surplus        int64 // tokens that no waiter needs
	capacity       int64 // capacity of the local bucket
	exceedsShare   bool
	waitingSince   time.Time
	demand         int64
	rate           int64

	lenderOpening bool // a lender has not opened the account yet
	firstUnserved bool // the first waiter cannot be served
}

// lender is the home in another data centre and its answer.
type lender struct {
	addr   string
	reply  LendReply
	asked  int64
	sentAt time.Time
	loan   bucket.LoanID
	ok     bool
}

// borrowRound asks the other homes what they could lend. It then borrows the missing
// tokens if they serve at least the first waiter, and enough to balance the levels.
func (b *borrower) borrowRound(ctx context.Context, a *account) {
	defer b.endRound(a)
	s, ok := b.measureShortage(a)
	if !ok {
		return
	}
	lenders := b.probeLenders(ctx, a, b.selectLenders(a, &s), &s)
	if s.firstShortfall > 0 && !s.lenderOpening {
		b.recordSupply(a, lenders)
	}
	planLoans(lenders, &s)
	b.creditLoans(a, b.borrowPlanned(ctx, a, lenders, &s), &s)
}

// probeLenders returns the homes that answered and the amounts they could lend.
func (b *borrower) probeLenders(ctx context.Context, a *account, lenders []lender, s *shortage) []lender {
	answers := make(chan lender, len(lenders))
	for _, l := range lenders {
		go func() {
			b.callLend(ctx, a, &l, s, true)
			answers <- l
		}()
	}
	var answered []lender
	var late <-chan time.Time
	s.lenderOpening = false
	sum := int64(0)
	for range lenders {
		select {
		case l := <-answers:
			s.lenderOpening = s.lenderOpening || l.reply.Status == Queued
			if l.ok {
				answered = append(answered, l)
				sum += l.reply.Amount
			}
		case <-late:
			return answered
		}
		if sum >= s.firstShortfall && late == nil {
			late = b.opts.Clock.After(stragglerTimeout)
		}
	}
	return answered
}

// borrowPlanned asks each lender for the planned amount.
func (b *borrower) borrowPlanned(ctx context.Context, a *account, lenders []lender, s *shortage) []lender {
	lenders = slices.DeleteFunc(lenders, func(l lender) bool { return l.asked == 0 })
	var wg sync.WaitGroup
	for i := range lenders {
		l := &lenders[i]
		l.loan = b.client.nextLoanID()
		wg.Go(func() { b.callLend(ctx, a, l, s, false) })
	}
	wg.Wait()
	return lenders
}

func (b *borrower) measureShortage(a *account) (s shortage, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := b.opts.Clock.Now()
	avail := a.available(now)
	first := true
	for _, w := range a.queue {
		if !w.polling(now) {
			continue
		}
		if first {
			avail -= a.heldForRemote(now, w.waitingSince, a.key.DataCentre)
			s.firstShortfall = w.need - avail
			s.exceedsShare = w.need > a.capacity()
			s.waitingSince = w.waitingSince
			first = false
		}
		s.totalShortfall += w.need
	}
	s.totalShortfall = max(0, s.totalShortfall-avail)
	s.ownLevel = a.bucket.Level(now)
	s.surplus, s.capacity = max(0, avail-s.totalShortfall), a.bucket.Capacity()
	s.demand, s.rate = a.demand.rate(now), a.rate()
	return s, !a.frozen && (s.firstShortfall > 0 || s.surplus < s.capacity)
}

// selectLenders returns the homes of the account in the other data centres. If the
// round only balances levels, it returns a random few of them.
func (b *borrower) selectLenders(a *account, s *shortage) []lender {
	var all []lender
	for _, dc := range b.opts.DataCentres {
		if dc == b.opts.Self.DataCentre {
			continue
		}
		if assignment, ok := b.opts.Directory.Home(shardOf(dc, a.name)); ok {
			all = append(all, lender{addr: assignment.Home.Addr})
		}
	}
	for s.firstShortfall <= 0 && len(all) > maxBalanceLenders {
		i := int(b.client.jitter(time.Duration(len(all) - 1)))
		all = slices.Delete(all, i, i+1)
	}
	return all
}

func (b *borrower) callLend(ctx context.Context, a *account, l *lender, s *shortage, probe bool) {
	l.sentAt = b.opts.Clock.Now()
	args := LendArgs{
		Account:    a.name,
		DataCentre: b.opts.Self.DataCentre,
		Loan:       l.loan,
		Amount:     l.asked,
		Probe:      probe,
		Idle:       s.firstShortfall <= 0,
		Must:       s.exceedsShare,
		Waited:     l.sentAt.Sub(s.waitingSince),
		Demand:     s.demand,
		Rate:       s.rate,
	}
	if probe {
		args.Amount = s.firstShortfall
	}
	l.reply = LendReply{}
	err := b.opts.callPeer(peer.Idempotent(ctx), b.opts.CallTimeout, l.addr, "Lend", &args, &l.reply)
	l.ok = err == nil && l.reply.Status == Granted
}

// recordSupply stores the lenders' answers for wait estimates.
func (b *borrower) recordSupply(a *account, lenders []lender) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.remoteSupply = remoteSupply{updated: b.opts.Clock.Now()}
	for _, l := range lenders {
		a.remoteSupply.available += l.reply.Amount
		a.remoteSupply.rate += l.reply.SpareRate
	}
}

// planLoans sets the amount to ask of each lender, starting with the one that can
// lend most. If all of them together cannot serve the first waiter, it only balances
// the levels, so that tokens accruing meanwhile do not overflow in any data centre.
func planLoans(lenders []lender, s *shortage) {
	slices.SortStableFunc(lenders, func(x, y lender) int { return cmp.Compare(y.reply.Amount, x.reply.Amount) })
	sum := int64(0)
	for i := range lenders {
		l := &lenders[i]
		l.asked = min(l.reply.Amount, max(0, s.totalShortfall-sum))
		sum += l.asked
	}
	if s.firstUnserved = sum < s.firstShortfall; s.firstUnserved {
		for i := range lenders {
			lenders[i].asked = 0
		}
		s.surplus = s.ownLevel
	}
	balanceLevels(lenders, s)
}

// balanceLevels raises the amounts to ask so that all levels become the same fraction
// of their capacities.
func balanceLevels(lenders []lender, s *shortage) {
	level, capacity := float64(s.surplus), float64(s.capacity)
	for _, l := range lenders {
		level += float64(l.reply.Amount - l.asked)
		capacity += float64(l.reply.Capacity)
	}
	if capacity == 0 {
		return
	}
	room := int64(level/capacity*float64(s.capacity)) - s.surplus
	for i := range lenders {
		l := &lenders[i]
		left := int64(level / capacity * float64(l.reply.Capacity))
		n := min(room, l.reply.Amount-l.asked-left)
		if n > 0 {
			l.asked += n
			room -= n
		}
	}
}

// creditLoans adds the granted loans; those that arrive too late are returned.
func (b *borrower) creditLoans(a *account, lenders []lender, s *shortage) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := b.opts.Clock.Now()
	for _, l := range lenders {
		if !l.ok || l.reply.Amount <= 0 {
			continue
		}
		p := borrowedLoan{addr: l.addr, epoch: l.reply.Epoch, loan: l.loan, amount: l.reply.Amount, expires: l.sentAt.Add(l.reply.Life)}
		if !now.Before(p.expires) || a.frozen {
			b.returnLoan(a, p)
			continue
		}
		a.borrowedLoans = append(a.borrowedLoans, p)
		a.lastBorrowed = now
		a.remoteSupply.available = max(0, a.remoteSupply.available-p.amount)
	}
	if s.firstUnserved {
		b.depositLoans(a, now)
	}
	b.home.grantQueued(a, now)
	if len(a.queue) == 0 {
		b.depositLoans(a, now)
	}
}

// depositLoans adds borrowed loans that no waiter can use to the local level, as far
// as the capacity allows. The lender counts them as spent.
func (b *borrower) depositLoans(a *account, now time.Time) {
	for i, l := range a.liveLoans(now) {
		n := a.bucket.Credit(now, l.amount)
		if n == 0 {
			continue
		}
		a.borrowedLoans[i].amount -= n
		b.outbox.add(l.addr, ReturnItem{Account: a.name, Epoch: l.epoch, Loan: l.loan, Spent: n})
	}
	a.dropEmptyLoans()
}

// endRound ends a round. It returns the borrowed loans unless a polling waiter remains.
func (b *borrower) endRound(a *account) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := b.opts.Clock.Now()
	a.borrowing = false
	a.nextBorrow = now.Add(borrowInterval * time.Duration(max(2, len(b.opts.DataCentres)-1)) / 2)
	if a.firstNeed(now) > 0 {
		return
	}
	for _, l := range a.liveLoans(now) {
		b.returnLoan(a, l)
	}
	a.borrowedLoans = nil
}

func (b *borrower) returnLoan(a *account, l borrowedLoan) {
	b.outbox.add(l.addr, ReturnItem{Account: a.name, Epoch: l.epoch, Loan: l.loan, Unspent: l.amount})
}
