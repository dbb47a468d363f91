package escrow

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// flushTime is the longest time for which news of loans is held back.
	flushInterval = 50 * time.Millisecond
	// outboxItems bounds the items held for one home; more are dropped, which
	// loses tokens.
	maxOutboxItems = 8192
	// flushers bounds the calls under way.
	maxConcurrentSends = 64
)

// outbox sends news of loans to lenders in batches, each once.
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

// add queues an item for the home at addr. The own home gets it at once, unless the
// caller may hold a lock of an account there.
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

// take empties the outbox of homes to which no call is under way.
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

// send makes one call. A failure is not repeated: the tokens are lost, or were taken
// back already.
func (b *outbox) send(ctx context.Context, addr string, items []ReturnItem) {
	if addr == b.opts.Self.Addr {
		b.localHome.applyReturns(items)
	} else if err := b.opts.callPeer(ctx, b.opts.CallTimeout, addr, "Return", &ReturnArgs{Items: items}, &ReturnReply{}); err != nil {
		b.opts.Logger.V(1).Info("news of loans is lost", "home", addr, "items", len(items), "error", err.Error())
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.inFlight, addr)
}

// flush sends everything that is held.
func (b *outbox) flush(ctx context.Context) {
	for addr, items := range b.takeDue() {
		b.send(ctx, addr, items)
	}
}
