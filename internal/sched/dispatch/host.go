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

// warmUpCalls bounds the instances that a new dispatcher asks at the same moment.
const warmUpCalls = 8

// hostedDispatcher is a dispatcher that this instance runs, with a mailbox of answers for each
// holder.
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

// mailbox keeps the answers that a holder has not confirmed. A holder that was away
// gets a new one; answers stay in order because all mailboxes share one sequence.
type mailbox struct {
	answers  []Answer
	arrived  chan struct{} // closed when an answer comes
	lastUsed time.Time
}

// errCannotHost refuses calls for places that the instance cannot be dispatcher of: it
// is in another data centre, the pool has no endpoints there, or it is shutting down.
var errCannotHost = errors.New("instance cannot be dispatcher of the place")

// hostedAt returns the dispatcher of a place, starting one if need be.
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
	n.hosted[p] = h
	running, leaving := n.running, n.leaving
	n.mu.Unlock()

	h.Pause(running)
	h.SetEndpoints(eps, leaving)
	if running {
		n.wg.Go(func() { h.Run(ctx) })
		n.wg.Go(func() { h.recoverAndPoll(ctx) })
	}
	return h, nil
}

// recoverAndPoll rebuilds the dispatcher's view, lets it grant, and polls its engines.
func (h *hostedDispatcher) recoverAndPoll(ctx context.Context) {
	w := &pool.Poller{
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
	h.warmUp(ctx, w, eps())
	h.Pause(false)
	w.Run(ctx, eps)
}

// warmUp books what the instances of the data centre hold and what engines run, as
// far as they answer in time. What is missed counts once holders renew and engines
// are polled; until then engines refuse what is too much.
func (h *hostedDispatcher) warmUp(ctx context.Context, w *pool.Poller, eps []*config.Endpoint) {
	ctx, cancel := context.WithTimeout(ctx, warmUpTime)
	defer cancel()
	lease := h.node.lease()
	var g errgroup.Group
	g.SetLimit(warmUpCalls)
	g.Go(func() error {
		w.Poll(ctx, eps)
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

// answersAfter drops confirmed answers and returns the rest, with a channel that is closed
// when another comes.
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

// prune drops mailboxes that were not used for the life of a lease.
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

// idleFor reports whether nobody asked for the given time and nothing is booked.
func (h *hostedDispatcher) idleFor(now time.Time, d time.Duration) bool {
	h.mu.Lock()
	asked := h.lastUsed
	h.mu.Unlock()
	return now.Sub(asked) >= d && h.Idle()
}
