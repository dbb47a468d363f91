package gateway

import (
	"context"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"carawayrouter.example/router/internal/gossip"
)

// isLimited reports whether the test server's endpoint has a limit.
func isLimited(s *Server) bool { return s.admission.countLimited() > 0 }

// reportedRate returns the rate of the limit that the server reports, 0 if it reports none.
func reportedRate(s *Server) (rate float64) {
	for _, l := range s.peers.buildUpdate().Limits {
		if l.Limited {
			rate = l.Rate
		}
	}
	return rate
}

// Only a response of the endpoint itself to a request that it has accepted ends its limit, and
// a limit that cannot be read changes nothing.
func TestOnlyOwnResponsesChangeALimit(t *testing.T) {
	call := endpointRequest{endpoint: "e0", attemptID: "a1"}
	check := endpointRequest{endpoint: "e0"}
	limit := AnnouncedLimit{Announced: true, Rate: 3}
	for name, c := range map[string]struct {
		req  endpointRequest
		resp ResponseInfo
		want float64
	}{
		"announcement in a refusal":         {call, ResponseInfo{NotRun: true, Limit: AnnouncedLimit{Announced: true, Rate: 1}}, 1},
		"announcement in a health check":    {check, ResponseInfo{EndpointName: "e0", Limit: AnnouncedLimit{Announced: true, Rate: 1}}, 1},
		"announcement of another endpoint":  {call, ResponseInfo{WrongEndpoint: true, Limit: AnnouncedLimit{Announced: true, Rate: 1}}, 3},
		"announcement under another name":   {check, ResponseInfo{EndpointName: "e1", Limit: AnnouncedLimit{Announced: true, Rate: 1}}, 3},
		"malformed beside a valid one":      {call, ResponseInfo{Limit: AnnouncedLimit{Announced: true, Rate: 1, Malformed: true}}, 1},
		"malformed":                         {call, ResponseInfo{AttemptID: "a1", Limit: AnnouncedLimit{Malformed: true}}, 3},
		"none in a response":                {call, ResponseInfo{AttemptID: "a1"}, 0},
		"none in a health check":            {check, ResponseInfo{EndpointName: "e0"}, 0},
		"none in a response to another one": {call, ResponseInfo{AttemptID: "a2"}, 3},
		"none in an anonymous response":     {check, ResponseInfo{}, 3},
		"none in a refusal":                 {call, ResponseInfo{AttemptID: "a1", NotRun: true}, 3},
		"none of another endpoint":          {call, ResponseInfo{AttemptID: "a1", WrongEndpoint: true, NotRun: true}, 3},
	} {
		s := newTestServer("127.0.0.1:1", time.Now())
		s.recordLimit(call, time.Now(), ResponseInfo{Limit: limit})
		assert.Equal(t, reportedRate(s), 3.0)
		s.recordLimit(c.req, time.Now(), c.resp)
		assert.Equal(t, reportedRate(s), c.want, name)
		assert.Equal(t, isLimited(s), c.want > 0, name)
	}
}

// Another instance keeps a limit as soon as it receives an update, and ends it likewise.
func TestLimitReachesOtherInstances(t *testing.T) {
	a, b := newTestServer("127.0.0.1:1", time.Now()), newTestServer("127.0.0.1:1", time.Now())
	pass := func() {
		secret := []byte("secret")
		datagram, err := gossip.Encode(a.peers.buildUpdate(), secret)
		assert.NilError(t, err)
		u, _, err := gossip.Decode(datagram, secret)
		assert.NilError(t, err)
		b.mergeLimits(u)
	}
	req := endpointRequest{endpoint: "e0", attemptID: "a1"}
	a.recordLimit(req, time.Now(), ResponseInfo{Limit: AnnouncedLimit{Announced: true, Rate: 3}})
	pass()
	assert.Assert(t, isLimited(b))
	assert.Equal(t, reportedRate(b), 0.0, "it has not observed the limit itself")
	time.Sleep(2 * time.Millisecond) // ages in updates are whole milliseconds
	a.recordLimit(req, time.Now(), ResponseInfo{AttemptID: "a1"})
	pass()
	assert.Assert(t, !isLimited(b))
}

// Health checks are not sent to an endpoint that accepts no more requests.
func TestHealthCheckUsesATurn(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	addr := "127.0.0.2:" + port(t, ln)
	serveHealth(t, addr, "e0")
	s := newTestServer(addr, time.Now())
	ep := s.state.Current().Endpoints["e0"]
	name, err := s.identifyEndpoint(context.Background(), ep)
	assert.NilError(t, err)
	assert.Equal(t, name, "e0")
	s.recordLimit(endpointRequest{endpoint: "e0"}, time.Now(), ResponseInfo{Limit: AnnouncedLimit{Announced: true, Rate: 0.1}})
	name, err = s.identifyEndpoint(context.Background(), ep)
	assert.NilError(t, err)
	assert.Equal(t, name, "", "connected, but not asked")
}
