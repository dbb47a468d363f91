// Package workload generates the requests of an experiment: open-loop arrivals, accounts,
// lengths, shared prefixes, cancellations and duplicated operations. The same seed
// generates the same requests.
package workload

import (
	"math"
	"math/rand/v2"
	"sort"
	"strconv"
	"strings"
	"time"

	"carawayrouter.example/router/internal/endpoint"
	"carawayrouter.example/router/internal/standin/engine"
)

// Kind is the kind of a request.
type Kind string

// The request kinds.
const (
	Completion Kind = "completion"
	Call       Kind = "call"      // idempotent call to a plain service
	Operation  Kind = "operation" // non-idempotent call with an Idempotency-Key
)

// Length is a log-normal distribution of token counts, clamped to [Min, Max].
type Length struct {
	Median float64 // tokens
	Sigma  float64 // of the logarithm
	Min    int     // tokens
	Max    int     // tokens
}

func (l Length) draw(r *rand.Rand) int {
	x := l.Median * math.Exp(l.Sigma*r.NormFloat64())
	return int(min(max(x, float64(l.Min)), float64(l.Max)))
}

// Mix describes the composition of a workload.
type Mix struct {
	Calls        float64 // fraction of requests that are idempotent calls
	Operations   float64 // fraction of requests that are non-idempotent calls
	Duplicated   float64 // fraction of operations sent to two instances concurrently
	Prefixed     float64 // fraction of completions that start with their account's guidelines
	Cancelled    float64 // fraction of completions that the caller cancels
	PromptLength Length  // prompt tokens after the guidelines
	OutputLength Length  // max_tokens
}

// DefaultMix returns the mix used for both deployments.
func DefaultMix() Mix {
	return Mix{
		Calls: 0.10, Operations: 0.05, Duplicated: 0.3, Prefixed: 0.75, Cancelled: 0.02,
		PromptLength: Length{Median: 500, Sigma: 1.3, Min: 20, Max: 30_000},
		OutputLength: Length{Median: 100, Sigma: 0.7, Min: 8, Max: 1000},
	}
}

// Ranges of random request parameters.
const (
	maxPrefixPieces = 2
	cancelAfterMin  = 100 * time.Millisecond
	cancelAfterSpan = 2 * time.Second
)

// Request is one request of a caller.
type Request struct {
	Seq            int
	At             time.Duration // offset from the start of the arrivals
	Account        string
	Kind           Kind
	Prompt         string        // of completions
	MaxTokens      int           // of completions
	Path           string        // of calls and operations, relative to the kind's base path
	Body           []byte        // of calls and operations
	IdempotencyKey string        // Idempotency-Key of operations
	Duplicated     bool          // operation sent to two instances concurrently
	CancelAfter    time.Duration // zero if the caller does not cancel
}

// PromptTokens returns the number of tokens in the prompt, or in the body of a call.
func (q *Request) PromptTokens() int {
	if q.Kind != Completion {
		return endpoint.EstimateTokens(string(q.Body))
	}
	return endpoint.EstimateTokens(q.Prompt)
}

// OutputTokens returns the number of tokens that the model generates.
func (q *Request) OutputTokens(model string) int {
	if q.Kind != Completion {
		return 0
	}
	return engine.ExpectedLength(model, q.Prompt, q.MaxTokens)
}

// Account is one account's share of the arrivals.
type Account struct {
	Name string
	Rate float64 // requests per second
	// Bursts are time spans in which the rate is multiplied.
	Bursts []Burst
}

// Burst multiplies an account's arrival rate during a time span.
type Burst struct {
	From, To time.Duration
	Factor   float64
}

// Options describe a workload.
type Options struct {
	Seed     uint64
	Mix      Mix
	Accounts []Account
	Duration time.Duration
}

// Generate returns all requests in order of arrival.
func Generate(o Options) []Request {
	var all []Request
	for i, a := range o.Accounts {
		r := rand.New(rand.NewPCG(o.Seed, uint64(i)+1))
		all = append(all, drawArrivals(r, o, a)...)
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].At < all[j].At })
	for i := range all {
		all[i].Seq = i
	}
	return all
}

// drawArrivals generates one account's requests: a Poisson process at its maximum rate,
// thinned to the current rate.
func drawArrivals(r *rand.Rand, o Options, a Account) []Request {
	maxFactor := 1.0
	for _, b := range a.Bursts {
		maxFactor = max(maxFactor, b.Factor)
	}
	var list []Request
	if a.Rate <= 0 {
		return list
	}
	var at time.Duration
	for n := 0; ; {
		at += time.Duration(r.ExpFloat64() / (a.Rate * maxFactor) * float64(time.Second))
		if at >= o.Duration {
			return list
		}
		if r.Float64()*maxFactor >= a.rateFactor(at) {
			continue
		}
		q := drawRequest(r, o.Mix, a.Name, n)
		q.At = at
		list = append(list, q)
		n++
	}
}

func (a *Account) rateFactor(at time.Duration) float64 {
	f := 1.0
	for _, b := range a.Bursts {
		if at >= b.From && at < b.To {
			f = b.Factor
		}
	}
	return f
}

// drawRequest generates one request; n is its index among the account's requests.
func drawRequest(r *rand.Rand, m Mix, account string, n int) Request {
	q := Request{Account: account}
	name := account + "-" + strconv.Itoa(n) + "-" + strconv.FormatUint(r.Uint64(), 36)
	switch x := r.Float64(); {
	case x < m.Operations:
		q.Kind = Operation
		q.Path = name
		q.Body = []byte(`{"subject":"` + name + `","granted":true}`)
		q.IdempotencyKey = "op-" + name
		q.Duplicated = r.Float64() < m.Duplicated
	case x < m.Operations+m.Calls:
		q.Kind = Call
		q.Path = name
		q.Body = []byte(`{"status":"` + name + `"}`)
	default:
		q.Kind = Completion
		q.Prompt = drawPrompt(r, m, account, name)
		q.MaxTokens = m.OutputLength.draw(r)
		if r.Float64() < m.Cancelled {
			q.CancelAfter = cancelAfterMin + time.Duration(r.Float64()*float64(cancelAfterSpan))
		}
	}
	return q
}

// drawPrompt returns the account's guidelines, if drawn, followed by a unique text.
func drawPrompt(r *rand.Rand, m Mix, account, name string) string {
	var b strings.Builder
	if r.Float64() < m.Prefixed {
		b.WriteString(Guidelines(account))
	}
	fill(&b, "photograph "+name+": ", b.Len()+m.PromptLength.draw(r)*endpoint.BytesPerToken)
	return b.String()
}

// Guidelines returns the prefix that most prompts of an account share. It is one or two
// KV pieces long.
func Guidelines(account string) string {
	var b strings.Builder
	pieces := 1 + len(account)%maxPrefixPieces
	fill(&b, "Guidelines of "+account+". ", pieces*endpoint.PieceTokens*endpoint.BytesPerToken)
	return b.String()
}

// filler is repeated to pad prompts to their length.
var filler = strings.Repeat("The photograph shows the harbour in the morning, with boats and nets. ", 256)

// fill appends text and then filler until b is length bytes long.
func fill(b *strings.Builder, text string, length int) {
	b.Grow(max(0, length-b.Len()))
	for b.Len() < length {
		b.WriteString(text[:min(len(text), length-b.Len())])
		text = filler
	}
}
