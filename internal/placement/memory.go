// Package placement decides where requests of pass-through deployments run, which of
// them wait and which are turned away. It is free of sockets and goroutines; the time
// is an argument.
package placement

import (
	"time"
)

// Generation is one request that holds memory at a decode engine.
type Generation struct {
	Prompt        int       // tokens read
	PlannedOutput int       // tokens at the most
	Generated     int       // tokens made by At
	AsOf          time.Time // when Done was true; the expected start where Done is 0
}

const kvBlock = 16 // tokens; engines hand out memory in blocks of this size

// end returns when the run is expected to be complete.
func (r Generation) end(perToken time.Duration) time.Time {
	return r.AsOf.Add(time.Duration(max(0, r.PlannedOutput-r.Generated)) * perToken)
}

// peak returns the most memory that the runs hold at any moment from now on, in tokens.
// Memory only grows until a run ends, so the moments just before each end suffice.
// A run past its expected end still holds all its memory, and counts to the last.
func peak(now time.Time, runs []Generation, perToken time.Duration) int {
	type course struct{ start, end, base, output, done int64 } // times in ns from now
	var few [runsGuess]course
	courses := few[:0]
	for i := range runs {
		r := &runs[i]
		at := int64(r.AsOf.Sub(now))
		courses = append(courses, course{
			start: at, end: at + int64(max(0, r.PlannedOutput-r.Generated))*int64(perToken),
			base: int64(r.Prompt), output: int64(r.PlannedOutput), done: int64(r.Generated),
		})
	}
	step := max(1, int64(perToken))
	most := int64(0)
	for i := range courses {
		t := max(0, courses[i].end)
		sum := int64(0)
		for j := range courses {
			c := &courses[j]
			if c.end < t && c.end >= 0 {
				continue
			}
			made := c.done
			if d := t - c.start; d > 0 {
				made += d / step
			}
			sum += (c.base + min(made, max(c.output, c.done)) + kvBlock - 1) / kvBlock * kvBlock
		}
		most = max(most, sum)
	}
	return int(most)
}
