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
	scanPage = 200 // rows in one read

	// maxMissedRenewals is the number of renewals that an instance of another data
	// centre may miss before it is left out of the view.
	maxMissedRenewals = 4
	// maxPollers is the number of instances of a data centre that may scan at all.
	maxPollers = 3
	// stalePollerScans is the number of scan intervals for which a poller that has not scanned
	// lately is passed by.
	stalePollerScans = 5
	// maxScanAge is the number of scan intervals after which a scan is old.
	maxScanAge = 3
	// changeLogSize is the number of changes that a puller may lag behind.
	changeLogSize = 256
)

// SyncArgs asks for the sessions that changed since a position.
type SyncArgs struct {
	Source uint64 // identifies the history that Gen counts in
	Gen    uint64
}

// SyncReply answers SyncArgs. With Full, Sessions holds all there are.
type SyncReply struct {
	Fresh    bool // the callee scans, and has lately succeeded
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
	names  [changeLogSize]string // name changed by generation g at g % historySize
}

func newChangeLog(source uint64) changeLog { return changeLog{source: source} }

func (h *changeLog) set(s Session)      { h.add(s.Name) }
func (h *changeLog) remove(name string) { h.add(name) }

func (h *changeLog) add(name string) {
	h.gen++
	h.names[h.gen%changeLogSize] = name
}

// syncPosition is how far this instance has followed another's history.
type syncPosition struct{ source, gen uint64 }

// Sync gives a peer the sessions that changed.
func (s *Service) Sync(args SyncArgs, reply *SyncReply) error {
	c := s.c
	c.mu.Lock()
	defer c.mu.Unlock()
	h := &c.changes
	now := c.opts.Clock.Now()
	reply.Source, reply.Gen = h.source, h.gen
	reply.Fresh = !c.lastScan.IsZero() && c.opts.Clock.Now().Sub(c.lastScan) <= maxScanAge*c.scanInterval
	if args.Source != h.source || args.Gen > h.gen || h.gen-args.Gen > changeLogSize {
		reply.Full = true
		for _, e := range c.known {
			if e.inDigest(c.self.DataCentre, now) {
				reply.Sessions = append(reply.Sessions, e.session)
			}
		}
		return nil
	}
	for g := args.Gen + 1; g <= h.gen; g++ {
		name := h.names[g%changeLogSize]
		if e := c.known[name]; e != nil && e.inDigest(c.self.DataCentre, now) {
			reply.Sessions = append(reply.Sessions, e.session)
		} else {
			reply.Removed = append(reply.Removed, name)
		}
	}
	return nil
}

// inDigest reports whether the entry belongs into a digest. Whether an instance of
// the own data centre is suspect is learnt by heartbeats alone; one without an epoch
// is passed on only by those that hear it.
func (e *peerState) inDigest(dc string, now time.Time) bool {
	if e.session.Epoch == 0 {
		return now.Sub(e.lastHeard) < provisionalTTL/4
	}
	return e.session.DataCentre == dc || !e.suspect
}

// poller returns the instance that scans the session rows for its data centre: the
// first by name that is believed alive and was not found to have lost the table. At
// most maxPollers instances step in, so that the end of an outage brings no rush.
// other is false if the poller is this instance.
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
		if since, unfit := c.stalePollers[m.Name]; !unfit || now.Sub(since) > stalePollerScans*c.opts.ScanEvery {
			return m, true
		}
	}
	return all[0], true
}

// scanRound reads the session rows, or asks the poller what it has read.
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

// scan reads all session rows and returns the time until the next scan, which keeps
// the rows read by the pollers of all data centres within ScanRowsPerSec.
func (c *Controller) scan(ctx context.Context) (next time.Duration, ok bool) {
	start := c.opts.Clock.Now()
	rows, err := c.readRows(ctx)
	if err != nil {
		c.opts.Logger.V(1).Info("session rows not read", "error", err.Error())
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

// versionedRow is a session row with its version.
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

// mergeScan takes over what a scan begun at start has read. The caller holds mu.
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

// upsertPeer records a session read from the table or told by the poller. The caller
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
			e.lastHeard = c.opts.Clock.Now().Add(-provisionalTTL / 2) // time to hear it
		}
	}
	return e
}

func (c *Controller) removePeer(name string) {
	delete(c.stalePollers, name)
	delete(c.known, name)
	c.changes.remove(name)
}

// pull asks the poller for the sessions that changed.
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
			return // what it does not list may exist
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

// pullFromAnyPeer asks some peer of the data centre for the sessions that it knows. It serves
// while the table is down, above all to processes that started meanwhile.
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

// clearSuspicion clears the suspicion of an instance of another data centre.
func (e *peerState) clearSuspicion(dc string) {
	if e.session.DataCentre != dc {
		e.suspect = false
	}
}

// removeUnlessHeard forgets an instance that the poller no longer lists. The caller
// holds mu.
func (c *Controller) removeUnlessHeard(name string, since time.Time) {
	if e := c.known[name]; e != nil && e.lastHeard.Before(since.Add(-c.opts.SuspectAfter)) {
		c.removePeer(name)
	}
}
