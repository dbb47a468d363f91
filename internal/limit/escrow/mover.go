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
	moveTime = time.Second
	// moveMembers is the number of members above which rounds are further apart, so
	// that the fleet's writes stay bounded.
	moveMembers = 50
	// moveRows bounds the rows written in one round.
	moveRows = 16
	// leastMove is the smallest change of a share, in parts per million.
	leastMove = whole / 100
	// shareFloor divides an equal share to give the least that a data centre keeps.
	shareFloor = 8
	// borrowerFresh is how long the demand of another data centre counts.
	borrowerFresh = 2 * time.Second
	// burstTime is how long demand must last before a share is moved.
	burstTime = time.Second
	// refreshFor is how long after a loan a row is read again in every round.
	refreshFor = 3 * time.Second
)

// mover moves shares of rate and burst to data centres that lack them. The giver
// lowers its own limit first and then writes the row; the taker raises its limit
// when it reads the row. Only the giver ever lowers its share in a row, so a row
// that is out of date never shows a home more than it has.
type mover struct {
	h *home
	o *Options
}

func (m *mover) run(ctx context.Context) error {
	for {
		tick := m.o.Clock.After(m.period())
		for due := false; !due; {
			select {
			case <-ctx.Done():
				return nil
			case name := <-m.h.stale:
				m.read(ctx, m.h.named(m.more(name)))
			case <-tick:
				due = true
			}
		}
		m.round(ctx)
	}
}

func (m *mover) period() time.Duration {
	n := len(m.o.Members.View().Peers) + 1
	return moveTime * time.Duration(max(1, n/moveMembers))
}

// more adds names that are waiting.
func (m *mover) more(name string) []string {
	names := []string{name}
	for len(names) < openBatch {
		select {
		case n := <-m.h.stale:
			names = append(names, n)
		default:
			return names
		}
	}
	return names
}

// refresh has rows read again.
func (h *home) refresh(names []string) {
	for _, n := range names {
		select {
		case h.stale <- n:
		default:
			return
		}
	}
}

func (h *home) named(names []string) []*account {
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
	now := m.o.Clock.Now()
	var unsettled, takers, rest []*account
	var moves []planned
	for _, a := range m.h.list() {
		a.mu.Lock()
		switch {
		case !a.opened || a.frozen || !m.h.mayGrant(a.key, a.epoch):
		case a.pending != nil:
			unsettled = append(unsettled, a)
		case now.Sub(a.borrowed) < refreshFor:
			takers = append(takers, a)
		case len(moves) < moveRows:
			if p, ok := a.planMove(now, m.o.DataCentres); ok {
				moves = append(moves, p)
				break
			}
			rest = append(rest, a)
		}
		a.mu.Unlock()
	}
	for _, a := range unsettled[:min(len(unsettled), moveRows)] {
		m.settle(ctx, a)
	}
	// Rows whose taker was not told are found in time: the list is in random order.
	takers = append(takers, rest...)
	m.read(ctx, takers[:min(len(takers), openBatch)])
	if len(moves) > 0 {
		m.commit(ctx, moves)
	}
}

// planned is a share move that the giver has prepared for.
type planned struct {
	account *account
	row     *shareRow
	version uint64 // that the row replaces
	taker   string
}

// planMove lowers the own limit in favour of the data centre that lacks most, if
// the own demand leaves enough. The caller holds a.mu.
func (a *account) planMove(now time.Time, dataCentres []string) (planned, bool) {
	total := micro(a.config.Rate)
	taker, excess := a.neediest(now)
	if taker == "" || total == 0 || a.config.Burst <= 0 {
		return planned{}, false
	}
	others := int64(len(dataCentres) - 1)
	floor := whole / int64(len(dataCentres)) / shareFloor
	keep := max(floor, ppmOf(a.demand.rate(now)/4*5, total))
	// Room that holds tokens stays: a cut level would be lost to everyone.
	room := a.bucket.Capacity() - a.bucket.Level(now) - a.bucket.Outstanding(now)
	delta := min(a.share-keep, ppmOf(excess, total)/others, ppmOf(room, micro(a.config.Burst)))
	if delta < leastMove {
		return planned{}, false
	}
	row := a.row.next()
	row.Shares[a.key.DataCentre] -= delta
	row.Shares[taker] += delta
	a.share -= delta
	a.pending = &move{version: a.version}
	a.apply(now)
	return planned{a, row, a.version, taker}, true
}

// noteBorrower records demand of another data centre above its share.
func (a *account) noteBorrower(now time.Time, dc string, excess int64) {
	b, ok := a.borrowers[dc]
	if !ok || now.Sub(b.at) > borrowerFresh {
		b.since = now
	}
	b.excess, b.at = excess, now
	a.borrowers[dc] = b
}

// neediest returns the data centre with the largest recent demand above its share
// that is more than a single burst.
func (a *account) neediest(now time.Time) (dc string, excess int64) {
	maps.DeleteFunc(a.borrowers, func(_ string, b borrower) bool { return now.Sub(b.at) > borrowerFresh })
	for _, name := range slices.Sorted(maps.Keys(a.borrowers)) {
		if b := a.borrowers[name]; b.excess > excess && b.at.Sub(b.since) >= burstTime {
			dc, excess = name, b.excess
		}
	}
	return dc, excess
}

// ppmOf returns n in parts per million of total, at most whole.
func ppmOf(n, total int64) int64 {
	return int64(min(1, float64(n)/float64(total)) * whole)
}

// commit writes the moves in one transaction.
func (m *mover) commit(ctx context.Context, moves []planned) {
	var t platform.Txn
	for _, p := range moves {
		key := rowPrefix + p.account.name
		t.Conditions = append(t.Conditions, platform.Condition{Key: key, Version: p.version})
		t.Writes = append(t.Writes, platform.Write{Key: key, Value: p.row.encode()})
	}
	version, err := m.o.commit(ctx, t)
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		for _, p := range moves {
			p.account.moved(m.o.Clock.Now(), p.row, version)
			m.o.Events.Add(event.Event{Kind: "limit.move", Account: p.account.name, Detail: "to " + p.taker})
		}
		m.tell(ctx, moves)
	case errors.As(err, &conflict):
		m.abandon(moves)
		m.read(ctx, m.h.named([]string{conflict.Key[len(rowPrefix):]}))
	case errors.Is(err, platform.ErrUnavailable):
		m.abandon(moves)
	default:
		m.o.Logger.Info("share move has an unknown outcome; limits stay low", "accounts", len(moves), "error", err.Error())
	}
}

// moved ends a move whose row is known to be in force.
func (a *account) moved(now time.Time, row *shareRow, version uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.pending = nil
	a.adopt(now, row, version)
}

// abandon restores the limits of moves that are known to have had no effect.
func (m *mover) abandon(moves []planned) {
	now := m.o.Clock.Now()
	for _, p := range moves {
		a := p.account
		a.mu.Lock()
		a.pending = nil
		a.share = a.row.Shares[a.key.DataCentre]
		a.apply(now)
		a.mu.Unlock()
	}
}

// tell has the takers read their rows. They read them in their next round anyway.
func (m *mover) tell(ctx context.Context, moves []planned) {
	names := map[string][]string{}
	for _, p := range moves {
		if as, ok := m.o.Directory.Home(keyOf(p.taker, p.account.name)); ok {
			names[as.Home.Addr] = append(names[as.Home.Addr], p.account.name)
		}
	}
	for addr, list := range names {
		if err := m.o.call(ctx, m.o.CallTime, addr, "Refresh", &RefreshArgs{Accounts: list}, &RefreshReply{}); err != nil {
			m.o.Logger.V(1).Info("taker of shares was not told", "home", addr, "error", err.Error())
		}
	}
}

// settle finds out what became of a move. If the row has not changed, the move may
// still arrive; a write of the same version rules that out.
func (m *mover) settle(ctx context.Context, a *account) {
	rows, err := m.o.get(ctx, []*account{a})
	if err != nil {
		return
	}
	row, ok, err := decodeRow(rows[0])
	if err != nil || !ok {
		return
	}
	a.mu.Lock()
	pending := a.pending
	a.mu.Unlock()
	if pending == nil {
		return
	}
	version := rows[0].Version
	if version == pending.version {
		row = row.next()
		key := rowPrefix + a.name
		version, err = m.o.commit(ctx, platform.Txn{
			Conditions: []platform.Condition{{Key: key, Version: version}},
			Writes:     []platform.Write{{Key: key, Value: row.encode()}},
		})
		if err != nil {
			return
		}
	}
	a.moved(m.o.Clock.Now(), row, version)
	m.o.Logger.Info("share move is settled", "account", a.name, "generation", row.Generation)
}

// read adopts the rows of accounts as they are in the table.
func (m *mover) read(ctx context.Context, accounts []*account) {
	if len(accounts) == 0 {
		return
	}
	rows, err := m.o.get(ctx, accounts)
	if err != nil {
		return
	}
	for i, a := range accounts {
		row, ok, err := decodeRow(rows[i])
		if err != nil || !ok {
			continue
		}
		a.mu.Lock()
		if a.opened && a.pending == nil {
			now := m.o.Clock.Now()
			a.adopt(now, row, rows[i].Version)
			m.h.pump(a, now)
		}
		a.mu.Unlock()
	}
}
