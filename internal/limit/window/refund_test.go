package window

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// waiting is a request that was charged and whose outcome is not known yet.
type waiting struct {
	at      time.Time // of the charge
	until   time.Time
	limiter *Limiter
	tokens  int
	runs    bool
}

// replayRefunds offers requests to the limiters, of which some are refunded after they have waited for a place, and
// returns those that ran. Next returns the time until the next request, its limiter, tokens, time of waiting and
// whether it runs then.
func replayRefunds(fleet []*Limiter, exchange func(now time.Time), requests int, next func() (gap time.Duration, at, tokens int, wait time.Duration, runs bool)) (ran []charge) {
	now := epoch
	exchange(now)
	var queue []waiting
	for range requests {
		gap, at, tokens, wait, runs := next()
		now = now.Add(gap)
		rest := queue[:0]
		for _, w := range queue {
			switch {
			case w.until.After(now):
				rest = append(rest, w)
			case !w.runs:
				w.limiter.Refund(now, w.at, account.Name, w.tokens)
			}
		}
		queue = rest
		exchange(now)
		if d := fleet[at].Reserve(now, account, tokens, PlainCall); d.Allowed {
			queue = append(queue, waiting{now, now.Add(wait), fleet[at], tokens, runs})
			if runs {
				ran = append(ran, charge{now, tokens})
			}
		}
		exchange(now)
	}
	return ran
}

// fleetOf returns limiters that exchange updates.
func fleetOf(n int) (fleet []*Limiter, exchange func(now time.Time)) {
	names := []string{"i0", "i1", "i2", "i3"}[:n]
	fleet = make([]*Limiter, n)
	for i := range fleet {
		fleet[i] = New(windowLength, Slack{}, time.Time{})
	}
	return fleet, func(now time.Time) {
		for i, l := range fleet {
			for j, name := range names {
				if i != j {
					l.UpdatePeer(now, reportOf(now, name, 1, fleet[j]), accounts)
				}
			}
		}
	}
}

// An account floods full engines: its requests are charged, wait, and are refunded. What has drained of them
// meanwhile is not granted once more to those that run.
func TestRefundsOfAFloodKeepTheLimit(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	fleet, exchange := fleetOf(3)
	elapsed := time.Duration(0)
	ran := replayRefunds(fleet, exchange, 4000, func() (time.Duration, int, int, time.Duration, bool) {
		gap := 10 * time.Millisecond
		elapsed += gap
		full := elapsed%(16*time.Second) < 4*time.Second // the engines are full for some seconds
		return gap, rng.IntN(3), 100 + rng.IntN(300), 2700 * time.Millisecond, !full || rng.IntN(5) == 0
	})
	got := maxWindowSum(ran)
	assert.Assert(t, got <= windowLimit, "%d tokens ran in a window, %d are allowed", got, windowLimit)
	assert.Assert(t, got > windowLimit/2, "%d", got)
}

// Whatever is refunded at whatever time, the requests that run keep the limit.
func TestRefundsKeepTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 4).Draw(t, "instances")
		fleet, exchange := fleetOf(n)
		ran := replayRefunds(fleet, exchange, rapid.IntRange(1, 200).Draw(t, "requests"), func() (time.Duration, int, int, time.Duration, bool) {
			return time.Duration(rapid.IntRange(0, 300).Draw(t, "gap ms")) * time.Millisecond,
				rapid.IntRange(0, n-1).Draw(t, "at"),
				rapid.IntRange(1, 1000).Draw(t, "tokens"),
				time.Duration(rapid.IntRange(0, 6000).Draw(t, "wait ms")) * time.Millisecond,
				rapid.Bool().Draw(t, "runs")
		})
		if got := maxWindowSum(ran); got > windowLimit {
			t.Fatalf("%d tokens ran in a window, %d are allowed", got, windowLimit)
		}
	})
}
