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

// maxConcurrentQueries bounds the calls in progress while peers are asked about a session.
const maxConcurrentQueries = 8

// unchangedRow is a session row that has not changed since a time.
type unchangedRow struct {
	version uint64
	since   time.Time
}

// listing is what the platform's list has shown.
type listing struct {
	ok          bool // the last call succeeded
	addrs       map[string][]string
	absentSince map[string]time.Time // by session name and address
}

// listRound reads the platform's list if this instance judges for its data centre.
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

// unlisted reports whether the list no longer shows the process that r names. Addresses
// are compared only if the list shows this instance with an address of its own.
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

// listsProcess reports whether one of the listed addresses is one of r's.
func listsProcess(addrs []string, r Row) bool {
	return slices.ContainsFunc(addrs, func(a string) bool {
		return a == r.Addr || a == r.Callers || a == r.Operator
	})
}

// expiryRound looks for dead sessions of this data centre and records their death by
// deleting their rows. A session is dead if, for longer than DeadAfter, the list has
// not shown it, its row has not changed and no registered peer has heard it. A row
// marked as released is deleted once it has not changed for DeadAfter; until then its
// former owner counts as a peer that does not answer.
//
// One instance of each data centre judges. Should two do so, the deletions are
// conditional on the row's version, and both verdicts are right.
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
	// The peers to ask are those registered at this moment.
	rows, err = c.readRows(ctx)
	if err != nil {
		return
	}
	rows = slices.DeleteFunc(rows, func(r versionedRow) bool { return r.DataCentre != c.self.DataCentre })
	dead := c.expirable(rows)
	dead, err = c.unheardByPeers(ctx, rows, dead)
	if err != nil {
		c.opts.Logger.V(1).Info("no verdict", "error", err.Error())
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
		keys = append(keys, RowKey(c.self.Name)) // an earlier process may hold our name
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

// trackCandidates notes since when rows are unchanged and their instances not listed.
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

// expirable returns the rows that are unchanged, and not listed, for long enough.
func (c *Controller) expirable(rows []versionedRow) []versionedRow {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.opts.Clock.Now()
	long := func(since time.Time, ok bool) bool { return ok && now.Sub(since) > c.opts.DeadAfter }
	var out []versionedRow
	for _, r := range rows {
		o, ok := c.observed[r.Name]
		if !long(o.since, ok && o.version == r.version) {
			continue
		}
		absent, ok := c.listed.absentSince[r.Name]
		if r.Released || c.listed.ok && long(absent, ok) {
			out = append(out, r)
		}
	}
	return out
}

// unheardByPeers returns those of the candidates that no registered session of the data
// centre has heard for DeadAfter. It fails if one of them that is not a candidate
// itself cannot be asked.
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
		return nil, errors.Wrapf(err, "asking %s", r.Name)
	}
	if len(reply.Ago) != len(names) {
		return nil, errors.Newf("%s answered about %d of %d sessions", r.Name, len(reply.Ago), len(names))
	}
	return reply.Ago, nil
}

// expire deletes the row of a dead session, unless it has been renewed meanwhile.
func (c *Controller) expire(ctx context.Context, r versionedRow) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.StoreTimeout)
	defer cancel()
	_, err := c.opts.Table.Commit(ctx, platform.Txn{
		Conditions: []platform.Condition{{Key: RowKey(r.Name), Version: r.version}},
		Writes:     []platform.Write{{Key: RowKey(r.Name), Delete: true}},
	})
	if err != nil {
		return // judged again in the next round
	}
	c.opts.Logger.Info("session has ended", "instance", r.Name, "epoch", r.Epoch, "released", r.Released)
	c.opts.Events.Add(event.Event{Kind: "member.dead", Detail: r.Name})
	c.mutate(func() {
		if e := c.known[r.Name]; e != nil && e.session.Epoch == r.Epoch {
			c.removePeer(r.Name)
		}
	})
}
