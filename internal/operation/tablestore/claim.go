package tablestore

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"

	"carawayrouter.example/router/internal/operation"
)

// errClaimClosed is returned by all but the first call of a claim's methods.
var errClaimClosed = errors.New("claim was settled before")

// claim implements operation.Claim.
type claim struct {
	store *Store
	key   string

	mu     sync.Mutex
	row    row
	closed bool
}

// insert writes the claim. If it returns an error other than errConflict and the write
// took effect nevertheless, the claim is released in the background.
func (c *claim) insert(ctx context.Context) error {
	op, err := newChange(c.key, c.row)
	if err != nil {
		return err
	}
	w := newWaiter(func(err error) {
		if err == nil || errors.Is(err, errUnknown) {
			c.store.retrier.add(c.newReleaseJob())
		}
	})
	op.done = w.deliver
	if err := c.store.committer.submit(ctx, op); err != nil {
		return err
	}
	version, err := w.wait(ctx)
	if err == nil {
		c.row.version = version
		return nil
	}
	if errors.Is(err, errUnknown) {
		c.store.retrier.add(c.newReleaseJob())
	}
	return err
}

// Finish implements operation.Claim.
func (c *claim) Finish(ctx context.Context, a operation.Answer) error {
	if limit := c.store.settings.MaxAnswer; len(a.Body) > limit {
		a.Body = a.Body[:limit]
		a.Truncated = true
	}
	return c.recordState(ctx, operation.Done, &a)
}

// Release implements operation.Claim.
func (c *claim) Release(ctx context.Context) error { return c.recordState(ctx, released, nil) }

// Abandon implements operation.Claim.
func (c *claim) Abandon(ctx context.Context) error { return c.recordState(ctx, operation.Unknown, nil) }

// recordState writes the final state. If the write fails, it is retried in the background
// and the error is returned.
func (c *claim) recordState(ctx context.Context, st operation.State, a *operation.Answer) error {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return errClaimClosed
	}
	c.closed = true
	r := c.row
	c.mu.Unlock()
	r.State, r.Answer = st, a
	j := &recordJob{store: c.store, key: c.key, row: r}
	w := newWaiter(func(error) {})
	op, err := newChange(c.key, r)
	if err != nil {
		return err
	}
	op.done = func(version uint64, err error) {
		if retryable(err) {
			c.store.retrier.add(j)
		}
		w.deliver(version, err)
	}
	if err := c.store.committer.submit(ctx, op); err != nil {
		c.store.retrier.add(j)
		return err
	}
	_, err = w.wait(ctx)
	return err
}

func (c *claim) newReleaseJob() job {
	return &releaseJob{store: c.store, key: c.key, row: c.row}
}

// retryable reports whether a failed change can succeed if it is retried.
func retryable(err error) bool { return err != nil && !errors.Is(err, errConflict) }

// recordJob writes the final state of a claim held by this process.
type recordJob struct {
	store *Store
	key   string
	row   row
}

// attempt implements job. A conflict means that the row no longer belongs to this claim,
// so there is nothing left to write.
func (j *recordJob) attempt(ctx context.Context) error {
	err := j.store.commitChange(ctx, j.key, j.row)
	if errors.Is(err, errConflict) {
		return nil
	}
	return err
}

func (j *recordJob) size() int {
	if j.row.Answer == nil {
		return 0
	}
	return len(j.row.Answer.Body)
}

// dropBody removes the answer's body and keeps the outcome.
func (j *recordJob) dropBody() {
	if j.row.Answer == nil {
		return
	}
	a := *j.row.Answer
	a.Body, a.Truncated = nil, true
	j.row.Answer = &a
}

// releaseJob releases a claim that may have been written but was never used. If the row
// does not exist, it writes a released row, so that a delayed commit of the claim cannot
// take effect later.
type releaseJob struct {
	store *Store
	key   string
	row   row
}

// attempt implements job.
func (j *releaseJob) attempt(ctx context.Context) error {
	found, err := j.store.read(ctx, j.key)
	if err != nil {
		return err
	}
	own := found.Nonce == j.row.Nonce && found.State == operation.Claimed
	unchanged := found.version == j.row.version
	if !own && !unchanged {
		return nil
	}
	r := j.row
	r.State, r.version = released, found.version
	// A conflict means that the claim took effect in between; the next attempt reads it.
	return j.store.commitChange(ctx, j.key, r)
}

func (*releaseJob) size() int { return 0 }
func (*releaseJob) dropBody() {}

// commitChange submits one change and waits for its outcome.
func (s *Store) commitChange(ctx context.Context, key string, r row) error {
	op, err := newChange(key, r)
	if err != nil {
		return err
	}
	w := newWaiter(func(error) {})
	op.done = w.deliver
	if err := s.committer.submit(ctx, op); err != nil {
		return err
	}
	_, err = w.wait(ctx)
	return err
}

// waiter delivers one outcome to a goroutine that may stop waiting for it.
type waiter struct {
	ch          chan outcome
	onAbandoned func(error) // called with an outcome that is no longer waited for

	mu        sync.Mutex
	abandoned bool
}

type outcome struct {
	version uint64
	err     error
}

func newWaiter(onAbandoned func(error)) *waiter {
	return &waiter{ch: make(chan outcome, 1), onAbandoned: onAbandoned}
}

func (w *waiter) deliver(version uint64, err error) {
	w.mu.Lock()
	abandoned := w.abandoned
	if !abandoned {
		w.ch <- outcome{version, err}
	}
	w.mu.Unlock()
	if abandoned {
		w.onAbandoned(err)
	}
}

func (w *waiter) wait(ctx context.Context) (uint64, error) {
	select {
	case o := <-w.ch:
		return o.version, o.err
	case <-ctx.Done():
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	select {
	case o := <-w.ch:
		return o.version, o.err
	default:
		w.abandoned = true
		return 0, ctx.Err()
	}
}
