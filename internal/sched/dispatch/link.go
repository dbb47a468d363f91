package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"carawayrouter.example/router/internal/peer"
	"carawayrouter.example/router/internal/sched"
)

const (
	maxPush    = 256  // operations in one call
	maxPending = 8192 // operations queued for calls; more are dropped

	firstResendPause = 2 * time.Second // before a waiting demand is sent again; doubles each time
	maxResendPause   = time.Minute
)

// errDispatcherChanged makes a waiting request look up its dispatcher again.
var errDispatcherChanged = errors.New("dispatcher is unreachable or has changed")

type linkKey struct {
	place Place
	addr  string
}

// link carries the demands of this instance to one dispatcher on another instance. It
// has at most one call with operations in flight, so that they stay in order, and one
// long poll for answers while any demand waits. Lost operations are made up for by the
// next renewal.
type link struct {
	linkKey
	node *Node

	mu         sync.Mutex
	ops        []Op
	pushing    bool
	collecting bool
	waiting    map[uint64]*trackedDemand
	cursor     Cursor
}

// link returns the link to a dispatcher.
func (n *Node) link(p Place, addr string) *link {
	n.mu.Lock()
	defer n.mu.Unlock()
	k := linkKey{p, addr}
	l := n.links[k]
	if l == nil {
		l = &link{linkKey: k, node: n, waiting: map[uint64]*trackedDemand{}}
		n.links[k] = l
	}
	return l
}

// idle reports whether the link has neither waiting demands nor calls in flight.
func (l *link) idle() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.waiting) == 0 && !l.pushing && !l.collecting
}

// submit sends a demand and waits for its answer.
func (l *link) submit(t *trackedDemand) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waiting[t.try] = t
	t.resendPause = firstResendPause
	l.sendDemand(t)
}

// report sends another operation on a demand.
func (l *link) report(t *trackedDemand, kind OpKind, o sched.Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if kind == OpRelease {
		delete(l.waiting, t.try)
	}
	l.send(Op{Kind: kind, Try: t.try, Seq: t.demand.ID.Seq, Outcome: o})
}

// resubmit sends a waiting demand again.
func (l *link) resubmit(try uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t := l.waiting[try]; t != nil {
		l.sendDemand(t)
	}
}

// resendOverdue sends the waiting demands again whose resend pause has passed. The
// dispatcher repeats its answer if it has already granted one.
func (l *link) resendOverdue() {
	now := l.node.opts.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, t := range l.waiting {
		if now.Sub(t.lastSent) < t.resendPause {
			continue
		}
		t.resendPause = min(2*t.resendPause, maxResendPause)
		l.sendDemand(t)
	}
}

// sendDemand queues the submission of a demand. The caller holds mu.
func (l *link) sendDemand(t *trackedDemand) {
	t.lastSent = l.node.opts.Clock.Now()
	l.send(Op{Kind: OpSubmit, Try: t.try, Seq: t.demand.ID.Seq, Demand: toWire(t.demand, t.lastSent)})
}

// send queues an operation. The caller holds mu.
func (l *link) send(op Op) {
	if len(l.ops) >= maxPending {
		return
	}
	l.ops = append(l.ops, op)
	if !l.pushing {
		l.pushing = true
		go l.push()
	}
}

// push sends queued operations until none is left.
func (l *link) push() {
	for {
		args := l.batch()
		if args == nil {
			return
		}
		var reply Answers
		if err := l.call(methodPush, args, &reply); err != nil {
			l.mu.Lock()
			l.pushing = false
			l.mu.Unlock()
			l.fail()
			return
		}
		l.deliver(&reply)
	}
}

// batch dequeues the next operations, or returns nil and ends the push loop.
func (l *link) batch() *PushArgs {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.ops) == 0 {
		l.pushing = false
		return nil
	}
	n := min(len(l.ops), maxPush)
	args := &PushArgs{Holder: l.node.holder(), Place: l.place, Cursor: l.cursor, Ops: l.ops[:n:n]}
	l.ops = l.ops[n:]
	return args
}

// call makes a call that the dispatcher answers without waiting.
func (l *link) call(method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(l.node.context(), callTimeout)
	defer cancel()
	start := l.node.opts.Clock.Now()
	err := l.node.opts.Caller.Call(peer.Idempotent(ctx), l.addr, method, args, reply)
	if err == nil {
		l.node.recordRTT(l.place, l.addr, l.node.opts.Clock.Now().Sub(start))
	}
	return err
}

// collect polls for answers while any demand waits.
func (l *link) collect() {
	for {
		l.mu.Lock()
		if len(l.waiting) == 0 {
			l.collecting = false
			l.mu.Unlock()
			return
		}
		args := &CollectArgs{Holder: l.node.holder(), Place: l.place, Cursor: l.cursor, Wait: collectWait}
		l.mu.Unlock()
		ctx, cancel := context.WithTimeout(l.node.context(), collectWait+callTimeout)
		var reply Answers
		err := l.node.opts.Caller.Call(ctx, l.addr, methodCollect, args, &reply)
		cancel()
		if err != nil {
			l.mu.Lock()
			l.collecting = false
			l.mu.Unlock()
			l.fail()
			return
		}
		l.deliver(&reply)
	}
}

// deliver passes answers to the waiting demands.
func (l *link) deliver(reply *Answers) {
	l.node.recordLoad(l.place, reply.Load)
	l.mu.Lock()
	defer l.mu.Unlock()
	if reply.Session != l.cursor.Session {
		l.startSession(reply.Session)
	}
	for _, a := range reply.Answers {
		if a.Seq <= l.cursor.After {
			continue // delivered with an earlier reply
		}
		l.cursor.After = a.Seq
		t := l.waiting[a.Try]
		if t == nil {
			l.releaseUnclaimed(a)
			continue
		}
		delete(l.waiting, a.Try)
		t.answer(l.node.resultOf(t, a))
	}
	if len(l.waiting) > 0 && !l.collecting {
		l.collecting = true
		go l.collect()
	}
}

// startSession resets the cursor for a dispatcher that is new or lost its state, and
// in the latter case sends the waiting demands again. The caller holds mu.
func (l *link) startSession(session uint64) {
	first := l.cursor.Session == 0
	l.cursor = Cursor{Session: session}
	if first {
		return
	}
	for _, t := range l.waiting {
		l.sendDemand(t)
	}
}

// releaseUnclaimed releases a grant that no demand waits for, unless it is held
// already. The caller holds mu.
func (l *link) releaseUnclaimed(a Answer) {
	if a.Kind != "" || l.node.isTracked(a.Try) {
		return
	}
	l.send(Op{Kind: OpRelease, Try: a.Try, Seq: a.Request, Outcome: sched.Abandoned})
}

// fail marks the dispatcher as suspect, drops the queued operations and makes the
// waiting demands look for another dispatcher.
func (l *link) fail() {
	l.node.markSuspect(l.addr)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ops = nil
	for try, t := range l.waiting {
		delete(l.waiting, try)
		t.answer(result{err: errDispatcherChanged})
	}
}
