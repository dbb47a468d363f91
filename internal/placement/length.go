package placement

import "math"

const (
	priorWeight   = 0.05 // of one more output in the moving averages
	firstSpread   = 0.5  // of the logarithm, before outputs were seen
	leastSpread   = 0.05
	outputsNeeded = 8 // until the averages are used
)

// LengthPredictor learns how long outputs are, and how far callers' estimates are off, and
// predicts the length of the next output. Both are taken as log-normal: lengths and
// errors are skewed to the long side. It is not safe for concurrent use.
type LengthPredictor struct {
	seen              int
	mean, spread      float64 // of the logarithm of the output
	hintOff, hintWide float64 // of the logarithm of output over estimate
}

// Observe records the length of a whole output and the caller's estimate, 0 for none.
func (l *LengthPredictor) Observe(output, hint int) {
	if output <= 0 {
		return
	}
	x := math.Log(float64(output))
	if l.seen == 0 {
		l.mean, l.spread, l.hintWide = x, firstSpread*firstSpread, firstSpread*firstSpread
	}
	w := max(priorWeight, 1/float64(l.seen+2))
	l.mean, l.spread = blend(l.mean, l.spread, x, w)
	if hint > 0 {
		l.hintOff, l.hintWide = blend(l.hintOff, l.hintWide, x-math.Log(float64(hint)), w)
	}
	l.seen++
}

func blend(mean, variance, x, w float64) (float64, float64) {
	d := x - mean
	mean += w * d
	return mean, (1 - w) * (variance + w*d*d)
}

// Predict returns the expected length, at most limit. Estimate and history are weighted
// by how well each has told the length so far.
func (l *LengthPredictor) Predict(hint, limit int) int {
	if l.seen < outputsNeeded {
		if hint <= 0 {
			return limit
		}
		// Nothing is known of outputs yet: between the estimate and the limit.
		return min(limit, int(math.Sqrt(float64(hint)*float64(limit)*0.6)))
	}
	mean, variance := l.mean, max(l.spread, leastSpread)
	if hint > 0 {
		wide := max(l.hintWide, leastSpread)
		told := math.Log(float64(hint)) + l.hintOff
		mean = (mean*wide + told*variance) / (variance + wide)
		variance = variance * wide / (variance + wide)
	}
	return max(1, min(limit, int(math.Exp(mean+variance/2))))
}
