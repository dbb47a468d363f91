package front

import (
	"bufio"
	"context"
	"encoding/json"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"carawayrouter.example/router/internal/endpoint"
	"carawayrouter.example/router/internal/errkind"
	"carawayrouter.example/router/internal/filter"
	"carawayrouter.example/router/internal/operation"
)

// frameBacklog is the number of streamed frames that may wait for the caller.
const frameBacklog = 64

type header = endpoint.Header

type serviceAnswer struct {
	status  int
	headers []header
	body    []byte
}

// exchange is one request and its answer. The chain's goroutine writes through the
// filter.Responder methods; the connection's goroutine sends what they produce.
type exchange struct {
	id         string
	created    int64 // seconds since the epoch
	completion *filter.Completion
	ctx        context.Context
	cancel     context.CancelCauseFunc

	started atomic.Bool
	first   chan struct{} // closed with the first streamed frame
	frames  chan []byte

	// The following belong to the chain's goroutine until done is closed.
	texts   []string
	whole   *chunk
	service *serviceAnswer
	usage   *filter.Usage
	err     error
	done    chan struct{}
}

func newExchange(ctx context.Context, id string, c *filter.Completion, now time.Time) *exchange {
	ctx, cancel := context.WithCancelCause(ctx)
	return &exchange{
		id:         id,
		created:    now.Unix(),
		completion: c,
		ctx:        ctx,
		cancel:     cancel,
		first:      make(chan struct{}),
		frames:     make(chan []byte, frameBacklog),
		done:       make(chan struct{}),
	}
}

var errCallerGone = errors.New("caller closed its connection")

func (x *exchange) streams() bool { return x.completion != nil && x.completion.Stream }

// Token implements filter.Responder.
func (x *exchange) Token(t endpoint.Token) error {
	if !x.streams() {
		x.texts = append(x.texts, t.Text)
		return nil
	}
	frame, err := json.Marshal(x.tokenChunk(t.Text, t.Finish, t.Index))
	if err != nil {
		return errkind.Wrap(err, errkind.Internal, errkind.Ran, "internal error")
	}
	return x.send(frame)
}

// send hands a frame to the connection's goroutine.
func (x *exchange) send(frame []byte) error {
	select {
	case x.frames <- frame:
	case <-x.ctx.Done():
		return errkind.Wrap(context.Cause(x.ctx), errkind.ClientGone, errkind.Unknown, "the caller left")
	}
	if !x.started.Swap(true) {
		close(x.first)
	}
	return nil
}

// Finish implements filter.Responder.
func (x *exchange) Finish(u filter.Usage) error {
	if !x.streams() {
		answer := x.wholeAnswer(u)
		x.whole = &answer
		return nil
	}
	x.usage = &u
	return nil
}

// Service implements filter.Responder.
func (x *exchange) Service(r *endpoint.ServiceResponse) error {
	body, err := readAll(r.Body)
	if err != nil {
		return errkind.Wrap(err, errkind.EndpointFailed, errkind.Ran, "the service's answer broke off")
	}
	x.service = &serviceAnswer{status: r.Status, headers: r.Headers, body: body}
	return nil
}

// Replay implements filter.Responder.
func (x *exchange) Replay(a *operation.Answer) error {
	x.service = replayAnswer(a)
	return nil
}

// Started implements filter.Responder.
func (x *exchange) Started() bool { return x.started.Load() }

// run executes the chain and keeps its result. A panic ends this request alone.
func (x *exchange) run(h filter.Handler, r *filter.Request) {
	defer close(x.done)
	defer func() {
		if p := recover(); p != nil {
			x.err = errkind.Wrap(errors.Newf("panic: %v\n%s", p, debug.Stack()), errkind.Internal, errkind.Unknown, "internal error")
		}
	}()
	x.err = h(x.ctx, r)
}

// stream writes frames until the chain ends. A failed write cancels the request.
func (x *exchange) stream(w *bufio.Writer, keepAlive time.Duration) {
	defer x.cancel(errCallerGone)
	ticker := time.NewTicker(keepAlive)
	defer ticker.Stop()
	for {
		select {
		case frame := <-x.frames:
			if x.write(w, frame) != nil {
				return
			}
		case <-ticker.C:
			if writeComment(w) != nil {
				return
			}
		case <-x.done:
			x.finishStream(w)
			return
		}
	}
}

// write sends one frame and whatever else is waiting, then flushes.
func (x *exchange) write(w *bufio.Writer, frame []byte) error {
	writeFrame(w, frame)
	for {
		select {
		case next := <-x.frames:
			writeFrame(w, next)
		default:
			return w.Flush()
		}
	}
}

// finishStream sends the frames left over and the end of the answer. Only a whole
// answer ends in [DONE].
func (x *exchange) finishStream(w *bufio.Writer) {
	for len(x.frames) > 0 {
		writeFrame(w, <-x.frames)
	}
	if x.err != nil {
		writeFrame(w, errorJSON(errkind.From(x.err), x.id))
		_ = w.Flush()
		return
	}
	last := x.chunk("text_completion", choice{})
	last.Choices = []choice{}
	last.Usage = x.usage
	if b, err := json.Marshal(last); err == nil {
		writeFrame(w, b)
	}
	writeFrame(w, []byte("[DONE]"))
	_ = w.Flush()
}

func writeFrame(w *bufio.Writer, data []byte) {
	_, _ = w.WriteString("data: ")
	_, _ = w.Write(data)
	_, _ = w.WriteString("\n\n")
}

func writeComment(w *bufio.Writer) error {
	_, _ = w.WriteString(": keep-alive\n\n")
	return w.Flush()
}
