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

// Bounds on the time for a change to take effect.
const (
	leavingBound    = 5 * time.Second
	withdrawalBound = 5 * time.Second
)

// The engine ledger's stages that count as work or its start.
const (
	stagePrefill = "prefill"
	stageImport  = "import"
	stageDecode  = "decode"
)

// maxMessages limits the number of violations that are reported individually.
const maxMessages = 50

// Messages is a bounded list of messages about violations or failed requests.
type Messages []string

func (n *Messages) add(format string, args ...any) {
	if len(*n) < maxMessages {
		*n = append(*n, fmt.Sprintf(format, args...))
	}
}

// checkAnswers counts completions whose response was wholly or partly duplicated, and
// completions whose response was wrong, or incomplete without an error.
func (e *ExperimentRecord) checkAnswers(n *Messages) (duplicate, incomplete int) {
	for i := range e.Requests {
		q := &e.Requests[i]
		if q.Kind != workload.Completion {
			continue
		}
		want := e.expectedText(q)
		switch {
		case q.DoneCount > 1, len(q.Text) > len(want) && strings.HasPrefix(q.Text, want):
			duplicate++
			n.add("duplicate response: request %s of %s at %s: %d [DONE] events, %d of %d tokens", q.ID, q.Account, q.Instance, q.DoneCount, q.Tokens, q.ExpectedTokens)
		case q.Outcome == Answered && q.Text != want:
			incomplete++
			n.add("incomplete response: request %s of %s at %s: %d of %d tokens", q.ID, q.Account, q.Instance, q.Tokens, q.ExpectedTokens)
		case !strings.HasPrefix(want, q.Text):
			incomplete++
			n.add("wrong response: request %s of %s at %s (%s): %d of %d tokens", q.ID, q.Account, q.Instance, q.Outcome, q.Tokens, q.ExpectedTokens)
		case q.Outcome == Interrupted && q.Tokens > 0 && !e.instanceStopped(q):
			incomplete++
			n.add("response truncated without an error event: request %s of %s at %s: %d of %d tokens: %s", q.ID, q.Account, q.Instance, q.Tokens, q.ExpectedTokens, q.Error)
		}
	}
	return duplicate, incomplete
}

// instanceStopped reports whether the request's instance was killed while the request
// ran, or was draining when it ended.
func (e *ExperimentRecord) instanceStopped(q *Request) bool {
	if start, ok := e.Drained[q.Instance]; ok && q.End.After(start) {
		return true
	}
	return e.instanceKilled(q)
}

func (e *ExperimentRecord) instanceKilled(q *Request) bool {
	for _, at := range e.Killed[q.Instance] {
		if !q.Sent.After(at) && !q.End.Before(at) {
			return true
		}
	}
	return false
}

// countCutRequests counts requests that were interrupted by an instance's graceful
// shutdown.
func (e *ExperimentRecord) countCutRequests(n *Messages) int {
	count := 0
	for i := range e.Requests {
		q := &e.Requests[i]
		start, drained := e.Drained[q.Instance]
		if q.Outcome != Interrupted || !drained || q.End.Before(start) || e.instanceKilled(q) {
			continue
		}
		count++
		n.add("request cut by a drain: %s of %s at %s, sent %s after the drain started: %s", q.ID, q.Account, q.Instance, q.Sent.Sub(start), q.Error)
	}
	return count
}

// firstWorkTimes returns the time of each request's first prefill or decode call at an
// engine.
func (e *ExperimentRecord) firstWorkTimes() map[string]time.Time {
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

// runCounts returns how often each operation or call ran, summed over all services.
func (e *ExperimentRecord) runCounts() map[string]int {
	all := map[string]int{}
	for i := range e.Services {
		for key, n := range e.Services[i].Ledger.Runs {
			all[key] += n
		}
	}
	return all
}

// countFalseNotRun counts requests that the router reported as not_run although they ran.
func (e *ExperimentRecord) countFalseNotRun(n *Messages) int {
	work, runs := e.firstWorkTimes(), e.runCounts()
	claims := map[string]bool{} // whether every copy of the operation was reported as not run
	count := 0
	for i := range e.Requests {
		q := &e.Requests[i]
		notRun := q.Outcome == Refused && q.Execution == errkind.NotRun
		if q.IdempotencyKey != "" {
			before, seen := claims[q.IdempotencyKey]
			claims[q.IdempotencyKey] = notRun && (before || !seen)
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

// countRunTwice counts operations that ran more than once.
func (e *ExperimentRecord) countRunTwice(n *Messages) int {
	runs := e.runCounts()
	count := 0
	seen := map[string]bool{}
	for i := range e.Requests {
		key := e.Requests[i].IdempotencyKey
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

// countKeyLeaks counts client credentials that were forwarded to endpoints.
func (e *ExperimentRecord) countKeyLeaks(n *Messages) int {
	count := 0
	for i := range e.Engines {
		count += len(e.Engines[i].Ledger.Leaks)
	}
	for i := range e.Services {
		count += len(e.Services[i].Ledger.Leaks)
	}
	if count > 0 {
		n.add("%d credentials were forwarded to endpoints", count)
	}
	return count
}

// countHeldRequests counts requests whose memory engines still hold after the drain.
func (e *ExperimentRecord) countHeldRequests(n *Messages) int {
	count := 0
	for i := range e.Engines {
		g := &e.Engines[i]
		for _, r := range g.Running {
			n.add("held after the drain: %s at %s in stage %s", r.ID, g.Name, r.Stage)
		}
		c := len(g.Running)
		if c == 0 && g.Pieces > 0 {
			c = 1
			n.add("%s holds %d KV pieces that belong to no request", g.Name, g.Pieces)
		}
		count += c
	}
	return count
}

// countLateWork counts new work that leaving endpoints received after leavingBound.
func (e *ExperimentRecord) countLateWork(n *Messages) int {
	count := 0
	for i := range e.Engines {
		g := &e.Engines[i]
		left, ok := e.Leaving[g.Name]
		if !ok {
			continue
		}
		for _, s := range g.Ledger.Calls {
			if (s.Stage == stagePrefill || s.Stage == stageImport) && s.At.Sub(left) > leavingBound {
				count++
				n.add("new work for a leaving endpoint: %s of %s at %s, %s after its ticket", s.Stage, s.ID, g.Name, s.At.Sub(left))
			}
		}
	}
	return count
}

// countWithdrawnServed counts requests that were answered although their key was
// withdrawn more than withdrawalBound earlier.
func (e *ExperimentRecord) countWithdrawnServed(n *Messages) int {
	count := 0
	for i := range e.Requests {
		q := &e.Requests[i]
		at, ok := e.Withdrawn[q.Account]
		if ok && q.OldKey && q.Outcome == Answered && q.Sent.Sub(at) > withdrawalBound {
			count++
			n.add("withdrawn key served: %s of %s at %s, %s after its ticket", q.ID, q.Account, q.Instance, q.Sent.Sub(at))
		}
	}
	return count
}

// instanceRun identifies a ticket and the process run of an instance that is probed for
// it.
type instanceRun struct {
	ticket   uint64
	instance string
	run      int // number of restarts before the probe
}

// probedRun returns the run that a probe checked, and the time from which the ticket's
// delay is measured: its acceptance or the start of that run, whichever is later.
func (e *ExperimentRecord) probedRun(p *Probe) (instanceRun, time.Time) {
	k, since := instanceRun{p.Ticket, p.Instance, 0}, e.Accepted[p.Ticket]
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

// checkTickets returns the longest time until a ticket was in force on a probed instance,
// and the number of probes that found a ticket no longer in force.
func (e *ExperimentRecord) checkTickets(n *Messages) (slowest time.Duration, reverted int) {
	probes := append([]Probe(nil), e.Probes...)
	sort.SliceStable(probes, func(i, j int) bool { return probes[i].At.Before(probes[j].At) })
	inForce := map[instanceRun]bool{}
	for i := range probes {
		p := &probes[i]
		k, since := e.probedRun(p)
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

// bucket is a reference token bucket. The caller sets its initial level.
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

// earliestAdmission returns the earliest time from now on at which the bucket holds u
// tokens, or would hold them if its burst were unlimited.
func (b *bucket) earliestAdmission(now time.Time, u float64) time.Time {
	b.advance(now)
	missing := u - b.level
	if missing <= 0 {
		return b.at
	}
	return b.at.Add(time.Duration(missing / b.rate * float64(time.Second)))
}

// excessTokens returns, per account, the maximum number of tokens by which executed
// requests exceeded the account's rate and burst. It computes when a bucket of that rate
// and burst would admit each request, in order of arrival at the engines, and converts the
// lead of the actual arrival over that time to tokens.
func (e *ExperimentRecord) excessTokens(n *Messages) map[string]float64 {
	work := e.firstWorkTimes()
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
			at := b.earliestAdmission(q.Sent, q.usedTokens())
			b.advance(at)
			b.level -= q.usedTokens()
			if lead := at.Sub(work[q.ID]).Seconds() * a.Rate; lead > worst[a.Name] {
				worst[a.Name] = lead
				last = q
			}
		}
		if last != nil && a.exceedsTolerance(worst[a.Name]) {
			n.add("excess: %s ran %.0f tokens ahead of its rate and burst at request %s", a.Name, worst[a.Name], last.ID)
		}
	}
	return worst
}

// excessTolerance is the excess, in seconds at the account's rate, that is attributed to
// the delay between a request's admission and its arrival at the engine.
const excessTolerance = 0.005

func (a *Account) exceedsTolerance(excess float64) bool {
	return excess > math.Max(1, excessTolerance*a.Rate)
}
