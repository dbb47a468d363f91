// Package endpointload keeps what an endpoint can do now: how many requests run and wait there and how long work takes
// there, as the endpoint says in responses to this and the other instances. It opens no sockets; the current time
// is an argument. docs/design/endpoint-load.md explains it.
package endpointload

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// HalfLife is the age at which a report counts half: the time between two updates of an instance, so that
	// what was heard since its last one counts more than what was known before.
	HalfLife = 400 * time.Millisecond
	// meanMemory is the time constant of the mean of an endpoint's reports; some updates of all instances. It tells
	// an endpoint that is slow all the time from one that is slow now and then.
	meanMemory = 2 * time.Second
	// leastHeard is the weight of all reports of a pool, in fresh ones, below which they say nothing of the pool now.
	leastHeard = 0.05
	// usualPace is that of an endpoint of which nothing is known.
	usualPace = 1.0
	// retryAge is the age from which a report no longer proves that an endpoint is slow. One that gets no requests because
	// it was slow could not show that it no longer is.
	retryAge = 2 * time.Second
	// maxUntold is the age from which a report is not told to the others: it would count too little there.
	maxUntold = 2 * HalfLife
)

// Source is how an instance has come to know a report.
type Source uint8

// The sources of reports.
const (
	OwnResponse   Source = iota // response to a request of this instance
	OwnHealth                   // answer to a health check of this instance
	OtherInstance               // update of another instance
)

// Sources are all sources.
var Sources = []Source{OwnResponse, OwnHealth, OtherInstance}

func (s Source) String() string {
	switch s {
	case OwnResponse:
		return "response"
	case OwnHealth:
		return "health"
	}
	return "instance"
}

// Report is what an endpoint has said of itself in one response.
type Report struct {
	Running int           // requests, without the answered one if its work has ended
	Waiting int           // requests
	Slots   int           // 0 if the endpoint has not said it, but an instance has measured its pace
	Pace    float64       // how long work takes there, as a multiple of the usual time; 0 if it was not told
	ColdFor time.Duration // for which the endpoint stays cold; 0 if it is not, or was not told
	At      time.Time     // of the response
	Source  Source
}

// busy returns the requests for each slot.
func (r Report) busy() float64 { return float64(r.Running+r.Waiting) / float64(max(1, r.Slots)) }

// Level is how loaded and how slow an endpoint is expected to be.
type Level struct {
	Pace float64 // multiple of the usual time
	Busy float64 // running and waiting requests for each slot
}

// Record is what is known of one incarnation of an endpoint. The zero value knows nothing. It is not safe for
// concurrent use.
type Record struct {
	latest Report // zero if there is none
	own    Report // the latest of this instance
	mean   Level  // of the reports, moving
	told   Report // the last one that was told to the other instances
	untold bool   // own has not been told
}

// Observe takes in a report and reports whether it is the newest.
func (r *Record) Observe(report Report) (newest bool) {
	if report.Pace == 0 {
		report.Pace = r.latest.Pace // of the same process: a response without the figure does not take it back
	}
	if report.Source != OtherInstance && !report.At.Before(r.own.At) {
		r.own, r.untold = report, true
	}
	if !r.latest.At.IsZero() && !report.At.After(r.latest.At) {
		return false
	}
	level := Level{Pace: report.Pace, Busy: report.busy()}
	if r.latest.At.IsZero() {
		r.mean = level
	} else {
		keep := decay(report.At.Sub(r.latest.At), meanMemory)
		r.mean = Level{Pace: mix(keep, r.mean.Pace, level.Pace), Busy: mix(keep, r.mean.Busy, level.Busy)}
	}
	r.latest = report
	return true
}

// TellsPace reports whether the endpoint says how long work takes there.
func (r *Record) TellsPace() bool { return r.latest.Pace > 0 }

// IsMeasured reports whether the endpoint does not say itself how long work takes there.
func (r *Record) IsMeasured() bool { return r.latest.Slots == 0 }

// Latest returns the newest report; its time is zero if there is none.
func (r *Record) Latest() Report { return r.latest }

// Own returns the newest report of this instance; its time is zero if there is none.
func (r *Record) Own() Report { return r.own }

// weight returns how much the newest report counts.
func (r *Record) weight(now time.Time) float64 {
	if r.latest.At.IsZero() {
		return 0
	}
	return math.Exp2(-max(0, float64(now.Sub(r.latest.At))/float64(HalfLife)))
}

// Expect returns what the endpoint is expected to be like: the newest report as far as it is fresh, then the mean of
// its reports, then the level of its pool. It answers pace that changes many times a second, of which a report
// says little about the next request, and endpoints and instances that fall silent: what is old says neither that an
// endpoint is free nor that it is slow for ever.
func (r *Record) Expect(now time.Time, pool Level) Level { return r.ExpectFor(now, 0, pool) }

// ExpectFor returns what the endpoint is expected to be like on average while work goes on for that long. It answers
// work that lasts many times as long as a report holds: an endpoint that is slow for a moment is not slow for all of it.
func (r *Record) ExpectFor(now time.Time, lasts time.Duration, pool Level) Level {
	w := r.weight(now)
	untried := min(pool.Pace, usualPace) // an endpoint that nobody asks cannot show what it is like
	if w == 0 {
		return Level{Pace: untried, Busy: pool.Busy}
	}
	if x := math.Ln2 * float64(lasts) / float64(HalfLife); x > 0 {
		w *= (1 - math.Exp(-x)) / x
	}
	age := now.Sub(r.latest.At)
	m := decay(age, meanMemory)
	l := Level{Busy: mix(w, r.latest.busy(), mix(m, r.mean.Busy, pool.Busy)), Pace: untried}
	if r.TellsPace() {
		l.Pace = mix(w, r.latest.Pace, mix(m, r.mean.Pace, pool.Pace))
		if age > retryAge {
			l.Pace = min(l.Pace, untried)
		}
	}
	return l
}

// PoolMean collects the level of a pool from the records of its endpoints, each by the age of its report.
type PoolMean struct {
	pace, busy, paceWeight, busyWeight float64
}

// Add adds an endpoint.
func (p *PoolMean) Add(now time.Time, r *Record) {
	w := r.weight(now)
	if w == 0 {
		return
	}
	if r.latest.Slots > 0 {
		p.busy += w * r.latest.busy()
		p.busyWeight += w
	}
	if r.TellsPace() {
		p.pace += w * r.latest.Pace
		p.paceWeight += w
	}
}

// Level returns the pool's level, the usual pace and no requests if none of its endpoints has been heard lately.
func (p *PoolMean) Level() Level {
	l := Level{Pace: usualPace}
	if p.paceWeight >= leastHeard {
		l.Pace = p.pace / p.paceWeight
	}
	if p.busyWeight >= leastHeard {
		l.Busy = p.busy / p.busyWeight
	}
	return l
}

// Untold is a record with a report that the other instances have not been told of.
type Untold struct {
	Endpoint    string
	Incarnation int64
	Record      *Record

	difference float64
}

// HasUntold reports whether the instance has heard a report that the others have not been told of and that is still
// worth it.
func (r *Record) HasUntold(now time.Time) bool { return r.untold && now.Sub(r.own.At) <= maxUntold }

// difference returns how much the untold report differs from what the others were told: the change of pace and of
// the requests for each slot. What was told counts less with its age, as it does there.
func (r *Record) difference(now time.Time) float64 {
	if r.told.At.IsZero() {
		return math.Inf(1)
	}
	fresh := decay(now.Sub(r.told.At), meanMemory)
	return math.Abs(r.own.Pace-r.told.Pace) + math.Abs(r.own.busy()-r.told.busy()) + 1 - fresh
}

// Tell chooses the reports to tell the other instances of, at most that many: those that differ most from what was last
// told, then the newest. It bounds the bytes of an update whatever the number of endpoints; the others' turn comes with the
// next update.
func Tell(now time.Time, untold []Untold, most int) []Untold {
	for i := range untold {
		untold[i].difference = untold[i].Record.difference(now)
	}
	slices.SortFunc(untold, func(a, b Untold) int {
		return cmp.Or(cmp.Compare(b.difference, a.difference), b.Record.own.At.Compare(a.Record.own.At), cmp.Compare(a.Endpoint, b.Endpoint))
	})
	untold = untold[:min(most, len(untold))]
	for _, u := range untold {
		u.Record.told, u.Record.untold = u.Record.own, false
	}
	return untold
}

// decay returns what is left after an age, as a fraction.
func decay(age, constant time.Duration) float64 {
	return math.Exp(-max(0, float64(age)/float64(constant)))
}

// mix returns a with weight w and b with the rest.
func mix(w, a, b float64) float64 { return w*a + (1-w)*b }
