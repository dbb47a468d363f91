package shard

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"carawayrouter.example/router/internal/platform/memplatform"
)

// TestRemoteHomesAreKnownWithTheStoreDown looks up a home in another data centre while the
// store is down, as an instance does that starts during the outage. The home was not needed
// before, and its row was read long ago.
func TestRemoteHomesAreKnownWithTheStoreDown(t *testing.T) {
	store := memplatform.New(memplatform.Options{})
	n := &network{dcOf: map[string]string{}}
	var all []*instance
	for i, dc := range []string{"a", "a", "b"} {
		all = append(all, startInstance(t, store, n, dc, fmt.Sprintf("i%d", i), shortTimeouts))
	}
	a, b := all[:2], all[2]
	waitFor(t, all, "balanced shards", func() bool {
		return holdings(a...) == Count && holdings(b) == Count
	})
	k := Key{DataCentre: "b", Index: 3}
	known := func(c *Controller) bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.records[k].Home == b.members.Self()
	}
	waitFor(t, all, "the next data centre's rows", func() bool { return known(a[0].shards) })

	store.Down(true)
	poller := a[0].shards
	poller.mu.Lock()
	poller.readAt[k] = time.Now().Add(-time.Hour) // as if last read an hour ago
	poller.mu.Unlock()
	var reply LookupReply
	assert.NilError(t, (&Service{poller}).Lookup(LookupArgs{Keys: []Key{k}}, &reply))
	assert.Equal(t, reply.Rows[0].Home, b.members.Self())
}

// TestRemoteHomesOutliveThePoller stops the poller of a data centre while the store is down.
// The member that an instance then asks knows the homes in the next data centre although it
// has never needed them.
func TestRemoteHomesOutliveThePoller(t *testing.T) {
	store := memplatform.New(memplatform.Options{})
	n := &network{dcOf: map[string]string{}}
	var all []*instance
	for i, dc := range []string{"a", "a", "a", "b"} {
		all = append(all, startInstance(t, store, n, dc, fmt.Sprintf("i%d", i), shortTimeouts))
	}
	a, b := all[:3], all[3]
	waitFor(t, all, "balanced shards", func() bool {
		return holdings(a...) == Count && holdings(b) == Count
	})
	k := Key{DataCentre: "b", Index: 3}
	for _, next := range a[1:] {
		waitFor(t, all, "the next data centre's rows at "+next.self.Name, func() bool {
			next.shards.mu.Lock()
			defer next.shards.mu.Unlock()
			return next.shards.records[k].Home == b.members.Self()
		})
	}
	store.Down(true)
	a[0].stop()
	for _, next := range a[1:] {
		var reply LookupReply
		assert.NilError(t, (&Service{next.shards}).Lookup(LookupArgs{Keys: []Key{k}}, &reply))
		assert.Equal(t, reply.Rows[0].Home, b.members.Self())
	}
}
