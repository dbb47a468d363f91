package memplatform

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"carawayrouter.example/router/internal/clock"
	"carawayrouter.example/router/internal/platform"
)

func setRow(key, value string) platform.Txn {
	return platform.Txn{Writes: []platform.Write{{Key: key, Value: []byte(value)}}}
}

func TestCommitChecksEveryCondition(t *testing.T) {
	ctx := context.Background()
	table := New(Options{}).For("a").Table
	v, err := table.Commit(ctx, setRow("x", "1"))
	assert.NilError(t, err)
	txn := setRow("y", "2")
	txn.Conditions = []platform.Condition{{Key: "x", Version: v}, {Key: "y", Version: 7}}
	_, err = table.Commit(ctx, txn)
	var conflict *platform.ConflictError
	assert.Assert(t, errors.As(err, &conflict))
	assert.DeepEqual(t, *conflict, platform.ConflictError{Key: "y", Want: 7})
	rows, err := table.Get(ctx, "y", "x")
	assert.NilError(t, err)
	assert.Equal(t, rows[0].Version, uint64(0))
	assert.Equal(t, string(rows[1].Value), "1")
}

func TestRecreatedRowHasHigherVersion(t *testing.T) {
	ctx := context.Background()
	table := New(Options{}).For("a").Table
	first, err := table.Commit(ctx, setRow("x", "1"))
	assert.NilError(t, err)
	_, err = table.Commit(ctx, platform.Txn{Writes: []platform.Write{{Key: "x", Delete: true}}})
	assert.NilError(t, err)
	again, err := table.Commit(ctx, setRow("x", "1"))
	assert.NilError(t, err)
	assert.Assert(t, again > first)
}

func TestScanPages(t *testing.T) {
	ctx := context.Background()
	table := New(Options{}).For("a").Table
	for _, k := range []string{"p/3", "p/1", "q/1", "p/2", "o/9"} {
		_, err := table.Commit(ctx, setRow(k, k))
		assert.NilError(t, err)
	}
	rows, err := table.Scan(ctx, "p/", "", 2)
	assert.NilError(t, err)
	assert.Equal(t, len(rows), 2)
	assert.Equal(t, rows[1].Key, "p/2")
	rows, err = table.Scan(ctx, "p/", "p/2", 9)
	assert.NilError(t, err)
	assert.Equal(t, len(rows), 1)
	assert.Equal(t, rows[0].Key, "p/3")
}

func TestFaults(t *testing.T) {
	ctx := context.Background()
	s := New(Options{Seed: 1})
	a, b := s.For("a").Table, s.For("b").Table
	s.Cut("a", true)
	_, err := a.Get(ctx, "x")
	assert.ErrorIs(t, err, platform.ErrUnavailable)
	_, err = b.Get(ctx, "x")
	assert.NilError(t, err)
	s.Cut("a", false)
	s.Down(true)
	_, err = a.Commit(ctx, setRow("x", "1"))
	assert.ErrorIs(t, err, platform.ErrUnavailable)
	s.Down(false)
	s.LoseAnswers(1)
	_, err = a.Commit(ctx, setRow("x", "1"))
	assert.ErrorIs(t, err, platform.ErrUnknownOutcome)
	s.LoseAnswers(0)
	s.LoseRequests(1)
	_, err = a.Commit(ctx, setRow("y", "1"))
	assert.ErrorIs(t, err, platform.ErrUnknownOutcome)
	rows, err := b.Get(ctx, "x", "y")
	assert.NilError(t, err)
	assert.Assert(t, rows[0].Version != 0)
	assert.Equal(t, rows[1].Version, uint64(0))
}

// TestAbandonedCommitMayTakeEffectLate checks that, of the commits whose context ended while
// the store was slow, some take effect later and some never, and that none takes effect
// before the delay has passed.
func TestAbandonedCommitMayTakeEffectLate(t *testing.T) {
	c := clock.NewFake(time.Unix(0, 0))
	s := New(Options{Clock: c, Seed: 3})
	table := s.For("a").Table
	s.Slow(time.Minute)
	const attempts = 20
	for i := range attempts {
		ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
		_, err := table.Commit(ctx, setRow(string(rune('a'+i)), "1"))
		assert.ErrorIs(t, err, platform.ErrUnknownOutcome)
		cancel()
	}
	s.Slow(0)
	rows, err := table.Scan(context.Background(), "", "", attempts)
	assert.NilError(t, err)
	assert.Equal(t, len(rows), 0)
	c.Advance(time.Minute)
	rows, err = table.Scan(context.Background(), "", "", attempts)
	assert.NilError(t, err)
	assert.Assert(t, len(rows) > 0 && len(rows) < attempts, "%d rows", len(rows))
}

func TestListLags(t *testing.T) {
	ctx := context.Background()
	c := clock.NewFake(time.Unix(0, 0))
	s := New(Options{Clock: c})
	list := s.For("a").Instances
	s.ListLag(time.Second)
	s.SetInstance(platform.Instance{Name: "i1", State: platform.Live})
	got, err := list.List(ctx)
	assert.NilError(t, err)
	assert.Equal(t, len(got), 0)
	c.Advance(time.Second)
	assert.NilError(t, list.Leave(ctx, "i1"))
	got, err = list.List(ctx)
	assert.NilError(t, err)
	assert.Equal(t, got[0].State, platform.Live)
	c.Advance(time.Second)
	s.RemoveInstance("i1")
	got, err = list.List(ctx)
	assert.NilError(t, err)
	assert.Equal(t, got[0].State, platform.Leaving)
	c.Advance(time.Second)
	got, err = list.List(ctx)
	assert.NilError(t, err)
	assert.Equal(t, len(got), 0)
}

func TestObjects(t *testing.T) {
	ctx := context.Background()
	objects := New(Options{}).For("a").Objects
	_, err := objects.Get(ctx, "s/1")
	assert.ErrorIs(t, err, platform.ErrNotFound)
	assert.NilError(t, objects.Put(ctx, "s/2", []byte("b")))
	assert.NilError(t, objects.Put(ctx, "s/1", []byte("a")))
	names, err := objects.List(ctx, "s/")
	assert.NilError(t, err)
	assert.DeepEqual(t, names, []string{"s/1", "s/2"})
}
