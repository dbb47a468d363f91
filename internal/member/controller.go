package member

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"golang.org/x/sync/errgroup"

	"carawayrouter.example/router/internal/clock"
	"carawayrouter.example/router/internal/event"
	"carawayrouter.example/router/internal/peer"
	"carawayrouter.example/router/internal/platform"
)

// Defaults of Options. Safety requires IsolateAfter < LapseAfter < DeadAfter, with
// seconds between them.
const (
	DefaultRenewEvery     = 5 * time.Second
	DefaultHeartbeatEvery = 500 * time.Millisecond
	DefaultSuspectAfter   = 1500 * time.Millisecond
	DefaultIsolateAfter   = 2 * time.Second
	DefaultLapseAfter     = 4 * time.Second
	DefaultDeadAfter      = 6 * time.Second
	DefaultScanEvery      = 3 * time.Second
	DefaultCallTimeout    = time.Second
	DefaultStoreTimeout   = 2 * time.Second
	DefaultScanRowsPerSec = 200 // session rows per second read by all pollers together
)

// Options configures a Controller. Zero durations take the defaults.
type Options struct {
	Session   Session // without Epoch
	Table     platform.Table
	Instances platform.Instances
	Caller    peer.Caller
	Registrar peer.Registrar
	Clock     clock.Clock
	Rand      *rand.Rand
	Applied   func() uint64 // newest ticket in force on this instance; may be nil
	Seeds     []string      // peer addresses to contact while no peer is known
	Logger    logr.Logger
	Events    *event.Ring

	RenewEvery     time.Duration // session renewal
	HeartbeatEvery time.Duration
	SuspectAfter   time.Duration // silence after which a peer is removed from the view
	IsolateAfter   time.Duration // without contact to the store or a peer for this long: not active
	LapseAfter     time.Duration // the same for longer: not active until the session is renewed
	DeadAfter      time.Duration // W in the design: unlisted, unrenewed and unheard for this long means dead
	ScanEvery      time.Duration // minimum interval between scans of the session rows
	CallTimeout    time.Duration
	StoreTimeout   time.Duration
	ScanRowsPerSec int
}

func (o Options) withDefaults() (Options, error) {
	for _, d := range []struct {
		v   *time.Duration
		def time.Duration
	}{
		{&o.RenewEvery, DefaultRenewEvery}, {&o.HeartbeatEvery, DefaultHeartbeatEvery},
		{&o.SuspectAfter, DefaultSuspectAfter}, {&o.IsolateAfter, DefaultIsolateAfter},
		{&o.LapseAfter, DefaultLapseAfter}, {&o.DeadAfter, DefaultDeadAfter},
		{&o.ScanEvery, DefaultScanEvery}, {&o.CallTimeout, DefaultCallTimeout},
		{&o.StoreTimeout, DefaultStoreTimeout},
	} {
		if *d.v == 0 {
			*d.v = d.def
		}
	}
	if o.ScanRowsPerSec == 0 {
		o.ScanRowsPerSec = DefaultScanRowsPerSec
	}
	if o.Clock == nil {
		o.Clock = clock.Real{}
	}
	if o.Rand == nil {
		o.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if o.Applied == nil {
		o.Applied = func() uint64 { return 0 }
	}
	if o.Logger.GetSink() == nil {
		o.Logger = logr.Discard()
	}
	if !(o.IsolateAfter < o.LapseAfter && o.LapseAfter < o.DeadAfter) {
		return o, errors.Newf("IsolateAfter (%v), LapseAfter (%v) and DeadAfter (%v) must be in increasing order",
			o.IsolateAfter, o.LapseAfter, o.DeadAfter)
	}
	return o, nil
}

// Controller maintains this instance's session and its view of the other instances.
// It implements Source.
type Controller struct {
	opts   Options
	view   atomic.Pointer[View]
	fenced chan struct{}

	rowMu sync.Mutex // serialises writes of the session row

	mu              sync.Mutex // guards the fields below and opts.Rand
	self            Session    // Epoch is 0 until registered
	rowVersion      uint64     // of this session's row
	left            bool
	observingSince  time.Time             // start of the period for which this session knows whom it heard
	known           map[string]*peerState // other instances by name
	neighbourSince  map[string]time.Time  // ring neighbours and when each became one
	listed          listing
	observed        map[string]unchangedRow // rows of sessions that may have expired
	lastRenewal     time.Time               // start of the last successful renewal
	lastPeerContact time.Time               // start of the last exchange with a registered peer of the data centre
	lapsed          bool                    // no contact for longer than LapseAfter; a renewal is required
	nextRenew       time.Time
	nextScan        time.Time
	lastScan        time.Time            // last successful scan by this instance
	scanInterval    time.Duration        // current interval between scans
	stalePollers    map[string]time.Time // pollers found without a recent scan, and when
	rumours         map[string]int       // names to gossip about, with the rounds remaining
	changes         changeLog
	synced          syncPosition
}

// peerState is what is known of another instance.
type peerState struct {
	session   Session
	lastHeard time.Time // directly or through a rumour; zero if never
	suspect   bool
	version   uint64    // of the session row in the last scan
	changedAt time.Time // when a scan first saw that version; zero before the first scan
}

// NewController returns a Controller and registers its peer service.
func NewController(o Options) (*Controller, error) {
	o, err := o.withDefaults()
	if err != nil {
		return nil, err
	}
	c := &Controller{
		opts:           o,
		fenced:         make(chan struct{}),
		self:           o.Session,
		observingSince: o.Clock.Now(),
		known:          map[string]*peerState{},
		observed:       map[string]unchangedRow{},
		stalePollers:   map[string]time.Time{},
		rumours:        map[string]int{},
		changes:        newChangeLog(o.Rand.Uint64()),
	}
	c.self.Epoch = 0
	c.publish()
	if o.Registrar != nil {
		if err := o.Registrar.Register(serviceName, &Service{c}); err != nil {
			return nil, err
		}
	}
	return c, nil
}

// Run maintains the session and the view until ctx ends. It does not fail if the store
// is down: the instance runs without an epoch until it can register.
func (c *Controller) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	o := c.opts
	g.Go(func() error { return c.loop(ctx, o.HeartbeatEvery, c.heartbeatRound) })
	g.Go(func() error { return c.loop(ctx, o.HeartbeatEvery, c.renewRound) })
	g.Go(func() error { return c.loop(ctx, o.HeartbeatEvery, c.scanRound) })
	g.Go(func() error { return c.loop(ctx, o.ScanEvery, c.listRound) })
	g.Go(func() error { return c.loop(ctx, o.ScanEvery/2, c.expiryRound) })
	return g.Wait()
}

// loop runs step immediately and then about every d.
func (c *Controller) loop(ctx context.Context, d time.Duration, step func(context.Context)) error {
	for ctx.Err() == nil {
		step(ctx)
		select {
		case <-ctx.Done():
		case <-c.opts.Clock.After(c.jitter(d)):
		}
	}
	return nil
}

// mutate runs f under the lock and publishes the view.
func (c *Controller) mutate(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f()
	c.publish()
}

// jitter returns d varied randomly by up to 10%.
func (c *Controller) jitter(d time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return d*9/10 + time.Duration(c.opts.Rand.Int64N(int64(d)/5+1))
}

// View implements Source.
func (c *Controller) View() *View { return c.view.Load() }

// Fenced is closed when another process has replaced this session or its row was
// deleted. The process must stop acting for the fleet.
func (c *Controller) Fenced() <-chan struct{} { return c.fenced }

// Self returns this process's session; Epoch is 0 until it is registered.
func (c *Controller) Self() Session {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.self
}

// Alive reports whether the named instance is considered alive. It is meant for fast
// decisions; false does not prove that the instance is dead.
func (c *Controller) Alive(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if name == c.self.Name {
		return true
	}
	e := c.known[name]
	return e != nil && !e.suspect
}

// publish stores a new View if it differs from the current one. The caller holds mu or
// has exclusive use of c.
func (c *Controller) publish() {
	v := &View{Self: c.self}
	for _, e := range c.known {
		if !e.suspect {
			v.Peers = append(v.Peers, e.session)
		}
	}
	slices.SortFunc(v.Peers, func(a, b Session) int { return strings.Compare(a.Name, b.Name) })
	if old := c.view.Load(); old != nil && old.Self == v.Self && slices.Equal(old.Peers, v.Peers) {
		return
	}
	c.view.Store(v)
}

// fence ends this session permanently. The caller holds mu.
func (c *Controller) fence(reason string) {
	if c.isFenced() {
		return
	}
	close(c.fenced)
	c.opts.Logger.Info("session is fenced", "epoch", c.self.Epoch, "reason", reason)
	c.opts.Events.Add(event.Event{Kind: "member.fenced", Detail: reason})
}

func (c *Controller) isFenced() bool {
	select {
	case <-c.fenced:
		return true
	default:
		return false
	}
}
