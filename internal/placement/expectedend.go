package placement

import (
	"time"

	"carawayrouter.example/router/internal/config"
	"carawayrouter.example/router/internal/endpointload"
)

const (
	// pickPerGroup is how many random endpoints of the own data centre, and of the others, are compared: two keep
	// instances with the same view from choosing the same one, and avoid most that are slow or full.
	pickPerGroup = 2
	// nearlyEqual is the difference of expected ends, as a fraction, that no report tells reliably. Of such the
	// endpoint that comes first in random order is taken, so that none is left out for it all the time.
	nearlyEqual = 0.02
)

// usualTimes are how long the work of a pool takes at the usual pace: moving averages of what this instance has
// measured, each divided by the pace of its endpoint at that time.
type usualTimes struct {
	call         time.Duration // a plain call
	token        time.Duration // an output token
	prefillToken time.Duration // at engines that say their pace when they answer prefills
}

// expectation is what a pool is expected to be like, for one decision.
type expectation struct {
	told  bool               // endpoints of the pool tell their pace; if not, the rest is not set
	level endpointload.Level // of plain endpoints or decode engines
	usual *usualTimes

	prefill endpointload.Level
}

// expect returns what a pool is expected to be like.
func (s *Scheduler) expect(now time.Time, pool string) expectation {
	told := false
	for _, x := range s.pools[pool] {
		if told = x.load.TellsPace(); told {
			break
		}
	}
	if !told {
		return expectation{}
	}
	var mean, prefill endpointload.PoolMean
	for _, x := range s.pools[pool] {
		if x.ep.Role == config.Prefill {
			prefill.Add(now, &x.load)
		} else {
			mean.Add(now, &x.load)
		}
	}
	return expectation{told: true, level: mean.Level(), prefill: prefill.Level(), usual: s.usualOf(pool)}
}

func (s *Scheduler) usualOf(pool string) *usualTimes {
	u := s.usual[pool]
	if u == nil {
		u = &usualTimes{call: defaultCallLatency, token: defaultTokenTime, prefillToken: defaultPrefillTokenTime}
		s.usual[pool] = u
	}
	return u
}

// observeUsual takes in a measurement at an endpoint whose pace is told.
func (s *Scheduler) observeUsual(now time.Time, x *endpointState, of func(*usualTimes) *time.Duration, sample time.Duration) {
	e := s.expect(now, x.ep.Pool)
	if !e.told {
		return
	}
	t := of(e.usual)
	*t = max(time.Nanosecond, movingAverage(*t, time.Duration(float64(sample)/e.paceOf(now, x))))
}

// observePrefill takes in how long a prefill has taken for each token. Where the pool's decode engines tell their pace and
// the prefill engine does not, what was measured is its pace: each instance uses an engine too seldom to know it alone.
func (s *Scheduler) observePrefill(now time.Time, x *endpointState, sample time.Duration) {
	if !x.load.IsMeasured() {
		s.observeUsual(now, x, func(u *usualTimes) *time.Duration { return &u.prefillToken }, sample)
		return
	}
	if s.expect(now, x.ep.Pool).told {
		x.load.Observe(endpointload.Report{Pace: float64(sample) / float64(defaultPrefillTokenTime), At: now, Source: endpointload.OwnResponse})
	}
}

// paceOf returns how long work is expected to take at an endpoint, as a multiple of the usual time.
func (e *expectation) paceOf(now time.Time, x *endpointState) float64 {
	level := e.level
	if x.ep.Role == config.Prefill {
		level = e.prefill
	}
	return x.load.Expect(now, level).Pace
}

// times returns d as often as n.
func times(d time.Duration, n float64) time.Duration { return time.Duration(float64(d) * n) }

// prefillTokenTimeAt returns how long an engine is expected to take for a prompt token.
func (e *expectation) prefillTokenTimeAt(now time.Time, x *endpointState) time.Duration {
	if !e.told {
		return x.prefillTokenTime
	}
	if x.load.IsMeasured() {
		return times(defaultPrefillTokenTime, e.paceOf(now, x))
	}
	return times(e.usual.prefillToken, e.paceOf(now, x))
}

// tokenTimeAt returns how long an engine is expected to take for an output token, on average over that many.
func (e *expectation) tokenTimeAt(now time.Time, x *endpointState, output int) time.Duration {
	if !e.told {
		return x.tokenTime
	}
	lasts := time.Duration(output) * e.usual.token
	return times(e.usual.token, x.load.ExpectFor(now, lasts, e.level).Pace)
}

// callEnd returns how long a plain call is expected to take at an endpoint until it ends: the requests that the endpoint's
// newest report is expected to mean now, and those that this instance has sent since, go before it.
func (s *Scheduler) callEnd(now time.Time, x *endpointState, e *expectation) time.Duration {
	l := x.load.Expect(now, e.level)
	slots := float64(max(1, x.ep.Slots))
	active := max(l.Busy*slots+float64(min(x.callsSinceReport, x.calls)), float64(x.calls))
	queue := max(0, active+1-slots)
	return times(e.usual.call, l.Pace*(1+queue/slots)) + s.crossDataCentreCost(x, crossDataCentreCall)
}

// chooseCall returns the endpoint for a plain call: the earliest expected end of a few random ones. An endpoint four times
// slower than the others gets the calls that would end later elsewhere.
func (s *Scheduler) chooseCall(now time.Time, d Demand, e *expectation) *endpointState {
	var p pick
	list := s.candidates(now, d)
	s.shuffle(list)
	for _, x := range list {
		if !p.wants(s, x) || s.turn(now, x) != "" {
			continue
		}
		end := times(s.callEnd(now, x, e), x.coldFactor(now))
		if now.Before(x.fullUntil) || x.ejectedByPeer(now) {
			end += 2 * e.usual.call
		}
		p.offer(s, x, float64(end))
	}
	return p.best
}

// pick compares endpoints in random order until it has seen some of the own data centre and of the others. It answers
// instances that see the same endpoint as the best one: each of them compares other ones.
type pick struct {
	seen [2]int // others, own
	best *endpointState
	cost float64
}

// wants reports whether an endpoint would be compared: enough of its group have not been.
func (p *pick) wants(s *Scheduler, x *endpointState) bool { return p.seen[s.groupOf(x)] < pickPerGroup }

// offer takes in an endpoint.
func (p *pick) offer(s *Scheduler, x *endpointState, cost float64) {
	p.seen[s.groupOf(x)]++
	if p.best == nil || cost < p.cost*(1-nearlyEqual) {
		p.best, p.cost = x, cost
	}
}

// groupOf returns 1 for an endpoint of the own data centre, else 0.
func (s *Scheduler) groupOf(x *endpointState) int {
	if x.ep.DataCentre == s.dataCentre {
		return 1
	}
	return 0
}

// engineOrder returns a pool's endpoints in the order in which they are looked at.
func (s *Scheduler) engineOrder(pool string, e *expectation) []*endpointState {
	list := s.rotatedPool(pool)
	if e.told {
		s.shuffle(list)
	}
	return list
}

func (s *Scheduler) shuffle(list []*endpointState) {
	s.rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
}

// Choice is what the choice of an endpoint was made with, for the log.
type Choice struct {
	Told      bool // the pool's endpoints tell their pace
	End       time.Duration
	Pace      float64
	ReportAge time.Duration // negative if there is no report
	Source    endpointload.Source
}

// choiceOf returns what is known of a chosen endpoint.
func (e *expectation) choiceOf(now time.Time, x *endpointState, end time.Duration) Choice {
	if !e.told {
		return Choice{}
	}
	c := Choice{Told: true, End: end, Pace: e.paceOf(now, x), ReportAge: -1}
	if r := x.load.Latest(); !r.At.IsZero() {
		c.ReportAge, c.Source = now.Sub(r.At), r.Source
	}
	return c
}
