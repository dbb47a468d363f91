// Package escrow implements a distributed rate limiter that enforces the rate and
// burst of client accounts across all instances.
//
// Every data centre holds a share of each account's rate and burst, recorded in the
// platform's table. One instance of the data centre, the account's home, owns the
// share and keeps it in a token bucket. Instances take tokens from the home in their
// data centre; homes in different data centres lend tokens to each other and move
// shares to the data centres with the most demand. See docs/design/rates.md.
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
	// sweepInterval is the time between two sweeps for unused prefetched tokens.
	sweepInterval = 100 * time.Millisecond
	// homeSweepDivisor makes the accounts at home swept only in every tenth sweep.
	homeSweepDivisor = 10
)

// Options configures a Limiter. LoanTTL, CallTimeout and StoreTimeout have defaults;
// Events may be nil.
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
	Rand         *rand.Rand // owned by the Limiter once New is called
	Logger       logr.Logger
	Events       *event.Ring
	LoanTTL      time.Duration // maximum time in which lent tokens may be spent
	CallTimeout  time.Duration // timeout of a call, not counting the wait for tokens
	StoreTimeout time.Duration // timeout of a call to the table
}

// Limiter is a limit.Limiter that enforces limits across all instances. It also acts
// as the home of the accounts in the shards that this process holds.
type Limiter struct {
	opts   Options
	home   *home
	client *client

	freezeOnce sync.Once
	frozen     []handover
	released   chan []handover // accounts of shards released to live instances
}

var _ limit.Limiter = (*Limiter)(nil)

// New returns a Limiter and registers its RPC service for peers. The Limiter works
// only while Run is running.
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
		return nil, errors.Wrap(err, "register the rate limit service")
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

// Status returns the state of an account at its home in this data centre.
func (l *Limiter) Status(ctx context.Context, account string) (StatusReply, error) {
	return l.client.status(ctx, account)
}

// Run runs the Limiter's background tasks until ctx ends.
func (l *Limiter) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	open := &opener{home: l.home, opts: &l.opts}
	borrow := &borrower{home: l.home, opts: &l.opts, outbox: l.client.outbox, client: l.client}
	move := &mover{home: l.home, opts: &l.opts}
	g.Go(func() error { return open.run(ctx) })
	g.Go(func() error { return borrow.run(ctx) })
	g.Go(func() error { return move.run(ctx) })
	g.Go(func() error { return l.client.outbox.run(ctx) })
	g.Go(func() error { return l.sweep(ctx) })
	g.Go(func() error { return l.handOverReleased(ctx) })
	return g.Wait()
}

// sweep periodically returns unused prefetched tokens and drops accounts that are no
// longer at home here.
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

// lenderTTL returns the time after which a lender counts a loan as expired. It exceeds
// LoanTTL, the borrower's time, by the drift between their clocks.
func (o *Options) lenderTTL() time.Duration { return o.LoanTTL + o.LoanTTL/clockDriftDivisor }

// getRows reads the rows of accounts from the table.
func (o *Options) getRows(ctx context.Context, accounts []*account) ([]platform.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, o.StoreTimeout)
	defer cancel()
	keys := make([]string, len(accounts))
	for i, a := range accounts {
		keys[i] = shareRowPrefix + a.name
	}
	return o.Table.Get(ctx, keys...)
}

// commitTxn commits a transaction to the table.
func (o *Options) commitTxn(ctx context.Context, t platform.Txn) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, o.StoreTimeout)
	defer cancel()
	return o.Table.Commit(ctx, t)
}

// callPeer calls a method at another instance with timeout d.
func (o *Options) callPeer(ctx context.Context, d time.Duration, addr, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	return o.Caller.Call(ctx, addr, ServiceName+"."+method, args, reply)
}
