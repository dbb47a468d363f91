package responsehead

import (
	"context"
	"net"
	"net/http/httptrace"

	"carawayrouter.example/router/internal/tcp"
)

// Conn is a connection of an http.Transport. It checks the heads of responses, and tells a reset from an end: the transport
// writes and reads at the same time.
type Conn struct {
	net.Conn
	head *Reader
}

// NewConn returns a Conn on c.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c, head: NewReader(tcp.ResetReader{Conn: c})} }

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) { return c.head.Read(b) }

// ExpectResponse makes the connection check the head of the response to the request that is sent next.
func (c *Conn) ExpectResponse() { _ = c.head.Expect(nil) }

// dialFunc establishes a connection, like net.Dialer.DialContext.
type dialFunc = func(ctx context.Context, network, addr string) (net.Conn, error)

// CheckedDial returns a dial function for an http.Transport. Its connections check the responses to requests with a Context.
func CheckedDial(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return NewConn(c), nil
	}
}

// Context returns a context for a request whose response is checked, if it is sent on a Conn.
func Context(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		if c, ok := i.Conn.(*Conn); ok {
			c.ExpectResponse()
		}
	}})
}
