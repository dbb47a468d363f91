package gateway

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"carawayrouter.example/router/internal/config"
	"carawayrouter.example/router/internal/placement"
)

// RowDecoder decodes the values of the store's rows.
type RowDecoder interface {
	DecodeConfiguration(value []byte) (*config.Objects, uint64, error)
	DecodeEndpoint(name string, value []byte) (*config.Endpoint, error)
	DecodeEvacuation(value []byte) error
}

// state holds the configuration and the endpoints in force on this instance.
//
// Invariant: the version of the configuration never decreases.
type state struct {
	decoder   RowDecoder
	admission *admission
	log       logr.Logger

	// onEndpoint is called with every endpoint of a snapshot before it is in force.
	onEndpoint func(now time.Time, ep *config.Endpoint)
	// onMove is called with the routes whose pools a new configuration changes.
	onMove func(now time.Time, routes []string)

	current atomic.Pointer[config.State]

	mu               sync.Mutex
	directory        *directory
	rawConfiguration []byte    // the configuration in force as encoded in the store
	tablePosition    Position  // last position read of the endpoint table
	eraStart         uint64    // order of the first position of its era that was read, here or by another instance
	storeFailedAt    time.Time // last time that reading the endpoint table failed
	announced        []announcement
}

func newState(decoder RowDecoder, a *admission, log logr.Logger) *state {
	s := &state{decoder: decoder, admission: a, log: log, directory: newDirectory(), onEndpoint: func(time.Time, *config.Endpoint) {}, onMove: func(time.Time, []string) {}}
	s.current.Store(config.Empty())
	return s
}

// Current returns the snapshot in force.
func (s *state) Current() *config.State { return s.current.Load() }

// applyConfiguration puts a configuration in force unless a newer one already is.
func (s *state) applyConfiguration(value []byte, source string) {
	objects, version, err := s.decoder.DecodeConfiguration(value)
	if err != nil {
		s.log.Error(err, "configuration.unreadable", "source", source)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.current.Load()
	if version <= old.Ticket {
		return
	}
	objects.Endpoints = s.directory.list()
	s.rawConfiguration = value
	next := config.Build(version, objects)
	if moved := movedRoutes(old, next); len(moved) > 0 {
		s.onMove(time.Now(), moved)
	}
	s.install(next)
	s.log.Info("configuration.applied", "version", version, "before", old.Ticket, "routes", len(objects.Routes), "source", source)
}

// install puts a snapshot in force and updates the scheduler. The caller holds the lock.
func (s *state) install(next *config.State) {
	for _, ep := range next.Endpoints {
		s.onEndpoint(time.Now(), ep)
	}
	s.current.Store(next)
	s.admission.withScheduler(func(now time.Time, p *placement.Scheduler) { p.SetEndpoints(now, next) })
}

// applyEndpoints applies rows of the endpoint table, read at a position. With full, the rows are
// the whole table.
func (s *state) applyEndpoints(now time.Time, rows []Row, at Position, full bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at.Era < s.tablePosition.Era {
		return // another instance has already told of the restored store
	}
	if at.Era > s.tablePosition.Era {
		s.enterEra(now, at.Era, at.order())
	}
	for _, r := range rows {
		s.tablePosition.Version = max(s.tablePosition.Version, r.Version)
	}
	changed := s.directory.expire(now)
	var eps []*config.Endpoint
	for _, r := range rows {
		written := Position{Era: at.Era, Version: r.Version}.order()
		if r.Deleted {
			if s.directory.remove(now, r.Key, written) {
				s.log.Info("endpoint.gone", "endpoint", r.Key, "version", r.Version)
				changed = true
			}
			continue
		}
		ep, err := s.decoder.DecodeEndpoint(r.Key, r.Value)
		if err != nil {
			s.log.Info("endpoint.unreadable", "endpoint", r.Key, "version", r.Version, "cause", err.Error())
			changed = s.directory.remove(now, r.Key, written) || changed
			continue
		}
		ep.Written = written
		if full {
			eps = append(eps, ep)
			continue
		}
		if s.directory.put(ep) {
			s.log.Info("endpoint.seen", "endpoint", ep.Name, "addr", ep.Addr, "pool", ep.Pool, "role", ep.Role, "software", ep.SoftwareVersion, "leaving", ep.Leaving, "withheld", s.directory.withholds(ep.Name), "incarnation", ep.Incarnation)
			changed = true
		}
	}
	if full {
		changed = s.directory.replace(now, eps, at.order()) || changed
		s.log.Info("endpoint.table", "endpoints", len(eps), "changed", changed)
	} else {
		s.directory.followed(at.order())
	}
	if changed {
		s.publish()
	}
}

// enterEra records that the store was restored, and the order of the first position that was read since. The caller
// holds the lock.
func (s *state) enterEra(now time.Time, era, first uint64) {
	if s.tablePosition != (Position{}) {
		s.directory.storeRestored(now, first)
	}
	s.tablePosition, s.eraStart = Position{Era: era}, first
}

// announcement is an endpoint's announcement in a response that it leaves.
type announcement struct {
	endpoint    string
	incarnation int64
	at          time.Time
}

const (
	announcementReportTime = 10 * time.Second // for which an announcement is in the updates; many of them
	maxAnnouncements       = 128
)

// announceLeaving records that an incarnation of an endpoint has announced in a response to this instance
// that it leaves, and reports whether that is new.
func (s *state) announceLeaving(now time.Time, name string, incarnation int64) bool {
	if !s.retire(name, incarnation, "response") {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.announced) < maxAnnouncements {
		s.announced = append(s.announced, announcement{name, incarnation, now})
	}
	return true
}

// recentAnnouncements returns the announcements to this instance that the others may not know yet.
func (s *state) recentAnnouncements(now time.Time) []announcement {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.announced = slices.DeleteFunc(s.announced, func(a announcement) bool { return now.Sub(a.at) > announcementReportTime })
	return slices.Clone(s.announced)
}

// retire records that an incarnation of an endpoint has announced in a response that it leaves, to this
// instance or another one, and reports whether that is new. Like an entry that says so it is final, also
// while the store is away.
func (s *state) retire(name string, incarnation int64, source string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.directory.retire(name, incarnation) {
		return false
	}
	s.log.Info("endpoint.leaving", "endpoint", name, "incarnation", incarnation, "source", source)
	s.publish()
	return true
}

// publish puts the directory's endpoints in force. The caller holds the lock.
func (s *state) publish() {
	old := s.current.Load()
	s.install(old.Replace(old.Ticket, &config.Objects{Endpoints: s.directory.list()}))
}

// expire drops the endpoints that did not register again after a store outage.
func (s *state) expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.directory.expire(now) {
		s.log.Info("endpoint.not_back")
		s.publish()
	}
}

// storeRecovered records that the endpoint table can be read again.
func (s *state) storeRecovered(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.directory.storeRecovered(now)
}

// storeFailed records that the endpoint table could not be read.
func (s *state) storeFailed(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storeFailedAt = now
	s.directory.storeFailed(now)
}

// storeDownTime is how long after a failed read the store counts as unavailable. Failed reads
// are retried at shorter intervals.
const storeDownTime = time.Second

// storeUnavailable reports whether the endpoint table cannot be read at present.
func (s *state) storeUnavailable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.storeFailedAt) < storeDownTime
}

// countWithheld returns how many endpoints are not used although their entries do not say that they leave.
func (s *state) countWithheld() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.directory.countWithheld()
}

// endpointsPosition returns the position of the newest known endpoint entry.
func (s *state) endpointsPosition() Position {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tablePosition
}

// export returns the state for another instance.
func (s *state) export(now time.Time) *peerState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &peerState{
		ConfigurationVersion: s.current.Load().Ticket,
		Configuration:        s.rawConfiguration,
		EndpointsVersion:     s.tablePosition.order(),
		EraStart:             s.eraStart,
		Endpoints:            s.directory.registered(),
		Held:                 s.directory.held(now),
		Retired:              maps.Clone(s.directory.retired),
		Removed:              maps.Clone(s.directory.removed),
	}
}

// merge applies those parts of another instance's state that are newer.
func (s *state) merge(now time.Time, p *peerState, source string) {
	if p.ConfigurationVersion > s.Current().Ticket && len(p.Configuration) > 0 {
		s.applyConfiguration(p.Configuration, source)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.EndpointsVersion <= s.tablePosition.order() {
		return
	}
	at := positionOf(p.EndpointsVersion)
	if at.Era > s.tablePosition.Era {
		// The start is not told by former builds. Their position is not before it; endpoints that have registered
		// in between are used when they write their entries again.
		s.enterEra(now, at.Era, cmp.Or(p.EraStart, p.EndpointsVersion))
	}
	s.tablePosition = at
	changed, gone := false, 0
	for _, ep := range p.Endpoints {
		if s.directory.isGone(ep) {
			gone++
		}
		changed = s.directory.merge(ep) || changed
	}
	for _, h := range p.Held {
		if h.Endpoint != nil {
			changed = s.directory.mergeHeld(now, h) || changed
		}
	}
	for name, r := range p.Removed {
		changed = s.directory.mergeRemoved(now, name, r) || changed
	}
	changed = s.directory.expire(now) || changed
	for name, incarnation := range p.Retired {
		changed = s.directory.retire(name, incarnation) || changed
	}
	if changed || gone > 0 {
		s.log.Info("endpoint.table", "endpoints", len(p.Endpoints), "source", source, "version", p.EndpointsVersion, "held", len(p.Held), "gone", gone)
	}
	if changed {
		s.publish()
	}
}
