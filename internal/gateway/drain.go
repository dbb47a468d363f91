package gateway

import (
	"sync"
	"time"

	"carawayrouter.example/router/internal/errkind"
	"carawayrouter.example/router/internal/placement"
)

// requestTimes is placement.RequestTimes for concurrent use.
type requestTimes struct {
	mu    sync.Mutex
	times placement.RequestTimes
}

// observeTime records how long a request took that has run.
func (x *exchange) observeTime(took time.Duration) {
	if x.runs == 0 {
		return
	}
	t := &x.s.times
	t.mu.Lock()
	defer t.mu.Unlock()
	t.times.Observe(time.Now(), x.call.Pool.Name, x.firstEventDelay, took, x.relayedTokens)
}

// endsBeforeExit returns a refusal if the instance drains and the request is not expected to end before all
// have to be answered. The caller reaches another instance with its next connection.
func (x *exchange) endsBeforeExit() error {
	if !x.s.draining.Load() {
		return nil
	}
	tokens := 0
	if x.call.Pool.Engine != nil {
		tokens = max(0, x.call.MaxOutputTokens-x.priorTokens)
	}
	t := &x.s.times
	t.mu.Lock()
	now := time.Now()
	expected := t.times.Expect(x.call.Pool.Name, tokens, x.callerTimeout())
	if x.call.Pool.Engine != nil {
		margin := t.times.StreamMargin(x.call.Pool.Name, now.Sub(*x.s.drainStartedAt.Load()), x.callerTimeout())
		if expected += margin; margin > 0 && !x.call.HasTokenCounts {
			expected = x.deadline.Sub(now) // its length is not known
		}
	}
	t.mu.Unlock()
	if placement.EndsBefore(now, x.s.answerBy(), x.deadline, expected) {
		return nil
	}
	x.decision("no_time", "expected_ms", expected.Milliseconds(), "left_ms", time.Until(x.s.answerBy()).Milliseconds())
	return refusal(errkind.ShuttingDown, "this instance is shutting down", shutdownRetryAfter)
}

// answerBy returns when an instance that drains answers the requests that are still in progress.
func (s *Server) answerBy() time.Time {
	return s.exitAt().Add(-exitAnswerTime)
}

// exitAt returns when an instance that drains exits at the latest. It changes when settings are read again.
func (s *Server) exitAt() time.Time {
	return s.drainStartedAt.Load().Add(s.grace.get() - exitMargin)
}
