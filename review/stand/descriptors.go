package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	usualRate    = 250.0 // requests a second at an instance, each of another user
	burstFactor  = 2.2
	burstTime    = 4 * time.Second
	returnTime   = 12 * time.Second // between two requests of a user: four fifths of the limit for idle channels
	keepTime     = 8 * time.Second  // for which the users of the burst keep their channels after it
	recoveryTime = 12 * time.Second
	probes       = 40 // requests to an instance after the recovery
	appSlots     = 32 // of each server
)

// user sends requests on a channel that it keeps.
type user struct {
	b  *bench
	x  *instance
	nc net.Conn
	br *bufio.Reader
}

// newUser opens a channel to an instance. Clients allow it a second to be established.
func (b *bench) newUser(x *instance) (*user, error) {
	nc, err := net.DialTimeout("tcp", x.addr(frontendPort), time.Second)
	if err != nil {
		return nil, err
	}
	return &user{b: b, x: x, nc: nc, br: bufio.NewReaderSize(nc, 1024)}, nil
}

// check sends a status check and returns the status of the answer, 0 without one.
func (u *user) check() (status int) {
	attempt := newAttempt()
	defer func() { u.b.note("%s sent to %s, answered %d", attempt, u.x.name, status) }()
	_ = u.nc.SetDeadline(time.Now().Add(1500 * time.Millisecond))
	if _, err := io.WriteString(u.nc, "GET "+checkPath+"2f HTTP/1.1\r\nHost: "+host+"\r\n"+headerAttempt+": "+attempt+
		"\r\nCarawayrouter-Deadline-Ms: 1500\r\nCarawayrouter-Key: "+apiKey+"\r\n\r\n"); err != nil {
		return 0
	}
	resp, err := http.ReadResponse(u.br, nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode
}

// visit has a user come, and come back on its channel until stop is closed.
func (b *bench) visit(x *instance, stop <-chan struct{}, t *tally) {
	u, err := b.newUser(x)
	if err != nil {
		t.refused.Add(1)
		return
	}
	defer u.nc.Close()
	for {
		t.count(u.check())
		select {
		case <-stop:
			return
		case <-time.After(returnTime):
		}
	}
}

// tally counts the answers to users.
type tally struct{ served, other, none, refused atomic.Int64 }

func (t *tally) count(status int) {
	switch status {
	case http.StatusOK:
		t.served.Add(1)
	case 0:
		t.none.Add(1)
	default:
		t.other.Add(1)
	}
}

func (t *tally) String() string {
	return fmt.Sprintf("served=%d other=%d none=%d no-channel=%d", t.served.Load(), t.other.Load(), t.none.Load(), t.refused.Load())
}

// burstOfUsers: many users come at once and keep their channels; the descriptors run out while the platform asks
// whether the instance is ready.
func burstOfUsers(b *bench) error {
	for i := range 3 {
		if _, err := b.startServer(fmt.Sprintf("i-app-%d", i+1), plainService, zoneName(i), "", nil, func(s *server) { s.brief, s.slots = true, appSlots }); err != nil {
			return err
		}
	}
	b.descriptors = 4100
	if err := b.startInstances(2); err != nil {
		return err
	}
	stop, leave := make(chan struct{}), make(chan struct{})
	var all sync.WaitGroup
	for _, x := range b.instances {
		all.Go(func() { b.askReadiness(x, stop) })
	}
	var usual, extra tally
	arrive := func(n int, in time.Duration, until <-chan struct{}, t *tally) {
		for i := range n * len(b.instances) {
			x := b.instances[i%len(b.instances)]
			all.Go(func() {
				select {
				case <-time.After(in * time.Duration(i) / time.Duration(n*len(b.instances))):
					b.visit(x, until, t)
				case <-until:
				}
			})
		}
	}
	arrive(int(usualRate*returnTime.Seconds()), returnTime, stop, &usual)
	time.Sleep(returnTime + 2*time.Second)
	b.note("usual    %v", &usual)
	if b.trouble {
		more := (burstFactor - 1) * usualRate
		arrive(int(more*burstTime.Seconds()), burstTime, leave, &extra)
		time.Sleep(burstTime + keepTime)
		b.note("burst    %v, usual %v", &extra, &usual)
	}
	close(leave)
	b.note("calm     the users of the burst leave")
	time.Sleep(recoveryTime)
	before := usual.served.Load()
	time.Sleep(returnTime)
	b.note("usual    %v", &usual)
	total, served := 0, 0
	for _, x := range b.instances {
		ok := 0
		for range probes {
			status := 0
			if u, err := b.newUser(x); err == nil {
				status = u.check()
				_ = u.nc.Close()
			}
			if status == http.StatusOK {
				ok++
			}
			b.note("probe    instance=%s status=%d", x.name, status)
		}
		b.note("probes   instance=%s served=%d of %d, alive=%v", x.name, ok, probes, x.alive())
		total, served = total+probes, served+ok
	}
	returning := usual.served.Load() - before
	close(stop)
	all.Wait()
	if 4*served < total {
		b.violation("RECOVER: %v after the users of a burst have left, %d of %d new requests and %d requests of usual users were served", recoveryTime, served, total, returning)
	}
	return nil
}

// askReadiness asks an instance every second whether it is ready, as the platform does.
func (b *bench) askReadiness(x *instance, stop <-chan struct{}) {
	last := -1
	for {
		status := 0
		c := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
		if resp, err := c.Get("http://" + x.addr(readinessPort) + "/v1/readiness"); err == nil {
			_ = resp.Body.Close()
			status = resp.StatusCode
		}
		if status != last {
			b.note("ready    instance=%s status=%d", x.name, status)
			last = status
		}
		select {
		case <-stop:
			return
		case <-time.After(time.Second):
		}
	}
}
