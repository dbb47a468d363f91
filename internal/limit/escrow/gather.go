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
	gatherers = 64
	// gatherPause is the shortest time between two rounds for one account, for every
	// two homes that are asked.
	gatherPause = 50 * time.Millisecond
	// stragglers is how long slow answers are waited for once others suffice.
	stragglers = 30 * time.Millisecond
	// balancePause is the shortest time between two rounds that only even out levels.
	balancePause = 250 * time.Millisecond
	// balanceLenders bounds the homes asked to even out levels.
	balanceLenders = 3
)

// gatherer borrows tokens from the homes of other data centres for requests that
// the share of this one cannot serve in time.
type gatherer struct {
	h   *home
	o   *Options
	out *outbox
	ids *client
}

// askGather hands the account to the gatherer if its waiters lack tokens that its
// own rate will not bring soon. The caller holds a.mu.
func (h *home) askGather(a *account, lack int64, now time.Time) {
	if lack <= 0 || a.gathering || len(h.o.DataCentres) < 2 || now.Before(a.nextAsk) {
		return
	}
	if need := a.queueHead(now); need <= a.capacity() && a.ownWait(now, lack) < gatherAfter {
		return
	}
	select {
	case h.shorts <- a:
		a.gathering = true
	default:
	}
}

// askBalance has levels evened out when the own one is low. Otherwise tokens would
// overflow in data centres without demand while this one has room. The caller holds
// a.mu.
func (h *home) askBalance(a *account, now time.Time) {
	if a.gathering || len(h.o.DataCentres) < 2 || now.Before(a.nextBalance) || a.bucket.Level(now) >= a.bucket.Capacity()/2 {
		return
	}
	select {
	case h.shorts <- a:
		a.gathering = true
		a.nextBalance = now.Add(balancePause)
	default:
	}
}

// queueHead returns the need of the first waiter, 0 if there is none.
func (a *account) queueHead(now time.Time) int64 {
	for _, w := range a.queue {
		if w.present(now) {
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
	head   int64 // lacking for the first waiter, at most 0 without one
	all    int64 // lacking for all waiters that are present
	own    int64 // level of the own bucket
	level  int64 // the part of it that no waiter needs
	cap    int64 // of the own bucket
	must   bool
	since  time.Time
	demand int64
	rate   int64

	opening bool // a lender was not ready to answer
	short   bool // the first waiter cannot be served
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
// if that serves at least the first waiter, and enough to even out the levels.
func (g *gatherer) gather(ctx context.Context, a *account) {
	defer g.finish(a)
	s, ok := g.shortage(a)
	if !ok {
		return
	}
	lenders := g.probe(ctx, a, g.lenders(a, &s), &s)
	if s.head > 0 && !s.opening {
		g.note(a, lenders)
	}
	plan(lenders, &s)
	g.credit(a, g.borrow(ctx, a, lenders, &s), &s)
}

// probe returns the homes that answered and what they could lend.
func (g *gatherer) probe(ctx context.Context, a *account, lenders []lender, s *shortage) []lender {
	answers := make(chan lender, len(lenders))
	for _, l := range lenders {
		go func() {
			g.lend(ctx, a, &l, s, true)
			answers <- l
		}()
	}
	var answered []lender
	var late <-chan time.Time
	s.opening = false
	sum := int64(0)
	for range lenders {
		select {
		case l := <-answers:
			s.opening = s.opening || l.reply.Status == Queued
			if l.ok {
				answered = append(answered, l)
				sum += l.reply.Amount
			}
		case <-late:
			return answered
		}
		if sum >= s.head && late == nil {
			late = g.o.Clock.After(stragglers)
		}
	}
	return answered
}

// borrow asks each lender for what was planned.
func (g *gatherer) borrow(ctx context.Context, a *account, lenders []lender, s *shortage) []lender {
	lenders = slices.DeleteFunc(lenders, func(l lender) bool { return l.ask == 0 })
	var wg sync.WaitGroup
	for i := range lenders {
		l := &lenders[i]
		l.loan = g.ids.nextLoan()
		wg.Go(func() { g.lend(ctx, a, l, s, false) })
	}
	wg.Wait()
	return lenders
}

func (g *gatherer) shortage(a *account) (s shortage, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := g.o.Clock.Now()
	avail := a.available(now)
	first := true
	for _, w := range a.queue {
		if !w.present(now) {
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
	s.all = max(0, s.all-avail)
	s.own = a.bucket.Level(now)
	s.level, s.cap = max(0, avail-s.all), a.bucket.Capacity()
	s.demand, s.rate = a.demand.rate(now), a.rate()
	return s, !a.frozen && (s.head > 0 || s.level < s.cap)
}

// lenders returns the homes of the account in the other data centres; a few of
// them if it is only to even out levels.
func (g *gatherer) lenders(a *account, s *shortage) []lender {
	var all []lender
	for _, dc := range g.o.DataCentres {
		if dc == g.o.Self.DataCentre {
			continue
		}
		if as, ok := g.o.Directory.Home(keyOf(dc, a.name)); ok {
			all = append(all, lender{addr: as.Home.Addr})
		}
	}
	for s.head <= 0 && len(all) > balanceLenders {
		i := int(g.ids.jitter(time.Duration(len(all) - 1)))
		all = slices.Delete(all, i, i+1)
	}
	return all
}

func (g *gatherer) lend(ctx context.Context, a *account, l *lender, s *shortage, probe bool) {
	l.sent = g.o.Clock.Now()
	args := LendArgs{
		Account:    a.name,
		DataCentre: g.o.Self.DataCentre,
		Loan:       l.loan,
		Amount:     l.ask,
		Probe:      probe,
		Idle:       s.head <= 0,
		Must:       s.must,
		Waited:     l.sent.Sub(s.since),
		Demand:     s.demand,
		Rate:       s.rate,
	}
	if probe {
		args.Amount = s.head
	}
	l.reply = LendReply{}
	err := g.o.call(peer.Idempotent(ctx), g.o.CallTime, l.addr, "Lend", &args, &l.reply)
	l.ok = err == nil && l.reply.Status == Granted
}

// note keeps what the others said for estimates of waits.
func (g *gatherer) note(a *account, lenders []lender) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.outlook = outlook{at: g.o.Clock.Now()}
	for _, l := range lenders {
		a.outlook.avail += l.reply.Amount
		a.outlook.rate += l.reply.SpareRate
	}
}

// plan sets what to ask of each lender, the one with most first. Where all of them
// cannot serve the first waiter, levels are evened out, so that the tokens still to
// come overflow nowhere.
func plan(lenders []lender, s *shortage) {
	slices.SortStableFunc(lenders, func(x, y lender) int { return cmp.Compare(y.reply.Amount, x.reply.Amount) })
	sum := int64(0)
	for i := range lenders {
		l := &lenders[i]
		l.ask = min(l.reply.Amount, max(0, s.all-sum))
		sum += l.ask
	}
	if s.short = sum < s.head; s.short {
		for i := range lenders {
			lenders[i].ask = 0
		}
		s.level = s.own
	}
	balance(lenders, s)
}

// balance raises what to ask so that the levels become the same part of their
// capacities.
func balance(lenders []lender, s *shortage) {
	level, capacity := float64(s.level), float64(s.cap)
	for _, l := range lenders {
		level += float64(l.reply.Amount - l.ask)
		capacity += float64(l.reply.Capacity)
	}
	if capacity == 0 {
		return
	}
	room := int64(level/capacity*float64(s.cap)) - s.level
	for i := range lenders {
		l := &lenders[i]
		left := int64(level / capacity * float64(l.reply.Capacity))
		n := min(room, l.reply.Amount-l.ask-left)
		if n > 0 {
			l.ask += n
			room -= n
		}
	}
}

// credit adds the loans that were granted; those too late to be of use are returned.
func (g *gatherer) credit(a *account, lenders []lender, s *shortage) {
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
	if s.short {
		g.deposit(a, now)
	}
	g.h.pump(a, now)
	if len(a.queue) == 0 {
		g.deposit(a, now)
	}
}

// deposit adds parcels that no waiter needs to the own level, as far as there is
// room. To the lender they count as spent.
func (g *gatherer) deposit(a *account, now time.Time) {
	for i, p := range a.live(now) {
		n := a.bucket.Credit(now, p.amount)
		if n == 0 {
			continue
		}
		a.parcels[i].amount -= n
		g.out.add(p.addr, ReturnItem{Account: a.name, Epoch: p.epoch, Loan: p.loan, Spent: n})
	}
	a.dropEmpty()
}

// finish ends a round and returns parcels that no waiter is there for.
func (g *gatherer) finish(a *account) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := g.o.Clock.Now()
	a.gathering = false
	a.nextAsk = now.Add(gatherPause * time.Duration(max(2, len(g.o.DataCentres)-1)) / 2)
	if a.queueHead(now) > 0 {
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
