package placement

import (
	"time"

	"carawayrouter.example/router/internal/config"
	"carawayrouter.example/router/internal/sched"
)

const (
	firstEjection   = 400 * time.Millisecond // longer than a restart of a connection, shorter than the latency targets
	longestEjection = 4 * time.Second        // a crashed endpoint is back after a few seconds
	unreachableLife = 10 * time.Second       // without a connection in spite of attempts; longer than cuts usually last
	fullPause       = 60 * time.Millisecond  // about one event of a stream, after which memory has moved
	failuresToEject = 2                      // single failures are spread over all endpoints

	defaultStep      = 700 * time.Microsecond // a token, before one was measured
	slotStep         = 1500 * time.Nanosecond // each further request in the batch
	defaultPerPrompt = 18 * time.Microsecond  // a prompt token, before one was measured
	measureWeight    = 0.2                    // of a new measurement in the moving averages
	staleLatency     = 2 * time.Second        // a measurement that is older says nothing of an endpoint that was slow
	defaultService   = 20 * time.Millisecond  // a plain call, before one was measured
)

// target is the state of one endpoint.
type target struct {
	ep   *config.Endpoint
	spec *config.EngineSpec // nil for plain services

	runs       map[*Lease]struct{}
	calls      int           // plain calls under way
	reading    int           // prompt tokens of prefills under way
	step       time.Duration // moving average of the time for a token
	perRead    time.Duration // moving average of the time for a prompt token
	latency    time.Duration // moving average of plain calls
	measuredAt time.Time     // last measurement of latency

	failures     int
	ejections    int
	ejectedUntil time.Time
	unreachable  bool // set aside because no connection could be made
	replaced     bool // another endpoint has its address, so that this incarnation has ended
	fullUntil    time.Time

	remote map[string]remoteLoad // by instance
	avoid  map[string]time.Time  // until when other instances have set it aside, by instance

	reportedBusy int // running and waiting calls of other instances, by the endpoint's word
	reportedAt   time.Time
}

// remoteLoad is what another instance holds at an endpoint.
type remoteLoad struct {
	heard   time.Time
	runs    []Generation
	reading int
}

func newTarget(ep *config.Endpoint, spec *config.EngineSpec) *target {
	return &target{
		ep: ep, spec: spec,
		runs:    map[*Lease]struct{}{},
		remote:  map[string]remoteLoad{},
		avoid:   map[string]time.Time{},
		step:    defaultStep,
		perRead: defaultPerPrompt,
		latency: defaultService,
	}
}

// open reports whether the endpoint may get new work.
func (x *target) open(now time.Time) bool {
	return !x.ep.Leaving && !x.replaced && !now.Before(x.ejectedUntil)
}

// avoided reports whether another instance could not use the endpoint lately. That may
// be its own connection's fault, so the endpoint is merely taken last.
func (x *target) avoided(now time.Time) bool {
	for _, until := range x.avoid {
		if now.Before(until) {
			return true
		}
	}
	return false
}

// all returns the runs of this and the other instances, with room for one more.
func (x *target) all(now time.Time) []Generation {
	runs := make([]Generation, 0, len(x.runs)+runsGuess)
	for l := range x.runs {
		runs = append(runs, l.run)
	}
	return x.remoteRuns(now, runs)
}

const runsGuess = 16 // runs of other instances that are usual at an engine

// fits reports whether the engine has a slot, and memory until the run ends.
func (x *target) fits(now time.Time, run Generation, headroom float64) bool {
	if now.Before(x.fullUntil) {
		return false
	}
	runs := x.all(now)
	if len(runs) >= x.spec.Slots {
		return false
	}
	runs = append(runs, run)
	perToken := x.step + time.Duration(len(runs))*slotStep
	return float64(peak(now, runs, perToken)) <= headroom*float64(x.spec.KVTokens)
}

// load returns the share of memory that the engine's runs will need in all.
func (x *target) load(now time.Time) float64 {
	sum := 0
	for _, r := range x.all(now) {
		sum += r.Prompt + r.PlannedOutput
	}
	return float64(sum) / float64(max(1, x.spec.KVTokens))
}

// backlog returns how long a prefill added now waits for the ones before it.
func (x *target) backlog(now time.Time) time.Duration {
	return time.Duration(x.reading+x.remoteReading(now)) * x.perRead
}

// busy returns the plain calls under way at the endpoint.
func (x *target) busy(now time.Time) int {
	n := x.calls
	if now.Sub(x.reportedAt) < x.latency {
		n = max(n, x.reportedBusy)
	}
	return n
}

// judge takes note of an outcome and reports whether it ejected the endpoint.
func (x *target) judge(now time.Time, o sched.Outcome) bool {
	switch o {
	case sched.Succeeded:
		x.failures, x.ejections = 0, 0
		x.reached()
	case sched.Full:
		x.fullUntil = now.Add(fullPause)
	case sched.Unreachable:
		// No single failure: nothing listens there, or the way is cut. Requests that try
		// would lose the time of a connection each, so it stays set aside until a
		// connection of the instance's own succeeds; see Scheduler.MarkReachable.
		known := x.unreachable
		x.unreachable, x.ejectedUntil = true, now.Add(unreachableLife)
		return !known
	case sched.Replaced:
		known := x.replaced
		x.replaced = true
		return !known
	case sched.Failed:
		x.failures++
		if x.failures < failuresToEject || now.Before(x.ejectedUntil) {
			return false
		}
		x.ejectedUntil = now.Add(min(longestEjection, firstEjection<<min(x.ejections, 8)))
		x.ejections++
		return true
	}
	return false
}

// reached ends an ejection for want of a connection.
func (x *target) reached() {
	if x.unreachable {
		x.unreachable, x.ejectedUntil = false, time.Time{}
	}
}

func average(old, sample time.Duration) time.Duration {
	return old + time.Duration(measureWeight*float64(sample-old))
}
