package front

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"carawayrouter.example/router/internal/clock"
	"carawayrouter.example/router/internal/config"
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

// A request on a kept connection that crosses the end of a drain is refused with the word
// that it did not run, not reset (fleet.TestPromisesUnderFaults/instance_drained failed
// once by such a reset).
func TestDrainRefusesOnKeptConnections(t *testing.T) {
	s := New(Options{
		Clock: clock.Real{}, Log: logr.Discard(), Metrics: metrics.New(), Connections: 4,
		ReadTimeout: time.Minute, IdleTimeout: time.Minute, WriteTimeout: time.Second,
		Config: emptyConfig{},
	})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = s.Serve(ln) }()
	c, err := net.Dial("tcp", ln.Addr().String())
	assert.NilError(t, err)
	defer c.Close()
	br := bufio.NewReader(c)
	ask := func() *http.Response {
		_, err := io.WriteString(c, "GET /x HTTP/1.1\r\nHost: a\r\n\r\n")
		assert.NilError(t, err)
		r, err := http.ReadResponse(br, nil)
		assert.NilError(t, err)
		_, err = io.Copy(io.Discard, r.Body)
		assert.NilError(t, err)
		return r
	}
	_, err = io.WriteString(c, "GET "+healthPath+" HTTP/1.1\r\nHost: a\r\n\r\n")
	assert.NilError(t, err)
	r, err := http.ReadResponse(br, nil)
	assert.NilError(t, err)
	_, err = io.Copy(io.Discard, r.Body)
	assert.NilError(t, err)

	ended := make(chan struct{})
	go func() {
		defer close(ended)
		s.Drain(context.Background())
		_ = s.Close()
	}()
	for !s.draining.Load() {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(5 * drainPoll) // a drain without the linger has closed the connection by now
	r = ask()
	assert.Equal(t, r.StatusCode, http.StatusServiceUnavailable)
	assert.Assert(t, r.Close)
	<-ended
}

// emptyConfig is a source without a configuration.
type emptyConfig struct{}

// Current implements config.Source.
func (emptyConfig) Current() *config.State { return config.Empty() }

// Age implements config.Source.
func (emptyConfig) Age() time.Duration { return 0 }
