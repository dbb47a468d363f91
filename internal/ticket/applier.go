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

// Tail is what one instance tells another about the tickets after a number.
type Tail struct {
	Head     uint64        // newest ticket that the sender has applied
	Age      time.Duration // time since the sender was last known to be current
	Tickets  [][]byte      // in order, in the form of the table's rows
	Snapshot []byte        // set if the sender no longer holds the first ticket asked for
}

// PeerSource fetches tickets from other instances.
type PeerSource interface {
	// Fetch returns the newest tail after a ticket number that a peer has.
	Fetch(ctx context.Context, after uint64) (Tail, error)
}

// Announcer tells other instances about new tickets.
type Announcer interface {
	// Announce hands the tail on without blocking.
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
	Seed         uint64 // seeds the jitter and the identity of snapshot claims

	FastInterval  time.Duration // between polls of instances that poll for others
	SlowInterval  time.Duration // between polls of the others
	CallTimeout   time.Duration // of each call to platform or peers
	SnapshotEvery uint64        // tickets between snapshots

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
	jitter       = 0.2       // fraction by which intervals vary either way
	inboxSize    = 64        // updates on their way to the applier
	recentCount  = 1024      // tickets kept for peers
	recentBytes  = 2 << 20   // bytes of tickets kept for peers
	announceSize = 256 << 10 // bytes of tickets in one announcement
)

// UnknownAge is the age of a configuration that was never known to be current.
const UnknownAge = time.Duration(math.MaxInt64)

// Applier applies accepted tickets in order and holds the configuration in force on
// this instance. It implements config.Source.
//
// Invariants: the applied number never goes back; every ticket up to it has taken
// effect, either by itself or as part of a snapshot.
type Applier struct {
	o       Options
	current atomic.Pointer[config.State]
	ready   chan struct{}
	inbox   chan update
	hurry   chan struct{} // asks the poller for a poll soon
	save    chan struct{} // asks for a snapshot

	// Owned by the goroutine that applies.
	set   *set
	stuck uint64 // newest ticket reported as not readable

	mu        sync.Mutex
	rnd       *rand.Rand
	known     bool      // currentAt is set
	currentAt time.Time // when the configuration was last known to be current
	recent    [][]byte  // newest tickets, the last one is the applied number
	size      int       // bytes in recent
	watchers  map[chan struct{}]bool
}

// origin tells where an update came from.
type origin int

const (
	fromTable origin = iota
	fromPeer
	fromAnnouncement
)

// update is a tail on its way to the goroutine that applies.
type update struct {
	tail   Tail
	set    *set // a decoded snapshot, in place of tail.Snapshot
	origin origin
	at     time.Time     // when the tail was known to be current; not for announcements
	done   chan struct{} // closed once applied; nil for announcements
}

// NewApplier returns an Applier before the first ticket. Zero options take defaults.
func NewApplier(o Options) *Applier {
	if o.Clock == nil {
		o.Clock = clock.Real{}
	}
	if o.IsFastPoller == nil {
		o.IsFastPoller = func() bool { return true }
	}
	defaultTo(&o.FastInterval, DefaultFastInterval)
	defaultTo(&o.SlowInterval, DefaultSlowInterval)
	defaultTo(&o.CallTimeout, DefaultCallTimeout)
	defaultTo(&o.SnapshotEvery, DefaultSnapshotEvery)
	a := &Applier{
		o:        o,
		ready:    make(chan struct{}),
		inbox:    make(chan update, inboxSize),
		hurry:    make(chan struct{}, 1),
		save:     make(chan struct{}, 1),
		set:      newSet(0, &config.Objects{}),
		rnd:      rand.New(rand.NewPCG(o.Seed, o.Seed+1)),
		watchers: map[chan struct{}]bool{},
	}
	a.current.Store(config.Empty())
	return a
}

func defaultTo[T comparable](v *T, def T) {
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
	g.Go(func() error { return a.saveLoop(ctx) })
	return g.Wait()
}

// Current implements config.Source.
func (a *Applier) Current() *config.State { return a.current.Load() }

// Applied returns the number of the newest ticket in force on this instance.
func (a *Applier) Applied() uint64 { return a.Current().Ticket }

// Age implements config.Source. It is the longest Duration until the first answer.
func (a *Applier) Age() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.known {
		return UnknownAge
	}
	return a.o.Clock.Now().Sub(a.currentAt)
}

// Ready is closed once a configuration has been learned from the store or a peer.
func (a *Applier) Ready() <-chan struct{} { return a.ready }

// Subscribe returns a channel that receives after Current has changed. Several
// changes may give one signal. The function ends the subscription.
func (a *Applier) Subscribe() (<-chan struct{}, func()) {
	ch := make(chan struct{}, 1)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.watchers[ch] = true
	return ch, func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		delete(a.watchers, ch)
	}
}

// Offer takes over tickets that a peer announced. It reports false if the applier
// is too far behind to queue them; the next poll brings them.
func (a *Applier) Offer(t Tail) bool {
	select {
	case a.inbox <- update{tail: t, origin: fromAnnouncement}:
		return true
	default:
		return false
	}
}

// Tail returns the tickets after a number for a peer. Snapshot stays empty; need
// tells that the peer must take a snapshot first.
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

// Snapshot returns the configuration in force in the form of the object store.
func (a *Applier) Snapshot() ([]byte, error) { return encodeSnapshot(a.Current()) }

// applyLoop is the only goroutine that changes the configuration.
func (a *Applier) applyLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case u := <-a.inbox:
			a.apply(u)
			if u.done != nil {
				close(u.done)
			}
		}
	}
}

// apply takes over what is new in u.
func (a *Applier) apply(u update) {
	before := a.set.ticket
	a.takeSnapshot(u)
	fresh, err := a.takeTickets(u.tail.Tickets)
	if err != nil {
		a.reportStuck(err)
	}
	if a.set.ticket > before {
		a.publish(fresh, u.origin)
	}
	if u.tail.Head > a.set.ticket {
		signal(a.hurry)
		return
	}
	// An announcement may have been held up on its way and proves no age.
	if err == nil && u.origin != fromAnnouncement {
		a.refreshed(u.at)
	}
}

// reportStuck reports a ticket that this program cannot read, once for each ticket.
func (a *Applier) reportStuck(err error) {
	if a.stuck == a.set.ticket+1 {
		return
	}
	a.stuck = a.set.ticket + 1
	a.o.Log.Error(err, "ticket cannot be applied", "applied", a.set.ticket)
	a.o.Ring.Add(event.Event{Kind: "ticket.stuck", Ticket: a.stuck, Detail: err.Error()})
}

// takeSnapshot replaces the set by a newer one.
func (a *Applier) takeSnapshot(u update) {
	s := u.set
	if s == nil && u.tail.Snapshot != nil {
		decoded, err := decodeSnapshot(u.tail.Snapshot)
		if err != nil {
			a.o.Log.Error(err, "snapshot refused")
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
	a.recent, a.size = nil, 0
	a.o.Ring.Add(event.Event{Kind: "ticket.snapshot_loaded", Ticket: s.ticket})
}

// takeTickets applies those tickets that are next in order and returns them.
func (a *Applier) takeTickets(tail [][]byte) (fresh [][]byte, err error) {
	for _, data := range tail {
		t, err := DecodeTicket(data)
		if err != nil {
			return fresh, err
		}
		if t.Number <= a.set.ticket {
			continue
		}
		if t.Number != a.set.ticket+1 {
			signal(a.hurry)
			return fresh, nil
		}
		a.set.apply(t)
		fresh = append(fresh, data)
		a.o.Ring.Add(event.Event{Kind: "ticket.applied", Ticket: t.Number, Detail: t.Author})
	}
	return fresh, nil
}

// publish makes the set's configuration the one in force.
func (a *Applier) publish(fresh [][]byte, from origin) {
	a.mu.Lock()
	a.current.Store(a.set.next(a.Current()))
	a.remember(fresh)
	for ch := range a.watchers {
		signal(ch)
	}
	a.mu.Unlock()
	a.o.Log.V(1).Info("tickets applied", "applied", a.set.ticket)
	if from == fromTable && a.o.Announce != nil && len(fresh) > 0 && a.o.IsFastPoller() {
		a.o.Announce.Announce(announcement(a.set.ticket, fresh))
	}
	signal(a.save)
}

// announcement carries the tickets unless they are too large.
func announcement(head uint64, fresh [][]byte) Tail {
	size := 0
	for _, data := range fresh {
		size += len(data)
	}
	if size > announceSize {
		fresh = nil
	}
	return Tail{Head: head, Tickets: fresh}
}

// remember keeps tickets for peers. The caller holds mu.
func (a *Applier) remember(fresh [][]byte) {
	for _, data := range fresh {
		a.recent = append(a.recent, data)
		a.size += len(data)
	}
	drop := 0
	for len(a.recent)-drop > recentCount || a.size > recentBytes {
		a.size -= len(a.recent[drop])
		a.recent[drop] = nil
		drop++
	}
	a.recent = a.recent[drop:]
}

// refreshed records that the configuration was current at a time.
func (a *Applier) refreshed(at time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.known {
		a.known = true
		a.currentAt = at
		close(a.ready)
		return
	}
	if at.After(a.currentAt) {
		a.currentAt = at
	}
}

// signal wakes the receiver of a channel of size one.
func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// vary returns d changed by the jitter.
func (a *Applier) vary(d time.Duration) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return time.Duration(float64(d) * (1 - jitter + 2*jitter*a.rnd.Float64()))
}

// pollLoop reads new tickets from the table, or from peers while it cannot.
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
	started  bool      // a first configuration has been sent to the applier
	failing  bool      // the last poll of the table failed
	polled   time.Time // start of the last poll
	askPeers time.Time // earliest time for the next call to peers
	more     bool      // the last poll did not reach the end
}

// wait blocks until the next poll is due; it reports false once ctx has ended.
func (p *poller) wait(ctx context.Context) bool {
	slow := p.vary(p.o.SlowInterval)
	for !p.more {
		select {
		case <-ctx.Done():
			return false
		case <-p.hurry:
			return p.sleep(ctx, p.fraction(p.o.FastInterval))
		case <-p.o.Clock.After(p.vary(p.o.FastInterval)):
		}
		if !p.started || p.o.IsFastPoller() || p.o.Clock.Now().Sub(p.polled) >= slow {
			return true
		}
	}
	return ctx.Err() == nil
}

func (p *poller) sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-p.o.Clock.After(d):
		return true
	}
}

// fraction returns a random part of d.
func (a *Applier) fraction(d time.Duration) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return time.Duration(float64(d) * a.rnd.Float64())
}

// poll fetches once, from the table or else from peers.
func (p *poller) poll(ctx context.Context) {
	p.more = false
	p.polled = p.o.Clock.Now()
	u, err := p.fromStore(ctx)
	if ctx.Err() != nil {
		return
	}
	p.report(err)
	if err != nil {
		u, err = p.fromPeers(ctx)
	}
	if err != nil {
		return
	}
	u.done = make(chan struct{})
	select {
	case p.inbox <- u:
	case <-ctx.Done():
		return
	}
	select {
	case <-u.done:
		p.started = true
	case <-ctx.Done():
	}
}

// fromStore reads the tickets after the applied one, and a snapshot at the start.
func (p *poller) fromStore(ctx context.Context) (update, error) {
	ctx, cancel := context.WithTimeout(ctx, p.o.CallTimeout)
	defer cancel()
	u := update{origin: fromTable}
	after := p.Applied()
	if !p.started {
		s, err := newestSnapshot(ctx, p.o.Objects, math.MaxUint64)
		if err != nil {
			return u, err
		}
		if s.ticket > after {
			u.set, after = s, s.ticket
		}
	}
	u.at = p.o.Clock.Now()
	tail, err := readTail(ctx, p.o.Table, after, tailLimit)
	if err != nil {
		return u, err
	}
	u.tail.Tickets = tail
	u.tail.Head = after + uint64(len(tail))
	if len(tail) == tailLimit {
		p.more = true
		u.tail.Head++ // there may be more: this tail does not prove to be current
	}
	return u, nil
}

// fromPeers asks peers, at most once in SlowInterval.
func (p *poller) fromPeers(ctx context.Context) (update, error) {
	now := p.o.Clock.Now()
	if p.o.Peers == nil || now.Before(p.askPeers) {
		return update{}, errors.WithStack(platform.ErrUnavailable)
	}
	p.askPeers = now.Add(p.vary(p.o.SlowInterval))
	ctx, cancel := context.WithTimeout(ctx, p.o.CallTimeout)
	defer cancel()
	tail, err := p.o.Peers.Fetch(ctx, p.Applied())
	if err != nil {
		return update{}, err
	}
	if tail.Age == UnknownAge {
		return update{}, errors.New("peer does not know the configuration's age")
	}
	return update{tail: tail, origin: fromPeer, at: now.Add(-tail.Age)}, nil
}

// report records that the store stopped or started to answer.
func (p *poller) report(err error) {
	if (err != nil) == p.failing {
		return
	}
	p.failing = err != nil
	if p.failing {
		p.o.Log.Info("store cannot be read; asking peers", "error", err.Error())
		p.o.Ring.Add(event.Event{Kind: "ticket.store_lost", Ticket: p.Applied(), Detail: err.Error()})
		return
	}
	p.o.Log.Info("store can be read again")
	p.o.Ring.Add(event.Event{Kind: "ticket.store_back", Ticket: p.Applied()})
}
