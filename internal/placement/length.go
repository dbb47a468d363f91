package placement

import "math"

const (
	minSampleWeight  = 0.05 // lowest weight of a new output in the moving averages
	initialLogStdDev = 0.5  // standard deviation of the logarithms before the first output
	minLogVariance   = 0.05
	minSamples       = 8 // outputs observed before the averages are used
)

// LengthPredictor learns the distribution of output lengths and of the errors of callers'
// estimates, and predicts the length of the next output. Both are modelled as log-normal,
// because lengths and errors are skewed to the long side. It is not safe for concurrent use.
type LengthPredictor struct {
	samples                int
	logMean, logVariance   float64 // of log(output)
	hintBias, hintVariance float64 // of log(output/estimate)
}

// Observe records the length of a complete output and the caller's estimate, 0 for none.
func (l *LengthPredictor) Observe(output, hint int) {
	if output <= 0 {
		return
	}
	x := math.Log(float64(output))
	if l.samples == 0 {
		l.logMean, l.logVariance, l.hintVariance = x, initialLogStdDev*initialLogStdDev, initialLogStdDev*initialLogStdDev
	}
	w := max(minSampleWeight, 1/float64(l.samples+2))
	l.logMean, l.logVariance = updateMoments(l.logMean, l.logVariance, x, w)
	if hint > 0 {
		l.hintBias, l.hintVariance = updateMoments(l.hintBias, l.hintVariance, x-math.Log(float64(hint)), w)
	}
	l.samples++
}

// updateMoments adds x with weight w to an exponentially weighted mean and variance.
func updateMoments(mean, variance, x, w float64) (float64, float64) {
	d := x - mean
	mean += w * d
	return mean, (1 - w) * (variance + w*d*d)
}

// Predict returns the expected length, at most limit. The caller's estimate and the
// history are weighted by the inverse of their variance.
func (l *LengthPredictor) Predict(hint, limit int) int {
	if l.samples < minSamples {
		if hint <= 0 {
			return limit
		}
		// Too few outputs were observed: predict a value between the estimate and the limit.
		return min(limit, int(math.Sqrt(float64(hint)*float64(limit)*0.6)))
	}
	mean, variance := l.logMean, max(l.logVariance, minLogVariance)
	if hint > 0 {
		hintVariance := max(l.hintVariance, minLogVariance)
		hintMean := math.Log(float64(hint)) + l.hintBias
		mean = (mean*hintVariance + hintMean*variance) / (variance + hintVariance)
		variance = variance * hintVariance / (variance + hintVariance)
	}
	return max(1, min(limit, int(math.Exp(mean+variance/2))))
}
