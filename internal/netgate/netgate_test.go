package netgate

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

// startEchoServer starts an echo server on a loopback address and returns the address.
func startEchoServer(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				b := make([]byte, 16)
				for {
					n, err := c.Read(b)
					if err != nil {
						return
					}
					_, _ = c.Write(b[:n])
				}
			}()
		}
	}()
	return ln.Addr().String()
}

func dial(t *testing.T, g *Gate, addr string) net.Conn {
	t.Helper()
	c, err := g.DialContext(context.Background(), "tcp", addr)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

func TestKillClosesAndRefusesConnections(t *testing.T) {
	g := New(nil)
	addr := startEchoServer(t)
	c := dial(t, g, addr)
	g.Kill()
	_, err := c.Read(make([]byte, 1))
	assert.Assert(t, err != nil)
	_, err = g.DialContext(context.Background(), "tcp", addr)
	assert.Assert(t, errors.Is(err, ErrKilled))
}

func TestCutConnectionStaysSilentAfterHealing(t *testing.T) {
	var cut atomic.Bool
	g := New(func(string) bool { return cut.Load() })
	addr := startEchoServer(t)
	old := dial(t, g, addr)
	cut.Store(true)
	_, err := old.Write([]byte("a"))
	assert.NilError(t, err)
	cut.Store(false)
	_, _ = old.Write([]byte("b"))
	_ = old.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	_, err = old.Read(make([]byte, 1))
	assert.Assert(t, isTimeout(err))

	fresh := dial(t, g, addr)
	_, err = fresh.Write([]byte("c"))
	assert.NilError(t, err)
	b := make([]byte, 1)
	_, err = fresh.Read(b)
	assert.NilError(t, err)
	assert.Equal(t, string(b), "c")
}

func TestPauseBlocksWritesUntilResume(t *testing.T) {
	g := New(nil)
	c := dial(t, g, startEchoServer(t))
	g.Pause()
	written := make(chan struct{})
	go func() {
		_, _ = c.Write([]byte("x"))
		close(written)
	}()
	select {
	case <-written:
		t.Fatal("write was not blocked while the gate was paused")
	case <-time.After(50 * time.Millisecond):
	}
	g.Resume()
	<-written
	b := make([]byte, 1)
	_, err := c.Read(b)
	assert.NilError(t, err)
	assert.Equal(t, string(b), "x")
}
