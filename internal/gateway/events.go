package gateway

import (
	"bufio"
	"bytes"
	"io"

	"github.com/cockroachdb/errors"
)

// streamEvent is one event of a stream with its raw bytes.
type streamEvent struct {
	raw []byte // including the blank line that ends it
	id  string
}

var errTruncatedEvent = errors.New("stream ended in the middle of an event")

// readEvent reads one complete event. It returns io.EOF only between two events.
func readEvent(br *bufio.Reader) (streamEvent, error) {
	var e streamEvent
	for {
		line, err := br.ReadSlice('\n')
		e.raw = append(e.raw, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			if len(e.raw) > maxEventBytes {
				return e, errors.New("event is too large")
			}
			continue
		case errors.Is(err, io.EOF):
			if len(e.raw) > 0 {
				return e, errTruncatedEvent
			}
			return e, io.EOF
		case err != nil:
			return e, err
		}
		if len(e.raw) > maxEventBytes {
			return e, errors.New("event is too large")
		}
		trimmed := bytes.TrimRight(line, "\r\n")
		if len(trimmed) == 0 {
			return e, nil
		}
		if v, ok := bytes.CutPrefix(trimmed, []byte("id:")); ok {
			e.id = string(bytes.TrimSpace(v))
		}
	}
}
