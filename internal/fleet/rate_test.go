package fleet

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"carawayrouter.example/router/internal/caller"
	"carawayrouter.example/router/internal/endpoint"
	"carawayrouter.example/router/internal/errkind"
	"carawayrouter.example/router/internal/standin/engine"
)

// tokenUse is the number of tokens used by a request that reached an engine.
type tokenUse struct {
	at     time.Time
	tokens int
}

// tokenUses returns the token use of the requests that reached an engine, ordered by the
// first call of each request at an engine.
func (f *Fleet) tokenUses(tokens map[string]int) []tokenUse {
	first := map[string]time.Time{}
	for _, e := range f.Engines {
		for _, s := range e.Server.Ledger().Calls {
			id := s.ID.String()
			if at, ok := first[id]; s.Stage != "cancel" && (!ok || s.At.Before(at)) {
				first[id] = s.At
			}
		}
	}
	var list []tokenUse
	for id, at := range first {
		if n, ok := tokens[id]; ok {
			list = append(list, tokenUse{at, n})
		}
	}
	slices.SortFunc(list, func(a, b tokenUse) int { return a.at.Compare(b.at) })
	return list
}

// flood sends completions of an account through all instances concurrently, one per
// instance and interval, for the duration d. It returns the tokens that each request
// uses if it reaches an engine, and the number of requests refused as above the rate.
func (f *Fleet) flood(t *testing.T, account int, interval, d time.Duration) (tokens map[string]int, refused int) {
	t.Helper()
	const maxTokens = 20
	var mu sync.Mutex
	var wg sync.WaitGroup
	tokens = map[string]int{}
	stop := time.After(d)
	tick := time.NewTicker(interval)
	defer tick.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	clients := make([]*caller.Client, len(f.Entries))
	for i := range clients {
		clients[i] = f.client(i, account)
	}
	for n, sending := 0, true; sending; n++ {
		for i, c := range clients {
			wg.Go(func() {
				prompt := fmt.Sprintf("request %d of the flood through %d", n, i)
				r, err := c.Complete(ctx, f.completion(prompt, maxTokens))
				mu.Lock()
				defer mu.Unlock()
				tokens[r.RequestID] = endpoint.EstimateTokens(prompt) + engine.ExpectedLength(f.Deployment.Model.Model, prompt, maxTokens)
				var e *caller.RefusedError
				if errors.As(err, &e) && e.Kind == errkind.OverRate {
					refused++
				}
			})
		}
		select {
		case <-tick.C:
		case <-stop:
			sending = false
		}
	}
	wg.Wait()
	return tokens, refused
}

func TestFloodStaysWithinRateAndBurst(t *testing.T) {
	for _, cut := range []string{"", "west"} {
		t.Run("isolated="+cut, func(t *testing.T) {
			t.Parallel()
			const rate, burst = 200.0, 400.0
			d := threeInstances()
			d.Accounts[0].Rate, d.Accounts[0].Burst = rate, burst
			d.Model.MaxWait = 500 * time.Millisecond
			f := startFleet(t, d)
			f.waitReady(t)
			floodStart := time.Now()
			if cut != "" {
				go func() {
					time.Sleep(time.Second)
					f.Isolate(cut, true)
				}()
			}
			// Each request needs about 30 tokens, so three instances at one request per 45 ms
			// offer ten times the rate.
			tokens, refused := f.flood(t, 0, 45*time.Millisecond, 6*time.Second)
			assert.Assert(t, refused > 0, "nothing was refused")
			waitIdle(t, f)
			used := 0
			list := f.tokenUses(tokens)
			for _, s := range list {
				used += s.tokens
				allowed := burst + rate*s.at.Sub(floodStart).Seconds()
				assert.Assert(t, float64(used) <= allowed, "%d tokens used after %v; allowed: %.0f", used, s.at.Sub(floodStart), allowed)
			}
			t.Logf("%d of %d requests reached an engine and used %d tokens; allowed: %.0f", len(list), len(tokens), used, burst+rate*list[len(list)-1].at.Sub(floodStart).Seconds())
			assert.Assert(t, float64(used) > burst/2, "only %d tokens were used", used)
		})
	}
}
