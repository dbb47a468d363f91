package gateway

import (
	"net"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

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
