package placement

import (
	"time"

	"carawayrouter.example/router/internal/config"
	"carawayrouter.example/router/internal/scarcity"
)

// outlookInterval is between two predictions for those that wait: about as often as instances report their waiters.
const outlookInterval = 50 * time.Millisecond

// Forecast is when a waiter is predicted to start, and what that was worked out from.
type Forecast struct {
	Wait    time.Duration // scarcity.Never if no room is expected
	Known   bool          // there are usable engines
	Ahead   int           // waiters before it, of all instances
	Engines int           // decode engines that were looked at
	Taken   float64       // part of the room that requests yet to come take first
	Free    int           // tokens of their memory that are free now, in whole places
	Oldest  time.Duration // age of the oldest report of another instance that counted
}

// generationTokens returns the memory that a generation uses on average over its time.
func generationTokens(prompt, output int) float64 { return float64(prompt) + float64(output)/2 }

// need returns what a waiter takes, at engines with the given time for an output token.
func (d Demand) need(tokenTime time.Duration) scarcity.Need {
	output := d.remainingOutput()
	return scarcity.Need{Tokens: generationTokens(d.Prompt+d.Generated, output), Time: time.Duration(output) * tokenTime, Prompt: d.Prompt}
}

// survey fills the scheduler's outlook of the engines that may be given a demand, for waiters of about the given need.
// It returns the time of an output token there.
func (s *Scheduler) survey(now time.Time, d *Demand, typical float64, f *Forecast) (tokenTime time.Duration) {
	d = d.anyEndpoint()
	e := s.expect(now, d.Pool)
	o := &s.outlook
	o.Reset()
	var sum time.Duration
	prefills, prefillTime, backlog := 0, time.Duration(0), time.Duration(0)
	for _, x := range s.pools[d.Pool] {
		if r := x.refusal(now, choosing, d); r != "" && r != Paused && r != Ejected {
			continue
		}
		back := max(0, x.ejectedUntil.Sub(now), x.pausedUntil.Sub(now))
		if back > 0 && x.unreachable {
			continue
		}
		if x.ep.Role == config.Prefill {
			if back == 0 {
				prefills++
				prefillTime += x.prefillTokenTime
				backlog += x.prefillBacklog(now, &e)
			}
			continue
		}
		if x.ep.Role != config.Decode || x.spec == nil {
			continue
		}
		f.Engines++
		free, slots := memoryHeadroom*float64(x.spec.KVTokens), x.spec.Slots
		empty := back // when all that runs has ended
		s.holdings = append(s.holdings[:0], s.ownGenerations(x)...)
		s.holdings = x.appendPeerGenerations(now, s.holdings)
		at := x.tokenTime + time.Duration(len(s.holdings))*tokenTimePerRequest
		sum += at
		for _, g := range s.holdings {
			tokens := generationTokens(g.Prompt, g.PlannedOutput)
			free, slots = free-tokens, slots-1
			end := max(back, g.expectedEnd(at).Sub(now))
			empty = max(empty, end)
			o.Hold(scarcity.Holding{Until: end, Tokens: tokens, Slots: 1})
		}
		if now.Before(x.fullUntil) {
			back = max(back, x.fullUntil.Sub(now))
		}
		// What is less than a place counts once the engine is empty: one that needs all of it fits then.
		places := wholePlaces(free, typical)
		if rest := free - places; rest > 0 {
			o.Hold(scarcity.Holding{Until: empty, Tokens: rest})
		}
		if free = places; back > 0 {
			o.Hold(scarcity.Holding{Until: back, Tokens: free, Slots: max(0, slots)})
			continue
		}
		o.FreeTokens += free
		o.FreeSlots += slots
	}
	if f.Engines == 0 {
		return 0
	}
	o.FreeSlots = max(0, o.FreeSlots)
	f.Known, f.Free = true, int(o.FreeTokens)
	if prefills > 0 {
		n := time.Duration(prefills)
		o.PrefillTime, o.Backlog, o.PrefillSlack = prefillTime/(n*n), backlog/n, maxPrefillBacklog
	}
	return sum / time.Duration(f.Engines)
}

// wholePlaces returns the part of an engine's free memory that requests of a typical need can use.
func wholePlaces(free, typical float64) float64 {
	if free <= 0 || typical <= 0 {
		return 0
	}
	return float64(int(free/typical)) * typical
}

// ownGenerations returns the generations of this instance at an engine.
func (s *Scheduler) ownGenerations(x *endpointState) []Generation {
	s.own = s.own[:0]
	for l := range x.generations {
		s.own = append(s.own, l.generation)
	}
	return s.own
}

// oldestReport returns the age of the oldest report of another instance that counts.
func (s *Scheduler) oldestReport(now time.Time) (oldest time.Duration) {
	for _, peer := range s.peers {
		if age := now.Sub(peer.UpdatedAt); age <= peerTimeout {
			oldest = max(oldest, age)
		}
	}
	return oldest
}

// Forecast predicts when w starts. It need not be in the queue.
func (q *Queue) Forecast(now time.Time, s *Scheduler, w *Waiter) (f Forecast) {
	order := q.ordered(now, s)
	q.forecast(now, s, order, w, &w.Demand, func(_ *Waiter, of Forecast) { f = of })
	return f
}

// forecast predicts the starts of the waiters that need the same engines as d, in order, with newcomer among them
// if it is not nil, and calls visit for those of this instance; with a newcomer for it alone.
func (q *Queue) forecast(now time.Time, s *Scheduler, order []*Waiter, newcomer *Waiter, d *Demand, visit func(*Waiter, Forecast)) {
	var f Forecast
	pool, group := d.Pool, d.group()
	tokenTime := s.survey(now, d, s.typicalNeed(order, newcomer, pool), &f)
	f.Oldest = s.oldestReport(now)
	if !f.Known {
		if newcomer != nil {
			visit(newcomer, f)
		}
		return
	}
	var pressure *scarcity.Pressure
	if s.IsRanked(pool) {
		pressure = s.pressure(now, pool)
	}
	start := func(w *Waiter) Forecast {
		f.Wait = s.outlook.Start(w.Demand.need(tokenTime))
		if pressure != nil {
			f.Wait, f.Taken = pressure.Wait(now, f.Wait, w.Priority, now.After(w.Due), w.Deadline.Sub(now), s.pressed[pool].overload)
		}
		return f
	}
	for _, w := range order {
		if w.Demand.Pool != pool || w == newcomer {
			continue
		}
		if newcomer != nil && s.compareWaiters(now, w, newcomer) > 0 {
			break
		}
		other := w.Demand.group()
		if group.version != "" && other.version != group.version || group.homes != "" && other.homes != group.homes {
			continue // it takes what other versions, or other regions, have first
		}
		at := start(w)
		if newcomer == nil && w.queue == q && other == group {
			visit(w, at)
		}
		f.Ahead++
	}
	if newcomer != nil {
		visit(newcomer, start(newcomer))
	}
}

// typicalNeed returns the mean need of the waiters of a pool.
func (s *Scheduler) typicalNeed(order []*Waiter, newcomer *Waiter, pool string) float64 {
	sum, n := 0.0, 0
	add := func(w *Waiter) {
		if w != nil && w.Demand.Pool == pool {
			sum, n = sum+w.Demand.need(0).Tokens, n+1
		}
	}
	add(newcomer)
	for _, w := range order {
		if w != newcomer {
			add(w)
		}
	}
	return sum / float64(max(1, n))
}

// VainWait is a waiter that is predicted to wait in vain.
type VainWait struct {
	Waiter     *Waiter
	RetryAfter time.Duration
}

// GiveUp predicts the starts of this instance's waiters, at most every outlookInterval, and removes and returns those that would
// start after their callers have left. It is to be called after Serve with the same time, so that nothing that a free place
// serves is refused.
func (q *Queue) GiveUp(now time.Time, s *Scheduler) []VainWait {
	if len(q.waiting) == 0 || now.Sub(q.predictedAt) < outlookInterval {
		return nil
	}
	q.predictedAt = now
	order := q.ordered(now, s)
	seen := map[poolVersion]bool{}
	var refused []VainWait
	for _, w := range q.waiting {
		need := w.Demand.group()
		if seen[need] {
			continue
		}
		seen[need] = true
		if s.PauseLeft(now, w.Demand) > 0 {
			continue // the engines have said when they are back
		}
		q.forecast(now, s, order, nil, &w.Demand, func(w *Waiter, f Forecast) {
			w.Forecast = f
			if w.doubt.Refuse(f.Wait, w.Deadline.Sub(now)) {
				refused = append(refused, VainWait{Waiter: w})
			}
		})
	}
	for i, r := range refused {
		refused[i].RetryAfter = q.retryAfter(now, s, r.Waiter)
	}
	for _, r := range refused {
		q.Remove(r.Waiter)
	}
	return refused
}

// Enter decides whether a newcomer may wait: not if it is predicted to wait in vain, by engines or by the limits that they
// announce. Otherwise it is to be pushed. RetryAfter is for one that may not.
func (q *Queue) Enter(now time.Time, s *Scheduler, w *Waiter) (retryAfter time.Duration, ok bool) {
	w.Forecast = q.Forecast(now, s, w)
	patience := w.Deadline.Sub(now)
	vain := w.Forecast.Known && scarcity.InVain(w.Forecast.Wait, patience) || q.predictTurn(now, s, w) > patience
	if !vain {
		return 0, true
	}
	return q.retryAfter(now, s, w), false
}
