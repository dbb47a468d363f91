package gateway

import (
	"io"
	"sync"
	"sync/atomic"
)

// tunnelRequests counts the requests in progress on a tunnel that this instance serves. A request begins with the
// first bytes from the other instance after bytes from the endpoint, and ends with its response. Where the two
// overlap it counts for too long, until the tunnel closes.
type tunnelRequests struct {
	total *atomic.Int64 // of all tunnels

	mu       sync.Mutex
	open     int
	response bool // the endpoint has sent bytes since the other instance did
}

// sent records bytes from the other instance.
func (t *tunnelRequests) sent() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.open == 0 || t.response {
		t.open++
		t.total.Add(1)
	}
	t.response = false
}

// responds records bytes from the endpoint, before they are passed on.
func (t *tunnelRequests) responds() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.response = true
}

// answered records the end of a response. The next request may have begun.
func (t *tunnelRequests) answered() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.open > 0 {
		t.open--
		t.total.Add(-1)
	}
}

// closed records the end of the tunnel.
func (t *tunnelRequests) closed() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.total.Add(-int64(t.open))
	t.open = 0
}

// onRead calls a function whenever bytes are read.
type onRead struct {
	io.Reader
	read func()
}

func (r onRead) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	if n > 0 {
		r.read()
	}
	return n, err
}

// onWrite calls a function before bytes are written.
type onWrite struct {
	io.Writer
	write func()
}

func (w onWrite) Write(b []byte) (int, error) {
	w.write()
	return w.Writer.Write(b)
}
