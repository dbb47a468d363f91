// Package relaybuffer decides how far streams are read ahead of their callers, when a caller that does not read is given
// up, and how much of requests may be in flight at an endpoint. It knows no sockets.
package relaybuffer

import (
	"sync"
	"time"
)

const (
	// MaxEvents is how many events of a stream may wait for its caller.
	MaxEvents = 64
	// freeShare is the divisor of the free memory that gives how much of it one stream may hold: a few slow callers leave
	// something for those that come later, and one alone gets a fifth.
	freeShare = 4
	// stallLimit is how long a caller may take nothing while more can be read ahead for it.
	stallLimit = 5 * time.Second
	// fullStallLimit is how long while nothing more can. The engine is held up then; engines cut off responses that stay
	// unread for some seconds, and the end must be the caller's before it is the engine's.
	fullStallLimit = 2 * time.Second
)

// Memory is the memory for what the streams of an instance have read ahead. It is safe for concurrent use.
type Memory struct {
	limit int64            // bytes
	spare func() (n int64) // what other uses of the memory leave free, in bytes

	mu   sync.Mutex
	used int64
}

// NewMemory returns a Memory of limit bytes. Spare returns how many more bytes may be taken beside other uses now.
func NewMemory(limit int64, spare func() int64) *Memory {
	return &Memory{limit: limit, spare: spare}
}

// Used returns the bytes that wait for callers.
func (m *Memory) Used() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.used
}

// Stream is what one stream has read ahead of its caller.
type Stream struct {
	memory *Memory

	bytes   int64 // the memory's lock protects it and what follows
	events  int
	largest int64 // event so far
	full    bool
	closed  bool
}

// Open returns the state of a stream that begins.
func (m *Memory) Open() *Stream { return &Stream{memory: m} }

// MayRead reports whether the next event may be read from the engine. A stream whose caller has taken all may always. Else
// it may hold a part of what is free: with many slow callers each one's part shrinks, and some is left for one that comes
// later.
func (s *Stream) MayRead() bool {
	m := s.memory
	spare := m.spare()
	m.mu.Lock()
	defer m.mu.Unlock()
	may := s.events == 0 || s.events < MaxEvents && s.bytes+s.largest <= min(m.limit-m.used, spare)/freeShare
	s.full = !may
	return may
}

// Received records an event of n bytes from the engine.
func (s *Stream) Received(n int) {
	s.memory.mu.Lock()
	defer s.memory.mu.Unlock()
	if s.closed {
		return
	}
	s.events++
	s.bytes += int64(n)
	s.memory.used += int64(n)
	s.largest = max(s.largest, int64(n))
}

// Relayed records that the caller has taken an event of n bytes.
func (s *Stream) Relayed(n int) {
	s.memory.mu.Lock()
	defer s.memory.mu.Unlock()
	s.events = max(0, s.events-1)
	taken := min(s.bytes, int64(n))
	s.bytes -= taken
	s.memory.used -= taken
}

// Close gives back what the stream holds.
func (s *Stream) Close() {
	s.memory.mu.Lock()
	defer s.memory.mu.Unlock()
	s.memory.used -= s.bytes
	s.bytes, s.closed = 0, true
}

// Unread returns how many bytes wait for the caller, and whether the engine is held up by that.
func (s *Stream) Unread() (n int64, engineHeldUp bool) {
	s.memory.mu.Lock()
	defer s.memory.mu.Unlock()
	return s.bytes, s.full
}

// GiveUp reports whether a caller that has taken nothing for some time is given up.
func (s *Stream) GiveUp(stalled time.Duration) bool {
	s.memory.mu.Lock()
	defer s.memory.mu.Unlock()
	if s.full {
		return stalled >= fullStallLimit
	}
	return stalled >= stallLimit
}
