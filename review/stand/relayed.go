package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	relayedStreams  = 10
	relayedEvents   = 120
	relayedInterval = 70 * time.Millisecond
	contactTime     = 3 * time.Second
	lostToBreak     = 3 // more than these
)

// relayedRequests: one opening packet to an engine is lost, so that an instance reaches the engine through another
// one for a moment; the other one is stopped with SIGTERM while the streams that began then run.
func relayedRequests(b *bench) error {
	ln, err := listenNarrow()
	if err != nil {
		return err
	}
	if _, err := b.startServer("i-prefill-1", modelService, zoneName(0), "prefill", nil, func(s *server) { s.work = 5 * time.Millisecond }); err != nil {
		return err
	}
	gated := &gatedListener{Listener: ln, open: make(chan struct{})}
	close(gated.open)
	if _, err := b.startServer("i-decode-1", modelService, zoneName(1), "decode", gated, func(s *server) {
		s.spoil = func(c *channel, r *http.Request, body string) (bool, bool) {
			switch {
			case r.URL.Path == "/health":
				return false, true
			case body == "usual":
				return true, s.streamFrom(c, r, 1, 5, 10*time.Millisecond, shortEvent)
			}
			return true, s.streamFrom(c, r, 1, relayedEvents, relayedInterval, shortEvent)
		}
	}); err != nil {
		return err
	}
	if _, err := b.startServer("i-app-1", plainService, zoneName(0), "", nil, nil); err != nil {
		return err
	}
	if err := b.startInstances(2); err != nil {
		return err
	}
	clients := make([]*client, relayedStreams)
	send := func(i int, body string) answer {
		return clients[i].send(http.MethodPost, screenPath+"1", body, "14000", map[string]string{"Carawayrouter-Model": "m",
			"Carawayrouter-Token-Counts": fmt.Sprintf("1000,%d", relayedEvents*tokensOfEvent), "Carawayrouter-Prompt-Prefix": fmt.Sprintf("5c1e07a2:200,91bd3f%02x:800", i)})
	}
	for i := range clients {
		clients[i] = b.newClient(b.instances[0])
		if a := send(i, "usual"); a.status != http.StatusOK || !a.complete {
			return fmt.Errorf("a usual stream was not served: %+v", a)
		}
	}
	time.Sleep(1500 * time.Millisecond) // the instance opens new channels for requests that must not run twice
	reopen, err := gated.shut()
	if err != nil {
		return err
	}
	answers := make([]answer, relayedStreams)
	var streams sync.WaitGroup
	for i := range clients {
		streams.Go(func() { answers[i] = send(i, fmt.Sprintf("screen %d", i)) })
	}
	time.Sleep(200 * time.Millisecond)
	b.note("open     the engine takes new channels again")
	reopen()
	time.Sleep(contactTime + 500*time.Millisecond)
	if b.trouble {
		b.instances[1].signal(syscall.SIGTERM)
	}
	streams.Wait()
	lost, began := 0, 0
	for _, a := range answers {
		ran := len(b.runsOf(func(r run) bool { return r.attempt == a.attempt })) > 0
		b.note("stream   attempt=%s status=%d events=%d of %d ran=%v error=%v", a.attempt, a.status, len(eventNumbers(a.body)), relayedEvents, ran, a.err)
		if ran && !a.complete {
			lost++
		}
		if ran {
			began++
		}
	}
	if began <= lostToBreak {
		return fmt.Errorf("%d of %d streams ran", began, relayedStreams)
	}
	if lost > lostToBreak {
		b.violation("LOST: %s has closed %d kept channels in the middle of answers; it and the engine had no trouble for %v", b.instances[0].name, lost, contactTime)
	}
	return nil
}
