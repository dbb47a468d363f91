package pool

import (
	"time"

	"carawayrouter.example/router/internal/fairqueue"
)

// Order is the order in which waiting demands are served.
type Order int

// The orders.
const (
	Fair Order = iota // weighted fair over accounts, see fairqueue
	FIFO              // by arrival, for comparison
)

// Tuning holds the constants of the decisions.
type Tuning struct {
	Queue fairqueue.Config
	Order Order

	DefaultMaxWait     time.Duration // for demands that give none
	MaxPrefillBacklog  time.Duration // predicted queue of a prefill engine above which nothing is added
	PrefillPerToken    time.Duration // assumed before an engine or pool was measured
	TransferPerToken   time.Duration // transfer part of a prefill's time
	PrefixCacheSize    int           // prefix pieces remembered for each prefill engine
	RefusalMargin      float64       // predicted wait is refused above margin times the time left
	DefaultDecodeSlots int           // for endpoints configured without slots
	DefaultPlainSlots  int           // for plain services configured without slots

	EjectAfter        int           // consecutive failures
	EjectTime         time.Duration // first ejection; doubles with each further one
	MaxEjectTime      time.Duration
	MaxEjected        float64 // fraction of the endpoints of one role
	SlowFactor        float64 // multiple of the pool's median latency that counts as slow
	SlowFloor         time.Duration
	SlowSamples       int           // samples needed to judge an endpoint
	FullPause         time.Duration // first pause after an endpoint said that it was full; doubles
	MaxFullPause      time.Duration
	UnreachableAfter  int           // failed polls in a row
	UntrackedLifetime time.Duration // life of what a poll found and no grant explains
}

// DefaultTuning returns the constants used where nothing else is set.
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
