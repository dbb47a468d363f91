package gateway

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
)

// An instance that is killed for good leaves its row in the store. The row is removed, and the instance
// counted out, by a lease that the instance says in its row:
//
//   - An instance holds its lease for the row's lease time from the moment before it sent its last write of
//     the row, if the write was acknowledged and the rows were read after it.
//   - Without it, it grants tokens for as long as it has heard all the others that it knows within a lease
//     time, each of them once at least. From then on it is suspended: it grants none until it has renewed its row and the others know
//     it again.
//   - Its row is removed by an instance that holds a lease, and has seen the row unchanged and has not
//     heard it for its lease time and removalMargin. The others count it out when its row is gone.
//
// An instance that another one does not hear does not hear that one either, so it is suspended when it is
// counted out: the other one has been silent to it as long. What is left is an instance that it does not know: see
// peers.establish.
const (
	// removalMargin is for what is in transit when two instances cease to hear each other.
	removalMargin = 3 * time.Second
	// introductionTime is how long an instance waits that has never heard another one: one that is cut off from the
	// store learns of instances that start from those that it hears.
	introductionTime = 4 * time.Second
	// maxReadAge is the greatest age of rows from which an instance is counted out.
	maxReadAge = 2 * time.Second
	// rejoinIntervals is how long an instance that was counted out, and does not hear all others, waits
	// after it has written its row again, in intervals between two reads of the rows.
	rejoinIntervals = 2
)

// lease is what an instance knows of its own lease.
type lease struct {
	until       time.Time // zero before the row was written for the first time
	era         uint64    // of the store
	version     uint64    // of the own row
	suspended   bool
	renewedAt   time.Time // when the row was written again after it had been removed; zero while it was not
	established bool

	clock    time.Duration // of the store, when it was read last; 0 if not known
	clockAt  time.Time     // when the answer arrived
	clockEra uint64
}

// readClock records the store's clock from an answer.
func (l *lease) readClock(sentAt, now time.Time, rows []Row, at Position) {
	if len(rows) > 0 && now.Sub(sentAt) <= maxReadAge {
		l.clock, l.clockAt, l.clockEra = rows[0].ReadAt, now, at.Era
	}
}

// leaseTime returns the time for which a write of the own row holds. The caller holds the lock.
func (p *peers) leaseTime() time.Duration {
	return max(peerTTL, time.Duration(rowTTLIntervals*float64(registerIntervalOf(p.writingFleet(time.Now())))))
}

// writingFleet returns the number of instances that may write their rows, including this one. The caller holds the
// lock.
func (p *peers) writingFleet(now time.Time) int {
	n := 1
	for _, x := range p.known {
		if x.row.LeaseMillis == 0 || p.isAssumedToWrite(now, x) {
			n++
		}
	}
	return n
}

func (p *peers) isAssumedToWrite(now time.Time, x *peer) bool {
	return x.update != nil && x.silentFor(now) < x.row.leaseOf() || p.unwrittenFor(now, x) < x.row.leaseOf()
}

// unwrittenFor returns for how long an instance has not written its row, as far as this one can tell.
func (p *peers) unwrittenFor(now time.Time, x *peer) time.Duration {
	unwritten := now.Sub(x.rowChangedAt)
	if x.row.WrittenMillis > 0 && x.row.WrittenEra == p.era && x.rowVersion != 0 {
		// In a later era the row may have been written again, and that write have been lost.
		unwritten = max(unwritten, x.rowReadAt-time.Duration(x.row.WrittenMillis)*time.Millisecond)
	}
	return unwritten
}

// leaseOf returns the lease time that the row says; 0 in the rows of builds that do not keep to one.
func (r *instanceRow) leaseOf() time.Duration { return time.Duration(r.LeaseMillis) * time.Millisecond }

// silentFor returns for how long the instance has not been heard, or how long it is known if it never was.
func (x *peer) silentFor(now time.Time) time.Duration {
	if x.lastUpdateAt.After(x.foundAt) {
		return now.Sub(x.lastUpdateAt)
	}
	return now.Sub(x.foundAt)
}

// isSuspended reports whether this instance may have been counted out, and so grants no tokens.
func (p *peers) isSuspended(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.checkLease(now)
	return p.lease.suspended
}

// checkLease suspends the instance if another one may have counted it out, and ends that when all others know
// it again. It has to be called before an update is applied: those that were waiting while this instance was frozen
// do not show that it was heard meanwhile. The caller holds the lock.
func (p *peers) checkLease(now time.Time) {
	l := &p.lease
	if l.until.IsZero() {
		return // it has no row that could be removed
	}
	valid := now.Before(l.until)
	switch {
	case !l.suspended && !valid:
		for name, x := range p.known {
			if !x.leaving && x.row.LeaseMillis > 0 && (x.update == nil || x.silentFor(now) >= p.leaseTime()) {
				l.suspended = true
				p.log.Info("quota.suspended", "silent", name, "silent_ms", x.silentFor(now).Milliseconds(), "lapsed_ms", now.Sub(l.until).Milliseconds())
				return
			}
		}
	case l.suspended && valid && (l.renewedAt.IsZero() || p.rejoined(now)):
		l.suspended, l.renewedAt = false, time.Time{}
		p.log.Info("quota.resumed")
	}
}

// rejoined reports whether the others know this instance again. The caller holds the lock.
func (p *peers) rejoined(now time.Time) bool {
	if now.Sub(p.lease.renewedAt) >= rejoinIntervals*registerIntervalOf(p.writingFleet(time.Now())) {
		return true
	}
	for _, x := range p.known {
		if !x.leaving && !x.lastUpdateAt.After(p.lease.renewedAt) {
			return false
		}
	}
	return true
}

// writeRow writes the own row. A lease that has ended is renewed without notice of the others only if the row is still
// the one that was written last: then nobody has counted this instance out.
func (p *peers) writeRow(ctx context.Context, now time.Time) (leaseTime time.Duration, err error) {
	p.mu.Lock()
	leaseTime = p.leaseTime()
	l := &p.lease
	if until := now.Add(leaseTime); until.Before(l.until) {
		l.until = until // others may read the shorter lease and not its acknowledgement
	}
	lapsed := !l.until.IsZero() && !now.Before(l.until)
	era, version := l.era, l.version
	p.self.LeaseMillis, p.self.Established = leaseTime.Milliseconds(), l.established
	if l.clock > 0 {
		p.self.WrittenMillis, p.self.WrittenEra = (l.clock + now.Sub(l.clockAt)).Milliseconds(), l.clockEra
	}
	row := p.self
	p.mu.Unlock()
	value, err := json.Marshal(row)
	if err != nil {
		return 0, errors.Wrap(err, "encode instance row")
	}
	if lapsed {
		same, err := p.s.store.Replace(ctx, Instances, p.s.settings.Instance, value, Position{Era: era, Version: version})
		if err != nil {
			return 0, err
		}
		if same {
			return leaseTime, nil
		}
		p.mu.Lock()
		l.suspended, l.renewedAt = true, time.Time{}
		p.mu.Unlock()
	}
	if err := p.s.store.Put(ctx, Instances, p.s.settings.Instance, value); err != nil {
		return 0, err
	}
	if lapsed {
		p.mu.Lock()
		l.renewedAt = time.Now()
		p.mu.Unlock()
	}
	return leaseTime, nil
}

// renewLease records that the row which was sent at a time has been written, and the rows were read after it.
func (p *peers) renewLease(sentAt time.Time, leaseTime time.Duration, rows []Row, at Position) {
	p.mu.Lock()
	defer p.mu.Unlock()
	until := sentAt.Add(leaseTime)
	if !time.Now().Before(until) {
		return // the row may have been removed in between
	}
	for _, r := range rows {
		if r.Key == p.s.settings.Instance {
			p.lease.until, p.lease.era, p.lease.version = until, at.Era, r.Version
		}
	}
}

// establish records whether this instance has been in touch with the fleet as it was before. The instances of a fleet that
// is cut off from the store as a whole hear all that they know, and go on. One that starts beyond the cut is not
// known to them; it counts nobody out until it has heard one that was established. A fleet is established by its first
// instances, and by those that come back under their name. The caller holds the lock.
func (p *peers) establish(rows []Row) {
	for _, x := range p.known {
		p.establishBy(x)
	}
	if p.lease.until.IsZero() {
		others := 0
		for _, r := range rows {
			var row instanceRow
			if r.Key != p.s.settings.Instance {
				others++
			} else if json.Unmarshal(r.Value, &row) == nil && (row.Established || row.LeaseMillis == 0) {
				p.lease.established = true
			}
		}
		p.lease.established = p.lease.established || others == 0
	}
}

// establishBy records that an instance was heard. The caller holds the lock.
func (p *peers) establishBy(x *peer) {
	if p.lease.established || x.update == nil || x.row.Updates == "" || !x.row.Established && x.row.LeaseMillis > 0 {
		return
	}
	p.lease.established = true
	signal(p.rowNeeded) // the row says so
}

// isNewlyEstablished reports whether the own row does not say yet that the instance is established.
func (p *peers) isNewlyEstablished() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lease.established && !p.self.Established
}

// isSilentBeyondLease reports whether an instance has neither written its row nor been heard for so long that it is
// suspended. What it granted before stays counted. The caller holds the lock.
func (p *peers) isSilentBeyondLease(now time.Time, x *peer) bool {
	after := x.row.leaseOf() + removalMargin
	unwritten := p.unwrittenFor(now, x)
	if x.update == nil {
		// It was lost before this instance started, or does not hear it: see checkLease.
		return unwritten >= after && now.Sub(p.started) >= introductionTime && now.Sub(x.foundAt) >= introductionTime
	}
	return unwritten >= after && x.silentFor(now) >= after
}

// isDoubted reports whether an instance that is heard counts as silent: it has lost the store, so that one that does not
// hear it may count it out and take its share, which must not be used here then. The caller holds the lock.
func (p *peers) isDoubted(now time.Time, x *peer) bool {
	return x.row.LeaseMillis > 0 && now.Before(p.lease.until) && p.unwrittenFor(now, x) >= x.row.leaseOf()
}

// isGone reports whether the row of an instance, read by a call that was sent at a time, is to be removed. The caller
// holds the lock.
func (p *peers) isGone(sentAt time.Time, x *peer) bool {
	return p.lease.established && !p.lease.suspended && x.row.LeaseMillis > 0 && p.isSilentBeyondLease(sentAt, x)
}

// removeGone removes the rows of instances that are gone.
func (p *peers) removeGone(ctx context.Context, gone map[string]Position) {
	for name, at := range gone {
		removed, err := p.s.store.Replace(ctx, Instances, name, nil, at)
		if err != nil {
			p.log.Info("instance.row_not_removed", "instance", name, "cause", err.Error())
			return // the next read shows whether it was
		}
		if !removed {
			continue
		}
		p.log.Info("instance.row_removed", "instance", name)
		p.s.stats.rowsRemoved.Inc()
		p.mu.Lock()
		if x := p.known[name]; x != nil && x.rowVersion == at.Version && x.silentFor(time.Now()) >= x.row.leaseOf() {
			delete(p.known, name)
			p.changes.forgotten++
		}
		p.mu.Unlock()
		p.forgetInstance(name)
	}
	if len(gone) > 0 {
		p.s.updateFleet(time.Now())
	}
}

// learnInstances asks an instance that is heard for those that it knows: without the store this one would not
// learn of instances that start.
func (p *peers) learnInstances(now time.Time) {
	p.mu.Lock()
	addr := ""
	if p.lease.until.Before(now) {
		for _, x := range p.known {
			if !x.leaving && x.update != nil && now.Sub(x.lastUpdateAt) <= peerSilenceLimit {
				addr = x.row.State
				break
			}
		}
	}
	p.mu.Unlock()
	if addr == "" {
		return
	}
	if err := p.fetch(addr); err != nil {
		p.log.V(1).Info("state.not_fetched", "addr", addr, "cause", err.Error())
	}
}

// rowWait returns the longest time until the rows are read again: rows of instances that were lost before this one
// started may be removed right after introductionTime.
func (p *peers) rowWait(now time.Time) time.Duration {
	wait := p.registerInterval()
	if left := introductionTime - now.Sub(p.started); left > 0 {
		wait = min(wait, left+minIntroductionWait)
	}
	return wait
}

const minIntroductionWait = 200 * time.Millisecond
