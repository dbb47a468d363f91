package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"
)

func TestOnlyWholeEventsArePassedOn(t *testing.T) {
	br := bufio.NewReaderSize(strings.NewReader("id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\nda"), 16)
	for _, want := range []string{"1", "2"} {
		e, err := readEvent(br)
		assert.NilError(t, err)
		assert.Equal(t, e.id, want)
	}
	_, err := readEvent(br)
	assert.ErrorIs(t, err, errTruncatedEvent)
	_, err = readEvent(bufio.NewReader(strings.NewReader("")))
	assert.ErrorIs(t, err, io.EOF)
}

// eventBuffers are the sizes of buffers of the tests: that of the instance, and ones that split
// almost every line of a short event.
var eventBuffers = []int{16, 17, 64, eventBufferBytes}

// referenceEvents splits the bytes of a stream into its complete events. It has the whole stream at
// once, so that no buffer splits its lines.
func referenceEvents(stream string) (events []streamEvent, rest string) {
	start, id := 0, ""
	for at := 0; ; {
		n := strings.IndexByte(stream[at:], '\n')
		if n < 0 {
			return events, stream[start:]
		}
		line := strings.TrimRight(stream[at:at+n], "\r")
		at += n + 1
		switch {
		case line == "":
			events = append(events, streamEvent{raw: []byte(stream[start:at]), id: id})
			start, id = at, ""
		case strings.HasPrefix(line, "id:"):
			id = strings.TrimSpace(strings.TrimPrefix(line, "id:"))
		}
	}
}

// checkEvents compares what readEvent makes of a stream with the reference, for all buffers and for
// readers that return much or little at once, with or after the end.
func checkEvents(t *testing.T, stream string) {
	t.Helper()
	want, rest := referenceEvents(stream)
	readers := []func(io.Reader) io.Reader{func(r io.Reader) io.Reader { return r }, iotest.HalfReader, iotest.OneByteReader, iotest.DataErrReader}
	for _, size := range eventBuffers {
		for i, reader := range readers {
			br := bufio.NewReaderSize(reader(strings.NewReader(stream)), size)
			for n, w := range want {
				e, err := readEvent(br)
				if err != nil || e.id != w.id || !bytes.Equal(e.raw, w.raw) {
					t.Fatalf("buffer %d, reader %d, event %d: id %.40q of %d bytes, error %v; want id %.40q of %d bytes", size, i, n, e.id, len(e.raw), err, w.id, len(w.raw))
				}
			}
			e, err := readEvent(br)
			end := io.EOF
			if rest != "" {
				end = errTruncatedEvent
			}
			if !errors.Is(err, end) || e.id != "" || e.raw != nil {
				t.Fatalf("buffer %d, reader %d: id %.40q of %d bytes and error %v after the last event, want %v", size, i, e.id, len(e.raw), err, end)
			}
		}
	}
}

// streamsAtEdges are streams with a line of any length around each multiple of the buffers' sizes,
// before text that is a field or an empty line if the line is taken for two.
func streamsAtEdges() (streams []string) {
	for _, size := range eventBuffers {
		for _, edge := range []int{size, 2 * size, 3 * size} {
			for length := edge - 3; length <= edge+3; length++ {
				const field = "data: "
				filler := field + strings.Repeat("x", length-len(field))
				for _, end := range []string{"", "id: 99", "id:99\r", "\r", "\r\r", "\rid: 99"} {
					streams = append(streams, "id: 1\n"+filler+end+"\n\nid: 2\r\n"+filler+end+"\r\n\r\nid: 3\n"+filler+end)
				}
				streams = append(streams, "data: a\nid: "+strings.Repeat("7", length)+"\n\n")
			}
		}
	}
	return streams
}

// The length of a line neither ends its event nor makes text of the line an id.
func TestEventsAreTheSameWithAnyBuffer(t *testing.T) {
	for _, stream := range streamsAtEdges() {
		checkEvents(t, stream)
	}
}

// Wherever a stream ends, its last event has no id and no bytes unless it is whole.
func TestStreamEndsAnywhere(t *testing.T) {
	const stream = "id: 1\r\ndata: a\n\nid: 2\nid: 3\ndata: a line longer than the smallest buffer id: 99\r\n\r\ndata: without\n\nid\nid:\nid: 4\nid:\n\n"
	for end := range len(stream) + 1 {
		checkEvents(t, stream[:end])
	}
	br := bufio.NewReader(io.MultiReader(strings.NewReader("id: 1\n"), iotest.ErrReader(io.ErrClosedPipe)))
	e, err := readEvent(br)
	assert.ErrorIs(t, err, io.ErrClosedPipe)
	assert.Equal(t, e.id, "")
}

// An event may have as many bytes as the limit says, in one line or many, and no more of an endless
// one are read than a buffer.
func TestEventsAreBounded(t *testing.T) {
	for _, line := range []string{"", "data: x\n"} {
		for _, over := range []int{0, 1} {
			body := "id: 1\n" + strings.Repeat(line, 1000)
			body += strings.Repeat("x", maxEventBytes+over-len(body)-2) + "\n\n"
			e, err := readEvent(bufio.NewReaderSize(strings.NewReader(body), eventBufferBytes))
			if over > 0 {
				assert.ErrorIs(t, err, errLargeEvent)
				continue
			}
			assert.NilError(t, err)
			assert.Equal(t, e.id, "1")
			assert.Equal(t, len(e.raw), maxEventBytes)
		}
	}
	endless := strings.NewReader(strings.Repeat("x", 2*maxEventBytes))
	e, err := readEvent(bufio.NewReaderSize(endless, eventBufferBytes))
	assert.ErrorIs(t, err, errLargeEvent)
	assert.Equal(t, e.id, "")
	if read := 2*maxEventBytes - endless.Len(); read > maxEventBytes+2*eventBufferBytes {
		t.Fatalf("%d bytes were read", read)
	}
}

// Events are the same as those of the reference, so that the raw bytes of all events together equal
// the input.
func FuzzReadEvent(f *testing.F) {
	f.Add("id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
	f.Add("\n\n\r\n")
	f.Add("id: 1\rdata: a\r\r\n\n")
	f.Add("data: 0123456789\n\n")
	f.Add("data: 0123456789id: 99\n\n")
	for _, stream := range streamsAtEdges() {
		f.Add(stream)
	}
	f.Fuzz(checkEvents)
}
