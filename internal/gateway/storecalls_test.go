package gateway

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"carawayrouter.example/router/internal/gossip"
)

// A series of configurations, or of endpoints that come and go, costs every instance of a large
// fleet few calls, and none learns of a change later than half a second.
func TestSeriesOfChangesCostsFewCalls(t *testing.T) {
	s := fleetServer()
	for _, w := range s.watchers() {
		assert.Assert(t, w.batchDelay != nil, "table %v", w.table)
	}
	assert.Assert(t, s.batchDelay() <= 100*time.Millisecond, "a small fleet learns of changes at once")
	for i := range largeFleet {
		s.peers.known[fmt.Sprint(i)] = &peer{}
	}
	assert.Equal(t, s.batchDelay(), maxBatchDelay)
	assert.Assert(t, maxBatchDelay <= time.Second/2)
}

// In a large fleet the row of an instance is written seldom, and an instance counts until its row
// has not changed for several of these intervals.
func TestRowsOfALargeFleetAreWrittenSeldom(t *testing.T) {
	s := fleetServer()
	p := s.peers
	clear(p.known)
	assert.Equal(t, p.registerInterval(), registerInterval)
	now := time.Now()
	rows := instanceRows(t, largeFleet)
	p.applyRows(now, rows)
	assert.Equal(t, p.registerInterval(), maxRegisterInterval)
	p.applyRows(now.Add(2*maxRegisterInterval), rows)
	assert.Equal(t, p.fleetSize(), largeFleet+1, "an instance in a network partition was forgotten")
	p.applyRows(now.Add(3*maxRegisterInterval), rows)
	assert.Equal(t, p.fleetSize(), 1, "an instance that has ended still counts")
}

// The row of an instance that was added while the fleet runs is read soon: the row says in which
// data centre it is.
func TestRowOfANewInstanceIsRead(t *testing.T) {
	p := fleetServer().peers
	p.applyUpdate(time.Now(), &gossip.Update{Instance: "new", Incarnation: 1}, netip.AddrPort{}, false)
	select {
	case <-p.rowNeeded:
	default:
		t.Fatal("the rows are not read before the next write of the own one")
	}
	p.applyUpdate(time.Now(), &gossip.Update{Instance: "new", Incarnation: 1, Sequence: 1}, netip.AddrPort{}, false)
	select {
	case <-p.rowNeeded:
		t.Fatal("the rows are read again for a known instance")
	default:
	}
}
