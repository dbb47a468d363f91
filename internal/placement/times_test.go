package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Replays a stop: calls arrive on open connections until the process is gone, and each takes as long as those
// before. All that are accepted end in time, and none that would have is refused but those in the margin.
func TestCallsOfAStopEndBeforeIt(t *testing.T) {
	const grace = 7450 * time.Millisecond
	for _, work := range []time.Duration{300 * time.Millisecond, 1200 * time.Millisecond, 2500 * time.Millisecond} {
		var times RequestTimes
		for i := range 20 {
			times.Observe(start.Add(time.Duration(i)*time.Second), "p", 0, work-time.Duration(i%3)*work/10, 0)
		}
		answerBy := start.Add(grace)
		last := time.Duration(0)
		for at := time.Duration(0); at < grace; at += 20 * time.Millisecond {
			now := start.Add(at)
			if EndsBefore(now, answerBy, now.Add(14*time.Second), times.Expect("p", 0, 2*time.Second)) {
				assert.Assert(t, at+work <= grace, "accepted at %v", at)
				last = at
			}
		}
		assert.Assert(t, last >= grace-work*13/10-20*time.Millisecond, "calls of %v are refused from %v on", work, last)
	}
}

func TestStreamsAreExpectedByTheirLength(t *testing.T) {
	var times RequestTimes
	assert.Equal(t, times.Expect("p", 10, 3*time.Second), 3*time.Second+10*defaultTokenTime)
	times.Observe(start, "p", 500*time.Millisecond, 1500*time.Millisecond, 100)
	assert.Equal(t, times.Expect("p", 20, time.Hour), time.Duration(timesMargin*float64(700*time.Millisecond)))
	assert.Equal(t, times.Expect("p", 200, time.Hour), time.Duration(timesMargin*float64(2500*time.Millisecond)))
	// What was longest some time ago does not count for ever.
	for i := range 40 {
		times.Observe(start.Add(time.Duration(i)*time.Second), "p", 100*time.Millisecond, 200*time.Millisecond, 100)
	}
	assert.Equal(t, times.Expect("p", 0, time.Hour), time.Duration(timesMargin*float64(100*time.Millisecond)))
	// A request whose caller leaves first is accepted.
	assert.Assert(t, EndsBefore(start, start.Add(time.Second), start.Add(time.Second), time.Hour))
}

// Replays a stop: streams of the usual length arrive on open connections until the process is gone, and the engine
// preempts any of them for as long as two others take, or until shortly before its caller leaves. All that are accepted
// once refused callers reach another instance end in time; before, none is refused that is expected to end.
func TestPreemptedStreamsOfAStopEndBeforeIt(t *testing.T) {
	const grace, callerWait, tokens = 7450 * time.Millisecond, 3600 * time.Millisecond, 100
	for _, work := range []time.Duration{100 * time.Millisecond, 700 * time.Millisecond, 1700 * time.Millisecond} {
		var times RequestTimes
		for i := range 20 {
			times.Observe(start.Add(time.Duration(i)*time.Second), "p", work/10, work, tokens)
		}
		pause := min(2*work, callerWait)
		last := time.Duration(0)
		for at := time.Duration(0); at < grace; at += 20 * time.Millisecond {
			now := start.Add(at)
			expected := times.Expect("p", tokens, callerWait)
			accepted := EndsBefore(now, start.Add(grace), now.Add(14*time.Second), expected+times.StreamMargin("p", at, callerWait))
			if accepted {
				last = at
			}
			if at >= redirectDelay {
				assert.Assert(t, !accepted || at+work+pause <= grace, "%v: accepted at %v", work, at)
			} else {
				assert.Equal(t, accepted, at+expected <= grace, "%v: at %v", work, at)
			}
		}
		assert.Assert(t, work > 200*time.Millisecond || last > 6*time.Second, "short streams are accepted until %v", last)
	}
	// Of a pool that has had no request, as long as its caller waits.
	var times RequestTimes
	assert.Equal(t, times.StreamMargin("p", 3*time.Second, callerWait), callerWait)
}
