// Package metrics holds an instance's counters and gauges as expvar values. The set of
// names is fixed: no metric is labelled by account, key, request or endpoint.
package metrics

import (
	"expvar"
	"strings"

	"carawayrouter.example/router/internal/errkind"
)

// Set holds the counters and gauges of one instance. All are safe for concurrent use.
type Set struct {
	Requests       expvar.Int // requests that reached the filter chain
	Running        expvar.Int // requests currently in the filter chain
	Answered       expvar.Int // complete responses sent
	Tokens         expvar.Int // output tokens relayed
	Attempts       expvar.Int // scheduling grants used, including retries
	Retries        expvar.Int // attempts after the first
	RetryExhausted expvar.Int // retries skipped because the retry budget was exhausted
	StreamResumes  expvar.Int // streams resumed on a new connection
	Prefills       expvar.Int // prefills finished
	PrefillsLost   expvar.Int // finished prefills whose result was never imported
	Cancels        expvar.Int // cancel calls accepted by engines
	CancelsFailed  expvar.Int // abandoned cancel calls; the orphan reaper frees the work
	ClientsGone    expvar.Int // requests ended because the caller disconnected
	Refused        map[errkind.Kind]*expvar.Int
}

// New returns a Set with all values at zero.
func New() *Set {
	s := &Set{Refused: map[errkind.Kind]*expvar.Int{}}
	for _, k := range errkind.Kinds() {
		s.Refused[k] = new(expvar.Int)
	}
	return s
}

// Map returns the values by their published names.
func (s *Set) Map() *expvar.Map {
	m := new(expvar.Map)
	for name, v := range map[string]*expvar.Int{
		"requests_total":        &s.Requests,
		"requests_running":      &s.Running,
		"answers_total":         &s.Answered,
		"output_tokens_total":   &s.Tokens,
		"attempts_total":        &s.Attempts,
		"retries_total":         &s.Retries,
		"retry_exhausted_total": &s.RetryExhausted,
		"stream_resumes_total":  &s.StreamResumes,
		"prefills_total":        &s.Prefills,
		"prefills_lost_total":   &s.PrefillsLost,
		"cancels_total":         &s.Cancels,
		"cancels_failed_total":  &s.CancelsFailed,
		"clients_gone_total":    &s.ClientsGone,
	} {
		m.Set(name, v)
	}
	for k, v := range s.Refused {
		m.Set("refused_"+strings.ToLower(string(k))+"_total", v)
	}
	return m
}
