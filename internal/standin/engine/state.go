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

// Stages of a request, as in endpoint.Running; cancel stands in the ledger only.
const (
	stagePrefill = "prefill"
	stageResult  = "result"
	stageImport  = "import"
	stageDecode  = "decode"
	stageCancel  = "cancel"
)

const (
	reapInterval   = 10 * time.Millisecond
	reportInterval = 50 * time.Millisecond
	maxTombstones  = 4096
)

// key names one attempt at one request.
type key struct {
	id      reqid.ID
	attempt int
}

// refusal is an answer that is not a success.
type refusal struct {
	status int
	notRun bool
	code   httpendpoint.Code
	text   string
}

// state is all that a crash of the engine loses. Its goroutines end with its ctx.
type state struct {
	s      Settings
	clk    clock.Clock
	faults *host.Faults
	ledger *ledger
	fetch  *httpendpoint.Exporter
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	prefillWake chan struct{}
	stepWake    chan struct{}

	mu       sync.Mutex
	role     string
	model    string
	epoch    uint64 // highest epoch of an accepted order
	used     int    // KV pieces held
	seq      uint64
	jobs     map[key]*job
	handles  map[string]*job
	queue    jobQueue
	runs     map[key]*run
	outputs  map[key]*run // delivered; hold no KV memory
	cache    *prefixCache
	linkFree time.Time // the link is reserved up to here
	reports  []endpoint.LoadReport
	dead     map[reqid.ID]int // highest cancelled attempt
	deadFIFO []reqid.ID
}

func newState(s Settings, clk clock.Clock, f *host.Faults, g *ledger) *state {
	ctx, cancel := context.WithCancel(context.Background())
	st := &state{
		s: s, clk: clk, faults: f, ledger: g, ctx: ctx, cancel: cancel,
		fetch:       httpendpoint.NewExporter(httpendpoint.Options{}),
		prefillWake: make(chan struct{}, 1),
		stepWake:    make(chan struct{}, 1),
		role:        s.Role,
		model:       s.Model,
		jobs:        map[key]*job{},
		handles:     map[string]*job{},
		runs:        map[key]*run{},
		outputs:     map[key]*run{},
		cache:       newPrefixCache(s),
		dead:        map[reqid.ID]int{},
	}
	st.spawn(st.prefillLoop)
	st.spawn(st.stepLoop)
	st.spawn(st.reapLoop)
	return st
}

func (st *state) spawn(f func()) {
	st.wg.Add(1)
	go func() {
		defer st.wg.Done()
		f()
	}()
}

// stop ends the goroutines and waits for them.
func (st *state) stop() {
	st.mu.Lock()
	st.cancel()
	st.mu.Unlock()
	st.wg.Wait()
	st.fetch.Close()
}

func wake(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// freeLocked gives KV pieces back.
func (st *state) freeLocked(pieces int) {
	st.used -= pieces
	wake(st.prefillWake)
}

// reserveLink returns the time at which a transfer that starts now ends. All
// transfers of the engine share its link in order of arrival.
func (st *state) reserveLink(tokens int) time.Time {
	st.mu.Lock()
	defer st.mu.Unlock()
	now := st.clk.Now()
	if st.linkFree.Before(now) {
		st.linkFree = now
	}
	seconds := float64(tokens) * float64(st.s.KVBytesPerToken) / st.s.LinkRate
	st.linkFree = st.linkFree.Add(time.Duration(seconds * float64(time.Second)))
	return st.linkFree
}

// cancelRequest frees all that is held for attempts up to the one given, and keeps
// calls of theirs that arrive later from starting.
func (st *state) cancelRequest(id reqid.ID, attempt int) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.buryLocked(id, attempt)
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

func (st *state) buryLocked(id reqid.ID, attempt int) {
	last, ok := st.dead[id]
	if !ok {
		st.deadFIFO = append(st.deadFIFO, id)
	}
	st.dead[id] = max(last, attempt)
	if len(st.deadFIFO) > maxTombstones {
		delete(st.dead, st.deadFIFO[0])
		st.deadFIFO = st.deadFIFO[1:]
	}
}

func (st *state) buriedLocked(k key) bool {
	last, ok := st.dead[k.id]
	return ok && k.attempt <= last
}

// admitLocked refuses work of a cancelled attempt, another role or another model.
func (st *state) admitLocked(k key, role, model string) *refusal {
	switch {
	case st.buriedLocked(k):
		return &refusal{410, true, httpendpoint.CodeGone, "attempt was cancelled"}
	case st.role != role:
		return &refusal{409, true, httpendpoint.CodeRefused, "engine has role " + st.role}
	case st.model != "" && model != st.model:
		return &refusal{404, true, httpendpoint.CodeRefused, "engine serves model " + st.model}
	}
	return nil
}

func (st *state) full(text string) *refusal {
	st.ledger.update(func(l *Ledger) { l.Full++ })
	return &refusal{429, true, httpendpoint.CodeFull, text}
}

// running lists what the engine holds memory for.
func (st *state) running() []endpoint.Running {
	st.mu.Lock()
	defer st.mu.Unlock()
	list := []endpoint.Running{}
	for k, j := range st.jobs {
		list = append(list, endpoint.Running{ID: k.id, Attempt: k.attempt, Stage: j.stage, Pieces: j.held})
	}
	for k, r := range st.runs {
		list = append(list, endpoint.Running{ID: k.id, Attempt: k.attempt, Stage: r.stage, Pieces: r.pieces})
	}
	return list
}

// load returns the newest report that is older than the lag.
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

// order applies a whole desired state.
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

// reapLoop expires prefill results and delivered outputs and takes load reports.
func (st *state) reapLoop() {
	var reported time.Time
	for host.Sleep(st.ctx, st.clk, reapInterval) == nil {
		now := st.clk.Now()
		st.mu.Lock()
		st.reapLocked(now)
		if now.Sub(reported) >= reportInterval {
			reported = now
			st.reportLocked(now)
		}
		st.mu.Unlock()
	}
}

func (st *state) reapLocked(now time.Time) {
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
		Pieces: st.s.Pieces, UsedPieces: st.used, TakenAt: now,
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
