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

// An idle connection is closed without a response, which the caller could take for the
// response to a request in transit. A connection that stalls in the middle of a request
// gets an error response.
func TestIdleTimeoutSendsNoResponse(t *testing.T) {
	s := New(Options{
		Clock: clock.Real{}, Log: logr.Discard(), Metrics: metrics.New(), MaxConnections: 4,
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

// A request on a keep-alive connection that arrives as a drain ends is refused with execution
// not_run. Closing the connection instead resets the request, which once made
// fleet.TestPromisesUnderFaults/instance_drained fail.
func TestDrainRefusesOnKeepAliveConnections(t *testing.T) {
	s := New(Options{
		Clock: clock.Real{}, Log: logr.Discard(), Metrics: metrics.New(), MaxConnections: 4,
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
	sendRequest := func() *http.Response {
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

	drained := make(chan struct{})
	go func() {
		defer close(drained)
		s.Drain(context.Background())
		_ = s.Close()
	}()
	for !s.draining.Load() {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(5 * drainPollInterval) // without connDrainDelay the connection would be closed by now
	r = sendRequest()
	assert.Equal(t, r.StatusCode, http.StatusServiceUnavailable)
	assert.Assert(t, r.Close)
	<-drained
}

// emptyConfig is a config.Source that has no configuration yet.
type emptyConfig struct{}

// Current implements config.Source.
func (emptyConfig) Current() *config.State { return config.Empty() }

// Age implements config.Source.
func (emptyConfig) Age() time.Duration { return 0 }
