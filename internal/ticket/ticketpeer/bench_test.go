package ticketpeer

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"carawayrouter.example/router/internal/platform/memplatform"
	"carawayrouter.example/router/internal/ticket"
)

// BenchmarkInForce measures the time from the acceptance of a ticket until every
// instance has applied it, with the default intervals, and the resulting load on the
// table and the peers. Data centres have up to 24 instances.
//
//	go test ./internal/ticket/ticketpeer -run '^$' -bench InForce -benchtime 10x
func BenchmarkInForce(b *testing.B) {
	for _, instances := range []int{9, 45, 96, 192, 380} {
		b.Run(fmt.Sprintf("instances=%d", instances), func(b *testing.B) { benchInForce(b, instances) })
	}
}

func benchInForce(b *testing.B, instances int) {
	const perDC = 24
	centres := map[string][]string{}
	for i := range instances {
		dc := fmt.Sprintf("dc%02d", i%((instances+perDC-1)/perDC))
		centres[dc] = append(centres[dc], fmt.Sprintf("%s-%03d", dc, i))
	}
	f := newTestNetwork(centres)
	store := memplatform.New(memplatform.Options{})
	all := f.startAll(b, store, ticket.DefaultFastInterval, ticket.DefaultSlowInterval)
	for _, i := range all {
		<-i.Ready()
	}
	var times []time.Duration
	before, calls, begin := store.Counts(), f.callCount("Tickets.Announce"), time.Now()
	b.ResetTimer()
	for n := 1; b.Loop(); n++ {
		submit(b, store, "dc00", float64(n))
		times = append(times, waitInForce(b, all, uint64(n))...)
	}
	b.StopTimer()
	slices.Sort(times)
	elapsed := time.Since(begin).Seconds()
	b.ReportMetric(times[len(times)/2].Seconds()*1000, "p50-ms")
	b.ReportMetric(times[len(times)-1].Seconds()*1000, "max-ms")
	b.ReportMetric(float64(store.Counts().Reads-before.Reads)/elapsed, "reads/s")
	b.ReportMetric(float64(f.callCount("Tickets.Announce")-calls)/float64(b.N), "announce/ticket")
}

// waitInForce returns the times after which the instances had applied the ticket.
func waitInForce(b *testing.B, all map[string]*instance, n uint64) []time.Duration {
	start := time.Now()
	var (
		mu    sync.Mutex
		times []time.Duration
		wg    sync.WaitGroup
	)
	for _, i := range all {
		changed, cancel := i.Subscribe()
		wg.Go(func() {
			defer cancel()
			for i.Applied() < n {
				select {
				case <-changed:
				case <-time.After(testTimeout):
					b.Errorf("applied %d of %d", i.Applied(), n)
					return
				}
			}
			mu.Lock()
			defer mu.Unlock()
			times = append(times, time.Since(start))
		})
	}
	wg.Wait()
	assert.Equal(b, len(times), len(all))
	return times
}
