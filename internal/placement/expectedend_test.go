package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"carawayrouter.example/router/internal/config"
	"carawayrouter.example/router/internal/endpointload"
	"carawayrouter.example/router/internal/sched"
)

const replayStep = time.Millisecond

// stubEndpoint works on its requests in order of arrival, as many at a time as it has slots, at a pace of its own.
type stubEndpoint struct {
	ep       *config.Endpoint
	requests []*stubRequest
}

type stubRequest struct {
	s       *Scheduler
	l       *Lease
	arrived time.Time
	left    float64 // ms of work at the usual pace
}

// loadReplay plays requests of 72 instances at stub endpoints, which report to the instance that asks, and instances
// tell each other what they have heard every 400 ms.
type loadReplay struct {
	endpoints int
	slots     int
	work      float64       // ms
	perSecond float64       // requests of all instances
	lasts     time.Duration // after a second in which nothing counts
	target    time.Duration // for a request
	prefills  bool          // prompts at prefill engines with one slot, else plain calls
	pace      func(endpoint int, at time.Duration) float64
	tells     bool // endpoints tell their pace; if not, the choice is the former one
	choose    func(*Scheduler, time.Time, Demand, *expectation) *endpointState
}

// run returns the share of the requests that were late, and the most requests of an endpoint over the mean.
func (p loadReplay) run(t *testing.T) (late, busiest float64) {
	t.Helper()
	const instances, promptTokens = 72, 5000
	o := &config.Objects{Pools: []*config.Pool{
		{Name: servicePool, Kind: config.ServicePool},
		{Name: modelPool, Kind: config.ModelPool, Engine: &config.EngineSpec{Slots: 1 << 20, KVTokens: 1 << 30, Stride: 72}},
	}}
	var stubs []*stubEndpoint
	for i := range p.endpoints {
		ep := &config.Endpoint{Name: fmt.Sprintf("e%02d", i), Pool: servicePool, Addr: fmt.Sprintf("10.0.1.%d:1", i), DataCentre: "a", Role: config.Plain, Slots: p.slots}
		if p.prefills {
			ep.Pool, ep.Role = modelPool, config.Prefill
		}
		o.Endpoints = append(o.Endpoints, ep)
		stubs = append(stubs, &stubEndpoint{ep: ep})
	}
	o.Endpoints = append(o.Endpoints, &config.Endpoint{Name: "decode", Pool: modelPool, Addr: "10.0.2.1:1", DataCentre: "a", Role: config.Decode, Slots: 1 << 20})
	state := config.Build(1, o)
	r := rand.New(rand.NewPCG(7, 7))
	fleet := make([]*Scheduler, instances)
	for i := range fleet {
		fleet[i] = newScheduler(uint64(i), state)
	}
	sent := map[string]int{}
	all, lates := 0, 0
	for at := time.Duration(0); at < p.lasts+time.Second; at += replayStep {
		now := start.Add(at)
		for mean := p.perSecond * replayStep.Seconds(); r.Float64() < mean/(1+mean); {
			s := fleet[r.IntN(instances)]
			d := Demand{Pool: servicePool}
			var l *Lease
			switch e := s.expect(now, servicePool); {
			case p.prefills:
				d = demand(promptTokens, 70)
				l = s.AcquireEngine(now, d)
			case p.choose != nil && e.told:
				l = s.grantCall(now, p.choose(s, now, d, &e), &e)
			default:
				l = s.AcquireService(now, d)
			}
			if l == nil {
				all, lates = all+1, lates+1
				continue
			}
			name := l.Target.Name
			if p.prefills {
				name = l.Prefill.Name
			}
			sent[name]++
			i := slices.IndexFunc(stubs, func(e *stubEndpoint) bool { return e.ep.Name == name })
			stubs[i].requests = append(stubs[i].requests, &stubRequest{s, l, now, p.work * (0.5 + r.Float64())})
		}
		for i, e := range stubs {
			pace := p.pace(i, at)
			for j, q := range e.requests {
				if j < p.slots {
					q.left -= replayStep.Seconds() * 1000 / pace
				}
			}
			var ended []*stubRequest
			e.requests = slices.DeleteFunc(e.requests, func(q *stubRequest) bool {
				if q.left <= 0 {
					ended = append(ended, q)
				}
				return q.left <= 0
			})
			for _, q := range ended {
				running := min(len(e.requests), p.slots)
				report := endpointload.Report{Running: running, Waiting: len(e.requests) - running, Slots: p.slots, At: now}
				if p.tells {
					report.Pace = pace
				}
				if p.prefills { // only decode engines tell their pace
					q.s.RecordLoad("decode", 0, false, report)
					q.s.PrefillDone(now, q.l, sched.Succeeded)
				} else {
					q.s.RecordLoad(e.ep.Name, 0, false, report)
				}
				q.s.Release(now, q.l, sched.Succeeded)
				if at > time.Second {
					all++
					if now.Sub(q.arrived) > p.target {
						lates++
					}
				}
			}
		}
		if step := int(at / replayStep); step%(400/instances) == 0 { // each instance in its turn
			p.tellOthers(fleet, step/(400/instances)%instances, now)
		}
	}
	most, sum := 0, 0
	for _, n := range sent {
		most, sum = max(most, n), sum+n
	}
	return float64(lates) / float64(all), float64(most) * float64(p.endpoints) / float64(sum)
}

func (p loadReplay) tellOthers(fleet []*Scheduler, i int, now time.Time) {
	told := fleet[i].TellLoads(now, 6)
	peer := &PeerState{UpdatedAt: now, PrefillTokens: map[string]int{}}
	fleet[i].EachEndpointLoad(func(endpoint string, tokens int, _ []Generation) { peer.PrefillTokens[endpoint] = tokens })
	for j, other := range fleet {
		if j == i {
			continue
		}
		for _, u := range told {
			r := u.Record.Own()
			r.Source = endpointload.OtherInstance
			other.RecordLoad(u.Endpoint, 0, false, r)
		}
		if p.prefills {
			other.SetPeer(fmt.Sprint(i), peer)
		}
	}
}

func isOneOf(endpoint, share int) bool { return endpoint%share == 0 }

// The load patterns that placement by expected end is for. Calls of 30 to 60 ms with targets of 150 to 300 ms; with the former choice,
// which is that of endpoints that do not tell their pace, more of them are late.
func TestLoadPatternsEndInTime(t *testing.T) {
	changing := func(every time.Duration) func(int, time.Duration) float64 {
		return func(e int, at time.Duration) float64 { // drawn anew all the time
			if rand.New(rand.NewPCG(uint64(e), uint64(at/every))).Float64() < 0.15 {
				return 2.5
			}
			return 1
		}
	}
	for name, c := range map[string]struct {
		replay loadReplay
		most   float64 // share of late requests
	}{
		"a third at 1.3": {loadReplay{endpoints: 6, slots: 6, work: 60, perSecond: 500, target: 300 * time.Millisecond, pace: func(e int, _ time.Duration) float64 {
			if isOneOf(e, 3) {
				return 1.3
			}
			return 1
		}}, 0.02},
		"one of seven at 4 for 5 s": {loadReplay{endpoints: 7, slots: 6, work: 30, perSecond: 900, target: 150 * time.Millisecond, pace: func(e int, at time.Duration) float64 {
			if isOneOf(e, 7) && at > 3*time.Second && at < 8*time.Second {
				return 4
			}
			return 1
		}}, 0.02},
		"pace that changes ten times a second": {loadReplay{endpoints: 4, slots: 6, work: 30, perSecond: 500, target: 150 * time.Millisecond, pace: changing(100 * time.Millisecond)}, 0.03},
		"noise drawn every 600 ms":             {loadReplay{endpoints: 4, slots: 6, work: 30, perSecond: 500, target: 150 * time.Millisecond, pace: changing(600 * time.Millisecond)}, 0.02},
		"prefills, uneven engines": {loadReplay{endpoints: 10, slots: 1, work: 90, perSecond: 55, target: 400 * time.Millisecond, prefills: true, pace: func(e int, at time.Duration) float64 {
			return []float64{0.7, 0.7, 1.7}[e%3] * changing(600*time.Millisecond)(e, at)
		}}, 0.06},
	} {
		r := c.replay
		r.lasts = 10 * time.Second
		former, _ := r.run(t)
		r.tells = true
		late, busiest := r.run(t)
		r.choose = byShares
		shares, busiestByShares := r.run(t)
		t.Logf("%s: late %.4f (busiest %.2f), former choice %.4f, shares %.4f (busiest %.2f)", name, late, busiest, former, shares, busiestByShares)
		assert.Assert(t, late <= c.most, "%s: %.4f late", name, late)
		assert.Assert(t, former > c.most, "%s: the former choice has %.4f late", name, former)
	}
}

// byShares is the other method that was weighed for plain calls: an endpoint is drawn in proportion to the rate at which its
// free slots end work.
func byShares(s *Scheduler, now time.Time, d Demand, e *expectation) (best *endpointState) {
	list := s.candidates(now, d)
	rates := make([]float64, len(list))
	sum := 0.0
	for i, x := range list {
		l := x.load.Expect(now, e.level)
		rates[i] = max(0.25, float64(x.ep.Slots)*(1-l.Busy)) / l.Pace
		sum += rates[i]
	}
	at := s.rand.Float64() * sum
	for i, rate := range rates {
		if at -= rate; at < 0 {
			return list[i]
		}
	}
	return list[0]
}

// 72 instances that see the same report place a call each: the full endpoints get few, and of the others, which differ
// little, none gets most. The former choice, by what an instance has measured itself, gives each the same; a greedy one
// gives all calls to one endpoint.
func TestInstancesWithTheSameViewChooseDifferentEndpoints(t *testing.T) {
	const instances, endpoints, full = 72, 8, 4
	o := &config.Objects{Pools: []*config.Pool{{Name: servicePool, Kind: config.ServicePool}}}
	for i := range endpoints {
		o.Endpoints = append(o.Endpoints, &config.Endpoint{Name: fmt.Sprint(i), Pool: servicePool, DataCentre: "a", Role: config.Plain, Slots: 6})
	}
	state := config.Build(1, o)
	place := func(tells bool) (chosen [endpoints]int) {
		for i := range instances {
			s := newScheduler(uint64(i), state)
			for e := range endpoints {
				r := endpointload.Report{Slots: 6, At: start, Source: endpointload.OtherInstance}
				if e < full {
					r.Running, r.Waiting = 6, 12
				}
				if tells {
					r.Pace = 1 + 0.1*float64(e)
				}
				s.RecordLoad(fmt.Sprint(e), 0, false, r)
			}
			n, err := strconv.Atoi(s.AcquireService(start.Add(50*time.Millisecond), Demand{Pool: servicePool}).Target.Name)
			assert.NilError(t, err)
			chosen[n]++
		}
		return chosen
	}
	count := func(chosen [endpoints]int) (atFull, most int) {
		for e, n := range chosen {
			if e < full {
				atFull += n
			}
			most = max(most, n)
		}
		return atFull, most
	}
	atFull, most := count(place(true))
	assert.Assert(t, atFull <= instances/3 && most <= instances/2, "%d at full ones, %d at one", atFull, most)
	formerAtFull, _ := count(place(false))
	assert.Assert(t, formerAtFull > instances/3, "%d at full ones", formerAtFull)
}

// Four times slower is not out: it gets what would end later elsewhere, and nothing else while the others are free.
func TestSlowEndpointGetsWhatEndsThereFirst(t *testing.T) {
	o := &config.Objects{Pools: []*config.Pool{{Name: servicePool, Kind: config.ServicePool}}}
	for _, name := range []string{"slow", "usual"} {
		o.Endpoints = append(o.Endpoints, &config.Endpoint{Name: name, Pool: servicePool, DataCentre: "a", Role: config.Plain, Slots: 6})
	}
	for waiting, want := range map[int]string{0: "usual", 24: "slow"} {
		running := min(6, waiting)
		s := newScheduler(1, config.Build(1, o))
		s.RecordLoad("slow", 0, false, endpointload.Report{Slots: 6, Pace: 4, At: start})
		s.RecordLoad("usual", 0, false, endpointload.Report{Running: running, Waiting: waiting, Slots: 6, Pace: 1, At: start})
		assert.Equal(t, s.AcquireService(start, Demand{Pool: servicePool}).Target.Name, want)
	}
}

// What this instance has sent since a report is counted: of two free endpoints the calls go to both.
func TestCallsSentSinceTheReportAreCounted(t *testing.T) {
	const slots = 6
	o := &config.Objects{Pools: []*config.Pool{{Name: servicePool, Kind: config.ServicePool}}}
	for _, name := range []string{"near", "far"} {
		o.Endpoints = append(o.Endpoints, &config.Endpoint{Name: name, Pool: servicePool, DataCentre: map[string]string{"near": "a", "far": "b"}[name], Role: config.Plain, Slots: slots})
	}
	s := newScheduler(1, config.Build(1, o))
	for _, name := range []string{"near", "far"} {
		s.RecordLoad(name, 0, false, endpointload.Report{Slots: slots, Pace: 1, At: start})
	}
	now := start.Add(time.Millisecond)
	for i := range 2 * slots {
		want := "near" // until its slots are taken
		if i >= slots {
			want = "far"
		}
		assert.Equal(t, s.AcquireService(now, Demand{Pool: servicePool}).Target.Name, want, "call %d", i)
	}
	s.RecordLoad("near", 0, false, endpointload.Report{Running: 1, Slots: slots, Pace: 1, At: now.Add(time.Millisecond)})
	s.endpoints["near"].calls = 1 // the others have ended
	assert.Equal(t, s.AcquireService(now.Add(time.Millisecond), Demand{Pool: servicePool}).Target.Name, "near")
}

// An engine whose events would come later than the route's largest pause is taken only if no other one is compared.
func TestSlowDecodeEngineWouldPauseTooLong(t *testing.T) {
	st := engines(0, 2, 1<<20)
	s := newScheduler(1, st)
	s.RecordLoad("decode-0", 0, false, endpointload.Report{Slots: 48, Pace: 9, At: start})
	s.RecordLoad("decode-1", 0, false, endpointload.Report{Slots: 48, Pace: 1, At: start})
	d := demand(5000, 70)
	d.MaxGap = 300 * time.Millisecond
	for range 20 { // more memory than at the other one
		assert.Equal(t, s.AcquireEngine(start, d).Target.Name, "decode-1")
	}
	d.Exclude = []string{"decode-1"}
	assert.Equal(t, s.AcquireEngine(start, d).Target.Name, "decode-0")
}

// An endpoint that was slow and got no requests gets some again although nobody has heard that it is not: the others,
// which are used all the time, have the usual pace.
func TestEndpointThatWasSlowIsTriedAgain(t *testing.T) {
	s := newScheduler(1, engines(0, 0, 1))
	placed := map[string]int{}
	s.RecordLoad("plain-0", 0, false, endpointload.Report{Slots: 6, Pace: 4, At: start})
	for i := range 60 {
		now := start.Add(time.Duration(i+1) * 50 * time.Millisecond)
		for _, name := range []string{"plain-1", "plain-2"} {
			s.RecordLoad(name, 0, false, endpointload.Report{Slots: 6, Pace: 0.7, At: now})
		}
		l := s.AcquireService(now, Demand{Pool: servicePool})
		s.Release(now, l, sched.Abandoned)
		placed[l.Target.Name]++
		if i == 37 { // still within 2 s of the report
			assert.Equal(t, placed["plain-0"], 0)
		}
	}
	assert.Assert(t, placed["plain-0"] > 0, "%v", placed)
}

// Prefill engines that tell nothing: what one instance measures of a prefill is known to the others, where decode engines
// tell their pace. Elsewhere nothing is told.
func TestMeasuredPaceOfPrefillEnginesIsTold(t *testing.T) {
	for _, tells := range []bool{false, true} {
		st := engines(2, 1, 1<<20)
		a, b := newScheduler(1, st), newScheduler(2, st)
		for _, s := range []*Scheduler{a, b} {
			r := endpointload.Report{Slots: 48, At: start}
			if tells {
				r.Pace = 1
			}
			s.RecordLoad("decode-2", 0, false, r)
		}
		a.TellLoads(start, 6)
		now := start
		for range 8 {
			l := a.AcquireEngine(now, demand(5000, 70))
			took := 90 * time.Millisecond
			if l.Prefill.Name == "prefill-1" {
				took *= 4
			}
			now = now.Add(took)
			a.PrefillDone(now, l, sched.Succeeded)
			a.Release(now, l, sched.Succeeded)
			for _, u := range a.TellLoads(now, 6) {
				r := u.Record.Own()
				r.Source = endpointload.OtherInstance
				b.RecordLoad(u.Endpoint, 0, false, r)
			}
		}
		got := b.LatestLoad("prefill-1")
		assert.Equal(t, got.At.IsZero(), !tells)
		if tells {
			assert.Assert(t, got.Pace > 3.9 && got.Pace < 4.1, "%+v", got)
			assert.Equal(t, b.AcquireEngine(got.At, demand(5000, 70)).Prefill.Name, "prefill-0")
		}
	}
}

// BenchmarkPlacement is a decision of one of 72 instances among 51 endpoints, with 200 generations of the others.
func BenchmarkPlacement(b *testing.B) {
	for _, tells := range []bool{false, true} {
		st := engines(16, 29, 400_000)
		for i := range 3 {
			st.Endpoints[fmt.Sprintf("plain-%d", 3+i)] = &config.Endpoint{Name: fmt.Sprintf("plain-%d", 3+i), Pool: servicePool, DataCentre: "a", Role: config.Plain, Slots: 6}
		}
		s := newScheduler(1, st)
		for i := range 71 {
			peer := &PeerState{UpdatedAt: start, Generations: map[string][]Generation{}, PrefillTokens: map[string]int{fmt.Sprintf("prefill-%d", i%16): 2000}}
			for j := range 3 {
				name := fmt.Sprintf("decode-%d", 16+(3*i+j)%29)
				peer.Generations[name] = append(peer.Generations[name], Generation{Prompt: 5000, PlannedOutput: 70, AsOf: start})
			}
			s.SetPeer(fmt.Sprint(i), peer)
		}
		for name := range st.Endpoints {
			r := endpointload.Report{Running: 3, Slots: 6, At: start}
			if tells {
				r.Pace = 1.2
			}
			s.RecordLoad(name, 0, false, r)
		}
		now := start.Add(50 * time.Millisecond)
		b.Run(fmt.Sprintf("generation/pace=%t", tells), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				s.Release(now, s.AcquireEngine(now, demand(5000, 70)), sched.Abandoned)
			}
		})
		b.Run(fmt.Sprintf("call/pace=%t", tells), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				s.Release(now, s.AcquireService(now, Demand{Pool: servicePool}), sched.Abandoned)
			}
		})
	}
}
