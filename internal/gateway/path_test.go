package gateway

import (
	"bufio"
	"context"
	"encoding/hex"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"carawayrouter.example/router/internal/config"
	"carawayrouter.example/router/internal/gossip"
)

// fakeWay is a way to endpoints with a fixed result.
type fakeWay struct {
	err   error
	calls int
}

func (w *fakeWay) dial(context.Context, string) (net.Conn, error) {
	if w.calls++; w.err != nil {
		return nil, w.err
	}
	a, _ := net.Pipe()
	return a, nil
}

// An instance whose direct connections fail takes a detour as long as they do.
func TestDetourIsTakenWhileTheDirectWayIsCut(t *testing.T) {
	direct, detour := &fakeWay{err: syscall.ECONNREFUSED}, &fakeWay{}
	p := newPaths(direct.dial, detour.dial)
	cut, back := 0, 0
	p.onCut, p.onBack = func(string) { cut++ }, func(string) { back++ }
	for range 3 {
		_, detoured, err := p.open(context.Background(), "e:1")
		assert.Assert(t, err == nil && detoured)
	}
	assert.Equal(t, direct.calls, 1, "later connections do not try the cut way first")
	assert.DeepEqual(t, p.detoured(), []string{"e:1"})
	direct.err = nil
	_, err := p.openDirect(context.Background(), "e:1")
	assert.NilError(t, err)
	_, detoured, err := p.open(context.Background(), "e:1")
	assert.Assert(t, err == nil && !detoured)
	assert.Assert(t, cut == 1 && back == 1)
}

// Where an endpoint has ended, the others are not asked at each attempt to connect to it.
func TestEndpointThatHasEndedIsSeldomTriedThroughOthers(t *testing.T) {
	direct, detour := &fakeWay{err: syscall.ECONNREFUSED}, &fakeWay{err: syscall.ECONNREFUSED}
	p := newPaths(direct.dial, detour.dial)
	for range 10 {
		_, _, err := p.open(context.Background(), "e:1")
		assert.Assert(t, errors.Is(err, syscall.ECONNREFUSED))
	}
	assert.Equal(t, detour.calls, 1)
	p.at("e:1").failedAt = time.Now().Add(-maxDetourDelay)
	detour.err = nil
	_, detoured, err := p.open(context.Background(), "e:1")
	assert.Assert(t, err == nil && detoured)
}

// A refusal that no other instance confirms is no evidence that the endpoint has ended: the instances that
// were asked may be partitioned too.
func TestUnconfirmedRefusalIsNoEvidence(t *testing.T) {
	for name, c := range map[string]struct {
		detour  error
		refused bool
	}{
		"confirmed":         {syscall.ECONNREFUSED, true},
		"no other instance": {errNoDetour, true},
		"not reached":       {errors.New("the instance does not reach it either"), false},
	} {
		p := newPaths((&fakeWay{err: syscall.ECONNREFUSED}).dial, (&fakeWay{err: c.detour}).dial)
		for range 2 { // the second time without a new attempt at a detour
			_, _, err := p.open(context.Background(), "e:1")
			assert.Equal(t, errors.Is(err, syscall.ECONNREFUSED), c.refused, name)
		}
	}
}

// A way is checked when nothing was heard from the endpoint while it had a request, once in a while.
func TestSilentWayIsChecked(t *testing.T) {
	p := newPaths(nil, nil)
	now := time.Now()
	p.heard(now, "e:1")
	assert.Assert(t, !p.needsCheck(now.Add(pathSilence/2), "e:1", false), "another request was answered")
	assert.Assert(t, p.needsCheck(now.Add(pathSilence), "e:1", false))
	assert.Assert(t, !p.needsCheck(now.Add(pathSilence+pathCheckInterval/2), "e:1", true), "checked just before")
	assert.Assert(t, p.needsCheck(now.Add(pathSilence+pathCheckInterval), "e:1", false))
	p.setDetoured("e:1", true)
	assert.Assert(t, !p.needsCheck(now.Add(time.Hour), "e:1", true))
	p.keep(map[string]bool{})
	assert.Equal(t, len(p.addrs), 0)
}

// The instances that are asked are near, have not ejected the endpoint and have not failed lately; the
// endpoints' connections spread over those that are equally good.
func TestDetoursAreOrdered(t *testing.T) {
	now := time.Now()
	order := func(target string, from ...detourCandidate) (names []string) {
		for _, c := range orderDetours(now, "self", "a", target, "b", from) {
			names = append(names, c.name)
		}
		return names
	}
	assert.DeepEqual(t, order("e:1",
		detourCandidate{name: "failed", dataCentre: "a", failedAt: now},
		detourCandidate{name: "ejects", dataCentre: "a", ejects: true},
		detourCandidate{name: "far", dataCentre: "c"},
		detourCandidate{name: "near", dataCentre: "b"},
	), []string{"near", "far", "ejects", "failed"})
	first := map[string]int{}
	for i := range 300 {
		first[order("e:"+strconv.Itoa(i), detourCandidate{name: "x", dataCentre: "a"}, detourCandidate{name: "y", dataCentre: "a"}, detourCandidate{name: "z", dataCentre: "b"})[0]]++
	}
	for name, n := range first {
		assert.Assert(t, n > 50, "%s is first for %d of 300 endpoints", name, n)
	}
}

// Only instances of the fleet are connected to endpoints.
func TestTunnelsAreAuthenticated(t *testing.T) {
	s := fleetServer()
	s.peers.secret = []byte("secret")
	now := time.Now()
	sentAt := strconv.FormatInt(now.Unix(), 10)
	mac := hex.EncodeToString(tunnelMAC(s.peers.secret, "e:1", sentAt))
	assert.Assert(t, s.peers.allowsTunnel(now, "e:1", sentAt, mac))
	assert.Assert(t, !s.peers.allowsTunnel(now, "e:2", sentAt, mac), "another endpoint")
	assert.Assert(t, !s.peers.allowsTunnel(now.Add(2*tunnelClockSkew), "e:1", sentAt, mac), "a repeated request")
	assert.Assert(t, !s.peers.allowsTunnel(now, "e:1", sentAt, hex.EncodeToString(tunnelMAC([]byte("other"), "e:1", sentAt))))
	assert.Assert(t, !s.peers.allowsTunnel(now, "e:1", sentAt, "zz"))
	s.peers.secret = nil
	assert.Assert(t, !s.peers.allowsTunnel(now, "e:1", sentAt, hex.EncodeToString(tunnelMAC(nil, "e:1", sentAt))))
}

// tcpPair returns both ends of a connection.
func tcpPair(t *testing.T) (a, b *net.TCPConn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer ln.Close()
	dialled, err := net.Dial("tcp", ln.Addr().String())
	assert.NilError(t, err)
	accepted, err := ln.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() {
		_ = dialled.Close()
		_ = accepted.Close()
	})
	return dialled.(*net.TCPConn), accepted.(*net.TCPConn)
}

// A connection that goes through another instance ends as the endpoint ended it: a response that breaks off
// does not look complete, one that ends with its connection does. If the instance itself ends, it never does.
func TestTunnelEndsLikeItsEndpoint(t *testing.T) {
	const response = "a response"
	for name, c := range map[string]struct {
		end     func(endpoint, served *net.TCPConn) error
		framed  error // what the reader of frames gets
		unknown error // what an instance gets that is not sent frames
		raw     error // what an instance gets that reads none
	}{
		"closed":            {func(endpoint, _ *net.TCPConn) error { return endpoint.Close() }, nil, errTunnelEnded, nil},
		"reset":             {func(endpoint, _ *net.TCPConn) error { _ = endpoint.SetLinger(0); return endpoint.Close() }, syscall.ECONNRESET, syscall.ECONNRESET, syscall.ECONNRESET},
		"the instance ends": {func(_, served *net.TCPConn) error { return served.CloseWrite() }, errTunnelEnded, errTunnelEnded, nil},
	} {
		for form, want := range map[string]error{"frames": c.framed, "no frames": c.unknown, "former build": c.raw} {
			t.Run(name+", "+form, func(t *testing.T) {
				instance, served := tcpPair(t)
				endpoint, dialled := tcpPair(t)
				joined := make(chan struct{})
				go func() {
					defer close(joined)
					joinConns(served, served, dialled, io.Discard, form == "frames")
				}()
				var reader io.Reader = &tunnelConn{TCPConn: instance, framed: form == "frames"}
				if form == "former build" {
					reader = instance
				}
				for i := range 3 { // longer than a frame
					_, err := io.WriteString(endpoint, strings.Repeat(response, i*tunnelBuffer/len(response)+1))
					assert.NilError(t, err)
					b := make([]byte, len(response)*(i*tunnelBuffer/len(response)+1))
					_, err = io.ReadFull(reader, b)
					assert.NilError(t, err)
					assert.Equal(t, strings.Count(string(b), response)*len(response), len(b))
				}
				assert.NilError(t, c.end(endpoint, served))
				rest, err := io.ReadAll(reader)
				assert.Equal(t, len(rest), 0)
				assert.Assert(t, errors.Is(err, want) && (err == nil) == (want == nil), "%v", err)
				_ = instance.Close()
				_ = endpoint.Close()
				<-joined
			})
		}
	}
}

// A tunnel is not used for new requests for long, as the instance that serves it may drain; that one takes no new
// ones then.
func TestTunnelsAreGivenUpForAnInstanceThatDrains(t *testing.T) {
	a, _ := tcpPair(t)
	u := testUpstream()
	direct, tunnel := u.newConn(a, "e:1", false), u.newConn(a, "e:1", true)
	assert.Assert(t, !direct.outdated() && !tunnel.outdated())
	direct.openedAt, tunnel.openedAt = time.Time{}, time.Time{}
	assert.Assert(t, !direct.outdated() && tunnel.outdated())

	s := newTestServer("127.0.0.1:1", time.Now())
	s.peers.secret = []byte("secret")
	sentAt := strconv.FormatInt(time.Now().Unix(), 10)
	var ctx fasthttp.RequestCtx
	ctx.Request.Header.Set(headerTarget, "127.0.0.1:1")
	ctx.Request.Header.Set(headerSentAt, sentAt)
	ctx.Request.Header.Set(headerMAC, hex.EncodeToString(tunnelMAC(s.peers.secret, "127.0.0.1:1", sentAt)))
	s.peers.serveTunnel(&ctx)
	assert.Equal(t, ctx.Response.StatusCode(), fasthttp.StatusBadGateway, "nothing listens there")
	assert.Equal(t, string(ctx.Response.Header.Peek(headerRefused)), "1")
	s.draining.Store(true)
	s.peers.serveTunnel(&ctx)
	assert.Equal(t, ctx.Response.StatusCode(), fasthttp.StatusNotFound, "it says nothing about the endpoint")
	assert.Equal(t, s.peers.tunnels.Load(), int64(0))
}

// Instances of a build that serves no tunnels say nothing about an endpoint: another one is asked, and a refused
// connection is evidence if there is none. One that cannot be reached says nothing either, but may be cut off like the
// endpoint: a refused connection is evidence only if another one confirms it.
func TestInstancesWithoutTunnelsAreNotEvidence(t *testing.T) {
	const refused = "HTTP/1.1 502 Bad Gateway\r\n" + headerRefused + ": 1\r\nContent-Length: 0\r\n\r\n"
	const unreached = "HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n"
	const noTunnels = "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"
	const ended = ""
	for name, c := range map[string]struct {
		answers []string
		want    error
	}{
		"one of them refuses":    {[]string{noTunnels, noTunnels, noTunnels, refused}, syscall.ECONNREFUSED},
		"none serves tunnels":    {[]string{noTunnels, noTunnels, noTunnels}, errNoDetour},
		"one does not reach it":  {[]string{noTunnels, noTunnels, unreached}, nil},
		"two of them are enough": {[]string{refused, noTunnels, refused, noTunnels}, syscall.ECONNREFUSED},
		"one has ended":          {[]string{ended, refused}, syscall.ECONNREFUSED},
		"the others have ended":  {[]string{ended, ended, refused}, syscall.ECONNREFUSED},
		"one of each":            {[]string{ended, noTunnels, refused}, syscall.ECONNREFUSED},
		"all have ended":         {[]string{ended, ended, ended}, nil},
		"ended or not reaching":  {[]string{ended, unreached, ended}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			s := fleetServer()
			s.peers.secret = []byte("secret")
			now := time.Now()
			for i := range c.answers {
				addr := strconv.Itoa(i)
				s.peers.known[addr] = &peer{row: instanceRow{State: addr}, update: &gossip.Update{Instance: addr}, lastUpdateAt: now}
			}
			s.peers.dialPeer = func(_ context.Context, addr string) (net.Conn, error) {
				i, err := strconv.Atoi(addr)
				assert.NilError(t, err)
				if c.answers[i] == ended {
					return nil, syscall.ECONNREFUSED
				}
				server, client := net.Pipe()
				go func() {
					_, _ = http.ReadRequest(bufio.NewReader(server))
					_, _ = io.WriteString(server, c.answers[i])
					_ = server.Close()
				}()
				return client, nil
			}
			_, err := s.dialDetour(context.Background(), "e:1")
			assert.Assert(t, err != nil)
			assert.Equal(t, errors.Is(err, syscall.ECONNREFUSED), c.want == syscall.ECONNREFUSED, "%v", err)
			assert.Equal(t, errors.Is(err, errNoDetour), c.want == errNoDetour, "%v", err)
		})
	}
}

// An instance that serves no tunnel to an endpoint now, as it stops, has too many or does not know the endpoint, hides
// no crash: a refused connection is evidence. One that reaches it through another instance says that it is there.
func TestCrashBesideAnInstanceThatServesNoTunnelNow(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	addr := ln.Addr().String()
	assert.NilError(t, ln.Close())
	for name, c := range map[string]struct {
		other func(s *Server)
		want  bool
	}{
		"it reaches endpoints":    {func(*Server) {}, true},
		"it drains":               {func(s *Server) { s.draining.Store(true) }, true},
		"it has too many tunnels": {func(s *Server) { s.peers.tunnels.Store(maxTunnels) }, true},
		"it knows no endpoint":    {func(s *Server) { s.state.install(config.Build(2, &config.Objects{})) }, true},
		"it takes a detour":       {func(s *Server) { s.upstream.paths.setDetoured(addr, true) }, false},
	} {
		t.Run(name, func(t *testing.T) {
			secret := []byte("secret")
			other := newTestServer(addr, time.Now())
			other.peers.secret = secret
			c.other(other)
			s := newTestServer(addr, time.Now())
			s.peers.secret = secret
			s.peers.known["i1"].row = instanceRow{State: "i1"}
			s.peers.dialPeer = func(context.Context, string) (net.Conn, error) {
				server, client := net.Pipe()
				go func() {
					_ = (&fasthttp.Server{Handler: other.peers.serveTunnel}).ServeConn(server)
					_ = server.Close()
				}()
				return client, nil
			}
			ep := s.state.Current().Endpoints["e0"]
			for range 2 { // the second one goes by what the first has found
				assert.Equal(t, s.endpointCrashed(context.Background(), ep), c.want)
			}
		})
	}
}
