package escrow

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"carawayrouter.example/router/internal/event"
	"carawayrouter.example/router/internal/platform"
)

const (
	// moveTime is the time between two rounds of share moves in a small fleet.
	moveInterval = time.Second
	// moveMembers is the number of members above which rounds are further apart, so
	// that the fleet's writes stay bounded.
	membersPerInterval = 50
	// moveRows bounds the rows written in one round.
	maxMoveRows = 16
	// leastMove is the smallest change of a share, in parts per million.
	minMove = totalShare / 100
	// shareFloor divides an equal share to give the least that a data centre keeps.
	shareFloorDivisor = 8
	// borrowerFresh is how long the demand of another data centre counts.
	remoteDemandTTL = 2 * time.Second
	// burstTime is how long demand must last before a share is moved.
	minDemandDuration = time.Second
	// refreshFor is how long after a loan a row is read again in every round.
	refreshAfterBorrow = 3 * time.Second
)

// mover moves shares of rate and burst to data centres that lack them. The giver
// lowers its own limit first and then writes the row; the taker raises its limit
// when it reads the row. Only the giver ever lowers its share in a row, so a row
// that is out of date never shows a home more than it has.
type mover struct {
	h    *home
	opts *Options
}

func (m *mover) run(ctx context.Context) error {
	for {
		tick := m.opts.Clock.After(m.interval())
		for due := false; !due; {
			select {
			case <-ctx.Done():
				return nil
			case name := <-m.h.staleRows:
				m.readRows(ctx, m.h.accountsByName(m.drainStale(name)))
			case <-tick:
				due = true
			}
		}
		m.round(ctx)
	}
}

func (m *mover) interval() time.Duration {
	n := len(m.opts.Members.View().Peers) + 1
	return moveInterval * time.Duration(max(1, n/membersPerInterval))
}

// more adds names that are waiting.
func (m *mover) drainStale(name string) []string {
	names := []string{name}
	for len(names) < openBatchSize {
		select {
		case n := <-m.h.staleRows:
			names = append(names, n)
		default:
			return names
		}
	}
	return names
}

// refresh has rows read again.
func (h *home) markStale(names []string) {
	for _, n := range names {
		select {
		case h.staleRows <- n:
		default:
			return
		}
	}
}

func (h *home) accountsByName(names []string) []*account {
	h.mu.RLock()
	defer h.mu.RUnlock()
	var list []*account
	for _, n := range names {
		if a := h.accounts[n]; a != nil {
			list = append(list, a)
		}
	}
	return list
}

func (m *mover) round(ctx context.Context) {
	now := m.opts.Clock.Now()
	var unsettled, recipients, rest []*account
	var moves []plannedMove
	for _, a := range m.h.accountList() {
		a.mu.Lock()
		switch {
		case !a.opened || a.frozen || !m.h.mayGrant(a.key, a.epoch):
		case a.pendingMove != nil:
			unsettled = append(unsettled, a)
		case now.Sub(a.lastBorrowed) < refreshAfterBorrow:
			recipients = append(recipients, a)
		case len(moves) < maxMoveRows:
			if p, ok := a.planMove(now, m.opts.DataCentres); ok {
				moves = append(moves, p)
				break
			}
			rest = append(rest, a)
		}
		a.mu.Unlock()
	}
	for _, a := range unsettled[:min(len(unsettled), maxMoveRows)] {
		m.resolveMove(ctx, a)
	}
	// Rows whose taker was not told are found in time: the list is in random order.
	recipients = append(recipients, rest...)
	m.readRows(ctx, recipients[:min(len(recipients), openBatchSize)])
	if len(moves) > 0 {
		m.commitMoves(ctx, moves)
	}
}

// planned is a share move that the giver has prepared for.
type plannedMove struct {
	account         *account
	row             *shareRow
	replacedVersion uint64 // that the row replaces
	recipient       string
}

// planMove lowers the own limit in favour of the data centre that lacks most, if
// the own demand leaves enough. The caller holds a.mu.
func (a *account) planMove(now time.Time, dataCentres []string) (plannedMove, bool) {
	total := toMicroTokens(a.config.Rate)
	recipient, excess := a.mostInNeed(now)
	if recipient == "" || total == 0 || a.config.Burst <= 0 {
		return plannedMove{}, false
	}
	others := int64(len(dataCentres) - 1)
	floor := totalShare / int64(len(dataCentres)) / shareFloorDivisor
	keep := max(floor, toPPM(a.demand.rate(now)/4*5, total))
	// Room that holds tokens stays: a cut level would be lost to everyone.
	freeCapacity := a.bucket.Capacity() - a.bucket.Level(now) - a.bucket.Outstanding(now)
	delta := min(a.share-keep, toPPM(excess, total)/others, toPPM(freeCapacity, toMicroTokens(a.config.Burst)))
	if delta < minMove {
		return plannedMove{}, false
	}
	row := a.row.nextGeneration()
	row.Shares[a.key.DataCentre] -= delta
	row.Shares[recipient] += delta
	a.share -= delta
	a.pendingMove = &pendingMove{replacedVersion: a.rowVersion}
	a.applyLimits(now)
	return plannedMove{a, row, a.rowVersion, recipient}, true
}

// noteBorrower records demand of another data centre above its share.
func (a *account) recordRemoteDemand(now time.Time, dc string, excess int64) {
	b, ok := a.remoteDemands[dc]
	if !ok || now.Sub(b.updated) > remoteDemandTTL {
		b.since = now
	}
	b.excess, b.updated = excess, now
	a.remoteDemands[dc] = b
}

// neediest returns the data centre with the largest recent demand above its share
// that is more than a single burst.
func (a *account) mostInNeed(now time.Time) (dc string, excess int64) {
	maps.DeleteFunc(a.remoteDemands, func(_ string, b remoteDemand) bool { return now.Sub(b.updated) > remoteDemandTTL })
	for _, name := range slices.Sorted(maps.Keys(a.remoteDemands)) {
		if b := a.remoteDemands[name]; b.excess > excess && b.updated.Sub(b.since) >= minDemandDuration {
			dc, excess = name, b.excess
		}
	}
	return dc, excess
}

// ppmOf returns n in parts per million of total, at most whole.
func toPPM(n, total int64) int64 {
	return int64(min(1, float64(n)/float64(total)) * totalShare)
}

// commit writes the moves in one transaction.
func (m *mover) commitMoves(ctx context.Context, moves []plannedMove) {
	var t platform.Txn
	for _, p := range moves {
		key := shareRowPrefix + p.account.name
		t.Conditions = append(t.Conditions, platform.Condition{Key: key, Version: p.replacedVersion})
		t.Writes = append(t.Writes, platform.Write{Key: key, Value: p.row.encode()})
	}
	version, err := m.opts.commitTxn(ctx, t)
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		for _, p := range moves {
			p.account.finishMove(m.opts.Clock.Now(), p.row, version)
			m.opts.Events.Add(event.Event{Kind: "limit.move", Account: p.account.name, Detail: "to " + p.recipient})
		}
		m.notifyRecipients(ctx, moves)
	case errors.As(err, &conflict):
		m.revertMoves(moves)
		m.readRows(ctx, m.h.accountsByName([]string{conflict.Key[len(shareRowPrefix):]}))
	case errors.Is(err, platform.ErrUnavailable):
		m.revertMoves(moves)
	default:
		m.opts.Logger.Info("share move has an unknown outcome; limits stay low", "accounts", len(moves), "error", err.Error())
	}
}

// moved ends a move whose row is known to be in force.
func (a *account) finishMove(now time.Time, row *shareRow, version uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.pendingMove = nil
	a.adoptRow(now, row, version)
}

// abandon restores the limits of moves that are known to have had no effect.
func (m *mover) revertMoves(moves []plannedMove) {
	now := m.opts.Clock.Now()
	for _, p := range moves {
		a := p.account
		a.mu.Lock()
		a.pendingMove = nil
		a.share = a.row.Shares[a.key.DataCentre]
		a.applyLimits(now)
		a.mu.Unlock()
	}
}

// tell has the takers read their rows. They read them in their next round anyway.
func (m *mover) notifyRecipients(ctx context.Context, moves []plannedMove) {
	names := map[string][]string{}
	for _, p := range moves {
		if as, ok := m.opts.Directory.Home(shardOf(p.recipient, p.account.name)); ok {
			names[as.Home.Addr] = append(names[as.Home.Addr], p.account.name)
		}
	}
	for addr, list := range names {
		if err := m.opts.callPeer(ctx, m.opts.CallTimeout, addr, "Refresh", &RefreshArgs{Accounts: list}, &RefreshReply{}); err != nil {
			m.opts.Logger.V(1).Info("taker of shares was not told", "home", addr, "error", err.Error())
		}
	}
}

// settle finds out what became of a move. If the row has not changed, the move may
// still arrive; a write of the same version rules that out.
func (m *mover) resolveMove(ctx context.Context, a *account) {
	rows, err := m.opts.getRows(ctx, []*account{a})
	if err != nil {
		return
	}
	row, ok, err := decodeShareRow(rows[0])
	if err != nil || !ok {
		return
	}
	a.mu.Lock()
	pending := a.pendingMove
	a.mu.Unlock()
	if pending == nil {
		return
	}
	version := rows[0].Version
	if version == pending.replacedVersion {
		row = row.nextGeneration()
		key := shareRowPrefix + a.name
		version, err = m.opts.commitTxn(ctx, platform.Txn{
			Conditions: []platform.Condition{{Key: key, Version: version}},
			Writes:     []platform.Write{{Key: key, Value: row.encode()}},
		})
		if err != nil {
			return
		}
	}
	a.finishMove(m.opts.Clock.Now(), row, version)
	m.opts.Logger.Info("share move is settled", "account", a.name, "generation", row.Generation)
}

// read adopts the rows of accounts as they are in the table.
func (m *mover) readRows(ctx context.Context, accounts []*account) {
	if len(accounts) == 0 {
		return
	}
	rows, err := m.opts.getRows(ctx, accounts)
	if err != nil {
		return
	}
	for i, a := range accounts {
		row, ok, err := decodeShareRow(rows[i])
		if err != nil || !ok {
			continue
		}
		a.mu.Lock()
		if a.opened && a.pendingMove == nil {
			now := m.opts.Clock.Now()
			a.adoptRow(now, row, rows[i].Version)
			m.h.grantQueued(a, now)
		}
		a.mu.Unlock()
	}
}
