package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
)

const (
	// pollWait is how long one call waits for changes. A dead connection is detected after it,
	// within the time in which a new configuration has to be applied.
	pollWait         = 2 * time.Second
	recoveryPollWait = 200 * time.Millisecond // after a failure, so that a recovery of the store is noticed soon
	minRetryDelay    = 80 * time.Millisecond
	maxRetryDelay    = 700 * time.Millisecond // short enough that a recovered store is used again well before endpoints have to be registered again
	expireInterval   = 250 * time.Millisecond
)

// watcher follows the changes of one table of the store and passes them to apply in order.
type watcher struct {
	store      Store
	table      Table
	wait       func() time.Duration // how long one call waits for changes
	batchDelay func() time.Duration // delay between a change and the next call; may be nil
	log        logr.Logger
	apply      func(rows []Row, full bool)
	onFailure  func() // called after every failed call; may be nil
	onRecovery func() // called after the first successful call that follows a failure, before its rows are applied; may be nil
}

// run follows the table until ctx ends.
func (w *watcher) run(ctx context.Context) error {
	var after Position
	loaded := false
	failures := 0
	for ctx.Err() == nil {
		var rows []Row
		var at Position
		var err error
		full := !loaded
		if full {
			rows, at, err = w.store.Rows(ctx, w.table)
		} else {
			wait := w.wait()
			if failures > 0 {
				wait = recoveryPollWait
			}
			rows, at, err = w.store.Changes(ctx, w.table, after.Version, wait)
		}
		if err == nil {
			if failures > 0 {
				w.log.Info("store.regained", "table", w.table.String(), "failures", failures)
				if w.onRecovery != nil {
					w.onRecovery()
				}
			}
			if at.Era != after.Era && after != (Position{}) {
				w.log.Info("store.restored", "table", w.table.String(), "era", at.Era, "before", after.Era, "version", at.Version, "after", after.Version, "whole", full)
			}
			failures, loaded, after = 0, true, at
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
			w.log.Info("store.history_gone", "table", w.table.String(), "after", after.Version)
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

// sleepJitter sleeps for a random time between d/2 and d, or until ctx ends.
func sleepJitter(ctx context.Context, d time.Duration) { sleepJitterOr(ctx, d, nil) }

// sleepJitterOr is sleepJitter that a signal ends too; it reports whether one did.
func sleepJitterOr(ctx context.Context, d time.Duration, signalled <-chan struct{}) bool {
	t := time.NewTimer(d/2 + rand.N(d/2+1))
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	case <-signalled:
		return true
	}
	return false
}

// signal wakes whoever waits for the channel, which has room for one signal. Signals that nobody has
// waited for yet count once.
func signal(ch chan<- struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}
