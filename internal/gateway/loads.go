package gateway

import (
	"math"
	"time"

	"carawayrouter.example/router/internal/endpointload"
	"carawayrouter.example/router/internal/gossip"
	"carawayrouter.example/router/internal/placement"
)

// healthCheck is the sender of requests to health paths.
const healthCheck = "health check"

// recordLoad records what an endpoint says of its load in a response. A load that cannot be read changes nothing. It
// has no log line: a faulty endpoint sends it in each response.
func (s *Server) recordLoad(req endpointRequest, resp ResponseInfo) {
	if resp.Load.Malformed {
		s.stats.loadsMalformed.Inc()
		return
	}
	late := resp.AttemptID != "" && resp.AttemptID != req.attemptID // of unknown age
	if !resp.Load.Told || late || !req.isAnsweredBy(resp) {
		return
	}
	source := endpointload.OwnResponse
	if req.sender == healthCheck {
		source = endpointload.OwnHealth
	}
	s.stats.loadReports[source].Inc()
	l := resp.Load
	s.admission.withScheduler(func(now time.Time, p *placement.Scheduler) {
		p.RecordLoad(req.endpoint, req.placedAt, req.attemptID != "" && !resp.NotRun, endpointload.Report{
			Running: l.Running, Waiting: l.Waiting, Slots: l.Slots, Pace: l.Pace, ColdFor: resp.ColdFor, At: now, Source: source,
		})
	})
}

// maxToldLoads bounds the observations in an update. Between two updates of an instance few endpoints answer it; more
// are heard in a burst, when every update is sent to all the more instances.
const maxToldLoads = 6

// addLoads adds what this instance has heard of the endpoints' loads to an update.
func addLoads(now time.Time, scheduler *placement.Scheduler, u *gossip.Update) {
	for _, t := range scheduler.TellLoads(now, maxToldLoads) {
		r := t.Record.Own()
		u.Observations = append(u.Observations, gossip.EndpointObservation{
			Endpoint: t.Endpoint, Incarnation: t.Incarnation, Running: r.Running, Waiting: r.Waiting, Slots: r.Slots,
			Pace: int(math.Round(r.Pace * percent)), ColdFor: r.ColdFor.Milliseconds(), Age: gossip.AgeMillis(now, r.At),
		})
	}
}

const percent = 100

// mergeLoads applies what another instance has heard of the endpoints' loads.
func (s *Server) mergeLoads(u *gossip.Update) {
	if len(u.Observations) == 0 {
		return
	}
	s.admission.withScheduler(func(now time.Time, p *placement.Scheduler) {
		for _, o := range u.Observations {
			r := endpointload.Report{
				Running: o.Running, Waiting: o.Waiting, Slots: o.Slots, Pace: float64(o.Pace) / percent,
				ColdFor: time.Duration(o.ColdFor) * time.Millisecond, At: gossip.TimeOfAge(now, max(0, o.Age)), Source: endpointload.OtherInstance,
			}
			if r.Running < 0 || r.Waiting < 0 || r.Slots < 0 || r.Pace < 0 {
				s.stats.loadsMalformed.Inc()
				continue
			}
			s.stats.loadReports[endpointload.OtherInstance].Inc()
			p.RecordLoad(o.Endpoint, o.Incarnation, false, r)
		}
	})
}

// appendChoice appends what an endpoint was chosen with to the fields of a log line, where its pool tells its pace.
func (s *Server) appendChoice(fields []any, prefix string, c placement.Choice) []any {
	if !c.Told {
		return fields
	}
	fields = append(fields, prefix+"expected_ms", c.End.Milliseconds(), prefix+"pace", math.Round(c.Pace*percent)/percent)
	if c.ReportAge < 0 {
		return append(fields, prefix+"report", "none")
	}
	s.stats.reportAge.Update(c.ReportAge.Seconds())
	return append(fields, prefix+"report", c.Source.String(), prefix+"report_age_ms", c.ReportAge.Milliseconds())
}
