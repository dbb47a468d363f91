package placement

import "time"

const (
	crossDataCentrePenalty = 0.03                 // as a fraction of an engine's memory, for transfers between data centres
	crossDataCentrePrefill = 5 * time.Millisecond // for a prefill result that is fetched from another data centre
	crossDataCentreCall    = 2 * time.Millisecond // for a plain call to another data centre

	// What a cold endpoint that has served nothing yet counts as more loaded, even if it is empty: as much as one
	// that the others have used for a while. It is used when these are busy.
	coldPrefill = float64(maxPrefillBacklog / 4)
	coldLoad    = 0.25 // as a fraction of an engine's memory
)

// prefillCost returns how long a prefill added now is expected to wait at a prefill engine, with what speaks
// against the engine.
func (s *Scheduler) prefillCost(now time.Time, x *endpointState, e *expectation) time.Duration {
	wait := x.prefillBacklog(now, e) + s.crossDataCentreCost(x, crossDataCentrePrefill)
	if x.ejectedByPeer(now) {
		wait += maxPrefillBacklog / 2
	}
	return wait + time.Duration((x.coldFactor(now)-1)*coldPrefill)
}

// decodeCost returns the load of a decode engine as a fraction of its memory, with what speaks against the engine.
func (s *Scheduler) decodeCost(now time.Time, x *endpointState, g Generation, maxGap time.Duration, e *expectation) float64 {
	load := x.plannedMemory(now)
	if e.told { // what g adds takes longer where work does
		load += float64(g.Prompt+g.PlannedOutput) / float64(max(1, x.spec.KVTokens))
	}
	tokenTime := e.tokenTimeAt(now, x, g.PlannedOutput)
	cold := x.coldFactor(now)
	load = load*float64(tokenTime)/float64(defaultTokenTime)*cold + coldLoad*(cold-1)
	if e.told && maxGap > 0 && time.Duration(x.spec.Stride)*tokenTime > maxGap {
		load++ // its events would be late however free it is
	}
	if x.ep.DataCentre != s.dataCentre {
		load += crossDataCentrePenalty
	}
	if x.ejectedByPeer(now) {
		load++
	}
	return load
}

// callCost returns how long a plain call is expected to take at an endpoint, with what speaks against the endpoint.
// Lowest is the lowest average latency of its pool.
func (s *Scheduler) callCost(now time.Time, x *endpointState, lowest time.Duration) time.Duration {
	slots := max(1, x.ep.Slots)
	active := x.activeCalls(now)
	latency := time.Duration(float64(x.callLatency) * x.coldFactor(now))
	if now.Sub(x.callLatencyAt) > latencyTTL {
		// Lets an endpoint that was slow be tried again.
		latency = min(latency, lowest)
	}
	wait := latency * time.Duration(slots+active) / time.Duration(slots)
	if active >= slots {
		wait += latency * time.Duration(active-slots+1) / time.Duration(slots)
	}
	if now.Before(x.fullUntil) {
		wait += latency
	}
	if x.ejectedByPeer(now) {
		wait += 2 * latency
	}
	return wait + s.crossDataCentreCost(x, crossDataCentreCall)
}

// lowestLatency returns the lowest average latency of the pool's available endpoints, at
// most defaultCallLatency.
func (s *Scheduler) lowestLatency(now time.Time, pool string) time.Duration {
	best := defaultCallLatency
	for _, x := range s.pools[pool] {
		if x.refusal(now, choosing, &Demand{}) == "" {
			best = min(best, x.callLatency)
		}
	}
	return best
}

// crossDataCentreCost returns cost for an endpoint outside the instance's data centre, else 0.
func (s *Scheduler) crossDataCentreCost(x *endpointState, cost time.Duration) time.Duration {
	if x.ep.DataCentre == s.dataCentre {
		return 0
	}
	return cost
}
