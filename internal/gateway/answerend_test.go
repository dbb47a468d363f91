package gateway

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"carawayrouter.example/router/internal/endpoint"
)

// unframedEndpoint answers the first connection's request with answer, which ends with the connection, and then
// handles other connections with next. It returns its address and listener.
func unframedEndpoint(t *testing.T, answer string, next func(net.Conn)) (addr string, ln net.Listener) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for first := true; ; first = false {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			if !first {
				go next(nc)
				continue
			}
			_, _ = http.ReadRequest(bufio.NewReader(nc))
			_, _ = io.WriteString(nc, answer)
			_ = nc.Close()
		}
	}()
	return ln.Addr().String(), ln
}

// refusingWire decodes the id of the attempt and whether it was not run.
type refusingWire struct{ Wire }

func (refusingWire) ParseResponse(_ int, h http.Header) ResponseInfo {
	return ResponseInfo{AttemptID: h.Get("Id"), NotRun: h.Get("Not-Run") != ""}
}

// A refusal says all in its head: it stays one if its body ends with the connection, also of a process that is gone or
// too busy for a health check.
func TestRefusalWithoutALengthIsOne(t *testing.T) {
	for name, next := range map[string]func(net.Conn){
		"gone": func(nc net.Conn) { _ = nc.(*net.TCPConn).SetLinger(0); _ = nc.Close() },
		"busy": func(nc net.Conn) { _, _ = io.Copy(io.Discard, nc) },
	} {
		t.Run(name, func(t *testing.T) {
			var asked atomic.Int64
			addr, _ := unframedEndpoint(t, "HTTP/1.1 503 Service Unavailable\r\nId: mine\r\nNot-Run: 1\r\n\r\nfull", func(nc net.Conn) {
				asked.Add(1)
				next(nc)
			})
			u := newUpstream(refusingWire{}, func(net.Conn) {})
			call := u.startCall(context.Background(), endpointRequest{addr: addr, method: http.MethodGet, uri: "/", host: "h", attemptID: "mine", forCaller: true, healthPath: "/health"})
			<-call.answered
			assert.NilError(t, call.err)
			defer call.resp.close()
			assert.Assert(t, call.refused(), "%v", call.err)
			assert.Equal(t, asked.Load(), int64(0), "the endpoint was asked")
		})
	}
}

// An unconfirmed end is no request that was not sent.
func TestUnconfirmedEndWasSent(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() {
		nc, err := ln.Accept()
		if err != nil {
			return
		}
		_, _ = http.ReadRequest(bufio.NewReader(nc))
		_, _ = io.WriteString(nc, "HTTP/1.1 200 OK\r\nId: mine\r\n\r\nhalf")
		_ = ln.Close()
		_ = nc.Close()
	}()
	u := newUpstream(refusingWire{}, func(net.Conn) {})
	call := u.startCall(context.Background(), endpointRequest{addr: ln.Addr().String(), method: http.MethodGet, uri: "/", host: "h", attemptID: "mine", forCaller: true, healthPath: "/health"})
	<-call.answered
	assert.ErrorIs(t, call.err, errEndNotConfirmed)
	assert.Assert(t, !errors.Is(call.err, endpoint.ErrNotSent) && !call.refused())
	call.resp.close()
}

// The other instance accepts a connection to a process that ends at once, and says that the endpoint has closed it. That
// shows no process.
func TestClosedTunnelShowsNoLife(t *testing.T) {
	u := newUpstream(refusingWire{}, func(net.Conn) {})
	u.paths = newPaths((&fakeWay{err: context.DeadlineExceeded}).dial, func(context.Context, string) (net.Conn, error) {
		instance, served := tcpPair(t)
		end, dialled := tcpPair(t)
		go joinConns(served, served, dialled, io.Discard, true)
		time.AfterFunc(5*time.Millisecond, func() { _ = end.Close() })
		return &tunnelConn{TCPConn: instance, framed: true}, nil
	})
	assert.Assert(t, u.accepts(context.Background(), "e:1") != nil)
}

// A process that lives has outlived its answer, also if it is too busy to answer a health check in time.
func TestAnswerOfABusyEndpointIsWhole(t *testing.T) {
	addr, _ := unframedEndpoint(t, "HTTP/1.1 200 OK\r\nId: mine\r\n\r\nwhole", func(nc net.Conn) { _, _ = io.Copy(io.Discard, nc) })
	u := newUpstream(refusingWire{}, func(net.Conn) {})
	call := u.startCall(context.Background(), endpointRequest{addr: addr, method: http.MethodGet, uri: "/", host: "h", attemptID: "mine", forCaller: true, healthPath: "/health"})
	<-call.answered
	assert.NilError(t, call.err)
	call.resp.close()
	assert.Equal(t, string(call.body), "whole")
}

// The endpoint resets its connection while the instance still sends: the writer may take the connection's error, and the
// reader then sees an ordinary end.
func TestTunnelPassesOnAResetWhileItWrites(t *testing.T) {
	const resets = 300
	block := make([]byte, 256<<10)
	for range resets {
		instance, served := tcpPair(t)
		end, dialled := tcpPair(t)
		joined := make(chan struct{})
		go func() {
			defer close(joined)
			joinConns(served, served, dialled, io.Discard, true)
		}()
		sent := make(chan struct{})
		go func() {
			defer close(sent)
			for {
				if _, err := instance.Write(block); err != nil {
					return
				}
			}
		}()
		_, err := io.WriteString(end, "half an answer")
		assert.NilError(t, err)
		_, err = io.CopyN(io.Discard, end, 32<<10)
		assert.NilError(t, err)
		_ = end.SetLinger(0)
		_ = end.Close()
		_, err = io.ReadAll(&tunnelConn{TCPConn: instance, framed: true})
		assert.Assert(t, err != nil, "the answer looks whole")
		_ = instance.Close()
		<-sent
		<-joined
	}
}
