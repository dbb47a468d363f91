package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"carawayrouter.example/router/internal/config"
	"carawayrouter.example/router/internal/gossip"
	"carawayrouter.example/router/internal/placement"
)

// newStreamExchange returns an exchange on a resumable route of an engine pool.
func newStreamExchange() *exchange {
	route := &config.Route{FirstToken: 900 * time.Millisecond, MaxGap: 300 * time.Millisecond, MaxAttempts: 2, Resumable: true}
	pool := &config.Pool{Name: "writers", Kind: config.ModelPool, Engine: &config.EngineSpec{Stride: 72}}
	s := newTestServer("127.0.0.1:1", time.Now())
	return &exchange{s: s, call: &Call{Route: route, Pool: pool, PromptTokens: 2000, MaxOutputTokens: 9360, Arrived: time.Now()}}
}

// The decode engine has to prefill the part of a stream that the caller already has, so it
// counts like tokens relayed by this instance, both here and at the instances that are told of
// the queued request.
func TestStreamTakenUpByItsCallerCounts(t *testing.T) {
	x := newStreamExchange()
	x.priorTokens, x.relayedTokens = 80*72, 720
	w := x.newWaiter()
	assert.Equal(t, w.Demand.Generated, 81*72+9*72)

	x.s.admission.inspect(func(_ time.Time, _ *placement.Scheduler, q *placement.Queue) { q.Push(w) })
	u := x.s.peers.buildUpdate()
	got := remoteOf(time.Now(), &gossip.Update{Queued: u.Queued})
	assert.Equal(t, got.Waiters[0].Demand.Generated, w.Demand.Generated)
}

// A silent engine is given as long as the caller waits, unless the stream can be resumed on
// another engine; then the caller must have time left for that.
func TestLongestSilence(t *testing.T) {
	x := newStreamExchange()
	assert.Equal(t, x.engineTimeout(), 1200*time.Millisecond)
	x.runs = 1
	assert.Equal(t, x.engineTimeout(), x.callerTimeout(), "no further attempt is allowed")
	x.runs, x.call.Route.Resumable = 0, false
	assert.Equal(t, x.engineTimeout(), x.callerTimeout())
}
