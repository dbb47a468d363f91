// Package fairqueue holds waiting requests in a weighted fair order over client
// accounts, by start-time fair queuing on token cost. It is a pure data structure:
// it starts no goroutines and takes the time as an argument.
//
// Three bands share the service. Interactive entries that can still meet their
// latency target come first, interactive entries that no longer can are late, and
// patient entries may wait long. Late and patient entries have a guaranteed minimal
// share while they wait, and take everything that interactive entries leave.
package fairqueue

import (
	"cmp"
	"container/heap"
	"container/list"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"carawayrouter.example/router/internal/config"
)

// ErrFull means that the queue, or the account's part of it, is full.
var ErrFull = errors.New("fair queue is full")

// Config bounds a Queue and divides the service between bands.
type Config struct {
	MaxEntries    int     // entries over all accounts
	MaxPerAccount int     // entries of one account
	PatientShare  float64 // guaranteed share of patient entries, 0 to 1
	LateShare     float64 // guaranteed share of late entries, 0 to 1
	ScanLimit     int     // accounts that one Next looks at in each band
	MaxSkips      int     // times that others overtake an entry before it counts as starved
	// Credit is the cost that an account which asked for less than its share may
	// have ahead of the others when it comes back.
	Credit float64
}

// Default returns the configuration used where nothing else is set.
func Default() Config {
	return Config{MaxEntries: 4096, MaxPerAccount: 2048, PatientShare: 0.05, LateShare: 0.01, ScanLimit: 16, MaxSkips: 32, Credit: 8192}
}

// Entry is one waiting request. The queue owns it from Push until Next, Expire or
// Remove gives it back.
type Entry[V any] struct {
	Account  string
	Weight   float64 // share among accounts; values up to 0 count as 1
	Cost     float64 // tokens
	Class    config.Class
	Due      time.Time // latest start that meets the latency target; zero for none
	Deadline time.Time // latest start at all; zero for none
	Value    V

	flow   *flow[V] // nil while not queued
	elem   *list.Element
	expiry int // index in Queue.expiry, -1 if absent
	skips  int
}

// Starved reports whether others overtook the entry too often because it did not
// fit. Resources should then be kept free for it.
func (e *Entry[V]) Starved(maxSkips int) bool { return e.skips >= maxSkips }

// Queue is the fair queue. It is not safe for concurrent use.
type Queue[V any] struct {
	cfg      Config
	virtual  float64 // virtual time between bands
	bands    [bandCount]band[V]
	count    int
	accounts map[string]int // waiting entries by account
	expiry   expiryHeap[V]
	scratch  []*flow[V]
}

const (
	bandInteractive = iota
	bandLate
	bandPatient
	bandCount
)

// band is the fair queue of one class over accounts.
type band[V any] struct {
	share   float64
	credit  float64
	start   float64 // start tag of the band's next entry
	virtual float64 // virtual time between the band's accounts
	flows   map[string]*flow[V]
	active  flowHeap[V] // flows with entries, by start tag
}

// flow is the sequence of one account's entries in one band.
type flow[V any] struct {
	band    *band[V]
	account string
	weight  float64
	start   float64 // start tag of the first entry; of the next one while empty
	cost    float64 // sum over entries
	entries *list.List
	index   int // in band.active, -1 while empty
}

// New returns an empty Queue.
func New[V any](cfg Config) *Queue[V] {
	q := &Queue[V]{cfg: cfg, accounts: map[string]int{}}
	q.bands[bandInteractive].share = 1 - cfg.LateShare - cfg.PatientShare
	q.bands[bandLate].share = cfg.LateShare
	q.bands[bandPatient].share = cfg.PatientShare
	for i := range q.bands {
		q.bands[i].flows = map[string]*flow[V]{}
		q.bands[i].credit = cfg.Credit
	}
	return q
}

// Len returns the number of waiting entries.
func (q *Queue[V]) Len() int { return q.count }

// Push adds an entry. Where the whole queue is full, it makes room by giving back
// the newest entry of the account with the most entries, provided that this account
// has more than the new entry's account would have.
func (q *Queue[V]) Push(e *Entry[V]) (evicted *Entry[V], err error) {
	if q.accounts[e.Account] >= q.cfg.MaxPerAccount {
		return nil, ErrFull
	}
	if q.count >= q.cfg.MaxEntries {
		if evicted = q.newestOfLongest(q.accounts[e.Account] + 1); evicted == nil {
			return nil, ErrFull
		}
		q.Remove(evicted)
	}
	if e.Weight <= 0 {
		e.Weight = 1
	}
	q.count++
	q.accounts[e.Account]++
	e.skips = 0
	e.expiry = -1
	if !e.Deadline.IsZero() {
		heap.Push(&q.expiry, e)
	}
	q.insert(q.bandOf(e), e)
	return evicted, nil
}

// Remove takes an entry out, wherever it waits. The account is not charged. It
// reports false if the entry is not queued.
func (q *Queue[V]) Remove(e *Entry[V]) bool {
	if e.flow == nil {
		return false
	}
	q.detach(e)
	if e.expiry >= 0 {
		heap.Remove(&q.expiry, e.expiry)
	}
	q.count--
	if q.accounts[e.Account]--; q.accounts[e.Account] == 0 {
		delete(q.accounts, e.Account)
	}
	return true
}

// Expire removes and returns the entries whose deadline has passed.
func (q *Queue[V]) Expire(now time.Time) []*Entry[V] {
	var expired []*Entry[V]
	for len(q.expiry) > 0 && q.expiry[0].Deadline.Before(now) {
		e := q.expiry[0]
		q.Remove(e)
		expired = append(expired, e)
	}
	return expired
}

// NextDeadline returns the earliest deadline of any entry.
func (q *Queue[V]) NextDeadline() (at time.Time, ok bool) {
	if len(q.expiry) == 0 {
		return time.Time{}, false
	}
	return q.expiry[0].Deadline, true
}

// Next removes and returns the first entry in fair order that fits, charges its
// account, or returns nil. Entries passed over come closer to being starved; fits
// learns whether an entry is.
func (q *Queue[V]) Next(now time.Time, fits func(e *Entry[V], starved bool) bool) *Entry[V] {
	q.demote(now)
	for _, b := range q.backlogged() {
		if e := q.scan(b, fits); e != nil {
			q.charge(e)
			q.Remove(e)
			return e
		}
	}
	return nil
}

// Each calls f for every entry, in no particular order. f must not change the queue.
func (q *Queue[V]) Each(f func(e *Entry[V])) {
	for i := range q.bands {
		for _, fl := range q.bands[i].active {
			for el := fl.entries.Front(); el != nil; el = el.Next() {
				f(el.Value.(*Entry[V]))
			}
		}
	}
}

// CostAhead returns the cost that the queue serves before e, if e were pushed now
// and nothing came after it.
func (q *Queue[V]) CostAhead(e *Entry[V]) float64 {
	b := q.bandOf(e)
	weight := e.Weight
	if weight <= 0 {
		weight = 1
	}
	start := b.earliest(weight)
	if f := b.flows[e.Account]; f != nil {
		start = max(start, f.start) + f.cost/f.weight
	}
	ahead := 0.0
	for _, f := range b.active {
		if f.account == e.Account {
			ahead += f.cost
			continue
		}
		ahead += min(f.cost, max(0, start-f.start)*f.weight)
	}
	if b == &q.bands[bandPatient] {
		for _, f := range q.bands[bandInteractive].active {
			ahead += f.cost
		}
		return ahead
	}
	return ahead / b.share
}

// bandOf returns the band in which an entry starts.
func (q *Queue[V]) bandOf(e *Entry[V]) *band[V] {
	if e.Class == config.Patient {
		return &q.bands[bandPatient]
	}
	return &q.bands[bandInteractive]
}

// insert appends e to its account's flow in b.
func (q *Queue[V]) insert(b *band[V], e *Entry[V]) {
	if len(b.active) == 0 {
		b.start = max(b.start, q.virtual)
	}
	f := b.flows[e.Account]
	if f == nil {
		f = &flow[V]{band: b, account: e.Account, entries: list.New(), index: -1, start: b.earliest(e.Weight)}
		b.flows[e.Account] = f
	}
	f.weight = e.Weight
	f.cost += e.Cost
	e.flow = f
	e.elem = f.entries.PushBack(e)
	if f.index < 0 {
		f.start = max(f.start, b.earliest(e.Weight))
		heap.Push(&b.active, f)
	}
}

// earliest returns the lowest start tag of a flow that gets an entry after it was
// empty.
func (b *band[V]) earliest(weight float64) float64 { return b.virtual - b.credit/weight }

// detach takes e out of its flow.
func (q *Queue[V]) detach(e *Entry[V]) {
	f := e.flow
	f.entries.Remove(e.elem)
	f.cost -= e.Cost
	e.flow, e.elem = nil, nil
	if f.entries.Len() > 0 {
		return
	}
	f.cost = 0
	heap.Remove(&f.band.active, f.index)
	f.band.forget()
}

// forget drops the state of empty flows that no longer matters: all of it once the
// band is empty, else that of flows with full credit.
func (b *band[V]) forget() {
	const slack = 64
	if len(b.active) == 0 {
		clear(b.flows)
		b.virtual = 0
		return
	}
	if len(b.flows) <= 2*len(b.active)+slack {
		return
	}
	for name, f := range b.flows {
		if f.index < 0 && f.start <= b.earliest(f.weight) {
			delete(b.flows, name)
		}
	}
}

// demote moves interactive entries that missed their latest useful start and are
// first of their account to the late band.
func (q *Queue[V]) demote(now time.Time) {
	b := &q.bands[bandInteractive]
	var overdue []*Entry[V]
	for _, f := range b.active {
		for el := f.entries.Front(); el != nil; el = el.Next() {
			e := el.Value.(*Entry[V])
			if e.Due.IsZero() || !e.Due.Before(now) {
				break
			}
			overdue = append(overdue, e)
		}
	}
	for _, e := range overdue {
		q.detach(e)
		q.insert(&q.bands[bandLate], e)
	}
}

// backlogged returns the bands with entries, by start tag.
func (q *Queue[V]) backlogged() []*band[V] {
	bands := make([]*band[V], 0, bandCount)
	for i := range q.bands {
		if len(q.bands[i].active) > 0 {
			bands = append(bands, &q.bands[i])
		}
	}
	slices.SortStableFunc(bands, func(a, b *band[V]) int { return cmp.Compare(a.start, b.start) })
	return bands
}

// scan returns the first entry of b that fits, looking at the first entry of a
// bounded number of accounts.
func (q *Queue[V]) scan(b *band[V], fits func(*Entry[V], bool) bool) *Entry[V] {
	var found *Entry[V]
	q.scratch = q.scratch[:0]
	for len(b.active) > 0 && len(q.scratch) < q.cfg.ScanLimit {
		f := heap.Pop(&b.active).(*flow[V])
		q.scratch = append(q.scratch, f)
		e := f.entries.Front().Value.(*Entry[V])
		if fits(e, e.Starved(q.cfg.MaxSkips)) {
			found = e
			break
		}
	}
	for _, f := range q.scratch {
		heap.Push(&b.active, f)
		if e := f.entries.Front().Value.(*Entry[V]); found != nil && e != found {
			e.skips++
		}
	}
	return found
}

// charge advances the virtual times by the service of e.
func (q *Queue[V]) charge(e *Entry[V]) {
	f := e.flow
	b := f.band
	q.virtual = max(q.virtual, b.start)
	b.start += e.Cost / b.share
	b.virtual = max(b.virtual, f.start)
	f.start += e.Cost / f.weight
	heap.Fix(&b.active, f.index)
}

// newestOfLongest returns the newest entry of the account with the most entries, if
// it has more than the given number.
func (q *Queue[V]) newestOfLongest(than int) *Entry[V] {
	longest, most := "", than
	for a, n := range q.accounts {
		if n > most || n == most && longest != "" && a < longest {
			longest, most = a, n
		}
	}
	if longest == "" {
		return nil
	}
	for i := bandCount - 1; i >= 0; i-- {
		if f := q.bands[i].flows[longest]; f != nil && f.index >= 0 {
			return f.entries.Back().Value.(*Entry[V])
		}
	}
	return nil
}
