package pool

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"carawayrouter.example/router/internal/config"
	"carawayrouter.example/router/internal/endpoint"
	"carawayrouter.example/router/internal/errkind"
	"carawayrouter.example/router/internal/reqid"
	"carawayrouter.example/router/internal/sched"
)

var t0 = time.Unix(1_000_000, 0)

// endpoints returns prefill and decode engines for pool "m".
func endpoints(prefills, decodes, slots, pieces int) []*config.Endpoint {
	var eps []*config.Endpoint
	for i := range prefills {
		eps = append(eps, &config.Endpoint{Name: fmt.Sprintf("p%d", i), Pool: "m", Addr: fmt.Sprintf("127.0.0.1:1%03d", i), Role: config.Prefill, Slots: 4, Pieces: 64, DataCentre: "dc"})
	}
	for i := range decodes {
		eps = append(eps, &config.Endpoint{Name: fmt.Sprintf("d%d", i), Pool: "m", Addr: fmt.Sprintf("127.0.0.1:2%03d", i), Role: config.Decode, Slots: slots, Pieces: pieces, DataCentre: "dc"})
	}
	return eps
}

func newCore(eps []*config.Endpoint) *Core {
	c := NewCore("m", "dc", config.ModelPool, DefaultTuning(), rand.New(rand.NewPCG(1, 2)))
	c.SetEndpoints(eps, nil)
	return c
}

func key(n int) Key {
	return Key{ID: reqid.ID{Instance: "i", Incarnation: 1, Seq: uint64(n)}, Try: uint64(n)}
}

func newDemand(n int, account string) sched.Demand {
	return sched.Demand{ID: key(n).ID, Account: account, Weight: 1, Pool: "m", Class: config.Interactive, Prompt: 1000, MaxOutput: 500, FirstToken: time.Second, MaxWait: 10 * time.Second, Arrived: t0}
}

// mustEnqueue enqueues a demand and fails the test if it is refused.
func mustEnqueue(t testing.TB, c *Core, now time.Time, n int, d sched.Demand) {
	t.Helper()
	d.Arrived = now
	_, err := c.Enqueue(now, key(n), d, time.Time{})
	assert.Assert(t, err == nil, "%v", err)
}

// grants returns the decisions that are grants.
func grants(all []Decision) (granted []Decision) {
	for _, d := range all {
		if d.Err == nil {
			granted = append(granted, d)
		}
	}
	return granted
}

// TestRandomStepsLeakNothingAndNeverOvercommit runs random steps on a Core: new and
// cancelled demands, various outcomes, repeated and late reports, added, removed and
// leaving endpoints, expired leases. No endpoint is allocated beyond its capacity,
// leaving ones get no work, and nothing stays allocated once every demand has ended.
func TestRandomStepsLeakNothingAndNeverOvercommit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := endpoints(3, 4, 3, 12)
		c := newCore(all)
		now, seq := t0, 0
		live := map[Key]bool{}
		var keys []Key
		leaving := map[string]bool{}
		outcome := func() sched.Outcome {
			return rapid.SampledFrom([]sched.Outcome{sched.Succeeded, sched.Failed, sched.Full, sched.Abandoned}).Draw(t, "outcome")
		}
		pick := func() Key { return rapid.SampledFrom(append(keys, Key{})).Draw(t, "key") }
		dispatch := func() {
			for _, d := range c.Dispatch(now) {
				if d.Err != nil {
					delete(live, d.Key)
					continue
				}
				assert.Assert(t, !leaving[d.Decode.Addr] && !leaving[d.Prefill.Addr], "leaving endpoint got work")
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"enqueue": func(t *rapid.T) {
				seq++
				d := newDemand(seq, rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "account"))
				d.Arrived = now
				d.Prompt = rapid.IntRange(1, 12*endpoint.PieceTokens).Draw(t, "prompt")
				d.Exclude = rapid.SliceOfN(rapid.SampledFrom([]string{"d0", "d1", "p0"}), 0, 2).Draw(t, "exclude")
				if _, err := c.Enqueue(now, key(seq), d, now.Add(5*time.Second)); err == nil {
					live[key(seq)] = true
					keys = append(keys, key(seq))
				}
				dispatch()
			},
			"prefill": func(t *rapid.T) { c.PrefillDone(now, pick(), outcome()); dispatch() },
			"token":   func(t *rapid.T) { c.FirstToken(now, pick()) },
			"reconcile": func(t *rapid.T) {
				var listed []uint64
				kept := map[Key]bool{}
				for _, k := range keys {
					if rapid.Bool().Draw(t, "listed") {
						listed = append(listed, k.Try)
						kept[k] = true
					}
				}
				last := uint64(rapid.IntRange(0, seq).Draw(t, "last"))
				c.Reconcile(now, key(0).Holder(), listed, last, now.Add(5*time.Second))
				for k := range live {
					if k.Try <= last && !kept[k] {
						delete(live, k)
					}
				}
			},
			"release": func(t *rapid.T) {
				k := pick()
				assert.Equal(t, c.Release(now, k, outcome()), live[k])
				delete(live, k)
				dispatch()
			},
			"endpoints": func(t *rapid.T) {
				leaving = map[string]bool{}
				var eps []*config.Endpoint
				for _, ep := range all {
					if rapid.IntRange(0, 9).Draw(t, "gone") > 0 {
						eps = append(eps, ep)
					}
					leaving[ep.Addr] = rapid.IntRange(0, 4).Draw(t, "leaving") == 0
				}
				c.SetEndpoints(eps, leaving)
				for _, d := range c.RefuseInfeasible() {
					assert.Assert(t, live[d.Key])
					delete(live, d.Key)
				}
				dispatch()
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
				for _, k := range c.ExpireLeases(now) {
					assert.Assert(t, live[k])
					delete(live, k)
				}
				dispatch()
			},
			"": func(t *rapid.T) {
				assert.Equal(t, len(c.demands), len(live))
				for _, x := range c.targets {
					assert.Assert(t, x.slots >= 0 && x.slots <= x.ep.Slots, "%s: %d slots", x.ep.Name, x.slots)
					assert.Assert(t, x.pieces >= 0 && x.pieces <= x.ep.Pieces, "%s: %d pieces", x.ep.Name, x.pieces)
				}
			},
		})
		for k := range live {
			c.Release(now, k, sched.Abandoned)
		}
		var seconds, work float64
		for _, x := range c.targets {
			seconds, work = seconds+x.prefillSeconds, work+x.prefillTokens
		}
		assert.Assert(t, math.Abs(seconds-c.prefillSeconds) < 1e-6 && math.Abs(work-c.prefillTokens) < 1e-3)
		assert.Equal(t, c.Waiting()+len(c.grantsByID)+len(c.demands)+len(c.byHolder), 0)
		for _, x := range c.targets {
			assert.Equal(t, x.slots, 0)
			assert.Equal(t, x.pieces, 0)
			assert.Equal(t, x.pendingPrefill, time.Duration(0))
		}
	})
}

func TestDecodeSlotComesBeforePrefill(t *testing.T) {
	c := newCore(endpoints(2, 1, 2, 0))
	for n := range 3 {
		mustEnqueue(t, c, t0, n+1, newDemand(n+1, "a"))
	}
	got := grants(c.Dispatch(t0))
	assert.Equal(t, len(got), 2, "one grant for each decode slot")
	c.Release(t0, got[0].Key, sched.Succeeded)
	assert.Equal(t, len(grants(c.Dispatch(t0))), 1)
}

func TestPrefillQueueStaysShort(t *testing.T) {
	c := newCore(endpoints(1, 4, 20, 0))
	for n := range 40 {
		d := newDemand(n+1, "a")
		d.Prompt = 2000 // 200 ms at the assumed rate
		mustEnqueue(t, c, t0, n+1, d)
	}
	assert.Equal(t, len(grants(c.Dispatch(t0))), 2, "the second prefill is within MaxPrefillBacklog, a third is not")
}

func TestPrefillFollowsCacheAndRate(t *testing.T) {
	c := newCore(endpoints(2, 2, 20, 0))
	prefix := []uint64{1, 2, 3}
	c.ObserveCache("p1", []endpoint.CacheEvent{{Seq: 1, Hash: 1}, {Seq: 2, Hash: 2}, {Seq: 3, Hash: 3}})
	d := newDemand(1, "a")
	d.Prompt, d.Prefix = 3*endpoint.PieceTokens+10, prefix
	mustEnqueue(t, c, t0, 1, d)
	got := grants(c.Dispatch(t0))
	assert.Equal(t, got[0].Prefill.Name, "p1")
	c.Release(t0, got[0].Key, sched.Abandoned)

	c.ObserveCache("p1", []endpoint.CacheEvent{{Seq: 4, Hash: 1, Removed: true}})
	c.targets["p1"].prefillSeconds, c.targets["p1"].prefillTokens = 10, 1000 // slow
	c.targets["p0"].prefillSeconds, c.targets["p0"].prefillTokens = 0.1, 1000
	mustEnqueue(t, c, t0, 2, d)
	assert.Equal(t, grants(c.Dispatch(t0))[0].Prefill.Name, "p0")
}

// TestPrefillFallsBackToOtherDataCentre checks that prefill engines of other data
// centres are used if, and only if, no local one is available.
func TestPrefillFallsBackToOtherDataCentre(t *testing.T) {
	eps := endpoints(3, 2, 20, 0)
	eps[1].DataCentre = "other"
	eps[2].DataCentre = "third"
	eps[4].DataCentre = "other" // a decode engine of another data centre is never used
	c := newCore(eps)
	prefill := func(n int, exclude ...string) string {
		d := newDemand(n, "a")
		d.Exclude = exclude
		mustEnqueue(t, c, t0, n, d)
		g := grants(c.Dispatch(t0))
		assert.Equal(t, len(g), 1)
		assert.Equal(t, g[0].Decode.Name, "d0")
		c.PrefillDone(t0, g[0].Key, sched.Succeeded)
		return g[0].Prefill.Name
	}
	for n := range 5 {
		assert.Equal(t, prefill(n+1), "p0")
	}
	assert.Assert(t, prefill(6, "p0") != "p0")
	c.SetEndpoints(eps[1:], nil)
	// Untracked prefills count until their predicted end.
	busy := endpoint.Running{ID: reqid.ID{Instance: "x", Seq: 1}, Pieces: 10}
	c.ObserveRunning(t0, "p1", []endpoint.Running{busy})
	for n := range 5 {
		assert.Equal(t, prefill(n+10), "p2")
	}
	t0 := t0.Add(3 * time.Second)
	used := map[string]bool{}
	for n := range 10 {
		mustEnqueue(t, c, t0, n+20, newDemand(n+20, "a"))
	}
	for _, g := range grants(c.Dispatch(t0)) {
		used[g.Prefill.Name] = true
	}
	assert.Assert(t, used["p1"])
}

func TestRateIsLearned(t *testing.T) {
	c := newCore(endpoints(1, 1, 20, 0))
	now := t0
	for n := range 20 {
		mustEnqueue(t, c, now, n+1, newDemand(n+1, "a"))
		assert.Equal(t, len(grants(c.Dispatch(now))), 1)
		now = now.Add(500*time.Millisecond + 1000*c.tuning.TransferPerToken)
		c.PrefillDone(now, key(n+1), sched.Succeeded)
		c.Release(now, key(n+1), sched.Succeeded)
	}
	got := c.prefillTime(c.targets["p0"], 1000)
	assert.Assert(t, got > 499*time.Millisecond && got < 501*time.Millisecond, "%v", got)
}

func TestEarlyRefusal(t *testing.T) {
	c := newCore(endpoints(2, 1, 1, 0))
	now := t0
	seq := 0
	for range 300 {
		seq++
		d := newDemand(seq, "a")
		d.MaxWait, d.FirstToken = time.Hour, 0
		mustEnqueue(t, c, now, seq, d)
	}
	for range 40 { // one grant every 100 ms
		for _, d := range grants(c.Dispatch(now)) {
			c.PrefillDone(now, d.Key, sched.Succeeded)
			c.Release(now.Add(100*time.Millisecond), d.Key, sched.Succeeded)
		}
		now = now.Add(100 * time.Millisecond)
	}
	assert.Assert(t, c.serviceRate.value > 14000 && c.serviceRate.value < 16000, "%v", c.serviceRate.value)
	d := newDemand(seq+1, "a")
	d.Arrived, d.MaxWait = now, time.Second
	_, err := c.Enqueue(now, key(seq+1), d, time.Time{})
	assert.Assert(t, err != nil && err.Kind == errkind.DeadlineUnreachable && err.Execution == errkind.NotRun)
	d.Account = "other" // has a fair share of its own, so it is not predicted to wait
	_, err = c.Enqueue(now, key(seq+2), d, time.Time{})
	assert.Assert(t, err == nil, "%v", err)
}

func TestWaitEndsAtDeadline(t *testing.T) {
	c := newCore(endpoints(1, 1, 1, 0))
	mustEnqueue(t, c, t0, 1, newDemand(1, "a"))
	mustEnqueue(t, c, t0, 2, newDemand(2, "a"))
	assert.Equal(t, len(c.Dispatch(t0)), 1)
	out := c.Dispatch(t0.Add(11 * time.Second))
	assert.Equal(t, len(out), 1)
	assert.Equal(t, out[0].Err.Kind, errkind.DeadlineUnreachable)
}

func TestInfeasibleDemandsAreRefused(t *testing.T) {
	c := newCore(endpoints(1, 2, 4, 8))
	d := newDemand(1, "a")
	d.MaxOutput = 9 * endpoint.PieceTokens
	_, err := c.Enqueue(t0, key(1), d, time.Time{})
	assert.Equal(t, err.Kind, errkind.TooLarge)
	d = newDemand(2, "a")
	d.Exclude = []string{"d0", "d1"}
	_, err = c.Enqueue(t0, key(2), d, time.Time{})
	assert.Equal(t, err.Kind, errkind.NoEndpoint)
	mustEnqueue(t, c, t0, 3, newDemand(3, "a"))
	c.SetEndpoints(endpoints(1, 0, 0, 0), nil)
	out := c.RefuseInfeasible()
	assert.Equal(t, len(out), 1)
	assert.Equal(t, out[0].Err.Kind, errkind.NoEndpoint)
	assert.Equal(t, len(c.demands), 0)
}

func TestExcludedEndpointIsNotUsed(t *testing.T) {
	c := newCore(endpoints(2, 2, 20, 0))
	for n := range 20 {
		d := newDemand(n+1, "a")
		d.Exclude = []string{"d1", "p0"}
		mustEnqueue(t, c, t0, n+1, d)
		for _, g := range grants(c.Dispatch(t0)) {
			assert.Equal(t, g.Decode.Name, "d0")
			assert.Equal(t, g.Prefill.Name, "p1")
			c.PrefillDone(t0, g.Key, sched.Succeeded)
		}
	}
	assert.Equal(t, c.targets["d0"].slots, 20)
}

// TestEjectionIsCappedAndProbed makes every decode engine fail. Half of them stay in
// use, and an ejected one gets a single probe request before it is used again.
func TestEjectionIsCappedAndProbed(t *testing.T) {
	c := newCore(endpoints(4, 4, 20, 0))
	seq := 0
	now := t0
	round := func(o sched.Outcome) string {
		seq++
		mustEnqueue(t, c, now, seq, newDemand(seq, "a"))
		g := grants(c.Dispatch(now))
		assert.Equal(t, len(g), 1)
		c.PrefillDone(now, g[0].Key, sched.Succeeded)
		c.Release(now, g[0].Key, o)
		return g[0].Decode.Name
	}
	ejected := func() (n int) {
		for _, x := range c.decode {
			if x.ejected {
				n++
			}
		}
		return n
	}
	for range 100 {
		round(sched.Failed)
		assert.Assert(t, ejected() <= 2)
	}
	assert.Equal(t, ejected(), 2)
	assert.Assert(t, len(c.HealthChanges()) == 2)
	now = now.Add(c.tuning.MaxEjectTime)
	probes := 0
	for range 40 { // grants are kept: at most one at each ejected engine
		seq++
		mustEnqueue(t, c, now, seq, newDemand(seq, "a"))
		for _, g := range grants(c.Dispatch(now)) {
			c.PrefillDone(now, g.Key, sched.Succeeded)
			if x := c.targets[g.Decode.Name]; x.ejected {
				probes++
				assert.Equal(t, x.slots, 1)
			}
		}
	}
	assert.Equal(t, probes, 2)
	for k, m := range c.demands {
		if m.decode != nil {
			c.Release(now, k, sched.Succeeded)
		}
	}
	assert.Equal(t, ejected(), 0)
	back := c.HealthChanges()
	assert.Assert(t, len(back) == 2 && !back[0].Ejected && !back[1].Ejected, "%v", back)
}

func TestLastEndpointIsNotEjected(t *testing.T) {
	c := newCore(endpoints(1, 1, 20, 0))
	for n := range 10 {
		mustEnqueue(t, c, t0, n+1, newDemand(n+1, "a"))
		g := grants(c.Dispatch(t0))
		assert.Equal(t, len(g), 1)
		c.PrefillDone(t0, g[0].Key, sched.Failed)
		c.Release(t0, g[0].Key, sched.Failed)
		c.ObservePollFailure("d0")
	}
}

func TestSlowEndpointIsEjected(t *testing.T) {
	c := newCore(endpoints(8, 4, 20, 0))
	now := t0
	for n := range 100 {
		mustEnqueue(t, c, now, n+1, newDemand(n+1, "a"))
		g := grants(c.Dispatch(now))[0]
		now = now.Add(100 * time.Millisecond)
		c.PrefillDone(now, g.Key, sched.Succeeded)
		took := 20 * time.Millisecond
		if g.Decode.Name == "d2" {
			took = 2 * time.Second
		}
		c.FirstToken(now.Add(took), g.Key)
		c.Release(now.Add(took), g.Key, sched.Succeeded)
		if c.targets["d2"].ejected {
			return
		}
	}
	t.Fatal("slow endpoint was not ejected")
}

// TestFullEndpointIsPaused checks that an engine which refuses as full, because the
// Core's view of it was wrong, gets no requests for a while.
func TestFullEndpointIsPaused(t *testing.T) {
	c := newCore(endpoints(2, 2, 20, 0))
	mustEnqueue(t, c, t0, 1, newDemand(1, "a"))
	first := grants(c.Dispatch(t0))[0]
	c.Release(t0, first.Key, sched.Full)
	for n := range 6 {
		mustEnqueue(t, c, t0, n+2, newDemand(n+2, "a"))
		for _, g := range grants(c.Dispatch(t0)) {
			assert.Assert(t, g.Decode.Name != first.Decode.Name)
		}
	}
}

func TestUntrackedWorkCounts(t *testing.T) {
	c := newCore(endpoints(2, 1, 3, 0))
	untracked := []endpoint.Running{{ID: reqid.ID{Instance: "x", Seq: 1}}, {ID: reqid.ID{Instance: "x", Seq: 2}}}
	c.ObserveRunning(t0, "d0", untracked)
	mustEnqueue(t, c, t0, 1, newDemand(1, "a"))
	mustEnqueue(t, c, t0, 2, newDemand(2, "a"))
	assert.Equal(t, len(grants(c.Dispatch(t0))), 1)
	c.ObserveRunning(t0, "d0", append(untracked[:1], endpoint.Running{ID: key(1).ID}))
	assert.Equal(t, len(grants(c.Dispatch(t0))), 1)
}

// TestStarvedDemandGetsMemory checks that a steady stream of small demands does not
// starve a large one that needs most of an engine's memory.
func TestStarvedDemandGetsMemory(t *testing.T) {
	c := newCore(endpoints(4, 2, 20, 10))
	seq := 0
	var running []Key
	small := func(now time.Time) {
		seq++
		mustEnqueue(t, c, now, seq, newDemand(seq, "small"))
	}
	for range 20 {
		small(t0)
	}
	collect := func(now time.Time) bool {
		for _, g := range grants(c.Dispatch(now)) {
			c.PrefillDone(now, g.Key, sched.Succeeded)
			if g.Key == key(1_000_000) {
				return true
			}
			running = append(running, g.Key)
		}
		return false
	}
	for range 10 {
		collect(t0)
	}
	large := newDemand(1_000_000, "large")
	large.MaxOutput = 8 * endpoint.PieceTokens
	mustEnqueue(t, c, t0, 1_000_000, large)
	for i := range 1000 {
		now := t0.Add(time.Duration(i) * time.Millisecond)
		small(now)
		small(now)
		c.Release(now, running[0], sched.Succeeded)
		running = running[1:]
		if collect(now) {
			return
		}
	}
	t.Fatal("the large demand starved")
}

// TestOneAccountAtTenTimesItsRate compares the longest wait of four accounts within
// their share, with and without a fifth account that sends ten times its rate.
func TestOneAccountAtTenTimesItsRate(t *testing.T) {
	longest := func(flood int) time.Duration {
		c := newCore(endpoints(8, 2, 10, 0))
		var worst time.Duration
		ends := map[time.Time][]Key{}
		arrived := map[Key]time.Time{}
		seq := 0
		for tick := range 6000 {
			now := t0.Add(time.Duration(tick) * time.Millisecond)
			push := func(account string) {
				seq++
				mustEnqueue(t, c, now, seq, newDemand(seq, account))
				if account != "flood" {
					arrived[key(seq)] = now
				}
			}
			for i := range 4 { // 20 per second each; the pool serves 200 per second
				if tick%50 == 10*i {
					push(fmt.Sprintf("a%d", i))
				}
			}
			if tick%50 == 5 {
				for range flood {
					push("flood")
				}
			}
			for _, k := range ends[now] {
				c.Release(now, k, sched.Succeeded)
			}
			delete(ends, now)
			for _, g := range grants(c.Dispatch(now)) {
				c.PrefillDone(now, g.Key, sched.Succeeded)
				if at, ok := arrived[g.Key]; ok {
					worst = max(worst, now.Sub(at))
				}
				end := now.Add(100 * time.Millisecond)
				ends[end] = append(ends[end], g.Key)
			}
		}
		return worst
	}
	without, with := longest(1), longest(10)
	// The next slot becomes free within one service time, 100 ms.
	assert.Assert(t, with <= without+100*time.Millisecond, "longest wait %v without the flood, %v with it", without, with)
}

func benchmarkDispatch(b *testing.B, prefills, decodes int) {
	c := newCore(endpoints(prefills, decodes, 20, 200))
	now := t0
	seq := 0
	push := func() {
		seq++
		d := newDemand(seq, fmt.Sprintf("a%d", seq%100))
		d.MaxWait = 24 * time.Hour
		_, _ = c.Enqueue(now, key(seq), d, time.Time{})
	}
	var running []Key
	serve := func() {
		for _, g := range grants(c.Dispatch(now)) {
			c.PrefillDone(now, g.Key, sched.Succeeded)
			running = append(running, g.Key)
		}
	}
	for c.Waiting() < 2000 {
		push()
		serve()
	}
	granted := len(running)
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(10 * time.Microsecond)
		push()
		c.Release(now, running[0], sched.Succeeded)
		running = running[1:]
		serve()
	}
	b.ReportMetric(float64(len(running)-granted+b.N)/float64(b.N), "grants/op")
}

func BenchmarkGrant33(b *testing.B)  { benchmarkDispatch(b, 11, 22) }
func BenchmarkGrant700(b *testing.B) { benchmarkDispatch(b, 230, 470) }
