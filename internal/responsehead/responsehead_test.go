package responsehead

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"
)

// readHead reads the final response in data, and returns how many bytes its head and those of the interim responses have.
func readHead(data string, split func(io.Reader) io.Reader) (bytesRead int, err error) {
	source := strings.NewReader(data)
	head := NewReader(split(source))
	br := bufio.NewReader(head)
	for {
		resp, err := head.ReadResponse(br, nil)
		if err != nil {
			return 0, err
		}
		if resp.StatusCode >= http.StatusOK {
			return len(data) - source.Len() - br.Buffered(), nil
		}
	}
}

// splits are ways in which bytes can arrive.
var splits = map[string]func(io.Reader) io.Reader{
	"at once":      func(r io.Reader) io.Reader { return r },
	"byte by byte": iotest.OneByteReader,
	"with the end": iotest.DataErrReader,
}

func TestHeadsOfHTTPAreRead(t *testing.T) {
	long := "X: " + strings.Repeat("a", 10<<10) + "\r\n"
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\n\r\n",
		"HTTP/1.0 599 \r\nX: y\r\n\r\n",
		"HTTP/1.1 404\r\n\r\n",
		"HTTP/1.1 200 In \xc3\xa4 word\t\r\n!#$%&'*+-.^_`|~09azAZ: \xc3\xa4\t!~\r\nEmpty:\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 199 X\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
		"HTTP/1.1 200 OK\r\n" + long + long + "\r\n",
	} {
		for name, split := range splits {
			n, err := readHead(head+"body", split)
			assert.NilError(t, err, "%s: %.60q", name, head)
			assert.Equal(t, n, len(head), "%s: %.60q", name, head)
		}
	}
}

func TestMalformedHeadsAreErrors(t *testing.T) {
	heads := []string{
		"HTTP/2.0 200 OK\r\n\r\n", "HTTP/1.x 200 OK\r\n\r\n", "http/1.1 200 OK\r\n\r\n", "HTTP/1.1  200 OK\r\n\r\n", "HTTP/1.1 2000 OK\r\n\r\n",
		"HTTP/1.1 20 OK\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\n" + "HTTP/1.1 000 OK\r\n\r\n", "\r\nHTTP/1.1 200 OK\r\n\r\n",
	}
	for _, code := range []string{"000", "001", "099", "101", "600", "999", "+20", "-00", "0x2"} {
		heads = append(heads, "HTTP/1.1 "+code+" OK\r\n\r\n")
	}
	for _, head := range heads {
		assert.ErrorIs(t, NewReader(nil).Expect([]byte(head)), ErrMalformed, "%q", head)
		for name, split := range splits {
			_, err := readHead(head+"body", split)
			assert.Assert(t, err != nil && err != io.EOF, "%s: %q: %v", name, head, err) // net/http may find the fault first
		}
	}
}
