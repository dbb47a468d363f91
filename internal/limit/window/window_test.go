package window

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"carawayrouter.example/router/internal/config"
)

var (
	epoch   = time.Unix(5000, 0)
	account = &config.Account{Name: "paper", Rate: 1000, Burst: 1000}
)

const (
	span  = 8 * time.Second
	limit = 1000*8 + 1000
)

// spent is one request that was allowed.
type spent struct {
	at     time.Time
	tokens int
}

// most returns the largest sum in any window.
func most(all []spent) int {
	best := 0
	for i := range all {
		sum := 0
		for _, s := range all[i:] {
			if s.at.Sub(all[i].at) < span {
				sum += s.tokens
			}
		}
		best = max(best, sum)
	}
	return best
}

// Instances that hear each other keep the limit together in every window.
func TestFleetKeepsTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 4).Draw(t, "instances")
		names := []string{"i0", "i1", "i2", "i3"}[:n]
		fleet := make([]*Limiter, n)
		for i := range fleet {
			fleet[i] = New(span, Slack{}, time.Time{})
		}
		tell := func(now time.Time) {
			for i, l := range fleet {
				for j, name := range names {
					if i != j {
						l.UpdatePeer(now, name, 1, time.Hour, fleet[j].Usage(now))
					}
				}
			}
		}
		now := epoch
		tell(now)
		var all []spent
		for range rapid.IntRange(1, 300).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			tokens := rapid.IntRange(1, 3000).Draw(t, "tokens")
			if fleet[rapid.IntRange(0, n-1).Draw(t, "at")].Reserve(now, account, tokens, PlainCall).Allowed {
				all = append(all, spent{now, tokens})
			}
			tell(now)
		}
		if got := most(all); got > limit {
			t.Fatalf("%d tokens in a window, %d are allowed", got, limit)
		}
	})
}

// Parts of a fleet that do not hear each other keep the limit together.
func TestPartitionKeepsTheLimit(t *testing.T) {
	var fleet [2]*Limiter
	for i := range fleet {
		fleet[i] = New(span, Slack{}, time.Time{})
		fleet[i].UpdatePeer(epoch, []string{"i1", "i0"}[i], 1, time.Hour, nil)
	}
	var all []spent
	for ms := 2000; ms < 30000; ms += 20 {
		now := epoch.Add(time.Duration(ms) * time.Millisecond)
		if fleet[ms/20%2].Reserve(now, account, 200, PlainCall).Allowed {
			all = append(all, spent{now, 200})
		}
	}
	assert.Assert(t, most(all) <= limit, "%d", most(all))
	assert.Assert(t, most(all) > limit/2)
}

// All instances are killed at once after they spent everything: what they spent before
// still counts.
func TestRestartOfAllKeepsTheLimit(t *testing.T) {
	var all []spent
	run := func(from, to int, restart bool) {
		var fleet [3]*Limiter
		names := []string{"i0", "i1", "i2"}
		begin := epoch.Add(time.Duration(from) * time.Millisecond)
		for i := range fleet {
			at := time.Time{}
			if restart {
				at = begin
			}
			fleet[i] = New(span, Slack{}, at)
		}
		for ms := from; ms < to; ms += 10 {
			now := epoch.Add(time.Duration(ms) * time.Millisecond)
			for i := range fleet {
				for j, name := range names {
					if i != j {
						fleet[i].UpdatePeer(now, name, int64(from), now.Sub(begin), fleet[j].Usage(now))
					}
				}
			}
			if fleet[ms/10%3].Reserve(now, account, 300, PlainCall).Allowed {
				all = append(all, spent{now, 300})
			}
		}
	}
	run(0, 4000, false)
	run(4500, 20000, true)
	// What was spent before is assumed evenly over the window, so a burst just before the
	// kill leaves the part of the window that it did not fill.
	assert.Assert(t, most(all) <= limit+limit/2, "%d", most(all))
	late := 0
	for _, s := range all {
		if s.at.After(epoch.Add(12 * time.Second)) {
			late += s.tokens
		}
	}
	assert.Assert(t, late >= 6*1000, "the rate is granted again: %d", late)
}

// Tokens of requests that did not run are given back.
func TestReturn(t *testing.T) {
	l := New(span, Slack{}, time.Time{})
	assert.Assert(t, l.Reserve(epoch, account, limit, PlainCall).Allowed)
	d := l.Reserve(epoch, account, 1, PlainCall)
	assert.Assert(t, !d.Allowed && d.RetryAfter > 0)
	l.Refund(epoch, account.Name, 500)
	assert.Assert(t, l.Reserve(epoch, account, 500, PlainCall).Allowed)
}

// A flood of generations leaves the account its plain calls.
func TestFloodOfGenerationsLeavesPlainCalls(t *testing.T) {
	l := New(span, Slack{}, time.Time{})
	for l.Reserve(epoch, account, 300, Generation).Allowed {
	}
	served := 0
	for l.Reserve(epoch, account, 20, PlainCall).Allowed {
		served++
	}
	assert.Assert(t, served >= int(smallPart*limit/20), "%d", served)
	fresh := New(span, Slack{}, time.Time{})
	assert.Assert(t, fresh.Reserve(epoch, account, limit, Generation).Allowed, "one that takes the whole limit is not refused for ever")
}

// The slack is used beyond the limit, and told apart from it.
func TestSlack(t *testing.T) {
	l := New(span, Slack{Fraction: 0.1, Tokens: 1000}, time.Time{})
	d := l.Reserve(epoch, account, limit, PlainCall)
	assert.Assert(t, d.Allowed && !d.UsedSlack)
	d = l.Reserve(epoch, account, 100, PlainCall)
	assert.Assert(t, d.Allowed && d.UsedSlack)
	assert.Assert(t, !l.Reserve(epoch, account, limit/10+1000, PlainCall).Allowed)
}

// An account sends seven times its usual for a window, as prompts of a few thousand
// tokens. What it may have above its limit is served, and the users' bound is kept.
func TestFloodIsServedWithinTheSlack(t *testing.T) {
	const slackTokens = 4000
	bound := limit*11/10 + slackTokens
	served := func(slack Slack) int {
		l := New(span, slack, time.Time{})
		var all []spent
		for ms := 0; ms < 16000; ms += 50 {
			now := epoch.Add(time.Duration(ms) * time.Millisecond)
			if l.Reserve(now, account, 350, Generation).Allowed {
				all = append(all, spent{now, 350})
			}
		}
		assert.Assert(t, most(all) <= bound, "%d", most(all))
		return len(all)
	}
	with, without := served(Slack{Fraction: 0.1, Tokens: slackTokens}), served(Slack{})
	assert.Assert(t, with > without, "%d with the slack, %d without", with, without)
}

// A flood of generations of all sizes: the largest tenth is served at least half as often
// as all are, which the users ask for. By their own size they were refused in favour of
// smaller ones that fitted into what became free.
func TestFloodLeavesLargeGenerations(t *testing.T) {
	sizes := []int{200, 250, 300, 350, 400, 200, 250, 300, 350, 1500}
	l := New(span, Slack{}, time.Time{})
	asked, served := map[int]int{}, map[int]int{}
	random := rand.New(rand.NewPCG(7, 7))
	total := 0
	for i := range 4000 {
		tokens := sizes[random.IntN(len(sizes))]
		now := epoch.Add(time.Duration(i) * 20 * time.Millisecond)
		asked[tokens]++
		if l.Reserve(now, account, tokens, Generation).Allowed {
			served[tokens]++
			total++
		}
	}
	all := float64(total) / 4000
	largest := float64(served[1500]) / float64(asked[1500])
	assert.Assert(t, all < 0.5, "a flood: %.2f served", all)
	assert.Assert(t, largest >= all/2, "%.3f of the largest, %.3f of all", largest, all)
}
