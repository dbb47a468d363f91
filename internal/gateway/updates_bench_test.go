package gateway

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"carawayrouter.example/router/internal/config"
	"carawayrouter.example/router/internal/gossip"
	"carawayrouter.example/router/internal/origin"
)

// largeFleet is the number of other instances in the largest deployment that is served.
const largeFleet = 231

// fleetUpdate returns a typical update of instance i of a large fleet: it has used the tokens of a
// few accounts, and every eighth one runs a generation.
func fleetUpdate(i int, sequence uint64) *gossip.Update {
	u := &gossip.Update{
		Instance: fmt.Sprintf("frontend-data-centre-%d", i), Incarnation: 1, Sequence: sequence, KnownFor: 60000,
		StateAddr: "10.20.30.40:12345", ConfigurationVersion: 100, EndpointsVersion: 1000, KnowsQuarantine: true,
		Software: []gossip.SoftwareVersion{{Pool: "writers", Version: "v1", Age: 100}},
	}
	for a := range 19 {
		usage := gossip.AccountUsage{Account: fmt.Sprintf("account-%d", a), Level: 50000}
		if (a+i)%6 == 0 {
			usage.Tokens = 5000
			u.Usage = append(u.Usage, usage)
		}
	}
	if i%8 == 0 {
		u.Loads = []gossip.EndpointLoad{{Endpoint: fmt.Sprintf("engine-%d", i%40), Runs: []gossip.Run{{Prompt: 5000, Output: 4900, Generated: 100, Age: 20}}}}
		k := origin.KeyOf("a", fmt.Sprint(i))
		u.Streams = []gossip.BegunStreams{{Pool: "writers", SoftwareVersion: "v1", Keys: k[:], Age: 1500}}
	}
	return u
}

// fleetServer returns a server that knows the accounts of the updates of a large fleet.
func fleetServer() *Server {
	s := newTestServer("127.0.0.1:1", time.Now())
	var accounts []*config.Account
	for a := range 19 {
		accounts = append(accounts, &config.Account{Name: fmt.Sprintf("account-%d", a), Rate: 20000, Burst: 20000})
	}
	s.state.current.Store(config.Build(100, &config.Objects{Accounts: accounts}))
	return s
}

// BenchmarkUpdatesOfALargeFleet applies the updates of all other instances once, as they arrive in
// batches of a relay.
func BenchmarkUpdatesOfALargeFleet(b *testing.B) {
	s := fleetServer()
	secret := []byte("secret")
	from := netip.MustParseAddrPort("127.0.0.1:3")
	b.ReportAllocs()
	for n := range b.N {
		b.StopTimer()
		batch := &gossip.Batch{Relay: "frontend-data-centre-0"}
		for i := range largeFleet {
			d, err := gossip.Encode(fleetUpdate(i, uint64(n+1)), secret)
			assert.NilError(b, err)
			batch.Datagrams = append(batch.Datagrams, d)
		}
		datagrams, err := gossip.EncodeBatches(batch, secret)
		assert.NilError(b, err)
		b.StartTimer()
		for _, d := range datagrams {
			assert.NilError(b, s.peers.handleDatagram(d, secret, from))
		}
	}
}
