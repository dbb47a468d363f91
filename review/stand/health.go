package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	garbleTime  = 5 * time.Second
	garbleRatio = 0.03
)

// lateHealthAnswer: a faulty server breaks off one answer and sends its health answer a second time, late.
func lateHealthAnswer(b *bench) error {
	var failing, broke, extra atomic.Bool
	spoilt := func(s *server) {
		s.unhealthy = failing.Load
		s.spoil = func(c *channel, r *http.Request, body string) (bool, bool) {
			switch {
			case !failing.Load():
			case r.URL.Path == "/health":
				// The answer comes a second time, where the next one on the channel is due.
				return extra.CompareAndSwap(false, true), true
			case strings.HasPrefix(r.URL.Path, recordPath) && broke.CompareAndSwap(false, true):
				b.note("break    server=%s attempt=%s", s.id, r.Header.Get(headerAttempt))
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Le")
				c.reset()
				return true, false
			}
			return false, true
		}
	}
	var faulty *server
	for i := range 3 {
		s, err := b.startServer(fmt.Sprintf("i-app-%d", i+1), plainService, zoneName(i), "", nil, func(s *server) {
			if i == 0 {
				spoilt(s)
			}
		})
		if err != nil {
			return err
		}
		if i == 0 {
			faulty = s
		}
	}
	if err := b.startInstances(3); err != nil {
		return err
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var mu sync.Mutex
	promised := map[string]int{}
	for i := range 9 {
		clients.Go(func() {
			c := b.newClient(b.instances[i%3])
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(80+rand.IntN(60)) * time.Millisecond):
				}
				if n%7 < 2 {
					c.send(http.MethodGet, checkPath+"2f", "", "1500", nil)
					continue
				}
				body := fmt.Sprintf("consent of reader %d-%d", i, n)
				a := c.send(http.MethodPost, recordPath+"2f", body, "1500", nil)
				if promises(a.status) {
					mu.Lock()
					promised[a.attempt] = a.status
					mu.Unlock()
					// The client goes by the promise and sends it again.
					c.send(http.MethodPost, recordPath+"2f", body, "1200", nil)
				}
			}
		})
	}
	time.Sleep(3 * time.Second)
	before := faulty.answered()
	if b.trouble {
		b.note("garble   server=%s", faulty.id)
		failing.Store(true)
	}
	time.Sleep(garbleTime)
	failing.Store(false)
	answers := faulty.answered() - before
	time.Sleep(2 * time.Second)
	close(stop)
	clients.Wait()
	time.Sleep(time.Second)
	if b.trouble {
		b.note("garble   2 of %d answers of the server", answers)
		if !broke.Load() || float64(answers)*garbleRatio < 2 {
			return fmt.Errorf("two of %d answers are more than a share of %g", answers, garbleRatio)
		}
	}
	for attempt, status := range promised {
		for _, r := range b.runsOf(func(r run) bool { return r.attempt == attempt }) {
			twice := len(b.runsOf(func(o run) bool { return o.body == r.body }))
			b.violation("REFUSED: attempt %s was answered %d and has run at %s; %q was recorded %d times", attempt, status, r.server, r.body, twice)
		}
	}
	return nil
}
