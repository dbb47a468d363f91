// Package ticketpeer carries tickets between instances: it spreads new tickets
// within a data centre and hands the configuration to instances that cannot reach
// the store.
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
	pollersPerDC    = 2               // instances of a data centre that poll at the fast interval
	fanout          = 4               // instances that one instance passes an announcement to
	queueSize       = 64              // announcements waiting to be passed on
	peersAsked      = 3               // peers asked for their head in one Fetch, in the own data centre and beyond each
	announceTimeout = time.Second     // of one call that passes an announcement on
	fetchTimeout    = 2 * time.Second // of one call for tickets
	maxCover        = 1024            // addresses in one announcement that are passed on
)

// Store is the applier of this instance.
type Store interface {
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

// Node is this instance's part in the exchange of tickets. It implements
// ticket.PeerSource and ticket.Announcer.
type Node struct {
	o     Options
	queue chan AnnounceArgs

	mu  sync.Mutex
	rnd *rand.Rand
}

// New returns a Node.
func New(o Options) *Node {
	return &Node{
		o:     o,
		queue: make(chan AnnounceArgs, queueSize),
		rnd:   rand.New(rand.NewPCG(o.Seed, o.Seed+1)),
	}
}

// IsFastPoller reports whether this instance is one of those of its data centre that poll
// the table at the fast interval.
func (n *Node) IsFastPoller() bool {
	v := n.o.Members.View()
	if v == nil {
		return true
	}
	own := score(v.Self.Name)
	above := 0
	for _, p := range v.Peers {
		if p.DataCentre == v.Self.DataCentre && score(p.Name) > own {
			above++
		}
	}
	return above < pollersPerDC
}

// score orders the instances of a data centre by rendezvous hashing.
func score(name string) uint64 { return xxhash.Sum64String(ServiceName + "/" + name) }

// AnnounceArgs carries new tickets to one instance, and to others through it.
type AnnounceArgs struct {
	Head    uint64
	Tickets [][]byte
	Cover   []string // addresses that the receiver passes the announcement on to
}

// AnnounceReply is empty.
type AnnounceReply struct{}

// Announce implements ticket.Announcer: all other instances of the data centre
// learn of the tickets.
func (n *Node) Announce(t ticket.Tail) {
	v := n.o.Members.View()
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
	n.pass(AnnounceArgs{Head: t.Head, Tickets: t.Tickets, Cover: cover})
}

// pass queues an announcement; it drops it if the queue is full, and the receivers'
// own polls make up for it.
func (n *Node) pass(a AnnounceArgs) {
	if len(a.Cover) == 0 {
		return
	}
	select {
	case n.queue <- a:
	default:
		n.o.Log.Info("announcement dropped", "head", a.Head)
	}
}

func (n *Node) shuffle(list []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.rnd.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
}

// Run passes announcements on until ctx ends.
func (n *Node) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case a := <-n.queue:
			n.spread(ctx, a)
		}
	}
}

// spread splits the covered addresses into a few parts and sends the announcement
// to one instance of each part, which passes it on to the rest of the part.
func (n *Node) spread(ctx context.Context, a AnnounceArgs) {
	var g errgroup.Group
	for _, part := range split(a.Cover, fanout) {
		g.Go(func() error {
			n.send(ctx, AnnounceArgs{Head: a.Head, Tickets: a.Tickets, Cover: part})
			return nil
		})
	}
	_ = g.Wait() // send reports its own failures
}

// send hands the announcement to the first covered instance that answers.
func (n *Node) send(ctx context.Context, a AnnounceArgs) {
	for len(a.Cover) > 0 && ctx.Err() == nil {
		addr := a.Cover[0]
		a.Cover = a.Cover[1:]
		err := n.call(ctx, announceTimeout, addr, "Announce", a, &AnnounceReply{})
		if err == nil {
			return
		}
		n.o.Log.V(1).Info("announcement not delivered", "addr", addr, "error", err.Error())
	}
}

// split cuts list into at most parts pieces of about equal length.
func split(list []string, parts int) [][]string {
	var out [][]string
	for i := range parts {
		from, to := i*len(list)/parts, (i+1)*len(list)/parts
		if from < to {
			out = append(out, list[from:to])
		}
	}
	return out
}

// call makes one call; all of this package's calls are idempotent.
func (n *Node) call(ctx context.Context, timeout time.Duration, addr, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return n.o.Caller.Call(peer.Idempotent(ctx), addr, ServiceName+"."+method, args, reply)
}

// Fetch implements ticket.PeerSource: it asks a few peers for their newest ticket
// and takes the tail of the one that is furthest.
func (n *Node) Fetch(ctx context.Context, after uint64) (ticket.Tail, error) {
	best, err := n.furthest(ctx)
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

// furthest returns the address of the peer that has the newest ticket among those
// asked; between equals it takes the one whose state is the youngest.
func (n *Node) furthest(ctx context.Context) (string, error) {
	addrs := n.candidates()
	heads := make([]HeadReply, len(addrs))
	var g errgroup.Group
	for i, addr := range addrs {
		g.Go(func() error {
			// A reply of a call that failed may still be written to.
			var h HeadReply
			if err := n.call(ctx, fetchTimeout, addr, "Head", HeadArgs{}, &h); err == nil {
				heads[i] = h
			}
			return nil
		})
	}
	_ = g.Wait() // failures leave an empty answer
	best := -1
	for i, h := range heads {
		if h.Known && (best < 0 || h.better(heads[best])) {
			best = i
		}
	}
	if best < 0 {
		return "", errors.Newf("none of %d peers has a configuration", len(addrs))
	}
	return addrs[best], nil
}

func (h HeadReply) better(o HeadReply) bool {
	return cmp.Or(cmp.Compare(h.Head, o.Head), cmp.Compare(o.Age, h.Age)) > 0
}

// candidates picks random peers of the own data centre and of others.
func (n *Node) candidates() []string {
	v := n.o.Members.View()
	if v == nil {
		return nil
	}
	var near, far []string
	for _, p := range v.Peers {
		if p.DataCentre == v.Self.DataCentre {
			near = append(near, p.Addr)
		} else {
			far = append(far, p.Addr)
		}
	}
	n.shuffle(near)
	n.shuffle(far)
	return slices.Concat(near[:min(peersAsked, len(near))], far[:min(peersAsked, len(far))])
}
