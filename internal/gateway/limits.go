package gateway

import (
	"time"

	"carawayrouter.example/router/internal/gossip"
	"carawayrouter.example/router/internal/limit/pacing"
	"carawayrouter.example/router/internal/placement"
)

// recordLimit records whether an endpoint's response announces a limit. Responses that may not be
// the endpoint's, and refusals, do not end a limit.
func (s *Server) recordLimit(req endpointRequest, sentAt time.Time, resp ResponseInfo) {
	if !req.isAnsweredBy(resp) {
		return
	}
	identified := resp.EndpointName != "" || (req.attemptID != "" && resp.AttemptID == req.attemptID)
	changed := false
	s.admission.withScheduler(func(now time.Time, p *placement.Scheduler) {
		switch {
		case resp.Limit.Announced:
			changed = p.RecordLimit(now, req.endpoint, resp.Limit.Rate)
		case !resp.Limit.Malformed && !resp.NotRun && identified:
			changed = p.RecordNoLimit(now, sentAt, req.endpoint)
		}
	})
	if changed {
		s.logLimit(req.endpoint, resp.Limit.Announced, resp.Limit.Rate, s.settings.Instance)
		s.peers.requestUpdate()
	}
}

// recordPause records that an endpoint wants no request from this instance for a time.
func (s *Server) recordPause(req endpointRequest, resp ResponseInfo) {
	if resp.Pause <= 0 || !req.isAnsweredBy(resp) {
		return
	}
	s.pause(req.endpoint, resp.Pause, req.sender)
}

// pause records that an endpoint wants no request from this instance for a time. Cause says what it has refused.
func (s *Server) pause(endpoint string, d time.Duration, cause string) {
	began := false
	s.admission.withScheduler(func(now time.Time, p *placement.Scheduler) { began = p.Pause(now, endpoint, d) })
	if began {
		s.stats.pauses.Inc()
		s.log.Info("endpoint.paused", "endpoint", endpoint, "ms", d.Milliseconds(), "refused", cause)
	}
}

// recheck decides right before a request is written whether its endpoint may be given it.
func (a *admission) recheck(r placement.Send) (refusal placement.Refusal) {
	a.withScheduler(func(now time.Time, s *placement.Scheduler) { refusal = s.Recheck(now, r) })
	return refusal
}

// pausedFor returns for how long an endpoint wants no request from this instance, or 0.
func (a *admission) pausedFor(endpoint string) (left time.Duration) {
	a.withScheduler(func(now time.Time, s *placement.Scheduler) { left = s.PausedFor(now, endpoint) })
	return left
}

func (s *Server) logLimit(endpoint string, limited bool, rate float64, source string) {
	if limited {
		s.log.Info("endpoint.limited", "endpoint", endpoint, "rate", rate, "source", source)
		return
	}
	s.log.Info("endpoint.unlimited", "endpoint", endpoint, "source", source)
}

// countLimited returns the number of endpoints with a limit.
func (a *admission) countLimited() (n int) {
	a.withScheduler(func(_ time.Time, p *placement.Scheduler) { n = p.CountLimited() })
	return n
}

// maxReportedLimits bounds the limits in an update.
const maxReportedLimits = 128

// addLimits adds the endpoints' limits that this instance has observed to an update.
func addLimits(now time.Time, scheduler *placement.Scheduler, u *gossip.Update) {
	scheduler.EachReportedLimit(now, func(l placement.EndpointLimit) {
		if len(u.Limits) < maxReportedLimits {
			u.Limits = append(u.Limits, gossip.EndpointLimit{
				Endpoint: l.Endpoint, Incarnation: l.Incarnation, Limited: l.Limited, Rate: l.Rate,
				SinceAge: gossip.AgeMillis(now, l.Since), Age: gossip.AgeMillis(now, l.ObservedAt),
			})
		}
	})
}

// mergeLimits applies the endpoints' limits that another instance has observed.
func (s *Server) mergeLimits(u *gossip.Update) {
	if len(u.Limits) == 0 {
		return
	}
	var changed []gossip.EndpointLimit
	s.admission.withScheduler(func(now time.Time, p *placement.Scheduler) {
		for _, l := range u.Limits {
			limit := pacing.Limit{Limited: l.Limited, Rate: l.Rate, Since: gossip.TimeOfAge(now, l.SinceAge), ObservedAt: gossip.TimeOfAge(now, l.Age)}
			if p.MergeLimit(now, placement.EndpointLimit{Endpoint: l.Endpoint, Incarnation: l.Incarnation, Limit: limit}) {
				changed = append(changed, l)
			}
		}
	})
	for _, l := range changed {
		s.logLimit(l.Endpoint, l.Limited, l.Rate, u.Instance)
	}
}
