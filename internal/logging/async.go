package logging

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	asyncLines  = 2048                   // lines that may wait; at 300 bytes well below 1 MB
	dropReport  = time.Second            // between two lines that say what was dropped
	closeWindow = 200 * time.Millisecond // to write what waits when the process ends
)

// Async is a writer that never blocks: lines wait in a bounded channel for one writing
// goroutine, and are dropped and counted when it is full.
type Async struct {
	lines   chan []byte
	dropped atomic.Int64
	closed  chan struct{}
	done    chan struct{}
}

// NewAsync starts writing to w.
func NewAsync(w io.Writer) *Async {
	a := &Async{lines: make(chan []byte, asyncLines), closed: make(chan struct{}), done: make(chan struct{})}
	go a.run(w)
	return a
}

// Write implements io.Writer. It takes one line and never fails.
func (a *Async) Write(line []byte) (int, error) {
	select {
	case a.lines <- append([]byte(nil), line...):
	default:
		a.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (a *Async) Dropped() int64 { return a.dropped.Load() }

// Close writes what waits, as far as that takes little time.
func (a *Async) Close() {
	close(a.closed)
	select {
	case <-a.done:
	case <-time.After(closeWindow):
	}
}

func (a *Async) run(w io.Writer) {
	defer close(a.done)
	reported := int64(0)
	last := time.Time{}
	for {
		select {
		case line := <-a.lines:
			_, _ = w.Write(line) // there is nowhere left to report a failure to
		case <-a.closed:
			for len(a.lines) > 0 {
				_, _ = w.Write(<-a.lines)
			}
			return
		}
		if n := a.dropped.Load(); n > reported && time.Since(last) > dropReport {
			_, _ = fmt.Fprintf(w, "{\"time\":%q,\"level\":\"INFO\",\"msg\":\"log.dropped\",\"lines\":%d}\n", time.Now().Format(time.RFC3339Nano), n-reported)
			reported, last = n, time.Now()
		}
	}
}
