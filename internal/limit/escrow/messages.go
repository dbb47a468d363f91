package escrow

import (
	"time"

	"carawayrouter.example/router/internal/limit/bucket"
)

// ServiceName is the name under which homes offer their calls to peers.
const ServiceName = "Rights"

// Status is the outcome of a call to a home.
type Status uint8

// The statuses.
const (
	Granted Status = iota + 1
	Queued         // keeps its place, or is being opened; ask again with the same loan
	Refused        // the tokens cannot be there in the time allowed
	NotHome        // the instance may not act as home now
	Unknown        // the account is not in the home's configuration
)

// TakeArgs asks a home for tokens. Repeating it with the same loan is safe.
type TakeArgs struct {
	Account string
	Loan    bucket.LoanID
	Need    int64         // micro-tokens that are granted as a whole
	Extra   int64         // more that may be granted where plenty is left
	Wait    time.Duration // time left until the request's deadline
	Waited  time.Duration // time that the request has waited so far
}

// Part is a loan that makes up a grant, and where it is to be settled.
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
	Life       time.Duration // Granted: to be spent within, counted from before the call
	Again      time.Duration // Queued: time after which to ask again
	RetryAfter time.Duration // Refused: time until the tokens would be there
}

// ReturnItem tells the lender about one loan. Every item is sent at most once; a
// lost one loses tokens.
type ReturnItem struct {
	Account string
	Epoch   uint64
	Loan    bucket.LoanID
	Spent   int64 // newly spent
	Unspent int64 // given back
	Refund  int64 // spent earlier and not used
	Done    bool  // nothing more will come for the loan
	Cancel  bool  // the borrower no longer waits for the loan
}

// ReturnArgs carries items of one sender.
type ReturnArgs struct{ Items []ReturnItem }

// ReturnReply answers ReturnArgs.
type ReturnReply struct{}

// LendArgs asks the home of another data centre for a loan, or with Probe for what
// it could lend.
type LendArgs struct {
	Account    string
	DataCentre string // of the borrower
	Loan       bucket.LoanID
	Amount     int64
	Probe      bool
	Idle       bool          // no request waits; levels are evened out
	Must       bool          // the borrower's share cannot hold what it needs
	Waited     time.Duration // age of the borrower's oldest request
	Demand     int64         // borrower's demand, micro-tokens per second
	Rate       int64         // borrower's share of the rate, micro-tokens per second
}

// LendReply answers LendArgs.
type LendReply struct {
	Status    Status
	Epoch     uint64
	Amount    int64 // lent, or with Probe what could be lent
	Life      time.Duration
	Capacity  int64 // of the lender's bucket
	SpareRate int64 // lender's rate that its own demand leaves
}

// RefreshArgs tells a home that rows of accounts have changed in its favour.
type RefreshArgs struct{ Accounts []string }

// RefreshReply answers RefreshArgs.
type RefreshReply struct{}

// Lent is an outstanding loan in a hand-over.
type Lent struct {
	Amount int64
	Life   time.Duration
}

// HandoverItem carries the rights of one account to the next home of its shard.
// The sender has stopped granting before it sends.
type HandoverItem struct {
	Account string
	Epoch   uint64 // of the sender
	Level   int64
	Lent    []Lent
	Version uint64 // of the row
	Row     []byte // nil if the sender had a move of unknown outcome
}

// HandoverArgs carries items between two homes of one data centre.
type HandoverArgs struct{ Items []HandoverItem }

// HandoverReply answers HandoverArgs.
type HandoverReply struct{ Accepted int }

// StatusArgs asks a home about an account.
type StatusArgs struct{ Account string }

// StatusReply describes an account at its home.
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

// service is the receiver that is registered for peers.
type service struct{ h *home }

// Take grants tokens to an instance.
func (s *service) Take(args *TakeArgs, reply *TakeReply) error {
	*reply = s.h.take(args, false, nil)
	return nil
}

// Return takes back tokens and news of loans.
func (s *service) Return(args *ReturnArgs, _ *ReturnReply) error {
	s.h.applyReturns(args.Items)
	return nil
}

// Lend grants tokens to the home of another data centre.
func (s *service) Lend(args *LendArgs, reply *LendReply) error {
	*reply = s.h.lend(args)
	return nil
}

// Refresh makes the home read rows again.
func (s *service) Refresh(args *RefreshArgs, _ *RefreshReply) error {
	s.h.markStale(args.Accounts)
	return nil
}

// Handover takes the rights of the former home.
func (s *service) Handover(args *HandoverArgs, reply *HandoverReply) error {
	reply.Accepted = s.h.acceptHandover(args.Items)
	return nil
}

// Status describes an account.
func (s *service) Status(args *StatusArgs, reply *StatusReply) error {
	*reply = s.h.status(args.Account)
	return nil
}
