package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"carawayrouter.example/router/platform/emulator"
)

const (
	drainInstances = 3
	drainServers   = 6 // and one that starts while they serve
	drainBound     = 2 * time.Second
	callTime       = 200 * time.Millisecond
	callsPerS      = 48                     // the records of hric-submit
	upTime         = 700 * time.Millisecond // until the new server crashes
	downTime       = 500 * time.Millisecond
	clockStep      = -2 * time.Second
	calmTime       = 8 * time.Second // from the restart to the report that the server leaves
	lingerTime     = 6 * time.Second // for which it serves on then
)

// playDrain has a server start, crash and start again under its id while the time of day of its machine jumps back, and leave
// later as planned. It looks for requests that reach it too late.
func playDrain(st *stage) (verdict, error) {
	st.store.Put("op", "config", configuration())
	w := work{callTime: callTime}
	for i := range drainServers {
		if _, err := st.startServer(fmt.Sprintf("i-%04x", 0x1000+i), emulator.PlainService, zoneOf(i), "", w); err != nil {
			return verdict{}, err
		}
	}
	if err := st.begin(); err != nil {
		return verdict{}, err
	}
	calls := &calls{st: st, to: st.daemons, done: make(chan struct{})}
	calls.start()
	time.Sleep(time.Second)
	added, err := st.startServer("i-2000", emulator.PlainService, zoneOf(drainServers), "", w)
	if err != nil {
		return verdict{}, err
	}
	st.printf("server %s starts, born %d\n", added.id, added.born)
	time.Sleep(upTime)
	clock := time.Duration(0)
	if st.trouble {
		clock = clockStep
		st.printf("the time of day of its machine jumps by %v\n", clock)
	}
	st.printf("server %s crashes\n", added.id)
	st.end(added)
	time.Sleep(downTime)
	added, err = st.startServerAt(added.addr, clock, added.id, added.service, added.zone, "", w)
	if err != nil {
		return verdict{}, err
	}
	st.printf("server %s starts again, born %d\n", added.id, added.born)
	time.Sleep(calmTime)
	added.drain()
	drained := time.Now()
	st.printf("server %s: the store has accepted that it is draining\n", added.id)
	time.Sleep(lingerTime)
	st.printf("server %s exits\n", added.id)
	st.end(added)
	st.store.Remove("servers", added.id)
	exited := time.Now()
	time.Sleep(time.Second)
	close(calls.done)
	calls.wg.Wait()
	late := 0
	st.mu.Lock()
	arrivals := st.arrivals
	st.mu.Unlock()
	at := map[string]time.Time{}
	for _, a := range arrivals {
		if a.server != added {
			continue
		}
		at[a.attempt] = a.at
		if a.run && a.at.Sub(drained) > drainBound {
			late++
		}
	}
	lost := 0
	for id, status := range calls.failed {
		if t, ok := at[id]; ok && t.After(drained.Add(drainBound)) && t.Before(exited) {
			lost++
			st.printf("lost: %s ran at %s and was answered %d\n", id, added.id, status)
		}
	}
	text := fmt.Sprintf("%d requests reached a server later than %v after the store's ack that it is draining, %d of them were running when it exited and are lost; %d sent, %d answered", late, drainBound, lost, calls.sent, calls.answered)
	if late > 0 {
		return verdict{broken: true, text: "DRAIN broken: " + text}, nil
	}
	if calls.answered < calls.sent*9/10 {
		return verdict{}, fmt.Errorf("too few requests were served: %s", text)
	}
	return verdict{text: "held: " + text}, nil
}

// calls sends requests of a route that may run once at most, at a steady rate.
type calls struct {
	st   *stage
	to   []*daemon // in turn
	wg   sync.WaitGroup
	done chan struct{}

	mu             sync.Mutex
	ids            map[string]bool
	sent, answered int
	failed         map[string]int // status by attempt
}

func (c *calls) start() {
	c.failed, c.ids = map[string]int{}, map[string]bool{}
	c.wg.Go(func() {
		ticker := time.NewTicker(time.Second / callsPerS)
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-c.done:
				return
			case <-ticker.C:
			}
			c.wg.Go(func() { c.send(c.to[i%len(c.to)]) })
		}
	})
}

func (c *calls) send(d *daemon) {
	client := emulator.NewClient(d.addr(0), false)
	defer client.Close()
	r := client.Do(context.Background(), emulator.Request{Method: http.MethodPost, Path: emulator.NonIdempotentPath + "x", Key: emulator.Key, Body: "consent"})
	c.st.printf("request %s at %s: status %d, complete %t\n", r.ID, d.name, r.Status, r.Complete)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent++
	c.ids[r.ID] = true
	if r.Status == http.StatusOK && r.Complete {
		c.answered++
		return
	}
	c.failed[r.ID] = max(1, r.Status)
}

// has reports whether an attempt is one of these.
func (c *calls) has(attempt string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ids[attempt]
}
