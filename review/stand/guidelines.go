package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	guideInstances  = 2
	guideEngines    = 18
	guideCrashed    = 3   // 3 of 18 are a share of 0.167
	guideRate       = 229 // requests a second at an instance
	guideClients    = 60  // at an instance
	guideChecks     = 20  // status checks a second at an instance
	guideFirstEvent = 150 * time.Millisecond
	guideEvents     = 3
	oldGuidelines   = 24 * time.Second // until the guidelines are edited
	newGuidelines   = 6 * time.Second  // from then until the crash
	guideMeasured   = 10 * time.Second
	oldPart         = "5c1e07a2"
	newPart         = "77d3b1f0"
)

// editedGuidelines: some engines crash, a few seconds after the guidelines that all prompts share have been edited.
func editedGuidelines(b *bench) error {
	var engines []*server
	start := func(i int, id string) error {
		s, err := b.startServer(id, modelService, zoneName(i%guideInstances), "decode", nil, func(s *server) {
			s.brief = true
			s.spoil = func(c *channel, r *http.Request, _ string) (bool, bool) {
				if r.URL.Path == "/health" {
					return false, true
				}
				time.Sleep(guideFirstEvent)
				return true, s.streamFrom(c, r, 1, guideEvents, 10*time.Millisecond, shortEvent)
			}
		})
		if err == nil {
			engines = append(engines, s)
		}
		return err
	}
	for i := range guideEngines {
		if err := start(i, fmt.Sprintf("i-decode-%d", i+1)); err != nil {
			return err
		}
	}
	for i := range 3 {
		if _, err := b.startServer(fmt.Sprintf("i-app-%d", i+1), plainService, zoneName(i), "", nil, func(s *server) { s.brief = true }); err != nil {
			return err
		}
	}
	if err := b.startInstances(guideInstances); err != nil {
		return err
	}
	var part atomic.Value
	part.Store(oldPart)
	var t atomic.Pointer[kinds]
	t.Store(&kinds{})
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for _, x := range b.instances {
		clients.Go(func() { b.checkForever(x, &t, stop) })
		for i := range guideClients {
			clients.Go(func() { b.draftForever(x, i, &part, &t, stop) })
		}
	}
	measure := func(name string, d time.Duration) *kinds {
		m := &kinds{}
		t.Store(m)
		time.Sleep(d)
		b.note("%s drafts %v, checks %v", name, &m.drafts, &m.checks)
		return m
	}
	measure("old      guidelines,", oldGuidelines)
	part.Store(newPart)
	before := measure("edited   guidelines,", newGuidelines)
	if b.trouble {
		for _, s := range engines[:guideCrashed] {
			b.note("crash    server=%s", s.id)
			s.crash()
		}
	}
	measure("crash    down,", crashTime)
	if b.trouble {
		for i := range guideCrashed {
			b.note("back     server=i-decode-%d-b", i+1)
			if err := start(i, fmt.Sprintf("i-decode-%d-b", i+1)); err != nil {
				return err
			}
		}
	}
	measure("recovery", recoveryTime)
	after := measure("after    ", guideMeasured)
	time.Sleep(300 * time.Millisecond)
	close(stop)
	clients.Wait()
	if served, sent := before.count(); sent == 0 || 4*served < sent {
		return fmt.Errorf("%d of %d requests were served before the crash", served, sent)
	}
	if served, sent := after.count(); 4*served < sent {
		b.violation("RECOVER: %v after the servers are back %d of %d requests are served, %d of them drafts", recoveryTime, served, sent, after.drafts.served.Load())
	}
	return nil
}

// kinds counts the answers to the two kinds of requests.
type kinds struct{ drafts, checks tally }

// count returns how many requests were served and how many were answered or not.
func (k *kinds) count() (served, sent int64) {
	for _, t := range []*tally{&k.drafts, &k.checks} {
		served += t.served.Load()
		sent += t.served.Load() + t.other.Load() + t.none.Load()
	}
	return served, sent
}

// shortEvent is an event of a caption.
func shortEvent(i int) string { return fmt.Sprintf("id: %d\ndata: caption\n\n", i) }

// draftForever sends drafts at the client's part of the rate until stop is closed.
func (b *bench) draftForever(x *instance, i int, part *atomic.Value, t *atomic.Pointer[kinds], stop <-chan struct{}) {
	c := b.newClient(x)
	c.brief = true
	interval := time.Second * guideClients / guideRate
	time.Sleep(rand.N(interval))
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		m := t.Load()
		a := c.send(http.MethodPost, draftPath+"1", fmt.Sprintf("photograph %s-%d-%d", x.name, i, n), "14000", map[string]string{"Carawayrouter-Model": "m",
			"Carawayrouter-Token-Counts": "1000,216", "Carawayrouter-Prompt-Prefix": fmt.Sprintf("%s:200,%08x:800", part.Load(), i<<16+n)})
		if a.status == http.StatusOK && !a.complete {
			a.status = 0
		}
		m.drafts.count(a.status)
	}
}

// checkForever sends status checks until stop is closed.
func (b *bench) checkForever(x *instance, t *atomic.Pointer[kinds], stop <-chan struct{}) {
	c := b.newClient(x)
	c.brief = true
	tick := time.NewTicker(time.Second / guideChecks)
	defer tick.Stop()
	for {
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		m := t.Load()
		m.checks.count(c.send(http.MethodGet, checkPath+newAttempt(), "", "1500", nil).status)
	}
}
