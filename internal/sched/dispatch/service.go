package dispatch

import (
	"carawayrouter.example/router/internal/reqid"
	"carawayrouter.example/router/internal/sched/pool"
)

// Service exports a Node's dispatchers to the peers. Its methods have the signature
// that net/rpc requires.
type Service struct{ node *Node }

// Service returns the RPC service, to be registered under ServiceName.
func (n *Node) Service() *Service { return &Service{n} }

// Push applies operations and returns the available answers.
func (s *Service) Push(args *PushArgs, reply *Answers) error {
	h, err := s.node.hostedAt(args.Place)
	if err != nil {
		return err
	}
	now, lease := s.node.opts.Clock.Now(), s.node.lease()
	for _, op := range args.Ops {
		id := reqid.ID{Instance: args.Holder.Instance, Incarnation: args.Holder.Incarnation, Seq: op.Seq}
		key := pool.Key{ID: id, Try: op.Try}
		switch op.Kind {
		case OpSubmit:
			if op.Demand != nil {
				h.SubmitFunc(key, op.Demand.demand(id, args.Place.Pool, now), lease, h.postAnswer)
			}
		case OpPrefillDone:
			h.PrefillDone(key, op.Outcome)
		case OpFirstToken:
			h.FirstToken(key)
		case OpRelease:
			h.Release(key, op.Outcome)
		}
	}
	reply.Session, reply.Load = h.session, h.Load()
	reply.Answers, _ = h.answersAfter(args.Holder, args.Cursor)
	return nil
}

// Collect waits for answers and returns them.
func (s *Service) Collect(args *CollectArgs, reply *Answers) error {
	h, err := s.node.hostedAt(args.Place)
	if err != nil {
		return err
	}
	answers, arrived := h.answersAfter(args.Holder, args.Cursor)
	if len(answers) == 0 && args.Cursor.Session == h.session {
		select {
		case <-arrived:
		case <-s.node.opts.Clock.After(min(args.Wait, collectWait)):
		case <-s.node.done():
		}
		answers, _ = h.answersAfter(args.Holder, args.Cursor)
	}
	reply.Session, reply.Answers, reply.Load = h.session, answers, h.Load()
	return nil
}

// Renew extends the leases of a holder's demands and releases those that it no longer
// lists.
func (s *Service) Renew(args *RenewArgs, reply *RenewReply) error {
	h, err := s.node.hostedAt(args.Place)
	if err != nil {
		return err
	}
	reply.Unknown = h.Reconcile(args.Holder, deltaDecode(args.Steps), args.Last, s.node.lease())
	reply.Load = h.Load()
	return nil
}

// Restore adds grants that the dispatcher does not know.
func (s *Service) Restore(args *RestoreArgs, _ *Empty) error {
	h, err := s.node.hostedAt(args.Place)
	if err != nil {
		return err
	}
	h.Restore(args.Held, s.node.lease())
	return nil
}

// Holdings lists the grants that this instance holds at a place.
func (s *Service) Holdings(args *HoldingsArgs, reply *HoldingsReply) error {
	reply.Held = s.node.holdings(args.Place)
	return nil
}

// Owns returns which of the given requests this instance is not working on.
func (s *Service) Owns(args *OwnsArgs, reply *OwnsReply) error {
	for i, id := range args.IDs {
		if !s.node.owns(id) {
			reply.Disowned = append(reply.Disowned, i)
		}
	}
	return nil
}

// Load returns the load of a dispatcher.
func (s *Service) Load(args *LoadArgs, reply *pool.Load) error {
	h, err := s.node.hostedAt(args.Place)
	if err != nil {
		return err
	}
	*reply = h.Load()
	return nil
}

// Leaving returns the leaving endpoint addresses that this instance knows.
func (s *Service) Leaving(_ *Empty, reply *LeavingReply) error {
	reply.Addrs = s.node.list.list()
	return nil
}
