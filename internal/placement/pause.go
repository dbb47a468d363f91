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

// PauseLeft returns how long it takes until an endpoint that is needed for a pool's requests wants requests
// again, or 0 if the pauses do not hold them up.
func (s *Scheduler) PauseLeft(now time.Time, pool string) time.Duration {
	first := time.Duration(0)
	for _, x := range s.pools[pool] {
		if x.ep.Role == config.Prefill || x.ep.Leaving || x.replaced {
			continue
		}
		if x.available(now) {
			return 0
		}
		if left := x.pausedUntil.Sub(now); left > 0 && (first == 0 || left < first) {
			first = left
		}
	}
	return first
}
