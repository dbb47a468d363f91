package placement

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"carawayrouter.example/router/internal/config"
	"carawayrouter.example/router/internal/limit/coldstart"
	"carawayrouter.example/router/internal/sched"
)

const (
	coldTime = 3 * time.Second
	coldRate = 26.0
	// coldBound is what the schedulers of coldFleet may send together to a cold endpoint in a second.
	coldBound = 44 // coldRate x 1.5 + 5
)

// returned returns a configuration whose endpoints of data centre b have just come back cold.
func returned(plain, prefill, decode int, rate float64) *config.State {
	o := &config.Objects{Pools: []*config.Pool{
		{Name: modelPool, Kind: config.ModelPool, Engine: &config.EngineSpec{Slots: 12, KVTokens: 54_000, Stride: 72}, ColdRate: rate, ColdTime: coldTime},
		{Name: servicePool, Kind: config.ServicePool, ColdRate: rate, ColdTime: coldTime},
	}}
	add := func(role config.Role, pool string, n int) {
		for i := range n {
			e := &config.Endpoint{Name: fmt.Sprintf("%s-%d", role, i), Pool: pool, Addr: fmt.Sprintf("10.0.0.%d:1", i), DataCentre: "a", Role: role, Slots: 12, Incarnation: 7, Revision: 1}
			if i%2 == 1 {
				e.DataCentre, e.WarmUp = "b", coldTime
			}
			o.Endpoints = append(o.Endpoints, e)
		}
	}
	add(config.Plain, servicePool, plain)
	add(config.Prefill, modelPool, prefill)
	add(config.Decode, modelPool, decode)
	return config.Build(1, o)
}

// coldFleet returns the schedulers of n instances that have been running for long and know each other.
func coldFleet(n int, st *config.State) []*Scheduler {
	var names []string
	for i := range n {
		names = append(names, fmt.Sprintf("i%d", i))
	}
	var out []*Scheduler
	for i, name := range names {
		s := newScheduler(uint64(i), config.Build(1, &config.Objects{}))
		s.SetColdSlack(1.5, 5, coldstart.NewFleet(name, start.Add(-time.Hour)))
		s.SetFleet(start, slices.Delete(slices.Clone(names), i, i+1), true)
		s.SetEndpoints(start, st)
		out = append(out, s)
	}
	return out
}

// worstSecond returns the greatest number of the times within a second.
func worstSecond(times []time.Time) int {
	slices.SortFunc(times, time.Time.Compare)
	most, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) > time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// A data centre comes back cold at once while the callers of the lost one wait at all instances: each instance gives
// each returned endpoint its part, and together they use them without exceeding what they bear. Prefills and decodes
// count.
func TestReturnOfADataCentreInAFlood(t *testing.T) {
	for _, instances := range []int{3, 65} {
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			st := returned(0, 4, 8, coldRate)
			fleet := coldFleet(instances, st)
			sends := map[string][]time.Time{}
			type run struct {
				s            *Scheduler
				l            *Lease
				decode, over time.Time
				sent         bool
			}
			var runs []*run
			served := 0
			for now := start; now.Before(start.Add(coldTime)); now = now.Add(10 * time.Millisecond) {
				for _, s := range fleet {
					for range 3 {
						l := s.AcquireEngine(now, demand(2000, 70))
						if l == nil {
							break
						}
						if s.Admit(now, sendTo(l.Prefill)) == "" {
							sends[l.Prefill.Name] = append(sends[l.Prefill.Name], now)
							runs = append(runs, &run{s: s, l: l, decode: now.Add(60 * time.Millisecond), over: now.Add(400 * time.Millisecond)})
						} else {
							s.Release(now, l, sched.Abandoned)
						}
					}
				}
				runs = slices.DeleteFunc(runs, func(r *run) bool {
					switch {
					case !r.sent && !now.Before(r.decode):
						r.s.PrefillDone(now, r.l, sched.Succeeded)
						if r.s.Admit(now, sendTo(r.l.Target)) != "" {
							r.s.Release(now, r.l, sched.Abandoned)
							return true
						}
						sends[r.l.Target.Name] = append(sends[r.l.Target.Name], now)
						r.sent = true
						r.s.RecordProgress(now, r.l, 1)
					case r.sent && !now.Before(r.over):
						r.s.Release(now, r.l, sched.Succeeded)
						served++
						return true
					}
					return false
				})
			}
			cold := 0
			for name, times := range sends {
				if st.Endpoints[name].WarmUp > 0 {
					cold += len(times)
					assert.Assert(t, worstSecond(times) <= coldBound, "%s got %d requests within a second", name, worstSecond(times))
				}
			}
			assert.Assert(t, cold > 6*coldBound*3/4, "the 6 returned ones are used: %d requests in 3 s", cold)
			assert.Assert(t, served > 0)
		})
	}
}

// A cold endpoint shows what it can do: one request at first, one more with each that it has served. One that is slow
// or ends holds up few.
func TestColdEndpointIsUsedAsFarAsItServes(t *testing.T) {
	s := coldFleet(1, returned(2, 0, 0, coldRate))[0]
	d := Demand{Pool: servicePool, Exclude: []string{"plain-0"}}
	first := s.AcquireService(start, d)
	assert.Equal(t, first.Target.Name, "plain-1")
	assert.Assert(t, s.AcquireService(start, d) == nil, "it has shown nothing")
	s.Release(start.Add(50*time.Millisecond), first, sched.Succeeded)
	second, third := s.AcquireService(start.Add(time.Second), d), s.AcquireService(start.Add(time.Second), d)
	assert.Assert(t, second != nil && third != nil)
	assert.Assert(t, s.AcquireService(start.Add(time.Second), d) == nil)
	assert.Assert(t, s.AcquireService(start.Add(coldTime), d) != nil, "it is warm")
}

// An endpoint that becomes cold again, or whose data centre gets requests again, may still run streams of this instance. Those that
// it has given tokens do not keep new requests from it until they end.
func TestStreamsThatRunOnDoNotHoldUpAColdEndpoint(t *testing.T) {
	for name, becomeCold := range map[string]func(s *Scheduler, now time.Time){
		"as it says": func(s *Scheduler, now time.Time) {
			s.RecordCold(now, ColdEndpoint{Endpoint: "decode-1", Incarnation: 7, Left: coldTime})
		},
		"as another instance is told": func(s *Scheduler, now time.Time) {
			s.MergeCold(now, ColdEndpoint{Endpoint: "decode-1", Incarnation: 7, Left: coldTime})
		},
		"as its data centre returns": func(s *Scheduler, now time.Time) { s.recordReturn(now, "b") },
		"by its entry": func(s *Scheduler, now time.Time) {
			st := returned(0, 2, 2, coldRate)
			st.Endpoints["decode-1"].Revision = 2
			s.SetEndpoints(now, st)
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := coldFleet(1, returned(0, 2, 2, coldRate))[0]
			now := start.Add(2 * coldTime)
			d := demand(100, 1000)
			d.Exclude = []string{"prefill-1", "decode-0"}
			for range 3 {
				l := s.AcquireEngine(now, d)
				assert.Equal(t, l.Target.Name, "decode-1")
				s.PrefillDone(now, l, sched.Succeeded)
				s.RecordProgress(now, l, 5)
			}
			becomeCold(s, now)
			assert.Assert(t, s.IsColdBound(now, "decode-1"))
			assert.Assert(t, s.AcquireEngine(now, d) != nil)
			assert.Assert(t, s.AcquireEngine(now, d) == nil, "it has shown no more")
		})
	}
}

// In a large fleet no instance sees much of a cold endpoint within its cold time: the streams of the others that run
// there show what it can do.
func TestStreamsOfOthersShowThatAColdEndpointServes(t *testing.T) {
	s := coldFleet(2, returned(0, 2, 2, coldRate))[0]
	x := s.endpoints["decode-1"]
	before := x.coldFactor(start)
	s.SetPeer("i1", &PeerState{UpdatedAt: start, Generations: map[string][]Generation{"decode-1": {
		{Prompt: 10, PlannedOutput: 100, Generated: 5, AsOf: start}, {Prompt: 10, PlannedOutput: 100, AsOf: start}}}})
	assert.Equal(t, x.shown(start), 1, "the other one has generated nothing")
	assert.Assert(t, x.coldFactor(start) < before)
	assert.Equal(t, x.shown(start.Add(peerTimeout+1)), 0)
}

// While others are free, a cold endpoint gets nothing.
func TestWarmEndpointsGoFirst(t *testing.T) {
	s := coldFleet(1, returned(4, 4, 4, coldRate))[0]
	for i := range 20 {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		call, generation := s.AcquireService(now, Demand{Pool: servicePool}), s.AcquireEngine(now, demand(100, 10))
		for _, ep := range []*config.Endpoint{call.Target, generation.Prefill, generation.Target} {
			assert.Equal(t, ep.DataCentre, "a")
		}
		s.Release(now, call, sched.Succeeded)
		s.PrefillDone(now, generation, sched.Succeeded)
		s.Release(now, generation, sched.Succeeded)
	}
}

// Who finds only cold endpoints without a turn learns when the next one is, or when they are warm.
func TestNextTurnAtColdEndpoints(t *testing.T) {
	st := returned(2, 0, 0, 1) // bound 6, of which 4 are divided
	delete(st.Endpoints, "plain-0")
	for _, s := range coldFleet(65, st) {
		wait := s.NextTurn(start, Demand{Pool: servicePool})
		if l := s.AcquireService(start, Demand{Pool: servicePool}); l != nil {
			assert.Equal(t, wait, time.Duration(0))
			assert.Equal(t, s.Admit(start, sendTo(l.Target)), Refusal(""))
			s.Release(start, l, sched.Succeeded)
			wait = s.NextTurn(start, Demand{Pool: servicePool})
			assert.Assert(t, wait > 0 && wait < 2*time.Second)
			assert.Assert(t, s.AcquireService(start.Add(wait), Demand{Pool: servicePool}) != nil)
			continue
		}
		assert.Equal(t, wait, coldTime)
	}
}

// A generation that finds only cold endpoints without a turn waits for the next one, and its wait is predicted, so that
// one that cannot be on time is refused at once.
func TestGenerationWaitsForATurnAtColdEndpoints(t *testing.T) {
	st := returned(0, 2, 2, 1) // bound 6, of which 4 are divided: all fall to the only instance
	delete(st.Endpoints, "prefill-0")
	delete(st.Endpoints, "decode-0")
	s := coldFleet(1, st)[0]
	now, granted := start, 0
	for ; s.turnAfter(now, &Demand{Pool: modelPool}, config.Prefill, 0) == 0 && granted < 10; granted++ {
		l := s.AcquireEngine(now, demand(100, 10))
		assert.Assert(t, l != nil && s.Admit(now, sendTo(l.Prefill)) == "" && s.Admit(now, sendTo(l.Target)) == "")
		s.PrefillDone(now, l, sched.Succeeded)
		s.Release(now, l, sched.Succeeded)
		now = now.Add(10 * time.Millisecond)
		s.endpoints["decode-1"].cold.served++
	}
	assert.Equal(t, granted, 4)
	var q Queue
	w := &Waiter{Demand: demand(100, 10), Arrived: now, Due: now.Add(time.Minute), Deadline: now.Add(time.Minute)}
	wait := q.PredictWait(now, s, w)
	assert.Assert(t, wait > 500*time.Millisecond && wait < 2*time.Second, "%s", wait)
	q.Push(w)
	assert.Equal(t, len(q.Serve(now.Add(wait-50*time.Millisecond), s)), 0)
	assert.Equal(t, len(q.Serve(now.Add(wait), s)), 1)
}

// The remaining time of an entry counts from its reading, once for each revision; what endpoints say makes them cold
// again; another incarnation goes by its own entry.
func TestWhoIsCold(t *testing.T) {
	st := returned(2, 0, 0, coldRate)
	s := coldFleet(1, st)[0]
	s.SetEndpoints(start.Add(2*time.Second), st)
	assert.Assert(t, s.IsColdBound(start.Add(coldTime-1), "plain-1"))
	assert.Assert(t, !s.IsColdBound(start.Add(coldTime), "plain-1"), "the same revision was read again")

	later := start.Add(10 * time.Second)
	s.RecordCold(later, ColdEndpoint{Endpoint: "plain-1", Incarnation: 6, Left: time.Second})
	assert.Assert(t, !s.IsColdBound(later, "plain-1"), "a former incarnation said so")
	s.RecordCold(later, ColdEndpoint{Endpoint: "plain-1", Incarnation: 7, Left: time.Second})
	s.MergeCold(later, ColdEndpoint{Endpoint: "plain-0", Incarnation: 7, Left: time.Second})
	assert.Assert(t, s.IsColdBound(later, "plain-0") && s.IsColdBound(later, "plain-1"))
	var told []ColdEndpoint
	s.EachReportedCold(later, func(c ColdEndpoint) { told = append(told, c) })
	assert.DeepEqual(t, told, []ColdEndpoint{{Endpoint: "plain-1", Incarnation: 7, Left: time.Second}})

	next := returned(2, 0, 0, coldRate)
	next.Endpoints["plain-1"].Incarnation, next.Endpoints["plain-1"].WarmUp = 8, 0
	s.SetEndpoints(later, next)
	assert.Assert(t, !s.IsColdBound(later, "plain-1"))
}

// Three instances have each heard the endpoint themselves and tell each other, with a transit. The cold time ends one
// transit late at most, however often they tell.
func TestColdTimeIsNotExtendedByTelling(t *testing.T) {
	const transit, left = 50 * time.Millisecond, time.Second
	type telling struct {
		from int
		at   time.Time
		told ColdEndpoint
	}
	fleet := coldFleet(3, returned(1, 0, 0, coldRate))
	for _, s := range fleet {
		s.RecordCold(start, ColdEndpoint{Endpoint: "plain-0", Incarnation: 7, Left: left})
	}
	var underWay []telling
	now := start
	for ; now.Before(start.Add(left + transit)); now = now.Add(10 * time.Millisecond) {
		for len(underWay) > 0 && !now.Before(underWay[0].at) {
			for i, s := range fleet {
				if i != underWay[0].from {
					s.MergeCold(now, underWay[0].told)
				}
			}
			underWay = underWay[1:]
		}
		for i, s := range fleet {
			s.EachReportedCold(now, func(c ColdEndpoint) { underWay = append(underWay, telling{i, now.Add(transit), c}) })
		}
	}
	for i, s := range fleet {
		assert.Assert(t, !s.IsColdBound(now, "plain-0"), "instance %d", i)
	}
}

// The endpoints of a data centre that gets requests again after its evacuation count as cold, before their entries say
// so. The others do not, and the other instances are not told.
func TestEndpointsOfAReturnedDataCentreCountAsCold(t *testing.T) {
	s := coldFleet(1, returned(2, 0, 0, coldRate))[0]
	later := start.Add(10 * time.Second)
	s.recordReturn(later, "b")
	assert.Assert(t, s.IsColdBound(later.Add(coldTime-1), "plain-1") && !s.IsColdBound(later.Add(coldTime), "plain-1"))
	assert.Assert(t, !s.IsColdBound(later, "plain-0"))
	s.EachReportedCold(later, func(c ColdEndpoint) { t.Fatalf("%s is reported", c.Endpoint) })
	s = coldFleet(1, returned(2, 0, 0, 0))[0]
	s.recordReturn(later, "b")
	assert.Assert(t, !s.IsColdBound(later, "plain-1"), "without a rate")
}

// Without a rate that cold endpoints bear, nothing changes: they get what the others get.
func TestColdEndpointsWithoutARate(t *testing.T) {
	warm := returned(4, 4, 4, 0)
	for _, ep := range warm.Endpoints {
		ep.WarmUp = 0
	}
	choices := func(st *config.State) (names []string) {
		s := coldFleet(1, st)[0]
		for i := range 50 {
			now := start.Add(time.Duration(i) * time.Millisecond)
			call, generation := s.AcquireService(now, Demand{Pool: servicePool}), s.AcquireEngine(now, demand(100, 10))
			names = append(names, call.Target.Name)
			if generation != nil {
				names = append(names, generation.Prefill.Name, generation.Target.Name)
			}
		}
		return names
	}
	assert.DeepEqual(t, choices(returned(4, 4, 4, 0)), choices(warm))
}

func BenchmarkAcquireServiceCold(b *testing.B) {
	s := coldFleet(1, returned(20, 0, 0, 1e4))[0]
	now := start
	b.ReportAllocs()
	for b.Loop() {
		if l := s.AcquireService(now, Demand{Pool: servicePool}); l != nil {
			s.Admit(now, sendTo(l.Target))
			s.Release(now, l, sched.Succeeded)
		}
	}
}

func sendTo(ep *config.Endpoint) Send { return Send{Endpoint: ep.Name, Incarnation: ep.Incarnation} }
