package member

import (
	"context"
	"slices"
	"strings"
	"time"

	"carawayrouter.example/router/internal/peer"
	"carawayrouter.example/router/internal/platform"
)

const (
	scanPage = 200 // rows per read

	// maxMissedRenewals is the number of renewals that an instance of another data
	// centre may miss before it is left out of the view.
	maxMissedRenewals = 4
	// maxPollers is the number of instances of a data centre that may become its poller.
	maxPollers = 3
	// stalePollerScans is the number of scan intervals for which a poller without a recent
	// scan is skipped.
	stalePollerScans = 5
	// maxScanAge is the number of scan intervals after which a scan counts as stale.
	maxScanAge = 3
	// changeLogSize is the number of changes that a peer may lag behind before it gets a
	// full reply.
	changeLogSize = 256
)

// SyncArgs requests the sessions that changed since a position in the change log.
type SyncArgs struct {
	Source uint64 // identifies the change log that Gen refers to
	Gen    uint64
}

// SyncReply answers SyncArgs. If Full is set, Sessions holds all known sessions.
type SyncReply struct {
	Fresh    bool // the callee scans the session rows and has a recent result
	Source   uint64
	Gen      uint64
	Full     bool
	Sessions []Session
	Removed  []string
}

// changeLog keeps the last changes of the known sessions.
type changeLog struct {
	source uint64
	gen    uint64
	names  [changeLogSize]string // name changed by generation g at g % changeLogSize
}

func newChangeLog(source uint64) changeLog { return changeLog{source: source} }

func (l *changeLog) set(s Session)      { l.add(s.Name) }
func (l *changeLog) remove(name string) { l.add(name) }

func (l *changeLog) add(name string) {
	l.gen++
	l.names[l.gen%changeLogSize] = name
}

// syncPosition is the position up to which another instance's change log was read.
type syncPosition struct{ source, gen uint64 }

// Sync returns the sessions that changed since the caller's position.
func (s *Service) Sync(args SyncArgs, reply *SyncReply) error {
	c := s.c
	c.mu.Lock()
	defer c.mu.Unlock()
	l := &c.changes
	now := c.opts.Clock.Now()
	reply.Source, reply.Gen = l.source, l.gen
	reply.Fresh = !c.lastScan.IsZero() && c.opts.Clock.Now().Sub(c.lastScan) <= maxScanAge*c.scanInterval
	if args.Source != l.source || args.Gen > l.gen || l.gen-args.Gen > changeLogSize {
		reply.Full = true
		for _, e := range c.known {
			if e.inDigest(c.self.DataCentre, now) {
				reply.Sessions = append(reply.Sessions, e.session)
			}
		}
		return nil
	}
	for g := args.Gen + 1; g <= l.gen; g++ {
		name := l.names[g%changeLogSize]
		if e := c.known[name]; e != nil && e.inDigest(c.self.DataCentre, now) {
			reply.Sessions = append(reply.Sessions, e.session)
		} else {
			reply.Removed = append(reply.Removed, name)
		}
	}
	return nil
}

// inDigest reports whether the entry is included in Sync replies. Suspicion of an
// instance of the own data centre is learnt through heartbeats only, so it does not
// matter here; an instance without an epoch is reported only by peers that hear it.
func (e *peerState) inDigest(dc string, now time.Time) bool {
	if e.session.Epoch == 0 {
		return now.Sub(e.lastHeard) < provisionalTTL/4
	}
	return e.session.DataCentre == dc || !e.suspect
}

// poller returns the instance that scans the session rows for its data centre: the
// first by name that is considered alive and was not found to have lost access to the
// store. Only the first maxPollers instances are eligible, to avoid a rush on the store
// at the end of an outage. other is false if the poller is this instance.
func (c *Controller) poller() (s Session, other bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := []Session{c.self}
	for _, e := range c.known {
		if !e.suspect && e.session.Epoch > 0 && e.session.DataCentre == c.self.DataCentre {
			all = append(all, e.session)
		}
	}
	slices.SortFunc(all, func(a, b Session) int { return strings.Compare(a.Name, b.Name) })
	now := c.opts.Clock.Now()
	for _, m := range all[:min(len(all), maxPollers)] {
		if m.Name == c.self.Name {
			return m, false
		}
		if since, stale := c.stalePollers[m.Name]; !stale || now.Sub(since) > stalePollerScans*c.opts.ScanEvery {
			return m, true
		}
	}
	return all[0], true
}

// scanRound reads the session rows if this instance is the poller, and otherwise syncs
// from the poller.
func (c *Controller) scanRound(ctx context.Context) {
	now := c.opts.Clock.Now()
	c.mu.Lock()
	due := !now.Before(c.nextScan)
	c.mu.Unlock()
	if !due {
		return
	}
	next := c.opts.ScanEvery
	if p, other := c.poller(); other {
		c.pull(ctx, p)
	} else {
		var ok bool
		if next, ok = c.scan(ctx); !ok {
			c.pullFromAnyPeer(ctx)
		}
	}
	next = c.jitter(next)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nextScan = now.Add(next)
}

// scan reads all session rows and returns the time until the next scan. The time keeps
// the rate of rows read by the pollers of all data centres within ScanRowsPerSec.
func (c *Controller) scan(ctx context.Context) (next time.Duration, ok bool) {
	start := c.opts.Clock.Now()
	rows, err := c.readRows(ctx)
	if err != nil {
		c.opts.Logger.V(1).Info("reading session rows failed", "error", err.Error())
		return max(c.opts.ScanEvery, c.scanInterval), false
	}
	c.mutate(func() { c.mergeScan(rows, start) })
	dcs := map[string]bool{}
	for _, r := range rows {
		dcs[r.DataCentre] = true
	}
	budgeted := time.Duration(len(rows)*len(dcs)) * time.Second / time.Duration(c.opts.ScanRowsPerSec)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastScan, c.scanInterval = c.opts.Clock.Now(), max(c.opts.ScanEvery, budgeted)
	return c.scanInterval, true
}

// versionedRow is a session row with its version in the store.
type versionedRow struct {
	Row
	version uint64
}

// readRows returns all rows of registered sessions, released ones included.
func (c *Controller) readRows(ctx context.Context) ([]versionedRow, error) {
	var out []versionedRow
	for after := ""; ; {
		pageCtx, cancel := context.WithTimeout(ctx, c.opts.StoreTimeout)
		page, err := c.opts.Table.Scan(pageCtx, RowPrefix, after, scanPage)
		cancel()
		if err != nil {
			return nil, err
		}
		for _, r := range page {
			out = appendRow(out, r)
			after = r.Key
		}
		if len(page) < scanPage {
			return out, nil
		}
	}
}

func appendRow(out []versionedRow, r platform.Row) []versionedRow {
	row, err := ParseRow(r)
	if err != nil || row.Epoch == 0 {
		return out
	}
	return append(out, versionedRow{Row: row, version: r.Version})
}

// mergeScan applies the rows read by a scan that began at start. The caller holds mu.
func (c *Controller) mergeScan(rows []versionedRow, start time.Time) {
	now := c.opts.Clock.Now()
	seen := map[string]bool{}
	for _, r := range rows {
		if r.Released || r.Name == c.self.Name {
			continue
		}
		seen[r.Name] = true
		e := c.upsertPeer(r.Session())
		if e.version != r.version || e.changedAt.IsZero() {
			e.version, e.changedAt = r.version, now
		}
		if r.DataCentre == c.self.DataCentre {
			continue
		}
		stale := now.Sub(e.changedAt) > maxMissedRenewals*c.opts.RenewEvery
		if stale != e.suspect {
			e.suspect = stale
			c.changes.set(e.session)
		}
	}
	for name, e := range c.known {
		if !seen[name] && e.session.Epoch > 0 && e.lastHeard.Before(start) {
			c.removePeer(name)
		}
	}
}

// upsertPeer records a session read from the store or reported by a peer. The caller
// holds mu.
func (c *Controller) upsertPeer(s Session) *peerState {
	e := c.known[s.Name]
	if e == nil {
		e = &peerState{}
		c.known[s.Name] = e
	}
	if s.Epoch > e.session.Epoch || e.session.Name == "" {
		*e = peerState{session: s}
		c.changes.set(s)
		if s.Epoch == 0 {
			e.lastHeard = c.opts.Clock.Now().Add(-provisionalTTL / 2) // leaves time to hear it
		}
	}
	return e
}

func (c *Controller) removePeer(name string) {
	delete(c.stalePollers, name)
	delete(c.known, name)
	c.changes.remove(name)
}

// pull syncs from another instance and applies the changes.
func (c *Controller) pull(ctx context.Context, from Session) {
	c.mu.Lock()
	args := SyncArgs{Source: c.synced.source, Gen: c.synced.gen}
	start := c.opts.Clock.Now()
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(peer.Idempotent(ctx), c.opts.CallTimeout)
	defer cancel()
	var reply SyncReply
	err := c.opts.Caller.Call(ctx, from.Addr, serviceName+".Sync", args, &reply)
	if err != nil || !reply.Fresh {
		c.mutate(func() { c.stalePollers[from.Name] = c.opts.Clock.Now() })
	}
	if err != nil {
		return
	}
	c.mutate(func() {
		reported := map[string]bool{from.Name: true}
		for _, s := range reply.Sessions {
			reported[s.Name] = true
			if s.Name != c.self.Name {
				c.upsertPeer(s).clearSuspicion(c.self.DataCentre)
			}
		}
		if !reply.Fresh {
			return // the list may be incomplete, so nothing is removed
		}
		delete(c.stalePollers, from.Name)
		c.synced = syncPosition{source: reply.Source, gen: reply.Gen}
		for _, name := range reply.Removed {
			c.removeUnlessHeard(name, start)
		}
		if !reply.Full {
			return
		}
		for name := range c.known {
			if !reported[name] {
				c.removeUnlessHeard(name, start)
			}
		}
	})
}

// pullFromAnyPeer syncs from a random peer of the data centre. It is used while the
// store is down and matters most to processes that started during the outage.
func (c *Controller) pullFromAnyPeer(ctx context.Context) {
	c.mu.Lock()
	var peers []Session
	for _, e := range c.known {
		if !e.suspect && e.session.DataCentre == c.self.DataCentre {
			peers = append(peers, e.session)
		}
	}
	if len(peers) == 0 {
		c.mu.Unlock()
		return
	}
	slices.SortFunc(peers, func(a, b Session) int { return strings.Compare(a.Name, b.Name) })
	from := peers[c.opts.Rand.IntN(len(peers))]
	c.mu.Unlock()
	c.pull(ctx, from)
}

// clearSuspicion marks an instance of another data centre as alive.
func (e *peerState) clearSuspicion(dc string) {
	if e.session.DataCentre != dc {
		e.suspect = false
	}
}

// removeUnlessHeard removes an instance that the poller no longer lists, unless it was
// heard recently. The caller holds mu.
func (c *Controller) removeUnlessHeard(name string, since time.Time) {
	if e := c.known[name]; e != nil && e.lastHeard.Before(since.Add(-c.opts.SuspectAfter)) {
		c.removePeer(name)
	}
}
