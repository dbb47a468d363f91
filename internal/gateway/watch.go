package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
)

const (
	// feedWait is how long one call waits for changes. A connection that went silent is
	// found after it, within the time that a new configuration may take.
	pollWait         = 2 * time.Second
	recoveryPollWait = 200 * time.Millisecond // after a failure, so that a store that is back shows soon
	minRetryDelay    = 80 * time.Millisecond
	maxRetryDelay    = 700 * time.Millisecond // a store that returns is in use well within its entries' return
	expireInterval   = 250 * time.Millisecond
)

// watcher follows one table of the store. Each change is passed to apply, in order.
type watcher struct {
	store      Store
	table      Table
	wait       func() time.Duration // for changes, in one call
	batchDelay func() time.Duration // between a change and the next call; may be nil
	log        logr.Logger
	apply      func(rows []Row, whole bool)
	onFailure  func() // told of every failed call; may be nil
	onRecovery func() // told of the first call that succeeds after it, before its rows are applied; may be nil
}

// run follows the table until ctx ends.
func (w *watcher) run(ctx context.Context) error {
	var after uint64
	loaded := false
	failures := 0
	for ctx.Err() == nil {
		var rows []Row
		var version uint64
		var err error
		full := !loaded
		if full {
			rows, version, err = w.store.Rows(ctx, w.table)
		} else {
			wait := w.wait()
			if failures > 0 {
				wait = recoveryPollWait
			}
			rows, version, err = w.store.Changes(ctx, w.table, after, wait)
		}
		if err == nil {
			if failures > 0 {
				w.log.Info("store.regained", "table", w.table.String(), "failures", failures)
				if w.onRecovery != nil {
					w.onRecovery()
				}
			}
			failures, loaded, after = 0, true, version
			if full || len(rows) > 0 {
				w.apply(rows, full)
				if w.batchDelay != nil {
					sleepJitter(ctx, w.batchDelay())
				}
			}
			continue
		}
		if ctx.Err() != nil {
			break
		}
		if errors.Is(err, ErrHistoryGone) {
			w.log.Info("store.history_gone", "table", w.table.String(), "after", after)
			loaded = false
			continue
		}
		if failures++; failures == 1 {
			w.log.Info("store.lost", "table", w.table.String(), "cause", err.Error())
		}
		if w.onFailure != nil {
			w.onFailure()
		}
		sleepJitter(ctx, min(maxRetryDelay, minRetryDelay<<min(failures, 5)))
	}
	return ctx.Err()
}

// pause waits for a time between half of d and d.
func sleepJitter(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d/2 + rand.N(d/2+1))
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
