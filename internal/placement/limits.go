package placement

import (
	"math"
	"time"

	"carawayrouter.example/router/internal/config"
	"carawayrouter.example/router/internal/limit/pacing"
)

// turnFilter returns Limited or Cold for an endpoint that has no turn for a request now.
type turnFilter func(now time.Time, x *endpointState) Refusal

// take uses a turn of this instance at an endpoint.
func (s *Scheduler) take(now time.Time, x *endpointState) {
	x.pacer.Take(now, s.member)
	s.chooseCold(now, x)
}

// reserveForPeer keeps engines free for a waiter of another instance, which has turns of its own
// under the engines' limits.
func (s *Scheduler) reserveForPeer(now time.Time, d Demand) *Lease {
	return s.reserveEngine(now, d, func(time.Time, *endpointState) Refusal { return "" })
}

// SetMember sets this instance's place in the fleet.
func (s *Scheduler) SetMember(now time.Time, m pacing.Member) {
	if m == s.member {
		return
	}
	s.member = m
	for _, x := range s.endpoints {
		x.pacer.Forfeit(now)
	}
}

// TakeTurn uses a turn of this instance at an endpoint for a request without a lease that is no work, and reports
// whether the endpoint may be given one. Endpoints without a limit always have a turn.
func (s *Scheduler) TakeTurn(now time.Time, endpoint string) bool {
	x := s.known(endpoint)
	if x == nil {
		return true
	}
	if x.refusal(now, asking, nil) != "" || s.turn(now, x) != "" {
		return false
	}
	s.take(now, x)
	return true
}

// RecordLimit records a response of an endpoint that announces a limit, in requests per second.
// It reports whether the limit has changed.
func (s *Scheduler) RecordLimit(now time.Time, endpoint string, rate float64) (changed bool) {
	x := s.known(endpoint)
	return x != nil && x.pacer.Announced(now, rate)
}

// RecordNoLimit records a response of an endpoint that announces no limit, to a request sent at
// the given time. It reports whether the limit has changed.
func (s *Scheduler) RecordNoLimit(now, sentAt time.Time, endpoint string) (changed bool) {
	x := s.known(endpoint)
	return x != nil && x.pacer.Unannounced(now, sentAt)
}

// EndpointLimit is what is known of the limit of an endpoint's incarnation.
type EndpointLimit struct {
	Endpoint    string
	Incarnation int64
	pacing.Limit
}

// MergeLimit applies what another instance has observed of a limit, and reports whether the limit
// has changed.
func (s *Scheduler) MergeLimit(now time.Time, l EndpointLimit) (changed bool) {
	x := s.known(l.Endpoint)
	return x != nil && x.ep.Incarnation == l.Incarnation && x.pacer.Merge(now, l.Limit)
}

// EachReportedLimit calls visit with every limit that this instance tells the others of.
func (s *Scheduler) EachReportedLimit(now time.Time, visit func(EndpointLimit)) {
	for name, x := range s.endpoints {
		if l, ok := x.pacer.Report(now); ok {
			visit(EndpointLimit{Endpoint: name, Incarnation: x.ep.Incarnation, Limit: l})
		}
	}
}

// IsLimited reports whether the endpoint announces a limit.
func (s *Scheduler) IsLimited(endpoint string) bool {
	x := s.known(endpoint)
	return x != nil && x.pacer.Limit().Limited
}

// CountLimited returns the number of endpoints with a limit.
func (s *Scheduler) CountLimited() int {
	n := 0
	for _, x := range s.endpoints {
		if x.pacer.Limit().Limited {
			n++
		}
	}
	return n
}

// NextTurn returns how long this instance has to wait for a turn at one of the plain endpoints for the
// demand, or 0 if their limits do not hold it up.
func (s *Scheduler) NextTurn(now time.Time, d Demand) time.Duration {
	return s.turnAfter(now, &d, config.Plain, 0)
}

// turnAfter returns how long this instance has to wait for a turn at one of the endpoints of a role for
// the demand after as many turns as before, or 0 if their limits do not hold it up.
func (s *Scheduler) turnAfter(now time.Time, d *Demand, role config.Role, before int) time.Duration {
	first, rate := time.Duration(-1), 0.0
	d = d.anyEndpoint()
	for _, x := range s.pools[d.Pool] {
		if x.ep.Role != role || x.refusal(now, choosing, d) != "" {
			continue
		}
		l, cold := x.pacer.Limit(), x.boundNow(now)
		if !l.Limited && !cold {
			return 0
		}
		wait, own := time.Duration(0), math.Inf(1)
		if l.Limited {
			wait, own = max(0, x.pacer.Next(now, s.member).Sub(now)), l.Rate/float64(s.member.Count)
		}
		if cold {
			coldWait, coldRate := s.coldWait(now, x)
			wait, own = max(wait, coldWait), min(own, coldRate)
		}
		rate += own
		if first < 0 || wait < first {
			first = wait
		}
	}
	if rate == 0 {
		return max(0, first)
	}
	return first + time.Duration(float64(before)/rate*float64(time.Second))
}
