package dispatch

import (
	"time"

	"carawayrouter.example/router/internal/config"
	"carawayrouter.example/router/internal/errkind"
	"carawayrouter.example/router/internal/reqid"
	"carawayrouter.example/router/internal/sched"
	"carawayrouter.example/router/internal/sched/pool"
)

// ServiceName is the name under which an instance offers Service to its peers.
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

// Place names the endpoints that one dispatcher owns.
type Place struct{ Pool, DataCentre string }

// OpKind is what an Op does.
type OpKind int

// The kinds of operations.
const (
	OpSubmit OpKind = iota
	OpPrefillDone
	OpFirstToken
	OpRelease
)

// Op is one step in the life of a demand. All are idempotent by Try.
type Op struct {
	Kind    OpKind
	Try     uint64
	Seq     uint64 // of the request id; the holder gives the rest
	Outcome sched.Outcome
	Demand  *Demand // of OpSubmit
}

// Demand is sched.Demand as it travels. Waited replaces the time of arrival, so that
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
	Seq        uint64 // grows within a session
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

// Cursor says which answers a holder has had. Session names one life of a
// dispatcher; answers up to After in it need not be sent again.
type Cursor struct {
	Session uint64
	After   uint64
}

// Answers are the answers after a Cursor, and the dispatcher's load.
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

// CollectArgs asks for answers, waiting for one at most the given time.
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
	Last   uint64   // last try that the holder had issued
	Steps  []uint64 // tries in order, each as the difference to the one before
}

// RenewReply names the tries that the dispatcher does not know.
type RenewReply struct {
	Unknown []uint64
	Load    pool.Load
}

// RestoreArgs describes grants that a dispatcher did not know.
type RestoreArgs struct {
	Place Place
	Held  []pool.Held
}

// Empty stands for no arguments or an empty reply.
type Empty struct{ Unused bool }

// LeavingReply lists the addresses that the platform's list shows as leaving.
type LeavingReply struct{ Addrs []string }

// HoldingsArgs asks an instance what it holds at a place.
type HoldingsArgs struct{ Place Place }

// HoldingsReply lists grants.
type HoldingsReply struct{ Held []pool.Held }

// OwnsArgs asks an instance which of its requests it still works on.
type OwnsArgs struct{ IDs []reqid.ID }

// OwnsReply lists indexes of OwnsArgs.IDs that the instance does not work on.
type OwnsReply struct{ Disowned []int }

// LoadArgs asks for a dispatcher's load.
type LoadArgs struct{ Place Place }

// deltaEncode encodes sorted tries as differences, which are short on the wire.
func deltaEncode(tries []uint64) []uint64 {
	out := make([]uint64, len(tries))
	last := uint64(0)
	for i, t := range tries {
		out[i] = t - last
		last = t
	}
	return out
}

// deltaDecode is the reverse of steps.
func deltaDecode(in []uint64) []uint64 {
	out := make([]uint64, len(in))
	last := uint64(0)
	for i, s := range in {
		last += s
		out[i] = last
	}
	return out
}
