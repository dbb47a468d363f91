package bucket

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var testStart = time.Unix(1_000_000, 0)

// modelCharge is one charge of the reference model.
type modelCharge struct {
	at   time.Time
	used int64
}

// replayLevel returns the level at now after replaying charges on a bucket without
// refunds that was full at testStart.
func replayLevel(capacity, rate int64, charges []modelCharge, now time.Time) int64 {
	b := New(testStart, capacity, rate, capacity)
	for _, c := range charges {
		b.refill(c.at)
		b.level -= c.used
	}
	b.refill(now)
	return b.level
}

// At every step, a bucket with refunds must equal one that was charged the smaller
// amounts from the start.
func TestRefundsEqualSmallerCharges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.Int64Range(1, 50).Draw(t, "capacity")
		rate := rapid.Int64Range(0, 10).Draw(t, "rate")
		b := New(testStart, capacity, rate, capacity)
		now := testStart
		var charges []modelCharge
		var marks []Mark
		var settled []bool
		t.Repeat(map[string]func(*rapid.T){
			"pass": func(t *rapid.T) { now = now.Add(time.Duration(rapid.IntRange(0, 3).Draw(t, "s")) * time.Second) },
			"charge": func(t *rapid.T) {
				n := rapid.Int64Range(0, capacity).Draw(t, "n")
				if m, ok := b.Charge(now, n); ok {
					charges = append(charges, modelCharge{now, n})
					marks = append(marks, m)
					settled = append(settled, false)
				}
			},
			"settle": func(t *rapid.T) {
				if len(charges) == 0 {
					t.Skip("nothing to settle")
				}
				i := rapid.IntRange(0, len(charges)-1).Draw(t, "i")
				if settled[i] {
					t.Skip("settled")
				}
				settled[i] = true
				used := rapid.Int64Range(0, charges[i].used).Draw(t, "used")
				b.Refund(now, marks[i], charges[i].used-used)
				charges[i].used = used
			},
			"": func(t *rapid.T) {
				if got, want := b.Level(now), replayLevel(capacity, rate, charges, now); got != want {
					t.Fatalf("level %d, reference %d", got, want)
				}
			},
		})
	})
}

// modelSpend is usage admitted at one time.
type modelSpend struct {
	at time.Time
	n  int64
}

// checkWindows fails if the usage in any window exceeds capacity + rate*length.
func checkWindows(t *rapid.T, capacity, rate int64, spends []modelSpend) {
	for i := range spends {
		sum := int64(0)
		for j := i; j < len(spends); j++ {
			sum += spends[j].n
			if limit := capacity + rate*int64(spends[j].at.Sub(spends[i].at)/time.Second); sum > limit {
				t.Fatalf("usage %d in [%v, %v] exceeds the limit %d", sum, spends[i].at.Sub(testStart), spends[j].at.Sub(testStart), limit)
			}
		}
	}
}

// modelLoan is the borrower's view of a loan, which the bucket cannot observe:
// acknowledgements, returns and refunds may be late or lost.
type modelLoan struct {
	id         LoanID
	unspent    int64
	expires    time.Time
	spends     []int // indices into spends not refunded yet
	unreported int64
}

func TestLoansKeepEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.Int64Range(1, 40).Draw(t, "capacity")
		rate := rapid.Int64Range(0, 8).Draw(t, "rate")
		b := New(testStart, capacity, rate, capacity)
		now := testStart
		var spends []modelSpend
		var loans []*modelLoan
		pick := func(t *rapid.T) *modelLoan {
			if len(loans) == 0 {
				t.Skip("no loan")
			}
			return loans[rapid.IntRange(0, len(loans)-1).Draw(t, "loan")]
		}
		t.Repeat(map[string]func(*rapid.T){
			"pass": func(t *rapid.T) { now = now.Add(time.Duration(rapid.IntRange(1, 3).Draw(t, "s")) * time.Second) },
			"charge": func(t *rapid.T) {
				n := rapid.Int64Range(1, capacity).Draw(t, "n")
				m, ok := b.Charge(now, n)
				if !ok {
					return
				}
				used := rapid.Int64Range(0, n).Draw(t, "used")
				spends = append(spends, modelSpend{now, used})
				b.Refund(now, m, n-used)
			},
			"lend": func(t *rapid.T) {
				n := rapid.Int64Range(1, capacity).Draw(t, "n")
				id := LoanID{N: uint64(len(loans) + 1)}
				if b.Lend(now, id, n, 4*time.Second) {
					loans = append(loans, &modelLoan{id: id, unspent: n, expires: now.Add(4 * time.Second)})
				}
			},
			"spend": func(t *rapid.T) {
				l := pick(t)
				if l.unspent == 0 || !now.Before(l.expires) {
					t.Skip("over")
				}
				n := rapid.Int64Range(1, l.unspent).Draw(t, "n")
				l.unspent -= n
				l.unreported += n
				l.spends = append(l.spends, len(spends))
				spends = append(spends, modelSpend{now, n})
			},
			"acknowledge": func(t *rapid.T) {
				l := pick(t)
				b.Spend(now, l.id, l.unreported)
				l.unreported = 0
			},
			"return": func(t *rapid.T) {
				l := pick(t)
				b.Return(now, l.id, l.unspent)
				l.unspent = 0
			},
			"refund": func(t *rapid.T) {
				l := pick(t)
				if len(l.spends) == 0 {
					t.Skip("nothing spent")
				}
				s := &spends[l.spends[0]]
				l.spends = l.spends[1:]
				n := rapid.Int64Range(0, s.n).Draw(t, "n")
				s.n -= n
				b.RefundLoan(now, l.id, n, false)
			},
			"limits": func(t *rapid.T) { // lowers and restores the capacity, never above the initial one
				c := rapid.Int64Range(0, capacity).Draw(t, "c")
				b.SetLimits(now, c, rate)
				b.SetLimits(now, capacity, rate)
			},
			"": func(t *rapid.T) {
				b.advance(now)
				if b.level < 0 || b.lent < 0 || b.level+b.lent > max(capacity, b.lent) {
					t.Fatalf("level %d, lent %d, capacity %d", b.level, b.lent, capacity)
				}
				checkWindows(t, capacity, rate, spends)
			},
		})
	})
}

func TestLostLoanComesBackByRefill(t *testing.T) {
	b := New(testStart, 10, 5, 10)
	assert.Assert(t, b.Lend(testStart, LoanID{N: 1}, 10, 2*time.Second))
	assert.Assert(t, !b.Lend(testStart, LoanID{N: 1}, 0, time.Second))
	assert.Equal(t, b.Level(testStart.Add(time.Second)), int64(0)) // the capacity is still lent
	d, ok := b.TimeUntil(testStart.Add(time.Second), 5)
	assert.Assert(t, ok)
	assert.Equal(t, d, time.Second)
	assert.Equal(t, b.Level(testStart.Add(3*time.Second)), int64(5))
	assert.Equal(t, b.Level(testStart.Add(9*time.Second)), int64(10))
}

func TestBlockKeepsBucketEmpty(t *testing.T) {
	b := New(testStart, 10, 10, 0)
	b.BlockCapacity(testStart, LoanID{N: 1}, 10, 2*time.Second)
	assert.Equal(t, b.Level(testStart.Add(2*time.Second)), int64(0))
	assert.Equal(t, b.Level(testStart.Add(2500*time.Millisecond)), int64(5))
}

func TestHistoryStaysBounded(t *testing.T) {
	b := New(testStart, 1_000_000, 0, 1_000_000)
	for range 10 * maxSamples {
		b.Charge(testStart, 1)
	}
	assert.Assert(t, len(b.history.samples) <= maxSamples)
	for i := range 3 * maxRefundableLoans {
		id := LoanID{N: uint64(i)}
		b.Lend(testStart, id, 1, time.Second)
		b.Spend(testStart, id, 1)
	}
	assert.Assert(t, len(b.loans) <= maxRefundableLoans)
	assert.Assert(t, len(b.refundableLoans) <= maxRefundableLoans)
	later := testStart.Add(2 * maxRefundAge)
	id := LoanID{Borrower: 1}
	b.Lend(later, id, 1, time.Second)
	b.Spend(later, id, 1)
	assert.Equal(t, len(b.loans), 1) // expired loans have been evicted
}
