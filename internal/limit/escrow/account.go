package escrow

import (
	"math"
	"sync"
	"time"

	"carawayrouter.example/router/internal/config"
	"carawayrouter.example/router/internal/limit/bucket"
	"carawayrouter.example/router/internal/shard"
)

// borrowedLoan is a loan from the home in another data centre that has not been
// granted to a request yet.
type borrowedLoan struct {
	addr    string
	epoch   uint64
	loan    bucket.LoanID
	amount  int64
	expires time.Time
}

// waiter is one request for tokens that is queued at its home. It keeps its place in
// the queue as long as its client repeats the call in time.
type waiter struct {
	loan         bucket.LoanID
	need         int64
	extra        int64
	waitingSince time.Time // when the request began to wait at its client
	deadline     time.Time
	activeCalls  int       // calls of its client that are blocked here
	nextCallBy   time.Time // its client is expected to call again by then
	placeExpires time.Time // its place is kept until then without a call
	wakeup       chan struct{}

	granted bool
	parts   []Part
	expires time.Time // of the grant
}

// polling reports whether the client would receive a grant without delay.
func (w *waiter) polling(now time.Time) bool { return w.activeCalls > 0 || now.Before(w.nextCallBy) }

// remoteHold reserves tokens of this home for an older request in another data
// centre that needs more than any single share holds. It only affects ordering; the
// limits hold without it.
type remoteHold struct {
	dataCentre string
	since      time.Time
	amount     int64
	expires    time.Time
}

// remoteSupply sums the last answers of the homes in the other data centres.
type remoteSupply struct {
	available int64
	rate      int64
	updated   time.Time
}

// remoteDemand is the demand of another data centre above its share.
type remoteDemand struct {
	excess  int64     // micro-tokens per second
	since   time.Time // start of the demand
	updated time.Time
}

// pendingMove is a share move whose outcome is not known yet.
type pendingMove struct {
	replacedVersion uint64 // version of the row that it replaces
}

// account is the state of one client account at its home in this data centre. The
// fields below mu are guarded by it.
type account struct {
	name  string
	key   shard.Key
	epoch uint64

	mu            sync.Mutex
	config        *config.Account
	bucket        *bucket.Bucket
	opened        bool // share has been read under this epoch; it is 0 before
	openRequested bool // queued at the opener
	frozen        bool // no longer grants because it is handed over
	row           *shareRow
	rowVersion    uint64
	share         int64 // parts per million in effect, never above the share in the row
	pendingMove   *pendingMove

	queue            []*waiter
	grants           map[bucket.LoanID]*waiter // granted waiters, for repeated calls
	grantsByTime     []*waiter                 // grants, oldest first
	borrowedLoans    []borrowedLoan
	remoteHold       remoteHold
	remoteSupply     remoteSupply
	remoteDemands    map[string]remoteDemand
	demand           rateMeter
	borrowing        bool
	nextBorrow       time.Time
	nextBalance      time.Time
	lastBorrowed     time.Time // time of the last loan from another data centre
	lastRefusalEvent time.Time // time of the last refusal event
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

// capacity and rate return this data centre's share of burst and rate.
func (a *account) capacity() int64 { return scaleByPPM(toMicroTokens(a.config.Burst), a.share) }
func (a *account) rate() int64     { return scaleByPPM(toMicroTokens(a.config.Rate), a.share) }

// applyLimits sets the limits of the bucket from the configuration and the share.
func (a *account) applyLimits(now time.Time) { a.bucket.SetLimits(now, a.capacity(), a.rate()) }

// adoptRow applies the share of a row read from the table. Only this home lowers its
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

// open opens the account with the share of a row. With startFull, for an account that
// had no home in this data centre before, the bucket starts full. Otherwise loans of
// the previous home may be outstanding, so the capacity is blocked for blockFor.
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

// previousHomeLoans is the ID that stands for all loans of the previous home.
var previousHomeLoans = bucket.LoanID{}

// available returns the tokens that can be granted now, borrowed loans included.
func (a *account) available(now time.Time) int64 {
	n := a.bucket.Level(now)
	for _, l := range a.liveLoans(now) {
		n += l.amount
	}
	return n
}

// liveLoans drops expired borrowed loans and returns the rest.
func (a *account) liveLoans(now time.Time) []borrowedLoan {
	kept := a.borrowedLoans[:0]
	for _, l := range a.borrowedLoans {
		if now.Before(l.expires) {
			kept = append(kept, l)
		}
	}
	a.borrowedLoans = kept
	return kept
}

// heldForRemote returns the tokens that are held for another data centre and not
// available to a request of dataCentre that began to wait at since.
func (a *account) heldForRemote(now, since time.Time, dataCentre string) int64 {
	hold := a.remoteHold
	if hold.amount == 0 || hold.dataCentre == dataCentre || !now.Before(hold.expires) || !isOlder(hold.since, hold.dataCentre, since, dataCentre) {
		return 0
	}
	return hold.amount
}

// isOlder reports whether the first of two requests began to wait earlier. It breaks
// ties by the name of the data centre.
func isOlder(a time.Time, dcA string, b time.Time, dcB string) bool {
	if a.Equal(b) {
		return dcA < dcB
	}
	return a.Before(b)
}

// grantQueued grants tokens in order of arrival. A waiter whose client is not polling
// keeps its place but does not block the waiters behind it. It returns how many
// tokens the polling waiters still lack.
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

// grant gives w its tokens, first from the bucket, then from borrowed loans.
func (a *account) grant(now time.Time, w *waiter, self string, ttl time.Duration) bool {
	level := max(0, a.bucket.Level(now)-a.heldForRemote(now, w.waitingSince, a.key.DataCentre))
	own := min(level, w.need)
	rest := w.need - own
	for _, l := range a.liveLoans(now) {
		rest -= min(rest, l.amount)
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
		l := &a.borrowedLoans[i]
		if n := min(rest, l.amount); n > 0 {
			w.parts = append(w.parts, Part{Addr: l.addr, Epoch: l.epoch, Loan: l.loan, Amount: n})
			l.amount -= n
			rest -= n
			if l.expires.Before(w.expires) {
				w.expires = l.expires
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
	for _, l := range a.borrowedLoans {
		if l.amount > 0 {
			kept = append(kept, l)
		}
	}
	a.borrowedLoans = kept
}

// pruneGrants drops expired grants.
func (a *account) pruneGrants(now time.Time) {
	for len(a.grantsByTime) > 0 && !now.Before(a.grantsByTime[0].expires) {
		delete(a.grants, a.grantsByTime[0].loan)
		a.grantsByTime = a.grantsByTime[1:]
	}
}

// findWaiter returns the waiter of a loan, granted or queued.
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

// tokensThrough returns the tokens needed by w and all waiters before it. If w is not
// queued, all queued waiters count as before it.
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

// estimateWait returns a lower bound of the time until w can be served. Without a
// recent answer from other data centres, it assumes that they can lend all of the
// account's burst and rate that this data centre does not hold.
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

// reservedAgainst returns the tokens that must not be lent to dc because older
// requests need them. If idle, no request waits at the borrower, and the expected
// local demand in the near future is reserved as well.
func (a *account) reservedAgainst(now, since time.Time, dc string, idle bool) int64 {
	n := a.heldForRemote(now, since, dc)
	for _, w := range a.queue {
		if isOlder(w.waitingSince, a.key.DataCentre, since, dc) {
			n += w.need
		}
	}
	if idle {
		expected := float64(a.demand.rate(now)) * reserveHorizon.Seconds()
		n += min(int64(expected), a.bucket.Capacity()/4)
	}
	return n
}

// refillWait returns the time in which the bucket's level rises by n tokens.
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
