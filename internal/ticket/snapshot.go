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
	emptiedSnapshots = 3 // older ones that each save empties
)

// saveLoop writes snapshots. Instances that poll for others do it; a row in the
// table decides between them.
func (a *Applier) saveLoop(ctx context.Context) error {
	s := &saver{Applier: a}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-a.save:
		}
		if err := s.save(ctx); err != nil && ctx.Err() == nil {
			a.o.Log.Info("snapshot not written", "error", err.Error())
		}
	}
}

// saver is the state of the goroutine that writes snapshots.
type saver struct {
	*Applier
	claimed uint64 // newest ticket known to be claimed by any instance
}

// save writes a snapshot if one is due and this instance gets the claim. Should it
// die before the object is written, the next one comes SnapshotEvery tickets later.
func (s *saver) save(ctx context.Context) error {
	state := s.Current()
	if state.Ticket < s.claimed+s.o.SnapshotEvery || !s.o.IsFastPoller() {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, s.o.CallTimeout)
	defer cancel()
	won, err := s.claim(ctx, state.Ticket)
	if err != nil || !won {
		return err
	}
	data, err := encodeSnapshot(state)
	if err != nil {
		return err
	}
	if err := s.o.Objects.Put(ctx, snapshotName(state.Ticket), data); err != nil {
		return errors.Wrap(err, "write snapshot")
	}
	s.o.Ring.Add(event.Event{Kind: "ticket.snapshot_saved", Ticket: state.Ticket})
	return s.empty(ctx)
}

// empty overwrites the snapshots that have just become too old with empty objects.
// Earlier calls have done so with those before them; it goes over a few more, since
// their writers may have died.
func (s *saver) empty(ctx context.Context) error {
	names, err := s.o.Objects.List(ctx, snapshotPrefix)
	if err != nil {
		return errors.Wrap(err, "list snapshots")
	}
	old := names[:max(0, len(names)-keptSnapshots)]
	for _, name := range old[max(0, len(old)-emptiedSnapshots):] {
		if err := s.o.Objects.Put(ctx, name, nil); err != nil {
			return errors.Wrapf(err, "empty %s", name)
		}
	}
	return nil
}

// claim reports whether this instance is the one to write the snapshot of ticket n.
func (s *saver) claim(ctx context.Context, n uint64) (bool, error) {
	rows, err := s.o.Table.Get(ctx, snapshotKey)
	if err != nil {
		return false, errors.Wrap(err, "read snapshot claim")
	}
	var row snapshotRow
	if err := decodeRow(rows[0], &row); err != nil {
		return false, err
	}
	s.claimed = row.Ticket
	if n < row.Ticket+s.o.SnapshotEvery {
		return false, nil
	}
	mine := snapshotRow{Ticket: n, Claim: uuid.NewString()}
	w, err := write(snapshotKey, mine)
	if err != nil {
		return false, err
	}
	_, err = s.o.Table.Commit(ctx, platform.Txn{
		Conditions: []platform.Condition{{Key: snapshotKey, Version: rows[0].Version}},
		Writes:     []platform.Write{w},
	})
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		s.claimed = n
		return true, nil
	case errors.As(err, &conflict):
		return false, nil
	case errors.Is(err, platform.ErrUnavailable):
		return false, err
	}
	return s.settle(ctx, mine)
}

// settle reads back a claim whose answer was lost.
func (s *saver) settle(ctx context.Context, mine snapshotRow) (bool, error) {
	rows, err := s.o.Table.Get(ctx, snapshotKey)
	if err != nil {
		return false, errors.Wrap(err, "read snapshot claim back")
	}
	var row snapshotRow
	if err := decodeRow(rows[0], &row); err != nil {
		return false, err
	}
	s.claimed = row.Ticket
	return row == mine, nil
}
