package observe

import (
	"fmt"
	"math"
	"sort"
	"strings"
	"time"

	"carawayrouter.example/router/internal/errkind"
	"carawayrouter.example/router/internal/load/workload"
)

// Times after which a change must have taken effect.
const (
	leavingGrace  = 5 * time.Second
	withdrawGrace = 5 * time.Second
)

// The stages of an engine's ledger that are work or its start.
const (
	stagePrefill = "prefill"
	stageImport  = "import"
	stageDecode  = "decode"
)

// maxNotes bounds the violations that are told one by one.
const maxNotes = 50

// Notes are violations in words.
type Notes []string

func (n *Notes) add(format string, args ...any) {
	if len(*n) < maxNotes {
		*n = append(*n, fmt.Sprintf(format, args...))
	}
}

// answers counts completions that were answered twice, in full or in part, and those
// that ended as whole answers without being the whole right one.
func (e *Evidence) answers(n *Notes) (duplicate, incomplete int) {
	for i := range e.Requests {
		q := &e.Requests[i]
		if q.Kind != workload.Completion {
			continue
		}
		want := e.expected(q)
		switch {
		case q.Done > 1, len(q.Text) > len(want) && strings.HasPrefix(q.Text, want):
			duplicate++
			n.add("duplicate answer: request %s of %s at %s: %d ends, %d tokens of %d", q.ID, q.Account, q.Instance, q.Done, q.Tokens, q.Expected)
		case q.Outcome == Answered && q.Text != want:
			incomplete++
			n.add("incomplete answer: request %s of %s at %s: %d tokens of %d", q.ID, q.Account, q.Instance, q.Tokens, q.Expected)
		case !strings.HasPrefix(want, q.Text):
			incomplete++
			n.add("wrong answer: request %s of %s at %s (%s): token %d of %d", q.ID, q.Account, q.Instance, q.Outcome, q.Tokens, q.Expected)
		case q.Outcome == Broken && q.Tokens > 0 && !e.ended(q):
			incomplete++
			n.add("answer cut without an error: request %s of %s at %s: %d tokens of %d: %s", q.ID, q.Account, q.Instance, q.Tokens, q.Expected, q.Error)
		}
	}
	return duplicate, incomplete
}

// ended reports whether the request's instance was killed or drained around its time.
func (e *Evidence) ended(q *Request) bool {
	if start, ok := e.Drained[q.Instance]; ok && q.End.After(start) {
		return true
	}
	return e.killed(q)
}

func (e *Evidence) killed(q *Request) bool {
	for _, at := range e.Killed[q.Instance] {
		if !q.Sent.After(at) && !q.End.Before(at) {
			return true
		}
	}
	return false
}

// cut counts requests that broke at an instance which was shutting down gracefully.
func (e *Evidence) cut(n *Notes) int {
	count := 0
	for i := range e.Requests {
		q := &e.Requests[i]
		start, drained := e.Drained[q.Instance]
		if q.Outcome != Broken || !drained || q.End.Before(start) || e.killed(q) {
			continue
		}
		count++
		n.add("cut request: %s of %s at %s, sent %s after the drain began: %s", q.ID, q.Account, q.Instance, q.Sent.Sub(start), q.Error)
	}
	return count
}

// work returns when each request first arrived at an engine as work.
func (e *Evidence) work() map[string]time.Time {
	first := map[string]time.Time{}
	for i := range e.Engines {
		for _, s := range e.Engines[i].Ledger.Calls {
			if s.Stage != stagePrefill && s.Stage != stageDecode {
				continue
			}
			id := s.ID.String()
			if at, ok := first[id]; !ok || s.At.Before(at) {
				first[id] = s.At
			}
		}
	}
	return first
}

// runs returns how often each operation or call ran at all services together.
func (e *Evidence) runs() map[string]int {
	all := map[string]int{}
	for i := range e.Services {
		for key, n := range e.Services[i].Ledger.Runs {
			all[key] += n
		}
	}
	return all
}

// falseNotRun counts requests that the router called "not run" and that ran.
func (e *Evidence) falseNotRun(n *Notes) int {
	work, runs := e.work(), e.runs()
	claims := map[string]bool{} // operations of which every copy was called not run
	count := 0
	for i := range e.Requests {
		q := &e.Requests[i]
		notRun := q.Outcome == Refused && q.Execution == errkind.NotRun
		if q.Key != "" {
			before, seen := claims[q.Key]
			claims[q.Key] = notRun && (before || !seen)
			continue
		}
		_, worked := work[q.ID]
		if notRun && (q.ID != "" && worked || q.Digest != "" && runs[q.Digest] > 0) {
			count++
			n.add("false not_run: request %s of %s at %s: %s", q.ID, q.Account, q.Instance, q.ErrKind)
		}
	}
	for key, claimed := range claims {
		if claimed && runs[key] > 0 {
			count++
			n.add("false not_run: operation %s ran %d times", key, runs[key])
		}
	}
	return count
}

// runTwice counts operations that ran more than once.
func (e *Evidence) runTwice(n *Notes) int {
	runs := e.runs()
	count := 0
	seen := map[string]bool{}
	for i := range e.Requests {
		key := e.Requests[i].Key
		if key == "" || seen[key] {
			continue
		}
		seen[key] = true
		if runs[key] > 1 {
			count++
			n.add("operation %s ran %d times", key, runs[key])
		}
	}
	return count
}

// leaks counts credentials that reached endpoints.
func (e *Evidence) leaks(n *Notes) int {
	count := 0
	for i := range e.Engines {
		count += len(e.Engines[i].Ledger.Leaks)
	}
	for i := range e.Services {
		count += len(e.Services[i].Ledger.Leaks)
	}
	if count > 0 {
		n.add("%d credentials reached endpoints", count)
	}
	return count
}

// held counts requests that engines still hold memory for after the drain.
func (e *Evidence) held(n *Notes) int {
	count := 0
	for i := range e.Engines {
		g := &e.Engines[i]
		for _, r := range g.Held {
			n.add("held after the drain: %s at %s in stage %s", r.ID, g.Name, r.Stage)
		}
		c := len(g.Held)
		if c == 0 && g.Pieces > 0 {
			c = 1
			n.add("%s holds %d pieces for no request", g.Name, g.Pieces)
		}
		count += c
	}
	return count
}

// lateWork counts new work that leaving endpoints received after their grace.
func (e *Evidence) lateWork(n *Notes) int {
	count := 0
	for i := range e.Engines {
		g := &e.Engines[i]
		left, ok := e.Leaving[g.Name]
		if !ok {
			continue
		}
		for _, s := range g.Ledger.Calls {
			if (s.Stage == stagePrefill || s.Stage == stageImport) && s.At.Sub(left) > leavingGrace {
				count++
				n.add("late work: %s of %s at %s, %s after its ticket", s.Stage, s.ID, g.Name, s.At.Sub(left))
			}
		}
	}
	return count
}

// withdrawnServed counts requests that were answered although their key had been
// withdrawn for longer than the grace.
func (e *Evidence) withdrawnServed(n *Notes) int {
	count := 0
	for i := range e.Requests {
		q := &e.Requests[i]
		at, ok := e.Withdrawn[q.Account]
		if ok && q.OldKey && q.Outcome == Answered && q.Sent.Sub(at) > withdrawGrace {
			count++
			n.add("withdrawn key served: %s of %s at %s, %s after its ticket", q.ID, q.Account, q.Instance, q.Sent.Sub(at))
		}
	}
	return count
}

// place is one run of an instance at which a ticket is looked for.
type place struct {
	ticket   uint64
	instance string
	run      int // counts the instance's starts
}

// place returns where a probe looked, and the moment from which the ticket's way there
// is counted: its acceptance, or the start of the instance's run.
func (e *Evidence) place(p *Probe) (place, time.Time) {
	k, since := place{p.Ticket, p.Instance, 0}, e.Accepted[p.Ticket]
	for _, at := range e.Started[p.Instance] {
		if at.After(p.At) {
			continue
		}
		k.run++
		if at.After(since) {
			since = at
		}
	}
	return k, since
}

// tickets returns the longest time until a ticket was in force at every instance that
// was probed, and how many probes found a ticket gone that had been in force.
func (e *Evidence) tickets(n *Notes) (slowest time.Duration, reverted int) {
	probes := append([]Probe(nil), e.Probes...)
	sort.SliceStable(probes, func(i, j int) bool { return probes[i].At.Before(probes[j].At) })
	inForce := map[place]bool{}
	for i := range probes {
		p := &probes[i]
		k, since := e.place(p)
		took := p.At.Sub(since)
		if inForce[k] && !p.InForce {
			reverted++
			n.add("ticket %d no longer in force at %s, %s after its acceptance", p.Ticket, p.Instance, took)
		}
		if !inForce[k] {
			slowest = max(slowest, took)
		}
		inForce[k] = inForce[k] || p.InForce
	}
	return slowest, reverted
}

// bucket is a reference token bucket, full at first.
type bucket struct {
	rate, burst, level float64
	at                 time.Time
}

func (b *bucket) advance(now time.Time) {
	if !b.at.IsZero() && now.After(b.at) {
		b.level = min(b.burst, b.level+now.Sub(b.at).Seconds()*b.rate)
	}
	if now.After(b.at) {
		b.at = now
	}
}

// earliest returns the first moment from now on at which the bucket holds u tokens, or
// would hold them without its burst's bound.
func (b *bucket) earliest(now time.Time, u float64) time.Time {
	b.advance(now)
	missing := u - b.level
	if missing <= 0 {
		return b.at
	}
	return b.at.Add(time.Duration(missing / b.rate * float64(time.Second)))
}

// excess returns, by account, the most tokens that ran ahead of the account's rate and
// burst: each request that ran is laid where a bucket of that rate and burst would admit
// it, in order of arrival at the engines, and its lead over that is counted.
func (e *Evidence) excess(n *Notes) map[string]float64 {
	work := e.work()
	ran := map[string][]*Request{}
	for i := range e.Requests {
		q := &e.Requests[i]
		if _, ok := work[q.ID]; ok && q.ID != "" {
			ran[q.Account] = append(ran[q.Account], q)
		}
	}
	worst := map[string]float64{}
	for _, a := range e.Accounts {
		list := ran[a.Name]
		sort.SliceStable(list, func(i, j int) bool { return work[list[i].ID].Before(work[list[j].ID]) })
		b := bucket{rate: a.Rate, burst: a.Burst, level: a.Burst}
		var last *Request
		for _, q := range list {
			at := b.earliest(q.Sent, q.charge())
			b.advance(at)
			b.level -= q.charge()
			if lead := at.Sub(work[q.ID]).Seconds() * a.Rate; lead > worst[a.Name] {
				worst[a.Name] = lead
				last = q
			}
		}
		if last != nil && a.tooMuch(worst[a.Name]) {
			n.add("excess: %s ran %.0f tokens ahead of its rate and burst at request %s", a.Name, worst[a.Name], last.ID)
		}
	}
	return worst
}

// excessTolerance is the time at an account's rate within which an excess is put down
// to the way of a request to its engine, seconds.
const excessTolerance = 0.005

func (a *Account) tooMuch(excess float64) bool { return excess > math.Max(1, excessTolerance*a.Rate) }
