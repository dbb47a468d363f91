package gateway

import (
	"sync"
	"time"

	"carawayrouter.example/router/internal/gossip"
	"carawayrouter.example/router/internal/placement"
)

// maxColdLines bounds the log lines about cold endpoints that are written at once; of the others only the number is.
const maxColdLines = 32

// admitSend decides right before a request is written whether its endpoint may be given it, and counts it there.
func (s *Server) admitSend(r placement.Send) (refusal placement.Refusal) {
	s.admission.withScheduler(func(now time.Time, p *placement.Scheduler) { refusal = p.Admit(now, r) })
	if refusal == placement.Cold {
		s.stats.coldTurnsRefused.Inc()
	}
	return refusal
}

// recordCold records for how long an endpoint says that it stays cold.
func (s *Server) recordCold(req endpointRequest, resp ResponseInfo) {
	if !req.isAnsweredBy(resp) {
		return
	}
	if resp.ColdMalformed {
		s.stats.coldUnreadable.Inc()
		if s.coldRefused.allow(time.Now(), req.endpoint) {
			s.log.Info("endpoint.cold_unreadable", "endpoint", req.endpoint)
		}
		return
	}
	if resp.ColdFor <= 0 {
		return
	}
	s.admission.withScheduler(func(now time.Time, p *placement.Scheduler) {
		p.RecordCold(now, placement.ColdEndpoint{Endpoint: req.endpoint, Incarnation: req.placedAt, Left: resp.ColdFor})
	})
}

// addColdTimes adds what endpoints have said to this instance of their cold times to an update: to what it has
// observed of them besides, if anything. An observation without slots says nothing of the load.
func addColdTimes(now time.Time, scheduler *placement.Scheduler, u *gossip.Update) {
	scheduler.EachReportedCold(now, func(c placement.ColdEndpoint) {
		for i, o := range u.Observations {
			if o.Endpoint == c.Endpoint && o.Incarnation == c.Incarnation {
				// The other instances take the age off.
				u.Observations[i].ColdFor = c.Left.Milliseconds() + o.Age
				return
			}
		}
		if len(u.Observations) < maxReportedLimits {
			u.Observations = append(u.Observations, gossip.EndpointObservation{Endpoint: c.Endpoint, Incarnation: c.Incarnation, ColdFor: c.Left.Milliseconds()})
		}
	})
}

// maxColdTime bounds the cold times that another instance tells.
const maxColdTime = time.Hour

// mergeColdTimes applies what endpoints have said to another instance of their cold times.
func (s *Server) mergeColdTimes(u *gossip.Update) {
	for _, o := range u.Observations {
		left := time.Duration(o.ColdFor-max(0, o.Age)) * time.Millisecond
		if o.ColdFor <= 0 || left <= 0 || o.ColdFor > maxColdTime.Milliseconds() {
			continue
		}
		s.admission.withScheduler(func(now time.Time, p *placement.Scheduler) {
			p.MergeCold(now, placement.ColdEndpoint{Endpoint: o.Endpoint, Incarnation: o.Incarnation, Left: left})
		})
	}
}

// logCold logs which endpoints have become cold, and which no longer are.
func (s *Server) logCold() {
	cold := map[string]placement.ColdEndpoint{}
	s.admission.withScheduler(func(now time.Time, p *placement.Scheduler) {
		p.EachCold(now, func(c placement.ColdEndpoint) { cold[c.Endpoint] = c })
	})
	if len(cold) == 0 && len(s.coldLogged) == 0 {
		return
	}
	lines := 0
	for name, c := range cold {
		if before, ok := s.coldLogged[name]; ok && before.Incarnation == c.Incarnation {
			continue
		}
		if lines++; lines <= maxColdLines {
			s.log.Info("endpoint.cold", "endpoint", name, "incarnation", c.Incarnation, "ms", c.Left.Milliseconds())
		}
	}
	for name, c := range s.coldLogged {
		if _, ok := cold[name]; ok {
			continue
		}
		if lines++; lines <= maxColdLines {
			s.log.Info("endpoint.warm", "endpoint", name, "incarnation", c.Incarnation)
		}
	}
	if lines > maxColdLines {
		s.log.Info("endpoints.cold", "cold", len(cold), "omitted", lines-maxColdLines)
	}
	s.coldLogged = cold
}

// endpointLog decides which lines about single endpoints are written: one that answers wrongly does so with every
// response.
type endpointLog struct {
	mu      sync.Mutex
	written map[string]time.Time // by endpoint
}

func (l *endpointLog) allow(now time.Time, endpoint string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.written == nil {
		l.written = map[string]time.Time{}
	}
	return allowLine(l.written, now, endpoint)
}

// countCold returns the number of cold endpoints that bear only so many requests.
func (a *admission) countCold() (n int) {
	a.withScheduler(func(now time.Time, p *placement.Scheduler) {
		p.EachCold(now, func(placement.ColdEndpoint) { n++ })
	})
	return n
}
