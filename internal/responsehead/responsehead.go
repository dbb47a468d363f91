// Package responsehead checks the heads of HTTP/1 responses as they are read. The parser of net/http accepts heads that
// the protocol does not allow, and derives from them where a body begins and ends.
package responsehead

import (
	"bufio"
	"io"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"
)

// ErrMalformed means that the head of a response is not one of HTTP/1.
var ErrMalformed = errors.New("the response's head is malformed")

// Reader checks the response heads in what is read through it. It is safe for concurrent use with Expect.
type Reader struct {
	r io.Reader

	mu       sync.Mutex
	head     scanner
	expected bool  // the end of a head is still to come
	err      error // of the latest head
}

// NewReader returns a Reader that reads from r.
func NewReader(r io.Reader) *Reader { return &Reader{r: r} }

// Expect makes the reader check the head of the next response, with the interim responses before it. The head begins with
// buffered, which was read before.
func (r *Reader) Expect(buffered []byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.head, r.expected, r.err = scanner{}, true, nil
	return r.check(buffered)
}

// Read implements io.Reader. It returns ErrMalformed instead of the bytes with which a head became malformed, and from
// then on.
func (r *Reader) Read(b []byte) (int, error) {
	n, err := r.r.Read(b)
	r.mu.Lock()
	defer r.mu.Unlock()
	if headErr := r.check(b[:n]); headErr != nil {
		return 0, headErr
	}
	return n, err
}

// check scans the next bytes. The caller holds the lock.
func (r *Reader) check(b []byte) error {
	if !r.expected || r.err != nil {
		return r.err
	}
	switch r.head.scan(b) {
	case ended:
		r.expected = false
	case malformed:
		r.err = ErrMalformed
	}
	return r.err
}

// ReadResponse reads the next response from br, which reads from r, like http.ReadResponse.
func (r *Reader) ReadResponse(br *bufio.Reader, req *http.Request) (*http.Response, error) {
	buffered, err := br.Peek(br.Buffered())
	if err != nil {
		return nil, err
	}
	if err := r.Expect(buffered); err != nil {
		return nil, err
	}
	return http.ReadResponse(br, req)
}
