package gateway

import (
	"bufio"
	"cmp"
	"context"
	"crypto/hmac"
	"encoding/hex"
	"io"
	"math"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"carawayrouter.example/router/internal/config"
	"carawayrouter.example/router/internal/gossip"
	"carawayrouter.example/router/internal/placement"
	"carawayrouter.example/router/internal/responsehead"
	"carawayrouter.example/router/internal/tcp"
)

const (
	tunnelPath    = "/v1/peer/tunnel"
	headerTarget  = "Tunnel-Target" // address of the endpoint
	headerSentAt  = "Tunnel-Sent"   // Unix s
	headerMAC     = "Tunnel-Mac"    // of path, target and time, by the fleet's secret
	headerRefused = "Tunnel-Refused"
	// headerFrames is 1 in a request of an instance that reads frames, and in the response if they are sent.
	headerFrames   = "Tunnel-Frames"
	headerPaused   = "Tunnel-Paused"        // ms for which the endpoint wants no request from the instance
	tunnelDialTime = 150 * time.Millisecond // for the other instance to reach the endpoint
	tunnelTryTime  = 250 * time.Millisecond // for one instance that is asked
	detourTimeout  = 550 * time.Millisecond // for all that are asked
	// tunnelClockSkew is how far the clocks of two instances may differ.
	tunnelClockSkew = time.Minute
	maxTunnels      = 512                     // that an instance serves; each takes two descriptors
	tunnelBuffer    = 4 << 10                 // bytes, for each direction
	detourBackoff   = 1500 * time.Millisecond // for which an instance that did not reach an endpoint is asked last
	detourAttempts  = 2                       // instances that are asked
	detourMisses    = 3                       // instances that cannot be reached, until no more are asked
	// maxTunnelAge is how long a tunnel is used for new requests: an instance that drains, or that the endpoint has
	// asked for a pause, serves the tunnels that it has, and no new ones. It is shorter than the time in which
	// requests may still reach an endpoint that has asked for a pause.
	maxTunnelAge = 300 * time.Millisecond
)

// errNoDetour means that there is no other instance to ask.
var errNoDetour = errors.New("no other instance can be asked to reach the endpoint")

// errNoTunnels means that an instance serves no tunnels to the endpoint now, or is of a build that serves none. Whether
// it reaches the endpoint is not known.
var errNoTunnels = errors.New("the instance serves no tunnels")

// errInstanceUnreached means that the instance that was asked cannot be reached. Whether it reaches the endpoint is not known.
var errInstanceUnreached = errors.New("the instance cannot be reached")

// detourCandidate is an instance that may reach an endpoint for this one.
type detourCandidate struct {
	name       string
	addr       string // for requests of other instances
	dataCentre string
	ejects     bool      // it has ejected the endpoint
	failedAt   time.Time // when it last failed to reach an endpoint for this instance
}

// orderDetours returns the instances to ask, the best first: those that have not failed lately, that have not
// ejected the endpoint, and that are in the data centre of this instance or of the endpoint. The others
// take turns by a hash, so that the endpoints' connections spread over them.
func orderDetours(now time.Time, self, dataCentre, target, targetDataCentre string, from []detourCandidate) []detourCandidate {
	rank := func(c detourCandidate) (r int) {
		if now.Sub(c.failedAt) < detourBackoff {
			r += 4
		}
		if c.ejects {
			r += 2
		}
		if c.dataCentre != dataCentre && c.dataCentre != targetDataCentre {
			r++
		}
		return r
	}
	hash := func(c detourCandidate) uint64 { return xxhash.Sum64String(self + "\x00" + target + "\x00" + c.name) }
	out := slices.Clone(from)
	slices.SortFunc(out, func(a, b detourCandidate) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(hash(a), hash(b)))
	})
	return out
}

// hasHomes reports whether the requests of any route or account stay in some regions.
func hasHomes(st *config.State) bool {
	for _, r := range st.Routes {
		if len(r.Homes) > 0 {
			return true
		}
	}
	for _, a := range st.Accounts {
		if len(a.Homes) > 0 {
			return true
		}
	}
	return false
}

// inRegion returns the instances in the region of an endpoint: a request's body that goes through them to the endpoint stays in its
// homes, as the endpoint is in one. An endpoint of unknown region gets no request that has homes.
func inRegion(from []detourCandidate, region string, regions map[string]string) []detourCandidate {
	if region == "" {
		return from
	}
	return slices.DeleteFunc(from, func(c detourCandidate) bool { return regions[c.dataCentre] != region })
}

// detourCandidates returns the instances that are heard.
func (p *peers) detourCandidates(now time.Time, endpointName string) (out []detourCandidate) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, x := range p.known {
		if x.leaving || x.update == nil || now.Sub(x.lastUpdateAt) > peerSilenceLimit || x.row.State == "" {
			continue
		}
		c := detourCandidate{name: name, addr: x.row.State, dataCentre: x.row.DataCentre, failedAt: x.detourFailedAt}
		for _, e := range x.update.Ejected {
			c.ejects = c.ejects || e.Endpoint == endpointName
		}
		out = append(out, c)
	}
	return out
}

func (p *peers) setDetourFailed(now time.Time, name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if x := p.known[name]; x != nil {
		x.detourFailedAt = now
	}
}

// dialDetour opens a connection to an endpoint through another instance. The error is ECONNREFUSED if all
// that were asked and could be reached say that the endpoint refuses.
func (s *Server) dialDetour(ctx context.Context, addr string) (net.Conn, error) {
	name, dataCentre, region := "", "", ""
	st := s.state.Current()
	for _, ep := range st.Endpoints {
		if ep.Addr == addr {
			name, dataCentre, region = ep.Name, ep.DataCentre, ep.Region
		}
	}
	now := time.Now()
	candidates := s.peers.detourCandidates(now, name)
	if hasHomes(st) {
		candidates = inRegion(candidates, region, s.settings.Regions)
	}
	order := orderDetours(now, s.settings.Instance, s.settings.DataCentre, addr, dataCentre, candidates)
	var failure, unreached error
	pause := time.Duration(0)
	for attempts, misses := 0, 0; attempts < detourAttempts && misses < detourMisses && len(order) > 0 && ctx.Err() == nil; order = order[1:] {
		c := order[0]
		nc, err := s.peers.openTunnel(ctx, c.addr, addr)
		if err == nil {
			return nc, nil
		}
		if errors.Is(err, errNoTunnels) {
			s.peers.setDetourFailed(time.Now(), c.name)
			continue
		}
		if errors.Is(err, errInstanceUnreached) {
			s.peers.setDetourFailed(time.Now(), c.name)
			misses++
			unreached = err
			continue
		}
		attempts++
		var paused *pausedElsewhere
		if errors.As(err, &paused) {
			if pause == 0 || paused.left < pause {
				pause = paused.left
			}
			continue
		}
		s.peers.setDetourFailed(time.Now(), c.name)
		if failure == nil || !errors.Is(err, syscall.ECONNREFUSED) {
			failure = err
		}
	}
	if pause > 0 {
		s.pause(name, pause, "tunnel")
		return nil, notEligible(placement.Paused)
	}
	switch {
	case failure != nil:
		return nil, failure
	case unreached != nil:
		return nil, unreached
	case ctx.Err() != nil:
		return nil, ctx.Err()
	}
	return nil, errNoDetour
}

// pausedElsewhere means that an endpoint wants no request from the instance that was asked for a tunnel.
type pausedElsewhere struct{ left time.Duration }

func (p *pausedElsewhere) Error() string { return "the endpoint has asked the instance for a pause" }

// tunnelMAC authenticates a request for a tunnel.
func tunnelMAC(secret []byte, target, sentAt string) []byte {
	return gossip.Sign([]byte(tunnelPath+"\n"+target+"\n"+sentAt), secret)
}

// openTunnel asks the instance at addr for a connection to an endpoint.
func (p *peers) openTunnel(ctx context.Context, addr, target string) (net.Conn, error) {
	p.mu.Lock()
	secret := p.secret
	p.mu.Unlock()
	if secret == nil {
		return nil, errNoDetour
	}
	ctx, cancel := context.WithTimeout(ctx, tunnelTryTime)
	defer cancel()
	nc, err := p.dialPeer(ctx, addr)
	if err != nil {
		return nil, errors.Mark(errors.Newf("instance %s: %v", addr, err), errInstanceUnreached) // its refusal is not the endpoint's
	}
	stop := context.AfterFunc(ctx, func() { _ = nc.SetDeadline(time.Unix(1, 0)) })
	framed, err := requestTunnel(nc, secret, addr, target)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	tc, ok := nc.(*net.TCPConn)
	if err == nil && !ok {
		err = errors.Newf("instance %s: the connection is a %T", addr, nc)
	}
	if err != nil {
		_ = nc.Close()
		return nil, err
	}
	return &tunnelConn{TCPConn: tc, framed: framed}, nil
}

// requestTunnel makes a connection to another instance one to an endpoint, and reports whether the instance sends
// frames. One of a former build does not.
func requestTunnel(nc net.Conn, secret []byte, addr, target string) (framed bool, err error) {
	sentAt := strconv.FormatInt(time.Now().Unix(), 10)
	req := "POST " + tunnelPath + " HTTP/1.1\r\nHost: " + addr + "\r\n" +
		headerTarget + ": " + target + "\r\n" + headerSentAt + ": " + sentAt + "\r\n" +
		headerMAC + ": " + hex.EncodeToString(tunnelMAC(secret, target, sentAt)) + "\r\n" + headerFrames + ": 1\r\nContent-Length: 0\r\n\r\n"
	if _, err := io.WriteString(nc, req); err != nil {
		return false, errors.Wrap(err, "ask for a tunnel")
	}
	// Nothing follows the response before the endpoint has a request.
	head := responsehead.NewReader(io.LimitReader(nc, maxHeadBytes))
	br := bufio.NewReader(head)
	resp, err := head.ReadResponse(br, nil)
	if err != nil {
		return false, errors.Newf("ask for a tunnel: %v", err)
	}
	defer resp.Body.Close()
	switch {
	case resp.StatusCode == http.StatusOK && br.Buffered() == 0:
		return resp.Header.Get(headerFrames) != "", nil
	case resp.Header.Get(headerPaused) != "":
		ms, err := strconv.ParseInt(resp.Header.Get(headerPaused), 10, 64)
		if err != nil || ms <= 0 {
			return false, errors.Newf("instance %s: bad pause of the endpoint", addr)
		}
		return false, &pausedElsewhere{left: time.Duration(ms) * time.Millisecond}
	case resp.StatusCode == http.StatusNotFound:
		return false, errNoTunnels
	case resp.Header.Get(headerRefused) != "":
		return false, errors.Mark(errors.Newf("instance %s: the endpoint refuses connections", addr), syscall.ECONNREFUSED)
	}
	return false, errors.Newf("instance %s: no tunnel, status %d", addr, resp.StatusCode)
}

// serveTunnel connects another instance of the fleet, which cannot reach an endpoint, to it.
func (p *peers) serveTunnel(ctx *fasthttp.RequestCtx) {
	target, sentAt := string(ctx.Request.Header.Peek(headerTarget)), string(ctx.Request.Header.Peek(headerSentAt))
	if !p.allowsTunnel(time.Now(), target, sentAt, string(ctx.Request.Header.Peek(headerMAC))) {
		ctx.SetStatusCode(fasthttp.StatusForbidden)
		return
	}
	if p.s.upstream.paths.isDetoured(target) {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	ep := p.s.tunnelTarget(target) // nil also if the operator wants its data centre empty
	if p.tunnels.Add(1) > maxTunnels || p.s.draining.Load() || ep == nil {
		p.tunnels.Add(-1)
		ctx.SetStatusCode(fasthttp.StatusNotFound) // all builds take it for no evidence about the endpoint
		return
	}
	if left := p.s.admission.pausedFor(ep.Name); left > 0 {
		p.tunnels.Add(-1)
		ctx.Response.Header.Set(headerPaused, strconv.FormatInt(max(1, left.Milliseconds()), 10))
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	dialCtx, cancel := context.WithTimeout(context.Background(), tunnelDialTime)
	defer cancel()
	endpointConn, err := p.s.upstream.paths.direct(dialCtx, target)
	if err != nil {
		p.tunnels.Add(-1)
		if errors.Is(err, syscall.ECONNREFUSED) {
			ctx.Response.Header.Set(headerRefused, "1")
		}
		ctx.SetStatusCode(fasthttp.StatusBadGateway)
		return
	}
	p.s.setUserTimeout(endpointConn)
	caller := ctx.Conn()
	p.s.setUserTimeout(caller)
	framed := len(ctx.Request.Header.Peek(headerFrames)) > 0
	if framed {
		ctx.Response.Header.Set(headerFrames, "1")
	}
	ctx.Hijack(func(nc net.Conn) {
		defer p.tunnels.Add(-1)
		requests := &tunnelRequests{total: &p.tunnelRequests}
		defer requests.closed()
		responses, observed := io.Pipe()
		go p.s.upstream.observeResponses(responses, endpointRequest{endpoint: ep.Name, placedAt: ep.Incarnation, sender: "tunnel"}, requests.answered)
		joinConns(onRead{nc, requests.sent}, caller, endpointConn, onWrite{observed, requests.responds}, framed)
		_ = observed.Close()
	})
}

// allowsTunnel reports whether a request for a tunnel comes from an instance of the fleet.
func (p *peers) allowsTunnel(now time.Time, target, sentAt, mac string) bool {
	p.mu.Lock()
	secret := p.secret
	p.mu.Unlock()
	given, err := hex.DecodeString(mac)
	if secret == nil || err != nil || !hmac.Equal(given, tunnelMAC(secret, target, sentAt)) {
		return false
	}
	seconds, err := strconv.ParseInt(sentAt, 10, 64)
	return err == nil && now.Sub(time.Unix(seconds, 0)).Abs() <= tunnelClockSkew
}

// tunnelTarget returns the endpoint at an address which this instance may use, or nil.
func (s *Server) tunnelTarget(addr string) *config.Endpoint {
	if _, err := netip.ParseAddrPort(addr); err != nil {
		return nil
	}
	for _, ep := range s.state.Current().Endpoints {
		if ep.Addr == addr && !ep.Leaving && s.admission.recheck(placement.Send{Endpoint: ep.Name, NoWork: true}) != placement.Evacuated {
			return ep
		}
	}
	return nil
}

// observeResponses reads the responses that an endpoint sends through a tunnel. The endpoint knows only the
// instance that serves the tunnel, and means it with what it announces. It calls answered at the end of each response.
func (u *upstream) observeResponses(r io.Reader, req endpointRequest, answered func()) {
	limited := &io.LimitedReader{R: r}
	head := responsehead.NewReader(limited)
	br := bufio.NewReaderSize(head, tunnelBuffer)
	for {
		limited.N = maxHeadBytes
		resp, err := head.ReadResponse(br, nil)
		limited.N = math.MaxInt64
		if err != nil {
			_, _ = io.Copy(io.Discard, r) // the tunnel goes on
			return
		}
		if resp.StatusCode >= http.StatusOK {
			u.onAnnouncement(req, u.wire.ParseResponse(resp.StatusCode, resp.Header))
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			_, _ = io.Copy(io.Discard, r)
			return
		}
		if resp.StatusCode >= http.StatusOK {
			answered()
		}
	}
}

// joinConns passes on bytes between an instance and an endpoint until one of them closes. A reset is passed on
// as one, so that a response that breaks off does not look complete. Read is how the instance's connection
// is read; raw is the connection itself. What the endpoint sends is written to observer before it is passed on, in
// frames if the instance reads them.
func joinConns(read io.Reader, raw, endpoint net.Conn, observer io.Writer, framed bool) {
	var wg sync.WaitGroup
	pass := func(to io.Writer, r io.Reader) {
		// Without the kernel's splice, which needs pipes.
		_, err := io.CopyBuffer(struct{ io.Writer }{to}, struct{ io.Reader }{r}, make([]byte, tunnelBuffer))
		if f, ok := to.(*frameWriter); ok && err == nil {
			err = f.end()
		}
		for _, c := range []net.Conn{raw, endpoint} {
			if tc, ok := c.(interface{ SetLinger(int) error }); ok && err != nil {
				_ = tc.SetLinger(0)
			}
			_ = c.Close()
		}
	}
	var toInstance io.Writer = raw
	if framed {
		toInstance = newFrameWriter(raw)
	}
	wg.Go(func() { pass(endpoint, read) })
	wg.Go(func() { pass(toInstance, io.TeeReader(tcp.ResetReader{Conn: endpoint}, observer)) })
	wg.Wait()
}
