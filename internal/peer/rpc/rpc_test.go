package rpc

import (
	"context"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"carawayrouter.example/router/internal/peer"
)

// Echo is an RPC service for tests.
type Echo struct {
	runs  atomic.Int64
	block chan struct{}
}

func (e *Echo) Say(in string, out *string) error {
	e.runs.Add(1)
	if in == "fail" {
		return errors.New("told to fail")
	}
	*out = in
	return nil
}

func (e *Echo) Wait(in string, out *string) error {
	e.runs.Add(1)
	<-e.block
	*out = in
	return nil
}

func startServerAndClient(t *testing.T, server, client Options) (*Echo, *Server, *Client, string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	echo := &Echo{block: make(chan struct{})}
	s := NewServer(server)
	assert.NilError(t, s.Register("Echo", echo))
	served := make(chan error, 1)
	go func() { served <- s.Serve(ln) }()
	c := NewClient(client)
	t.Cleanup(func() {
		close(echo.block)
		assert.NilError(t, c.Close())
		assert.NilError(t, s.Close())
		assert.NilError(t, <-served)
	})
	return echo, s, c, ln.Addr().String()
}

// call uses a deadline that expires only if no reply arrives.
func call(c *Client, addr, method, in string, idempotent bool) (out string, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	if idempotent {
		ctx = peer.Idempotent(ctx)
	}
	err = c.Call(ctx, addr, method, in, &out)
	return out, err
}

func TestCallReturnsAnswerAndRemoteError(t *testing.T) {
	_, _, c, addr := startServerAndClient(t, Options{}, Options{})
	out, err := call(c, addr, "Echo.Say", "hello", false)
	assert.NilError(t, err)
	assert.Equal(t, out, "hello")
	_, err = call(c, addr, "Echo.Say", "fail", false)
	var remote *peer.RemoteError
	assert.Assert(t, errors.As(err, &remote))
	assert.Equal(t, remote.Text, "told to fail")
	assert.Equal(t, len(c.openConns), 1)
}

func TestSilentConnectionIsReplaced(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		_, _, c, addr := startServerAndClient(t, Options{}, Options{})
		_, err := call(c, addr, "Echo.Say", "first", false)
		assert.NilError(t, err)
		c.SilenceOpenConns(addr)
		out, err := call(c, addr, "Echo.Say", "second", idempotent)
		if idempotent {
			assert.NilError(t, err)
			assert.Equal(t, out, "second")
		} else {
			assert.ErrorIs(t, err, context.DeadlineExceeded)
		}
		out, err = call(c, addr, "Echo.Say", "third", false)
		assert.NilError(t, err)
		assert.Equal(t, out, "third")
	}
}

func TestSlowMethodKeepsActiveConnection(t *testing.T) {
	_, _, c, addr := startServerAndClient(t, Options{}, Options{})
	done := make(chan error, 1)
	go func() {
		_, err := call(c, addr, "Echo.Wait", "x", false)
		done <- err
	}()
	for waiting := true; waiting; {
		select {
		case err := <-done:
			assert.ErrorIs(t, err, context.DeadlineExceeded)
			waiting = false
		default:
			_, err := call(c, addr, "Echo.Say", "y", false)
			assert.NilError(t, err)
		}
	}
	assert.Equal(t, len(c.conns), 1)
	assert.Equal(t, len(c.openConns), 1)
}

// Calls that were given up are still served; further ones must not queue up behind them at the
// server, where they would be served after their callers have left.
func TestCallsGivenUpCountAsInProgress(t *testing.T) {
	const maxCalls = 2
	o := Options{MaxCallsPerConn: maxCalls}
	echo, _, c, addr := startServerAndClient(t, o, o)
	ctx, giveUp := context.WithCancel(context.Background())
	results := make(chan error)
	wait := func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, time.Minute)
		defer cancel()
		results <- c.Call(ctx, addr, "Echo.Wait", "x", new(string))
	}
	for range maxCalls {
		go wait(ctx)
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if n := echo.runs.Load(); n < maxCalls {
			return poll.Continue("%d calls are served", n)
		}
		return poll.Success()
	})
	giveUp()
	for range maxCalls {
		assert.ErrorIs(t, <-results, context.Canceled)
	}
	sent := c.Calls()
	for range 3 {
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		assert.ErrorIs(t, c.Call(ctx, addr, "Echo.Say", "y", new(string)), context.DeadlineExceeded)
		cancel()
	}
	assert.Equal(t, c.Calls(), sent)
	for range maxCalls {
		echo.block <- struct{}{}
	}
	out, err := call(c, addr, "Echo.Say", "z", false)
	assert.NilError(t, err)
	assert.Equal(t, out, "z")
	assert.Equal(t, c.Calls(), sent+1)
}

// A call that has not been sent goes on over a new connection if the old one is silent.
func TestWaitingCallMovesToANewConnection(t *testing.T) {
	_, _, c, addr := startServerAndClient(t, Options{}, Options{MaxCallsPerConn: 1})
	_, err := call(c, addr, "Echo.Say", "first", false)
	assert.NilError(t, err)
	c.SilenceOpenConns(addr)
	lost := make(chan error)
	go func() {
		_, err := call(c, addr, "Echo.Say", "lost", false)
		lost <- err
	}()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if n := c.Calls(); n < 2 {
			return poll.Continue("%d calls were sent", n)
		}
		return poll.Success()
	})
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	var out string
	assert.NilError(t, c.Call(ctx, addr, "Echo.Say", "second", &out))
	assert.Equal(t, out, "second")
	assert.ErrorIs(t, <-lost, context.DeadlineExceeded)
}

func TestServerRestartAtSameAddress(t *testing.T) {
	_, s, c, addr := startServerAndClient(t, Options{}, Options{})
	_, err := call(c, addr, "Echo.Say", "a", false)
	assert.NilError(t, err)
	assert.NilError(t, s.Close())
	ln, err := net.Listen("tcp", addr)
	assert.NilError(t, err)
	next := NewServer(Options{})
	assert.NilError(t, next.Register("Echo", &Echo{}))
	go func() { _ = next.Serve(ln) }()
	defer next.Close()
	out, err := call(c, addr, "Echo.Say", "b", true)
	assert.NilError(t, err)
	assert.Equal(t, out, "b")
}

func TestRefusedLinkIsUnreachable(t *testing.T) {
	var state atomic.Int32
	_, _, c, addr := startServerAndClient(t, Options{}, Options{LinkStateOf: func(string) LinkState { return LinkState(state.Load()) }})
	_, err := call(c, addr, "Echo.Say", "a", false)
	assert.NilError(t, err)
	state.Store(int32(LinkRefused))
	_, err = call(c, addr, "Echo.Say", "b", true)
	assert.ErrorIs(t, err, peer.ErrUnreachable)
	state.Store(int32(LinkOK))
	_, err = call(c, addr, "Echo.Say", "c", false)
	assert.NilError(t, err)
}

func TestOversizedMessageDisconnects(t *testing.T) {
	echo, s, c, addr := startServerAndClient(t, Options{MaxMessageBytes: 4096}, Options{})
	_, err := call(c, addr, "Echo.Say", strings.Repeat("x", 5000), false)
	assert.ErrorContains(t, err, errTooLarge.Error())
	assert.Equal(t, echo.runs.Load(), int64(0))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		s.mu.Lock()
		defer s.mu.Unlock()
		if len(s.codecs) == 0 {
			return poll.Success()
		}
		return poll.Continue("server has %d connections", len(s.codecs))
	})
	_, err = call(c, addr, "Echo.Say", "small", true)
	assert.NilError(t, err)
}

func TestMalformedMessageDisconnects(t *testing.T) {
	_, _, _, addr := startServerAndClient(t, Options{}, Options{})
	for _, text := range []string{"GET / HTTP/1.1\r\n\r\n", "\x03\xff\xff\xff", "\xf8\x7f\xff\xff\xff\xff\xff\xff\xff"} {
		conn, err := net.Dial("tcp", addr)
		assert.NilError(t, err)
		_, err = conn.Write([]byte(text))
		assert.NilError(t, err)
		assert.NilError(t, conn.(*net.TCPConn).CloseWrite())
		_, err = io.ReadAll(conn)
		assert.Assert(t, err == nil || strings.Contains(err.Error(), "reset"), "%v", err)
		_ = conn.Close()
	}
}

func FuzzServerReadsAnyBytes(f *testing.F) {
	f.Add([]byte("GET / HTTP/1.1\r\n\r\n"))
	f.Add([]byte{0x03, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, b []byte) {
		client, server := net.Pipe()
		s := NewServer(Options{MaxMessageBytes: 1 << 16})
		assert.NilError(t, s.Register("Echo", &Echo{}))
		codec := newServerCodec(server, s.opts, func() error { return nil })
		done := make(chan struct{})
		go func() {
			s.rpc.ServeCodec(codec)
			close(done)
		}()
		go func() { _, _ = io.Copy(io.Discard, client) }()
		_, _ = client.Write(b)
		_ = client.Close()
		<-done
	})
}

func TestConnectionsAreBounded(t *testing.T) {
	_, _, c, addr := startServerAndClient(t, Options{}, Options{MaxConns: 1})
	_, _, _, other := startServerAndClient(t, Options{}, Options{})
	for _, a := range []string{addr, other, addr} {
		_, err := call(c, a, "Echo.Say", "x", false)
		assert.NilError(t, err)
		assert.Equal(t, len(c.conns), 1)
	}
	c.retireIdle(time.Now().Add(time.Hour))
	assert.Equal(t, len(c.conns), 0)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		c.mu.Lock()
		defer c.mu.Unlock()
		if len(c.openConns) == 0 {
			return poll.Success()
		}
		return poll.Continue("client has %d open connections", len(c.openConns))
	})
}

func TestPlainModeIsForLoopbackOnly(t *testing.T) {
	assert.ErrorIs(t, checkPlain("192.0.2.1:80"), ErrPlaintextRefused)
	assert.ErrorIs(t, checkPlain("0.0.0.0:80"), ErrPlaintextRefused)
	assert.NilError(t, checkPlain("127.0.0.1:80"))
	assert.NilError(t, checkPlain("[::1]:80"))
	ln, err := net.Listen("tcp", "0.0.0.0:0")
	assert.NilError(t, err)
	defer ln.Close()
	assert.ErrorIs(t, NewServer(Options{}).Serve(ln), ErrPlaintextRefused)
	c := NewClient(Options{})
	defer c.Close()
	_, err = call(c, "192.0.2.1:80", "Echo.Say", "x", false)
	assert.ErrorIs(t, err, peer.ErrUnreachable)
}
