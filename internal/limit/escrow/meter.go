package escrow

import (
	"math"
	"time"
)

// meterSpan is the time over which a meter averages.
const meterTimeConstant = time.Second

// meter measures demand as an exponentially weighted rate.
type rateMeter struct {
	value   float64
	updated time.Time
}

func (m *rateMeter) add(now time.Time, n int64) {
	m.decay(now)
	m.value = max(0, m.value+float64(n))
}

// rate returns micro-tokens per second.
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
