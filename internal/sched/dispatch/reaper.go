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
	orphanGrace = 3 * time.Second  // time for which a request must run unexplained
	strayLife   = 10 * time.Second // after the last list that had it
)

// reaper cancels what runs at this instance's engines for nobody: requests of dead
// processes, and requests that their live owner disowns.
type reaper struct {
	node   *Node
	deaths *deaths

	mu     sync.Mutex
	strays map[string]map[strayKey]stray // by endpoint address
}

type strayKey struct {
	id      reqid.ID
	attempt int
}

// stray is a running request that no grant explains.
type stray struct {
	since time.Time // first list
	seen  time.Time // last list
	addr  string    // of the engine
	name  string
}

func newReaper(n *Node) *reaper {
	return &reaper{
		node:   n,
		deaths: &deaths{opts: &n.opts, absent: map[pool.Holder]time.Time{}},
		strays: map[string]map[strayKey]stray{},
	}
}

// note takes an engine's list of what it runs.
func (r *reaper) note(h *host, ep *config.Endpoint, running []endpoint.Running) {
	now := r.node.opts.Clock.Now()
	found := map[strayKey]stray{}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, x := range running {
		if h.Granted(x.ID) {
			continue
		}
		k := strayKey{x.ID, x.Attempt}
		s, ok := r.strays[ep.Addr][k]
		if !ok {
			s = stray{since: now, addr: ep.Addr, name: ep.Name}
		}
		s.seen = now
		found[k] = s
	}
	delete(r.strays, ep.Addr)
	if len(found) > 0 {
		r.strays[ep.Addr] = found
	}
}

// due returns the strays past the grace, by owner.
func (r *reaper) due(now time.Time) map[pool.Holder]map[strayKey][]stray {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[pool.Holder]map[strayKey][]stray{}
	for _, strays := range r.strays {
		for k, s := range strays {
			if now.Sub(s.seen) > strayLife {
				delete(strays, k) // its engine is polled no longer
				continue
			}
			if now.Sub(s.since) < orphanGrace {
				continue
			}
			owner := pool.Holder{Instance: k.id.Instance, Incarnation: k.id.Incarnation}
			if out[owner] == nil {
				out[owner] = map[strayKey][]stray{}
			}
			out[owner][k] = append(out[owner][k], s)
		}
	}
	return out
}

// run asks the owners of strays and cancels what nobody owns.
func (r *reaper) run(ctx context.Context) {
	for owner, strays := range r.due(r.node.opts.Clock.Now()) {
		for _, k := range r.disowned(ctx, owner, strays) {
			for _, s := range strays[k] {
				r.cancel(ctx, k, s)
			}
		}
	}
}

// disowned returns those of an owner's strays that may be cancelled. Without a word
// from a live owner none is.
func (r *reaper) disowned(ctx context.Context, owner pool.Holder, strays map[strayKey][]stray) []strayKey {
	keys := make([]strayKey, 0, len(strays))
	args := &OwnsArgs{}
	for k := range strays {
		keys = append(keys, k)
		args.IDs = append(args.IDs, k.id)
	}
	n := r.node
	if owner == n.holder() {
		var reply OwnsReply
		_ = n.Service().Owns(args, &reply)
		return at(keys, reply.Disowned)
	}
	addr, ok := addressOf(n.opts.Members.View(), owner)
	if !ok {
		if r.deaths.dead(owner) {
			return keys
		}
		return nil
	}
	r.deaths.present(owner)
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply OwnsReply
	if err := n.opts.Caller.Call(peer.Idempotent(call), addr, methodOwns, args, &reply); err != nil {
		return nil
	}
	return at(keys, reply.Disowned)
}

// at returns the keys at the given indexes.
func at(keys []strayKey, indexes []int) []strayKey {
	var out []strayKey
	for _, i := range indexes {
		if i >= 0 && i < len(keys) {
			out = append(out, keys[i])
		}
	}
	return out
}

// addressOf returns the peer address of a process in a view.
func addressOf(v *member.View, owner pool.Holder) (string, bool) {
	for _, s := range v.Peers {
		if s.Name == owner.Instance && s.Process == owner.Incarnation {
			return s.Addr, true
		}
	}
	return "", false
}

func (r *reaper) cancel(ctx context.Context, k strayKey, s stray) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := r.node.opts.Dialer.Engine(s.addr).Cancel(call, k.id, k.attempt); err != nil {
		return // still listed, and tried again
	}
	r.node.opts.Events.Add(event.Event{Kind: "sched.orphan", Request: k.id.String(), Endpoint: s.name})
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.strays[s.addr], k)
}
