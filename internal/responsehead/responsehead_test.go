package responsehead

import (
	"bufio"
	"bytes"
	"fmt"
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
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.0 200 OK\r\nX-Transfer-Encoding: x\r\nTransfer-Encodings: y\r\nTransfer: z\r\n\r\n",
		"HTTP/1.0 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
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
	const status = "HTTP/1.1 200 OK\r\n"
	heads := []string{
		status + "X\r\n\r\n", status + ": y\r\n\r\n", status + "X: y\r\n folded\r\n\r\n", status + "\tX: y\r\n\r\n",
		status + "X: y\n\r\n", status + "X: y\r\n\n", status + "X: y\r\r\n\r\n", status + "X: a\rb\r\n\r\n",
		"HTTP/1.1 200 OK\n\r\n", "HTTP/2.0 200 OK\r\n\r\n", "HTTP/1.x 200 OK\r\n\r\n", "http/1.1 200 OK\r\n\r\n",
		"HTTP/1.1  200 OK\r\n\r\n", "HTTP/1.1 2000 OK\r\n\r\n", "HTTP/1.1 20 OK\r\n\r\n", "HTTP/1.1 200 O\x00K\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\n" + "HTTP/1.1 000 OK\r\n\r\n", "\r\n" + status + "\r\n",
	}
	for _, name := range []string{"Transfer-Encoding", "transfer-encoding", "TRANSFER-ENCODING"} {
		heads = append(heads, "HTTP/1.0 200 OK\r\nX: y\r\n"+name+": chunked\r\n\r\n")
	}
	for _, code := range []string{"000", "001", "099", "101", "600", "999", "+20", "-00", "0x2"} {
		heads = append(heads, "HTTP/1.1 "+code+" OK\r\n\r\n")
	}
	for c := range 256 {
		switch b := string([]byte{byte(c)}); {
		case c <= ' ' || c >= 0x7f || strings.Contains(`"(),/;<=>?@[\]{}`, b):
			heads = append(heads, status+b+"X: y\r\n\r\n", status+"X"+b+"Y: z\r\n\r\n", status+"X"+b+": y\r\n\r\n", status+b+": y\r\n\r\n")
		}
		if c < ' ' && c != '\t' || c == 0x7f {
			heads = append(heads, status+"X: a"+string([]byte{byte(c)})+"b\r\n\r\n")
		}
	}
	for _, head := range heads {
		assert.ErrorIs(t, NewReader(nil).Expect([]byte(head)), ErrMalformed, "%q", head)
		for name, split := range splits {
			_, err := readHead(head+"body", split)
			assert.Assert(t, err != nil && err != io.EOF, "%s: %q: %v", name, head, err) // net/http may find the fault first
		}
	}
}

// What follows a head is not checked, and the head of the next response is again.
func TestOnlyHeadsAreChecked(t *testing.T) {
	head := NewReader(strings.NewReader("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n\n\x00\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\n\n"))
	br := bufio.NewReader(head)
	for _, want := range []string{"\n\x00\n", ""} {
		resp, err := head.ReadResponse(br, nil)
		assert.NilError(t, err)
		body, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		assert.Equal(t, string(body), want)
	}
	_, err := head.ReadResponse(br, nil)
	assert.ErrorIs(t, err, ErrMalformed)
	_, err = br.ReadByte()
	assert.NilError(t, err, "the bytes were read before")
	_, err = head.Read(make([]byte, 1))
	assert.ErrorIs(t, err, ErrMalformed)
}

// FuzzHead reads arbitrary bytes. Where they are accepted as the heads of a final response and the interim ones before it, the
// parser of net/http ends them at the same place, unless it refuses them.
func FuzzHead(f *testing.F) {
	for _, s := range []string{
		"HTTP/1.1 200 OK\r\nX: y\r\n\r\nbody", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 OK\n\n", "HTTP/1.1 000 OK\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX: y\r\n z\r\n\r\n", "HTTP/1.1 200\r\nX : y\r\n\r\n", "HTTP/1.0 304 \r\n:\r\n\r\n", "HTTP/1.1 200 OK\r\nX: y\r\n\nZ: \r\n\r\n",
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		var s scanner
		end := 0
		for end < len(b) && s.state < ended {
			s.scan(b[end : end+1])
			end++
		}
		whole := scanner{}
		assert.Equal(t, whole.scan(b), s.state)
		if s.state != ended {
			return
		}
		source := bytes.NewReader(b)
		br := bufio.NewReader(source)
		for {
			resp, err := http.ReadResponse(br, nil)
			if err != nil {
				return
			}
			if resp.StatusCode < http.StatusOK {
				continue
			}
			assert.Equal(t, len(b)-source.Len()-br.Buffered(), end)
			for name := range resp.Header {
				assert.Assert(t, !strings.ContainsFunc(name, func(r rune) bool { return r <= ' ' || r == 0x7f }), fmt.Sprintf("%q", name))
			}
			return
		}
	})
}
