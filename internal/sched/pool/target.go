package pool

import (
	"time"

	"carawayrouter.example/router/internal/config"
	"carawayrouter.example/router/internal/endpoint"
	"carawayrouter.example/router/internal/reqid"
)

// target is the scheduling state of one endpoint.
type target struct {
	health
	ep      *config.Endpoint
	leaving bool
	removed bool // no longer configured; grants may still use it

	slots  int // grants that hold a slot
	pieces int // KV pieces that grants hold

	// Requests that the engine reported as running and that have no grant here.
	untrackedSlots  int
	untrackedPieces int
	untrackedUntil  time.Time

	// Prefill engines only.
	pendingPrefill time.Duration // predicted duration of the outstanding prefills
	busyUntil      time.Time     // predicted end of the outstanding prefills
	lastPrefillEnd time.Time
	prefillSeconds float64 // exponentially decayed sum of measured prefill times
	prefillTokens  float64 // exponentially decayed sum of prefilled tokens
	cache          *prefixCache
	reserved       bool // decode engines: kept free for a starved demand during one Dispatch
}

func newTarget(ep *config.Endpoint, t *Tuning) *target {
	x := &target{ep: ep}
	if ep.Role == config.Prefill {
		x.cache = newPrefixCache(t.PrefixCacheSize)
	}
	return x
}

// slotLimit returns the number of concurrent requests that the endpoint accepts.
func (x *target) slotLimit(t *Tuning) int {
	switch {
	case x.ep.Slots > 0:
		return x.ep.Slots
	case x.ep.Role == config.Decode:
		return t.DefaultDecodeSlots
	case x.ep.Role == config.Plain:
		return t.DefaultPlainSlots
	}
	return 1 << 20
}

// inUse returns the slots and pieces in use, including those of untracked requests.
func (x *target) inUse(now time.Time) (slots, pieces int) {
	if now.Before(x.untrackedUntil) {
		return x.slots + x.untrackedSlots, x.pieces + x.untrackedPieces
	}
	return x.slots, x.pieces
}

// fits reports whether the endpoint has a free slot and need free pieces.
func (x *target) fits(now time.Time, t *Tuning, need int) bool {
	slots, pieces := x.inUse(now)
	if slots >= x.slotLimit(t) {
		return false
	}
	return x.ep.Pieces <= 0 || pieces+need <= x.ep.Pieces
}

// utilization returns the larger of the endpoint's slot and memory utilizations.
func (x *target) utilization(now time.Time, t *Tuning) float64 {
	slots, pieces := x.inUse(now)
	f := float64(slots) / float64(x.slotLimit(t))
	if x.ep.Pieces > 0 {
		f = max(f, float64(pieces)/float64(x.ep.Pieces))
	}
	return f
}

// backlog returns the predicted time until a prefill added now would start. If the
// outstanding prefills take longer than predicted, it is the time by which they are
// overdue.
func (x *target) backlog(now time.Time) time.Duration {
	if x.slots == 0 {
		return 0
	}
	if d := x.busyUntil.Sub(now); d > 0 {
		return d
	}
	return now.Sub(x.busyUntil)
}

// addPrefill records a granted prefill.
func (x *target) addPrefill(now time.Time, service time.Duration) {
	if x.pendingPrefill == 0 || x.busyUntil.Before(now) {
		x.busyUntil = now
	}
	x.pendingPrefill += service
	x.busyUntil = x.busyUntil.Add(service)
}

// endPrefill records the end of a prefill, whatever its outcome.
func (x *target) endPrefill(now time.Time, service time.Duration) {
	x.pendingPrefill = max(0, x.pendingPrefill-service)
	x.busyUntil = now.Add(x.pendingPrefill)
}

// updatePrefillRate updates the prefill rate from one prefill that was granted at the
// given time. The engine runs one prefill at a time, so the prefill started no earlier
// than the previous one ended.
func (x *target) updatePrefillRate(now, granted time.Time, tokens int, transfer time.Duration) {
	start := granted
	if x.lastPrefillEnd.After(start) {
		start = x.lastPrefillEnd
	}
	x.lastPrefillEnd = now
	took := now.Sub(start) - transfer
	if took <= 0 || tokens <= 0 {
		return
	}
	const (
		decay    = 0.9
		maxRatio = 4 // bound on took relative to the estimate, so that one stalled transfer has little weight
	)
	if x.prefillTokens > 0 {
		estimate := float64(tokens) * x.prefillSeconds / x.prefillTokens
		took = min(took, time.Duration(maxRatio*estimate*float64(time.Second)))
	}
	x.prefillSeconds = decay*x.prefillSeconds + took.Seconds()
	x.prefillTokens = decay*x.prefillTokens + float64(tokens)
}

// setUntracked replaces the usage of untracked requests.
func (x *target) setUntracked(slots, pieces int, until time.Time) {
	x.untrackedSlots, x.untrackedPieces, x.untrackedUntil = slots, pieces, until
}

// countUntracked sums up the running requests for which known returns false.
func countUntracked(running []endpoint.Running, known func(reqid.ID) bool) (slots, pieces int) {
	for _, r := range running {
		if known(r.ID) {
			continue
		}
		slots++
		pieces += r.Pieces
	}
	return slots, pieces
}
