package escrow

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"carawayrouter.example/router/internal/clock"
	"carawayrouter.example/router/internal/config"
	"carawayrouter.example/router/internal/limit"
	"carawayrouter.example/router/internal/limit/baseline"
	"carawayrouter.example/router/internal/limit/bucket"
	"carawayrouter.example/router/internal/member"
)

// nine is a member.Source of a fleet of nine.
type nineMembers struct{}

func (nineMembers) View() *member.View { return &member.View{Peers: make([]member.Session, 8)} }

// demand is the open-loop demand of one account.
type demand struct {
	account    *config.Account
	tokens     int           // reserved by each request; it uses half on average
	interval   time.Duration // mean time between arrivals
	nodeCount  int           // first nodes of the fleet that it arrives at
	withinRate bool
}

// demands has an account spread evenly, one that arrives at one data centre, one whose
// prompt is larger than any share of its burst, and one at five times its rate.
var demands = []demand{
	{testAccount("even", 1000, 4000), 200, 220 * time.Millisecond, 9, true},
	{testAccount("skewed", 1000, 4000), 200, 220 * time.Millisecond, 3, true},
	{testAccount("small", 200, 1000), 800, 5 * time.Second, 9, true},
	{testAccount("flood", 1000, 4000), 200, 20 * time.Millisecond, 9, false},
}

// outcome is what a policy made of one demand.
type outcome struct {
	requests, refused int
	// wrongful counts requests of accounts within their rate that were refused
	// although one bucket for the fleet, charged with all that was admitted, had the
	// tokens.
	wrongfulRefusals int
	tokens           float64
	excess           float64
	waits            []time.Duration
}

func compare(seed uint64, policy string, latency time.Duration) (byAccount map[string]*outcome, w *cluster) {
	var accounts []*config.Account
	for _, d := range demands {
		accounts = append(accounts, d.account)
	}
	w = newWorld(threeDCs, 3, accounts...)
	defer w.stop()
	w.table.delay = latency
	for _, n := range w.nodes {
		n.reserver = limiterFor(policy, w, n)
	}
	byAccount = map[string]*outcome{}
	var wg sync.WaitGroup
	for i, d := range demands {
		o := &outcome{}
		byAccount[d.account.Name] = o
		wg.Go(func() { w.runDemand(d, o, rand.New(rand.NewPCG(seed, uint64(i)))) })
	}
	wg.Wait()
	for _, d := range demands {
		o := byAccount[d.account.Name]
		o.excess, o.tokens = w.excess(d.account.Name, d.account.Rate, d.account.Burst)
	}
	return byAccount, w
}

func limiterFor(policy string, w *cluster, n *node) limit.Limiter {
	switch policy {
	case "per-instance":
		return baseline.NewPerInstance(w, nineMembers{}, clock.Real{})
	case "table":
		return baseline.NewTablePerRequest(w, w.table, clock.Real{})
	case "unlimited":
		return baseline.Unlimited{}
	}
	return n.limiter
}

// demand makes the requests of 30 seconds.
func (w *cluster) runDemand(d demand, o *outcome, rng *rand.Rand) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	begun := time.Now()
	whole := bucket.New(begun, toMicroTokens(d.account.Burst), toMicroTokens(d.account.Rate), toMicroTokens(d.account.Burst))
	for end := begun.Add(30 * time.Second); time.Now().Before(end); {
		time.Sleep(time.Duration(rng.ExpFloat64() * float64(d.interval)))
		n := w.nodes[rng.IntN(d.nodeCount)]
		used, life := rng.IntN(d.tokens+1), time.Duration(rng.IntN(2000))*time.Millisecond
		wg.Go(func() {
			begun := time.Now()
			r, u, err := n.reserve(d.account.Name, d.tokens, time.Second)
			mu.Lock()
			need := toMicroTokens(float64(d.tokens))
			mark, within := whole.Charge(time.Now(), need)
			if err != nil && within {
				whole.Refund(time.Now(), mark, need)
			}
			o.requests++
			o.waits = append(o.waits, time.Since(begun))
			if err != nil {
				o.refused++
				if within && d.withinRate {
					o.wrongfulRefusals++
				}
			}
			mu.Unlock()
			if err == nil {
				time.Sleep(life)
				n.settle(r, u, used)
				mu.Lock()
				whole.Refund(time.Now(), mark, need-toMicroTokens(float64(used)))
				mu.Unlock()
			}
		})
	}
	wg.Wait()
}

// TestCompareWithBaselines prints the table of docs/design/rates.md.
func TestCompareWithBaselines(t *testing.T) {
	t.Logf("%-12s %-7s %8s %8s %8s %8s %8s %9s %9s", "policy", "account", "requests", "refused", "wrongly", "tokens", "excess", "wait p50", "wait p99")
	for _, policy := range []string{"escrow", "per-instance", "table", "unlimited"} {
		runInBubble(t, func(t *testing.T) {
			results, w := compare(1, policy, 2*time.Millisecond)
			requests := 0
			for _, d := range demands {
				o := results[d.account.Name]
				requests += o.requests
				slices.Sort(o.waits)
				t.Logf("%-12s %-7s %8d %8d %8d %8.0f %8.0f %9v %9v", policy, d.account.Name, o.requests, o.refused, o.wrongfulRefusals, o.tokens, o.excess,
					o.waits[len(o.waits)/2].Round(time.Millisecond), o.waits[len(o.waits)*99/100].Round(time.Millisecond))
				if policy == "escrow" {
					assert.Equal(t, o.excess, 0.0)
					assert.Assert(t, o.wrongfulRefusals == 0)
				}
			}
			calls := 0
			for _, n := range w.calls {
				calls += n
			}
			per := func(n int) string { return fmt.Sprintf("%.2f", float64(n)/float64(requests)) }
			t.Logf("%-12s per request: %s calls to peers %v, %s reads and %s writes of the table", policy, per(calls), w.calls, per(w.table.reads), per(w.table.writes))
		})
	}
}

// BenchmarkReserve measures the processor time of a reservation and its settlement,
// messages to peers included but not their encoding. In "remote" the accounts take
// turns and every request asks the home; in "ahead" one busy account fetches tokens
// ahead.
func BenchmarkReserve(b *testing.B) {
	for _, policy := range []string{"home", "remote", "ahead", "per-instance", "table"} {
		b.Run(policy, func(b *testing.B) {
			accounts := 1
			if policy == "remote" {
				accounts = 4096
			}
			w, names := manyAccounts(accounts)
			defer w.stopNodes()
			n := w.homeOf("a", names[0])
			if policy != "home" {
				n = w.other(n)
			}
			names = slices.DeleteFunc(names, func(name string) bool { return (w.homeOf("a", name) == n) != (policy == "home") })
			l := limiterFor(policy, w, n)
			ctx := context.Background()
			for i := 0; b.Loop(); i++ {
				r, err := l.Reserve(ctx, names[i%len(names)], 100, limit.WaitUntil(time.Now().Add(time.Second)))
				if err != nil {
					b.Fatal(err)
				}
				r.Settle(50)
			}
		})
	}
}

// BenchmarkDuties measures one second of a home's background work for 1000 accounts
// without traffic.
func BenchmarkDuties(b *testing.B) {
	w, names := manyAccounts(1000)
	defer w.stopNodes()
	n := w.nodes[0]
	for _, name := range names {
		if w.homeOf("a", name) != n {
			w.assign(shardOf("a", name), n)
		}
	}
	for _, name := range names {
		if _, _, err := n.reserve(name, 1, time.Second); err != nil {
			b.Fatal(err)
		}
	}
	m := &mover{h: n.limiter.home, opts: &n.limiter.opts}
	for b.Loop() {
		n.limiter.home.sweep()
		m.round(context.Background())
	}
}

// manyAccounts starts two nodes without network latency.
func manyAccounts(count int) (w *cluster, names []string) {
	var accounts []*config.Account
	for i := range count {
		names = append(names, fmt.Sprint("account-", i))
		accounts = append(accounts, testAccount(names[i], 1e9, 1e9))
	}
	w = newWorld(oneDC, 2, accounts...)
	w.latency = 0
	return w, names
}

func (w *cluster) stopNodes() {
	for _, n := range w.nodes {
		n.stop()
		<-n.done
	}
}
