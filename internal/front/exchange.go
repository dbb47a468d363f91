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

// frameBacklog is the number of streamed frames buffered between the filter chain and the
// connection.
const frameBacklog = 64

type header = endpoint.Header

type serviceResponse struct {
	status  int
	headers []header
	body    []byte
}

// exchange is one request and its response. The goroutine that runs the filter chain
// calls the filter.Responder methods; the connection's goroutine writes what they produce.
type exchange struct {
	id         string
	created    int64 // seconds since the epoch
	completion *filter.Completion
	ctx        context.Context
	cancel     context.CancelCauseFunc

	started    atomic.Bool
	firstFrame chan struct{} // closed when the first streamed frame is queued
	frames     chan []byte

	// The fields below are owned by the chain's goroutine until done is closed.
	tokenTexts []string
	full       *completionObject
	service    *serviceResponse
	usage      *filter.Usage
	err        error
	done       chan struct{}
}

func newExchange(ctx context.Context, id string, c *filter.Completion, now time.Time) *exchange {
	ctx, cancel := context.WithCancelCause(ctx)
	return &exchange{
		id:         id,
		created:    now.Unix(),
		completion: c,
		ctx:        ctx,
		cancel:     cancel,
		firstFrame: make(chan struct{}),
		frames:     make(chan []byte, frameBacklog),
		done:       make(chan struct{}),
	}
}

var errCallerDisconnected = errors.New("caller closed its connection")

func (x *exchange) streaming() bool { return x.completion != nil && x.completion.Stream }

// Token implements filter.Responder.
func (x *exchange) Token(t endpoint.Token) error {
	if !x.streaming() {
		x.tokenTexts = append(x.tokenTexts, t.Text)
		return nil
	}
	frame, err := json.Marshal(x.streamedToken(t.Text, t.Finish, t.Index))
	if err != nil {
		return errkind.Wrap(err, errkind.Internal, errkind.Ran, "internal error")
	}
	return x.queueFrame(frame)
}

// queueFrame passes a frame to the connection's goroutine. It blocks while the queue is full.
func (x *exchange) queueFrame(frame []byte) error {
	select {
	case x.frames <- frame:
	case <-x.ctx.Done():
		return errkind.Wrap(context.Cause(x.ctx), errkind.ClientGone, errkind.Unknown, "the caller left")
	}
	if !x.started.Swap(true) {
		close(x.firstFrame)
	}
	return nil
}

// Finish implements filter.Responder.
func (x *exchange) Finish(u filter.Usage) error {
	if !x.streaming() {
		full := x.fullCompletion(u)
		x.full = &full
		return nil
	}
	x.usage = &u
	return nil
}

// Service implements filter.Responder.
func (x *exchange) Service(r *endpoint.ServiceResponse) error {
	body, err := readBody(r.Body)
	if err != nil {
		return errkind.Wrap(err, errkind.EndpointFailed, errkind.Ran, "the service's answer broke off")
	}
	x.service = &serviceResponse{status: r.Status, headers: r.Headers, body: body}
	return nil
}

// Replay implements filter.Responder.
func (x *exchange) Replay(a *operation.Answer) error {
	x.service = replayedResponse(a)
	return nil
}

// Started implements filter.Responder.
func (x *exchange) Started() bool { return x.started.Load() }

// runChain runs the filter chain and stores its result. A panic fails this request only.
func (x *exchange) runChain(h filter.Handler, r *filter.Request) {
	defer close(x.done)
	defer func() {
		if p := recover(); p != nil {
			x.err = errkind.Wrap(errors.Newf("panic: %v\n%s", p, debug.Stack()), errkind.Internal, errkind.Unknown, "internal error")
		}
	}()
	x.err = h(x.ctx, r)
}

// writeStream writes frames, and keep-alive comments in between, until the chain ends. A
// failed write cancels the request.
func (x *exchange) writeStream(w *bufio.Writer, interval time.Duration) {
	defer x.cancel(errCallerDisconnected)
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case frame := <-x.frames:
			if x.writeFrames(w, frame) != nil {
				return
			}
		case <-ticker.C:
			if writeKeepAlive(w) != nil {
				return
			}
		case <-x.done:
			x.finishStream(w)
			return
		}
	}
}

// writeFrames writes frame and all queued frames, then flushes.
func (x *exchange) writeFrames(w *bufio.Writer, frame []byte) error {
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

// finishStream writes the remaining frames and the end of the stream: the usage and [DONE]
// after a complete response, or else the error.
func (x *exchange) finishStream(w *bufio.Writer) {
	for len(x.frames) > 0 {
		writeFrame(w, <-x.frames)
	}
	if x.err != nil {
		writeFrame(w, errorJSON(errkind.From(x.err), x.id))
		_ = w.Flush()
		return
	}
	last := x.newObject("text_completion", choice{})
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

func writeKeepAlive(w *bufio.Writer) error {
	_, _ = w.WriteString(": keep-alive\n\n")
	return w.Flush()
}
