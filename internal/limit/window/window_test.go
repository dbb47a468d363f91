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

	accounts = map[string]*config.Account{account.Name: account}
)

const (
	windowLength = 8 * time.Second
	windowLimit  = 1000*8 + 1000
)

// reportOf returns what an instance with the limiter sends to the others.
func reportOf(now time.Time, name string, incarnation int64, l *Limiter) Report {
	return Report{Instance: name, Incarnation: incarnation, KnownFor: l.KnownFor(now), Complete: true, Usage: l.Usage(now, true)}
}

// charge is a request that was allowed.
type charge struct {
	at     time.Time
	tokens int
}

// maxWindowSum returns the largest sum in any window.
func maxWindowSum(charges []charge) int {
	best := 0
	for i := range charges {
		sum := 0
		for _, s := range charges[i:] {
			if s.at.Sub(charges[i].at) < windowLength {
				sum += s.tokens
			}
		}
		best = max(best, sum)
	}
	return best
}

// Instances that exchange updates keep the limit together in every window.
func TestFleetKeepsTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 4).Draw(t, "instances")
		names := []string{"i0", "i1", "i2", "i3"}[:n]
		fleet := make([]*Limiter, n)
		for i := range fleet {
			fleet[i] = New(windowLength, Slack{}, time.Time{})
		}
		exchange := func(now time.Time) {
			for i, l := range fleet {
				for j, name := range names {
					if i != j {
						l.UpdatePeer(now, reportOf(now, name, 1, fleet[j]), accounts)
					}
				}
			}
		}
		now := epoch
		exchange(now)
		var all []charge
		for range rapid.IntRange(1, 300).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			tokens := rapid.IntRange(1, 3000).Draw(t, "tokens")
			if fleet[rapid.IntRange(0, n-1).Draw(t, "at")].Reserve(now, account, tokens, PlainCall).Allowed {
				all = append(all, charge{now, tokens})
			}
			exchange(now)
		}
		if got := maxWindowSum(all); got > windowLimit {
			t.Fatalf("%d tokens in a window, %d are allowed", got, windowLimit)
		}
	})
}

// The sides of a network partition keep the limit together.
func TestPartitionKeepsTheLimit(t *testing.T) {
	var fleet [2]*Limiter
	for i := range fleet {
		fleet[i] = New(windowLength, Slack{}, time.Time{})
		fleet[i].UpdatePeer(epoch, Report{Instance: []string{"i1", "i0"}[i], Incarnation: 1, KnownFor: time.Hour}, accounts)
	}
	var all []charge
	for ms := 2000; ms < 30000; ms += 20 {
		now := epoch.Add(time.Duration(ms) * time.Millisecond)
		if fleet[ms/20%2].Reserve(now, account, 200, PlainCall).Allowed {
			all = append(all, charge{now, 200})
		}
	}
	assert.Assert(t, maxWindowSum(all) <= windowLimit, "%d", maxWindowSum(all))
	assert.Assert(t, maxWindowSum(all) > windowLimit/2)
}

// The usage before a simultaneous restart of all instances still counts, although none of
// them has a record of it.
func TestRestartOfAllKeepsTheLimit(t *testing.T) {
	var all []charge
	run := func(from, to int, restart bool) {
		var fleet [3]*Limiter
		names := []string{"i0", "i1", "i2"}
		begin := epoch.Add(time.Duration(from) * time.Millisecond)
		for i := range fleet {
			at := time.Time{}
			if restart {
				at = begin
			}
			fleet[i] = New(windowLength, Slack{}, at)
		}
		for ms := from; ms < to; ms += 10 {
			now := epoch.Add(time.Duration(ms) * time.Millisecond)
			for i := range fleet {
				for j, name := range names {
					if i != j {
						fleet[i].UpdatePeer(now, reportOf(now, name, int64(from)+1, fleet[j]), accounts)
					}
				}
			}
			if fleet[ms/10%3].Reserve(now, account, 300, PlainCall).Allowed {
				all = append(all, charge{now, 300})
			}
		}
	}
	run(0, 4000, false)
	run(4500, 20000, true)
	assert.Assert(t, maxWindowSum(all) <= windowLimit, "%d", maxWindowSum(all))
	late := 0
	for _, s := range all {
		if s.at.After(epoch.Add(12 * time.Second)) {
			late += s.tokens
		}
	}
	assert.Assert(t, late >= 6*1000, "the rate is granted again: %d", late)
}

// Tokens of requests that did not run are available again.
func TestRefund(t *testing.T) {
	l := New(windowLength, Slack{}, time.Time{})
	assert.Assert(t, l.Reserve(epoch, account, 500, PlainCall).Allowed)
	assert.Assert(t, l.Reserve(epoch, account, int(account.Burst)-500, PlainCall).Allowed)
	d := l.Reserve(epoch, account, 1, PlainCall)
	assert.Assert(t, !d.Allowed && d.RetryAfter > 0)
	l.Refund(epoch, epoch, account.Name, 500)
	assert.Assert(t, l.Reserve(epoch, account, 500, PlainCall).Allowed)
	assert.Assert(t, !l.Reserve(epoch, account, 1, PlainCall).Allowed)
}

// Tokens that have drained are not returned: others may have used them since.
func TestDrainedTokensAreNotRefunded(t *testing.T) {
	l := New(windowLength, Slack{}, time.Time{})
	assert.Assert(t, l.Reserve(epoch, account, 500, PlainCall).Allowed)
	now := epoch.Add(2 * time.Second)
	assert.Assert(t, l.Reserve(now, account, int(account.Burst), PlainCall).Allowed)
	l.Refund(now, epoch, account.Name, 500)
	assert.Assert(t, !l.Reserve(now, account, 1, PlainCall).Allowed)
}

// A request larger than the burst is granted after enough idle time, and then nothing until the
// excess has drained.
func TestRequestLargerThanTheBurst(t *testing.T) {
	l := New(windowLength, Slack{}, time.Time{})
	assert.Assert(t, l.Reserve(epoch, account, 4*int(account.Burst), PlainCall).Allowed)
	assert.Assert(t, !l.Reserve(epoch.Add(3*time.Second), account, 1, PlainCall).Allowed)
	now := epoch.Add(4100 * time.Millisecond)
	assert.Assert(t, !l.Reserve(now, account, 2*int(account.Burst), PlainCall).Allowed)
	assert.Assert(t, l.Reserve(now.Add(time.Second), account, 2*int(account.Burst), PlainCall).Allowed)
}

// The idle time that a large request needs ends with the usage that another instance reports,
// also at the same instant.
func TestReportedUsageEndsTheIdleTime(t *testing.T) {
	l, other := New(windowLength, Slack{}, time.Time{}), New(windowLength, Slack{}, time.Time{})
	assert.Assert(t, other.Reserve(epoch, account, int(account.Burst), PlainCall).Allowed)
	l.UpdatePeer(epoch, Report{Instance: "other", Incarnation: 1, KnownFor: time.Hour}, accounts)
	l.UpdatePeer(epoch, reportOf(epoch, "other", 1, other), accounts)
	assert.Assert(t, !l.Reserve(epoch, account, 3*int(account.Burst), PlainCall).Allowed)
}

// An instance comes back after a network partition in which an account that it had used was
// forgotten and the fleet grew.
func TestReportAfterAnAccountWasForgotten(t *testing.T) {
	l, other := New(windowLength, Slack{}, time.Time{}), New(windowLength, Slack{}, time.Time{})
	assert.Assert(t, other.Reserve(epoch, account, int(account.Burst), PlainCall).Allowed)
	l.UpdatePeer(epoch, reportOf(epoch, "other", 1, other), accounts)
	now := epoch
	for range 5 {
		now = now.Add(windowLength)
		l.Usage(now, true)
	}
	assert.Equal(t, len(l.accounts), 0)
	l.UpdatePeer(now, Report{Instance: "joined", Incarnation: 1, KnownFor: time.Hour}, accounts)
	assert.Assert(t, other.Reserve(now, account, int(account.Burst), PlainCall).Allowed)
	l.UpdatePeer(now.Add(time.Second), reportOf(now, "other", 1, other), accounts)
	assert.Assert(t, !l.Reserve(now.Add(time.Second), account, int(account.Burst), PlainCall).Allowed)
}

// A flood of generations leaves the account enough tokens for its plain calls.
func TestFloodOfGenerationsLeavesPlainCalls(t *testing.T) {
	l := New(windowLength, Slack{}, time.Time{})
	for l.Reserve(epoch, account, 300, Generation).Allowed {
	}
	served := 0
	for l.Reserve(epoch, account, 20, PlainCall).Allowed {
		served++
	}
	assert.Assert(t, served >= int(plainCallReserve*windowLimit/20), "%d", served)
	fresh := New(windowLength, Slack{}, time.Time{})
	assert.Assert(t, fresh.Reserve(epoch, account, windowLimit, Generation).Allowed, "a request of the size of the whole limit is not refused for ever")
}

// Requests above the limit are served from the slack and marked as such.
func TestSlack(t *testing.T) {
	l := New(windowLength, Slack{Fraction: 0.1, Tokens: 1000}, time.Time{})
	d := l.Reserve(epoch, account, windowLimit-int(account.Burst), PlainCall)
	assert.Assert(t, d.Allowed && !d.UsedSlack, "within the rate after a window without use")
	now := epoch.Add(2 * windowLength)
	d = l.Reserve(now, account, int(account.Burst), PlainCall)
	assert.Assert(t, d.Allowed && !d.UsedSlack)
	d = l.Reserve(now, account, 100, PlainCall)
	assert.Assert(t, d.Allowed && d.UsedSlack)
	assert.Assert(t, !l.Reserve(now, account, windowLimit/10+1000, PlainCall).Allowed)
}

// An account sends seven times its usual load for two windows. More is served with
// the slack than without, and the users' bound on the sum in a window is kept.
func TestFloodIsServedWithinTheSlack(t *testing.T) {
	const slackTokens = 4000
	bound := windowLimit*11/10 + slackTokens
	served := func(slack Slack) int {
		l := New(windowLength, slack, time.Time{})
		var all []charge
		for ms := 0; ms < 16000; ms += 50 {
			now := epoch.Add(time.Duration(ms) * time.Millisecond)
			if l.Reserve(now, account, 350, Generation).Allowed {
				all = append(all, charge{now, 350})
			}
		}
		assert.Assert(t, maxWindowSum(all) <= bound, "%d", maxWindowSum(all))
		return len(all)
	}
	with, without := served(Slack{Fraction: 0.1, Tokens: slackTokens}), served(Slack{})
	assert.Assert(t, with > without, "%d with the slack, %d without", with, without)
}

// In a flood of generations of all sizes, the largest tenth is served at least half as often
// as the average, as the users require. When generations were admitted by their own size,
// smaller ones took the capacity that became free and the largest were refused.
func TestFloodLeavesLargeGenerations(t *testing.T) {
	sizes := []int{200, 250, 300, 350, 400, 200, 250, 300, 350, 1500}
	l := New(windowLength, Slack{}, time.Time{})
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

// An account floods with generations of a lower rank. Those of a better rank that it sends beside them are admitted within its limit, and the
// lower ones still use the rest of its rate.
func TestFloodOfALowerRankLeavesTheBetterOne(t *testing.T) {
	play := func(lower RequestKind) (better, lowerTokens int) {
		l := New(8*time.Second, Slack{Tokens: 20_000}, time.Time{})
		a := &config.Account{Name: "a", Rate: 10_000, Burst: 40_000}
		now := time.Unix(1_700_000_000, 0)
		for i := range 2000 {
			now = now.Add(10 * time.Millisecond)
			if l.Reserve(now, a, 1000, lower).Allowed {
				lowerTokens += 1000
			}
			if i%25 == 0 {
				if d := l.Reserve(now, a, 1000, Generation); d.Allowed && !d.UsedSlack {
					better++
				}
			}
		}
		return better, lowerTokens
	}
	before, lowerBefore := play(Generation)
	after, lowerAfter := play(LowerGeneration)
	t.Logf("admitted of 80 of the better rank %d, %d; tokens of the lower one %d, %d", before, after, lowerBefore, lowerAfter)
	assert.Equal(t, after, 80)
	assert.Assert(t, before < 60)
	assert.Assert(t, lowerAfter+1000*after >= 10_000*20)
}
