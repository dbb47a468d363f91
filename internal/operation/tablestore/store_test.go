package tablestore

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"carawayrouter.example/router/internal/errkind"
	"carawayrouter.example/router/internal/operation"
	"carawayrouter.example/router/internal/platform"
	"carawayrouter.example/router/internal/platform/memplatform"
	"carawayrouter.example/router/internal/settings"
)

const testDataCentre = "dc-1"

var answer = operation.Answer{Status: 201, ContentType: "application/json", Body: []byte(`{"n":1}`)}

func testSettings() Settings {
	s := DefaultSettings()
	s.WritesPerSecond = 10_000
	s.CallTimeout = 50 * time.Millisecond
	s.ClaimTimeout = 10 * time.Second
	s.Drain = 20 * time.Millisecond
	return s
}

// startStore runs a Store until the returned function is called or the test ends.
func startStore(t testing.TB, o Options) (*Store, func()) {
	o.Log = logr.Discard()
	s := New(o)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	var once sync.Once
	stop := func() {
		once.Do(func() {
			cancel()
			assert.NilError(t, <-done)
		})
	}
	t.Cleanup(stop)
	return s, stop
}

func setup(t testing.TB) (*memplatform.Store, *Store) {
	mem := memplatform.New(memplatform.Options{Seed: 1})
	s, _ := startStore(t, Options{Settings: testSettings(), Table: mem.For(testDataCentre).Table})
	return mem, s
}

func mustClaim(t testing.TB, s *Store, key, digest, owner string) operation.Claim {
	t.Helper()
	c, a, err := s.Claim(context.Background(), "paper", key, digest, owner)
	assert.NilError(t, err)
	assert.Assert(t, a == nil && c != nil)
	return c
}

func mustRefuse(t testing.TB, s *Store, key, digest string, want errkind.Kind) *errkind.Error {
	t.Helper()
	c, a, err := s.Claim(context.Background(), "paper", key, digest, "other.1.1")
	assert.Assert(t, c == nil && a == nil)
	assert.Assert(t, errkind.Is(err, want), "got %v", err)
	return errkind.From(err)
}

// waitForState waits until the recorded state of a key is want.
func waitForState(t testing.TB, s *Store, key string, want operation.State) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		rec, err := s.Status(context.Background(), "paper", key)
		switch {
		case want == released && errkind.Is(err, errkind.OperationNotFound):
			return poll.Success()
		case err == nil && rec.State == want:
			return poll.Success()
		}
		return poll.Continue("record %v, error %v", rec, err)
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(5*time.Millisecond))
}

func TestDefaultsAgreeWithTags(t *testing.T) {
	var file struct {
		Operations Settings `ini:"operations"`
	}
	assert.NilError(t, settings.Parse("empty", nil, &file))
	assert.DeepEqual(t, file.Operations, DefaultSettings())
}

func TestAnswerIsReplayedAndInputsAreBound(t *testing.T) {
	_, s := setup(t)
	c := mustClaim(t, s, "k", "d1", "e.1.1")
	e := mustRefuse(t, s, "k", "d1", errkind.OperationInProgress)
	assert.Equal(t, e.Execution, errkind.Unknown)
	assert.Assert(t, e.RetryAfter > 0)
	mustRefuse(t, s, "k", "d2", errkind.OperationConflict)
	assert.NilError(t, c.Finish(context.Background(), answer))
	assert.ErrorIs(t, c.Release(context.Background()), errClaimClosed)

	_, got, err := s.Claim(context.Background(), "paper", "k", "d1", "e.1.2")
	assert.NilError(t, err)
	assert.DeepEqual(t, *got, answer)
	mustRefuse(t, s, "k", "d2", errkind.OperationConflict)
	mustClaim(t, s, "other key", "d1", "e.1.3")
	_, err = s.Status(context.Background(), "paper", "none")
	assert.Assert(t, errkind.Is(err, errkind.OperationNotFound))
}

func TestReleasedKeyCanBeClaimedAgain(t *testing.T) {
	_, s := setup(t)
	assert.NilError(t, mustClaim(t, s, "k", "d1", "e.1.1").Release(context.Background()))
	_, err := s.Status(context.Background(), "paper", "k")
	assert.Assert(t, errkind.Is(err, errkind.OperationNotFound))
	assert.NilError(t, mustClaim(t, s, "k", "d2", "e.1.2").Abandon(context.Background()))
	e := mustRefuse(t, s, "k", "d2", errkind.OperationUnknown)
	assert.Equal(t, e.Execution, errkind.Unknown)
}

func TestLongAnswerIsTruncated(t *testing.T) {
	_, s := setup(t)
	body := make([]byte, DefaultSettings().MaxAnswer+1)
	assert.NilError(t, mustClaim(t, s, "k", "d", "e.1.1").Finish(context.Background(), operation.Answer{Status: 200, Body: body}))
	rec, err := s.Status(context.Background(), "paper", "k")
	assert.NilError(t, err)
	assert.Assert(t, rec.Answer.Truncated)
	assert.Equal(t, len(rec.Answer.Body), DefaultSettings().MaxAnswer)
}

func TestStoreDownDuringClaim(t *testing.T) {
	mem, s := setup(t)
	mem.Down(true)
	e := mustRefuse(t, s, "k", "d", errkind.StoreUnavailable)
	assert.Equal(t, e.Execution, errkind.NotRun)
	mem.Down(false)
	mustClaim(t, s, "k", "d", "e.1.1")
}

// TestLostAnswerOfClaim tests that the outcome of a claim whose answer was lost is
// determined by reading the row, and that the claim is used once or released.
func TestLostAnswerOfClaim(t *testing.T) {
	for _, lose := range []func(*memplatform.Store, float64){(*memplatform.Store).LoseAnswers, (*memplatform.Store).LoseRequests} {
		mem, s := setup(t)
		lose(mem, 0.5)
		for i := range 40 {
			key := fmt.Sprint(i)
			c, _, err := s.Claim(context.Background(), "paper", key, "d", "e.1.1")
			if err != nil {
				assert.Assert(t, errkind.Is(err, errkind.StoreUnavailable))
				waitForState(t, s, key, released)
				continue
			}
			mustRefuse(t, s, key, "d", errkind.OperationInProgress)
			_ = c.Finish(context.Background(), answer)
			waitForState(t, s, key, operation.Done)
		}
	}
}

// delayingTable withholds the first commit, so that the test can apply it later.
type delayingTable struct {
	platform.Table
	mu      sync.Mutex
	first   *platform.Txn
	failing bool // reads and later commits fail
	commits int
}

func (l *delayingTable) Commit(ctx context.Context, t platform.Txn) (uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.commits++
	if l.first == nil {
		l.first = &t
		return 0, platform.ErrUnknownOutcome
	}
	if l.failing {
		return 0, platform.ErrUnavailable
	}
	return l.Table.Commit(ctx, t)
}

func (l *delayingTable) Get(ctx context.Context, keys ...string) ([]platform.Row, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failing {
		return nil, platform.ErrUnavailable
	}
	return l.Table.Get(ctx, keys...)
}

func (l *delayingTable) restore() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failing = false
}

// TestClaimThatTakesEffectLate tests that a claim whose commit is delayed until after the
// claim was refused or released does not block the key.
func TestClaimThatTakesEffectLate(t *testing.T) {
	for _, failing := range []bool{false, true} {
		mem := memplatform.New(memplatform.Options{Seed: 1})
		l := &delayingTable{Table: mem.For(testDataCentre).Table, failing: failing}
		s, _ := startStore(t, Options{Settings: testSettings(), Table: l})
		c, _, err := s.Claim(context.Background(), "paper", "k", "d", "e.1.1")
		if failing {
			assert.Assert(t, errkind.Is(err, errkind.StoreUnavailable))
			l.restore()
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if s.retrier.pending() == 0 {
					return poll.Success()
				}
				return poll.Continue("claim not released")
			}, poll.WithTimeout(20*time.Second))
		} else {
			assert.NilError(t, err)
			assert.NilError(t, c.Release(context.Background()))
		}
		_, err = l.Table.Commit(context.Background(), *l.first)
		var conflict *platform.ConflictError
		assert.Assert(t, errors.As(err, &conflict))
		mustClaim(t, s, "k", "d", "e.1.2")
	}
}

// TestStoreDownDuringRecord tests that an answer that cannot be recorded immediately is
// recorded once the table is available again.
func TestStoreDownDuringRecord(t *testing.T) {
	mem, s := setup(t)
	c := mustClaim(t, s, "k", "d", "e.1.1")
	mem.Down(true)
	assert.Assert(t, c.Finish(context.Background(), answer) != nil)
	mem.Down(false)
	waitForState(t, s, "k", operation.Done)
	_, got, err := s.Claim(context.Background(), "paper", "k", "d", "e.1.2")
	assert.NilError(t, err)
	assert.DeepEqual(t, *got, answer)
}

// TestPendingBytesAreBounded tests that the outcome is recorded without the body if the
// queued answers exceed PendingBytes.
func TestPendingBytesAreBounded(t *testing.T) {
	mem := memplatform.New(memplatform.Options{Seed: 1})
	set := testSettings()
	set.PendingBytes = 0
	s, _ := startStore(t, Options{Settings: set, Table: mem.For(testDataCentre).Table})
	c := mustClaim(t, s, "k", "d", "e.1.1")
	mem.Down(true)
	assert.Assert(t, c.Finish(context.Background(), answer) != nil)
	mem.Down(false)
	waitForState(t, s, "k", operation.Done)
	rec, err := s.Status(context.Background(), "paper", "k")
	assert.NilError(t, err)
	assert.Assert(t, rec.Answer.Truncated && len(rec.Answer.Body) == 0)
	assert.Equal(t, rec.Answer.Status, answer.Status)
}

// TestConflictFailsOnlyItsRow tests that a conflicting claim does not fail the other
// claims of its batch.
func TestConflictFailsOnlyItsRow(t *testing.T) {
	mem, s := setup(t)
	mustClaim(t, s, "taken", "d", "e.1.1")
	mem.Slow(10 * time.Millisecond)
	before := mem.Counts().Writes
	var wg sync.WaitGroup
	errs := make([]error, 20)
	for i := range errs {
		key := fmt.Sprint(i)
		if i == 7 {
			key = "taken"
		}
		wg.Go(func() {
			_, _, errs[i] = s.Claim(context.Background(), "paper", key, "d", "e.1.2")
		})
	}
	wg.Wait()
	for i, err := range errs {
		assert.Equal(t, errkind.Is(err, errkind.OperationInProgress), i == 7, "claim %d: %v", i, err)
		assert.Equal(t, err == nil, i != 7)
	}
	assert.Assert(t, mem.Counts().Writes-before < 10, "commits were not batched")
}

// TestRaceAndDeadOwner tests that exactly one of two instances that race for a key gets
// the claim, and that a claim whose owner is dead has an unknown outcome and is not
// granted again.
func TestRaceAndDeadOwner(t *testing.T) {
	mem := memplatform.New(memplatform.Options{Seed: 1})
	dead := func(owner string) bool { return owner == "dead.1.1" }
	var stores []*Store
	for range 2 {
		s, _ := startStore(t, Options{Settings: testSettings(), Table: mem.For(testDataCentre).Table, OwnerDead: dead})
		stores = append(stores, s)
	}
	for i := range 30 {
		var wg sync.WaitGroup
		won := make([]bool, len(stores))
		for j, s := range stores {
			wg.Go(func() {
				c, _, err := s.Claim(context.Background(), "paper", fmt.Sprint(i), "d", "e.1.1")
				won[j] = c != nil && err == nil
			})
		}
		wg.Wait()
		assert.Assert(t, won[0] != won[1])
	}
	mustClaim(t, stores[0], "orphan", "d", "dead.1.1")
	mustRefuse(t, stores[1], "orphan", "d", errkind.OperationUnknown)
	waitForState(t, stores[1], "orphan", operation.Unknown)
}

func TestSweepKeepsRecentRows(t *testing.T) {
	mem := memplatform.New(memplatform.Options{Seed: 1})
	set := testSettings()
	set.SweepInterval, set.SweepPage, set.Retention = time.Hour, 2, time.Hour
	s, _ := startStore(t, Options{Settings: set, Table: mem.For(testDataCentre).Table})
	for i := range 5 {
		c := mustClaim(t, s, fmt.Sprint(i), "d", "e.1.1")
		c.(*claim).row.ClaimedAt = time.Now().Add(-time.Duration(i) * 25 * time.Minute)
		assert.NilError(t, c.Finish(context.Background(), answer))
	}
	sw := &sweeper{opts: s.opts}
	for range 3 {
		sw.sweepPage(context.Background())
	}
	for i := range 5 {
		_, err := s.Status(context.Background(), "paper", fmt.Sprint(i))
		assert.Equal(t, errkind.Is(err, errkind.OperationNotFound), i >= 3, "row %d: %v", i, err)
	}
}

// TestShutdownWritesPendingRecords tests that records queued when the store stops are
// written before Run returns.
func TestShutdownWritesPendingRecords(t *testing.T) {
	mem := memplatform.New(memplatform.Options{Seed: 1})
	set := testSettings()
	set.Drain = 20 * time.Second
	s, stop := startStore(t, Options{Settings: set, Table: mem.For(testDataCentre).Table})
	c := mustClaim(t, s, "k", "d", "e.1.1")
	mem.Down(true)
	assert.Assert(t, c.Finish(context.Background(), answer) != nil)
	mem.Down(false)
	stop()
	waitForState(t, s, "k", operation.Done)
}
