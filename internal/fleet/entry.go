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
	"carawayrouter.example/router/internal/tcp"
)

// Entry is an entry instance of the fleet. It can be killed, drained and restarted
// at the same addresses.
type Entry struct {
	fleet     *Fleet
	settings  entry.Settings
	listeners entry.Listeners // used by the first start only

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
			e, err := f.newEntry(dc.Name, numberedName(dc.Name, i))
			if err != nil {
				return err
			}
			f.Entries = append(f.Entries, e)
			f.mu.Lock()
			f.dataCentreByAddr[e.settings.Listen.Peers] = dc.Name
			f.mu.Unlock()
		}
	}
	for _, e := range f.Entries {
		e.settings.Peers.Seeds = f.peerSeeds(e)
		if err := e.Start(); err != nil {
			return err
		}
	}
	return nil
}

// peerSeeds returns the peer addresses of the other instances in e's data centre.
func (f *Fleet) peerSeeds(e *Entry) []string {
	var addrs []string
	for _, o := range f.Entries {
		if o != e && o.DataCentre() == e.DataCentre() {
			addrs = append(addrs, o.settings.Listen.Peers)
		}
	}
	return addrs
}

// newEntry prepares the settings of an instance and opens its listeners on free ports.
func (f *Fleet) newEntry(dc, name string) (*Entry, error) {
	var s entry.Settings
	if err := settings.Parse(name, f.settingsText(dc, name), &s); err != nil {
		return nil, err
	}
	e := &Entry{fleet: f}
	for addr, ln := range map[*string]*net.Listener{
		&s.Listen.Callers:  &e.listeners.Callers,
		&s.Listen.Peers:    &e.listeners.Peers,
		&s.Listen.Operator: &e.listeners.Operator,
	} {
		var err error
		if *ln, err = tcp.Listen(loopback); err != nil {
			return nil, errors.Wrapf(err, "instance %s", name)
		}
		*addr = (*ln).Addr().String()
	}
	e.settings = s
	return e, nil
}

// listen returns the listeners opened by newEntry on the first start, and reopens the
// same addresses on a restart. It retries because a connection of another process may
// briefly occupy one of the ports.
func (e *Entry) listen() (entry.Listeners, error) {
	opened := e.listeners
	e.listeners = entry.Listeners{}
	if opened.Callers != nil {
		return opened, nil
	}
	l := e.settings.Listen
	for addr, ln := range map[string]*net.Listener{l.Callers: &opened.Callers, l.Peers: &opened.Peers, l.Operator: &opened.Operator} {
		var err error
		for range maxListenAttempts {
			if *ln, err = tcp.Listen(addr); err == nil {
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

// maxListenAttempts limits the attempts, pollInterval apart, to reopen a port on a restart.
const maxListenAttempts = 100

// settingsText returns an instance's settings in INI format, with placeholder listen
// addresses and without seeds.
func (f *Fleet) settingsText(dc, name string) []byte {
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
`, name, dc, strings.Join(f.Deployment.dataCentreNames(), ", "), loopback, f.PlatformAddr, hex.EncodeToString(hash[:]))
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

// Daemon returns the running daemon, or nil if the instance is stopped.
func (e *Entry) Daemon() *entry.Daemon {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.daemon
}

// Traffic returns the instance's network traffic since its last start.
func (e *Entry) Traffic() netgate.Traffic {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.gate == nil {
		return netgate.Traffic{}
	}
	return e.gate.Traffic()
}

// Start starts the instance. No state of an earlier run is kept.
func (e *Entry) Start() error {
	f := e.fleet
	gate := netgate.New(f.linkCutFrom(e.DataCentre()))
	listeners, err := e.listen()
	if err != nil {
		return err
	}
	daemon, err := entry.New(e.settings, entry.Deps{
		Listeners: listeners,
		Platform:  httpplatform.NewClientWithDialer(f.PlatformAddr, e.DataCentre(), gate.DialContext),
		Log:       f.options.Log,
		Network:   entry.Network{Gate: gate},
		Policy:    f.options.Policy,
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

// Running reports whether the daemon is running.
func (e *Entry) Running() bool { return e.Daemon() != nil }

// Applied returns the number of the ticket in force on the instance, or 0 if it is stopped.
func (e *Entry) Applied() uint64 {
	d := e.Daemon()
	if d == nil {
		return 0
	}
	return d.Applied()
}

// Kill stops the instance abruptly: connections break and held resources are not released.
func (e *Entry) Kill() {
	e.stop(func() {
		e.gate.Kill()
		e.force()
	})
}

// Pause suspends the instance's network traffic until Resume.
func (e *Entry) Pause() { e.gate.Pause() }

// Resume ends a pause.
func (e *Entry) Resume() { e.gate.Resume() }

// Drain shuts the instance down gracefully and waits until it has stopped.
func (e *Entry) Drain() { e.stop(func() { e.drain() }) }

// stop runs the given shutdown function, waits until the daemon has stopped and then
// removes the instance from the platform's list.
func (e *Entry) stop(shutdown func()) {
	e.mu.Lock()
	stopped := e.stopped
	e.mu.Unlock()
	if stopped == nil {
		return
	}
	shutdown()
	<-stopped
	e.fleet.Store.RemoveInstance(e.Name())
}

// Isolate cuts a data centre off from the other data centres and from the platform, or
// restores both if cut is false.
func (f *Fleet) Isolate(dataCentre string, cut bool) {
	f.CutPeers(dataCentre, cut)
	f.Store.Cut(dataCentre, cut)
}

// CutPeers cuts a data centre off from the other data centres, or reconnects it if cut
// is false. The platform stays reachable.
func (f *Fleet) CutPeers(dataCentre string, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.isolated[dataCentre] = cut
}

// linkCutFrom returns a function that reports whether the link from a data centre to an
// address is cut.
func (f *Fleet) linkCutFrom(dataCentre string) func(addr string) bool {
	return func(addr string) bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		other, known := f.dataCentreByAddr[addr]
		return known && other != dataCentre && (f.isolated[dataCentre] || f.isolated[other])
	}
}
