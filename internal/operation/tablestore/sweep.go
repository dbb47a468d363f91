package tablestore

import (
	"context"
	"time"

	"carawayrouter.example/router/internal/platform"
)

// sweeper removes rows that are older than the retention, a page at a time. One
// goroutine runs it.
type sweeper struct {
	o     Options
	after string // last key looked at
}

func (s *sweeper) run(ctx context.Context) {
	for {
		select {
		case <-s.o.Clock.After(s.o.Settings.SweepInterval):
		case <-ctx.Done():
			return
		}
		if s.o.IsSweeper() {
			s.page(ctx)
		}
	}
}

// page looks at the next rows and deletes the old ones. A failure leaves them for
// the next pass.
func (s *sweeper) page(ctx context.Context) {
	ctx, stop := context.WithTimeout(ctx, s.o.Settings.CallTimeout)
	defer stop()
	rows, err := s.o.Table.Scan(ctx, rowPrefix, s.after, s.o.Settings.SweepPage)
	if err != nil {
		return
	}
	s.after = ""
	if len(rows) == s.o.Settings.SweepPage {
		s.after = rows[len(rows)-1].Key
	}
	var t platform.Txn
	limit := s.o.Clock.Now().Add(-s.o.Settings.Retention)
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
	if _, err := s.o.Table.Commit(ctx, t); err != nil {
		s.o.Log.V(1).Info("sweep of operations failed", "error", err.Error())
	}
}

// expired reports whether a row was claimed before the limit. Rows that cannot be
// read are left to the operators.
func expired(found platform.Row, limit time.Time) bool {
	r, err := decodeRow(found)
	return err == nil && r.ClaimedAt.Before(limit)
}
