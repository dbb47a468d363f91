package escrow

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"carawayrouter.example/router/internal/event"
	"carawayrouter.example/router/internal/limit/bucket"
	"carawayrouter.example/router/internal/platform"
	"carawayrouter.example/router/internal/shard"
)

const (
	handoverPollInterval   = 20 * time.Millisecond // between two lookups of the next homes
	releaseHandoverTimeout = 3 * time.Second       // for handing over one shard to a live instance
	maxReleasedShards      = 64                    // queued for handover; the account state of further shards is lost
)

// handover is the state of one account at the time this process stopped granting.
type handover struct {
	account  *account
	item     HandoverItem
	frozenAt time.Time
}

// Freeze permanently stops this process from granting as home. It is called before
// the shards are released; Close hands over the state held at that time.
func (l *Limiter) Freeze() { l.freezeOnce.Do(l.freeze) }

func (l *Limiter) freeze() {
	l.client.returnPrefetched()
	l.home.mu.Lock()
	l.home.closing = true
	l.home.mu.Unlock()
	for _, a := range l.home.accountList() {
		if h, ok := l.home.freeze(a); ok {
			l.frozen = append(l.frozen, h)
		}
	}
}

// Release stops granting for the accounts of a shard that is about to move to another
// live instance, and hands their state over once that instance is home. It is a
// shard.Hook and must be called while the shard is still held.
func (l *Limiter) Release(k shard.Key, _ uint64) {
	var frozen []handover
	for _, a := range l.home.accountList() {
		if a.key != k {
			continue
		}
		if h, ok := l.home.freeze(a); ok {
			frozen = append(frozen, h)
		}
	}
	if len(frozen) == 0 {
		return
	}
	select {
	case l.released <- frozen:
	default:
		l.opts.Logger.Info("account state lost: handover queue is full", "accounts", len(frozen), "error", "too many shards released at once")
	}
}

// handOverReleased hands over the accounts of released shards until ctx ends.
func (l *Limiter) handOverReleased(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case frozen := <-l.released:
			limited, cancel := context.WithTimeout(ctx, releaseHandoverTimeout)
			if err := l.handOverAll(limited, frozen); err != nil {
				l.opts.Logger.Info("account state lost: handover of a released shard failed", "error", err.Error())
			}
			cancel()
		}
	}
}

// Close returns unspent tokens and hands the account state of this process to the
// next homes, waiting for them until ctx ends. It calls Freeze if that has not been
// called. Tokens that cannot be handed over are lost and accrue again.
func (l *Limiter) Close(ctx context.Context) error {
	l.Freeze()
	l.client.outbox.flush(ctx)
	return l.handOverAll(ctx, l.frozen)
}

// handOverAll waits for the next homes and hands over to them until ctx ends.
func (l *Limiter) handOverAll(ctx context.Context, remaining []handover) error {
	for len(remaining) > 0 {
		remaining = l.sendHandovers(ctx, remaining)
		if len(remaining) == 0 {
			break
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "state of %d accounts was not handed over", len(remaining))
		case <-l.opts.Clock.After(handoverPollInterval):
		}
	}
	return nil
}

// freeze stops granting for an account; ok is false if no state may be handed over.
// Only state held under a valid epoch may be: otherwise a later home may already have
// accrued the same tokens.
func (h *home) freeze(a *account) (_ handover, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	transferable := h.mayGrant(a.key, a.epoch) && a.opened && !a.frozen
	a.frozen = true
	for _, w := range a.queue {
		signal(w)
	}
	if !transferable {
		return handover{}, false
	}
	now := h.opts.Clock.Now()
	it := HandoverItem{Account: a.name, Epoch: a.epoch, Level: a.bucket.Level(now), Version: a.rowVersion}
	for _, l := range a.bucket.Loans(now) {
		it.Lent = append(it.Lent, Lent{Amount: l.Amount, Life: l.TTL})
	}
	if a.pendingMove == nil {
		it.Row = a.row.encode()
	}
	return handover{a, it, now}, true
}

// sendHandovers sends the items whose next home is known and returns the rest.
func (l *Limiter) sendHandovers(ctx context.Context, handovers []handover) (remaining []handover) {
	byAddr := map[string][]HandoverItem{}
	for _, h := range handovers {
		assignment, ok := l.opts.Directory.Home(h.account.key)
		if !ok || assignment.Epoch <= h.account.epoch || assignment.Home.Addr == l.opts.Self.Addr {
			remaining = append(remaining, h)
			continue
		}
		byAddr[assignment.Home.Addr] = append(byAddr[assignment.Home.Addr], h.currentItem(l.opts.Clock.Now()))
	}
	for addr, items := range byAddr {
		var reply HandoverReply
		err := l.opts.callPeer(ctx, l.opts.CallTimeout, addr, "Handover", &HandoverArgs{Items: items}, &reply)
		if err != nil {
			// Not retried: the call may have taken effect.
			l.opts.Logger.Info("account state may be lost: handover call failed", "home", addr, "accounts", len(items), "error", err.Error())
		}
	}
	return remaining
}

// currentItem returns the item with the remaining lifetimes of the loans at now.
func (h *handover) currentItem(now time.Time) HandoverItem {
	it := h.item
	it.Lent = nil
	for _, l := range h.item.Lent {
		if ttl := l.Life - now.Sub(h.frozenAt); ttl > 0 {
			it.Lent = append(it.Lent, Lent{l.Amount, ttl})
		}
	}
	return it
}

// acceptHandover takes over account state from the previous homes. No tokens accrue
// here before the account is opened, nor while capacity is blocked for the previous
// home's loans, so adding the previous level and loans cannot exceed the capacity.
func (h *home) acceptHandover(items []HandoverItem) (accepted int) {
	for i := range items {
		it := &items[i]
		a, status := h.account(it.Account)
		if status != Granted || a.epoch != it.Epoch+1 {
			continue
		}
		a.mu.Lock()
		if h.acceptHandoverItem(a, it) {
			accepted++
			h.opts.Events.Add(event.Event{Kind: "limit.handover", Account: a.name})
		}
		a.mu.Unlock()
	}
	return accepted
}

func (h *home) acceptHandoverItem(a *account, it *HandoverItem) bool {
	now := h.opts.Clock.Now()
	if !a.opened {
		row, ok, err := decodeShareRow(platform.Row{Version: it.Version, Value: it.Row})
		if err != nil || !ok || it.Row == nil {
			return false
		}
		a.open(now, row, it.Version, false, h.opts.LoanTTL)
	}
	if _, _, ok := a.bucket.LoanRemaining(now, previousHomeLoans); !ok {
		return false
	}
	a.bucket.UnblockCapacity(now, previousHomeLoans)
	for i, l := range it.Lent {
		a.bucket.BlockCapacity(now, bucket.LoanID{N: uint64(i) + 1}, l.Amount, l.Life+l.Life/clockDriftDivisor)
	}
	a.bucket.Credit(now, it.Level)
	h.grantQueued(a, now)
	return true
}
