// Package bucket implements a token bucket that lends tokens and takes refunds
// without ever admitting more than its capacity and rate allow.
//
// Let lent be the tokens that have been lent and may not have been spent yet. The
// invariant
//
//	level + lent <= capacity
//
// always holds, and level + lent grows at most at rate. So the tokens spent in any
// window of length T are at most capacity + rate*T.
//
// A refund leaves the bucket as if the smaller amount had been charged from the
// start: it is limited by the minimum headroom (capacity - lent - level) since the
// charge, because any tokens above that would have overflowed.
//
// A Bucket is not safe for concurrent use. Amounts are in micro-tokens.
package bucket

import (
	"cmp"
	"math"
	"math/bits"
	"slices"
	"time"
)

// MicroPerToken is the number of micro-tokens in one token.
const MicroPerToken = 1_000_000

const (
	// maxRefundableLoans bounds the fully spent loans of one bucket that are kept for
	// refunds.
	maxRefundableLoans = 4096
	// maxRefundAge is how long after its expiry a loan can be refunded.
	maxRefundAge = time.Hour
)

// Mark identifies the time of a charge for a later refund.
type Mark uint64

// LoanID identifies a loan. It is chosen by the borrower.
type LoanID struct {
	Borrower uint64 // identifies the borrower's process
	N        uint64 // counts the borrower's loans
}

// loan is the state of one loan. Its unspent part may still be spent by the borrower;
// its spent part can be refunded.
type loan struct {
	id         LoanID
	expires    time.Time
	unspent    int64
	spent      int64
	firstSpent Mark // when some of it was first known to be spent
}

// Bucket is a token bucket.
type Bucket struct {
	capacity int64
	rate     int64 // micro-tokens per second
	level    int64
	lent     int64 // sum of the unspent parts of loans
	updated  time.Time
	fraction uint64 // accrued fraction of a micro-token, in units of 1e-9

	seq             uint64
	history         history
	loans           map[LoanID]*loan
	unspentLoans    []*loan // ordered by expiry
	refundableLoans []LoanID
}

// New returns a Bucket with the given level, limited to its capacity.
func New(now time.Time, capacity, rate, level int64) *Bucket {
	return &Bucket{capacity: capacity, rate: rate, level: min(level, capacity), updated: now, loans: map[LoanID]*loan{}}
}

// Level returns the tokens that can be charged or lent now.
func (b *Bucket) Level(now time.Time) int64 {
	b.advance(now)
	return b.level
}

// Outstanding returns the lent tokens that may not have been spent yet.
func (b *Bucket) Outstanding(now time.Time) int64 {
	b.advance(now)
	return b.lent
}

// Capacity returns the maximum level of the bucket without loans.
func (b *Bucket) Capacity() int64 { return b.capacity }

// Rate returns the refill rate in micro-tokens per second.
func (b *Bucket) Rate() int64 { return b.rate }

// SetLimits changes capacity and rate. A level above the new capacity is reduced
// immediately; a higher capacity adds no tokens.
func (b *Bucket) SetLimits(now time.Time, capacity, rate int64) {
	b.advance(now)
	if capacity == b.capacity && rate == b.rate {
		return
	}
	b.capacity = capacity
	b.rate = rate
	b.clampLevel()
	b.recordHeadroom()
}

// Charge takes n tokens if the level is sufficient.
func (b *Bucket) Charge(now time.Time, n int64) (Mark, bool) {
	b.advance(now)
	if n > b.level {
		return 0, false
	}
	b.level -= n
	return b.newMark(), true
}

// Refund returns up to n tokens of the charge made at m to the bucket. It returns the
// number of tokens credited.
func (b *Bucket) Refund(now time.Time, m Mark, n int64) int64 {
	b.advance(now)
	n = min(n, b.history.minSince(m))
	if n <= 0 {
		return 0
	}
	b.level += n
	b.history.reduceSince(m, n)
	return n
}

// Credit adds up to n tokens transferred from another bucket, as far as the capacity
// allows. It returns the number of tokens added.
func (b *Bucket) Credit(now time.Time, n int64) int64 {
	b.advance(now)
	n = max(0, min(n, b.capacity-b.lent-b.level))
	b.level += n
	b.recordHeadroom()
	return n
}

// Lend takes n tokens that a borrower may spend within ttl. The capacity is reduced by
// n until the tokens are known to be spent or returned, or until ttl has elapsed.
func (b *Bucket) Lend(now time.Time, id LoanID, n int64, ttl time.Duration) bool {
	b.advance(now)
	if n > b.level || b.loans[id] != nil {
		return false
	}
	b.level -= n
	b.addLoan(id, n, now.Add(ttl))
	return true
}

// BlockCapacity reduces the capacity by n for ttl without taking tokens from the
// level. It accounts for loans made by a previous owner of the same tokens.
func (b *Bucket) BlockCapacity(now time.Time, id LoanID, n int64, ttl time.Duration) {
	b.advance(now)
	if b.loans[id] != nil || n <= 0 || ttl <= 0 {
		return
	}
	b.addLoan(id, n, now.Add(ttl))
	b.clampLevel()
	b.recordHeadroom()
}

// UnblockCapacity ends a BlockCapacity early.
func (b *Bucket) UnblockCapacity(now time.Time, id LoanID) {
	b.advance(now)
	if l := b.loans[id]; l != nil {
		b.markSpent(l, l.unspent)
		b.deleteLoan(id)
	}
}

// LoanRemaining returns the unspent part and the remaining lifetime of a loan. ok is
// false if the loan is unknown, expired or fully spent.
func (b *Bucket) LoanRemaining(now time.Time, id LoanID) (n int64, ttl time.Duration, ok bool) {
	b.advance(now)
	l := b.loans[id]
	if l == nil || l.unspent == 0 {
		return 0, 0, false
	}
	return l.unspent, l.expires.Sub(now), true
}

// Loan describes a loan that may not have been spent yet.
type Loan struct {
	Amount int64
	TTL    time.Duration // remaining lifetime
}

// Loans returns the loans that may not have been fully spent yet.
func (b *Bucket) Loans(now time.Time) []Loan {
	b.advance(now)
	var all []Loan
	for _, l := range b.unspentLoans {
		if l.unspent > 0 {
			all = append(all, Loan{l.unspent, l.expires.Sub(now)})
		}
	}
	return all
}

// Spend records that n tokens of a loan have been spent.
func (b *Bucket) Spend(now time.Time, id LoanID, n int64) {
	b.advance(now)
	if l := b.loans[id]; l != nil {
		b.markSpent(l, max(0, min(n, l.unspent)))
	}
}

// Return takes back n unspent tokens of a loan and returns the number of tokens
// credited. After the loan has expired it counts as a refund.
func (b *Bucket) Return(now time.Time, id LoanID, n int64) int64 {
	b.advance(now)
	l := b.loans[id]
	if l == nil || n <= 0 {
		return 0
	}
	returned := min(n, l.unspent)
	if returned > 0 {
		l.unspent -= returned
		b.lent -= returned
		b.level += returned
		b.retireLoan(l)
	}
	return returned + b.refundLoan(l, n-returned)
}

// RefundLoan refunds n spent tokens of a loan and returns the number of tokens
// credited. If done, a loan without an unspent part is deleted.
func (b *Bucket) RefundLoan(now time.Time, id LoanID, n int64, done bool) int64 {
	b.advance(now)
	l := b.loans[id]
	if l == nil {
		return 0
	}
	n = b.refundLoan(l, n)
	if done && l.unspent == 0 {
		b.deleteLoan(id)
	}
	return n
}

// TimeUntil returns the time until the level can reach n if nothing else is taken. ok
// is false if it never can.
func (b *Bucket) TimeUntil(now time.Time, n int64) (d time.Duration, ok bool) {
	b.advance(now)
	if n <= b.level {
		return 0, true
	}
	if n > b.capacity || b.rate <= 0 {
		return 0, false
	}
	d = AccrualTime(n-b.level, b.rate)
	// Enough loans must expire for the free capacity to reach n as well.
	freeCapacity := b.capacity - b.lent
	for _, l := range b.unspentLoans {
		if freeCapacity >= n {
			break
		}
		freeCapacity += l.unspent
		d = max(d, l.expires.Sub(now))
	}
	return d, true
}

// AccrualTime returns the time in which n micro-tokens accrue at a rate, rounded up.
func AccrualTime(n, rate int64) time.Duration {
	if n <= 0 {
		return 0
	}
	if rate <= 0 {
		return math.MaxInt64
	}
	hi, lo := bits.Mul64(uint64(n), uint64(time.Second))
	if hi >= uint64(rate) {
		return math.MaxInt64
	}
	q, r := bits.Div64(hi, lo, uint64(rate))
	if r > 0 {
		q++
	}
	if q > math.MaxInt64 {
		return math.MaxInt64
	}
	return time.Duration(q)
}

// advance brings the bucket up to date, ending expired loans in order of expiry.
func (b *Bucket) advance(now time.Time) {
	for len(b.unspentLoans) > 0 {
		l := b.unspentLoans[0]
		if l.unspent > 0 {
			if l.expires.After(now) {
				break
			}
			b.refill(l.expires)
			b.markSpent(l, l.unspent)
			continue
		}
		b.unspentLoans = b.unspentLoans[1:]
	}
	b.refill(now)
	b.recordHeadroom()
}

// refill accrues tokens until t with the current capacity.
func (b *Bucket) refill(t time.Time) {
	elapsed := t.Sub(b.updated)
	if elapsed <= 0 {
		return
	}
	b.updated = t
	hi, lo := bits.Mul64(uint64(b.rate), uint64(elapsed))
	lo, carry := bits.Add64(lo, b.fraction, 0)
	hi += carry
	room := max(0, b.capacity-b.lent-b.level)
	if hi >= uint64(time.Second) {
		b.level += room
		b.fraction = 0
		return
	}
	n, fraction := bits.Div64(hi, lo, uint64(time.Second))
	if n >= uint64(room) {
		b.level += room
		b.fraction = 0
		return
	}
	b.level += int64(n)
	b.fraction = fraction
}

// clampLevel restores the invariant after the capacity was reduced.
func (b *Bucket) clampLevel() { b.level = max(0, min(b.level, b.capacity-b.lent)) }

// recordHeadroom records the current headroom.
func (b *Bucket) recordHeadroom() {
	b.seq++
	b.history.record(b.seq, max(0, b.capacity-b.lent-b.level))
}

// newMark returns a mark that is later than everything recorded so far.
func (b *Bucket) newMark() Mark {
	b.seq++
	return Mark(b.seq)
}

func (b *Bucket) addLoan(id LoanID, n int64, expires time.Time) {
	l := &loan{id: id, expires: expires, unspent: n}
	b.lent += n
	b.loans[id] = l
	i, _ := slices.BinarySearchFunc(b.unspentLoans, expires, func(l *loan, t time.Time) int {
		return cmp.Or(l.expires.Compare(t), -1)
	})
	b.unspentLoans = slices.Insert(b.unspentLoans, i, l)
}

// markSpent counts n unspent tokens of l as spent.
func (b *Bucket) markSpent(l *loan, n int64) {
	if l.unspent == 0 {
		return
	}
	b.recordHeadroom()
	l.unspent -= n
	l.spent += n
	b.lent -= n
	if l.firstSpent == 0 {
		l.firstSpent = b.newMark()
	}
	b.retireLoan(l)
}

// retireLoan moves a loan without an unspent part to the refundable loans, and deletes
// the oldest of these beyond the limits.
func (b *Bucket) retireLoan(l *loan) {
	if l.unspent > 0 {
		return
	}
	if l.spent == 0 {
		b.deleteLoan(l.id)
		return
	}
	b.refundableLoans = append(b.refundableLoans, l.id)
	for len(b.refundableLoans) > 0 && b.evictable(b.refundableLoans[0]) {
		b.deleteLoan(b.refundableLoans[0])
		b.refundableLoans = b.refundableLoans[1:]
	}
}

// evictable reports whether the oldest refundable loan must be deleted.
func (b *Bucket) evictable(id LoanID) bool {
	l := b.loans[id]
	return l == nil || len(b.refundableLoans) > maxRefundableLoans || b.updated.Sub(l.expires) > maxRefundAge
}

func (b *Bucket) refundLoan(l *loan, n int64) int64 {
	n = min(n, l.spent, b.history.minSince(l.firstSpent))
	if n <= 0 || l.firstSpent == 0 {
		return 0
	}
	l.spent -= n
	b.level += n
	b.history.reduceSince(l.firstSpent, n)
	return n
}

func (b *Bucket) deleteLoan(id LoanID) { delete(b.loans, id) }
