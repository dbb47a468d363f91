package member

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"carawayrouter.example/router/internal/event"
	"carawayrouter.example/router/internal/peer"
	"carawayrouter.example/router/internal/platform"
)

// maxConcurrentQueries bounds the concurrent calls that ask peers about a session.
const maxConcurrentQueries = 8

// unchangedRow is a session row that has not changed since a time.
type unchangedRow struct {
	version uint64
	since   time.Time
}

// listing is the platform's list of instances as last read.
type listing struct {
	ok          bool // the last call succeeded
	addrs       map[string][]string
	absentSince map[string]time.Time // by instance name
}

// listRound reads the platform's list if this instance is the poller of its data centre.
func (c *Controller) listRound(ctx context.Context) {
	if _, other := c.poller(); other {
		c.mutate(func() { c.listed = listing{} })
		return
	}
	ctx, cancel := context.WithTimeout(ctx, c.opts.StoreTimeout)
	defer cancel()
	instances, err := c.opts.Instances.List(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.listed.ok = err == nil
	if err != nil {
		return
	}
	c.listed.addrs = map[string][]string{}
	for _, i := range instances {
		c.listed.addrs[i.Name] = append(c.listed.addrs[i.Name], i.Addr)
	}
}

// unlisted reports whether the platform's list does not contain the process of r.
// Addresses are compared only if the list shows this instance with one of its own
// addresses.
func (c *Controller) unlisted(r Row) bool {
	addrs, ok := c.listed.addrs[r.Name]
	if !ok {
		return true
	}
	if !listsProcess(c.listed.addrs[c.self.Name], c.row(0)) {
		return false
	}
	return !listsProcess(addrs, r)
}

// listsProcess reports whether one of the listed addresses belongs to r.
func listsProcess(addrs []string, r Row) bool {
	return slices.ContainsFunc(addrs, func(a string) bool {
		return a == r.Addr || a == r.Callers || a == r.Operator
	})
}

// expiryRound finds dead sessions of this data centre and deletes their rows. A session
// is dead if, for longer than DeadAfter, the platform has not listed it, its row has not
// changed and no registered peer has heard it. A row marked as released is deleted once
// it has not changed for DeadAfter; until then its former owner counts as a peer that
// does not answer.
//
// Only the poller of a data centre expires sessions. If two instances do so at the same
// time, both decisions are correct, as the deletions are conditional on the row's
// version.
func (c *Controller) expiryRound(ctx context.Context) {
	if _, other := c.poller(); other {
		return
	}
	rows, err := c.candidates(ctx)
	if err != nil {
		return
	}
	if len(c.expirable(rows)) == 0 {
		return
	}
	// The peers to query are those registered now, so the rows are read again.
	rows, err = c.readRows(ctx)
	if err != nil {
		return
	}
	rows = slices.DeleteFunc(rows, func(r versionedRow) bool { return r.DataCentre != c.self.DataCentre })
	dead := c.expirable(rows)
	dead, err = c.unheardByPeers(ctx, rows, dead)
	if err != nil {
		c.opts.Logger.V(1).Info("peers could not be queried about expired sessions", "error", err.Error())
		return
	}
	for _, r := range dead {
		c.expire(ctx, r)
	}
}

// candidates returns the session rows of this data centre that may be dead.
func (c *Controller) candidates(ctx context.Context) ([]versionedRow, error) {
	c.mu.Lock()
	var keys []string
	for name, e := range c.known {
		if e.session.DataCentre == c.self.DataCentre && e.session.Epoch > 0 &&
			(e.suspect || c.unlisted(rowOf(e.session))) {
			keys = append(keys, RowKey(name))
		}
	}
	for name := range c.observed {
		if key := RowKey(name); !slices.Contains(keys, key) {
			keys = append(keys, key)
		}
	}
	if c.self.Epoch == 0 {
		keys = append(keys, RowKey(c.self.Name)) // an earlier process may hold this name
	}
	c.mu.Unlock()
	if len(keys) == 0 {
		return nil, nil
	}
	slices.Sort(keys)
	ctx, cancel := context.WithTimeout(ctx, c.opts.StoreTimeout)
	defer cancel()
	got, err := c.opts.Table.Get(ctx, keys...)
	if err != nil {
		return nil, err
	}
	var rows []versionedRow
	for _, r := range got {
		if r.Version > 0 {
			rows = appendRow(rows, r)
		}
	}
	c.trackCandidates(rows)
	return rows, nil
}

func rowOf(s Session) Row {
	return Row{Name: s.Name, Addr: s.Addr, Callers: s.Callers, Operator: s.Operator, DataCentre: s.DataCentre, Epoch: s.Epoch}
}

// trackCandidates records since when each row is unchanged and its instance unlisted.
func (c *Controller) trackCandidates(rows []versionedRow) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.opts.Clock.Now()
	observed := map[string]unchangedRow{}
	absent := map[string]time.Time{}
	for _, r := range rows {
		o, ok := c.observed[r.Name]
		if !ok || o.version != r.version {
			o = unchangedRow{version: r.version, since: now}
		}
		observed[r.Name] = o
		if r.Released || !c.listed.ok || !c.unlisted(r.Row) {
			continue
		}
		since, ok := c.listed.absentSince[r.Name]
		if !ok {
			since = now
		}
		absent[r.Name] = since
	}
	c.observed = observed
	c.listed.absentSince = absent
}

// expirable returns the rows that have been unchanged, and are released or have been
// unlisted, for longer than DeadAfter.
func (c *Controller) expirable(rows []versionedRow) []versionedRow {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.opts.Clock.Now()
	exceeded := func(since time.Time, ok bool) bool { return ok && now.Sub(since) > c.opts.DeadAfter }
	var out []versionedRow
	for _, r := range rows {
		o, ok := c.observed[r.Name]
		if !exceeded(o.since, ok && o.version == r.version) {
			continue
		}
		absent, ok := c.listed.absentSince[r.Name]
		if r.Released || c.listed.ok && exceeded(absent, ok) {
			out = append(out, r)
		}
	}
	return out
}

// unheardByPeers returns the candidates that are released or that no registered session
// of the data centre has heard for DeadAfter. It fails if a registered session that is
// not a candidate itself cannot be queried.
func (c *Controller) unheardByPeers(ctx context.Context, rows, candidates []versionedRow) ([]versionedRow, error) {
	names := make([]Incarnation, len(candidates))
	for i, r := range candidates {
		names[i] = Incarnation{Name: r.Name, Epoch: r.Epoch}
	}
	self := c.Self()
	answers := make([][]time.Duration, len(rows)+1)
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(maxConcurrentQueries)
	for i, r := range rows {
		isCandidate := slices.ContainsFunc(candidates, func(o versionedRow) bool { return o.Name == r.Name })
		if isCandidate || r.Name == self.Name && r.Epoch == self.Epoch {
			continue
		}
		g.Go(func() error {
			var err error
			answers[i], err = c.queryPeer(ctx, r, names)
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, n := range names {
		answers[len(rows)] = append(answers[len(rows)], c.sinceHeard(n))
	}
	var dead []versionedRow
	for i, r := range candidates {
		heard := slices.ContainsFunc(answers, func(a []time.Duration) bool {
			return a != nil && a[i] <= c.opts.DeadAfter
		})
		if r.Released || !heard {
			dead = append(dead, r)
		}
	}
	return dead, nil
}

func (c *Controller) queryPeer(ctx context.Context, r versionedRow, names []Incarnation) ([]time.Duration, error) {
	ctx, cancel := context.WithTimeout(peer.Idempotent(ctx), c.opts.CallTimeout)
	defer cancel()
	var reply HeardReply
	if err := c.opts.Caller.Call(ctx, r.Addr, serviceName+".Heard", HeardArgs{Sessions: names}, &reply); err != nil {
		return nil, errors.Wrapf(err, "query %s", r.Name)
	}
	if len(reply.Ago) != len(names) {
		return nil, errors.Newf("%s answered about %d of %d sessions", r.Name, len(reply.Ago), len(names))
	}
	return reply.Ago, nil
}

// expire deletes the row of a dead session unless it was renewed in the meantime.
func (c *Controller) expire(ctx context.Context, r versionedRow) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.StoreTimeout)
	defer cancel()
	_, err := c.opts.Table.Commit(ctx, platform.Txn{
		Conditions: []platform.Condition{{Key: RowKey(r.Name), Version: r.version}},
		Writes:     []platform.Write{{Key: RowKey(r.Name), Delete: true}},
	})
	if err != nil {
		return // retried in the next round
	}
	c.opts.Logger.Info("deleted the row of an ended session", "instance", r.Name, "epoch", r.Epoch, "released", r.Released)
	c.opts.Events.Add(event.Event{Kind: "member.dead", Detail: r.Name})
	c.mutate(func() {
		if e := c.known[r.Name]; e != nil && e.session.Epoch == r.Epoch {
			c.removePeer(r.Name)
		}
	})
}
