package escrow

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"carawayrouter.example/router/internal/event"
	"carawayrouter.example/router/internal/platform"
)

const (
	// openBatch is the most rows read or written in one call.
	openBatchSize = 64
	// openRetry is the time after which opening is tried again.
	openRetryInterval = 250 * time.Millisecond
)

// opener reads the shares of accounts that this process became home of. It is one
// goroutine; accounts that arrive together share the calls to the table.
//
// Opening always writes the row, so that a share move which the former home left
// in flight can no longer take effect.
type opener struct {
	h    *home
	opts *Options
}

func (p *opener) run(ctx context.Context) error {
	var batch []*account
	for {
		if len(batch) == 0 {
			select {
			case <-ctx.Done():
				return nil
			case a := <-p.h.openRequests:
				batch = append(batch, a)
			}
		}
		batch = p.fillBatch(batch)
		batch = p.openBatch(ctx, batch)
		if len(batch) == 0 {
			continue
		}
		select {
		case <-ctx.Done():
			return nil
		case <-p.opts.Clock.After(openRetryInterval):
		}
	}
}

// fill adds accounts that are waiting to the batch.
func (p *opener) fillBatch(batch []*account) []*account {
	for len(batch) < openBatchSize {
		select {
		case a := <-p.h.openRequests:
			batch = append(batch, a)
		default:
			return batch
		}
	}
	return batch
}

// opening is one account of a batch with the row that it is to have.
type opening struct {
	account         *account
	row             *shareRow
	replacedVersion uint64 // that the new row replaces
	firstHome       bool   // no home in this data centre before
}

// open tries to open the batch and returns the accounts that are still to be opened.
func (p *opener) openBatch(ctx context.Context, batch []*account) []*account {
	batch = p.dropUnneeded(batch)
	if len(batch) == 0 {
		return nil
	}
	openings, err := p.readRows(ctx, batch)
	if err != nil {
		p.opts.Logger.V(1).Info("shares cannot be read", "error", err.Error())
		return batch
	}
	var remaining []*account
	for len(openings) > 0 {
		conflict, err := p.writeRows(ctx, openings)
		if err == nil {
			break
		}
		if conflict == "" {
			p.opts.Logger.V(1).Info("shares cannot be written", "error", err.Error())
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

// needed drops accounts that were opened by a hand-over or are at home elsewhere.
func (p *opener) dropUnneeded(batch []*account) []*account {
	kept := batch[:0]
	for _, a := range batch {
		a.mu.Lock()
		if !a.opened && !a.frozen && p.h.mayGrant(a.key, a.epoch) {
			kept = append(kept, a)
		} else {
			a.openRequested = false
		}
		a.mu.Unlock()
	}
	return kept
}

func (p *opener) readRows(ctx context.Context, batch []*account) ([]opening, error) {
	rows, err := p.opts.getRows(ctx, batch)
	if err != nil {
		return nil, err
	}
	openings := make([]opening, 0, len(batch))
	for i, a := range batch {
		old, ok, err := decodeShareRow(rows[i])
		if err != nil {
			p.opts.Logger.Error(err, "row of shares is malformed", "account", a.name)
			continue
		}
		if !ok {
			old = newShareRow(p.opts.DataCentres)
		}
		row := old.nextGeneration()
		first := row.markOpened(a.key.DataCentre)
		openings = append(openings, opening{a, row, rows[i].Version, first})
	}
	return openings, nil
}

// write commits the rows and starts the accounts. It returns the key of a row that
// has changed since it was read.
func (p *opener) writeRows(ctx context.Context, openings []opening) (conflict string, err error) {
	var t platform.Txn
	for _, op := range openings {
		key := shareRowPrefix + op.account.name
		t.Conditions = append(t.Conditions, platform.Condition{Key: key, Version: op.replacedVersion})
		t.Writes = append(t.Writes, platform.Write{Key: key, Value: op.row.encode()})
	}
	version, err := p.opts.commitTxn(ctx, t)
	var c *platform.ConflictError
	if errors.As(err, &c) {
		return c.Key, err
	}
	if err != nil {
		return "", err
	}
	for _, op := range openings {
		p.openAccount(op, version)
	}
	return "", nil
}

func (p *opener) openAccount(op opening, version uint64) {
	a := op.account
	p.h.mu.Lock()
	since := p.h.noteHeld(a.key, a.epoch).since
	p.h.mu.Unlock()
	a.mu.Lock()
	defer a.mu.Unlock()
	now := p.opts.Clock.Now()
	ttl := p.opts.LoanTTL + p.opts.LoanTTL/clockDriftDivisor
	a.open(now, op.row, version, op.firstHome, ttl-now.Sub(since))
	p.opts.Events.Add(event.Event{Kind: "limit.open", Account: a.name})
	p.h.grantQueued(a, now)
}

func accountsOf(openings []opening) []*account {
	list := make([]*account, len(openings))
	for i, op := range openings {
		list[i] = op.account
	}
	return list
}
