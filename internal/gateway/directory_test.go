package gateway

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"carawayrouter.example/router/internal/config"
)

var baseTime = time.Unix(9000, 0)

func endpointEntry(name string, incarnation int64, revision uint64) *config.Endpoint {
	return &config.Endpoint{Name: name, Pool: "desk", Addr: "10.0.0.1:1", Incarnation: incarnation, Revision: revision}
}

// An entry that was written before the endpoint said it is leaving may arrive later.
func TestLeavingIsNotTakenBack(t *testing.T) {
	d := newDirectory()
	d.put(endpointEntry("i-1", 5, 1))
	gone := endpointEntry("i-1", 5, 3)
	gone.Leaving = true
	assert.Assert(t, d.put(gone))
	assert.Assert(t, !d.put(endpointEntry("i-1", 5, 2)), "an older report")
	d.put(endpointEntry("i-1", 5, 4))
	assert.Assert(t, d.list()[0].Leaving, "the same incarnation")
	d.put(endpointEntry("i-1", 6, 1))
	assert.Assert(t, !d.list()[0].Leaving, "a new incarnation serves")
	assert.Assert(t, !d.put(endpointEntry("i-1", 5, 9)), "the incarnation before")
}

// Entries that lapse while the store is away come back, or are dropped after a time.
func TestEntriesThatLapseWhileStoreIsUnavailable(t *testing.T) {
	d := newDirectory()
	d.put(endpointEntry("i-1", 1, 1))
	d.put(endpointEntry("i-2", 1, 1))
	d.storeFailed(baseTime)
	assert.Assert(t, !d.remove(baseTime, "i-1"))
	assert.Assert(t, !d.remove(baseTime, "i-2"))
	assert.Equal(t, len(d.list()), 2)
	d.put(endpointEntry("i-1", 1, 2))
	assert.Assert(t, d.expire(baseTime.Add(reregistrationGrace)))
	assert.Equal(t, len(d.list()), 1)
	assert.Equal(t, d.list()[0].Name, "i-1")
	assert.Assert(t, !d.list()[0].Leaving)
}

// An outage that this instance did not notice shows as most entries vanishing at once.
func TestManyEntriesVanishAtOnce(t *testing.T) {
	d := newDirectory()
	names := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
	for _, n := range names {
		d.put(endpointEntry(n, 1, 1))
	}
	dropped := 0
	for _, n := range names {
		if d.remove(baseTime, n) {
			dropped++
		}
	}
	assert.Equal(t, dropped, removalBurstMin)
	assert.Equal(t, len(d.list()), len(names)-removalBurstMin)
}

// Soak seed 128: a crashed endpoint's entry vanished while the store was away; another
// instance's older state brought it back for good, and calls went to a dead address.
func TestOlderStateBringsNothingBack(t *testing.T) {
	d := newDirectory()
	d.put(endpointEntry("i-1", 1, 1))
	d.storeFailed(baseTime)
	d.remove(baseTime, "i-1")
	assert.Assert(t, !d.merge(endpointEntry("i-1", 1, 1)))
	assert.Assert(t, d.expire(baseTime.Add(reregistrationGrace)))
	assert.Assert(t, !d.merge(endpointEntry("i-1", 1, 1)))
	assert.Equal(t, len(d.list()), 0)
	assert.Assert(t, d.merge(endpointEntry("i-1", 2, 1)), "a new incarnation is welcome")
}

// A single endpoint whose entry is removed gets no new work at once.
func TestRemovedEntry(t *testing.T) {
	d := newDirectory()
	d.put(endpointEntry("i-1", 1, 1))
	assert.Assert(t, d.remove(baseTime, "i-1"))
	assert.Equal(t, len(d.list()), 0)
	d.put(endpointEntry("i-1", 1, 2))
	assert.Assert(t, d.list()[0].Leaving, "its incarnation was seen to go")
}

func TestRelayIsTheHighestRankedActiveInstance(t *testing.T) {
	addr := netip.MustParseAddrPort("10.0.0.1:1")
	members := []relayCandidate{
		{name: "weak", rank: 1, lastDirectAt: baseTime, addr: addr},
		{name: "strong", rank: 9, lastDirectAt: baseTime, addr: addr},
		{name: "silent", rank: 10, lastDirectAt: baseTime.Add(-2 * relayTimeout), addr: addr},
	}
	got, ok := chooseRelay(baseTime, members)
	assert.Assert(t, ok)
	assert.Equal(t, got.name, "strong")
	_, ok = chooseRelay(baseTime, nil)
	assert.Assert(t, !ok)
}

// hric-submit scale-2: engines that had crashed came back under other names at the same
// addresses, while their old entries stayed for some seconds. Prompts were read for the
// old names, and the new processes refused them. The newer entry of an address wins, in
// whichever order they are read, and its end brings the older one not back.
func TestNewerEndpointTakesTheAddress(t *testing.T) {
	for _, order := range [][]string{{"old", "new"}, {"new", "old"}} {
		d := newDirectory()
		for _, name := range order {
			incarnation := map[string]int64{"old": 100, "new": 200}[name]
			d.put(&config.Endpoint{Name: name, Addr: "10.0.0.1:1", Incarnation: incarnation, Revision: 1})
		}
		usable := func() (names []string) {
			for _, e := range d.list() {
				if !e.Leaving {
					names = append(names, e.Name)
				}
			}
			return names
		}
		assert.DeepEqual(t, usable(), []string{"new"})
		d.put(&config.Endpoint{Name: "old", Addr: "10.0.0.1:1", Incarnation: 100, Revision: 2})
		assert.DeepEqual(t, usable(), []string{"new"})
		d.put(&config.Endpoint{Name: "forged", Pool: "another", Addr: "10.0.0.1:1", Incarnation: 300, Revision: 1})
		assert.DeepEqual(t, usable(), []string{"forged", "new"}) // an entry of another pool does not displace it
		d.remove(time.Unix(1000, 0), "forged")
		d.remove(time.Unix(1000, 0), "new")
		assert.Equal(t, len(usable()), 0)
	}
}

// Hunt, hric-submit store-and-keys --seed 138560625877: the store came back between two
// calls of an instance, which counted the time for entries to return from its last failed
// call. It dropped plain endpoints that entered themselves 1.9 s after the return, told the
// others that they were gone, and nobody used them for the rest of the day.
func TestEntriesHaveTheirTimeFromTheStoresReturn(t *testing.T) {
	d := newDirectory()
	ep := &config.Endpoint{Name: "e", Addr: "10.0.0.1:1", Incarnation: 100, Revision: 7}
	d.put(ep)
	failed := time.Unix(1000, 0)
	d.storeFailed(failed)
	returned := failed.Add(100 * time.Millisecond)
	noticed := failed.Add(700 * time.Millisecond)
	d.storeRecovered(noticed)
	assert.Assert(t, !d.remove(noticed, "e"), "it lapsed while the store was away")
	back := returned.Add(1900 * time.Millisecond)
	assert.Assert(t, !d.expire(back))
	again := *ep
	again.Revision++
	d.put(&again)
	assert.Assert(t, !d.expire(back.Add(time.Minute)))
	assert.Assert(t, !d.list()[0].Leaving)

	d.storeFailed(failed)
	d.storeRecovered(noticed)
	d.remove(noticed, "e")
	assert.Assert(t, d.expire(noticed.Add(reregistrationGrace)), "one that is missing after that is gone")
}
