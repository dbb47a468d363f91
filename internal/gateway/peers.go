package gateway

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"github.com/valyala/fasthttp"

	"carawayrouter.example/router/internal/gossip"
	"carawayrouter.example/router/internal/placement"
)

const (
	updateEvery   = 400 * time.Millisecond // while nothing changes
	updateWaiting = 50 * time.Millisecond  // while somebody waits
	updateGap     = 4 * time.Millisecond   // between two datagrams at the least
	enterEvery    = 5 * time.Second        // of the instance's row
	peerLife      = 15 * time.Second       // without row and update; longer than cuts usually last
	catchUpEvery  = 150 * time.Millisecond
	catchUpDelay  = 150 * time.Millisecond // that the store's feed may take
	fetchTimeout  = 600 * time.Millisecond
	secretBytes   = 32
	secretKey     = "secret"
	statePath     = "/v1/peer/state"
	largestState  = 4 << 20 // bytes
	datagramBytes = 64 << 10
)

// instanceRow is an instance's own row in the store.
type instanceRow struct {
	Incarnation int64  `json:"incarnation"`
	State       string `json:"state"`   // address for state
	Updates     string `json:"updates"` // address for datagrams
	DataCentre  string `json:"data_centre"`
	Rank        int    `json:"rank"` // strength, for the choice of relays
}

// peer is another instance as this one knows it.
type peer struct {
	row        instanceRow
	update     *gossip.Update
	heard      time.Time // last update
	direct     time.Time // last datagram that it sent itself
	renewed    time.Time // last change of its row
	addr       netip.AddrPort
	aheadAt    time.Time // since when it has newer state than this instance
	leaving    bool
	rowVersion uint64
}

// peers keeps the other instances and exchanges updates with them.
type peers struct {
	s        *Server
	log      logr.Logger
	self     instanceRow
	started  time.Time
	conn     *net.UDPConn
	client   *fasthttp.Client
	dirty    chan struct{}
	relay    chan struct{} // an update waits to be relayed
	sequence uint64

	mu     sync.Mutex
	known  map[string]*peer
	secret []byte
	outbox map[string]relayed // by instance
}

func newPeers(s *Server) *peers {
	return &peers{
		s:      s,
		log:    s.log,
		client: &fasthttp.Client{MaxResponseBodySize: largestState, ReadTimeout: fetchTimeout, WriteTimeout: fetchTimeout, MaxIdleConnDuration: time.Second, NoDefaultUserAgentHeader: true},
		dirty:  make(chan struct{}, 1),
		relay:  make(chan struct{}, 1),
		outbox: map[string]relayed{},
		known:  map[string]*peer{},
	}
}

// changed asks for an update to be sent soon.
func (p *peers) changed() {
	select {
	case p.dirty <- struct{}{}:
	default:
	}
}

// listen opens the socket for datagrams.
func (p *peers) listen() error {
	host, _, err := net.SplitHostPort(p.s.settings.Peers)
	if err != nil {
		return errors.Wrap(err, "address for other instances")
	}
	addr := net.JoinHostPort(host, p.s.settings.UpdatePort)
	udp, err := net.ResolveUDPAddr("udp4", addr)
	if err != nil {
		return errors.Wrap(err, "address for updates")
	}
	p.conn, err = net.ListenUDP("udp4", udp)
	if err != nil {
		return errors.Wrap(err, "listen for updates")
	}
	// Other instances know this one by its address, whatever route its packets take.
	dialer := net.Dialer{Timeout: fetchTimeout, LocalAddr: &net.TCPAddr{IP: udp.IP}}
	p.client.Dial = func(addr string) (net.Conn, error) { return dialer.Dial("tcp4", addr) }
	p.started = time.Now()
	p.self = instanceRow{Incarnation: time.Now().UnixNano(), State: p.s.settings.Peers, Updates: addr, DataCentre: p.s.settings.DataCentre, Rank: p.s.settings.Rank}
	return nil
}

// silent returns how many of the other instances have not been heard lately, and how many
// there are.
func (p *peers) silent(now time.Time) (silent, known int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, x := range p.known {
		if x.leaving {
			continue
		}
		known++
		if now.Sub(x.heard) > peersSilent {
			silent++
		}
	}
	return silent, known
}

// names returns the known instances that count. The caller holds the lock.
func (p *peers) names() []string {
	out := make([]string, 0, len(p.known))
	for name, x := range p.known {
		if !x.leaving {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// enter keeps the instance's row in the store and reads those of the others.
func (p *peers) enter(ctx context.Context) error {
	failures := 0
	for ctx.Err() == nil {
		if err := p.round(ctx); err != nil {
			if failures++; failures == 1 {
				p.log.Info("instances.store_lost", "cause", err.Error())
			}
			pause(ctx, min(retryMost, retryLeast<<min(failures, 5)))
			continue
		}
		failures = 0
		pause(ctx, p.s.scaled(enterEvery))
	}
	return nil
}

func (p *peers) round(ctx context.Context) error {
	if err := p.ensureSecret(ctx); err != nil {
		return err
	}
	value, err := json.Marshal(p.self)
	if err != nil {
		return errors.Wrap(err, "instance row")
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

// ensureSecret learns the fleet's secret, or makes it if the fleet has none.
func (p *peers) ensureSecret(ctx context.Context) error {
	p.mu.Lock()
	have := p.secret != nil
	p.mu.Unlock()
	if have {
		return nil
	}
	fresh := make([]byte, secretBytes)
	if _, err := rand.Read(fresh); err != nil {
		return errors.Wrap(err, "fleet secret")
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

// applyRows takes the instances' rows and forgets instances without row and update.
func (p *peers) applyRows(now time.Time, rows []Row) {
	p.mu.Lock()
	present := map[string]bool{}
	for _, r := range rows {
		present[r.Key] = true
		p.applyRow(now, r)
	}
	var gone []string
	for name, x := range p.known {
		quiet := now.Sub(x.heard) > peerLife && now.Sub(x.renewed) > peerLife
		if quiet || (x.leaving && !present[name]) {
			delete(p.known, name)
			gone = append(gone, name)
		}
	}
	names := p.names()
	p.mu.Unlock()
	for _, name := range gone {
		p.log.Info("instance.forgotten", "instance", name)
		p.s.admission.with(func(_ time.Time, s *placement.Scheduler) { s.SetPeer(name, nil) })
	}
	p.s.budget.setFleet(len(names) + 1)
	p.s.quotaMu.Lock()
	p.s.quota.SetPeers(names)
	p.s.quotaMu.Unlock()
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
		x = &peer{renewed: now}
		p.known[r.Key] = x
		p.log.Info("instance.seen", "instance", r.Key, "addr", row.Updates)
	}
	if x.row.Incarnation != row.Incarnation || x.rowVersion != r.Version {
		x.renewed, x.rowVersion = now, r.Version
	}
	if row.Incarnation >= x.row.Incarnation {
		x.row, x.addr = row, addr
	}
}

// leave tells the others, and the store, that the instance holds nothing any more.
func (p *peers) leave() {
	p.publish(true)
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	if err := p.s.store.Delete(ctx, Instances, p.s.settings.Instance); err != nil {
		p.log.Info("instance.row_not_removed", "cause", err.Error())
	}
}

// fleet returns the number of known instances, this one included.
func (p *peers) fleet() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.known) + 1
}
