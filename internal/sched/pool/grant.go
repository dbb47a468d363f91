package pool

import (
	"sync"

	"carawayrouter.example/router/internal/sched"
)

// Reporter receives the progress of a grant from its holder.
type Reporter interface {
	PrefillDone(key Key, o sched.Outcome)
	FirstToken(key Key)
	Release(key Key, o sched.Outcome)
}

// NewGrant returns a Grant for a decision. It makes each report to r at most once, and
// none after Release.
func NewGrant(dec Decision, r Reporter) *sched.Grant {
	var mu sync.Mutex
	var prefilled, first, released bool
	once := func(done *bool) bool {
		mu.Lock()
		defer mu.Unlock()
		if *done || released {
			return false
		}
		*done = true
		return true
	}
	return &sched.Grant{
		Prefill: dec.Prefill,
		Decode:  dec.Decode,
		PrefillDone: func(o sched.Outcome) {
			if once(&prefilled) {
				r.PrefillDone(dec.Key, o)
			}
		},
		FirstToken: func() {
			if once(&first) {
				r.FirstToken(dec.Key)
			}
		},
		Release: func(o sched.Outcome) {
			if once(&released) {
				r.Release(dec.Key, o)
			}
		},
	}
}
