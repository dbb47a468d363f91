package escrow

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"carawayrouter.example/router/internal/event"
	"carawayrouter.example/router/internal/platform"
)

const (
	// openBatchSize is the maximum number of rows read or written in one call.
	openBatchSize = 64
	// openRetryInterval is the delay before opening is retried.
	openRetryInterval = 250 * time.Millisecond
)

// opener reads the shares of accounts that this process became home of. It runs in
// one goroutine and batches the table calls of accounts that arrive together.
//
// Opening always writes the row, so that a share move which the previous home left
// in flight can no longer take effect.
type opener struct {
	home *home
	opts *Options
}

func (o *opener) run(ctx context.Context) error {
	var batch []*account
	for {
		if len(batch) == 0 {
			select {
			case <-ctx.Done():
				return nil
			case a := <-o.home.openRequests:
				batch = append(batch, a)
			}
		}
		batch = o.fillBatch(batch)
		batch = o.openBatch(ctx, batch)
		if len(batch) == 0 {
			continue
		}
		select {
		case <-ctx.Done():
			return nil
		case <-o.opts.Clock.After(openRetryInterval):
		}
	}
}

// fillBatch adds queued accounts to the batch without blocking.
func (o *opener) fillBatch(batch []*account) []*account {
	for len(batch) < openBatchSize {
		select {
		case a := <-o.home.openRequests:
			batch = append(batch, a)
		default:
			return batch
		}
	}
	return batch
}

// opening is one account of a batch with the row to write for it.
type opening struct {
	account         *account
	row             *shareRow
	replacedVersion uint64 // version that the new row replaces
	firstHome       bool   // the account had no home in this data centre before
}

// openBatch tries to open the accounts of the batch and returns those to retry.
func (o *opener) openBatch(ctx context.Context, batch []*account) []*account {
	batch = o.dropUnneeded(batch)
	if len(batch) == 0 {
		return nil
	}
	openings, err := o.readRows(ctx, batch)
	if err != nil {
		o.opts.Logger.V(1).Info("failed to read account shares; retrying", "error", err.Error())
		return batch
	}
	var remaining []*account
	for len(openings) > 0 {
		conflict, err := o.writeRows(ctx, openings)
		if err == nil {
			break
		}
		if conflict == "" {
			o.opts.Logger.V(1).Info("failed to write account shares; retrying", "error", err.Error())
			return append(remaining, accountsOf(openings)...)
		}
		kept := openings[:0]
		for _, op := range openings {
			if shareRowPrefix+op.account.name == conflict {
				remaining = append(remaining, op.account)
				continue
			}
			kept = append(kept, op)
		}
		if len(kept) == len(openings) {
			return append(remaining, accountsOf(openings)...)
		}
		openings = kept
	}
	return remaining
}

// dropUnneeded drops accounts that were opened by a handover or that this process is
// no longer the home of.
func (o *opener) dropUnneeded(batch []*account) []*account {
	kept := batch[:0]
	for _, a := range batch {
		a.mu.Lock()
		if !a.opened && !a.frozen && o.home.mayGrant(a.key, a.epoch) {
			kept = append(kept, a)
		} else {
			a.openRequested = false
		}
		a.mu.Unlock()
	}
	return kept
}

func (o *opener) readRows(ctx context.Context, batch []*account) ([]opening, error) {
	rows, err := o.opts.getRows(ctx, batch)
	if err != nil {
		return nil, err
	}
	openings := make([]opening, 0, len(batch))
	for i, a := range batch {
		old, ok, err := decodeShareRow(rows[i])
		if err != nil {
			o.opts.Logger.Error(err, "malformed share row", "account", a.name)
			continue
		}
		if !ok {
			old = newShareRow(o.opts.DataCentres)
		}
		row := old.nextGeneration()
		first := row.markOpened(a.key.DataCentre)
		openings = append(openings, opening{a, row, rows[i].Version, first})
	}
	return openings, nil
}

// writeRows commits the rows and opens the accounts. On a conflict it returns the key
// of a row that has changed since it was read.
func (o *opener) writeRows(ctx context.Context, openings []opening) (conflict string, err error) {
	var t platform.Txn
	for _, op := range openings {
		key := shareRowPrefix + op.account.name
		t.Conditions = append(t.Conditions, platform.Condition{Key: key, Version: op.replacedVersion})
		t.Writes = append(t.Writes, platform.Write{Key: key, Value: op.row.encode()})
	}
	version, err := o.opts.commitTxn(ctx, t)
	var c *platform.ConflictError
	if errors.As(err, &c) {
		return c.Key, err
	}
	if err != nil {
		return "", err
	}
	for _, op := range openings {
		o.openAccount(op, version)
	}
	return "", nil
}

func (o *opener) openAccount(op opening, version uint64) {
	a := op.account
	o.home.mu.Lock()
	since := o.home.noteHeld(a.key, a.epoch).since
	o.home.mu.Unlock()
	a.mu.Lock()
	defer a.mu.Unlock()
	now := o.opts.Clock.Now()
	a.open(now, op.row, version, op.firstHome, o.opts.lenderTTL()-now.Sub(since))
	o.opts.Events.Add(event.Event{Kind: "limit.open", Account: a.name})
	o.home.grantQueued(a, now)
}

func accountsOf(openings []opening) []*account {
	list := make([]*account, len(openings))
	for i, op := range openings {
		list[i] = op.account
	}
	return list
}
