package ticketpeer

import (
	"time"

	"github.com/cockroachdb/errors"

	"carawayrouter.example/router/internal/peer"
	"carawayrouter.example/router/internal/ticket"
)

// Service is the RPC service for peers. It is registered under ServiceName.
type Service struct {
	node    *Node
	applier Applier
}

// Register registers the node's Service, backed by this instance's applier.
func (n *Node) Register(r peer.Registrar, applier Applier) error {
	return errors.Wrap(r.Register(ServiceName, n.Service(applier)), "register tickets service")
}

// Service returns the node's Service, backed by this instance's applier.
func (n *Node) Service(applier Applier) *Service { return &Service{node: n, applier: applier} }

// HeadArgs is empty.
type HeadArgs struct{}

// HeadReply holds the newest ticket of an instance.
type HeadReply struct {
	Head  uint64
	Age   time.Duration // time since the configuration was last confirmed as current
	Known bool          // the configuration has been confirmed as current before
}

// Head returns the newest applied ticket.
func (s *Service) Head(_ HeadArgs, reply *HeadReply) error {
	tail, _ := s.applier.Tail(s.applier.Applied())
	*reply = HeadReply{Head: tail.Head, Age: tail.Age, Known: tail.Age < ticket.UnknownAge}
	return nil
}

// TailArgs requests the tickets after a number.
type TailArgs struct{ After uint64 }

// TailReply holds the tickets after a number.
type TailReply struct {
	Head         uint64
	Age          time.Duration
	Tickets      [][]byte
	NeedSnapshot bool // the requested tickets are no longer retained
}

// Tail returns the tickets after a number.
func (s *Service) Tail(args TailArgs, reply *TailReply) error {
	t, need := s.applier.Tail(args.After)
	*reply = TailReply{Head: t.Head, Age: t.Age, Tickets: t.Tickets, NeedSnapshot: need}
	return nil
}

// SnapshotArgs is empty.
type SnapshotArgs struct{}

// SnapshotReply holds an encoded snapshot of the configuration.
type SnapshotReply struct{ Data []byte }

// Snapshot returns the active configuration.
func (s *Service) Snapshot(_ SnapshotArgs, reply *SnapshotReply) error {
	data, err := s.applier.Snapshot()
	reply.Data = data
	return err
}

// Announce offers new tickets to the applier and forwards the announcement.
func (s *Service) Announce(args AnnounceArgs, _ *AnnounceReply) error {
	if len(args.Cover) > maxCover {
		return errors.Newf("announcement covers %d instances, more than %d", len(args.Cover), maxCover)
	}
	s.applier.Offer(ticket.Tail{Head: args.Head, Tickets: args.Tickets})
	s.node.enqueue(args)
	return nil
}
