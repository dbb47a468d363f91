// Package tcp provides operations on TCP sockets that the standard library lacks.
package tcp

import (
	"io"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// tcpUserTimeout is the Linux socket option TCP_USER_TIMEOUT, which package syscall lacks.
const tcpUserTimeout = 18

// SetUserTimeout makes the kernel close a connection if sent data is not acknowledged for d.
func SetUserTimeout(c syscall.Conn, d time.Duration) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	var optErr error
	err = raw.Control(func(fd uintptr) {
		optErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(d.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optErr
}

// State is the state of a connection as returned by Peek.
type State int

// The states.
const (
	Idle     State = iota // open, without unread data
	Readable              // received data that has not been read
	Closed                // closed by the remote side, or broken
)

// Peek returns the state of a connection without consuming data from it.
func Peek(c syscall.Conn) State {
	raw, err := c.SyscallConn()
	if err != nil {
		return Closed
	}
	state := Closed
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case err == syscall.EAGAIN || err == syscall.EINTR:
			state = Idle
		case err == nil && n > 0:
			state = Readable
		}
	})
	if err != nil {
		return Closed
	}
	return state
}

// ClosedByPeer reports whether the remote side of a connection has closed it, and not reset it. A read gives io.EOF after a
// reset too, if a write at the same time has taken the connection's error.
func ClosedByPeer(c syscall.Conn) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		closed = err == nil && info.State == unix.BPF_TCP_CLOSE_WAIT
	})
	return err == nil && closed
}

// Socket unwraps c to the connection that gives access to its socket.
func Socket(c net.Conn) (syscall.Conn, bool) {
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

// ResetReader reads a connection that is written to at the same time. A write may take the error that a reset leaves, and the
// connection then reads as if it had been closed.
type ResetReader struct{ net.Conn }

// Read implements net.Conn.
func (r ResetReader) Read(b []byte) (int, error) {
	n, err := r.Conn.Read(b)
	if err == io.EOF {
		if sc, ok := Socket(r.Conn); ok && !ClosedByPeer(sc) {
			err = syscall.ECONNRESET
		}
	}
	return n, err
}
