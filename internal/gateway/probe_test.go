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

// lonely returns an instance with one plain endpoint at addr and one other instance that
// it heard at the given time.
func lonely(addr string, heard time.Time) *Server {
	s := New(Settings{Instance: "i0", DataCentre: "a", QuotaWindow: time.Second}, Deps{Log: logr.Discard(), Wire: naming{}})
	objects := &config.Objects{
		Pools:     []*config.Pool{{Name: "desk", Kind: config.ServicePool, HealthPath: "/health"}},
		Endpoints: []*config.Endpoint{{Name: "e0", Pool: "desk", Addr: addr, DataCentre: "a", Role: config.Plain, Slots: 6}},
	}
	s.state.swap(config.Build(1, objects))
	s.peers.known["i1"] = &peer{heard: heard, update: &gossip.Update{Instance: "i1"}}
	return s
}

// naming decodes the name of the endpoint that answers, and nothing else.
type naming struct{ Wire }

func (naming) Answer(_ int, h http.Header) AnswerInfo { return AnswerInfo{Name: h.Get("Name")} }

// answering serves health checks at addr under the given name until the test ends.
func answering(t *testing.T, addr, name string) {
	t.Helper()
	ln, err := net.Listen("tcp", addr)
	assert.NilError(t, err)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Name", name)
	})}
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(func() { _ = server.Close() })
}

// lose makes the endpoint's connections fail.
func (s *Server) lose() {
	s.admission.with(func(now time.Time, p *placement.Scheduler) {
		p.Release(now, p.AcquireService(now, placement.Demand{Pool: "desk"}), sched.Unreachable)
	})
}

// An endpoint that is back is found without a request, and the instance is ready again.
func TestProbeFindsEndpointsThatAreBack(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	addr := ln.Addr().String()
	assert.NilError(t, ln.Close())
	s := lonely(addr, time.Now().Add(-time.Minute))
	assert.Assert(t, s.ready())
	s.lose()
	s.probeRound(context.Background())
	s.noteCut(time.Now())
	assert.Assert(t, !s.ready(), "cut off from the endpoint and from the other instance")

	answering(t, addr, "e0")
	s.probeRound(context.Background())
	s.noteCut(time.Now())
	assert.Assert(t, s.ready())
	s.admission.with(func(now time.Time, p *placement.Scheduler) {
		assert.Assert(t, p.AcquireService(now, placement.Demand{Pool: "desk"}) != nil)
	})
}

// Where the other instances are heard, the endpoints themselves are down: an instance that
// left the rotation would only send callers to others that cannot serve them either.
func TestInstanceStaysReadyWhenAServiceIsDown(t *testing.T) {
	s := lonely("127.0.0.1:1", time.Now())
	s.lose()
	s.noteCut(time.Now())
	assert.Assert(t, s.ready())
}

// A restarted instance that has heard nobody refused callers for rates that it could not
// check (hric-submit inc-ea65: others' shares assumed for all 8). It takes callers once it
// has heard most of the others, or after a time without word.
func TestRestartedInstanceIsReadyOnceItHasHeardTheOthers(t *testing.T) {
	now := time.Now()
	s := lonely("127.0.0.1:1", time.Time{})
	s.peers.started = now
	assert.Assert(t, !s.settled(now) && !s.ready())
	assert.Assert(t, s.settled(now.Add(2*settleTime)))
	s.peers.known["i1"].heard = now
	assert.Assert(t, s.settled(now) && s.ready())
	delete(s.peers.known, "i1")
	assert.Assert(t, !s.settled(now), "no other instance is known yet")
}

// hric-submit scale-2: an engine that crashed was back under another name at its address,
// before its new entry was read. A connection is not enough to use the old one again.
func TestProbeTellsWhoAnswers(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	addr := ln.Addr().String()
	assert.NilError(t, ln.Close())
	s := lonely(addr, time.Now())
	s.lose()
	answering(t, addr, "e1")
	s.probeRound(context.Background())
	s.admission.with(func(now time.Time, p *placement.Scheduler) {
		assert.Assert(t, p.AcquireService(now, placement.Demand{Pool: "desk"}) == nil)
		p.EachUnreachable(now, func(*config.Endpoint) { t.Error("a replaced endpoint is tried again") })
	})
}
