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

// writeTimeout bounds the writing of one message.
const writeTimeout = 5 * time.Second

// errTooLarge reports a message above the size limit.
var errTooLarge = errors.New("message is larger than allowed")

// boundedReader reads messages of limited size. reset starts a new message.
type boundedReader struct {
	r     *bufio.Reader
	limit int
	left  int
}

func (b *boundedReader) reset() { b.left = b.limit }

// Read implements io.Reader.
func (b *boundedReader) Read(p []byte) (int, error) {
	if b.left <= 0 {
		return 0, errTooLarge
	}
	if len(p) > b.left {
		p = p[:b.left]
	}
	n, err := b.r.Read(p)
	b.left -= n
	return n, err
}

// ReadByte implements io.ByteReader, so that gob does not read ahead.
func (b *boundedReader) ReadByte() (byte, error) {
	if b.left <= 0 {
		return 0, errTooLarge
	}
	b.left--
	return b.r.ReadByte()
}

// codec encodes net/rpc messages with gob. A message is a header and a body.
type codec struct {
	conn net.Conn
	in   *boundedReader
	dec  *gob.Decoder
	out  *bufio.Writer
	enc  *gob.Encoder
}

func newCodec(conn net.Conn, maxMessage int) *codec {
	in := &boundedReader{r: bufio.NewReader(conn), limit: maxMessage}
	out := bufio.NewWriter(conn)
	return &codec{conn: conn, in: in, dec: gob.NewDecoder(in), out: out, enc: gob.NewEncoder(out)}
}

// write sends one message. After an error the stream is unusable and closed.
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
	c.in.reset()
	return c.dec.Decode(r)
}

func (c clientCodec) ReadResponseBody(body any) error { return c.dec.Decode(body) }

func (c clientCodec) Close() error { return c.conn.Close() }

// serverCodec implements net/rpc's ServerCodec. It disconnects a peer whose message
// cannot be decoded, and bounds the calls in progress.
type serverCodec struct {
	*codec
	idle    time.Duration
	admit   func() error // checked before each request
	calls   chan struct{}
	invalid error // set when the stream can no longer be followed
	closed  chan struct{}
	once    sync.Once
}

func newServerCodec(conn net.Conn, o Options, admit func() error) *serverCodec {
	return &serverCodec{
		codec:  newCodec(conn, o.MaxMessageBytes),
		idle:   2 * o.IdleTimeout, // the client closes idle connections first
		admit:  admit,
		calls:  make(chan struct{}, o.MaxCallsPerConn),
		closed: make(chan struct{}),
	}
}

func (c *serverCodec) ReadRequestHeader(r *netrpc.Request) error {
	if c.invalid != nil {
		return c.invalid
	}
	select {
	case c.calls <- struct{}{}:
	case <-c.closed:
		return io.EOF
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(c.idle))
	c.in.reset()
	if err := c.dec.Decode(r); err != nil {
		return err
	}
	// A peer that began a message must finish it soon.
	_ = c.conn.SetReadDeadline(time.Now().Add(writeTimeout))
	return c.admit()
}

func (c *serverCodec) ReadRequestBody(body any) error {
	err := c.dec.Decode(body)
	if err != nil {
		c.invalid = err
	}
	return err
}

func (c *serverCodec) WriteResponse(r *netrpc.Response, body any) error {
	defer func() { <-c.calls }()
	return c.write(r, body)
}

func (c *serverCodec) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.conn.Close()
}
