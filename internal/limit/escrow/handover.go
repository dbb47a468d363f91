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
	handoverPoll = 20 * time.Millisecond // between two looks for the next homes
	passOnTime   = 3 * time.Second       // for handing over one shard to a live instance
	passOnQueue  = 64                    // shards that wait for it; the rights of more are lost
)

// handover is what this process held of one account when it stopped granting.
type handover struct {
	account *account
	item    HandoverItem
	frozen  time.Time
}

// Freeze stops granting as home, for good. It is called before the shards are
// released; what is held then is handed over by Close.
func (l *Limiter) Freeze() { l.freezeOnce.Do(l.freeze) }

func (l *Limiter) freeze() {
	l.client.giveUpSpares()
	l.home.mu.Lock()
	l.home.closing = true
	l.home.mu.Unlock()
	for _, a := range l.home.list() {
		if h, ok := l.home.freeze(a); ok {
			l.frozen = append(l.frozen, h)
		}
	}
}

// Release stops granting for the accounts of a shard that is about to be handed over
// to another live instance, and passes their rights on once that instance is home. It
// is a shard.Hook and must be called while the shard is still held.
func (l *Limiter) Release(k shard.Key, _ uint64) {
	var frozen []handover
	for _, a := range l.home.list() {
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
		l.o.Logger.Info("hand-over of rights is lost", "accounts", len(frozen), "error", "too many at once")
	}
}

// passOn hands over the rights of released shards until ctx ends.
func (l *Limiter) passOn(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case frozen := <-l.released:
			limited, cancel := context.WithTimeout(ctx, passOnTime)
			if err := l.handOverAll(limited, frozen); err != nil {
				l.o.Logger.Info("hand-over of rights is lost", "error", err.Error())
			}
			cancel()
		}
	}
}

// Close hands the rights of this process to the next homes, which it waits for
// until ctx ends, and returns unspent tokens. Where Freeze was not called before,
// it is called first. What cannot be handed over is lost, and accrues anew.
func (l *Limiter) Close(ctx context.Context) error {
	l.Freeze()
	l.client.out.flush(ctx)
	return l.handOverAll(ctx, l.frozen)
}

// handOverAll waits for the next homes and hands over to them until ctx ends.
func (l *Limiter) handOverAll(ctx context.Context, left []handover) error {
	for len(left) > 0 {
		left = l.handOver(ctx, left)
		if len(left) == 0 {
			break
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "rights of %d accounts were not handed over", len(left))
		case <-l.o.Clock.After(handoverPoll):
		}
	}
	return nil
}

// freeze stops an account; ok is false if there is nothing that may be handed over.
// Only what was held under a valid epoch may: otherwise a later home may already
// have accrued the same tokens.
func (h *home) freeze(a *account) (_ handover, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	held := h.mayGrant(a.key, a.epoch) && a.opened && !a.frozen
	a.frozen = true
	for _, w := range a.queue {
		wake(w)
	}
	if !held {
		return handover{}, false
	}
	now := h.o.Clock.Now()
	it := HandoverItem{Account: a.name, Epoch: a.epoch, Level: a.bucket.Level(now), Version: a.version}
	for _, l := range a.bucket.Loans(now) {
		it.Lent = append(it.Lent, Lent{Amount: l.Amount, Life: l.TTL})
	}
	if a.pending == nil {
		it.Row = a.row.encode()
	}
	return handover{a, it, now}, true
}

// handOver sends what has a next home and returns the rest.
func (l *Limiter) handOver(ctx context.Context, all []handover) (left []handover) {
	byAddr := map[string][]HandoverItem{}
	for _, h := range all {
		as, ok := l.o.Directory.Home(h.account.key)
		if !ok || as.Epoch <= h.account.epoch || as.Home.Addr == l.o.Self.Addr {
			left = append(left, h)
			continue
		}
		byAddr[as.Home.Addr] = append(byAddr[as.Home.Addr], h.aged(l.o.Clock.Now()))
	}
	for addr, items := range byAddr {
		var reply HandoverReply
		err := l.o.call(ctx, l.o.CallTime, addr, "Handover", &HandoverArgs{Items: items}, &reply)
		if err != nil {
			// It may have arrived, so it is not repeated.
			l.o.Logger.Info("hand-over of rights is lost", "home", addr, "accounts", len(items), "error", err.Error())
		}
	}
	return left
}

// aged returns the item with the lives of loans as they are now.
func (h *handover) aged(now time.Time) HandoverItem {
	it := h.item
	it.Lent = nil
	for _, l := range h.item.Lent {
		if life := l.Life - now.Sub(h.frozen); life > 0 {
			it.Lent = append(it.Lent, Lent{l.Amount, life})
		}
	}
	return it
}

// takeOver accepts rights from the former homes. Until the block for the former
// home's loans ends, or before the account is opened, nothing has accrued here, so
// the former level and loans can be added without passing the capacity.
func (h *home) takeOver(items []HandoverItem) (accepted int) {
	for i := range items {
		it := &items[i]
		a, status := h.account(it.Account)
		if status != Granted || a.epoch != it.Epoch+1 {
			continue
		}
		a.mu.Lock()
		if h.acceptItem(a, it) {
			accepted++
			h.o.Events.Add(event.Event{Kind: "limit.handover", Account: a.name})
		}
		a.mu.Unlock()
	}
	return accepted
}

func (h *home) acceptItem(a *account, it *HandoverItem) bool {
	now := h.o.Clock.Now()
	if !a.opened {
		row, ok, err := decodeRow(platform.Row{Version: it.Version, Value: it.Row})
		if err != nil || !ok || it.Row == nil {
			return false
		}
		a.start(now, row, it.Version, false, h.o.LoanLife)
	}
	if _, _, ok := a.bucket.LoanRemaining(now, formerLoans); !ok {
		return false
	}
	a.bucket.UnblockCapacity(now, formerLoans)
	for i, l := range it.Lent {
		a.bucket.BlockCapacity(now, bucket.LoanID{N: uint64(i) + 1}, l.Amount, l.Life+l.Life/drift)
	}
	a.bucket.Credit(now, it.Level)
	h.pump(a, now)
	return true
}
