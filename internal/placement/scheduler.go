package placement

import (
	"math/rand/v2"
	"slices"
	"time"

	"carawayrouter.example/router/internal/config"
	"carawayrouter.example/router/internal/sched"
)

const (
	memoryHeadroom = 0.86                   // of KV memory; the rest is for outputs longer than expected
	longestBacklog = 350 * time.Millisecond // of prefills at one engine, within the shortest latency target
	farPenalty     = 0.03                   // of an engine's memory, for transfers between data centres
)

// Demand is a request that needs endpoints.
type Demand struct {
	Pool           string
	Prompt         int // tokens
	MaxOutput      int // tokens at the most
	ExpectedOutput int // tokens that are expected, 0 where nothing is known
	Generated      int // output tokens made before, by an engine that broke off
	Exclude        []string
}

// expected returns the output to plan with, without what was made before.
func (d Demand) expected() int {
	output := d.MaxOutput
	if d.ExpectedOutput > 0 && d.ExpectedOutput < d.MaxOutput {
		output = d.ExpectedOutput
	}
	return max(output-d.Generated, d.Generated/overrunPart, 1)
}

// Lease is the right to use endpoints for one request. Its methods belong to the
// Scheduler that granted it.
type Lease struct {
	Prefill *config.Endpoint // nil where the decode engine reads the prompt itself
	Target  *config.Endpoint // decode engine or plain service

	prefill, target *target
	run             Generation
	limit           int // output tokens at the most
	replay          int // output tokens made before that the decode engine has yet to read
	granted         time.Time
	reading         int // prompt tokens still to be read
	queued          int // prompt tokens that the prefill engine had to read at the grant, own ones included
	released        bool
}

// Scheduler places requests on endpoints. It is not safe for concurrent use.
//
// Invariant: a target's runs, calls and reading equal the sum over the leases that
// name it and were not released.
type Scheduler struct {
	dataCentre string
	rand       *rand.Rand
	targets    map[string]*target
	pools      map[string][]*target
	remotes    map[string]*PeerState
}

// New returns a Scheduler without endpoints for an instance in the data centre.
func New(dataCentre string, r *rand.Rand) *Scheduler {
	return &Scheduler{dataCentre: dataCentre, rand: r, targets: map[string]*target{}, pools: map[string][]*target{}, remotes: map[string]*PeerState{}}
}

// SetEndpoints replaces the endpoints. What was learned of an endpoint is kept while
// its name, address and incarnation stay the same.
func (s *Scheduler) SetEndpoints(state *config.State) {
	old := s.targets
	s.targets = make(map[string]*target, len(state.Endpoints))
	s.pools = map[string][]*target{}
	for name, ep := range state.Endpoints {
		pool := state.Pools[ep.Pool]
		if pool == nil {
			continue
		}
		x := old[name]
		if x == nil || x.ep.Addr != ep.Addr || x.ep.Incarnation != ep.Incarnation || x.ep.Role != ep.Role {
			x = newTarget(ep, pool.Engine)
		}
		x.ep, x.spec = ep, pool.Engine
		s.targets[name] = x
		s.pools[ep.Pool] = append(s.pools[ep.Pool], x)
	}
	for name, r := range s.remotes {
		s.SetPeer(name, r)
	}
	for _, list := range s.pools {
		slices.SortFunc(list, func(a, b *target) int {
			if a.ep.Name < b.ep.Name {
				return -1
			}
			return 1
		})
	}
}

// AcquireEngine places a generation: memory at a decode engine first, then a prefill engine.
// It returns nil where the request has to wait. With direct, the decode engine reads
// the prompt itself.
func (s *Scheduler) AcquireEngine(now time.Time, d Demand) *Lease {
	p, direct := s.choosePrefill(now, d)
	if p == nil && !direct {
		return nil
	}
	start := now
	if p != nil {
		start = now.Add(p.backlog(now) + time.Duration(d.Prompt)*p.perRead)
	}
	run := Generation{Prompt: d.Prompt + d.Generated, PlannedOutput: d.expected(), AsOf: start}
	t := s.chooseDecode(now, d, run)
	if t == nil {
		return nil
	}
	l := &Lease{Target: t.ep, target: t, run: run, limit: max(1, d.MaxOutput-d.Generated), replay: d.Generated, granted: now}
	t.runs[l] = struct{}{}
	t.reading += d.Generated
	if p != nil {
		l.Prefill, l.prefill, l.reading = p.ep, p, d.Prompt
		p.reading += d.Prompt
		l.queued = p.reading + p.remoteReading(now)
	}
	return l
}

// choosePrefill returns the prefill engine with the shortest backlog. Direct is true
// where the pool has no prefill engine that can be used.
func (s *Scheduler) choosePrefill(now time.Time, d Demand) (best *target, direct bool) {
	usable := false
	least := longestBacklog
	for _, x := range s.shuffled(d.Pool) {
		if x.ep.Role != config.Prefill || !x.open(now) || slices.Contains(d.Exclude, x.ep.Name) {
			continue
		}
		usable = true
		if now.Before(x.fullUntil) {
			continue
		}
		wait := x.backlog(now) + s.far(x, 5*time.Millisecond)
		if x.avoided(now) {
			wait += longestBacklog / 2
		}
		if wait < least {
			best, least = x, wait
		}
	}
	return best, !usable
}

// chooseDecode returns the engine that has room for the run and the lightest load.
func (s *Scheduler) chooseDecode(now time.Time, d Demand, run Generation) *target {
	var best *target
	least := 0.0
	for _, x := range s.shuffled(d.Pool) {
		if x.ep.Role != config.Decode || x.spec == nil || !x.open(now) || slices.Contains(d.Exclude, x.ep.Name) {
			continue
		}
		if d.Generated > 0 && x.reading+x.remoteReading(now) > 0 {
			// What was made before is not in the prefill's result: the decode engine
			// reads it between the tokens of its other streams. When an engine with many
			// streams breaks off, all read at once would make every stream late.
			continue
		}
		if !x.fits(now, run, memoryHeadroom) {
			continue
		}
		load := x.load(now) * float64(x.step) / float64(defaultStep)
		if x.ep.DataCentre != s.dataCentre {
			load += farPenalty
		}
		if x.avoided(now) {
			load++
		}
		if best == nil || load < least {
			best, least = x, load
		}
	}
	return best
}

// AcquireService places a plain call at the endpoint that will answer first, or returns nil.
// An endpoint whose slots are all taken is used only if all are, and so is one that
// fails.
func (s *Scheduler) AcquireService(now time.Time, d Demand) *Lease {
	var best *target
	var least time.Duration
	fastest := s.fastest(now, d.Pool)
	for _, x := range s.candidates(now, d) {
		slots := max(1, x.ep.Slots)
		busy := x.busy(now)
		latency := x.latency
		if now.Sub(x.measuredAt) > staleLatency {
			// An endpoint that was slow is tried again.
			latency = min(latency, fastest)
		}
		wait := latency * time.Duration(slots+busy) / time.Duration(slots)
		if busy >= slots {
			wait += latency * time.Duration(busy-slots+1) / time.Duration(slots)
		}
		if now.Before(x.fullUntil) {
			wait += latency
		}
		if x.avoided(now) {
			wait += 2 * latency
		}
		wait += s.far(x, 2*time.Millisecond)
		if best == nil || wait < least {
			best, least = x, wait
		}
	}
	if best == nil {
		return nil
	}
	best.calls++
	return &Lease{Target: best.ep, target: best, granted: now}
}

// candidates returns the endpoints that may get a plain call. Where all were set aside
// for failures, they are tried all the same: answers get lost at some endpoints for
// seconds, and most calls succeed there.
func (s *Scheduler) candidates(now time.Time, d Demand) []*target {
	var open, failing []*target
	for _, x := range s.shuffled(d.Pool) {
		switch {
		case x.ep.Leaving || x.replaced || slices.Contains(d.Exclude, x.ep.Name):
		case x.open(now):
			open = append(open, x)
		case !x.unreachable:
			failing = append(failing, x)
		}
	}
	if len(open) == 0 {
		return failing
	}
	return open
}

// fastest returns the lowest latency that is known of the pool's open endpoints.
func (s *Scheduler) fastest(now time.Time, pool string) time.Duration {
	best := defaultService
	for _, x := range s.pools[pool] {
		if x.open(now) {
			best = min(best, x.latency)
		}
	}
	return best
}

// far returns the extra cost of an endpoint outside the instance's data centre.
func (s *Scheduler) far(x *target, cost time.Duration) time.Duration {
	if x.ep.DataCentre == s.dataCentre {
		return 0
	}
	return cost
}

// shuffled returns the pool's targets from a random start on, so that equals are
// chosen evenly.
func (s *Scheduler) shuffled(pool string) []*target {
	list := s.pools[pool]
	if len(list) < 2 {
		return list
	}
	at := s.rand.IntN(len(list))
	return append(append(make([]*target, 0, len(list)), list[at:]...), list[:at]...)
}

// PrefillDone ends the lease's use of its prefill engine.
func (s *Scheduler) PrefillDone(now time.Time, l *Lease, o sched.Outcome) (ejected bool) {
	x := l.prefill
	if x == nil {
		return false
	}
	if o == sched.Succeeded && l.reading > 0 {
		x.perRead = average(x.perRead, max(time.Microsecond, now.Sub(l.granted)/time.Duration(l.queued)))
	}
	x.reading -= l.reading
	l.prefill, l.reading = nil, 0
	l.run.AsOf = now
	return x.judge(now, o)
}

// Redirect moves the lease, whose prompt has been read, to another decode engine and
// reports whether there was one. Outcome is that of the engine before.
func (s *Scheduler) Redirect(now time.Time, l *Lease, d Demand, o sched.Outcome) (moved, ejected bool) {
	old := l.target
	delete(old.runs, l)
	ejected = old.judge(now, o)
	d.Exclude = append(slices.Clone(d.Exclude), old.ep.Name)
	t := s.chooseDecode(now, d, l.run)
	if t == nil {
		old.runs[l] = struct{}{}
		return false, ejected
	}
	old.reading -= l.replay
	t.reading += l.replay
	l.target, l.Target = t, t.ep
	t.runs[l] = struct{}{}
	return true, ejected
}

// EachEjected calls visit for every endpoint that this instance has set aside.
func (s *Scheduler) EachEjected(now time.Time, visit func(endpoint string, left time.Duration)) {
	for name, x := range s.targets {
		if left := x.ejectedUntil.Sub(now); left > 0 {
			visit(name, left)
		}
	}
}

// EachUnreachable calls visit for every endpoint that is set aside until a connection to it
// succeeds.
func (s *Scheduler) EachUnreachable(now time.Time, visit func(*config.Endpoint)) {
	for _, x := range s.targets {
		if x.unreachable && !x.replaced && now.Before(x.ejectedUntil) {
			visit(x.ep)
		}
	}
}

// MarkReachable notes that a connection to the endpoint was made.
func (s *Scheduler) MarkReachable(ep *config.Endpoint) {
	if x := s.targets[ep.Name]; x != nil && x.ep.Addr == ep.Addr {
		x.reached()
	}
}

// MarkReplaced notes that another endpoint answers at the endpoint's address.
func (s *Scheduler) MarkReplaced(ep *config.Endpoint) {
	if x := s.targets[ep.Name]; x != nil && x.ep.Addr == ep.Addr && x.ep.Incarnation == ep.Incarnation {
		x.replaced = true
	}
}

// CutOff reports whether some pool has endpoints that answer callers, and no connection
// can be made to any of them.
func (s *Scheduler) CutOff(now time.Time) bool {
	for _, pool := range s.pools {
		answering, unreachable := 0, 0
		for _, x := range pool {
			if x.ep.Leaving || x.replaced || x.ep.Role == config.Prefill {
				continue
			}
			answering++
			if x.unreachable && now.Before(x.ejectedUntil) {
				unreachable++
			}
		}
		if answering > 0 && unreachable == answering {
			return true
		}
	}
	return false
}

// RecordProgress records that the run has made the given number of tokens.
func (s *Scheduler) RecordProgress(now time.Time, l *Lease, tokens int) {
	x := l.target
	x.reading -= l.replay
	l.replay = 0
	if l.run.Generated > 0 && tokens > l.run.Generated {
		x.step = average(x.step, now.Sub(l.run.AsOf)/time.Duration(tokens-l.run.Generated))
	}
	l.run.Generated, l.run.AsOf = tokens, now
	if tokens >= l.run.PlannedOutput {
		// Longer than expected: what is left of long outputs grows with their length.
		l.run.PlannedOutput = min(l.limit, tokens+tokens/overrunPart)
	}
}

// overrunPart is the part of an output longer than expected that is expected to follow.
const overrunPart = 4

// Release gives back what the lease still holds.
func (s *Scheduler) Release(now time.Time, l *Lease, o sched.Outcome) (ejected bool) {
	if l.released {
		return false
	}
	l.released = true
	if l.prefill != nil {
		s.PrefillDone(now, l, sched.Abandoned)
	}
	x := l.target
	x.reading -= l.replay
	if _, ok := x.runs[l]; ok {
		delete(x.runs, l)
	} else {
		x.calls--
		if o == sched.Succeeded {
			x.latency, x.measuredAt = average(x.latency, now.Sub(l.granted)), now
		}
	}
	return x.judge(now, o)
}

// RecordLoad records the load that an endpoint states in an answer.
func (s *Scheduler) RecordLoad(now time.Time, l *Lease, running, waiting int) {
	l.target.reportedBusy, l.target.reportedAt = max(0, running+waiting-1), now
}

// HasUsableEndpoint reports whether any endpoint of the pool may get work.
func (s *Scheduler) HasUsableEndpoint(now time.Time, pool string) bool {
	for _, x := range s.pools[pool] {
		if x.open(now) && x.ep.Role != config.Prefill {
			return true
		}
	}
	return false
}

// AverageLatency returns the moving average of the latency of plain calls at the lease's endpoint.
func (s *Scheduler) AverageLatency(l *Lease) time.Duration { return l.target.latency }

// ExpectedPrefillTime returns how long the lease's prefill is expected to take, its queue included.
func (s *Scheduler) ExpectedPrefillTime(l *Lease) time.Duration {
	if l.prefill == nil {
		return 0
	}
	return time.Duration(l.queued) * l.prefill.perRead
}
