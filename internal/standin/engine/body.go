package engine

import (
	"bytes"
	"encoding/json"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"carawayrouter.example/router/internal/endpoint/httpendpoint"
	"carawayrouter.example/router/internal/standin/host"
)

// errDied ends event streams when the engine crashes.
var errDied = errors.New("engine died")

// keepaliveComment is the event stream comment that is sent while there is no data.
const keepaliveComment = ":\n\n"

// eventBody is the body of an event stream. fasthttp calls fill again only after it has
// written the previous data to the connection.
type eventBody interface {
	// fill blocks until there is data to send; io.EOF ends the stream.
	fill() ([]byte, error)
	// closed is called when the stream has ended for any reason.
	closed()
}

// startEvents makes b the body of an event stream response.
func startEvents(ctx *fasthttp.RequestCtx, b eventBody) {
	ctx.SetContentType(httpendpoint.EventStreamContentType)
	ctx.Response.ImmediateHeaderFlush = true
	ctx.SetBodyStream(&eventStream{body: b}, -1)
}

// eventStream adapts an eventBody to io.ReadCloser.
type eventStream struct {
	body    eventBody
	pending []byte
}

// Read implements io.Reader.
func (s *eventStream) Read(p []byte) (int, error) {
	if len(s.pending) == 0 {
		data, err := s.body.fill()
		if err != nil {
			return 0, err
		}
		s.pending = data
	}
	n := copy(p, s.pending)
	s.pending = s.pending[n:]
	return n, nil
}

// Close implements io.Closer.
func (s *eventStream) Close() error {
	s.body.closed()
	return nil
}

func dataEvent(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		return errorEvent(&refusal{code: httpendpoint.CodeFailed, text: err.Error()})
	}
	return append(append([]byte("data: "), data...), "\n\n"...)
}

func errorEvent(r *refusal) []byte {
	event := []byte("event: " + httpendpoint.EventError + "\n")
	return append(event, dataEvent(httpendpoint.ErrorBody{Code: r.code, Message: r.text})...)
}

// resultBody sends one result as an event as soon as it is ready.
type resultBody struct {
	st     *state
	ready  <-chan struct{}
	result func() (any, *refusal)
	sent   bool
}

// streamResult responds with an event stream of one event, sent after ready is closed.
func (st *state) streamResult(ctx *fasthttp.RequestCtx, ready <-chan struct{}, result func() (any, *refusal)) {
	startEvents(ctx, &resultBody{st: st, ready: ready, result: result})
}

func (b *resultBody) fill() ([]byte, error) {
	if b.sent {
		return nil, io.EOF
	}
	select {
	case <-b.ready:
	case <-b.st.clk.After(b.st.s.Keepalive):
		return []byte(keepaliveComment), nil
	case <-b.st.ctx.Done():
		return nil, errDied
	}
	if b.st.ctx.Err() != nil {
		return nil, errDied
	}
	b.sent = true
	v, ref := b.result()
	if ref != nil {
		return errorEvent(ref), nil
	}
	return dataEvent(v), nil
}

func (b *resultBody) closed() {}

// tokenBody streams the output of a run.
type tokenBody struct {
	st    *state
	run   *run
	next  int  // index of the next token to send
	final bool // the last event was returned by fill
}

func (b *tokenBody) fill() ([]byte, error) {
	if b.final {
		// fasthttp has written the last token to the connection.
		b.st.outputDelivered(b.run)
		return nil, io.EOF
	}
	for {
		list, changed := b.st.tokens(b.run, b.next)
		if len(list) > 0 {
			var out bytes.Buffer
			for _, t := range list {
				out.Write(dataEvent(t))
			}
			b.next += len(list)
			if list[len(list)-1].Finish != "" {
				out.WriteString("data: " + httpendpoint.DoneData + "\n\n")
				b.final = true
			}
			return out.Bytes(), nil
		}
		select {
		case <-changed:
		case <-b.st.clk.After(b.st.s.Keepalive):
			return []byte(keepaliveComment), nil
		case <-b.run.ctx.Done():
			return b.endCancelled()
		}
	}
}

// endCancelled ends the stream of a request that was cancelled or whose output expired.
func (b *tokenBody) endCancelled() ([]byte, error) {
	if b.st.ctx.Err() != nil {
		return nil, errDied
	}
	b.final = true
	return errorEvent(&refusal{code: httpendpoint.CodeGone, text: "request was cancelled"}), nil
}

func (b *tokenBody) closed() {}

// exportBody sends the description of an exported KV cache when its transfer is complete.
type exportBody struct {
	st    *state
	job   *job
	until time.Time
	sent  bool
	ended bool
}

func newExportBody(st *state, j *job) *exportBody {
	return &exportBody{st: st, job: j, until: st.reserveLink(j.tokens)}
}

func (b *exportBody) fill() ([]byte, error) {
	if b.sent {
		b.ended = true
		return nil, io.EOF
	}
	left := b.until.Sub(b.st.clk.Now())
	_, stalled := b.st.faults.Active(host.StallTransfer)
	if left > 0 || stalled {
		if err := host.Sleep(b.st.ctx, b.st.clk, b.pause(left, stalled)); err != nil {
			return nil, errDied
		}
		return []byte(keepaliveComment), nil
	}
	b.sent = true
	return dataEvent(httpendpoint.ExportResult{
		Handle: b.job.handle, Model: b.job.req.Model, Prompt: b.job.req.Prompt, Tokens: b.job.tokens,
	}), nil
}

// pause returns the time until the next keep-alive comment or the end of the transfer.
func (b *exportBody) pause(left time.Duration, stalled bool) time.Duration {
	if stalled {
		return b.st.s.Keepalive
	}
	return min(left, b.st.s.Keepalive)
}

func (b *exportBody) closed() { b.st.endExport(b.job, b.ended) }
