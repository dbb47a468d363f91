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

// nineMembers is a member.Source of a fleet with nine members.
type nineMembers struct{}

func (nineMembers) View() *member.View { return &member.View{Peers: make([]member.Session, 8)} }

// demand is the open-loop load of one account.
type demand struct {
	account    *config.Account
	maxTokens  int           // reserved by each request, which uses half on average
	interval   time.Duration // mean time between arrivals
	nodeCount  int           // requests go to this many nodes, counted from the first
	withinRate bool
}

// demands has one account whose load is spread evenly, one whose load arrives at a
// single data centre, one whose prompts are larger than any share of its burst, and
// one at five times its rate.
var demands = []demand{
	{testAccount("even", 1000, 4000), 200, 220 * time.Millisecond, 9, true},
	{testAccount("skewed", 1000, 4000), 200, 220 * time.Millisecond, 3, true},
	{testAccount("small", 200, 1000), 800, 5 * time.Second, 9, true},
	{testAccount("flood", 1000, 4000), 200, 20 * time.Millisecond, 9, false},
}

// outcome is the result of one demand under one policy.
type outcome struct {
	requests, refused int
	// wrongfulRefusals counts refused requests of accounts within their rate for which
	// a single fleet-wide bucket, charged with all admitted requests, had the tokens.
	wrongfulRefusals int
	tokens           float64
	excess           float64
	waits            []time.Duration
}

func compare(seed uint64, policy string, latency time.Duration) (byAccount map[string]*outcome, c *cluster) {
	var accounts []*config.Account
	for _, d := range demands {
		accounts = append(accounts, d.account)
	}
	c = newCluster(threeDCs, 3, accounts...)
	defer c.stop()
	c.table.delay = latency
	for _, n := range c.nodes {
		n.reserver = limiterFor(policy, c, n)
	}
	byAccount = map[string]*outcome{}
	var wg sync.WaitGroup
	for i, d := range demands {
		o := &outcome{}
		byAccount[d.account.Name] = o
		wg.Go(func() { c.runDemand(d, o, rand.New(rand.NewPCG(seed, uint64(i)))) })
	}
	wg.Wait()
	for _, d := range demands {
		o := byAccount[d.account.Name]
		o.excess, o.tokens = c.excess(d.account.Name, d.account.Rate, d.account.Burst)
	}
	return byAccount, c
}

func limiterFor(policy string, c *cluster, n *node) limit.Limiter {
	switch policy {
	case "per-instance":
		return baseline.NewPerInstance(c, nineMembers{}, clock.Real{})
	case "table":
		return baseline.NewTablePerRequest(c, c.table, clock.Real{})
	case "unlimited":
		return baseline.Unlimited{}
	}
	return n.limiter
}

// runDemand sends the requests of a demand for 30 seconds.
func (c *cluster) runDemand(d demand, o *outcome, rng *rand.Rand) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	start := time.Now()
	fleetBucket := bucket.New(start, toMicroTokens(d.account.Burst), toMicroTokens(d.account.Rate), toMicroTokens(d.account.Burst))
	for end := start.Add(30 * time.Second); time.Now().Before(end); {
		time.Sleep(time.Duration(rng.ExpFloat64() * float64(d.interval)))
		n := c.nodes[rng.IntN(d.nodeCount)]
		used, life := rng.IntN(d.maxTokens+1), time.Duration(rng.IntN(2000))*time.Millisecond
		wg.Go(func() {
			start := time.Now()
			r, u, err := n.reserve(d.account.Name, d.maxTokens, time.Second)
			mu.Lock()
			need := toMicroTokens(float64(d.maxTokens))
			mark, within := fleetBucket.Charge(time.Now(), need)
			if err != nil && within {
				fleetBucket.Refund(time.Now(), mark, need)
			}
			o.requests++
			o.waits = append(o.waits, time.Since(start))
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
				fleetBucket.Refund(time.Now(), mark, need-toMicroTokens(float64(used)))
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
			results, c := compare(1, policy, 2*time.Millisecond)
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
			for _, n := range c.calls {
				calls += n
			}
			per := func(n int) string { return fmt.Sprintf("%.2f", float64(n)/float64(requests)) }
			t.Logf("%-12s per request: %s calls to peers %v, %s reads and %s writes of the table", policy, per(calls), c.calls, per(c.table.reads), per(c.table.writes))
		})
	}
}

// BenchmarkReserve measures the CPU time of a reservation and its settlement,
// including messages to peers but not their encoding. In "remote" the accounts
// alternate and every request calls the home; in "ahead" one busy account prefetches
// tokens.
func BenchmarkReserve(b *testing.B) {
	for _, policy := range []string{"home", "remote", "ahead", "per-instance", "table"} {
		b.Run(policy, func(b *testing.B) {
			accounts := 1
			if policy == "remote" {
				accounts = 4096
			}
			c, names := manyAccounts(accounts)
			defer c.stopNodes()
			n := c.homeOf("a", names[0])
			if policy != "home" {
				n = c.otherNode(n)
			}
			names = slices.DeleteFunc(names, func(name string) bool { return (c.homeOf("a", name) == n) != (policy == "home") })
			l := limiterFor(policy, c, n)
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

// BenchmarkDuties measures one second of a home's background work for 1000 idle
// accounts.
func BenchmarkDuties(b *testing.B) {
	c, names := manyAccounts(1000)
	defer c.stopNodes()
	n := c.nodes[0]
	for _, name := range names {
		if c.homeOf("a", name) != n {
			c.assign(shardOf("a", name), n)
		}
	}
	for _, name := range names {
		if _, _, err := n.reserve(name, 1, time.Second); err != nil {
			b.Fatal(err)
		}
	}
	m := &mover{home: n.limiter.home, opts: &n.limiter.opts}
	for b.Loop() {
		n.limiter.home.sweep()
		m.round(context.Background())
	}
}

// manyAccounts starts two nodes without network latency.
func manyAccounts(count int) (c *cluster, names []string) {
	var accounts []*config.Account
	for i := range count {
		names = append(names, fmt.Sprint("account-", i))
		accounts = append(accounts, testAccount(names[i], 1e9, 1e9))
	}
	c = newCluster(oneDC, 2, accounts...)
	c.latency = 0
	return c, names
}

func (c *cluster) stopNodes() {
	for _, n := range c.nodes {
		n.stop()
		<-n.done
	}
}
