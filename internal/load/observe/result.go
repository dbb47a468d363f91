package observe

import (
	"slices"
	"sort"
	"strconv"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"carawayrouter.example/router/internal/load/workload"
)

// GapTarget is the target for the time between two tokens.
const GapTarget = 67 * time.Millisecond

// quantile is the latency quantile in the results.
const quantile = 0.95

// AccountResult is one account's result.
type AccountResult struct {
	Account          string  `json:"account"`
	Requests         int     `json:"requests"`
	InRate           int     `json:"in_rate"`
	Good             int     `json:"good"`
	Fraction         float64 `json:"fraction"` // good responses per request within the rate limit, at most 1
	WrongfulRefusals int     `json:"wrongful_refusals"`
	ExcessTokens     float64 `json:"excess_tokens"`
}

// Point is one point of a latency distribution.
type Point struct {
	Quantile float64 `json:"quantile"`
	Seconds  float64 `json:"seconds"`
}

// Result is the evaluation of one experiment.
type Result struct {
	Policy               string          `json:"policy"`
	Requests             int             `json:"requests"`
	Answered             int             `json:"answered"`
	Good                 int             `json:"good"`
	GoodputFraction      float64         `json:"goodput_fraction"`
	GoodputOfCapacity    float64         `json:"goodput_of_capacity"`
	WastedPrefill        float64         `json:"wasted_prefill_fraction"`
	WorstAccount         float64         `json:"worst_account_fraction"`
	WrongfulRefusals     int             `json:"wrongful_refusals"`
	WrongfulByKind       map[string]int  `json:"wrongful_refusals_by_kind"`
	RefusalsByKind       map[string]int  `json:"refusals_by_kind"`
	MissedByReason       map[string]int  `json:"missed_by_reason"` // requests without a good response
	ExcessTokens         float64         `json:"excess_tokens"`
	DuplicateAnswers     int             `json:"duplicate_answers"`
	IncompleteAnswers    int             `json:"incomplete_answers"`
	CutRequests          int             `json:"cut_requests"`
	FalseNotRun          int             `json:"false_not_run"`
	OperationsRunTwice   int             `json:"operations_run_twice"`
	KeyLeaks             int             `json:"key_leaks"`
	HeldAfterDrain       int             `json:"held_after_drain"`
	LateNewWork          int             `json:"late_new_work"`
	WithdrawnKeyServed   int             `json:"withdrawn_key_served"`
	TicketsReverted      int             `json:"tickets_reverted"`
	TicketInForceSeconds float64         `json:"ticket_in_force_max_seconds"`
	TTFTP95              float64         `json:"ttft_p95_seconds"`
	ITLP95               float64         `json:"itl_p95_seconds"`
	TTFT                 []Point         `json:"ttft"`
	ITL                  []Point         `json:"itl"`
	Accounts             []AccountResult `json:"accounts"`
	Violated             []string        `json:"broken_promises"`
	Violations           Messages        `json:"violations"`
	RequestFailures      Messages        `json:"troubles"` // requests that were interrupted or never finished
	EngineFull           int             `json:"engine_full_refusals"`
	StoreReads           uint64          `json:"store_reads"`
	StoreWrites          uint64          `json:"store_writes"`
}

// Evaluate computes the result of an experiment.
func Evaluate(e *ExperimentRecord) *Result {
	r := &Result{RefusalsByKind: map[string]int{}, WrongfulByKind: map[string]int{}, MissedByReason: map[string]int{}}
	r.checkGuarantees(e)
	r.countRequests(e)
	r.computeLatencies(e)
	r.computePrefillWaste(e)
	r.Violated = r.violated(e)
	e.failedRequests(&r.RequestFailures)
	return r
}

func (r *Result) checkGuarantees(e *ExperimentRecord) {
	r.DuplicateAnswers, r.IncompleteAnswers = e.checkAnswers(&r.Violations)
	r.CutRequests = e.countCutRequests(&r.Violations)
	r.FalseNotRun = e.countFalseNotRun(&r.Violations)
	r.OperationsRunTwice = e.countRunTwice(&r.Violations)
	r.KeyLeaks = e.countKeyLeaks(&r.Violations)
	r.HeldAfterDrain = e.countHeldRequests(&r.Violations)
	r.LateNewWork = e.countLateWork(&r.Violations)
	r.WithdrawnKeyServed = e.countWithdrawnServed(&r.Violations)
	slowest, reverted := e.checkTickets(&r.Violations)
	r.TicketInForceSeconds, r.TicketsReverted = slowest.Seconds(), reverted
	excess := e.excessTokens(&r.Violations)
	for _, a := range e.Accounts {
		r.ExcessTokens += excess[a.Name]
		r.Accounts = append(r.Accounts, AccountResult{Account: a.Name, ExcessTokens: excess[a.Name]})
	}
}

// countRequests counts the measured requests whose callers did not cancel.
func (r *Result) countRequests(e *ExperimentRecord) {
	inRate := e.requestsInRate()
	answered := e.answeredOperations()
	rows := map[string]*AccountResult{}
	for i := range r.Accounts {
		rows[r.Accounts[i].Account] = &r.Accounts[i]
	}
	for i := range e.Requests {
		q := &e.Requests[i]
		if q.Outcome == Refused && q.Measured {
			r.RefusalsByKind[string(q.ErrKind)]++
		}
		row := rows[q.Account]
		if !q.Measured || q.CallerCancels || q.Duplicate || q.OldKey || row == nil {
			continue
		}
		done := q.Outcome == Answered || answered[q.IdempotencyKey]
		reason := e.missReason(q, done)
		r.Requests++
		row.Requests++
		if inRate[q.Seq] {
			row.InRate++
		}
		switch {
		case reason == "":
			r.Good++
			row.Good++
		default:
			r.MissedByReason[reason]++
		}
		switch {
		case done:
			r.Answered++
		case inRate[q.Seq]:
			r.WrongfulRefusals++
			row.WrongfulRefusals++
			r.WrongfulByKind[reason]++
		}
	}
	r.computeFractions(e)
}

func (r *Result) computeFractions(e *ExperimentRecord) {
	r.GoodputFraction = ratio(float64(r.Good), float64(r.Requests))
	r.GoodputOfCapacity = ratio(float64(r.Good), e.Capacity*e.MeasuredTime.Seconds())
	r.WorstAccount = 1
	for i := range r.Accounts {
		a := &r.Accounts[i]
		a.Fraction = min(1, ratio(float64(a.Good), float64(a.InRate)))
		if a.InRate > 0 {
			r.WorstAccount = min(r.WorstAccount, a.Fraction)
		}
	}
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

// missReason returns why a request did not get a good response, or "" if it did. A good
// response is complete and correct and meets the targets for first token and token gaps.
func (e *ExperimentRecord) missReason(q *Request, done bool) string {
	if !done {
		if q.Outcome == Refused {
			return string(q.ErrKind)
		}
		return string(q.Outcome)
	}
	if q.Kind != workload.Completion {
		return ""
	}
	switch {
	case q.DoneCount != 1 || q.Text != e.expectedText(q):
		return "wrong_answer"
	case q.FirstTokenAt.Sub(q.Sent) > e.FirstTokenTarget:
		return "first_token_late"
	case q.gapQuantile() > GapTarget:
		return "tokens_slow"
	}
	return ""
}

// gapQuantile returns the 95th percentile of the request's own token gaps.
func (q *Request) gapQuantile() time.Duration {
	gaps := q.gaps()
	if len(gaps) == 0 {
		return 0
	}
	slices.Sort(gaps)
	return gaps[int(quantile*float64(len(gaps)-1))]
}

func (q *Request) gaps() []time.Duration {
	var gaps []time.Duration
	for i := 1; i < len(q.TokenTimes); i++ {
		gaps = append(gaps, q.TokenTimes[i].Sub(q.TokenTimes[i-1]))
	}
	return gaps
}

// failedRequests adds a message for each request that was interrupted or never finished.
func (e *ExperimentRecord) failedRequests(n *Messages) {
	for i := range e.Requests {
		q := &e.Requests[i]
		if q.Outcome == Interrupted || q.Outcome == Unfinished {
			n.add("%s: %s %d (%s%s) of %s at %s, sent %.3f s after the start, ended %.3f s later with %d of %d tokens: %s", q.Outcome, q.Kind, q.Seq,
				q.ID, q.IdempotencyKey, q.Account, q.Instance, q.Sent.Sub(e.Start).Seconds(), q.End.Sub(q.Sent).Seconds(), q.Tokens, q.ExpectedTokens, q.Error)
		}
	}
}

// requestsInRate returns the sequence numbers of the requests that a reference token
// bucket would admit at the time they were sent.
func (e *ExperimentRecord) requestsInRate() map[int]bool {
	buckets := map[string]*bucket{}
	for _, a := range e.Accounts {
		buckets[a.Name] = &bucket{rate: a.Rate, burst: a.Burst, level: a.Burst}
	}
	order := make([]*Request, 0, len(e.Requests))
	for i := range e.Requests {
		if q := &e.Requests[i]; !q.Duplicate && !q.OldKey {
			order = append(order, q)
		}
	}
	sort.SliceStable(order, func(i, j int) bool { return order[i].Sent.Before(order[j].Sent) })
	in := map[int]bool{}
	for _, q := range order {
		b := buckets[q.Account]
		if b == nil {
			continue
		}
		b.advance(q.Sent)
		if u := q.offeredTokens(); u <= b.level {
			b.level -= u
			in[q.Seq] = true
		}
	}
	return in
}

// answeredOperations returns the idempotency keys of operations with at least one
// answered copy.
func (e *ExperimentRecord) answeredOperations() map[string]bool {
	keys := map[string]bool{}
	for i := range e.Requests {
		if q := &e.Requests[i]; q.IdempotencyKey != "" && q.Outcome == Answered {
			keys[q.IdempotencyKey] = true
		}
	}
	return keys
}

// Parameters of the latency histograms; latencies are in microseconds.
const (
	shortestLatency    = 1
	longestLatency     = int64(2 * time.Hour / time.Microsecond)
	histogramDigits    = 3
	distributionPoints = 50 // equally spaced quantiles per distribution
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(shortestLatency, longestLatency, histogramDigits)
}

func (r *Result) computeLatencies(e *ExperimentRecord) {
	ttft, itl := newHistogram(), newHistogram()
	for i := range e.Requests {
		q := &e.Requests[i]
		if !q.Measured || q.Kind != workload.Completion || q.Tokens == 0 {
			continue
		}
		_ = ttft.RecordValue(q.FirstTokenAt.Sub(q.Sent).Microseconds())
		for _, g := range q.gaps() {
			_ = itl.RecordValue(max(shortestLatency, g.Microseconds()))
		}
	}
	r.TTFTP95, r.ITLP95 = seconds(ttft, quantile), seconds(itl, quantile)
	r.TTFT, r.ITL = points(ttft), points(itl)
}

func seconds(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(100*q)) / 1e6
}

func points(h *hdrhistogram.Histogram) []Point {
	var list []Point
	if h.TotalCount() == 0 {
		return list
	}
	for i := range distributionPoints {
		q := float64(i) / distributionPoints
		list = append(list, Point{q, seconds(h, q)})
	}
	for _, q := range []float64{0.99, 0.995, 0.999, 1} {
		list = append(list, Point{q, seconds(h, q)})
	}
	return list
}

func (r *Result) computePrefillWaste(e *ExperimentRecord) {
	var computed, wasted int
	for i := range e.Engines {
		l := &e.Engines[i].Ledger
		computed += l.PrefillTokens
		wasted += l.WastedTokens
		r.EngineFull += l.Full
	}
	r.WastedPrefill = ratio(float64(wasted), float64(computed))
}

// violated returns the violated guarantees with their counts.
func (r *Result) violated(e *ExperimentRecord) []string {
	list := []string{}
	check := func(name string, count int) {
		if count > 0 {
			list = append(list, name+" = "+strconv.Itoa(count))
		}
	}
	check("duplicate_answers", r.DuplicateAnswers)
	check("incomplete_answers", r.IncompleteAnswers)
	check("cut_requests", r.CutRequests)
	check("false_not_run", r.FalseNotRun)
	check("operations_run_twice", r.OperationsRunTwice)
	check("key_leaks", r.KeyLeaks)
	check("held_after_drain", r.HeldAfterDrain)
	check("late_new_work", r.LateNewWork)
	check("withdrawn_key_served", r.WithdrawnKeyServed)
	check("tickets_reverted", r.TicketsReverted)
	for i, a := range e.Accounts {
		if a.exceedsTolerance(r.Accounts[i].ExcessTokens) {
			check("excess_tokens of "+a.Name, int(r.Accounts[i].ExcessTokens))
		}
	}
	return list
}
