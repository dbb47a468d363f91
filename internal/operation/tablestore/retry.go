package tablestore

import (
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"golang.org/x/sync/errgroup"
)

// Parameters of retries.
const (
	initialRetryDelay = 100 * time.Millisecond
	maxRetryDelay     = 10 * time.Second
	// retryBatchSize is the number of jobs attempted concurrently; their changes share
	// commits.
	retryBatchSize = 256
)

// job is a change that is retried in the background.
type job interface {
	attempt(ctx context.Context) error
	size() int // bytes retained by the job
	dropBody() // discards the answer's body
}

type queuedJob struct {
	job
	queuedAt time.Time
}

// retrier retries jobs until they succeed or expire. It runs in one goroutine.
type retrier struct {
	opts     Options
	settings Settings
	wake     chan struct{}

	mu    sync.Mutex
	jobs  []queuedJob
	bytes int
}

func newRetrier(o Options) *retrier {
	return &retrier{opts: o, settings: o.Settings, wake: make(chan struct{}, 1)}
}

// add queues a job. If the queue is full, the job is dropped: its row stays claimed, so
// the operation's outcome remains unknown and the operation is never run again.
func (r *retrier) add(j job) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.jobs) >= r.settings.Pending {
		r.opts.Log.Info("operation record dropped: retry queue is full", "pending", len(r.jobs))
		return
	}
	if r.bytes+j.size() > r.settings.PendingBytes {
		j.dropBody()
	}
	r.bytes += j.size()
	r.jobs = append(r.jobs, queuedJob{job: j, queuedAt: r.opts.Clock.Now()})
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// pending returns the number of queued jobs.
func (r *retrier) pending() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.jobs)
}

// run retries jobs until ctx is done, and then the remaining ones for at most the drain
// time.
func (r *retrier) run(ctx context.Context) {
	delay := backoff.NewExponentialBackOff()
	delay.InitialInterval, delay.MaxInterval = initialRetryDelay, maxRetryDelay
	for {
		select {
		case <-r.wake:
		case <-ctx.Done():
			r.drain(ctx)
			return
		}
		for r.pending() > 0 && ctx.Err() == nil {
			if r.runBatch(ctx) {
				delay.Reset()
				continue
			}
			select {
			case <-r.opts.Clock.After(delay.NextBackOff()):
			case <-ctx.Done():
			}
		}
	}
}

// drain retries the remaining jobs at shutdown.
func (r *retrier) drain(ctx context.Context) {
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), r.settings.Drain)
	defer stop()
	for r.pending() > 0 && ctx.Err() == nil {
		if r.runBatch(ctx) {
			continue
		}
		select {
		case <-r.opts.Clock.After(initialRetryDelay):
		case <-ctx.Done():
		}
	}
	if n := r.pending(); n > 0 {
		r.opts.Log.Info("operation records not written at shutdown", "pending", n)
	}
}

// runBatch attempts the oldest jobs concurrently and reports whether all succeeded.
func (r *retrier) runBatch(ctx context.Context) bool {
	r.mu.Lock()
	batch := append([]queuedJob(nil), r.jobs[:min(len(r.jobs), retryBatchSize)]...)
	r.mu.Unlock()
	failed := make([]bool, len(batch))
	var g errgroup.Group
	for i, j := range batch {
		g.Go(func() error {
			tctx, stop := context.WithTimeout(ctx, 2*r.settings.CallTimeout)
			defer stop()
			failed[i] = j.attempt(tctx) != nil
			return nil
		})
	}
	_ = g.Wait()
	return r.removeCompleted(batch, failed)
}

// removeCompleted removes the jobs of a batch that succeeded or have expired, moves the
// others to the end of the queue, and reports whether all succeeded.
func (r *retrier) removeCompleted(batch []queuedJob, failed []bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := true
	r.jobs = r.jobs[len(batch):]
	for i, j := range batch {
		if !failed[i] {
			r.bytes -= j.size()
			continue
		}
		all = false
		if r.opts.Clock.Now().Sub(j.queuedAt) >= r.settings.GiveUp {
			r.bytes -= j.size()
			r.opts.Log.Info("operation record dropped: retries timed out", "age", r.settings.GiveUp.String())
			continue
		}
		r.jobs = append(r.jobs, j)
	}
	return all
}
