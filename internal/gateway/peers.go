package gateway

import (
	"bytes"
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

	"carawayrouter.example/router/internal/config"
	"carawayrouter.example/router/internal/gossip"
	"carawayrouter.example/router/internal/placement"
)

const (
	newsEvery     = 400 * time.Millisecond // while nothing changes
	newsWaiting   = 50 * time.Millisecond  // while somebody waits
	newsGap       = 4 * time.Millisecond   // between two datagrams at the least
	enterEvery    = 5 * time.Second        // of the instance's row
	peerLife      = 15 * time.Second       // without row and news; longer than cuts usually last
	catchUpEvery  = 150 * time.Millisecond
	catchUpDelay  = 150 * time.Millisecond // that the store's own news may take
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
	State       string `json:"state"` // address for state
	News        string `json:"news"`  // address for datagrams
	DataCentre  string `json:"data_centre"`
	Rank        int    `json:"rank"` // strength, for the choice of relays
}

// peer is another instance as this one knows it.
type peer struct {
	row        instanceRow
	news       *gossip.News
	heard      time.Time // last news
	direct     time.Time // last datagram that it sent itself
	renewed    time.Time // last change of its row
	addr       netip.AddrPort
	aheadAt    time.Time // since when it has newer state than this instance
	leaving    bool
	rowVersion uint64
}

// peers keeps the other instances and exchanges news with them.
type peers struct {
	s        *Server
	log      logr.Logger
	self     instanceRow
	started  time.Time
	conn     *net.UDPConn
	client   *fasthttp.Client
	dirty    chan struct{}
	relay    chan struct{} // news wait to be relayed
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

// changed asks for news to be sent soon.
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
	addr := net.JoinHostPort(host, p.s.settings.NewsPort)
	udp, err := net.ResolveUDPAddr("udp4", addr)
	if err != nil {
		return errors.Wrap(err, "address for news")
	}
	p.conn, err = net.ListenUDP("udp4", udp)
	if err != nil {
		return errors.Wrap(err, "listen for news")
	}
	// Other instances know this one by its address, whatever route its packets take.
	dialer := net.Dialer{Timeout: fetchTimeout, LocalAddr: &net.TCPAddr{IP: udp.IP}}
	p.client.Dial = func(addr string) (net.Conn, error) { return dialer.Dial("tcp4", addr) }
	p.started = time.Now()
	p.self = instanceRow{Incarnation: time.Now().UnixNano(), State: p.s.settings.Peers, News: addr, DataCentre: p.s.settings.DataCentre, Rank: p.s.settings.Rank}
	return nil
}

// send sends news when something changed, and from time to time.
func (p *peers) send(ctx context.Context) error {
	timer := time.NewTimer(newsEvery)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-p.dirty:
		case <-timer.C:
		}
		waiting, fleet := p.publish(false)
		next := newsEvery
		if waiting {
			next = newsWaiting
		}
		timer.Reset(next)
		gap := newsGap
		if fleet > directFleet {
			gap = relayEvery
		}
		pause(ctx, gap)
	}
}

// relays sends the batches of a relay.
func (p *peers) relays(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-p.relay:
		}
		p.flush(time.Now())
		pause(ctx, relayEvery)
	}
}

// publish sends the instance's news: to all others, or in a large fleet to the relay of
// the data centre.
func (p *peers) publish(leaving bool) (waiting bool, fleet int) {
	n := p.compose()
	n.Leaving = leaving
	p.mu.Lock()
	secret := p.secret
	p.sequence++
	n.Sequence = p.sequence
	fleet = len(p.known) + 1
	to, asRelay := p.receivers(time.Now(), fleet)
	p.mu.Unlock()
	if secret == nil {
		return false, fleet
	}
	b, err := gossip.Encode(n, secret)
	if err != nil {
		p.log.Error(err, "news.not_sent")
		return false, fleet
	}
	if asRelay {
		p.pass(relayed{instance: n.Instance, datagram: b, onward: true})
	}
	for _, addr := range to {
		// A datagram that is not sent counts as lost; the next one mends it.
		_, _ = p.conn.WriteToUDPAddrPort(b, addr)
	}
	return len(n.Waiting) > 0, fleet
}

// receivers returns where news go, and whether this instance is the relay itself. The
// caller holds the lock.
func (p *peers) receivers(now time.Time, fleet int) (to []netip.AddrPort, asRelay bool) {
	if fleet > directFleet {
		m, ok := chooseRelay(now, p.byDataCentre()[p.self.DataCentre])
		if ok && !m.self && m.addr.IsValid() {
			to = append(to, m.addr)
		}
		return to, m.self
	}
	for _, x := range p.known {
		if x.addr.IsValid() && !x.leaving {
			to = append(to, x.addr)
		}
	}
	return to, false
}

// compose gathers what the instance holds.
func (p *peers) compose() *gossip.News {
	s := p.s
	n := &gossip.News{
		Instance:      s.settings.Instance,
		Incarnation:   p.self.Incarnation,
		Up:            time.Since(p.started).Milliseconds(),
		Address:       p.self.State,
		Configuration: s.state.Current().Ticket,
		Directory:     s.state.directoryVersion(),
	}
	s.room.peek(func(now time.Time, places *placement.Scheduler, line *placement.Line) {
		places.Holds(func(endpoint string, reading int, runs []placement.Run) {
			h := gossip.Hold{Endpoint: endpoint, Reading: reading}
			for _, r := range runs {
				h.Runs = append(h.Runs, gossip.Run{Prompt: r.Prompt, Output: r.Output, Done: r.Done, Age: gossip.Ago(now, r.At)})
			}
			n.Holds = append(n.Holds, h)
		})
		places.Ejected(now, func(endpoint string, left time.Duration) {
			n.Ejected = append(n.Ejected, gossip.Ejection{Endpoint: endpoint, Left: left.Milliseconds()})
		})
		for _, w := range line.Waiting() {
			n.Waiting = append(n.Waiting, gossip.Waiting{
				Pool: w.Demand.Pool, Prompt: w.Demand.Prompt, Output: w.Demand.Expect,
				Age: gossip.Ago(now, w.Arrived), Due: -gossip.Ago(now, w.Due), Urgency: w.Urgency,
			})
		}
	})
	s.quotaMu.Lock()
	for account, tokens := range s.quota.Spent(time.Now()) {
		n.Spent = append(n.Spent, gossip.Spending{Account: account, Tokens: tokens})
	}
	s.quotaMu.Unlock()
	return n
}

// receive takes the others' news.
func (p *peers) receive(ctx context.Context) error {
	buf := make([]byte, datagramBytes)
	for {
		size, from, err := p.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return nil
			}
			pause(ctx, retryLeast)
			continue
		}
		p.mu.Lock()
		secret := p.secret
		p.mu.Unlock()
		if secret == nil {
			continue
		}
		if err := p.open(bytes.Clone(buf[:size]), secret, from); err != nil {
			p.s.stats.newsBad.Inc()
			p.log.Info("news.refused", "from", from.String(), "cause", err.Error())
		}
	}
}

// open takes one datagram.
func (p *peers) open(b, secret []byte, from netip.AddrPort) error {
	n, batch, err := gossip.Open(b, secret)
	if err != nil {
		return err
	}
	now := time.Now()
	if n != nil {
		if p.take(now, n, from, true) && p.large() {
			p.pass(relayed{instance: n.Instance, datagram: b, onward: true})
		}
		return nil
	}
	p.heardRelay(now, batch.Relay)
	for _, d := range batch.Datagrams {
		n, _, err := gossip.Open(d, secret)
		if err != nil || n == nil {
			return errors.Wrap(err, "relayed news")
		}
		if p.take(now, n, netip.AddrPort{}, false) && batch.Onward {
			p.pass(relayed{instance: n.Instance, datagram: d})
		}
	}
	return nil
}

// large reports whether the fleet's news go through relays.
func (p *peers) large() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.known)+1 > directFleet
}

func (p *peers) heardRelay(now time.Time, name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if x := p.known[name]; x != nil {
		x.direct = now
	}
}

// take puts the news of another instance to use and reports whether they were new.
// Direct news came from the instance itself, at address from.
func (p *peers) take(now time.Time, n *gossip.News, from netip.AddrPort, direct bool) bool {
	if n.Instance == p.s.settings.Instance {
		return false
	}
	p.mu.Lock()
	x := p.known[n.Instance]
	joined := x == nil
	if joined {
		x = &peer{}
		p.known[n.Instance] = x
	}
	if x.news != nil && !x.news.Before(n) {
		p.mu.Unlock()
		return false
	}
	if x.news == nil || x.news.Incarnation != n.Incarnation {
		p.log.Info("instance.heard", "instance", n.Instance, "incarnation", n.Incarnation)
	}
	joined = joined || x.leaving != n.Leaving
	x.news, x.heard, x.leaving = n, now, n.Leaving
	if direct {
		x.direct, x.addr = now, from
	}
	x.row.State = n.Address
	names := p.names()
	p.mu.Unlock()

	spent := make(map[string]int, len(n.Spent))
	for _, s := range n.Spent {
		spent[s.Account] = s.Tokens
	}
	p.s.quotaMu.Lock()
	if joined {
		p.s.quota.SetPeers(names)
	}
	p.s.quota.Heard(now, n.Instance, n.Incarnation, time.Duration(n.Up)*time.Millisecond, spent)
	p.s.quotaMu.Unlock()
	p.s.room.with(func(now time.Time, s *placement.Scheduler) { s.SetRemote(n.Instance, remoteOf(now, n)) })
	return true
}

// remoteOf turns news into what the scheduler keeps of another instance.
func remoteOf(now time.Time, n *gossip.News) *placement.Remote {
	r := &placement.Remote{Heard: now, Runs: map[string][]placement.Run{}, Reading: map[string]int{}}
	ago := func(ms int64) time.Time { return now.Add(-time.Duration(ms) * time.Millisecond) }
	for _, h := range n.Holds {
		if h.Reading > 0 {
			r.Reading[h.Endpoint] = h.Reading
		}
		for _, run := range h.Runs {
			r.Runs[h.Endpoint] = append(r.Runs[h.Endpoint], placement.Run{Prompt: run.Prompt, Output: run.Output, Done: run.Done, At: ago(run.Age)})
		}
	}
	if len(n.Ejected) > 0 {
		r.Avoid = map[string]time.Time{}
	}
	for _, e := range n.Ejected {
		r.Avoid[e.Endpoint] = now.Add(time.Duration(e.Left) * time.Millisecond)
	}
	for _, w := range n.Waiting {
		r.Waiting = append(r.Waiting, &placement.Waiter{
			Demand:  placement.Demand{Pool: w.Pool, Prompt: w.Prompt, Output: w.Output},
			Arrived: ago(w.Age), Due: ago(-w.Due), Urgency: w.Urgency,
		})
	}
	return r
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

// applyRows takes the instances' rows and forgets instances without row and news.
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
		p.s.room.with(func(_ time.Time, s *placement.Scheduler) { s.SetRemote(name, nil) })
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
	addr, err := netip.ParseAddrPort(row.News)
	if err != nil {
		p.log.Info("instance.unreadable", "instance", r.Key, "cause", err.Error())
		return
	}
	x := p.known[r.Key]
	if x == nil {
		x = &peer{renewed: now}
		p.known[r.Key] = x
		p.log.Info("instance.seen", "instance", r.Key, "addr", row.News)
	}
	if x.row.Incarnation != row.Incarnation || x.rowVersion != r.Version {
		x.renewed, x.rowVersion = now, r.Version
	}
	if row.Incarnation >= x.row.Incarnation {
		x.row, x.addr = row, addr
	}
}

// peerState is the answer to an instance that asks for state.
type peerState struct {
	Version       uint64                 `json:"version"`
	Configuration []byte                 `json:"configuration,omitempty"`
	Directory     uint64                 `json:"directory"`
	Endpoints     []*config.Endpoint     `json:"endpoints"`
	Retired       map[string]int64       `json:"retired"`
	Secret        []byte                 `json:"secret"`
	Instances     map[string]instanceRow `json:"instances"`
}

// serveState answers instances of the fleet. One that has just started while the store
// is away has no secret yet; it is known by its address, which only the fleet can have
// entered in the store.
func (p *peers) serveState(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) != statePath {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	p.mu.Lock()
	secret := p.secret
	member := false
	for _, x := range p.known {
		if host, _, err := net.SplitHostPort(x.row.State); err == nil && host == ctx.RemoteIP().String() {
			member = true
		}
	}
	rows := map[string]instanceRow{p.s.settings.Instance: p.self}
	for name, x := range p.known {
		if x.row.News != "" && !x.leaving {
			rows[name] = x.row
		}
	}
	p.mu.Unlock()
	if secret == nil || !member {
		ctx.SetStatusCode(fasthttp.StatusForbidden)
		return
	}
	st := p.s.state.export()
	st.Secret, st.Instances = secret, rows
	b, err := json.Marshal(st)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(b)
}

// catchUp asks other instances for state that this one lacks: at a start without the
// store, and when they are ahead for longer than the store's own news may take.
func (p *peers) catchUp(ctx context.Context) error {
	for ctx.Err() == nil {
		pause(ctx, catchUpEvery)
		if addr := p.source(time.Now()); addr != "" {
			if err := p.fetch(addr); err != nil {
				p.log.V(1).Info("state.not_fetched", "addr", addr, "cause", err.Error())
			}
		}
	}
	return nil
}

// source returns the address of an instance to ask, or "".
func (p *peers) source(now time.Time) string {
	have, directory := p.s.state.Current(), p.s.state.directoryVersion()
	lost := p.s.state.storeAway()
	p.mu.Lock()
	defer p.mu.Unlock()
	best := ""
	for _, x := range p.known {
		if x.news == nil || now.Sub(x.heard) > peerLife {
			continue
		}
		ahead := x.news.Configuration > have.Ticket || x.news.Directory > directory
		if !ahead {
			x.aheadAt = time.Time{}
			continue
		}
		if x.aheadAt.IsZero() {
			x.aheadAt = now
		}
		if lost || now.Sub(x.aheadAt) >= catchUpDelay {
			best = x.row.State
		}
	}
	if best == "" && have.Ticket == 0 && len(p.s.settings.Seeds) > 0 {
		best = p.s.settings.Seeds[int(now.UnixMilli()/int64(catchUpEvery/time.Millisecond))%len(p.s.settings.Seeds)]
		if best == p.self.State {
			return ""
		}
	}
	return best
}

// fetch asks the instance at addr for its state and takes what is newer.
func (p *peers) fetch(addr string) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + addr + statePath)
	if err := p.client.DoTimeout(req, resp, fetchTimeout); err != nil {
		return errors.Wrap(err, "fetch state")
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return errors.Newf("fetch state: answered %d", resp.StatusCode())
	}
	var st peerState
	if err := json.Unmarshal(resp.Body(), &st); err != nil {
		return errors.Wrap(err, "fetch state")
	}
	now := time.Now()
	p.mu.Lock()
	if p.secret == nil {
		p.secret = st.Secret
	}
	for name, row := range st.Instances {
		if news, err := netip.ParseAddrPort(row.News); err == nil && name != p.s.settings.Instance && p.known[name] == nil {
			p.known[name] = &peer{row: row, addr: news, renewed: now}
		}
	}
	p.mu.Unlock()
	p.s.state.merge(now, &st, addr)
	p.changed()
	return nil
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
