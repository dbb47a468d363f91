package entry

import (
	"context"
	"sync"
	"time"

	"carawayrouter.example/router/internal/clock"
	"carawayrouter.example/router/internal/member"
	"carawayrouter.example/router/internal/platform"
)

const (
	sessionReadInterval   = 2 * time.Second // minimum time between reads of the session row of one process
	sessionReadTimeout    = time.Second
	missingSessionTimeout = 8 * time.Second // a process outside the view without a session row for this long is dead
	storeDownTimeout      = time.Minute     // while the store is down, a process outside the view for this long is dead
	maxCachedProcesses    = 4096            // entries in the cache
)

// processID identifies one process incarnation of an instance.
type processID struct {
	instance string
	number   uint64
}

// processState is the cached state of a process that is not in the member view.
type processState struct {
	dead           bool
	checkedAt      time.Time
	outOfViewSince time.Time // when it was first seen to be missing from the view
	missingSince   time.Time // when its session row was first seen to be missing; zero if there is a row
}

// livenessChecker decides whether a process is dead: a newer process has replaced it, its
// session was released or its death recorded, or it has been outside the member view without
// a session row for missingSessionTimeout. The result is used only to release engine memory
// and to report operations of the process as unknown. Account state moves by the rules of
// package member. livenessChecker implements dispatch.Evidence.
type livenessChecker struct {
	members member.Source
	table   platform.Table
	clock   clock.Clock

	mu     sync.Mutex
	states map[processID]processState
}

func newLivenessChecker(m member.Source, t platform.Table, c clock.Clock) *livenessChecker {
	return &livenessChecker{members: m, table: t, clock: c, states: map[processID]processState{}}
}

// Dead implements dispatch.Evidence.
func (e *livenessChecker) Dead(instance string, number uint64) bool {
	p := processID{instance, number}
	if current, ok := e.inView(instance); ok {
		e.mu.Lock()
		delete(e.states, p)
		e.mu.Unlock()
		return current > number
	}
	e.mu.Lock()
	v := e.states[p]
	e.mu.Unlock()
	now := e.clock.Now()
	if v.outOfViewSince.IsZero() {
		v.outOfViewSince = now
	}
	if v.dead || now.Sub(v.checkedAt) < sessionReadInterval {
		return v.dead
	}
	v = e.checkSession(p, v, now)
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.states) >= maxCachedProcesses {
		clear(e.states)
	}
	e.states[p] = v
	return v.dead
}

// inView returns the process number of the named instance in the view.
func (e *livenessChecker) inView(instance string) (number uint64, ok bool) {
	view := e.members.View()
	if view.Self.Name == instance {
		return view.Self.Process, true
	}
	for _, s := range view.Peers {
		if s.Name == instance {
			return s.Process, true
		}
	}
	return 0, false
}

// checkSession updates the state of a process from the session row of its instance. While
// the table cannot be read, a process is dead only after storeDownTimeout outside the view:
// releasing the engine memory of a live process costs it another prefill.
func (e *livenessChecker) checkSession(p processID, v processState, now time.Time) processState {
	ctx, cancel := context.WithTimeout(context.Background(), sessionReadTimeout)
	defer cancel()
	v.checkedAt = now
	rows, err := e.table.Get(ctx, member.RowKey(p.instance))
	if err != nil {
		v.dead = now.Sub(v.outOfViewSince) >= storeDownTimeout
		return v
	}
	if rows[0].Version == 0 {
		if v.missingSince.IsZero() {
			v.missingSince = now
		}
		v.dead = now.Sub(v.missingSince) >= missingSessionTimeout
		return v
	}
	v.missingSince = time.Time{}
	row, err := member.ParseRow(rows[0])
	if err != nil {
		return v
	}
	v.dead = row.Process > p.number || row.Process == p.number && row.Released
	return v
}
