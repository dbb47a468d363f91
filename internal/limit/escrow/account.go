package escrow

import (
	"math"
	"sync"
	"time"

	"carawayrouter.example/router/internal/config"
	"carawayrouter.example/router/internal/limit/bucket"
	"carawayrouter.example/router/internal/shard"
)

// parcel is a loan from the home of another data centre, not yet passed on.
type borrowedLoan struct {
	addr    string
	epoch   uint64
	loan    bucket.LoanID
	amount  int64
	expires time.Time
}

// waiter is one request for tokens at its home. It keeps its place while its
// client asks again in time.
type waiter struct {
	loan         bucket.LoanID
	need         int64
	extra        int64
	waitingSince time.Time // when the request began to wait, at its client
	deadline     time.Time
	activeCalls  int       // calls of its client that are waiting here
	nextCallBy   time.Time // its client asks again by then
	placeExpires time.Time // place is kept until then without a call
	wakeup       chan struct{}

	granted bool
	parts   []Part
	expires time.Time // of the grant
}

// present reports whether a grant to the waiter would be noticed at once.
func (w *waiter) polling(now time.Time) bool { return w.activeCalls > 0 || now.Before(w.nextCallBy) }

// pledge keeps tokens of this home for an older request of another data centre
// that no share alone can hold. It is a matter of order, not of safety.
type remoteHold struct {
	dataCentre string
	since      time.Time
	amount     int64
	expires    time.Time
}

// outlook is what the homes of the other data centres last said.
type remoteSupply struct {
	available int64
	rate      int64
	updated   time.Time
}

// borrower is the demand of another data centre above its share.
type remoteDemand struct {
	excess  int64     // micro-tokens per second
	since   time.Time // begin of the demand
	updated time.Time
}

// move is a change of shares whose outcome is not known yet.
type pendingMove struct {
	replacedVersion uint64 // of the row that it replaces
}

// account is the state of one client account at its home in this data centre.
// Everything below mu is guarded by it.
type account struct {
	name  string
	key   shard.Key
	epoch uint64

	mu            sync.Mutex
	config        *config.Account
	bucket        *bucket.Bucket
	opened        bool // share has been read under this epoch; until then it is 0
	openRequested bool // to be opened
	frozen        bool // handed over
	row           *shareRow
	rowVersion    uint64
	share         int64 // parts per million in effect, never above the row's
	pendingMove   *pendingMove

	queue            []*waiter
	grants           map[bucket.LoanID]*waiter // granted, for repeated calls
	grantsByTime     []*waiter                 // grants by time
	borrowedLoans    []borrowedLoan
	remoteHold       remoteHold
	remoteSupply     remoteSupply
	remoteDemands    map[string]remoteDemand
	demand           rateMeter
	borrowing        bool
	nextBorrow       time.Time
	nextBalance      time.Time
	lastBorrowed     time.Time // last loan from another data centre
	lastRefusalEvent time.Time // last event of a refusal
}

func newAccount(name string, key shard.Key, epoch uint64, c *config.Account, now time.Time) *account {
	return &account{
		name:          name,
		key:           key,
		epoch:         epoch,
		config:        c,
		bucket:        bucket.New(now, 0, 0, 0),
		nextBorrow:    now.Add(openGrace),
		grants:        map[bucket.LoanID]*waiter{},
		remoteDemands: map[string]remoteDemand{},
	}
}

// capacity and rate return the part of burst and rate in effect here.
func (a *account) capacity() int64 { return scaleByPPM(toMicroTokens(a.config.Burst), a.share) }
func (a *account) rate() int64     { return scaleByPPM(toMicroTokens(a.config.Rate), a.share) }

// apply puts configuration and share in force.
func (a *account) applyLimits(now time.Time) { a.bucket.SetLimits(now, a.capacity(), a.rate()) }

// adopt takes the share of a row read from the table. Only this home lowers its
// own share, so any version of the row is safe once no move is pending.
func (a *account) adoptRow(now time.Time, row *shareRow, version uint64) {
	if a.pendingMove != nil || version <= a.rowVersion {
		return
	}
	a.row = row
	a.rowVersion = version
	a.share = row.Shares[a.key.DataCentre]
	a.applyLimits(now)
}

// start opens the account with the share of a row. Loans of an earlier home may be
// out for blocked; a right that had no home before starts with a full level.
func (a *account) open(now time.Time, row *shareRow, version uint64, startFull bool, blockFor time.Duration) {
	a.adoptRow(now, row, version)
	if a.opened {
		return
	}
	a.opened = true
	if startFull {
		a.bucket.Credit(now, a.capacity())
	} else {
		a.bucket.BlockCapacity(now, previousHomeLoans, a.capacity(), blockFor)
	}
}

// formerLoans stands for all loans of the former home.
var previousHomeLoans = bucket.LoanID{}

// available returns what can be granted now, parcels included.
func (a *account) available(now time.Time) int64 {
	n := a.bucket.Level(now)
	for _, p := range a.liveLoans(now) {
		n += p.amount
	}
	return n
}

// live drops parcels whose life is over and returns the rest.
func (a *account) liveLoans(now time.Time) []borrowedLoan {
	kept := a.borrowedLoans[:0]
	for _, p := range a.borrowedLoans {
		if now.Before(p.expires) {
			kept = append(kept, p)
		}
	}
	a.borrowedLoans = kept
	return kept
}

// pledged returns the tokens kept for another data centre against a request that
// began to wait at since.
func (a *account) heldForRemote(now, since time.Time, dataCentre string) int64 {
	p := a.remoteHold
	if p.amount == 0 || p.dataCentre == dataCentre || !now.Before(p.expires) || !isOlder(p.since, p.dataCentre, since, dataCentre) {
		return 0
	}
	return p.amount
}

// older orders requests of two data centres by the time they began to wait.
func isOlder(a time.Time, dcA string, b time.Time, dcB string) bool {
	if a.Equal(b) {
		return dcA < dcB
	}
	return a.Before(b)
}

// pump grants tokens in order of arrival. A waiter whose client is not asking at
// the moment keeps its place but does not hold up the ones behind it. It returns
// the tokens that the others lack.
func (a *account) grantQueued(now time.Time, self string, ttl time.Duration) (shortfall int64) {
	kept := a.queue[:0]
	for _, w := range a.queue {
		switch {
		case w.polling(now) && shortfall == 0 && a.grant(now, w, self, ttl):
			signal(w)
		case !now.Before(w.deadline), w.activeCalls == 0 && !now.Before(w.placeExpires):
			signal(w)
		default:
			if w.polling(now) {
				shortfall += w.need
			}
			kept = append(kept, w)
		}
	}
	clear(a.queue[len(kept):])
	a.queue = kept
	if shortfall == 0 {
		return 0
	}
	return max(0, shortfall-a.available(now))
}

// grant gives w its tokens: the bucket's own first, then parcels.
func (a *account) grant(now time.Time, w *waiter, self string, ttl time.Duration) bool {
	level := max(0, a.bucket.Level(now)-a.heldForRemote(now, w.waitingSince, a.key.DataCentre))
	own := min(level, w.need)
	rest := w.need - own
	for _, p := range a.liveLoans(now) {
		rest -= min(rest, p.amount)
	}
	if rest > 0 || a.frozen {
		return false
	}
	rest = w.need - own
	sole := true
	if rest == 0 && len(a.queue) == 1 && w.extra > 0 && level-own-w.extra >= a.bucket.Capacity()/2 {
		own += w.extra
		sole = false
	}
	if own > 0 {
		if !a.bucket.Lend(now, w.loan, own, ttl+ttl/clockDriftDivisor) {
			return false
		}
		w.parts = append(w.parts, Part{Addr: self, Epoch: a.epoch, Loan: w.loan, Amount: own, Sole: sole})
	}
	w.expires = now.Add(ttl)
	for i := range a.borrowedLoans {
		p := &a.borrowedLoans[i]
		if n := min(rest, p.amount); n > 0 {
			w.parts = append(w.parts, Part{Addr: p.addr, Epoch: p.epoch, Loan: p.loan, Amount: n})
			p.amount -= n
			rest -= n
			if p.expires.Before(w.expires) {
				w.expires = p.expires
			}
		}
	}
	a.dropEmptyLoans()
	w.granted = true
	a.grants[w.loan] = w
	a.grantsByTime = append(a.grantsByTime, w)
	return true
}

func (a *account) dropEmptyLoans() {
	kept := a.borrowedLoans[:0]
	for _, p := range a.borrowedLoans {
		if p.amount > 0 {
			kept = append(kept, p)
		}
	}
	a.borrowedLoans = kept
}

// prune forgets grants whose life is over.
func (a *account) pruneGrants(now time.Time) {
	for len(a.grantsByTime) > 0 && !now.Before(a.grantsByTime[0].expires) {
		delete(a.grants, a.grantsByTime[0].loan)
		a.grantsByTime = a.grantsByTime[1:]
	}
}

// find returns the waiter of a loan, granted or queued.
func (a *account) findWaiter(id bucket.LoanID) *waiter {
	if w := a.grants[id]; w != nil {
		return w
	}
	for _, w := range a.queue {
		if w.loan == id {
			return w
		}
	}
	return nil
}

// ahead returns the tokens asked for by w and those before it; for a w that is
// not queued, by the whole queue and w.
func (a *account) tokensThrough(w *waiter) int64 {
	n := int64(0)
	for _, q := range a.queue {
		if q == w {
			break
		}
		n += q.need
	}
	return n + w.need
}

// estimate returns the shortest time in which w can be served. What other data
// centres could lend counts in full until they have said otherwise.
func (a *account) estimateWait(now time.Time, w *waiter) time.Duration {
	avail, rate := toMicroTokens(a.config.Burst)-a.capacity(), toMicroTokens(a.config.Rate)
	if now.Sub(a.remoteSupply.updated) < remoteSupplyTTL {
		avail = a.remoteSupply.available
		if w.need <= a.capacity() {
			rate = min(rate, a.rate()+a.remoteSupply.rate)
		}
	}
	return bucket.AccrualTime(a.tokensThrough(w)-a.available(now)-avail, rate)
}

// reserve returns the tokens that older requests need; against a borrower without a
// waiting request also those that local requests will soon need.
func (a *account) reservedAgainst(now, since time.Time, dc string, idle bool) int64 {
	n := a.heldForRemote(now, since, dc)
	for _, w := range a.queue {
		if isOlder(w.waitingSince, a.key.DataCentre, since, dc) {
			n += w.need
		}
	}
	if idle {
		soon := float64(a.demand.rate(now)) * reserveHorizon.Seconds()
		n += min(int64(soon), a.bucket.Capacity()/4)
	}
	return n
}

// ownWait returns the time in which the own bucket brings what n tokens lack.
func (a *account) refillWait(now time.Time, n int64) time.Duration {
	d, ok := a.bucket.TimeUntil(now, a.bucket.Level(now)+n)
	if !ok {
		return math.MaxInt64
	}
	return d
}

func signal(w *waiter) {
	select {
	case w.wakeup <- struct{}{}:
	default:
	}
}
