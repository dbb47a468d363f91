package gateway

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"carawayrouter.example/router/internal/config"
	"carawayrouter.example/router/internal/errkind"
	"carawayrouter.example/router/internal/gossip"
	"carawayrouter.example/router/internal/limit/coldstart"
	"carawayrouter.example/router/internal/placement"
)

// newColdServer returns a test server whose endpoint e0 bears few requests while it is cold.
func newColdServer() *Server {
	s := newTestServer("127.0.0.1:1", time.Now())
	old := s.state.Current().Endpoints["e0"]
	o := &config.Objects{
		Pools:     []*config.Pool{{Name: old.Pool, Kind: config.ServicePool, ColdRate: 2}},
		Endpoints: []*config.Endpoint{{Name: "e0", Pool: old.Pool, Addr: old.Addr, Incarnation: 5}},
	}
	s.admission.withScheduler(func(now time.Time, p *placement.Scheduler) { p.SetEndpoints(now, config.Build(1, o)) })
	return s
}

// Only the endpoint itself says that it is cold, of the incarnation that was asked, and a time that is none changes
// nothing.
func TestOnlyOwnResponsesMakeAnEndpointCold(t *testing.T) {
	req := endpointRequest{endpoint: "e0", placedAt: 5}
	for name, c := range map[string]struct {
		req  endpointRequest
		resp ResponseInfo
		want int
	}{
		"its own":                {req, ResponseInfo{ColdFor: time.Minute}, 1},
		"none":                   {req, ResponseInfo{}, 0},
		"malformed":              {req, ResponseInfo{ColdMalformed: true}, 0},
		"another endpoint's":     {req, ResponseInfo{ColdFor: time.Minute, WrongEndpoint: true}, 0},
		"under another name":     {req, ResponseInfo{ColdFor: time.Minute, EndpointName: "e1"}, 0},
		"of another incarnation": {endpointRequest{endpoint: "e0", placedAt: 4}, ResponseInfo{ColdFor: time.Minute}, 0},
	} {
		s := newColdServer()
		s.recordCold(c.req, c.resp)
		assert.Equal(t, s.admission.countCold(), c.want, name)
		if c.resp.ColdMalformed {
			assert.Equal(t, s.stats.coldUnreadable.Get(), uint64(1))
		}
	}
}

// What an endpoint has said to one instance binds another one, by incarnation, beside what was observed of its load.
// Absurd times do not.
func TestColdTimeReachesOtherInstances(t *testing.T) {
	a := newColdServer()
	a.recordCold(endpointRequest{endpoint: "e0", placedAt: 5}, ResponseInfo{ColdFor: time.Minute})
	told := a.peers.buildUpdate().Observations
	assert.Equal(t, len(told), 1)
	assert.Assert(t, told[0].Endpoint == "e0" && told[0].Incarnation == 5 && told[0].Slots == 0 && told[0].ColdFor > 59_000)

	u := &gossip.Update{Observations: []gossip.EndpointObservation{{Endpoint: "e0", Incarnation: 5, Running: 2, Slots: 8, Age: 500}}}
	a.admission.withScheduler(func(now time.Time, p *placement.Scheduler) { addColdTimes(now, p, u) })
	assert.Equal(t, len(u.Observations), 1)
	assert.Assert(t, u.Observations[0].Running == 2 && u.Observations[0].ColdFor > 59_500)

	for name, c := range map[string]struct {
		observation gossip.EndpointObservation
		want        int
	}{
		"told":                {told[0], 1},
		"beside a load":       {u.Observations[0], 1},
		"no cold time":        {gossip.EndpointObservation{Endpoint: "e0", Incarnation: 5, Slots: 8}, 0},
		"negative":            {gossip.EndpointObservation{Endpoint: "e0", Incarnation: 5, ColdFor: -5}, 0},
		"too long":            {gossip.EndpointObservation{Endpoint: "e0", Incarnation: 5, ColdFor: 1 << 62}, 0},
		"over":                {gossip.EndpointObservation{Endpoint: "e0", Incarnation: 5, ColdFor: 50, Age: 60}, 0},
		"former incarnation":  {gossip.EndpointObservation{Endpoint: "e0", Incarnation: 4, ColdFor: 5000}, 0},
		"unknown endpoint":    {gossip.EndpointObservation{Endpoint: "e9", Incarnation: 5, ColdFor: 5000}, 0},
		"negative age, short": {gossip.EndpointObservation{Endpoint: "e0", Incarnation: 5, ColdFor: 5000, Age: -1 << 62}, 1},
	} {
		b := newColdServer()
		b.mergeColdTimes(&gossip.Update{Observations: []gossip.EndpointObservation{c.observation}})
		assert.Equal(t, b.admission.countCold(), c.want, name)
		assert.Equal(t, len(b.peers.buildUpdate().Observations), 0, "it has not heard the endpoint itself")
	}
}

// A request that was placed before the endpoint became cold is not sent if no turn is left, and counted.
func TestRequestPlacedBeforeTheColdTimeIsNotSentInIt(t *testing.T) {
	s := newColdServer()
	r := placement.Send{Endpoint: "e0", Incarnation: 5}
	assert.Equal(t, s.admitSend(r), placement.Refusal(""))
	s.recordCold(endpointRequest{endpoint: "e0", placedAt: 5}, ResponseInfo{ColdFor: time.Minute})
	assert.Equal(t, s.admitSend(r), placement.Cold, "it has not read the list of instances")
	assert.Equal(t, s.admission.recheck(r), placement.Cold)
	assert.Assert(t, !s.admission.takeTurn("e0"))
	assert.Equal(t, s.stats.coldTurnsRefused.Get(), uint64(1))
}

// The only endpoint is cold and has shown nothing yet, so a second call finds no place there though turns are left. It is refused as
// held up by the endpoint, which can be used, and not as one without any.
func TestCallAtAColdEndpointThatHasShownNothing(t *testing.T) {
	s := newColdServer()
	s.admission.withScheduler(func(now time.Time, p *placement.Scheduler) {
		p.SetColdSlack(1, 40, coldstart.NewFleet("a", now.Add(-time.Hour)))
		p.SetFleet(now, nil, true)
		p.SetEndpoints(now, config.Build(2, &config.Objects{
			Pools:     []*config.Pool{{Name: "plain", Kind: config.ServicePool, ColdRate: 2}},
			Endpoints: []*config.Endpoint{{Name: "e0", Pool: "plain", Incarnation: 6, Role: config.Plain, Slots: 8, WarmUp: time.Minute}},
		}))
	})
	_, err := s.admission.acquireService(placement.Demand{Pool: "plain"})
	assert.NilError(t, err)
	_, err = s.admission.acquireService(placement.Demand{Pool: "plain"})
	var e *errkind.Error
	assert.Assert(t, errors.As(err, &e))
	assert.Assert(t, e.Kind == errkind.EndpointLimit && e.RetryAfter >= endpointRetryAfter, "%+v", e)
}
