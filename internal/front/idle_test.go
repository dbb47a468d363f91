package front

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"carawayrouter.example/router/internal/clock"
	"carawayrouter.example/router/internal/metrics"
)

// An idle connection ends without an answer that could be taken for that to a
// request on its way; one that stopped in the middle of a request gets its refusal.
func TestIdleConnectionEndsSilently(t *testing.T) {
	s := New(Options{
		Clock: clock.Real{}, Log: logr.Discard(), Metrics: metrics.New(), Connections: 4,
		ReadTimeout: 100 * time.Millisecond, IdleTimeout: 100 * time.Millisecond, WriteTimeout: time.Second,
	})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = s.Serve(ln) }()
	t.Cleanup(func() { _ = s.Close() })
	for sent, answered := range map[string]bool{"": false, "GET / HTTP/1.1\r\nX-Slow: ": true} {
		c, err := net.Dial("tcp", ln.Addr().String())
		assert.NilError(t, err)
		_, err = c.Write([]byte(sent))
		assert.NilError(t, err)
		_ = c.SetReadDeadline(time.Now().Add(time.Minute))
		got, err := io.ReadAll(c)
		assert.NilError(t, err)
		assert.Equal(t, len(got) > 0, answered, "sent %q, got %q", sent, got)
		_ = c.Close()
	}
}
