// Package tablestore implements operation.Store on the platform's table.
//
// Every write of a row is conditional on the row's version and carries the nonce of its
// claim. The outcome of a write whose answer was lost is therefore determined by reading
// the row, and a delayed write has no effect once the row has a new version.
package tablestore

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"

	"carawayrouter.example/router/internal/clock"
	"carawayrouter.example/router/internal/errkind"
	"carawayrouter.example/router/internal/operation"
	"carawayrouter.example/router/internal/platform"
)

// Settings are the [operations] section of the settings file.
type Settings struct {
	Window          time.Duration `ini:"window" default:"2ms" min:"0s" max:"1s" doc:"time to wait for more changes to commit together"`
	MaxRows         int           `ini:"max_rows" default:"128" min:"1" max:"10000" doc:"maximum number of rows per commit"`
	WritesPerSecond float64       `ini:"writes_per_second" default:"25" min:"0.1" doc:"maximum commits per second of this instance; above it, changes are batched"`
	Queue           int           `ini:"queue" default:"512" min:"1" doc:"maximum number of changes waiting for a commit"`
	CallTimeout     time.Duration `ini:"call_timeout" default:"2s" min:"10ms" doc:"timeout of calls to the table"`
	ClaimTimeout    time.Duration `ini:"claim_timeout" default:"5s" min:"10ms" doc:"timeout of a claim"`
	MaxAnswer       int           `ini:"max_answer" default:"32768" min:"0" doc:"maximum number of bytes recorded of an answer's body"`
	Pending         int           `ini:"pending" default:"4096" min:"1" doc:"maximum number of records queued while the table is unavailable"`
	PendingBytes    int           `ini:"pending_bytes" default:"16777216" min:"0" doc:"maximum bytes of answers queued while the table is unavailable; above it, outcomes are recorded without the body"`
	GiveUp          time.Duration `ini:"give_up" default:"30m" min:"1s" doc:"time after which a record that cannot be written is dropped"`
	Drain           time.Duration `ini:"drain" default:"5s" min:"0s" doc:"maximum time to write queued records at shutdown"`
	Retention       time.Duration `ini:"retention" default:"24h" min:"1s" doc:"time for which operations are kept, counted from their claim"`
	SweepInterval   time.Duration `ini:"sweep_interval" default:"5s" min:"10ms" doc:"pause between pages of the sweep"`
	SweepPage       int           `ini:"sweep_page" default:"200" min:"1" max:"10000" doc:"rows of one page of the sweep"`
}

// DefaultSettings returns the defaults of the settings file.
func DefaultSettings() Settings {
	return Settings{
		Window: 2 * time.Millisecond, MaxRows: 128, WritesPerSecond: 25, Queue: 512,
		CallTimeout: 2 * time.Second, ClaimTimeout: 5 * time.Second, MaxAnswer: 32 << 10, Pending: 4096, PendingBytes: 16 << 20,
		GiveUp: 30 * time.Minute, Drain: 5 * time.Second, Retention: 24 * time.Hour,
		SweepInterval: 5 * time.Second, SweepPage: 200,
	}
}

// Options configure a Store.
type Options struct {
	Settings Settings
	Table    platform.Table
	Clock    clock.Clock // clock.Real if nil
	Log      logr.Logger
	// OwnerDead reports whether the process that issued a request ID is known to have
	// ended. If nil, no owner is considered dead.
	OwnerDead func(owner string) bool
	// IsSweeper reports whether this instance currently removes expired rows; if nil, it
	// does.
	IsSweeper func() bool
}

const (
	// claimAttempts is the maximum number of attempts of one Claim on a contended row.
	claimAttempts = 4
	// inProgressRetry is the Retry-After time for an operation in progress.
	inProgressRetry = time.Second
	// unavailableRetry is the Retry-After time while the table is unavailable.
	unavailableRetry = 2 * time.Second
)

// Store implements operation.Store. Run must be running while it is used.
type Store struct {
	opts      Options
	settings  Settings
	committer *committer
	retrier   *retrier
	sweeper   *sweeper
}

// New returns a Store.
func New(o Options) *Store {
	if o.Clock == nil {
		o.Clock = clock.Real{}
	}
	if o.OwnerDead == nil {
		o.OwnerDead = func(string) bool { return false }
	}
	if o.IsSweeper == nil {
		o.IsSweeper = func() bool { return true }
	}
	return &Store{
		opts: o, settings: o.Settings,
		committer: newCommitter(o),
		retrier:   newRetrier(o),
		sweeper:   &sweeper{opts: o},
	}
}

// Run commits, retries and sweeps until ctx is done. It then writes the queued records,
// for at most the drain time.
func (s *Store) Run(ctx context.Context) error {
	commits, stop := context.WithCancel(context.WithoutCancel(ctx))
	var g errgroup.Group
	g.Go(func() error {
		s.committer.run(commits)
		return nil
	})
	g.Go(func() error {
		defer stop()
		s.retrier.run(ctx)
		return nil
	})
	g.Go(func() error {
		s.sweeper.run(ctx)
		return nil
	})
	return g.Wait()
}

// SetWritesPerSecond changes this instance's limit on commits, for example when the
// number of instances that share the table changes.
func (s *Store) SetWritesPerSecond(rate float64) { s.committer.setRate(rate) }

// Claim implements operation.Store.
func (s *Store) Claim(ctx context.Context, account, key, digest, owner string) (operation.Claim, *operation.Answer, error) {
	claimed := row{
		Record: operation.Record{
			Account: account, Key: key, Digest: digest, State: operation.Claimed,
			Owner: owner, ClaimedAt: s.opts.Clock.Now(),
		},
		Nonce: uuid.NewString(),
	}
	c := &claim{store: s, key: rowKey(account, key), row: claimed}
	ctx, stop := context.WithTimeout(ctx, s.settings.ClaimTimeout)
	defer stop()
	for range claimAttempts {
		err := c.insert(ctx)
		if err == nil {
			return c, nil, nil
		}
		if !errors.Is(err, errConflict) {
			return nil, nil, unavailable(err)
		}
		found, err := s.read(ctx, c.key)
		if err != nil {
			return nil, nil, unavailable(err)
		}
		if found.version == 0 || found.State == released {
			c.row.version = found.version
			continue
		}
		answer, err := s.resolveExisting(found, digest)
		return nil, answer, err
	}
	return nil, nil, unavailable(errors.New("row kept changing"))
}

// resolveExisting returns the answer or error for a new request whose key already has a
// recorded operation.
func (s *Store) resolveExisting(r row, digest string) (*operation.Answer, error) {
	if r.Digest != digest {
		return nil, errkind.New(errkind.OperationConflict, "the idempotency key was used with other inputs")
	}
	switch s.effectiveState(r) {
	case operation.Done:
		return r.Answer, nil
	case operation.Unknown:
		return nil, errkind.New(errkind.OperationUnknown, "the outcome of this operation is not known").
			WithExecution(errkind.Unknown)
	}
	return nil, errkind.New(errkind.OperationInProgress, "the operation is still running").
		WithExecution(errkind.Unknown).WithRetryAfter(inProgressRetry)
}

// effectiveState returns the state of a row as reported to callers: Unknown for a claim
// whose owner is dead.
func (s *Store) effectiveState(r row) operation.State {
	if r.State == operation.Claimed && s.opts.OwnerDead(r.Owner) {
		return operation.Unknown
	}
	return r.State
}

// Status implements operation.Store.
func (s *Store) Status(ctx context.Context, account, key string) (*operation.Record, error) {
	r, err := s.read(ctx, rowKey(account, key))
	if err != nil {
		return nil, unavailable(err)
	}
	if r.version == 0 || r.State == released {
		return nil, errkind.New(errkind.OperationNotFound, "no operation is recorded under this key")
	}
	r.State = s.effectiveState(r)
	return &r.Record, nil
}

func (s *Store) read(ctx context.Context, key string) (row, error) {
	ctx, stop := context.WithTimeout(ctx, s.settings.CallTimeout)
	defer stop()
	rows, err := s.opts.Table.Get(ctx, key)
	if err != nil {
		return row{}, err
	}
	return decodeRow(rows[0])
}

func unavailable(err error) error {
	return errkind.Wrap(err, errkind.StoreUnavailable, errkind.NotRun, "the table of operations cannot be used").
		WithRetryAfter(unavailableRetry)
}
