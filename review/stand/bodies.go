package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	memoryLimitKB   = 134 << 10
	photographBytes = 4_000_000 // the configuration allows 4,194,304
	uploadTime      = 11 * time.Second
	uploadSteps     = 80
	uploadRate      = 2.0 // requests a second at each instance
	uploadBurst     = 2.0
	uploadBurstTime = 5 * time.Second
	uploadBursts    = 3
	burstInterval   = 22 * time.Second
	killsToBreak    = 3
	restartDelay    = time.Second
)

// residentKB returns the anonymous memory of a process that is resident.
func residentKB(pid int) int {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(b), "\n") {
		if f := strings.Fields(line); len(f) > 1 && f[0] == "RssAnon:" {
			n, _ := strconv.Atoi(f[1])
			return n
		}
	}
	return 0
}

// memory is what the platform knows of an instance's memory.
type memory struct {
	peakKB atomic.Int64
	kills  atomic.Int64
}

// watchMemory kills the process when it exceeds its memory, and starts it again, as the platform does.
func (b *bench) watchMemory(x *instance, m *memory, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		kb := residentKB(x.cmd.Process.Pid)
		m.peakKB.Store(max(m.peakKB.Load(), int64(kb)))
		if kb <= memoryLimitKB {
			continue
		}
		m.kills.Add(1)
		b.note("memory   instance=%s %d KB are over the limit of %d KB", x.name, kb, memoryLimitKB)
		x.signal(syscall.SIGKILL)
		<-x.exited
		time.Sleep(restartDelay)
		if err := x.start(false); err != nil {
			b.note("restart  instance=%s error=%v", x.name, err)
			return
		}
	}
}

// upload sends a draft request with a photograph over a slow link and reads the answer.
func (b *bench) upload(x *instance, t *tally) {
	nc, err := net.DialTimeout("tcp", x.addr(frontendPort), time.Second)
	if err != nil {
		t.refused.Add(1)
		return
	}
	defer nc.Close()
	_ = nc.SetDeadline(time.Now().Add(14 * time.Second))
	head := "POST " + draftPath + "1 HTTP/1.1\r\nHost: " + host + "\r\n" + headerAttempt + ": " + newAttempt() +
		"\r\nCarawayrouter-Deadline-Ms: 14000\r\nCarawayrouter-Key: " + apiKey + "\r\nCarawayrouter-Model: m\r\nCarawayrouter-Token-Counts: 5000,5040\r\n" +
		"Carawayrouter-Prompt-Prefix: 5c1e07a2:200,91bd3f06:4800\r\nContent-Length: " + strconv.Itoa(photographBytes) + "\r\n\r\n"
	if _, err := io.WriteString(nc, head); err != nil {
		t.none.Add(1)
		return
	}
	piece := bytes.Repeat([]byte{'x'}, photographBytes/uploadSteps)
	for range uploadSteps {
		if _, err := nc.Write(piece); err != nil {
			t.none.Add(1)
			return
		}
		time.Sleep(uploadTime / uploadSteps)
	}
	resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
	if err != nil {
		t.none.Add(1)
		return
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		t.none.Add(1)
		return
	}
	t.count(resp.StatusCode)
}

// photographs: requests with large bodies come over slow links, and in bursts more of them.
func photographs(b *bench) error {
	if _, err := b.startServer("i-prefill-1", modelService, zoneName(0), "prefill", nil, func(s *server) { s.work = 90 * time.Millisecond }); err != nil {
		return err
	}
	for i := range 3 {
		if _, err := b.startServer(fmt.Sprintf("i-decode-%d", i+1), modelService, zoneName(i), "decode", nil, func(s *server) { s.spoil, s.quiet = s.screen, true }); err != nil {
			return err
		}
	}
	if err := b.startInstances(2); err != nil {
		return err
	}
	stop := make(chan struct{})
	var watchers, clients sync.WaitGroup
	memories := make([]*memory, len(b.instances))
	for i, x := range b.instances {
		memories[i] = &memory{}
		watchers.Go(func() { b.watchMemory(x, memories[i], stop) })
	}
	var t tally
	began := time.Now()
	length := burstInterval * uploadBursts
	for now := time.Duration(0); now < length; now = time.Since(began) {
		rate := uploadRate
		if inBurst := now%burstInterval - (burstInterval - 12*time.Second); b.trouble && inBurst >= 0 && inBurst < uploadBurstTime {
			rate *= uploadBurst
		}
		for _, x := range b.instances {
			clients.Go(func() { b.upload(x, &t) })
		}
		time.Sleep(time.Duration(float64(time.Second) / rate))
	}
	clients.Wait()
	close(stop)
	watchers.Wait()
	b.note("clients  %v", &t)
	killed := 0
	for i, x := range b.instances {
		b.note("memory   instance=%s peak=%d KB, over the limit %d times", x.name, memories[i].peakKB.Load(), memories[i].kills.Load())
		if memories[i].kills.Load() >= killsToBreak {
			killed++
		}
	}
	if killed >= 2 {
		b.violation("Fault: %d of %d instances exceeded their memory %d times or more", killed, len(b.instances), killsToBreak)
	}
	return nil
}
