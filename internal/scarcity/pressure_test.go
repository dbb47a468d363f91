package scarcity

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"carawayrouter.example/router/internal/config"
)

var start = time.Unix(1_700_000_000, 0)

func pressureOf(demands ...Demand) *Pressure {
	p := &Pressure{Ranks: Ranks{0, 2}, Room: 100_000, Usual: 5000}
	p.Add("m", demands)
	return p
}

// A pool is ranked by its routes and the accounts that may use them; an account's rank outweighs a route's.
func TestRanksComeFromTheConfiguration(t *testing.T) {
	ranks := RanksByPool(config.Build(1, &config.Objects{
		Accounts: []*config.Account{{Name: "a"}, {Name: "b", Priority: 1}},
		Routes: []*config.Route{
			{Path: "/1", Pool: "open", Open: true, Priority: 3},
			{Path: "/2", Pool: "keyed", Priority: 2},
			{Path: "/3", Pool: "split", Open: true, Priority: 1, Split: []config.Share{{Pool: "split", Weight: 1}, {Pool: "open", Weight: 1}}},
		},
	}))
	assert.DeepEqual(t, ranks, map[string]Ranks{"open": {1, 3}, "keyed": {2, 12}, "split": {1}})
	assert.Assert(t, !ranks["split"].Several() && !ranks["none"].Several())
}

// Engines are told the place of a rank; above the limit is always last; a pool with one rank tells nothing.
func TestLevelsFollowTheRanks(t *testing.T) {
	three := Ranks{0, 2, 11}
	assert.DeepEqual(t, []int{three.Level(0), three.Level(2), three.Level(11), three.Level(OverLimit)}, []int{1, 5, 9, Levels})
	assert.Equal(t, three.Level(500), 9, "a rank that the configuration has no longer")
	assert.Equal(t, Ranks{3}.Level(3), 0)
}

// Room is kept for the requests that better ranks are about to send, never for the best rank, nor more than a part of the pool.
func TestRoomIsKeptInProportionToDemand(t *testing.T) {
	assert.Equal(t, pressureOf(Demand{"m", 0, 4, 40_000}).Kept(2), 2)
	assert.Equal(t, pressureOf(Demand{"m", 0, 8, 80_000}).Kept(2), 4)
	assert.Equal(t, pressureOf(Demand{"m", 0, 1e6, 1e12}).Kept(2), 8)
	assert.Equal(t, pressureOf(Demand{"m", 0, 8, 80_000}).Kept(0), 0)
	assert.Equal(t, pressureOf(Demand{"other", 0, 8, 80_000}).Kept(2), 0)
	one := pressureOf(Demand{"m", 0, 8, 80_000})
	one.Ranks = Ranks{0}
	assert.Equal(t, one.Kept(2), 0)
}

// The lower rank has a floor only while better ranks need nearly all the room, and it takes a tenth of the room at most.
func TestFloorOfALowerRank(t *testing.T) {
	calm, burst := Demand{"m", 0, 4, 40_000}, Demand{"m", 0, 15, 150_000}
	assert.Equal(t, pressureOf(calm, Demand{"m", 2, 50, 500_000}).Floor(2), 0.0)
	assert.Equal(t, pressureOf(burst, Demand{"m", 2, 1, 10_000}).Floor(2), floorPart)
	assert.Equal(t, pressureOf(burst, Demand{"m", 2, 50, 500_000}).Floor(2), 0.02)
	assert.Equal(t, pressureOf(burst).Floor(OverLimit+2), 0.0)
	assert.Equal(t, pressureOf(burst).Floor(0), 0.0)
	short := pressureOf(Demand{"m", 0, 16, 65_000}, Demand{"m", 2, 1, 10_000}) // 8 places of 5,000 are kept
	assert.Equal(t, short.Floor(2), floorPart, "what they leave is kept for them")
}

// Rates rise with arrivals and decay without them.
func TestRatesDecay(t *testing.T) {
	var r Rates
	now := start
	for range 200 {
		now = now.Add(50 * time.Millisecond)
		r.Arrived(now, "m", 0, 1000)
	}
	told := r.Told(now)
	assert.Equal(t, len(told), 1)
	assert.Assert(t, math.Abs(told[0].Requests-20) < 1 && math.Abs(told[0].Work-20_000) < 1000, "%v", told)
	assert.Assert(t, r.Told(now.Add(2 * time.Second))[0].Requests < 3)
	assert.Equal(t, len(r.Told(now.Add(time.Minute))), 0)
}

// What an instance keeps and tells is bounded, and the best ranks are told first; a clock that goes back loses nothing.
func TestRatesAreBounded(t *testing.T) {
	var r Rates
	for i := range 10 * maxRates {
		r.Arrived(start.Add(-time.Duration(i)*time.Millisecond), "m", 10*maxRates-i, 1)
	}
	assert.Assert(t, len(r.demands) <= maxRates)
	told := r.Told(start)
	assert.Equal(t, len(told), MaxTold)
	assert.Assert(t, told[0].Rank < told[MaxTold-1].Rank)
}

// Figures that cannot be are left out, however many there are.
func TestImpossibleDemandIsLeftOut(t *testing.T) {
	many := make([]Demand, 100)
	many[0], many[1], many[2], many[3] = Demand{"m", 0, -1, 5}, Demand{"m", 0, 1, math.Inf(1)}, Demand{"m", 0, 1, math.NaN()}, Demand{"m", 0, 2, 5}
	assert.DeepEqual(t, Heard(many), []Demand{{"m", 0, 2, 5}})
}

// Instances that are not heard are assumed to have as much demand as the others, within bounds.
func TestSilentInstancesAreAssumedBusy(t *testing.T) {
	p := pressureOf(Demand{"m", 0, 4, 40_000})
	p.Add("m", nil)
	p.AssumeSilent(3)
	assert.Equal(t, p.Taken(2), 0.6)
	p.AssumeSilent(300)
	assert.Equal(t, p.Taken(2), 1.2)
}

// A late waiter is told that its own rank goes first only once the overload has lasted as long as its caller would stay.
func TestOverloadIsExpectedToLastAsLongAsItHas(t *testing.T) {
	o := Overload{}
	p := pressureOf(Demand{"m", 2, 10, 150_000})
	o.Update(start, p)
	wait := func(at time.Duration, late bool) time.Duration {
		got, _ := p.Wait(start.Add(at), time.Second, 2, late, 3*time.Second, o)
		return got
	}
	assert.Equal(t, wait(2*time.Second, true), time.Second)
	assert.Equal(t, wait(3*time.Second, false), time.Second)
	assert.Equal(t, wait(3*time.Second, true), 10*time.Second)
	o.Update(start.Add(3*time.Second), pressureOf())
	assert.Equal(t, wait(3*time.Second, true), time.Second)
}
