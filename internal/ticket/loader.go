package ticket

import (
	"context"

	"github.com/cockroachdb/errors"

	"carawayrouter.example/router/internal/config"
	"carawayrouter.example/router/internal/platform"
)

// tailLimit is the maximum number of tickets read in one call.
const tailLimit = 256

// loader builds the configuration at a given ticket from a snapshot and the tickets
// after it.
type loader struct {
	table   platform.Table
	objects platform.Objects
	set     *objectSet
}

// Load returns the configuration as of ticket n.
func Load(ctx context.Context, p platform.Platform, n uint64) (*config.State, error) {
	l := &loader{table: p.Table, objects: p.Objects}
	if err := l.load(ctx, n); err != nil {
		return nil, err
	}
	return l.set.build(), nil
}

// load advances the object set to exactly ticket n. It reloads a snapshot if the set
// is already past n.
func (l *loader) load(ctx context.Context, n uint64) error {
	if l.set == nil || l.set.ticket > n {
		s, err := newestSnapshot(ctx, l.objects, n)
		if err != nil {
			return err
		}
		l.set = s
	}
	for l.set.ticket < n {
		limit := int(min(tailLimit, n-l.set.ticket))
		tail, err := readTail(ctx, l.table, l.set.ticket, limit)
		if err != nil {
			return err
		}
		if len(tail) == 0 {
			return errors.Newf("ticket %d is missing", l.set.ticket+1)
		}
		if err := l.apply(tail); err != nil {
			return err
		}
	}
	return nil
}

func (l *loader) apply(tail [][]byte) error {
	for _, data := range tail {
		t, err := DecodeTicket(data)
		if err != nil {
			return err
		}
		l.set.apply(t)
	}
	return nil
}

// newestSnapshot returns the newest readable snapshot up to ticket n, or an empty set.
func newestSnapshot(ctx context.Context, objects platform.Objects, n uint64) (*objectSet, error) {
	names, err := objects.List(ctx, snapshotPrefix)
	if err != nil {
		return nil, errors.Wrap(err, "list snapshots")
	}
	for i := len(names) - 1; i >= 0; i-- {
		if names[i] > snapshotName(n) {
			continue
		}
		data, err := objects.Get(ctx, names[i])
		if err != nil {
			return nil, errors.Wrapf(err, "read %s", names[i])
		}
		if len(data) == 0 {
			continue // truncated by snapshotWriter
		}
		if s, err := decodeSnapshot(data); err == nil {
			return s, nil
		}
	}
	return newObjectSet(0, &config.Objects{}), nil
}
