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
	// errConflict means that the row had a different version; the change was not made.
	errConflict = errors.New("row was changed by another")
	// errUnknown means that the change may have been made or may still take effect.
	errUnknown = errors.New("outcome of the change is not known")
	// errStopped means that the store is not running; the change was not made.
	errStopped = errors.New("store has stopped")
)

const (
	// resolveAttempts is the maximum number of rounds that read rows back and write them
	// again.
	resolveAttempts = 3
	// commitBurst is the burst size of the commit rate limiter.
	commitBurst = 4
	// maxCommitBytes is the total size of the values at which a batch is full.
	maxCommitBytes = 1 << 20
	// minCommitRate is the lower bound of the commit rate, in commits per second. It keeps
	// changes from being blocked whatever rate is set.
	minCommitRate = 0.1
)

// change is a conditional write of one row. The change has taken effect if the row has
// its nonce and state.
type change struct {
	key     string
	version uint64 // version that the row must have
	nonce   string
	state   operation.State
	value   []byte
	done    func(version uint64, err error) // called exactly once; must not block
}

// newChange returns the change that replaces version r.version of a row by r.
func newChange(key string, r row) (*change, error) {
	value, err := r.encode()
	if err != nil {
		return nil, err
	}
	return &change{key: key, version: r.version, nonce: r.Nonce, state: r.State, value: value}, nil
}

// committer commits the changes of all requests in batches. It runs in one goroutine.
type committer struct {
	opts     Options
	settings Settings
	queue    chan *change
	stopped  chan struct{} // closed when run has returned
	limiter  *rate.Limiter
	deferred []*change // changes for the next batch; the current one already contains their rows
}

func newCommitter(o Options) *committer {
	return &committer{
		opts: o, settings: o.Settings,
		queue:   make(chan *change, o.Settings.Queue),
		stopped: make(chan struct{}),
		limiter: rate.NewLimiter(rate.Limit(o.Settings.WritesPerSecond), commitBurst),
	}
}

func (c *committer) setRate(perSecond float64) {
	c.limiter.SetLimitAt(c.opts.Clock.Now(), rate.Limit(max(perSecond, minCommitRate)))
}

// submit queues a change. If it returns an error, the change is never made.
func (c *committer) submit(ctx context.Context, ch *change) error {
	select {
	case c.queue <- ch:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-c.stopped:
		return errStopped
	}
}

// run commits batches until ctx is done and all changes queued by then are committed.
func (c *committer) run(ctx context.Context) {
	for {
		first := c.next(ctx)
		if first == nil {
			break
		}
		c.commit(c.collect(ctx, first))
	}
	close(c.stopped)
	c.failQueued()
}

// failQueued fails the changes that were queued after run had stopped reading.
func (c *committer) failQueued() {
	for {
		select {
		case ch := <-c.queue:
			ch.done(0, errStopped)
		default:
			return
		}
	}
}

// next waits for a change. It returns nil once ctx is done and no changes are queued.
func (c *committer) next(ctx context.Context) *change {
	if len(c.deferred) > 0 {
		ch := c.deferred[0]
		c.deferred = c.deferred[1:]
		return ch
	}
	select {
	case ch := <-c.queue:
		return ch
	default:
	}
	select {
	case ch := <-c.queue:
		return ch
	case <-ctx.Done():
		return nil
	}
}

// batch is a set of changes to distinct rows.
type batch struct {
	changes []*change
	keys    map[string]bool
	bytes   int
}

// add adds a change to the batch and returns true, or returns false if the batch already
// contains a change to the same row.
func (b *batch) add(ch *change) bool {
	if b.keys[ch.key] {
		return false
	}
	b.keys[ch.key] = true
	b.changes = append(b.changes, ch)
	b.bytes += len(ch.value)
	return true
}

// collect collects changes until the window has elapsed and the rate limit allows a
// commit. A full batch takes no more changes, but waits for the same time.
func (c *committer) collect(ctx context.Context, first *change) []*change {
	b := &batch{keys: map[string]bool{}}
	b.add(first)
	deferred := c.deferred
	c.deferred = nil
	for _, ch := range deferred {
		c.addOrDefer(b, ch)
	}
	timer := c.opts.Clock.After(c.batchDelay(ctx))
	for len(b.changes) < c.settings.MaxRows && b.bytes < maxCommitBytes && len(c.deferred) < c.settings.Queue {
		select {
		case ch := <-c.queue:
			c.addOrDefer(b, ch)
			continue
		default:
		}
		select {
		case ch := <-c.queue:
			c.addOrDefer(b, ch)
		case <-timer:
			return b.changes
		}
	}
	<-timer
	return b.changes
}

func (c *committer) addOrDefer(b *batch, ch *change) {
	if !b.add(ch) {
		c.deferred = append(c.deferred, ch)
	}
}

// batchDelay returns the time to wait before the next commit. At shutdown it is zero.
func (c *committer) batchDelay(ctx context.Context) time.Duration {
	if ctx.Err() != nil {
		return 0
	}
	now := c.opts.Clock.Now()
	return max(c.settings.Window, c.limiter.ReserveN(now, 1).DelayFrom(now))
}

// commit commits a batch of changes and reports the outcome of each.
func (c *committer) commit(list []*change) {
	version, err := c.write(list)
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		completeAll(list, version, nil)
	case errors.As(err, &conflict):
		c.commitUnconflicted(list)
	case errors.Is(err, platform.ErrUnavailable):
		completeAll(list, 0, err)
	default:
		c.resolve(list)
	}
}

// write commits the changes in one transaction.
func (c *committer) write(list []*change) (uint64, error) {
	var t platform.Txn
	for _, ch := range list {
		t.Conditions = append(t.Conditions, platform.Condition{Key: ch.key, Version: ch.version})
		t.Writes = append(t.Writes, platform.Write{Key: ch.key, Value: ch.value})
	}
	ctx, stop := context.WithTimeout(context.Background(), c.settings.CallTimeout)
	defer stop()
	return c.opts.Table.Commit(ctx, t)
}

// commitUnconflicted handles a batch rejected with a conflict: it completes the changes
// whose rows have changed and commits the others.
func (c *committer) commitUnconflicted(list []*change) {
	rest, err := c.completeChanged(list)
	if err != nil {
		// The rejected transaction changed nothing.
		completeAll(list, 0, errors.Wrap(platform.ErrUnavailable, err.Error()))
		return
	}
	if len(rest) == 0 {
		return
	}
	if len(rest) == len(list) {
		// All rows have the required versions again. resolve limits the number of rounds.
		c.resolve(list)
		return
	}
	c.commit(rest)
}

// resolve determines the outcome of changes whose commit had an unknown outcome. Changes
// that did not take effect are written again under the same condition, so that the first
// write can no longer take effect once the second one has.
func (c *committer) resolve(list []*change) {
	for range resolveAttempts {
		rest, err := c.completeChanged(list)
		if err != nil || len(rest) == 0 {
			list = rest
			break
		}
		list = rest
		version, err := c.write(list)
		if err == nil {
			completeAll(list, version, nil)
			return
		}
	}
	completeAll(list, 0, errUnknown)
}

// completeChanged reads the rows of the changes, reports the outcome of those whose rows
// have a new version, and returns the others. If the read fails, it returns all changes.
func (c *committer) completeChanged(list []*change) ([]*change, error) {
	keys := make([]string, 0, len(list))
	for _, ch := range list {
		keys = append(keys, ch.key)
	}
	ctx, stop := context.WithTimeout(context.Background(), c.settings.CallTimeout)
	defer stop()
	rows, err := c.opts.Table.Get(ctx, keys...)
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

func completeAll(list []*change, version uint64, err error) {
	for _, ch := range list {
		ch.done(version, err)
	}
}
