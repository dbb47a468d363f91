package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"carawayrouter.example/router/internal/config"
	"carawayrouter.example/router/internal/gossip"
	"carawayrouter.example/router/internal/placement"
)

// streaming returns an exchange on a resumable route of an engine pool.
func streaming() *exchange {
	route := &config.Route{FirstToken: 900 * time.Millisecond, MaxGap: 300 * time.Millisecond, MaxAttempts: 2, Resumable: true}
	pool := &config.Pool{Name: "writers", Kind: config.ModelPool, Engine: &config.EngineSpec{Stride: 72}}
	s := lonely("127.0.0.1:1", time.Now())
	return &exchange{s: s, call: &Call{Route: route, Pool: pool, Prompt: 2000, Output: 9360, Arrived: time.Now()}}
}

// What a caller has of a stream is read anew by the decode engine, so it counts like what
// this instance relayed, here and at the instances that are told of the waiter.
func TestStreamTakenUpByItsCallerCounts(t *testing.T) {
	x := streaming()
	x.before, x.tokens = 80*72, 720
	w := x.waiter()
	assert.Equal(t, w.Demand.Generated, 81*72+9*72)

	x.s.admission.peek(func(_ time.Time, _ *placement.Scheduler, q *placement.Queue) { q.Push(w) })
	n := x.s.peers.compose()
	got := remoteOf(time.Now(), &gossip.Update{Waiting: n.Waiting})
	assert.Equal(t, got.Waiters[0].Demand.Generated, w.Demand.Generated)
}

// A silent engine is waited for while the caller waits, unless the stream can go on
// elsewhere; then the caller must have time left for it.
func TestLongestSilence(t *testing.T) {
	x := streaming()
	assert.Equal(t, x.longestSilence(), 1200*time.Millisecond)
	x.runs = 1
	assert.Equal(t, x.longestSilence(), x.callerLeaves(), "no other engine may run it")
	x.runs, x.call.Route.Resumable = 0, false
	assert.Equal(t, x.longestSilence(), x.callerLeaves())
}
