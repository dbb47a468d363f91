package gateway

import (
	"slices"
	"sync"
	"time"

	"carawayrouter.example/router/internal/errkind"
	"carawayrouter.example/router/internal/evacuation"
	"carawayrouter.example/router/internal/gossip"
	"carawayrouter.example/router/internal/placement"
)

// evacuationRetryAfter is after what time a request is worth another try that only endpoints of evacuated data centres, or none, can serve.
// When the operator takes an evacuation back is not known; all instances know it within this time.
const evacuationRetryAfter = time.Second

// evacuations are the data centres that the operator wants empty.
type evacuations struct {
	mu      sync.Mutex
	set     *evacuation.Set
	ignored map[string]uint64 // versions of the rows that were logged as ignored, by key
}

// maxIgnoredRows bounds the unreadable rows that are remembered. If there are more, some are logged again.
const maxIgnoredRows = 64

func newEvacuations() *evacuations {
	return &evacuations{set: evacuation.New(func(position uint64) uint64 { return positionOf(position).Era }), ignored: map[string]uint64{}}
}

// inForce returns the evacuated data centres.
func (e *evacuations) inForce() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.set.Evacuated()
}

// isFirst reports whether an unreadable row has not been logged yet. The caller holds the lock.
func (e *evacuations) isFirst(r Row) bool {
	if version, ok := e.ignored[r.Key]; ok && version == r.Version {
		return false
	}
	if len(e.ignored) >= maxIgnoredRows {
		clear(e.ignored)
	}
	e.ignored[r.Key] = r.Version
	return true
}

// readEvacuations applies the rows of the operator's table that evacuate data centres. A row that cannot be read changes nothing.
func (s *Server) readEvacuations(now time.Time, rows []Row, at Position, full bool) {
	e := s.evacuation
	e.mu.Lock()
	defer e.mu.Unlock()
	var records []evacuation.Record
	for _, r := range rows {
		if r.Kind != EvacuationRow {
			continue
		}
		err := error(nil)
		if !r.Deleted {
			err = s.state.decoder.DecodeEvacuation(r.Value)
		}
		if err == nil {
			err = evacuation.CheckName(r.Key)
		}
		switch {
		case err == nil:
			records = append(records, evacuation.Record{DataCentre: r.Key, Evacuated: !r.Deleted, Written: Position{Era: at.Era, Version: r.Version}.order()})
		case e.isFirst(r):
			s.stats.evacuationRows.Inc()
			s.log.Info("evacuation.unreadable", "data_centre", r.Key, "version", r.Version, "cause", err.Error())
			fallthrough
		default:
			records = append(records, evacuation.Record{DataCentre: r.Key, Evacuated: true}) // the row is not missing
		}
	}
	changes, held := e.set.Read(now, records, at.order(), full)
	for _, r := range records {
		if r.Written != 0 && r.Evacuated && !e.set.Knows(r.DataCentre) && e.isFirst(Row{Key: r.DataCentre, Version: positionOf(r.Written).Version}) {
			s.stats.evacuationRows.Inc()
			s.log.Info("evacuation.no_room", "data_centre", r.DataCentre, "most", evacuation.MaxDataCentres)
		}
	}
	for _, name := range held {
		s.log.Info("evacuation.held", "data_centre", name, "cause", "its row is missing from the restored store", "ms", evacuation.RestoreHold.Milliseconds())
	}
	s.applyEvacuations(changes, "store")
}

// mergeEvacuations applies what another instance knows.
func (s *Server) mergeEvacuations(now time.Time, told []gossip.Evacuation, source string) {
	if len(told) == 0 {
		return
	}
	records := make([]evacuation.Record, len(told))
	for i, t := range told {
		records[i] = evacuation.Record{DataCentre: t.DataCentre, Evacuated: t.Evacuated, Written: t.Written}
	}
	e := s.evacuation
	e.mu.Lock()
	defer e.mu.Unlock()
	s.applyEvacuations(e.set.Merge(now, records), source)
}

// expireEvacuations ends evacuations whose rows a restore of the store has lost for good.
func (s *Server) expireEvacuations(now time.Time) {
	e := s.evacuation
	e.mu.Lock()
	defer e.mu.Unlock()
	s.applyEvacuations(e.set.Expire(now), "restored store")
}

// applyEvacuations puts changes in force and tells the other instances. The caller holds the lock of the evacuations.
func (s *Server) applyEvacuations(changes []evacuation.Change, source string) {
	if len(changes) == 0 {
		return
	}
	s.admission.setEvacuated(s.evacuation.set.Evacuated())
	for _, c := range changes {
		if !c.Evacuated {
			s.log.Info("evacuation.ended", "data_centre", c.DataCentre, "version", positionOf(c.Written).Version, "source", source)
			continue
		}
		s.log.Info("evacuation.began", "data_centre", c.DataCentre, "version", positionOf(c.Written).Version, "source", source, "running", s.admission.countInEvacuated())
		if !s.knowsDataCentre(c.DataCentre) {
			s.stats.evacuationRows.Inc()
			s.log.Info("evacuation.unknown", "data_centre", c.DataCentre, "cause", "no endpoint or instance is there now")
		}
	}
	s.peers.requestUpdate()
}

// knowsDataCentre reports whether there is an endpoint or an instance in a data centre, as far as that can be said.
func (s *Server) knowsDataCentre(name string) bool {
	eps := s.state.Current().Endpoints
	if len(eps) == 0 || name == s.settings.DataCentre {
		return true
	}
	for _, ep := range eps {
		if ep.DataCentre == name {
			return true
		}
	}
	return s.peers.isDataCentre(name)
}

// isDataCentre reports whether another instance is in a data centre.
func (p *peers) isDataCentre(name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, x := range p.known {
		if x.row.DataCentre == name {
			return true
		}
	}
	return false
}

// exportEvacuations returns what is known, for other instances.
func (s *Server) exportEvacuations() (out []gossip.Evacuation) {
	e := s.evacuation
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range e.set.Records() {
		out = append(out, gossip.Evacuation{DataCentre: r.DataCentre, Evacuated: r.Evacuated, Written: r.Written})
	}
	return out
}

// setEvacuated sets the evacuated data centres. Requests that wait and that nothing else can serve are refused.
func (a *admission) setEvacuated(dataCentres []string) {
	a.releaseAndServe(func(now time.Time, s *placement.Scheduler) {
		if !s.SetEvacuated(now, dataCentres) {
			return
		}
		for _, w := range slices.Clone(a.queue.Waiters()) {
			if s.NeedsEvacuated(now, w.Demand) && s.PauseLeft(now, w.Demand) == 0 {
				a.queue.Remove(w)
				a.end(w, grant{err: refusal(errkind.NoEndpoint, "no engine can be used", evacuationRetryAfter)})
			}
		}
	})
}

// countInEvacuated returns how many requests of this instance are in progress in evacuated data centres.
func (a *admission) countInEvacuated() (n int) {
	a.withScheduler(func(_ time.Time, s *placement.Scheduler) { n = s.CountInEvacuated() })
	return n
}
