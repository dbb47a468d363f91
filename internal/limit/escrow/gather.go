package escrow

import (
	"context"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"carawayrouter.example/router/internal/limit/bucket"
)

const (
	// gatherers bounds the accounts that are gathered for at one time.
	gatherers = 64
	// gatherPause is the shortest time between two rounds for one account.
	gatherPause = 50 * time.Millisecond
)

// gatherer borrows tokens from the homes of other data centres for requests that
// the share of this one cannot serve in time.
type gatherer struct {
	h   *home
	o   *Options
	out *outbox
	ids loanIDs
}

// loanIDs makes ids for loans that this process borrows.
type loanIDs interface{ nextLoan() bucket.LoanID }

// askGather hands the account to the gatherer if its waiters lack tokens that its
// own rate will not bring soon. The caller holds a.mu.
func (h *home) askGather(a *account, lack int64, now time.Time) {
	if lack <= 0 || a.gathering || len(h.o.DataCentres) < 2 || now.Before(a.nextAsk) {
		return
	}
	if need := a.queueHead(); need <= a.capacity() && a.ownWait(now, lack) < gatherAfter {
		return
	}
	select {
	case h.shorts <- a:
		a.gathering = true
	default:
	}
}

// queueHead returns the need of the first waiter, 0 if there is none.
func (a *account) queueHead() int64 {
	for _, w := range a.queue {
		if w.present {
			return w.need
		}
	}
	return 0
}

func (g *gatherer) run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(gatherers)
	for {
		select {
		case <-ctx.Done():
			return group.Wait()
		case a := <-g.h.shorts:
			group.Go(func() error {
				g.gather(ctx, a)
				return nil
			})
		}
	}
}

// shortage is what an account lacks at the start of a round.
type shortage struct {
	head   int64 // lacking for the first waiter
	all    int64 // lacking for all present waiters
	must   bool
	since  time.Time
	demand int64
	rate   int64
}

// lender is another data centre's home and its answer.
type lender struct {
	addr  string
	reply LendReply
	ask   int64
	sent  time.Time
	loan  bucket.LoanID
	ok    bool
}

// gather asks the other homes what they could lend, then borrows what is lacking
// if that serves at least the first waiter.
func (g *gatherer) gather(ctx context.Context, a *account) {
	defer g.finish(a)
	s, ok := g.shortage(a)
	if !ok {
		return
	}
	lenders := g.lenders(a)
	g.each(lenders, func(l *lender) { g.lend(ctx, a, l, &s, true) })
	lenders = slices.DeleteFunc(lenders, func(l *lender) bool { return !l.ok })
	g.note(a, lenders)
	if !plan(lenders, &s) {
		return
	}
	lenders = slices.DeleteFunc(lenders, func(l *lender) bool { return l.ask == 0 })
	g.each(lenders, func(l *lender) {
		l.loan = g.ids.nextLoan()
		g.lend(ctx, a, l, &s, false)
	})
	g.credit(a, lenders)
}

func (g *gatherer) shortage(a *account) (s shortage, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := g.o.Clock.Now()
	avail := a.available(now)
	first := true
	for _, w := range a.queue {
		if !w.present {
			continue
		}
		if first {
			avail -= a.pledged(now, w.since, a.key.DataCentre)
			s.head = w.need - avail
			s.must = w.need > a.capacity()
			s.since = w.since
			first = false
		}
		s.all += w.need
	}
	s.all -= avail
	s.demand, s.rate = a.demand.rate(now), a.rate()
	return s, !first && s.head > 0 && !a.frozen
}

// lenders returns the homes of the account in the other data centres.
func (g *gatherer) lenders(a *account) []*lender {
	var all []*lender
	for _, dc := range g.o.DataCentres {
		if dc == g.o.Self.DataCentre {
			continue
		}
		if as, ok := g.o.Directory.Home(keyOf(dc, a.name)); ok {
			all = append(all, &lender{addr: as.Home.Addr})
		}
	}
	return all
}

func (g *gatherer) each(lenders []*lender, f func(*lender)) {
	var wg sync.WaitGroup
	for _, l := range lenders {
		wg.Go(func() { f(l) })
	}
	wg.Wait()
}

func (g *gatherer) lend(ctx context.Context, a *account, l *lender, s *shortage, probe bool) {
	l.sent = g.o.Clock.Now()
	args := LendArgs{
		Account:    a.name,
		DataCentre: g.o.Self.DataCentre,
		Loan:       l.loan,
		Amount:     l.ask,
		Probe:      probe,
		Must:       s.must,
		Waited:     l.sent.Sub(s.since),
		Demand:     s.demand,
		Rate:       s.rate,
	}
	if probe {
		args.Amount = s.head
	}
	l.reply = LendReply{}
	err := g.o.call(ctx, g.o.CallTime, l.addr, "Lend", &args, &l.reply)
	l.ok = err == nil && l.reply.Status == Granted
}

// note keeps what the others said for estimates of waits.
func (g *gatherer) note(a *account, lenders []*lender) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.outlook = outlook{at: g.o.Clock.Now()}
	for _, l := range lenders {
		a.outlook.avail += l.reply.Amount
		a.outlook.rate += l.reply.SpareRate
	}
}

// plan sets what to ask of each lender, the one with most first. It reports whether
// the first waiter can be served.
func plan(lenders []*lender, s *shortage) bool {
	slices.SortStableFunc(lenders, func(x, y *lender) int { return int(min(1, max(-1, y.reply.Amount-x.reply.Amount))) })
	sum := int64(0)
	for _, l := range lenders {
		l.ask = min(l.reply.Amount, max(0, s.all-sum))
		sum += l.ask
	}
	return sum >= s.head
}

// credit adds the loans that were granted; those too late to be of use are returned.
func (g *gatherer) credit(a *account, lenders []*lender) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := g.o.Clock.Now()
	for _, l := range lenders {
		if !l.ok || l.reply.Amount <= 0 {
			continue
		}
		p := parcel{addr: l.addr, epoch: l.reply.Epoch, loan: l.loan, amount: l.reply.Amount, expires: l.sent.Add(l.reply.Life)}
		if !now.Before(p.expires) || a.frozen {
			g.giveBack(a, p)
			continue
		}
		a.parcels = append(a.parcels, p)
		a.borrowed = now
		a.outlook.avail = max(0, a.outlook.avail-p.amount)
	}
	g.h.pump(a, now)
}

// finish ends a round and returns parcels that no waiter is there for.
func (g *gatherer) finish(a *account) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := g.o.Clock.Now()
	a.gathering = false
	a.nextAsk = now.Add(gatherPause)
	if a.queueHead() > 0 {
		return
	}
	for _, p := range a.live(now) {
		g.giveBack(a, p)
	}
	a.parcels = nil
}

func (g *gatherer) giveBack(a *account, p parcel) {
	g.out.add(p.addr, ReturnItem{Account: a.name, Epoch: p.epoch, Loan: p.loan, Unspent: p.amount})
}
