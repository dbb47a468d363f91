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
//   - A limit that the incarnation has announced, and its cold time, outlive its entry, its address and its role, and so does an
//     ejection because of its failures, which ends with its time or a success. Besides the pause, a former incarnation
//     leaves nothing behind.
//   - What it has said of its load belongs to the incarnation, whatever its entry says.
//   - What was measured and which requests it has outlive its entry and its address, and belong to the role.
//   - An entry that comes back, or names another address, ends what was concluded from the address alone: that
//     nothing, or another endpoint, answers there.
//   - What other instances have told of it ends with its entry; they tell it again.
func entered(x *endpointState, ep *config.Endpoint, spec *config.EngineSpec, returned bool) *endpointState {
	if x == nil {
		return newEndpointState(ep, spec)
	}
	if x.ep.Incarnation != ep.Incarnation {
		restarted := newEndpointState(ep, spec)
		restarted.pausedUntil = x.pausedUntil
		return restarted
	}
	if returned || x.ep.Addr != ep.Addr {
		x.replaced = false
		x.markReachable()
	}
	if x.ep.Role != ep.Role {
		changed := newEndpointState(ep, spec)
		changed.pausedUntil, changed.pacer, changed.cold = x.pausedUntil, x.pacer, x.cold
		changed.failures, changed.ejections = x.failures, x.ejections
		changed.unreachable, changed.ejectedUntil = x.unreachable, x.ejectedUntil
		changed.load = x.load
		return changed
	}
	if returned {
		clear(x.peerLoads) // the instances' present loads are applied next
		clear(x.peerEjections)
	}
	x.ep, x.spec = ep, spec
	return x
}
