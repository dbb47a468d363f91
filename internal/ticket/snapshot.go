package ticket

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"carawayrouter.example/router/internal/event"
	"carawayrouter.example/router/internal/platform"
)

const (
	keptSnapshots    = 3
	truncatedPerSave = 3 // older snapshots that each save truncates
)

// snapshotLoop writes snapshots. Only fast pollers write them, and a claim row in the
// table selects one instance for each snapshot.
func (a *Applier) snapshotLoop(ctx context.Context) error {
	s := &snapshotWriter{Applier: a}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-a.snapshotDue:
		}
		if err := s.save(ctx); err != nil && ctx.Err() == nil {
			a.opts.Log.Info("snapshot not saved", "error", err.Error())
		}
	}
}

// snapshotWriter is the state of the goroutine that writes snapshots.
type snapshotWriter struct {
	*Applier
	lastClaimed uint64 // newest ticket known to be claimed by any instance
}

// save writes a snapshot if one is due and this instance obtains the claim. If the
// instance fails between the claim and the write, the next snapshot is written
// SnapshotEvery tickets later.
func (s *snapshotWriter) save(ctx context.Context) error {
	state := s.Current()
	if state.Ticket < s.lastClaimed+s.opts.SnapshotEvery || !s.opts.IsFastPoller() {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, s.opts.CallTimeout)
	defer cancel()
	won, err := s.claim(ctx, state.Ticket)
	if err != nil || !won {
		return err
	}
	data, err := encodeSnapshot(state)
	if err != nil {
		return err
	}
	if err := s.opts.Objects.Put(ctx, snapshotName(state.Ticket), data); err != nil {
		return errors.Wrap(err, "write snapshot")
	}
	s.opts.Ring.Add(event.Event{Kind: "ticket.snapshot_saved", Ticket: state.Ticket})
	return s.truncateOld(ctx)
}

// truncateOld overwrites snapshots beyond the newest keptSnapshots with empty objects.
// Earlier calls normally did so for the previous ones; a few of these are overwritten
// again because their writers may have failed before doing so.
func (s *snapshotWriter) truncateOld(ctx context.Context) error {
	names, err := s.opts.Objects.List(ctx, snapshotPrefix)
	if err != nil {
		return errors.Wrap(err, "list snapshots")
	}
	old := names[:max(0, len(names)-keptSnapshots)]
	for _, name := range old[max(0, len(old)-truncatedPerSave):] {
		if err := s.opts.Objects.Put(ctx, name, nil); err != nil {
			return errors.Wrapf(err, "truncate %s", name)
		}
	}
	return nil
}

// claim tries to claim the snapshot of ticket n and reports whether this instance must
// write it.
func (s *snapshotWriter) claim(ctx context.Context, n uint64) (bool, error) {
	rows, err := s.opts.Table.Get(ctx, snapshotKey)
	if err != nil {
		return false, errors.Wrap(err, "read snapshot claim")
	}
	var row snapshotRow
	if err := decodeRow(rows[0], &row); err != nil {
		return false, err
	}
	s.lastClaimed = row.Ticket
	if n < row.Ticket+s.opts.SnapshotEvery {
		return false, nil
	}
	mine := snapshotRow{Ticket: n, Claim: uuid.NewString()}
	w, err := encodeRow(snapshotKey, mine)
	if err != nil {
		return false, err
	}
	_, err = s.opts.Table.Commit(ctx, platform.Txn{
		Conditions: []platform.Condition{{Key: snapshotKey, Version: rows[0].Version}},
		Writes:     []platform.Write{w},
	})
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		s.lastClaimed = n
		return true, nil
	case errors.As(err, &conflict):
		return false, nil
	case errors.Is(err, platform.ErrUnavailable):
		return false, err
	}
	return s.readBackClaim(ctx, mine)
}

// readBackClaim resolves a claim whose commit had an unknown outcome.
func (s *snapshotWriter) readBackClaim(ctx context.Context, mine snapshotRow) (bool, error) {
	rows, err := s.opts.Table.Get(ctx, snapshotKey)
	if err != nil {
		return false, errors.Wrap(err, "read back snapshot claim")
	}
	var row snapshotRow
	if err := decodeRow(rows[0], &row); err != nil {
		return false, err
	}
	s.lastClaimed = row.Ticket
	return row == mine, nil
}
