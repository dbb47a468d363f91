package host

import (
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// silentTimeout is the time after which reads and writes on a silent connection fail.
const silentTimeout = 30 * time.Second

// errSilenced is returned by reads and writes on a silent connection after silentTimeout.
var errSilenced = errors.New("connection was silent for too long")

// listener keeps track of the connections that it accepted.
type listener struct {
	net.Listener

	mu    sync.Mutex
	conns map[*conn]struct{}
}

// newListener returns a listener that wraps ln.
func newListener(ln net.Listener) *listener {
	return &listener{Listener: ln, conns: map[*conn]struct{}{}}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	w := &conn{Conn: c, listener: l, silent: make(chan struct{}), closed: make(chan struct{})}
	l.mu.Lock()
	l.conns[w] = struct{}{}
	l.mu.Unlock()
	return w, nil
}

// silence makes all open connections silent until they are closed.
func (l *listener) silence() {
	for _, c := range l.openConns() {
		c.silenceOnce.Do(func() { close(c.silent) })
	}
}

// drop closes all open connections.
func (l *listener) drop() {
	for _, c := range l.openConns() {
		_ = c.Close()
	}
}

func (l *listener) openConns() []*conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := make([]*conn, 0, len(l.conns))
	for c := range l.conns {
		list = append(list, c)
	}
	return list
}

// conn is one accepted connection.
type conn struct {
	net.Conn
	listener    *listener
	silent      chan struct{}
	closed      chan struct{}
	silenceOnce sync.Once
	closeOnce   sync.Once
}

// Read implements net.Conn. It discards data that arrives on a silent connection.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	select {
	case <-c.silent:
		return 0, c.waitClosed()
	default:
		return n, err
	}
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	select {
	case <-c.silent:
		return 0, c.waitClosed()
	default:
		return c.Conn.Write(b)
	}
}

// waitClosed blocks until the connection is closed at this end or silentTimeout has passed.
func (c *conn) waitClosed() error {
	select {
	case <-c.closed:
		return net.ErrClosed
	case <-time.After(silentTimeout):
		return errSilenced
	}
}

// Close implements net.Conn. Reads and writes on a silent connection block, so that the
// server does not close it, and its peer notices nothing, before silentTimeout.
func (c *conn) Close() error {
	var err error
	c.closeOnce.Do(func() {
		close(c.closed)
		c.listener.mu.Lock()
		delete(c.listener.conns, c)
		c.listener.mu.Unlock()
		err = c.Conn.Close()
	})
	return err
}
