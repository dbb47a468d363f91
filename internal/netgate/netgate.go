// Package netgate injects network faults into the connections of a daemon: its network can
// be killed or paused, and links to specific addresses can be cut. Deployments that run
// several instances in one process use it to simulate the failure of a single process.
package netgate

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrKilled is returned by the network operations of a daemon after Kill.
var ErrKilled = errors.New("network of the instance was killed")

// Gate controls the network connections of one daemon. It is safe for concurrent use.
type Gate struct {
	linkCut func(addr string) bool // reports whether the link to addr is cut; may be nil

	mu      sync.Mutex
	resumed sync.Cond // broadcast when a pause ends
	paused  bool
	killed  bool
	conns   map[*gatedConn]struct{}

	traffic counters
}

// counters counts the traffic through a gate.
type counters struct{ bytesIn, bytesOut, writes atomic.Uint64 }

// Traffic is the traffic through a gate since it was created.
type Traffic struct {
	BytesIn  uint64
	BytesOut uint64
	Writes   uint64 // write calls on connections; each message is one write
}

// Traffic returns the traffic so far.
func (g *Gate) Traffic() Traffic {
	return Traffic{g.traffic.bytesIn.Load(), g.traffic.bytesOut.Load(), g.traffic.writes.Load()}
}

// New returns a Gate that is not paused. linkCut reports whether the link to an address is
// currently cut. It may be nil.
func New(linkCut func(addr string) bool) *Gate {
	g := &Gate{linkCut: linkCut, conns: map[*gatedConn]struct{}{}}
	g.resumed.L = &g.mu
	return g
}

// Kill resets all connections immediately and permanently refuses new ones.
func (g *Gate) Kill() {
	g.mu.Lock()
	g.killed = true
	g.paused = false
	conns := g.conns
	g.conns = map[*gatedConn]struct{}{}
	g.resumed.Broadcast()
	g.mu.Unlock()
	for c := range conns {
		if t, ok := c.Conn.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Conn.Close()
	}
}

// Pause blocks all reads, writes and dials until Resume or Kill.
func (g *Gate) Pause() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.paused = true
}

// Resume ends a pause.
func (g *Gate) Resume() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.paused = false
	g.resumed.Broadcast()
}

// Paused reports whether the gate is paused.
func (g *Gate) Paused() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.paused
}

// waitWhilePaused waits while the gate is paused and returns ErrKilled once it is killed.
func (g *Gate) waitWhilePaused() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	for g.paused && !g.killed {
		g.resumed.Wait()
	}
	if g.killed {
		return ErrKilled
	}
	return nil
}

func (g *Gate) isLinkCut(addr string) bool { return addr != "" && g.linkCut != nil && g.linkCut(addr) }

// DialContext connects like net.Dialer.DialContext. If the link is cut, it blocks until ctx
// ends.
func (g *Gate) DialContext(ctx context.Context, network, addr string) (net.Conn, error) {
	if err := g.waitWhilePaused(); err != nil {
		return nil, err
	}
	if g.isLinkCut(addr) {
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Net: network, Err: ctx.Err()}
	}
	var d net.Dialer
	c, err := d.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return g.track(c, addr)
}

// Listener returns a listener that subjects the connections accepted by ln to the gate.
func (g *Gate) Listener(ln net.Listener) net.Listener { return &listener{Listener: ln, gate: g} }

func (g *Gate) track(c net.Conn, remote string) (net.Conn, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.killed {
		_ = c.Close()
		return nil, ErrKilled
	}
	gc := &gatedConn{Conn: c, gate: g, remote: remote}
	g.conns[gc] = struct{}{}
	return gc, nil
}

type listener struct {
	net.Listener
	gate *Gate
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		gc, err := l.gate.track(c, "")
		if err == nil {
			return gc, nil
		}
	}
}

// SyscallConn implements syscall.Conn.
func (l *listener) SyscallConn() (syscall.RawConn, error) {
	sc, ok := l.Listener.(syscall.Conn)
	if !ok {
		return nil, errors.Newf("%T gives no access to its socket", l.Listener)
	}
	return sc.SyscallConn()
}

// gatedConn is a connection controlled by a gate. After it was used over a cut link, it
// drops all traffic permanently, like a connection whose state was lost in the network.
type gatedConn struct {
	net.Conn
	gate   *Gate
	remote string // dialled address; empty for accepted connections

	mu     sync.Mutex
	silent bool
}

// NetConn returns the underlying connection.
func (c *gatedConn) NetConn() net.Conn { return c.Conn }

// dropsBytes reports whether bytes that are read or written now must be dropped.
func (c *gatedConn) dropsBytes() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.silent && c.gate.isLinkCut(c.remote) {
		c.silent = true
	}
	return c.silent
}

// Read implements net.Conn.
func (c *gatedConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		c.gate.traffic.bytesIn.Add(uint64(n))
		if gateErr := c.gate.waitWhilePaused(); gateErr != nil {
			return 0, gateErr
		}
		if !c.dropsBytes() {
			return n, err
		}
		if err != nil && errors.Is(err, net.ErrClosed) || isTimeout(err) {
			return 0, err
		}
		if err != nil {
			// The end of the stream must not be visible either.
			time.Sleep(silentPollInterval)
		}
	}
}

// silentPollInterval is the interval at which a read on a silent connection checks whether
// its deadline has passed or the connection was closed.
const silentPollInterval = 20 * time.Millisecond

func isTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}

// Write implements net.Conn.
func (c *gatedConn) Write(b []byte) (int, error) {
	if err := c.gate.waitWhilePaused(); err != nil {
		return 0, err
	}
	if c.dropsBytes() {
		return len(b), nil
	}
	n, err := c.Conn.Write(b)
	c.gate.traffic.bytesOut.Add(uint64(n))
	c.gate.traffic.writes.Add(1)
	return n, err
}

// CloseWrite shuts down the writing side of the connection.
func (c *gatedConn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *gatedConn) Close() error {
	c.gate.mu.Lock()
	delete(c.gate.conns, c)
	c.gate.mu.Unlock()
	return c.Conn.Close()
}
