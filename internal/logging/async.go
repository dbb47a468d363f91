package logging

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	asyncCapacity      = 2048                   // queued lines; well below 1 MB at 300 bytes per line
	dropReportInterval = time.Second            // minimum interval between log.dropped lines
	closeTimeout       = 200 * time.Millisecond // limit on flushing the queue at shutdown
)

// Async is a writer that never blocks: it queues lines in a bounded channel for one
// writer goroutine, and drops and counts lines while the channel is full.
type Async struct {
	lines   chan []byte
	dropped atomic.Int64
	closed  chan struct{}
	done    chan struct{}
}

// NewAsync returns an Async and starts the goroutine that writes its lines to w.
func NewAsync(w io.Writer) *Async {
	a := &Async{lines: make(chan []byte, asyncCapacity), closed: make(chan struct{}), done: make(chan struct{})}
	go a.run(w)
	return a
}

// Write implements io.Writer. It queues a copy of one line and never fails.
func (a *Async) Write(line []byte) (int, error) {
	select {
	case a.lines <- append([]byte(nil), line...):
	default:
		a.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of dropped lines.
func (a *Async) Dropped() int64 { return a.dropped.Load() }

// Close writes the queued lines, for at most closeTimeout.
func (a *Async) Close() {
	close(a.closed)
	select {
	case <-a.done:
	case <-time.After(closeTimeout):
	}
}

func (a *Async) run(w io.Writer) {
	defer close(a.done)
	reported := int64(0)
	last := time.Time{}
	for {
		select {
		case line := <-a.lines:
			_, _ = w.Write(line) // write errors of the log itself cannot be reported anywhere
		case <-a.closed:
			for len(a.lines) > 0 {
				_, _ = w.Write(<-a.lines)
			}
			return
		}
		if n := a.dropped.Load(); n > reported && time.Since(last) > dropReportInterval {
			_, _ = fmt.Fprintf(w, "{\"time\":%q,\"level\":\"INFO\",\"msg\":\"log.dropped\",\"lines\":%d}\n", time.Now().Format(time.RFC3339Nano), n-reported)
			reported, last = n, time.Now()
		}
	}
}
