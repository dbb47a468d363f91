package gateway

import (
	"bufio"
	"bytes"
	"io"

	"github.com/cockroachdb/errors"
)

// streamEvent is one event of a stream with its raw bytes.
type streamEvent struct {
	raw     []byte // including the blank line that ends it
	id      string
	hasData bool
	order   idOrder // of the ids up to this one
}

// isComment reports whether there is no output in the event, so that it needs no id.
func (e *streamEvent) isComment() bool { return !e.hasData && e.id == "" }

var (
	errTruncatedEvent = errors.New("stream ended in the middle of an event")
	errLargeEvent     = errors.New("event is too large")
)

// readEvent reads one complete event. It returns io.EOF only between two events, and no part of an
// event with an error. Lines end with "\n" and any "\r" before it; an event ends with an empty line.
// A "\r" elsewhere is part of its line: taken for its end, text of the engine could end an event
// that the engine has not finished.
func readEvent(br *bufio.Reader) (streamEvent, error) {
	var e streamEvent
	lineStart := 0 // in e.raw
	for {
		// The slice may be a part of a line that is longer than the buffer.
		part, err := br.ReadSlice('\n')
		e.raw = append(e.raw, part...)
		switch {
		case len(e.raw) > maxEventBytes:
			return streamEvent{}, errLargeEvent
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF) && len(e.raw) > 0:
			return streamEvent{}, errTruncatedEvent
		case err != nil:
			return streamEvent{}, err
		}
		line := bytes.TrimRight(e.raw[lineStart:], "\r\n")
		lineStart = len(e.raw)
		if len(line) == 0 {
			return e, nil
		}
		if v, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			e.id = string(bytes.TrimSpace(v))
		}
		e.hasData = e.hasData || bytes.HasPrefix(line, []byte("data:")) || string(line) == "data"
	}
}
