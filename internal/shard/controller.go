package shard

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/sync/errgroup"

	"carawayrouter.example/router/internal/clock"
	"carawayrouter.example/router/internal/event"
	"carawayrouter.example/router/internal/member"
	"carawayrouter.example/router/internal/peer"
	"carawayrouter.example/router/internal/platform"
)

// Defaults of Options.
const (
	DefaultRoundEvery    = time.Second
	DefaultScanEvery     = 2 * time.Second
	DefaultStableFor     = 10 * time.Second
	DefaultHandOverEvery = time.Second
	DefaultHandOverBatch = 4
	DefaultClaimDelay    = 5 * time.Second
	DefaultRemoteTTL     = time.Minute
	DefaultCallTimeout   = time.Second
	DefaultStoreTimeout  = 2 * time.Second
)

// Members is the part of membership that the controller uses.
type Members interface {
	member.Source
	// ActiveEpoch returns this process's session epoch; ok is false while the process
	// must not act as home.
	ActiveEpoch() (epoch uint64, ok bool)
	// Dead reports whether a session has ended for certain.
	Dead(ctx context.Context, s member.Session) (bool, error)
	// Fenced is closed when this process's session has ended.
	Fenced() <-chan struct{}
}

// Options configures a Controller. Zero fields take the defaults.
type Options struct {
	Members   Members
	Table     platform.Table
	Caller    peer.Caller
	Registrar peer.Registrar
	Clock     clock.Clock
	Rand      *rand.Rand
	Logger    logr.Logger
	Events    *event.Ring

	RoundEvery    time.Duration // time between two rounds
	ScanEvery     time.Duration // time between two reads of the data centre's shard rows
	StableFor     time.Duration // time for which a new member must be in the view before it is given shards
	HandOverEvery time.Duration
	HandOverBatch int           // shards handed over at a time
	ClaimDelay    time.Duration // delay before the next member claims a shard that the intended one has not claimed
	RemoteTTL     time.Duration // maximum age of a cached row of another data centre
	CallTimeout   time.Duration
	StoreTimeout  time.Duration
}

func (o Options) withDefaults() Options {
	for _, d := range []struct {
		v   *time.Duration
		def time.Duration
	}{
		{&o.RoundEvery, DefaultRoundEvery}, {&o.ScanEvery, DefaultScanEvery}, {&o.StableFor, DefaultStableFor},
		{&o.HandOverEvery, DefaultHandOverEvery}, {&o.ClaimDelay, DefaultClaimDelay},
		{&o.RemoteTTL, DefaultRemoteTTL}, {&o.CallTimeout, DefaultCallTimeout},
		{&o.StoreTimeout, DefaultStoreTimeout},
	} {
		if *d.v == 0 {
			*d.v = d.def
		}
	}
	if o.HandOverBatch == 0 {
		o.HandOverBatch = DefaultHandOverBatch
	}
	if o.Clock == nil {
		o.Clock = clock.Real{}
	}
	if o.Rand == nil {
		o.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if o.Logger.GetSink() == nil {
		o.Logger = logr.Discard()
	}
	return o
}

// Hook is called with a shard that this process gains, releases or loses.
type Hook func(k Key, epoch uint64)

// Controller claims and releases shards of its data centre. It implements Directory.
//
// Invariant: only this process writes rows that name its session, and another process
// changes such a row only once the session is proved to be dead. So a shard is held
// while the newest row seen names the session and the session may act.
type Controller struct {
	opts Options
	dc   string

	roundMu       sync.Mutex // held during a round, to serialise decisions and writes
	placedFor     []member.Session
	lastPlacement placement // for placedFor; both guarded by roundMu

	hooksMu sync.Mutex // held while hooks run

	mu            sync.Mutex // guards the fields below and opts.Rand
	records       map[Key]Record
	readAt        map[Key]time.Time // when each row of another data centre was read
	held          map[Key]holding
	releasing     map[Key]uint64       // rows whose release may not have been written, with their versions
	orphanedSince map[Key]time.Time    // since when each shard has had no home in the view
	notReady      map[string]time.Time // members that could not take shards, and when they were asked
	memberSince   map[string]memberSighting
	// departing holds the session epochs of members that are releasing all their shards.
	departing      map[string]uint64
	loaded         bool                 // the rows of this data centre were read at least once
	lastScan       time.Time            // last successful scan of the rows of this data centre
	lastRemoteScan time.Time            // last complete scan of the rows of the next data centre
	stalePollers   map[string]time.Time // pollers found without a recent scan, and when
	gen            uint64               // counts the changes of rows of this data centre
	changedGen     map[Key]uint64       // gen of the last change of each row
	source         uint64
	synced         SyncArgs
	nextScan       time.Time
	handOverAfter  time.Time
	pendingHooks   []func() // hook calls that are due
	leaving        bool
	onGain         []Hook
	onLose         []Hook
	onRelease      []Hook

	lookups chan Key
	wake    chan struct{}
}

// holding is the epoch under which this process is home of a shard.
type holding struct {
	epoch   uint64
	session uint64 // session epoch under which the shard was claimed
}

// memberSighting is the time since which a member has been in the view without
// interruption.
type memberSighting struct {
	epoch uint64
	since time.Time
}

// lookupQueueSize bounds the queued lookups of shards of other data centres.
const lookupQueueSize = 256

// NewController returns a Controller and registers its peer service.
func NewController(o Options) (*Controller, error) {
	o = o.withDefaults()
	c := &Controller{
		opts:          o,
		dc:            o.Members.View().Self.DataCentre,
		records:       map[Key]Record{},
		readAt:        map[Key]time.Time{},
		held:          map[Key]holding{},
		releasing:     map[Key]uint64{},
		orphanedSince: map[Key]time.Time{},
		notReady:      map[string]time.Time{},
		changedGen:    map[Key]uint64{},
		stalePollers:  map[string]time.Time{},
		memberSince:   map[string]memberSighting{},
		departing:     map[string]uint64{},
		source:        o.Rand.Uint64(),
		lookups:       make(chan Key, lookupQueueSize),
		wake:          make(chan struct{}, 1),
	}
	if o.Registrar != nil {
		if err := o.Registrar.Register(serviceName, &Service{c}); err != nil {
			return nil, err
		}
	}
	return c, nil
}

// OnGain adds a hook that is called after a shard was gained. Hooks are added before
// Run and must not block.
func (c *Controller) OnGain(h Hook) { c.onGain = append(c.onGain, h) }

// OnRelease adds a hook that is called before a shard that this process holds is
// handed over to a live member, while it is still held. Hooks are added before Run.
func (c *Controller) OnRelease(h Hook) { c.onRelease = append(c.onRelease, h) }

// OnLose adds a hook that is called when a shard was lost, or before its release is
// written; Held is false by then.
func (c *Controller) OnLose(h Hook) { c.onLose = append(c.onLose, h) }

// Run claims and releases shards until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return c.runRounds(ctx) })
	g.Go(func() error { return c.runLookups(ctx) })
	return g.Wait()
}

func (c *Controller) runRounds(ctx context.Context) error {
	for {
		c.Round(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-c.wake:
		case <-c.opts.Clock.After(c.jitter(c.opts.RoundEvery)):
		}
	}
}

// jitter returns d varied randomly by up to 10%.
func (c *Controller) jitter(d time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return d*9/10 + time.Duration(c.opts.Rand.Int64N(int64(d)/5+1))
}

// Home implements Directory. A shard of another data centre is looked up in the
// background if its row is unknown or older than RemoteTTL.
func (c *Controller) Home(k Key) (Assignment, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r, known := c.records[k]
	if k.DataCentre != c.dc && (!known || c.opts.Clock.Now().Sub(c.readAt[k]) > c.opts.RemoteTTL) {
		c.requestLookup(k)
	}
	return r.Assignment, known && !r.released()
}

// Refresh requests that a shard's row be read again, after its home has changed or did
// not answer.
func (c *Controller) Refresh(k Key) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if k.DataCentre == c.dc {
		c.nextScan = time.Time{}
		return
	}
	delete(c.readAt, k)
	c.requestLookup(k)
}

// requestLookup queues a lookup, or drops it if the queue is full. The caller holds mu.
func (c *Controller) requestLookup(k Key) {
	select {
	case c.lookups <- k:
	default:
	}
}

// Held implements Directory.
func (c *Controller) Held(k Key) (epoch uint64, ok bool) {
	session, ok := c.opts.Members.ActiveEpoch()
	if !ok {
		return 0, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	h, ok := c.held[k]
	if !ok || h.session != session {
		return 0, false
	}
	return h.epoch, true
}

// Holdings returns the shards that this process is home of and may act for.
func (c *Controller) Holdings() map[Key]uint64 {
	session, ok := c.opts.Members.ActiveEpoch()
	out := map[Key]uint64{}
	if !ok {
		return out
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for k, h := range c.held {
		if h.session == session {
			out[k] = h.epoch
		}
	}
	return out
}

// updateRecord stores a row unless it is older than the known one, and updates whether
// this process holds the shard. The caller holds mu and calls runHooks afterwards.
func (c *Controller) updateRecord(r Record) {
	old, known := c.records[r.Key]
	if known && r.Version < old.Version && r.Version != 0 {
		return // read before the known version was written
	}
	c.records[r.Key] = r
	if r.Key.DataCentre != c.dc {
		return
	}
	if !known || old != r {
		c.gen++
		c.changedGen[r.Key] = c.gen
	}
	if v, ok := c.releasing[r.Key]; ok && r.Version > v {
		delete(c.releasing, r.Key)
	}
	_, releasing := c.releasing[r.Key]
	self := c.opts.Members.View().Self
	owned := !releasing && self.Epoch > 0 && r.Home.Name == self.Name && r.Home.Epoch == self.Epoch
	h, held := c.held[r.Key]
	if held && (!owned || h.epoch != r.Epoch) {
		c.lose(r.Key)
		held = false
	}
	if owned && !held {
		c.gain(r.Key, holding{epoch: r.Epoch, session: self.Epoch})
	}
}

func (c *Controller) gain(k Key, h holding) {
	c.held[k] = h
	c.opts.Events.Add(event.Event{Kind: "shard.gained", Detail: k.String()})
	for _, hook := range c.onGain {
		c.pendingHooks = append(c.pendingHooks, func() { hook(k, h.epoch) })
	}
}

func (c *Controller) lose(k Key) {
	h := c.held[k]
	delete(c.held, k)
	c.opts.Events.Add(event.Event{Kind: "shard.lost", Detail: k.String()})
	for _, hook := range c.onLose {
		c.pendingHooks = append(c.pendingHooks, func() { hook(k, h.epoch) })
	}
}

// runHooks calls the hooks that are due, in the order of the gains and losses. When it
// returns, all hooks that were due at its start have been called.
func (c *Controller) runHooks() {
	c.hooksMu.Lock()
	defer c.hooksMu.Unlock()
	c.mu.Lock()
	due := c.pendingHooks
	c.pendingHooks = nil
	c.mu.Unlock()
	for _, f := range due {
		f()
	}
}
