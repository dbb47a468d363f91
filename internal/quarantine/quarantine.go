// Package quarantine finds the parts of prompts on which engines crash. It relates every crash
// to the parts of the requests whose output the engine was about to begin, over all instances,
// and quarantines a part that was in several crashes and in hardly any output that began. The
// package opens no sockets; the current time is an argument.
package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// minCrashes is how many more crashes than begun outputs quarantine a part. One request
	// and its retry can take two engines with them, together with a second request that is
	// not the cause.
	minCrashes = 3
	// memory is how long crashes and begun outputs count.
	memory = time.Minute
	// ttl is how long a part stays in quarantine. Finding out whether it still crashes engines
	// costs some of them.
	ttl = 24 * time.Hour
	// crashWindow is how long reports of one engine's failure belong to the same crash. A
	// crashed engine takes some seconds to restart.
	crashWindow = time.Second

	// Bounds of the evidence; a report with all of it fits in a datagram.
	maxCrashes     = 16   // the oldest is dropped
	maxCrashParts  = 32   // of all requests that a crash affected
	maxParts       = 12   // of a request
	maxQuarantined = 64   // the one that expires first is dropped
	maxBegun       = 4096 // parts whose begun outputs are counted in a period
)

// Crash is the crash of an engine, with the parts of the requests whose output it was about
// to begin.
type Crash struct {
	Engine string
	At     time.Time
	Parts  []string
}

// Report is what an instance tells the others.
type Report struct {
	Crashes     []Crash        // observed by the instance itself
	Begun       map[string]int // outputs begun at the instance, for the parts of known crashes
	Quarantined map[string]time.Time
}

// Tracker holds the evidence and the quarantined parts. It is not safe for concurrent use.
type Tracker struct {
	own         []Crash
	crashes     []Crash // of all instances, merged by engine
	begun       [2]map[string]int
	periodStart time.Time
	peerBegun   map[string]map[string]int // by instance
	quarantined map[string]time.Time      // end of the quarantine
}

// New returns a Tracker without evidence.
func New() *Tracker {
	return &Tracker{
		begun:       [2]map[string]int{{}, {}},
		peerBegun:   map[string]map[string]int{},
		quarantined: map[string]time.Time{},
	}
}

// Begun records that an engine has begun the output of a request with the given parts and has
// not crashed.
func (t *Tracker) Begun(now time.Time, parts []string) {
	t.rotate(now)
	for _, part := range limited(parts) {
		if n, ok := t.begun[0][part]; ok || len(t.begun[0]) < maxBegun {
			t.begun[0][part] = n + 1
		}
	}
}

// rotate starts a new period of begun outputs when the present one is over.
func (t *Tracker) rotate(now time.Time) {
	if now.Sub(t.periodStart) > memory {
		t.begun[0], t.begun[1], t.periodStart = map[string]int{}, t.begun[0], now
	}
}

// Crashed records that an engine crashed as it was about to begin the output of a request with
// the given parts. It returns the parts that are quarantined because of it.
func (t *Tracker) Crashed(now time.Time, engine string, parts []string) []string {
	c := Crash{Engine: engine, At: now, Parts: slices.Clone(limited(parts))}
	t.own = insert(t.own, c)
	t.crashes = insert(t.crashes, c)
	return t.evaluate(now)
}

// Merge applies the report of another instance. It returns the parts that are quarantined
// because of it.
func (t *Tracker) Merge(now time.Time, instance string, r Report) []string {
	for _, c := range r.Crashes {
		c.Parts = limited(c.Parts)
		t.crashes = insert(t.crashes, c)
	}
	if len(r.Begun) > 0 {
		t.peerBegun[instance] = r.Begun
	} else {
		delete(t.peerBegun, instance)
	}
	var added []string
	for part, until := range r.Quarantined {
		if t.add(now, part, until) {
			added = append(added, part)
		}
	}
	return append(added, t.evaluate(now)...)
}

// Forget drops what another instance reported of its begun outputs.
func (t *Tracker) Forget(instance string) { delete(t.peerBegun, instance) }

// insert adds a crash to a list, or its parts to those of the same crash.
func insert(list []Crash, c Crash) []Crash {
	for i := range list {
		if list[i].Engine != c.Engine || list[i].At.Sub(c.At).Abs() > crashWindow {
			continue
		}
		for _, part := range c.Parts {
			if len(list[i].Parts) < maxCrashParts && !slices.Contains(list[i].Parts, part) {
				list[i].Parts = append(slices.Clip(list[i].Parts), part)
			}
		}
		return list
	}
	if list = append(list, c); len(list) > maxCrashes {
		list = list[1:]
	}
	return list
}

// expire drops what is too old to count.
func (t *Tracker) expire(now time.Time) {
	old := func(c Crash) bool { return now.Sub(c.At) > memory }
	t.own = slices.DeleteFunc(t.own, old)
	t.crashes = slices.DeleteFunc(t.crashes, old)
	t.rotate(now)
}

// evaluate quarantines the parts with enough evidence and returns them.
func (t *Tracker) evaluate(now time.Time) []string {
	t.expire(now)
	var added []string
	for {
		best, found := "", false
		evidence := t.evidence()
		for part, e := range evidence {
			if e.net() >= minCrashes && (!found || e.stronger(evidence[best])) {
				best, found = part, true
			}
		}
		if !found || !t.add(now, best, now.Add(ttl)) {
			return added
		}
		added = append(added, best)
	}
}

// evidence is what speaks for and against a part.
type evidence struct {
	crashes  int // that no quarantined part explains
	begun    int // outputs
	position int // largest one in a prompt, from 0
}

func (e evidence) net() int { return e.crashes - e.begun }

// stronger reports whether e's part is more likely the cause than other's. Of parts that always
// came together the later one is: fewer requests share it.
func (e evidence) stronger(other evidence) bool {
	return cmp.Or(cmp.Compare(e.net(), other.net()), cmp.Compare(other.begun, e.begun), cmp.Compare(e.position, other.position)) > 0
}

// evidence returns the evidence of the parts of recent crashes. Crashes that a quarantined part
// explains count for no other part.
func (t *Tracker) evidence() map[string]evidence {
	out := map[string]evidence{}
	for _, c := range t.crashes {
		if slices.ContainsFunc(c.Parts, t.isQuarantined) {
			continue
		}
		for i, part := range c.Parts {
			e := out[part]
			e.crashes, e.position = e.crashes+1, max(e.position, i)
			out[part] = e
		}
	}
	for part, e := range out {
		e.begun = t.begunOutputs(part)
		out[part] = e
	}
	return out
}

// begunOutputs returns the outputs with the part that have begun lately, at all instances.
func (t *Tracker) begunOutputs(part string) int {
	n := t.begun[0][part] + t.begun[1][part]
	for _, begun := range t.peerBegun {
		n += begun[part]
	}
	return n
}

// add quarantines a part until the given time and reports whether it was not quarantined yet.
func (t *Tracker) add(now time.Time, part string, until time.Time) bool {
	old, known := t.quarantined[part]
	if !until.After(now) || (known && !until.After(old)) {
		return false
	}
	t.quarantined[part] = until
	if len(t.quarantined) > maxQuarantined {
		first := part
		for p, end := range t.quarantined {
			if end.Before(t.quarantined[first]) {
				first = p
			}
		}
		delete(t.quarantined, first)
	}
	return !known
}

// Restore quarantines a part that was quarantined before this instance started.
func (t *Tracker) Restore(now time.Time, part string, until time.Time) {
	t.add(now, part, earlier(until, now.Add(ttl)))
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func (t *Tracker) isQuarantined(part string) bool {
	_, ok := t.quarantined[part]
	return ok
}

// Len returns the number of quarantined parts.
func (t *Tracker) Len() int { return len(t.quarantined) }

// Refuses returns the first quarantined part and the time until its quarantine ends.
func (t *Tracker) Refuses(now time.Time, parts []string) (part string, left time.Duration, refused bool) {
	for _, part := range limited(parts) {
		if until, ok := t.quarantined[part]; ok && now.Before(until) {
			return part, until.Sub(now), true
		}
	}
	return "", 0, false
}

// Suspected reports whether one of the parts was in more crashes than begun outputs, and in
// more than one crash, so that another attempt is likely to crash another engine.
func (t *Tracker) Suspected(now time.Time, parts []string) bool {
	t.expire(now)
	evidence := t.evidence()
	for _, part := range limited(parts) {
		if evidence[part].net() > 1 {
			return true
		}
	}
	return false
}

// Expired removes and returns the parts whose quarantine has ended.
func (t *Tracker) Expired(now time.Time) []string {
	var out []string
	maps.DeleteFunc(t.quarantined, func(part string, until time.Time) bool {
		if now.Before(until) {
			return false
		}
		out = append(out, part)
		return true
	})
	return out
}

// Report returns what this instance tells the others.
func (t *Tracker) Report(now time.Time) Report {
	t.expire(now)
	r := Report{Crashes: slices.Clone(t.own), Begun: map[string]int{}, Quarantined: maps.Clone(t.quarantined)}
	for _, c := range t.crashes {
		for _, part := range c.Parts {
			if n := t.begun[0][part] + t.begun[1][part]; n > 0 {
				r.Begun[part] = n
			}
		}
	}
	return r
}

func limited(parts []string) []string { return parts[:min(len(parts), maxParts)] }
