// Package escrow enforces the rate and burst of client accounts over all instances.
//
// Every data centre holds a share of each account's rate and burst, recorded in the
// platform's table. The share belongs to one instance of the data centre, the
// account's home, which keeps it in a token bucket. Instances take tokens from the
// home of their data centre; homes of different data centres lend to each other and
// move shares to where the demand is. See docs/design/rates.md.
package escrow

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"golang.org/x/sync/errgroup"

	"carawayrouter.example/router/internal/clock"
	"carawayrouter.example/router/internal/config"
	"carawayrouter.example/router/internal/event"
	"carawayrouter.example/router/internal/limit"
	"carawayrouter.example/router/internal/member"
	"carawayrouter.example/router/internal/peer"
	"carawayrouter.example/router/internal/platform"
	"carawayrouter.example/router/internal/shard"
)

const (
	defaultLoanTTL      = 2 * time.Second
	defaultCallTimeout  = 300 * time.Millisecond
	defaultStoreTimeout = 2 * time.Second
	// sweepTime is the time between two looks at tokens that are not used.
	sweepInterval = 100 * time.Millisecond
	// homeSweeps is the number of these after which the accounts at home are looked at.
	homeSweepDivisor = 10
)

// Options are the parts that a Limiter is built from. LoanLife, CallTime and
// StoreTime have defaults; Events may be nil.
type Options struct {
	Self         member.Session
	Config       config.Source
	Directory    shard.Directory
	Members      member.Source
	Caller       peer.Caller
	Registrar    peer.Registrar
	Table        platform.Table
	DataCentres  []string // all data centres of the fleet, the same on every instance
	Clock        clock.Clock
	Rand         *rand.Rand // owned by the Limiter from then on
	Logger       logr.Logger
	Events       *event.Ring
	LoanTTL      time.Duration // longest time in which lent tokens may be spent
	CallTimeout  time.Duration // longest time of a call, beside waiting for tokens
	StoreTimeout time.Duration // longest time of a call to the table
}

// Limiter is a limit.Limiter for the whole fleet, and the home of the accounts in
// the shards that this process holds.
type Limiter struct {
	opts   Options
	home   *home
	client *client

	freezeOnce sync.Once
	frozen     []handover
	released   chan []handover // of shards handed over to live instances
}

var _ limit.Limiter = (*Limiter)(nil)

// New builds a Limiter and offers its service to peers. Run must be called for it
// to work.
func New(o Options) (*Limiter, error) {
	if !slices.Contains(o.DataCentres, o.Self.DataCentre) {
		return nil, errors.Newf("data centre %q is not in the list of data centres", o.Self.DataCentre)
	}
	o.DataCentres = slices.Sorted(slices.Values(o.DataCentres))
	o.DataCentres = slices.Compact(o.DataCentres)
	setDefault(&o.LoanTTL, defaultLoanTTL)
	setDefault(&o.CallTimeout, defaultCallTimeout)
	setDefault(&o.StoreTimeout, defaultStoreTimeout)
	l := &Limiter{opts: o, released: make(chan []handover, maxReleasedShards)}
	l.home = newHome(&l.opts)
	l.client = newClient(&l.opts, l.home)
	if err := o.Registrar.Register(ServiceName, &service{l.home}); err != nil {
		return nil, errors.Wrap(err, "offer rate limits to peers")
	}
	return l, nil
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

// Reserve implements limit.Limiter.
func (l *Limiter) Reserve(ctx context.Context, account string, tokens int, w limit.Wait) (limit.Reservation, error) {
	return l.client.reserve(ctx, account, tokens, w)
}

// Status describes an account at its home in this data centre.
func (l *Limiter) Status(ctx context.Context, account string) (StatusReply, error) {
	return l.client.status(ctx, account)
}

// Run performs the Limiter's duties until ctx ends.
func (l *Limiter) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	open := &opener{h: l.home, opts: &l.opts}
	borrow := &borrower{h: l.home, opts: &l.opts, outbox: l.client.outbox, client: l.client}
	move := &mover{h: l.home, opts: &l.opts}
	g.Go(func() error { return open.run(ctx) })
	g.Go(func() error { return borrow.run(ctx) })
	g.Go(func() error { return move.run(ctx) })
	g.Go(func() error { return l.client.outbox.run(ctx) })
	g.Go(func() error { return l.sweep(ctx) })
	g.Go(func() error { return l.handOverReleased(ctx) })
	return g.Wait()
}

// sweep drops what is no longer needed.
func (l *Limiter) sweep(ctx context.Context) error {
	for i := 0; ; i++ {
		if i%homeSweepDivisor == 0 {
			l.home.sweep()
		}
		l.client.sweep()
		select {
		case <-ctx.Done():
			return nil
		case <-l.opts.Clock.After(sweepInterval):
		}
	}
}

// get reads the rows of accounts.
func (o *Options) getRows(ctx context.Context, accounts []*account) ([]platform.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, o.StoreTimeout)
	defer cancel()
	keys := make([]string, len(accounts))
	for i, a := range accounts {
		keys[i] = shareRowPrefix + a.name
	}
	return o.Table.Get(ctx, keys...)
}

// commit applies a transaction.
func (o *Options) commitTxn(ctx context.Context, t platform.Txn) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, o.StoreTimeout)
	defer cancel()
	return o.Table.Commit(ctx, t)
}

// call runs a method at another instance within d.
func (o *Options) callPeer(ctx context.Context, d time.Duration, addr, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	return o.Caller.Call(ctx, addr, ServiceName+"."+method, args, reply)
}
