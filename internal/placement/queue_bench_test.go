package placement

import (
	"fmt"
	"testing"
	"time"

	"carawayrouter.example/router/internal/config"
)

// benchFleet returns the scheduler of one of 72 instances with 51 endpoints, all engines full, and 200 waiters of two ranks at the others.
func benchFleet(st *config.State) (*Scheduler, func(now time.Time)) {
	s := newScheduler(1, st)
	refresh := func(now time.Time) {
		for i := range 71 {
			state := &PeerState{UpdatedAt: now, Generations: map[string][]Generation{}, PrefillTokens: map[string]int{}}
			for n := range 3 {
				state.Generations[fmt.Sprintf("decode-%d", 16+(3*i+n)%29)] = []Generation{{Prompt: 5200, PlannedOutput: 4400, Generated: 1000 + 40*i, AsOf: now}}
			}
			for n := range 3 {
				w := &Waiter{Demand: demand(5200, 4400), Arrived: now.Add(-time.Duration(i+n) * time.Millisecond), Due: now.Add(time.Duration(200+i) * time.Millisecond), Priority: 2 * (n % 2)}
				state.Waiters = append(state.Waiters, w)
			}
			s.SetPeer(fmt.Sprintf("frontend-%d", i), state)
		}
	}
	return s, refresh
}

func benchQueue(b *testing.B, st *config.State, decide func(q *Queue, s *Scheduler, now time.Time)) {
	s, refresh := benchFleet(st)
	refresh(start)
	var q Queue
	for i := range 3 {
		q.Push(&Waiter{Demand: demand(5200, 4400), Arrived: start, Due: start.Add(time.Second), Deadline: start.Add(time.Hour), Priority: i})
	}
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		decide(&q, s, start.Add(tick))
	}
}

func BenchmarkServe(b *testing.B) {
	benchQueue(b, engines(16, 29, 60000), func(q *Queue, s *Scheduler, now time.Time) { q.Serve(now, s) })
}

func BenchmarkPredict(b *testing.B) {
	w := &Waiter{Demand: demand(5200, 4400), Arrived: start, Due: start.Add(time.Second), Deadline: start.Add(time.Hour)}
	benchQueue(b, engines(16, 29, 60000), func(q *Queue, s *Scheduler, now time.Time) { q.PredictWait(now, s, w) })
}

func BenchmarkPlace(b *testing.B) {
	benchQueue(b, engines(16, 29, 70994), func(_ *Queue, s *Scheduler, now time.Time) {
		if l := s.AcquireEngine(now, demand(5200, 4400)); l != nil {
			s.Release(now, l, 0)
		}
	})
}

func BenchmarkServeRanked(b *testing.B) {
	benchQueue(b, rankedEngines(16, 29, 60000), func(q *Queue, s *Scheduler, now time.Time) { q.Serve(now, s) })
}

func BenchmarkGiveUpRanked(b *testing.B) {
	benchQueue(b, rankedEngines(16, 29, 60000), func(q *Queue, s *Scheduler, now time.Time) {
		q.predictedAt = time.Time{}
		q.GiveUp(now, s)
	})
}

func BenchmarkPlaceRanked(b *testing.B) {
	benchQueue(b, rankedEngines(16, 29, 70994), func(_ *Queue, s *Scheduler, now time.Time) {
		d := demand(5200, 4400)
		d.Rank = 2
		if l := s.AcquireEngine(now, d); l != nil {
			s.Release(now, l, 0)
		}
	})
}
