// Package quarantine finds the requests and the parts of prompts on which endpoints crash. It
// relates every crash to the requests whose responses the endpoint was about to begin, over all
// instances. A request that comes again, or a part that requests share, is quarantined if it was
// in several crashes and in hardly any response that began. Responses that begin later, at any
// instance, lift the quarantine again.
//
// The requests that a crash affected become known one after the other. Until all of them can be
// known, causes with enough evidence are only held: they are refused, but the evidence is weighed
// again with each request that becomes known. The package opens no sockets; the current time is an
// argument.
package quarantine

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Duration is how long a quarantine lasts unless it is lifted. Finding out whether the cause still
// crashes endpoints costs some of them.
const Duration = 24 * time.Hour

const (
	// minCrashes is how many more crashes than begun responses quarantine a cause. One request
	// and its retry can take two endpoints with them, together with a second request that is
	// not the cause.
	minCrashes = 3
	// maxCrashesOfRequest is how many crashes of the same request count against its parts. More
	// of them say that the request is the cause and not what it shares with others.
	maxCrashesOfRequest = 2
	// memory is how long crashes and begun responses count.
	memory = time.Minute
	ttl    = Duration
	// crashWindow is how long reports of one endpoint's failure belong to the same crash. A
	// crashed endpoint takes some seconds to restart.
	crashWindow = time.Second
	// settleTime is how long after a crash the requests that it affected become known: the time
	// to tell a crash from a lost connection, and that of an update from another instance.
	settleTime = 250 * time.Millisecond
	// abandonedTime is how long a request may work on at an endpoint, and the end of the endpoint
	// stay unnoticed, after nobody waits for the response any more.
	abandonedTime = 2 * time.Second

	// Bounds of the evidence; a report with all of it fits in a datagram with other state.
	maxOwnCrashes    = 12  // the oldest is dropped
	maxCrashes       = 64  // of all instances; the oldest is dropped
	maxCrashRequests = 32  // that a crash affected
	maxCrashParts    = 32  // of all requests that a crash affected
	maxParts         = 12  // of a request
	maxQuarantined   = 64  // the one that expires first is dropped
	maxAbandoned     = 256 // requests; the oldest is dropped
	maxLifted        = 32  // causes whose lifting is remembered; the oldest is dropped
	maxReportedBegun = 128 // causes whose begun responses are reported: those in most crashes
)

// Request is what may make a request crash its endpoint. Both the fingerprint and each part are
// possible causes; they must differ.
type Request struct {
	Fingerprint string   // the same whenever the request comes again
	Parts       []string // of its prompt, that other requests can share, in order
}

// causes returns the possible causes, the most specific one last.
func (r Request) causes() []string {
	return append(slices.Clone(limited(r.Parts)), r.Fingerprint)
}

// Crash is the crash of an endpoint, with the requests whose responses it was about to begin.
type Crash struct {
	Endpoint string
	At       time.Time
	Requests []Request
}

// Report is what an instance tells the others.
type Report struct {
	Crashes     []Crash        // observed by the instance itself
	Begun       map[string]int // responses begun at the instance, for the causes in most crashes
	Quarantined map[string]time.Time
	Lifted      map[string]time.Time // when the quarantine was lifted
}

// watch is what lifts the quarantine of a cause. Its responses are counted apart from the sketch:
// no collision may lift a quarantine in the course of a day.
type watch struct {
	begun   int // responses at this instance, with those of the time before the quarantine
	crashes int // that speak for the quarantine, if known; zero otherwise
	least   int // begun responses, of all instances, that lift it at any rate
}

// Tracker holds the evidence and the quarantined causes. It is not safe for concurrent use.
type Tracker struct {
	own         []Crash
	crashes     []Crash    // of all instances, merged by endpoint
	abandoned   []Crash    // of this instance, each with one request: crashes if the endpoint ends soon
	begun       [2]*sketch // of this period and the one before
	periodStart time.Time
	peerBegun   map[string]map[string]int // by instance
	quarantined map[string]time.Time      // end of the quarantine
	watched     map[string]*watch         // of each quarantined cause
	lifted      map[string]time.Time      // causes whose quarantine was lifted, and when
	justLifted  []string                  // since the last call of Lifted
	held        map[string]bool           // causes that are refused until the crashes are settled
	settlesAt   time.Time                 // of the first crash that is not settled; zero without one
	found       []string                  // quarantined since the last call of Settle
}

// New returns a Tracker without evidence.
func New() *Tracker {
	return &Tracker{
		begun:       [2]*sketch{newSketch(), newSketch()},
		peerBegun:   map[string]map[string]int{},
		quarantined: map[string]time.Time{},
		watched:     map[string]*watch{},
		lifted:      map[string]time.Time{},
	}
}

// Begun records that an endpoint has begun the response to a request and has not crashed.
func (t *Tracker) Begun(now time.Time, r Request) {
	t.rotate(now)
	for _, cause := range r.causes() {
		t.begun[0].add(cause)
		if w := t.watched[cause]; w != nil {
			w.begun++
			t.weighAgain(now, cause, w)
		}
	}
}

// rotate starts a new period of begun responses when the present one is over.
func (t *Tracker) rotate(now time.Time) {
	if now.Sub(t.periodStart) > memory {
		t.begun[0], t.begun[1], t.periodStart = t.begun[1], t.begun[0], now
		t.begun[0].clear()
	}
}

// Crashed records that an endpoint crashed as it was about to begin the response to a request. It
// returns the causes that are refused because of it.
func (t *Tracker) Crashed(now time.Time, endpoint string, r Request) []string {
	c := Crash{Endpoint: endpoint, At: now, Requests: []Request{r}}
	t.addOwn(c)
	t.blameAbandoned(endpoint, now)
	return t.evaluate(now)
}

func (t *Tracker) addOwn(c Crash) {
	t.own = insert(t.own, c, maxOwnCrashes)
	t.crashes = insert(t.crashes, c, maxCrashes)
}

// Abandoned records a request whose response is no longer awaited. The endpoint may still work on
// it.
func (t *Tracker) Abandoned(now time.Time, endpoint string, r Request) {
	t.abandoned = append(t.abandoned, Crash{Endpoint: endpoint, At: now, Requests: []Request{r}})
	if len(t.abandoned) > maxAbandoned {
		t.abandoned = t.abandoned[1:]
	}
}

// Ended records that the process of an endpoint has ended, without a request that was awaited
// there. It returns the causes that are refused because of it.
func (t *Tracker) Ended(now time.Time, endpoint string) []string {
	if !t.blameAbandoned(endpoint, now) {
		return nil
	}
	return t.evaluate(now)
}

// blameAbandoned adds the requests that were abandoned at an endpoint shortly before its crash,
// and reports whether there were any.
func (t *Tracker) blameAbandoned(endpoint string, crashedAt time.Time) (found bool) {
	t.abandoned = slices.DeleteFunc(t.abandoned, func(c Crash) bool {
		before := crashedAt.Sub(c.At)
		if c.Endpoint != endpoint || before > abandonedTime || before < -crashWindow {
			return before > abandonedTime
		}
		found = true
		c.At = crashedAt
		t.addOwn(c)
		return true
	})
	return found
}

// Merge applies the report of another instance. It returns the causes that the instance has
// quarantined, and the others that are refused because of the report.
func (t *Tracker) Merge(now time.Time, instance string, r Report) (learned, refused []string) {
	for _, c := range r.Crashes {
		t.crashes = insert(t.crashes, c, maxCrashes)
		t.blameAbandoned(c.Endpoint, c.At)
	}
	if len(r.Begun) > 0 {
		t.peerBegun[instance] = r.Begun
	} else {
		delete(t.peerBegun, instance)
	}
	for cause, at := range r.Lifted {
		t.learnLifted(cause, earlier(at, now))
	}
	for cause, until := range r.Quarantined {
		if !t.endedBefore(cause, until) && t.add(now, cause, until) {
			learned = append(learned, cause)
		}
	}
	for cause, w := range t.watched {
		t.weighAgain(now, cause, w)
	}
	return learned, t.evaluate(now)
}

// Forget drops what another instance reported of its begun responses.
func (t *Tracker) Forget(instance string) { delete(t.peerBegun, instance) }

// insert adds a crash to a list of bounded length, or its requests to those of the same crash.
func insert(list []Crash, c Crash, bound int) []Crash {
	for i := range list {
		if list[i].Endpoint == c.Endpoint && list[i].At.Sub(c.At).Abs() <= crashWindow {
			list[i].addRequests(c.Requests)
			return list
		}
	}
	added := Crash{Endpoint: c.Endpoint, At: c.At}
	added.addRequests(c.Requests)
	if list = append(list, added); len(list) > bound {
		list = list[1:]
	}
	return list
}

// addRequests adds the requests that the crash does not list yet, within the bounds.
func (c *Crash) addRequests(requests []Request) {
	parts := 0
	for _, r := range c.Requests {
		parts += len(r.Parts)
	}
	for _, r := range requests {
		known := slices.ContainsFunc(c.Requests, func(o Request) bool { return o.Fingerprint == r.Fingerprint })
		if known || len(c.Requests) >= maxCrashRequests {
			continue
		}
		kept := limited(r.Parts)
		kept = slices.Clone(kept[:min(len(kept), maxCrashParts-parts)])
		parts += len(kept)
		c.Requests = append(slices.Clip(c.Requests), Request{Fingerprint: r.Fingerprint, Parts: kept})
	}
}

// expire drops what is too old to count.
func (t *Tracker) expire(now time.Time) {
	old := func(c Crash) bool { return now.Sub(c.At) > memory }
	t.own = slices.DeleteFunc(t.own, old)
	t.crashes = slices.DeleteFunc(t.crashes, old)
	t.rotate(now)
}

// evaluate quarantines the causes with enough evidence in settled crashes and holds those with
// enough evidence in all crashes. It returns the causes that were not refused before.
func (t *Tracker) evaluate(now time.Time) []string {
	t.expire(now)
	settled := make([]Crash, 0, len(t.crashes))
	t.settlesAt = time.Time{}
	for _, c := range t.crashes {
		at := c.At.Add(settleTime)
		if !now.Before(at) {
			settled = append(settled, c)
		} else if t.settlesAt.IsZero() || at.Before(t.settlesAt) {
			t.settlesAt = at
		}
	}
	var refused []string
	for _, cause := range t.explain(settled) {
		if t.add(now, cause, now.Add(ttl)) {
			t.found = append(t.found, cause)
			refused = append(refused, cause)
		}
	}
	before := t.held
	t.held = map[string]bool{}
	if !t.settlesAt.IsZero() {
		for _, cause := range t.explain(t.crashes) {
			t.held[cause] = true
			refused = append(refused, cause)
		}
	}
	return slices.DeleteFunc(refused, func(cause string) bool { return before[cause] })
}

// explain returns the causes that have enough evidence in the crashes, the most likely first.
func (t *Tracker) explain(crashes []Crash) []string {
	var causes []string
	explained := func(cause string) bool { return t.isQuarantined(cause) || slices.Contains(causes, cause) }
	for {
		best, found := "", false
		evidence := t.evidence(crashes, explained)
		for cause, e := range evidence {
			if e.net() >= minCrashes && (!found || e.stronger(evidence[best]) || (!evidence[best].stronger(e) && cause < best)) {
				best, found = cause, true
			}
		}
		if !found || explained(best) {
			return causes
		}
		causes = append(causes, best)
	}
}

// Settle returns the causes that were quarantined since the last call, and the time until it is to
// be called again: until the next crash is settled, or zero.
func (t *Tracker) Settle(now time.Time) (found []string, next time.Duration) {
	t.settle(now)
	found, t.found = t.found, nil
	if !t.settlesAt.IsZero() {
		next = t.settlesAt.Sub(now)
	}
	return found, next
}

// settle weighs the evidence again if a crash has settled meanwhile.
func (t *Tracker) settle(now time.Time) {
	if !t.settlesAt.IsZero() && !now.Before(t.settlesAt) {
		t.evaluate(now)
	}
}

// evidence is what speaks for and against a cause.
type evidence struct {
	crashes     int // that no quarantined cause explains
	begun       int // responses
	specificity int // largest position of a part in a prompt, from 0; that of a fingerprint is larger
}

func (e evidence) net() int { return e.crashes - e.begun }

// stronger reports whether e's cause is more likely than other's. Of causes that always came
// together the more specific one is: fewer requests share it.
func (e evidence) stronger(other evidence) bool {
	return cmp.Or(cmp.Compare(e.net(), other.net()), cmp.Compare(other.begun, e.begun), cmp.Compare(e.specificity, other.specificity)) > 0
}

// evidence returns the evidence of the causes of crashes. Crashes that a known cause explains, if it
// is a part, count for no other cause. Those that a known request explains count for no other
// request, but for the parts of that request: one of them may be why it crashes its endpoints.
func (t *Tracker) evidence(crashes []Crash, explained func(cause string) bool) map[string]evidence {
	out := map[string]evidence{}
	counted := map[string]map[string]int{} // crashes by part and fingerprint
	for _, c := range crashes {
		if slices.ContainsFunc(c.Requests, func(r Request) bool { return slices.ContainsFunc(r.Parts, explained) }) {
			continue
		}
		suspects := slices.DeleteFunc(slices.Clone(c.Requests), func(r Request) bool { return !explained(r.Fingerprint) })
		if len(suspects) == 0 {
			suspects = c.Requests
			for _, r := range suspects {
				if t.liftedSince(r.Fingerprint, c.At) {
					continue
				}
				out[r.Fingerprint] = evidence{crashes: out[r.Fingerprint].crashes + 1, specificity: math.MaxInt}
			}
		}
		for part, position := range partsOf(suspects) {
			if t.liftedSince(part, c.At) {
				continue
			}
			e := out[part]
			if countCrash(counted, part, suspects) {
				e.crashes++
			}
			e.specificity = max(e.specificity, position)
			out[part] = e
		}
	}
	for cause, e := range out {
		e.begun = t.begunResponses(cause)
		out[cause] = e
	}
	return out
}

// partsOf returns the parts of requests with their largest positions.
func partsOf(requests []Request) map[string]int {
	out := map[string]int{}
	for _, r := range requests {
		for position, part := range r.Parts {
			out[part] = max(out[part], position)
		}
	}
	return out
}

// countCrash reports whether a crash of the given requests counts against the part, which is one
// of theirs. Counted holds how many crashes of each request have counted; the request with the
// fewest stands for this one.
func countCrash(counted map[string]map[string]int, part string, requests []Request) bool {
	byRequest := counted[part]
	if byRequest == nil {
		byRequest = map[string]int{}
		counted[part] = byRequest
	}
	least, fewest := "", maxCrashesOfRequest
	for _, r := range requests {
		if n := byRequest[r.Fingerprint]; n < fewest && slices.Contains(r.Parts, part) {
			least, fewest = r.Fingerprint, n
		}
	}
	if fewest == maxCrashesOfRequest {
		return false
	}
	byRequest[least]++
	return true
}

// begunResponses returns the responses to requests with the cause that have begun lately, at all
// instances.
func (t *Tracker) begunResponses(cause string) int {
	n := t.ownBegun(cause)
	for _, begun := range t.peerBegun {
		n += begun[cause]
	}
	return n
}

// ownBegun returns the part of this instance.
func (t *Tracker) ownBegun(cause string) int {
	if w := t.watched[cause]; w != nil {
		return w.begun
	}
	return t.begun[0].count(cause) + t.begun[1].count(cause)
}

// newWatch returns what lifts the quarantine of a cause that begins now. Where its crashes are not
// known, as after a restart, one response that begins from now on does.
func (t *Tracker) newWatch(cause string) *watch {
	w := &watch{begun: t.ownBegun(cause), crashes: t.evidence(t.crashes, t.isQuarantined)[cause].crashes, least: 1}
	if w.crashes < minCrashes {
		w.least = t.begunResponses(cause) + 1
	}
	return w
}

// weighAgain lifts the quarantine of a cause if its crashes no longer outweigh the begun responses:
// if it would not begin with what is known by now.
func (t *Tracker) weighAgain(now time.Time, cause string, w *watch) {
	begun := t.begunResponses(cause)
	enough := func() bool { return begun >= max(w.crashes-minCrashes+1, w.least) }
	if !enough() {
		return
	}
	others := func(other string) bool { return other != cause && t.isQuarantined(other) }
	w.crashes = max(w.crashes, t.evidence(t.crashes, others)[cause].crashes)
	if enough() {
		t.learnLifted(cause, now)
	}
}

// Lift ends the quarantine of a cause, if it began before the given time, and has the other instances
// do so.
func (t *Tracker) Lift(now time.Time, cause string, at time.Time) {
	t.learnLifted(cause, earlier(at, now))
}

// learnLifted ends the quarantine of a cause, if it began before the given time.
func (t *Tracker) learnLifted(cause string, at time.Time) {
	if old, known := t.lifted[cause]; known && !at.After(old) {
		return
	}
	t.lifted[cause] = at
	if len(t.lifted) > maxLifted {
		first := cause
		for other, at := range t.lifted {
			if at.Before(t.lifted[first]) {
				first = other
			}
		}
		delete(t.lifted, first)
	}
	delete(t.held, cause)
	if until, ok := t.quarantined[cause]; ok && t.endedBefore(cause, until) {
		t.remove(cause)
		t.found = slices.DeleteFunc(t.found, func(other string) bool { return other == cause })
		t.justLifted = append(t.justLifted, cause)
	}
}

// endedBefore reports whether the quarantine that lasts until the given time began before it was
// lifted. Instances find the same cause at slightly different times.
func (t *Tracker) endedBefore(cause string, until time.Time) bool {
	at, ok := t.lifted[cause]
	return ok && !until.Add(-ttl).After(at.Add(crashWindow))
}

// liftedSince reports whether a quarantine of the cause was lifted after a crash. Such a crash no
// longer counts, as the responses against it are forgotten in time.
func (t *Tracker) liftedSince(cause string, crashedAt time.Time) bool {
	at, ok := t.lifted[cause]
	return ok && !crashedAt.After(at)
}

// Lifted returns the causes whose quarantine was lifted since the last call.
func (t *Tracker) Lifted() (causes []string) {
	causes, t.justLifted = t.justLifted, nil
	return causes
}

func (t *Tracker) remove(cause string) {
	delete(t.quarantined, cause)
	delete(t.watched, cause)
}

// add quarantines a cause until the given time and reports whether it was not quarantined yet.
func (t *Tracker) add(now time.Time, cause string, until time.Time) bool {
	old, known := t.quarantined[cause]
	if !until.After(now) || (known && !until.After(old)) {
		return false
	}
	if !known {
		t.watched[cause] = t.newWatch(cause)
	}
	t.quarantined[cause] = until
	if len(t.quarantined) > maxQuarantined {
		first := cause
		for other, end := range t.quarantined {
			if end.Before(t.quarantined[first]) {
				first = other
			}
		}
		t.remove(first)
	}
	return !known
}

// Restore quarantines a cause that was quarantined before this instance started.
func (t *Tracker) Restore(now time.Time, cause string, until time.Time) {
	if until = earlier(until, now.Add(ttl)); !t.endedBefore(cause, until) {
		t.add(now, cause, until)
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func (t *Tracker) isQuarantined(cause string) bool {
	_, ok := t.quarantined[cause]
	return ok
}

func (t *Tracker) isRefused(cause string) bool { return t.isQuarantined(cause) || t.held[cause] }

// Len returns the number of quarantined causes.
func (t *Tracker) Len() int { return len(t.quarantined) }

// Refuses returns the first quarantined or held cause of the request and the time until its
// quarantine ends or its evidence is weighed again.
func (t *Tracker) Refuses(now time.Time, r Request) (cause string, left time.Duration, refused bool) {
	t.settle(now)
	if len(t.quarantined)+len(t.held) == 0 {
		return "", 0, false
	}
	for _, cause := range r.causes() {
		if until, ok := t.quarantined[cause]; ok && now.Before(until) {
			return cause, until.Sub(now), true
		}
		if t.held[cause] {
			return cause, t.settlesAt.Sub(now), true
		}
	}
	return "", 0, false
}

// Suspected reports whether one of the request's causes was in more crashes than begun responses,
// and in more than one crash, so that another attempt is likely to crash another endpoint.
func (t *Tracker) Suspected(now time.Time, r Request) bool {
	t.expire(now)
	t.settle(now)
	evidence := t.evidence(t.crashes, t.isRefused)
	return slices.ContainsFunc(r.causes(), func(cause string) bool { return evidence[cause].net() > 1 })
}

// Expired removes and returns the causes whose quarantine has ended.
func (t *Tracker) Expired(now time.Time) []string {
	var out []string
	maps.DeleteFunc(t.lifted, func(_ string, at time.Time) bool { return now.Sub(at) > ttl+crashWindow })
	maps.DeleteFunc(t.quarantined, func(cause string, until time.Time) bool {
		if now.Before(until) {
			return false
		}
		out = append(out, cause)
		delete(t.watched, cause)
		return true
	})
	return out
}

// Report returns what this instance tells the others.
func (t *Tracker) Report(now time.Time) Report {
	t.expire(now)
	t.settle(now)
	r := Report{Crashes: slices.Clone(t.own), Begun: map[string]int{}, Quarantined: maps.Clone(t.quarantined), Lifted: maps.Clone(t.lifted)}
	// Responses of quarantined causes are reported too: they lift the quarantine elsewhere.
	evidence := t.evidence(t.crashes, func(string) bool { return false })
	byCrashes := slices.SortedFunc(maps.Keys(evidence), func(a, b string) int {
		return cmp.Or(cmp.Compare(evidence[b].crashes, evidence[a].crashes), cmp.Compare(a, b))
	})
	for _, cause := range byCrashes {
		if n := t.ownBegun(cause); n > 0 && len(r.Begun) < maxReportedBegun {
			r.Begun[cause] = n
		}
	}
	return r
}

func limited(parts []string) []string { return parts[:min(len(parts), maxParts)] }
