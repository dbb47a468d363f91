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
	openBatch = 64
	// openRetry is the time after which opening is tried again.
	openRetry = 250 * time.Millisecond
)

// opener reads the shares of accounts that this process became home of. It is one
// goroutine; accounts that arrive together share the calls to the table.
//
// Opening always writes the row, so that a share move which the former home left
// in flight can no longer take effect.
type opener struct {
	h *home
	o *Options
}

func (p *opener) run(ctx context.Context) error {
	var batch []*account
	for {
		if len(batch) == 0 {
			select {
			case <-ctx.Done():
				return nil
			case a := <-p.h.opens:
				batch = append(batch, a)
			}
		}
		batch = p.fill(batch)
		batch = p.open(ctx, batch)
		if len(batch) == 0 {
			continue
		}
		select {
		case <-ctx.Done():
			return nil
		case <-p.o.Clock.After(openRetry):
		}
	}
}

// fill adds accounts that are waiting to the batch.
func (p *opener) fill(batch []*account) []*account {
	for len(batch) < openBatch {
		select {
		case a := <-p.h.opens:
			batch = append(batch, a)
		default:
			return batch
		}
	}
	return batch
}

// opening is one account of a batch with the row that it is to have.
type opening struct {
	account *account
	row     *shareRow
	version uint64 // that the new row replaces
	first   bool   // no home in this data centre before
}

// open tries to open the batch and returns the accounts that are still to be opened.
func (p *opener) open(ctx context.Context, batch []*account) []*account {
	batch = p.needed(batch)
	if len(batch) == 0 {
		return nil
	}
	all, err := p.read(ctx, batch)
	if err != nil {
		p.o.Logger.V(1).Info("shares cannot be read", "error", err.Error())
		return batch
	}
	var left []*account
	for len(all) > 0 {
		conflict, err := p.write(ctx, all)
		if err == nil {
			break
		}
		if conflict == "" {
			p.o.Logger.V(1).Info("shares cannot be written", "error", err.Error())
			return append(left, accountsOf(all)...)
		}
		kept := all[:0]
		for _, op := range all {
			if rowPrefix+op.account.name == conflict {
				left = append(left, op.account)
				continue
			}
			kept = append(kept, op)
		}
		if len(kept) == len(all) {
			return append(left, accountsOf(all)...)
		}
		all = kept
	}
	return left
}

// needed drops accounts that were opened by a hand-over or are at home elsewhere.
func (p *opener) needed(batch []*account) []*account {
	kept := batch[:0]
	for _, a := range batch {
		a.mu.Lock()
		if !a.opened && !a.frozen && p.h.mayGrant(a.key, a.epoch) {
			kept = append(kept, a)
		} else {
			a.asked = false
		}
		a.mu.Unlock()
	}
	return kept
}

func (p *opener) read(ctx context.Context, batch []*account) ([]opening, error) {
	rows, err := p.o.get(ctx, batch)
	if err != nil {
		return nil, err
	}
	all := make([]opening, 0, len(batch))
	for i, a := range batch {
		old, ok, err := decodeRow(rows[i])
		if err != nil {
			p.o.Logger.Error(err, "row of shares is malformed", "account", a.name)
			continue
		}
		if !ok {
			old = newRow(p.o.DataCentres)
		}
		row := old.next()
		first := row.open(a.key.DataCentre)
		all = append(all, opening{a, row, rows[i].Version, first})
	}
	return all, nil
}

// write commits the rows and starts the accounts. It returns the key of a row that
// has changed since it was read.
func (p *opener) write(ctx context.Context, all []opening) (conflict string, err error) {
	var t platform.Txn
	for _, op := range all {
		key := rowPrefix + op.account.name
		t.Conditions = append(t.Conditions, platform.Condition{Key: key, Version: op.version})
		t.Writes = append(t.Writes, platform.Write{Key: key, Value: op.row.encode()})
	}
	version, err := p.o.commit(ctx, t)
	var c *platform.ConflictError
	if errors.As(err, &c) {
		return c.Key, err
	}
	if err != nil {
		return "", err
	}
	for _, op := range all {
		p.start(op, version)
	}
	return "", nil
}

func (p *opener) start(op opening, version uint64) {
	a := op.account
	p.h.mu.Lock()
	since := p.h.hold(a.key, a.epoch).since
	p.h.mu.Unlock()
	a.mu.Lock()
	defer a.mu.Unlock()
	now := p.o.Clock.Now()
	life := p.o.LoanLife + p.o.LoanLife/drift
	a.start(now, op.row, version, op.first, life-now.Sub(since))
	p.o.Events.Add(event.Event{Kind: "limit.open", Account: a.name})
	p.h.pump(a, now)
}

func accountsOf(all []opening) []*account {
	list := make([]*account, len(all))
	for i, op := range all {
		list[i] = op.account
	}
	return list
}
