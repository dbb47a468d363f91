package rpc

import (
	"net"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	keepAliveIdle     = 5 * time.Second
	keepAliveInterval = 2 * time.Second
	keepAliveCount    = 3

	// tcpUserTimeout is the Linux socket option TCP_USER_TIMEOUT (milliseconds).
	tcpUserTimeout = 0x12
)

// setSocketOptions enables keepalive and TCP_USER_TIMEOUT, so that the kernel detects a
// dead connection.
func setSocketOptions(c net.Conn, userTimeout time.Duration) {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return
	}
	_ = tcp.SetKeepAliveConfig(net.KeepAliveConfig{
		Enable:   true,
		Idle:     keepAliveIdle,
		Interval: keepAliveInterval,
		Count:    keepAliveCount,
	})
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout.Milliseconds()))
	})
}

// Traffic counts the bytes transferred over connections, including TLS overhead.
type Traffic struct{ BytesIn, BytesOut atomic.Int64 }

// instrumentedConn counts the bytes of one connection and injects link faults.
type instrumentedConn struct {
	net.Conn
	traffic   *Traffic
	linkState func() LinkState // nil without fault injection
	silent    atomic.Bool      // stays set once any byte was dropped
	lastRead  atomic.Int64     // Unix time in nanoseconds; 0 before the first byte
}

func (c *instrumentedConn) state() LinkState {
	if c.silent.Load() {
		return LinkSilent
	}
	if c.linkState == nil {
		return LinkOK
	}
	return c.linkState()
}

// Read implements net.Conn. It drops bytes received over a silent link.
func (c *instrumentedConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil {
			return n, err
		}
		switch c.state() {
		case LinkRefused:
			_ = c.Conn.Close()
			return 0, syscall.ECONNRESET
		case LinkSilent:
			c.silent.Store(true)
			continue
		}
		c.lastRead.Store(time.Now().UnixNano())
		c.traffic.BytesIn.Add(int64(n))
		return n, nil
	}
}

// Write implements net.Conn. It drops bytes written to a silent link and reports success.
func (c *instrumentedConn) Write(b []byte) (int, error) {
	switch c.state() {
	case LinkRefused:
		_ = c.Conn.Close()
		return 0, syscall.ECONNRESET
	case LinkSilent:
		c.silent.Store(true)
		return len(b), nil
	}
	n, err := c.Conn.Write(b)
	c.traffic.BytesOut.Add(int64(n))
	return n, err
}
