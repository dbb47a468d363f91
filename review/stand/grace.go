package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	graceInstances = 4                // one of them is a share of 0.25
	formerGrace    = 12               // s
	sheetGrace     = 8                // s, on the sheet
	reloadTime     = 5 * time.Second  // from SIGHUP to SIGTERM
	keptClients    = 110              // on kept channels
	keptReturn     = 11 * time.Second // between two requests of a client; four fifths of the limit for idle channels are 12 s
	keptEvents     = 70
	keptInterval   = 25 * time.Millisecond
)

// shorterGracePeriod: the settings file gives a shorter grace period, the instance gets SIGHUP, and later SIGTERM.
func shorterGracePeriod(b *bench) error {
	if _, err := b.startServer("i-prefill-1", modelService, zoneName(0), "prefill", nil, func(s *server) { s.work = 5 * time.Millisecond }); err != nil {
		return err
	}
	for i := range 2 {
		if _, err := b.startServer(fmt.Sprintf("i-decode-%d", i+1), modelService, zoneName(i), "decode", nil, func(s *server) {
			s.spoil = func(c *channel, r *http.Request, _ string) (bool, bool) {
				if r.URL.Path == "/health" {
					return false, true
				}
				return true, s.streamFrom(c, r, 1, keptEvents, keptInterval, shortEvent)
			}
		}); err != nil {
			return err
		}
		if _, err := b.startServer(fmt.Sprintf("i-app-%d", i+1), plainService, zoneName(i), "", nil, func(s *server) { s.slots = 24 }); err != nil {
			return err
		}
	}
	b.grace = formerGrace
	if err := b.startInstances(graceInstances); err != nil {
		return err
	}
	x := b.instances[0]
	var mu sync.Mutex
	var stopped time.Time // when SIGTERM was sent
	type sent struct {
		at time.Time
		answer
	}
	var all []sent
	var clients sync.WaitGroup
	over := make(chan struct{})
	for i := range keptClients {
		clients.Go(func() {
			// An open channel stays with its instance; a new one goes to the other when that one is not ready.
			c := b.newClient(x)
			time.Sleep(keptReturn * time.Duration(i) / keptClients)
			for n := 0; x.alive(); n++ {
				at := time.Now()
				var a answer
				if i%2 == 0 {
					a = c.send(http.MethodPost, recordPath+"1", fmt.Sprintf("consent %d-%d", i, n), "1500", nil)
				} else {
					a = c.send(http.MethodPost, screenPath+"1", fmt.Sprintf("screen %d-%d", i, n), "14000", map[string]string{"Carawayrouter-Model": "m",
						"Carawayrouter-Token-Counts": fmt.Sprintf("1000,%d", keptEvents*tokensOfEvent), "Carawayrouter-Prompt-Prefix": fmt.Sprintf("5c1e07a2:200,%08x:800", i<<16+n)})
				}
				mu.Lock()
				all = append(all, sent{at, a})
				began := stopped
				mu.Unlock()
				if a.closed && !began.IsZero() {
					return // the next channel goes to the other instance
				}
				select {
				case <-over:
					return
				case <-time.After(keptReturn - 100*time.Millisecond + rand.N(200*time.Millisecond)):
				}
			}
		})
	}
	time.Sleep(keptReturn + time.Second)
	if b.trouble {
		b.grace = sheetGrace
		file := filepath.Join(b.dir, x.name+".toml")
		if err := os.WriteFile(file+".new", []byte(x.settings(false)), 0o600); err != nil {
			return err
		}
		if err := os.Rename(file+".new", file); err != nil {
			return err
		}
		b.note("settings instance=%s grace-period-s=%d", x.name, b.grace)
		x.signal(syscall.SIGHUP)
	}
	time.Sleep(reloadTime)
	mu.Lock()
	stopped = time.Now()
	mu.Unlock()
	x.signal(syscall.SIGTERM)
	select {
	case <-x.exited:
	case <-time.After(time.Duration(b.grace) * time.Second):
		x.signal(syscall.SIGKILL)
		<-x.exited
	}
	close(over)
	clients.Wait()
	for _, a := range all {
		ran := b.runsOf(func(r run) bool { return r.attempt == a.attempt })
		after := a.at.Sub(stopped)
		switch {
		case len(ran) == 0 || a.complete || after < -3*time.Second:
		case after <= 3*time.Second:
			b.note("excused  attempt=%s sent %v after SIGTERM, status=%d error=%v", a.attempt, after, a.status, a.err)
		default:
			b.violation("LOST: attempt %s, sent %v after SIGTERM and run by %s, has no complete answer: status=%d error=%v", a.attempt, after, ran[0].server, a.status, a.err)
		}
	}
	return nil
}
