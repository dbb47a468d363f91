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
	// gatherers bounds the accounts that are gathered for at one time.
	maxConcurrentBorrows = 64
	// gatherPause is the shortest time between two rounds for one account, for every
	// two homes that are asked.
	borrowInterval = 50 * time.Millisecond
	// stragglers is how long slow answers are waited for once others suffice.
	stragglerTimeout = 30 * time.Millisecond
	// balancePause is the shortest time between two rounds that only even out levels.
	balanceInterval = 250 * time.Millisecond
	// balanceLenders bounds the homes asked to even out levels.
	maxBalanceLenders = 3
)

// gatherer borrows tokens from the homes of other data centres for requests that
// the share of this one cannot serve in time.
type borrower struct {
	h      *home
	opts   *Options
	outbox *outbox
	client *client
}

// askGather hands the account to the gatherer if its waiters lack tokens that its
// own rate will not bring soon. The caller holds a.mu.
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

// askBalance has levels evened out when the own one is low. Otherwise tokens would
// overflow in data centres without demand while this one has room. The caller holds
// a.mu.
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

// queueHead returns the need of the first waiter, 0 if there is none.
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
		case a := <-b.h.borrowRequests:
			group.Go(func() error {
				b.borrowRound(ctx, a)
				return nil
			})
		}
	}
}

// shortage is what an account lacks at the start of a round.
type shortage struct {
	firstShortfall int64 // lacking for the first waiter, at most 0 without one
	totalShortfall int64 // lacking for all waiters that are present
	ownLevel       int64 // level of the own bucket
	surplus        int64 // the part of it that no waiter needs
	capacity       int64 // of the own bucket
	exceedsShare   bool
	waitingSince   time.Time
	demand         int64
	rate           int64

	lenderOpening bool // a lender was not ready to answer
	firstUnserved bool // the first waiter cannot be served
}

// lender is another data centre's home and its answer.
type lender struct {
	addr   string
	reply  LendReply
	asked  int64
	sentAt time.Time
	loan   bucket.LoanID
	ok     bool
}

// gather asks the other homes what they could lend, then borrows what is lacking
// if that serves at least the first waiter, and enough to even out the levels.
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

// probe returns the homes that answered and what they could lend.
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

// borrow asks each lender for what was planned.
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

// lenders returns the homes of the account in the other data centres; a few of
// them if it is only to even out levels.
func (b *borrower) selectLenders(a *account, s *shortage) []lender {
	var all []lender
	for _, dc := range b.opts.DataCentres {
		if dc == b.opts.Self.DataCentre {
			continue
		}
		if as, ok := b.opts.Directory.Home(shardOf(dc, a.name)); ok {
			all = append(all, lender{addr: as.Home.Addr})
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

// note keeps what the others said for estimates of waits.
func (b *borrower) recordSupply(a *account, lenders []lender) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.remoteSupply = remoteSupply{updated: b.opts.Clock.Now()}
	for _, l := range lenders {
		a.remoteSupply.available += l.reply.Amount
		a.remoteSupply.rate += l.reply.SpareRate
	}
}

// plan sets what to ask of each lender, the one with most first. Where all of them
// cannot serve the first waiter, levels are evened out, so that the tokens still to
// come overflow nowhere.
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

// balance raises what to ask so that the levels become the same part of their
// capacities.
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

// credit adds the loans that were granted; those too late to be of use are returned.
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
	b.h.grantQueued(a, now)
	if len(a.queue) == 0 {
		b.depositLoans(a, now)
	}
}

// deposit adds parcels that no waiter needs to the own level, as far as there is
// room. To the lender they count as spent.
func (b *borrower) depositLoans(a *account, now time.Time) {
	for i, p := range a.liveLoans(now) {
		n := a.bucket.Credit(now, p.amount)
		if n == 0 {
			continue
		}
		a.borrowedLoans[i].amount -= n
		b.outbox.add(p.addr, ReturnItem{Account: a.name, Epoch: p.epoch, Loan: p.loan, Spent: n})
	}
	a.dropEmptyLoans()
}

// finish ends a round and returns parcels that no waiter is there for.
func (b *borrower) endRound(a *account) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := b.opts.Clock.Now()
	a.borrowing = false
	a.nextBorrow = now.Add(borrowInterval * time.Duration(max(2, len(b.opts.DataCentres)-1)) / 2)
	if a.firstNeed(now) > 0 {
		return
	}
	for _, p := range a.liveLoans(now) {
		b.returnLoan(a, p)
	}
	a.borrowedLoans = nil
}

func (b *borrower) returnLoan(a *account, p borrowedLoan) {
	b.outbox.add(p.addr, ReturnItem{Account: a.name, Epoch: p.epoch, Loan: p.loan, Unspent: p.amount})
}
