package gateway

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"carawayrouter.example/router/internal/config"
	"carawayrouter.example/router/internal/endpointload"
	"carawayrouter.example/router/internal/gossip"
	"carawayrouter.example/router/internal/placement"
)

func latestLoad(s *Server) (r endpointload.Report) {
	s.admission.withScheduler(func(_ time.Time, p *placement.Scheduler) { r = p.LatestLoad("e0") })
	return r
}

// passLoads sends what a has heard of endpoints to b in the given form, and returns the size of the datagram.
func passLoads(t *testing.T, a, b *Server, form gossip.Form) int {
	t.Helper()
	secret := []byte("secret")
	datagram, err := gossip.EncodeForm(a.peers.buildUpdate(), form, secret)
	assert.NilError(t, err)
	u, _, err := gossip.Decode(datagram, secret)
	assert.NilError(t, err)
	b.mergeLoads(u)
	return len(datagram)
}

var loadCall = endpointRequest{endpoint: "e0", attemptID: "a1"}

func tells(pace float64) ResponseInfo {
	return ResponseInfo{AttemptID: "a1", Load: EndpointLoad{Told: true, Running: 3, Waiting: 1, Slots: 6, Pace: pace}}
}

// An endpoint turns slow between two of its responses to one instance, and another instance has seen it. A former
// build's update says nothing, and what is from others is not repeated.
func TestSlowEndpointIsKnownToInstancesThatHaveNotAskedIt(t *testing.T) {
	a, b := newTestServer("127.0.0.1:1", time.Now()), newTestServer("127.0.0.1:1", time.Now())
	b.recordLoad(loadCall, tells(1))
	time.Sleep(2 * time.Millisecond) // ages in updates are whole milliseconds
	a.recordLoad(loadCall, tells(4))
	passLoads(t, a, b, gossip.FormLeaving)
	assert.Equal(t, latestLoad(b).Pace, 1.0)
	a.recordLoad(loadCall, tells(4))
	passLoads(t, a, b, gossip.CurrentForm)
	got := latestLoad(b)
	assert.Assert(t, got.Pace == 4 && got.Running == 2 && got.Waiting == 1 && got.Slots == 6 && got.Source == endpointload.OtherInstance, "%+v", got)
	c := newTestServer("127.0.0.1:1", time.Now())
	passLoads(t, b, c, gossip.CurrentForm)
	assert.Equal(t, latestLoad(c).Pace, 1.0, "its own observation only")
}

// Loads that cannot be read, and those that are not the endpoint's at this moment, change nothing.
func TestOnlyTheEndpointsOwnLoadCounts(t *testing.T) {
	for name, c := range map[string]struct {
		req  endpointRequest
		resp ResponseInfo
		want float64
	}{
		"malformed":             {loadCall, ResponseInfo{AttemptID: "a1", Load: EndpointLoad{Malformed: true}}, 1},
		"none":                  {loadCall, ResponseInfo{AttemptID: "a1"}, 1},
		"late response":         {loadCall, ResponseInfo{AttemptID: "a0", Load: tells(4).Load}, 1},
		"another endpoint":      {loadCall, ResponseInfo{AttemptID: "a1", WrongEndpoint: true, Load: tells(4).Load}, 1},
		"another name":          {loadCall, ResponseInfo{EndpointName: "e1", Load: tells(4).Load}, 1},
		"another incarnation":   {endpointRequest{endpoint: "e0", attemptID: "a1", placedAt: 7}, tells(4), 1},
		"refusal":               {loadCall, ResponseInfo{AttemptID: "a1", NotRun: true, Load: tells(4).Load}, 4},
		"health answer":         {endpointRequest{endpoint: "e0", sender: healthCheck}, ResponseInfo{EndpointName: "e0", Load: tells(4).Load}, 4},
		"load without the pace": {loadCall, tells(0), 1},
	} {
		s := newTestServer("127.0.0.1:1", time.Now())
		s.recordLoad(loadCall, tells(1))
		before := latestLoad(s)
		s.recordLoad(c.req, c.resp)
		assert.Equal(t, latestLoad(s).Pace, c.want, name)
		if c.resp.Load.Malformed {
			assert.DeepEqual(t, latestLoad(s), before)
			assert.Equal(t, s.stats.loadsMalformed.Get(), uint64(1))
		}
	}
}

// Updates of an instance that hears all endpoints at once stay small.
func TestObservationsInAnUpdateAreFew(t *testing.T) {
	s, b := newTestServer("127.0.0.1:1", time.Now()), newTestServer("127.0.0.1:1", time.Now())
	objects := &config.Objects{Pools: []*config.Pool{{Name: "desk", Kind: config.ServicePool}}}
	for i := range 51 {
		objects.Endpoints = append(objects.Endpoints, &config.Endpoint{Name: fmt.Sprintf("i-5eaddb16%02d", i), Pool: "desk", Incarnation: 1_790_000_000_000, Addr: fmt.Sprintf("10.0.0.%d:1", i), Role: config.Plain})
	}
	s.state.install(config.Build(2, objects))
	empty := passLoads(t, s, b, gossip.CurrentForm)
	for _, ep := range objects.Endpoints {
		req := loadCall
		req.endpoint, req.placedAt = ep.Name, ep.Incarnation
		s.recordLoad(req, tells(2.5))
	}
	full := passLoads(t, s, b, gossip.CurrentForm)
	t.Logf("%d bytes for %d observations", full-empty, maxToldLoads)
	assert.Assert(t, full-empty <= 60*maxToldLoads, "%d bytes", full-empty)
}
