package placement

import (
	"time"

	"carawayrouter.example/router/internal/config"
	"carawayrouter.example/router/internal/endpointload"
	"carawayrouter.example/router/internal/limit/pacing"
	"carawayrouter.example/router/internal/sched"
)

const (
	initialEjection    = 400 * time.Millisecond // longer than reconnecting takes, shorter than the latency targets
	maxEjection        = 4 * time.Second        // a crashed endpoint restarts within a few seconds
	unreachableTimeout = 10 * time.Second       // while every connection attempt fails; longer than most network partitions
	fullBackoff        = 60 * time.Millisecond  // about the interval between two events of a stream, after which memory use has changed
	failuresToEject    = 2                      // single failures occur at all endpoints

	defaultTokenTime        = 700 * time.Microsecond // per output token, before the first measurement
	tokenTimePerRequest     = 1500 * time.Nanosecond // added to the time of an output token by each request in the batch
	defaultPrefillTokenTime = 18 * time.Microsecond  // per prompt token, before the first measurement
	sampleWeight            = 0.2                    // weight of a new measurement in the moving averages
	latencyTTL              = 2 * time.Second        // an older measurement no longer proves that an endpoint is slow
	defaultCallLatency      = 20 * time.Millisecond  // of a plain call, before the first measurement
)

// endpointState is the scheduler's state of one endpoint.
type endpointState struct {
	ep   *config.Endpoint
	spec *config.EngineSpec // nil for plain services

	generations      map[*Lease]struct{}
	calls            int           // plain calls of this instance in progress
	prefillTokens    int           // prompt tokens of this instance's prefills in progress
	tokenTime        time.Duration // moving average per output token
	prefillTokenTime time.Duration // moving average per prompt token
	callLatency      time.Duration // moving average of plain calls
	callLatencyAt    time.Time     // last measurement of callLatency

	failures     int
	ejections    int
	ejectedUntil time.Time
	unreachable  bool // ejected because no connection could be made
	replaced     bool // another endpoint answers at its address, so this incarnation has ended
	fullUntil    time.Time
	pausedUntil  time.Time // until when the endpoint wants no request from this instance
	evacuated    bool      // the operator wants its data centre empty

	peerLoads     map[string]peerLoad  // by instance
	peerEjections map[string]time.Time // end of the ejections in force at other instances, by instance

	pacer pacing.Pacer // of the limit that the endpoint announces
	cold  coldState

	load             endpointload.Record // what the endpoint says of itself
	lastCallAt       time.Time           // last plain call that this instance has sent
	callsSinceReport int                 // plain calls that this instance has sent since the newest report
}

// peerLoad is the load of another instance at an endpoint.
type peerLoad struct {
	updatedAt     time.Time
	generations   []Generation
	prefillTokens int
}

func newEndpointState(ep *config.Endpoint, spec *config.EngineSpec) *endpointState {
	return &endpointState{
		ep: ep, spec: spec,
		generations:      map[*Lease]struct{}{},
		peerLoads:        map[string]peerLoad{},
		peerEjections:    map[string]time.Time{},
		tokenTime:        defaultTokenTime,
		prefillTokenTime: defaultPrefillTokenTime,
		callLatency:      defaultCallLatency,
	}
}

// paused reports whether the endpoint wants no request from this instance now.
func (x *endpointState) paused(now time.Time) bool { return now.Before(x.pausedUntil) }

// ejectedByPeer reports whether another instance has ejected the endpoint. The fault may be
// in that instance's own connection, so the endpoint is only chosen last.
func (x *endpointState) ejectedByPeer(now time.Time) bool {
	for _, until := range x.peerEjections {
		if now.Before(until) {
			return true
		}
	}
	return false
}

// allGenerations returns the generations of this and the other instances. The slice has
// spare capacity for one more in the usual case.
func (x *endpointState) allGenerations(now time.Time) []Generation {
	generations := make([]Generation, 0, len(x.generations)+typicalGenerations)
	for l := range x.generations {
		generations = append(generations, l.generation)
	}
	return x.appendPeerGenerations(now, generations)
}

const typicalGenerations = 16 // usual number of other instances' generations at an engine

// fits reports whether the engine has a free slot, and enough memory until g ends.
func (x *endpointState) fits(now time.Time, g Generation, headroom float64, e *expectation) bool {
	if now.Before(x.fullUntil) {
		return false
	}
	generations := x.allGenerations(now)
	if len(generations) >= x.spec.Slots {
		return false
	}
	generations = append(generations, g)
	tokenTime := e.tokenTimeAt(now, x, g.PlannedOutput) + time.Duration(len(generations))*tokenTimePerRequest
	return float64(peakMemory(now, generations, tokenTime)) <= headroom*float64(x.spec.KVTokens)
}

// plannedMemory returns the memory that the engine's generations need at their full planned
// length, as a fraction of the engine's memory.
func (x *endpointState) plannedMemory(now time.Time) float64 {
	sum := 0
	for _, g := range x.allGenerations(now) {
		sum += g.Prompt + g.PlannedOutput
	}
	return float64(sum) / float64(max(1, x.spec.KVTokens))
}

// prefillBacklog returns how long a prefill added now waits for those before it.
func (x *endpointState) prefillBacklog(now time.Time, e *expectation) time.Duration {
	return time.Duration(x.prefillTokens+x.peerPrefillTokens(now)) * e.prefillTokenTimeAt(now, x)
}

// inProgress returns the number of requests of this instance that the endpoint has.
func (x *endpointState) inProgress() int { return len(x.generations) + x.calls }

// activeCalls returns the number of plain calls in progress at the endpoint.
func (x *endpointState) activeCalls(now time.Time) int {
	n := x.calls
	if own := x.load.Own(); now.Sub(own.At) < x.callLatency {
		n = max(n, own.Running+own.Waiting)
	}
	return n
}

// recordOutcome applies the outcome of a request and reports whether it ejected the
// endpoint.
func (x *endpointState) recordOutcome(now time.Time, o sched.Outcome) bool {
	switch o {
	case sched.Succeeded:
		x.failures, x.ejections = 0, 0
		x.markReachable()
	case sched.Full:
		x.fullUntil = now.Add(fullBackoff)
	case sched.Unreachable:
		// This ejects the endpoint at once: nothing listens at its address or the network
		// path is down, and each further request would lose the time of a connection
		// attempt. The ejection lasts until a connection that the instance opens for this
		// purpose succeeds; see Scheduler.MarkReachable.
		already := x.unreachable
		x.unreachable, x.ejectedUntil = true, now.Add(unreachableTimeout)
		return !already
	case sched.Replaced:
		already := x.replaced
		x.replaced = true
		return !already
	case sched.Failed:
		x.failures++
		if x.failures < failuresToEject || now.Before(x.ejectedUntil) {
			return false
		}
		x.ejectedUntil = now.Add(min(maxEjection, initialEjection<<min(x.ejections, 8)))
		x.ejections++
		return true
	}
	return false
}

// markReachable ends an ejection that was due to failed connections.
func (x *endpointState) markReachable() {
	if x.unreachable {
		x.unreachable, x.ejectedUntil = false, time.Time{}
	}
}

func movingAverage(old, sample time.Duration) time.Duration {
	return old + time.Duration(sampleWeight*float64(sample-old))
}
