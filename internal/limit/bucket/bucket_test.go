package bucket

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

// charge is one charge of the reference model.
type charge struct {
	at   time.Time
	used int64
}

// level replays charges on a plain bucket that was full at start.
func replay(capacity, rate int64, charges []charge, now time.Time) int64 {
	b := New(start, capacity, rate, capacity)
	for _, c := range charges {
		b.fill(c.at)
		b.level -= c.used
	}
	b.fill(now)
	return b.level
}

// A bucket with refunds equals, at every step, one charged the smaller amounts
// from the start.
func TestRefundsEqualSmallerCharges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.Int64Range(1, 50).Draw(t, "capacity")
		rate := rapid.Int64Range(0, 10).Draw(t, "rate")
		b := New(start, capacity, rate, capacity)
		now := start
		var charges []charge
		var marks []Mark
		var settled []bool
		t.Repeat(map[string]func(*rapid.T){
			"pass": func(t *rapid.T) { now = now.Add(time.Duration(rapid.IntRange(0, 3).Draw(t, "s")) * time.Second) },
			"charge": func(t *rapid.T) {
				n := rapid.Int64Range(0, capacity).Draw(t, "n")
				if m, ok := b.Charge(now, n); ok {
					charges = append(charges, charge{now, n})
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
				if got, want := b.Level(now), replay(capacity, rate, charges, now); got != want {
					t.Fatalf("level %d, reference %d", got, want)
				}
			},
		})
	})
}

// spend is use admitted at one moment.
type spend struct {
	at time.Time
	n  int64
}

// checkWindows fails if any window holds more use than capacity + rate*length.
func checkWindows(t *rapid.T, capacity, rate int64, spends []spend) {
	for i := range spends {
		sum := int64(0)
		for j := i; j < len(spends); j++ {
			sum += spends[j].n
			if limit := capacity + rate*int64(spends[j].at.Sub(spends[i].at)/time.Second); sum > limit {
				t.Fatalf("use %d in [%v, %v], allowed %d", sum, spends[i].at.Sub(start), spends[j].at.Sub(start), limit)
			}
		}
	}
}

// loanModel is a borrower as the bucket cannot see it: its acknowledgements,
// returns and refunds may be late or lost.
type loanModel struct {
	id      LoanID
	left    int64
	expires time.Time
	spends  []int // indices into spends not refunded yet
	unacked int64
}

func TestLoansKeepEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.Int64Range(1, 40).Draw(t, "capacity")
		rate := rapid.Int64Range(0, 8).Draw(t, "rate")
		b := New(start, capacity, rate, capacity)
		now := start
		var spends []spend
		var loans []*loanModel
		pick := func(t *rapid.T) *loanModel {
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
				spends = append(spends, spend{now, used})
				b.Refund(now, m, n-used)
			},
			"lend": func(t *rapid.T) {
				n := rapid.Int64Range(1, capacity).Draw(t, "n")
				id := LoanID{N: uint64(len(loans) + 1)}
				if b.Lend(now, id, n, 4*time.Second) {
					loans = append(loans, &loanModel{id: id, left: n, expires: now.Add(4 * time.Second)})
				}
			},
			"spend": func(t *rapid.T) {
				l := pick(t)
				if l.left == 0 || !now.Before(l.expires) {
					t.Skip("over")
				}
				n := rapid.Int64Range(1, l.left).Draw(t, "n")
				l.left -= n
				l.unacked += n
				l.spends = append(l.spends, len(spends))
				spends = append(spends, spend{now, n})
			},
			"acknowledge": func(t *rapid.T) {
				l := pick(t)
				b.Spend(now, l.id, l.unacked)
				l.unacked = 0
			},
			"return": func(t *rapid.T) {
				l := pick(t)
				b.Return(now, l.id, l.left)
				l.left = 0
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
			"limits": func(t *rapid.T) { // lower and back; never above the first
				c := rapid.Int64Range(0, capacity).Draw(t, "c")
				b.SetLimits(now, c, rate)
				b.SetLimits(now, capacity, rate)
			},
			"": func(t *rapid.T) {
				b.advance(now)
				if b.level < 0 || b.out < 0 || b.level+b.out > max(capacity, b.out) {
					t.Fatalf("level %d, lent %d, capacity %d", b.level, b.out, capacity)
				}
				checkWindows(t, capacity, rate, spends)
			},
		})
	})
}

func TestLostLoanComesBackByRefill(t *testing.T) {
	b := New(start, 10, 5, 10)
	assert.Assert(t, b.Lend(start, LoanID{N: 1}, 10, 2*time.Second))
	assert.Assert(t, !b.Lend(start, LoanID{N: 1}, 0, time.Second))
	assert.Equal(t, b.Level(start.Add(time.Second)), int64(0)) // capacity is lent
	d, ok := b.TimeUntil(start.Add(time.Second), 5)
	assert.Assert(t, ok)
	assert.Equal(t, d, time.Second)
	assert.Equal(t, b.Level(start.Add(3*time.Second)), int64(5))
	assert.Equal(t, b.Level(start.Add(9*time.Second)), int64(10))
}

func TestBlockKeepsBucketEmpty(t *testing.T) {
	b := New(start, 10, 10, 0)
	b.BlockCapacity(start, LoanID{N: 1}, 10, 2*time.Second)
	assert.Equal(t, b.Level(start.Add(2*time.Second)), int64(0))
	assert.Equal(t, b.Level(start.Add(2500*time.Millisecond)), int64(5))
}

func TestHistoryStaysBounded(t *testing.T) {
	b := New(start, 1_000_000, 0, 1_000_000)
	for range 10 * maxSamples {
		b.Charge(start, 1)
	}
	assert.Assert(t, len(b.history.samples) <= maxSamples)
	for i := range 3 * maxRecords {
		id := LoanID{N: uint64(i)}
		b.Lend(start, id, 1, time.Second)
		b.Spend(start, id, 1)
	}
	assert.Assert(t, len(b.loans) <= maxRecords)
	assert.Assert(t, len(b.closed) <= maxRecords)
	later := start.Add(2 * maxAge)
	id := LoanID{Borrower: 1}
	b.Lend(later, id, 1, time.Second)
	b.Spend(later, id, 1)
	assert.Equal(t, len(b.loans), 1) // the old ones are forgotten
}
