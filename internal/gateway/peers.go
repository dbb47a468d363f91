package gateway

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"carawayrouter.example/router/internal/gossip"
	"carawayrouter.example/router/internal/limit/pacing"
	"carawayrouter.example/router/internal/placement"
	"carawayrouter.example/router/internal/responsehead"
)

const (
	updateInterval       = 400 * time.Millisecond // while nothing changes
	queuedUpdateInterval = 50 * time.Millisecond  // while requests are queued
	minUpdateGap         = 4 * time.Millisecond   // minimum between two datagrams
	registerInterval     = 5 * time.Second        // between writes of the instance's row, in a fleet of up to storeScaleFleet instances
	maxRegisterInterval  = 30 * time.Second       // the same in the largest fleets
	newRowDelay          = 3 * time.Second        // until the row of an instance that was heard without one is read
	newcomerTime         = 3 * time.Second        // for which an instance that has started needs to know the usage of all
	peerTTL              = 15 * time.Second       // without a row change or an update; longer than typical network partitions
	rowTTLIntervals      = 2.5                    // without a row change, in intervals between the writes of a row
	catchUpInterval      = 150 * time.Millisecond
	catchUpDelay         = 150 * time.Millisecond // allowed delay of the store's change feed
	fetchTimeout         = 600 * time.Millisecond
	secretBytes          = 32
	secretKey            = "secret"
	statePath            = "/v1/peer/state"
	maxStateBytes        = 4 << 20
	receiveBufferBytes   = 64 << 10
	maxInstances         = 4096 // that are known without their rows: many times those of the largest fleets
	// maxUnlistedBytes bounds the updates of all instances whose rows are not known. In memory they take many times
	// that.
	maxUnlistedBytes = 1 << 20
)

// instanceRow is an instance's own row in the store.
type instanceRow struct {
	Incarnation int64  `json:"incarnation"`
	State       string `json:"state"`   // address for state requests
	Updates     string `json:"updates"` // address for datagrams
	DataCentre  string `json:"data_centre"`
	Rank        int    `json:"rank"` // preference as a relay
	// Form is the latest form of updates that the instance decodes; 0 in the rows of builds that decode one only
	// and do not tell which.
	Form gossip.Form `json:"form,omitempty"`
}

// peer is what this instance knows about another one.
type peer struct {
	row          instanceRow
	update       *gossip.Update
	lastUpdateAt time.Time
	lastDirectAt time.Time // last datagram sent by the peer itself
	foundAt      time.Time // when this incarnation's row was first seen
	rowChangedAt time.Time
	addr         netip.AddrPort
	aheadSince   time.Time // since when it has newer state than this instance
	leaving      bool
	form         gossip.Form // of its updates; 0 if not known

	detourFailedAt time.Time // when it last failed to reach an endpoint for this instance
	rowVersion     uint64
}

// peers tracks the other instances and exchanges updates with them.
type peers struct {
	s            *Server
	log          logr.Logger
	self         instanceRow
	started      time.Time
	conn         *net.UDPConn
	client       *http.Client // of the state of other instances
	dialPeer     func(ctx context.Context, addr string) (net.Conn, error)
	tunnels      atomic.Int64 // that this instance serves
	updateNeeded chan struct{}
	relayNeeded  chan struct{} // an update is waiting to be relayed
	rowNeeded    chan struct{} // an instance was heard whose row is not known
	sequence     uint64

	fleetMu sync.Mutex // held while the fleet is passed on, so that the last list is the last to arrive

	mu     sync.Mutex
	known  map[string]*peer
	listed bool // the instances' rows have been read, here or by an instance whose state was fetched
	secret []byte
	outbox map[string]relayedUpdate // by instance

	newcomerAt time.Time    // when an instance was last seen to start
	changes    fleetChanges // since they were logged

	tunnelRequests atomic.Int64 // in progress on the tunnels that this instance serves
}

// fleetChanges counts changes of the fleet. In a large fleet they are logged together: after a
// restart of all, every instance sees every other one start.
type fleetChanges struct{ seen, heard, forgotten int }

// logChanges logs the changes of a large fleet.
func (p *peers) logChanges(now time.Time) {
	p.mu.Lock()
	c := p.changes
	p.changes = fleetChanges{}
	p.mu.Unlock()
	if c == (fleetChanges{}) {
		return
	}
	if silent, known := p.countSilent(now); known >= maxDirectFleet {
		p.log.Info("instances.changed", "seen", c.seen, "heard", c.heard, "forgotten", c.forgotten, "known", known, "silent", silent)
	}
}

// hasNewcomer reports whether an instance has started lately.
func (p *peers) hasNewcomer(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Sub(p.newcomerAt) < newcomerTime
}

func newPeers(s *Server) *peers {
	p := &peers{
		s:            s,
		log:          s.log,
		dialPeer:     dialTCP,
		updateNeeded: make(chan struct{}, 1),
		relayNeeded:  make(chan struct{}, 1),
		rowNeeded:    make(chan struct{}, 1),
		outbox:       map[string]relayedUpdate{},
		known:        map[string]*peer{},
	}
	p.client = &http.Client{
		Transport: &http.Transport{
			DialContext:            responsehead.CheckedDial(func(ctx context.Context, _, addr string) (net.Conn, error) { return p.dialPeer(ctx, addr) }),
			DisableCompression:     true,
			IdleConnTimeout:        time.Second,
			MaxResponseHeaderBytes: maxHeadBytes,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return p
}

// requestUpdate asks for an update to be sent soon.
func (p *peers) requestUpdate() { signal(p.updateNeeded) }

// listen opens the socket for datagrams.
func (p *peers) listen() error {
	host, _, err := net.SplitHostPort(p.s.settings.PeerAddr)
	if err != nil {
		return errors.Wrap(err, "parse peer address")
	}
	addr := net.JoinHostPort(host, p.s.settings.UpdatePort)
	udp, err := net.ResolveUDPAddr("udp4", addr)
	if err != nil {
		return errors.Wrap(err, "resolve address for updates")
	}
	p.conn, err = net.ListenUDP("udp4", udp)
	if err != nil {
		return errors.Wrap(err, "listen for updates")
	}
	// Other instances identify this one by its address, whichever interface routing would
	// choose.
	dialer := net.Dialer{Timeout: fetchTimeout, LocalAddr: &net.TCPAddr{IP: udp.IP}}
	p.dialPeer = func(ctx context.Context, addr string) (net.Conn, error) { return dialer.DialContext(ctx, "tcp4", addr) }
	p.started = time.Now()
	p.self = instanceRow{Incarnation: time.Now().UnixNano(), State: p.s.settings.PeerAddr, Updates: addr, DataCentre: p.s.settings.DataCentre, Rank: p.s.settings.RelayRank, Form: gossip.CurrentForm}
	return nil
}

// countSilent returns how many of the other instances have sent no update recently, and how
// many there are.
func (p *peers) countSilent(now time.Time) (silent, known int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, x := range p.known {
		if x.leaving {
			continue
		}
		known++
		if now.Sub(x.lastUpdateAt) > peerSilenceLimit {
			silent++
		}
	}
	return silent, known
}

// countRestarted returns how many instances, including this one, have started within the last
// window of the retry budget. Those that were not heard yet count.
func (p *peers) countRestarted(now time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	if now.Sub(p.started) < p.s.budget.window {
		n++
	}
	for _, x := range p.known {
		if x.update == nil || now.Sub(time.Unix(0, x.update.Incarnation)) < p.s.budget.window {
			n++
		}
	}
	return n
}

// isListed reports whether the instances' rows have been read.
func (p *peers) isListed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.listed
}

// pollsOften reports whether this instance is one of those that ask the store for changes often.
func (p *peers) pollsOften(now time.Time) bool { return p.heardRank(now) < frequentPollers }

// heardRank returns how many of the instances that are heard come before this one. The first ones do what few
// instances do for all, so that others take over from those that end, freeze or are cut off. Their names'
// hashes decide, as similar names are of one data centre.
func (p *peers) heardRank(now time.Time) int {
	own := xxhash.Sum64String(p.s.settings.Instance)
	p.mu.Lock()
	defer p.mu.Unlock()
	before := 0
	for name, x := range p.known {
		if !x.leaving && now.Sub(x.lastUpdateAt) <= peerSilenceLimit && xxhash.Sum64String(name) < own {
			before++
		}
	}
	return before
}

// isBehind reports whether another instance has a newer configuration than the given version.
func (p *peers) isBehind(version uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, x := range p.known {
		if x.update != nil && x.update.ConfigurationVersion > version {
			return true
		}
	}
	return false
}

// activeNames returns the sorted names of the known instances that are not leaving, and whether these
// are all that have rows.
func (p *peers) activeNames() (names []string, listed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]string, 0, len(p.known))
	for name, x := range p.known {
		if !x.leaving {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out, p.listed
}

// registerLoop keeps the instance's row in the store and reads the rows of the others.
func (p *peers) registerLoop(ctx context.Context) error {
	failures := 0
	for ctx.Err() == nil {
		if err := p.register(ctx); err != nil {
			if failures++; failures == 1 {
				p.log.Info("instances.store_lost", "cause", err.Error())
			}
			sleepJitter(ctx, min(maxRetryDelay, minRetryDelay<<min(failures, 5)))
			continue
		}
		failures = 0
		if sleepJitterOr(ctx, p.registerInterval(), p.rowNeeded) {
			sleepJitter(ctx, newRowDelay)
		}
	}
	return nil
}

// registerInterval returns the longest time between two writes of the instance's row. The others
// learn of the instance by its updates; the row tells instances that start, or are cut off from
// it, that it exists.
func (p *peers) registerInterval() time.Duration {
	fleet := time.Duration(max(storeScaleFleet, p.fleetSize()))
	return min(maxRegisterInterval, registerInterval*fleet/storeScaleFleet)
}

func (p *peers) register(ctx context.Context) error {
	if err := p.ensureSecret(ctx); err != nil {
		return err
	}
	value, err := json.Marshal(p.self)
	if err != nil {
		return errors.Wrap(err, "encode instance row")
	}
	if err := p.s.store.Put(ctx, Instances, p.s.settings.Instance, value); err != nil {
		return err
	}
	rows, _, err := p.s.store.Rows(ctx, Instances)
	if err != nil {
		return err
	}
	p.applyRows(time.Now(), rows)
	return nil
}

// ensureSecret reads the fleet's secret, or creates it if the fleet has none.
func (p *peers) ensureSecret(ctx context.Context) error {
	p.mu.Lock()
	have := p.secret != nil
	p.mu.Unlock()
	if have {
		return nil
	}
	fresh := make([]byte, secretBytes)
	if _, err := rand.Read(fresh); err != nil {
		return errors.Wrap(err, "generate fleet secret")
	}
	value, err := p.s.store.Create(ctx, Fleet, secretKey, []byte(hex.EncodeToString(fresh)))
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.secret == nil {
		p.secret = value
	}
	return nil
}

// applyRows applies the instances' rows and forgets instances with neither a row nor updates.
func (p *peers) applyRows(now time.Time, rows []Row) {
	rowTTL := max(peerTTL, time.Duration(rowTTLIntervals*float64(p.registerInterval())))
	p.mu.Lock()
	present := map[string]bool{}
	for _, r := range rows {
		present[r.Key] = true
		p.applyRow(now, r)
	}
	var gone []string
	for name, x := range p.known {
		expired := now.Sub(x.lastUpdateAt) > peerTTL && now.Sub(x.rowChangedAt) > rowTTL
		if expired || (x.leaving && !present[name]) {
			delete(p.known, name)
			gone = append(gone, name)
		}
	}
	p.changes.forgotten += len(gone)
	p.listed = true
	large := len(p.known) >= maxDirectFleet
	p.mu.Unlock()
	for _, name := range gone {
		if !large {
			p.log.Info("instance.forgotten", "instance", name)
		}
		p.s.admission.withScheduler(func(_ time.Time, s *placement.Scheduler) { s.SetPeer(name, nil) })
		p.s.forgetQuarantinePeer(name)
	}
	p.s.updateFleet(now)
}

// assumedFleetSize is used until the instances' rows have been read: the largest fleet that is expected.
// An instance that took the first instance it hears for the only other one would grant a large part of all
// accounts' rates by itself.
const assumedFleetSize = 256

// updateFleet tells the scheduler, the limiter and the retry budget which other instances there are.
func (s *Server) updateFleet(now time.Time) {
	s.peers.fleetMu.Lock()
	defer s.peers.fleetMu.Unlock()
	others, listed := s.peers.activeNames()
	fleet := len(others) + 1
	if !listed {
		fleet = max(fleet, assumedFleetSize)
	}
	s.budget.setFleet(fleet, s.peers.countRestarted(now))
	rank, _ := slices.BinarySearch(others, s.settings.Instance)
	s.admission.withScheduler(func(_ time.Time, p *placement.Scheduler) {
		p.SetMember(now, pacing.Member{Rank: rank, Count: fleet})
		p.SetFleet(now, others, listed)
	})
	s.quotaMu.Lock()
	defer s.quotaMu.Unlock()
	s.quota.SetPeers(others, fleet, updateTransit(fleet))
}

func (p *peers) applyRow(now time.Time, r Row) {
	if r.Key == p.s.settings.Instance {
		return
	}
	var row instanceRow
	if err := json.Unmarshal(r.Value, &row); err != nil {
		p.log.Info("instance.unreadable", "instance", r.Key, "cause", err.Error())
		return
	}
	addr, err := netip.ParseAddrPort(row.Updates)
	if err != nil {
		p.log.Info("instance.unreadable", "instance", r.Key, "cause", err.Error())
		return
	}
	x := p.known[r.Key]
	if x == nil {
		x = &peer{rowChangedAt: now}
		p.known[r.Key] = x
		p.newcomerAt = now
		p.changes.seen++
		p.requestUpdate()
		if len(p.known) < maxDirectFleet {
			p.log.Info("instance.seen", "instance", r.Key, "addr", row.Updates)
		}
	}
	if x.row.Incarnation != row.Incarnation || x.rowVersion != r.Version {
		x.rowChangedAt, x.rowVersion = now, r.Version
	}
	if row.Incarnation > x.row.Incarnation {
		x.foundAt = now
		if x.update == nil || x.update.Incarnation < row.Incarnation {
			x.form = 0 // it may run another build
		}
	}
	if row.Incarnation >= x.row.Incarnation {
		x.row, x.addr = row, addr
	}
}

// leave tells the other instances and the store that this instance no longer holds anything.
func (p *peers) leave() {
	p.sendUpdate(true)
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	if err := p.s.store.Delete(ctx, Instances, p.s.settings.Instance); err != nil {
		p.log.Info("instance.row_not_removed", "cause", err.Error())
	}
}

// fleetSize returns the number of known instances, including this one.
func (p *peers) fleetSize() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.known) + 1
}
