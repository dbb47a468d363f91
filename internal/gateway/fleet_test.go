package gateway

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// instanceRows returns the rows of n instances of a large fleet.
func instanceRows(t *testing.T, n int) []Row {
	t.Helper()
	rows := make([]Row, n)
	for i := range rows {
		value, err := json.Marshal(instanceRow{Incarnation: 1, State: "127.0.0.1:2", Updates: "127.0.0.1:3"})
		assert.NilError(t, err)
		rows[i] = Row{Key: fmt.Sprint("row-", i), Value: value, Version: 1}
	}
	return rows
}

// An instance that has heard another one, but has not read the rows of the instances, does not take the two
// of them for the fleet.
func TestFleetIsAssumedLargeUntilItIsListed(t *testing.T) {
	s := fleetServer()
	clear(s.peers.known)
	now := time.Now()
	s.peers.applyUpdate(now, fleetUpdate(0, 1), netip.AddrPort{}, false)
	assert.Equal(t, s.budget.fleetSize, assumedFleetSize)
	s.peers.applyRows(now, instanceRows(t, 3))
	assert.Equal(t, s.budget.fleetSize, 5, "three instances by their rows, one by its update, and this one")
}

// Updates and rows that arrive at the same time leave the limits with the fleet of the last of them.
func TestFleetIsThatOfTheLastChange(t *testing.T) {
	for range 200 {
		s := fleetServer()
		clear(s.peers.known)
		now := time.Now()
		var wg sync.WaitGroup
		for i := range 4 {
			wg.Go(func() { s.peers.applyUpdate(now, fleetUpdate(i, 1), netip.AddrPort{}, false) })
		}
		wg.Go(func() { s.peers.applyRows(now, instanceRows(t, 3)) })
		wg.Wait()
		assert.Equal(t, s.budget.fleetSize, s.peers.fleetSize())
	}
}
