package gateway

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"carawayrouter.example/router/internal/gossip"
)

const (
	// contactTime is how long after a fault an instance has to apply changes in time again.
	contactTime = 3 * time.Second
	// silentCallTime is how long a call to a silent store lasts beyond its wait.
	silentCallTime = 1200 * time.Millisecond
	// learnTime is enough for all to learn from one instance that it has a newer configuration.
	learnTime = 500 * time.Millisecond
)

// All open connections to the store fall silent right after a change, when all instances have begun to
// wait for the next one. Some instance notices it soon enough for all to have the next change in time.
func TestSilentWatchesAreNoticedInTime(t *testing.T) {
	for _, n := range []int{2, 9, 79, 195} {
		now := time.Now()
		names := make([]string, n)
		for i := range names {
			names[i] = fmt.Sprintf("frontend-%03d", i)
		}
		noticed := maxPollWait
		for _, self := range names {
			noticed = min(noticed, followerIn(now, self, names).watchers()[0].wait())
		}
		assert.Assert(t, noticed+silentCallTime+learnTime <= contactTime, "%d instances: the shortest wait is %v", n, noticed)
	}
}

// followerIn returns the instance self of a fleet that has heard all others.
func followerIn(now time.Time, self string, names []string) *Server {
	s := newTestServer("127.0.0.1:1", now)
	s.settings.Instance = self
	clear(s.peers.known)
	for _, name := range names {
		if name != self {
			s.peers.known[name] = &peer{lastUpdateAt: now, update: &gossip.Update{Instance: name}}
		}
	}
	s.peers.listed = true
	return s
}

// scriptedStore answers the calls of a watcher one after the other.
type scriptedStore struct {
	Store
	calls   chan string // made
	answers chan scriptedAnswer
}

type scriptedAnswer struct {
	rows []Row
	at   Position
	err  error
}

func newScriptedStore() *scriptedStore {
	return &scriptedStore{calls: make(chan string, 1), answers: make(chan scriptedAnswer)}
}

func (s *scriptedStore) answer(ctx context.Context, call string) ([]Row, Position, error) {
	s.calls <- call
	select {
	case a := <-s.answers:
		return a.rows, a.at, a.err
	case <-ctx.Done():
		return nil, Position{}, ctx.Err()
	}
}

func (s *scriptedStore) Rows(ctx context.Context, _ Table) ([]Row, Position, error) {
	return s.answer(ctx, "rows")
}

func (s *scriptedStore) Changes(ctx context.Context, _ Table, after uint64, _ time.Duration) ([]Row, Position, error) {
	return s.answer(ctx, fmt.Sprint("changes after ", after))
}

// expect waits for a call and answers it, unless a is nil.
func (s *scriptedStore) expect(t *testing.T, call string, a *scriptedAnswer) {
	t.Helper()
	assert.Equal(t, <-s.calls, call)
	if a != nil {
		s.answers <- *a
	}
}

// followScript runs a watcher of the store and returns the keys of the rows that it applies.
func followScript(t *testing.T, s *scriptedStore) (*watcher, <-chan string) {
	t.Helper()
	applied := make(chan string, 10)
	w := &watcher{store: s, era: &storeEra{}, table: Endpoints, wait: func() time.Duration { return time.Hour }, log: logr.Discard(),
		apply: func(rows []Row, _ Position, _ bool) {
			for _, r := range rows {
				applied <- r.Key
			}
		}}
	w.era.onRaise = func() { w.endWait(time.Now()) }
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = w.run(ctx)
	}()
	t.Cleanup(func() {
		stop()
		<-done
	})
	return w, applied
}

func answerWith(era, version uint64, keys ...string) *scriptedAnswer {
	a := &scriptedAnswer{at: Position{Era: era, Version: version}}
	for _, key := range keys {
		a.rows = append(a.rows, Row{Key: key})
	}
	return a
}

// The first answer of a restored store may lack changes, so the table is read again.
func TestTableOfARestoredStoreIsReadAgain(t *testing.T) {
	s := newScriptedStore()
	_, applied := followScript(t, s)
	s.expect(t, "rows", answerWith(1, 10, "old"))
	s.expect(t, "changes after 10", answerWith(2, 12, "incomplete"))
	s.expect(t, "rows", answerWith(2, 13, "whole"))
	s.expect(t, "changes after 13", nil)
	assert.Equal(t, <-applied, "old")
	assert.Equal(t, <-applied, "whole")
}

// An answer of the store before its restore changes nothing, whichever call brings it.
func TestLateAnswerOfTheFormerStoreIsDropped(t *testing.T) {
	s := newScriptedStore()
	_, applied := followScript(t, s)
	s.expect(t, "rows", answerWith(2, 10, "new"))
	s.expect(t, "changes after 10", answerWith(1, 99, "late"))
	s.expect(t, "changes after 10", &scriptedAnswer{err: ErrHistoryGone})
	s.expect(t, "rows", answerWith(1, 99, "late"))
	s.expect(t, "rows", answerWith(2, 11, "whole"))
	s.expect(t, "changes after 11", nil)
	assert.Equal(t, <-applied, "new")
	assert.Equal(t, <-applied, "whole")
}

// A call that waits for changes ends when another one, or another instance, has heard of a new era.
func TestWaitEndsWithTheEra(t *testing.T) {
	s := newScriptedStore()
	w, applied := followScript(t, s)
	s.expect(t, "rows", answerWith(1, 10, "old"))
	s.expect(t, "changes after 10", nil)
	w.era.raise(2)
	s.expect(t, "rows", answerWith(2, 5, "whole"))
	s.expect(t, "changes after 5", nil)
	assert.Equal(t, <-applied, "old")
	assert.Equal(t, <-applied, "whole")
}

// Another instance is ahead of one that has been waiting for changes all the while: the call may be at a
// silent connection, so the next one begins at once. A call that began later is left alone.
func TestWaitEndsWhenAnotherInstanceIsAhead(t *testing.T) {
	s := newScriptedStore()
	w, applied := followScript(t, s)
	s.expect(t, "rows", answerWith(1, 10, "old"))
	aheadSince := time.Now()
	s.expect(t, "changes after 10", nil)
	assert.Assert(t, !w.endWait(aheadSince))
	assert.Assert(t, w.endWait(time.Now()))
	s.expect(t, "changes after 10", answerWith(1, 11, "new"))
	s.expect(t, "changes after 11", nil)
	assert.Equal(t, <-applied, "old")
	assert.Equal(t, <-applied, "new")
}

// Few instances ask often, others take over from those that fall silent, and an instance that hears nobody
// asks often itself.
func TestFewInstancesPollOften(t *testing.T) {
	const n = 79
	now := time.Now()
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprintf("frontend-%03d", i)
	}
	often := func(silent map[string]bool) (out []string) {
		for _, self := range names {
			now := time.Now() // those that are heard count as silent after 0.9 s
			s := followerIn(now, self, names)
			for name := range silent {
				if x := s.peers.known[name]; x != nil {
					x.lastUpdateAt = now.Add(-time.Minute)
				}
			}
			if !silent[self] && s.pollWait() == frequentPollWait {
				out = append(out, self)
			}
		}
		return out
	}
	first := often(nil)
	assert.Equal(t, len(first), frequentPollers)
	silent := map[string]bool{}
	for _, name := range first {
		silent[name] = true
	}
	assert.Equal(t, len(often(silent)), frequentPollers)
	alone := followerIn(now, names[0], names[:1])
	assert.Equal(t, alone.pollWait(), frequentPollWait)
	assert.Assert(t, followerIn(now, names[0], names).scaleToFleet(pollWait, maxPollWait) <= maxPollWait)
}

// Positions of a later era are later, whatever their versions.
func TestPositionsAreOrdered(t *testing.T) {
	assert.Assert(t, Position{Era: 2, Version: 1}.order() > Position{Era: 1, Version: 1 << 40}.order())
	assert.Assert(t, Position{Era: 2, Version: 3}.order() > Position{Era: 2, Version: 2}.order())
	assert.Equal(t, positionOf(Position{Era: 7, Version: 12}.order()), Position{Era: 7, Version: 12})
	assert.Equal(t, Position{Version: 12}.order(), uint64(12), "as instances that know no eras tell it")
}
