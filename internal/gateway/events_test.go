package gateway

import (
	"bufio"
	"errors"
	"io"
	"strings"
	"testing"

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

// The raw bytes of all events together equal the input.
func FuzzReadEvent(f *testing.F) {
	f.Add("id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
	f.Add("\n\n\r\n")
	f.Fuzz(func(t *testing.T, in string) {
		br := bufio.NewReaderSize(strings.NewReader(in), 16)
		out := ""
		for {
			e, err := readEvent(br)
			if err != nil {
				if errors.Is(err, io.EOF) && out != in {
					t.Fatalf("%q became %q", in, out)
				}
				return
			}
			out += string(e.raw)
		}
	})
}
