package shard

import (
	"bytes"
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"carawayrouter.example/router/internal/member"
	"carawayrouter.example/router/internal/platform"
)

// Round runs one round: it reads rows if that is due, then claims and hands over
// shards.
func (c *Controller) Round(ctx context.Context) {
	c.roundMu.Lock()
	defer c.roundMu.Unlock()
	c.refreshLocal(ctx)
	select {
	case <-c.opts.Members.Fenced():
		c.loseAll()
		return
	default:
	}
	session, ok := c.opts.Members.ActiveEpoch()
	if !ok {
		return
	}
	v := c.opts.Members.View()
	members := c.remainingMembers(v)
	if session != v.Self.Epoch {
		return // the view is older than the session
	}
	c.trackMembers(members)
	intended := c.currentPlacement(members)
	c.claim(ctx, v.Self, members, intended)
	c.handOver(ctx, v.Self, members, intended)
	c.retryReleases(ctx)
}

// registered returns the members that have a fencing epoch.
func registered(all []member.Session) []member.Session {
	return slices.DeleteFunc(slices.Clone(all), func(s member.Session) bool { return s.Epoch == 0 })
}

// remainingMembers returns the registered members of the data centre that are not
// releasing all their shards.
func (c *Controller) remainingMembers(v *member.View) []member.Session {
	members := registered(v.InDataCentre(c.dc))
	c.mu.Lock()
	defer c.mu.Unlock()
	present := map[string]uint64{}
	for _, m := range members {
		if epoch, ok := c.departing[m.Name]; ok && epoch >= m.Epoch {
			present[m.Name] = epoch
		}
	}
	c.departing = present
	return slices.DeleteFunc(members, func(m member.Session) bool {
		_, ok := present[m.Name]
		return ok
	})
}

// currentPlacement returns the placement for the members, recomputed if they changed.
func (c *Controller) currentPlacement(members []member.Session) placement {
	if !slices.Equal(members, c.placedFor) {
		c.placedFor, c.lastPlacement = members, place(members)
	}
	return c.lastPlacement
}

func (c *Controller) loseAll() {
	c.mu.Lock()
	for k := range c.held {
		c.lose(k)
	}
	c.mu.Unlock()
	c.runHooks()
}

// trackMembers records since when each member has been in the view.
func (c *Controller) trackMembers(members []member.Session) {
	c.mu.Lock()
	defer c.mu.Unlock()
	seen := map[string]memberSighting{}
	for _, m := range members {
		s, ok := c.memberSince[m.Name]
		if !ok || s.epoch != m.Epoch {
			s = memberSighting{epoch: m.Epoch, since: c.opts.Clock.Now()}
		}
		seen[m.Name] = s
	}
	c.memberSince = seen
	maps.DeleteFunc(c.stalePollers, func(name string, _ time.Time) bool {
		_, present := seen[name]
		return !present
	})
}

// claim takes the claimable shards that have no home or whose home is proved to be dead.
func (c *Controller) claim(ctx context.Context, self member.Session, members []member.Session, intended placement) {
	alive := map[string]member.Session{}
	for _, m := range members {
		alive[m.Name] = m
	}
	checked := map[member.Session]bool{}
	var claims []Record
	for _, r := range c.claimable(self, members, alive, intended) {
		if !r.released() {
			dead, known := checked[r.Home]
			if !known {
				dead = c.provedDead(ctx, r.Home)
				checked[r.Home] = dead
			}
			if !dead {
				continue
			}
		}
		claims = append(claims, r)
	}
	if len(claims) == 0 {
		return
	}
	if err := c.writeClaims(ctx, self, claims); err == nil || len(claims) == 1 {
		return
	}
	for _, r := range claims { // a conflict on one row must not prevent the other claims
		_ = c.writeClaims(ctx, self, []Record{r})
	}
}

func (c *Controller) provedDead(ctx context.Context, s member.Session) bool {
	ctx, cancel := context.WithTimeout(ctx, c.opts.StoreTimeout)
	defer cancel()
	dead, err := c.opts.Members.Dead(ctx, s)
	return err == nil && dead
}

// claimable returns the rows whose home is not in the view and that this member may
// claim by now: immediately if the placement names it, else after ClaimDelay for each rank
// of the members' ranking up to its own.
func (c *Controller) claimable(
	self member.Session, members []member.Session, alive map[string]member.Session, intended placement,
) []Record {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.loaded || c.leaving {
		return nil
	}
	now := c.opts.Clock.Now()
	var out []Record
	for i := range Count {
		k := Key{DataCentre: c.dc, Index: i}
		r, ok := c.records[k]
		if !ok {
			r = Record{Assignment: Assignment{Key: k}}
		}
		if _, releasing := c.releasing[k]; releasing {
			continue
		}
		if a, ok := alive[r.Home.Name]; ok && a.Epoch <= r.Home.Epoch && !r.released() {
			delete(c.orphanedSince, k)
			continue
		}
		since, ok := c.orphanedSince[k]
		if !ok {
			since = now
			c.orphanedSince[k] = now
		}
		rank := slices.Index(ranking(i, members), self.Name) + 1
		if intended[i] == self.Name {
			rank = 0
		}
		if now.Sub(since) >= time.Duration(rank)*c.opts.ClaimDelay {
			out = append(out, r)
		}
	}
	return out
}

// writeClaims writes this session into rows on condition that they are unchanged, and
// increments their epochs.
func (c *Controller) writeClaims(ctx context.Context, self member.Session, rows []Record) error {
	self.Process = 0 // not in the row
	next := make([]Record, len(rows))
	for i, r := range rows {
		next[i] = Record{Assignment: Assignment{Key: r.Key, Home: self, Epoch: r.Epoch + 1}}
	}
	return c.commit(ctx, rows, next)
}

// commit replaces rows by next and updates the records to what is in the store
// afterwards, whatever the outcome.
func (c *Controller) commit(ctx context.Context, rows, next []Record) error {
	var txn platform.Txn
	for i, r := range rows {
		w := next[i].write()
		txn.Writes = append(txn.Writes, w)
		txn.Conditions = append(txn.Conditions, platform.Condition{Key: w.Key, Version: r.Version})
	}
	ctx, cancel := context.WithTimeout(ctx, c.opts.StoreTimeout)
	defer cancel()
	version, err := c.opts.Table.Commit(ctx, txn)
	if err != nil {
		return c.resolveOutcome(ctx, txn, err)
	}
	for i := range next {
		next[i].Version = version
	}
	c.updateRecords(next)
	return nil
}

// resolveOutcome reads the rows of a transaction that failed or whose outcome is
// unknown. If it takes effect after that, the next scan sees it.
func (c *Controller) resolveOutcome(ctx context.Context, txn platform.Txn, err error) error {
	keys := make([]string, len(txn.Writes))
	for i, w := range txn.Writes {
		keys[i] = w.Key
	}
	rows, readErr := c.opts.Table.Get(ctx, keys...)
	if readErr != nil {
		return err
	}
	var found []Record
	applied := true
	for i, r := range rows {
		applied = applied && bytes.Equal(r.Value, txn.Writes[i].Value)
		k, _ := parseKey(r.Key)
		if rec, parseErr := parseRow(k, r); parseErr == nil {
			found = append(found, rec)
		}
	}
	c.updateRecords(found)
	if applied && errors.Is(err, platform.ErrUnknownOutcome) {
		return nil
	}
	return err
}

func (c *Controller) updateRecords(rows []Record) {
	c.mu.Lock()
	for _, r := range rows {
		c.updateRecord(r)
	}
	c.mu.Unlock()
	c.runHooks()
}

// handOver releases some of the shards that are placed on another member, once that
// member has been in the view for StableFor and confirms that it can take them.
func (c *Controller) handOver(ctx context.Context, self member.Session, members []member.Session, intended placement) {
	to, keys := c.pickHandOver(self, members, intended)
	if len(keys) == 0 {
		return
	}
	if !c.ready(ctx, to, keys[0]) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.notReady[to.Name] = c.opts.Clock.Now()
		return
	}
	c.runReleaseHooks(keys)
	if c.release(ctx, keys) == nil {
		c.offer(ctx, keys, intended, members)
	}
}

// runReleaseHooks calls the OnRelease hooks for shards that are about to be released.
func (c *Controller) runReleaseHooks(keys []Key) {
	for _, k := range keys {
		epoch, held := c.Held(k)
		if !held {
			continue
		}
		for _, hook := range c.onRelease {
			hook(k, epoch)
		}
	}
}

// pickHandOver picks shards to hand over to one member. A member that was not ready
// recently is skipped.
func (c *Controller) pickHandOver(
	self member.Session, members []member.Session, intended placement,
) (to member.Session, keys []Key) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.opts.Clock.Now()
	if now.Before(c.handOverAfter) || c.leaving {
		return to, nil
	}
	for i := range Count {
		k := Key{DataCentre: c.dc, Index: i}
		name := intended[i]
		if _, held := c.held[k]; !held || name == self.Name || len(keys) == c.opts.HandOverBatch {
			continue
		}
		if now.Sub(c.memberSince[name].since) < c.opts.StableFor || now.Sub(c.notReady[name]) < notReadyTTL {
			continue
		}
		if to.Name == "" {
			at := slices.IndexFunc(members, func(m member.Session) bool { return m.Name == name })
			to = members[at]
		}
		if to.Name == name {
			keys = append(keys, k)
		}
	}
	if len(keys) > 0 {
		c.handOverAfter = now.Add(c.opts.HandOverEvery)
	}
	maps.DeleteFunc(c.notReady, func(_ string, at time.Time) bool { return now.Sub(at) >= notReadyTTL })
	return to, keys
}

// release releases shards, first locally and then in the store. This process no longer
// holds any of them from the start, whatever the outcome of the write.
func (c *Controller) release(ctx context.Context, keys []Key) error {
	var rows, next []Record
	c.mu.Lock()
	for _, k := range keys {
		r := c.records[k]
		if _, held := c.held[k]; held {
			c.lose(k)
		}
		c.releasing[k] = r.Version
		rows = append(rows, r)
		next = append(next, Record{Assignment: Assignment{Key: k, Epoch: r.Epoch}})
	}
	c.mu.Unlock()
	c.runHooks()
	if len(rows) == 0 {
		return nil
	}
	return c.commit(ctx, rows, next)
}

// retryReleases repeats the releases that may not have been written.
func (c *Controller) retryReleases(ctx context.Context) {
	c.mu.Lock()
	var keys []Key
	for k := range c.releasing {
		keys = append(keys, k)
	}
	c.mu.Unlock()
	slices.SortFunc(keys, func(a, b Key) int { return strings.Compare(a.String(), b.String()) })
	_ = c.release(ctx, keys)
}

// Release releases all shards at shutdown and offers them to the members on which they
// are placed. It must be called before the session is released.
func (c *Controller) Release(ctx context.Context) error {
	c.roundMu.Lock()
	defer c.roundMu.Unlock()
	c.mu.Lock()
	c.leaving = true
	var keys []Key
	for k := range c.held {
		keys = append(keys, k)
	}
	c.mu.Unlock()
	slices.SortFunc(keys, func(a, b Key) int { return strings.Compare(a.String(), b.String()) })
	err := c.release(ctx, keys)
	v := c.opts.Members.View()
	others := slices.DeleteFunc(registered(v.InDataCentre(c.dc)), func(s member.Session) bool { return s.Name == v.Self.Name })
	c.offer(ctx, keys, place(others), others)
	return errors.Wrap(err, "releasing shards")
}
