package callqueue

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1_700_000_000, 0)

const patience = time.Second

func call(account string, rank int) *Call {
	return &Call{Pool: "desk", Account: account, Rank: rank, Due: start.Add(300 * time.Millisecond), LastStart: start.Add(patience)}
}

func enter(t *testing.T, q *Queue, now time.Time, calls ...*Call) {
	t.Helper()
	for _, c := range calls {
		_, _, ok := q.Enter(now, c)
		assert.Assert(t, ok)
	}
}

// served returns the calls in the order in which n free places serve them.
func served(q *Queue, now time.Time, n int) (out []*Call) {
	q.Serve(now, func(c *Call) bool {
		if len(out) == n {
			return false
		}
		out = append(out, c)
		return true
	})
	return out
}

// Better ranks go first; within a rank those that can still be on time; then accounts in turn.
func TestOrder(t *testing.T) {
	q := New(Limits{100, 1000})
	lower, late, onTime, urgent := call("a", 2), call("a", 1), call("a", 1), call("a", 0)
	late.Due, late.LastStart = start.Add(-time.Second), start.Add(time.Millisecond)
	enter(t, q, start, lower, late, onTime, urgent)
	got := served(q, start, 9)
	for i, want := range []*Call{urgent, onTime, late, lower} {
		assert.Assert(t, got[i] == want, "%d", i)
	}
}

// One account sends eight times as much as the other: it gets every second place while both wait.
func TestAccountsTakeTurns(t *testing.T) {
	q := New(Limits{100, 1000})
	for range 8 {
		enter(t, q, start, call("many", 0))
	}
	for range 4 {
		enter(t, q, start, call("few", 0))
	}
	counts := map[string]int{}
	for _, c := range served(q, start, 8) {
		counts[c.Account]++
	}
	assert.DeepEqual(t, counts, map[string]int{"many": 4, "few": 4})
	assert.Equal(t, q.Len(), 4)
}

// Places become free at 20 a second: those that come when 30 wait would wait for 1.5 s, and are told so at once.
func TestCallThatWouldWaitInVainIsRefusedAtOnce(t *testing.T) {
	q := New(Limits{100, 1000})
	q.add(&Call{Pool: "desk", Account: "a", entered: start.Add(-2 * time.Second)})
	for now := start.Add(-2 * time.Second); now.Before(start); now = now.Add(50 * time.Millisecond) {
		q.got(now, "desk")
	}
	for range 14 {
		enter(t, q, start, call("a", 0))
	}
	for range 30 {
		q.add(call("a", 0))
	}
	_, retryAfter, ok := q.Enter(start, call("a", 0))
	assert.Assert(t, !ok && retryAfter > patience, "%v", retryAfter)
	_, _, ok = q.Enter(start, call("a", -1))
	assert.Assert(t, ok, "it goes first")
	_, _, ok = q.Enter(start, call("b", 0))
	assert.Assert(t, ok, "its account's turn comes")
	other := call("a", 0)
	other.Pool = "another"
	_, _, ok = q.Enter(start, other)
	assert.Assert(t, ok, "nothing is known of its pool")
}

// A call that can no longer end in time does not enter, and leaves when that time comes.
func TestCallsLeaveInTime(t *testing.T) {
	q := New(Limits{100, 1000})
	enter(t, q, start, call("a", 0))
	assert.Equal(t, len(q.Expire(start.Add(patience))), 0)
	_, _, ok := q.Enter(start.Add(patience), call("a", 0))
	assert.Assert(t, !ok)
	assert.Equal(t, len(q.Expire(start.Add(patience+1))), 1)
	assert.Equal(t, q.Len(), 0)
}

// A full queue refuses the last call of the account with the most, and of the worst rank first.
func TestFullQueueRefusesTheAccountWithTheMost(t *testing.T) {
	q := New(Limits{3, 1000})
	first, last, few := call("many", 0), call("many", 0), call("few", 0)
	enter(t, q, start, first, last, few)
	evicted, _, ok := q.Enter(start, call("third", 0))
	assert.Assert(t, ok && evicted == last)
	_, _, ok = q.Enter(start, call("third", 1))
	assert.Assert(t, !ok, "it has the worst rank itself")
	assert.Equal(t, q.Len(), 3)
}

// One call leaves a queue of a pool that is left out by others: it does not hold up those behind it.
func TestCallThatFitsNowhereHoldsUpNobody(t *testing.T) {
	q := New(Limits{100, 1000})
	stuck, next := call("a", 0), call("b", 1)
	enter(t, q, start, stuck, next)
	var got []*Call
	q.Serve(start, func(c *Call) bool {
		if c == stuck {
			return false
		}
		got = append(got, c)
		return true
	})
	assert.Assert(t, len(got) == 1 && got[0] == next)
}

// Whatever comes and goes, the queue stays within its bounds, keeps nothing of accounts that do not wait, and no call is both
// waiting and gone.
func TestQueueIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := Limits{rapid.IntRange(1, 8).Draw(t, "calls"), rapid.IntRange(10, 200).Draw(t, "bytes")}
		q := New(l)
		now := start
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0, 1, 2:
				c := call(fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "account")), rapid.IntRange(0, 2).Draw(t, "rank"))
				c.Bytes = rapid.IntRange(0, 100).Draw(t, "size")
				c.Due, c.LastStart = now.Add(300*time.Millisecond), now.Add(patience)
				q.Enter(now, c)
			case 3:
				served(q, now, 1)
			case 4:
				q.Expire(now)
			}
			bytes, accounts := 0, map[string]bool{}
			for _, c := range q.waiting {
				bytes += c.Bytes
				accounts[c.Account] = true
			}
			assert.Assert(t, q.Len() <= l.Calls && bytes <= l.Bytes && bytes == q.bytes)
			assert.Equal(t, len(q.served), len(accounts))
			assert.Equal(t, len(q.freed), min(1, len(q.waiting)))
		}
		n := q.Len()
		assert.Equal(t, len(q.Clear()), n)
		assert.Equal(t, q.Len()+q.bytes+len(q.served), 0)
	})
}
