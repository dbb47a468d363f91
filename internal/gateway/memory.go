package gateway

import (
	"io"
	"sync"

	"github.com/cockroachdb/errors"

	"carawayrouter.example/router/internal/relaybuffer"
)

const (
	// bodyMemoryRatio is the part of the instance's memory for the bodies of requests and responses and the events of
	// streams, over all connections. The rest is for the program itself, the buffers of connections, and what the
	// garbage collector has not freed yet.
	bodyMemoryRatio = 0.4
	// defaultBodyMemory is used if the instance's memory is not set.
	defaultBodyMemory = 32 << 20 // bytes
	// smallBodyReserve is the part of the memory for bodies that only small ones get, so that large ones do not fail
	// the requests of others.
	smallBodyReserve = 0.2
	smallBodyBytes   = 64 << 10
	minBodyBuffer    = 512 // bytes
	// readAheadRatio is the part of the instance's memory for events that are read ahead of their callers, within that
	// for bodies.
	readAheadRatio = 0.1
	announcedStep  = 8 // between two sizes of the buffer of a response with a length
)

// errBuffersFull means that a body does not fit in the memory for bodies.
var errBuffersFull = errors.New("the memory for bodies is full")

// bodyMemory counts the memory that bodies take, over all connections.
type bodyMemory struct {
	limit   int64 // bytes
	onShort func()

	mu   sync.Mutex
	used int64
}

func newBodyMemory(instanceBytes int64) *bodyMemory {
	limit := int64(defaultBodyMemory)
	if instanceBytes > 0 {
		limit = int64(bodyMemoryRatio * float64(instanceBytes))
	}
	return &bodyMemory{limit: limit, onShort: func() {}}
}

// fits reports whether n more bytes fit for a body that would then take total bytes. The caller holds the lock.
func (m *bodyMemory) fits(n, total int64) bool {
	if total <= smallBodyBytes {
		return m.used+n <= m.limit
	}
	return m.used+n <= m.limit-int64(smallBodyReserve*float64(m.limit))
}

// hasRoom reports whether a body of n bytes fits now.
func (m *bodyMemory) hasRoom(n int64) bool {
	m.mu.Lock()
	ok := m.fits(n, n)
	m.mu.Unlock()
	if !ok {
		m.onShort()
	}
	return ok
}

// spare returns how much large bodies may still take.
func (m *bodyMemory) spare() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.limit - int64(smallBodyReserve*float64(m.limit)) - m.used
}

// readAhead returns the part of the memory for events that are read ahead.
func (m *bodyMemory) readAhead() *relaybuffer.Memory {
	return relaybuffer.NewMemory(int64(float64(m.limit)*readAheadRatio/bodyMemoryRatio), m.spare)
}

func (m *bodyMemory) inUse() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.used
}

// hold returns a holding without any bytes.
func (m *bodyMemory) hold() *holding { return &holding{memory: m} }

// holding is the memory of one request, response or stream.
type holding struct {
	memory   *bodyMemory
	bytes    int64 // the memory's lock protects it
	released bool
}

// grow takes n bytes more and reports whether they fit. Nothing is taken after the release.
func (h *holding) grow(n int64) bool {
	m := h.memory
	m.mu.Lock()
	ok := !h.released && m.fits(n, h.bytes+n)
	if ok {
		h.bytes += n
		m.used += n
	}
	m.mu.Unlock()
	if !ok {
		m.onShort()
	}
	return ok
}

// shrink gives n bytes back.
func (h *holding) shrink(n int64) {
	h.memory.mu.Lock()
	defer h.memory.mu.Unlock()
	n = min(n, h.bytes)
	h.bytes -= n
	h.memory.used -= n
}

// release gives all bytes back.
func (h *holding) release() {
	h.memory.mu.Lock()
	defer h.memory.mu.Unlock()
	h.released = true
	h.memory.used -= h.bytes
	h.bytes = 0
}

// move returns a holding of the same bytes, which outlives the release of this one.
func (h *holding) move() *holding {
	h.memory.mu.Lock()
	defer h.memory.mu.Unlock()
	to := &holding{memory: h.memory, bytes: h.bytes}
	h.bytes = 0
	return to
}

// announcedBuffer returns the size of the buffer for a response of an announced length, of which have bytes have arrived. Few
// steps lead to the whole: responses come fast, and buffers that were outgrown fill the memory faster than the garbage
// collector frees them. The first is small, as the rest may not come.
func announcedBuffer(length, have int64) int64 {
	size := length + 1 // to read the end
	for size/announcedStep > max(smallBodyBytes, have) {
		size /= announcedStep
	}
	return size
}

// readAll reads a body of at most limit bytes, into a buffer that grows with what arrives. Expected is the announced
// length, or negative; fast says that the body is that of a response. The memory of the buffer is held, also that of the
// smaller one that it is copied from.
func (h *holding) readAll(r io.Reader, expected int64, fast bool, limit int64) ([]byte, error) {
	var b []byte
	for {
		if len(b) == cap(b) {
			size := max(minBodyBuffer, int64(2*cap(b)))
			if cap(b) >= smallBodyBytes {
				size = int64(cap(b)) + int64(cap(b))/2
			}
			if expected >= int64(len(b)) && (fast || size > expected) {
				size = announcedBuffer(expected, int64(len(b)))
			}
			size = max(min(size, limit+1), int64(len(b))+1)
			if !h.grow(size) {
				return nil, errBuffersFull
			}
			former := int64(cap(b))
			grown := make([]byte, len(b), size)
			copy(grown, b)
			b = grown
			h.shrink(former)
		}
		n, err := r.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		switch {
		case int64(len(b)) > limit:
			return nil, errBodyTooLarge
		case errors.Is(err, io.EOF):
			return b, nil
		case err != nil:
			return nil, err
		}
	}
}

var errBodyTooLarge = errors.New("the body is too large")

// eventMemory counts the bytes of a stream that are read and not yet relayed.
type eventMemory struct {
	io.Reader
	held    *holding
	pending int64    // bytes of the event that is being read
	passed  [2]int64 // bytes of the events that were passed on last: one is relayed, the next one waits
}

func (e *eventMemory) Read(p []byte) (int, error) {
	n, err := e.Reader.Read(p)
	if n > 0 && !e.held.grow(int64(n)) {
		return 0, errBuffersFull
	}
	e.pending += int64(n)
	return n, err
}

// pass records that an event was passed on. The one before the last is relayed then.
func (e *eventMemory) pass() {
	e.held.shrink(e.passed[0])
	e.passed = [2]int64{e.passed[1], e.pending}
	e.pending = 0
}
