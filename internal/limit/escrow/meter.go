package escrow

import (
	"math"
	"time"
)

// meterTimeConstant is the time constant of the exponential decay.
const meterTimeConstant = time.Second

// rateMeter measures demand as an exponentially weighted moving rate.
type rateMeter struct {
	value   float64
	updated time.Time
}

func (m *rateMeter) add(now time.Time, n int64) {
	m.decay(now)
	m.value = max(0, m.value+float64(n))
}

// rate returns the measured rate in micro-tokens per second.
func (m *rateMeter) rate(now time.Time) int64 {
	m.decay(now)
	return int64(m.value / meterTimeConstant.Seconds())
}

func (m *rateMeter) decay(now time.Time) {
	if d := now.Sub(m.updated); d > 0 {
		m.value *= math.Exp(-float64(d) / float64(meterTimeConstant))
		m.updated = now
	}
}
