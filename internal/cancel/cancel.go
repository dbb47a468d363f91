// Package cancel delivers cancellations to engines, so that they release the resources of
// requests that ended early.
package cancel

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"golang.org/x/sync/errgroup"

	"carawayrouter.example/router/internal/endpoint"
	"carawayrouter.example/router/internal/event"
	"carawayrouter.example/router/internal/metrics"
	"carawayrouter.example/router/internal/reqid"
)

const (
	queueLength = 1024
	workers     = 16
	callTimeout = 2 * time.Second
	maxAttempts = 4
	syncTimeout = 500 * time.Millisecond
)

// job is one cancellation to deliver.
type job struct {
	addr    string
	id      reqid.ID
	attempt int
}

// Canceller delivers cancellations to engines in the background. If a cancellation cannot be
// delivered, the orphan reaper of the endpoint's dispatcher releases the resources later.
type Canceller struct {
	dialer  endpoint.Dialer
	events  *event.Ring
	metrics *metrics.Set
	jobs    chan job
}

// New returns a Canceller. Queued cancellations are delivered while Run is running.
func New(d endpoint.Dialer, ring *event.Ring, m *metrics.Set) *Canceller {
	return &Canceller{dialer: d, events: ring, metrics: m, jobs: make(chan job, queueLength)}
}

// Cancel queues a cancellation without blocking. If the queue is full, the cancellation is
// dropped and counted as failed.
func (c *Canceller) Cancel(addr string, id reqid.ID, attempt int) {
	select {
	case c.jobs <- job{addr, id, attempt}:
	default:
		c.metrics.CancelsFailed.Add(1)
	}
}

// CancelSync delivers a cancellation before it returns. If that fails or takes longer than
// syncTimeout, the cancellation is queued.
func (c *Canceller) CancelSync(addr string, id reqid.ID, attempt int) {
	ctx, stop := context.WithTimeout(context.Background(), syncTimeout)
	defer stop()
	if err := c.dialer.Engine(addr).Cancel(ctx, id, attempt); err != nil {
		c.Cancel(addr, id, attempt)
		return
	}
	c.metrics.Cancels.Add(1)
}

// Run delivers queued cancellations until ctx is done, and then delivers the remaining ones.
func (c *Canceller) Run(ctx context.Context) error {
	var g errgroup.Group
	for range workers {
		g.Go(func() error {
			c.runWorker(ctx)
			return nil
		})
	}
	return g.Wait()
}

func (c *Canceller) runWorker(ctx context.Context) {
	for {
		select {
		case j := <-c.jobs:
			c.deliver(j)
		case <-ctx.Done():
			c.flush()
			return
		}
	}
}

// flush delivers the remaining queued cancellations.
func (c *Canceller) flush() {
	for {
		select {
		case j := <-c.jobs:
			c.deliver(j)
		default:
			return
		}
	}
}

func (c *Canceller) deliver(j job) {
	_, err := backoff.Retry(context.Background(), func() (struct{}, error) {
		ctx, stop := context.WithTimeout(context.Background(), callTimeout)
		defer stop()
		return struct{}{}, c.dialer.Engine(j.addr).Cancel(ctx, j.id, j.attempt)
	}, backoff.WithMaxTries(maxAttempts))
	if err != nil {
		c.metrics.CancelsFailed.Add(1)
		c.events.Add(event.Event{Kind: "cancel.failed", Request: j.id.String(), Endpoint: j.addr, Detail: err.Error()})
		return
	}
	c.metrics.Cancels.Add(1)
	c.events.Add(event.Event{Kind: "cancel.done", Request: j.id.String(), Endpoint: j.addr})
}
