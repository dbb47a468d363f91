package tcp

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

const (
	handshakeTime     = 100 * time.Millisecond // for a handshake to complete whose SYN was received
	queuePollInterval = 5 * time.Millisecond
)

// Listen listens for TCP connections at addr, without Multipath TCP, whose sockets take no
// filters; see StopListening.
func Listen(addr string) (net.Listener, error) {
	var c net.ListenConfig
	c.SetMultipathTCP(false)
	return c.Listen(context.Background(), "tcp", addr)
}

// StopListening refuses new connections at ln and returns once those already established have
// been accepted, or when ctx ends. The caller goes on accepting meanwhile and closes ln
// afterwards; ln was opened by Listen. Closing a listener resets the connections that were not accepted, and with them
// requests that their clients have sent. A client that connects meanwhile gets no answer to its
// SYN and is refused when it repeats it.
func StopListening(ctx context.Context, ln net.Listener) error {
	sc, ok := ln.(syscall.Conn)
	if !ok {
		return errors.Newf("%T gives no access to its socket", ln)
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return err
	}
	if err := dropSYNs(raw); err != nil {
		return err
	}
	for wait := handshakeTime; ; wait = queuePollInterval {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(wait):
		}
		if n, err := acceptQueue(raw); err != nil || n == 0 {
			return err
		}
	}
}

// dropSYNs makes the kernel drop the packets that would begin a new connection at a listening
// socket.
func dropSYNs(raw syscall.RawConn) error {
	const (
		flagsOffset = 13 // in the TCP header
		synFlag     = 0x02
		ackFlag     = 0x10
		acceptAll   = 0xffffffff // bytes of the packet to keep
	)
	program := []unix.SockFilter{
		{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: flagsOffset},
		{Code: unix.BPF_ALU | unix.BPF_AND | unix.BPF_K, K: synFlag | ackFlag},
		{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, K: synFlag, Jf: 1},
		{Code: unix.BPF_RET | unix.BPF_K, K: 0},
		{Code: unix.BPF_RET | unix.BPF_K, K: acceptAll},
	}
	var optErr error
	err := raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: uint16(len(program)), Filter: &program[0]})
	})
	if err != nil {
		return err
	}
	return errors.Wrap(optErr, "attach a socket filter")
}

// acceptQueue returns the number of established connections that wait to be accepted at a
// listening socket.
func acceptQueue(raw syscall.RawConn) (int, error) {
	var info *unix.TCPInfo
	var optErr error
	err := raw.Control(func(fd uintptr) {
		info, optErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if err != nil {
		return 0, err
	}
	if optErr != nil {
		return 0, errors.Wrap(optErr, "read the state of a listening socket")
	}
	return int(info.Unacked), nil // of a listening socket, the length of its accept queue
}
