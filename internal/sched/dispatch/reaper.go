package dispatch

import (
	"context"
	"sync"
	"time"

	"carawayrouter.example/router/internal/config"
	"carawayrouter.example/router/internal/endpoint"
	"carawayrouter.example/router/internal/event"
	"carawayrouter.example/router/internal/member"
	"carawayrouter.example/router/internal/peer"
	"carawayrouter.example/router/internal/reqid"
	"carawayrouter.example/router/internal/sched/pool"
)

const (
	orphanGracePeriod = 3 * time.Second  // for which a request must run without a grant
	candidateLifetime = 10 * time.Second // after the last list that contained it
)

// reaper cancels orphans at this instance's engines: requests of dead processes, and
// requests that their live owner disowns.
type reaper struct {
	node   *Node
	deaths *deathDetector

	mu         sync.Mutex
	candidates map[string]map[attemptKey]orphanCandidate // by endpoint address
}

type attemptKey struct {
	id      reqid.ID
	attempt int
}

// orphanCandidate is a running request without a grant.
type orphanCandidate struct {
	since time.Time // first list that contained it
	seen  time.Time // last list that contained it
	addr  string    // of the engine
	name  string
}

func newReaper(n *Node) *reaper {
	return &reaper{
		node:       n,
		deaths:     &deathDetector{opts: &n.opts, absent: map[pool.Holder]time.Time{}},
		candidates: map[string]map[attemptKey]orphanCandidate{},
	}
}

// observe takes the list of requests that an engine runs.
func (r *reaper) observe(h *hostedDispatcher, ep *config.Endpoint, running []endpoint.Running) {
	now := r.node.opts.Clock.Now()
	found := map[attemptKey]orphanCandidate{}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, x := range running {
		if h.Granted(x.ID) {
			continue
		}
		k := attemptKey{x.ID, x.Attempt}
		s, ok := r.candidates[ep.Addr][k]
		if !ok {
			s = orphanCandidate{since: now, addr: ep.Addr, name: ep.Name}
		}
		s.seen = now
		found[k] = s
	}
	delete(r.candidates, ep.Addr)
	if len(found) > 0 {
		r.candidates[ep.Addr] = found
	}
}

// overdue returns the candidates past the grace period, by owner.
func (r *reaper) overdue(now time.Time) map[pool.Holder]map[attemptKey][]orphanCandidate {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[pool.Holder]map[attemptKey][]orphanCandidate{}
	for _, candidates := range r.candidates {
		for k, s := range candidates {
			if now.Sub(s.seen) > candidateLifetime {
				delete(candidates, k) // its engine is no longer polled
				continue
			}
			if now.Sub(s.since) < orphanGracePeriod {
				continue
			}
			owner := pool.Holder{Instance: k.id.Instance, Incarnation: k.id.Incarnation}
			if out[owner] == nil {
				out[owner] = map[attemptKey][]orphanCandidate{}
			}
			out[owner][k] = append(out[owner][k], s)
		}
	}
	return out
}

// run asks the owners of candidates and cancels the requests that nobody owns.
func (r *reaper) run(ctx context.Context) {
	for owner, candidates := range r.overdue(r.node.opts.Clock.Now()) {
		for _, k := range r.disowned(ctx, owner, candidates) {
			for _, s := range candidates[k] {
				r.cancel(ctx, k, s)
			}
		}
	}
}

// disowned returns those of an owner's candidates that may be cancelled. There are
// none if a live owner does not answer.
func (r *reaper) disowned(ctx context.Context, owner pool.Holder, candidates map[attemptKey][]orphanCandidate) []attemptKey {
	keys := make([]attemptKey, 0, len(candidates))
	args := &OwnsArgs{}
	for k := range candidates {
		keys = append(keys, k)
		args.IDs = append(args.IDs, k.id)
	}
	n := r.node
	if owner == n.holder() {
		var reply OwnsReply
		_ = n.Service().Owns(args, &reply)
		return selectIndexes(keys, reply.Disowned)
	}
	addr, ok := peerAddr(n.opts.Members.View(), owner)
	if !ok {
		if r.deaths.isDead(owner) {
			return keys
		}
		return nil
	}
	r.deaths.markPresent(owner)
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply OwnsReply
	if err := n.opts.Caller.Call(peer.Idempotent(call), addr, methodOwns, args, &reply); err != nil {
		return nil
	}
	return selectIndexes(keys, reply.Disowned)
}

// selectIndexes returns the keys at the given indexes, ignoring those out of range.
func selectIndexes(keys []attemptKey, indexes []int) []attemptKey {
	var out []attemptKey
	for _, i := range indexes {
		if i >= 0 && i < len(keys) {
			out = append(out, keys[i])
		}
	}
	return out
}

// peerAddr returns the peer address of a process in a view.
func peerAddr(v *member.View, owner pool.Holder) (string, bool) {
	for _, s := range v.Peers {
		if s.Name == owner.Instance && s.Process == owner.Incarnation {
			return s.Addr, true
		}
	}
	return "", false
}

func (r *reaper) cancel(ctx context.Context, k attemptKey, s orphanCandidate) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := r.node.opts.Dialer.Engine(s.addr).Cancel(call, k.id, k.attempt); err != nil {
		return // the engine still lists it, so it is tried again
	}
	r.node.opts.Events.Add(event.Event{Kind: "sched.orphan", Request: k.id.String(), Endpoint: s.name})
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.candidates[s.addr], k)
}
