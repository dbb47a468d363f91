package escrow

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// flushInterval is the maximum time for which loan updates are held back.
	flushInterval = 50 * time.Millisecond
	// maxOutboxItems bounds the items queued for one home; further items are dropped,
	// which loses tokens.
	maxOutboxItems = 8192
	// maxConcurrentSends bounds the calls in progress.
	maxConcurrentSends = 64
)

// outbox sends loan updates to lenders in batches, each at most once.
type outbox struct {
	opts      *Options
	localHome *home

	mu       sync.Mutex
	items    map[string][]ReturnItem
	inFlight map[string]bool
}

func newOutbox(o *Options, h *home) *outbox {
	return &outbox{opts: o, localHome: h, items: map[string][]ReturnItem{}, inFlight: map[string]bool{}}
}

// add queues an item for the home at addr. Callers that hold no account lock apply
// items for the local home directly instead.
func (b *outbox) add(addr string, it ReturnItem) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.items[addr]) < maxOutboxItems {
		b.items[addr] = append(b.items[addr], it)
	}
}

func (b *outbox) run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxConcurrentSends)
	for {
		select {
		case <-ctx.Done():
			return group.Wait()
		case <-b.opts.Clock.After(flushInterval):
		}
		for addr, items := range b.takeDue() {
			group.Go(func() error {
				b.send(ctx, addr, items)
				return nil
			})
		}
	}
}

// takeDue removes and returns the items of homes that have no call in progress.
func (b *outbox) takeDue() map[string][]ReturnItem {
	b.mu.Lock()
	defer b.mu.Unlock()
	due := map[string][]ReturnItem{}
	for addr, items := range b.items {
		if b.inFlight[addr] {
			continue
		}
		due[addr] = items
		b.inFlight[addr] = true
		delete(b.items, addr)
	}
	return due
}

// send makes one call. A failed call is not retried: its tokens are lost, or the
// lender has already taken them back.
func (b *outbox) send(ctx context.Context, addr string, items []ReturnItem) {
	if addr == b.opts.Self.Addr {
		b.localHome.applyReturns(items)
	} else if err := b.opts.callPeer(ctx, b.opts.CallTimeout, addr, "Return", &ReturnArgs{Items: items}, &ReturnReply{}); err != nil {
		b.opts.Logger.V(1).Info("loan updates lost: return call failed", "home", addr, "items", len(items), "error", err.Error())
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.inFlight, addr)
}

// flush sends the queued items of all homes that have no call in progress.
func (b *outbox) flush(ctx context.Context) {
	for addr, items := range b.takeDue() {
		b.send(ctx, addr, items)
	}
}
