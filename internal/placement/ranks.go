package placement

import (
	"time"

	"carawayrouter.example/router/internal/config"
	"carawayrouter.example/router/internal/scarcity"
)

// pressed is what is known of a pool's demand and room, as of a time.
type pressed struct {
	at       time.Time
	pressure scarcity.Pressure
	overload scarcity.Overload
	flooded  map[int]time.Time // when a flood of a rank was last seen
}

// IsRanked reports whether requests of a pool have more than one rank by the configuration.
func (s *Scheduler) IsRanked(pool string) bool { return s.ranks[pool].Several() }

// floodHold is how long a flood of a rank is taken to last after it was seen: while it is held back, what is admitted does not show it.
const floodHold = 4 * time.Second

// Floods reports whether requests with a route's priority and a rank crowd out those of better routes to their pool: what was lately admitted of
// the rank needs more than half of what better ones do.
func (s *Scheduler) Floods(now time.Time, pool string, priority, rank int) bool {
	best, known := s.bestRoute[pool]
	if !known || best >= priority {
		return false
	}
	p := s.pressure(now, pool)
	flooded := s.pressed[pool].flooded
	if p.Own(rank) > p.Taken(rank)/2 && p.Taken(rank) > 0 {
		flooded[rank] = now
	}
	at, seen := flooded[rank]
	return seen && now.Sub(at) < floodHold
}

// pressure returns the demand of the fleet for a ranked pool and its room, at most outlookInterval old.
func (s *Scheduler) pressure(now time.Time, pool string) *scarcity.Pressure {
	known := s.pressed[pool]
	if known == nil {
		known = &pressed{overload: scarcity.Overload{}, flooded: map[int]time.Time{}}
		s.pressed[pool] = known
	}
	if age := now.Sub(known.at); !known.at.IsZero() && age >= 0 && age < outlookInterval {
		return &known.pressure
	}
	p := scarcity.Pressure{Ranks: s.ranks[pool]}
	sum, n := 0.0, 0
	for _, x := range s.pools[pool] {
		if x.ep.Role != config.Decode || x.spec == nil || x.refusal(now, choosing, &Demand{}) != "" {
			continue
		}
		p.Room += memoryHeadroom * float64(x.spec.KVTokens)
		s.holdings = x.appendPeerGenerations(now, append(s.holdings[:0], s.ownGenerations(x)...))
		for _, g := range s.holdings {
			sum += generationTokens(g.Prompt, g.PlannedOutput)
			n++
		}
	}
	if n > 0 {
		p.Usual = sum / float64(n)
	}
	p.Add(pool, s.rates.Told(now))
	for _, peer := range s.peers {
		if now.Sub(peer.UpdatedAt) <= scarcity.SilentTime {
			p.Add(pool, peer.Demand)
		}
	}
	p.AssumeSilent(s.member.Count)
	known.overload.Update(now, &p)
	known.at, known.pressure = now, p
	return &known.pressure
}

// Standing is how a generation takes part in its pool.
type Standing struct {
	Rank  int // that counts for it
	Own   int // its level of urgency by its own rank, 1 to scarcity.Levels; 0 in a pool with one rank
	Level int // the same by the rank that counts, which engines are told
}

// Arrive records that a generation has come to this instance, and returns how it takes part: some of a lower rank with the best one.
func (s *Scheduler) Arrive(now time.Time, d Demand, rank int) Standing {
	if !s.IsRanked(d.Pool) {
		return Standing{Rank: rank}
	}
	ranks, as := s.ranks[d.Pool], rank
	if s.rand.Float64() < s.pressure(now, d.Pool).Floor(rank) {
		as = ranks.Best()
	}
	s.rates.Arrived(now, d.Pool, rank, memoryTime(d, s.usualTokenTime(d.Pool)))
	return Standing{Rank: as, Own: ranks.Level(rank), Level: ranks.Level(as)}
}

// usualTokenTime returns the time of an output token at a pool's decode engines.
func (s *Scheduler) usualTokenTime(pool string) time.Duration {
	var sum time.Duration
	n := 0
	for _, x := range s.pools[pool] {
		if x.ep.Role == config.Decode {
			sum += x.tokenTime
			n++
		}
	}
	if n == 0 {
		return defaultTokenTime
	}
	return sum / time.Duration(n)
}

// Demand returns the demand at this instance, to be told to the others.
func (s *Scheduler) Demand(now time.Time) []scarcity.Demand { return s.rates.Told(now) }

// leavesRoom reports whether a generation can be placed at an engine beside the room that is kept for better ranks, in whole places of
// the usual size over all engines of the pool: so no size is shut out. What goes on is not held up: it had its place.
func (s *Scheduler) leavesRoom(now time.Time, d Demand, g Generation, at *endpointState) bool {
	if d.Generated > 0 || d.moved || !s.IsRanked(d.Pool) {
		return true
	}
	p := s.pressure(now, d.Pool)
	kept := p.Kept(d.Rank)
	if kept == 0 {
		return true
	}
	left := 0
	for _, x := range s.pools[d.Pool] {
		if x.ep.Role != config.Decode || x.spec == nil || x.refusal(now, choosing, &Demand{}) != "" || now.Before(x.fullUntil) {
			continue
		}
		s.holdings = x.appendPeerGenerations(now, append(s.holdings[:0], s.ownGenerations(x)...))
		free, slots := memoryHeadroom*float64(x.spec.KVTokens), x.spec.Slots-len(s.holdings)
		for _, held := range s.holdings {
			free -= generationTokens(held.Prompt, held.PlannedOutput)
		}
		if x == at {
			free, slots = free-generationTokens(g.Prompt, g.PlannedOutput), slots-1
		}
		left += max(0, min(slots, int(free/p.Usual)))
		if left >= kept {
			return true
		}
	}
	return false
}

// MustQueue reports whether a newcomer has to queue although nothing waits at this instance: requests of better ranks wait at others.
func (q *Queue) MustQueue(now time.Time, s *Scheduler, w *Waiter) bool {
	if !s.IsRanked(w.Demand.Pool) {
		return false
	}
	for _, peer := range s.peers {
		if now.Sub(peer.UpdatedAt) > peerWaitersTTL {
			continue
		}
		for _, other := range peer.Waiters {
			if other.Demand.Pool == w.Demand.Pool && other.Priority < w.Priority {
				return true
			}
		}
	}
	return false
}

// compareRanked orders waiters of ranked pools: pool by pool, then by rank; within a rank those that can still meet their latency target
// first, then broken streams before new ones, then by the latest start that meets the target.
func compareRanked(now time.Time, a, b *Waiter) int {
	switch lateA, lateB := now.After(a.Due), now.After(b.Due); {
	case a.Demand.Pool != b.Demand.Pool:
		return firstIf(a.Demand.Pool < b.Demand.Pool)
	case a.Priority != b.Priority:
		return a.Priority - b.Priority
	case lateA != lateB:
		return firstIf(lateB)
	case a.isBroken() != b.isBroken():
		return firstIf(a.isBroken())
	}
	return a.Due.Compare(b.Due)
}
