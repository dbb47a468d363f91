// Package bucket implements a token bucket that lends tokens and takes refunds
// without ever admitting more than its capacity and rate allow.
//
// Let out be the tokens lent and possibly not yet spent. The invariant
//
//	level + out <= capacity
//
// holds at every instant, and level + out grows at no more than rate. So the
// tokens spent in any window of length T are at most capacity + rate*T.
//
// A refund makes the bucket equal to one that was charged the smaller amount from
// the start: it is limited by the smallest headroom (capacity - out - level) seen
// since the charge, because whatever lies above that would have overflowed.
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
	// maxRecords bounds the loans of one bucket that can still be refunded.
	maxRecords = 4096
	// maxAge is how long after its life a loan can be refunded.
	maxAge = time.Hour
)

// Mark identifies the moment of a charge for a later refund.
type Mark uint64

// LoanID identifies a loan; the borrower chooses it.
type LoanID struct {
	Borrower uint64 // identifies the borrower's incarnation
	N        uint64 // counts the borrower's loans
}

// loan is one loan. Its open part is lent and may be unspent; its spent part can
// be refunded.
type loan struct {
	id      LoanID
	expires time.Time
	open    int64
	spent   int64
	mark    Mark // first moment at which some of it was known as spent
}

// Bucket is a token bucket.
type Bucket struct {
	capacity int64
	rate     int64 // micro-tokens per second
	level    int64
	out      int64 // sum of the open parts of loans
	at       time.Time
	rest     uint64 // part of a micro-token accrued, in 1e-9

	seq     uint64
	history history
	loans   map[LoanID]*loan
	open    []*loan // by expiry
	closed  []LoanID
}

// New returns a Bucket with the given level, cut to its capacity.
func New(now time.Time, capacity, rate, level int64) *Bucket {
	return &Bucket{capacity: capacity, rate: rate, level: min(level, capacity), at: now, loans: map[LoanID]*loan{}}
}

// Level returns the tokens that can be charged or lent now.
func (b *Bucket) Level(now time.Time) int64 {
	b.advance(now)
	return b.level
}

// Outstanding returns the tokens lent that may be unspent.
func (b *Bucket) Outstanding(now time.Time) int64 {
	b.advance(now)
	return b.out
}

// Capacity returns the highest level the bucket may have without loans.
func (b *Bucket) Capacity() int64 { return b.capacity }

// Rate returns the refill rate in micro-tokens per second.
func (b *Bucket) Rate() int64 { return b.rate }

// SetLimits changes capacity and rate. A level above the new capacity is cut at
// once; a higher capacity adds no tokens.
func (b *Bucket) SetLimits(now time.Time, capacity, rate int64) {
	b.advance(now)
	if capacity == b.capacity && rate == b.rate {
		return
	}
	b.capacity = capacity
	b.rate = rate
	b.clip()
	b.observe()
}

// Charge takes n tokens if the level allows it.
func (b *Bucket) Charge(now time.Time, n int64) (Mark, bool) {
	b.advance(now)
	if n > b.level {
		return 0, false
	}
	b.level -= n
	return b.mark(), true
}

// Refund gives back n tokens of the charge made at m and returns how many of them
// were credited.
func (b *Bucket) Refund(now time.Time, m Mark, n int64) int64 {
	b.advance(now)
	n = min(n, b.history.since(m))
	if n <= 0 {
		return 0
	}
	b.level += n
	b.history.lower(m, n)
	return n
}

// Credit adds tokens handed over by another bucket, as far as there is room.
func (b *Bucket) Credit(now time.Time, n int64) int64 {
	b.advance(now)
	n = max(0, min(n, b.capacity-b.out-b.level))
	b.level += n
	b.observe()
	return n
}

// Lend takes n tokens that a borrower may spend within life. Until they are known
// as spent or returned, or life has passed, the capacity is lower by n.
func (b *Bucket) Lend(now time.Time, id LoanID, n int64, life time.Duration) bool {
	b.advance(now)
	if n > b.level || b.loans[id] != nil {
		return false
	}
	b.level -= n
	b.add(id, n, now.Add(life))
	return true
}

// BlockCapacity lowers the capacity by n for life without taking tokens from the level.
// It stands for loans of an earlier holder of the same right.
func (b *Bucket) BlockCapacity(now time.Time, id LoanID, n int64, life time.Duration) {
	b.advance(now)
	if b.loans[id] != nil || n <= 0 || life <= 0 {
		return
	}
	b.add(id, n, now.Add(life))
	b.clip()
	b.observe()
}

// UnblockCapacity ends a Block early.
func (b *Bucket) UnblockCapacity(now time.Time, id LoanID) {
	b.advance(now)
	if l := b.loans[id]; l != nil {
		b.close(l, l.open)
		b.forget(id)
	}
}

// LoanRemaining returns the open part and the remaining life of a loan; ok is false if the
// loan is unknown or over.
func (b *Bucket) LoanRemaining(now time.Time, id LoanID) (n int64, life time.Duration, ok bool) {
	b.advance(now)
	l := b.loans[id]
	if l == nil || l.open == 0 {
		return 0, 0, false
	}
	return l.open, l.expires.Sub(now), true
}

// Loan describes a loan that may be unspent.
type Loan struct {
	Amount int64
	TTL    time.Duration // that is left
}

// Loans returns the loans that may be unspent.
func (b *Bucket) Loans(now time.Time) []Loan {
	b.advance(now)
	var all []Loan
	for _, l := range b.open {
		if l.open > 0 {
			all = append(all, Loan{l.open, l.expires.Sub(now)})
		}
	}
	return all
}

// Spend records that n tokens of a loan have been spent.
func (b *Bucket) Spend(now time.Time, id LoanID, n int64) {
	b.advance(now)
	if l := b.loans[id]; l != nil {
		b.close(l, max(0, min(n, l.open)))
	}
}

// Return takes back n unspent tokens of a loan and returns how many were credited.
// After the loan's life it counts as a refund.
func (b *Bucket) Return(now time.Time, id LoanID, n int64) int64 {
	b.advance(now)
	l := b.loans[id]
	if l == nil || n <= 0 {
		return 0
	}
	back := min(n, l.open)
	if back > 0 {
		l.open -= back
		b.out -= back
		b.level += back
		b.retire(l)
	}
	return back + b.refundLoan(l, n-back)
}

// RefundLoan gives back n tokens that were spent from a loan and returns how many
// were credited. With done the loan is forgotten.
func (b *Bucket) RefundLoan(now time.Time, id LoanID, n int64, done bool) int64 {
	b.advance(now)
	l := b.loans[id]
	if l == nil {
		return 0
	}
	n = b.refundLoan(l, n)
	if done && l.open == 0 {
		b.forget(id)
	}
	return n
}

// TimeUntil returns the time after which the level can reach n if nothing else is
// taken; ok is false if it never can.
func (b *Bucket) TimeUntil(now time.Time, n int64) (d time.Duration, ok bool) {
	b.advance(now)
	if n <= b.level {
		return 0, true
	}
	if n > b.capacity || b.rate <= 0 {
		return 0, false
	}
	d = AccrualTime(n-b.level, b.rate)
	// The capacity must have room for n as well.
	room := b.capacity - b.out
	for _, l := range b.open {
		if room >= n {
			break
		}
		room += l.open
		d = max(d, l.expires.Sub(now))
	}
	return d, true
}

// AccrualTime returns how long a rate takes for n micro-tokens, rounded up.
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

// advance moves the bucket to now, ending loans whose life has passed on the way.
func (b *Bucket) advance(now time.Time) {
	for len(b.open) > 0 {
		l := b.open[0]
		if l.open > 0 {
			if l.expires.After(now) {
				break
			}
			b.fill(l.expires)
			b.close(l, l.open)
			continue
		}
		b.open = b.open[1:]
	}
	b.fill(now)
	b.observe()
}

// fill accrues tokens until t at the present capacity.
func (b *Bucket) fill(t time.Time) {
	d := t.Sub(b.at)
	if d <= 0 {
		return
	}
	b.at = t
	hi, lo := bits.Mul64(uint64(b.rate), uint64(d))
	lo, carry := bits.Add64(lo, b.rest, 0)
	hi += carry
	room := max(0, b.capacity-b.out-b.level)
	if hi >= uint64(time.Second) {
		b.level += room
		b.rest = 0
		return
	}
	n, rest := bits.Div64(hi, lo, uint64(time.Second))
	if n >= uint64(room) {
		b.level += room
		b.rest = 0
		return
	}
	b.level += int64(n)
	b.rest = rest
}

// clip restores the invariant after the capacity went down.
func (b *Bucket) clip() { b.level = max(0, min(b.level, b.capacity-b.out)) }

// observe notes the headroom of this moment.
func (b *Bucket) observe() {
	b.seq++
	b.history.record(b.seq, max(0, b.capacity-b.out-b.level))
}

// mark names the moment after everything observed so far.
func (b *Bucket) mark() Mark {
	b.seq++
	return Mark(b.seq)
}

func (b *Bucket) add(id LoanID, n int64, expires time.Time) {
	l := &loan{id: id, expires: expires, open: n}
	b.out += n
	b.loans[id] = l
	i, _ := slices.BinarySearchFunc(b.open, expires, func(l *loan, t time.Time) int {
		return cmp.Or(l.expires.Compare(t), -1)
	})
	b.open = slices.Insert(b.open, i, l)
}

// close counts n open tokens of l as spent.
func (b *Bucket) close(l *loan, n int64) {
	if l.open == 0 {
		return
	}
	b.observe()
	l.open -= n
	l.spent += n
	b.out -= n
	if l.mark == 0 {
		l.mark = b.mark()
	}
	b.retire(l)
}

// retire puts a loan without an open part among those that only await refunds,
// and forgets those above the bounds.
func (b *Bucket) retire(l *loan) {
	if l.open > 0 {
		return
	}
	if l.spent == 0 {
		b.forget(l.id)
		return
	}
	b.closed = append(b.closed, l.id)
	for len(b.closed) > 0 && b.over(b.closed[0]) {
		b.forget(b.closed[0])
		b.closed = b.closed[1:]
	}
}

// over reports whether the oldest closed loan is to be forgotten.
func (b *Bucket) over(id LoanID) bool {
	l := b.loans[id]
	return l == nil || len(b.closed) > maxRecords || b.at.Sub(l.expires) > maxAge
}

func (b *Bucket) refundLoan(l *loan, n int64) int64 {
	n = min(n, l.spent, b.history.since(l.mark))
	if n <= 0 || l.mark == 0 {
		return 0
	}
	l.spent -= n
	b.level += n
	b.history.lower(l.mark, n)
	return n
}

func (b *Bucket) forget(id LoanID) { delete(b.loans, id) }
