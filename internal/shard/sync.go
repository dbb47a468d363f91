package shard

import (
	"context"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"carawayrouter.example/router/internal/member"
	"carawayrouter.example/router/internal/peer"
	"carawayrouter.example/router/internal/platform"
)

const (
	serviceName = "Shards"

	// maxLookup bounds the keys per lookup.
	maxLookup = 64
	// maxConcurrentOffers bounds the concurrent Offer calls.
	maxConcurrentOffers = 8
	// notReadyTTL is the time before a member that could not take shards, or a poller
	// without a recent scan, is asked again.
	notReadyTTL = 15 * time.Second
	// lookupInterval is the minimum time between two lookups of one process.
	lookupInterval = 200 * time.Millisecond
	// maxPollers is the number of members of a data centre that may become its poller.
	maxPollers = 3
	// maxScanAge is the number of scan intervals after which a scan counts as stale.
	maxScanAge = 4
)

// SyncArgs requests the rows of the data centre that changed since generation Gen of
// the callee identified by Source.
type SyncArgs struct{ Source, Gen uint64 }

// SyncReply answers SyncArgs.
type SyncReply struct {
	Source, Gen uint64
	Fresh       bool // the callee scans the rows and has a recent result
	Rows        []Record
}

// LookupArgs requests rows of other data centres.
type LookupArgs struct{ Keys []Key }

// LookupReply answers LookupArgs.
type LookupReply struct{ Rows []Record }

// ReadyArgs asks whether the callee could take a shard now.
type ReadyArgs struct{ Key Key }

// ReadyReply answers ReadyArgs.
type ReadyReply struct{ OK bool }

// OfferArgs announces shards that were released for the callee, and whether the caller
// is releasing all its shards.
type OfferArgs struct {
	From    member.Session
	Leaving bool
	Rows    []Record
}

// OfferReply answers OfferArgs.
type OfferReply struct{}

// Service is the peer service "Shards".
type Service struct{ c *Controller }

// Sync returns the rows of this data centre that changed since the caller's position.
func (s *Service) Sync(args SyncArgs, reply *SyncReply) error {
	c := s.c
	c.mu.Lock()
	defer c.mu.Unlock()
	*reply = SyncReply{Source: c.source, Gen: c.gen, Fresh: c.fresh()}
	if !reply.Fresh {
		return nil
	}
	for k, gen := range c.changedGen {
		if r := c.records[k]; args.Source != c.source || gen > args.Gen {
			reply.Rows = append(reply.Rows, r)
		}
	}
	return nil
}

// fresh reports whether this member has scanned the rows of its data centre recently.
// The caller holds mu.
func (c *Controller) fresh() bool {
	return !c.lastScan.IsZero() && c.opts.Clock.Now().Sub(c.lastScan) <= maxScanAge*c.opts.ScanEvery
}

// Lookup returns rows of other data centres, from the cache or from the store.
func (s *Service) Lookup(args LookupArgs, reply *LookupReply) error {
	c := s.c
	keys := args.Keys[:min(len(args.Keys), maxLookup)]
	ctx, cancel := context.WithTimeout(context.Background(), c.opts.StoreTimeout)
	defer cancel()
	err := c.readRemote(ctx, keys)
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, k := range keys {
		r, known := c.records[k]
		if err != nil && !known {
			return err
		}
		// While the store is down, the last row read still names the home: no process
		// can claim the shard in the meantime.
		reply.Rows = append(reply.Rows, r)
	}
	return nil
}

// Ready reports whether this process may act as home and reaches the store.
func (s *Service) Ready(args ReadyArgs, reply *ReadyReply) error {
	c := s.c
	c.mu.Lock()
	leaving := c.leaving
	c.mu.Unlock()
	if _, ok := c.opts.Members.ActiveEpoch(); !ok || leaving {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.opts.CallTimeout/2)
	defer cancel()
	_, err := c.opts.Table.Get(ctx, RowKey(args.Key))
	reply.OK = err == nil
	return nil
}

// ready asks a member whether it could take a shard.
func (c *Controller) ready(ctx context.Context, m member.Session, k Key) bool {
	ctx, cancel := context.WithTimeout(peer.Idempotent(ctx), c.opts.CallTimeout)
	defer cancel()
	var reply ReadyReply
	err := c.opts.Caller.Call(ctx, m.Addr, serviceName+".Ready", ReadyArgs{Key: k}, &reply)
	return err == nil && reply.OK
}

// Offer records released shards and triggers a round.
func (s *Service) Offer(args OfferArgs, _ *OfferReply) error {
	c := s.c
	var rows []Record
	for _, r := range args.Rows[:min(len(args.Rows), Count)] {
		if r.Key.DataCentre == c.dc {
			rows = append(rows, r)
		}
	}
	c.updateRecords(rows)
	if args.Leaving && args.From.DataCentre == c.dc {
		c.mu.Lock()
		c.departing[args.From.Name] = args.From.Epoch
		c.mu.Unlock()
	}
	select {
	case c.wake <- struct{}{}:
	default:
	}
	return nil
}

// offer announces released shards to the members on which they are placed, and to all
// members if this one is leaving.
func (c *Controller) offer(ctx context.Context, keys []Key, intended placement, members []member.Session) {
	c.mu.Lock()
	rows := map[string][]Record{}
	for _, k := range keys {
		if r := c.records[k]; r.released() && r.Version > 0 {
			rows[intended[k.Index]] = append(rows[intended[k.Index]], r)
		}
	}
	args := OfferArgs{From: c.opts.Members.View().Self, Leaving: c.leaving}
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(peer.Idempotent(ctx), c.opts.CallTimeout)
	defer cancel()
	var g errgroup.Group
	g.SetLimit(maxConcurrentOffers)
	for _, m := range members {
		args := args
		args.Rows = rows[m.Name]
		if len(args.Rows) == 0 && !args.Leaving {
			continue
		}
		g.Go(func() error {
			// A member that is not reached learns of the release in its next sync.
			return c.opts.Caller.Call(ctx, m.Addr, serviceName+".Offer", args, &OfferReply{})
		})
	}
	_ = g.Wait()
}

// poller returns the member that scans the rows for its data centre: the first by name
// that was not found to have lost access to the store. Only the first maxPollers members
// are eligible; see mayPoll. other is false if the poller is this member.
func (c *Controller) poller() (s member.Session, other bool) {
	v := c.opts.Members.View()
	members := registered(v.InDataCentre(c.dc))
	if len(members) == 0 {
		return v.Self, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.opts.Clock.Now()
	for _, m := range members[:min(len(members), maxPollers)] {
		if m.Name == v.Self.Name {
			return m, false
		}
		if since, stale := c.stalePollers[m.Name]; !stale || now.Sub(since) > notReadyTTL {
			return m, true
		}
	}
	return members[0], true
}

// mayPoll reports whether this member may become the poller of its data centre.
func (c *Controller) mayPoll() bool {
	v := c.opts.Members.View()
	members := registered(v.InDataCentre(c.dc))
	return slices.ContainsFunc(members[:min(len(members), maxPollers)], func(m member.Session) bool { return m.Name == v.Self.Name })
}

// refreshLocal reads the rows of this data centre if that is due: the poller from the
// store, other members from the poller.
func (c *Controller) refreshLocal(ctx context.Context) {
	now := c.opts.Clock.Now()
	c.mu.Lock()
	due := !now.Before(c.nextScan)
	c.mu.Unlock()
	if !due {
		return
	}
	if p, other := c.poller(); other {
		c.pull(ctx, p)
	} else {
		c.scan(ctx)
	}
	wait := c.jitter(c.opts.ScanEvery)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nextScan = now.Add(wait)
}

func (c *Controller) scan(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.StoreTimeout)
	defer cancel()
	rows, err := c.opts.Table.Scan(ctx, RowPrefix+c.dc+"/", "", Count)
	if err != nil {
		c.opts.Logger.V(1).Info("reading shard rows failed", "error", err.Error())
		return
	}
	c.updateRecords(parseRows(rows))
	c.mu.Lock()
	c.loaded = true
	c.lastScan = c.opts.Clock.Now()
	c.mu.Unlock()
	c.scanNextDataCentre(ctx)
}

// scanNextDataCentre reads the rows of the next data centre in advance. An instance that
// starts while the store is down, and finds the home in its own data centre dead, asks
// the homes there. All members that may become the poller read them, since the dead home
// may have been the poller.
func (c *Controller) scanNextDataCentre(ctx context.Context) {
	next, ok := c.nextDataCentre()
	if !ok {
		return
	}
	now := c.opts.Clock.Now()
	c.mu.Lock()
	due := now.Sub(c.lastRemoteScan) > c.opts.RemoteTTL/2
	c.mu.Unlock()
	if !due {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, c.opts.StoreTimeout)
	defer cancel()
	rows, err := c.opts.Table.Scan(ctx, RowPrefix+next+"/", "", Count)
	if err != nil {
		c.opts.Logger.V(1).Info("reading shard rows of the next data centre failed", "data_centre", next, "error", err.Error())
		return
	}
	c.updateRemote(parseRows(rows))
	if len(rows) < Count {
		return // incomplete: instances are still claiming shards there
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastRemoteScan = now
}

// nextDataCentre returns the data centre that follows the own one in name order, among
// those with instances, wrapping around; ok is false if there is no other.
func (c *Controller) nextDataCentre() (next string, ok bool) {
	first := ""
	for _, s := range c.opts.Members.View().Peers {
		dc := s.DataCentre
		if dc == c.dc {
			continue
		}
		if first == "" || dc < first {
			first = dc
		}
		if dc > c.dc && (next == "" || dc < next) {
			next = dc
		}
	}
	if next == "" {
		next = first
	}
	return next, next != ""
}

func parseRows(rows []platform.Row) []Record {
	var out []Record
	for _, r := range rows {
		k, err := parseKey(r.Key)
		if err != nil {
			continue
		}
		if rec, err := parseRow(k, r); err == nil {
			out = append(out, rec)
		}
	}
	return out
}

func (c *Controller) pull(ctx context.Context, from member.Session) {
	c.mu.Lock()
	args := c.synced
	c.mu.Unlock()
	callCtx, cancel := context.WithTimeout(peer.Idempotent(ctx), c.opts.CallTimeout)
	defer cancel()
	var reply SyncReply
	if err := c.opts.Caller.Call(callCtx, from.Addr, serviceName+".Sync", args, &reply); err != nil || !reply.Fresh {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.stalePollers[from.Name] = c.opts.Clock.Now()
		return
	}
	c.updateRecords(reply.Rows)
	c.mu.Lock()
	c.synced = SyncArgs{Source: reply.Source, Gen: reply.Gen}
	c.loaded = true
	delete(c.stalePollers, from.Name)
	c.mu.Unlock()
	if c.mayPoll() {
		c.scanNextDataCentre(ctx)
	}
}

// runLookups performs the queued lookups of rows of other data centres.
func (c *Controller) runLookups(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case k := <-c.lookups:
			c.lookup(ctx, c.drainLookups(k))
		}
		select {
		case <-ctx.Done():
			return nil
		case <-c.opts.Clock.After(lookupInterval):
		}
	}
}

// drainLookups returns first and the other queued keys, up to maxLookup, without
// duplicates.
func (c *Controller) drainLookups(first Key) []Key {
	keys := map[Key]bool{first: true}
	for len(keys) < maxLookup {
		select {
		case k := <-c.lookups:
			keys[k] = true
			continue
		default:
		}
		break
	}
	out := make([]Key, 0, len(keys))
	for k := range keys {
		out = append(out, k)
	}
	return out
}

// lookup reads rows of other data centres from the poller, or from the store if this
// instance is the poller or does not reach it.
func (c *Controller) lookup(ctx context.Context, keys []Key) {
	if p, other := c.poller(); other {
		callCtx, cancel := context.WithTimeout(peer.Idempotent(ctx), c.opts.CallTimeout)
		defer cancel()
		var reply LookupReply
		err := c.opts.Caller.Call(callCtx, p.Addr, serviceName+".Lookup", LookupArgs{Keys: keys}, &reply)
		if err == nil {
			c.updateRemote(reply.Rows)
			return
		}
	}
	ctx, cancel := context.WithTimeout(ctx, c.opts.StoreTimeout)
	defer cancel()
	if err := c.readRemote(ctx, keys); err != nil {
		c.opts.Logger.V(1).Info("reading shard rows of other data centres failed", "error", err.Error())
	}
}

func (c *Controller) updateRemote(rows []Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range rows {
		if r.Key.DataCentre != c.dc {
			c.updateRecord(r)
			c.readAt[r.Key] = c.opts.Clock.Now()
		}
	}
}

// remoteRefreshAge is the age from which a cached row is read again on a peer's request.
const remoteRefreshAge = 5 * time.Second

// readRemote reads the rows that are not cached or are older than remoteRefreshAge.
func (c *Controller) readRemote(ctx context.Context, keys []Key) error {
	var rowKeys []string
	c.mu.Lock()
	for _, k := range keys {
		if k.DataCentre != c.dc && c.opts.Clock.Now().Sub(c.readAt[k]) > remoteRefreshAge {
			rowKeys = append(rowKeys, RowKey(k))
		}
	}
	c.mu.Unlock()
	if len(rowKeys) == 0 {
		return nil
	}
	rows, err := c.opts.Table.Get(ctx, rowKeys...)
	if err != nil {
		return err
	}
	c.updateRemote(parseRows(rows))
	return nil
}
