// Package sched assigns requests to endpoints: decode slot and memory first, then
// prefill. The interfaces here separate the filter chain from the policies.
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
	Weight     float64 // the account's share in fair queues, in proportion to its rate
	Pool       string
	Model      string
	Class      config.Class
	Prompt     int           // tokens
	MaxOutput  int           // tokens
	Prefix     []uint64      // piece hashes, see endpoint.PrefixHashes
	FirstToken time.Duration // latency target, measured from Arrived
	MaxWait    time.Duration // longest time in queue
	Arrived    time.Time
	// Exclude names endpoints that failed this request before.
	Exclude []string
}

// Outcome tells the scheduler how an endpoint dealt with its part of a request.
type Outcome int

// The outcomes.
const (
	Succeeded   Outcome = iota
	Failed              // error, broken connection or silence
	Full                // refused for want of a slot or memory
	Unreachable         // no connection could be made
	Abandoned           // caller gone or request given up; says nothing of the endpoint
	Replaced            // another endpoint answers at its address
)

// Grant is the right to use endpoints for one request. Each method may be called
// at most once with effect; Release gives back all that is still held.
type Grant struct {
	Prefill *config.Endpoint // nil for plain services
	Decode  *config.Endpoint // target endpoint for plain services

	// PrefillDone is called when the prefill result has been transferred or lost.
	PrefillDone func(Outcome)
	// FirstToken is called when the first token arrived.
	FirstToken func()
	// Release is called when nothing is left to run or hold for the request.
	Release func(Outcome)
}

// Scheduler hands out grants. Acquire blocks until a grant is free, ctx ends or
// the demand cannot be met, and then returns an *errkind.Error for a request
// that did not run.
type Scheduler interface {
	Acquire(ctx context.Context, d Demand) (*Grant, error)
}
