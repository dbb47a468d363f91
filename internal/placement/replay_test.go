package placement

import (
	"math/rand/v2"
	"slices"
	"time"

	"carawayrouter.example/router/internal/config"
	"carawayrouter.example/router/internal/sched"
)

// A replay serves a load pattern by several instances that share engines and hear of each other late.

const (
	replayTransit = 80 * time.Millisecond // until an update is heard
	replayUpdates = 50 * time.Millisecond // between two updates of an instance
	replayTarget  = 800 * time.Millisecond

	replayAccounts = 4
)

// replayed is one request of a replay and what became of it.
type replayed struct {
	at      time.Duration
	rank    int
	account int
	prompt  int
	output  int
	patient time.Duration

	done    bool // started or refused
	started bool
	waited  time.Duration
}

func (r *replayed) onTime() bool { return r.started && r.waited <= replayTarget }

// replayRules are the decisions that a replay makes.
type replayRules struct {
	giveUp bool // ask again while requests wait
}

type replayInstance struct {
	s       *Scheduler
	q       Queue
	waiting map[*Waiter]*replayed
	heard   []replayUpdate
}

type replayUpdate struct {
	from  string
	heard time.Time
	state *PeerState
}

// replayHeld is a generation that runs, at an engine and from an instance.
type replayHeld struct {
	lease *Lease
	at    *replayInstance
	end   time.Time
}

type replayFleet struct {
	state     *config.State
	instances []*replayInstance
	rules     replayRules
	held      []replayHeld
	lost      map[string]bool
	preempted int // starts that an engine had no memory for
}

func newReplayFleet(instances int, st *config.State, rules replayRules) *replayFleet {
	f := &replayFleet{state: st, rules: rules, lost: map[string]bool{}}
	for i := range instances {
		f.instances = append(f.instances, &replayInstance{s: newScheduler(uint64(i), st), waiting: map[*Waiter]*replayed{}})
	}
	return f
}

// run serves the requests, which are in the order of their arrival.
func (f *replayFleet) run(requests []*replayed, each func(now time.Time)) {
	r := rand.New(rand.NewPCG(3, 3))
	next := 0
	for step := 0; ; step++ {
		now := start.Add(time.Duration(step) * tick)
		each(now)
		for _, h := range slices.Clone(f.held) {
			if !now.Before(h.end) {
				f.end(now, h, sched.Succeeded)
			}
		}
		for ; next < len(requests) && !start.Add(requests[next].at).After(now); next++ {
			f.arrive(now, f.instances[r.IntN(len(f.instances))], requests[next])
		}
		waiting := 0
		for _, j := range r.Perm(len(f.instances)) {
			f.serve(now, f.instances[j])
			waiting += f.instances[j].q.Len()
		}
		if step%int(replayUpdates/tick) == 0 {
			f.tell(now)
		}
		if next == len(requests) && waiting == 0 {
			return
		}
	}
}

func (f *replayFleet) arrive(now time.Time, i *replayInstance, r *replayed) {
	w := &Waiter{Demand: demand(r.prompt, r.output), Arrived: now, Due: now.Add(replayTarget), Deadline: now.Add(r.patient), Priority: r.rank}
	w.Demand.Rank = i.s.Arrive(now, w.Demand, r.rank).Rank
	w.Priority = w.Demand.Rank
	if i.q.Len() == 0 && !i.q.MustQueue(now, i.s, w) {
		if l := i.s.AcquireEngine(now, w.Demand); l != nil {
			f.started(now, i, r, w, l)
			return
		}
	}
	if f.rules.giveUp {
		if _, ok := i.q.Enter(now, i.s, w); !ok {
			r.done = true
			return
		}
	} else if now.Add(i.q.shareOfTime(now, i.s, w)).After(w.Deadline) {
		r.done = true
		return
	}
	i.waiting[w] = r
	i.q.Push(w)
}

func (f *replayFleet) started(now time.Time, i *replayInstance, r *replayed, w *Waiter, l *Lease) {
	delete(i.waiting, w)
	i.s.PrefillDone(now, l, sched.Succeeded)
	if f.lost[l.Target.Name] || f.overfull(now, l) {
		f.preempted++
		i.s.Release(now, l, sched.Full)
		i.waiting[w] = r
		i.q.Push(w)
		return
	}
	r.done, r.started, r.waited = true, true, now.Sub(w.Arrived)
	f.held = append(f.held, replayHeld{l, i, now.Add(time.Duration(r.output) * tokenTime)})
}

// overfull reports whether the engine of a new lease has no memory for it beside what runs there.
func (f *replayFleet) overfull(now time.Time, l *Lease) bool {
	generations := []Generation{l.generation}
	for _, h := range f.held {
		if h.lease.Target.Name == l.Target.Name {
			generations = append(generations, h.lease.generation)
		}
	}
	return peakMemory(now, generations, tokenTime) > l.targetEndpoint.spec.KVTokens
}

func (f *replayFleet) end(now time.Time, h replayHeld, o sched.Outcome) {
	h.at.s.Release(now, h.lease, o)
	f.held = slices.DeleteFunc(f.held, func(other replayHeld) bool { return other == h })
}

func (f *replayFleet) serve(now time.Time, i *replayInstance) {
	for len(i.heard) > 0 && !now.Before(i.heard[0].heard) {
		i.s.SetPeer(i.heard[0].from, i.heard[0].state)
		i.heard = i.heard[1:]
	}
	for _, g := range i.q.Serve(now, i.s) {
		f.started(now, i, i.waiting[g.Waiter], g.Waiter, g.Lease)
	}
	if f.rules.giveUp {
		for _, refusal := range i.q.GiveUp(now, i.s) {
			f.refuse(now, i, refusal.Waiter)
		}
	}
	for _, w := range slices.Clone(i.q.Waiters()) {
		if now.After(w.Deadline) {
			i.q.Remove(w)
			f.refuse(now, i, w)
		}
	}
}

func (f *replayFleet) refuse(now time.Time, i *replayInstance, w *Waiter) {
	r := i.waiting[w]
	delete(i.waiting, w)
	r.done, r.waited = true, now.Sub(w.Arrived)
}

// tell sends the state of each instance to the others.
func (f *replayFleet) tell(now time.Time) {
	for n, i := range f.instances {
		state := &PeerState{UpdatedAt: now.Add(replayTransit), Generations: map[string][]Generation{}, PrefillTokens: map[string]int{}}
		i.s.EachEndpointLoad(func(endpoint string, prefillTokens int, generations []Generation) {
			state.Generations[endpoint], state.PrefillTokens[endpoint] = generations, prefillTokens
		})
		for _, w := range i.q.Waiters() {
			state.Waiters = append(state.Waiters, &Waiter{Demand: w.Demand, Arrived: w.Arrived, Due: w.Due, Priority: w.Priority})
		}
		state.Demand = i.s.Demand(now)
		for m, other := range f.instances {
			if m != n {
				other.heard = append(other.heard, replayUpdate{from: string(rune('a' + n)), heard: now.Add(replayTransit), state: state})
			}
		}
	}
}

// lose ends a part of the decode engines with all that runs there.
func (f *replayFleet) lose(now time.Time, part float64) {
	var names []string
	for name, ep := range f.state.Endpoints {
		if ep.Role == config.Decode {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names[:int(part*float64(len(names)))] {
		f.lost[name] = true
		for _, h := range slices.Clone(f.held) {
			if h.lease.Target.Name == name {
				f.end(now, h, sched.Unreachable)
			}
		}
		for _, i := range f.instances {
			i.s.endpoints[name].recordOutcome(now, sched.Unreachable)
			i.s.endpoints[name].ejectedUntil = now.Add(time.Hour)
		}
	}
}

// share returns the part of the requests for which is holds.
func share(requests []*replayed, is func(*replayed) bool) float64 {
	n := 0
	for _, r := range requests {
		if is(r) {
			n++
		}
	}
	return float64(n) / float64(max(1, len(requests)))
}

// refusedWaits returns the median and the longest time that refused requests waited.
func refusedWaits(requests []*replayed) (median, most time.Duration) {
	var waits []time.Duration
	for _, r := range requests {
		if r.done && !r.started {
			waits = append(waits, r.waited)
		}
	}
	if len(waits) == 0 {
		return 0, 0
	}
	slices.Sort(waits)
	return waits[len(waits)/2], waits[len(waits)-1]
}

// poisson returns requests that arrive by chance at the given rate, between two times, with prompts and outputs of the usual spread.
func poisson(seed uint64, perSecond float64, from, to time.Duration, rank int) []*replayed {
	r := rand.New(rand.NewPCG(seed, 9))
	var out []*replayed
	for at := from; perSecond > 0; {
		at += time.Duration(r.ExpFloat64() / perSecond * float64(time.Second))
		if at >= to {
			return out
		}
		out = append(out, &replayed{at: at, rank: rank, account: r.IntN(replayAccounts), prompt: 2500 + r.IntN(5400), output: 2200 + r.IntN(4400), patient: 2300 * time.Millisecond})
	}
	return out
}

func inOrder(lists ...[]*replayed) []*replayed {
	all := slices.Concat(lists...)
	slices.SortStableFunc(all, func(a, b *replayed) int { return int(a.at - b.at) })
	return all
}
