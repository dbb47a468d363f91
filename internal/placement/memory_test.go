package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

// memoryAt computes the memory of one generation at t, as a reference for peakMemory.
func memoryAt(g Generation, t time.Time, tokenTime time.Duration) int {
	generated := g.Generated
	if d := t.Sub(g.AsOf); d > 0 {
		generated += int(d / tokenTime)
	}
	tokens := g.Prompt + min(generated, max(g.PlannedOutput, g.Generated))
	return (tokens + kvBlockTokens - 1) / kvBlockTokens * kvBlockTokens
}

// The peak is at least the sum of the generations' memory at any sampled moment.
func TestPeakMemoryCoversEveryMoment(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const tokenTime = time.Millisecond
		generations := make([]Generation, rapid.IntRange(1, 20).Draw(t, "generations"))
		for i := range generations {
			output := rapid.IntRange(1, 5000).Draw(t, "output")
			generations[i] = Generation{
				Prompt:        rapid.IntRange(0, 11000).Draw(t, "prompt"),
				PlannedOutput: output,
				Generated:     rapid.IntRange(0, output).Draw(t, "generated"),
				AsOf:          start.Add(time.Duration(rapid.IntRange(-500, 500).Draw(t, "at")) * time.Millisecond),
			}
		}
		highest := peakMemory(start, generations, tokenTime)
		for ms := 0; ms <= 6000; ms += 50 {
			now := start.Add(time.Duration(ms) * time.Millisecond)
			sum := 0
			for _, g := range generations {
				if g.expectedEnd(tokenTime).After(now) {
					sum += memoryAt(g, now, tokenTime)
				}
			}
			if sum > highest {
				t.Fatalf("%d tokens are held after %d ms, the peak is %d", sum, ms, highest)
			}
		}
	})
}

// The memory of a generation that ends is available to one that is still growing. A plan
// that summed the final sizes would refuse the second one.
func TestPeakMemoryReusesFreedMemory(t *testing.T) {
	ending := Generation{Prompt: 5000, PlannedOutput: 5000, Generated: 4900, AsOf: start}
	starting := Generation{Prompt: 1000, PlannedOutput: 5000, AsOf: start}
	got := peakMemory(start, []Generation{ending, starting}, time.Millisecond)
	assert.Assert(t, got < 5000+5000+1000+5000, "peak %d", got)
	assert.Assert(t, got >= 5000+5000+1000+100, "peak %d", got)
}

// A generation past its expected end holds its memory until it is released.
func TestPeakMemoryCountsOverdueGenerations(t *testing.T) {
	overdue := Generation{Prompt: 100, PlannedOutput: 100, Generated: 10, AsOf: start.Add(-time.Hour)}
	assert.Equal(t, peakMemory(start, []Generation{overdue}, time.Millisecond), 208)
}

// Predictions follow callers' estimates that were accurate so far and disregard those that
// were not.
func TestLengthPredictorWeighsEstimates(t *testing.T) {
	var exact, useless LengthPredictor
	for i := range 200 {
		output := 1000 + 40*(i*37%100)
		exact.Observe(output, output)
		useless.Observe(output, 500+(i*7919)%9000)
	}
	low, high := exact.Predict(1000, 9000), exact.Predict(5000, 9000)
	assert.Assert(t, low < 1500 && high > 4000, "%d, %d", low, high)
	low, high = useless.Predict(1000, 9000), useless.Predict(5000, 9000)
	assert.Assert(t, high < 2*low, "useless estimates: %d, %d", low, high)
	assert.Equal(t, exact.Predict(100000, 9000), 9000)
	var none LengthPredictor
	assert.Equal(t, none.Predict(0, 9000), 9000)
}
