package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
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
	gate := make(chan struct{})
	gated := &gatedListener{Listener: ln, gate: gate}
	if _, err := b.startServer("i-decode-1", modelService, zoneName(1), "decode", gated, func(s *server) { s.spoil = s.streamWithoutLength }); err != nil {
		return err
	}
	if _, err := b.startServer("i-app-1", plainService, zoneName(0), "", nil, nil); err != nil {
		return err
	}
	if err := b.startInstances(2); err != nil {
		return err
	}
	// The queue of new channels is full, so the next opening packet is dropped.
	blocker, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		return err
	}
	defer blocker.Close()
	result := make(chan answer, 1)
	go func() {
		result <- b.newClient(b.instances[0]).send(http.MethodPost, draftPath+"1", "a draft", "14000",
			map[string]string{"Carawayrouter-Model": "m", "Carawayrouter-Token-Counts": "280,5040", "Carawayrouter-Prompt-Prefix": "5c1e07a2:200,91bd3f06:80"})
	}()
	time.Sleep(200 * time.Millisecond)
	b.note("open     the engine takes new channels again")
	close(gate)
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
	b.note("stream   status=%d events=%d of %d complete=%v", a.status, ids, streamEvents, a.complete)
	if a.status != http.StatusOK {
		return fmt.Errorf("the stream was not served: status %d, %v", a.status, a.err)
	}
	if a.complete && ids < streamEvents {
		b.violation("ORDER: the stream of attempt %s ended as complete after %d of %d events", a.attempt, ids, streamEvents)
	}
	return nil
}

// gatedListener accepts no connection before its gate is open.
type gatedListener struct {
	net.Listener
	gate chan struct{}
}

// Accept implements net.Listener.
func (l *gatedListener) Accept() (net.Conn, error) {
	<-l.gate
	return l.Listener.Accept()
}

// streamWithoutLength answers with a stream that ends with its channel.
func (s *server) streamWithoutLength(c *channel, r *http.Request, _ string) (answered, open bool) {
	if r.URL.Path == "/health" {
		return false, true
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
