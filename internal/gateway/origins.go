package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"carawayrouter.example/router/internal/config"
	"carawayrouter.example/router/internal/gossip"
	"carawayrouter.example/router/internal/origin"
)

const (
	originReportTime   = 3 * time.Second        // for which updates repeat a stream that began
	originStoreDelay   = 500 * time.Millisecond // from the begin of a stream to its row
	maxOwnInterval     = 24 * time.Second       // between two writes of the rows of an instance's own streams; shorter than origin.RingTime
	originWriters      = 2                      // instances that write the streams of all, in a fleet of more than storeScaleFleet
	originReadInterval = 150 * time.Millisecond // between two reads of the rows, in a fleet of up to originReadFleet instances
	originReadFleet    = 16
	originReadTimeout  = 400 * time.Millisecond // for a read that a request waits for

	// The rows of an instance are a ring that is longer than the lifetime of a record, so that
	// each one is overwritten after its records have ended.
	originRows    = 8
	originRowSpan = 8 * time.Second
	// originRowMaxAge is the age from which rows of instances that no longer exist are deleted.
	originRowMaxAge = 10 * origin.Lifetime

	// softwareMemory is how long a software version counts after its last endpoint has gone: until
	// no stream that it began can be taken up again.
	softwareMemory  = 2 * origin.Lifetime
	softwareRefresh = softwareMemory / 2 // between two writes of the row of a version that endpoints have
	softwarePrefix  = "software/"        // of the rows of software versions
	movePrefix      = "moved/"           // of the rows of routes whose pools have changed lately
	streamPrefix    = "streams/"         // of the rows of streams, by the instance at which they began
	ringPrefix      = "fleet/"           // of the rows of all instances' streams, by the instance that writes them
	rowKeyBytes     = 12                 // of a hashed name

	resumeRetryAfter = 500 * time.Millisecond // by then what another instance began is known here, or will not be
)

// origins is the instance's view of where streams began. Its sources are the updates of the other
// instances, their state, and the rows in the store, which outlast a restart of all instances.
//
// It also knows which software versions each pool has had lately: while there is only one, every
// stream began at it.
type origins struct {
	store     Store
	instance  string
	state     *state
	fleetSize func() int
	heardRank func(now time.Time) int  // how many of the instances that are heard come before this one
	synced    func(now time.Time) bool // reports whether the other instances have said which versions they know

	mu       sync.Mutex
	table    *origin.Table
	ring     origin.Ring
	dirty    map[int]bool        // rows of this instance that differ from the store's
	loaded   map[string]Position // at which the rows were written that were merged last
	moved    map[string]*routeMove
	software map[origin.Origin]*softwareVersion
	read     *originRead // the last read of the rows
	changed  chan struct{}
}

// softwareVersion is a version that endpoints of a pool have, or had lately.
type softwareVersion struct {
	lastSeen time.Time
	stored   bool      // it has a row in the store
	storedAt time.Time // what the row says of lastSeen
}

// routeMove is a change of the pools that a route may use. Streams that began before it may have
// begun in another pool.
type routeMove struct {
	at     time.Time
	stored bool
}

// originRead is a read of the rows that several requests can wait for.
type originRead struct {
	began time.Time
	done  chan struct{}
	err   error // valid once done is closed
}

func newOrigins(store Store, instance string, st *state) *origins {
	return &origins{
		store: store, instance: instance, state: st, synced: func(time.Time) bool { return true }, fleetSize: func() int { return 1 }, heardRank: func(time.Time) int { return 0 },
		table: origin.New(), dirty: map[int]bool{}, loaded: map[string]Position{}, moved: map[string]*routeMove{}, software: map[origin.Origin]*softwareVersion{},
		changed: make(chan struct{}, 1),
	}
}

// originRow returns the row for a stream that began at a time.
func originRow(begun time.Time) int {
	return int(begun.UnixMilli() / originRowSpan.Milliseconds() % originRows)
}

// begin records that a caller's attempt has brought the first event of a stream.
func (o *origins) begin(now time.Time, account, attempt string, at origin.Origin) {
	o.mu.Lock()
	o.table.Begin(origin.Record{Key: origin.KeyOf(account, attempt), Origin: at, Begun: now})
	store := o.hasSeveralVersions(at.Pool) // else the rows of the software versions say as much
	if store {
		o.dirty[originRow(now)] = true
		o.ring.Add(now, origin.KeyOf(account, attempt))
	}
	o.mu.Unlock()
	if store {
		o.requestStore()
	}
}

// requestStore asks for changed rows to be written soon.
func (o *origins) requestStore() { signal(o.changed) }

// find returns where the stream of an account's attempt began, if that is known here or in the
// store. Pool is the only one that the route may use, or empty.
func (o *origins) find(ctx context.Context, account, attempt, route, pool string) (at origin.Origin, known bool, err error) {
	key := origin.KeyOf(account, attempt)
	if at, known = o.lookUp(key); known {
		return at, true, nil
	}
	if err := o.refresh(ctx, time.Now()); err != nil {
		return at, false, err
	}
	if at, known = o.lookUp(key); known || pool == "" {
		return at, known, nil
	}
	if now := time.Now(); o.synced(now) && !o.hasMoved(now, route) {
		at, known = o.onlyVersion(pool)
	}
	return at, known, nil
}

func (o *origins) lookUp(key origin.Key) (origin.Origin, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.table.Find(time.Now(), key)
}

const (
	// maxSoftware bounds the software versions of which others tell. Each update holds all that are known.
	maxSoftware      = 256
	maxSoftwareBytes = 160 // of the names of a pool and its version
)

// hasRoomFor reports whether a software version of which others tell may be recorded. The caller holds the lock.
func (o *origins) hasRoomFor(v origin.Origin) bool {
	return o.software[v] != nil || len(o.software) < maxSoftware && len(v.Pool)+len(v.Version) <= maxSoftwareBytes
}

// onlyVersion returns the version of a pool that has had no other lately.
func (o *origins) onlyVersion(pool string) (at origin.Origin, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.software) >= maxSoftware {
		return origin.Origin{}, false // there may be others
	}
	for v := range o.software {
		if v.Pool != pool {
			continue
		}
		if ok {
			return origin.Origin{}, false
		}
		at, ok = v, true
	}
	return at, ok
}

// refresh waits for a read of the store that began at or after a time. Requests share reads.
func (o *origins) refresh(ctx context.Context, since time.Time) error {
	for {
		o.mu.Lock()
		r := o.read
		if r == nil || isClosed(r.done) && r.began.Before(since) {
			var last time.Time
			if r != nil {
				last = r.began
			}
			r = &originRead{began: time.Now(), done: make(chan struct{})}
			interval := originReadInterval * time.Duration(max(1, o.fleetSize()/originReadFleet))
			if next := last.Add(interval); r.began.Before(next) {
				r.began = next
			}
			o.read = r
			go o.runRead(r)
		}
		o.mu.Unlock()
		select {
		case <-r.done:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
		if !r.began.Before(since) {
			return r.err
		}
	}
}

func (o *origins) runRead(r *originRead) {
	defer close(r.done)
	time.Sleep(time.Until(r.began))
	ctx, cancel := context.WithTimeout(context.Background(), originReadTimeout)
	defer cancel()
	if _, r.err = o.load(ctx, false); r.err == nil {
		r.err = o.readNewEndpoints(ctx)
	}
}

func isClosed(ch <-chan struct{}) bool {
	select {
	case <-ch:
		return true
	default:
		return false
	}
}

// readNewEndpoints reads the software versions of the endpoints that the instance does not know
// yet. Their rows are applied when the endpoints' watcher gets them.
func (o *origins) readNewEndpoints(ctx context.Context) error {
	after := o.state.endpointsPosition()
	rows, at, err := o.store.Changes(ctx, Endpoints, after.Version, 0)
	if errors.Is(err, ErrHistoryGone) || err == nil && at.Era != after.Era {
		rows, _, err = o.store.Rows(ctx, Endpoints)
	}
	if err != nil {
		return errors.Wrap(err, "read new endpoints")
	}
	for _, row := range rows {
		if row.Deleted {
			continue
		}
		if ep, err := o.state.decoder.DecodeEndpoint(row.Key, row.Value); err == nil { // the watcher logs what cannot be read
			o.seeSoftware(time.Now(), ep)
		}
	}
	return nil
}

// seeSoftware records the software version of an endpoint.
func (o *origins) seeSoftware(now time.Time, ep *config.Endpoint) {
	if ep.Role != config.Decode {
		return // begins no streams
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.seeVersion(origin.Origin{Pool: ep.Pool, Version: ep.SoftwareVersion}, now) {
		o.addToRing(now, ep.Pool)
	}
}

// seeVersion records that an engine of a pool had a software version at a time. It reports whether the pool has
// several versions for the first time lately. The caller holds the lock.
func (o *origins) seeVersion(key origin.Origin, at time.Time) (nowSeveral bool) {
	v := o.software[key]
	if v == nil {
		had := o.hasSeveralVersions(key.Pool)
		v = &softwareVersion{lastSeen: at}
		o.software[key] = v
		if o.hasSeveralVersions(key.Pool) {
			for row := range originRows {
				o.dirty[row] = true
			}
			nowSeveral = !had
		}
		o.requestStore()
	}
	if at.After(v.lastSeen) {
		v.lastSeen = at
	}
	return nowSeveral
}

// addToRing has the known streams of a pool written for all instances. The caller holds the lock.
func (o *origins) addToRing(now time.Time, pool string) {
	for _, r := range o.table.All() {
		if r.Origin.Pool == pool {
			o.ring.Add(now, r.Key)
		}
	}
}

// hasSeveralVersions reports whether a pool has, or had lately, several software versions. The
// caller holds the lock.
func (o *origins) hasSeveralVersions(pool string) bool {
	n := 0
	for v := range o.software {
		if v.Pool == pool {
			n++
		}
	}
	return n > 1
}

// recordMove records that the pools of a route have changed. The caller holds the lock.
func (o *origins) recordMove(route string, at time.Time, stored bool) {
	if old := o.moved[route]; old == nil || old.at.Before(at) {
		o.moved[route] = &routeMove{at: at, stored: stored}
	}
}

// routesMoved records the routes whose pools have changed.
func (o *origins) routesMoved(now time.Time, routes []string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, route := range routes {
		o.recordMove(route, now, false)
	}
	o.requestStore()
}

// hasMoved reports whether the pools of a route have changed lately.
func (o *origins) hasMoved(now time.Time, route string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	m := o.moved[route]
	return m != nil && now.Sub(m.at) < origin.Lifetime
}

// addRecent adds the streams that began lately at this instance, and the software versions, to an
// update.
func (o *origins) addRecent(now time.Time, u *gossip.Update) {
	o.mu.Lock()
	defer o.mu.Unlock()
	u.Streams = begunStreams(now, o.table.Own(now.Add(-originReportTime)))
	u.Software = o.softwareVersions(now)
}

// export returns all known streams and software versions.
func (o *origins) export(now time.Time) ([]gossip.BegunStreams, []gossip.SoftwareVersion) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return begunStreams(now, o.table.All()), o.softwareVersions(now)
}

// softwareVersions returns the software versions. The caller holds the lock.
func (o *origins) softwareVersions(now time.Time) []gossip.SoftwareVersion {
	out := make([]gossip.SoftwareVersion, 0, len(o.software))
	for key, v := range o.software {
		out = append(out, gossip.SoftwareVersion{Pool: key.Pool, Version: key.Version, Age: gossip.AgeMillis(now, v.lastSeen)})
	}
	return out
}

// begunStreams groups records by origin.
func begunStreams(now time.Time, records []origin.Record) []gossip.BegunStreams {
	var out []gossip.BegunStreams
	index := map[origin.Origin]int{}
	for _, r := range records {
		i, ok := index[r.Origin]
		if !ok {
			i = len(out)
			index[r.Origin] = i
			out = append(out, gossip.BegunStreams{Pool: r.Origin.Pool, SoftwareVersion: r.Origin.Version})
		}
		out[i].Keys = append(out[i].Keys, r.Key[:]...)
		out[i].Age = max(out[i].Age, gossip.AgeMillis(now, r.Begun))
	}
	return out
}

// merge adds streams and software versions that another instance knows.
func (o *origins) merge(now time.Time, streams []gossip.BegunStreams, software []gossip.SoftwareVersion) {
	if len(streams)+len(software) == 0 {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, s := range streams {
		at, begun := origin.Origin{Pool: s.Pool, Version: s.SoftwareVersion}, gossip.TimeOfAge(now, s.Age)
		for keys := s.Keys; len(keys) >= len(origin.Key{}); keys = keys[len(origin.Key{}):] {
			r := origin.Record{Key: origin.Key(keys[:len(origin.Key{})]), Origin: at, Begun: begun}
			if o.table.Merge(now, r) && o.hasSeveralVersions(at.Pool) && now.Sub(begun) < origin.RingTime {
				o.ring.Add(now, r.Key)
				o.requestStore()
			}
		}
	}
	for _, v := range software {
		at := origin.Origin{Pool: v.Pool, Version: v.Version}
		if o.hasRoomFor(at) && o.seeVersion(at, gossip.TimeOfAge(now, v.Age)) {
			o.addToRing(now, at.Pool)
		}
	}
}

// expire drops the records whose lifetime is over, and has the rows of software versions deleted
// that no endpoint has had for long.
func (o *origins) expire(now time.Time) {
	for _, ep := range o.state.Current().Endpoints {
		o.seeSoftware(now, ep)
	}
	writesRing := o.writesRing(now)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.table.Expire(now)
	if !writesRing {
		o.ring.Forget(now)
	}
	for route, m := range o.moved {
		if now.Sub(m.at) >= origin.Lifetime {
			delete(o.moved, route)
		}
	}
	for _, v := range o.software {
		if now.Sub(v.lastSeen) >= softwareMemory || v.lastSeen.Sub(v.storedAt) >= softwareRefresh {
			o.requestStore()
		}
	}
}

// count returns the number of known streams.
func (o *origins) count() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.table.Len()
}
