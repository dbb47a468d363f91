package tablestore

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"carawayrouter.example/router/internal/platform/memplatform"
)

// BenchmarkGroupCommit runs 500 operations per second, each with a claim and a record, on
// several instances with a table latency of 5 ms per call. It reports the table writes
// and the duration of claims.
func BenchmarkGroupCommit(b *testing.B) {
	const perSecond = 500
	for _, instances := range []int{1, 9} {
		for _, rate := range []float64{10_000, 25} {
			b.Run(fmt.Sprintf("instances=%d/writes_per_second=%v", instances, rate), func(b *testing.B) {
				mem := memplatform.New(memplatform.Options{Seed: 1})
				mem.Slow(5 * time.Millisecond)
				var stores []*Store
				for range instances {
					set := DefaultSettings()
					set.WritesPerSecond = rate
					s, _ := startStore(b, Options{Settings: set, Table: mem.For(testDataCentre).Table})
					stores = append(stores, s)
				}
				tick := time.NewTicker(time.Second / perSecond)
				defer tick.Stop()
				var wg sync.WaitGroup
				var mu sync.Mutex
				var claims time.Duration
				b.ResetTimer()
				for i := range b.N {
					<-tick.C
					wg.Go(func() {
						start := time.Now()
						c, _, err := stores[i%instances].Claim(context.Background(), "paper", fmt.Sprint(i), "d", "e.1.1")
						assert.Check(b, err)
						mu.Lock()
						claims += time.Since(start)
						mu.Unlock()
						if err == nil {
							assert.Check(b, c.Finish(context.Background(), answer))
						}
					})
				}
				wg.Wait()
				b.StopTimer()
				b.ReportMetric(float64(mem.Counts().Writes)/b.Elapsed().Seconds(), "writes/s")
				b.ReportMetric(float64(claims.Milliseconds())/float64(b.N), "ms/claim")
				b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "ops/s")
			})
		}
	}
}
