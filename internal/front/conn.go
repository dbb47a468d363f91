// Package front is the HTTP server for callers: it parses requests, runs the filter chain
// and writes responses and errors.
package front

import (
	"io"
	"net"
	"sync/atomic"
	"time"

	"carawayrouter.example/router/internal/tcp"
)

// listener sets a deadline on each write and a TCP user timeout on every accepted
// connection, so that an unresponsive caller cannot block a request.
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
	if sc, ok := tcp.Socket(c); ok {
		_ = tcp.SetUserTimeout(sc, l.writeTimeout)
	}
	return &conn{Conn: c, writeTimeout: l.writeTimeout}, nil
}

// conn is a caller's connection.
type conn struct {
	net.Conn
	writeTimeout   time.Duration
	lingerOnClose  atomic.Bool // the caller may still be sending a refused request
	requestPending atomic.Bool // part of a request has been read and not handled yet
}

// Limits for reading the rest of a refused request before closing. Closing with unread data
// resets the connection, and the caller could lose the response.
const (
	lingerTimeout  = time.Second
	maxLingerBytes = 64 << 20
)

// Close implements net.Conn.
func (c *conn) Close() error {
	if !c.lingerOnClose.Load() {
		return c.Conn.Close()
	}
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = w.CloseWrite()
	}
	_ = c.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.CopyN(io.Discard, c.Conn, maxLingerBytes)
	return c.Conn.Close()
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.requestPending.Store(true)
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

// closedByPeer reports whether the caller has closed its side of the connection. Unread
// data does not count as closed.
func (c *conn) closedByPeer() bool {
	sc, ok := tcp.Socket(c.Conn)
	return ok && tcp.Peek(sc) == tcp.Closed
}
