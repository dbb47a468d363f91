// Package host runs the HTTP server of a simulated engine or service. It injects faults
// (crashes with a later restart, dropped and silent connections) and records credentials
// that reach the server.
package host

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"carawayrouter.example/router/internal/clock"
)

// Paths of the admin API.
const (
	PathFault  = "/admin/fault"
	PathLedger = "/admin/ledger"
)

const (
	maxRequestBody = 64 << 20 // bytes
	maxLeaks       = 1000
	// faultDelay lets the response to an admin call be sent before connections fail.
	faultDelay = 50 * time.Millisecond
	// listenAttempts and listenRetryWait limit the wait for the previous address.
	listenAttempts  = 50
	listenRetryWait = 20 * time.Millisecond
)

// credentialHeaders are the headers that must not reach an endpoint.
var credentialHeaders = []string{"Authorization", "Proxy-Authorization", "X-Api-Key"}

// Leak is a credential that reached the endpoint. Only its hash is kept.
type Leak struct {
	Header string `json:"header"`
	SHA256 string `json:"sha256"` // of the header's value
	Path   string `json:"path"`
}

// Options configure a Host.
type Options struct {
	Clock   clock.Clock
	Handler fasthttp.RequestHandler
	Start   func()     // initializes the server with empty state
	Stop    func()     // discards all state and ends its goroutines
	Ledger  func() any // returns the response to GET /admin/ledger
}

// Host serves one simulated endpoint. It is safe for concurrent use.
type Host struct {
	o         Options
	faults    *Faults
	done      chan struct{}     // closed by Close
	restarted chan net.Listener // listener to serve after a restart

	mu      sync.Mutex
	ln      *listener
	addr    string
	crashed bool
	closed  bool
	leaks   []Leak
}

// New returns a Host. It does not call o.Start, which is left to the caller.
func New(o Options) *Host {
	return &Host{
		o: o, faults: newFaults(o.Clock),
		done:      make(chan struct{}),
		restarted: make(chan net.Listener, 1),
	}
}

// Faults returns the active faults of the kinds that have a duration.
func (h *Host) Faults() *Faults { return h.faults }

// Serve serves requests on ln until Close is called. After a Die fault, it waits for
// Restart.
func (h *Host) Serve(ln net.Listener) error {
	for {
		w := newListener(ln)
		if !h.setListener(w) {
			return ln.Close()
		}
		srv := &fasthttp.Server{
			Handler:               h.handle,
			MaxRequestBodySize:    maxRequestBody,
			NoDefaultServerHeader: true,
			TCPKeepalive:          true,
			Logger:                discardLogger{},
		}
		if err := srv.Serve(w); err != nil {
			return errors.Wrap(err, "stand-in")
		}
		select {
		case ln = <-h.restarted:
		case <-h.done:
			return nil
		}
	}
}

// discardLogger discards fasthttp's messages about broken connections, which faults
// cause on purpose.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}

// setListener sets the listener that is being served. It returns false if the host is
// closed.
func (h *Host) setListener(w *listener) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return false
	}
	h.ln = w
	h.addr = w.Addr().String()
	return true
}

// Close stops the server and waits for its goroutines.
func (h *Host) Close() error {
	h.mu.Lock()
	if h.closed {
		h.mu.Unlock()
		return nil
	}
	h.closed = true
	close(h.done)
	h.mu.Unlock()
	h.crash()
	return nil
}

// crash closes the listener and all connections and discards all state.
func (h *Host) crash() {
	h.mu.Lock()
	ln := h.ln
	h.ln = nil
	h.crashed = true
	h.mu.Unlock()
	if ln != nil {
		_ = ln.Close()
		ln.drop()
	}
	h.o.Stop()
}

// Restart starts a crashed server again, with empty state, at its previous address.
func (h *Host) Restart() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed || !h.crashed {
		return nil
	}
	ln, err := listenAgain(h.addr)
	if err != nil {
		return err
	}
	h.o.Start()
	h.crashed = false
	h.restarted <- ln
	return nil
}

// listenAgain listens on an address that was in use until now, and retries until it is
// free.
func listenAgain(addr string) (net.Listener, error) {
	var err error
	for range listenAttempts {
		var ln net.Listener
		if ln, err = net.Listen("tcp", addr); err == nil {
			return ln, nil
		}
		time.Sleep(listenRetryWait)
	}
	return nil, errors.Wrap(err, "revive")
}

// Inject starts a fault.
func (h *Host) Inject(f Fault) {
	h.mu.Lock()
	ln := h.ln
	h.mu.Unlock()
	switch f.Kind {
	case Clear:
		h.faults.clear()
	case Silent:
		if ln != nil {
			ln.silence()
		}
	case Drop:
		if ln != nil {
			ln.drop()
		}
	case Die:
		h.crash()
		if f.For > 0 {
			time.AfterFunc(f.For, func() { _ = h.Restart() })
		}
	default:
		h.faults.add(f)
	}
}

// Leaks returns the credentials that reached the server.
func (h *Host) Leaks() []Leak {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]Leak(nil), h.leaks...)
}

// handle serves the admin API and passes other requests to the handler.
func (h *Host) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case PathFault:
		h.handleFault(ctx)
		return
	case PathLedger:
		WriteJSON(ctx, h.o.Ledger())
		return
	}
	h.recordCredentials(ctx)
	h.o.Handler(ctx)
}

// recordCredentials records the credential headers of a request, up to maxLeaks.
func (h *Host) recordCredentials(ctx *fasthttp.RequestCtx) {
	for _, name := range credentialHeaders {
		v := ctx.Request.Header.Peek(name)
		if len(v) == 0 {
			continue
		}
		sum := sha256.Sum256(v)
		h.mu.Lock()
		if len(h.leaks) < maxLeaks {
			h.leaks = append(h.leaks, Leak{Header: name, SHA256: hex.EncodeToString(sum[:]), Path: string(ctx.Path())})
		}
		h.mu.Unlock()
	}
}

func (h *Host) handleFault(ctx *fasthttp.RequestCtx) {
	var b faultBody
	if err := json.Unmarshal(ctx.PostBody(), &b); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	ctx.SetConnectionClose()
	time.AfterFunc(faultDelay, func() { h.Inject(b.toFault()) })
}

// WriteJSON responds with v as JSON.
func WriteJSON(ctx *fasthttp.RequestCtx, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(data)
}
