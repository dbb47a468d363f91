package escrow

import (
	"math"
	"time"
)

// meterSpan is the time over which a meter averages.
const meterSpan = time.Second

// meter measures demand as an exponentially weighted rate.
type meter struct {
	value float64
	at    time.Time
}

func (m *meter) add(now time.Time, n int64) {
	m.decay(now)
	m.value = max(0, m.value+float64(n))
}

// rate returns micro-tokens per second.
func (m *meter) rate(now time.Time) int64 {
	m.decay(now)
	return int64(m.value / meterSpan.Seconds())
}

func (m *meter) decay(now time.Time) {
	if d := now.Sub(m.at); d > 0 {
		m.value *= math.Exp(-float64(d) / float64(meterSpan))
		m.at = now
	}
}
