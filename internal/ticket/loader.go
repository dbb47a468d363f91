package ticket

import (
	"context"

	"github.com/cockroachdb/errors"

	"carawayrouter.example/router/internal/config"
	"carawayrouter.example/router/internal/platform"
)

// tailLimit is the number of tickets read in one call.
const tailLimit = 256

// loader builds the configuration at a given ticket from snapshot and tail.
type loader struct {
	table   platform.Table
	objects platform.Objects
	set     *set
}

// Load returns the configuration in which ticket n is the newest.
func Load(ctx context.Context, p platform.Platform, n uint64) (*config.State, error) {
	l := &loader{table: p.Table, objects: p.Objects}
	if err := l.load(ctx, n); err != nil {
		return nil, err
	}
	return l.set.state(), nil
}

// load brings the set to ticket n exactly.
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

// newestSnapshot returns the newest snapshot up to ticket n, or the empty set.
func newestSnapshot(ctx context.Context, objects platform.Objects, n uint64) (*set, error) {
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
			continue // emptied
		}
		if s, err := decodeSnapshot(data); err == nil {
			return s, nil
		}
	}
	return newSet(0, &config.Objects{}), nil
}
