package rpc

import (
	"bufio"
	"encoding/gob"
	"io"
	"net"
	netrpc "net/rpc"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// writeTimeout limits the time to write one message. On the server it also limits the time
// to receive the rest of a request after its header.
const writeTimeout = 5 * time.Second

// errTooLarge is returned for a message that exceeds the size limit.
var errTooLarge = errors.New("message is larger than allowed")

// limitedReader limits the number of bytes read per message.
type limitedReader struct {
	r         *bufio.Reader
	limit     int
	remaining int
}

func (b *limitedReader) startMessage() { b.remaining = b.limit }

// Read implements io.Reader.
func (b *limitedReader) Read(p []byte) (int, error) {
	if b.remaining <= 0 {
		return 0, errTooLarge
	}
	if len(p) > b.remaining {
		p = p[:b.remaining]
	}
	n, err := b.r.Read(p)
	b.remaining -= n
	return n, err
}

// ReadByte implements io.ByteReader. gob would otherwise add its own buffering and read
// past the end of a message.
func (b *limitedReader) ReadByte() (byte, error) {
	if b.remaining <= 0 {
		return 0, errTooLarge
	}
	b.remaining--
	return b.r.ReadByte()
}

// codec encodes net/rpc messages with gob. A message consists of a header and a body.
type codec struct {
	conn net.Conn
	in   *limitedReader
	dec  *gob.Decoder
	out  *bufio.Writer
	enc  *gob.Encoder
}

func newCodec(conn net.Conn, maxMessage int) *codec {
	in := &limitedReader{r: bufio.NewReader(conn), limit: maxMessage}
	out := bufio.NewWriter(conn)
	return &codec{conn: conn, in: in, dec: gob.NewDecoder(in), out: out, enc: gob.NewEncoder(out)}
}

// write sends one message. It closes the connection on error, because a partial message
// leaves the stream unusable.
func (c *codec) write(header, body any) error {
	_ = c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	err := c.enc.Encode(header)
	if err == nil {
		err = c.enc.Encode(body)
	}
	if err == nil {
		err = c.out.Flush()
	}
	if err != nil {
		_ = c.conn.Close()
	}
	return err
}

// clientCodec implements net/rpc's ClientCodec.
type clientCodec struct{ *codec }

func (c clientCodec) WriteRequest(r *netrpc.Request, body any) error { return c.write(r, body) }

func (c clientCodec) ReadResponseHeader(r *netrpc.Response) error {
	c.in.startMessage()
	return c.dec.Decode(r)
}

func (c clientCodec) ReadResponseBody(body any) error { return c.dec.Decode(body) }

func (c clientCodec) Close() error { return c.conn.Close() }

// serverCodec implements net/rpc's ServerCodec. It disconnects a peer that sends a message
// that cannot be decoded, and limits the number of calls in progress.
type serverCodec struct {
	*codec
	idleTimeout time.Duration
	authorize   func() error // called before each request
	callSlots   chan struct{}
	decodeErr   error // set if a request body could not be decoded; ends reading
	closed      chan struct{}
	closeOnce   sync.Once
}

func newServerCodec(conn net.Conn, o Options, authorize func() error) *serverCodec {
	return &serverCodec{
		codec:       newCodec(conn, o.MaxMessageBytes),
		idleTimeout: 2 * o.IdleTimeout, // the client closes idle connections first
		authorize:   authorize,
		callSlots:   make(chan struct{}, o.MaxCallsPerConn),
		closed:      make(chan struct{}),
	}
}

func (c *serverCodec) ReadRequestHeader(r *netrpc.Request) error {
	if c.decodeErr != nil {
		return c.decodeErr
	}
	select {
	case c.callSlots <- struct{}{}:
	case <-c.closed:
		return io.EOF
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(c.idleTimeout))
	c.in.startMessage()
	if err := c.dec.Decode(r); err != nil {
		return err
	}
	// The rest of a message that has been started must arrive within writeTimeout.
	_ = c.conn.SetReadDeadline(time.Now().Add(writeTimeout))
	return c.authorize()
}

func (c *serverCodec) ReadRequestBody(body any) error {
	err := c.dec.Decode(body)
	if err != nil {
		c.decodeErr = err
	}
	return err
}

func (c *serverCodec) WriteResponse(r *netrpc.Response, body any) error {
	defer func() { <-c.callSlots }()
	return c.write(r, body)
}

func (c *serverCodec) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.conn.Close()
}
