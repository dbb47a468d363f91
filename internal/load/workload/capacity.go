package workload

import (
	"math"
	"time"

	"carawayrouter.example/router/internal/endpoint"
	"carawayrouter.example/router/internal/fleet"
)

// sampleSize is the number of requests used to estimate a mix's mean costs.
const sampleSize = 4_000

// kvBytesPerToken is the KV cache size per token in the stand-in engines, in bytes.
const kvBytesPerToken = 160_000

// Capacity is the capacity of a deployment for a mix, according to its cost model.
type Capacity struct {
	Requests         float64 // per second, all kinds
	Tokens           float64 // per second, prompts and outputs
	TokensPerRequest float64
	LargestRequest   float64 // tokens
	Prefill          float64 // requests per second, limited by the prefill engines
	Decode           float64 // requests per second, limited by the decode engines
	Link             float64 // requests per second, limited by the links
}

// meanCosts are the mean costs per request over all kinds.
type meanCosts struct {
	tokens, largest       float64
	prefill, decode, link float64 // seconds of one engine, slot and link
	kvPieces              float64 // KV pieces held while decoding
	completions           float64 // fraction of completions
}

// CapacityOf computes the capacity of a deployment for a mix, assuming that engines are
// never idle, guidelines are cached and decode batches are limited by slots and memory only.
func CapacityOf(d fleet.Deployment, m Mix, seed uint64) Capacity {
	s := sampleCosts(d, m, seed)
	var prefills, decodes float64
	for _, dc := range d.DataCentres {
		prefills += float64(dc.Prefills)
		decodes += float64(dc.Decodes)
	}
	slots := min(float64(d.Model.Slots), float64(d.Model.Pieces)/(s.kvPieces/s.completions))
	c := Capacity{
		TokensPerRequest: s.tokens,
		LargestRequest:   s.largest,
		Prefill:          prefills / s.prefill,
		Decode:           decodes * slots / s.decode,
		Link:             prefills / s.link,
	}
	c.Requests = min(c.Prefill, c.Decode, c.Link)
	c.Tokens = c.Requests * s.tokens
	return c
}

// sampleCosts averages the costs of requests drawn from the mix, with each account's share of
// requests proportional to its rate.
func sampleCosts(d fleet.Deployment, m Mix, seed uint64) meanCosts {
	var accounts []Account
	var total float64
	for _, a := range d.Accounts {
		total += a.Rate
	}
	for _, a := range d.Accounts {
		accounts = append(accounts, Account{Name: a.Name, Rate: sampleSize * a.Rate / total})
	}
	list := Generate(Options{Seed: ^seed, Mix: m, Accounts: accounts, Duration: time.Second})
	var s meanCosts
	for i := range list {
		s.add(d.Model, &list[i])
	}
	n := float64(len(list))
	s.tokens /= n
	s.prefill /= n
	s.decode /= n
	s.link /= n
	s.kvPieces /= n
	s.completions /= n
	return s
}

func (s *meanCosts) add(p fleet.ModelPool, q *Request) {
	if q.Kind != Completion {
		s.tokens += float64(q.PromptTokens())
		return
	}
	prompt := q.PromptTokens()
	output := q.OutputTokens(p.Model)
	uncached := float64(prompt)
	if g := Guidelines(q.Account); len(q.Prompt) >= len(g) && q.Prompt[:len(g)] == g {
		uncached -= float64(endpoint.EstimateTokens(g))
	}
	step := p.TokenInterval + time.Duration(p.Slots)*p.StepCost
	transfer := float64(prompt) * kvBytesPerToken / p.LinkRate
	s.tokens += float64(prompt + output)
	s.largest = math.Max(s.largest, float64(prompt+q.MaxTokens))
	s.prefill += uncached / endpoint.PieceTokens * p.PrefillPerPiece.Seconds()
	s.decode += float64(output)*step.Seconds() + transfer
	s.link += transfer
	s.kvPieces += float64(endpoint.Pieces(prompt + q.MaxTokens))
	s.completions++
}

// burstSeconds is the minimum burst of an account in seconds at its rate, and
// burstRequests its minimum in requests of the largest size.
const (
	burstSeconds  = 10
	burstRequests = 4
)

// SetRates scales the deployment's account rates so that their sum equals the capacity,
// and sets matching bursts.
func SetRates(d *fleet.Deployment, c Capacity) {
	var total float64
	for _, a := range d.Accounts {
		total += a.Rate
	}
	list := make([]fleet.AccountSpec, len(d.Accounts))
	for i, a := range d.Accounts {
		rate := math.Round(c.Tokens * a.Rate / total)
		list[i] = fleet.AccountSpec{Name: a.Name, Rate: rate, Burst: math.Ceil(max(burstSeconds*rate, burstRequests*c.LargestRequest))}
	}
	d.Accounts = list
}
