package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"carawayrouter.example/router/internal/config"
	"carawayrouter.example/router/internal/limit/pacing"
	"carawayrouter.example/router/internal/scarcity"
	"carawayrouter.example/router/internal/sched"
)

// rankedEngines is engines with routes of two ranks.
func rankedEngines(prefill, decode, kvTokens int) *config.State {
	st := engines(prefill, decode, kvTokens)
	o := &config.Objects{Routes: []*config.Route{{Name: "paid", Path: "/a", Pool: modelPool, Open: true}, {Name: "free", Path: "/b", Pool: modelPool, Open: true, Priority: 2}}}
	for _, p := range st.Pools {
		o.Pools = append(o.Pools, p)
	}
	for _, ep := range st.Endpoints {
		o.Endpoints = append(o.Endpoints, ep)
	}
	return config.Build(1, o)
}

// Eight decode engines of 40,000 tokens serve about 12 requests of the replay a second.
const (
	calmBest  = 5.0 // requests a second
	calmLower = 4.0
)

// rankLoad is one load that the ranks answer.
type rankLoad struct {
	name        string
	best, lower float64 // further requests a second between 3 s and 8 s
	lost        float64 // part of the engines, between 4 s and the end
	one         bool    // the further ones are of one account
}

func (l rankLoad) requests(seed uint64) (best, lower []*replayed) {
	best = inOrder(poisson(10*seed+1, calmBest, 0, 16*time.Second, 0), poisson(10*seed+3, l.best, 3*time.Second, 8*time.Second, 0))
	extra := poisson(10*seed+4, l.lower, 3*time.Second, 8*time.Second, 2)
	for _, r := range extra {
		if l.one {
			r.account = replayAccounts - 1
		}
	}
	lower = inOrder(poisson(10*seed+2, calmLower, 0, 16*time.Second, 2), extra)
	for _, r := range lower {
		r.patient = 7100 * time.Millisecond
	}
	return best, lower
}

func playRanks(t *testing.T, l rankLoad, ranked bool) (best, lower []*replayed) {
	st := engines(4, 8, 40000)
	if ranked {
		st = rankedEngines(4, 8, 40000)
	}
	full := 0
	for seed := range uint64(2) {
		b, w := l.requests(seed)
		f := newReplayFleet(8, st, replayRules{giveUp: ranked})
		f.run(inOrder(b, w), func(now time.Time) {
			if l.lost > 0 && now.Equal(start.Add(4*time.Second)) {
				f.lose(now, l.lost)
			}
		})
		best, lower, full = append(best, b...), append(lower, w...), full+f.preempted
	}
	started := func(r *replayed) bool { return r.started }
	medianBest, mostBest := refusedWaits(best)
	median, most := refusedWaits(lower)
	t.Logf("%s, ranked %v: best %.2f on time, %.2f started of %d (refused after %v, %v); lower %.2f, %.2f of %d (%v, %v); engines full %d times", l.name, ranked,
		share(best, (*replayed).onTime), share(best, started), len(best), medianBest, mostBest,
		share(lower, (*replayed).onTime), share(lower, started), len(lower), median, most, full)
	return best, lower
}

// The better rank is served as without the other one's burst; no kind, account or size of the lower one is starved, and whoever
// is refused is refused early.
func TestRanksUnderBursts(t *testing.T) {
	started := func(r *replayed) bool { return r.started }
	for _, l := range []rankLoad{
		{name: "lower rank", lower: 1.2*calmLower + 1.2*calmBest},
		{name: "lower rank at ten times", lower: 10 * calmLower},
		{name: "lower rank, engines lost", lower: 1.2 * (calmLower + calmBest), lost: 0.45},
		{name: "better rank", best: 1.2 * (calmLower + calmBest)},
		{name: "better rank, engines lost", best: 1.2 * (calmLower + calmBest), lost: 0.45},
		{name: "one account at eight times", lower: 7 * calmLower / replayAccounts, one: true},
	} {
		t.Run(l.name, func(t *testing.T) {
			alone, _ := playRanks(t, rankLoad{name: l.name + ", without the burst", lost: l.lost}, true)
			bestBefore, lowerBefore := playRanks(t, l, false)
			best, lower := playRanks(t, l, true)
			if l.best == 0 {
				assert.Assert(t, share(best, (*replayed).onTime) >= share(alone, (*replayed).onTime)-0.05)
				assert.Assert(t, share(best, started) > share(bestBefore, started))
			}
			all := share(inOrder(best, lower), started)
			parts := map[string]func(*replayed) bool{
				"all": func(*replayed) bool { return true }, "large": func(r *replayed) bool { return r.prompt+r.output > 9000 }, "small": func(r *replayed) bool { return r.prompt+r.output < 6000 },
			}
			for account := range replayAccounts {
				parts[string(rune('0'+account))] = func(r *replayed) bool { return r.account == account }
			}
			for name, in := range parts {
				var of []*replayed
				for _, r := range lower {
					if in(r) {
						of = append(of, r)
					}
				}
				assert.Assert(t, share(of, started) >= all/4, "%s: %.2f of %.2f", name, share(of, started), all)
			}
			heldInVain := func(r *replayed) bool { return !r.started && r.waited > r.patient/2 }
			assert.Assert(t, share(lower, heldInVain) < share(lowerBefore, heldInVain))
		})
	}
}

func waiterOf(rank int, arrived time.Duration) *Waiter {
	d := demand(5000, 2000)
	d.Rank = rank
	return &Waiter{Demand: d, Arrived: start.Add(arrived), Due: start.Add(arrived + latencyTarget), Deadline: start.Add(arrived + maxWait), Priority: rank}
}

// The better rank is late because of a burst: it still goes before the lower one. In a pool with one rank it does not.
func TestLateWaiterOfABetterRankGoesFirst(t *testing.T) {
	late, onTime := waiterOf(0, 0), waiterOf(2, time.Second)
	now := start.Add(1200 * time.Millisecond)
	order := func(st *config.State) []*Waiter {
		q := Queue{waiting: []*Waiter{onTime, late}}
		return q.ordered(now, newScheduler(1, st))
	}
	assert.Assert(t, order(rankedEngines(1, 1, 10000))[0] == late)
	assert.Assert(t, order(engines(1, 1, 10000))[0] == onTime)
}

// A newcomer of a lower rank does not take the place for which a request waits at another instance; one of the same or a better
// rank, and one in a pool with one rank, is placed as before.
func TestNewcomerLooksAtOtherInstances(t *testing.T) {
	now := start.Add(tick)
	must := func(st *config.State, waits, comes int, age time.Duration) bool {
		s := newScheduler(1, st)
		s.SetPeer("other", &PeerState{UpdatedAt: now.Add(-age), Waiters: []*Waiter{waiterOf(waits, 0)}})
		var q Queue
		return q.MustQueue(now, s, waiterOf(comes, tick))
	}
	ranked := rankedEngines(1, 1, 10000)
	assert.Assert(t, must(ranked, 0, 2, 0))
	assert.Assert(t, !must(ranked, 0, 2, 2*peerWaitersTTL), "the report is too old")
	assert.Assert(t, !must(ranked, 2, 2, 0) && !must(ranked, 2, 0, 0))
	assert.Assert(t, !must(engines(1, 1, 10000), 0, 2, 0))
}

// Room is kept for the better rank where its requests come, for none where they do not, and an empty engine takes any size.
func TestRoomIsKeptForTheBetterRank(t *testing.T) {
	place := func(st *config.State, rank int, told []scarcity.Demand) (n int) {
		s := newScheduler(1, st)
		s.SetMember(start, pacing.Member{Count: 2})
		s.SetPeer("other", &PeerState{UpdatedAt: start, Demand: told})
		for {
			d := demand(1000, 1000)
			d.Rank = rank
			l := s.AcquireEngine(start.Add(time.Duration(n)*outlookInterval), d)
			if l == nil {
				return n
			}
			s.PrefillDone(start, l, sched.Succeeded)
			l.generation.Generated, l.generation.AsOf = 0, start.Add(time.Hour) // it does not end
			n++
		}
	}
	told := []scarcity.Demand{{Pool: modelPool, Rank: 0, Requests: 10, Work: 9000}}
	ranked := rankedEngines(4, 2, 20000)
	lower, best := place(ranked, 2, told), place(ranked, 0, told)
	assert.Assert(t, lower < best, "%d, %d", lower, best)
	assert.Equal(t, place(ranked, 2, nil), best)
	assert.Equal(t, place(engines(4, 2, 20000), 2, told), best)

	s := newScheduler(1, ranked)
	s.SetPeer("other", &PeerState{UpdatedAt: start, Demand: []scarcity.Demand{{Pool: modelPool, Rank: 0, Requests: 1e9, Work: 1e12}}})
	d := demand(10000, 5000)
	d.Rank = 2
	assert.Assert(t, s.AcquireEngine(start, d) != nil)
}

// The list of endpoints changes often in a burst that comes with losses: since when there is too little room is still known, and the room is
// that of the new list.
func TestOverloadOutlivesAChangeOfEndpoints(t *testing.T) {
	st := rankedEngines(1, 2, 10000)
	s := newScheduler(1, st)
	s.SetPeer("other", &PeerState{UpdatedAt: start, Demand: []scarcity.Demand{{Pool: modelPool, Rank: 0, Requests: 10, Work: 90000}}})
	before := s.pressure(start, modelPool).Room
	ep := *st.Endpoints["decode-2"]
	ep.Leaving = true
	st.Endpoints["decode-2"] = &ep
	s.SetEndpoints(start.Add(tick), st)
	assert.Equal(t, s.pressure(start.Add(tick), modelPool).Room, before/2)
	assert.Assert(t, s.pressed[modelPool].overload[0].Equal(start))
	s.SetEndpoints(start.Add(tick), engines(1, 2, 10000))
	assert.Equal(t, len(s.pressed), 0)
}

// A rank floods while it needs more than half of what better ones do, and is taken to for a while after; in calm, or with one rank, none does.
func TestFloodOfALowerRankIsSeen(t *testing.T) {
	floods := func(st *config.State, lower float64, after time.Duration) bool {
		s := newScheduler(1, st)
		s.SetPeer("other", &PeerState{UpdatedAt: start, Demand: []scarcity.Demand{{Pool: modelPool, Rank: 0, Requests: 10, Work: 9000}, {Pool: modelPool, Rank: 2, Requests: 10, Work: lower}}})
		s.Floods(start, modelPool, 2, 2)
		return s.Floods(start.Add(after), modelPool, 2, 2)
	}
	ranked := rankedEngines(1, 1, 10000)
	assert.Assert(t, floods(ranked, 20000, 0) && floods(ranked, 20000, 3*time.Second))
	assert.Assert(t, !floods(ranked, 20000, floodHold) && !floods(ranked, 1000, 0))
	assert.Assert(t, !floods(engines(1, 1, 10000), 20000, 0))
}

// An instance falls silent: what it told counts for a while, so that its callers find room elsewhere, and no longer.
func TestDemandOfASilentInstanceCountsForAWhile(t *testing.T) {
	s := newScheduler(1, rankedEngines(1, 1, 10000))
	s.SetPeer("other", &PeerState{UpdatedAt: start, Demand: []scarcity.Demand{{Pool: modelPool, Rank: 0, Requests: 10, Work: 9000}}})
	assert.Assert(t, s.pressure(start.Add(scarcity.SilentTime), modelPool).Taken(2) > 0)
	assert.Equal(t, s.pressure(start.Add(scarcity.SilentTime+outlookInterval), modelPool).Taken(2), 0.0)
}

// The better rank's requests are short and take four fifths of the room: the places that are kept for them are as many as they
// leave. The lower rank is not starved beside room that nobody uses.
func TestRoomThatIsKeptDoesNotStarveTheLowerRank(t *testing.T) {
	shorten := func(list []*replayed) []*replayed {
		for _, r := range list {
			r.prompt, r.output = 5000, 700
		}
		return list
	}
	best, lower := shorten(poisson(1, 80, 0, 8*time.Second, 0)), shorten(poisson(2, 15, 2*time.Second, 8*time.Second, 2))
	f := newReplayFleet(4, rankedEngines(4, 8, 40000), replayRules{giveUp: true})
	f.run(inOrder(best, lower), func(time.Time) {})
	started := func(r *replayed) bool { return r.started }
	t.Logf("best %.2f on time, %.2f started; lower %.2f, %.2f", share(best, (*replayed).onTime), share(best, started), share(lower, (*replayed).onTime), share(lower, started))
	assert.Assert(t, share(best, (*replayed).onTime) > 0.95)
	assert.Assert(t, share(lower, started) >= 0.25)
}
