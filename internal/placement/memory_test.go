package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

// held is the plain reading of what a run holds at t, for comparison with peak.
func held(r Generation, t time.Time, perToken time.Duration) int {
	made := r.Generated
	if d := t.Sub(r.AsOf); d > 0 {
		made += int(d / perToken)
	}
	tokens := r.Prompt + min(made, max(r.PlannedOutput, r.Generated))
	return (tokens + kvBlock - 1) / kvBlock * kvBlock
}

// The peak is at least what the runs hold at any sampled moment before they end.
func TestPeakCoversEveryMoment(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const perToken = time.Millisecond
		runs := make([]Generation, rapid.IntRange(1, 20).Draw(t, "runs"))
		for i := range runs {
			out := rapid.IntRange(1, 5000).Draw(t, "output")
			runs[i] = Generation{
				Prompt:        rapid.IntRange(0, 11000).Draw(t, "prompt"),
				PlannedOutput: out,
				Generated:     rapid.IntRange(0, out).Draw(t, "done"),
				AsOf:          start.Add(time.Duration(rapid.IntRange(-500, 500).Draw(t, "at")) * time.Millisecond),
			}
		}
		most := peak(start, runs, perToken)
		for ms := 0; ms <= 6000; ms += 50 {
			now := start.Add(time.Duration(ms) * time.Millisecond)
			sum := 0
			for _, r := range runs {
				if r.end(perToken).After(now) {
					sum += held(r, now, perToken)
				}
			}
			if sum > most {
				t.Fatalf("%d tokens are held after %d ms, the peak is %d", sum, ms, most)
			}
		}
	})
}

// A run that ends before the newcomer has grown leaves its memory: planning with the sum
// of all ends would refuse the newcomer.
func TestPeakLetsMemoryBeUsedAgain(t *testing.T) {
	old := Generation{Prompt: 5000, PlannedOutput: 5000, Generated: 4900, AsOf: start}
	fresh := Generation{Prompt: 1000, PlannedOutput: 5000, AsOf: start}
	got := peak(start, []Generation{old, fresh}, time.Millisecond)
	assert.Assert(t, got < 5000+5000+1000+5000, "peak %d", got)
	assert.Assert(t, got >= 5000+5000+1000+100, "peak %d", got)
}

// A run past its expected end holds its memory until it is released.
func TestPeakCountsOverdueRuns(t *testing.T) {
	overdue := Generation{Prompt: 100, PlannedOutput: 100, Generated: 10, AsOf: start.Add(-time.Hour)}
	assert.Equal(t, peak(start, []Generation{overdue}, time.Millisecond), 208)
}

// Lengths weigh estimates by how well they told the outputs so far.
func TestLengthsLearnHowFarEstimatesAreOff(t *testing.T) {
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
