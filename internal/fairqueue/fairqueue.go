// Package fairqueue implements a weighted fair queue of requests over client accounts,
// using start-time fair queuing on token cost. It is a pure data structure: it starts
// no goroutines and takes the current time as an argument.
//
// Three bands share the capacity: interactive entries that can still meet their latency
// target, late interactive entries that no longer can, and patient entries, which may
// wait long. The interactive band goes first. The late and patient bands have a
// guaranteed minimum share while they have entries, and get all the capacity that the
// interactive band does not use.
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

// ErrFull means that the queue is full or the account has too many entries in it.
var ErrFull = errors.New("fair queue is full")

// Config sets the limits of a Queue and the shares of its bands.
type Config struct {
	MaxEntries    int     // entries of all accounts
	MaxPerAccount int     // entries of one account
	PatientShare  float64 // guaranteed share of patient entries, 0 to 1
	LateShare     float64 // guaranteed share of late entries, 0 to 1
	ScanLimit     int     // accounts per band that one call of Next examines
	MaxSkips      int     // times that an entry is overtaken before it counts as starved
	// Credit is the cost that an account that was idle or below its share may be
	// served ahead of the others when it becomes backlogged again.
	Credit float64
}

// Default returns the default configuration.
func Default() Config {
	return Config{MaxEntries: 4096, MaxPerAccount: 2048, PatientShare: 0.05, LateShare: 0.01, ScanLimit: 16, MaxSkips: 32, Credit: 8192}
}

// Entry is one waiting request. The queue owns it from Push until Next, Expire or Remove
// returns it, or Push evicts it.
type Entry[V any] struct {
	Account  string
	Weight   float64 // relative share among accounts; values up to 0 count as 1
	Cost     float64 // tokens
	Class    config.Class
	Due      time.Time // latest start that meets the latency target; zero for none
	Deadline time.Time // latest start at all; zero for none
	Value    V

	flow        *flow[V] // nil while not queued
	elem        *list.Element
	expiryIndex int // index in Queue.expiry, -1 if absent
	skipCount   int
}

// Starved reports whether the entry was overtaken at least maxSkips times because it did
// not fit. Resources should then be reserved for it.
func (e *Entry[V]) Starved(maxSkips int) bool { return e.skipCount >= maxSkips }

// Queue is a weighted fair queue. It is not safe for concurrent use.
type Queue[V any] struct {
	cfg         Config
	virtualTime float64 // for scheduling between bands
	bands       [bandCount]band[V]
	length      int
	accounts    map[string]int // waiting entries by account
	expiry      expiryHeap[V]
	scanned     []*flow[V] // buffer of scan
}

const (
	bandInteractive = iota
	bandLate
	bandPatient
	bandCount
)

// band is the fair queue of one class of entries over accounts.
type band[V any] struct {
	share       float64
	credit      float64
	startTag    float64 // start tag of the band's next entry
	virtualTime float64 // for scheduling between the band's accounts
	flows       map[string]*flow[V]
	backlogged  flowHeap[V] // flows with entries, by start tag
}

// flow is the FIFO queue of one account's entries in one band.
type flow[V any] struct {
	band     *band[V]
	account  string
	weight   float64
	startTag float64 // start tag of the first entry, or of the next one if the flow is empty
	cost     float64 // sum over entries
	entries  *list.List
	index    int // in band.backlogged, -1 if the flow is empty
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
func (q *Queue[V]) Len() int { return q.length }

// Push adds an entry. If the whole queue is full, it evicts and returns the newest entry
// of the account with the most entries, provided that this account has more entries than
// the new entry's account would have.
func (q *Queue[V]) Push(e *Entry[V]) (evicted *Entry[V], err error) {
	if q.accounts[e.Account] >= q.cfg.MaxPerAccount {
		return nil, ErrFull
	}
	if q.length >= q.cfg.MaxEntries {
		if evicted = q.newestOfLongest(q.accounts[e.Account] + 1); evicted == nil {
			return nil, ErrFull
		}
		q.Remove(evicted)
	}
	if e.Weight <= 0 {
		e.Weight = 1
	}
	q.length++
	q.accounts[e.Account]++
	e.skipCount = 0
	e.expiryIndex = -1
	if !e.Deadline.IsZero() {
		heap.Push(&q.expiry, e)
	}
	q.insert(q.bandOf(e), e)
	return evicted, nil
}

// Remove removes an entry without charging its account. It returns false if the entry is
// not queued.
func (q *Queue[V]) Remove(e *Entry[V]) bool {
	if e.flow == nil {
		return false
	}
	q.detach(e)
	if e.expiryIndex >= 0 {
		heap.Remove(&q.expiry, e.expiryIndex)
	}
	q.length--
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

// Next removes and returns the first entry in fair order for which fits returns true, and
// charges its account. It returns nil if there is none. Entries of the same band that were
// examined before it and did not fit count as overtaken; the starved argument of fits
// reports whether this has happened to an entry MaxSkips times.
func (q *Queue[V]) Next(now time.Time, fits func(e *Entry[V], starved bool) bool) *Entry[V] {
	q.moveOverdue(now)
	for _, b := range q.backloggedBands() {
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
		for _, fl := range q.bands[i].backlogged {
			for el := fl.entries.Front(); el != nil; el = el.Next() {
				f(el.Value.(*Entry[V]))
			}
		}
	}
}

// CostAhead returns the cost that the queue would serve before e if e were pushed now and
// no further entries arrived.
func (q *Queue[V]) CostAhead(e *Entry[V]) float64 {
	b := q.bandOf(e)
	weight := e.Weight
	if weight <= 0 {
		weight = 1
	}
	start := b.minStartTag(weight)
	if f := b.flows[e.Account]; f != nil {
		start = max(start, f.startTag) + f.cost/f.weight
	}
	ahead := 0.0
	for _, f := range b.backlogged {
		if f.account == e.Account {
			ahead += f.cost
			continue
		}
		ahead += min(f.cost, max(0, start-f.startTag)*f.weight)
	}
	if b == &q.bands[bandPatient] {
		for _, f := range q.bands[bandInteractive].backlogged {
			ahead += f.cost
		}
		return ahead
	}
	return ahead / b.share
}

// bandOf returns the band that an entry is first put into.
func (q *Queue[V]) bandOf(e *Entry[V]) *band[V] {
	if e.Class == config.Patient {
		return &q.bands[bandPatient]
	}
	return &q.bands[bandInteractive]
}

// insert appends e to its account's flow in b.
func (q *Queue[V]) insert(b *band[V], e *Entry[V]) {
	if len(b.backlogged) == 0 {
		b.startTag = max(b.startTag, q.virtualTime)
	}
	f := b.flows[e.Account]
	if f == nil {
		f = &flow[V]{band: b, account: e.Account, entries: list.New(), index: -1, startTag: b.minStartTag(e.Weight)}
		b.flows[e.Account] = f
	}
	f.weight = e.Weight
	f.cost += e.Cost
	e.flow = f
	e.elem = f.entries.PushBack(e)
	if f.index < 0 {
		f.startTag = max(f.startTag, b.minStartTag(e.Weight))
		heap.Push(&b.backlogged, f)
	}
}

// minStartTag returns the lowest start tag that a flow can have when it becomes
// backlogged.
func (b *band[V]) minStartTag(weight float64) float64 { return b.virtualTime - b.credit/weight }

// detach removes e from its flow.
func (q *Queue[V]) detach(e *Entry[V]) {
	f := e.flow
	f.entries.Remove(e.elem)
	f.cost -= e.Cost
	e.flow, e.elem = nil, nil
	if f.entries.Len() > 0 {
		return
	}
	f.cost = 0
	heap.Remove(&f.band.backlogged, f.index)
	f.band.pruneFlows()
}

// pruneFlows deletes empty flows whose state no longer matters: all flows once the band is
// empty, otherwise, when there are many, those with full credit.
func (b *band[V]) pruneFlows() {
	const pruneMargin = 64
	if len(b.backlogged) == 0 {
		clear(b.flows)
		b.virtualTime = 0
		return
	}
	if len(b.flows) <= 2*len(b.backlogged)+pruneMargin {
		return
	}
	for name, f := range b.flows {
		if f.index < 0 && f.startTag <= b.minStartTag(f.weight) {
			delete(b.flows, name)
		}
	}
}

// moveOverdue moves the interactive entries at the front of each flow that can no longer
// meet their latency target to the late band.
func (q *Queue[V]) moveOverdue(now time.Time) {
	b := &q.bands[bandInteractive]
	var overdue []*Entry[V]
	for _, f := range b.backlogged {
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

// backloggedBands returns the bands that have entries, ordered by start tag.
func (q *Queue[V]) backloggedBands() []*band[V] {
	bands := make([]*band[V], 0, bandCount)
	for i := range q.bands {
		if len(q.bands[i].backlogged) > 0 {
			bands = append(bands, &q.bands[i])
		}
	}
	slices.SortStableFunc(bands, func(a, b *band[V]) int { return cmp.Compare(a.startTag, b.startTag) })
	return bands
}

// scan returns the first entry of b that fits, or nil. It examines the first entry of at
// most ScanLimit accounts.
func (q *Queue[V]) scan(b *band[V], fits func(*Entry[V], bool) bool) *Entry[V] {
	var found *Entry[V]
	q.scanned = q.scanned[:0]
	for len(b.backlogged) > 0 && len(q.scanned) < q.cfg.ScanLimit {
		f := heap.Pop(&b.backlogged).(*flow[V])
		q.scanned = append(q.scanned, f)
		e := f.entries.Front().Value.(*Entry[V])
		if fits(e, e.Starved(q.cfg.MaxSkips)) {
			found = e
			break
		}
	}
	for _, f := range q.scanned {
		heap.Push(&b.backlogged, f)
		if e := f.entries.Front().Value.(*Entry[V]); found != nil && e != found {
			e.skipCount++
		}
	}
	return found
}

// charge advances the virtual times and start tags for the service of e.
func (q *Queue[V]) charge(e *Entry[V]) {
	f := e.flow
	b := f.band
	q.virtualTime = max(q.virtualTime, b.startTag)
	b.startTag += e.Cost / b.share
	b.virtualTime = max(b.virtualTime, f.startTag)
	f.startTag += e.Cost / f.weight
	heap.Fix(&b.backlogged, f.index)
}

// newestOfLongest returns the newest entry of the account with the most entries, or nil if
// no account has more than threshold entries.
func (q *Queue[V]) newestOfLongest(threshold int) *Entry[V] {
	longest, most := "", threshold
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
