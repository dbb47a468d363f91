// Package sched assigns requests to endpoints: a decode slot and memory first, then a
// prefill engine. Its interfaces separate the filter chain from the scheduling
// policies.
package sched

import (
	"context"
	"time"

	"carawayrouter.example/router/internal/config"
	"carawayrouter.example/router/internal/reqid"
)

// Demand describes a request that needs endpoints.
type Demand struct {
	ID         reqid.ID
	Account    string
	Weight     float64 // the account's weight in fair queues, proportional to its rate
	Pool       string
	Model      string
	Class      config.Class
	Prompt     int           // tokens
	MaxOutput  int           // tokens
	Prefix     []uint64      // piece hashes; see endpoint.PrefixHashes
	FirstToken time.Duration // latency target, measured from Arrived
	MaxWait    time.Duration // longest time in the queue
	Arrived    time.Time
	// Exclude lists the names of endpoints that have failed this request.
	Exclude []string
}

// Outcome tells the scheduler how an endpoint handled its part of a request.
type Outcome int

// The outcomes.
const (
	Succeeded   Outcome = iota
	Failed              // error, broken connection or silence
	Full                // refused for lack of a slot or memory
	Unreachable         // no connection could be made
	Abandoned           // caller gone or request given up; independent of the endpoint
	Replaced            // another endpoint answers at the address
)

// Grant is the right to use endpoints for one request. Only the first call of each
// method has an effect. Release frees everything that is still held.
type Grant struct {
	Prefill *config.Endpoint // nil for plain services
	Decode  *config.Endpoint // the service endpoint for plain services

	// PrefillDone is to be called when the prefill result has been transferred or lost.
	PrefillDone func(Outcome)
	// FirstToken is to be called when the first token has arrived.
	FirstToken func()
	// Release is to be called when the request no longer runs or holds anything.
	Release func(Outcome)
}

// Scheduler grants endpoints to requests. Acquire blocks until it can make a grant,
// ctx ends or the demand cannot be met. In the latter two cases it returns an
// *errkind.Error that marks the request as not run.
type Scheduler interface {
	Acquire(ctx context.Context, d Demand) (*Grant, error)
}
