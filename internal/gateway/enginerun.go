package gateway

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"carawayrouter.example/router/internal/endpoint"
	"carawayrouter.example/router/internal/placement"
	"carawayrouter.example/router/internal/relaybuffer"
)

// errRunAbandoned ends a run whose response is no longer needed.
var errRunAbandoned = errors.New("the run was abandoned")

// engineRun is a request at a decode engine. Its goroutine sends the request and reads the
// response, so that the exchange can prepare another run while the engine is silent.
type engineRun struct {
	lease   *placement.Lease
	prefill *prefillResult // nil if the engine prefills the prompt itself
	cancel  context.CancelCauseFunc
	results chan runResult
	ids     *idSequence // of the events; nil if the stream cannot be resumed

	refusedBy []string // engines that refused the request with the same prefill result

	// The exchange's view of the run.
	counted bool // the engine may have run the request and fetched the prefill result
	begun   bool // the engine has begun a stream
	resp    *endpointResponse
	events  int // relayed events

	// What is read ahead of the caller; nil if nothing is.
	ahead   *relaybuffer.Stream
	held    *holding
	relayed chan struct{} // signals that the caller has taken an event

	mu         sync.Mutex
	unreceived int    // steps of progress that the exchange has not received yet
	onProgress func() // called once when the engine is heard
}

// prefillResult is the result of a prefill at its engine.
type prefillResult struct {
	addr     string
	endpoint string
	handle   string
	at       time.Time
}

// source returns the address of the result for a decode engine.
func (p *prefillResult) source() string {
	if p == nil {
		return ""
	}
	return p.addr + "/" + p.handle
}

// runResult is one step of a run: the head of the response, an event, or the end. The end of a
// complete stream is io.EOF.
type runResult struct {
	resp  *endpointResponse // set with the head
	body  []byte            // with the head of a response that is not a stream
	event streamEvent
	err   error
}

// isProgress reports whether the engine was heard and has not failed.
func (r runResult) isProgress() bool {
	if r.resp != nil {
		return r.err == nil && startsStream(r.resp)
	}
	return r.err == nil || errors.Is(r.err, io.EOF)
}

// startsStream reports whether a response is a stream's.
func startsStream(resp *endpointResponse) bool {
	return !resp.NotRun && resp.Status == http.StatusOK
}

// startRun sends a request to the lease's decode engine. Ctx ends the run. Ids, if not nil, checks the ids of its events.
func (u *upstream) startRun(ctx context.Context, req endpointRequest, l *placement.Lease, p *prefillResult, ids *idSequence) *engineRun {
	r := &engineRun{lease: l, prefill: p, ids: ids}
	waiting := 1
	if u.ahead != nil {
		r.ahead, r.relayed, waiting = u.ahead.Open(), make(chan struct{}, 1), relaybuffer.MaxEvents
	}
	r.results = make(chan runResult, waiting)
	ctx, r.cancel = context.WithCancelCause(ctx)
	go r.read(ctx, u, req)
	return r
}

// read sends the request and delivers the steps of its response.
func (r *engineRun) read(ctx context.Context, u *upstream, req endpointRequest) {
	resp, err := u.do(ctx, req)
	if err != nil {
		r.deliver(ctx, runResult{err: err})
		return
	}
	if !startsStream(resp) {
		body, err := resp.readAll()
		resp.closeConn()
		context.AfterFunc(ctx, resp.held.release)
		r.deliver(ctx, runResult{resp: resp, body: body, err: err})
		return
	}
	if !r.deliver(ctx, runResult{resp: resp}) {
		resp.close()
		return
	}
	memory := &eventMemory{Reader: resp.body, held: u.memory.hold()}
	r.held = memory.held
	context.AfterFunc(ctx, memory.held.release)
	if r.ahead != nil {
		context.AfterFunc(ctx, r.ahead.Close)
	}
	events := newEventReader(bufio.NewReaderSize(memory, eventBufferBytes), r.ids)
	for {
		if !r.awaitRoom(ctx) {
			resp.close()
			return
		}
		e, err := events.next()
		if err != nil {
			resp.bodyRead = errors.Is(err, io.EOF)
			resp.close()
			// An event with a wrong id is no sign that the engine has crashed.
			if !resp.bodyRead && !errors.Is(err, errWrongEventID) {
				err = errors.Mark(err, endpoint.ErrCallFailed)
			}
			r.deliver(ctx, runResult{err: err})
			return
		}
		if r.ahead != nil {
			r.ahead.Received(len(e.raw))
		}
		if !r.deliver(ctx, runResult{event: e}) {
			resp.close()
			return
		}
		if r.ahead == nil {
			memory.pass()
		}
	}
}

// awaitRoom waits until another event may be read from the engine, and reports whether the run goes on.
func (r *engineRun) awaitRoom(ctx context.Context) bool {
	for r.ahead != nil && !r.ahead.MayRead() {
		select {
		case <-r.relayed:
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// taken records that the caller has taken an event of n bytes.
func (r *engineRun) taken(n int) {
	if r.ahead == nil {
		return
	}
	r.ahead.Relayed(n)
	r.held.shrink(int64(n))
	signal(r.relayed)
}

// deliver passes a result to the exchange and reports whether the run goes on.
func (r *engineRun) deliver(ctx context.Context, x runResult) bool {
	if x.isProgress() {
		r.mu.Lock()
		r.unreceived++
		f := r.onProgress
		r.onProgress = nil
		r.mu.Unlock()
		if f != nil {
			f()
		}
	}
	select {
	case r.results <- x:
		return true
	case <-ctx.Done():
		return false
	}
}

// notifyProgress calls f once when the engine is heard, or at once if the exchange has not yet
// received all that was.
func (r *engineRun) notifyProgress(f func()) {
	r.mu.Lock()
	heard := r.unreceived > 0
	if !heard {
		r.onProgress = f
	}
	r.mu.Unlock()
	if heard {
		f()
	}
}

// received records that the exchange received a result.
func (r *engineRun) received(x runResult) {
	if !x.isProgress() {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unreceived--
}
