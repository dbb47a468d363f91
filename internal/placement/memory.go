// Package placement decides where requests of pass-through deployments run, and which of
// them wait or are rejected. It opens no sockets and starts no goroutines; the current
// time is an argument.
package placement

import (
	"time"
)

// Generation is a request that holds KV memory at a decode engine.
type Generation struct {
	Prompt        int       // tokens
	PlannedOutput int       // output tokens to reserve memory for
	Generated     int       // output tokens generated at AsOf
	AsOf          time.Time // when Generated was measured; the expected start if Generated is 0
}

const kvBlockTokens = 16 // engines allocate KV memory in blocks of this many tokens

// expectedEnd returns when the generation is expected to complete.
func (g Generation) expectedEnd(tokenTime time.Duration) time.Time {
	return g.AsOf.Add(time.Duration(max(0, g.PlannedOutput-g.Generated)) * tokenTime)
}

// peakMemory returns the highest memory use of the generations from now on, in tokens.
// A generation's memory only grows until it ends, so it is enough to evaluate the moment
// just before each expected end. A generation past its expected end still holds all its
// memory and counts at every one of these moments.
func peakMemory(now time.Time, generations []Generation, tokenTime time.Duration) int {
	type usage struct{ start, end, prompt, output, generated int64 } // start and end in ns from now
	var buf [typicalGenerations]usage
	usages := buf[:0]
	for i := range generations {
		g := &generations[i]
		at := int64(g.AsOf.Sub(now))
		usages = append(usages, usage{
			start: at, end: at + int64(max(0, g.PlannedOutput-g.Generated))*int64(tokenTime),
			prompt: int64(g.Prompt), output: int64(g.PlannedOutput), generated: int64(g.Generated),
		})
	}
	tokenTimeNs := max(1, int64(tokenTime))
	highest := int64(0)
	for i := range usages {
		t := max(0, usages[i].end)
		sum := int64(0)
		for j := range usages {
			u := &usages[j]
			if u.end < t && u.end >= 0 {
				continue
			}
			produced := u.generated
			if d := t - u.start; d > 0 {
				produced += d / tokenTimeNs
			}
			sum += (u.prompt + min(produced, max(u.output, u.generated)) + kvBlockTokens - 1) / kvBlockTokens * kvBlockTokens
		}
		highest = max(highest, sum)
	}
	return int(highest)
}
