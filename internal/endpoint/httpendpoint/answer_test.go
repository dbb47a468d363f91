package httpendpoint

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"carawayrouter.example/router/internal/endpoint"
	"carawayrouter.example/router/internal/netgate"
	"carawayrouter.example/router/internal/reqid"
)

// answering serves connections with handle, which is given the head of the first request on each.
func answering(t *testing.T, handle func(c *net.TCPConn, req *http.Request)) (addr string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer nc.Close()
				if req, err := http.ReadRequest(bufio.NewReaderSize(nc, 1)); err == nil {
					handle(nc.(*net.TCPConn), req)
				}
			}()
		}
	}()
	return ln.Addr().String()
}

// answeringRaw answers each request with the same bytes, and closes the connection.
func answeringRaw(t *testing.T, answer string) (addr string) {
	t.Helper()
	return answering(t, func(c *net.TCPConn, req *http.Request) {
		_, _ = io.Copy(io.Discard, req.Body)
		_, _ = io.WriteString(c, answer)
	})
}

// callService calls the service at addr and reads its whole response.
func callService(o Options, addr string, body []byte) (status int, got string, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	resp, err := NewDialer(o).Service(addr).Do(ctx, endpoint.ServiceRequest{ID: reqid.ID{Instance: "a", Seq: 1}, Method: http.MethodPost, Path: "/", Body: body})
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return resp.Status, string(b), err
}

// checkBroken checks that the answer of a service and that of an engine are errors that do not say that the request was not run.
func checkBroken(t *testing.T, answer string) {
	t.Helper()
	addr := answeringRaw(t, answer)
	status, body, err := callService(Options{}, addr, []byte("request"))
	assert.ErrorIs(t, err, endpoint.ErrCallFailed, "%d %q", status, body)
	_, err = NewDialer(Options{}).Engine(addr).Order(context.Background(), endpoint.Order{})
	assert.ErrorIs(t, err, endpoint.ErrCallFailed)
}

// A whole answer is passed on, after interim ones too. The tests below break it.
func TestWholeAnswersAreRead(t *testing.T) {
	for _, answer := range []string{
		"HTTP/1.1 200 OK\r\nX: y\r\nContent-Length: 2\r\n\r\n{}",
		"HTTP/1.1 200\r\nContent-Length: 2\r\n\r\n{}",
		"HTTP/1.0 200 OK\r\n\r\n{}",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
	} {
		addr := answeringRaw(t, answer)
		status, body, err := callService(Options{}, addr, []byte("request"))
		assert.NilError(t, err, "%q", answer)
		assert.Equal(t, status, http.StatusOK)
		assert.Equal(t, body, "{}")
		_, err = NewDialer(Options{}).Engine(addr).Order(context.Background(), endpoint.Order{})
		assert.NilError(t, err)
	}
}

// An answer whose status is none of HTTP is a failed call.
func TestAnswerWithAnInvalidStatusIsAFailedCall(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "101", "600", "999", "+20", "-00"} {
		t.Run(status, func(t *testing.T) {
			checkBroken(t, "HTTP/1.1 "+status+" Trouble\r\nContent-Length: 2\r\n\r\n{}")
		})
	}
}

// So is one with a head in which the name of a field holds a blank or a control byte.
func TestAnswerWithAnInvalidFieldNameIsAFailedCall(t *testing.T) {
	for _, line := range []string{"X Y: z", "X : z", " X: z", "\tX: z", "\nX: z", "X\n: z", "X\x00: z", "\x7f: z", ": z", "X\r: z"} {
		t.Run(line, func(t *testing.T) {
			checkBroken(t, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"+line+"\r\n\r\n{}")
		})
	}
	for _, field := range []string{"Content-Length : 2\r\n\r\n{}", "Transfer-Encoding : chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n"} {
		checkBroken(t, "HTTP/1.1 200 OK\r\n"+field)
	}
}

// HTTP/1.0 has no chunks.
func TestHTTP10AnswerInChunksIsAFailedCall(t *testing.T) {
	checkBroken(t, "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n")
}

// The head of every answer on a connection is checked.
func TestLaterAnswerOnAConnectionIsChecked(t *testing.T) {
	const whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
	addr := answering(t, func(c *net.TCPConn, req *http.Request) {
		_, _ = io.Copy(io.Discard, req.Body)
		_, _ = io.WriteString(c, whole)
		if req, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = io.Copy(io.Discard, req.Body)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX Y: z\r\nContent-Length: 2\r\n\r\n{}")
		}
	})
	e := NewDialer(Options{}).Engine(addr)
	_, err := e.Order(context.Background(), endpoint.Order{})
	assert.NilError(t, err)
	_, err = e.Order(context.Background(), endpoint.Order{})
	assert.ErrorIs(t, err, endpoint.ErrCallFailed)
}

// A service begins an answer without a length while the request is still being written, and resets the connection. The
// writer may take the connection's error, and the reader then sees an ordinary end.
func TestAnswerResetDuringTheUploadIsAFailedCall(t *testing.T) {
	const resets = 300
	addr := answering(t, func(c *net.TCPConn, req *http.Request) {
		_, _ = io.CopyN(io.Discard, req.Body, 32<<10)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nhalf an answer")
		_, _ = io.CopyN(io.Discard, req.Body, 32<<10)
		_ = c.SetLinger(0)
	})
	body := make([]byte, 8<<20)
	for name, o := range map[string]Options{"own connections": {}, "connections through a gate": {DialContext: netgate.New(nil).DialContext}} {
		t.Run(name, func(t *testing.T) {
			for i := range resets {
				status, got, err := callService(o, addr, body)
				assert.Assert(t, err != nil, "reset %d: %d %q looks whole", i, status, got)
				assert.Assert(t, errors.Is(err, endpoint.ErrCallFailed), "%v", err)
			}
		})
	}
}
