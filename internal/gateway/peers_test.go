package gateway

import (
	"encoding/json"
	"net/netip"
	"testing"
	"time"

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
