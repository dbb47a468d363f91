package workload

import (
	"math"
	"time"

	"carawayrouter.example/router/internal/endpoint"
	"carawayrouter.example/router/internal/fleet"
)

// sampleSize is the number of requests from which a mix's means are taken.
const sampleSize = 4_000

// kvBytesPerToken is the KV cache of one token in the stand-in engines, bytes.
const kvBytesPerToken = 160_000

// Capacity is what a deployment can serve of a mix, by its cost model.
type Capacity struct {
	Requests         float64 // per second, all kinds
	Tokens           float64 // per second, prompts and outputs
	TokensPerRequest float64
	LargestRequest   float64 // tokens
	Prefill          float64 // requests per second that the prefill engines carry
	Decode           float64 // requests per second that the decode engines carry
	Link             float64 // requests per second that the links carry
}

// means are the costs of the average request of any kind.
type means struct {
	tokens, largest       float64
	prefill, decode, link float64 // seconds at one engine, slot and link
	pieces                float64 // KV pieces held while decoding
	decodes               float64 // share of completions
}

// CapacityOf works out the capacity of a deployment for a mix: engines busy without a
// pause, guidelines cached, decode batches as full as slots and memory allow.
func CapacityOf(d fleet.Deployment, m Mix, seed uint64) Capacity {
	s := sample(d, m, seed)
	var prefills, decodes float64
	for _, dc := range d.DataCentres {
		prefills += float64(dc.Prefills)
		decodes += float64(dc.Decodes)
	}
	slots := min(float64(d.Model.Slots), float64(d.Model.Pieces)/(s.pieces/s.decodes))
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

// sample averages the costs of requests drawn from the mix for each account's share.
func sample(d fleet.Deployment, m Mix, seed uint64) means {
	var accounts []Account
	var total float64
	for _, a := range d.Accounts {
		total += a.Rate
	}
	for _, a := range d.Accounts {
		accounts = append(accounts, Account{Name: a.Name, Rate: sampleSize * a.Rate / total})
	}
	list := Generate(Options{Seed: ^seed, Mix: m, Accounts: accounts, Duration: time.Second})
	var s means
	for i := range list {
		s.add(d.Model, &list[i])
	}
	n := float64(len(list))
	s.tokens /= n
	s.prefill /= n
	s.decode /= n
	s.link /= n
	s.pieces /= n
	s.decodes /= n
	return s
}

func (s *means) add(p fleet.ModelPool, q *Request) {
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
	s.pieces += float64(endpoint.Pieces(prompt + q.MaxTokens))
	s.decodes++
}

// burstSeconds is the time for which an account's burst lasts at its rate, and
// burstRequests the number of the largest requests that it holds at least.
const (
	burstSeconds  = 10
	burstRequests = 4
)

// SetRates gives the deployment's accounts rates that add up to the capacity, in their
// present proportions, and bursts to match.
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
