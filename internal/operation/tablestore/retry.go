package tablestore

import (
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"golang.org/x/sync/errgroup"
)

// Bounds of the retries.
const (
	retryFirst = 100 * time.Millisecond
	retryMax   = 10 * time.Second
	// retryParallel is the number of jobs tried at once; they share commits.
	retryParallel = 256
)

// job is a change that has to be made in the background.
type job interface {
	attempt(ctx context.Context) error
	size() int // bytes held
	shrink()   // gives up what can be spared
}

type waitingJob struct {
	job
	since time.Time
}

// retrier repeats jobs until the table takes them. One goroutine runs it.
type retrier struct {
	o    Options
	s    Settings
	wake chan struct{}

	mu    sync.Mutex
	jobs  []waitingJob
	bytes int
}

func newRetrier(o Options) *retrier {
	return &retrier{o: o, s: o.Settings, wake: make(chan struct{}, 1)}
}

// add queues a job. A full queue drops it: its row then stays claimed, and the
// operation's outcome unknown, which is true and never runs it again.
func (r *retrier) add(j job) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.jobs) >= r.s.Pending {
		r.o.Log.Info("operation record dropped", "pending", len(r.jobs))
		return
	}
	if r.bytes+j.size() > r.s.PendingBytes {
		j.shrink()
	}
	r.bytes += j.size()
	r.jobs = append(r.jobs, waitingJob{job: j, since: r.o.Clock.Now()})
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// pending returns the number of jobs that wait.
func (r *retrier) pending() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.jobs)
}

// run repeats jobs until ctx ends, and then for the drain time while some are left.
func (r *retrier) run(ctx context.Context) {
	delay := backoff.NewExponentialBackOff()
	delay.InitialInterval, delay.MaxInterval = retryFirst, retryMax
	for {
		select {
		case <-r.wake:
		case <-ctx.Done():
			r.drain(ctx)
			return
		}
		for r.pending() > 0 && ctx.Err() == nil {
			if r.round(ctx) {
				delay.Reset()
				continue
			}
			select {
			case <-r.o.Clock.After(delay.NextBackOff()):
			case <-ctx.Done():
			}
		}
	}
}

// drain tries the jobs that are left at shutdown.
func (r *retrier) drain(ctx context.Context) {
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), r.s.Drain)
	defer stop()
	for r.pending() > 0 && ctx.Err() == nil {
		if r.round(ctx) {
			continue
		}
		select {
		case <-r.o.Clock.After(retryFirst):
		case <-ctx.Done():
		}
	}
	if n := r.pending(); n > 0 {
		r.o.Log.Info("operation records not written at shutdown", "pending", n)
	}
}

// round tries the oldest jobs together and reports whether all of them succeeded.
func (r *retrier) round(ctx context.Context) bool {
	r.mu.Lock()
	batch := append([]waitingJob(nil), r.jobs[:min(len(r.jobs), retryParallel)]...)
	r.mu.Unlock()
	failed := make([]bool, len(batch))
	var g errgroup.Group
	for i, j := range batch {
		g.Go(func() error {
			tctx, stop := context.WithTimeout(ctx, 2*r.s.CallTimeout)
			defer stop()
			failed[i] = j.attempt(tctx) != nil
			return nil
		})
	}
	_ = g.Wait()
	return r.keep(batch, failed)
}

// keep removes the jobs of a batch that succeeded or are too old; the others go to
// the end of the queue.
func (r *retrier) keep(batch []waitingJob, failed []bool) bool {
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
		if r.o.Clock.Now().Sub(j.since) >= r.s.GiveUp {
			r.bytes -= j.size()
			r.o.Log.Info("operation record given up", "age", r.s.GiveUp.String())
			continue
		}
		r.jobs = append(r.jobs, j)
	}
	return all
}
