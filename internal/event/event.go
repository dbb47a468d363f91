// Package event records what a process does in a bounded ring, stamped with hybrid
// logical time so that the rings of all processes merge into one time line.
package event

import (
	"sync"
	"time"

	"carawayrouter.example/router/internal/clock"
)

// Stamp is a hybrid logical time: wall-clock nanoseconds and a counter that orders
// events of equal wall time. Stamps sort by Wall, then Count.
type Stamp struct {
	Wall  int64  `json:"wall"`
	Count uint32 `json:"count"`
}

// Before reports whether s sorts before o.
func (s Stamp) Before(o Stamp) bool {
	return s.Wall < o.Wall || s.Wall == o.Wall && s.Count < o.Count
}

// Event is one entry of a ring. Keys and prompts never enter one.
type Event struct {
	Seq      uint64 `json:"seq"` // counts up by one in each ring; a gap shows loss
	At       Stamp  `json:"at"`
	Process  string `json:"process"`
	Kind     string `json:"kind"` // "component.what", for example "sched.eject"
	Request  string `json:"request,omitempty"`
	Account  string `json:"account,omitempty"`
	Endpoint string `json:"endpoint,omitempty"`
	Ticket   uint64 `json:"ticket,omitempty"`
	Detail   string `json:"detail,omitempty"`
}

// Ring keeps the newest events of one process. It is safe for concurrent use.
type Ring struct {
	process string
	clock   clock.Clock

	mu   sync.Mutex
	last Stamp
	buf  []Event
	next uint64 // sequence number of the next event, from 1
}

// NewRing returns a Ring for the named process that keeps size events.
func NewRing(process string, size int, c clock.Clock) *Ring {
	return &Ring{process: process, clock: c, buf: make([]Event, size), next: 1}
}

// Add records e; Seq, At and Process are set by the ring. A nil Ring drops events.
func (r *Ring) Add(e Event) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	e.Seq = r.next
	e.At = r.tick()
	e.Process = r.process
	r.buf[r.next%uint64(len(r.buf))] = e
	r.next++
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

// Observe moves the ring's time past a stamp received from another process.
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

// tick advances the hybrid time. The caller holds mu.
func (r *Ring) tick() Stamp {
	wall := r.clock.Now().UnixNano()
	if wall > r.last.Wall {
		r.last = Stamp{Wall: wall}
	} else {
		r.last.Count++
	}
	return r.last
}

// Since returns the events after sequence number seq that the ring still holds,
// oldest first, and how many of them were lost.
func (r *Ring) Since(seq uint64) (events []Event, lost uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	first := seq + 1
	oldest := uint64(1)
	if n := uint64(len(r.buf)); r.next > n {
		oldest = r.next - n
	}
	if first < oldest {
		lost = oldest - first
		first = oldest
	}
	for s := first; s < r.next; s++ {
		events = append(events, r.buf[s%uint64(len(r.buf))])
	}
	return events, lost
}

// Page is the JSON form in which processes publish their rings.
type Page struct {
	Process string    `json:"process"`
	Lost    uint64    `json:"lost"`
	Events  []Event   `json:"events"`
	TakenAt time.Time `json:"taken_at"`
}

// Page returns the events after seq in published form.
func (r *Ring) Page(seq uint64) Page {
	events, lost := r.Since(seq)
	return Page{Process: r.process, Lost: lost, Events: events, TakenAt: r.clock.Now()}
}
