package gateway

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"maps"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"carawayrouter.example/router/internal/config"
	"carawayrouter.example/router/internal/errkind"
	"carawayrouter.example/router/internal/gossip"
	"carawayrouter.example/router/internal/origin"
)

const (
	originReportTime   = 3 * time.Second        // for which updates repeat a stream that began
	originStoreDelay   = 500 * time.Millisecond // from the begin of a stream to its row, in a fleet of up to storeScaleFleet instances
	originReadInterval = 50 * time.Millisecond  // between two reads of the rows
	originReadTimeout  = 400 * time.Millisecond // for a read that a request waits for

	// The rows of an instance are a ring that is longer than the lifetime of a record, so that
	// each one is overwritten after its records have ended.
	originRows    = 8
	originRowSpan = 8 * time.Second
	// originRowStreams bounds the streams in a row; the platform limits its size.
	originRowStreams = 400
	// originRowMaxAge is the age from which rows of instances that no longer exist are deleted.
	originRowMaxAge = 10 * origin.Lifetime

	// softwareMemory is how long a software version counts after its last endpoint has gone: until
	// no stream that it began can be taken up again.
	softwareMemory   = 2 * origin.Lifetime
	softwarePrefix   = "software/" // of the rows of software versions
	streamPrefix     = "streams/"  // of the rows of streams, by instance
	softwareKeyBytes = 12

	resumeRetryAfter = 500 * time.Millisecond // by then what another instance began is known here, or will not be
)

// origins is the instance's view of where streams began. Its sources are the updates of the other
// instances, their state, and the rows in the store, which outlast a restart of all instances.
//
// It also knows which software versions each pool has had lately: while there is only one, every
// stream began at it.
type origins struct {
	store    Store
	instance string
	state    *state

	mu       sync.Mutex
	table    *origin.Table
	dirty    map[int]bool // rows of this instance that differ from the store's
	software map[origin.Origin]*softwareVersion
	read     *originRead // the last read of the rows
	changed  chan struct{}
}

// softwareVersion is a version that endpoints of a pool have, or had lately.
type softwareVersion struct {
	lastSeen time.Time
	stored   bool // it has a row in the store
}

// originRead is a read of the rows that several requests can wait for.
type originRead struct {
	began time.Time
	done  chan struct{}
	err   error // valid once done is closed
}

func newOrigins(store Store, instance string, st *state) *origins {
	return &origins{
		store: store, instance: instance, state: st,
		table: origin.New(), dirty: map[int]bool{}, software: map[origin.Origin]*softwareVersion{},
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
	}
	o.mu.Unlock()
	if store {
		o.requestStore()
	}
}

// requestStore asks for changed rows to be written soon.
func (o *origins) requestStore() {
	select {
	case o.changed <- struct{}{}:
	default:
	}
}

// find returns where the stream of an account's attempt began, if that is known here or in the
// store. Pool is the only one in which it can have begun, or empty.
func (o *origins) find(ctx context.Context, account, attempt, pool string) (at origin.Origin, known bool, err error) {
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
	at, known = o.onlyVersion(pool)
	return at, known, nil
}

func (o *origins) lookUp(key origin.Key) (origin.Origin, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.table.Find(time.Now(), key)
}

// onlyVersion returns the version of a pool that has had no other lately.
func (o *origins) onlyVersion(pool string) (at origin.Origin, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
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
			if next := last.Add(originReadInterval); r.began.Before(next) {
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
	if _, r.err = o.load(ctx); r.err == nil {
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
	rows, _, err := o.store.Changes(ctx, Endpoints, o.state.endpointsVersion(), 0)
	if errors.Is(err, ErrHistoryGone) {
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
	key := origin.Origin{Pool: ep.Pool, Version: ep.SoftwareVersion}
	o.mu.Lock()
	defer o.mu.Unlock()
	v := o.software[key]
	if v == nil {
		v = &softwareVersion{}
		o.software[key] = v
		if o.hasSeveralVersions(key.Pool) {
			for row := range originRows {
				o.dirty[row] = true
			}
		}
		o.requestStore()
	}
	v.lastSeen = now
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

// storedStream is a stream in a row.
type storedStream struct {
	Key             []byte `json:"key"`
	Pool            string `json:"pool"`
	SoftwareVersion string `json:"software_version"`
	BegunMillis     int64  `json:"begun_ms"` // Unix time
}

// load merges all rows. It returns the keys of those that nobody will overwrite any more.
func (o *origins) load(ctx context.Context) (obsolete []string, err error) {
	rows, _, err := o.store.Rows(ctx, Streams)
	if err != nil {
		return nil, errors.Wrap(err, "read the origins of streams")
	}
	now := time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, v := range o.software {
		v.stored = false // a store that was restored from a copy may lack it
	}
	for _, row := range rows {
		if strings.HasPrefix(row.Key, softwarePrefix) {
			o.mergeSoftwareRow(now, row)
		} else if !o.mergeStreamRow(now, row) {
			obsolete = append(obsolete, row.Key)
		}
	}
	for _, v := range o.software {
		if !v.stored {
			o.requestStore()
		}
	}
	return obsolete, nil
}

// mergeSoftwareRow merges the row of a software version. The caller holds the lock.
func (o *origins) mergeSoftwareRow(now time.Time, row Row) {
	var key origin.Origin
	if err := json.Unmarshal(row.Value, &key); err != nil || key.Pool == "" {
		return
	}
	if o.software[key] == nil {
		o.software[key] = &softwareVersion{lastSeen: now}
	}
	o.software[key].stored = true
}

// mergeStreamRow merges a row of streams and reports whether it is still needed. The caller holds
// the lock.
func (o *origins) mergeStreamRow(now time.Time, row Row) (needed bool) {
	var streams []storedStream
	if json.Unmarshal(row.Value, &streams) != nil {
		return false
	}
	own := strings.HasPrefix(row.Key, o.rowKey(""))
	needed = own
	for _, s := range streams {
		begun := time.UnixMilli(s.BegunMillis)
		needed = needed || now.Sub(begun) < originRowMaxAge
		r, ok := originRecord(s.Key, s.Pool, s.SoftwareVersion, begun)
		switch {
		case !ok:
		case own:
			o.table.Restore(now, r)
		default:
			o.table.Merge(now, r)
		}
	}
	return needed
}

// rowKey returns the key of a row of this instance.
func (o *origins) rowKey(row string) string { return streamPrefix + o.instance + "/" + row }

// softwareKey returns the key of a version's row.
func softwareKey(v origin.Origin) string {
	h := sha256.Sum256([]byte(v.Pool + "\x00" + v.Version))
	return softwarePrefix + hex.EncodeToString(h[:softwareKeyBytes])
}

// originRecord returns the record of a stream as another instance or the store has it.
func originRecord(key []byte, pool, version string, begun time.Time) (origin.Record, bool) {
	if len(key) != len(origin.Key{}) {
		return origin.Record{}, false
	}
	return origin.Record{Key: origin.Key(key), Origin: origin.Origin{Pool: pool, Version: version}, Begun: begun}, true
}

// addRecent adds the streams that began lately at this instance to an update.
func (o *origins) addRecent(now time.Time, u *gossip.Update) {
	o.mu.Lock()
	defer o.mu.Unlock()
	u.Streams = begunStreams(now, o.table.Own(now.Add(-originReportTime)))
}

// all returns all known streams.
func (o *origins) all(now time.Time) []gossip.BegunStream {
	o.mu.Lock()
	defer o.mu.Unlock()
	return begunStreams(now, o.table.All())
}

func begunStreams(now time.Time, records []origin.Record) []gossip.BegunStream {
	out := make([]gossip.BegunStream, len(records))
	for i, r := range records {
		out[i] = gossip.BegunStream{Key: r.Key[:], Pool: r.Origin.Pool, SoftwareVersion: r.Origin.Version, Age: gossip.AgeMillis(now, r.Begun)}
	}
	return out
}

// merge adds streams that another instance knows.
func (o *origins) merge(now time.Time, streams []gossip.BegunStream) {
	if len(streams) == 0 {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, s := range streams {
		if r, ok := originRecord(s.Key, s.Pool, s.SoftwareVersion, gossip.TimeOfAge(now, s.Age)); ok {
			o.table.Merge(now, r)
		}
	}
}

// expire drops the records whose lifetime is over, and has the rows of software versions deleted
// that no endpoint has had for long.
func (o *origins) expire(now time.Time) {
	for _, ep := range o.state.Current().Endpoints {
		o.seeSoftware(now, ep)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.table.Expire(now)
	for _, v := range o.software {
		if now.Sub(v.lastSeen) >= softwareMemory {
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

// originsLoop keeps the rows of the streams that began at this instance. At the start it reads
// those of its earlier incarnation, which it would overwrite otherwise.
func (s *Server) originsLoop(ctx context.Context) error {
	o := s.origins
	restored, failures := false, 0
	for ctx.Err() == nil {
		err := error(nil)
		if !restored {
			if err = s.restoreOrigins(ctx); err == nil {
				restored = true
			}
		} else {
			if err = o.storeSoftware(ctx); err == nil {
				err = o.storeRows(ctx)
			}
		}
		if err != nil {
			if failures++; failures == 1 {
				s.log.Info("streams.store_lost", "cause", err.Error())
			}
			sleepJitter(ctx, min(maxRetryDelay, minRetryDelay<<min(failures, 5)))
			continue
		}
		failures = 0
		select {
		case <-ctx.Done():
		case <-o.changed:
			sleepJitter(ctx, s.scaleToFleet(originStoreDelay))
		}
	}
	return nil
}

// restoreOrigins reads the rows at the start, and deletes those that nobody needs.
func (s *Server) restoreOrigins(ctx context.Context) error {
	obsolete, err := s.origins.load(ctx)
	if err != nil {
		return err
	}
	for _, key := range obsolete {
		if err := s.store.Delete(ctx, Streams, key); err != nil {
			return err
		}
	}
	s.log.Info("streams.restored", "streams", s.origins.count(), "deleted_rows", len(obsolete))
	return nil
}

// storeSoftware writes the rows of new software versions and deletes those of old ones.
func (o *origins) storeSoftware(ctx context.Context) error {
	o.mu.Lock()
	var added, ended []origin.Origin
	for key, v := range o.software {
		switch {
		case time.Since(v.lastSeen) >= softwareMemory:
			ended = append(ended, key)
		case !v.stored:
			added = append(added, key)
		}
	}
	o.mu.Unlock()
	for _, key := range added {
		value, err := json.Marshal(key)
		if err != nil {
			return err
		}
		if err := o.store.Put(ctx, Streams, softwareKey(key), value); err != nil {
			return err
		}
		o.mu.Lock()
		o.software[key].stored = true
		o.mu.Unlock()
	}
	for _, key := range ended {
		if err := o.store.Delete(ctx, Streams, softwareKey(key)); err != nil {
			return err
		}
		o.mu.Lock()
		delete(o.software, key)
		o.mu.Unlock()
	}
	return nil
}

// storeRows writes the rows that have changed.
func (o *origins) storeRows(ctx context.Context) error {
	o.mu.Lock()
	dirty := maps.Clone(o.dirty)
	clear(o.dirty)
	rows := map[int][]storedStream{}
	for _, r := range o.table.Own(time.Now().Add(-origin.Lifetime)) {
		if row := originRow(r.Begun); dirty[row] {
			rows[row] = append(rows[row], storedStream{Key: r.Key[:], Pool: r.Origin.Pool, SoftwareVersion: r.Origin.Version, BegunMillis: r.Begun.UnixMilli()})
		}
	}
	o.mu.Unlock()
	var failed error
	for row, streams := range rows {
		value, err := json.Marshal(streams[max(0, len(streams)-originRowStreams):])
		if err == nil {
			err = o.store.Put(ctx, Streams, o.rowKey(strconv.Itoa(row)), value)
		}
		if err != nil {
			failed = err
			o.mu.Lock()
			o.dirty[row] = true
			o.mu.Unlock()
		}
	}
	return failed
}

// resume prepares a request whose caller takes up a broken stream: it may go on only in the pool
// and at the software version that began the stream.
func (x *exchange) resume(ctx context.Context) error {
	c := x.call
	if c.LastEventID == "" || !c.Route.Streaming {
		return nil
	}
	began := time.Now()
	at, known, err := x.s.origins.find(ctx, x.account(), c.Resumes, x.s.onlyModelPool(c.Route))
	fields := []any{"attempt", c.Resumes, "after", c.LastEventID, "known", known, "pool", at.Pool, "software", at.Version, "waited_ms", time.Since(began).Milliseconds()}
	if err != nil {
		fields = append(fields, "cause", err.Error())
	}
	x.decision("resume", fields...)
	switch {
	case ctx.Err() != nil:
		return context.Cause(ctx)
	case !known:
		return refusal(errkind.ResumeUnknown, "where the stream began is not known", resumeRetryAfter)
	case !c.Route.Allows(at.Pool):
		return refusal(errkind.ResumeUnknown, "the stream began in a pool that the route no longer uses", resumeRetryAfter)
	}
	pool := x.s.state.Current().Pools[at.Pool]
	if pool == nil || pool.Engine == nil {
		return refusal(errkind.ResumeUnknown, "the stream's pool is no longer configured", resumeRetryAfter)
	}
	c.Pool, x.softwareVersion = pool, at.Version
	return nil
}

// onlyModelPool returns the model pool of a route that has only one, else "".
func (s *Server) onlyModelPool(r *config.Route) string {
	only := ""
	for name, pool := range s.state.Current().Pools {
		if pool.Engine == nil || !r.Allows(name) {
			continue
		}
		if only != "" {
			return ""
		}
		only = name
	}
	return only
}
