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

// request sends one request and records what reached its caller.
func (r *runner) request(ctx context.Context, q *workload.Request, twin bool) {
	r.counts.sent.Add(1)
	r.counts.running.Add(1)
	defer r.counts.running.Add(-1)
	o := r.record(q, twin)
	caller, leave := r.callerContext(ctx, q, &o)
	defer leave()
	err := r.attempt(caller, q, &o)
	o.End = time.Now()
	o.settle(ctx, caller, err)
	r.keep(&o.Request)
}

// observation is a record under way.
type observation struct{ observe.Request }

func (r *runner) record(q *workload.Request, twin bool) observation {
	now := time.Now()
	return observation{observe.Request{
		Seq: q.Seq, Account: q.Account, Kind: q.Kind, Sent: now, Twin: twin, Key: q.Key,
		Measured: q.At >= r.o.Warmup, Prompt: q.Prompt, PromptTokens: q.PromptTokens(),
		MaxTokens: q.MaxTokens, Expected: q.OutputTokens(r.fleet.Deployment.Model.Model),
	}}
}

// callerContext ends when the caller leaves.
func (r *runner) callerContext(ctx context.Context, q *workload.Request, o *observation) (context.Context, context.CancelFunc) {
	after := q.CancelAfter
	if after == 0 && q.Kind == workload.Completion {
		after = r.faultCancel(q)
	}
	if after == 0 {
		return context.WithCancel(ctx)
	}
	o.Cancels = true
	return context.WithTimeout(ctx, after)
}

// attempt sends the request to the next instance. Where no connection can be made the
// balancer tries others; nothing was sent then.
func (r *runner) attempt(ctx context.Context, q *workload.Request, o *observation) error {
	var err error
	for range r.balancer.count() + 1 {
		e := r.balancer.pick()
		o.Instance = e.Name()
		if err = r.call(ctx, e, q, o); !isDial(err) {
			return err
		}
	}
	return err
}

func isDial(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func (r *runner) call(ctx context.Context, e *fleet.Entry, q *workload.Request, o *observation) error {
	c := caller.NewWithHTTPClient(e.URL(), r.key(q.Account), r.http)
	switch q.Kind {
	case workload.Completion:
		result, err := c.Complete(ctx, caller.Completion{Model: r.fleet.Deployment.Model.Model, Prompt: q.Prompt, MaxTokens: q.MaxTokens})
		if result != nil {
			o.ID, o.Text, o.Tokens, o.Done = result.RequestID, result.Text, result.Tokens, result.DoneCount
			o.First, o.Times = result.FirstTokenAt, result.TokenTimes
		}
		return err
	case workload.Operation:
		return o.service(c.Call(ctx, caller.Call{Method: http.MethodPost, Path: r.fleet.Deployment.Operations + "/" + q.Path, IdempotencyKey: q.Key, Body: q.Body}))
	default:
		path := fleet.ServicePath + q.Path
		o.Digest = service.Digest(http.MethodPost, path, q.Body)
		return o.service(c.Call(ctx, caller.Call{Method: http.MethodPost, Path: path, Body: q.Body}))
	}
}

func (o *observation) service(a *caller.Answer, err error) error {
	if a != nil {
		o.Body = string(a.Body)
	}
	return err
}

// settle says how the request ended. all is the context of all callers, own that of
// this one.
func (o *observation) settle(all, own context.Context, err error) {
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
	case all.Err() != nil:
		o.Outcome = observe.Unfinished
	case own.Err() != nil:
		o.Outcome = observe.Left
	default:
		o.Outcome = observe.Broken
	}
	if err != nil {
		o.Error = err.Error()
	}
}

func (r *runner) keep(q *observe.Request) {
	switch q.Outcome {
	case observe.Answered:
		r.counts.answered.Add(1)
	case observe.Refused:
		r.counts.refused.Add(1)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests = append(r.requests, *q)
}
