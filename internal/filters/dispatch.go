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
	maxResumes      = 3
	resumeDelay     = 50 * time.Millisecond
	maxRecordedBody = 1 << 20 // bytes of a service's response body that are recorded for replay
	maxServiceBody  = 16 << 20
)

// Dispatch is the last filter. It runs the request on the granted endpoints and relays the
// response.
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
		return f.callService(ctx, r)
	}
	return f.runCompletion(ctx, r)
}

// runCompletion runs prefill, KV cache transfer and decode for one attempt.
func (f *Dispatch) runCompletion(ctx context.Context, r *filter.Request) error {
	prefilled, err := f.runPrefill(ctx, r)
	if err != nil {
		return err
	}
	if err := f.transferKV(ctx, r, prefilled); err != nil {
		return err
	}
	usage, err := f.runDecode(ctx, r, prefilled)
	if err != nil {
		f.cancelAttempt(ctx, r, r.Grant.Decode.Addr)
		return err
	}
	f.Metrics.Answered.Add(1)
	return r.Responder.Finish(usage)
}

func (f *Dispatch) runPrefill(ctx context.Context, r *filter.Request) (endpoint.PrefillResult, error) {
	e := r.Grant.Prefill
	f.addEvent(r, "dispatch.prefill", e.Name, "")
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
		r.Sent = sentBefore || !provesNotRun(err)
		r.Grant.PrefillDone(prefillOutcome(ctx, err))
		f.cancelAttempt(ctx, r, e.Addr)
		return result, f.classifyError(ctx, r, err)
	}
	f.Metrics.Prefills.Add(1)
	r.UsedTokens = max(r.UsedTokens, result.Tokens)
	return result, nil
}

func (f *Dispatch) transferKV(ctx context.Context, r *filter.Request, result endpoint.PrefillResult) error {
	from, to := r.Grant.Prefill, r.Grant.Decode
	f.addEvent(r, "dispatch.import", to.Name, "")
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
	f.cancelAttempt(ctx, r, from.Addr)
	f.cancelAttempt(ctx, r, to.Addr)
	return f.classifyError(ctx, r, err)
}

// runDecode relays tokens, starting with the first one not yet delivered. If the stream
// breaks, it is resumed on a new connection, at most maxResumes times.
func (f *Dispatch) runDecode(ctx context.Context, r *filter.Request, result endpoint.PrefillResult) (filter.Usage, error) {
	engine := f.Dialer.Engine(r.Grant.Decode.Addr)
	for resumes := 0; ; resumes++ {
		finish, err := f.relayTokens(ctx, r, engine)
		if err == nil {
			return newUsage(r, result, finish), nil
		}
		if resumes == maxResumes || !resumable(ctx, err) {
			return filter.Usage{}, f.classifyError(ctx, r, err)
		}
		f.Metrics.StreamResumes.Add(1)
		f.addEvent(r, "dispatch.resume", r.Grant.Decode.Name, err.Error())
		select {
		case <-f.Clock.After(resumeDelay * time.Duration(resumes)):
		case <-ctx.Done():
		}
	}
}

// relayTokens relays one token stream to its end and returns the finish reason.
func (f *Dispatch) relayTokens(ctx context.Context, r *filter.Request, engine endpoint.Engine) (string, error) {
	stream, err := engine.Decode(ctx, endpoint.DecodeRequest{
		ID:        r.ID,
		Attempt:   r.Attempt,
		MaxOutput: r.Completion.MaxTokens,
		Offset:    r.DeliveredTokens,
		Priority:  priority(r),
	})
	if err != nil {
		return "", err
	}
	defer stream.Close()
	for {
		token, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return "", endpoint.ErrCallFailed
		}
		if err != nil {
			return "", err
		}
		if err := f.deliverToken(r, token); err != nil {
			return "", err
		}
		if token.Finish != "" {
			// Reading the end of the stream confirms to the engine that all tokens
			// were received.
			_, _ = stream.Next()
			return token.Finish, nil
		}
	}
}

func (f *Dispatch) deliverToken(r *filter.Request, t endpoint.Token) error {
	if r.DeliveredTokens == 0 {
		r.Grant.FirstToken()
		f.addEvent(r, "dispatch.first_token", r.Grant.Decode.Name, "")
	}
	if err := r.Responder.Token(t); err != nil {
		return err
	}
	r.DeliveredTokens++
	r.UsedTokens++
	f.Metrics.Tokens.Add(1)
	return nil
}

// callService calls a plain service, at most once per attempt.
func (f *Dispatch) callService(ctx context.Context, r *filter.Request) error {
	e := r.Grant.Decode
	f.addEvent(r, "dispatch.service", e.Name, "")
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
		r.Sent = sentBefore || !provesNotRun(err)
		return f.classifyError(ctx, r, err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxServiceBody+1))
	if err != nil {
		return f.classifyError(ctx, r, errors.Mark(err, endpoint.ErrCallFailed))
	}
	if len(body) > maxServiceBody {
		return errkind.Wrap(nil, errkind.EndpointFailed, errkind.Ran, "the service's answer is too large")
	}
	r.UsedTokens = r.ReservedTokens
	f.recordOperation(ctx, r, resp, body)
	f.Metrics.Answered.Add(1)
	return r.Responder.Service(&endpoint.ServiceResponse{Status: resp.Status, Headers: resp.Headers, Body: bodyReader(body)})
}

// recordOperation records the response of a claimed operation. If the write fails, the store
// retries it later and the caller gets the response regardless.
func (f *Dispatch) recordOperation(ctx context.Context, r *filter.Request, resp *endpoint.ServiceResponse, body []byte) {
	if r.Claim == nil {
		return
	}
	claim := r.Claim
	r.Claim = nil
	recorded := body[:min(len(body), maxRecordedBody)]
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), claimEndTimeout)
	defer stop()
	err := claim.Finish(ctx, operation.Answer{
		Status:      resp.Status,
		ContentType: headerValue(resp.Headers, "Content-Type"),
		Body:        recorded,
		Truncated:   len(recorded) < len(body),
	})
	if err != nil {
		f.addEvent(r, "operation.record_late", r.Grant.Decode.Name, err.Error())
		return
	}
	f.addEvent(r, "operation.done", r.Grant.Decode.Name, "")
}

// cancelAttempt makes an engine release the slot and memory of the attempt. While ctx is
// live the cancellation is delivered in the background, so that the caller does not wait
// for it. Once ctx is done nobody waits for a response, and the grant is released only
// after the engine has confirmed the cancellation or its timeout has passed.
func (f *Dispatch) cancelAttempt(ctx context.Context, r *filter.Request, addr string) {
	if ctx.Err() == nil {
		f.Canceller.Cancel(addr, r.ID, r.Attempt)
		return
	}
	f.Canceller.CancelSync(addr, r.ID, r.Attempt)
}

// classifyError maps an endpoint error to an error kind and an execution state.
func (f *Dispatch) classifyError(ctx context.Context, r *filter.Request, err error) error {
	execution := errkind.Unknown
	if !r.Sent {
		execution = errkind.NotRun
	}
	f.addEvent(r, "dispatch.failed", r.Grant.Decode.Name, err.Error())
	var classified *errkind.Error
	switch {
	case errors.As(err, &classified):
		return classified
	case errors.Is(context.Cause(ctx), filter.ErrForcedShutdown):
		return errkind.Wrap(err, errkind.ShuttingDown, execution, "the instance was stopped")
	case ctx.Err() != nil && errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		return errkind.Wrap(err, errkind.EndpointTimeout, execution, "the route's deadline passed")
	case ctx.Err() != nil:
		return errkind.Wrap(err, errkind.ClientGone, execution, "the caller left")
	case errors.Is(err, endpoint.ErrIdleTimeout):
		return errkind.Wrap(err, errkind.EndpointTimeout, execution, "the endpoint went silent")
	}
	return errkind.Wrap(err, errkind.EndpointFailed, execution, "the endpoint failed")
}

func (f *Dispatch) addEvent(r *filter.Request, kind, endpointName, detail string) {
	f.Events.Add(event.Event{Kind: kind, Request: r.ID.String(), Account: accountName(r), Endpoint: endpointName, Detail: detail})
}

// provesNotRun reports whether err guarantees that the endpoint did not run the request.
func provesNotRun(err error) bool {
	return errors.IsAny(err, endpoint.ErrNotSent, endpoint.ErrRefused, endpoint.ErrFull)
}

func isFull(err error) bool { return errors.Is(err, endpoint.ErrFull) }

// resumable reports whether the engine may still be running the request after err.
func resumable(ctx context.Context, err error) bool {
	return ctx.Err() == nil && errors.IsAny(err, endpoint.ErrCallFailed, endpoint.ErrIdleTimeout, endpoint.ErrMismatch, endpoint.ErrNotSent)
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

func newUsage(r *filter.Request, result endpoint.PrefillResult, finish string) filter.Usage {
	return filter.Usage{
		PromptTokens:     result.Tokens,
		CompletionTokens: r.DeliveredTokens,
		TotalTokens:      result.Tokens + r.DeliveredTokens,
		CachedTokens:     result.CachedTokens,
		Finish:           finish,
	}
}
