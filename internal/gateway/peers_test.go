package gateway

import (
	"encoding/json"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	"gotest.tools/v3/assert"

	"carawayrouter.example/router/internal/gossip"
)

// updatePending reports whether an update was asked for since the last call.
func (p *peers) updatePending() bool {
	select {
	case <-p.updateNeeded:
		return true
	default:
		return false
	}
}

// An instance that sees another one start does not wait for its next periodic update: until
// the other one hears it, it refuses what it cannot prove to be within an account's rate.
func TestStartedInstanceIsSentAnUpdateAtOnce(t *testing.T) {
	s := newTestServer("127.0.0.1:1", time.Now())
	p := s.peers
	p.updatePending()
	row, err := json.Marshal(instanceRow{Incarnation: 1, State: "127.0.0.1:2", Updates: "127.0.0.1:3"})
	assert.NilError(t, err)
	rows := []Row{{Key: "i2", Value: row, Version: 1}}
	p.applyRows(time.Now(), rows)
	assert.Assert(t, p.updatePending(), "a new row")
	p.applyRows(time.Now(), rows)
	assert.Assert(t, !p.updatePending(), "the same row")

	from := netip.MustParseAddrPort("127.0.0.1:3")
	for i, incarnation := range []int64{1, 1, 2} {
		p.applyUpdate(time.Now(), &gossip.Update{Instance: "i2", Incarnation: incarnation, Sequence: uint64(i)}, from, true)
		assert.Equal(t, p.updatePending(), i != 1, "update %d", i)
	}
}

// A large fleet's updates are not logged one by one: after a restart of all, every instance sees
// every other one start.
func TestChangesOfALargeFleetAreLoggedTogether(t *testing.T) {
	s := fleetServer()
	var lines []string
	log := funcr.New(func(_, args string) { lines = append(lines, args) }, funcr.Options{})
	s.log, s.peers.log = log, log
	now := time.Now()
	for i := range largeFleet {
		s.peers.applyUpdate(now, fleetUpdate(i, 1), netip.AddrPort{}, false)
	}
	s.peers.logChanges(now)
	assert.Assert(t, len(lines) <= maxDirectFleet+1, "%d lines", len(lines))
	last := lines[len(lines)-1]
	assert.Assert(t, strings.Contains(last, "instances.changed") && strings.Contains(last, `"heard"=231`), last)
}

// An instance that has started is sent the levels of all accounts, and nobody else.
func TestLevelsAreSentToNewcomers(t *testing.T) {
	s := fleetServer()
	now := time.Now()
	s.peers.applyUpdate(now, fleetUpdate(0, 1), netip.AddrPort{}, false)
	assert.Assert(t, s.peers.buildUpdate().AllLevels)
	s.peers.newcomerAt = now.Add(-newcomerTime)
	u := s.peers.buildUpdate()
	assert.Assert(t, !u.AllLevels)
	assert.Equal(t, len(u.Usage), 0, "the instance has used no tokens")
}
