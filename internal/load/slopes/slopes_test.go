package slopes

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestFitFindsTheLine(t *testing.T) {
	l := fit([]float64{1, 2, 4, 8}, []float64{5, 7, 11, 19})
	assert.Assert(t, math.Abs(l.Slope-2) < 1e-9 && math.Abs(l.Intercept-3) < 1e-9 && math.Abs(l.R2-1) < 1e-9, "%+v", l)
	l = fit([]float64{1, 2, 3, 4}, []float64{1, 0, 0, 1})
	assert.Assert(t, l.R2 < 0.01, "%+v", l)
}

func TestPointExcludesStandIns(t *testing.T) {
	at := func(s int) time.Time { return time.Unix(int64(s), 0) }
	full := measuredInterval{from: counters{at: at(0)}, to: counters{at: at(10), cpu: 6 * time.Second, heap: 500, bytesOut: 4000, writes: 40}}
	baseline := measuredInterval{from: counters{at: at(20), cpu: 6 * time.Second}, to: counters{at: at(25), cpu: 7 * time.Second, heap: 100}}
	p := newPoint(2, 4, full, baseline)
	assert.Assert(t, math.Abs(p.CPU-0.1) < 1e-9, "%+v", p)
	assert.Equal(t, p.Heap, 100.0)
	assert.Equal(t, p.BytesOut, 100.0)
	assert.Equal(t, p.Messages, 1.0)
}

func TestSeriesSizesMatchDeployments(t *testing.T) {
	for _, q := range Quantities {
		assert.Assert(t, len(sizes[q]) >= 4)
		for _, size := range sizes[q] {
			d, err := deployment(q, size, 8)
			assert.NilError(t, err)
			endpoints := 0
			for _, dc := range d.DataCentres {
				endpoints += dc.Prefills + dc.Decodes + dc.Services
			}
			if q == Endpoints {
				assert.Equal(t, float64(endpoints), size)
			}
			if q == Instances {
				assert.Equal(t, float64(d.Entries()), size)
			}
		}
	}
}
