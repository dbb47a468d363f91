package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"carawayrouter.example/router/internal/config"
	"carawayrouter.example/router/internal/endpoint"
	"carawayrouter.example/router/internal/placement"
	"carawayrouter.example/router/internal/sched"
)

// prefillCall is a prefill at the prefill engine of a lease.
type prefillCall struct {
	lease  *placement.Lease
	engine *config.Endpoint
	second bool // the lease serves only for this prefill
	call   *pendingCall
	cancel context.CancelCauseFunc
}

// prefill runs the prompt on the lease's prefill engine. While that one takes too long, another one
// of its version is asked too, and the first result counts.
func (g *generation) prefill(ctx context.Context, l *placement.Lease) (*prefillResult, error) {
	limit := time.NewTimer(max(minPrefillTimeout, prefillTimeoutFactor*g.s.admission.expectedPrefillTime(l)))
	defer limit.Stop()
	first := g.startPrefill(ctx, l)
	var second *prefillCall
	for {
		var secondAnswered chan struct{}
		if second != nil {
			secondAnswered = second.call.answered
		}
		select {
		case <-first.call.answered:
			result, err := g.finishPrefill(ctx, first)
			if err != nil && second != nil {
				first, second = second, nil
				continue
			}
			if second != nil {
				g.abandonPrefill(second, sched.Abandoned)
			}
			return result, err
		case <-secondAnswered:
			result, err := g.finishPrefill(ctx, second)
			if err == nil {
				g.abandonPrefill(first, sched.Failed)
				return result, nil
			}
			second = nil
			limit.Reset(standbyRetryDelay)
		case <-limit.C:
			if second != nil {
				continue
			}
			var direct bool
			if second, direct = g.startSecondPrefill(ctx, l); direct {
				g.abandonPrefill(first, sched.Failed)
				return nil, errEndpointTimeout
			}
			if second == nil {
				limit.Reset(standbyRetryDelay)
			}
		}
	}
}

// startPrefill sends the prompt to the lease's prefill engine.
func (g *generation) startPrefill(ctx context.Context, l *placement.Lease) *prefillCall {
	c := &prefillCall{lease: l, engine: l.Prefill}
	ctx, c.cancel = context.WithCancelCause(ctx)
	g.countSend()
	req := g.request(c.engine, RequestOptions{PrefillOnly: true})
	req.incarnation, req.mustConfirm = c.engine.Incarnation, true
	c.call = g.s.upstream.startCall(ctx, req)
	return c
}

// startSecondPrefill starts a prefill at another engine than the lease's, if that may and can be
// done. Direct is true if there is no other prefill engine, and decode engines prefill prompts
// themselves.
func (g *generation) startSecondPrefill(ctx context.Context, l *placement.Lease) (c *prefillCall, direct bool) {
	if g.sends >= maxGenerationSends || !g.reserveSends(1) {
		return nil, false
	}
	d := g.demand()
	d.SoftwareVersion = l.Target.SoftwareVersion
	d.Exclude = append(d.Exclude, l.Prefill.Name)
	other := g.s.admission.tryAcquireEngine(d)
	switch {
	case other == nil:
		g.refundSends()
		return nil, false
	case other.Prefill == nil:
		g.s.admission.release(other, sched.Abandoned)
		return nil, true
	}
	c = g.startPrefill(ctx, other)
	c.second = true
	return c, false
}

// finishPrefill handles an answered prefill.
func (g *generation) finishPrefill(ctx context.Context, c *prefillCall) (*prefillResult, error) {
	outcome := sched.Failed
	defer func() { g.endPrefill(c, outcome) }()
	g.finishCall(c.call, c.engine.Name)
	resp, err := c.call.resp, c.call.err
	if err != nil {
		if ctx.Err() != nil {
			outcome = sched.Abandoned
			return nil, context.Cause(ctx)
		}
		if errors.Is(err, endpoint.ErrNotSent) {
			outcome = outcomeOf(ctx, err)
		}
		g.recordBreak(ctx, c.engine, err)
		return nil, err
	}
	if resp.Status != http.StatusOK {
		if resp.NotRun {
			outcome = refusedOutcome(resp)
		}
		return nil, errors.Newf("prefill failed with status %d", resp.Status)
	}
	handle, err := g.s.wire.PrefillHandle(c.call.body)
	if err != nil {
		return nil, errors.Mark(err, endpoint.ErrCallFailed)
	}
	outcome = sched.Succeeded
	g.s.stats.prefills.Inc()
	g.decision("prefill", "endpoint", c.engine.Name, "tokens", g.call.PromptTokens)
	if !g.prefilled {
		g.prefilled = true
		g.uncountSend()
	}
	return &prefillResult{addr: c.engine.Addr, endpoint: c.engine.Name, handle: handle, at: time.Now()}, nil
}

// abandonPrefill ends a prefill whose result is not needed.
func (g *generation) abandonPrefill(c *prefillCall, o sched.Outcome) {
	c.cancel(errEndpointTimeout)
	<-c.call.answered
	g.finishCall(c.call, c.engine.Name)
	if c.call.err != nil {
		g.recordAbandoned(c.engine)
	} else if handle, err := g.s.wire.PrefillHandle(c.call.body); err == nil {
		g.s.releaseHandle(c.engine.Addr, c.engine.Name, handle)
	}
	g.endPrefill(c, o)
}

// endPrefill frees what a prefill holds.
func (g *generation) endPrefill(c *prefillCall, o sched.Outcome) {
	if c.call.resp != nil {
		c.call.resp.close() // before its context ends, which would close the connection
	}
	c.cancel(nil)
	g.s.admission.releasePrefill(c.lease, o)
	if c.second {
		g.s.admission.release(c.lease, sched.Abandoned)
	}
}
