package engine

import (
	"context"
	"slices"
	"sync"
	"time"

	"carawayrouter.example/router/internal/clock"
	"carawayrouter.example/router/internal/endpoint"
	"carawayrouter.example/router/internal/endpoint/httpendpoint"
	"carawayrouter.example/router/internal/reqid"
	"carawayrouter.example/router/internal/standin/host"
)

// Stages of a request, as in endpoint.Running; stageCancel occurs in the ledger only.
const (
	stagePrefill = "prefill"
	stageResult  = "result"
	stageImport  = "import"
	stageDecode  = "decode"
	stageCancel  = "cancel"
)

const (
	expiryInterval = 10 * time.Millisecond
	reportInterval = 50 * time.Millisecond
	maxCancelled   = 4096
)

// key identifies one attempt of a request.
type key struct {
	id      reqid.ID
	attempt int
}

// refusal is an error response.
type refusal struct {
	status int
	notRun bool
	code   httpendpoint.Code
	text   string
}

// state is the part of the engine that a crash discards. Its goroutines run until ctx is
// cancelled.
type state struct {
	s        Settings
	clk      clock.Clock
	faults   *host.Faults
	ledger   *ledger
	exporter *httpendpoint.Exporter
	ctx      context.Context
	cancel   context.CancelFunc
	wg       sync.WaitGroup

	prefillWake chan struct{}
	stepWake    chan struct{}

	mu                sync.Mutex
	role              string
	model             string
	epoch             uint64 // highest epoch of an accepted order
	usedPieces        int    // KV pieces in use
	seq               uint64
	jobs              map[key]*job
	handles           map[string]*job
	queue             jobQueue
	runs              map[key]*run
	outputs           map[key]*run // delivered outputs; they hold no KV memory
	cache             *prefixCache
	linkFreeAt        time.Time // when the last reserved transfer ends
	reports           []endpoint.LoadReport
	cancelledAttempts map[reqid.ID]int // highest cancelled attempt of each request
	cancelledOrder    []reqid.ID
}

func newState(s Settings, clk clock.Clock, f *host.Faults, g *ledger) *state {
	ctx, cancel := context.WithCancel(context.Background())
	st := &state{
		s: s, clk: clk, faults: f, ledger: g, ctx: ctx, cancel: cancel,
		exporter:          httpendpoint.NewExporter(httpendpoint.Options{}),
		prefillWake:       make(chan struct{}, 1),
		stepWake:          make(chan struct{}, 1),
		role:              s.Role,
		model:             s.Model,
		jobs:              map[key]*job{},
		handles:           map[string]*job{},
		runs:              map[key]*run{},
		outputs:           map[key]*run{},
		cache:             newPrefixCache(s),
		cancelledAttempts: map[reqid.ID]int{},
	}
	st.startGoroutine(st.prefillLoop)
	st.startGoroutine(st.stepLoop)
	st.startGoroutine(st.expiryLoop)
	return st
}

func (st *state) startGoroutine(f func()) {
	st.wg.Add(1)
	go func() {
		defer st.wg.Done()
		f()
	}()
}

// stop cancels the state's context and waits for its goroutines.
func (st *state) stop() {
	st.mu.Lock()
	st.cancel()
	st.mu.Unlock()
	st.wg.Wait()
	st.exporter.Close()
}

func notify(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// freeLocked releases KV pieces and wakes the prefill loop.
func (st *state) freeLocked(pieces int) {
	st.usedPieces -= pieces
	notify(st.prefillWake)
}

// reserveLink reserves the engine's link for a transfer and returns when it will end.
// Transfers use the link one after the other, in order of arrival.
func (st *state) reserveLink(tokens int) time.Time {
	st.mu.Lock()
	defer st.mu.Unlock()
	now := st.clk.Now()
	if st.linkFreeAt.Before(now) {
		st.linkFreeAt = now
	}
	seconds := float64(tokens) * float64(st.s.KVBytesPerToken) / st.s.LinkRate
	st.linkFreeAt = st.linkFreeAt.Add(time.Duration(seconds * float64(time.Second)))
	return st.linkFreeAt
}

// cancelRequest frees everything held for attempts up to the given one and refuses their
// calls that arrive later.
func (st *state) cancelRequest(id reqid.ID, attempt int) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.markCancelledLocked(id, attempt)
	for k, j := range st.jobs {
		if k.id == id && k.attempt <= attempt {
			st.dropJobLocked(j)
		}
	}
	for k, r := range st.runs {
		if k.id == id && k.attempt <= attempt {
			st.dropRunLocked(r)
			st.ledger.update(func(l *Ledger) { l.OutputsCancelled++ })
		}
	}
	for k := range st.outputs {
		if k.id == id && k.attempt <= attempt {
			delete(st.outputs, k)
		}
	}
}

func (st *state) markCancelledLocked(id reqid.ID, attempt int) {
	last, ok := st.cancelledAttempts[id]
	if !ok {
		st.cancelledOrder = append(st.cancelledOrder, id)
	}
	st.cancelledAttempts[id] = max(last, attempt)
	if len(st.cancelledOrder) > maxCancelled {
		delete(st.cancelledAttempts, st.cancelledOrder[0])
		st.cancelledOrder = st.cancelledOrder[1:]
	}
}

func (st *state) isCancelledLocked(k key) bool {
	last, ok := st.cancelledAttempts[k.id]
	return ok && k.attempt <= last
}

// admitLocked refuses work for a cancelled attempt, for another role or for another
// model.
func (st *state) admitLocked(k key, role, model string) *refusal {
	switch {
	case st.isCancelledLocked(k):
		return &refusal{410, true, httpendpoint.CodeGone, "attempt was cancelled"}
	case st.role != role:
		return &refusal{409, true, httpendpoint.CodeRefused, "engine has role " + st.role}
	case st.model != "" && model != st.model:
		return &refusal{404, true, httpendpoint.CodeRefused, "engine serves model " + st.model}
	}
	return nil
}

func (st *state) refuseFull(text string) *refusal {
	st.ledger.update(func(l *Ledger) { l.Full++ })
	return &refusal{429, true, httpendpoint.CodeFull, text}
}

// running lists the queued and running requests, and the results that are not imported.
func (st *state) running() []endpoint.Running {
	st.mu.Lock()
	defer st.mu.Unlock()
	list := []endpoint.Running{}
	for k, j := range st.jobs {
		list = append(list, endpoint.Running{ID: k.id, Attempt: k.attempt, Stage: j.stage, Pieces: j.pieces})
	}
	for k, r := range st.runs {
		list = append(list, endpoint.Running{ID: k.id, Attempt: k.attempt, Stage: r.stage, Pieces: r.pieces})
	}
	return list
}

// load returns the newest report that is at least LoadReportLag old.
func (st *state) load() endpoint.LoadReport {
	st.mu.Lock()
	defer st.mu.Unlock()
	limit := st.clk.Now().Add(-st.s.LoadReportLag)
	for _, r := range slices.Backward(st.reports) {
		if !r.TakenAt.After(limit) {
			return r
		}
	}
	return endpoint.LoadReport{Slots: st.s.Slots, Pieces: st.s.Pieces, TakenAt: limit}
}

// order applies an order, which replaces the engine's role and model. Orders with a
// stale epoch are refused if the engine honours fencing.
func (st *state) order(o endpoint.Order) (endpoint.OrderResult, *refusal) {
	st.mu.Lock()
	defer st.mu.Unlock()
	honours := st.s.Fencing == "honour"
	if honours && o.Epoch < st.epoch {
		st.ledger.update(func(l *Ledger) { l.OrdersRefused++ })
		return endpoint.OrderResult{}, &refusal{412, true, httpendpoint.CodeStaleEpoch, "a higher epoch was seen"}
	}
	if o.Model != st.model {
		st.cache = newPrefixCache(st.s)
	}
	st.epoch = max(st.epoch, o.Epoch)
	st.model = o.Model
	if o.Role != "" {
		st.role = o.Role
	}
	st.ledger.update(func(l *Ledger) {
		l.Orders[o.Epoch]++
		l.LastOrder = &o
	})
	if !honours {
		return endpoint.OrderResult{}, nil
	}
	return endpoint.OrderResult{Epoch: st.epoch}, nil
}

// expiryLoop removes expired prefill results and delivered outputs and records load
// reports.
func (st *state) expiryLoop() {
	var reported time.Time
	for host.Sleep(st.ctx, st.clk, expiryInterval) == nil {
		now := st.clk.Now()
		st.mu.Lock()
		st.expireLocked(now)
		if now.Sub(reported) >= reportInterval {
			reported = now
			st.reportLocked(now)
		}
		st.mu.Unlock()
	}
}

func (st *state) expireLocked(now time.Time) {
	for _, j := range st.handles {
		if !j.exporting && now.After(j.expires) {
			st.dropJobLocked(j)
		}
	}
	for k, r := range st.outputs {
		if now.After(r.expires) {
			delete(st.outputs, k)
		}
	}
}

func (st *state) reportLocked(now time.Time) {
	r := endpoint.LoadReport{
		Running: len(st.runs), Waiting: len(st.queue), Slots: st.s.Slots,
		Pieces: st.s.Pieces, UsedPieces: st.usedPieces, TakenAt: now,
	}
	for _, j := range st.queue {
		r.QueueTokens += j.tokens
	}
	if st.role == "prefill" {
		r.Running = len(st.jobs) - len(st.handles) - len(st.queue)
	}
	keep := int(st.s.LoadReportLag/reportInterval) + 2
	st.reports = append(st.reports, r)
	if len(st.reports) > 2*keep {
		st.reports = append(st.reports[:0], st.reports[len(st.reports)-keep:]...)
	}
}
