package ticketpeer

import (
	"time"

	"github.com/cockroachdb/errors"

	"carawayrouter.example/router/internal/peer"
	"carawayrouter.example/router/internal/ticket"
)

// Service answers peers. Register it under ServiceName.
type Service struct {
	node  *Node
	store Store
}

// Register offers the node's Service, backed by this instance's applier.
func (n *Node) Register(r peer.Registrar, store Store) error {
	return errors.Wrap(r.Register(ServiceName, n.Service(store)), "register tickets service")
}

// Service returns the node's Service, backed by this instance's applier.
func (n *Node) Service(store Store) *Service { return &Service{node: n, store: store} }

// HeadArgs is empty.
type HeadArgs struct{}

// HeadReply tells how far an instance is.
type HeadReply struct {
	Head  uint64
	Age   time.Duration // since the instance was last known to be current
	Known bool          // the instance has learned a configuration
}

// Head reports the newest applied ticket.
func (s *Service) Head(_ HeadArgs, reply *HeadReply) error {
	tail, _ := s.store.Tail(s.store.Applied())
	*reply = HeadReply{Head: tail.Head, Age: tail.Age, Known: tail.Age < ticket.UnknownAge}
	return nil
}

// TailArgs asks for the tickets after a number.
type TailArgs struct{ After uint64 }

// TailReply holds the tickets after a number.
type TailReply struct {
	Head         uint64
	Age          time.Duration
	Tickets      [][]byte
	NeedSnapshot bool // the tickets asked for are no longer held
}

// Tail returns the tickets after a number.
func (s *Service) Tail(args TailArgs, reply *TailReply) error {
	t, need := s.store.Tail(args.After)
	*reply = TailReply{Head: t.Head, Age: t.Age, Tickets: t.Tickets, NeedSnapshot: need}
	return nil
}

// SnapshotArgs is empty.
type SnapshotArgs struct{}

// SnapshotReply holds a whole configuration.
type SnapshotReply struct{ Data []byte }

// Snapshot returns the configuration in force.
func (s *Service) Snapshot(_ SnapshotArgs, reply *SnapshotReply) error {
	data, err := s.store.Snapshot()
	reply.Data = data
	return err
}

// Announce takes new tickets over and passes them on.
func (s *Service) Announce(args AnnounceArgs, _ *AnnounceReply) error {
	if len(args.Cover) > maxCover {
		return errors.Newf("announcement covers %d instances, more than %d", len(args.Cover), maxCover)
	}
	s.store.Offer(ticket.Tail{Head: args.Head, Tickets: args.Tickets})
	s.node.pass(args)
	return nil
}
