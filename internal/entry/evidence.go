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
	evidenceEvery   = 2 * time.Second // between reads of one process's session row
	evidenceTimeout = time.Second
	absentFor       = 8 * time.Second // a process without session and unheard for this long is dead
	unheardFor      = time.Minute     // so is one unheard for this long while the store is down
	maxEvidence     = 4096            // processes remembered
)

// process names one process incarnation of an instance.
type process struct {
	instance string
	number   uint64
}

// verdict is what is known of a process that is not in the view.
type verdict struct {
	dead    bool
	checked time.Time
	unheard time.Time // since when it has not been in the view
	absent  time.Time // since when there is no session row; zero if there is one
}

// evidence tells whether a process is certainly gone: a newer one has taken its
// place, its session was released or its death recorded, or it has neither a session
// nor been heard of for long. It frees engine memory only; rights move on the
// evidence of package member. It implements dispatch.Evidence.
type evidence struct {
	members member.Source
	table   platform.Table
	clock   clock.Clock

	mu    sync.Mutex
	known map[process]verdict
}

func newEvidence(m member.Source, t platform.Table, c clock.Clock) *evidence {
	return &evidence{members: m, table: t, clock: c, known: map[process]verdict{}}
}

// Dead implements dispatch.Evidence.
func (e *evidence) Dead(instance string, number uint64) bool {
	p := process{instance, number}
	if current, ok := e.inView(instance); ok {
		e.mu.Lock()
		delete(e.known, p)
		e.mu.Unlock()
		return current > number
	}
	e.mu.Lock()
	v := e.known[p]
	e.mu.Unlock()
	now := e.clock.Now()
	if v.unheard.IsZero() {
		v.unheard = now
	}
	if v.dead || now.Sub(v.checked) < evidenceEvery {
		return v.dead
	}
	v = e.read(p, v, now)
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.known) >= maxEvidence {
		clear(e.known)
	}
	e.known[p] = v
	return v.dead
}

// inView returns the process number of the named instance in the view.
func (e *evidence) inView(instance string) (number uint64, ok bool) {
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

// read judges a process by its instance's session row. With the table down only a
// long silence counts: what is freed wrongly then costs its owner another prefill.
func (e *evidence) read(p process, v verdict, now time.Time) verdict {
	ctx, cancel := context.WithTimeout(context.Background(), evidenceTimeout)
	defer cancel()
	v.checked = now
	rows, err := e.table.Get(ctx, member.RowKey(p.instance))
	if err != nil {
		v.dead = now.Sub(v.unheard) >= unheardFor
		return v
	}
	if rows[0].Version == 0 {
		if v.absent.IsZero() {
			v.absent = now
		}
		v.dead = now.Sub(v.absent) >= absentFor
		return v
	}
	v.absent = time.Time{}
	row, err := member.ParseRow(rows[0])
	if err != nil {
		return v
	}
	v.dead = row.Process > p.number || row.Process == p.number && row.Released
	return v
}
