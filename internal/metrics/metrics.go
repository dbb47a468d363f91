// Package metrics counts what an instance does, as expvar values. The set of names
// is fixed; nothing is counted per account, key, request or endpoint.
package metrics

import (
	"expvar"
	"strings"

	"carawayrouter.example/router/internal/errkind"
)

// Set holds the counters and gauges of one instance. All are safe for concurrent use.
type Set struct {
	Requests       expvar.Int // requests that reached the filter chain
	Running        expvar.Int // requests inside the filter chain now
	Answered       expvar.Int // whole answers sent
	Tokens         expvar.Int // output tokens relayed
	Attempts       expvar.Int // grants used, retries included
	Retries        expvar.Int // attempts after the first
	RetryExhausted expvar.Int // retries not made for want of retry budget
	StreamResumes  expvar.Int // streams resumed on a new connection
	Prefills       expvar.Int // prefills finished
	PrefillsLost   expvar.Int // prefills finished whose result was not imported
	Cancels        expvar.Int // cancel calls accepted by engines
	CancelsFailed  expvar.Int // cancel calls given up; left to the orphan reaper
	ClientsGone    expvar.Int // requests ended because the caller left
	Refused        map[errkind.Kind]*expvar.Int
}

// New returns a Set at zero.
func New() *Set {
	s := &Set{Refused: map[errkind.Kind]*expvar.Int{}}
	for _, k := range errkind.Kinds() {
		s.Refused[k] = new(expvar.Int)
	}
	return s
}

// Map returns the values under their published names.
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
