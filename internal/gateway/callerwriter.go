package gateway

import (
	"net"
	"time"

	"carawayrouter.example/router/internal/relaybuffer"
)

const (
	stallCheck = 500 * time.Millisecond // between two looks at a caller that takes nothing
	relayPiece = 16 << 10               // bytes; a caller that takes so much is not stalled
)

// callerWriter writes to a caller's connection. While a stream that is read ahead is relayed, a caller may take as long
// as it takes something.
type callerWriter struct {
	net.Conn

	stream *relaybuffer.Stream // nil if the connection's write deadline holds
	until  time.Time           // when the stream's request ends
}

// relay sets the stream that is relayed, or nil.
func (w *callerWriter) relay(stream *relaybuffer.Stream, until time.Time) {
	w.stream, w.until = stream, until
}

// Write implements io.Writer.
func (w *callerWriter) Write(b []byte) (n int, err error) {
	if w.stream == nil {
		return w.Conn.Write(b)
	}
	tookAt := time.Now()
	for n < len(b) {
		deadline := time.Now().Add(stallCheck)
		if w.until.Before(deadline) {
			deadline = w.until
		}
		_ = w.SetWriteDeadline(deadline)
		k, err := w.Conn.Write(b[n:min(len(b), n+relayPiece)])
		n += k
		now := time.Now()
		if k > 0 {
			tookAt = now
		}
		if err != nil && (!isTimeout(err) || !now.Before(w.until) || w.stream.GiveUp(now.Sub(tookAt))) {
			return n, err
		}
	}
	return n, nil
}
