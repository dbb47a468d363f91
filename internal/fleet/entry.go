package fleet

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"carawayrouter.example/router/internal/entry"
	"carawayrouter.example/router/internal/netgate"
	"carawayrouter.example/router/internal/platform"
	"carawayrouter.example/router/internal/platform/httpplatform"
	"carawayrouter.example/router/internal/settings"
)

// Entry is an entry instance of the fleet. It can be killed, drained and restarted
// at the same addresses.
type Entry struct {
	fleet     *Fleet
	settings  entry.Settings
	listeners entry.Listeners // of the first start

	mu      sync.Mutex
	daemon  *entry.Daemon
	gate    *netgate.Gate
	drain   context.CancelFunc
	force   context.CancelFunc
	stopped chan struct{}
	err     error
}

func (f *Fleet) startEntries() error {
	for _, dc := range f.Deployment.DataCentres {
		for i := range dc.Entries {
			e, err := f.newEntry(dc.Name, numbered(dc.Name, i))
			if err != nil {
				return err
			}
			f.Entries = append(f.Entries, e)
			f.mu.Lock()
			f.dcOf[e.settings.Listen.Peers] = dc.Name
			f.mu.Unlock()
		}
	}
	for _, e := range f.Entries {
		e.settings.Peers.Seeds = f.peersOf(e)
		if err := e.Start(); err != nil {
			return err
		}
	}
	return nil
}

// peersOf lists the peer addresses of the other instances of e's data centre.
func (f *Fleet) peersOf(e *Entry) []string {
	var addrs []string
	for _, o := range f.Entries {
		if o != e && o.DataCentre() == e.DataCentre() {
			addrs = append(addrs, o.settings.Listen.Peers)
		}
	}
	return addrs
}

// newEntry prepares the settings of an instance, with ports that are free now.
func (f *Fleet) newEntry(dc, name string) (*Entry, error) {
	var s entry.Settings
	if err := settings.Parse(name, f.settingsFile(dc, name), &s); err != nil {
		return nil, err
	}
	e := &Entry{fleet: f}
	for addr, ln := range map[*string]*net.Listener{
		&s.Listen.Callers:  &e.listeners.Callers,
		&s.Listen.Peers:    &e.listeners.Peers,
		&s.Listen.Operator: &e.listeners.Operator,
	} {
		var err error
		if *ln, err = net.Listen("tcp", loopback); err != nil {
			return nil, errors.Wrapf(err, "instance %s", name)
		}
		*addr = (*ln).Addr().String()
	}
	e.settings = s
	return e, nil
}

// open returns the listeners of a first start, or opens those of a restart, for which
// another process's connection may hold a port for a moment.
func (e *Entry) open() (entry.Listeners, error) {
	opened := e.listeners
	e.listeners = entry.Listeners{}
	if opened.Callers != nil {
		return opened, nil
	}
	l := e.settings.Listen
	for addr, ln := range map[string]*net.Listener{l.Callers: &opened.Callers, l.Peers: &opened.Peers, l.Operator: &opened.Operator} {
		var err error
		for range listenTries {
			if *ln, err = net.Listen("tcp", addr); err == nil {
				break
			}
			time.Sleep(pollInterval)
		}
		if err != nil {
			return opened, errors.Wrapf(err, "instance %s", e.Name())
		}
	}
	return opened, nil
}

// listenTries bounds the wait for a port at a restart.
const listenTries = 100

// settingsFile returns an instance's settings but for its own addresses.
func (f *Fleet) settingsFile(dc, name string) []byte {
	hash := sha256.Sum256([]byte(f.operatorToken))
	return fmt.Appendf(nil, `[instance]
name = %s
data_centre = %s
data_centres = %s
[listen]
callers = %[4]s
peers = %[4]s
operator = %[4]s
[platform]
addr = %s
[peers]
plain = true
[operator]
token_sha256 = %s
`, name, dc, strings.Join(f.Deployment.names(), ", "), loopback, f.PlatformAddr, hex.EncodeToString(hash[:]))
}

// Name returns the instance's name.
func (e *Entry) Name() string { return e.settings.Instance.Name }

// DataCentre returns the instance's data centre.
func (e *Entry) DataCentre() string { return e.settings.Instance.DataCentre }

// URL returns the base URL for callers.
func (e *Entry) URL() string { return "http://" + e.settings.Listen.Callers }

// OperatorURL returns the base URL for operators.
func (e *Entry) OperatorURL() string { return "http://" + e.settings.Listen.Operator }

// Settings returns the instance's settings.
func (e *Entry) Settings() entry.Settings { return e.settings }

// Daemon returns the running daemon, or nil.
func (e *Entry) Daemon() *entry.Daemon {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.daemon
}

// Traffic returns what passed the instance's network since its last start.
func (e *Entry) Traffic() netgate.Traffic {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.gate == nil {
		return netgate.Traffic{}
	}
	return e.gate.Traffic()
}

// Start starts the instance; it has no memory of an earlier run.
func (e *Entry) Start() error {
	f := e.fleet
	gate := netgate.New(f.cutFrom(e.DataCentre()))
	listeners, err := e.open()
	if err != nil {
		return err
	}
	daemon, err := entry.New(e.settings, entry.Deps{
		Listeners: listeners,
		Platform:  httpplatform.NewClientWithDialer(f.PlatformAddr, e.DataCentre(), gate.DialContext),
		Log:       f.o.Log,
		Network:   entry.Network{Gate: gate},
		Policy:    f.o.Policy,
	})
	if err != nil {
		return errors.Wrapf(err, "instance %s", e.Name())
	}
	f.Store.SetInstance(platform.Instance{Name: e.Name(), Addr: e.settings.Listen.Callers, DataCentre: e.DataCentre(), Group: entryGroup, State: platform.Live})
	drainCtx, drain := context.WithCancel(context.Background())
	forceCtx, force := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	e.mu.Lock()
	defer e.mu.Unlock()
	e.daemon, e.gate, e.drain, e.force, e.stopped = daemon, gate, drain, force, stopped
	go func() {
		defer close(stopped)
		err := daemon.Run(drainCtx, forceCtx)
		e.mu.Lock()
		defer e.mu.Unlock()
		e.err = err
		e.daemon = nil
	}()
	return nil
}

// Running reports whether the instance runs.
func (e *Entry) Running() bool { return e.Daemon() != nil }

// Applied returns the number of the ticket in force on the instance.
func (e *Entry) Applied() uint64 {
	d := e.Daemon()
	if d == nil {
		return 0
	}
	return d.Applied()
}

// Kill ends the instance abruptly: connections break, nothing is handed back.
func (e *Entry) Kill() {
	e.end(func() {
		e.gate.Kill()
		e.force()
	})
}

// Pause holds up the instance's network until Resume.
func (e *Entry) Pause() { e.gate.Pause() }

// Resume ends a pause.
func (e *Entry) Resume() { e.gate.Resume() }

// Drain shuts the instance down gracefully and waits for it.
func (e *Entry) Drain() { e.end(func() { e.drain() }) }

// end stops the instance in the given way, takes it off the platform's list and
// waits until it has ended.
func (e *Entry) end(how func()) {
	e.mu.Lock()
	stopped := e.stopped
	e.mu.Unlock()
	if stopped == nil {
		return
	}
	how()
	<-stopped
	e.fleet.Store.RemoveInstance(e.Name())
}

// Isolate cuts a data centre off from the others and from the platform, or heals it.
func (f *Fleet) Isolate(dataCentre string, cut bool) {
	f.CutPeers(dataCentre, cut)
	f.Store.Cut(dataCentre, cut)
}

// CutPeers cuts a data centre off from the others, or heals it.
func (f *Fleet) CutPeers(dataCentre string, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cuts[dataCentre] = cut
}

// cutFrom tells whether the link from a data centre to an address is cut.
func (f *Fleet) cutFrom(dataCentre string) func(addr string) bool {
	return func(addr string) bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		other, known := f.dcOf[addr]
		return known && other != dataCentre && (f.cuts[dataCentre] || f.cuts[other])
	}
}
