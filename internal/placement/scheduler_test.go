package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"carawayrouter.example/router/internal/config"
	"carawayrouter.example/router/internal/sched"
)

const (
	modelPool   = "writers"
	servicePool = "desk"
)

// engines returns a configuration with prefill and decode engines of the same memory size,
// and three endpoints of a plain service.
func engines(prefill, decode, kvTokens int) *config.State {
	o := &config.Objects{Pools: []*config.Pool{
		{Name: modelPool, Kind: config.ModelPool, Engine: &config.EngineSpec{Slots: 48, KVTokens: kvTokens, Stride: 72}},
		{Name: servicePool, Kind: config.ServicePool},
	}}
	for i := range prefill + decode {
		role := config.Prefill
		if i >= prefill {
			role = config.Decode
		}
		o.Endpoints = append(o.Endpoints, &config.Endpoint{Name: fmt.Sprintf("%s-%d", role, i), Pool: modelPool, Addr: fmt.Sprintf("10.0.0.%d:1", i), DataCentre: "a", Role: role, Slots: 48})
	}
	for i := range 3 {
		o.Endpoints = append(o.Endpoints, &config.Endpoint{Name: fmt.Sprintf("plain-%d", i), Pool: servicePool, Addr: fmt.Sprintf("10.0.1.%d:1", i), DataCentre: "a", Role: config.Plain, Slots: 6})
	}
	return config.Build(1, o)
}

func newScheduler(seed uint64, st *config.State) *Scheduler {
	s := New("a", rand.New(rand.NewPCG(seed, 1)))
	s.SetEndpoints(start, st)
	return s
}

func demand(prompt, output int) Demand {
	return Demand{Pool: modelPool, Prompt: prompt, MaxOutput: output, ExpectedOutput: output}
}

// plannedPeak returns the highest memory use planned for an engine, in tokens, and whether one
// of its generations is past its expected end.
func plannedPeak(now time.Time, x *endpointState) (tokens int, overdue bool) {
	generations := x.allGenerations(now)
	tokenTime := x.tokenTime + time.Duration(len(generations))*tokenTimePerRequest
	for _, g := range generations {
		overdue = overdue || g.expectedEnd(tokenTime).Before(now)
	}
	return peakMemory(now, generations, tokenTime), overdue
}

// For any sequence of grants and releases, no engine is granted a generation that does not
// fit below the headroom, and none is planned above its memory while its generations end in
// time. One that is overdue holds its memory beside those that were planned to follow it.
// Nothing is left held once all leases are released.
func TestSchedulerStaysWithinMemory(t *testing.T) {
	const kvTokens = 30000
	rapid.Check(t, func(t *rapid.T) {
		st := engines(2, 3, kvTokens)
		s := newScheduler(rapid.Uint64().Draw(t, "seed"), st)
		now := start
		var leases []*Lease
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0, 1:
				if l := s.AcquireEngine(now, demand(rapid.IntRange(1, 9000).Draw(t, "prompt"), rapid.IntRange(1, 9000).Draw(t, "output"))); l != nil {
					leases = append(leases, l)
					if got, _ := plannedPeak(now, l.targetEndpoint); float64(got) > memoryHeadroom*kvTokens {
						t.Fatalf("%s is planned with %d tokens at a grant", l.Target.Name, got)
					}
				}
			case 2:
				if len(leases) > 0 {
					s.PrefillDone(now, leases[0], sched.Succeeded)
				}
			case 3:
				if len(leases) > 0 {
					s.Release(now, leases[0], sched.Succeeded)
					leases = leases[1:]
				}
			}
			for _, x := range s.endpoints {
				if got, overdue := plannedPeak(now, x); x.ep.Role == config.Decode && !overdue && got > kvTokens {
					t.Fatalf("%s is planned with %d tokens", x.ep.Name, got)
				}
			}
		}
		for _, l := range leases {
			s.Release(now, l, sched.Abandoned)
		}
		for _, x := range s.endpoints {
			assert.Equal(t, len(x.generations), 0)
			assert.Equal(t, x.prefillTokens, 0)
			assert.Equal(t, x.calls, 0)
		}
	})
}

// A lease whose prefill is done moves to another decode engine without a second prefill.
func TestRedirectKeepsPrefill(t *testing.T) {
	s := newScheduler(1, engines(1, 2, 30000))
	d := demand(1000, 1000)
	l := s.AcquireEngine(start, d)
	s.PrefillDone(start, l, sched.Succeeded)
	from := l.Target.Name
	moved, ejected := s.Redirect(start, l, d, sched.Unreachable)
	assert.Assert(t, moved && ejected)
	assert.Assert(t, l.Target.Name != from)
	assert.Equal(t, len(s.endpoints[from].generations), 0)
	next := s.AcquireEngine(start, d)
	assert.Assert(t, next.Target.Name != from, "an engine that refused a connection is ejected")
}

// A decode engine resumes one broken stream at a time, counting those of other instances.
// In scenario barniz-quito scale-2 --seed 1, two engines crashed and a dozen streams were
// resumed at the others at once; the prefill of their output delayed 76 streams by more
// than 300 ms.
func TestBrokenStreamsAreTakenUpOneByOne(t *testing.T) {
	s := newScheduler(1, engines(2, 2, 100000))
	broken := demand(4000, 5000)
	broken.Generated = 3000
	first, second := s.AcquireEngine(start, broken), s.AcquireEngine(start, broken)
	assert.Assert(t, first != nil && second != nil && first.Target != second.Target)
	assert.Assert(t, s.AcquireEngine(start, broken) == nil)
	assert.Assert(t, s.AcquireEngine(start, demand(4000, 5000)) != nil, "new streams do not wait for them")
	s.RecordProgress(start, first, 72)
	third := s.AcquireEngine(start, broken)
	assert.Assert(t, third != nil && third.Target == first.Target)
	s.Release(start, third, sched.Abandoned)
	s.SetPeer("other", &PeerState{UpdatedAt: start, PrefillTokens: map[string]int{first.Target.Name: 2000}})
	assert.Assert(t, s.AcquireEngine(start, broken) == nil, "the engine is resuming a stream of another instance")
	s.Release(start, second, sched.Failed)
	fourth := s.AcquireEngine(start, broken)
	assert.Assert(t, fourth != nil && fourth.Target == second.Target)
}

// Without a prefill engine, decode engines prefill the prompts themselves.
func TestNoPrefillEngine(t *testing.T) {
	s := newScheduler(1, engines(0, 2, 30000))
	l := s.AcquireEngine(start, demand(1000, 1000))
	assert.Assert(t, l != nil && l.Prefill == nil)
}

// A leaving endpoint is in no new lease.
func TestLeavingEndpointGetsNoWork(t *testing.T) {
	st := engines(1, 2, 30000)
	st.Endpoints["decode-1"].Leaving = true
	s := newScheduler(1, st)
	for range 6 {
		if l := s.AcquireEngine(start, demand(100, 100)); l != nil {
			assert.Equal(t, l.Target.Name, "decode-2")
		}
	}
}

// Generations of another instance count until its updates are stale and the generations'
// expected ends have passed.
func TestPeerGenerationsCount(t *testing.T) {
	s := newScheduler(1, engines(1, 1, 10000))
	s.SetPeer("other", &PeerState{UpdatedAt: start, Generations: map[string][]Generation{"decode-1": {{Prompt: 5000, PlannedOutput: 4000, AsOf: start}}}})
	assert.Assert(t, s.AcquireEngine(start, demand(4000, 100)) == nil)
	s.SetPeer("other", &PeerState{UpdatedAt: start})
	l := s.AcquireEngine(start, demand(4000, 100))
	assert.Assert(t, l != nil)
	s.Release(start, l, sched.Succeeded)
	s.SetPeer("other", &PeerState{UpdatedAt: start, Generations: map[string][]Generation{"decode-1": {{Prompt: 5000, PlannedOutput: 4000, AsOf: start}}}})
	assert.Assert(t, s.AcquireEngine(start.Add(time.Minute), demand(4000, 100)) != nil, "the generation is past its expected end and the updates are stale")
}

// Plain calls avoid an endpoint that was ejected for failures until the ejection ends.
func TestFailingEndpointIsEjected(t *testing.T) {
	s := newScheduler(1, engines(1, 1, 10000))
	failing := ""
	now := start
	for i := 0; i < 100 && (failing == "" || s.endpoints[failing].ejectedUntil.IsZero()); i++ {
		l := s.AcquireService(now, Demand{Pool: servicePool})
		now = now.Add(defaultCallLatency)
		if failing == "" {
			failing = l.Target.Name
		}
		o := sched.Succeeded
		if l.Target.Name == failing {
			o = sched.Failed
		}
		s.Release(now, l, o)
	}
	assert.Assert(t, !s.endpoints[failing].ejectedUntil.IsZero())
	for range 20 {
		l := s.AcquireService(now, Demand{Pool: servicePool})
		assert.Assert(t, l.Target.Name != failing)
		s.Release(now, l, sched.Succeeded)
	}
	now = now.Add(maxEjection)
	seen := map[string]bool{}
	for range 40 {
		l := s.AcquireService(now, Demand{Pool: servicePool})
		seen[l.Target.Name] = true
		now = now.Add(defaultCallLatency)
		s.Release(now, l, sched.Succeeded)
	}
	assert.Assert(t, seen[failing])
}

// An endpoint that no connection can be made to gets no call until a connection succeeds.
// Without this rule, in a partitioned data centre, calls kept trying unreachable endpoints
// and losing the time of a connection attempt, and reachable ones were tried again last.
func TestUnreachableEndpointWaitsForAConnection(t *testing.T) {
	s := newScheduler(1, engines(1, 1, 10000))
	l := s.AcquireService(start, Demand{Pool: servicePool})
	unreachable := l.Target
	assert.Assert(t, s.Release(start, l, sched.Unreachable), "ejected at the first failure")
	now := start.Add(maxEjection + time.Second)
	for range 30 {
		l := s.AcquireService(now, Demand{Pool: servicePool})
		assert.Assert(t, l.Target.Name != unreachable.Name)
		s.Release(now, l, sched.Succeeded)
	}
	var names []string
	s.EachUnreachable(now, func(ep *config.Endpoint) { names = append(names, ep.Name) })
	assert.DeepEqual(t, names, []string{unreachable.Name})
	s.MarkReachable(unreachable)
	seen := map[string]bool{}
	for range 30 {
		l := s.AcquireService(now, Demand{Pool: servicePool})
		seen[l.Target.Name] = true
		now = now.Add(defaultCallLatency)
		s.Release(now, l, sched.Succeeded)
	}
	assert.Assert(t, seen[unreachable.Name])
}

// If every endpoint of a pool loses some answers (inc-a0f2), calls still go to the ejected
// endpoints: refusing all of them until an ejection ends serves fewer.
func TestFailingEndpointsAreTriedWhereThereIsNoOther(t *testing.T) {
	s := newScheduler(1, engines(1, 1, 10000))
	for range 20 * failuresToEject {
		l := s.AcquireService(start, Demand{Pool: servicePool})
		assert.Assert(t, l != nil)
		s.Release(start, l, sched.Failed)
	}
	for _, x := range s.pools[servicePool] {
		assert.Equal(t, x.refusal(start, choosing, &Demand{}), Ejected)
		s.endpoints[x.ep.Name].recordOutcome(start, sched.Unreachable)
	}
	assert.Assert(t, s.AcquireService(start, Demand{Pool: servicePool}) == nil, "no connection can be made")
}

// An instance is cut off once it reaches no endpoint of a pool that answers callers.
// Prefill engines do not count.
func TestCutOff(t *testing.T) {
	s := newScheduler(1, engines(1, 2, 10000))
	for _, name := range []string{"decode-1", "plain-0", "plain-1", "plain-2"} {
		assert.Assert(t, !s.CutOff(start))
		s.endpoints[name].recordOutcome(start, sched.Unreachable)
	}
	assert.Assert(t, s.CutOff(start))
	s.MarkReachable(s.endpoints["plain-1"].ep)
	assert.Assert(t, !s.CutOff(start))
	s.endpoints["decode-2"].recordOutcome(start, sched.Unreachable)
	assert.Assert(t, s.CutOff(start))
	assert.Assert(t, !s.CutOff(start.Add(unreachableTimeout)), "the ejection has ended; the endpoint may be reachable again")
}

// An endpoint at whose address another one answers gets no work until a new incarnation of
// it appears.
func TestReplacedEndpointGetsNoWork(t *testing.T) {
	st := engines(1, 1, 10000)
	s := newScheduler(1, st)
	l := s.AcquireService(start, Demand{Pool: servicePool})
	old := l.Target
	s.Release(start, l, sched.Replaced)
	for _, at := range []time.Duration{0, time.Second, time.Minute} {
		for range 10 {
			l := s.AcquireService(start.Add(at), Demand{Pool: servicePool})
			assert.Assert(t, l.Target.Name != old.Name)
			s.Release(start.Add(at), l, sched.Succeeded)
		}
	}
	restarted := *old
	restarted.Incarnation++
	s.SetEndpoints(start, st.Replace(2, &config.Objects{Endpoints: []*config.Endpoint{&restarted}}))
	assert.Equal(t, s.AcquireService(start, Demand{Pool: servicePool}).Target.Name, old.Name)
}
