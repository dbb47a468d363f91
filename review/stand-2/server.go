package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	engineSlots = 48
	handleTTL   = 500 * time.Millisecond
)

// work is how a server works.
type work struct {
	callTime      time.Duration // of a request to a plain server
	prefillTime   time.Duration
	events        int
	eventInterval time.Duration
	// spoil, if set, may replace the handle in an answer of a prefill.
	spoil func(handle string) string
	// breakOff, if set, says after which event a stream breaks off, and the id that is written for it; 0 for none.
	breakOff func() (event, spoiledID int)
}

// server is the stand-in for one server of a service: a prefill or decode engine, or a plain server.
type server struct {
	st                       *stage
	id, service, zone, stage string
	work                     work
	born                     int64
	addr                     string
	http                     *http.Server

	mu       sync.Mutex
	state    string // as it registers itself
	sequence int
	created  int
	handles  map[string]time.Time // when they end
}

// arrival is a request that reached a server.
type arrival struct {
	at      time.Time
	attempt string
	server  *server
	method  string
	path    string
	tenant  string
	prefill bool
	run     bool // it was not refused
}

// startServer starts a server, which registers itself.
func (st *stage) startServer(id, service, zone, engineStage string, w work) (*server, error) {
	return st.startServerAt("127.0.0.1:0", 0, id, service, zone, engineStage, w)
}

// startServerAt starts a server at an address, on a machine whose time of day is ahead by clock.
func (st *stage) startServerAt(addr string, clock time.Duration, id, service, zone, engineStage string, w work) (*server, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	s := &server{st: st, id: id, service: service, zone: zone, stage: engineStage, work: w, born: time.Now().Add(clock).UnixMilli(), addr: ln.Addr().String(), state: "ready", handles: map[string]time.Time{}}
	s.http = &http.Server{Handler: s, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = s.http.Serve(ln) }()
	s.register()
	st.mu.Lock()
	defer st.mu.Unlock()
	st.live = append(st.live, s)
	st.byAddr[s.addr] = s
	return s, nil
}

// end ends a server's process.
func (st *stage) end(s *server) {
	st.mu.Lock()
	st.live = slices.DeleteFunc(st.live, func(other *server) bool { return other == s })
	st.mu.Unlock()
	_ = s.http.Close()
}

// drain has a server report that it leaves.
func (s *server) drain() {
	s.mu.Lock()
	s.state = "draining"
	s.mu.Unlock()
	s.register()
}

// register writes the server's entry.
func (s *server) register() {
	s.mu.Lock()
	s.sequence++
	entry := map[string]any{"service": s.service, "address": s.addr, "zone": s.zone, "version": "v1", "slots": engineSlots,
		"state": s.state, "cold-remaining-ms": 0, "sequence": s.sequence, "born": s.born}
	if s.stage != "" {
		entry["stage"], entry["models"] = s.stage, []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}
	}
	s.mu.Unlock()
	s.st.store.Put("servers", s.id, entry)
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, err := io.ReadAll(r.Body); err != nil {
		return
	}
	id := r.Header.Get("Carawayrouter-Attempt-Id")
	switch {
	case r.URL.Path == "/health":
		w.Header().Set("Carawayrouter-Instance-Id", s.id)
		return
	case r.URL.Path == "/v1/report":
		writeJSON(w, map[string]any{"stage": s.stage, "born": s.born})
		return
	case r.Method == http.MethodDelete && strings.HasPrefix(r.URL.Path, "/v1/kv-handle/"):
		s.takeHandle(strings.TrimPrefix(r.URL.Path, "/v1/kv-handle/"))
		return
	case id == "":
		refuse(w, http.StatusBadRequest)
		return
	}
	w.Header().Set("Carawayrouter-Attempt-Id", id)
	a := arrival{at: time.Now(), attempt: id, server: s, method: r.Method, path: r.URL.Path, tenant: r.Header.Get("Carawayrouter-Tenant"), prefill: r.Header.Get("Carawayrouter-Serving-Stage") == "prefill"}
	if want := r.Header.Get("Carawayrouter-Expected-Instance"); want != "" && want != s.id {
		w.Header().Set("Carawayrouter-Instance-Id", s.id)
		s.st.arrived(a)
		refuse(w, http.StatusMisdirectedRequest)
		return
	}
	switch {
	case s.stage == "":
		a.run = true
		s.st.arrived(a)
		if wait(r.Context(), s.work.callTime) {
			s.sign(w, id)
			_, _ = io.WriteString(w, "done "+id)
		}
	case a.prefill != (s.stage == "prefill"):
		s.st.arrived(a)
		refuse(w, http.StatusMisdirectedRequest)
	case a.prefill:
		a.run = true
		s.st.arrived(a)
		s.prefill(r.Context(), w)
	default:
		source := r.Header.Get("Carawayrouter-Kv-Source")
		a.run = source == "" || s.st.fetch(source)
		s.st.arrived(a)
		if !a.run {
			refuse(w, http.StatusServiceUnavailable)
			return
		}
		s.stream(w, r, id)
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// refuse answers that the request was not run.
func refuse(w http.ResponseWriter, status int) {
	w.Header().Set("Carawayrouter-Not-Executed", "1")
	w.WriteHeader(status)
}

func (s *server) sign(w http.ResponseWriter, id string) {
	w.Header().Set("Carawayrouter-Server-Signature", "signature-of-"+s.id+"-"+id)
}

// prefill reads a prompt and answers with its handle.
func (s *server) prefill(ctx context.Context, w http.ResponseWriter) {
	if !wait(ctx, s.work.prefillTime) {
		return
	}
	s.mu.Lock()
	s.created++
	handle := fmt.Sprintf("%s%06x", s.id[2:], s.created)
	s.handles[handle] = time.Now().Add(handleTTL)
	s.mu.Unlock()
	if s.work.spoil != nil {
		handle = s.work.spoil(handle)
	}
	writeJSON(w, map[string]any{"kv-handle": handle, "token-count": 1000, "version": 1})
}

// takeHandle removes a handle and reports whether it was there.
func (s *server) takeHandle(handle string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	end, ok := s.handles[handle]
	delete(s.handles, handle)
	return ok && time.Now().Before(end)
}

// fetch takes the handle that a header names.
func (st *stage) fetch(source string) bool {
	addr, handle, _ := strings.Cut(source, "/")
	st.mu.Lock()
	s := st.byAddr[addr]
	st.mu.Unlock()
	return s != nil && s.takeHandle(handle)
}

// stream answers with the events after the last one that the request names.
func (s *server) stream(w http.ResponseWriter, r *http.Request, id string) {
	w.Header().Set("Content-Type", "text/event-stream")
	s.sign(w, id)
	w.WriteHeader(http.StatusOK)
	first := 1
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	end, spoiledID := 0, 0
	if s.work.breakOff != nil {
		end, spoiledID = s.work.breakOff()
	}
	for i := first; i <= s.work.events; i++ {
		if !wait(r.Context(), s.work.eventInterval) {
			return
		}
		eventID := i
		if i == end {
			eventID = spoiledID
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %d v1\n\n", eventID, id, i); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		if i == end {
			panic(http.ErrAbortHandler)
		}
	}
}

// wait waits for d and reports whether ctx lasted until then.
func wait(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

// arrived records a request that reached a server.
func (st *stage) arrived(a arrival) {
	st.mu.Lock()
	st.arrivals = append(st.arrivals, a)
	st.mu.Unlock()
	st.printf("server %s: %s %s %s, prefill %t, tenant %q, run %t\n", a.server.id, a.attempt, a.method, a.path, a.prefill, a.tenant, a.run)
}
