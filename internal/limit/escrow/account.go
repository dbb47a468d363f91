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
type parcel struct {
	addr    string
	epoch   uint64
	loan    bucket.LoanID
	amount  int64
	expires time.Time
}

// waiter is one request for tokens at its home. It keeps its place while its
// client asks again in time.
type waiter struct {
	loan     bucket.LoanID
	need     int64
	extra    int64
	since    time.Time // when the request began to wait, at its client
	deadline time.Time
	calls    int       // calls of its client that are waiting here
	soon     time.Time // its client asks again by then
	kept     time.Time // place is kept until then without a call
	woken    chan struct{}

	granted bool
	parts   []Part
	expires time.Time // of the grant
}

// present reports whether a grant to the waiter would be noticed at once.
func (w *waiter) present(now time.Time) bool { return w.calls > 0 || now.Before(w.soon) }

// pledge keeps tokens of this home for an older request of another data centre
// that no share alone can hold. It is a matter of order, not of safety.
type pledge struct {
	dataCentre string
	since      time.Time
	amount     int64
	until      time.Time
}

// outlook is what the homes of the other data centres last said.
type outlook struct {
	avail int64
	rate  int64
	at    time.Time
}

// borrower is the demand of another data centre above its share.
type borrower struct {
	excess int64     // micro-tokens per second
	since  time.Time // begin of the demand
	at     time.Time
}

// move is a change of shares whose outcome is not known yet.
type move struct {
	version uint64 // of the row that it replaces
}

// account is the state of one client account at its home in this data centre.
// Everything below mu is guarded by it.
type account struct {
	name  string
	key   shard.Key
	epoch uint64

	mu      sync.Mutex
	config  *config.Account
	bucket  *bucket.Bucket
	opened  bool // share has been read under this epoch; until then it is 0
	asked   bool // to be opened
	frozen  bool // handed over
	row     *shareRow
	version uint64
	share   int64 // parts per million in effect, never above the row's
	pending *move

	queue       []*waiter
	grants      map[bucket.LoanID]*waiter // granted, for repeated calls
	order       []*waiter                 // grants by time
	parcels     []parcel
	pledge      pledge
	outlook     outlook
	borrowers   map[string]borrower
	demand      meter
	gathering   bool
	nextAsk     time.Time
	nextBalance time.Time
	borrowed    time.Time // last loan from another data centre
	refused     time.Time // last event of a refusal
}

func newAccount(name string, key shard.Key, epoch uint64, c *config.Account, now time.Time) *account {
	return &account{
		name:      name,
		key:       key,
		epoch:     epoch,
		config:    c,
		bucket:    bucket.New(now, 0, 0, 0),
		nextAsk:   now.Add(openGrace),
		grants:    map[bucket.LoanID]*waiter{},
		borrowers: map[string]borrower{},
	}
}

// capacity and rate return the part of burst and rate in effect here.
func (a *account) capacity() int64 { return part(micro(a.config.Burst), a.share) }
func (a *account) rate() int64     { return part(micro(a.config.Rate), a.share) }

// apply puts configuration and share in force.
func (a *account) apply(now time.Time) { a.bucket.SetLimits(now, a.capacity(), a.rate()) }

// adopt takes the share of a row read from the table. Only this home lowers its
// own share, so any version of the row is safe once no move is pending.
func (a *account) adopt(now time.Time, row *shareRow, version uint64) {
	if a.pending != nil || version <= a.version {
		return
	}
	a.row = row
	a.version = version
	a.share = row.Shares[a.key.DataCentre]
	a.apply(now)
}

// start opens the account with the share of a row. Loans of an earlier home may be
// out for blocked; a right that had no home before starts with a full level.
func (a *account) start(now time.Time, row *shareRow, version uint64, full bool, blocked time.Duration) {
	a.adopt(now, row, version)
	if a.opened {
		return
	}
	a.opened = true
	if full {
		a.bucket.Credit(now, a.capacity())
	} else {
		a.bucket.BlockCapacity(now, formerLoans, a.capacity(), blocked)
	}
}

// formerLoans stands for all loans of the former home.
var formerLoans = bucket.LoanID{}

// available returns what can be granted now, parcels included.
func (a *account) available(now time.Time) int64 {
	n := a.bucket.Level(now)
	for _, p := range a.live(now) {
		n += p.amount
	}
	return n
}

// live drops parcels whose life is over and returns the rest.
func (a *account) live(now time.Time) []parcel {
	kept := a.parcels[:0]
	for _, p := range a.parcels {
		if now.Before(p.expires) {
			kept = append(kept, p)
		}
	}
	a.parcels = kept
	return kept
}

// pledged returns the tokens kept for another data centre against a request that
// began to wait at since.
func (a *account) pledged(now, since time.Time, dataCentre string) int64 {
	p := a.pledge
	if p.amount == 0 || p.dataCentre == dataCentre || !now.Before(p.until) || !older(p.since, p.dataCentre, since, dataCentre) {
		return 0
	}
	return p.amount
}

// older orders requests of two data centres by the time they began to wait.
func older(a time.Time, dcA string, b time.Time, dcB string) bool {
	if a.Equal(b) {
		return dcA < dcB
	}
	return a.Before(b)
}

// pump grants tokens in order of arrival. A waiter whose client is not asking at
// the moment keeps its place but does not hold up the ones behind it. It returns
// the tokens that the others lack.
func (a *account) pump(now time.Time, self string, life time.Duration) (lack int64) {
	kept := a.queue[:0]
	for _, w := range a.queue {
		switch {
		case w.present(now) && lack == 0 && a.grant(now, w, self, life):
			wake(w)
		case !now.Before(w.deadline), w.calls == 0 && !now.Before(w.kept):
			wake(w)
		default:
			if w.present(now) {
				lack += w.need
			}
			kept = append(kept, w)
		}
	}
	clear(a.queue[len(kept):])
	a.queue = kept
	if lack == 0 {
		return 0
	}
	return max(0, lack-a.available(now))
}

// grant gives w its tokens: the bucket's own first, then parcels.
func (a *account) grant(now time.Time, w *waiter, self string, life time.Duration) bool {
	level := max(0, a.bucket.Level(now)-a.pledged(now, w.since, a.key.DataCentre))
	own := min(level, w.need)
	rest := w.need - own
	for _, p := range a.live(now) {
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
		if !a.bucket.Lend(now, w.loan, own, life+life/drift) {
			return false
		}
		w.parts = append(w.parts, Part{Addr: self, Epoch: a.epoch, Loan: w.loan, Amount: own, Sole: sole})
	}
	w.expires = now.Add(life)
	for i := range a.parcels {
		p := &a.parcels[i]
		if n := min(rest, p.amount); n > 0 {
			w.parts = append(w.parts, Part{Addr: p.addr, Epoch: p.epoch, Loan: p.loan, Amount: n})
			p.amount -= n
			rest -= n
			if p.expires.Before(w.expires) {
				w.expires = p.expires
			}
		}
	}
	a.dropEmpty()
	w.granted = true
	a.grants[w.loan] = w
	a.order = append(a.order, w)
	return true
}

func (a *account) dropEmpty() {
	kept := a.parcels[:0]
	for _, p := range a.parcels {
		if p.amount > 0 {
			kept = append(kept, p)
		}
	}
	a.parcels = kept
}

// prune forgets grants whose life is over.
func (a *account) prune(now time.Time) {
	for len(a.order) > 0 && !now.Before(a.order[0].expires) {
		delete(a.grants, a.order[0].loan)
		a.order = a.order[1:]
	}
}

// find returns the waiter of a loan, granted or queued.
func (a *account) find(id bucket.LoanID) *waiter {
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
func (a *account) ahead(w *waiter) int64 {
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
func (a *account) estimate(now time.Time, w *waiter) time.Duration {
	avail, rate := micro(a.config.Burst)-a.capacity(), micro(a.config.Rate)
	if now.Sub(a.outlook.at) < outlookFresh {
		avail = a.outlook.avail
		if w.need <= a.capacity() {
			rate = min(rate, a.rate()+a.outlook.rate)
		}
	}
	return bucket.AccrualTime(a.ahead(w)-a.available(now)-avail, rate)
}

// reserve returns the tokens that older requests need; against a borrower without a
// waiting request also those that local requests will soon need.
func (a *account) reserve(now, since time.Time, dc string, idle bool) int64 {
	n := a.pledged(now, since, dc)
	for _, w := range a.queue {
		if older(w.since, a.key.DataCentre, since, dc) {
			n += w.need
		}
	}
	if idle {
		soon := float64(a.demand.rate(now)) * reserveSpan.Seconds()
		n += min(int64(soon), a.bucket.Capacity()/4)
	}
	return n
}

// ownWait returns the time in which the own bucket brings what n tokens lack.
func (a *account) ownWait(now time.Time, n int64) time.Duration {
	d, ok := a.bucket.TimeUntil(now, a.bucket.Level(now)+n)
	if !ok {
		return math.MaxInt64
	}
	return d
}

func wake(w *waiter) {
	select {
	case w.woken <- struct{}{}:
	default:
	}
}
