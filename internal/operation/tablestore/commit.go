package tablestore

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"carawayrouter.example/router/internal/operation"
	"carawayrouter.example/router/internal/platform"
)

// Outcomes of a change.
var (
	// errConflict: the row was at another version; the change was not made.
	errConflict = errors.New("row was changed by another")
	// errUnknown: the change may have been made or may still be.
	errUnknown = errors.New("outcome of the change is not known")
	// errStopped: the store does not run; the change was not made.
	errStopped = errors.New("store has stopped")
)

const (
	// settleAttempts bounds the rounds of reading back and writing again.
	settleAttempts = 3
	// commitBurst is the number of commits that may follow each other at once.
	commitBurst = 4
	// maxCommitBytes bounds the values of one commit, in bytes.
	maxCommitBytes = 1 << 20
	// minRate keeps changes moving whatever rate is set, in commits a second.
	minRate = 0.1
)

// change is one conditional write of a row. A row holds the change once it has its
// nonce and state.
type change struct {
	key     string
	version uint64 // condition
	nonce   string
	state   operation.State
	value   []byte
	done    func(version uint64, err error) // called once; must not block
}

// newChange returns the change that brings a row to r from r.version.
func newChange(key string, r row) (*change, error) {
	value, err := r.encode()
	if err != nil {
		return nil, err
	}
	return &change{key: key, version: r.version, nonce: r.Nonce, state: r.State, value: value}, nil
}

// committer commits the changes of all requests in groups. One goroutine runs it.
type committer struct {
	o       Options
	s       Settings
	in      chan *change
	stopped chan struct{} // closed when run has ended
	limit   *rate.Limiter
	held    []*change // wait for the next group, since this one has their row
}

func newCommitter(o Options) *committer {
	return &committer{
		o: o, s: o.Settings,
		in:      make(chan *change, o.Settings.Queue),
		stopped: make(chan struct{}),
		limit:   rate.NewLimiter(rate.Limit(o.Settings.WritesPerSecond), commitBurst),
	}
}

func (c *committer) setRate(perSecond float64) {
	c.limit.SetLimitAt(c.o.Clock.Now(), rate.Limit(max(perSecond, minRate)))
}

// submit hands a change over. After an error the change was not and will not be made.
func (c *committer) submit(ctx context.Context, ch *change) error {
	select {
	case c.in <- ch:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-c.stopped:
		return errStopped
	}
}

// run commits groups until ctx ends, then what has been handed over before.
func (c *committer) run(ctx context.Context) {
	for {
		first := c.next(ctx)
		if first == nil {
			break
		}
		c.commit(c.collect(ctx, first))
	}
	close(c.stopped)
	c.drain()
}

// drain fails the changes that were handed over too late.
func (c *committer) drain() {
	for {
		select {
		case ch := <-c.in:
			ch.done(0, errStopped)
		default:
			return
		}
	}
}

// next waits for a change; it returns nil once ctx ended and no change is left.
func (c *committer) next(ctx context.Context) *change {
	if len(c.held) > 0 {
		ch := c.held[0]
		c.held = c.held[1:]
		return ch
	}
	select {
	case ch := <-c.in:
		return ch
	default:
	}
	select {
	case ch := <-c.in:
		return ch
	case <-ctx.Done():
		return nil
	}
}

// group is a set of changes of different rows.
type group struct {
	list  []*change
	keys  map[string]bool
	bytes int
}

// add takes a change into the group unless the group has its row already.
func (g *group) add(ch *change) bool {
	if g.keys[ch.key] {
		return false
	}
	g.keys[ch.key] = true
	g.list = append(g.list, ch)
	g.bytes += len(ch.value)
	return true
}

// collect gathers changes until the group is full, or the window has passed and the
// rate allows a commit.
func (c *committer) collect(ctx context.Context, first *change) []*change {
	g := &group{keys: map[string]bool{}}
	g.add(first)
	held := c.held
	c.held = nil
	for _, ch := range held {
		c.take(g, ch)
	}
	timer := c.o.Clock.After(c.pause(ctx))
	for len(g.list) < c.s.MaxRows && g.bytes < maxCommitBytes && len(c.held) < c.s.Queue {
		select {
		case ch := <-c.in:
			c.take(g, ch)
			continue
		default:
		}
		select {
		case ch := <-c.in:
			c.take(g, ch)
		case <-timer:
			return g.list
		}
	}
	<-timer
	return g.list
}

func (c *committer) take(g *group, ch *change) {
	if !g.add(ch) {
		c.held = append(c.held, ch)
	}
}

// pause returns the time to wait before the next commit. At shutdown there is none.
func (c *committer) pause(ctx context.Context) time.Duration {
	if ctx.Err() != nil {
		return 0
	}
	now := c.o.Clock.Now()
	return max(c.s.Window, c.limit.ReserveN(now, 1).DelayFrom(now))
}

// commit makes a group of changes and tells each its outcome.
func (c *committer) commit(list []*change) {
	version, err := c.write(list)
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		finish(list, version, nil)
	case errors.As(err, &conflict):
		c.split(list)
	case errors.Is(err, platform.ErrUnavailable):
		finish(list, 0, err)
	default:
		c.settle(list)
	}
}

// write commits the changes as one transaction.
func (c *committer) write(list []*change) (uint64, error) {
	var t platform.Txn
	for _, ch := range list {
		t.Conditions = append(t.Conditions, platform.Condition{Key: ch.key, Version: ch.version})
		t.Writes = append(t.Writes, platform.Write{Key: ch.key, Value: ch.value})
	}
	ctx, stop := context.WithTimeout(context.Background(), c.s.CallTimeout)
	defer stop()
	return c.o.Table.Commit(ctx, t)
}

// split finds the changes of a refused group whose rows have moved on, fails them
// alone and commits the others.
func (c *committer) split(list []*change) {
	rest, err := c.compare(list)
	if err != nil {
		// The refused transaction changed nothing.
		finish(list, 0, errors.Wrap(platform.ErrUnavailable, err.Error()))
		return
	}
	if len(rest) == 0 {
		return
	}
	if len(rest) == len(list) {
		// All rows are as required again; taking the slow path bounds the rounds.
		c.settle(list)
		return
	}
	c.commit(rest)
}

// settle finds out what became of changes with an unknown outcome. Those that did
// not take effect are written again under the same condition, so that the first
// write cannot take effect any more once the second one has.
func (c *committer) settle(list []*change) {
	for range settleAttempts {
		rest, err := c.compare(list)
		if err != nil || len(rest) == 0 {
			list = rest
			break
		}
		list = rest
		version, err := c.write(list)
		if err == nil {
			finish(list, version, nil)
			return
		}
	}
	finish(list, 0, errUnknown)
}

// compare reads the rows of the changes, tells the outcome of those whose rows have
// moved on, and returns the others. After an error it returns all.
func (c *committer) compare(list []*change) ([]*change, error) {
	keys := make([]string, 0, len(list))
	for _, ch := range list {
		keys = append(keys, ch.key)
	}
	ctx, stop := context.WithTimeout(context.Background(), c.s.CallTimeout)
	defer stop()
	rows, err := c.o.Table.Get(ctx, keys...)
	if err != nil {
		return list, err
	}
	var rest []*change
	for i, ch := range list {
		if rows[i].Version == ch.version {
			rest = append(rest, ch)
			continue
		}
		r, err := decodeRow(rows[i])
		if err == nil && r.Nonce == ch.nonce && r.State == ch.state {
			ch.done(r.version, nil)
			continue
		}
		ch.done(0, errConflict)
	}
	return rest, nil
}

func finish(list []*change, version uint64, err error) {
	for _, ch := range list {
		ch.done(version, err)
	}
}
