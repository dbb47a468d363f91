package experiment

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"carawayrouter.example/router/internal/caller"
	"carawayrouter.example/router/internal/fleet"
	"carawayrouter.example/router/internal/load/observe"
	"carawayrouter.example/router/internal/load/workload"
	"carawayrouter.example/router/internal/standin/service"
)

// sendRequest sends one request and records the response that its caller received.
func (r *runner) sendRequest(ctx context.Context, q *workload.Request, duplicate bool) {
	r.progressCounts.sent.Add(1)
	r.progressCounts.running.Add(1)
	defer r.progressCounts.running.Add(-1)
	o := r.newObservation(q, duplicate)
	callerCtx, cancel := r.callerContext(ctx, q, &o)
	defer cancel()
	err := r.sendToAny(callerCtx, q, &o)
	o.End = time.Now()
	o.setOutcome(ctx, callerCtx, err)
	r.addRequest(&o.Request)
}

// observation is the record of a request in progress.
type observation struct{ observe.Request }

func (r *runner) newObservation(q *workload.Request, duplicate bool) observation {
	now := time.Now()
	return observation{observe.Request{
		Seq: q.Seq, Account: q.Account, Kind: q.Kind, Sent: now, Duplicate: duplicate, IdempotencyKey: q.IdempotencyKey,
		Measured: q.At >= r.options.Warmup, Prompt: q.Prompt, PromptTokens: q.PromptTokens(),
		MaxTokens: q.MaxTokens, ExpectedTokens: q.OutputTokens(r.fleet.Deployment.Model.Model),
	}}
}

// callerContext returns a context that is cancelled when the caller is due to cancel.
func (r *runner) callerContext(ctx context.Context, q *workload.Request, o *observation) (context.Context, context.CancelFunc) {
	after := q.CancelAfter
	if after == 0 && q.Kind == workload.Completion {
		after = r.scriptedCancel(q)
	}
	if after == 0 {
		return context.WithCancel(ctx)
	}
	o.CallerCancels = true
	return context.WithTimeout(ctx, after)
}

// sendToAny sends the request to the next instance. If the connection cannot be
// established, so that nothing was sent, it tries other instances.
func (r *runner) sendToAny(ctx context.Context, q *workload.Request, o *observation) error {
	var err error
	for range r.balancer.count() + 1 {
		e := r.balancer.pick()
		o.Instance = e.Name()
		if err = r.sendTo(ctx, e, q, o); !isDialError(err) {
			return err
		}
	}
	return err
}

func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func (r *runner) sendTo(ctx context.Context, e *fleet.Entry, q *workload.Request, o *observation) error {
	c := caller.NewWithHTTPClient(e.URL(), r.key(q.Account), r.http)
	switch q.Kind {
	case workload.Completion:
		result, err := c.Complete(ctx, caller.Completion{Model: r.fleet.Deployment.Model.Model, Prompt: q.Prompt, MaxTokens: q.MaxTokens})
		if result != nil {
			o.ID, o.Text, o.Tokens, o.DoneCount = result.RequestID, result.Text, result.Tokens, result.DoneCount
			o.FirstTokenAt, o.TokenTimes = result.FirstTokenAt, result.TokenTimes
		}
		return err
	case workload.Operation:
		return o.recordAnswer(c.Call(ctx, caller.Call{Method: http.MethodPost, Path: r.fleet.Deployment.OperationsPath + "/" + q.Path, IdempotencyKey: q.IdempotencyKey, Body: q.Body}))
	default:
		path := fleet.ServicePath + q.Path
		o.Digest = service.Digest(http.MethodPost, path, q.Body)
		return o.recordAnswer(c.Call(ctx, caller.Call{Method: http.MethodPost, Path: path, Body: q.Body}))
	}
}

func (o *observation) recordAnswer(a *caller.Answer, err error) error {
	if a != nil {
		o.Body = string(a.Body)
	}
	return err
}

// setOutcome records how the request ended. runCtx is the context of the run, callerCtx
// that of this caller.
func (o *observation) setOutcome(runCtx, callerCtx context.Context, err error) {
	var refused *caller.RefusedError
	switch {
	case err == nil:
		o.Outcome = observe.Answered
	case errors.As(err, &refused):
		o.Outcome = observe.Refused
		o.ErrKind, o.Execution = refused.Kind, refused.Execution
		if o.ID == "" {
			o.ID = refused.RequestID
		}
	case runCtx.Err() != nil:
		o.Outcome = observe.Unfinished
	case callerCtx.Err() != nil:
		o.Outcome = observe.Cancelled
	default:
		o.Outcome = observe.Interrupted
	}
	if err != nil {
		o.Error = err.Error()
	}
}

func (r *runner) addRequest(q *observe.Request) {
	switch q.Outcome {
	case observe.Answered:
		r.progressCounts.answered.Add(1)
	case observe.Refused:
		r.progressCounts.refused.Add(1)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests = append(r.requests, *q)
}
