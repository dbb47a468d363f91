package logging

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// blockedWriter is a writer that blocks until unblock is closed.
type blockedWriter struct {
	unblock chan struct{}
	mu      sync.Mutex
	out     bytes.Buffer
}

func (s *blockedWriter) Write(b []byte) (int, error) {
	<-s.unblock
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.out.Write(b)
}

// Guards against a blocked log reader stalling the goroutines that log. The dropped
// lines must be reported.
func TestAsyncNeverBlocks(t *testing.T) {
	w := &blockedWriter{unblock: make(chan struct{})}
	a := NewAsync(w)
	for range 3 * asyncCapacity {
		n, err := a.Write([]byte("line\n"))
		assert.NilError(t, err)
		assert.Equal(t, n, 5)
	}
	assert.Assert(t, a.Dropped() >= 2*asyncCapacity-1)
	close(w.unblock)
	a.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	assert.Assert(t, strings.Contains(w.out.String(), "log.dropped"))
}
