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
	"carawayrouter.example/router/internal/tcp"
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

// slowListener holds connections in the accept queue until accept is closed.
type slowListener struct {
	*net.TCPListener
	accept chan struct{}
}

// Accept implements net.Listener.
func (l slowListener) Accept() (net.Conn, error) {
	<-l.accept
	return l.TCPListener.Accept()
}

// A request on a connection that was established but not accepted when a drain ends is refused
// with execution not_run. Closing the listener would reset it.
func TestDrainAcceptsEstablishedConnections(t *testing.T) {
	s := New(Options{
		Clock: clock.Real{}, Log: logr.Discard(), Metrics: metrics.New(), MaxConnections: 4,
		ReadTimeout: time.Minute, IdleTimeout: time.Minute, WriteTimeout: time.Second,
		Config: emptyConfig{},
	})
	tl, err := tcp.Listen("127.0.0.1:0")
	assert.NilError(t, err)
	ln := slowListener{tl.(*net.TCPListener), make(chan struct{})}
	go func() { _ = s.Serve(ln) }()
	c, err := net.Dial("tcp", ln.Addr().String())
	assert.NilError(t, err)
	defer c.Close()
	_, err = io.WriteString(c, "GET /x HTTP/1.1\r\nHost: a\r\n\r\n")
	assert.NilError(t, err)
	for s.listener.Load() == nil {
		time.Sleep(time.Millisecond)
	}
	drained := make(chan struct{})
	go func() {
		defer close(drained)
		s.Drain(context.Background())
		_ = s.Close()
	}()
	time.AfterFunc(5*drainPollInterval, func() { close(ln.accept) })
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
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
