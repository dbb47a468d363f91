package responsehead

import "net"

// Conn is a connection of an http.Transport that checks the heads of responses.
type Conn struct {
	net.Conn
	head *Reader
}

// NewConn returns a Conn on c.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c, head: NewReader(c)} }

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) { return c.head.Read(b) }

// ExpectResponse makes the connection check the head of the response to the request that is sent next.
func (c *Conn) ExpectResponse() { _ = c.head.Expect(nil) }
