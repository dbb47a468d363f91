package escrow

import (
	"time"

	"carawayrouter.example/router/internal/limit/bucket"
)

// ServiceName is the RPC service name of homes.
const ServiceName = "Rights"

// Status is the outcome of a call to a home.
type Status uint8

// Status values.
const (
	Granted Status = iota + 1
	Queued         // the request is queued or the account is being opened; call again with the same loan
	Refused        // the tokens cannot be granted in the allowed time
	NotHome        // the instance is not the account's home now
	Unknown        // the home's configuration does not contain the account
)

// TakeArgs asks a home for tokens. Repeating it with the same loan is safe.
type TakeArgs struct {
	Account string
	Loan    bucket.LoanID
	Need    int64         // micro-tokens, granted all or none
	Extra   int64         // additional micro-tokens to prefetch if the level permits
	Wait    time.Duration // time left until the request's deadline
	Waited  time.Duration // time that the request has already waited
}

// Part is one loan of a grant and the lender at which it is settled.
type Part struct {
	Addr   string
	Epoch  uint64
	Loan   bucket.LoanID
	Amount int64
	Sole   bool // nothing else is settled under the loan
}

// TakeReply answers TakeArgs.
type TakeReply struct {
	Status     Status
	Parts      []Part        // Granted: loans of at least Need
	Life       time.Duration // Granted: lifetime, counted from before the call
	Again      time.Duration // Queued: delay before the next call
	Opening    bool          // Queued, Refused: the account's share is not known yet
	RetryAfter time.Duration // Refused: estimated time until the tokens are available
}

// ReturnItem reports changes of one loan to its lender. Every item is sent at most
// once; losing one loses tokens.
type ReturnItem struct {
	Account string
	Epoch   uint64
	Loan    bucket.LoanID
	Spent   int64 // newly spent
	Unspent int64 // returned without being spent
	Refund  int64 // reported as spent earlier but not used
	Done    bool  // last item of the loan
	Cancel  bool  // the borrower no longer waits for the loan
}

// ReturnArgs carries the items of one sender.
type ReturnArgs struct{ Items []ReturnItem }

// ReturnReply answers ReturnArgs.
type ReturnReply struct{}

// LendArgs asks the home in another data centre for a loan, or with Probe for the
// amount that it could lend.
type LendArgs struct {
	Account    string
	DataCentre string // data centre of the borrower
	Loan       bucket.LoanID
	Amount     int64
	Probe      bool
	Idle       bool          // no request waits; the loan only balances levels
	Must       bool          // the borrower's request exceeds the capacity of its share
	Waited     time.Duration // time that the borrower's oldest request has waited
	Demand     int64         // borrower's demand, micro-tokens per second
	Rate       int64         // borrower's share of the rate, micro-tokens per second
}

// LendReply answers LendArgs.
type LendReply struct {
	Status    Status
	Epoch     uint64
	Amount    int64 // amount lent, or with Probe the amount that could be lent
	Life      time.Duration
	Capacity  int64 // capacity of the lender's bucket
	SpareRate int64 // part of the lender's rate that its local demand does not use
}

// RefreshArgs tells a home that its shares of these accounts have been raised.
type RefreshArgs struct{ Accounts []string }

// RefreshReply answers RefreshArgs.
type RefreshReply struct{}

// Lent is an outstanding loan in a handover.
type Lent struct {
	Amount int64
	Life   time.Duration
}

// HandoverItem carries the state of one account to the next home of its shard. The
// sender stops granting before it sends.
type HandoverItem struct {
	Account string
	Epoch   uint64 // epoch of the sender
	Level   int64
	Lent    []Lent
	Version uint64 // version of the row
	Row     []byte // nil if the sender had a share move of unknown outcome
}

// HandoverArgs carries items from one home to the next in the same data centre.
type HandoverArgs struct{ Items []HandoverItem }

// HandoverReply answers HandoverArgs.
type HandoverReply struct{ Accepted int }

// StatusArgs asks a home for the state of an account.
type StatusArgs struct{ Account string }

// StatusReply is the state of an account at its home.
type StatusReply struct {
	Status     Status
	DataCentre string
	Epoch      uint64
	Share      int64 // parts per million in effect
	Level      int64 // micro-tokens
	Lent       int64
	Capacity   int64
	Rate       int64
	Demand     int64
	Waiting    int
	Unsettled  bool // a share move has an unknown outcome
}

// service is the RPC receiver registered for peers.
type service struct{ home *home }

// Take grants tokens to an instance.
func (s *service) Take(args *TakeArgs, reply *TakeReply) error {
	*reply = s.home.take(args, false, nil)
	return nil
}

// Return applies loan updates of a borrower.
func (s *service) Return(args *ReturnArgs, _ *ReturnReply) error {
	s.home.applyReturns(args.Items)
	return nil
}

// Lend lends tokens to the home in another data centre.
func (s *service) Lend(args *LendArgs, reply *LendReply) error {
	*reply = s.home.lend(args)
	return nil
}

// Refresh makes the home read the rows of accounts again.
func (s *service) Refresh(args *RefreshArgs, _ *RefreshReply) error {
	s.home.markStale(args.Accounts)
	return nil
}

// Handover takes over account state from the previous home.
func (s *service) Handover(args *HandoverArgs, reply *HandoverReply) error {
	reply.Accepted = s.home.acceptHandover(args.Items)
	return nil
}

// Status returns the state of an account.
func (s *service) Status(args *StatusArgs, reply *StatusReply) error {
	*reply = s.home.status(args.Account)
	return nil
}
