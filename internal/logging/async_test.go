package logging

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// stuck is a writer that blocks until it is let go.
type stuck struct {
	gate chan struct{}
	mu   sync.Mutex
	out  bytes.Buffer
}

func (s *stuck) Write(b []byte) (int, error) {
	<-s.gate
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.out.Write(b)
}

// A reader of the log that stands still holds up nobody, and the loss is told.
func TestAsyncNeverBlocks(t *testing.T) {
	w := &stuck{gate: make(chan struct{})}
	a := NewAsync(w)
	for range 3 * asyncLines {
		n, err := a.Write([]byte("line\n"))
		assert.NilError(t, err)
		assert.Equal(t, n, 5)
	}
	assert.Assert(t, a.Dropped() >= 2*asyncLines-1)
	close(w.gate)
	a.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	assert.Assert(t, strings.Contains(w.out.String(), "log.dropped"))
}
