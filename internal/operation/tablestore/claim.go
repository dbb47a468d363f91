package tablestore

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"

	"carawayrouter.example/router/internal/operation"
)

// errSettled reports a second use of a claim.
var errSettled = errors.New("claim was settled before")

// claim implements operation.Claim.
type claim struct {
	s   *Store
	key string

	mu      sync.Mutex
	row     row
	settled bool
}

// insert writes the claim. When it returns another error than errConflict, a claim
// that took effect after all is given back in the background.
func (c *claim) insert(ctx context.Context) error {
	op, err := newChange(c.key, c.row)
	if err != nil {
		return err
	}
	w := newWaiter(func(err error) {
		if err == nil || errors.Is(err, errUnknown) {
			c.s.r.add(c.voidJob())
		}
	})
	op.done = w.deliver
	if err := c.s.c.submit(ctx, op); err != nil {
		return err
	}
	version, err := w.wait(ctx)
	if err == nil {
		c.row.version = version
		return nil
	}
	if errors.Is(err, errUnknown) {
		c.s.r.add(c.voidJob())
	}
	return err
}

// Finish implements operation.Claim.
func (c *claim) Finish(ctx context.Context, a operation.Answer) error {
	if limit := c.s.s.MaxAnswer; len(a.Body) > limit {
		a.Body = a.Body[:limit]
		a.Truncated = true
	}
	return c.settle(ctx, operation.Done, &a)
}

// Release implements operation.Claim.
func (c *claim) Release(ctx context.Context) error { return c.settle(ctx, released, nil) }

// Abandon implements operation.Claim.
func (c *claim) Abandon(ctx context.Context) error { return c.settle(ctx, operation.Unknown, nil) }

// settle writes the final state. If that fails, the write is repeated in the
// background and the error tells the caller so.
func (c *claim) settle(ctx context.Context, st operation.State, a *operation.Answer) error {
	c.mu.Lock()
	if c.settled {
		c.mu.Unlock()
		return errSettled
	}
	c.settled = true
	r := c.row
	c.mu.Unlock()
	r.State, r.Answer = st, a
	j := &settleJob{s: c.s, key: c.key, row: r}
	w := newWaiter(func(error) {})
	op, err := newChange(c.key, r)
	if err != nil {
		return err
	}
	op.done = func(version uint64, err error) {
		if retryable(err) {
			c.s.r.add(j)
		}
		w.deliver(version, err)
	}
	if err := c.s.c.submit(ctx, op); err != nil {
		c.s.r.add(j)
		return err
	}
	_, err = w.wait(ctx)
	return err
}

func (c *claim) voidJob() job {
	return &voidJob{s: c.s, key: c.key, row: c.row}
}

// retryable reports whether a change may still be made by trying again.
func retryable(err error) bool { return err != nil && !errors.Is(err, errConflict) }

// settleJob writes the final state of a claim that this process holds.
type settleJob struct {
	s   *Store
	key string
	row row
}

// attempt implements job. A conflict means that the row is not this claim's any
// more, so that nothing is left to do.
func (j *settleJob) attempt(ctx context.Context) error {
	err := j.s.change(ctx, j.key, j.row)
	if errors.Is(err, errConflict) {
		return nil
	}
	return err
}

func (j *settleJob) size() int {
	if j.row.Answer == nil {
		return 0
	}
	return len(j.row.Answer.Body)
}

// shrink keeps the outcome without the answer's body.
func (j *settleJob) shrink() {
	if j.row.Answer == nil {
		return
	}
	a := *j.row.Answer
	a.Body, a.Truncated = nil, true
	j.row.Answer = &a
}

// voidJob gives back a claim that may have been written and was never used. Where no
// row is found it writes one, so that the claim cannot take effect later.
type voidJob struct {
	s   *Store
	key string
	row row
}

// attempt implements job.
func (j *voidJob) attempt(ctx context.Context) error {
	found, err := j.s.read(ctx, j.key)
	if err != nil {
		return err
	}
	mine := found.Nonce == j.row.Nonce && found.State == operation.Claimed
	pending := found.version == j.row.version
	if !mine && !pending {
		return nil
	}
	r := j.row
	r.State, r.version = released, found.version
	// After a conflict the claim came between; the next attempt finds it.
	return j.s.change(ctx, j.key, r)
}

func (*voidJob) size() int { return 0 }
func (*voidJob) shrink()   {}

// change makes one change and waits for its outcome.
func (s *Store) change(ctx context.Context, key string, r row) error {
	op, err := newChange(key, r)
	if err != nil {
		return err
	}
	w := newWaiter(func(error) {})
	op.done = w.deliver
	if err := s.c.submit(ctx, op); err != nil {
		return err
	}
	_, err = w.wait(ctx)
	return err
}

// waiter passes one outcome to a goroutine that may stop waiting for it.
type waiter struct {
	ch     chan outcome
	orphan func(error) // gets the outcome that nobody waits for

	mu   sync.Mutex
	left bool
}

type outcome struct {
	version uint64
	err     error
}

func newWaiter(orphan func(error)) *waiter {
	return &waiter{ch: make(chan outcome, 1), orphan: orphan}
}

func (w *waiter) deliver(version uint64, err error) {
	w.mu.Lock()
	left := w.left
	if !left {
		w.ch <- outcome{version, err}
	}
	w.mu.Unlock()
	if left {
		w.orphan(err)
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
		w.left = true
		return 0, ctx.Err()
	}
}
