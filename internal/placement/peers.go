package placement

import (
	"slices"
	"time"
)

// PeerState is what another instance holds and waits for.
type PeerState struct {
	UpdatedAt     time.Time
	Generations   map[string][]Generation // by endpoint
	PrefillTokens map[string]int          // prompt tokens, by endpoint
	Waiters       []*Waiter
	EjectedUntil  map[string]time.Time // until when it has set endpoints aside
}

// silence is how old the updates of another instance may be for its prefills to count.
// Its runs count on to their expected end: engines go on with them when the instance
// is cut off from the others.
const silence = time.Second

// SetPeer replaces what is known of another instance.
func (s *Scheduler) SetPeer(name string, r *PeerState) {
	if old := s.remotes[name]; old != nil {
		s.detach(name, old)
	}
	if r == nil {
		delete(s.remotes, name)
		return
	}
	s.remotes[name] = r
	for endpoint, until := range r.EjectedUntil {
		if x := s.targets[endpoint]; x != nil {
			x.avoid[name] = until
		}
	}
	for endpoint, runs := range r.Generations {
		s.attach(name, endpoint, remoteLoad{heard: r.UpdatedAt, runs: runs, reading: r.PrefillTokens[endpoint]})
	}
	for endpoint, reading := range r.PrefillTokens {
		if r.Generations[endpoint] == nil {
			s.attach(name, endpoint, remoteLoad{heard: r.UpdatedAt, reading: reading})
		}
	}
}

func (s *Scheduler) detach(name string, r *PeerState) {
	for endpoint := range r.EjectedUntil {
		if x := s.targets[endpoint]; x != nil {
			delete(x.avoid, name)
		}
	}
	for endpoint := range r.Generations {
		if x := s.targets[endpoint]; x != nil {
			delete(x.remote, name)
		}
	}
	for endpoint := range r.PrefillTokens {
		if x := s.targets[endpoint]; x != nil {
			delete(x.remote, name)
		}
	}
}

func (s *Scheduler) attach(name, endpoint string, l remoteLoad) {
	if x := s.targets[endpoint]; x != nil {
		x.remote[name] = l
	}
}

// remoteRuns appends the runs of other instances that are expected to hold memory.
func (x *target) remoteRuns(now time.Time, runs []Generation) []Generation {
	for _, l := range x.remote {
		silent := now.Sub(l.heard) > silence
		for _, r := range l.runs {
			if !silent || r.end(x.step).After(now) {
				runs = append(runs, r)
			}
		}
	}
	return runs
}

// remoteReading returns the prompt tokens that other instances have read.
func (x *target) remoteReading(now time.Time) int {
	sum := 0
	for _, l := range x.remote {
		if now.Sub(l.heard) <= silence {
			sum += l.reading
		}
	}
	return sum
}

// EachEndpointLoad returns the runs and prefills of this instance, by endpoint, sorted by name.
func (s *Scheduler) EachEndpointLoad(visit func(endpoint string, reading int, runs []Generation)) {
	names := make([]string, 0, len(s.targets))
	for name, x := range s.targets {
		if x.reading > 0 || len(x.runs) > 0 {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		x := s.targets[name]
		runs := make([]Generation, 0, len(x.runs))
		for l := range x.runs {
			runs = append(runs, l.run)
		}
		visit(name, x.reading, runs)
	}
}
