package filters

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"carawayrouter.example/router/internal/cancel"
	"carawayrouter.example/router/internal/clock"
	"carawayrouter.example/router/internal/endpoint"
	"carawayrouter.example/router/internal/errkind"
	"carawayrouter.example/router/internal/event"
	"carawayrouter.example/router/internal/filter"
	"carawayrouter.example/router/internal/metrics"
	"carawayrouter.example/router/internal/operation"
	"carawayrouter.example/router/internal/sched"
)

const (
	maxResumes     = 3
	resumePause    = 50 * time.Millisecond
	maxKeptAnswer  = 1 << 20 // bytes of a service's answer that are recorded
	maxServiceBody = 16 << 20
)

// Dispatch is the last stage: it runs the request at the granted endpoints and
// relays the answer.
type Dispatch struct {
	Dialer    endpoint.Dialer
	Canceller *cancel.Canceller
	Clock     clock.Clock
	Events    *event.Ring
	Metrics   *metrics.Set
}

// Name implements filter.Filter.
func (*Dispatch) Name() string { return "dispatch" }

// Handle implements filter.Filter.
func (f *Dispatch) Handle(ctx context.Context, r *filter.Request, _ filter.Handler) error {
	r.FailedEndpoint = ""
	if r.Completion == nil {
		return f.service(ctx, r)
	}
	return f.completion(ctx, r)
}

// completion runs prefill, transfer and decode for one attempt.
func (f *Dispatch) completion(ctx context.Context, r *filter.Request) error {
	result, err := f.prefill(ctx, r)
	if err != nil {
		return err
	}
	if err := f.transfer(ctx, r, result); err != nil {
		return err
	}
	usage, err := f.decode(ctx, r, result)
	if err != nil {
		f.cancel(ctx, r, r.Grant.Decode.Addr)
		return err
	}
	f.Metrics.Answered.Add(1)
	return r.Out.Finish(usage)
}

func (f *Dispatch) prefill(ctx context.Context, r *filter.Request) (endpoint.PrefillResult, error) {
	e := r.Grant.Prefill
	f.add(r, "dispatch.prefill", e.Name, "")
	sentBefore := r.Sent
	r.Sent = true
	result, err := f.Dialer.Engine(e.Addr).Prefill(ctx, endpoint.PrefillRequest{
		ID:       r.ID,
		Attempt:  r.Attempt,
		Model:    r.Completion.Model,
		Adapter:  r.Completion.Adapter,
		Prompt:   r.Completion.Prompt,
		Priority: priority(r),
	})
	if err != nil {
		r.FailedEndpoint = e.Name
		r.Sent = sentBefore || !notRun(err)
		r.Grant.PrefillDone(prefillOutcome(ctx, err))
		f.cancel(ctx, r, e.Addr)
		return result, f.failure(ctx, r, err)
	}
	f.Metrics.Prefills.Add(1)
	r.Used = max(r.Used, result.Tokens)
	return result, nil
}

func (f *Dispatch) transfer(ctx context.Context, r *filter.Request, result endpoint.PrefillResult) error {
	from, to := r.Grant.Prefill, r.Grant.Decode
	f.add(r, "dispatch.import", to.Name, "")
	err := f.Dialer.Engine(to.Addr).Import(ctx, endpoint.ImportRequest{
		ID:        r.ID,
		Attempt:   r.Attempt,
		Model:     r.Completion.Model,
		Handle:    result.Handle,
		Source:    from.Addr,
		Tokens:    result.Tokens,
		MaxOutput: r.Completion.MaxTokens,
	})
	r.Grant.PrefillDone(prefillOutcome(ctx, nil))
	if err == nil {
		return nil
	}
	f.Metrics.PrefillsLost.Add(1)
	f.cancel(ctx, r, from.Addr)
	f.cancel(ctx, r, to.Addr)
	return f.failure(ctx, r, err)
}

// decode relays the tokens from the first one not yet delivered, and resumes the
// stream on a new connection if it breaks.
func (f *Dispatch) decode(ctx context.Context, r *filter.Request, result endpoint.PrefillResult) (filter.Usage, error) {
	engine := f.Dialer.Engine(r.Grant.Decode.Addr)
	for resumes := 0; ; resumes++ {
		finish, err := f.relay(ctx, r, engine)
		if err == nil {
			return usage(r, result, finish), nil
		}
		if resumes == maxResumes || !resumable(ctx, err) {
			return filter.Usage{}, f.failure(ctx, r, err)
		}
		f.Metrics.StreamResumes.Add(1)
		f.add(r, "dispatch.resume", r.Grant.Decode.Name, err.Error())
		select {
		case <-f.Clock.After(resumePause * time.Duration(resumes)):
		case <-ctx.Done():
		}
	}
}

// relay passes tokens on until the answer is whole, and returns its finish reason.
func (f *Dispatch) relay(ctx context.Context, r *filter.Request, engine endpoint.Engine) (string, error) {
	stream, err := engine.Decode(ctx, endpoint.DecodeRequest{
		ID:        r.ID,
		Attempt:   r.Attempt,
		MaxOutput: r.Completion.MaxTokens,
		Offset:    r.Delivered,
		Priority:  priority(r),
	})
	if err != nil {
		return "", err
	}
	defer stream.Close()
	for {
		token, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return "", endpoint.ErrBroken
		}
		if err != nil {
			return "", err
		}
		if err := f.deliver(r, token); err != nil {
			return "", err
		}
		if token.Finish != "" {
			// The end of the stream tells the engine that all was read.
			_, _ = stream.Next()
			return token.Finish, nil
		}
	}
}

func (f *Dispatch) deliver(r *filter.Request, t endpoint.Token) error {
	if r.Delivered == 0 {
		r.Grant.FirstToken()
		f.add(r, "dispatch.first_token", r.Grant.Decode.Name, "")
	}
	if err := r.Out.Token(t); err != nil {
		return err
	}
	r.Delivered++
	r.Used++
	f.Metrics.Tokens.Add(1)
	return nil
}

// service runs a plain service call. It is sent at most once per attempt.
func (f *Dispatch) service(ctx context.Context, r *filter.Request) error {
	e := r.Grant.Decode
	f.add(r, "dispatch.service", e.Name, "")
	sentBefore := r.Sent
	r.Sent = true
	resp, err := f.Dialer.Service(e.Addr).Do(ctx, endpoint.ServiceRequest{
		ID:      r.ID,
		Method:  r.Method,
		Path:    r.Path,
		Headers: r.Headers,
		Body:    r.Body,
	})
	if err != nil {
		r.Sent = sentBefore || !notRun(err)
		return f.failure(ctx, r, err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxServiceBody+1))
	if err != nil {
		return f.failure(ctx, r, errors.Mark(err, endpoint.ErrBroken))
	}
	if len(body) > maxServiceBody {
		return errkind.Wrap(nil, errkind.EndpointFailed, errkind.Ran, "the service's answer is too large")
	}
	r.Used = r.Tokens
	f.record(ctx, r, resp, body)
	f.Metrics.Answered.Add(1)
	return r.Out.Service(&endpoint.ServiceResponse{Status: resp.Status, Headers: resp.Headers, Body: newBody(body)})
}

// record keeps the answer of a claimed operation. The caller gets its answer also
// when the record cannot be written at once; the store then repeats the write.
func (f *Dispatch) record(ctx context.Context, r *filter.Request, resp *endpoint.ServiceResponse, body []byte) {
	if r.Claim == nil {
		return
	}
	claim := r.Claim
	r.Claim = nil
	kept := body[:min(len(body), maxKeptAnswer)]
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	defer stop()
	err := claim.Finish(ctx, operation.Answer{
		Status:      resp.Status,
		ContentType: headerValue(resp.Headers, "Content-Type"),
		Body:        kept,
		Truncated:   len(kept) < len(body),
	})
	if err != nil {
		f.add(r, "operation.record_late", r.Grant.Decode.Name, err.Error())
		return
	}
	f.add(r, "operation.done", r.Grant.Decode.Name, "")
}

// cancel frees what the engine holds for the attempt. When the caller has left,
// nobody waits for an answer, and the slot is given back only after the engine
// confirmed; otherwise the cancellation is delivered in the background.
func (f *Dispatch) cancel(ctx context.Context, r *filter.Request, addr string) {
	if ctx.Err() == nil {
		f.Canceller.Cancel(addr, r.ID, r.Attempt)
		return
	}
	f.Canceller.CancelNow(addr, r.ID, r.Attempt)
}

// failure maps an adapter's error to a kind and an execution state.
func (f *Dispatch) failure(ctx context.Context, r *filter.Request, err error) error {
	execution := errkind.Unknown
	if !r.Sent {
		execution = errkind.NotRun
	}
	f.add(r, "dispatch.failed", r.Grant.Decode.Name, err.Error())
	var known *errkind.Error
	switch {
	case errors.As(err, &known):
		return known
	case errors.Is(context.Cause(ctx), filter.ErrCut):
		return errkind.Wrap(err, errkind.ShuttingDown, execution, "the instance was stopped")
	case ctx.Err() != nil && errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		return errkind.Wrap(err, errkind.EndpointTimeout, execution, "the route's deadline passed")
	case ctx.Err() != nil:
		return errkind.Wrap(err, errkind.ClientGone, execution, "the caller left")
	case errors.Is(err, endpoint.ErrSilent):
		return errkind.Wrap(err, errkind.EndpointTimeout, execution, "the endpoint went silent")
	}
	return errkind.Wrap(err, errkind.EndpointFailed, execution, "the endpoint failed")
}

func (f *Dispatch) add(r *filter.Request, kind, endpointName, detail string) {
	f.Events.Add(event.Event{Kind: kind, Request: r.ID.String(), Account: accountName(r), Endpoint: endpointName, Detail: detail})
}

// notRun reports whether err proves that the endpoint did not run the request.
func notRun(err error) bool {
	return errors.IsAny(err, endpoint.ErrNotSent, endpoint.ErrRefused, endpoint.ErrFull)
}

func isFull(err error) bool { return errors.Is(err, endpoint.ErrFull) }

// resumable reports whether the engine may still hold the request after err.
func resumable(ctx context.Context, err error) bool {
	return ctx.Err() == nil && errors.IsAny(err, endpoint.ErrBroken, endpoint.ErrSilent, endpoint.ErrMismatch, endpoint.ErrNotSent)
}

func prefillOutcome(ctx context.Context, err error) sched.Outcome {
	switch {
	case err == nil:
		return sched.Succeeded
	case ctx.Err() != nil:
		return sched.Abandoned
	case errors.Is(err, endpoint.ErrNotSent):
		return sched.Unreachable
	case isFull(err):
		return sched.Full
	}
	return sched.Failed
}

func usage(r *filter.Request, result endpoint.PrefillResult, finish string) filter.Usage {
	return filter.Usage{
		PromptTokens:     result.Tokens,
		CompletionTokens: r.Delivered,
		TotalTokens:      result.Tokens + r.Delivered,
		CachedTokens:     result.CachedTokens,
		Finish:           finish,
	}
}
