package tablestore

import (
	"context"
	"time"

	"carawayrouter.example/router/internal/platform"
)

// sweeper deletes rows older than the retention, one page at a time. It runs in one
// goroutine.
type sweeper struct {
	opts    Options
	lastKey string // last key of the previous page; empty at the start of a pass
}

func (s *sweeper) run(ctx context.Context) {
	for {
		select {
		case <-s.opts.Clock.After(s.opts.Settings.SweepInterval):
		case <-ctx.Done():
			return
		}
		if s.opts.IsSweeper() {
			s.sweepPage(ctx)
		}
	}
}

// sweepPage scans the next page and deletes its expired rows. If that fails, the next pass
// deletes them.
func (s *sweeper) sweepPage(ctx context.Context) {
	ctx, stop := context.WithTimeout(ctx, s.opts.Settings.CallTimeout)
	defer stop()
	rows, err := s.opts.Table.Scan(ctx, rowPrefix, s.lastKey, s.opts.Settings.SweepPage)
	if err != nil {
		return
	}
	s.lastKey = ""
	if len(rows) == s.opts.Settings.SweepPage {
		s.lastKey = rows[len(rows)-1].Key
	}
	var t platform.Txn
	limit := s.opts.Clock.Now().Add(-s.opts.Settings.Retention)
	for _, found := range rows {
		if !expired(found, limit) {
			continue
		}
		t.Conditions = append(t.Conditions, platform.Condition{Key: found.Key, Version: found.Version})
		t.Writes = append(t.Writes, platform.Write{Key: found.Key, Delete: true})
	}
	if len(t.Writes) == 0 {
		return
	}
	if _, err := s.opts.Table.Commit(ctx, t); err != nil {
		s.opts.Log.V(1).Info("sweep of operations failed", "error", err.Error())
	}
}

// expired reports whether a row was claimed before the limit. Rows that cannot be decoded
// are kept for the operators.
func expired(found platform.Row, limit time.Time) bool {
	r, err := decodeRow(found)
	return err == nil && r.ClaimedAt.Before(limit)
}
