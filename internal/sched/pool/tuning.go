package pool

import (
	"time"

	"carawayrouter.example/router/internal/fairqueue"
)

// Order is the order in which queued demands are served.
type Order int

// The orders.
const (
	Fair Order = iota // weighted fair queuing over accounts; see fairqueue
	FIFO              // by arrival; a baseline for comparison
)

// Tuning holds the parameters of a Core.
type Tuning struct {
	Queue fairqueue.Config
	Order Order

	DefaultMaxWait     time.Duration // for demands without MaxWait
	MaxPrefillBacklog  time.Duration // predicted queue of a prefill engine at which no more prefills are added
	PrefillPerToken    time.Duration // assumed until a rate has been measured
	TransferPerToken   time.Duration // assumed time to transfer the prefill result
	PrefixCacheSize    int           // prefix pieces tracked for each prefill engine
	RefusalMargin      float64       // a demand is refused if its predicted wait exceeds this multiple of the time left
	DefaultDecodeSlots int           // for endpoints configured without slots
	DefaultPlainSlots  int           // for plain services configured without slots

	EjectAfter        int           // consecutive failures
	EjectTime         time.Duration // first ejection; doubles with each further one
	MaxEjectTime      time.Duration
	MaxEjected        float64 // largest fraction of the endpoints of one role
	SlowFactor        float64 // an endpoint is slow above this multiple of the median latency plus SlowFloor
	SlowFloor         time.Duration
	SlowSamples       int           // samples needed to compare an endpoint with the median
	FullPause         time.Duration // first pause after an endpoint refused as full; doubles with each further refusal
	MaxFullPause      time.Duration
	UnreachableAfter  int           // consecutive failed polls
	UntrackedLifetime time.Duration // how long untracked requests count after a poll
}

// DefaultTuning returns the default parameters.
func DefaultTuning() Tuning {
	return Tuning{
		Queue:              fairqueue.Default(),
		DefaultMaxWait:     10 * time.Second,
		MaxPrefillBacklog:  300 * time.Millisecond,
		PrefillPerToken:    100 * time.Microsecond,
		TransferPerToken:   2 * time.Microsecond,
		PrefixCacheSize:    4096,
		RefusalMargin:      1.25,
		DefaultDecodeSlots: 20,
		DefaultPlainSlots:  64,
		EjectAfter:         3,
		EjectTime:          2 * time.Second,
		MaxEjectTime:       time.Minute,
		MaxEjected:         0.5,
		SlowFactor:         4,
		SlowFloor:          100 * time.Millisecond,
		SlowSamples:        8,
		FullPause:          50 * time.Millisecond,
		MaxFullPause:       2 * time.Second,
		UnreachableAfter:   3,
		UntrackedLifetime:  5 * time.Second,
	}
}
