package gateway

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"carawayrouter.example/router/internal/config"
	"carawayrouter.example/router/internal/endpoint"
	"carawayrouter.example/router/internal/errkind"
	"carawayrouter.example/router/internal/evacuation"
	"carawayrouter.example/router/internal/gossip"
	"carawayrouter.example/router/internal/placement"
)

// A generation waits for the only engine, which is full, as its data centre is evacuated: it is refused at once, with a time to come back, and
// so is the next one. One that has homes elsewhere does not matter.
func TestWaiterOfAnEvacuatedDataCentreIsRefusedAtOnce(t *testing.T) {
	s := newTestServer("127.0.0.1:1", time.Now())
	s.state.install(config.Build(2, &config.Objects{
		Pools:     []*config.Pool{{Name: "writers", Kind: config.ModelPool, Engine: &config.EngineSpec{Slots: 1, KVTokens: 1000}}},
		Endpoints: []*config.Endpoint{{Name: "d", Pool: "writers", DataCentre: "a", Role: config.Decode, Slots: 1}},
	}))
	waiter := func() *placement.Waiter {
		now := time.Now()
		return &placement.Waiter{Demand: placement.Demand{Pool: "writers", Prompt: 10, MaxOutput: 10}, Arrived: now, Due: now.Add(time.Hour), Deadline: now.Add(time.Hour)}
	}
	_, err := s.admission.acquireEngine(context.Background(), waiter())
	assert.NilError(t, err)
	refused := make(chan error, 1)
	go func() {
		_, err := s.admission.acquireEngine(context.Background(), waiter())
		refused <- err
	}()
	for s.admission.queueLength() == 0 {
		time.Sleep(time.Millisecond)
	}
	s.mergeEvacuations(time.Now(), []gossip.Evacuation{{DataCentre: "a", Evacuated: true, Written: 9}}, "i1")
	assert.Equal(t, s.admission.countInEvacuated(), 1)
	_, next := s.admission.acquireEngine(context.Background(), waiter())
	for _, err := range []error{<-refused, next} {
		var e *errkind.Error
		assert.Assert(t, errors.As(err, &e))
		assert.Assert(t, e.Kind == errkind.NoEndpoint && e.RetryAfter == evacuationRetryAfter, "%+v", e)
	}
	assert.Equal(t, s.admission.queueLength(), 0)
}

// A request that was placed before the evacuation is not written after it, nor is a health check, and no tunnel is served to the endpoint.
func TestNothingIsWrittenToAnEvacuatedEndpoint(t *testing.T) {
	s := newTestServer("127.0.0.1:1", time.Now())
	s.state.decoder = jsonRows{}
	ep := s.state.Current().Endpoints["e0"]
	send := endpointRequest{endpoint: ep.Name, addr: ep.Addr, attemptID: "x"}
	assert.Equal(t, s.upstream.recheck(send.send()), placement.Refusal(""))
	assert.Assert(t, s.tunnelTarget(ep.Addr) != nil)
	s.readEvacuations(time.Now(), []Row{{Kind: EvacuationRow, Key: "a", Version: 3, Value: []byte("{}")}}, Position{Version: 3}, true)
	assert.Equal(t, s.upstream.recheck(send.send()), placement.Evacuated)
	assert.Equal(t, s.upstream.recheck(send.question()), placement.Evacuated)
	assert.Assert(t, !s.admission.takeTurn(ep.Name))
	assert.Assert(t, s.tunnelTarget(ep.Addr) == nil)
	err := notEligible(placement.Evacuated)
	assert.Assert(t, errors.Is(err, endpoint.ErrNotSent) && outcomeOf(context.Background(), err) == outcomeOf(context.Background(), notEligible(placement.Paused)))
	s.readEvacuations(time.Now(), nil, Position{Version: 4}, true)
	assert.Equal(t, s.upstream.recheck(send.send()), placement.Refusal(""))
}

// An instance that starts while the store is away is told with the state that it fetches, before it has a configuration and serves.
func TestEvacuationsComeWithTheStateOfAnotherInstance(t *testing.T) {
	knows, starts := newTestServer("127.0.0.1:1", time.Now()), newTestServer("127.0.0.1:1", time.Now())
	told := []gossip.Evacuation{{DataCentre: "a", Evacuated: true, Written: 9}, {DataCentre: "b", Written: 7}}
	knows.mergeEvacuations(time.Now(), told, "i1")
	knows.peers.secret = []byte("secret")
	knows.peers.known["i1"].row.State = "127.0.0.1:1"
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := newInternalServer(knows.peers.serve)
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(func() { _ = server.Shutdown() })
	assert.NilError(t, starts.peers.fetchState(ln.Addr().String()))
	assert.DeepEqual(t, starts.evacuation.inForce(), []string{"a"})
	assert.Equal(t, len(starts.exportEvacuations()), len(told), "it knows what was taken back too")
}

// While any requests have homes, a body goes to an endpoint only through instances of the endpoint's region.
func TestTunnelsStayInTheEndpointsRegion(t *testing.T) {
	regions := map[string]string{"a": "north", "b": "north", "c": "south"}
	candidates := func() []detourCandidate {
		return []detourCandidate{{name: "1", dataCentre: "a"}, {name: "2", dataCentre: "b"}, {name: "3", dataCentre: "c"}, {name: "4", dataCentre: "unknown"}}
	}
	assert.Equal(t, len(inRegion(candidates(), "north", regions)), 2)
	assert.Equal(t, len(inRegion(candidates(), "south", regions)), 1)
	assert.Equal(t, len(inRegion(candidates(), "", regions)), 4, "no request with homes goes there")
	assert.Assert(t, !hasHomes(config.Build(1, &config.Objects{Routes: []*config.Route{{}}, Accounts: []*config.Account{{}}})))
	assert.Assert(t, hasHomes(config.Build(1, &config.Objects{Routes: []*config.Route{{Homes: []string{"north"}}}})))
	assert.Assert(t, hasHomes(config.Build(1, &config.Objects{Accounts: []*config.Account{{Homes: []string{"north"}}}})))
}

// A row for which there is no room is said once, and counted, like one that cannot be read.
func TestEvacuationWithoutRoomIsCounted(t *testing.T) {
	s := newTestServer("127.0.0.1:1", time.Now())
	s.state.decoder = jsonRows{}
	var rows []Row
	for i := range uint64(evacuation.MaxDataCentres + 1) {
		rows = append(rows, Row{Kind: EvacuationRow, Key: string(rune('A' + i)), Version: i + 1, Value: []byte("{}")})
	}
	s.readEvacuations(time.Now(), rows[:evacuation.MaxDataCentres], Position{Version: 50}, true)
	before := s.stats.evacuationRows.Get()
	s.readEvacuations(time.Now(), rows, Position{Version: 60}, true)
	s.readEvacuations(time.Now(), rows, Position{Version: 61}, true)
	assert.Equal(t, s.stats.evacuationRows.Get(), before+1)
	assert.Equal(t, len(s.evacuation.inForce()), evacuation.MaxDataCentres)
}
