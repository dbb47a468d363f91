// Package scarcity decides who goes, who waits, who is refused and who gives way while a pool of engines has less room than
// its requests need. It opens no sockets and starts no goroutines; the current time is an argument, or times are from now on.
package scarcity

import (
	"math"
	"time"
)

// Never is the predicted wait of a request for which there is no room at all.
const Never = time.Duration(math.MaxInt64)

// Holding is memory of an engine that is not free yet.
type Holding struct {
	Until  time.Duration // from now
	Tokens float64
	Slots  int
}

// Need is what a waiter takes once it starts.
type Need struct {
	Tokens float64 // of engine memory, on average over its time
	Time   time.Duration
	Prompt int // tokens that are yet to be read
}

// Outlook predicts when waiters start. It answers bursts that last for seconds: what runs now and when it ends decides
// who is served, and who waits in vain. Fill it, and then call Start for each waiter in order.
type Outlook struct {
	FreeTokens float64 // in whole places
	FreeSlots  int
	// PrefillTime is how long the prefill engines together need for a prompt token, Backlog what they have to do before.
	PrefillTime  time.Duration
	Backlog      time.Duration
	PrefillSlack time.Duration // how long a prompt may wait at a prefill engine

	ends    []Holding // a heap, the first end on top
	ordered bool
	tokens  float64 // free and held
	waited  time.Duration
	prompts time.Duration // to read the prompts of the waiters before
}

// Reset empties the outlook and keeps its memory.
func (o *Outlook) Reset() { *o = Outlook{ends: o.ends[:0]} }

// Hold adds memory that is held.
func (o *Outlook) Hold(h Holding) { o.ends, o.ordered = append(o.ends, h), false }

// Start returns how long the next waiter waits, and gives it the room. A waiter for which there is none leaves the room to the others.
func (o *Outlook) Start(n Need) time.Duration {
	if !o.ordered {
		for i := len(o.ends)/2 - 1; i >= 0; i-- {
			o.sink(i)
		}
		o.ordered = true
		o.tokens = o.FreeTokens
		for _, h := range o.ends {
			o.tokens += h.Tokens
		}
	}
	if n.Tokens > o.tokens {
		return Never // before the ends are looked at: those after it wait for the first that suffice
	}
	for o.FreeTokens < n.Tokens || o.FreeSlots < 1 {
		if len(o.ends) == 0 {
			return Never
		}
		h := o.pop()
		o.waited = max(o.waited, h.Until)
		o.FreeTokens += h.Tokens
		o.FreeSlots += h.Slots
	}
	prompt := time.Duration(n.Prompt) * o.PrefillTime
	wait := max(o.waited, o.Backlog+o.prompts-o.PrefillSlack)
	o.prompts += prompt
	o.FreeTokens -= n.Tokens
	o.FreeSlots--
	o.push(Holding{Until: wait + prompt + n.Time, Tokens: n.Tokens, Slots: 1})
	return wait
}

func (o *Outlook) push(h Holding) {
	o.ends = append(o.ends, h)
	for i := len(o.ends) - 1; i > 0; {
		up := (i - 1) / 2
		if o.ends[up].Until <= o.ends[i].Until {
			return
		}
		o.ends[up], o.ends[i] = o.ends[i], o.ends[up]
		i = up
	}
}

func (o *Outlook) pop() Holding {
	h, last := o.ends[0], len(o.ends)-1
	o.ends[0] = o.ends[last]
	o.ends = o.ends[:last]
	o.sink(0)
	return h
}

func (o *Outlook) sink(i int) {
	for {
		first := 2*i + 1
		if first >= len(o.ends) {
			return
		}
		if first+1 < len(o.ends) && o.ends[first+1].Until < o.ends[first].Until {
			first++
		}
		if o.ends[i].Until <= o.ends[first].Until {
			return
		}
		o.ends[i], o.ends[first] = o.ends[first], o.ends[i]
		i = first
	}
}

const (
	// outlookError is the part by which a predicted wait may be too long: outputs are planned from estimates.
	outlookError = 0.2
	// maxTaken bounds the part of the room that requests yet to come are expected to take before a waiter.
	maxTaken = 0.9
	// predictions is how many predictions, one after the other, refuse a request that waits.
	predictions = 2
)

// Stretch returns a predicted wait when requests yet to come take a part of the room first.
func Stretch(wait time.Duration, taken float64) time.Duration {
	if wait == Never {
		return Never
	}
	return time.Duration(float64(wait) / (1 - min(max(taken, 0), maxTaken)))
}

// InVain reports whether a request that is predicted to wait that long starts too late, though the prediction may be wrong.
func InVain(wait, patience time.Duration) bool {
	return wait == Never || float64(wait)*(1-outlookError) > float64(patience)
}

// Doubt counts the predictions, one after the other, that a waiter waits in vain.
type Doubt int

// Refuse records a prediction and reports whether the waiter is refused.
func (d *Doubt) Refuse(wait, patience time.Duration) bool {
	if !InVain(wait, patience) {
		*d = 0
		return false
	}
	*d++
	return *d >= predictions
}
