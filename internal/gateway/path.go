package gateway

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

const (
	// pathSilence is how long nothing is heard from an endpoint that has a request before the way to it is
	// checked; many round trips, and within the latency targets.
	pathSilence       = 400 * time.Millisecond
	pathCheckInterval = time.Second // between two checks of the way to a silent endpoint
	// Between two attempts to reach an endpoint through another instance after one has failed: usually the
	// endpoint has ended.
	minDetourDelay = time.Second
	maxDetourDelay = 8 * time.Second
)

// paths decides how connections to endpoints are opened: directly, or through another instance. It answers
// an instance that is partitioned from all endpoints, while callers, the store and the other instances
// still reach it: its callers are served through the others.
//
// A detour is used only for endpoints to which no direct connection can be made while another instance can
// make one, and until a direct connection succeeds again.
type paths struct {
	direct Dial
	detour Dial              // through another instance; an endpoint that refuses there too gives ECONNREFUSED
	onCut  func(addr string) // called when connections to an address begin to take a detour
	onBack func(addr string) // called when they no longer do

	mu    sync.Mutex
	addrs map[string]*addrPath
}

// addrPath is what is known of the way to one address.
type addrPath struct {
	detoured  bool
	failure   error         // of the last attempt at a detour that failed
	failedAt  time.Time     // of that attempt
	delay     time.Duration // from then until the next one
	heardAt   time.Time     // of the last bytes from there
	checkedAt time.Time     // last check of the way because of silence
}

func newPaths(direct, detour Dial) *paths {
	return &paths{direct: direct, detour: detour, onCut: func(string) {}, onBack: func(string) {}, addrs: map[string]*addrPath{}}
}

// at returns the state of an address. The caller holds the lock.
func (p *paths) at(addr string) *addrPath {
	a := p.addrs[addr]
	if a == nil {
		a = &addrPath{}
		p.addrs[addr] = a
	}
	return a
}

// open opens a connection to an address, and reports whether it takes a detour. The error is that of the
// direct way, but a refusal that no other instance confirms is only a failure: the way may be cut.
func (p *paths) open(ctx context.Context, addr string) (nc net.Conn, detoured bool, err error) {
	if p.isDetoured(addr) {
		nc, err := p.openDetour(ctx, addr)
		if err == nil || errors.Is(err, errNotEligible) {
			return nc, true, err
		}
	}
	nc, err = p.openDirect(ctx, addr)
	if err == nil || ctx.Err() != nil {
		return nc, false, err
	}
	try, detourErr := p.mayTryDetour(time.Now(), addr)
	if try {
		if nc, detourErr = p.openDetour(ctx, addr); detourErr == nil {
			p.setDetoured(addr, true)
			return nc, true, nil
		}
		if errors.Is(detourErr, errNotEligible) {
			return nil, false, detourErr
		}
		p.detourFailed(time.Now(), addr, detourErr)
	}
	if errors.Is(err, syscall.ECONNREFUSED) && !errors.IsAny(detourErr, syscall.ECONNREFUSED, errNoDetour) {
		err = detourErr
	}
	return nil, false, err
}

// openDirect opens a direct connection.
func (p *paths) openDirect(ctx context.Context, addr string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	nc, err := p.direct(ctx, addr)
	if err == nil {
		p.setDetoured(addr, false)
	}
	return nc, err
}

func (p *paths) openDetour(ctx context.Context, addr string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, detourTimeout)
	defer cancel()
	return p.detour(ctx, addr)
}

// mayTryDetour reports whether it is time to try a detour to an address; if not, err is that of the
// last attempt.
func (p *paths) mayTryDetour(now time.Time, addr string) (try bool, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	a := p.at(addr)
	return now.Sub(a.failedAt) >= a.delay, a.failure
}

func (p *paths) detourFailed(now time.Time, addr string, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	a := p.at(addr)
	a.failure, a.failedAt, a.delay = err, now, min(maxDetourDelay, max(minDetourDelay, 2*a.delay))
	a.detoured = false
}

func (p *paths) isDetoured(addr string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	a := p.addrs[addr]
	return a != nil && a.detoured
}

// setDetoured records how an address is reached.
func (p *paths) setDetoured(addr string, detoured bool) {
	p.mu.Lock()
	a := p.at(addr)
	changed := a.detoured != detoured
	a.detoured, a.delay = detoured, 0
	p.mu.Unlock()
	switch {
	case changed && detoured:
		p.onCut(addr)
	case changed:
		p.onBack(addr)
	}
}

// detoured returns the addresses that are reached through other instances.
func (p *paths) detoured() (out []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, a := range p.addrs {
		if a.detoured {
			out = append(out, addr)
		}
	}
	return out
}

// keep drops what is known of addresses that are not in use.
func (p *paths) keep(inUse map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr := range p.addrs {
		if !inUse[addr] {
			delete(p.addrs, addr)
		}
	}
}

// heard records that bytes have arrived from an address.
func (p *paths) heard(now time.Time, addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.at(addr).heardAt = now
}

// needsCheck reports whether the direct way to an address, which has a request, has been silent for so long
// that it is checked now. With force it is, unless it was checked lately.
func (p *paths) needsCheck(now time.Time, addr string, force bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	a := p.at(addr)
	if a.detoured || now.Sub(a.checkedAt) < pathCheckInterval || !force && now.Sub(a.heardAt) < pathSilence {
		return false
	}
	a.checkedAt = now
	return true
}

// checkPath opens a connection to an address from which nothing is heard. If that works only through
// another instance, its further connections are opened so: those that are open may hang. A sound endpoint
// that says nothing for a time accepts connections.
func (u *upstream) checkPath(ctx context.Context, addr string, force bool) {
	if !u.paths.needsCheck(time.Now(), addr, force) {
		return
	}
	if c, err := u.dial(ctx, addr); err == nil {
		u.put(c)
	}
}

// dropIdle closes the idle connections to an address that were opened in another way than new ones are.
func (u *upstream) dropIdle(addr string, detoured bool) {
	var drop []*endpointConn
	u.mu.Lock()
	kept := u.idle[addr][:0]
	for _, c := range u.idle[addr] {
		if c.detoured == detoured {
			kept = append(kept, c)
		} else {
			drop = append(drop, c)
		}
	}
	u.idle[addr] = kept
	u.mu.Unlock()
	for _, c := range drop {
		_ = c.Close()
	}
}

// pathCut handles a cut of the direct way to an address: the ways to other endpoints may be cut too.
func (s *Server) pathCut(addr string) {
	s.log.Info("endpoint.detour", "addr", addr)
	s.upstream.dropIdle(addr, true)
	var others errgroup.Group
	others.SetLimit(probeConcurrency)
	go func() {
		for _, ep := range s.state.Current().Endpoints {
			if ep.Addr != addr && !ep.Leaving {
				others.Go(func() error {
					s.upstream.checkPath(context.Background(), ep.Addr, true)
					return nil
				})
			}
		}
		_ = others.Wait()
	}()
}

// pathBack handles the return of the direct way to an address.
func (s *Server) pathBack(addr string) {
	s.log.Info("endpoint.direct", "addr", addr)
	s.upstream.dropIdle(addr, false)
}

// probePaths tries the direct ways to the endpoints that are reached through other instances.
func (s *Server) probePaths(ctx context.Context) {
	var g errgroup.Group
	g.SetLimit(probeConcurrency)
	for _, addr := range s.upstream.paths.detoured() {
		g.Go(func() error {
			if nc, err := s.upstream.paths.openDirect(ctx, addr); err == nil {
				s.upstream.put(s.upstream.newConn(nc, addr, false))
			}
			return nil
		})
	}
	_ = g.Wait()
}

// newConn returns an open connection to an endpoint's address.
func (u *upstream) newConn(nc net.Conn, addr string, detoured bool) *endpointConn {
	u.onOpen(nc)
	c := &endpointConn{Conn: nc, addr: addr, detoured: detoured, openedAt: time.Now(), idleTTL: defaultIdleTTL}
	c.setReader(func() { u.paths.heard(time.Now(), addr) })
	return c
}
