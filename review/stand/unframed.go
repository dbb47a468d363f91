package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	streamEvents   = 70
	streamInterval = 100 * time.Millisecond
)

// unframedStream: one opening packet from an instance to an engine is lost, so that the instance reaches the
// engine through another instance; that one is stopped with SIGTERM while a stream without a length runs.
func unframedStream(b *bench) error {
	ln, err := listenNarrow()
	if err != nil {
		return err
	}
	if _, err := b.startServer("i-prefill-1", modelService, zoneName(0), "prefill", nil, func(s *server) { s.work = 5 * time.Millisecond }); err != nil {
		return err
	}
	gated := &gatedListener{Listener: ln, open: make(chan struct{})}
	close(gated.open)
	engine, err := b.startServer("i-decode-1", modelService, zoneName(1), "decode", gated, func(s *server) { s.spoil = s.streamWithoutLength })
	if err != nil {
		return err
	}
	if _, err := b.startServer("i-app-1", plainService, zoneName(0), "", nil, nil); err != nil {
		return err
	}
	if err := b.startInstances(2); err != nil {
		return err
	}
	draft := func(c *client, body string) answer {
		return c.send(http.MethodPost, draftPath+"1", body, "14000",
			map[string]string{"Carawayrouter-Model": "m", "Carawayrouter-Token-Counts": "280,5040", "Carawayrouter-Prompt-Prefix": "5c1e07a2:200,91bd3f06:80"})
	}
	// Streams with a length, through the other instance: the one without is at most a share of 0.05 of the answers.
	usual := b.newClient(b.instances[1])
	began := time.Now()
	for range usualStreams {
		if a := draft(usual, "usual"); a.status != http.StatusOK || !a.complete {
			return fmt.Errorf("a usual stream was not served: %+v", a)
		}
	}
	if took := time.Since(began); took > garbleTime {
		return fmt.Errorf("the usual streams took %v", took)
	}
	reopen, err := gated.shut()
	if err != nil {
		return err
	}
	result := make(chan answer, 1)
	go func() { result <- draft(b.newClient(b.instances[0]), withoutLength) }()
	time.Sleep(200 * time.Millisecond)
	b.note("open     the engine takes new channels again")
	reopen()
	time.Sleep(1300 * time.Millisecond)
	if b.trouble {
		b.instances[1].signal(syscall.SIGTERM)
	}
	var a answer
	select {
	case a = <-result:
	case <-time.After(20 * time.Second):
		return fmt.Errorf("the stream has no end")
	}
	ids := completeEvents(a.body)
	b.note("stream   status=%d events=%d of %d complete=%v, one of %d answers of the engine has no length", a.status, ids, streamEvents, a.complete, engine.answered()+1)
	if a.status != http.StatusOK {
		return fmt.Errorf("the stream was not served: status %d, %v", a.status, a.err)
	}
	if a.complete && ids < streamEvents {
		b.violation("ORDER: the stream of attempt %s ended as complete after %d of %d events", a.attempt, ids, streamEvents)
	}
	return nil
}

const (
	usualStreams  = 20
	usualEvents   = 10
	usualInterval = 10 * time.Millisecond
	withoutLength = "a draft" // body of the request whose answer has no length
)

// gatedListener accepts no connection while it is shut.
type gatedListener struct {
	net.Listener
	mu   sync.Mutex
	open chan struct{} // closed while the listener is open
}

// Accept implements net.Listener.
func (l *gatedListener) Accept() (net.Conn, error) {
	l.mu.Lock()
	open := l.open
	l.mu.Unlock()
	<-open
	return l.Listener.Accept()
}

// shut stops accepting and fills the queue of new channels, so that further opening packets are dropped. The
// function that it returns opens the listener again.
func (l *gatedListener) shut() (reopen func(), err error) {
	open := make(chan struct{})
	l.mu.Lock()
	l.open = open
	l.mu.Unlock()
	for range 2 { // the first is taken by the call of Accept that waits
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			return nil, err
		}
		time.AfterFunc(10*time.Second, func() { _ = c.Close() })
		time.Sleep(20 * time.Millisecond)
	}
	return func() { close(open) }, nil
}

// streamWithoutLength answers with a stream, one request with a stream that ends with its channel.
func (s *server) streamWithoutLength(c *channel, r *http.Request, body string) (answered, open bool) {
	if r.URL.Path == "/health" {
		return false, true
	}
	if body != withoutLength {
		return true, s.stream(c, r, usualEvents, usualInterval, nil)
	}
	attempt := r.Header.Get(headerAttempt)
	if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"+headerAttempt+": "+attempt+"\r\n"+signature(attempt)+"Connection: close\r\n\r\n"); err != nil {
		return true, false
	}
	for i := 1; i <= streamEvents; i++ {
		time.Sleep(streamInterval)
		if _, err := fmt.Fprintf(c, "id: %d\ndata: %s %d\n\n", i, attempt, i); err != nil {
			s.b.note("closed   attempt=%s server=%s after=%d %v", attempt, s.id, i, err)
			return true, false
		}
	}
	return true, false
}

// completeEvents returns the number of events in body that are complete and in order.
func completeEvents(body string) int {
	n := 0
	for _, event := range strings.Split(body, "\n\n") {
		if !strings.HasPrefix(event, fmt.Sprintf("id: %d\n", n+1)) {
			break
		}
		n++
	}
	return n
}
