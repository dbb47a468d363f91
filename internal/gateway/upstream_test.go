package gateway

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"carawayrouter.example/router/internal/endpoint"
	"carawayrouter.example/router/internal/placement"
)

// endless serves one connection after the other: it sends start and then filler until the
// connection is closed or limit bytes were sent. It returns its address, and a function that
// waits until all connections have ended and returns the bytes that were taken.
func endless(t *testing.T, start, filler string, limit int) (addr string, taken func() int) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	var wg sync.WaitGroup
	var mu sync.Mutex
	total := 0
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			wg.Add(1)
			go func() {
				defer wg.Done()
				defer c.Close()
				_ = c.(*net.TCPConn).SetWriteBuffer(64 << 10)
				go func() { _, _ = io.Copy(io.Discard, c) }()
				n, err := io.WriteString(c, start)
				block := strings.Repeat(filler, max(1, 16<<10/len(filler)))
				for sent := n; err == nil && sent < limit; sent += n {
					n, err = io.WriteString(c, block)
					mu.Lock()
					total += n
					mu.Unlock()
				}
			}()
		}
	}()
	return ln.Addr().String(), func() int {
		wg.Wait()
		mu.Lock()
		defer mu.Unlock()
		return total
	}
}

func testUpstream() *upstream { return newUpstream(nameOnlyWire{}, func(net.Conn) {}) }

// Endpoints that send bytes without end take neither the memory of the instance nor the time
// of the request: the call ends when the response is larger than any proper one.
func TestEndlessHeadEndsTheCall(t *testing.T) {
	const limit = 64 << 20
	for name, c := range map[string]struct{ start, filler string }{
		"one line":             {"HTTP/1.1 200 OK\r\nX: ", "a"},
		"lines":                {"HTTP/1.1 200 OK\r\n", "X: a\r\n"},
		"no head":              {"", "\x00\xffgarbage"},
		"interim responses":    {"", "HTTP/1.1 102 Processing\r\n\r\n"},
		"late responses":       {"", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nId: other\r\n\r\n"},
		"head of no known end": {"HTTP/1.1 200", " "},
	} {
		t.Run(name, func(t *testing.T) {
			addr, taken := endless(t, c.start, c.filler, limit)
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			u := newUpstream(idWire{}, func(net.Conn) {})
			_, err := u.do(ctx, endpointRequest{addr: addr, method: http.MethodGet, uri: "/", host: "h", attemptID: "mine"})
			assert.Assert(t, err != nil)
			assert.NilError(t, ctx.Err(), "the call ended by itself")
			assert.Assert(t, taken() < limit/8, "%d bytes were taken", taken())
		})
	}
}

// idWire decodes only the id of the attempt that a response belongs to.
type idWire struct{ Wire }

func (idWire) ParseResponse(_ int, h http.Header) ResponseInfo {
	return ResponseInfo{AttemptID: h.Get("Id")}
}

// The same for another instance that is asked for a tunnel.
func TestEndlessHeadEndsTheRequestForATunnel(t *testing.T) {
	const limit = 64 << 20
	addr, taken := endless(t, "HTTP/1.1 200 OK\r\nX: ", "a", limit)
	nc, err := net.Dial("tcp", addr)
	assert.NilError(t, err)
	_, err = requestTunnel(nc, []byte("secret"), addr, "127.0.0.1:1")
	assert.Assert(t, err != nil)
	assert.NilError(t, nc.Close())
	// The sockets' buffers hold some more.
	assert.Assert(t, taken() < limit/2, "%d bytes were taken", taken())
}

// Bodies without end are not kept beyond a total over all calls.
func TestEndlessBodiesShareABuffer(t *testing.T) {
	const calls, limit = 8, 32 << 20
	for name, start := range map[string]string{
		"no length":      "HTTP/1.1 200 OK\r\n\r\n",
		"a large length": "HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			addr, taken := endless(t, start, "a", limit)
			u := testUpstream()
			var wg, ended sync.WaitGroup
			ended.Add(calls)
			for range calls {
				wg.Add(1)
				go func() {
					defer wg.Done()
					end := sync.OnceFunc(ended.Done)
					defer end()
					ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
					defer cancel()
					resp, err := u.do(ctx, endpointRequest{addr: addr, method: http.MethodGet, uri: "/", host: "h"})
					if err != nil {
						t.Error(err)
						return
					}
					defer resp.close()
					if _, err := resp.readAll(); err == nil || ctx.Err() != nil {
						t.Errorf("the body was read to its end: %v, %v", err, ctx.Err())
					}
					// No call gives back its memory before all have taken theirs.
					end()
					ended.Wait()
				}()
			}
			wg.Wait()
			// Each connection's socket buffers hold some more.
			assert.Assert(t, taken() < int(u.memory.limit)+calls*(8<<20), "%d bytes were taken", taken())
			assert.Equal(t, u.memory.inUse(), int64(0))
		})
	}
}

// A proper response is read although endless ones have filled the buffers.
func TestSmallBodyIsReadWhenTheBuffersAreFull(t *testing.T) {
	addr, _ := endless(t, "HTTP/1.1 200 OK\r\nContent-Length: 800\r\n\r\n", "a", 800)
	u := testUpstream()
	for full := u.memory.hold(); full.grow(smallBodyBytes + 1); {
	}
	resp, err := u.do(context.Background(), endpointRequest{addr: addr, method: http.MethodGet, uri: "/", host: "h"})
	assert.NilError(t, err)
	defer resp.close()
	b, err := resp.readAll()
	assert.NilError(t, err)
	assert.Equal(t, len(b), 800)
}

// A stream with neither a length nor chunks ends with its connection. It is complete only if
// the connection was closed, not reset, between two events.
func TestStreamThatEndsWithItsConnection(t *testing.T) {
	for _, c := range []struct {
		name, body string
		reset      bool
		want       error
	}{
		{"between events", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", false, io.EOF},
		{"in an event", "id: 1\ndata: a\n\nid: 2\ndata", false, errTruncatedEvent},
		{"by a reset", "id: 1\ndata: a\n\n", true, syscall.ECONNRESET},
	} {
		t.Run(c.name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer ln.Close()
			firstRead := make(chan struct{})
			go func() {
				nc, err := ln.Accept()
				if err != nil {
					return
				}
				_, _ = http.ReadRequest(bufio.NewReader(nc))
				_, _ = io.WriteString(nc, "HTTP/1.1 200 OK\r\n\r\n"+c.body)
				<-firstRead
				if c.reset {
					_ = nc.(*net.TCPConn).SetLinger(0)
				}
				_ = nc.Close()
			}()
			resp, err := testUpstream().do(context.Background(), endpointRequest{addr: ln.Addr().String(), method: http.MethodGet, uri: "/", host: "h"})
			assert.NilError(t, err)
			defer resp.close()
			br := bufio.NewReader(resp.body)
			_, err = readEvent(br)
			assert.NilError(t, err)
			close(firstRead)
			for err == nil {
				_, err = readEvent(br)
			}
			assert.ErrorIs(t, err, c.want)
		})
	}
}

// A request that was abandoned during a network partition was delivered after it, seconds later (run
// barniz-quito releases-and-resumes, --seed 598979889278): a closed connection goes on sending, and
// one that is reset does not.
func TestAbandonedRequestResetsItsConnection(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer ln.Close()
	ended := make(chan error, 1)
	received := make(chan struct{})
	go func() {
		c, err := ln.Accept()
		if err != nil {
			ended <- err
			return
		}
		defer c.Close()
		buf := make([]byte, 1<<10)
		_, _ = c.Read(buf)
		close(received)
		_, err = c.Read(buf)
		ended <- err
	}()
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-received
		cancel()
	}()
	_, err = newUpstream(nameOnlyWire{}, func(net.Conn) {}).do(ctx, endpointRequest{addr: ln.Addr().String(), method: http.MethodGet, uri: "/", host: "e"})
	assert.ErrorIs(t, err, context.Canceled)
	assert.ErrorIs(t, <-ended, syscall.ECONNRESET)
}

// repeatingEndpoint refuses the first request on each connection. Before each later answer on the connection
// it writes that refusal once more. It returns its address and how many requests it has run.
func repeatingEndpoint(t *testing.T) (addr string, ran func() int) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	var runs atomic.Int64
	go func() {
		for refuses := true; ; refuses = false {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				br := bufio.NewReader(c)
				refusal := ""
				for {
					req, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					head := "\r\nId: " + req.Header.Get("Id") + "\r\nContent-Length: 0\r\n\r\n"
					answer := refusal + "HTTP/1.1 200 OK" + head
					if refuses && refusal == "" {
						refusal = "HTTP/1.1 503 Full\r\nRefused: 1" + head
						answer = refusal
					} else {
						runs.Add(1)
					}
					if _, err := io.WriteString(c, answer); err != nil {
						return
					}
				}
			}()
		}
	}()
	return ln.Addr().String(), func() int { return int(runs.Load()) }
}

// refusalWire decodes the attempt that a response belongs to, and refusals.
type refusalWire struct{ Wire }

func (refusalWire) ParseResponse(_ int, h http.Header) ResponseInfo {
	return ResponseInfo{AttemptID: h.Get("Id"), NotRun: h.Get("Refused") != ""}
}

// An endpoint that refused a request writes the refusal once more where the answer to a later request on the
// connection is due. It is the answer to none: neither to the same attempt, which has run now, nor to another.
func TestRepeatedRefusalIsNotTheAnswer(t *testing.T) {
	for _, second := range []string{"a", "b"} {
		addr, ran := repeatingEndpoint(t)
		u := newUpstream(refusalWire{}, func(net.Conn) {})
		send := func(id string) *endpointResponse {
			resp, err := u.do(context.Background(), endpointRequest{addr: addr, method: http.MethodGet, uri: "/", host: "h", attemptID: id, header: http.Header{"Id": {id}}})
			assert.NilError(t, err)
			_, err = resp.readAll()
			assert.NilError(t, err)
			resp.close()
			return resp
		}
		assert.Assert(t, send("a").NotRun)
		assert.Assert(t, !send(second).NotRun, "second attempt %s", second)
		assert.Equal(t, ran(), 1)
	}
}

// A response to a request with an ID that names no attempt may be a repeated one. It is not believed.
func TestResponseWithoutItsAttemptIsNotBelieved(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer ln.Close()
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		_, _ = http.ReadRequest(bufio.NewReader(c))
		_, _ = io.WriteString(c, "HTTP/1.1 503 Full\r\nRefused: 1\r\nContent-Length: 0\r\n\r\n")
	}()
	u := newUpstream(refusalWire{}, func(net.Conn) {})
	resp, err := u.do(context.Background(), endpointRequest{addr: ln.Addr().String(), method: http.MethodGet, uri: "/", host: "h", attemptID: "a"})
	if err == nil {
		assert.Assert(t, !resp.NotRun)
		resp.close()
	}
}

// An endpoint that asks for a pause while the connection for a request is opened, or its incarnation is asked
// for, does not get the request.
func TestRequestPlacedBeforeAPauseIsNotSentInIt(t *testing.T) {
	for name, incarnation := range map[string]int64{"connecting": 0, "asking for the incarnation": 7} {
		t.Run(name, func(t *testing.T) {
			var paused atomic.Bool
			requests := make(chan string, 10)
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer ln.Close()
			go func() {
				for {
					nc, err := ln.Accept()
					if err != nil {
						return
					}
					paused.Store(true)
					go func() {
						req, err := http.ReadRequest(bufio.NewReader(nc))
						if err == nil {
							requests <- req.URL.Path
						}
						_ = nc.Close()
					}()
				}
			}()
			u := testUpstream()
			u.paths.direct = func(ctx context.Context, addr string) (net.Conn, error) {
				nc, err := dialTCP(ctx, addr)
				paused.Store(true)
				return nc, err
			}
			u.recheck = func(placement.Send) placement.Refusal {
				if paused.Load() {
					return placement.Paused
				}
				return ""
			}
			u.admit = u.recheck
			_, err = u.do(context.Background(), endpointRequest{endpoint: "e", addr: ln.Addr().String(), method: http.MethodGet, uri: "/", host: "h", incarnation: incarnation})
			assert.ErrorIs(t, err, errNotEligible)
			assert.Assert(t, errors.Is(err, endpoint.ErrNotSent))
			select {
			case path := <-requests:
				t.Fatalf("%s was sent", path)
			case <-time.After(50 * time.Millisecond):
			}
		})
	}
}

// A response that breaks off anywhere, in its head, its body or the framing of it, is an error.
func TestResponseThatBreaksOffIsAnError(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nId: mine\r\nX: y\r\n"
	for name, response := range map[string]string{
		"with a length": head + "Content-Length: 4\r\n\r\nbody",
		"in chunks":     head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"interim":       "HTTP/1.1 100 Continue\r\n\r\n" + head + "Content-Length: 4\r\n\r\nbody",
	} {
		t.Run(name, func(t *testing.T) {
			for end := range len(response) + 1 {
				server, client := net.Pipe()
				go func() {
					_, _ = http.ReadRequest(bufio.NewReader(server))
					_, _ = io.WriteString(server, response[:end])
					_ = server.Close()
				}()
				u := newUpstream(idWire{}, func(net.Conn) {})
				u.paths.direct = func(context.Context, string) (net.Conn, error) { return client, nil }
				var body []byte
				resp, err := u.do(context.Background(), endpointRequest{addr: "a", method: http.MethodGet, uri: "/", host: "h", attemptID: "mine"})
				if err == nil {
					body, err = resp.readAll()
					resp.close()
				}
				if end < len(response) {
					assert.Assert(t, err != nil, "no error after %q", response[:end])
					continue
				}
				assert.NilError(t, err)
				assert.Equal(t, string(body), "body")
			}
		})
	}
}

// answering serves connections on which the n-th request is answered with answers[n].
func answering(t *testing.T, answers ...string) (addr string) {
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
				br := bufio.NewReader(c)
				for _, a := range answers {
					if _, err := http.ReadRequest(br); err != nil {
						return
					}
					if _, err := io.WriteString(c, a); err != nil {
						return
					}
				}
				_, _ = io.Copy(io.Discard, br)
			}()
		}
	}()
	return ln.Addr().String()
}

// A response that names no attempt is taken for that of no request that has one, whatever came before on the connection.
func TestResponseWithoutAnAttemptIsNoCallersResponse(t *testing.T) {
	const unnamed = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 7\r\n\r\nunnamed"
	named := func(id, body string) string {
		return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
	}
	for name, c := range map[string]struct {
		answers []string
		ids     []string // of the requests before the last, whose id is "mine"
		want    string   // body of the last one; empty if there has to be an error
	}{
		"on a new connection":              {[]string{unnamed}, nil, ""},
		"after another caller's":           {[]string{named("a", "a"), unnamed + named("mine", "mine")}, []string{"a"}, ""},
		"a second answer to a probe":       {[]string{unnamed, unnamed + named("mine", "mine")}, []string{""}, "mine"},
		"three second answers":             {[]string{unnamed, unnamed + unnamed + unnamed + named("mine", "mine")}, []string{""}, ""},
		"a probe gets a caller's":          {[]string{named("a", "a"), named("a", "a") + unnamed, named("mine", "mine")}, []string{"a", ""}, "mine"},
		"both second answers":              {[]string{named("a", "a"), unnamed, unnamed + named("a", "a") + named("mine", "mine")}, []string{"a", ""}, "mine"},
		"probe on a connection of its own": {[]string{named("mine", "mine")}, nil, "mine"},
	} {
		t.Run(name, func(t *testing.T) {
			u := newUpstream(idWire{}, func(net.Conn) {})
			nc, err := net.Dial("tcp", answering(t, c.answers...))
			assert.NilError(t, err)
			conn := u.newConn(nc, "e:1", false)
			defer conn.Close()
			send := func(id string) (string, error) {
				resp, err := u.roundTrip(conn, endpointRequest{method: http.MethodGet, uri: "/", host: "h", attemptID: id})
				if err != nil {
					return "", err
				}
				b, err := io.ReadAll(resp.body)
				return string(b), err
			}
			for _, id := range c.ids {
				b, err := send(id)
				assert.NilError(t, err)
				assert.Equal(t, b, map[string]string{"a": "a", "": "unnamed"}[id])
			}
			b, err := send("mine")
			assert.Equal(t, b, c.want)
			assert.Equal(t, err == nil, c.want != "", "%v", err)
		})
	}
}

// An endpoint takes a part of a request and reads no more. The write ends with the request's time, and as an endpoint may
// begin with a part, nothing says that the request was not run.
func TestRequestThatWasReadInPartMayHaveRun(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer ln.Close()
	accepted := make(chan net.Conn, 1)
	go func() {
		c, err := ln.Accept()
		if err == nil {
			_ = c.(*net.TCPConn).SetReadBuffer(4 << 10)
			accepted <- c // it stays open
		}
	}()
	u := newUpstream(refusingWire{}, func(net.Conn) {})
	ctx, cancel := context.WithCancelCause(context.Background())
	call := u.startCall(ctx, endpointRequest{addr: ln.Addr().String(), method: http.MethodPost, uri: "/", host: "a", attemptID: "1", body: make([]byte, 64<<20)})
	c := <-accepted
	defer c.Close()
	_, err = io.ReadFull(c, make([]byte, 1<<10))
	assert.NilError(t, err)
	cancel(errDeadline)
	<-call.answered
	assert.ErrorIs(t, call.err, errDeadline)
	assert.Assert(t, !errors.Is(call.err, endpoint.ErrNotSent), "%v", call.err)
	assert.Assert(t, !call.refused())
}
