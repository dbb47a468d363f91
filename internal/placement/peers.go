package placement

import (
	"slices"
	"time"

	"carawayrouter.example/router/internal/scarcity"
)

// PeerState is the load that another instance reports: what it holds at the endpoints and
// which of its requests wait.
type PeerState struct {
	UpdatedAt     time.Time
	Generations   map[string][]Generation // by endpoint
	PrefillTokens map[string]int          // prompt tokens of prefills in progress, by endpoint
	Waiters       []*Waiter
	Demand        []scarcity.Demand    // that arrives at the instance
	EjectedUntil  map[string]time.Time // end of the ejections in force at the instance, by endpoint
}

// peerTimeout is the age from which the last update of another instance no longer counts
// for its prefills. Its generations count until their expected end, because engines keep
// running them while the instance is partitioned from the others.
const peerTimeout = time.Second

// SetPeer replaces the state of another instance; nil removes it.
func (s *Scheduler) SetPeer(name string, state *PeerState) {
	if old := s.peers[name]; old != nil {
		s.removePeerLoad(name, old)
	}
	if state == nil {
		delete(s.peers, name)
		return
	}
	s.peers[name] = state
	for endpoint, until := range state.EjectedUntil {
		if x := s.endpoints[endpoint]; x != nil {
			x.peerEjections[name] = until
		}
	}
	for endpoint, generations := range state.Generations {
		s.addPeerLoad(name, endpoint, peerLoad{updatedAt: state.UpdatedAt, generations: generations, prefillTokens: state.PrefillTokens[endpoint]})
	}
	for endpoint, prefillTokens := range state.PrefillTokens {
		if state.Generations[endpoint] == nil {
			s.addPeerLoad(name, endpoint, peerLoad{updatedAt: state.UpdatedAt, prefillTokens: prefillTokens})
		}
	}
}

func (s *Scheduler) removePeerLoad(name string, state *PeerState) {
	for endpoint := range state.EjectedUntil {
		if x := s.endpoints[endpoint]; x != nil {
			delete(x.peerEjections, name)
		}
	}
	for endpoint := range state.Generations {
		if x := s.endpoints[endpoint]; x != nil {
			delete(x.peerLoads, name)
		}
	}
	for endpoint := range state.PrefillTokens {
		if x := s.endpoints[endpoint]; x != nil {
			delete(x.peerLoads, name)
		}
	}
}

func (s *Scheduler) addPeerLoad(name, endpoint string, l peerLoad) {
	if x := s.endpoints[endpoint]; x != nil {
		x.peerLoads[name] = l
	}
}

// appendPeerGenerations appends the generations of other instances that are expected to
// hold memory.
func (x *endpointState) appendPeerGenerations(now time.Time, generations []Generation) []Generation {
	for _, l := range x.peerLoads {
		stale := now.Sub(l.updatedAt) > peerTimeout
		for _, g := range l.generations {
			if !stale || g.expectedEnd(x.tokenTime).After(now) {
				generations = append(generations, g)
			}
		}
	}
	return generations
}

// peerPrefillTokens returns the prompt tokens of the prefills that other instances have in
// progress at the endpoint.
func (x *endpointState) peerPrefillTokens(now time.Time) int {
	sum := 0
	for _, l := range x.peerLoads {
		if now.Sub(l.updatedAt) <= peerTimeout {
			sum += l.prefillTokens
		}
	}
	return sum
}

// EachEndpointLoad calls visit with the prefills and generations that this instance has at
// each endpoint, in the order of the endpoints' names.
func (s *Scheduler) EachEndpointLoad(visit func(endpoint string, prefillTokens int, generations []Generation)) {
	names := make([]string, 0, len(s.endpoints))
	for name, x := range s.endpoints {
		if x.prefillTokens > 0 || len(x.generations) > 0 {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		x := s.endpoints[name]
		generations := make([]Generation, 0, len(x.generations))
		for l := range x.generations {
			generations = append(generations, l.generation)
		}
		visit(name, x.prefillTokens, generations)
	}
}
