package fairqueue

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"carawayrouter.example/router/internal/config"
)

var t0 = time.Unix(1_000_000, 0)

func entry(account string, weight, cost float64) *Entry[int] {
	return &Entry[int]{Account: account, Weight: weight, Cost: cost, Class: config.Interactive}
}

func always(*Entry[int], bool) bool { return true }

// TestBackloggedAccountsShareByWeight checks the fairness bound of start-time fair queuing:
// between any two continuously backlogged accounts, the service normalised by weight
// differs by at most one largest entry of each and the credit that they started with.
func TestBackloggedAccountsShareByWeight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := Default()
		cfg.Credit = float64(rapid.SampledFrom([]int{0, 0, 3000}).Draw(t, "credit"))
		q := New[int](cfg)
		n := rapid.IntRange(2, 6).Draw(t, "accounts")
		weights, largest := make([]float64, n), make([]float64, n)
		served := make([]float64, n)
		name := func(i int) string { return fmt.Sprintf("a%d", i) }
		push := func(i int) {
			cost := float64(rapid.IntRange(1, 5000).Draw(t, "cost"))
			largest[i] = max(largest[i], cost)
			e := entry(name(i), weights[i], cost)
			e.Value = i
			_, err := q.Push(e)
			assert.NilError(t, err)
		}
		for i := range n {
			weights[i] = float64(rapid.IntRange(1, 8).Draw(t, "weight"))
			push(i)
			push(i)
		}
		for range rapid.IntRange(20, 150).Draw(t, "rounds") {
			e := q.Next(t0, always)
			served[e.Value] += e.Cost
			push(e.Value)
			for i := range n {
				for j := range i {
					gap := math.Abs(served[i]/weights[i] - served[j]/weights[j])
					bound := largest[i]/weights[i] + largest[j]/weights[j]
					bound += math.Abs(cfg.Credit/weights[i] - cfg.Credit/weights[j])
					assert.Assert(t, gap <= bound+1e-6, "accounts %d and %d: gap %v above %v", i, j, gap, bound)
				}
			}
		}
	})
}

// TestFloodDelaysOthersByOneEntry checks that an entry waits for at most one entry of
// another account with a long backlog.
func TestFloodDelaysOthersByOneEntry(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New[int](Default())
		for range rapid.IntRange(10, 500).Draw(t, "flood") {
			_, err := q.Push(entry("flood", 1, 1000))
			assert.NilError(t, err)
		}
		for range rapid.IntRange(0, 9).Draw(t, "before") {
			q.Next(t0, always)
		}
		_, err := q.Push(entry("modest", 1, 1000))
		assert.NilError(t, err)
		ahead := 0
		for q.Next(t0, always).Account != "modest" {
			ahead++
		}
		assert.Assert(t, ahead <= 1, "%d entries of the flood went first", ahead)
	})
}

// TestCreditEvensOutBursts offers the load of two accounts in proportion to their weights
// and somewhat above capacity; that of the small account arrives in bursts. Without credit
// the small account would lose the share that it does not use between its bursts.
func TestCreditEvensOutBursts(t *testing.T) {
	servedWithCredit := func(credit float64) (served int) {
		cfg := Default()
		cfg.Credit = credit
		q := New[int](cfg)
		for i := range 4000 {
			_, _ = q.Push(entry("large", 9, 100))
			if i%100 == 0 { // a burst of ten in a hundred
				for range 10 {
					e := entry("small", 1, 100)
					e.Deadline = t0.Add(time.Duration(i+50) * time.Millisecond)
					_, _ = q.Push(e)
				}
			}
			now := t0.Add(time.Duration(i) * time.Millisecond)
			q.Expire(now)
			if q.Next(now, always).Account == "small" {
				served++
			}
		}
		return served
	}
	assert.Assert(t, servedWithCredit(0) < 300)
	assert.Assert(t, servedWithCredit(1000) >= 390, "%d of 400", servedWithCredit(1000))
}

func TestPatientEntriesGetGuaranteedShare(t *testing.T) {
	q := New[int](Default())
	patient := 0
	const rounds = 1000
	for range rounds {
		for range 2 {
			_, _ = q.Push(entry("i", 1, 100))
			p := entry("p", 1, 100)
			p.Class = config.Patient
			_, _ = q.Push(p)
		}
		if q.Next(t0, always).Class == config.Patient {
			patient++
		}
	}
	share := float64(patient) / rounds
	assert.Assert(t, share >= 0.045 && share <= 0.06, "patient share %v", share)
}

// TestOnTimeEntriesPrecedeLateOnes checks an overload in which FIFO order would serve
// only entries that have missed their latency target.
func TestOnTimeEntriesPrecedeLateOnes(t *testing.T) {
	q := New[int](Default())
	now, served, onTime := t0, 0, 0
	for i := range 2000 {
		e := entry("a", 1, 100)
		e.Due = now.Add(time.Second)
		e.Deadline = now.Add(time.Minute)
		_, _ = q.Push(e)
		if i%2 == 0 { // twice as much arrives as is served
			served++
			if !q.Next(now, always).Due.Before(now) {
				onTime++
			}
		}
		now = now.Add(10 * time.Millisecond)
	}
	assert.Assert(t, onTime*100 >= served*90, "%d of %d served on time", onTime, served)
}

func TestBoundsAndEviction(t *testing.T) {
	cfg := Default()
	cfg.MaxEntries, cfg.MaxPerAccount = 10, 8
	q := New[int](cfg)
	for range 8 {
		_, err := q.Push(entry("big", 1, 1))
		assert.NilError(t, err)
	}
	_, err := q.Push(entry("big", 1, 1))
	assert.ErrorIs(t, err, ErrFull)
	for range 4 {
		_, err = q.Push(entry("small", 1, 1))
		assert.NilError(t, err)
	}
	assert.Equal(t, q.Len(), 10)
	assert.Equal(t, q.accounts["small"], 4, "entries of the account with the most entries are evicted")
	_, _ = q.Push(entry("small", 1, 1))
	_, err = q.Push(entry("small", 1, 1))
	assert.ErrorIs(t, err, ErrFull, "no entry is evicted for an account with as many entries")
}

// TestQueueMatchesModel compares a queue with a simple model over random operations.
func TestQueueMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := Default()
		cfg.MaxEntries = 20
		q := New[int](cfg)
		now := t0
		waiting := map[*Entry[int]]bool{}
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				e := entry(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "account"), 1, float64(rapid.IntRange(1, 9).Draw(t, "cost")))
				e.Class = rapid.SampledFrom([]config.Class{config.Interactive, config.Patient}).Draw(t, "class")
				e.Due = now.Add(time.Duration(rapid.IntRange(0, 5).Draw(t, "due")) * time.Second)
				e.Deadline = now.Add(time.Duration(rapid.IntRange(0, 9).Draw(t, "deadline")) * time.Second)
				evicted, err := q.Push(e)
				delete(waiting, evicted)
				if err == nil {
					waiting[e] = true
				}
			},
			"next": func(t *rapid.T) {
				odd := rapid.Bool().Draw(t, "odd")
				e := q.Next(now, func(e *Entry[int], _ bool) bool { return !odd || int(e.Cost)%2 == 1 })
				if e == nil && !odd {
					assert.Equal(t, len(waiting), 0)
				}
				if e != nil {
					assert.Assert(t, waiting[e])
					delete(waiting, e)
				}
			},
			"remove": func(t *rapid.T) {
				for e := range waiting {
					assert.Assert(t, q.Remove(e))
					assert.Assert(t, !q.Remove(e))
					delete(waiting, e)
					return
				}
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
				for _, e := range q.Expire(now) {
					assert.Assert(t, waiting[e] && e.Deadline.Before(now))
					delete(waiting, e)
				}
				for e := range waiting {
					assert.Assert(t, !e.Deadline.Before(now), "entry outlived its deadline")
				}
			},
			"": func(t *rapid.T) {
				assert.Equal(t, q.Len(), len(waiting))
				q.Each(func(e *Entry[int]) { assert.Assert(t, waiting[e]) })
			},
		})
	})
}

// TestFitsReportsStarvation checks that fits is told that an entry is starved, once the
// entry has been overtaken often enough because it never fits.
func TestFitsReportsStarvation(t *testing.T) {
	q := New[int](Default())
	_, _ = q.Push(entry("large", 1, 1e6))
	reported := false
	for range 2 * q.cfg.MaxSkips {
		_, _ = q.Push(entry("small", 1, 1))
		q.Next(t0, func(e *Entry[int], starved bool) bool {
			reported = reported || e.Account == "large" && starved
			return e.Account != "large"
		})
	}
	assert.Assert(t, reported)
}
