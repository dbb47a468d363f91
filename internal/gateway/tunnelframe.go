package gateway

import (
	"encoding/binary"
	"io"
	"net"

	"github.com/cockroachdb/errors"
)

// What an endpoint sends through a tunnel is sent on in frames: a length of two bytes, big-endian, and as many
// bytes. A frame of length 0 says that the endpoint has closed its connection; nothing follows it. Without it the
// end of a tunnel says nothing about the endpoint: the instance in between may have ended.

// frameHeadBytes is the size of a frame's length.
const frameHeadBytes = 2

// errTunnelEnded means that a tunnel has ended without a word of how the endpoint's connection did.
var errTunnelEnded = errors.New("the tunnel ended before the endpoint's connection")

// frameWriter writes each block of at most tunnelBuffer bytes as a frame, in one write.
type frameWriter struct {
	w   io.Writer
	buf []byte
}

func newFrameWriter(w io.Writer) *frameWriter {
	return &frameWriter{w: w, buf: make([]byte, frameHeadBytes+tunnelBuffer)}
}

func (f *frameWriter) Write(b []byte) (n int, err error) {
	for len(b) > 0 {
		size := copy(f.buf[frameHeadBytes:], b)
		binary.BigEndian.PutUint16(f.buf, uint16(size))
		if _, err := f.w.Write(f.buf[:frameHeadBytes+size]); err != nil {
			return n, err
		}
		b, n = b[size:], n+size
	}
	return n, nil
}

// end writes the frame that says that the endpoint has closed its connection.
func (f *frameWriter) end() error {
	_, err := f.w.Write(make([]byte, frameHeadBytes))
	return err
}

// tunnelConn is a connection to an endpoint through another instance. Its end is io.EOF only if the
// instance has said that the endpoint closed its connection.
type tunnelConn struct {
	*net.TCPConn
	framed bool // the instance sends frames

	head [frameHeadBytes]byte
	got  int // bytes of head that were read
	left int // bytes of the frame that were not read
}

func (c *tunnelConn) Read(b []byte) (int, error) {
	if !c.framed {
		n, err := c.TCPConn.Read(b)
		return n, tunnelError(err)
	}
	for c.left == 0 {
		n, err := c.TCPConn.Read(c.head[c.got:])
		if c.got += n; err != nil {
			return 0, tunnelError(err)
		}
		if c.got < frameHeadBytes {
			continue
		}
		c.got, c.left = 0, int(binary.BigEndian.Uint16(c.head[:]))
		if c.left == 0 {
			return 0, io.EOF
		}
	}
	n, err := c.TCPConn.Read(b[:min(len(b), c.left)])
	c.left -= n
	return n, tunnelError(err)
}

// tunnelError replaces the end of the connection to the other instance.
func tunnelError(err error) error {
	if errors.Is(err, io.EOF) {
		return errTunnelEnded
	}
	return err
}
