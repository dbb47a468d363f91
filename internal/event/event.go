// Package event records a process's events in a bounded ring buffer, stamped with
// hybrid logical time so that the events of all processes merge into one timeline.
package event

import (
	"sync"
	"time"

	"carawayrouter.example/router/internal/clock"
)

// Stamp is a hybrid logical timestamp: wall-clock nanoseconds and a counter that
// orders events with equal wall time. Stamps sort by Wall, then Count.
type Stamp struct {
	Wall  int64  `json:"wall"`
	Count uint32 `json:"count"`
}

// Before reports whether s sorts before o.
func (s Stamp) Before(o Stamp) bool {
	return s.Wall < o.Wall || s.Wall == o.Wall && s.Count < o.Count
}

// Event is one entry of a ring. API keys and prompts must never be recorded in it.
type Event struct {
	Seq      uint64 `json:"seq"` // increases by one per event of a ring; a gap means lost events
	At       Stamp  `json:"at"`
	Process  string `json:"process"`
	Kind     string `json:"kind"` // "component.action", for example "sched.eject"
	Request  string `json:"request,omitempty"`
	Account  string `json:"account,omitempty"`
	Endpoint string `json:"endpoint,omitempty"`
	Ticket   uint64 `json:"ticket,omitempty"`
	Detail   string `json:"detail,omitempty"`
}

// Ring holds the newest events of one process. It is safe for concurrent use.
type Ring struct {
	process string
	clock   clock.Clock

	mu      sync.Mutex
	last    Stamp
	entries []Event
	nextSeq uint64 // sequence number of the next event, from 1
}

// NewRing returns a Ring for the named process that holds up to size events.
func NewRing(process string, size int, c clock.Clock) *Ring {
	return &Ring{process: process, clock: c, entries: make([]Event, size), nextSeq: 1}
}

// Add records e and sets its Seq, At and Process. A nil Ring discards events.
func (r *Ring) Add(e Event) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	e.Seq = r.nextSeq
	e.At = r.tick()
	e.Process = r.process
	r.entries[r.nextSeq%uint64(len(r.entries))] = e
	r.nextSeq++
}

// Now returns a stamp to send to another process.
func (r *Ring) Now() Stamp {
	if r == nil {
		return Stamp{}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tick()
}

// Observe advances the ring's clock to a stamp received from another process, so that
// later events sort after it.
func (r *Ring) Observe(s Stamp) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.last.Before(s) {
		r.last = s
	}
}

// tick advances the hybrid logical clock. The caller must hold mu.
func (r *Ring) tick() Stamp {
	wall := r.clock.Now().UnixNano()
	if wall > r.last.Wall {
		r.last = Stamp{Wall: wall}
	} else {
		r.last.Count++
	}
	return r.last
}

// Since returns the events after sequence number seq that are still in the ring,
// oldest first, and the number of events after seq that were overwritten.
func (r *Ring) Since(seq uint64) (events []Event, lost uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	first := seq + 1
	oldest := uint64(1)
	if n := uint64(len(r.entries)); r.nextSeq > n {
		oldest = r.nextSeq - n
	}
	if first < oldest {
		lost = oldest - first
		first = oldest
	}
	for s := first; s < r.nextSeq; s++ {
		events = append(events, r.entries[s%uint64(len(r.entries))])
	}
	return events, lost
}

// Page is the JSON representation of a ring's events.
type Page struct {
	Process string    `json:"process"`
	Lost    uint64    `json:"lost"`
	Events  []Event   `json:"events"`
	TakenAt time.Time `json:"taken_at"`
}

// Page returns the events after seq as a Page.
func (r *Ring) Page(seq uint64) Page {
	events, lost := r.Since(seq)
	return Page{Process: r.process, Lost: lost, Events: events, TakenAt: r.clock.Now()}
}
