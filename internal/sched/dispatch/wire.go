package dispatch

import (
	"time"

	"carawayrouter.example/router/internal/config"
	"carawayrouter.example/router/internal/errkind"
	"carawayrouter.example/router/internal/reqid"
	"carawayrouter.example/router/internal/sched"
	"carawayrouter.example/router/internal/sched/pool"
)

// ServiceName is the name under which an instance registers Service.
const ServiceName = "Sched"

// The methods of Service.
const (
	methodPush     = ServiceName + ".Push"
	methodCollect  = ServiceName + ".Collect"
	methodRenew    = ServiceName + ".Renew"
	methodRestore  = ServiceName + ".Restore"
	methodHoldings = ServiceName + ".Holdings"
	methodOwns     = ServiceName + ".Owns"
	methodLoad     = ServiceName + ".Load"
	methodLeaving  = ServiceName + ".Leaving"
)

// Place identifies the endpoints that one dispatcher schedules.
type Place struct{ Pool, DataCentre string }

// OpKind is the kind of an Op.
type OpKind int

// The kinds of operations.
const (
	OpSubmit OpKind = iota
	OpPrefillDone
	OpFirstToken
	OpRelease
)

// Op is an operation on a demand. Operations are idempotent by Try.
type Op struct {
	Kind    OpKind
	Try     uint64
	Seq     uint64 // of the request id; the other parts are those of the holder
	Outcome sched.Outcome
	Demand  *Demand // for OpSubmit only
}

// Demand is the wire form of sched.Demand. Waited replaces the arrival time, so that
// clocks need not agree.
type Demand struct {
	Account    string
	Weight     float64
	Class      config.Class
	Prompt     int
	MaxOutput  int
	Prefix     []uint64
	FirstToken time.Duration
	MaxWait    time.Duration
	Waited     time.Duration
	Exclude    []string
}

func toWire(d sched.Demand, now time.Time) *Demand {
	return &Demand{
		Account: d.Account, Weight: d.Weight, Class: d.Class,
		Prompt: d.Prompt, MaxOutput: d.MaxOutput, Prefix: d.Prefix,
		FirstToken: d.FirstToken, MaxWait: d.MaxWait,
		Waited: max(0, now.Sub(d.Arrived)), Exclude: d.Exclude,
	}
}

func (d *Demand) demand(id reqid.ID, pool string, now time.Time) sched.Demand {
	return sched.Demand{
		ID: id, Pool: pool, Account: d.Account, Weight: d.Weight, Class: d.Class,
		Prompt: d.Prompt, MaxOutput: d.MaxOutput, Prefix: d.Prefix,
		FirstToken: d.FirstToken, MaxWait: d.MaxWait,
		Arrived: now.Add(-max(0, d.Waited)), Exclude: d.Exclude,
	}
}

// Answer is the decision on one demand.
type Answer struct {
	Seq        uint64 // increases within a session
	Try        uint64
	Request    uint64 // sequence number of the request id
	Prefill    string // endpoint names
	Decode     string
	Kind       errkind.Kind // empty for a grant
	Message    string
	RetryAfter time.Duration
}

func toAnswer(dec pool.Decision) Answer {
	a := Answer{Try: dec.Key.Try, Request: dec.Key.ID.Seq}
	if dec.Err != nil {
		a.Kind, a.Message, a.RetryAfter = dec.Err.Kind, dec.Err.Message, dec.Err.RetryAfter
		return a
	}
	a.Decode = dec.Decode.Name
	if dec.Prefill != nil {
		a.Prefill = dec.Prefill.Name
	}
	return a
}

// Cursor identifies the answers that a holder has received. Session identifies one run
// of a dispatcher; answers of that session up to After need not be sent again.
type Cursor struct {
	Session uint64
	After   uint64
}

// Answers holds the answers after a Cursor and the dispatcher's load.
type Answers struct {
	Session uint64
	Answers []Answer
	Load    pool.Load
}

// PushArgs carries operations in order.
type PushArgs struct {
	Holder pool.Holder
	Place  Place
	Cursor Cursor
	Ops    []Op
}

// CollectArgs asks for answers, waiting up to Wait for one.
type CollectArgs struct {
	Holder pool.Holder
	Place  Place
	Cursor Cursor
	Wait   time.Duration
}

// RenewArgs lists all demands of a holder at a dispatcher.
type RenewArgs struct {
	Holder pool.Holder
	Place  Place
	Last   uint64   // last try that the holder has issued
	Steps  []uint64 // tries in ascending order, delta-encoded
}

// RenewReply lists the tries that the dispatcher does not know.
type RenewReply struct {
	Unknown []uint64
	Load    pool.Load
}

// RestoreArgs describes grants that a dispatcher does not know.
type RestoreArgs struct {
	Place Place
	Held  []pool.Held
}

// Empty is used for methods without arguments or results.
type Empty struct{ Unused bool }

// LeavingReply lists the endpoint addresses that the platform's list shows as leaving.
type LeavingReply struct{ Addrs []string }

// HoldingsArgs asks an instance for the grants that it holds at a place.
type HoldingsArgs struct{ Place Place }

// HoldingsReply lists grants.
type HoldingsReply struct{ Held []pool.Held }

// OwnsArgs asks an instance which of its requests it is still working on.
type OwnsArgs struct{ IDs []reqid.ID }

// OwnsReply lists the indexes in OwnsArgs.IDs of the requests that the instance is not
// working on.
type OwnsReply struct{ Disowned []int }

// LoadArgs asks for a dispatcher's load.
type LoadArgs struct{ Place Place }

// deltaEncode encodes sorted tries as differences, which are shorter on the wire.
func deltaEncode(tries []uint64) []uint64 {
	out := make([]uint64, len(tries))
	last := uint64(0)
	for i, t := range tries {
		out[i] = t - last
		last = t
	}
	return out
}

// deltaDecode is the inverse of deltaEncode.
func deltaDecode(in []uint64) []uint64 {
	out := make([]uint64, len(in))
	last := uint64(0)
	for i, s := range in {
		last += s
		out[i] = last
	}
	return out
}
