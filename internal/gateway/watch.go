package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
)

const (
	// pollWait is how long one call waits for changes in a small fleet. A silent connection is
	// noticed after it, unless another instance notices first; see Server.pollWait.
	pollWait    = 2 * time.Second
	maxPollWait = 24 * time.Second // in large fleets; the store allows 30 s
	// frequentPollWait is how long the calls of a few instances wait, so that the fleet notices a silence
	// of all connections to the store, and has the next configuration in time.
	frequentPollWait = time.Second
	frequentPollers  = 3
	recoveryPollWait = 200 * time.Millisecond // after a failure, so that a recovery of the store is noticed soon
	minRetryDelay    = 80 * time.Millisecond
	maxRetryDelay    = 700 * time.Millisecond // short enough that a recovered store is used again well before endpoints have to be registered again
	restoreReadDelay = 200 * time.Millisecond // spreads the full reads of a large fleet after a restore
	expireInterval   = 250 * time.Millisecond
)

// watcher follows the changes of one table of the store and passes them to apply in order.
//
// Invariant: the changes that are applied follow a full read of the same era without a gap. After a
// restore the store may answer a question for the changes since a version of the former era with
// some of its changes only.
type watcher struct {
	store      Store
	table      Table
	wait       func() time.Duration // how long one call waits for changes
	batchDelay func() time.Duration // delay between a change and the next call; may be nil
	log        logr.Logger
	apply      func(rows []Row, at Position, full bool)
	onFailure  func() // called after every failed call; may be nil
	onRecovery func() // called after the first successful call that follows a failure, before its rows are applied; may be nil
	era        *storeEra

	mu        sync.Mutex
	endCall   context.CancelCauseFunc // of a call that waits for changes; nil if there is none
	callBegan time.Time
}

// run follows the table until ctx ends.
func (w *watcher) run(ctx context.Context) error {
	var after Position
	loaded := false
	failures := 0
	for ctx.Err() == nil {
		if era := w.era.newest(); era > after.Era {
			loaded = false
		}
		full := !loaded
		rows, at, err := w.read(ctx, after, full, failures > 0)
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case errors.Is(err, errCallEnded):
			continue
		case errors.Is(err, ErrHistoryGone):
			w.log.Info("store.history_gone", "table", w.table.String(), "after", after.Version)
			loaded = false
			continue
		case err == nil && at.Era < w.era.newest():
			err = errors.Newf("an answer of era %d came late, the store is in era %d", at.Era, w.era.newest())
		}
		if err != nil {
			if failures++; failures == 1 {
				w.log.Info("store.lost", "table", w.table.String(), "cause", err.Error())
			}
			if w.onFailure != nil {
				w.onFailure()
			}
			sleepJitter(ctx, min(maxRetryDelay, minRetryDelay<<min(failures, 5)))
			continue
		}
		if failures > 0 {
			w.log.Info("store.regained", "table", w.table.String(), "failures", failures)
			if w.onRecovery != nil {
				w.onRecovery()
			}
		}
		failures = 0
		w.era.raise(at.Era)
		if at.Era > after.Era && after != (Position{}) {
			w.log.Info("store.restored", "table", w.table.String(), "era", at.Era, "before", after.Era, "version", at.Version, "after", after.Version, "whole", full)
			if !full {
				after, loaded = Position{Era: at.Era}, false
				sleepJitter(ctx, restoreReadDelay)
				continue
			}
		}
		loaded, after = true, at
		if full || len(rows) > 0 {
			w.apply(rows, at, full)
			if w.batchDelay != nil {
				sleepJitter(ctx, w.batchDelay())
			}
		}
	}
	return ctx.Err()
}

// errCallEnded ends a call that waits for changes without its answer.
var errCallEnded = errors.New("the call for changes was ended")

// read reads the whole table, or waits for the changes after a position.
func (w *watcher) read(ctx context.Context, after Position, full, failed bool) ([]Row, Position, error) {
	if full {
		return w.store.Rows(ctx, w.table)
	}
	wait := w.wait()
	if failed {
		wait = recoveryPollWait
	}
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	w.setCall(end, time.Now())
	defer w.setCall(nil, time.Time{})
	if w.era.newest() > after.Era {
		return nil, Position{}, errCallEnded
	}
	rows, at, err := w.store.Changes(ctx, w.table, after.Version, wait)
	if err != nil && errors.Is(context.Cause(ctx), errCallEnded) {
		err = errCallEnded
	}
	return rows, at, err
}

func (w *watcher) setCall(end context.CancelCauseFunc, began time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endCall, w.callBegan = end, began
}

// endWait ends a call that has been waiting for changes since before t, so that the next one begins
// at once, and reports whether there was such a call.
func (w *watcher) endWait(t time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.endCall == nil || !w.callBegan.Before(t) {
		return false
	}
	w.endCall(errCallEnded)
	return true
}

// storeEra is the newest era of the store that this instance has heard of, by an answer of the store or from
// another instance. A call that waits for changes since a version of an earlier era may wait although
// there are some, so all of them end when a newer era is heard of.
type storeEra struct {
	mu      sync.Mutex
	era     uint64
	onRaise func()
}

func (e *storeEra) newest() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.era
}

// raise records an era.
func (e *storeEra) raise(era uint64) {
	e.mu.Lock()
	newer := era > e.era
	e.era = max(e.era, era)
	e.mu.Unlock()
	if newer && e.onRaise != nil {
		e.onRaise()
	}
}

// sleepJitter sleeps for a random time between d/2 and d, or until ctx ends.
func sleepJitter(ctx context.Context, d time.Duration) { sleepJitterOr(ctx, d, nil) }

// sleepJitterOr is sleepJitter that a signal ends too; it reports whether one did.
func sleepJitterOr(ctx context.Context, d time.Duration, signalled <-chan struct{}) bool {
	t := time.NewTimer(jitter(d))
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	case <-signalled:
		return true
	}
	return false
}

// jitter returns a random time from half of d to d.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d/2+1) }

// signal wakes whoever waits for the channel, which has room for one signal. Signals that nobody has
// waited for yet count once.
func signal(ch chan<- struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}
