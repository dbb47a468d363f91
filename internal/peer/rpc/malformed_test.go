package rpc

import (
	"io"
	"math/rand/v2"
	"net"
	"os"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

// malformedInputs returns byte strings generated from a fixed seed: random bytes, half of
// them after a valid gob length prefix.
func malformedInputs() [][]byte {
	r := rand.New(rand.NewPCG(1, 2))
	list := [][]byte{nil, []byte("GET / HTTP/1.1\r\n\r\n"), {0x03, 0xff, 0xff, 0xff}}
	for n := range 60 {
		b := make([]byte, 1+r.IntN(4096))
		for i := range b {
			b[i] = byte(r.Uint32())
		}
		if n%2 == 0 {
			b = append([]byte{0xfe, byte(len(b) >> 8), byte(len(b))}, b...) // gob length prefix
		}
		list = append(list, b)
	}
	return list
}

// TestMalformedInputAffectsNoOtherConnection sends malformed input on separate connections
// and checks that calls on a valid connection succeed and that the server closes the others.
func TestMalformedInputAffectsNoOtherConnection(t *testing.T) {
	_, _, client, addr := startServerAndClient(t, Options{MaxMessageBytes: 1 << 16}, Options{})
	for _, b := range malformedInputs() {
		conn, err := net.Dial("tcp", addr)
		assert.NilError(t, err)
		_, _ = conn.Write(b)
		out, err := call(client, addr, "Echo.Say", "still here", true)
		assert.NilError(t, err)
		assert.Equal(t, out, "still here")
		_ = conn.(*net.TCPConn).CloseWrite()
		_ = conn.SetReadDeadline(time.Now().Add(time.Minute))
		_, err = io.Copy(io.Discard, conn)
		assert.Assert(t, !errors.Is(err, os.ErrDeadlineExceeded), "the server kept the connection open")
		assert.NilError(t, conn.Close())
	}
}
