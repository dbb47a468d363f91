package ticket

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"carawayrouter.example/router/internal/platform"
	"carawayrouter.example/router/internal/platform/memplatform"
)

const testTimeout = 30 * time.Second

// peerApplier is a PeerSource backed by another applier.
type peerApplier struct{ a *Applier }

func (p peerApplier) Fetch(_ context.Context, after uint64) (Tail, error) {
	tail, need := p.a.Tail(after)
	if !need {
		return tail, nil
	}
	data, err := p.a.Snapshot()
	tail.Snapshot = data
	return tail, err
}

func testOptions(p platform.Platform) Options {
	return Options{Table: p.Table, Objects: p.Objects, FastInterval: 2 * time.Millisecond, SlowInterval: 10 * time.Millisecond, CallTimeout: time.Second}
}

// startApplier starts an applier. It is stopped by the returned function or at the end
// of the test.
func startApplier(t *testing.T, o Options) (*Applier, func()) {
	t.Helper()
	a := NewApplier(o)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- a.Run(ctx) }()
	stopped := false
	stop := func() {
		if !stopped {
			stopped = true
			cancel()
			assert.Check(t, <-done)
		}
	}
	t.Cleanup(stop)
	return a, stop
}

func waitApplied(t *testing.T, a *Applier, n uint64) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if a.Applied() >= n {
			return poll.Success()
		}
		return poll.Continue("applied %d of %d", a.Applied(), n)
	}, poll.WithTimeout(testTimeout), poll.WithDelay(time.Millisecond))
}

func submitN(t *testing.T, p platform.Platform, from, to int) {
	t.Helper()
	for i := from; i <= to; i++ {
		_, err := Submit(context.Background(), p.Table, "ana", NewDraft("", putTestAccount(fmt.Sprintf("a%d", i%7), float64(i))))
		assert.NilError(t, err)
	}
}

func TestApplierAppliesNewTickets(t *testing.T) {
	p := memplatform.New(memplatform.Options{}).For("a")
	a, _ := startApplier(t, testOptions(p))
	assert.Assert(t, a.Age() >= 0)
	changed, cancel := a.Subscribe()
	defer cancel()
	submitN(t, p, 1, 20)
	waitApplied(t, a, 20)
	<-changed
	assert.Equal(t, a.Current().Accounts["a6"].Rate, 20.0)
	<-a.Ready()
}

func TestApplierStartsFromSnapshotAndTail(t *testing.T) {
	store := memplatform.New(memplatform.Options{})
	p := store.For("a")
	o := testOptions(p)
	o.SnapshotEvery = 10
	a, _ := startApplier(t, o)
	b, _ := startApplier(t, o)
	for i := 1; i <= 36; i++ {
		submitN(t, p, i, i)
		waitApplied(t, a, uint64(i))
		waitApplied(t, b, uint64(i))
		if i%12 == 0 {
			waitSnapshots(t, p, i/12)
		}
	}
	names, err := p.Objects.List(context.Background(), snapshotPrefix)
	assert.NilError(t, err)
	assert.Equal(t, len(names), 3, "each snapshot must be written once: %v", names)
	before := store.Counts().RowsRead
	c, _ := startApplier(t, o)
	waitApplied(t, c, 36)
	assert.DeepEqual(t, c.Current().Accounts, a.Current().Accounts)
	assert.Assert(t, store.Counts().RowsRead-before < 36)
}

func waitSnapshots(t *testing.T, p platform.Platform, n int) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		names, err := p.Objects.List(context.Background(), snapshotPrefix)
		assert.NilError(t, err)
		if len(names) >= n {
			return poll.Success()
		}
		return poll.Continue("%d snapshots of %d", len(names), n)
	}, poll.WithTimeout(testTimeout), poll.WithDelay(time.Millisecond))
}

func TestOldSnapshotsAreEmptied(t *testing.T) {
	ctx := context.Background()
	p := memplatform.New(memplatform.Options{}).For("a")
	submitN(t, p, 1, 9)
	rows, err := readTail(ctx, p.Table, 0, 9)
	assert.NilError(t, err)
	o := testOptions(p)
	o.SnapshotEvery = 1
	a := NewApplier(o)
	s := &snapshotWriter{Applier: a}
	for n := range rows {
		a.apply(update{tail: Tail{Head: uint64(n + 1), Tickets: rows[n : n+1]}})
		assert.NilError(t, s.save(ctx))
	}
	for n := uint64(1); n <= 9; n++ {
		data, err := p.Objects.Get(ctx, snapshotName(n))
		assert.NilError(t, err)
		assert.Equal(t, len(data) > 0, n > 9-keptSnapshots, "snapshot %d", n)
	}
	for _, n := range []uint64{3, 8, 9} { // 3 precedes the oldest retained snapshot
		state, err := Load(ctx, p, n)
		assert.NilError(t, err)
		assert.Equal(t, state.Ticket, n)
	}
}

func TestApplierStartsFromPeerWithStoreDown(t *testing.T) {
	store := memplatform.New(memplatform.Options{})
	p := store.For("a")
	old, _ := startApplier(t, testOptions(p))
	submitN(t, p, 1, 30)
	waitApplied(t, old, 30)
	store.Down(true)
	o := testOptions(p)
	o.Peers = peerApplier{old}
	restarted, _ := startApplier(t, o)
	waitApplied(t, restarted, 30)
	assert.DeepEqual(t, restarted.Current().Accounts, old.Current().Accounts)
	store.Down(false)
	submitN(t, p, 31, 31)
	waitApplied(t, restarted, 31)
}

// TestPeerServesSnapshotForLongGap tests that a peer sends a snapshot if it no longer
// retains the requested tickets.
func TestPeerServesSnapshotForLongGap(t *testing.T) {
	store := memplatform.New(memplatform.Options{})
	p := store.For("a")
	submitN(t, p, 1, maxRecentTickets+50)
	old, _ := startApplier(t, testOptions(p))
	waitApplied(t, old, maxRecentTickets+50)
	_, need := old.Tail(0)
	assert.Assert(t, need)
	store.Down(true)
	o := testOptions(p)
	o.Peers = peerApplier{old}
	restarted, _ := startApplier(t, o)
	waitApplied(t, restarted, maxRecentTickets+50)
}

func TestCutDataCentreKeepsStateAndCatchesUp(t *testing.T) {
	store := memplatform.New(memplatform.Options{})
	a, b := store.For("a"), store.For("b")
	isolated, _ := startApplier(t, testOptions(a))
	submitN(t, b, 1, 5)
	waitApplied(t, isolated, 5)
	store.Cut("a", true)
	submitN(t, b, 6, 20)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if isolated.Age() > 20*time.Millisecond {
			return poll.Success()
		}
		return poll.Continue("age %s", isolated.Age())
	}, poll.WithTimeout(testTimeout))
	assert.Equal(t, isolated.Applied(), uint64(5))
	assert.Equal(t, isolated.Current().Accounts["a5"].Rate, 5.0)
	store.Cut("a", false)
	waitApplied(t, isolated, 20)
}

// TestRestartedInstanceCatchesUp stops an applier, submits more tickets and starts a new
// applier, as after a crash.
func TestRestartedInstanceCatchesUp(t *testing.T) {
	p := memplatform.New(memplatform.Options{}).For("a")
	a, stop := startApplier(t, testOptions(p))
	submitN(t, p, 1, 3)
	waitApplied(t, a, 3)
	stop()
	submitN(t, p, 4, 9)
	b, _ := startApplier(t, testOptions(p))
	waitApplied(t, b, 9)
	assert.Equal(t, a.Applied(), uint64(3))
}

// pausingTable is a table that can block a scan between reading and returning its rows:
// a scan that finds a receiver on scanned blocks until resume is closed.
type pausingTable struct {
	platform.Table
	scanned chan struct{} // receives a value when a scan has read its rows
	resume  chan struct{}
}

func (g *pausingTable) Scan(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	rows, err := g.Table.Scan(ctx, prefix, after, limit)
	select {
	case g.scanned <- struct{}{}:
		<-g.resume
	default:
	}
	return rows, err
}

// TestPausedPollAppliesNothingOld pauses a poll between reading and applying while
// announcements deliver newer tickets. After the poll resumes, its stale tickets must
// not be applied again.
func TestPausedPollAppliesNothingOld(t *testing.T) {
	p := memplatform.New(memplatform.Options{}).For("a")
	submitN(t, p, 1, 2)
	g := &pausingTable{Table: p.Table, scanned: make(chan struct{}), resume: make(chan struct{})}
	o := testOptions(p)
	o.Table = g
	a, _ := startApplier(t, o)
	<-g.scanned // the poll has read tickets 1 and 2 and is paused
	submitN(t, p, 3, 6)
	rows, err := readTail(context.Background(), p.Table, 0, 6)
	assert.NilError(t, err)
	a.Offer(Tail{Head: 6, Tickets: rows})
	waitApplied(t, a, 6)
	close(g.resume)
	submitN(t, p, 7, 7)
	waitApplied(t, a, 7)
	want, err := Load(context.Background(), p, 7)
	assert.NilError(t, err)
	assert.DeepEqual(t, a.Current().Objects(), want.Objects())
}

// TestSlowStoreAndCutDataCentre combines a slow store with a partitioned data centre.
func TestSlowStoreAndCutDataCentre(t *testing.T) {
	store := memplatform.New(memplatform.Options{Seed: 5})
	a, b := store.For("a"), store.For("b")
	isolated, _ := startApplier(t, testOptions(a))
	connected, _ := startApplier(t, testOptions(b))
	submitN(t, b, 1, 2)
	waitApplied(t, isolated, 2)
	store.Slow(20 * time.Millisecond)
	store.Cut("a", true)
	submitN(t, b, 3, 6)
	waitApplied(t, connected, 6)
	assert.Equal(t, isolated.Applied(), uint64(2))
	store.Cut("a", false)
	waitApplied(t, isolated, 6)
}

func TestAnnouncementsNeverGoBackOrSkip(t *testing.T) {
	store := memplatform.New(memplatform.Options{})
	p := store.For("a")
	submitN(t, p, 1, 9)
	rows, err := readTail(context.Background(), p.Table, 0, 9)
	assert.NilError(t, err)
	store.Down(true)
	a, _ := startApplier(t, testOptions(p))
	a.Offer(Tail{Head: 4, Tickets: rows[:4]})
	waitApplied(t, a, 4)
	a.Offer(Tail{Head: 9, Tickets: rows[6:]})
	a.Offer(Tail{Head: 2, Tickets: rows[:2]})
	a.Offer(Tail{Head: 5, Tickets: rows[2:5]})
	waitApplied(t, a, 5)
	assert.Equal(t, a.Applied(), uint64(5))
	assert.Equal(t, a.Age(), UnknownAge)
	store.Down(false)
	waitApplied(t, a, 9)
}

// TestUnreadableTicketStops tests that an instance stops before a ticket that it cannot
// decode, rather than skipping it.
func TestUnreadableTicketStops(t *testing.T) {
	ctx := context.Background()
	store := memplatform.New(memplatform.Options{})
	p := store.For("a")
	submitN(t, p, 1, 3)
	_, err := p.Table.Commit(ctx, platform.Txn{Writes: []platform.Write{{Key: ticketKey(2), Value: []byte(`{"number":2,"changes":[{"kind":"moon","name":"x"}]}`)}}})
	assert.NilError(t, err)
	a, _ := startApplier(t, testOptions(p))
	waitApplied(t, a, 1)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if store.Counts().Reads > 20 {
			return poll.Success()
		}
		return poll.Continue("%d reads", store.Counts().Reads)
	}, poll.WithTimeout(testTimeout))
	assert.Equal(t, a.Applied(), uint64(1))
	_, err = Load(ctx, p, 3)
	assert.ErrorContains(t, err, "carries no such object")
	_, err = Get(ctx, p.Table, 4)
	assert.Assert(t, errors.Is(err, platform.ErrNotFound))
}

// FuzzApply applies arbitrary tickets and snapshots, as they could be received from a
// peer.
func FuzzApply(f *testing.F) {
	f.Add([]byte(`{"number":1,"changes":[{"kind":"account","name":"a","account":{"name":"a","rate":1}}]}`), []byte(`{"ticket":3,"objects":{"keys":[{"id":"k"}]}}`))
	f.Add([]byte(`{"number":2,"changes":[{"kind":"key","name":"k","delete":true}]}`), []byte(`{"ticket":1,"objects":{"accounts":[null]}}`))
	f.Add([]byte(`{"number":1,"changes":[{"kind":"pool","name":"p"}]}`), []byte(`{"ticket":1}`))
	f.Add([]byte(`null`), []byte(`null`))
	f.Fuzz(func(t *testing.T, data, snapshot []byte) {
		a := NewApplier(Options{})
		before := uint64(0)
		for _, u := range []update{
			{tail: Tail{Tickets: [][]byte{data}}},
			{tail: Tail{Snapshot: snapshot, Tickets: [][]byte{data}}},
			{tail: Tail{Tickets: [][]byte{data, data}}},
		} {
			a.apply(u)
			assert.Assert(t, a.Applied() >= before)
			assert.Equal(t, a.Applied(), a.set.ticket)
			before = a.Applied()
		}
		_, err := a.Snapshot()
		assert.NilError(t, err)
	})
}
