// Package memplatform implements the platform services in memory: a transactional table, an
// object store and an instance list with delayed updates. Tests and the stand-in platform
// can inject faults.
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

// Options configures a Store.
type Options struct {
	Clock clock.Clock // the system clock if nil
	Seed  uint64      // random seed for selecting the calls that are affected by a fault
}

// Counts holds totals since the Store was created.
type Counts struct {
	Reads        uint64 `json:"reads"`  // read calls to the table and the object store
	Writes       uint64 `json:"writes"` // committed transactions and stored objects
	RowsRead     uint64 `json:"rows_read"`
	RowsWritten  uint64 `json:"rows_written"`
	Conflicts    uint64 `json:"conflicts"`
	BytesRead    uint64 `json:"bytes_read"`
	BytesWritten uint64 `json:"bytes_written"`
}

// Store holds the state shared by all data centres. It is safe for concurrent use.
type Store struct {
	clock clock.Clock

	mu      sync.Mutex
	rng     *rand.Rand
	version uint64 // version of the latest commit, incremented by each commit
	rows    map[string]platform.Row
	keys    []string // sorted keys of rows
	delayed []delayedCommit
	objects map[string][]byte
	counts  Counts

	instances map[string]platform.Instance // current instances
	visible   map[string]platform.Instance // instances as returned by List
	changes   []listChange                 // changes that are not yet visible, oldest first

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

// delayedCommit is a transaction that takes effect after its call returned an error.
type delayedCommit struct {
	due time.Time
	txn platform.Txn
}

// listChange is a change of the instance list that is not yet visible to readers.
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

// For returns the platform services as seen from one data centre.
func (s *Store) For(dataCentre string) platform.Platform {
	v := &dataCentreView{store: s, dataCentre: dataCentre}
	return platform.Platform{Table: (*table)(v), Objects: (*objects)(v), Instances: (*list)(v)}
}

// Down makes all calls to the table and the object store fail without effect.
func (s *Store) Down(down bool) { s.withLock(func() { s.down = down }) }

// ListDown makes all calls to the instance list fail.
func (s *Store) ListDown(down bool) { s.withLock(func() { s.listDown = down }) }

// Slow delays every call to the table and the object store by d. If the context of a
// commit ends during the delay, the transaction takes effect later or never.
func (s *Store) Slow(d time.Duration) { s.withLock(func() { s.slow = d }) }

// LoseAnswers makes the given fraction of commits take effect but return
// ErrUnknownOutcome.
func (s *Store) LoseAnswers(fraction float64) { s.withLock(func() { s.loseAnswers = fraction }) }

// LoseRequests makes the given fraction of commits return ErrUnknownOutcome without taking
// effect.
func (s *Store) LoseRequests(fraction float64) { s.withLock(func() { s.loseRequests = fraction }) }

// DelayCommits makes the given fraction of commits return ErrUnknownOutcome immediately.
// Their transactions take effect after d if their conditions hold at that time.
func (s *Store) DelayCommits(fraction float64, d time.Duration) {
	s.withLock(func() { s.delayCommits, s.commitDelay = fraction, d })
}

// Cut disconnects a data centre from all services, or reconnects it.
func (s *Store) Cut(dataCentre string, cut bool) { s.withLock(func() { s.cut[dataCentre] = cut }) }

// ListLag sets the delay after which changes of the instance list become visible.
func (s *Store) ListLag(d time.Duration) { s.withLock(func() { s.lag = d }) }

// SetInstance adds an instance to the list or replaces it.
func (s *Store) SetInstance(i platform.Instance) {
	s.withLock(func() {
		s.instances[i.Name] = i
		s.changes = append(s.changes, listChange{at: s.clock.Now(), instance: i})
	})
}

// RemoveInstance removes an instance from the list.
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

// Peek returns the rows whose keys start with prefix, for inspection by tests. It ignores
// faults, is not counted as a read and does not apply delayed transactions.
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

// lockForCall waits for the injected delay and returns an error if a fault prevents the
// call. Otherwise it returns with mu held, after applying the delayed transactions that are
// due.
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

// checkAvailable returns an error if the store is down or cannot be reached from the data
// centre. The caller must hold mu.
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

// applyDelayed commits the delayed transactions that are due. The caller must hold mu.
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

// commit checks the conditions of t and applies its writes. The caller must hold mu.
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

// readRow returns a copy of a row. The caller must hold mu.
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

// dataCentreView is the store as seen from one data centre.
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

// abandonCommit handles a commit whose context ended during the injected delay. With equal
// probability, the transaction takes effect at the end of the delay or never.
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

// checkAvailable returns an error if a fault prevents the call. The caller must hold the
// mutex of the store.
func (l *list) checkAvailable(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	if l.store.listDown {
		return errors.WithStack(platform.ErrUnavailable)
	}
	return l.store.checkCut(l.dataCentre)
}

// publishChanges makes visible all changes that are at least as old as the list lag. The
// caller must hold mu.
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
