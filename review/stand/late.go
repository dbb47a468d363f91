package main

import (
	"fmt"
	"io"
	"net/http"
	"syscall"
	"time"
)

const (
	screenEvents   = 110
	screenInterval = 15 * time.Millisecond
	longEvents     = 130 // of the stream that runs when the instance is stopped
	longInterval   = 30 * time.Millisecond
	preempted      = "late 2"                // the newest stream
	preemptedAfter = 40                      // events
	preemptedFor   = 3400 * time.Millisecond // shorter than clients wait for an event
	lateBy         = 3150 * time.Millisecond // from SIGTERM to the requests on kept channels
	lateClients    = 3
)

// lateStreams: an instance that is stopped accepts streams on kept channels and cuts one when it exits.
func lateStreams(b *bench) error {
	if _, err := b.startServer("i-prefill-1", modelService, zoneName(0), "prefill", nil, func(s *server) { s.work = 18 * time.Millisecond }); err != nil {
		return err
	}
	if _, err := b.startServer("i-decode-1", modelService, zoneName(1), "decode", nil, func(s *server) { s.spoil = s.screen }); err != nil {
		return err
	}
	if err := b.startInstances(2); err != nil {
		return err
	}
	x := b.instances[0]
	screen := func(c *client, name string, events int) answer {
		return c.send(http.MethodPost, screenPath+"1", name, "14000", map[string]string{"Carawayrouter-Model": "m",
			"Carawayrouter-Token-Counts": fmt.Sprintf("1000,%d", events*tokensOfEvent), "Carawayrouter-Prompt-Prefix": "5c1e07a2:200,91bd3f06:800"})
	}
	// Some streams as usual. Their clients keep their channels.
	clients := make([]*client, lateClients)
	for i := range clients {
		clients[i] = b.newClient(x)
		if a := screen(clients[i], "usual", screenEvents); a.status != http.StatusOK || !a.complete {
			return fmt.Errorf("a usual stream was not served: %+v", a)
		}
	}
	running := make(chan answer, 1)
	go func() { running <- screen(b.newClient(x), "long", longEvents) }()
	time.Sleep(500 * time.Millisecond)
	if b.trouble {
		x.signal(syscall.SIGTERM)
	}
	time.Sleep(lateBy)
	answers := make(chan answer, lateClients)
	for i, c := range clients {
		go func() { answers <- screen(c, fmt.Sprintf("late %d", i), screenEvents) }()
		time.Sleep(10 * time.Millisecond)
	}
	for range clients {
		a := <-answers
		ran := len(b.runsOf(func(r run) bool { return r.attempt == a.attempt })) > 0
		events := completeEvents(a.body)
		b.note("stream   attempt=%s status=%d events=%d of %d ran=%v error=%v", a.attempt, a.status, events, screenEvents, ran, a.err)
		if ran && !a.complete {
			b.violation("LOST: attempt %s, sent %v after SIGTERM and passed on, ended after %d of %d events", a.attempt, lateBy, events, screenEvents)
		}
	}
	if a := <-running; a.status != http.StatusOK {
		return fmt.Errorf("the long stream was not served: %+v", a)
	}
	return nil
}

// tokensOfEvent is how many tokens an event of a stream contains.
const tokensOfEvent = 72

// screen answers with a stream. The newest one is preempted once, in the middle of its stream.
func (s *server) screen(c *channel, r *http.Request, body string) (answered, open bool) {
	if r.URL.Path == "/health" {
		return false, true
	}
	if body == "long" {
		return true, s.stream(c, r, longEvents, longInterval, nil)
	}
	return true, s.stream(c, r, screenEvents, screenInterval, func(i int) {
		if i == preemptedAfter && body == preempted {
			s.b.note("preempt  attempt=%s", r.Header.Get(headerAttempt))
			time.Sleep(preemptedFor)
			s.b.note("resume   attempt=%s", r.Header.Get(headerAttempt))
		}
	})
}

// stream answers with a stream in chunks and reports whether the channel stays open. Before is called before
// each event.
func (s *server) stream(c *channel, r *http.Request, events int, interval time.Duration, before func(i int)) (open bool) {
	attempt := r.Header.Get(headerAttempt)
	if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"+headerAttempt+": "+attempt+"\r\n"+signature(attempt)+"Transfer-Encoding: chunked\r\n\r\n"); err != nil {
		return false
	}
	for i := 1; i <= events; i++ {
		time.Sleep(interval)
		if before != nil {
			before(i)
		}
		event := fmt.Sprintf("id: %d\ndata: %s %d\n\n", i, attempt, i)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
			s.b.note("closed   attempt=%s server=%s after=%d %v", attempt, s.id, i, err)
			return false
		}
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}
