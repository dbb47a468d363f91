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
	// moveInterval is the time between two rounds of share moves in a small fleet.
	moveInterval = time.Second
	// membersPerInterval is the number of members per moveInterval between two rounds:
	// larger fleets have longer intervals, which bounds the fleet's total writes.
	membersPerInterval = 50
	// maxMoveRows bounds the rows written in one round.
	maxMoveRows = 16
	// minMove is the minimum change of a share, in parts per million.
	minMove = totalShare / 100
	// shareFloorDivisor sets the minimum share of a data centre, as a fraction of an
	// equal share.
	shareFloorDivisor = 8
	// remoteDemandTTL is how long a report of another data centre's demand is used.
	remoteDemandTTL = 2 * time.Second
	// minDemandDuration is how long demand must last before a share is moved.
	minDemandDuration = time.Second
	// refreshAfterBorrow is how long after a loan the row is read again in every round.
	refreshAfterBorrow = 3 * time.Second
)

// mover moves shares of rate and burst to data centres that lack them. The donor
// lowers its own limit before it writes the row; the recipient raises its limit when
// it reads the row. Only a home lowers its own share in a row, so a stale row never
// shows a home a larger share than it has.
type mover struct {
	home *home
	opts *Options
}

func (m *mover) run(ctx context.Context) error {
	for {
		tick := m.opts.Clock.After(m.interval())
		for due := false; !due; {
			select {
			case <-ctx.Done():
				return nil
			case name := <-m.home.staleRows:
				m.readRows(ctx, m.home.accountsByName(m.drainStale(name)))
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

// drainStale returns name and further queued names, up to the batch size.
func (m *mover) drainStale(name string) []string {
	names := []string{name}
	for len(names) < openBatchSize {
		select {
		case n := <-m.home.staleRows:
			names = append(names, n)
		default:
			return names
		}
	}
	return names
}

// markStale queues accounts whose rows must be read again. Names that do not fit the
// queue are dropped.
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
	var unsettled, recipients, others []*account
	var moves []plannedMove
	for _, a := range m.home.accountList() {
		a.mu.Lock()
		switch {
		case !a.opened || a.frozen || !m.home.mayGrant(a.key, a.epoch):
		case a.pendingMove != nil:
			unsettled = append(unsettled, a)
		case now.Sub(a.lastBorrowed) < refreshAfterBorrow:
			recipients = append(recipients, a)
		case len(moves) < maxMoveRows:
			if p, ok := a.planMove(now, m.opts.DataCentres); ok {
				moves = append(moves, p)
				break
			}
			others = append(others, a)
		}
		a.mu.Unlock()
	}
	for _, a := range unsettled[:min(len(unsettled), maxMoveRows)] {
		m.resolveMove(ctx, a)
	}
	// The list is in random order, so recipients that were not notified eventually
	// read their rows too.
	recipients = append(recipients, others...)
	m.readRows(ctx, recipients[:min(len(recipients), openBatchSize)])
	if len(moves) > 0 {
		m.commitMoves(ctx, moves)
	}
}

// plannedMove is a share move for which the donor has already lowered its limit.
type plannedMove struct {
	account         *account
	row             *shareRow
	replacedVersion uint64 // version that the row replaces
	recipient       string
}

// planMove lowers the local limit in favour of the data centre with the largest excess
// demand, if the local demand leaves enough. The caller holds a.mu.
func (a *account) planMove(now time.Time, dataCentres []string) (plannedMove, bool) {
	total := toMicroTokens(a.config.Rate)
	recipient, excess := a.mostInNeed(now)
	if recipient == "" || total == 0 || a.config.Burst <= 0 {
		return plannedMove{}, false
	}
	others := int64(len(dataCentres) - 1)
	floor := totalShare / int64(len(dataCentres)) / shareFloorDivisor
	keep := max(floor, toPPM(a.demand.rate(now)/4*5, total))
	// Only unused capacity is moved: tokens above a lowered capacity would be lost.
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

// recordRemoteDemand records the demand of another data centre above its share.
func (a *account) recordRemoteDemand(now time.Time, dc string, excess int64) {
	b, ok := a.remoteDemands[dc]
	if !ok || now.Sub(b.updated) > remoteDemandTTL {
		b.since = now
	}
	b.excess, b.updated = excess, now
	a.remoteDemands[dc] = b
}

// mostInNeed returns the data centre with the largest recent demand above its share,
// among those whose demand has lasted for at least minDemandDuration.
func (a *account) mostInNeed(now time.Time) (dc string, excess int64) {
	maps.DeleteFunc(a.remoteDemands, func(_ string, b remoteDemand) bool { return now.Sub(b.updated) > remoteDemandTTL })
	for _, name := range slices.Sorted(maps.Keys(a.remoteDemands)) {
		if b := a.remoteDemands[name]; b.excess > excess && b.updated.Sub(b.since) >= minDemandDuration {
			dc, excess = name, b.excess
		}
	}
	return dc, excess
}

// toPPM returns n in parts per million of total, at most totalShare.
func toPPM(n, total int64) int64 {
	return int64(min(1, float64(n)/float64(total)) * totalShare)
}

// commitMoves writes the moves in one transaction.
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
		m.readRows(ctx, m.home.accountsByName([]string{conflict.Key[len(shareRowPrefix):]}))
	case errors.Is(err, platform.ErrUnavailable):
		m.revertMoves(moves)
	default:
		m.opts.Logger.Info("share move has an unknown outcome; keeping the lowered limits", "accounts", len(moves), "error", err.Error())
	}
}

// finishMove ends a move once the row's current content is known.
func (a *account) finishMove(now time.Time, row *shareRow, version uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.pendingMove = nil
	a.adoptRow(now, row, version)
}

// revertMoves restores the limits of moves that are known to have had no effect.
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

// notifyRecipients asks the recipients to read their rows now instead of in a later
// round.
func (m *mover) notifyRecipients(ctx context.Context, moves []plannedMove) {
	names := map[string][]string{}
	for _, p := range moves {
		if assignment, ok := m.opts.Directory.Home(shardOf(p.recipient, p.account.name)); ok {
			names[assignment.Home.Addr] = append(names[assignment.Home.Addr], p.account.name)
		}
	}
	for addr, accounts := range names {
		if err := m.opts.callPeer(ctx, m.opts.CallTimeout, addr, "Refresh", &RefreshArgs{Accounts: accounts}, &RefreshReply{}); err != nil {
			m.opts.Logger.V(1).Info("failed to notify the recipient of shares", "home", addr, "error", err.Error())
		}
	}
}

// resolveMove determines the outcome of a move. If the row has not changed, the move
// may still take effect; a write conditional on the same version rules that out.
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
	m.opts.Logger.Info("share move resolved", "account", a.name, "generation", row.Generation)
}

// readRows reads the rows of accounts from the table and applies their shares.
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
			m.home.grantQueued(a, now)
		}
		a.mu.Unlock()
	}
}
