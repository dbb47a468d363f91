package gateway

import (
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"carawayrouter.example/router/internal/endpoint"
	"carawayrouter.example/router/internal/errkind"
	"carawayrouter.example/router/internal/origin"
	"carawayrouter.example/router/internal/placement"
	"carawayrouter.example/router/internal/sched"
)

// runVerdict says what a result means for its run.
type runVerdict int

const (
	runProgressed runVerdict = iota
	runFinished              // the request has its response
	runRefused               // the engine did not run the request; a prefill result is still available
	runFailed
)

// receive handles a result of a run. The outcome is the run's, if it is over.
func (g *generation) receive(run *engineRun, r runResult) (runVerdict, sched.Outcome, error) {
	switch {
	case run.begun:
		return g.receiveEvent(run, r)
	case r.resp != nil:
		return g.receiveHead(run, r)
	case errors.Is(r.err, endpoint.ErrNotSent):
		g.uncountSend()
		g.s.recordConnectError(run.lease.Target, r.err)
		return runRefused, outcomeOf(g.ctx, r.err), r.err
	}
	g.countRun(run)
	g.recordBreak(g.ctx, run.lease.Target, r.err)
	return runFailed, outcomeOf(g.ctx, r.err), r.err
}

// countRun records that the run's engine may have run the request.
func (g *generation) countRun(run *engineRun) {
	if !run.counted {
		run.counted = true
		g.runs++
	}
}

// receiveHead handles the head of a response, or the whole response if it is not a stream.
func (g *generation) receiveHead(run *engineRun, r runResult) (runVerdict, sched.Outcome, error) {
	resp := r.resp
	g.observeResponse(resp, run.lease.Target.Name)
	if resp.NotRun {
		return runRefused, refusedOutcome(resp), refusal(errkind.QueueFull, "the engine refused the request", endpointRetryAfter)
	}
	g.countRun(run)
	if err := checkResponse(resp); err != nil {
		return runFailed, sched.Failed, err
	}
	if startsStream(resp) {
		run.begun, run.resp = true, resp
		return runProgressed, sched.Succeeded, nil
	}
	if r.err != nil {
		return runFailed, sched.Failed, r.err
	}
	if g.resp.started || g.current != run || g.standby != nil || !g.cannotResume(g.ctx) {
		g.setFallback(resp, r.body)
		return runFailed, sched.Failed, errors.Newf("engine responded with status %d", resp.Status)
	}
	g.resp.send(resp.Status, resp.Headers, r.body)
	return runFinished, sched.Succeeded, g.resp.writeErr
}

// receiveEvent forwards an event, or handles the end of a stream.
func (g *generation) receiveEvent(run *engineRun, r runResult) (runVerdict, sched.Outcome, error) {
	switch {
	case r.err == nil:
		if err := g.relayEvent(run, r.event); err != nil {
			return runFinished, sched.Abandoned, errors.Mark(err, errCallerGone)
		}
		return runProgressed, sched.Succeeded, nil
	case !errors.Is(r.err, io.EOF):
		if errors.Is(r.err, errWrongEventID) {
			g.s.stats.wrongEventIDs.Inc()
			g.refusedEventID = run.ids.refused
		}
		if run.events < beginEvents {
			g.recordBreak(g.ctx, run.lease.Target, r.err)
		}
		return runFailed, outcomeOf(g.ctx, r.err), r.err
	}
	if run.events < beginEvents {
		g.recordBegun()
	}
	if g.call.LastEventID == "" {
		g.s.admission.observeOutput(g.call, g.relayedTokens)
	}
	if !g.resp.started {
		g.resp.startStream(run.resp.Status, run.resp.Headers)
	}
	g.resp.finishStream()
	return runFinished, sched.Succeeded, g.resp.writeErr
}

// relayEvent forwards a complete event.
func (g *generation) relayEvent(run *engineRun, e streamEvent) error {
	if !g.resp.started {
		g.resp.startStream(run.resp.Status, run.resp.Headers)
	}
	if version := run.lease.Target.SoftwareVersion; g.softwareVersion == "" && run.resp.confirmed {
		g.softwareVersion = version
		g.s.origins.begin(time.Now(), g.account(), g.call.ID, origin.Origin{Pool: g.call.Pool.Name, Version: version})
		g.s.peers.requestUpdate()
	}
	g.resp.conn.out.relay(run.ahead, g.deadline)
	if err := g.resp.writeChunk(e.raw); err != nil {
		if run.ahead != nil && isTimeout(err) {
			unread, engineHeldUp := run.ahead.Unread()
			g.s.stats.stalledCallers.Inc()
			g.decision("caller_stalled", "endpoint", run.lease.Target.Name, "unread_bytes", unread, "engine_held_up", engineHeldUp)
		}
		return err
	}
	run.taken(len(e.raw))
	if e.id != "" {
		g.lastEventID, g.idOrder = e.id, e.order
	}
	g.recordEventTime(time.Now())
	if run.events++; run.events == beginEvents {
		g.recordBegun()
	}
	stride := max(1, g.call.Pool.Engine.Stride)
	g.relayedTokens += stride
	g.s.admission.withScheduler(func(now time.Time, s *placement.Scheduler) { s.RecordProgress(now, run.lease, run.events*stride) })
	return nil
}

// recordEventTime records when an event was relayed.
func (x *exchange) recordEventTime(now time.Time) {
	if x.relayedTokens == 0 {
		x.firstEventDelay = now.Sub(x.call.Arrived)
	} else {
		x.longestGap = max(x.longestGap, now.Sub(x.lastEventAt))
	}
	x.lastEventAt = now
}
