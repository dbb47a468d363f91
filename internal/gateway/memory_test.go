package gateway

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Endpoints announce large answers and send nothing of them. Large answers of other endpoints are passed on.
func TestAnnouncedAnswersThatDoNotComeLeaveTheMemory(t *testing.T) {
	const stalled, size = 16, 1 << 20 // stalled answers of each length
	serve := func(answer string) string {
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
					for br := bufio.NewReader(nc); ; {
						if _, err := http.ReadRequest(br); err != nil {
							return
						}
						_, _ = io.WriteString(nc, answer)
					}
				}()
			}
		}()
		return ln.Addr().String()
	}
	sound := serve("HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 1048576\r\n\r\n" + strings.Repeat("a", size))
	u := newUpstream(refusingWire{}, func(net.Conn) {})
	u.memory = newBodyMemory(128 << 20)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	call := func(addr string) *pendingCall {
		return u.startCall(ctx, endpointRequest{addr: addr, method: http.MethodGet, uri: "/", host: "h", attemptID: "mine", forCaller: true})
	}
	for _, length := range []string{"16000000", "8000000", "2000000", "1000000"} {
		silent := serve("HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: " + length + "\r\n\r\n")
		for range stalled {
			call(silent)
		}
	}
	for held := int64(-1); held != u.memory.inUse(); time.Sleep(50 * time.Millisecond) {
		held = u.memory.inUse()
	}
	t.Logf("%d KiB of %d KiB are held for answers of which nothing has come", u.memory.inUse()>>10, u.memory.limit>>10)
	for range 20 {
		c := call(sound)
		<-c.answered
		assert.NilError(t, c.err)
		assert.Equal(t, len(c.body), size)
		c.resp.close()
	}
}
