package gateway

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"maps"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"carawayrouter.example/router/internal/origin"
)

// storedStream is a stream in a row.
type storedStream struct {
	Key             []byte `json:"key"`
	Pool            string `json:"pool"`
	SoftwareVersion string `json:"software_version"`
	BegunMillis     int64  `json:"begun_ms"` // Unix time
}

// load merges all rows, and at the start those of this instance's earlier incarnation into its own.
// It returns the keys of those that nobody will overwrite any more.
func (o *origins) load(ctx context.Context, restoreOwn bool) (obsolete []string, err error) {
	rows, at, err := o.store.Rows(ctx, Streams)
	if err != nil {
		return nil, errors.Wrap(err, "read the origins of streams")
	}
	o.mu.Lock()
	loaded := o.loaded
	o.mu.Unlock()
	positions := make(map[string]Position, len(rows))
	var changed []decodedRow
	for _, row := range rows {
		written := Position{Era: at.Era, Version: row.Version}
		if positions[row.Key] = written; restoreOwn || loaded[row.Key] != written || row.Version == 0 {
			changed = append(changed, decodeRow(row))
		}
	}
	now := time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.loaded = positions
	for _, row := range changed {
		if !o.mergeRow(now, row, restoreOwn) {
			obsolete = append(obsolete, row.key)
		}
	}
	o.checkStored(positions)
	return obsolete, nil
}

// decodedRow is a row of any kind. A row that cannot be read has none.
type decodedRow struct {
	key      string
	streams  []storedStream
	software *storedSoftware
	move     *storedMove
}

// storedSoftware is the row of a software version.
type storedSoftware struct {
	origin.Origin
	SeenMillis int64 `json:"seen_ms"` // Unix time
}

// storedMove is the row of a route whose pools have changed.
type storedMove struct {
	Route       string `json:"route"`
	MovedMillis int64  `json:"moved_ms"` // Unix time
}

func decodeRow(row Row) decodedRow {
	d := decodedRow{key: row.Key}
	switch {
	case strings.HasPrefix(row.Key, softwarePrefix):
		if json.Unmarshal(row.Value, &d.software) != nil {
			d.software = nil
		}
	case strings.HasPrefix(row.Key, movePrefix):
		if json.Unmarshal(row.Value, &d.move) != nil {
			d.move = nil
		}
	default:
		if json.Unmarshal(row.Value, &d.streams) != nil {
			d.streams = nil
		}
	}
	return d
}

// mergeRow merges a row and reports whether it is still needed. The caller holds the lock.
func (o *origins) mergeRow(now time.Time, row decodedRow, restoreOwn bool) (needed bool) {
	if s := row.software; s != nil {
		seen := time.UnixMilli(s.SeenMillis)
		if now.Sub(seen) >= softwareMemory {
			return false
		}
		if !o.hasRoomFor(s.Origin) {
			return true
		}
		if o.seeVersion(s.Origin, seen) && !restoreOwn { // else the store has the streams
			o.addToRing(now, s.Pool)
		}
		o.software[s.Origin].storedAt = seen
		return true
	}
	if m := row.move; m != nil {
		at := time.UnixMilli(m.MovedMillis)
		if now.Sub(at) >= origin.Lifetime {
			return false
		}
		o.recordMove(m.Route, at, true)
		return true
	}
	own := strings.HasPrefix(row.key, o.rowKey(""))
	needed = own
	if name, ok := strings.CutPrefix(row.key, o.ringKey("")); ok && restoreOwn {
		var keys []origin.Key
		for _, s := range row.streams {
			if len(s.Key) == len(origin.Key{}) && now.Sub(time.UnixMilli(s.BegunMillis)) < origin.Lifetime {
				keys = append(keys, origin.Key(s.Key))
			}
		}
		o.ring.Restore(now, name, keys)
	}
	for _, s := range row.streams {
		begun := time.UnixMilli(s.BegunMillis)
		needed = needed || now.Sub(begun) < originRowMaxAge
		r, ok := originRecord(s.Key, s.Pool, s.SoftwareVersion, begun)
		switch {
		case !ok:
		case own && restoreOwn:
			o.table.Restore(now, r)
		default:
			o.table.Merge(now, r)
		}
	}
	return needed
}

// checkStored has the rows written again that the store lacks: it may have been restored from a
// copy. The caller holds the lock.
func (o *origins) checkStored(rows map[string]Position) {
	for key, v := range o.software {
		_, v.stored = rows[softwareKey(key)]
	}
	for route, m := range o.moved {
		_, m.stored = rows[moveKey(route)]
	}
	for _, r := range o.table.Own(time.Time{}) {
		row := originRow(r.Begun)
		if _, ok := rows[o.rowKey(strconv.Itoa(row))]; !ok && o.hasSeveralVersions(r.Origin.Pool) {
			o.dirty[row] = true
		}
	}
	o.ring.Unwritten(func(name string) bool {
		_, ok := rows[o.ringKey(name)]
		return !ok
	})
	o.requestStore()
}

// rowKey returns the key of a row of this instance.
func (o *origins) rowKey(row string) string { return streamPrefix + o.instance + "/" + row }

// ringKey returns the key of a row that this instance writes for all.
func (o *origins) ringKey(row string) string { return ringPrefix + o.instance + "/" + row }

// softwareKey returns the key of a version's row.
func softwareKey(v origin.Origin) string { return hashedKey(softwarePrefix, v.Pool+"\x00"+v.Version) }

// moveKey returns the key of the row of a route whose pools have changed.
func moveKey(route string) string { return hashedKey(movePrefix, route) }

func hashedKey(prefix, name string) string {
	h := sha256.Sum256([]byte(name))
	return prefix + hex.EncodeToString(h[:rowKeyBytes])
}

// originRecord returns the record of a stream as another instance or the store has it.
func originRecord(key []byte, pool, version string, begun time.Time) (origin.Record, bool) {
	if len(key) != len(origin.Key{}) {
		return origin.Record{}, false
	}
	return origin.Record{Key: origin.Key(key), Origin: origin.Origin{Pool: pool, Version: version}, Begun: begun}, true
}

// originsLoop keeps the rows of the streams that began at this instance. At the start it reads
// those of its earlier incarnation, which it would overwrite otherwise.
func (s *Server) originsLoop(ctx context.Context) error {
	o := s.origins
	restored, failures := false, 0
	var ownDue time.Time // when the rows of this instance's own streams are written next
	for ctx.Err() == nil {
		err := error(nil)
		if !restored {
			if err = s.restoreOrigins(ctx); err == nil {
				restored = true
			}
		} else {
			now := time.Now()
			err = o.storeForAll(ctx, now)
			if !now.Before(ownDue) {
				ownErr := o.storeOwn(ctx)
				if ownErr == nil {
					ownDue = time.Time{}
				}
				err = errors.CombineErrors(err, ownErr)
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
		if !ownDue.IsZero() {
			o.requestStore()
		}
		select {
		case <-ctx.Done():
		case <-o.changed:
			if ownDue.IsZero() {
				ownDue = time.Now().Add(jitter(o.ownInterval()) - originStoreDelay)
			}
			sleepJitter(ctx, originStoreDelay)
		}
	}
	return nil
}

// ownInterval returns the time between two writes of the rows of this instance's own streams. In a large fleet they
// only back up the ring.
func (o *origins) ownInterval() time.Duration {
	fleet := o.fleetSize()
	if fleet <= storeScaleFleet {
		return originStoreDelay
	}
	return min(maxOwnInterval, 2*originStoreDelay*time.Duration(fleet)/storeScaleFleet)
}

// writesRing reports whether this instance writes the streams of all instances.
func (o *origins) writesRing(now time.Time) bool {
	return o.fleetSize() > storeScaleFleet && o.heardRank(now) < originWriters
}

// storeOwn writes the rows of versions and of this instance's streams that have changed.
func (o *origins) storeOwn(ctx context.Context) error {
	if err := o.storeSoftware(ctx); err != nil {
		return err
	}
	return o.storeRows(ctx)
}

// storeForAll writes the rows of versions and of all instances' streams, if this instance does.
func (o *origins) storeForAll(ctx context.Context, now time.Time) error {
	if !o.writesRing(now) {
		return nil
	}
	if err := o.storeSoftware(ctx); err != nil {
		return err
	}
	o.mu.Lock()
	rows := o.ring.Due(now)
	values := make([][]storedStream, len(rows))
	for i, row := range rows {
		for _, k := range row.Keys {
			if r, ok := o.table.Get(k); ok {
				values[i] = append(values[i], storedRecord(r))
			}
		}
	}
	o.mu.Unlock()
	var failed error
	for i, row := range rows {
		value, err := json.Marshal(values[i])
		if err == nil {
			err = o.store.Put(ctx, Streams, o.ringKey(row.Name), value)
		}
		if err != nil {
			failed = err
			o.mu.Lock()
			o.ring.Unwritten(func(name string) bool { return name == row.Name })
			o.mu.Unlock()
		}
	}
	return failed
}

// storedRecord returns a record as rows have it.
func storedRecord(r origin.Record) storedStream {
	return storedStream{Key: r.Key[:], Pool: r.Origin.Pool, SoftwareVersion: r.Origin.Version, BegunMillis: r.Begun.UnixMilli()}
}

// restoreOrigins reads the rows at the start, and deletes those that nobody needs.
func (s *Server) restoreOrigins(ctx context.Context) error {
	obsolete, err := s.origins.load(ctx, true)
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

// storeSoftware writes the rows of software versions and of routes that have moved, and deletes the
// rows of versions that no endpoint has any more.
func (o *origins) storeSoftware(ctx context.Context) error {
	type write struct {
		key   string
		value any
	}
	var writes []write
	var ended []origin.Origin
	now := time.Now()
	o.mu.Lock()
	for key, v := range o.software {
		unseen := now.Sub(v.lastSeen)
		switch {
		case unseen >= softwareMemory:
			ended = append(ended, key)
			delete(o.software, key)
		case !v.stored && unseen < softwareRefresh || v.lastSeen.Sub(v.storedAt) >= softwareRefresh:
			v.stored, v.storedAt = true, v.lastSeen
			writes = append(writes, write{softwareKey(key), storedSoftware{key, v.lastSeen.UnixMilli()}})
		}
	}
	for route, m := range o.moved {
		if !m.stored {
			m.stored = true
			writes = append(writes, write{moveKey(route), storedMove{route, m.at.UnixMilli()}})
		}
	}
	o.mu.Unlock()
	for i, w := range writes {
		value, err := json.Marshal(w.value)
		if err == nil {
			err = o.store.Put(ctx, Streams, w.key, value)
		}
		if err != nil {
			o.mu.Lock()
			defer o.mu.Unlock()
			for _, w := range writes[i:] {
				o.markUnstored(w.key)
			}
			return err
		}
	}
	for _, key := range ended {
		if err := o.store.Delete(ctx, Streams, softwareKey(key)); err != nil {
			return err // the row has expired; the next instance that starts deletes it
		}
	}
	return nil
}

// markUnstored records that a row was not written. The caller holds the lock.
func (o *origins) markUnstored(key string) {
	for v, s := range o.software {
		if softwareKey(v) == key {
			s.stored, s.storedAt = false, time.Time{}
		}
	}
	for route, m := range o.moved {
		if moveKey(route) == key {
			m.stored = false
		}
	}
}

// storeRows writes the rows that have changed.
func (o *origins) storeRows(ctx context.Context) error {
	o.mu.Lock()
	dirty := maps.Clone(o.dirty)
	clear(o.dirty)
	rows := map[int][]storedStream{}
	for _, r := range o.table.Own(time.Now().Add(-origin.Lifetime)) {
		if row := originRow(r.Begun); dirty[row] {
			rows[row] = append(rows[row], storedRecord(r))
		}
	}
	o.mu.Unlock()
	var failed error
	for row, streams := range rows {
		value, err := json.Marshal(streams[max(0, len(streams)-origin.RowStreams):])
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
