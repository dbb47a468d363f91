package placement

import (
	"time"

	"carawayrouter.example/router/internal/config"
)

// Pause records that an endpoint has turned a request away and wants none from this instance for d. It
// answers endpoints in an overload that each instance would try again every few milliseconds. It reports
// whether a pause has begun; a shorter one does not end a longer one.
func (s *Scheduler) Pause(now time.Time, endpoint string, d time.Duration) (began bool) {
	x := s.known(endpoint)
	if x == nil {
		return false
	}
	began = !x.paused(now)
	if until := now.Add(d); until.After(x.pausedUntil) {
		x.pausedUntil = until
	}
	return began
}

// PausedFor returns for how long an endpoint wants no request from this instance, or 0.
func (s *Scheduler) PausedFor(now time.Time, endpoint string) time.Duration {
	x := s.known(endpoint)
	if x == nil {
		return 0
	}
	return max(0, x.pausedUntil.Sub(now))
}

// PauseLeft returns how long it takes until an endpoint that is needed for the demand wants requests
// again, or 0 if the pauses do not hold it up.
func (s *Scheduler) PauseLeft(now time.Time, d Demand) time.Duration {
	first := time.Duration(0)
	need := d.anyEndpoint()
	for _, x := range s.pools[d.Pool] {
		if x.ep.Role == config.Prefill {
			continue
		}
		switch x.refusal(now, choosing, need) {
		case "":
			return 0
		case Paused:
			if left := x.pausedUntil.Sub(now); first == 0 || left < first {
				first = left
			}
		}
	}
	return first
}
