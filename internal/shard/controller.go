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

// Members is what the controller needs of membership.
type Members interface {
	member.Source
	// ActiveEpoch returns this process's session epoch; ok is false while it must not
	// act as home.
	ActiveEpoch() (epoch uint64, ok bool)
	// Dead reports whether a session is proved to be dead.
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

	RoundEvery    time.Duration // time between two rounds of decisions
	ScanEvery     time.Duration // time between two reads of the data centre's rows
	StableFor     time.Duration // time that a new member is seen before it is given shards
	HandOverEvery time.Duration
	HandOverBatch int           // shards handed over at once
	ClaimDelay    time.Duration // wait of the next member where the intended one does not claim
	RemoteTTL     time.Duration // life of a cached row of another data centre
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

// Hook is told of a shard that this process gains or loses.
type Hook func(k Key, epoch uint64)

// Controller takes and gives up shards of its data centre. It implements Directory.
//
// Invariant: a row names this process's session only because this process wrote it,
// and is changed by another only once the session is proved to be dead. So a shard is
// held while the newest row seen names the session and the session may act.
type Controller struct {
	opts Options
	dc   string

	roundMu       sync.Mutex // held during a round, so that decisions and writes are sequential
	placedFor     []member.Session
	lastPlacement placement // for placedFor; both guarded by round

	hooksMu sync.Mutex // held while hooks run

	mu            sync.Mutex // guards all below, and opts.Rand
	records       map[Key]Record
	readAt        map[Key]time.Time // when rows of other data centres were read
	held          map[Key]holding
	releasing     map[Key]uint64 // version of a row whose release may or may not have been written
	orphanedSince map[Key]time.Time
	notReady      map[string]time.Time // members that could not take shards, and when
	memberSince   map[string]memberSighting
	// departing are the session epochs of members that are giving up all they have.
	departing      map[string]uint64
	loaded         bool                 // the rows of the data centre were read at least once
	lastScan       time.Time            // last successful read of the rows from the table
	lastRemoteScan time.Time            // the same of the next data centre's rows, all of them
	stalePollers   map[string]time.Time // pollers that had not read lately, and when
	gen            uint64               // counts the changes of rows of the data centre
	changedGen     map[Key]uint64       // gen of the last change of each
	source         uint64
	synced         SyncArgs
	nextScan       time.Time
	handOverAfter  time.Time
	pendingHooks   []func() // hooks to call
	leaving        bool
	onGain         []Hook
	onLose         []Hook
	onRelease      []Hook

	lookups chan Key
	wake    chan struct{}
}

// holding is a shard that this process is home of.
type holding struct {
	epoch   uint64
	session uint64 // session epoch under which it was taken
}

// memberSighting is since when a member has been in the view without a break.
type memberSighting struct {
	epoch uint64
	since time.Time
}

// lookupQueueSize bounds the shards of other data centres that wait to be looked up.
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

// OnGain adds a hook that is called after a shard was taken. Hooks are added before
// Run and must not block.
func (c *Controller) OnGain(h Hook) { c.onGain = append(c.onGain, h) }

// OnRelease adds a hook that is called before a shard that this process holds is
// handed over to a live member, while it is still held. Hooks are added before Run.
func (c *Controller) OnRelease(h Hook) { c.onRelease = append(c.onRelease, h) }

// OnLose adds a hook that is called when a shard was lost, or before its release is
// written; Held is false by then.
func (c *Controller) OnLose(h Hook) { c.onLose = append(c.onLose, h) }

// Run takes and gives up shards until ctx ends.
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

// jitter returns d changed by up to a tenth.
func (c *Controller) jitter(d time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return d*9/10 + time.Duration(c.opts.Rand.Int64N(int64(d)/5+1))
}

// Home implements Directory. An unknown shard of another data centre, or one read
// long ago, is looked up in the background.
func (c *Controller) Home(k Key) (Assignment, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r, known := c.records[k]
	if k.DataCentre != c.dc && (!known || c.opts.Clock.Now().Sub(c.readAt[k]) > c.opts.RemoteTTL) {
		c.requestLookup(k)
	}
	return r.Assignment, known && !r.released()
}

// Refresh asks for a shard's row to be read again, after its home was found to be
// another or not to answer.
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

// updateRecord takes over a row if it is newer than the one known, and settles whether this
// process holds the shard. The caller holds mu and calls runHooks after that.
func (c *Controller) updateRecord(r Record) {
	old, known := c.records[r.Key]
	if known && r.Version < old.Version && r.Version != 0 {
		return // an older read
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
	_, retiring := c.releasing[r.Key]
	self := c.opts.Members.View().Self
	owned := !retiring && self.Epoch > 0 && r.Home.Name == self.Name && r.Home.Epoch == self.Epoch
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

// runHooks calls the hooks that are due, in the order of the gains and losses. On its
// return all that were due at its start have been called.
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
