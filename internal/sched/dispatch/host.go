package dispatch

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"carawayrouter.example/router/internal/config"
	"carawayrouter.example/router/internal/endpoint"
	"carawayrouter.example/router/internal/peer"
	"carawayrouter.example/router/internal/sched/pool"
)

// warmUpCalls bounds the instances that a new dispatcher queries concurrently.
const warmUpCalls = 8

// hostedDispatcher is a dispatcher that this instance runs, with a mailbox of answers
// for each holder.
type hostedDispatcher struct {
	*pool.Dispatcher
	place   Place
	session uint64
	node    *Node
	stop    context.CancelFunc

	mu        sync.Mutex
	mailboxes map[pool.Holder]*mailbox
	seq       uint64 // of the last answer to any holder
	lastUsed  time.Time
}

// mailbox keeps the answers that a holder has not acknowledged. A holder that was
// inactive for long gets a new mailbox; answers stay in order because all mailboxes
// share one sequence.
type mailbox struct {
	answers  []Answer
	arrived  chan struct{} // closed when an answer is added
	lastUsed time.Time
}

// errCannotHost refuses calls for places that the instance cannot be dispatcher of:
// the place is in another data centre, the pool has no endpoints there, or the
// instance is shutting down.
var errCannotHost = errors.New("instance cannot be dispatcher of the place")

// hostedAt returns the dispatcher of a place, starting it if necessary.
func (n *Node) hostedAt(p Place) (*hostedDispatcher, error) {
	st := n.opts.Config.Current()
	n.mu.Lock()
	if h := n.hosted[p]; h != nil {
		n.mu.Unlock()
		return h, nil
	}
	eps := pool.EndpointsFor(st, p.Pool, p.DataCentre)
	kind := config.ModelPool
	if cfg := st.Pools[p.Pool]; cfg != nil {
		kind = cfg.Kind
	}
	if len(eps) == 0 || p.DataCentre != n.self().DataCentre || n.ctx.Err() != nil {
		n.mu.Unlock()
		return nil, errCannotHost
	}
	seed := rand.New(rand.NewPCG(n.rand.Uint64(), n.rand.Uint64()))
	ctx, cancel := context.WithCancel(n.ctx)
	h := &hostedDispatcher{
		Dispatcher: pool.NewDispatcher(p.Pool, p.DataCentre, kind, n.tuning, n.opts.Clock, seed, n.opts.Events),
		place:      p,
		session:    n.rand.Uint64() | 1,
		node:       n,
		stop:       cancel,
		mailboxes:  map[pool.Holder]*mailbox{},
		lastUsed:   n.opts.Clock.Now(),
	}
	running := n.running
	h.Pause(running)
	h.SetEndpoints(eps, n.leaving)
	n.hosted[p] = h // last, since without endpoints it would refuse demands
	n.mu.Unlock()

	if running {
		n.wg.Go(func() { h.Run(ctx) })
		n.wg.Go(func() { h.recoverAndPoll(ctx) })
	}
	return h, nil
}

// recoverAndPoll rebuilds the dispatcher's state, enables granting, and then polls its
// engines.
func (h *hostedDispatcher) recoverAndPoll(ctx context.Context) {
	poller := &pool.Poller{
		Dispatcher: h.Dispatcher,
		Dialer:     h.node.opts.Dialer,
		Clock:      h.node.opts.Clock,
		OnRunning: func(_ context.Context, ep *config.Endpoint, running []endpoint.Running) {
			if ep.DataCentre == h.place.DataCentre {
				h.node.reaper.observe(h, ep, running)
			}
		},
	}
	eps := func() []*config.Endpoint {
		return pool.PolledEndpoints(h.node.opts.Config.Current(), h.place.Pool, h.place.DataCentre)
	}
	h.warmUp(ctx, poller, eps())
	h.Pause(false)
	poller.Run(ctx, eps)
}

// warmUp restores the grants held by the instances of the data centre and polls the
// engines, as far as they answer within warmUpTime. What is missed is added when
// holders renew and engines are polled; until then engines refuse requests beyond
// their capacity.
func (h *hostedDispatcher) warmUp(ctx context.Context, poller *pool.Poller, eps []*config.Endpoint) {
	ctx, cancel := context.WithTimeout(ctx, warmUpTime)
	defer cancel()
	lease := h.node.lease()
	var g errgroup.Group
	g.SetLimit(warmUpCalls)
	g.Go(func() error {
		poller.Poll(ctx, eps)
		return nil
	})
	h.Restore(h.node.holdings(h.place), lease)
	self := h.node.self()
	for _, m := range h.node.opts.Members.View().InDataCentre(self.DataCentre) {
		if m.Addr == self.Addr {
			continue
		}
		g.Go(func() error {
			var reply HoldingsReply
			if err := h.node.opts.Caller.Call(peer.Idempotent(ctx), m.Addr, methodHoldings, &HoldingsArgs{h.place}, &reply); err == nil {
				h.Restore(reply.Held, lease)
			}
			return nil
		})
	}
	_ = g.Wait()
}

// mailboxOf returns the mailbox of a holder. The caller holds mu.
func (h *hostedDispatcher) mailboxOf(of pool.Holder) *mailbox {
	b := h.mailboxes[of]
	if b == nil {
		b = &mailbox{arrived: make(chan struct{})}
		h.mailboxes[of] = b
	}
	b.lastUsed = h.node.opts.Clock.Now()
	h.lastUsed = b.lastUsed
	return b
}

// postAnswer puts a decision into its holder's mailbox.
func (h *hostedDispatcher) postAnswer(dec pool.Decision) {
	a := toAnswer(dec)
	h.mu.Lock()
	defer h.mu.Unlock()
	b := h.mailboxOf(dec.Key.Holder())
	h.seq++
	a.Seq = h.seq
	b.answers = append(b.answers, a)
	close(b.arrived)
	b.arrived = make(chan struct{})
}

// answersAfter removes acknowledged answers and returns the others, with a channel
// that is closed when the next one is added.
func (h *hostedDispatcher) answersAfter(of pool.Holder, c Cursor) ([]Answer, <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	b := h.mailboxOf(of)
	if c.Session == h.session {
		for len(b.answers) > 0 && b.answers[0].Seq <= c.After {
			b.answers = b.answers[1:]
		}
	}
	return append([]Answer(nil), b.answers...), b.arrived
}

// prune removes mailboxes that were not used for leaseTime.
func (h *hostedDispatcher) prune() {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.node.opts.Clock.Now()
	for of, b := range h.mailboxes {
		if now.Sub(b.lastUsed) > leaseTime {
			delete(h.mailboxes, of)
		}
	}
}

// idleFor reports whether the dispatcher was not used for the given time and has no
// demands.
func (h *hostedDispatcher) idleFor(now time.Time, d time.Duration) bool {
	h.mu.Lock()
	asked := h.lastUsed
	h.mu.Unlock()
	return now.Sub(asked) >= d && h.Idle()
}
