package placement

import "time"

const (
	// timesInterval is for how long the longest time of requests counts at least, and at most twice as long while
	// there are requests.
	timesInterval = 10 * time.Second
	// timesMargin multiplies the longest of the last requests for one that must not be interrupted.
	timesMargin = 1.25
	// preemptionPauses is how many requests, one after the other, a stream may wait for that its engine has
	// preempted: one that runs, and one that was waiting before it.
	preemptionPauses = 2
	// redirectDelay is how long after the start of a stop callers that were refused may come back to the instance:
	// two readiness probes of the balancer, one per second, and some time on each side.
	redirectDelay = 2800 * time.Millisecond
)

// longest is the longest of the durations of late. Without new ones the last ones count.
type longest struct {
	current, previous time.Duration
	since             time.Time // of current
	known             bool
}

func (l *longest) observe(now time.Time, d time.Duration) {
	if now.Sub(l.since) > timesInterval {
		l.previous, l.current, l.since = l.current, 0, now
	}
	l.current = max(l.current, d)
	l.known = true
}

func (l *longest) value() time.Duration { return max(l.current, l.previous) }

// RequestTimes predicts how long requests take, so that an instance that stops accepts those only that end
// before it does. It answers callers that go on to use their open connections until the process is gone: a request
// that the exit interrupts is lost, and one that must not run twice cannot be repeated.
type RequestTimes struct {
	pools map[string]*poolTimes
}

// poolTimes are the times of a pool's requests: until the first output, which of a plain call is the whole
// response, for each output token from then on, and until the end.
type poolTimes struct{ first, token, whole longest }

// Observe records a request that ran: when its first output came and it ended, since its arrival, and how many
// output tokens it had, 0 for a plain call or if none came.
func (t *RequestTimes) Observe(now time.Time, pool string, first, end time.Duration, tokens int) {
	if t.pools == nil {
		t.pools = map[string]*poolTimes{}
	}
	p := t.pools[pool]
	if p == nil {
		p = &poolTimes{}
		t.pools[pool] = p
	}
	p.whole.observe(now, end)
	if tokens == 0 {
		p.first.observe(now, end)
		return
	}
	p.first.observe(now, first)
	p.token.observe(now, (end-first)/time.Duration(tokens))
}

// Expect returns how long a request of up to that many output tokens takes at most by the last ones. Unknown
// replaces the time until the first output of a pool that has had no request.
func (t *RequestTimes) Expect(pool string, tokens int, unknown time.Duration) time.Duration {
	p := t.pools[pool]
	if p == nil || !p.first.known {
		return unknown + time.Duration(tokens)*defaultTokenTime
	}
	token := defaultTokenTime
	if p.token.known {
		token = p.token.value()
	}
	return time.Duration(timesMargin * float64(p.first.value()+time.Duration(tokens)*token))
}

// StreamMargin returns how much longer than expected a stream may take that arrives at that time after the start of a
// stop; its caller waits for an event for callerWait. It answers streams of the usual length that go on to arrive on
// open connections, while an engine runs out of memory and preempts the newest one: that is paused in the middle, while
// requests that the engine prefers run. As long as the balancer may send a caller that was refused back to the
// instance, a stream that is expected to end is accepted. Later the caller's next connection reaches another
// instance: a refusal costs it a round trip, and an interruption the stream.
func (t *RequestTimes) StreamMargin(pool string, sinceStop, callerWait time.Duration) time.Duration {
	if sinceStop < redirectDelay {
		return 0
	}
	p := t.pools[pool]
	if p == nil || !p.whole.known {
		return callerWait
	}
	return min(callerWait, time.Duration(preemptionPauses*timesMargin*float64(p.whole.value())))
}

// EndsBefore reports whether a request that arrives now and is expected to take that long, at most until its
// caller's deadline, ends before the instance has to have answered all.
func EndsBefore(now, answerBy, deadline time.Time, expected time.Duration) bool {
	end := now.Add(expected)
	if deadline.Before(end) {
		end = deadline
	}
	return !end.After(answerBy)
}
