// Package memplatform is the platform in memory: a transactional table, an object
// store and a lagging instance list, with faults that tests and the stand-in switch
// on and off.
package memplatform

import (
	"context"
	"math/rand/v2"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"carawayrouter.example/router/internal/clock"
	"carawayrouter.example/router/internal/platform"
)

// Options configure a Store.
type Options struct {
	Clock clock.Clock // the system clock if nil
	Seed  uint64      // seeds the choice of calls that a fault hits
}

// Counts are totals since the Store was made.
type Counts struct {
	Reads        uint64 `json:"reads"`  // calls of Get and Scan on table and objects
	Writes       uint64 `json:"writes"` // transactions committed and objects put
	RowsRead     uint64 `json:"rows_read"`
	RowsWritten  uint64 `json:"rows_written"`
	Conflicts    uint64 `json:"conflicts"`
	BytesRead    uint64 `json:"bytes_read"`
	BytesWritten uint64 `json:"bytes_written"`
}

// Store holds the state that all data centres share. It is safe for concurrent use.
type Store struct {
	clock clock.Clock

	mu      sync.Mutex
	rng     *rand.Rand
	version uint64 // of the newest commit; grows by one with each
	rows    map[string]platform.Row
	keys    []string // of rows, sorted
	delayed []delayedCommit
	objects map[string][]byte
	counts  Counts

	instances map[string]platform.Instance // as they are
	visible   map[string]platform.Instance // as the list shows them
	changes   []listChange                 // not yet visible, oldest first

	down         bool
	listDown     bool
	slow         time.Duration
	loseAnswers  float64
	loseRequests float64
	delayCommits float64
	commitDelay  time.Duration
	lag          time.Duration
	cut          map[string]bool
}

// lateCommit is a transaction whose caller has given up and that takes effect later.
type delayedCommit struct {
	due time.Time
	txn platform.Txn
}

// listChange is a change of the instance list on its way to the readers.
type listChange struct {
	at       time.Time
	instance platform.Instance
	remove   bool
}

// New returns an empty Store.
func New(o Options) *Store {
	if o.Clock == nil {
		o.Clock = clock.Real{}
	}
	return &Store{
		clock:     o.Clock,
		rng:       rand.New(rand.NewPCG(o.Seed, o.Seed^0x9e3779b97f4a7c15)),
		rows:      map[string]platform.Row{},
		objects:   map[string][]byte{},
		instances: map[string]platform.Instance{},
		visible:   map[string]platform.Instance{},
		cut:       map[string]bool{},
	}
}

// For returns the platform as instances of one data centre see it.
func (s *Store) For(dataCentre string) platform.Platform {
	v := &dataCentreView{store: s, dataCentre: dataCentre}
	return platform.Platform{Table: (*table)(v), Objects: (*objects)(v), Instances: (*list)(v)}
}

// Down makes every call to table and object store fail without effect.
func (s *Store) Down(down bool) { s.withLock(func() { s.down = down }) }

// ListDown makes calls to the instance list fail.
func (s *Store) ListDown(down bool) { s.withLock(func() { s.listDown = down }) }

// Slow delays every call to table and object store by d. A transaction whose
// caller gives up meanwhile takes effect later, or never.
func (s *Store) Slow(d time.Duration) { s.withLock(func() { s.slow = d }) }

// LoseAnswers makes the given fraction of transactions take effect and report
// ErrUnknownOutcome.
func (s *Store) LoseAnswers(fraction float64) { s.withLock(func() { s.loseAnswers = fraction }) }

// LoseRequests makes the given fraction of transactions report ErrUnknownOutcome
// without effect.
func (s *Store) LoseRequests(fraction float64) { s.withLock(func() { s.loseRequests = fraction }) }

// DelayCommits makes the given fraction of transactions report ErrUnknownOutcome at
// once and take effect, as far as their conditions hold by then, after d.
func (s *Store) DelayCommits(fraction float64, d time.Duration) {
	s.withLock(func() { s.delayCommits, s.commitDelay = fraction, d })
}

// Cut separates a data centre from all services, or heals it.
func (s *Store) Cut(dataCentre string, cut bool) { s.withLock(func() { s.cut[dataCentre] = cut }) }

// ListLag sets the time after which changes of the instance list become visible.
func (s *Store) ListLag(d time.Duration) { s.withLock(func() { s.lag = d }) }

// SetInstance adds an instance to the list or replaces it.
func (s *Store) SetInstance(i platform.Instance) {
	s.withLock(func() {
		s.instances[i.Name] = i
		s.changes = append(s.changes, listChange{at: s.clock.Now(), instance: i})
	})
}

// RemoveInstance takes an instance off the list.
func (s *Store) RemoveInstance(name string) {
	s.withLock(func() {
		removed, ok := s.instances[name]
		if !ok {
			return
		}
		delete(s.instances, name)
		s.changes = append(s.changes, listChange{at: s.clock.Now(), instance: removed, remove: true})
	})
}

// Peek returns the rows whose keys start with prefix, whatever fault is on, for
// observers in tests. It counts no read and lets no late transaction take effect.
func (s *Store) Peek(prefix string) []platform.Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []platform.Row
	for i := sort.SearchStrings(s.keys, prefix); i < len(s.keys) && strings.HasPrefix(s.keys[i], prefix); i++ {
		r := s.rows[s.keys[i]]
		r.Value = slices.Clone(r.Value)
		rows = append(rows, r)
	}
	return rows
}

// Counts returns the totals so far.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

func (s *Store) withLock(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

// admit waits out the slowness and refuses calls that a fault stops. It returns
// with mu held if err is nil.
func (s *Store) lockForCall(ctx context.Context, dataCentre string) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	s.mu.Lock()
	slow := s.slow
	if err := s.checkAvailable(dataCentre); err != nil {
		s.mu.Unlock()
		return err
	}
	if slow > 0 {
		s.mu.Unlock()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.clock.After(slow):
		}
		s.mu.Lock()
		if err := s.checkAvailable(dataCentre); err != nil {
			s.mu.Unlock()
			return err
		}
	}
	s.applyDelayed()
	return nil
}

// refuse reports whether the store can be reached. The caller holds mu.
func (s *Store) checkAvailable(dataCentre string) error {
	if s.down {
		return errors.WithStack(platform.ErrUnavailable)
	}
	return s.checkCut(dataCentre)
}

func (s *Store) checkCut(dataCentre string) error {
	if s.cut[dataCentre] {
		return errors.Wrapf(platform.ErrUnavailable, "data centre %s is cut off", dataCentre)
	}
	return nil
}

// applyLate commits the transactions that are due. The caller holds mu.
func (s *Store) applyDelayed() {
	now := s.clock.Now()
	kept := s.delayed[:0]
	for _, l := range s.delayed {
		if l.due.After(now) {
			kept = append(kept, l)
			continue
		}
		_, _ = s.commit(l.txn)
	}
	s.delayed = kept
}

// commit checks and applies t. The caller holds mu.
func (s *Store) commit(t platform.Txn) (uint64, error) {
	for _, c := range t.Conditions {
		if have := s.rows[c.Key].Version; have != c.Version {
			s.counts.Conflicts++
			return 0, errors.WithStack(&platform.ConflictError{Key: c.Key, Want: c.Version, Have: have})
		}
	}
	s.version++
	s.counts.Writes++
	for _, w := range t.Writes {
		s.counts.RowsWritten++
		s.counts.BytesWritten += uint64(len(w.Key) + len(w.Value))
		s.applyWrite(w)
	}
	return s.version, nil
}

func (s *Store) applyWrite(w platform.Write) {
	i, present := slices.BinarySearch(s.keys, w.Key)
	switch {
	case w.Delete && present:
		s.keys = slices.Delete(s.keys, i, i+1)
		delete(s.rows, w.Key)
	case w.Delete:
	default:
		if !present {
			s.keys = slices.Insert(s.keys, i, w.Key)
		}
		s.rows[w.Key] = platform.Row{Key: w.Key, Version: s.version, Value: slices.Clone(w.Value)}
	}
}

// read returns a copy of a row. The caller holds mu.
func (s *Store) readRow(key string) platform.Row {
	r, ok := s.rows[key]
	if !ok {
		return platform.Row{Key: key}
	}
	r.Value = slices.Clone(r.Value)
	s.counts.RowsRead++
	s.counts.BytesRead += uint64(len(r.Key) + len(r.Value))
	return r
}

// view is the store as one data centre reaches it.
type dataCentreView struct {
	store      *Store
	dataCentre string
}

// table implements platform.Table.
type table dataCentreView

// Get implements platform.Table.
func (t *table) Get(ctx context.Context, keys ...string) ([]platform.Row, error) {
	s := t.store
	if err := s.lockForCall(ctx, t.dataCentre); err != nil {
		return nil, err
	}
	defer s.mu.Unlock()
	s.counts.Reads++
	rows := make([]platform.Row, 0, len(keys))
	for _, k := range keys {
		rows = append(rows, s.readRow(k))
	}
	return rows, nil
}

// Scan implements platform.Table.
func (t *table) Scan(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	s := t.store
	if err := s.lockForCall(ctx, t.dataCentre); err != nil {
		return nil, err
	}
	defer s.mu.Unlock()
	s.counts.Reads++
	i := sort.SearchStrings(s.keys, prefix)
	if after >= prefix {
		i = sort.Search(len(s.keys), func(i int) bool { return s.keys[i] > after })
	}
	var rows []platform.Row
	for ; i < len(s.keys) && len(rows) < limit && strings.HasPrefix(s.keys[i], prefix); i++ {
		rows = append(rows, s.readRow(s.keys[i]))
	}
	return rows, nil
}

// Commit implements platform.Table.
func (t *table) Commit(ctx context.Context, txn platform.Txn) (uint64, error) {
	s := t.store
	start := s.clock.Now()
	if err := s.lockForCall(ctx, t.dataCentre); err != nil {
		return 0, t.abandonCommit(ctx, start, txn, err)
	}
	defer s.mu.Unlock()
	if s.loseRequests > 0 && s.rng.Float64() < s.loseRequests {
		return 0, errors.WithStack(platform.ErrUnknownOutcome)
	}
	if s.delayCommits > 0 && s.rng.Float64() < s.delayCommits {
		s.delayed = append(s.delayed, delayedCommit{due: s.clock.Now().Add(s.commitDelay), txn: txn})
		return 0, errors.WithStack(platform.ErrUnknownOutcome)
	}
	version, err := s.commit(txn)
	if s.loseAnswers > 0 && s.rng.Float64() < s.loseAnswers {
		return 0, errors.WithStack(platform.ErrUnknownOutcome)
	}
	return version, err
}

// abandon decides the fate of a transaction whose caller gave up while the store
// was slow: it takes effect when the store gets to it, or never.
func (t *table) abandonCommit(ctx context.Context, start time.Time, txn platform.Txn, err error) error {
	if ctx.Err() == nil || errors.Is(err, platform.ErrUnavailable) {
		return err
	}
	s := t.store
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.slow == 0 {
		return err
	}
	if s.rng.IntN(2) == 0 {
		s.delayed = append(s.delayed, delayedCommit{due: start.Add(s.slow), txn: txn})
	}
	return errors.WithSecondaryError(errors.WithStack(platform.ErrUnknownOutcome), err)
}

// objects implements platform.Objects.
type objects dataCentreView

// Put implements platform.Objects.
func (o *objects) Put(ctx context.Context, name string, data []byte) error {
	s := o.store
	if err := s.lockForCall(ctx, o.dataCentre); err != nil {
		return err
	}
	defer s.mu.Unlock()
	s.counts.Writes++
	s.counts.BytesWritten += uint64(len(data))
	s.objects[name] = slices.Clone(data)
	return nil
}

// Get implements platform.Objects.
func (o *objects) Get(ctx context.Context, name string) ([]byte, error) {
	s := o.store
	if err := s.lockForCall(ctx, o.dataCentre); err != nil {
		return nil, err
	}
	defer s.mu.Unlock()
	s.counts.Reads++
	data, ok := s.objects[name]
	if !ok {
		return nil, errors.Wrapf(platform.ErrNotFound, "object %s", name)
	}
	s.counts.BytesRead += uint64(len(data))
	return slices.Clone(data), nil
}

// List implements platform.Objects.
func (o *objects) List(ctx context.Context, prefix string) ([]string, error) {
	s := o.store
	if err := s.lockForCall(ctx, o.dataCentre); err != nil {
		return nil, err
	}
	defer s.mu.Unlock()
	s.counts.Reads++
	var names []string
	for n := range s.objects {
		if strings.HasPrefix(n, prefix) {
			names = append(names, n)
		}
	}
	slices.Sort(names)
	return names, nil
}

// list implements platform.Instances.
type list dataCentreView

// List implements platform.Instances.
func (l *list) List(ctx context.Context) ([]platform.Instance, error) {
	s := l.store
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := l.checkAvailable(ctx); err != nil {
		return nil, err
	}
	s.publishChanges()
	all := make([]platform.Instance, 0, len(s.visible))
	for _, i := range s.visible {
		all = append(all, i)
	}
	slices.SortFunc(all, func(a, b platform.Instance) int { return strings.Compare(a.Name, b.Name) })
	return all, nil
}

// Leave implements platform.Instances.
func (l *list) Leave(ctx context.Context, name string) error {
	s := l.store
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := l.checkAvailable(ctx); err != nil {
		return err
	}
	i, ok := s.instances[name]
	if !ok {
		return errors.Wrapf(platform.ErrNotFound, "instance %s", name)
	}
	i.State = platform.Leaving
	s.instances[name] = i
	s.changes = append(s.changes, listChange{at: s.clock.Now(), instance: i})
	return nil
}

// admit refuses calls that a fault stops. The caller holds the store's mu.
func (l *list) checkAvailable(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	if l.store.listDown {
		return errors.WithStack(platform.ErrUnavailable)
	}
	return l.store.checkCut(l.dataCentre)
}

// publish makes the changes visible that are older than the lag. The caller holds mu.
func (s *Store) publishChanges() {
	now := s.clock.Now()
	n := 0
	for ; n < len(s.changes) && !s.changes[n].at.Add(s.lag).After(now); n++ {
		c := s.changes[n]
		if c.remove {
			delete(s.visible, c.instance.Name)
			continue
		}
		s.visible[c.instance.Name] = c.instance
	}
	s.changes = slices.Delete(s.changes, 0, n)
}
