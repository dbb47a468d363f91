package tcp

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Connections that were made before the listener stopped are accepted with the data that their
// clients have sent; later ones are refused.
func TestStopListening(t *testing.T) {
	ln, err := Listen("127.0.0.1:0")
	assert.NilError(t, err)
	const queued = 3
	var clients []net.Conn
	for range queued {
		c, err := net.Dial("tcp", ln.Addr().String())
		assert.NilError(t, err)
		defer c.Close()
		_, err = io.WriteString(c, "request")
		assert.NilError(t, err)
		clients = append(clients, c)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	stopped := make(chan error, 1)
	go func() { stopped <- StopListening(ctx, ln) }()
	select {
	case err := <-stopped:
		t.Fatalf("stopped with %d connections in the queue: %v", queued, err)
	case <-time.After(2 * handshakeTime):
	}
	late := make(chan error, 1)
	go func() {
		_, err := net.Dial("tcp", ln.Addr().String())
		late <- err
	}()
	for range queued {
		c, err := ln.Accept()
		assert.NilError(t, err)
		_, err = io.ReadFull(c, make([]byte, len("request")))
		assert.NilError(t, err)
		_, err = io.WriteString(c, "answer")
		assert.NilError(t, err)
		assert.NilError(t, c.Close())
	}
	assert.NilError(t, <-stopped)
	assert.NilError(t, ln.Close())
	for _, c := range clients {
		got, err := io.ReadAll(c)
		assert.NilError(t, err)
		assert.Equal(t, string(got), "answer")
	}
	err = <-late
	assert.Assert(t, errors.Is(err, syscall.ECONNREFUSED), "got %v", err)
}

// StopListening returns when its context ends although a connection waits to be accepted.
func TestStopListeningEndsWithItsContext(t *testing.T) {
	ln, err := Listen("127.0.0.1:0")
	assert.NilError(t, err)
	defer ln.Close()
	c, err := net.Dial("tcp", ln.Addr().String())
	assert.NilError(t, err)
	defer c.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 2*handshakeTime)
	defer cancel()
	assert.Assert(t, errors.Is(StopListening(ctx, ln), context.DeadlineExceeded))
}
