package member

import (
	"bytes"
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"carawayrouter.example/router/internal/event"
	"carawayrouter.example/router/internal/platform"
)

// errNameTaken means that another process, possibly alive, holds the session of this
// name.
var errNameTaken = errors.New("another process holds the session of this name")

// renewRound registers or renews the session if that is due.
func (c *Controller) renewRound(ctx context.Context) {
	c.mu.Lock()
	now := c.opts.Clock.Now()
	c.checkLapse(now)
	due := !now.Before(c.nextRenew) || c.withoutPeers(now)
	ended := c.left || c.isFenced()
	epoch := c.self.Epoch
	c.mu.Unlock()
	if !due || ended {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, c.opts.StoreTimeout)
	defer cancel()
	var err error
	if epoch == 0 {
		err = c.register(ctx)
	} else {
		err = c.renew(ctx)
	}
	next := c.opts.RenewEvery
	if err != nil {
		next = c.opts.ScanEvery / 2
		c.opts.Logger.V(1).Info("session renewal failed", "error", err.Error())
	}
	next = c.jitter(next)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nextRenew = c.opts.Clock.Now().Add(next)
}

// withoutPeers reports whether no peer has answered recently, so that only renewals can
// show that this instance is not isolated. It then renews in every round. The caller
// holds mu.
func (c *Controller) withoutPeers(now time.Time) bool {
	return c.self.Epoch > 0 && now.Sub(c.lastPeerContact) > c.opts.IsolateAfter/2
}

// register acquires a new fencing epoch: one above the row's, or, for a new row, one
// above the version that the store assigns to it, which is higher than any earlier
// epoch of the name.
func (c *Controller) register(ctx context.Context) error {
	c.rowMu.Lock()
	defer c.rowMu.Unlock()
	rows, err := c.opts.Table.Get(ctx, RowKey(c.self.Name))
	if err != nil {
		return err
	}
	old := rows[0]
	if old.Version == 0 {
		if old.Version, err = c.commitRow(ctx, Row{Name: c.self.Name}, 0); err != nil {
			return err
		}
	}
	var row Row
	if len(old.Value) > 0 {
		if row, err = ParseRow(old); err != nil {
			return err
		}
	}
	// A process that listened on the same address has ended, since the port was free.
	if row.Epoch > 0 && !row.Released && row.Addr != c.self.Addr {
		return errNameTaken
	}
	epoch := row.Epoch + 1
	if row.Epoch == 0 {
		epoch = old.Version + 1
	}
	start := c.opts.Clock.Now()
	version, err := c.commitRow(ctx, c.row(epoch), old.Version)
	if err != nil {
		return err
	}
	c.mutate(func() {
		c.self.Epoch, c.rowVersion = epoch, version
		c.lastRenewal = start
		c.observingSince = start
		c.opts.Events.Add(event.Event{Kind: "member.registered"})
	})
	return nil
}

// renew writes the session row again. The session is fenced if the row no longer
// belongs to it.
func (c *Controller) renew(ctx context.Context) error {
	c.rowMu.Lock()
	defer c.rowMu.Unlock()
	c.mu.Lock()
	epoch, version := c.self.Epoch, c.rowVersion
	c.mu.Unlock()
	start := c.opts.Clock.Now()
	version, err := c.commitRow(ctx, c.row(epoch), version)
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		return c.resolveConflict(ctx, epoch)
	}
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rowVersion = version
	c.recordRenewal(start)
	return nil
}

// resolveConflict determines whether the row was changed by an earlier renewal of this
// session whose response was lost, or whether the session has ended.
func (c *Controller) resolveConflict(ctx context.Context, epoch uint64) error {
	rows, err := c.opts.Table.Get(ctx, RowKey(c.self.Name))
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	row, err := ParseRow(rows[0])
	if rows[0].Version > 0 && err == nil && row.Epoch == epoch && !row.Released {
		c.rowVersion = rows[0].Version
		return errors.New("an earlier renewal took effect; renewing again")
	}
	c.fence("session row was taken over or removed")
	return nil
}

// row returns the session row to write. Only self.Epoch changes after construction.
func (c *Controller) row(epoch uint64) Row {
	s := c.opts.Session
	return Row{
		Name: s.Name, Addr: s.Addr, Callers: s.Callers, Operator: s.Operator, DataCentre: s.DataCentre,
		Epoch: epoch, Process: s.Process, Applied: c.opts.Applied(), Renewed: c.opts.Clock.Now().UTC(),
	}
}

// commitRow writes a row on condition that it is at the given version. An unknown
// outcome is resolved by reading the row back.
func (c *Controller) commitRow(ctx context.Context, r Row, version uint64) (uint64, error) {
	w := r.write()
	next, err := c.opts.Table.Commit(ctx, platform.Txn{
		Conditions: []platform.Condition{{Key: w.Key, Version: version}},
		Writes:     []platform.Write{w},
	})
	if !errors.Is(err, platform.ErrUnknownOutcome) {
		return next, err
	}
	rows, readErr := c.opts.Table.Get(ctx, w.Key)
	if readErr != nil || rows[0].Version == version || !bytes.Equal(rows[0].Value, w.Value) {
		return 0, err
	}
	return rows[0].Version, nil
}

// Leave releases the session; from the start of the call this process is no longer
// home of any shard. The row stays, marked as released, until the poller of the data
// centre deletes it. If the store is down, Leave returns an error and the other
// instances wait until the session has expired.
func (c *Controller) Leave(ctx context.Context) error {
	c.mutate(func() { c.left = true })
	c.opts.Events.Add(event.Event{Kind: "member.left"})
	c.rowMu.Lock()
	defer c.rowMu.Unlock()
	c.mu.Lock()
	epoch, version := c.self.Epoch, c.rowVersion
	c.mu.Unlock()
	if epoch == 0 || c.isFenced() {
		return nil
	}
	row := c.row(epoch)
	row.Released = true
	_, err := c.commitRow(ctx, row, version)
	return errors.Wrap(err, "releasing the session")
}

// Dead reports whether a registered session has ended for certain: it was released,
// its row was deleted after it expired, or a newer incarnation has replaced it. Once
// true, the result stays true. Dead reads the session's row.
func (c *Controller) Dead(ctx context.Context, s Session) (bool, error) {
	rows, err := c.opts.Table.Get(ctx, RowKey(s.Name))
	if err != nil {
		return false, err
	}
	if rows[0].Version == 0 {
		return true, nil
	}
	row, err := ParseRow(rows[0])
	if err != nil {
		return false, err
	}
	return row.Epoch > s.Epoch || row.Epoch == s.Epoch && row.Released, nil
}
