package main

import (
	"fmt"
	"os"
	"time"

	"carawayrouter.example/router/platform/emulator"
)

const (
	goneInstances = 3
	goneServers   = 12 // in three zones
	goneZone      = "zone-c"
	restartBefore = 300 * time.Millisecond // of the instance, before the zone's servers go
	startDelay    = 50 * time.Millisecond  // after they have gone
	cutDelay      = 250 * time.Millisecond
	cutTime       = 1500 * time.Millisecond
	contactTime   = 3 * time.Second // contact-ms
	goneLinger    = 12 * time.Second
)

// playGone has all servers of a zone go without a word while an instance is started again and, unless CUT is 0, cut off from the
// store for a short time. It looks for requests that the instance sends to them although they are gone, when it is in touch again.
func playGone(st *stage) (verdict, error) {
	st.store.Put("op", "config", configuration())
	w := work{callTime: callTime}
	var going []*server
	for i := range goneServers {
		s, err := st.startServer(fmt.Sprintf("i-%04x", 0x1000+i), emulator.PlainService, zoneOf(i), "", w)
		if err != nil {
			return verdict{}, err
		}
		if s.zone == goneZone {
			going = append(going, s)
		}
	}
	if err := st.begin(); err != nil {
		return verdict{}, err
	}
	x := st.daemons[0]
	others := &calls{st: st, done: make(chan struct{}), to: st.daemons[1:]}
	others.start()
	time.Sleep(3 * time.Second)
	if st.trouble {
		st.printf("%s is killed\n", x.name)
		x.kill()
	}
	time.Sleep(restartBefore)
	st.mu.Lock()
	st.live = removeAll(st.live, going)
	st.mu.Unlock()
	for _, s := range going {
		st.store.Remove("servers", s.id)
	}
	gone := time.Now()
	st.printf("the entries of the servers of %s are removed\n", goneZone)
	time.Sleep(startDelay)
	if st.trouble {
		if err := x.writeSettings(st.seeds, false); err != nil {
			return verdict{}, err
		}
		if err := x.start(); err != nil {
			return verdict{}, err
		}
		st.printf("%s starts again\n", x.name)
	}
	time.Sleep(cutDelay)
	if st.trouble && os.Getenv("CUT") != "0" {
		st.printf("%s is cut off from the store\n", x.name)
		x.store.setCut(true)
	}
	time.Sleep(cutTime)
	x.store.setCut(false)
	time.Sleep(contactTime)
	inTouch := time.Now()
	st.printf("%s is in touch\n", x.name)
	own := &calls{st: st, done: make(chan struct{}), to: st.daemons[:1]}
	own.start()
	time.Sleep(time.Until(gone.Add(goneLinger)))
	exited := time.Now()
	for _, s := range going {
		st.printf("server %s exits\n", s.id)
		_ = s.http.Close()
	}
	time.Sleep(time.Second)
	close(own.done)
	close(others.done)
	own.wg.Wait()
	others.wg.Wait()
	late, lost := 0, 0
	st.mu.Lock()
	arrivals := st.arrivals
	st.mu.Unlock()
	for _, a := range arrivals {
		if !a.run || a.server.zone != goneZone || !a.at.After(inTouch) || a.at.Sub(gone) <= drainBound || !own.has(a.attempt) {
			continue
		}
		late++
		if own.failed[a.attempt] != 0 && a.at.Before(exited) {
			lost++
			st.printf("lost: %s ran at %s\n", a.attempt, a.server.id)
		}
	}
	text := fmt.Sprintf("%d requests reached gone servers later than %v after the store's ack, %d of them were running when these exited and are lost; %d sent there, %d answered", late, drainBound, lost, own.sent, own.answered)
	if late > 0 {
		return verdict{broken: true, text: "DRAIN broken: " + text}, nil
	}
	if own.answered < own.sent*9/10 {
		return verdict{}, fmt.Errorf("too few requests were served: %s", text)
	}
	return verdict{text: "held: " + text}, nil
}

func removeAll(list, remove []*server) (kept []*server) {
	gone := map[*server]bool{}
	for _, s := range remove {
		gone[s] = true
	}
	for _, s := range list {
		if !gone[s] {
			kept = append(kept, s)
		}
	}
	return kept
}
