package ticket

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"golang.org/x/sync/errgroup"

	"carawayrouter.example/router/internal/clock"
	"carawayrouter.example/router/internal/config"
	"carawayrouter.example/router/internal/event"
	"carawayrouter.example/router/internal/platform"
)

// Tail is the part of the ticket log after a given number, as sent between instances.
type Tail struct {
	Head     uint64        // newest ticket that the sender has applied
	Age      time.Duration // time since the sender was last known to be current
	Tickets  [][]byte      // in order, encoded as in the table rows
	Snapshot []byte        // set if the sender no longer retains the first requested ticket
}

// PeerSource fetches tickets from other instances.
type PeerSource interface {
	// Fetch returns the most current tail after the given ticket number that a peer holds.
	Fetch(ctx context.Context, after uint64) (Tail, error)
}

// Announcer notifies other instances of new tickets.
type Announcer interface {
	// Announce queues the tail for sending; it does not block.
	Announce(t Tail)
}

// Options configure an Applier.
type Options struct {
	Table        platform.Table
	Objects      platform.Objects
	Peers        PeerSource  // may be nil
	Announce     Announcer   // may be nil
	IsFastPoller func() bool // whether this instance polls at FastInterval; nil: always
	Clock        clock.Clock
	Seed         uint64 // seeds the jitter of the poll intervals

	FastInterval  time.Duration // between polls of fast pollers
	SlowInterval  time.Duration // between polls of all other instances
	CallTimeout   time.Duration // per call to the platform or a peer
	SnapshotEvery uint64        // number of tickets between snapshots

	Ring *event.Ring // may be nil
	Log  logr.Logger
}

// Defaults of Options.
const (
	DefaultFastInterval  = 500 * time.Millisecond
	DefaultSlowInterval  = 4 * time.Second
	DefaultCallTimeout   = 3 * time.Second
	DefaultSnapshotEvery = 2000
)

const (
	jitterFraction   = 0.2       // intervals vary by up to this fraction in both directions
	updateQueueSize  = 64        // updates waiting to be applied
	maxRecentTickets = 1024      // tickets retained for peers
	maxRecentBytes   = 2 << 20   // bytes of tickets retained for peers
	maxAnnounceBytes = 256 << 10 // bytes of tickets sent in one announcement
)

// UnknownAge is the age of a configuration that has never been confirmed as current.
const UnknownAge = time.Duration(math.MaxInt64)

// Applier applies accepted tickets in order and holds the active configuration of
// this instance. It implements config.Source.
//
// Invariants: the applied ticket number never decreases; every ticket up to it has
// been applied, either individually or as part of a snapshot.
type Applier struct {
	opts        Options
	current     atomic.Pointer[config.State]
	ready       chan struct{}
	updates     chan update
	pollNow     chan struct{} // requests an early poll
	snapshotDue chan struct{} // signals that a snapshot may be due

	// Accessed only by applyLoop.
	set            *objectSet
	lastUnreadable uint64 // newest ticket reported as unreadable

	mu           sync.Mutex
	rnd          *rand.Rand
	currentAtSet bool      // currentAt is set
	currentAt    time.Time // when the configuration was last confirmed as current
	recent       [][]byte  // newest applied tickets; the last one is the current number
	recentSize   int       // total bytes in recent
	subscribers  map[chan struct{}]bool
}

// origin is the source of an update.
type origin int

const (
	fromTable origin = iota
	fromPeer
	fromAnnouncement
)

// update is a tail queued for applyLoop.
type update struct {
	tail   Tail
	set    *objectSet // decoded snapshot; used instead of tail.Snapshot
	origin origin
	at     time.Time     // when the tail was known to be current; unset for announcements
	done   chan struct{} // closed once applied; nil for announcements
}

// NewApplier returns an Applier with an empty configuration. Zero options take their
// defaults.
func NewApplier(o Options) *Applier {
	if o.Clock == nil {
		o.Clock = clock.Real{}
	}
	if o.IsFastPoller == nil {
		o.IsFastPoller = func() bool { return true }
	}
	setDefault(&o.FastInterval, DefaultFastInterval)
	setDefault(&o.SlowInterval, DefaultSlowInterval)
	setDefault(&o.CallTimeout, DefaultCallTimeout)
	setDefault(&o.SnapshotEvery, DefaultSnapshotEvery)
	a := &Applier{
		opts:        o,
		ready:       make(chan struct{}),
		updates:     make(chan update, updateQueueSize),
		pollNow:     make(chan struct{}, 1),
		snapshotDue: make(chan struct{}, 1),
		set:         newObjectSet(0, &config.Objects{}),
		rnd:         rand.New(rand.NewPCG(o.Seed, o.Seed+1)),
		subscribers: map[chan struct{}]bool{},
	}
	a.current.Store(config.Empty())
	return a
}

func setDefault[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}

// Run applies tickets until ctx ends.
func (a *Applier) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return a.applyLoop(ctx) })
	g.Go(func() error { return a.pollLoop(ctx) })
	g.Go(func() error { return a.snapshotLoop(ctx) })
	return g.Wait()
}

// Current implements config.Source.
func (a *Applier) Current() *config.State { return a.current.Load() }

// Applied returns the number of the newest ticket applied on this instance.
func (a *Applier) Applied() uint64 { return a.Current().Ticket }

// Age implements config.Source. It returns UnknownAge until the configuration has been
// confirmed as current for the first time.
func (a *Applier) Age() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.currentAtSet {
		return UnknownAge
	}
	return a.opts.Clock.Now().Sub(a.currentAt)
}

// Ready is closed once a configuration has been loaded from the store or a peer.
func (a *Applier) Ready() <-chan struct{} { return a.ready }

// Subscribe returns a channel that receives a value after Current has changed, and a
// function that cancels the subscription. Several changes may be coalesced into one
// value.
func (a *Applier) Subscribe() (<-chan struct{}, func()) {
	ch := make(chan struct{}, 1)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.subscribers[ch] = true
	return ch, func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		delete(a.subscribers, ch)
	}
}

// Offer queues tickets that a peer announced. It returns false if the queue is full;
// the next poll then fetches them.
func (a *Applier) Offer(t Tail) bool {
	select {
	case a.updates <- update{tail: t, origin: fromAnnouncement}:
		return true
	default:
		return false
	}
}

// Tail returns the tickets after a number for a peer. Snapshot is not set; need
// reports that the peer must load a snapshot first.
func (a *Applier) Tail(after uint64) (t Tail, need bool) {
	age := a.Age()
	a.mu.Lock()
	defer a.mu.Unlock()
	t = Tail{Head: a.Applied(), Age: age}
	if after >= t.Head {
		return t, false
	}
	first := t.Head - uint64(len(a.recent)) + 1
	if after+1 < first {
		return t, true
	}
	t.Tickets = append(t.Tickets, a.recent[after+1-first:]...)
	return t, false
}

// Snapshot returns the active configuration, encoded as in the object store.
func (a *Applier) Snapshot() ([]byte, error) { return encodeSnapshot(a.Current()) }

// applyLoop is the only goroutine that changes the configuration.
func (a *Applier) applyLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case u := <-a.updates:
			a.apply(u)
			if u.done != nil {
				close(u.done)
			}
		}
	}
}

// apply applies the part of u that is newer than the current configuration.
func (a *Applier) apply(u update) {
	before := a.set.ticket
	a.applySnapshot(u)
	newTickets, err := a.applyTickets(u.tail.Tickets)
	if err != nil {
		a.reportUnreadable(err)
	}
	if a.set.ticket > before {
		a.publish(newTickets, u.origin)
	}
	if u.tail.Head > a.set.ticket {
		notify(a.pollNow)
		return
	}
	// An announcement may have been delayed in transit and does not prove that the
	// configuration is current.
	if err == nil && u.origin != fromAnnouncement {
		a.recordCurrent(u.at)
	}
}

// reportUnreadable reports a ticket that this version cannot decode, once per
// ticket.
func (a *Applier) reportUnreadable(err error) {
	if a.lastUnreadable == a.set.ticket+1 {
		return
	}
	a.lastUnreadable = a.set.ticket + 1
	a.opts.Log.Error(err, "ticket cannot be applied", "applied", a.set.ticket)
	a.opts.Ring.Add(event.Event{Kind: "ticket.stuck", Ticket: a.lastUnreadable, Detail: err.Error()})
}

// applySnapshot replaces the object set if the snapshot is newer.
func (a *Applier) applySnapshot(u update) {
	s := u.set
	if s == nil && u.tail.Snapshot != nil {
		decoded, err := decodeSnapshot(u.tail.Snapshot)
		if err != nil {
			a.opts.Log.Error(err, "snapshot rejected")
			return
		}
		s = decoded
	}
	if s == nil || s.ticket <= a.set.ticket {
		return
	}
	a.set = s
	a.mu.Lock()
	defer a.mu.Unlock()
	a.recent, a.recentSize = nil, 0
	a.opts.Ring.Add(event.Event{Kind: "ticket.snapshot_loaded", Ticket: s.ticket})
}

// applyTickets applies the tickets that directly follow the applied number and
// returns them.
func (a *Applier) applyTickets(tail [][]byte) (newTickets [][]byte, err error) {
	for _, data := range tail {
		t, err := DecodeTicket(data)
		if err != nil {
			return newTickets, err
		}
		if t.Number <= a.set.ticket {
			continue
		}
		if t.Number != a.set.ticket+1 {
			notify(a.pollNow)
			return newTickets, nil
		}
		a.set.apply(t)
		newTickets = append(newTickets, data)
		a.opts.Ring.Add(event.Event{Kind: "ticket.applied", Ticket: t.Number, Detail: t.Author})
	}
	return newTickets, nil
}

// publish makes the current object set the active configuration.
func (a *Applier) publish(newTickets [][]byte, from origin) {
	a.mu.Lock()
	a.current.Store(a.set.buildFrom(a.Current()))
	a.appendRecent(newTickets)
	for ch := range a.subscribers {
		notify(ch)
	}
	a.mu.Unlock()
	a.opts.Log.V(1).Info("tickets applied", "applied", a.set.ticket)
	if from == fromTable && a.opts.Announce != nil && len(newTickets) > 0 && a.opts.IsFastPoller() {
		a.opts.Announce.Announce(newAnnouncement(a.set.ticket, newTickets))
	}
	notify(a.snapshotDue)
}

// newAnnouncement returns a tail with the tickets, or with the head only if they exceed
// maxAnnounceBytes.
func newAnnouncement(head uint64, newTickets [][]byte) Tail {
	size := 0
	for _, data := range newTickets {
		size += len(data)
	}
	if size > maxAnnounceBytes {
		newTickets = nil
	}
	return Tail{Head: head, Tickets: newTickets}
}

// appendRecent retains tickets for peers. The caller holds mu.
func (a *Applier) appendRecent(newTickets [][]byte) {
	for _, data := range newTickets {
		a.recent = append(a.recent, data)
		a.recentSize += len(data)
	}
	drop := 0
	for len(a.recent)-drop > maxRecentTickets || a.recentSize > maxRecentBytes {
		a.recentSize -= len(a.recent[drop])
		a.recent[drop] = nil
		drop++
	}
	a.recent = a.recent[drop:]
}

// recordCurrent records that the configuration was current at the given time.
func (a *Applier) recordCurrent(at time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.currentAtSet {
		a.currentAtSet = true
		a.currentAt = at
		close(a.ready)
		return
	}
	if at.After(a.currentAt) {
		a.currentAt = at
	}
}

// notify sends to a channel of capacity one without blocking.
func notify(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// withJitter returns d with random jitter.
func (a *Applier) withJitter(d time.Duration) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return time.Duration(float64(d) * (1 - jitterFraction + 2*jitterFraction*a.rnd.Float64()))
}

// pollLoop fetches new tickets from the table, or from peers while the table is
// unavailable.
func (a *Applier) pollLoop(ctx context.Context) error {
	p := &poller{Applier: a}
	for {
		p.poll(ctx)
		if !p.wait(ctx) {
			return nil
		}
	}
}

// poller is the state of the polling goroutine.
type poller struct {
	*Applier
	initialized   bool      // a first configuration has been applied
	tableFailing  bool      // the last poll of the table failed
	lastPoll      time.Time // start of the last poll
	nextPeerFetch time.Time // earliest time of the next fetch from peers
	incomplete    bool      // the last poll may not have reached the newest ticket
}

// wait blocks until the next poll is due; it returns false once ctx is done.
func (p *poller) wait(ctx context.Context) bool {
	slow := p.withJitter(p.opts.SlowInterval)
	for !p.incomplete {
		select {
		case <-ctx.Done():
			return false
		case <-p.pollNow:
			return p.sleep(ctx, p.randomFraction(p.opts.FastInterval))
		case <-p.opts.Clock.After(p.withJitter(p.opts.FastInterval)):
		}
		if !p.initialized || p.opts.IsFastPoller() || p.opts.Clock.Now().Sub(p.lastPoll) >= slow {
			return true
		}
	}
	return ctx.Err() == nil
}

func (p *poller) sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-p.opts.Clock.After(d):
		return true
	}
}

// randomFraction returns a random duration between 0 and d.
func (a *Applier) randomFraction(d time.Duration) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return time.Duration(float64(d) * a.rnd.Float64())
}

// poll fetches once from the table, or from peers if that fails, and waits until the
// update has been applied.
func (p *poller) poll(ctx context.Context) {
	p.incomplete = false
	p.lastPoll = p.opts.Clock.Now()
	u, err := p.fetchFromTable(ctx)
	if ctx.Err() != nil {
		return
	}
	p.reportTableState(err)
	if err != nil {
		u, err = p.fetchFromPeers(ctx)
	}
	if err != nil {
		return
	}
	u.done = make(chan struct{})
	select {
	case p.updates <- u:
	case <-ctx.Done():
		return
	}
	select {
	case <-u.done:
		p.initialized = true
	case <-ctx.Done():
	}
}

// fetchFromTable reads the tickets after the applied one; the first fetch also loads
// the newest snapshot.
func (p *poller) fetchFromTable(ctx context.Context) (update, error) {
	ctx, cancel := context.WithTimeout(ctx, p.opts.CallTimeout)
	defer cancel()
	u := update{origin: fromTable}
	after := p.Applied()
	if !p.initialized {
		s, err := newestSnapshot(ctx, p.opts.Objects, math.MaxUint64)
		if err != nil {
			return u, err
		}
		if s.ticket > after {
			u.set, after = s, s.ticket
		}
	}
	u.at = p.opts.Clock.Now()
	tail, err := readTail(ctx, p.opts.Table, after, tailLimit)
	if err != nil {
		return u, err
	}
	u.tail.Tickets = tail
	u.tail.Head = after + uint64(len(tail))
	if len(tail) == tailLimit {
		p.incomplete = true
		u.tail.Head++ // there may be more tickets, so this tail does not prove that the state is current
	}
	return u, nil
}

// fetchFromPeers fetches from a peer, at most once per SlowInterval.
func (p *poller) fetchFromPeers(ctx context.Context) (update, error) {
	now := p.opts.Clock.Now()
	if p.opts.Peers == nil || now.Before(p.nextPeerFetch) {
		return update{}, errors.WithStack(platform.ErrUnavailable)
	}
	p.nextPeerFetch = now.Add(p.withJitter(p.opts.SlowInterval))
	ctx, cancel := context.WithTimeout(ctx, p.opts.CallTimeout)
	defer cancel()
	tail, err := p.opts.Peers.Fetch(ctx, p.Applied())
	if err != nil {
		return update{}, err
	}
	if tail.Age == UnknownAge {
		return update{}, errors.New("peer has no configuration that is known to be current")
	}
	return update{tail: tail, origin: fromPeer, at: now.Add(-tail.Age)}, nil
}

// reportTableState logs a change in the availability of the table.
func (p *poller) reportTableState(err error) {
	if (err != nil) == p.tableFailing {
		return
	}
	p.tableFailing = err != nil
	if p.tableFailing {
		p.opts.Log.Info("store unavailable; fetching tickets from peers", "error", err.Error())
		p.opts.Ring.Add(event.Event{Kind: "ticket.store_lost", Ticket: p.Applied(), Detail: err.Error()})
		return
	}
	p.opts.Log.Info("store available again")
	p.opts.Ring.Add(event.Event{Kind: "ticket.store_back", Ticket: p.Applied()})
}
