package workload

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"carawayrouter.example/router/internal/fleet"
)

func TestSameSeedGivesTheSameRequests(t *testing.T) {
	o := Options{Seed: 3, Mix: DefaultMix(), Accounts: []Account{{Name: "a", Rate: 50}, {Name: "b", Rate: 20}}, Duration: 10 * time.Second}
	first := Generate(o)
	assert.DeepEqual(t, first, Generate(o))
	o.Seed = 4
	assert.Assert(t, first[0].At != Generate(o)[0].At)
	assert.Assert(t, len(first) > 600 && len(first) < 800, "%d requests", len(first))
	for i := range first {
		assert.Equal(t, first[i].Seq, i)
		assert.Assert(t, i == 0 || first[i].At >= first[i-1].At)
	}
}

func TestBurstMultipliesOneAccountsRate(t *testing.T) {
	o := Options{Seed: 3, Mix: DefaultMix(), Duration: 30 * time.Second, Accounts: []Account{
		{Name: "calm", Rate: 30},
		{Name: "flood", Rate: 30, Bursts: []Burst{{From: 10 * time.Second, To: 20 * time.Second, Factor: 5}}},
	}}
	count := map[string]map[bool]int{"calm": {}, "flood": {}}
	for _, q := range Generate(o) {
		count[q.Account][q.At >= 10*time.Second && q.At < 20*time.Second]++
	}
	assert.Assert(t, count["calm"][true] < 400 && count["flood"][true] > 1200, "%v", count)
	assert.Assert(t, count["flood"][false] < 800, "%v", count)
}

func TestRatesAddUpToTheCapacity(t *testing.T) {
	for _, d := range fleet.Deployments {
		c := CapacityOf(d, DefaultMix(), 1)
		t.Logf("%s: %+v", d.Name, c)
		assert.Assert(t, c.Requests > 1 && c.Requests < 1000)
		SetRates(&d, c)
		var sum float64
		for _, a := range d.Accounts {
			sum += a.Rate
			assert.Assert(t, a.Burst >= 4*c.LargestRequest && a.Burst >= 10*a.Rate)
		}
		assert.Assert(t, sum > 0.99*c.Tokens && sum < 1.01*c.Tokens, "%g of %g", sum, c.Tokens)
	}
}
