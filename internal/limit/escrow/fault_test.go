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
)

// load makes open-loop requests at the nodes for a time and reports outcomes.
type loadGenerator struct {
	cluster  *cluster
	account  string
	interval time.Duration // between arrivals
	tokens   int
	wait     time.Duration
	nodes    func() []*node
	settle   bool // uses a random part
	mu       sync.Mutex
	served   int
	refused  int
	longest  time.Duration
	requests sync.WaitGroup
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
	begun := time.Now()
	r, u, err := n.reserve(l.account, tokens, l.wait)
	l.mu.Lock()
	if err == nil {
		l.served++
	} else {
		l.refused++
	}
	l.longest = max(l.longest, time.Since(begun))
	l.mu.Unlock()
	if err == nil && l.settle {
		time.Sleep(life)
		n.settle(r, u, used)
	}
}

// open makes the homes of all data centres open an account.
func (w *cluster) open(t *testing.T, name string) {
	t.Helper()
	for _, dc := range w.dcs {
		_, _, err := w.nodesIn(dc)[0].reserve(name, 1, time.Second)
		assert.NilError(t, err)
	}
}

// checkWhole fails unless all rights of an account are there again.
func (w *cluster) assertRecovered(t *testing.T, name string, rate, burst float64) {
	t.Helper()
	assert.NilError(t, w.checkRecovered(name, rate, burst))
}

// wholeAgain reports whether all rights of an account are there again after a while,
// and can be had in one piece, and that it never used more than its own.
func (w *cluster) checkRecovered(name string, rate, burst float64) error {
	fill := time.Duration(burst / rate * float64(time.Second))
	time.Sleep(4*fill + 15*time.Second)
	synctest.Wait()
	if share, tokens := w.totalRights(name); share != totalShare || tokens != toMicroTokens(burst) {
		return errors.Newf("share %d of %d, tokens %d of %d", share, int64(totalShare), tokens, toMicroTokens(burst))
	}
	for i := range 2 {
		n := w.nodesIn(w.dcs[i%len(w.dcs)])[0]
		if _, _, err := n.reserve(name, int(burst), 2*fill+15*time.Second); err != nil {
			return errors.Wrap(err, "the whole burst")
		}
	}
	if excess, total := w.excess(name, rate, burst); excess > 0 {
		return errors.Newf("%v of %v tokens above rate and burst", excess, total)
	}
	return nil
}

func (w *cluster) assertNoExcess(t *testing.T, name string, rate, burst float64) {
	t.Helper()
	excess, total := w.excess(name, rate, burst)
	assert.Equal(t, excess, 0.0, "of %v tokens", total)
}

func (w *cluster) activeNodes() []*node {
	w.mu.Lock()
	defer w.mu.Unlock()
	var in []*node
	for _, n := range w.nodes {
		if !n.dead && n.resume == nil {
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
					w := newWorld(threeDCs, 3, testAccount("acme", 3000, 3000))
					defer w.stop()
					w.open(t, "acme")
					l := &loadGenerator{cluster: w, account: "acme", interval: 10 * time.Millisecond, tokens: 200, wait: 2 * time.Second, nodes: func() []*node { return w.nodesIn("a") }, settle: true}
					go func() {
						for range 20 {
							w.inject(fault{method: method, request: request, count: 3})
							time.Sleep(200 * time.Millisecond)
						}
					}()
					l.run(8*time.Second, 1)
					assert.Assert(t, l.served > 80) // its own share at least
					w.mu.Lock()
					w.faults = nil
					w.mu.Unlock()
					w.assertRecovered(t, "acme", 3000, 3000)
				})
			})
		}
	}
}

// A borrower that was paused between its call and the answer does not spend.
func TestAnswerAfterLoanLife(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		w := newWorld(oneDC, 2, testAccount("acme", 100, 100))
		defer w.stop()
		home := w.homeOf("a", "acme")
		w.inject(fault{method: "Take", delay: 5 * time.Second, count: 1})
		done := make(chan error)
		go func() {
			_, _, err := w.other(home).reserve("acme", 100, 30*time.Second)
			done <- err
		}()
		time.Sleep(4 * time.Second) // the loan is over and its tokens have accrued anew
		_, _, err := home.reserve("acme", 100, time.Second)
		assert.NilError(t, err)
		assert.NilError(t, <-done)
		w.assertNoExcess(t, "acme", 100, 100)
		assert.Assert(t, w.uses[1].at.Sub(w.uses[0].at) >= time.Second-50*time.Millisecond)
	})
}

func TestHomePausedPastIsolation(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		w := newWorld(threeDCs, 3, testAccount("acme", 500, 1500))
		defer w.stop()
		w.open(t, "acme")
		home := w.homeOf("a", "acme")
		l := &loadGenerator{cluster: w, account: "acme", interval: 50 * time.Millisecond, tokens: 50, wait: 3 * time.Second, nodes: w.activeNodes}
		var wg sync.WaitGroup
		wg.Go(func() { l.run(20*time.Second, 2) })
		time.Sleep(3 * time.Second)
		w.pause(home)
		time.Sleep(4 * time.Second)
		w.isolate(home, true)
		time.Sleep(time.Second)
		w.moveShards(home, w.other(home))
		time.Sleep(3 * time.Second)
		w.unpause(home) // late calls and answers arrive
		time.Sleep(time.Second)
		w.isolate(home, false)
		wg.Wait()
		w.assertRecovered(t, "acme", 500, 1500)
	})
}

func TestHomeKilledWithRights(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		w := newWorld(threeDCs, 3, testAccount("acme", 3000, 6000))
		defer w.stop()
		w.open(t, "acme")
		home := w.homeOf("a", "acme")
		l := &loadGenerator{cluster: w, account: "acme", interval: 20 * time.Millisecond, tokens: 50, wait: 4 * time.Second, nodes: w.activeNodes, settle: true}
		var wg sync.WaitGroup
		wg.Go(func() { l.run(15*time.Second, 3) })
		time.Sleep(4 * time.Second)
		w.kill(home)
		time.Sleep(2 * time.Second)
		w.moveShards(home, w.other(home))
		wg.Wait()
		t.Logf("served %d, refused %d, longest wait %v", l.served, l.refused, l.longest)
		assert.Equal(t, l.refused, 0) // others' homes serve meanwhile
		w.assertRecovered(t, "acme", 3000, 6000)
	})
}

func TestRestartAtOnceWaitsOutLoans(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		w := newWorld(oneDC, 2, testAccount("acme", 1000, 1000))
		defer w.stop()
		home := w.homeOf("a", "acme")
		other := w.other(home)
		w.inject(fault{method: "Take", delay: 400 * time.Millisecond, count: 1})
		done := make(chan error)
		go func() {
			_, _, err := other.reserve("acme", 1000, time.Second)
			done <- err
		}()
		time.Sleep(20 * time.Millisecond)
		w.moveShards(home, home) // a new epoch while the loan is on its way
		assert.NilError(t, <-done)
		_, _, err := home.reserve("acme", 1000, 5*time.Second)
		assert.NilError(t, err)
		w.assertNoExcess(t, "acme", 1000, 1000)
	})
}

func TestDataCentreCutAndHealed(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		w := newWorld(threeDCs, 3, testAccount("acme", 900, 1800))
		defer w.stop()
		w.open(t, "acme")
		time.Sleep(3 * time.Second)
		w.setPartition("a", "b", true)
		w.setPartition("a", "c", true)
		inside := &loadGenerator{cluster: w, account: "acme", interval: 50 * time.Millisecond, tokens: 50, wait: time.Second, nodes: func() []*node { return w.nodesIn("a") }}
		outside := &loadGenerator{cluster: w, account: "acme", interval: 50 * time.Millisecond, tokens: 50, wait: time.Second, nodes: func() []*node { return append(w.nodesIn("b"), w.nodesIn("c")...) }}
		var wg sync.WaitGroup
		wg.Go(func() { inside.run(10*time.Second, 4) })
		wg.Go(func() { outside.run(10*time.Second, 5) })
		wg.Wait()
		// The cut one has a third, the others the rest.
		assert.Assert(t, inside.served*50 > 3300, "%d", inside.served)
		assert.Assert(t, outside.served*50 > 6600, "%d", outside.served)
		w.setPartition("a", "b", false)
		w.setPartition("a", "c", false)
		w.assertRecovered(t, "acme", 900, 1800)
	})
}

func TestShareMoveWithUnknownOutcome(t *testing.T) {
	faults := map[string]func(m *memTable){
		"AnswerLost": func(m *memTable) { m.lose = 2 },
		"Late":       func(m *memTable) { m.late = 3 * time.Second },
		"LateAfter":  func(m *memTable) { m.late = 500 * time.Millisecond },
	}
	for name, f := range faults {
		t.Run(name, func(t *testing.T) {
			runInBubble(t, func(t *testing.T) {
				w := newWorld(threeDCs, 3, testAccount("acme", 900, 900))
				defer w.stop()
				w.open(t, "acme")
				w.table.set(f)
				l := &loadGenerator{cluster: w, account: "acme", interval: 50 * time.Millisecond, tokens: 60, wait: time.Second, nodes: func() []*node { return w.nodesIn("a") }}
				var wg sync.WaitGroup
				wg.Go(func() { l.run(10*time.Second, 6) })
				for range 100 {
					time.Sleep(100 * time.Millisecond)
					if share, _ := w.totalRights("acme"); share > totalShare {
						t.Fatalf("shares add up to %d", share)
					}
				}
				wg.Wait()
				w.assertRecovered(t, "acme", 900, 900)
			})
		})
	}
}

func TestStoreDown(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		w := newWorld(threeDCs, 3, testAccount("acme", 900, 900))
		defer w.stop()
		w.open(t, "acme")
		w.table.set(func(m *memTable) { m.down = true })
		home := w.homeOf("a", "acme")
		w.kill(home)
		w.moveShards(home, w.other(home)) // the new home cannot read its share
		l := &loadGenerator{cluster: w, account: "acme", interval: 100 * time.Millisecond, tokens: 40, wait: 2 * time.Second, nodes: func() []*node { return w.nodesIn("a") }}
		l.run(10*time.Second, 7)
		assert.Equal(t, l.refused, 0) // 400/s; the others hold 600/s and lend
		w.table.set(func(m *memTable) { m.down = false })
		w.assertRecovered(t, "acme", 900, 900)
	})
}

func TestHandOver(t *testing.T) {
	for _, lost := range []bool{false, true} {
		runInBubble(t, func(t *testing.T) {
			w := newWorld(oneDC, 2, testAccount("acme", 10, 1000))
			defer w.stop()
			home := w.homeOf("a", "acme")
			next := w.other(home)
			_, _, err := next.reserve("acme", 300, time.Second)
			assert.NilError(t, err)
			if lost {
				w.inject(fault{method: "Handover", request: true, count: 1})
			}
			w.table.set(func(m *memTable) { m.down = true }) // it needs no store
			home.limiter.Freeze()
			w.moveShards(home, next)
			assert.NilError(t, home.limiter.Close(context.Background()))
			_, _, err = next.reserve("acme", 700, time.Second)
			assert.Equal(t, err == nil, !lost, "%v", err)
			w.table.set(func(m *memTable) { m.down = false })
			w.assertRecovered(t, "acme", 10, 1000)
		})
	}
}

// A shard that moves between live instances takes its rights along; without the hook
// the new home starts with nothing.
func TestShardMovesBetweenLiveInstances(t *testing.T) {
	for _, hooked := range []bool{false, true} {
		runInBubble(t, func(t *testing.T) {
			w := newWorld(oneDC, 2, testAccount("acme", 10, 1000))
			defer w.stop()
			home := w.homeOf("a", "acme")
			next := w.other(home)
			_, _, err := next.reserve("acme", 300, time.Second)
			assert.NilError(t, err)
			if hooked {
				home.limiter.Release(shardOf("a", "acme"), 0)
			}
			w.moveShards(home, next)
			_, _, err = home.reserve("acme", 700, time.Second)
			assert.Equal(t, err == nil, hooked, "%v", err)
			w.assertNoExcess(t, "acme", 10, 1000)
		})
	}
}

func TestRateChange(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		w := newWorld(threeDCs, 3, testAccount("acme", 600, 1200))
		defer w.stop()
		w.open(t, "acme")
		l := &loadGenerator{cluster: w, account: "acme", interval: 20 * time.Millisecond, tokens: 30, wait: time.Second, nodes: w.activeNodes, settle: true}
		var wg sync.WaitGroup
		wg.Go(func() { l.run(6*time.Second, 8) })
		time.Sleep(3 * time.Second)
		w.setAccount(testAccount("acme", 60, 120))
		wg.Wait()
		w.assertNoExcess(t, "acme", 600, 1200)
		w.mu.Lock()
		w.uses = nil
		w.mu.Unlock()
		w.assertRecovered(t, "acme", 60, 120)
	})
}

func TestFloodLeavesOthersAlone(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		w := newWorld(threeDCs, 3, testAccount("flood", 1000, 2000), testAccount("calm", 1000, 2000))
		defer w.stop()
		flood := &loadGenerator{cluster: w, account: "flood", interval: 10 * time.Millisecond, tokens: 100, wait: time.Second, nodes: w.activeNodes}
		calm := &loadGenerator{cluster: w, account: "calm", interval: 100 * time.Millisecond, tokens: 95, wait: time.Second, nodes: w.activeNodes}
		var wg sync.WaitGroup
		wg.Go(func() { flood.run(10*time.Second, 9) })
		wg.Go(func() { calm.run(10*time.Second, 10) })
		wg.Wait()
		t.Logf("calm: longest wait %v; flood: served %d, refused %d", calm.longest, flood.served, flood.refused)
		assert.Equal(t, calm.refused, 0)
		assert.Assert(t, flood.refused > 0)
		// The flooding account still gets what is its own.
		assert.Assert(t, flood.served*100 >= 11400, "%d", flood.served*100)
		w.assertNoExcess(t, "flood", 1000, 2000)
		w.assertNoExcess(t, "calm", 1000, 2000)
	})
}

func TestCapacityMovesToDemand(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		w := newWorld(threeDCs, 3, testAccount("acme", 3000, 3000))
		defer w.stop()
		w.open(t, "acme")
		for _, dc := range []string{"a", "b"} {
			l := &loadGenerator{cluster: w, account: "acme", interval: 20 * time.Millisecond, tokens: 100, wait: time.Second, nodes: func() []*node { return w.nodesIn(dc) }}
			begun := time.Now()
			l.run(12*time.Second, 11)
			used := int64(0)
			for _, u := range w.uses {
				if since := u.at.Sub(begun); u.dc == dc && since >= 2*time.Second && since < 12*time.Second {
					used += u.tokens
				}
			}
			t.Logf("%s used %d of 30000 tokens from 2 s on", dc, used)
			assert.Assert(t, used >= 28500, "%d", used)
			n := w.homeOf(dc, "acme")
			st, err := n.limiter.Status(context.Background(), "acme")
			assert.NilError(t, err)
			assert.Assert(t, st.Share > totalShare/2, "%d", st.Share)
		}
		w.assertRecovered(t, "acme", 3000, 3000)
	})
}

// A caller that keeps to a part of its rate is not refused without faults. One that
// always uses the last token of its whole rate meets what was lost to lending and to
// overflow in single data centres as a longer wait.
func TestNoWrongfulRefusals(t *testing.T) {
	for _, c := range []struct {
		part float64
		wait time.Duration
	}{{0.9, time.Second}, {1, 2 * time.Second}} {
		for seed := range uint64(6) {
			runInBubble(t, func(t *testing.T) {
				w := newWorld(threeDCs, 3, testAccount("acme", 500, 2000))
				defer w.stop()
				w.open(t, "acme")
				time.Sleep(5 * time.Second)
				l := &loadGenerator{cluster: w, account: "acme", wait: c.wait}
				l.runWithinRate(c.part*500, c.part*2000, rand.New(rand.NewPCG(seed, 2)))
				t.Logf("part %v, seed %d: longest wait %v", c.part, seed, l.longest)
				assert.Equal(t, l.refused, 0)
				w.assertNoExcess(t, "acme", 500, 2000)
			})
		}
	}
}

// conforming makes requests, more at some instances than at others, that keep to a
// rate and burst.
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

// With many data centres every share is small: one prompt needs most of them.
func TestSixteenDataCentres(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		var dcs []string
		for i := range 16 {
			dcs = append(dcs, string(rune('a'+i)))
		}
		w := newWorld(dcs, 2, testAccount("acme", 500, 2000))
		defer w.stop()
		w.open(t, "acme")
		time.Sleep(5 * time.Second)
		l := &loadGenerator{cluster: w, account: "acme", wait: 2 * time.Second}
		l.runWithinRate(450, 1800, rand.New(rand.NewPCG(1, 4)))
		t.Logf("served %d, longest wait %v, calls %v", l.served, l.longest, w.callsSoFar())
		assert.Equal(t, l.refused, 0)
		w.assertRecovered(t, "acme", 500, 2000)
	})
}

// step is one fault of a script and the pause after it.
type faultStep struct {
	Kind   int
	Node   int
	Other  int
	Count  int
	Length int // of the fault, ms
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

// Faults in any order, several at a time, never make a window exceed rate and burst
// nor the shares exceed the whole, and no right is lost for ever. More runs:
// -rapid.checks.
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
	w := newWorld(threeDCs, 3, testAccount("acme", 600, 1500))
	defer w.stop()
	w.open(t, "acme")
	length := 10 * time.Second
	for _, s := range script {
		length += time.Duration(s.Pause) * time.Millisecond
	}
	l := &loadGenerator{cluster: w, account: "acme", interval: 15 * time.Millisecond, tokens: tokens, wait: 2 * time.Second, nodes: w.activeNodes, settle: true}
	var wg sync.WaitGroup
	wg.Go(func() { l.run(length, seed) })
	for _, s := range script {
		wg.Go(func() { w.applyFault(s) })
		time.Sleep(time.Duration(s.Pause) * time.Millisecond)
		if share, _ := w.totalRights("acme"); share > totalShare {
			return errors.Newf("shares add up to %d", share)
		}
	}
	wg.Wait()
	if l.served == 0 {
		return errors.New("nothing was served")
	}
	w.clearFaults()
	return w.checkRecovered("acme", 600, 1500)
}

// play makes one fault and ends it.
func (w *cluster) applyFault(s faultStep) {
	d := time.Duration(s.Length) * time.Millisecond
	n, o := w.nodes[s.Node], w.nodes[s.Other]
	switch s.Kind {
	case 0:
		w.inject(fault{request: true, count: s.Count})
	case 1:
		w.inject(fault{count: s.Count})
	case 2:
		w.inject(fault{delay: d, count: s.Count%3 + 1})
	case 3:
		w.setPartition(n.self.DataCentre, o.self.DataCentre, true)
		time.Sleep(d)
		w.setPartition(n.self.DataCentre, o.self.DataCentre, false)
	case 4:
		w.table.set(func(m *memTable) { m.down = true })
		time.Sleep(d)
		w.table.set(func(m *memTable) { m.down = false })
	case 5:
		w.table.set(func(m *memTable) { m.lose, m.late = s.Count%4, d })
	case 6: // paused, taken over, back
		if !slices.Contains(w.activeNodes(), n) {
			return // paused already
		}
		w.pause(n)
		w.isolate(n, true)
		time.Sleep(d)
		for _, o := range w.activeNodes() {
			if o.self.DataCentre == n.self.DataCentre && !o.isolated {
				w.moveShards(n, o)
				break
			}
		}
		time.Sleep(d)
		w.unpause(n)
		w.isolate(n, false)
	case 7: // restart at once, under a new epoch
		w.moveShards(n, n)
	}
}

// heal ends the faults that are left.
func (w *cluster) clearFaults() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = nil
	w.table.set(func(m *memTable) { m.lose, m.late = 0, 0 })
}
