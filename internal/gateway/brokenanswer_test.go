package gateway

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"carawayrouter.example/router/internal/endpoint"
)

// An endpoint begins an answer without a length while the request is still being written, and resets the connection.
func TestResponseResetDuringTheUploadIsAnError(t *testing.T) {
	const resets = 300
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer ln.Close()
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer nc.Close()
				req, err := http.ReadRequest(bufio.NewReader(nc))
				if err != nil {
					return
				}
				if req.Method == http.MethodGet { // a question about the endpoint
					_, _ = io.WriteString(nc, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
					return
				}
				_, _ = io.CopyN(io.Discard, req.Body, 32<<10)
				_, _ = io.WriteString(nc, "HTTP/1.1 200 OK\r\nId: mine\r\n\r\nhalf an answer")
				_, _ = io.CopyN(io.Discard, req.Body, 32<<10)
				_ = nc.(*net.TCPConn).SetLinger(0)
			}()
		}
	}()
	body := make([]byte, 8<<20)
	for name, length := range map[string]int{"written in part": len(body), "written whole": 100 << 10} {
		t.Run(name, func(t *testing.T) {
			for range resets {
				u := newUpstream(refusingWire{}, func(net.Conn) {})
				call := u.startCall(context.Background(), endpointRequest{addr: ln.Addr().String(), method: http.MethodPost, uri: "/", host: "h", attemptID: "mine", body: body[:length], forCaller: true, healthPath: "/health"})
				<-call.answered
				assert.Assert(t, call.err != nil, "%q looks whole", call.body)
				assert.Assert(t, errors.Is(call.err, endpoint.ErrCallFailed) && !call.refused(), "%v", call.err)
				if call.resp != nil {
					call.resp.close()
				}
			}
		})
	}
}

// What an endpoint seems to announce in a malformed head that passes through a tunnel is not believed.
func TestAnnouncementInAMalformedHeadIsNotBelieved(t *testing.T) {
	const sound = "HTTP/1.1 200 OK\r\nId: sound\r\nContent-Length: 0\r\n\r\n"
	for _, head := range []string{"HTTP/1.1 000 OK\r\nId: broken\r\n", "HTTP/1.1 600 OK\r\nId: broken\r\n", "HTTP/1.1 200 OK\r\nId: broken\r\nX Y: z\r\n", "HTTP/1.1 200 OK\r\nId: broken\r\n\tX: y\r\n"} {
		var announced []string
		u := newUpstream(idWire{}, func(net.Conn) {})
		u.onAnnouncement = func(_ endpointRequest, resp ResponseInfo) { announced = append(announced, resp.AttemptID) }
		u.observeResponses(strings.NewReader(sound+head+"Content-Length: 0\r\n\r\n"), endpointRequest{}, func() {})
		assert.DeepEqual(t, announced, []string{"sound"})
	}
}

// No question to an endpoint is answered by a response with a malformed head.
func TestMalformedHeadAnswersNoQuestion(t *testing.T) {
	ctx := context.Background()
	for name, ask := range map[string]func(u *upstream, addr string) error{
		"prefill": func(u *upstream, addr string) error {
			call := u.startCall(ctx, endpointRequest{addr: addr, method: http.MethodPost, uri: "/", host: "h", attemptID: "mine"})
			<-call.answered
			return call.err
		},
		"incarnation": func(u *upstream, addr string) error {
			c, err := u.dial(ctx, addr)
			assert.NilError(t, err)
			defer c.Close()
			_, err = u.askIncarnation(ctx, c, endpointRequest{addr: addr})
			return err
		},
		"health": func(u *upstream, addr string) error {
			c, err := u.dial(ctx, addr)
			assert.NilError(t, err)
			return u.checkHealth(ctx, c, endpointRequest{addr: addr, healthPath: "/health"})
		},
		"tunnel": func(_ *upstream, addr string) error {
			nc, err := dialTCP(ctx, addr)
			assert.NilError(t, err)
			defer nc.Close()
			_, err = requestTunnel(nc, []byte("secret"), addr, "127.0.0.1:1")
			return err
		},
	} {
		t.Run(name, func(t *testing.T) {
			id := ""
			if name == "prefill" {
				id = "Id: mine\r\n"
			}
			end := id + "Content-Length: 0\r\n\r\n"
			for head, sound := range map[string]bool{"HTTP/1.1 200 OK\r\n": true, "HTTP/1.1 000 OK\r\n": false, "HTTP/1.1 600 OK\r\n": false, "HTTP/1.1 200 OK\r\nX Y: z\r\n": false, "HTTP/1.1 200 OK\r\nX: y\r\n\tz\r\n": false} {
				u := newUpstream(bornWire{}, func(net.Conn) {})
				err := ask(u, answering(t, head+end))
				assert.Equal(t, err == nil, sound, "%q: %v", head, err)
			}
		})
	}
}

// bornWire decodes the id of the attempt, and any report as one of an engine of the incarnation 1.
type bornWire struct{ refusingWire }

func (bornWire) ReportPath() string                        { return "/report" }
func (bornWire) ReportedIncarnation([]byte) (int64, error) { return 1, nil }
