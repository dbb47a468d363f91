package gateway

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"carawayrouter.example/router/internal/gossip"
)

const (
	// contactTime is how long after a fault an instance has to apply changes in time again.
	contactTime = 3 * time.Second
	// silentCallTime is how long a call to a silent store lasts beyond its wait.
	silentCallTime = 1200 * time.Millisecond
	// learnTime is enough for all to learn from one instance that it has a newer configuration.
	learnTime = 500 * time.Millisecond
)

// All open connections to the store fall silent right after a change, when all instances have begun to
// wait for the next one. Some instance notices it soon enough for all to have the next change in time.
func TestSilentWatchesAreNoticedInTime(t *testing.T) {
	for _, n := range []int{2, 9, 79, 195} {
		now := time.Now()
		names := make([]string, n)
		for i := range names {
			names[i] = fmt.Sprintf("frontend-%03d", i)
		}
		noticed := maxPollWait
		for _, self := range names {
			noticed = min(noticed, followerIn(now, self, names).watchers()[0].wait())
		}
		assert.Assert(t, noticed+silentCallTime+learnTime <= contactTime, "%d instances: the shortest wait is %v", n, noticed)
	}
}

// followerIn returns the instance self of a fleet that has heard all others.
func followerIn(now time.Time, self string, names []string) *Server {
	s := newTestServer("127.0.0.1:1", now)
	s.settings.Instance = self
	clear(s.peers.known)
	for _, name := range names {
		if name != self {
			s.peers.known[name] = &peer{lastUpdateAt: now, update: &gossip.Update{Instance: name}}
		}
	}
	s.peers.listed = true
	return s
}
