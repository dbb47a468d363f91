// Package tcp sets options of TCP sockets that the standard library lacks.
package tcp

import (
	"syscall"
	"time"
)

// userTimeout is TCP_USER_TIMEOUT of Linux, which package syscall lacks.
const userTimeout = 18

// SetUserTimeout lets the kernel end a connection whose bytes are not acknowledged for d.
func SetUserTimeout(c syscall.Conn, d time.Duration) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	var inner error
	err = raw.Control(func(fd uintptr) {
		inner = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, userTimeout, int(d.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return inner
}
