// Package front is the callers' HTTP interface: it parses requests, runs the filter
// chain and writes answers and errors.
package front

import (
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"carawayrouter.example/router/internal/tcp"
)

// listener gives every accepted connection a deadline on each write and a TCP user
// timeout, so that a caller that went silent cannot hold a request.
type listener struct {
	net.Listener
	writeTimeout time.Duration
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if sc, ok := socket(c); ok {
		_ = tcp.SetUserTimeout(sc, l.writeTimeout)
	}
	return &conn{Conn: c, writeTimeout: l.writeTimeout}, nil
}

// conn is a caller's connection.
type conn struct {
	net.Conn
	writeTimeout time.Duration
	linger       atomic.Bool // the caller is still sending a request that was refused
	begun        atomic.Bool // bytes of a request were read that is not handled yet
}

// Bounds of reading the rest of a refused request, so that the caller can read the
// refusal before its connection is reset.
const (
	lingerTime  = time.Second
	lingerBytes = 64 << 20
)

// Close implements net.Conn.
func (c *conn) Close() error {
	if !c.linger.Load() {
		return c.Conn.Close()
	}
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = w.CloseWrite()
	}
	_ = c.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes)
	return c.Conn.Close()
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.begun.Store(true)
	}
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// gone reports whether the caller has closed its side of the connection. Bytes
// that wait to be read do not count.
func (c *conn) gone() bool {
	sc, ok := socket(c.Conn)
	return ok && tcp.Peek(sc) == tcp.Closed
}

// socket returns the socket below wrapped connections.
func socket(c net.Conn) (syscall.Conn, bool) {
	for {
		if sc, ok := c.(syscall.Conn); ok {
			return sc, true
		}
		w, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return nil, false
		}
		c = w.NetConn()
	}
}
