package host

import (
	"context"
	"sync"
	"time"

	"carawayrouter.example/router/internal/clock"
)

// Kind names a way in which a stand-in fails.
type Kind string

// The kinds of faults.
const (
	Stall         Kind = "stall"          // prefills and decode steps stop
	Silent        Kind = "silent"         // open connections go silent for good
	Drop          Kind = "drop"           // open connections break
	DropAfter     Kind = "drop_after"     // each call breaks its connection after its effect
	Late          Kind = "late"           // answers are delayed by Delay
	Crossed       Kind = "crossed"        // two token streams are swapped
	Die           Kind = "die"            // the process is gone with all its state
	StallTransfer Kind = "stall_transfer" // transfers stop
	Slow          Kind = "slow"           // work takes Factor times as long
	Clear         Kind = "clear"          // ends all faults
)

// Defaults of a Fault's fields.
const (
	DefaultLateDelay  = 500 * time.Millisecond
	DefaultSlowFactor = 5.0
	// forever is the life of a fault without one of its own; Clear ends it.
	unlimited = 1000 * time.Hour
	// gatePoll is how often work that a fault holds up looks whether it ended.
	pollInterval = 5 * time.Millisecond
)

// Fault is one failure to produce. Without For, it lasts until Clear.
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

// Faults holds the faults that last for a time.
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

// Active returns the fault of a kind that holds now.
func (f *Faults) Active(k Kind) (Fault, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	until, ok := f.until[k]
	return f.last[k], ok && f.clk.Now().Before(until)
}

// WaitWhileActive blocks while a fault of the kind holds.
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

// ScaleDuration returns the time that work of length d takes now.
func (f *Faults) ScaleDuration(d time.Duration) time.Duration {
	if x, on := f.Active(Slow); on {
		return time.Duration(float64(d) * x.Factor)
	}
	return d
}

// DelayAnswer holds an answer up while the stand-in answers late.
func (f *Faults) DelayAnswer(ctx context.Context) error {
	x, on := f.Active(Late)
	if !on {
		return ctx.Err()
	}
	return Sleep(ctx, f.clk, x.Delay)
}

// Sleep waits for d or for the end of ctx.
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
