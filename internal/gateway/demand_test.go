package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"carawayrouter.example/router/internal/gossip"
	"carawayrouter.example/router/internal/scarcity"
)

// The demand that one instance tells is that which another one hears; what cannot be is left out.
func TestDemandInUpdates(t *testing.T) {
	sent := scarcity.Demand{Pool: "writers", Rank: 12, Requests: 0.25, Work: 90_000}
	u := &gossip.Update{Instance: "a", Incarnation: 1, Demand: []gossip.RankDemand{
		encodeDemand(sent), {Pool: "writers", Rank: 1, Requests: -5, Work: 10}, {Pool: "writers", Rank: 1, Requests: 5, Work: -10},
	}}
	datagram, err := gossip.Encode(u, []byte("secret"))
	assert.NilError(t, err)
	received, _, err := gossip.Decode(datagram, []byte("secret"))
	assert.NilError(t, err)
	got := remoteOf(time.Now(), received)
	assert.DeepEqual(t, got.Demand, []scarcity.Demand{sent})
	assert.Equal(t, len(remoteOf(time.Now(), &gossip.Update{Demand: make([]gossip.RankDemand, 10_000)}).Demand), 0)
}

// The rank of a waiter of another instance, also of a former build, counts as one here.
func TestRankOfAWaiterElsewhere(t *testing.T) {
	got := remoteOf(time.Now(), &gossip.Update{Queued: []gossip.QueuedRequest{{Pool: "writers", Prompt: 5, Output: 5, Priority: 12}}})
	assert.Equal(t, got.Waiters[0].Priority, 12)
	assert.Equal(t, got.Waiters[0].Demand.Rank, 12)
}
