package observe

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"carawayrouter.example/router/internal/endpoint"
	"carawayrouter.example/router/internal/errkind"
	"carawayrouter.example/router/internal/load/workload"
	"carawayrouter.example/router/internal/reqid"
	"carawayrouter.example/router/internal/standin/engine"
	"carawayrouter.example/router/internal/standin/host"
	"carawayrouter.example/router/internal/standin/service"
)

var t0 = time.Unix(1000, 0)

func at(seconds float64) time.Time { return t0.Add(time.Duration(seconds * float64(time.Second))) }

func id(n uint64) reqid.ID { return reqid.ID{Instance: "a-1", Incarnation: 1, Seq: n} }

// cleanRecord returns the record of an experiment without violations: two completions, an
// operation and a call, all successful.
func cleanRecord() *ExperimentRecord {
	e := &ExperimentRecord{
		Model: "m", FirstTokenTarget: time.Second, Capacity: 2, MeasuredTime: 2 * time.Second,
		Accounts: []Account{{"big", 1000, 10_000}, {"small", 10, 500}},
		Engines:  []Engine{{Name: "p"}, {Name: "d"}},
		Services: []Service{{Name: "s", Ledger: service.Ledger{Runs: map[string]int{"op": 1, "digest": 1}}}},
		Drained:  map[string]time.Time{}, Killed: map[string][]time.Time{},
		Leaving: map[string]time.Time{}, Withdrawn: map[string]time.Time{},
		Accepted: map[uint64]time.Time{2: at(0)},
		Probes:   []Probe{{2, "a-1", at(0.5), false}, {2, "a-1", at(1.5), true}, {2, "a-1", at(9), true}},
	}
	for i, account := range []string{"big", "small"} {
		q := Request{
			Seq: i, ID: id(uint64(i)).String(), Account: account, Kind: workload.Completion, Instance: "a-1",
			Sent: at(0), End: at(1), Measured: true, Prompt: account, PromptTokens: 90, MaxTokens: 10, ExpectedTokens: 10,
			Outcome: Answered, Tokens: 10, DoneCount: 1, FirstTokenAt: at(0.5),
		}
		q.Text = e.expectedText(&q)
		for n := range q.ExpectedTokens {
			q.TokenTimes = append(q.TokenTimes, at(0.5+0.03*float64(n)))
		}
		e.Requests = append(e.Requests, q)
		seen := engine.ReceivedCall{ID: id(uint64(i)), Stage: stagePrefill, At: at(0.1)}
		e.Engines[0].Ledger.Calls = append(e.Engines[0].Ledger.Calls, seen)
	}
	e.Engines[0].Ledger.PrefillTokens = 180
	e.Requests = append(e.Requests,
		Request{Seq: 2, Account: "big", Kind: workload.Operation, Sent: at(0), Measured: true, IdempotencyKey: "op", Outcome: Answered, PromptTokens: 1},
		Request{Seq: 2, Account: "big", Kind: workload.Operation, Sent: at(0), Measured: true, IdempotencyKey: "op", Duplicate: true, Outcome: Refused, ErrKind: errkind.OperationInProgress, Execution: errkind.NotRun},
		Request{Seq: 3, Account: "big", Kind: workload.Call, Sent: at(0), Measured: true, Digest: "digest", Outcome: Answered, PromptTokens: 1})
	return e
}

func TestCleanExperiment(t *testing.T) {
	r := Evaluate(cleanRecord())
	assert.Equal(t, len(r.Violated), 0, "%v", r.Violated)
	assert.Equal(t, r.Requests, 4)
	assert.Equal(t, r.Good, 4)
	assert.Equal(t, r.GoodputFraction, 1.0)
	assert.Equal(t, r.GoodputOfCapacity, 1.0)
	assert.Equal(t, r.WorstAccount, 1.0)
	assert.Equal(t, r.WrongfulRefusals, 0)
	assert.Equal(t, r.TicketInForceSeconds, 1.5)
	assert.Assert(t, r.TTFTP95 > 0.49 && r.TTFTP95 < 0.51, "%g", r.TTFTP95)
	assert.Assert(t, r.ITLP95 > 0.029 && r.ITLP95 < 0.031, "%g", r.ITLP95)
}

// refuse changes the request to one that was refused as not run.
func refuse(q *Request) {
	q.Outcome, q.ErrKind, q.Execution = Refused, errkind.QueueFull, errkind.NotRun
	q.Text, q.Tokens, q.DoneCount, q.TokenTimes = "", 0, 0, nil
}

func truncate(q *Request) {
	q.Outcome, q.DoneCount = Interrupted, 0
	q.Text = q.Text[:strings.IndexByte(q.Text, ' ')+1]
	q.Tokens = 1
}

func TestEachObserverCatchesItsViolation(t *testing.T) {
	for _, c := range []struct {
		name   string
		inject func(e *ExperimentRecord)
		count  func(r *Result) int
	}{
		{"two [DONE] events", func(e *ExperimentRecord) { e.Requests[0].DoneCount = 2 }, func(r *Result) int { return r.DuplicateAnswers }},
		{"tokens after the end of the response", func(e *ExperimentRecord) { e.Requests[0].Text += "more " }, func(r *Result) int { return r.DuplicateAnswers }},
		{"incomplete response", func(e *ExperimentRecord) { truncate(&e.Requests[0]); e.Requests[0].Outcome = Answered }, func(r *Result) int { return r.IncompleteAnswers }},
		{"response of another request", func(e *ExperimentRecord) { e.Requests[0].Text = e.Requests[1].Text }, func(r *Result) int { return r.IncompleteAnswers }},
		{"truncated without an error", func(e *ExperimentRecord) { truncate(&e.Requests[0]) }, func(r *Result) int { return r.IncompleteAnswers }},
		{"cut by a drain", func(e *ExperimentRecord) { truncate(&e.Requests[0]); e.Drained["a-1"] = at(0.7) }, func(r *Result) int { return r.CutRequests }},
		{"not run, but prefilled", func(e *ExperimentRecord) { refuse(&e.Requests[0]) }, func(r *Result) int { return r.FalseNotRun }},
		{"call not run, but run", func(e *ExperimentRecord) { refuse(&e.Requests[4]) }, func(r *Result) int { return r.FalseNotRun }},
		{"operation not run, but run", func(e *ExperimentRecord) { refuse(&e.Requests[2]) }, func(r *Result) int { return r.FalseNotRun }},
		{"operation at two services", func(e *ExperimentRecord) { e.Services = append(e.Services, e.Services[0]) }, func(r *Result) int { return r.OperationsRunTwice }},
		{"key at an engine", func(e *ExperimentRecord) { e.Engines[0].Ledger.Leaks = []host.Leak{{Header: "Authorization"}} }, func(r *Result) int { return r.KeyLeaks }},
		{"key at a service", func(e *ExperimentRecord) { e.Services[0].Ledger.Leaks = []host.Leak{{Header: "X-Api-Key"}} }, func(r *Result) int { return r.KeyLeaks }},
		{"request held", func(e *ExperimentRecord) { e.Engines[1].Running = []endpoint.Running{{ID: id(0)}} }, func(r *Result) int { return r.HeldAfterDrain }},
		{"memory held", func(e *ExperimentRecord) { e.Engines[1].Pieces = 3 }, func(r *Result) int { return r.HeldAfterDrain }},
		{"work for a leaving engine", func(e *ExperimentRecord) { e.Leaving["p"] = at(-6) }, func(r *Result) int { return r.LateNewWork / 2 }},
		{"withdrawn key", func(e *ExperimentRecord) { e.Requests[0].OldKey = true; e.Withdrawn["big"] = at(-6) }, func(r *Result) int { return r.WithdrawnKeyServed }},
		{"ticket reverted", func(e *ExperimentRecord) { e.Probes = append(e.Probes, Probe{2, "a-1", at(10), false}) }, func(r *Result) int { return r.TicketsReverted }},
		{"excess", func(e *ExperimentRecord) { e.Accounts[1].Burst = 50 }, func(r *Result) int { return int(r.ExcessTokens) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := cleanRecord()
			c.inject(e)
			r := Evaluate(e)
			assert.Assert(t, c.count(r) >= 1, "%v", r.Violated)
			assert.Assert(t, len(r.Violated) > 0 && len(r.Violations) > 0)
			if c.name != "excess" {
				assert.Equal(t, c.count(r), 1)
			}
		})
	}
}

func TestExcessFollowsTheReferenceBucket(t *testing.T) {
	e := cleanRecord()
	e.Accounts = []Account{{Name: "big", Rate: 100, Burst: 100}}
	e.Requests = nil
	e.Engines[0].Ledger.Calls = nil
	for i, d := range []float64{0, 0, 2} { // arrivals at the engine, seconds
		q := Request{Seq: i, ID: id(uint64(i)).String(), Account: "big", Kind: workload.Completion, Sent: at(0), Outcome: Answered, PromptTokens: 100}
		e.Requests = append(e.Requests, q)
		e.Engines[0].Ledger.Calls = append(e.Engines[0].Ledger.Calls, engine.ReceivedCall{ID: id(uint64(i)), Stage: stagePrefill, At: at(d)})
	}
	// The bucket admits the second request at 1 s and the third at 2 s.
	assert.Equal(t, e.excessTokens(&Messages{})["big"], 100.0)
	e.Engines[0].Ledger.Calls[1].At = at(1)
	assert.Equal(t, e.excessTokens(&Messages{})["big"], 0.0)
}

func TestRefusalsInsideTheRateAreWrongful(t *testing.T) {
	e := cleanRecord()
	refuse(&e.Requests[0])
	r := Evaluate(e)
	assert.Equal(t, r.WrongfulRefusals, 1)
	assert.Equal(t, r.WrongfulByKind[string(errkind.QueueFull)], 1)
	assert.Equal(t, r.WorstAccount, 2.0/3)
	e.Accounts[0].Burst, e.Accounts[0].Rate = 50, 1 // the request now exceeds the rate
	e.Engines[0].Ledger.Calls = nil
	assert.Equal(t, Evaluate(e).WrongfulRefusals, 0)
}

func TestGoodAnswersMeetBothTargets(t *testing.T) {
	for name, inject := range map[string]func(q *Request){
		"first_token_late": func(q *Request) { q.FirstTokenAt = at(1.01) },
		"tokens_slow": func(q *Request) {
			for i := range q.TokenTimes {
				q.TokenTimes[i] = at(0.5 + 0.07*float64(i))
			}
		},
		"wrong_answer": truncate,
	} {
		e := cleanRecord()
		inject(&e.Requests[0])
		e.Requests[0].Outcome = Answered
		r := Evaluate(e)
		assert.Equal(t, r.Good, 3, name)
		assert.Equal(t, r.MissedByReason[name], 1, "%v", r.MissedByReason)
	}
}

func TestWastedPrefillIsAShareOfTheComputed(t *testing.T) {
	e := cleanRecord()
	e.Engines[0].Ledger.WastedTokens = 45
	assert.Equal(t, Evaluate(e).WastedPrefill, 0.25)
}
