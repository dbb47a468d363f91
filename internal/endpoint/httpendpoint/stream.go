package httpendpoint

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"carawayrouter.example/router/internal/endpoint"
	"carawayrouter.example/router/internal/reqid"
)

// maxEventBytes is the maximum length of a line in an event stream.
const maxEventBytes = 1 << 20

// eventReader reads server-sent events. It is used by one goroutine.
type eventReader struct {
	ctx       context.Context
	transport *http.Transport
	body      io.ReadCloser
	scanner   *bufio.Scanner
}

func newEventReader(ctx context.Context, tr *http.Transport, body io.ReadCloser) *eventReader {
	sc := bufio.NewScanner(body)
	sc.Buffer(make([]byte, 0, 4096), maxEventBytes)
	return &eventReader{ctx: ctx, transport: tr, body: body, scanner: sc}
}

// next returns the data of the next event and skips comments. It returns io.EOF at the end
// of the stream, and for an error event the error that the event describes.
func (r *eventReader) next() ([]byte, error) {
	event := ""
	for r.scanner.Scan() {
		line := r.scanner.Bytes()
		if name, ok := bytes.CutPrefix(line, []byte("event: ")); ok {
			event = string(name)
			continue
		}
		data, ok := bytes.CutPrefix(line, []byte("data: "))
		if !ok {
			continue
		}
		if event != EventError {
			return data, nil
		}
		b := errorBody(data)
		return nil, codeError(b.Code, b.Message)
	}
	if err := r.scanner.Err(); err != nil {
		return nil, readError(r.ctx, r.transport, err)
	}
	return nil, io.EOF
}

func (r *eventReader) close() error { return r.body.Close() }

// tokenStream implements endpoint.TokenStream.
type tokenStream struct {
	events    *eventReader
	id        reqid.ID
	attempt   int
	nextIndex int // expected index of the next token
	finished  bool
	err       error // returned by all further calls of Next
}

// Next implements endpoint.TokenStream.
func (s *tokenStream) Next() (endpoint.Token, error) {
	if s.err != nil {
		return endpoint.Token{}, s.err
	}
	if s.finished {
		return endpoint.Token{}, io.EOF
	}
	t, err := s.read()
	if err != nil {
		s.err = err
		_ = s.events.close()
		return endpoint.Token{}, err
	}
	s.nextIndex++
	s.finished = t.Finish != ""
	return t, nil
}

// read returns the next token after verifying its request id, attempt and index.
func (s *tokenStream) read() (endpoint.Token, error) {
	data, err := s.events.next()
	if err == io.EOF {
		return endpoint.Token{}, errors.Wrap(endpoint.ErrCallFailed, "stream ended before the last token")
	}
	if err != nil {
		return endpoint.Token{}, err
	}
	var t endpoint.Token
	if err := json.Unmarshal(data, &t); err != nil {
		return endpoint.Token{}, wrapCause(endpoint.ErrCallFailed, err, "token")
	}
	if t.ID != s.id || t.Attempt != s.attempt {
		return endpoint.Token{}, mismatchError(t.ID, t.Attempt)
	}
	if t.Index != s.nextIndex {
		return endpoint.Token{}, errors.Wrapf(endpoint.ErrMismatch, "got token %d, want token %d", t.Index, s.nextIndex)
	}
	return t, nil
}

// Close implements endpoint.TokenStream. After the last token it reads the rest of the
// stream in the background, so that the engine sees that its output was read completely
// and the connection can be reused. The read timeout of the connection limits the duration.
func (s *tokenStream) Close() error {
	if !s.finished || s.err != nil {
		return s.events.close()
	}
	s.err = io.EOF
	go func() {
		for {
			if _, err := s.events.next(); err != nil {
				_ = s.events.close()
				return
			}
		}
	}()
	return nil
}
