package relaybuffer

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func unlimited() int64 { return math.MaxInt64 }

// readAhead reads events of n bytes until no more may be read, and returns how many were.
func readAhead(s *Stream, n, most int) (events int) {
	for events < most && s.MayRead() {
		s.Received(n)
		events++
	}
	return events
}

// An engine makes an event of 50 KiB every 50 ms, and its caller takes one every 60 ms: at the end a sixth of the stream waits.
func TestCallerALittleSlowerThanItsEngineDoesNotHoldItUp(t *testing.T) {
	const size, events = 50 << 10, 70
	m := NewMemory(11<<20, unlimited)
	s := m.Open()
	taken := 0
	for made := range events {
		assert.Assert(t, s.MayRead(), "event %d is not read", made)
		s.Received(size)
		for ; taken < made*50/60; taken++ {
			s.Relayed(size)
		}
	}
	assert.Equal(t, m.Used(), int64((events-taken)*size))
}

// 200 callers start streams of events of 100 KiB and never read: what is read ahead stays within the share and an event
// for each, and a caller that comes after them is still read ahead.
func TestCallersThatNeverReadShareTheMemory(t *testing.T) {
	const size, limit, streams = 100 << 10, 11 << 20, 200
	m := NewMemory(limit, unlimited)
	for range streams {
		readAhead(m.Open(), size, 70)
	}
	assert.Assert(t, m.Used() <= limit+streams*size, "%d bytes", m.Used())

	m = NewMemory(limit, unlimited)
	for range 20 {
		readAhead(m.Open(), size, 70)
	}
	late := m.Open()
	assert.Assert(t, readAhead(late, 1<<10, 70) > 1, "nothing is left for a later caller")
}

// Small events take little memory for their bytes, and more for what describes them.
func TestSmallEventsAreBoundedInNumber(t *testing.T) {
	s := NewMemory(11<<20, unlimited).Open()
	assert.Equal(t, readAhead(s, 10, 1000), MaxEvents)
	s.Relayed(10)
	assert.Equal(t, readAhead(s, 10, 1000), 1)
}

// Large bodies take the memory: streams read one event after the other, and none stands still.
func TestStreamsGoOnWithoutMemoryToReadAhead(t *testing.T) {
	m := NewMemory(1<<20, func() int64 { return 0 })
	s := m.Open()
	for range 5 {
		assert.Equal(t, readAhead(s, 1000, 70), 1)
		s.Relayed(1000)
	}
}

// A caller that takes nothing keeps its stream longer while the engine is not held up by it.
func TestStalledCallerIsGivenUpEarlierWhenItsEngineIsHeldUp(t *testing.T) {
	m := NewMemory(1<<20, unlimited)
	s := m.Open()
	s.Received(1000)
	assert.Assert(t, s.MayRead())
	assert.Assert(t, !s.GiveUp(4*time.Second))
	assert.Assert(t, s.GiveUp(5*time.Second))
	readAhead(s, 100<<10, 70)
	assert.Assert(t, !s.GiveUp(time.Second))
	assert.Assert(t, s.GiveUp(2*time.Second))
	s.Relayed(100 << 10)
	assert.Assert(t, s.MayRead())
	assert.Assert(t, !s.GiveUp(2*time.Second))
}

func TestMemoryIsGivenBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := NewMemory(1<<20, unlimited)
		var open []*Stream
		for range 40 {
			s := m.Open()
			open = append(open, s)
			read := readAhead(s, rapid.IntRange(1, 300<<10).Draw(t, "size"), 64)
			for range rapid.IntRange(0, read).Draw(t, "taken") {
				s.Relayed(rapid.IntRange(1, 300<<10).Draw(t, "n"))
			}
		}
		for _, s := range open {
			s.Close()
			s.Received(1000) // of a read that was in progress
			s.Close()
		}
		assert.Equal(t, m.Used(), int64(0))
	})
}

func BenchmarkEvent(b *testing.B) {
	m := NewMemory(1<<20, unlimited)
	s := m.Open()
	b.ReportAllocs()
	for b.Loop() {
		if s.MayRead() {
			s.Received(200)
		}
		s.Relayed(200)
	}
}
