package placement

import (
	"time"

	"carawayrouter.example/router/internal/config"
	"carawayrouter.example/router/internal/endpointload"
)

// RecordLoad records what an incarnation of an endpoint has said of its load in a response to a request of this
// instance, or, where the source says so, of another one. Answered means that the response ends a caller's request, which
// the endpoint still counts as running where its role does not go on with it. It reports whether the endpoint is known
// and the report the newest.
func (s *Scheduler) RecordLoad(endpoint string, incarnation int64, answered bool, r endpointload.Report) (newest bool) {
	x := s.known(endpoint)
	if x == nil || x.ep.Incarnation != incarnation {
		return false
	}
	if answered && x.ep.Role != config.Decode { // the head of a stream comes while it runs
		r.Running = max(0, r.Running-1)
	}
	if newest = x.load.Observe(r); newest && r.At.After(x.lastCallAt) {
		x.callsSinceReport = 0
	}
	return newest
}

// TellLoads returns what this instance has lately heard of the endpoints' loads and not told the others yet, at most
// that many. They count as told.
func (s *Scheduler) TellLoads(now time.Time, most int) []endpointload.Untold {
	var untold []endpointload.Untold
	for name, x := range s.endpoints {
		if x.load.HasUntold(now) {
			untold = append(untold, endpointload.Untold{Endpoint: name, Incarnation: x.ep.Incarnation, Record: &x.load})
		}
	}
	return endpointload.Tell(now, untold, most)
}

// LatestLoad returns the newest report of an endpoint that this instance knows; its time is zero if there is none.
func (s *Scheduler) LatestLoad(endpoint string) endpointload.Report {
	if x := s.known(endpoint); x != nil {
		return x.load.Latest()
	}
	return endpointload.Report{}
}
