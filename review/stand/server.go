package main

import (
	"bufio"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	headerAttempt  = "Carawayrouter-Attempt-Id"
	headerExpected = "Carawayrouter-Expected-Instance"
	headerStage    = "Carawayrouter-Serving-Stage"
	heartbeat      = 1200 * time.Millisecond
	requestTimeout = 15 * time.Second
)

// server is a stand-in for one server of a service. It serves one request at a time on a channel.
type server struct {
	b                        *bench
	id, service, zone, stage string
	ln                       net.Listener
	born                     int64
	slots                    int
	work                     time.Duration // of a plain request or a prefill

	quiet bool // its runs are not recorded
	brief bool // its runs have one short line each in the record

	// spoil may answer a request in another way; it reports whether it has, and whether the channel stays open.
	// It is called with the requests that the server does not reject.
	spoil func(c *channel, r *http.Request, body string) (answered, open bool)
	// unhealthy makes the server answer its health probe with 503.
	unhealthy func() bool

	mu       sync.Mutex
	sequence int
	handles  int
	answers  int
	ended    chan struct{}
	channels map[net.Conn]bool
}

// channel is a channel to a server.
type channel struct {
	net.Conn
	br *bufio.Reader
	// late is written before the next answer to a consent record on the channel.
	late string
}

// startServer starts a server on ln, or on a free port if that is nil, and registers it.
func (b *bench) startServer(id, service, zone, stage string, ln net.Listener, change func(*server)) (*server, error) {
	if ln == nil {
		var err error
		if ln, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
			return nil, err
		}
	}
	s := &server{b: b, id: id, service: service, zone: zone, stage: stage, ln: ln, born: time.Now().UnixMilli(), slots: 6, work: 30 * time.Millisecond,
		unhealthy: func() bool { return false }, ended: make(chan struct{}), channels: map[net.Conn]bool{}}
	s.spoil = func(*channel, *http.Request, string) (bool, bool) { return false, true }
	if change != nil {
		change(s)
	}
	b.servers = append(b.servers, s)
	go s.accept()
	go s.register()
	return s, nil
}

// close ends the server.
func (s *server) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-s.ended: // it has crashed
	default:
		close(s.ended)
	}
	_ = s.ln.Close()
	for c := range s.channels {
		_ = c.Close()
	}
}

// register writes the server's entry every heartbeat.
func (s *server) register() {
	for {
		s.sequence++
		entry := map[string]any{"service": s.service, "address": s.ln.Addr().String(), "zone": s.zone, "version": "v1", "slots": s.slots,
			"state": "ready", "cold-remaining-ms": 0, "sequence": s.sequence, "born": s.born}
		if s.stage != "" {
			entry["stage"] = s.stage
		}
		s.b.store.Put("servers", s.id, entry)
		select {
		case <-s.ended:
			return
		case <-time.After(heartbeat):
		}
	}
}

func (s *server) accept() {
	for {
		nc, err := s.ln.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.channels[nc] = true
		s.mu.Unlock()
		go func() {
			c := &channel{Conn: nc, br: bufio.NewReader(nc)}
			for s.serve(c) {
			}
			_ = nc.Close()
			s.mu.Lock()
			delete(s.channels, nc)
			s.mu.Unlock()
		}()
	}
}

// countAnswer counts an answer to a client's request or a probe.
func (s *server) countAnswer() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answers++
}

// answered returns the number of answers.
func (s *server) answered() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.answers
}

// serve answers one request and reports whether the channel stays open.
func (s *server) serve(c *channel) bool {
	r, err := http.ReadRequest(c.br)
	if err != nil {
		return false
	}
	content, err := io.ReadAll(r.Body)
	if err != nil {
		return false
	}
	body := string(content)
	defer s.countAnswer()
	attempt := r.Header.Get(headerAttempt)
	if c.late != "" && attempt != "" && strings.HasPrefix(r.URL.Path, recordPath) {
		s.b.note("late     server=%s before=%s", s.id, attempt)
		_, _ = io.WriteString(c, c.late)
		c.late = ""
	}
	switch {
	case r.URL.Path == "/health":
		status := http.StatusOK
		if s.unhealthy() {
			status = http.StatusServiceUnavailable
		}
		answer := formatAnswer(status, "Carawayrouter-Instance-Id: "+s.id+"\r\nCarawayrouter-Instance-Load: 1,0,6\r\n", "")
		s.b.note("health   server=%s status=%d", s.id, status)
		_, _ = io.WriteString(c, answer)
		if answered, _ := s.spoil(c, r, answer); answered {
			c.late = answer
		}
		return true
	case r.URL.Path == "/v1/report":
		report := fmt.Sprintf(`{"stage":%q,"models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":0,"waiting":0,"running":0,"kv-used":0,"kv-total":95711,"kv-handles":0,"born":%d}`, s.stage, s.born)
		_, _ = io.WriteString(c, formatAnswer(http.StatusOK, "Content-Type: application/json\r\n", report))
		return true
	case strings.HasPrefix(r.URL.Path, "/v1/kv-handle/"):
		_, _ = io.WriteString(c, formatAnswer(http.StatusOK, "", ""))
		return true
	case attempt == "":
		_, _ = io.WriteString(c, formatAnswer(http.StatusBadRequest, "Carawayrouter-Not-Executed: 1\r\n", ""))
		return true
	}
	head := headerAttempt + ": " + attempt + "\r\n"
	prefill := r.Header.Get(headerStage) == "prefill"
	if want := r.Header.Get(headerExpected); want != "" && want != s.id || prefill != (s.stage == "prefill") {
		_, _ = io.WriteString(c, formatAnswer(http.StatusMisdirectedRequest, head, ""))
		return true
	}
	if prefill {
		time.Sleep(s.work)
		s.mu.Lock()
		s.handles++
		handle := fmt.Sprintf(`{"kv-handle":"%x%04x","token-count":1000,"version":1}`, s.born, s.handles)
		s.mu.Unlock()
		_, _ = io.WriteString(c, formatAnswer(http.StatusOK, head+"Content-Type: application/json\r\n", handle))
		return true
	}
	switch {
	case s.brief:
		s.b.note("%s run %s", attempt, s.id)
	case !s.quiet:
		s.b.recordRun(run{attempt: attempt, server: s.id, path: r.URL.Path, body: body, at: time.Now()})
	}
	if answered, open := s.spoil(c, r, body); answered {
		return open
	}
	time.Sleep(s.work)
	_, err = io.WriteString(c, formatAnswer(http.StatusOK, head+signature(attempt), "answer to "+attempt))
	return err == nil
}

// signature returns the header with a server's MAC.
func signature(attempt string) string {
	return "Carawayrouter-Server-Signature: mac-of-" + attempt + "\r\n"
}

// formatAnswer returns the bytes of an answer.
func formatAnswer(status int, headers, body string) string {
	return "HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\n" + headers + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

// reset closes a channel with a reset.
func (c *channel) reset() {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// newAttempt returns a new attempt id.
func newAttempt() string {
	id := make([]byte, 8)
	for i := range id {
		id[i] = byte(rand.IntN(256))
	}
	return hex.EncodeToString(id)
}

// answer is what a client has seen of an attempt.
type answer struct {
	attempt  string
	status   int // 0 without an answer
	body     string
	complete bool
	signed   bool
	closed   bool // the instance has said that it closes the channel, or has closed it
	err      error
}

// client sends requests to one instance over a channel that it keeps.
type client struct {
	b    *bench
	x    *instance
	http *http.Client

	brief bool // its requests have one short line each in the record
}

func (b *bench) newClient(x *instance) *client {
	return &client{b: b, x: x, http: &http.Client{Timeout: requestTimeout, Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1}}}
}

// send sends one attempt and reads its answer.
func (c *client) send(method, path, body, deadlineMillis string, more map[string]string) answer {
	a := answer{attempt: newAttempt()}
	req, err := http.NewRequest(method, "http://"+c.x.addr(frontendPort)+path, strings.NewReader(body))
	if err != nil {
		a.err = err
		return a
	}
	req.Host = host
	req.Header.Set(headerAttempt, a.attempt)
	req.Header.Set("Carawayrouter-Deadline-Ms", deadlineMillis)
	req.Header.Set("Carawayrouter-Key", apiKey)
	for name, value := range more {
		req.Header.Set(name, value)
	}
	if !c.brief {
		c.b.note("sent     attempt=%s instance=%s %s %s body=%q", a.attempt, c.x.name, method, path, body)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		a.err, a.closed = err, true
		c.b.note("answered attempt=%s error=%v", a.attempt, err)
		return a
	}
	defer resp.Body.Close()
	content, err := io.ReadAll(resp.Body)
	a.status, a.body, a.complete, a.err = resp.StatusCode, string(content), err == nil, err
	a.signed, a.closed = resp.Header.Get("Carawayrouter-Server-Signature") != "", resp.Close || err != nil
	if c.brief {
		c.b.note("%s %d %v %s", a.attempt, a.status, a.complete, resp.Header.Get("Retry-After"))
		return a
	}
	c.b.note("answered attempt=%s status=%d signed=%v bytes=%d complete=%v", a.attempt, a.status, a.signed, len(content), a.complete)
	return a
}
