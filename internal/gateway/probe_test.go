package gateway

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"carawayrouter.example/router/internal/config"
	"carawayrouter.example/router/internal/gossip"
	"carawayrouter.example/router/internal/placement"
	"carawayrouter.example/router/internal/sched"
)

// newTestServer returns an instance with one service endpoint at addr and one other instance
// that was last heard at the given time.
func newTestServer(addr string, lastUpdateAt time.Time) *Server {
	s := New(Settings{Instance: "i0", DataCentre: "a", QuotaWindow: time.Second}, Deps{Log: logr.Discard(), Wire: nameOnlyWire{}})
	objects := &config.Objects{
		Pools:     []*config.Pool{{Name: "desk", Kind: config.ServicePool, HealthPath: "/health"}},
		Endpoints: []*config.Endpoint{{Name: "e0", Pool: "desk", Addr: addr, DataCentre: "a", Role: config.Plain, Slots: 6}},
	}
	s.state.install(config.Build(1, objects))
	s.peers.known["i1"] = &peer{lastUpdateAt: lastUpdateAt, update: &gossip.Update{Instance: "i1"}}
	return s
}

// nameOnlyWire decodes only the name of the responding endpoint.
type nameOnlyWire struct{ Wire }

func (nameOnlyWire) ParseResponse(_ int, h http.Header) ResponseInfo {
	return ResponseInfo{EndpointName: h.Get("Name")}
}

// serveHealth serves health checks at addr under the given name until the test ends.
func serveHealth(t *testing.T, addr, name string) {
	t.Helper()
	ln, err := net.Listen("tcp", addr)
	assert.NilError(t, err)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Name", name)
	})}
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(func() { _ = server.Close() })
}

// failConnection records a failed connection to the endpoint.
func (s *Server) failConnection() {
	s.admission.withScheduler(func(now time.Time, p *placement.Scheduler) {
		p.Release(now, p.AcquireService(now, placement.Demand{Pool: "desk"}), sched.Unreachable)
	})
}

// The probe detects an endpoint that is back without a request, and the instance is ready
// again.
func TestProbeFindsEndpointsThatAreBack(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	addr := ln.Addr().String()
	assert.NilError(t, ln.Close())
	s := newTestServer(addr, time.Now().Add(-time.Minute))
	assert.Assert(t, s.ready())
	s.failConnection()
	s.probeRound(context.Background())
	s.updateCutOff(time.Now())
	assert.Assert(t, !s.ready(), "cut off from the endpoint and from the other instance")

	serveHealth(t, addr, "e0")
	s.probeRound(context.Background())
	s.updateCutOff(time.Now())
	assert.Assert(t, s.ready())
	s.admission.withScheduler(func(now time.Time, p *placement.Scheduler) {
		assert.Assert(t, p.AcquireService(now, placement.Demand{Pool: "desk"}) != nil)
	})
}

// If the other instances are heard, the endpoints themselves are down: leaving the balancer
// would only send callers to instances that cannot serve them either.
func TestInstanceStaysReadyWhenAServiceIsDown(t *testing.T) {
	s := newTestServer("127.0.0.1:1", time.Now())
	s.failConnection()
	s.updateCutOff(time.Now())
	assert.Assert(t, s.ready())
}

// A restarted instance without updates from the others refused callers because it could not
// check their rates: it assumed the others' shares for all 8 (run hric-submit inc-ea65).
// It accepts callers once it has heard most of the others, or after a timeout.
func TestRestartedInstanceIsReadyOnceItHasHeardTheOthers(t *testing.T) {
	now := time.Now()
	s := newTestServer("127.0.0.1:1", time.Time{})
	s.peers.started = now
	s.quarantine.setKnown()
	assert.Assert(t, !s.synced(now) && !s.ready())
	assert.Assert(t, s.synced(now.Add(2*syncTimeout)))
	s.peers.known["i1"].lastUpdateAt = now
	assert.Assert(t, !s.synced(now), "it was heard before the rows of the instances were read: there may be others")
	s.peers.listed = true
	assert.Assert(t, s.synced(now) && s.ready())
	delete(s.peers.known, "i1")
	assert.Assert(t, !s.synced(now), "no other instance is known yet")
}

// An instance of a new deployment was ready before it knew how many others there are, and refused callers
// whose accounts it took for those of hundreds of instances.
func TestNewInstanceIsReadyOnceItHasReadTheOthersRows(t *testing.T) {
	now := time.Now()
	s := newTestServer("127.0.0.1:1", time.Time{})
	s.settings.Bootstrap, s.peers.started = true, now
	s.quarantine.setKnown()
	assert.Assert(t, !s.synced(now) && !s.ready())
	assert.Assert(t, s.synced(now.Add(2*syncTimeout)))
	s.peers.applyRows(now, nil)
	assert.Assert(t, s.synced(now) && s.ready())
}

// A crashed engine was back at its address under another name before its new entry had been
// read (run hric-submit scale-2). A successful connection is not enough to use the old
// entry again.
func TestProbeTellsWhoAnswers(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	addr := ln.Addr().String()
	assert.NilError(t, ln.Close())
	s := newTestServer(addr, time.Now())
	s.failConnection()
	serveHealth(t, addr, "e1")
	s.probeRound(context.Background())
	s.admission.withScheduler(func(now time.Time, p *placement.Scheduler) {
		assert.Assert(t, p.AcquireService(now, placement.Demand{Pool: "desk"}) == nil)
		p.EachUnreachable(now, func(*config.Endpoint) { t.Error("a replaced endpoint is probed again") })
	})
}
