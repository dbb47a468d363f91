// Package placement decides where requests of pass-through deployments run, which of
// them wait and which are turned away. It is free of sockets and goroutines; the time
// is an argument.
package placement

import (
	"time"
)

// Run is one request that holds memory at a decode engine.
type Run struct {
	Prompt int       // tokens read
	Output int       // tokens at the most
	Done   int       // tokens made by At
	At     time.Time // when Done was true; the expected start where Done is 0
}

const kvBlock = 16 // tokens; engines hand out memory in blocks of this size

// tokensAt returns the memory that the run holds at t, in tokens.
func (r Run) tokensAt(t time.Time, perToken time.Duration) int {
	made := r.Done
	if d := t.Sub(r.At); d > 0 && perToken > 0 {
		made += int(d / perToken)
	}
	tokens := r.Prompt + min(made, r.Output)
	return (tokens + kvBlock - 1) / kvBlock * kvBlock
}

// end returns when the run is expected to be complete.
func (r Run) end(perToken time.Duration) time.Time {
	return r.At.Add(time.Duration(max(0, r.Output-r.Done)) * perToken)
}

// peak returns the most memory that the runs hold at any moment from now on, in tokens.
// Memory only grows until a run ends, so the moments just before each end suffice.
// A run past its expected end still holds all its memory, and counts to the last.
func peak(now time.Time, runs []Run, perToken time.Duration) int {
	most := 0
	for i := range runs {
		t := runs[i].end(perToken)
		if t.Before(now) {
			t = now
		}
		sum := 0
		for j := range runs {
			if e := runs[j].end(perToken); !e.Before(t) || e.Before(now) {
				sum += runs[j].tokensAt(t, perToken)
			}
		}
		most = max(most, sum)
	}
	return most
}
