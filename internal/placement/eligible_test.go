package placement

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"carawayrouter.example/router/internal/config"
	"carawayrouter.example/router/internal/limit/pacing"
	"carawayrouter.example/router/internal/sched"
)

// placesState is a deployment of two data centres in two regions, with a prefill engine, a decode engine and a plain endpoint in each.
func placesState() *config.State {
	o := &config.Objects{Pools: []*config.Pool{
		{Name: modelPool, Kind: config.ModelPool, Engine: &config.EngineSpec{Slots: 12, KVTokens: 10_000}},
		{Name: servicePool, Kind: config.ServicePool},
	}}
	for _, dc := range []string{"north", "south"} {
		for _, x := range []struct {
			pool string
			role config.Role
		}{{modelPool, config.Prefill}, {modelPool, config.Decode}, {servicePool, config.Plain}} {
			o.Endpoints = append(o.Endpoints, &config.Endpoint{Name: dc + "-" + string(x.role), Pool: x.pool, Role: x.role, DataCentre: dc, Region: dc + "-region", Slots: 4, SoftwareVersion: "v1", Incarnation: 7})
		}
	}
	return config.Build(1, o)
}

// Each reason keeps an endpoint from being chosen, also with all others, and those that are learned of after the choice keep the request from
// being written. What is no work is asked of endpoints that leave, and of none that the operator wants empty or that is in a pause.
func TestEachRefusalHoldsWhereverItIsAsked(t *testing.T) {
	const name = "north-decode"
	for _, tc := range []struct {
		refusal           Refusal
		set               func(s *Scheduler, x *endpointState, d *Demand)
		choose, send, ask bool // it refuses there
	}{
		{"", func(*Scheduler, *endpointState, *Demand) {}, false, false, false},
		{Leaving, func(_ *Scheduler, x *endpointState, _ *Demand) { e := *x.ep; e.Leaving = true; x.ep = &e }, true, true, false},
		{Replaced, func(_ *Scheduler, x *endpointState, _ *Demand) { x.recordOutcome(start, sched.Replaced) }, true, true, false},
		{Evacuated, func(s *Scheduler, _ *endpointState, _ *Demand) { s.SetEvacuated(start, []string{"north"}) }, true, true, true},
		{OutsideHomes, func(_ *Scheduler, _ *endpointState, d *Demand) { d.Homes.Route = []string{"south-region"} }, true, true, false},
		{OutsideHomes, func(_ *Scheduler, _ *endpointState, d *Demand) {
			d.Homes = Homes{Route: []string{"north-region", "south-region"}, Account: []string{"south-region"}}
		}, true, true, false},
		{OutsideHomes, func(_ *Scheduler, x *endpointState, d *Demand) {
			e := *x.ep
			e.Region, x.ep, d.Homes.Account = "", &e, []string{"north-region"}
		}, true, true, false},
		{OtherVersion, func(_ *Scheduler, _ *endpointState, d *Demand) { d.SoftwareVersion = "v2" }, true, false, false},
		{Excluded, func(_ *Scheduler, _ *endpointState, d *Demand) { d.Exclude = []string{name} }, true, false, false},
		{Paused, func(s *Scheduler, _ *endpointState, _ *Demand) { s.Pause(start, name, time.Second) }, true, true, true},
		{Ejected, func(_ *Scheduler, x *endpointState, _ *Demand) { x.recordOutcome(start, sched.Unreachable) }, true, false, false},
	} {
		t.Run(string(tc.refusal), func(t *testing.T) {
			s := newScheduler(1, placesState())
			x := s.endpoints[name]
			d := Demand{Pool: modelPool, Prompt: 10, MaxOutput: 10}
			tc.set(s, x, &d)
			expect := func(refuses bool) Refusal {
				if refuses {
					return tc.refusal
				}
				return ""
			}
			assert.Equal(t, x.refusal(start, choosing, &d), expect(tc.choose))
			assert.Equal(t, s.Recheck(start, Send{Endpoint: name, Incarnation: 7, Homes: d.Homes}), expect(tc.send))
			assert.Equal(t, s.Recheck(start, Send{Endpoint: name, NoWork: true}), expect(tc.ask))
			for range 20 {
				if l := s.AcquireEngine(start, d); l != nil {
					assert.Assert(t, !tc.choose || l.Target.Name != name)
					s.Release(start, l, sched.Abandoned)
				}
			}
		})
	}
	s := newScheduler(1, placesState())
	assert.Equal(t, s.Recheck(start, Send{Endpoint: name, Incarnation: 6}), Gone, "it has restarted since")
	assert.Equal(t, s.Recheck(start, Send{Endpoint: "unknown"}), Gone)
	assert.Equal(t, s.Recheck(start, Send{Endpoint: "unknown", NoWork: true}), Refusal(""))
}

// Without a turn an endpoint is given nothing, but the pool has a usable endpoint: the request waits.
func TestLackOfATurnPasses(t *testing.T) {
	s := newScheduler(1, placesState())
	s.SetMember(start, pacing.Member{Rank: 1, Count: 2})
	for _, name := range []string{"north-plain", "south-plain"} {
		s.RecordLimit(start, name, 1)
	}
	d := Demand{Pool: servicePool}
	for s.AcquireService(start, d) != nil {
	}
	assert.Equal(t, s.turn(start, s.endpoints["north-plain"]), Limited)
	assert.Assert(t, s.HasUsableEndpoint(start, d))
	assert.Assert(t, s.NextTurn(start, d) > 0)
}

// The operator empties a data centre with requests in progress, endpoints whose entries have lapsed, and a prefill whose decode engine is
// still to be chosen. It gets nothing more, whoever asks, until it is taken back.
func TestEvacuatedDataCentreGetsNothing(t *testing.T) {
	s := newScheduler(1, placesState())
	d, call := Demand{Pool: modelPool, Prompt: 10, MaxOutput: 10}, Demand{Pool: servicePool}
	var before []*Lease
	for range 8 {
		before = append(before, s.AcquireEngine(start, d), s.AcquireService(start, call))
	}
	north := 0
	for _, l := range before {
		if l.Target.DataCentre == "north" {
			north++
		}
	}
	assert.Assert(t, north > 0)
	assert.Assert(t, s.SetEvacuated(start, []string{"north"}) && !s.SetEvacuated(start, []string{"north"}))
	assert.Equal(t, s.CountInEvacuated(), north)
	for range 20 {
		l := s.AcquireEngine(start, d)
		assert.Equal(t, l.Target.DataCentre+l.Prefill.DataCentre, "southsouth")
		moved, _ := s.Redirect(start, l, d, sched.Abandoned)
		assert.Assert(t, !moved, "the only other engine is evacuated")
		s.Release(start, l, sched.Abandoned)
		c := s.AcquireService(start, call)
		assert.Equal(t, c.Target.DataCentre, "south")
		s.Release(start, c, sched.Succeeded)
	}
	assert.Assert(t, !s.TakeTurn(start, "north-plain"), "a health check reaches the endpoint too")

	all := placesState()
	gone := all.Replace(2, &config.Objects{Endpoints: slices.DeleteFunc(slices.Clone(mapValues(all.Endpoints)), func(e *config.Endpoint) bool { return e.DataCentre == "north" })})
	s.SetEndpoints(start, gone)
	assert.Equal(t, s.CountInEvacuated(), north)
	s.SetEndpoints(start, all)
	assert.Equal(t, s.endpoints["north-plain"].refusal(start, choosing, &call), Evacuated, "it has registered again")

	s.SetEvacuated(start, []string{"north", "south"})
	assert.Assert(t, s.AcquireService(start, call) == nil && s.AcquireEngine(start, d) == nil && !s.HasUsableEndpoint(start, d))
	assert.Equal(t, s.PauseLeft(start, d), time.Duration(0))
	assert.Assert(t, !s.CutOff(start))
	s.SetEvacuated(start, nil)
	assert.Equal(t, s.CountInEvacuated(), 0)
	assert.Assert(t, s.TakeTurn(start, "north-plain") && s.HasUsableEndpoint(start, d))
}

func mapValues(m map[string]*config.Endpoint) (out []*config.Endpoint) {
	for _, e := range m {
		out = append(out, e)
	}
	return out
}

// A waiter whose home has no room does not hold up those that may run elsewhere.
func TestWaiterWithHomesDoesNotHoldUpOthers(t *testing.T) {
	s := newScheduler(1, placesState())
	home := Demand{Pool: modelPool, Prompt: 100, MaxOutput: 100, Homes: Homes{Route: []string{"north-region"}}}
	for s.AcquireEngine(start, home) != nil {
	}
	var q Queue
	for range maxUnplaced {
		q.Push(&Waiter{Demand: home, Arrived: start, Due: start.Add(time.Second), Deadline: start.Add(time.Minute)})
	}
	free := &Waiter{Demand: Demand{Pool: modelPool, Prompt: 100, MaxOutput: 100}, Arrived: start.Add(time.Millisecond), Due: start.Add(time.Second), Deadline: start.Add(time.Minute)}
	q.Push(free)
	grants := q.Serve(start.Add(2*maxBypassTime), s)
	assert.Equal(t, len(grants), 1)
	assert.Assert(t, grants[0].Waiter == free && grants[0].Lease.Target.DataCentre == "south")
}
