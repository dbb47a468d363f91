package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"carawayrouter.example/router/platform/emulator"
)

const (
	replacements    = 16
	replaceInterval = 3 * time.Second
	replaceDelay    = 2 * time.Second // from the end of a machine to the start of the next one
	replaceRate     = 40              // requests a second of the tenant, 200 tokens each
	replaceLimit    = 10_000          // tokens a second
	replaceMeasured = 20 * time.Second
)

// replaceMachines: machines are removed for good, one after the other, and others come at other addresses.
func replaceMachines(b *bench) error {
	b.rate = replaceLimit
	b.configure(2)
	for i := range 3 {
		if _, err := b.startServer(fmt.Sprintf("i-app-%d", i+1), plainService, zoneName(i), "", nil, func(s *server) { s.brief = true }); err != nil {
			return err
		}
	}
	if err := b.startInstances(2); err != nil {
		return err
	}
	var mu sync.Mutex
	live := slices.Clone(b.instances)
	var t atomic.Pointer[tally]
	t.Store(&tally{})
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i := range 2 {
		clients.Go(func() {
			tick := time.NewTicker(2 * time.Second / replaceRate)
			defer tick.Stop()
			for {
				select {
				case <-stop:
					return
				case <-tick.C:
				}
				mu.Lock()
				x := live[min(i, len(live)-1)]
				mu.Unlock()
				clients.Go(func() {
					c := b.newClient(x)
					defer c.http.CloseIdleConnections()
					c.brief = true
					m := t.Load()
					m.count(c.send(http.MethodGet, checkPath+"2f", "", "1500", nil).status)
				})
			}
		})
	}
	measure := func(name string, d time.Duration) *tally {
		m := &tally{}
		t.Store(m)
		time.Sleep(d)
		b.note("%s %v", name, m)
		return m
	}
	before := measure("before  ", 15*time.Second)
	for i := range replacements {
		if !b.trouble {
			time.Sleep(replaceInterval)
			continue
		}
		mu.Lock()
		old := live[0]
		live = live[1:]
		mu.Unlock()
		old.signal(syscall.SIGKILL)
		<-old.exited
		time.Sleep(replaceDelay)
		n := len(b.instances)
		x := &instance{b: b, name: fmt.Sprintf("frontend-%d", n+1), zone: zoneName(n), host: fmt.Sprintf("127.%d.%d.%d", b.network[0], b.network[1], n+1), seeds: live[0].seeds}
		base, err := emulator.FreePorts(x.host, 24)
		if err != nil {
			return err
		}
		x.base = base
		b.instances = append(b.instances, x)
		if err := x.start(false); err != nil {
			return err
		}
		if err := x.awaitReady(); err != nil {
			return err
		}
		mu.Lock()
		live = append(live, x)
		mu.Unlock()
		b.note("replaced %d", i+1)
	}
	measure("recovery", recoveryTime)
	after := measure("after   ", replaceMeasured)
	close(stop)
	clients.Wait()
	total := func(m *tally) int64 { return m.served.Load() + m.other.Load() + m.none.Load() }
	if total(before) == 0 || 4*before.served.Load() < total(before) {
		return fmt.Errorf("less than a quarter was served before: %v", before)
	}
	if 4*after.served.Load() < total(after) {
		b.violation("RECOVER: %v after the last machine has come %d of %d requests are served", recoveryTime, after.served.Load(), total(after))
	}
	return nil
}
