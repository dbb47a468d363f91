package escrow

import (
	"context"
	"flag"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"carawayrouter.example/router/internal/errkind"
)

// loadGenerator sends open-loop requests to the nodes and counts the outcomes.
type loadGenerator struct {
	cluster     *cluster
	account     string
	interval    time.Duration // between arrivals
	tokens      int
	wait        time.Duration
	nodes       func() []*node
	settle      bool // use a random part of the tokens and settle
	mu          sync.Mutex
	served      int
	refused     int
	longestWait time.Duration
	requests    sync.WaitGroup
}

func (l *loadGenerator) run(d time.Duration, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 1))
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(l.interval) {
		nodes := l.nodes()
		n := nodes[rng.IntN(len(nodes))]
		used, life := l.tokens, time.Duration(rng.IntN(1000))*time.Millisecond
		if l.settle {
			used = rng.IntN(l.tokens + 1)
		}
		l.requests.Go(func() { l.request(n, l.tokens, used, life) })
	}
	l.requests.Wait()
}

func (l *loadGenerator) request(n *node, tokens, used int, life time.Duration) {
	start := time.Now()
	r, u, err := n.reserve(l.account, tokens, l.wait)
	l.mu.Lock()
	if err == nil {
		l.served++
	} else {
		l.refused++
	}
	l.longestWait = max(l.longestWait, time.Since(start))
	l.mu.Unlock()
	if err == nil && l.settle {
		time.Sleep(life)
		n.settle(r, u, used)
	}
}

// open makes the homes in all data centres open an account.
func (c *cluster) open(t *testing.T, name string) {
	t.Helper()
	for _, dc := range c.dataCentres {
		_, _, err := c.nodesIn(dc)[0].reserve(name, 1, time.Second)
		assert.NilError(t, err)
	}
}

// assertRecovered fails the test unless checkRecovered succeeds.
func (c *cluster) assertRecovered(t *testing.T, name string, rate, burst float64) {
	t.Helper()
	assert.NilError(t, c.checkRecovered(name, rate, burst))
}

// checkRecovered waits, then checks that the account's full share and burst are
// available again, that a single request can use the whole burst, and that the account
// never exceeded its rate and burst.
func (c *cluster) checkRecovered(name string, rate, burst float64) error {
	fill := time.Duration(burst / rate * float64(time.Second))
	time.Sleep(4*fill + 15*time.Second)
	synctest.Wait()
	if share, tokens := c.totalRights(name); share != totalShare || tokens != toMicroTokens(burst) {
		return errors.Newf("not recovered: share %d of %d, tokens %d of %d", share, int64(totalShare), tokens, toMicroTokens(burst))
	}
	for i := range 2 {
		n := c.nodesIn(c.dataCentres[i%len(c.dataCentres)])[0]
		if _, _, err := n.reserve(name, int(burst), 2*fill+15*time.Second); err != nil {
			return errors.Wrap(err, "reserve the whole burst")
		}
	}
	if excess, total := c.excess(name, rate, burst); excess > 0 {
		return errors.Newf("%v of %v tokens exceed rate and burst", excess, total)
	}
	return nil
}

func (c *cluster) assertNoExcess(t *testing.T, name string, rate, burst float64) {
	t.Helper()
	excess, total := c.excess(name, rate, burst)
	assert.Equal(t, excess, 0.0, "of %v tokens", total)
}

func (c *cluster) activeNodes() []*node {
	c.mu.Lock()
	defer c.mu.Unlock()
	var in []*node
	for _, n := range c.nodes {
		if !n.dead && n.resumed == nil {
			in = append(in, n)
		}
	}
	return in
}

func TestLostMessages(t *testing.T) {
	for _, method := range []string{"Take", "Return", "Lend", "Refresh"} {
		for _, request := range []bool{true, false} {
			name := method + "Answer"
			if request {
				name = method + "Request"
			}
			t.Run(name, func(t *testing.T) {
				runInBubble(t, func(t *testing.T) {
					c := newCluster(threeDCs, 3, testAccount("acme", 3000, 3000))
					defer c.stop()
					c.open(t, "acme")
					l := &loadGenerator{cluster: c, account: "acme", interval: 10 * time.Millisecond, tokens: 200, wait: 2 * time.Second, nodes: func() []*node { return c.nodesIn("a") }, settle: true}
					go func() {
						for range 20 {
							c.inject(fault{method: method, loseRequest: request, count: 3})
							time.Sleep(200 * time.Millisecond)
						}
					}()
					l.run(8*time.Second, 1)
					assert.Assert(t, l.served > 80) // at least its own share
					c.mu.Lock()
					c.faults = nil
					c.mu.Unlock()
					c.assertRecovered(t, "acme", 3000, 3000)
				})
			})
		}
	}
}

// A borrower that is paused between its call and the answer must not spend the loan
// after it has expired.
func TestAnswerAfterLoanExpiry(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		c := newCluster(oneDC, 2, testAccount("acme", 100, 100))
		defer c.stop()
		home := c.homeOf("a", "acme")
		c.inject(fault{method: "Take", delay: 5 * time.Second, count: 1})
		done := make(chan error)
		go func() {
			_, _, err := c.otherNode(home).reserve("acme", 100, 30*time.Second)
			done <- err
		}()
		time.Sleep(4 * time.Second) // the loan has expired and its tokens have accrued again
		_, _, err := home.reserve("acme", 100, time.Second)
		assert.NilError(t, err)
		assert.NilError(t, <-done)
		c.assertNoExcess(t, "acme", 100, 100)
		assert.Assert(t, c.uses[1].at.Sub(c.uses[0].at) >= time.Second-50*time.Millisecond)
	})
}

func TestHomePausedPastIsolation(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		c := newCluster(threeDCs, 3, testAccount("acme", 500, 1500))
		defer c.stop()
		c.open(t, "acme")
		home := c.homeOf("a", "acme")
		l := &loadGenerator{cluster: c, account: "acme", interval: 50 * time.Millisecond, tokens: 50, wait: 3 * time.Second, nodes: c.activeNodes}
		var wg sync.WaitGroup
		wg.Go(func() { l.run(20*time.Second, 2) })
		time.Sleep(3 * time.Second)
		c.pause(home)
		time.Sleep(4 * time.Second)
		c.isolate(home, true)
		time.Sleep(time.Second)
		c.moveShards(home, c.otherNode(home))
		time.Sleep(3 * time.Second)
		c.unpause(home) // late calls and answers arrive
		time.Sleep(time.Second)
		c.isolate(home, false)
		wg.Wait()
		c.assertRecovered(t, "acme", 500, 1500)
	})
}

func TestHomeKilledWithRights(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		c := newCluster(threeDCs, 3, testAccount("acme", 3000, 6000))
		defer c.stop()
		c.open(t, "acme")
		home := c.homeOf("a", "acme")
		l := &loadGenerator{cluster: c, account: "acme", interval: 20 * time.Millisecond, tokens: 50, wait: 4 * time.Second, nodes: c.activeNodes, settle: true}
		var wg sync.WaitGroup
		wg.Go(func() { l.run(15*time.Second, 3) })
		time.Sleep(4 * time.Second)
		c.kill(home)
		time.Sleep(2 * time.Second)
		c.moveShards(home, c.otherNode(home))
		wg.Wait()
		t.Logf("served %d, refused %d, longest wait %v", l.served, l.refused, l.longestWait)
		assert.Equal(t, l.refused, 0) // homes in the other data centres serve meanwhile
		c.assertRecovered(t, "acme", 3000, 6000)
	})
}

func TestRestartAtOnceWaitsOutLoans(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		c := newCluster(oneDC, 2, testAccount("acme", 1000, 1000))
		defer c.stop()
		home := c.homeOf("a", "acme")
		other := c.otherNode(home)
		c.inject(fault{method: "Take", delay: 400 * time.Millisecond, count: 1})
		done := make(chan error)
		go func() {
			_, _, err := other.reserve("acme", 1000, time.Second)
			done <- err
		}()
		time.Sleep(20 * time.Millisecond)
		c.moveShards(home, home) // a new epoch while the answer with the loan is in flight
		assert.NilError(t, <-done)
		_, _, err := home.reserve("acme", 1000, 5*time.Second)
		assert.NilError(t, err)
		c.assertNoExcess(t, "acme", 1000, 1000)
	})
}

func TestDataCentreCutAndHealed(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		c := newCluster(threeDCs, 3, testAccount("acme", 900, 1800))
		defer c.stop()
		c.open(t, "acme")
		time.Sleep(3 * time.Second)
		c.setPartition("a", "b", true)
		c.setPartition("a", "c", true)
		inside := &loadGenerator{cluster: c, account: "acme", interval: 50 * time.Millisecond, tokens: 50, wait: time.Second, nodes: func() []*node { return c.nodesIn("a") }}
		outside := &loadGenerator{cluster: c, account: "acme", interval: 50 * time.Millisecond, tokens: 50, wait: time.Second, nodes: func() []*node { return append(c.nodesIn("b"), c.nodesIn("c")...) }}
		var wg sync.WaitGroup
		wg.Go(func() { inside.run(10*time.Second, 4) })
		wg.Go(func() { outside.run(10*time.Second, 5) })
		wg.Wait()
		// The partitioned data centre holds a third, the others the rest.
		assert.Assert(t, inside.served*50 > 3300, "%d", inside.served)
		assert.Assert(t, outside.served*50 > 6600, "%d", outside.served)
		c.setPartition("a", "b", false)
		c.setPartition("a", "c", false)
		c.assertRecovered(t, "acme", 900, 1800)
	})
}

func TestShareMoveWithUnknownOutcome(t *testing.T) {
	faults := map[string]func(m *memTable){
		"AnswerLost": func(m *memTable) { m.loseAnswers = 2 },
		"Late":       func(m *memTable) { m.lateBy = 3 * time.Second },
		"LateAfter":  func(m *memTable) { m.lateBy = 500 * time.Millisecond },
	}
	for name, f := range faults {
		t.Run(name, func(t *testing.T) {
			runInBubble(t, func(t *testing.T) {
				c := newCluster(threeDCs, 3, testAccount("acme", 900, 900))
				defer c.stop()
				c.open(t, "acme")
				c.table.set(f)
				l := &loadGenerator{cluster: c, account: "acme", interval: 50 * time.Millisecond, tokens: 60, wait: time.Second, nodes: func() []*node { return c.nodesIn("a") }}
				var wg sync.WaitGroup
				wg.Go(func() { l.run(10*time.Second, 6) })
				for range 100 {
					time.Sleep(100 * time.Millisecond)
					if share, _ := c.totalRights("acme"); share > totalShare {
						t.Fatalf("shares add up to %d", share)
					}
				}
				wg.Wait()
				c.assertRecovered(t, "acme", 900, 900)
			})
		})
	}
}

func TestStoreDown(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		c := newCluster(threeDCs, 3, testAccount("acme", 900, 900))
		defer c.stop()
		c.open(t, "acme")
		c.table.set(func(m *memTable) { m.down = true })
		home := c.homeOf("a", "acme")
		c.kill(home)
		c.moveShards(home, c.otherNode(home)) // the new home cannot read its share
		l := &loadGenerator{cluster: c, account: "acme", interval: 100 * time.Millisecond, tokens: 40, wait: 2 * time.Second, nodes: func() []*node { return c.nodesIn("a") }}
		l.run(10*time.Second, 7)
		assert.Equal(t, l.refused, 0) // 400/s; the others hold 600/s and lend
		c.table.set(func(m *memTable) { m.down = false })
		c.assertRecovered(t, "acme", 900, 900)
	})
}

// As long as no home has read the account's share, nothing is known about its rate.
func TestAccountThatIsNotOpenIsNotOverItsRate(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		c := newCluster(threeDCs, 2, testAccount("acme", 10, 1000))
		defer c.stop()
		c.table.set(func(m *memTable) { m.down = true })
		for range 5 {
			_, _, err := c.nodesIn("a")[0].reserve("acme", 30, time.Second)
			assert.Equal(t, errkind.From(err).Kind, errkind.StoreUnavailable, "%v", err)
		}
		go func() {
			time.Sleep(500 * time.Millisecond)
			c.table.set(func(m *memTable) { m.down = false })
		}()
		_, _, err := c.nodesIn("a")[0].reserve("acme", 30, 2*time.Second)
		assert.NilError(t, err)
		c.assertRecovered(t, "acme", 10, 1000)
	})
}

func TestHandOver(t *testing.T) {
	for _, lost := range []bool{false, true} {
		runInBubble(t, func(t *testing.T) {
			c := newCluster(oneDC, 2, testAccount("acme", 10, 1000))
			defer c.stop()
			home := c.homeOf("a", "acme")
			next := c.otherNode(home)
			_, _, err := next.reserve("acme", 300, time.Second)
			assert.NilError(t, err)
			if lost {
				c.inject(fault{method: "Handover", loseRequest: true, count: 1})
			}
			c.table.set(func(m *memTable) { m.down = true }) // a handover needs no store
			home.limiter.Freeze()
			c.moveShards(home, next)
			assert.NilError(t, home.limiter.Close(context.Background()))
			_, _, err = next.reserve("acme", 700, time.Second)
			assert.Equal(t, err == nil, !lost, "%v", err)
			c.table.set(func(m *memTable) { m.down = false })
			c.assertRecovered(t, "acme", 10, 1000)
		})
	}
}

// A shard that moves between live instances keeps its tokens if the release hook is
// called, also if the next home has opened the account before the tokens arrive; without
// the hook the next home starts with an empty bucket.
func TestShardMovesBetweenLiveInstances(t *testing.T) {
	for _, tt := range []struct{ hooked, late bool }{{false, false}, {true, false}, {true, true}} {
		runInBubble(t, func(t *testing.T) {
			c := newCluster(oneDC, 2, testAccount("acme", 10, 1000))
			defer c.stop()
			home := c.homeOf("a", "acme")
			next := c.otherNode(home)
			_, _, err := next.reserve("acme", 300, time.Second)
			assert.NilError(t, err)
			if tt.hooked {
				home.limiter.Release(shardOf("a", "acme"), 0)
			}
			if tt.late {
				synctest.Wait() // the previous home has looked for the next one in vain
			}
			c.moveShards(home, next)
			if tt.late {
				_, err = next.limiter.Status(context.Background(), "acme")
				assert.NilError(t, err)
				synctest.Wait() // the next home has opened the account
			}
			_, _, err = home.reserve("acme", 700, time.Second)
			assert.Equal(t, err == nil, tt.hooked, "late %v: %v", tt.late, err)
			c.assertNoExcess(t, "acme", 10, 1000)
		})
	}
}

func TestRateChange(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		c := newCluster(threeDCs, 3, testAccount("acme", 600, 1200))
		defer c.stop()
		c.open(t, "acme")
		l := &loadGenerator{cluster: c, account: "acme", interval: 20 * time.Millisecond, tokens: 30, wait: time.Second, nodes: c.activeNodes, settle: true}
		var wg sync.WaitGroup
		wg.Go(func() { l.run(6*time.Second, 8) })
		time.Sleep(3 * time.Second)
		c.setAccount(testAccount("acme", 60, 120))
		wg.Wait()
		c.assertNoExcess(t, "acme", 600, 1200)
		c.mu.Lock()
		c.uses = nil
		c.mu.Unlock()
		c.assertRecovered(t, "acme", 60, 120)
	})
}

func TestFloodLeavesOthersAlone(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		c := newCluster(threeDCs, 3, testAccount("flood", 1000, 2000), testAccount("calm", 1000, 2000))
		defer c.stop()
		flood := &loadGenerator{cluster: c, account: "flood", interval: 10 * time.Millisecond, tokens: 100, wait: time.Second, nodes: c.activeNodes}
		calm := &loadGenerator{cluster: c, account: "calm", interval: 100 * time.Millisecond, tokens: 95, wait: time.Second, nodes: c.activeNodes}
		var wg sync.WaitGroup
		wg.Go(func() { flood.run(10*time.Second, 9) })
		wg.Go(func() { calm.run(10*time.Second, 10) })
		wg.Wait()
		t.Logf("calm: longest wait %v; flood: served %d, refused %d", calm.longestWait, flood.served, flood.refused)
		assert.Equal(t, calm.refused, 0)
		assert.Assert(t, flood.refused > 0)
		// The flooding account still gets its own rate and burst.
		assert.Assert(t, flood.served*100 >= 11400, "%d", flood.served*100)
		c.assertNoExcess(t, "flood", 1000, 2000)
		c.assertNoExcess(t, "calm", 1000, 2000)
	})
}

func TestCapacityMovesToDemand(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		c := newCluster(threeDCs, 3, testAccount("acme", 3000, 3000))
		defer c.stop()
		c.open(t, "acme")
		for _, dc := range []string{"a", "b"} {
			l := &loadGenerator{cluster: c, account: "acme", interval: 20 * time.Millisecond, tokens: 100, wait: time.Second, nodes: func() []*node { return c.nodesIn(dc) }}
			start := time.Now()
			l.run(12*time.Second, 11)
			used := int64(0)
			for _, u := range c.uses {
				if since := u.at.Sub(start); u.dc == dc && since >= 2*time.Second && since < 12*time.Second {
					used += u.tokens
				}
			}
			t.Logf("%s used %d of 30000 tokens from 2 s on", dc, used)
			assert.Assert(t, used >= 28500, "%d", used)
			n := c.homeOf(dc, "acme")
			st, err := n.limiter.Status(context.Background(), "acme")
			assert.NilError(t, err)
			assert.Assert(t, st.Share > totalShare/2, "%d", st.Share)
		}
		c.assertRecovered(t, "acme", 3000, 3000)
	})
}

// Without faults, a caller that stays below its rate is never refused. A caller that
// uses its entire rate only waits longer, because some tokens are lost to lending and
// to overflow in individual data centres.
func TestNoWrongfulRefusals(t *testing.T) {
	for _, tc := range []struct {
		part float64
		wait time.Duration
	}{{0.9, time.Second}, {1, 2 * time.Second}} {
		for seed := range uint64(6) {
			runInBubble(t, func(t *testing.T) {
				c := newCluster(threeDCs, 3, testAccount("acme", 500, 2000))
				defer c.stop()
				c.open(t, "acme")
				time.Sleep(5 * time.Second)
				l := &loadGenerator{cluster: c, account: "acme", wait: tc.wait}
				l.runWithinRate(tc.part*500, tc.part*2000, rand.New(rand.NewPCG(seed, 2)))
				t.Logf("part %v, seed %d: longest wait %v", tc.part, seed, l.longestWait)
				assert.Equal(t, l.refused, 0)
				c.assertNoExcess(t, "acme", 500, 2000)
			})
		}
	}
}

// runWithinRate sends requests within a rate and burst, unevenly distributed over the
// instances.
func (l *loadGenerator) runWithinRate(rate, burst float64, rng *rand.Rand) {
	level, last := burst, time.Now()
	for range 300 {
		time.Sleep(time.Duration(rng.ExpFloat64() * float64(300*time.Millisecond)))
		now := time.Now()
		level = min(burst, level+rate*now.Sub(last).Seconds())
		last = now
		tokens := 1 + rng.IntN(800)
		n := l.cluster.nodes[min(rng.IntN(len(l.cluster.nodes)), rng.IntN(len(l.cluster.nodes)))]
		if float64(tokens) > level {
			continue
		}
		level -= float64(tokens)
		l.requests.Go(func() { l.request(n, tokens, tokens, 0) })
	}
	l.requests.Wait()
}

// With many data centres every share is small, so one prompt needs most of them.
func TestSixteenDataCentres(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		var dcs []string
		for i := range 16 {
			dcs = append(dcs, string(rune('a'+i)))
		}
		c := newCluster(dcs, 2, testAccount("acme", 500, 2000))
		defer c.stop()
		c.open(t, "acme")
		time.Sleep(5 * time.Second)
		l := &loadGenerator{cluster: c, account: "acme", wait: 2 * time.Second}
		l.runWithinRate(450, 1800, rand.New(rand.NewPCG(1, 4)))
		t.Logf("served %d, longest wait %v, calls %v", l.served, l.longestWait, c.callsSoFar())
		assert.Equal(t, l.refused, 0)
		c.assertRecovered(t, "acme", 500, 2000)
	})
}

// faultStep is one fault of a script and the pause after it.
type faultStep struct {
	Kind   int
	Node   int
	Other  int
	Count  int
	Length int // duration of the fault, ms
	Pause  int // ms
}

// drawScript draws faults that may overlap.
func drawScript(t *rapid.T) []faultStep {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) faultStep {
		return faultStep{
			Kind:   rapid.IntRange(0, 7).Draw(t, "kind"),
			Node:   rapid.IntRange(0, 8).Draw(t, "node"),
			Other:  rapid.IntRange(0, 8).Draw(t, "other"),
			Count:  rapid.IntRange(1, 20).Draw(t, "count"),
			Length: rapid.IntRange(0, 5000).Draw(t, "length"),
			Pause:  rapid.IntRange(0, 3000).Draw(t, "pause"),
		}
	}), 1, 12).Draw(t, "script")
}

// Concurrent faults in any order never let usage in any window exceed rate and burst,
// never let the shares exceed totalShare, and never lose share or tokens permanently.
// Set -rapid.checks for more runs.
func TestRandomFaults(t *testing.T) {
	if f := flag.Lookup("rapid.checks"); f.Value.String() == f.DefValue {
		assert.NilError(t, flag.Set("rapid.checks", "12"))
		assert.NilError(t, flag.Set("rapid.seed", "1"))
	}
	rapid.Check(t, func(rt *rapid.T) {
		script := drawScript(rt)
		tokens := rapid.IntRange(1, 700).Draw(rt, "tokens")
		seed := rapid.Uint64().Draw(rt, "seed")
		var err error
		runInBubble(t, func(t *testing.T) { err = runScript(t, script, tokens, seed) })
		if err != nil {
			rt.Fatal(err)
		}
	})
}

func runScript(t *testing.T, script []faultStep, tokens int, seed uint64) error {
	c := newCluster(threeDCs, 3, testAccount("acme", 600, 1500))
	defer c.stop()
	c.open(t, "acme")
	length := 10 * time.Second
	for _, s := range script {
		length += time.Duration(s.Pause) * time.Millisecond
	}
	l := &loadGenerator{cluster: c, account: "acme", interval: 15 * time.Millisecond, tokens: tokens, wait: 2 * time.Second, nodes: c.activeNodes, settle: true}
	var wg sync.WaitGroup
	wg.Go(func() { l.run(length, seed) })
	for _, s := range script {
		wg.Go(func() { c.applyFault(s) })
		time.Sleep(time.Duration(s.Pause) * time.Millisecond)
		if share, _ := c.totalRights("acme"); share > totalShare {
			return errors.Newf("shares add up to %d", share)
		}
	}
	wg.Wait()
	if l.served == 0 {
		return errors.New("nothing was served")
	}
	c.clearFaults()
	return c.checkRecovered("acme", 600, 1500)
}

// applyFault injects one fault and ends it after its duration.
func (c *cluster) applyFault(s faultStep) {
	d := time.Duration(s.Length) * time.Millisecond
	n, o := c.nodes[s.Node], c.nodes[s.Other]
	switch s.Kind {
	case 0:
		c.inject(fault{loseRequest: true, count: s.Count})
	case 1:
		c.inject(fault{count: s.Count})
	case 2:
		c.inject(fault{delay: d, count: s.Count%3 + 1})
	case 3:
		c.setPartition(n.self.DataCentre, o.self.DataCentre, true)
		time.Sleep(d)
		c.setPartition(n.self.DataCentre, o.self.DataCentre, false)
	case 4:
		c.table.set(func(m *memTable) { m.down = true })
		time.Sleep(d)
		c.table.set(func(m *memTable) { m.down = false })
	case 5:
		c.table.set(func(m *memTable) { m.loseAnswers, m.lateBy = s.Count%4, d })
	case 6: // paused, replaced as home, resumed
		if !slices.Contains(c.activeNodes(), n) {
			return // already paused
		}
		c.pause(n)
		c.isolate(n, true)
		time.Sleep(d)
		for _, o := range c.activeNodes() {
			if o.self.DataCentre == n.self.DataCentre && !o.isolated {
				c.moveShards(n, o)
				break
			}
		}
		time.Sleep(d)
		c.unpause(n)
		c.isolate(n, false)
	case 7: // immediate restart with a new epoch
		c.moveShards(n, n)
	}
}

// clearFaults removes the remaining injected faults.
func (c *cluster) clearFaults() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults = nil
	c.table.set(func(m *memTable) { m.loseAnswers, m.lateBy = 0, 0 })
}

// Each message takes 300 ms, as on a machine that has no processor time left: longer than a call may take at first, and
// shorter than the request may wait.
func TestSlowCallsToTheHomeGrant(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		c := newCluster([]string{"a", "b"}, 2, testAccount("x", 100, 100))
		defer c.stop()
		c.open(t, "x")
		c.setLatency(300 * time.Millisecond)
		for _, n := range c.nodes {
			_, _, err := n.reserve("x", 1, 4*time.Second)
			assert.NilError(t, err)
		}
		c.setLatency(time.Millisecond)
		c.assertRecovered(t, "x", 100, 100)
	})
}
