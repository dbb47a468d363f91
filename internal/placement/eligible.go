package placement

import (
	"slices"
	"strings"
	"time"

	"carawayrouter.example/router/internal/config"
)

// Refusal says why an endpoint may not be given a request; it is empty if it may. Those of a turn pass soon: the endpoint can be
// used and a request waits for it. With the others it cannot.
type Refusal string

// The refusals, in the order in which they are looked for: those that last as long as the endpoint's entry or the
// operator's wish, those of the request, those that end with their time, and the lack of a turn, which passes soon.
const (
	Gone         Refusal = "gone" // no entry, or one of another incarnation
	Leaving      Refusal = "leaving"
	Replaced     Refusal = "replaced" // another endpoint answers at its address
	Evacuated    Refusal = "evacuated"
	OutsideHomes Refusal = "outside_homes"
	OtherVersion Refusal = "other_version"
	Excluded     Refusal = "excluded"
	Paused       Refusal = "paused"
	Ejected      Refusal = "ejected"
	Limited      Refusal = "limited"
	Cold         Refusal = "cold"
)

// Homes are the regions that a request, its body and the memory of its prompt stay in. Both lists bind; an empty one
// allows any region.
type Homes struct{ Route, Account []string }

// Allow reports whether an endpoint of the region may have the request. An unknown region, "", is none of the homes.
func (h Homes) Allow(region string) bool {
	return isHome(h.Route, region) && isHome(h.Account, region)
}

// key returns a text that equal homes share.
func (h Homes) key() string {
	if len(h.Route) == 0 && len(h.Account) == 0 {
		return ""
	}
	return strings.Join(h.Route, ",") + ";" + strings.Join(h.Account, ",")
}

func isHome(homes []string, region string) bool {
	return len(homes) == 0 || slices.Contains(homes, region)
}

// stage is when it is asked whether an endpoint may be given a request.
type stage int

const (
	choosing stage = iota // where a request runs
	sending               // right before a request is written to the endpoint that was chosen for it
	asking                // before something that is no work: a probe, the release of a prefill result, a tunnel
)

// refusal decides whether an endpoint may be given a request, turns aside; see turn. All that gives endpoints requests asks it, when
// they are chosen and once more right before each request is written: an evacuation, a pause or a departure may have been learned
// of in between, while the request waited, was prefilled or was tried elsewhere.
//
// An ejection counts for choices only: calls are given to endpoints that fail if all do. What is no work is also given to endpoints
// that leave.
func (x *endpointState) refusal(now time.Time, at stage, d *Demand) Refusal {
	if at != asking {
		switch {
		case x.ep.Leaving:
			return Leaving
		case x.replaced:
			return Replaced
		}
	}
	if x.evacuated {
		return Evacuated
	}
	if at != asking {
		switch {
		case !d.Homes.Allow(x.ep.Region):
			return OutsideHomes
		case d.SoftwareVersion != "" && d.SoftwareVersion != x.ep.SoftwareVersion:
			return OtherVersion
		case slices.Contains(d.Exclude, x.ep.Name):
			return Excluded
		}
	}
	switch {
	case x.paused(now):
		return Paused
	case at == choosing && now.Before(x.ejectedUntil):
		return Ejected
	}
	return ""
}

// turn returns the refusal of an endpoint that may be used, but takes no request of this instance now.
func (s *Scheduler) turn(now time.Time, x *endpointState) Refusal {
	switch {
	case !x.pacer.Ready(now, s.member):
		return Limited
	case !s.coldReady(now, x):
		return Cold
	}
	return ""
}

// Send is a request that is about to be written to an endpoint.
type Send struct {
	Endpoint    string
	Incarnation int64 // in the endpoint's entry when it was chosen
	Homes       Homes
	NoWork      bool // a probe, a question or the release of a prefill result
}

// Recheck decides once more whether an endpoint may be given a request that was placed on it. The turn under its limit was
// taken then; at a cold endpoint a request counts when it is written, as a decode follows its prefill later than it was placed.
func (s *Scheduler) Recheck(now time.Time, r Send) Refusal {
	refusal, _ := s.recheck(now, r)
	return refusal
}

// Admit is Recheck for a request that is written next, and counts it.
func (s *Scheduler) Admit(now time.Time, r Send) Refusal {
	refusal, x := s.recheck(now, r)
	if refusal == "" && x != nil && !s.countSend(now, x) {
		return Cold
	}
	return refusal
}

func (s *Scheduler) recheck(now time.Time, r Send) (Refusal, *endpointState) {
	if r.NoWork {
		x := s.known(r.Endpoint)
		if x == nil {
			return "", nil
		}
		return x.refusal(now, asking, nil), x
	}
	x := s.endpoints[r.Endpoint]
	if x == nil || x.ep.Incarnation != r.Incarnation {
		return Gone, nil
	}
	refusal := x.refusal(now, sending, &Demand{Homes: r.Homes})
	if refusal == "" && !s.hasColdRoom(now, x) {
		refusal = Cold
	}
	return refusal, x
}

// SetEvacuated sets the data centres whose endpoints get no requests, and reports whether they have changed.
func (s *Scheduler) SetEvacuated(now time.Time, dataCentres []string) (changed bool) {
	if slices.Equal(s.evacuated, dataCentres) {
		return false
	}
	before := s.evacuated
	s.evacuated = slices.Clone(dataCentres)
	for _, x := range s.endpoints {
		s.markEvacuated(x)
	}
	for _, x := range s.absent {
		s.markEvacuated(x.endpointState)
	}
	for _, dc := range before {
		if !slices.Contains(dataCentres, dc) {
			s.recordReturn(now, dc)
		}
	}
	return true
}

// markEvacuated records whether an endpoint's data centre is evacuated.
func (s *Scheduler) markEvacuated(x *endpointState) {
	x.evacuated = slices.Contains(s.evacuated, x.ep.DataCentre)
}

// CountInEvacuated returns how many requests of this instance are in progress in evacuated data centres.
func (s *Scheduler) CountInEvacuated() (n int) {
	for _, x := range s.endpoints {
		if x.evacuated {
			n += x.inProgress()
		}
	}
	for _, x := range s.absent {
		if x.evacuated {
			n += x.inProgress()
		}
	}
	return n
}

// NeedsEvacuated reports whether the demand could be served if no data centre were evacuated, and cannot now.
func (s *Scheduler) NeedsEvacuated(now time.Time, d Demand) bool {
	need, evacuated := d.anyEndpoint(), false
	for _, x := range s.pools[d.Pool] {
		if x.ep.Role == config.Prefill {
			continue
		}
		switch x.refusal(now, choosing, need) {
		case "":
			return false
		case Evacuated:
			evacuated = true
		}
	}
	return evacuated
}
