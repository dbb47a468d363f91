// Package workload draws the requests of an experiment: open-loop arrivals, accounts,
// lengths, shared prefixes, cancels and duplicated operations. The same seed gives the
// same requests.
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

// Kind is the sort of a request.
type Kind string

// The kinds of requests.
const (
	Completion Kind = "completion"
	Call       Kind = "call"      // idempotent call of a plain service
	Operation  Kind = "operation" // non-idempotent call with an Idempotency-Key
)

// Length is a log-normal distribution of token counts, cut off at both ends.
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

// Mix says what the requests of an experiment are. Shares are fractions of 1.
type Mix struct {
	Calls      float64 // share of idempotent calls
	Operations float64 // share of non-idempotent calls
	Twice      float64 // share of the operations that are sent to two instances at once
	Prefixed   float64 // share of the completions that begin with their account's guidelines
	Cancelled  float64 // share of the completions whose caller leaves early
	Own        Length  // tokens of a prompt after the guidelines
	Output     Length  // max_tokens
}

// DefaultMix returns the mix of both deployments' callers.
func DefaultMix() Mix {
	return Mix{
		Calls: 0.10, Operations: 0.05, Twice: 0.3, Prefixed: 0.75, Cancelled: 0.02,
		Own:    Length{Median: 500, Sigma: 1.3, Min: 20, Max: 30_000},
		Output: Length{Median: 100, Sigma: 0.7, Min: 8, Max: 1000},
	}
}

// Bounds of the random parts of requests.
const (
	maxPrefixPieces = 2
	cancelAfterMin  = 100 * time.Millisecond
	cancelAfterSpan = 2 * time.Second
)

// Request is one request of a caller.
type Request struct {
	Seq         int
	At          time.Duration // since the start of the arrivals
	Account     string
	Kind        Kind
	Prompt      string        // of completions
	MaxTokens   int           // of completions
	Path        string        // of calls and operations, below the kind's own path
	Body        []byte        // of calls and operations
	Key         string        // Idempotency-Key of operations
	Twice       bool          // operation sent to two instances at the same moment
	CancelAfter time.Duration // zero: the caller stays
}

// PromptTokens returns the tokens of the prompt, or of the body of a call.
func (q *Request) PromptTokens() int {
	if q.Kind != Completion {
		return endpoint.EstimateTokens(string(q.Body))
	}
	return endpoint.EstimateTokens(q.Prompt)
}

// OutputTokens returns the tokens that the model generates.
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
	// Bursts are spans in which the rate is multiplied.
	Bursts []Burst
}

// Burst multiplies an account's rate for a time.
type Burst struct {
	From, To time.Duration
	Factor   float64
}

// Options describe the arrivals.
type Options struct {
	Seed     uint64
	Mix      Mix
	Accounts []Account
	Duration time.Duration
}

// Generate draws all requests in order of arrival.
func Generate(o Options) []Request {
	var all []Request
	for i, a := range o.Accounts {
		r := rand.New(rand.NewPCG(o.Seed, uint64(i)+1))
		all = append(all, arrivals(r, o, a)...)
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].At < all[j].At })
	for i := range all {
		all[i].Seq = i
	}
	return all
}

// arrivals draws one account's requests: a Poisson process at its highest rate, thinned
// to the rate of each moment.
func arrivals(r *rand.Rand, o Options, a Account) []Request {
	top := 1.0
	for _, b := range a.Bursts {
		top = max(top, b.Factor)
	}
	var list []Request
	if a.Rate <= 0 {
		return list
	}
	var at time.Duration
	for n := 0; ; {
		at += time.Duration(r.ExpFloat64() / (a.Rate * top) * float64(time.Second))
		if at >= o.Duration {
			return list
		}
		if r.Float64()*top >= a.factor(at) {
			continue
		}
		q := draw(r, o.Mix, a.Name, n)
		q.At = at
		list = append(list, q)
		n++
	}
}

func (a *Account) factor(at time.Duration) float64 {
	f := 1.0
	for _, b := range a.Bursts {
		if at >= b.From && at < b.To {
			f = b.Factor
		}
	}
	return f
}

// draw makes one request of an account; n counts the account's requests.
func draw(r *rand.Rand, m Mix, account string, n int) Request {
	q := Request{Account: account}
	name := account + "-" + strconv.Itoa(n) + "-" + strconv.FormatUint(r.Uint64(), 36)
	switch x := r.Float64(); {
	case x < m.Operations:
		q.Kind = Operation
		q.Path = name
		q.Body = []byte(`{"subject":"` + name + `","granted":true}`)
		q.Key = "op-" + name
		q.Twice = r.Float64() < m.Twice
	case x < m.Operations+m.Calls:
		q.Kind = Call
		q.Path = name
		q.Body = []byte(`{"status":"` + name + `"}`)
	default:
		q.Kind = Completion
		q.Prompt = prompt(r, m, account, name)
		q.MaxTokens = m.Output.draw(r)
		if r.Float64() < m.Cancelled {
			q.CancelAfter = cancelAfterMin + time.Duration(r.Float64()*float64(cancelAfterSpan))
		}
	}
	return q
}

// prompt returns guidelines, if any, and a text that no other request has.
func prompt(r *rand.Rand, m Mix, account, name string) string {
	var b strings.Builder
	if r.Float64() < m.Prefixed {
		b.WriteString(Guidelines(account))
	}
	fill(&b, "photograph "+name+": ", b.Len()+m.Own.draw(r)*endpoint.BytesPerToken)
	return b.String()
}

// Guidelines returns the text of one or two KV pieces that most prompts of an account
// begin with.
func Guidelines(account string) string {
	var b strings.Builder
	pieces := 1 + len(account)%maxPrefixPieces
	fill(&b, "Guidelines of "+account+". ", pieces*endpoint.PieceTokens*endpoint.BytesPerToken)
	return b.String()
}

// filler is repeated to make up the length of prompts.
var filler = strings.Repeat("The photograph shows the harbour in the morning, with boats and nets. ", 256)

// fill writes text, and after it the filler, up to a length in bytes.
func fill(b *strings.Builder, text string, length int) {
	b.Grow(max(0, length-b.Len()))
	for b.Len() < length {
		b.WriteString(text[:min(len(text), length-b.Len())])
		text = filler
	}
}
