// Package tcp does with TCP sockets what the standard library lacks.
package tcp

import (
	"syscall"
	"time"
)

// userTimeout is TCP_USER_TIMEOUT of Linux, which package syscall lacks.
const tcpUserTimeout = 18

// SetUserTimeout lets the kernel end a connection whose bytes are not acknowledged for d.
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

// State is what the other end of a connection has done since the last read.
type State int

// The states.
const (
	Idle     State = iota // nothing
	Readable              // bytes wait to be read
	Closed                // its side is closed, or the connection is broken
)

// Peek looks at a connection without reading from it.
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
