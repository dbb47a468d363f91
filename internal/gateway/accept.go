package gateway

import (
	"container/list"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"carawayrouter.example/router/internal/tcp"
)

const (
	minAcceptDelay = 5 * time.Millisecond // after an error of Accept; doubled with each further one
	maxAcceptDelay = 100 * time.Millisecond
	// yieldedConns is how many idle connections of callers are closed when the descriptors have run out.
	yieldedConns = 16
	// callerConnRatio is the part of the process's descriptors for callers' connections while some of them are idle. The
	// rest is for files and for the connections to endpoints, other instances, the store and the platform.
	callerConnRatio = 0.75
)

// steadyListener is a listener whose Accept fails only once it is closed. A server that ends with an error of Accept,
// such as one for want of descriptors, would never serve again.
type steadyListener struct {
	net.Listener
	s    *Server
	name string
}

// Accept implements net.Listener.
func (l *steadyListener) Accept() (net.Conn, error) {
	delay := minAcceptDelay
	for failures := 0; ; failures++ {
		nc, err := l.Listener.Accept()
		if err == nil {
			if failures > 0 {
				l.s.log.Info("listener.regained", "listener", l.name, "failures", failures)
			}
			return nc, nil
		}
		if errors.Is(err, net.ErrClosed) {
			return nil, err
		}
		l.s.stats.acceptFailures.Inc()
		if failures == 0 {
			l.s.log.Info("listener.failed", "listener", l.name, "cause", err.Error())
		}
		if errors.IsAny(err, syscall.EMFILE, syscall.ENFILE) {
			l.s.callers.yield(yieldedConns)
		}
		time.Sleep(delay)
		delay = min(maxAcceptDelay, 2*delay)
	}
}

// listen opens a listener that is served until the process ends.
func (s *Server) listen(name, addr string) (*steadyListener, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, errors.Wrapf(err, "listen for %s", name)
	}
	l := &steadyListener{Listener: ln, s: s, name: name}
	s.listenMu.Lock()
	defer s.listenMu.Unlock()
	s.listeners = append(s.listeners, l)
	return l, nil
}

func (s *Server) closeListeners() {
	s.listenMu.Lock()
	defer s.listenMu.Unlock()
	for _, l := range s.listeners {
		_ = l.Close()
	}
}

// serveForever serves a listener. Its end is an error, which ends the process, so that the platform starts it again.
func (l *steadyListener) serveForever(serve func(net.Listener) error) func() error {
	return func() error {
		err := serve(l)
		return errors.Newf("the listener for %s has ended: %v", l.name, err)
	}
}

// callerConns are the connections of callers. Beyond a bound, those that have been idle for longest are closed.
type callerConns struct {
	max      int
	onYield  func(n int)
	mu       sync.Mutex
	n        int
	idle     *list.List // of *callerConn, longest idle first
	elements map[*callerConn]*list.Element
}

func newCallerConns() *callerConns {
	c := &callerConns{idle: list.New(), elements: map[*callerConn]*list.Element{}, onYield: func(int) {}}
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err == nil {
		c.max = int(callerConnRatio * float64(min(limit.Cur, 1<<20)))
	}
	return c
}

// add counts a new connection, and closes idle ones if there are too many.
func (c *callerConns) add() {
	c.mu.Lock()
	c.n++
	excess := c.n - c.max
	c.mu.Unlock()
	if c.max > 0 && excess > 0 {
		c.yield(1)
	}
}

func (c *callerConns) remove() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.n--
}

// setIdle records that a connection waits for a request.
func (c *callerConns) setIdle(conn *callerConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.elements[conn] = c.idle.PushBack(conn)
}

// setBusy records that a connection does not wait for a request any more.
func (c *callerConns) setBusy(conn *callerConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e := c.elements[conn]; e != nil {
		c.idle.Remove(e)
		delete(c.elements, conn)
	}
}

// yield closes up to n idle connections, the longest idle first. One on which a request has arrived is kept.
func (c *callerConns) yield(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	closed := 0
	for e := c.idle.Front(); e != nil && closed < n; {
		conn, next := e.Value.(*callerConn), e.Next()
		if sc, ok := conn.nc.(syscall.Conn); !ok || tcp.Peek(sc) != tcp.Readable {
			c.idle.Remove(e)
			delete(c.elements, conn)
			_ = conn.nc.Close()
			closed++
		}
		e = next
	}
	c.onYield(closed)
}
