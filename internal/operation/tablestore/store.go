// Package tablestore implements operation.Store on the platform's table.
//
// Every change of a row is a write with the row's version as its condition, and
// carries the nonce of the claim that it belongs to. So a write whose answer was
// lost is settled by reading the row, and one that takes effect late changes nothing
// once the row moved on.
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
	Window          time.Duration `ini:"window" default:"2ms" min:"0s" max:"1s" doc:"longest wait for more changes to commit together"`
	MaxRows         int           `ini:"max_rows" default:"128" min:"1" max:"10000" doc:"rows committed together"`
	WritesPerSecond float64       `ini:"writes_per_second" default:"25" min:"0.1" doc:"commits a second of this instance; changes wait and go together above it"`
	Queue           int           `ini:"queue" default:"512" min:"1" doc:"changes that wait for a commit"`
	CallTimeout     time.Duration `ini:"call_timeout" default:"2s" min:"10ms" doc:"longest call to the table"`
	ClaimTimeout    time.Duration `ini:"claim_timeout" default:"5s" min:"10ms" doc:"longest wait for a claim"`
	MaxAnswer       int           `ini:"max_answer" default:"32768" min:"0" doc:"bytes kept of an answer's body"`
	Pending         int           `ini:"pending" default:"4096" min:"1" doc:"records that wait for the table to come back"`
	PendingBytes    int           `ini:"pending_bytes" default:"16777216" min:"0" doc:"bytes of answers that wait for the table; above it outcomes are kept without body"`
	GiveUp          time.Duration `ini:"give_up" default:"30m" min:"1s" doc:"time after which a record that cannot be written is given up"`
	Drain           time.Duration `ini:"drain" default:"5s" min:"0s" doc:"time to write records at shutdown"`
	Retention       time.Duration `ini:"retention" default:"24h" min:"1s" doc:"life of recorded operations"`
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
	// OwnerDead reports whether the process that issued a request id is known to
	// have ended. Nil means that no owner is ever known to be dead.
	OwnerDead func(owner string) bool
	// IsSweeper reports whether this instance removes old rows now; nil means yes.
	IsSweeper func() bool
}

const (
	// claimAttempts bounds the races for one row that a Claim goes through.
	claimAttempts = 4
	// inProgressRetry is when a caller should ask again for a running operation.
	inProgressRetry = time.Second
	// unavailableRetry is when a caller should come back to a table that is down.
	unavailableRetry = 2 * time.Second
)

// Store is an operation.Store. It works while Run runs.
type Store struct {
	o  Options
	s  Settings
	c  *committer
	r  *retrier
	sw *sweeper
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
		o: o, s: o.Settings,
		c:  newCommitter(o),
		r:  newRetrier(o),
		sw: &sweeper{o: o},
	}
}

// Run commits, retries and sweeps until ctx ends; then it writes what still waits,
// for at most the drain time.
func (s *Store) Run(ctx context.Context) error {
	commits, stop := context.WithCancel(context.WithoutCancel(ctx))
	var g errgroup.Group
	g.Go(func() error {
		s.c.run(commits)
		return nil
	})
	g.Go(func() error {
		defer stop()
		s.r.run(ctx)
		return nil
	})
	g.Go(func() error {
		s.sw.run(ctx)
		return nil
	})
	return g.Wait()
}

// SetWritesPerSecond changes the bound on this instance's commits, for example when
// the number of instances that share the table changes.
func (s *Store) SetWritesPerSecond(rate float64) { s.c.setRate(rate) }

// Claim implements operation.Store.
func (s *Store) Claim(ctx context.Context, account, key, digest, owner string) (operation.Claim, *operation.Answer, error) {
	mine := row{
		Record: operation.Record{
			Account: account, Key: key, Digest: digest, State: operation.Claimed,
			Owner: owner, ClaimedAt: s.o.Clock.Now(),
		},
		Nonce: uuid.NewString(),
	}
	c := &claim{s: s, key: rowKey(account, key), row: mine}
	ctx, stop := context.WithTimeout(ctx, s.s.ClaimTimeout)
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
		answer, err := s.existing(found, digest)
		return nil, answer, err
	}
	return nil, nil, unavailable(errors.New("row kept changing"))
}

// existing decides what a recorded operation means for a new request under its key.
func (s *Store) existing(r row, digest string) (*operation.Answer, error) {
	if r.Digest != digest {
		return nil, errkind.New(errkind.OperationConflict, "the idempotency key was used with other inputs")
	}
	switch s.seen(r) {
	case operation.Done:
		return r.Answer, nil
	case operation.Unknown:
		return nil, errkind.New(errkind.OperationUnknown, "the outcome of this operation is not known").
			WithExecution(errkind.Unknown)
	}
	return nil, errkind.New(errkind.OperationInProgress, "the operation is still running").
		WithExecution(errkind.Unknown).WithRetryAfter(inProgressRetry)
}

// seen returns the state of a row as callers see it: a claim whose owner is dead
// has an outcome that nobody knows.
func (s *Store) seen(r row) operation.State {
	if r.State == operation.Claimed && s.o.OwnerDead(r.Owner) {
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
	r.State = s.seen(r)
	return &r.Record, nil
}

// read returns one row.
func (s *Store) read(ctx context.Context, key string) (row, error) {
	ctx, stop := context.WithTimeout(ctx, s.s.CallTimeout)
	defer stop()
	rows, err := s.o.Table.Get(ctx, key)
	if err != nil {
		return row{}, err
	}
	return decodeRow(rows[0])
}

func unavailable(err error) error {
	return errkind.Wrap(err, errkind.StoreUnavailable, errkind.NotRun, "the table of operations cannot be used").
		WithRetryAfter(unavailableRetry)
}
