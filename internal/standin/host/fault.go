package host

import (
	"context"
	"sync"
	"time"

	"carawayrouter.example/router/internal/clock"
)

// Kind is a kind of fault.
type Kind string

// Kinds of faults.
const (
	Stall         Kind = "stall"          // prefills, decode steps and service calls block
	Silent        Kind = "silent"         // open connections stay open but transfer no more data
	Drop          Kind = "drop"           // open connections are closed
	DropAfter     Kind = "drop_after"     // each service call closes its connection instead of responding
	Late          Kind = "late"           // responses are delayed by Delay
	Crossed       Kind = "crossed"        // pairs of token streams are swapped
	Die           Kind = "die"            // the server stops and loses its state
	StallTransfer Kind = "stall_transfer" // KV transfers block
	Slow          Kind = "slow"           // operations take Factor times as long
	Clear         Kind = "clear"          // ends all active faults
)

// Defaults of a Fault's fields.
const (
	DefaultLateDelay  = 500 * time.Millisecond
	DefaultSlowFactor = 5.0
	// unlimited is the duration of a fault without For; Clear ends it.
	unlimited = 1000 * time.Hour
	// pollInterval is how often blocked work checks whether the fault has ended.
	pollInterval = 5 * time.Millisecond
)

// Fault is a fault to inject. Without For, it lasts until Clear.
type Fault struct {
	Kind   Kind          `json:"kind"`
	For    time.Duration `json:"-"`
	Delay  time.Duration `json:"-"`
	Factor float64       `json:"factor"`
}

// faultBody is the JSON form of a Fault.
type faultBody struct {
	Fault
	ForMS   int `json:"for_ms"`
	DelayMS int `json:"delay_ms"`
}

func (b faultBody) toFault() Fault {
	f := b.Fault
	f.For = time.Duration(b.ForMS) * time.Millisecond
	f.Delay = time.Duration(b.DelayMS) * time.Millisecond
	return f
}

// Faults holds the active faults of the kinds that have a duration.
type Faults struct {
	clk clock.Clock

	mu    sync.Mutex
	until map[Kind]time.Time
	last  map[Kind]Fault
}

func newFaults(clk clock.Clock) *Faults {
	return &Faults{clk: clk, until: map[Kind]time.Time{}, last: map[Kind]Fault{}}
}

func (f *Faults) add(x Fault) {
	if x.For <= 0 {
		x.For = unlimited
	}
	if x.Delay <= 0 {
		x.Delay = DefaultLateDelay
	}
	if x.Factor <= 0 {
		x.Factor = DefaultSlowFactor
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.until[x.Kind] = f.clk.Now().Add(x.For)
	f.last[x.Kind] = x
}

func (f *Faults) clear() {
	f.mu.Lock()
	defer f.mu.Unlock()
	clear(f.until)
}

// Active returns the latest fault of a kind and whether it is active now.
func (f *Faults) Active(k Kind) (Fault, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	until, ok := f.until[k]
	return f.last[k], ok && f.clk.Now().Before(until)
}

// WaitWhileActive blocks while a fault of the kind is active.
func (f *Faults) WaitWhileActive(ctx context.Context, k Kind) error {
	for {
		if _, on := f.Active(k); !on {
			return ctx.Err()
		}
		if err := Sleep(ctx, f.clk, pollInterval); err != nil {
			return err
		}
	}
}

// ScaleDuration multiplies d by the factor of an active Slow fault.
func (f *Faults) ScaleDuration(d time.Duration) time.Duration {
	if x, on := f.Active(Slow); on {
		return time.Duration(float64(d) * x.Factor)
	}
	return d
}

// DelayAnswer waits for the delay of an active Late fault.
func (f *Faults) DelayAnswer(ctx context.Context) error {
	x, on := f.Active(Late)
	if !on {
		return ctx.Err()
	}
	return Sleep(ctx, f.clk, x.Delay)
}

// Sleep waits for d, or returns the error of ctx if ctx ends first.
func Sleep(ctx context.Context, clk clock.Clock, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	select {
	case <-clk.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
