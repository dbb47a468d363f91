package main

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	listEvents   = 70
	listInterval = 30 * time.Millisecond
	listed       = 682 // submissions that an event names
	listClients  = 12
	crashTime    = 4500 * time.Millisecond
)

// longEvents: an engine crashes while it streams events that name many submissions.
func longEventsOfStreams(b *bench) error {
	if _, err := b.startServer("i-prefill-1", modelService, zoneName(0), "prefill", nil, func(s *server) { s.work = 5 * time.Millisecond }); err != nil {
		return err
	}
	var engines []*server
	for i := range 5 {
		s, err := b.startServer(fmt.Sprintf("i-decode-%d", i+1), modelService, zoneName(i), "decode", nil, func(s *server) { s.spoil = s.streamList })
		if err != nil {
			return err
		}
		engines = append(engines, s)
	}
	if err := b.startInstances(2); err != nil {
		return err
	}
	var wg sync.WaitGroup
	for i := range listClients {
		wg.Go(func() {
			c := b.newClient(b.instances[i%2])
			a := c.send(http.MethodPost, draftPath+"1", fmt.Sprintf("submissions %d", i), "14000",
				map[string]string{"Carawayrouter-Model": "m", "Carawayrouter-Token-Counts": "280,5040", "Carawayrouter-Prompt-Prefix": fmt.Sprintf("5c1e07a2:200,91bd3f%02x:80", i)})
			got := eventNumbers(a.body)
			b.note("stream   attempt=%s status=%d complete=%v events=%v", a.attempt, a.status, a.complete, got)
			want := make([]int, listEvents)
			for i := range want {
				want[i] = i + 1
			}
			if a.status == http.StatusOK && a.complete && !slices.Equal(got, want) {
				b.violation("ORDER: the stream of attempt %s ended as complete with %d of %d events", a.attempt, len(got), listEvents)
			}
		})
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(500 * time.Millisecond)
	if b.trouble {
		b.note("crash    server=%s, one of %d", engines[0].id, len(engines)+1)
		engines[0].crash()
	}
	wg.Wait()
	return nil
}

// crash ends a server without a word: its channels are reset and nothing listens at its address.
func (s *server) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-s.ended:
		return
	default:
	}
	close(s.ended)
	_ = s.ln.Close()
	for c := range s.channels {
		(&channel{Conn: c}).reset()
	}
}

// streamList answers with a stream of events that name submissions by their numbers, after Last-Event-Id.
func (s *server) streamList(c *channel, r *http.Request, _ string) (answered, open bool) {
	if r.URL.Path == "/health" {
		return false, true
	}
	first := 1
	if v := r.Header.Get("Last-Event-Id"); v != "" {
		n, err := strconv.Atoi(v)
		if err != nil || n < 0 {
			_, _ = io.WriteString(c, formatAnswer(http.StatusBadRequest, headerAttempt+": "+r.Header.Get(headerAttempt)+"\r\n", ""))
			return true, true
		}
		first = n + 1
		s.b.note("resume   server=%s attempt=%s after=%q", s.id, r.Header.Get(headerAttempt), v)
	}
	return true, s.streamFrom(c, r, first, listEvents, listInterval, listEvent)
}

// listEvent is an event that names submissions of the last days by their numbers.
func listEvent(i int) string {
	var list strings.Builder
	for n := range listed {
		if n > 0 {
			list.WriteByte(' ')
		}
		fmt.Fprintf(&list, "id:%d", (i*7+n*3)%60+10)
	}
	return fmt.Sprintf("id: %d\ndata: ids %s\n\n", i, list.String())
}

// streamFrom answers with the events from first on, in chunks, and reports whether the channel stays open.
func (s *server) streamFrom(c *channel, r *http.Request, first, events int, interval time.Duration, event func(i int) string) (open bool) {
	attempt := r.Header.Get(headerAttempt)
	if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"+headerAttempt+": "+attempt+"\r\n"+signature(attempt)+"Transfer-Encoding: chunked\r\n\r\n"); err != nil {
		return false
	}
	for i := first; i <= events; i++ {
		time.Sleep(interval)
		e := event(i)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(e), e); err != nil {
			s.b.note("closed   attempt=%s server=%s after=%d %v", attempt, s.id, i, err)
			return false
		}
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}

// eventNumbers returns the ids of the complete events in body.
func eventNumbers(body string) (ids []int) {
	for _, event := range strings.SplitAfter(body, "\n\n") {
		first, _, _ := strings.Cut(event, "\n")
		n, err := strconv.Atoi(strings.TrimPrefix(first, "id: "))
		if strings.HasSuffix(event, "\n\n") && err == nil {
			ids = append(ids, n)
		}
	}
	return ids
}
