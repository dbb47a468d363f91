// Package ticketpeer exchanges tickets between instances. It distributes new tickets
// within a data centre and serves the configuration to instances that cannot reach the
// store.
package ticketpeer

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"golang.org/x/sync/errgroup"

	"carawayrouter.example/router/internal/member"
	"carawayrouter.example/router/internal/peer"
	"carawayrouter.example/router/internal/ticket"
)

// ServiceName is the name under which Service is registered.
const ServiceName = "Tickets"

const (
	pollersPerDC      = 2               // fast pollers per data centre
	fanout            = 4               // instances to which one instance forwards an announcement
	announceQueueSize = 64              // announcements waiting to be forwarded
	peersPerFetch     = 3               // peers per Fetch in the local data centre, and as many in all others
	announceTimeout   = time.Second     // per call that forwards an announcement
	fetchTimeout      = 2 * time.Second // per call that requests heads, tickets or a snapshot
	maxCover          = 1024            // maximum number of forwarding addresses in one announcement
)

// Applier is the part of ticket.Applier that Service uses.
type Applier interface {
	Applied() uint64
	Tail(after uint64) (t ticket.Tail, need bool)
	Snapshot() ([]byte, error)
	Offer(t ticket.Tail) bool
}

// Options configure a Node.
type Options struct {
	Members member.Source
	Caller  peer.Caller
	Seed    uint64 // seeds the choice of peers
	Log     logr.Logger
}

// Node exchanges tickets with the other instances on behalf of this instance. It
// implements ticket.PeerSource and ticket.Announcer.
type Node struct {
	opts  Options
	queue chan AnnounceArgs

	mu  sync.Mutex
	rnd *rand.Rand
}

// New returns a Node.
func New(o Options) *Node {
	return &Node{
		opts:  o,
		queue: make(chan AnnounceArgs, announceQueueSize),
		rnd:   rand.New(rand.NewPCG(o.Seed, o.Seed+1)),
	}
}

// IsFastPoller reports whether this instance is one of the pollersPerDC instances of its
// data centre that poll the table at the fast interval.
func (n *Node) IsFastPoller() bool {
	v := n.opts.Members.View()
	if v == nil {
		return true
	}
	own := rendezvousScore(v.Self.Name)
	above := 0
	for _, p := range v.Peers {
		if p.DataCentre == v.Self.DataCentre && rendezvousScore(p.Name) > own {
			above++
		}
	}
	return above < pollersPerDC
}

// rendezvousScore returns the rendezvous hash by which the instances of a data centre are
// ranked.
func rendezvousScore(name string) uint64 { return xxhash.Sum64String(ServiceName + "/" + name) }

// AnnounceArgs are the arguments of Service.Announce.
type AnnounceArgs struct {
	Head    uint64
	Tickets [][]byte
	Cover   []string // addresses to which the receiver forwards the announcement
}

// AnnounceReply is empty.
type AnnounceReply struct{}

// Announce implements ticket.Announcer. It distributes the tickets to all other
// instances of the data centre.
func (n *Node) Announce(t ticket.Tail) {
	v := n.opts.Members.View()
	if v == nil {
		return
	}
	var cover []string
	for _, p := range v.Peers {
		if p.DataCentre == v.Self.DataCentre {
			cover = append(cover, p.Addr)
		}
	}
	n.shuffle(cover)
	n.enqueue(AnnounceArgs{Head: t.Head, Tickets: t.Tickets, Cover: cover})
}

// enqueue queues an announcement for forwarding. If the queue is full, the announcement
// is dropped and the receivers get the tickets with their next poll.
func (n *Node) enqueue(a AnnounceArgs) {
	if len(a.Cover) == 0 {
		return
	}
	select {
	case n.queue <- a:
	default:
		n.opts.Log.Info("announcement dropped: queue is full", "head", a.Head)
	}
}

func (n *Node) shuffle(list []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.rnd.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
}

// Run forwards announcements until ctx is done.
func (n *Node) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case a := <-n.queue:
			n.broadcast(ctx, a)
		}
	}
}

// broadcast splits the covered addresses into fanout parts and sends the announcement to
// one instance of each part, which forwards it to the rest of its part.
func (n *Node) broadcast(ctx context.Context, a AnnounceArgs) {
	var g errgroup.Group
	for _, part := range splitEvenly(a.Cover, fanout) {
		g.Go(func() error {
			n.deliver(ctx, AnnounceArgs{Head: a.Head, Tickets: a.Tickets, Cover: part})
			return nil
		})
	}
	_ = g.Wait() // deliver logs its failures
}

// deliver sends the announcement to the first covered instance that accepts it.
func (n *Node) deliver(ctx context.Context, a AnnounceArgs) {
	for len(a.Cover) > 0 && ctx.Err() == nil {
		addr := a.Cover[0]
		a.Cover = a.Cover[1:]
		err := n.call(ctx, announceTimeout, addr, "Announce", a, &AnnounceReply{})
		if err == nil {
			return
		}
		n.opts.Log.V(1).Info("announcement not delivered", "addr", addr, "error", err.Error())
	}
}

// splitEvenly splits list into at most parts sublists of about equal length.
func splitEvenly(list []string, parts int) [][]string {
	var out [][]string
	for i := range parts {
		from, to := i*len(list)/parts, (i+1)*len(list)/parts
		if from < to {
			out = append(out, list[from:to])
		}
	}
	return out
}

// call performs one RPC. All RPCs of this package are idempotent.
func (n *Node) call(ctx context.Context, timeout time.Duration, addr, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return n.opts.Caller.Call(peer.Idempotent(ctx), addr, ServiceName+"."+method, args, reply)
}

// Fetch implements ticket.PeerSource. It requests the heads of a few peers and fetches
// the tail from the most current one.
func (n *Node) Fetch(ctx context.Context, after uint64) (ticket.Tail, error) {
	best, err := n.mostCurrentPeer(ctx)
	if err != nil {
		return ticket.Tail{}, err
	}
	var tail TailReply
	if err := n.call(ctx, fetchTimeout, best, "Tail", TailArgs{After: after}, &tail); err != nil {
		return ticket.Tail{}, err
	}
	out := ticket.Tail{Head: tail.Head, Age: tail.Age, Tickets: tail.Tickets}
	if !tail.NeedSnapshot {
		return out, nil
	}
	var snapshot SnapshotReply
	if err := n.call(ctx, fetchTimeout, best, "Snapshot", SnapshotArgs{}, &snapshot); err != nil {
		return ticket.Tail{}, err
	}
	out.Snapshot = snapshot.Data
	return out, nil
}

// mostCurrentPeer returns the address of the candidate peer with the newest ticket; of
// several with the same ticket, the one with the lowest age.
func (n *Node) mostCurrentPeer(ctx context.Context) (string, error) {
	addrs := n.candidatePeers()
	heads := make([]HeadReply, len(addrs))
	var g errgroup.Group
	for i, addr := range addrs {
		g.Go(func() error {
			// The RPC client may still write to the reply after the call has failed.
			var h HeadReply
			if err := n.call(ctx, fetchTimeout, addr, "Head", HeadArgs{}, &h); err == nil {
				heads[i] = h
			}
			return nil
		})
	}
	_ = g.Wait() // a failed call leaves a zero HeadReply
	best := -1
	for i, h := range heads {
		if h.Known && (best < 0 || h.isNewerThan(heads[best])) {
			best = i
		}
	}
	if best < 0 {
		return "", errors.Newf("none of %d peers has a configuration", len(addrs))
	}
	return addrs[best], nil
}

func (h HeadReply) isNewerThan(o HeadReply) bool {
	return cmp.Or(cmp.Compare(h.Head, o.Head), cmp.Compare(o.Age, h.Age)) > 0
}

// candidatePeers returns the addresses of random peers of the local data centre and of
// other data centres.
func (n *Node) candidatePeers() []string {
	v := n.opts.Members.View()
	if v == nil {
		return nil
	}
	var local, remote []string
	for _, p := range v.Peers {
		if p.DataCentre == v.Self.DataCentre {
			local = append(local, p.Addr)
		} else {
			remote = append(remote, p.Addr)
		}
	}
	n.shuffle(local)
	n.shuffle(remote)
	return slices.Concat(local[:min(peersPerFetch, len(local))], remote[:min(peersPerFetch, len(remote))])
}
