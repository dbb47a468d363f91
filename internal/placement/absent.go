package placement

import (
	"time"

	"carawayrouter.example/router/internal/config"
)

// absentRetention is for how long an endpoint without an entry is remembered at least; longer than entries
// lapse during usual outages of the store.
const absentRetention = time.Minute

// absentEndpoint is an endpoint without an entry. Its entry may come back, after a cut from the store or a restore
// of the store from a copy, while the endpoint has run all the time.
type absentEndpoint struct {
	*endpointState
	since time.Time // it had an entry
}

// known returns what is known of an endpoint, with an entry or without.
func (s *Scheduler) known(endpoint string) *endpointState {
	if x := s.endpoints[endpoint]; x != nil {
		return x
	}
	return s.absent[endpoint].endpointState
}

// entered returns the state of an endpoint that has an entry. X is what is known under its name, nil if
// nothing is, and returned says that it had no entry meanwhile. It answers endpoints whose entries lapse in an
// overload: what they have asked for must not be forgotten with the entry.
//
//   - A pause ends with its time only: who restarts in an overload has not said that it is over.
//   - A limit that the incarnation has announced outlives its entry, its address and its role. Besides the pause, a
//     former incarnation leaves nothing behind.
//   - What was measured and which requests it has belong to the address and the role.
//   - An entry that comes back ends what was concluded from the address alone: that nothing, or another endpoint,
//     answers there.
func entered(x *endpointState, ep *config.Endpoint, spec *config.EngineSpec, returned bool) *endpointState {
	if x == nil {
		return newEndpointState(ep, spec)
	}
	if x.ep.Incarnation != ep.Incarnation {
		restarted := newEndpointState(ep, spec)
		restarted.pausedUntil = x.pausedUntil
		return restarted
	}
	if x.ep.Addr != ep.Addr || x.ep.Role != ep.Role {
		moved := newEndpointState(ep, spec)
		moved.pausedUntil, moved.pacer = x.pausedUntil, x.pacer
		return moved
	}
	if returned {
		x.replaced = false
		x.markReachable()
		clear(x.peerLoads) // the instances' present loads are applied next
		clear(x.peerEjections)
	}
	x.ep, x.spec = ep, spec
	return x
}
