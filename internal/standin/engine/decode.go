package engine

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"carawayrouter.example/router/internal/endpoint"
	"carawayrouter.example/router/internal/endpoint/httpendpoint"
	"carawayrouter.example/router/internal/standin/host"
)

// run is one request in a decode slot. It holds its slot and memory until its output
// has been read to the end or it is cancelled, even if the connection is lost.
type run struct {
	key         key
	req         endpoint.ImportRequest
	seed        uint64
	pieces      int
	stage       string
	ready       chan struct{} // closed when the import has ended
	failed      *refusal      // outcome of the import, set before ready is closed
	started     bool
	maxOutput   int
	length      int
	generated   int
	changed     chan struct{} // closed and replaced on every step
	expires     time.Time     // when the output is discarded, set on delivery
	swappedWith *run          // run whose tokens this stream carries during a Crossed fault
	ctx         context.Context
	cancel      context.CancelFunc
}

// importKV reserves a slot and memory and starts the transfer, or returns the existing
// run if the request was received before.
func (st *state) importKV(q endpoint.ImportRequest) (*run, *refusal) {
	k := key{q.ID, q.Attempt}
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.ctx.Err() != nil {
		return nil, &refusal{502, false, httpendpoint.CodeFailed, errDied.Error()}
	}
	if r, ok := st.runs[k]; ok {
		return r, nil
	}
	if ref := st.admitLocked(k, "decode", q.Model); ref != nil {
		return nil, ref
	}
	need := endpoint.Pieces(q.Tokens + q.MaxOutput)
	if need > st.s.Pieces {
		return nil, &refusal{422, true, httpendpoint.CodeRefused, "request does not fit the memory"}
	}
	if len(st.runs) >= st.s.Slots {
		return nil, st.refuseFull("no free slot")
	}
	if st.usedPieces+need > st.s.Pieces {
		return nil, st.refuseFull("no free memory")
	}
	st.usedPieces += need
	r := &run{
		key: k, req: q, pieces: need, stage: stageImport,
		ready: make(chan struct{}), changed: make(chan struct{}),
	}
	r.ctx, r.cancel = context.WithCancel(st.ctx)
	st.runs[k] = r
	st.startGoroutine(func() { st.runImport(r) })
	return r, nil
}

// runImport transfers the KV cache of a run from its source.
func (st *state) runImport(r *run) {
	x, err := st.transferKV(r)
	st.mu.Lock()
	defer st.mu.Unlock()
	defer close(r.ready)
	if st.runs[r.key] != r {
		r.failed = &refusal{410, false, httpendpoint.CodeGone, "request was cancelled"}
		return
	}
	if err != nil {
		r.failed = transferRefusal(err)
		st.dropRunLocked(r)
		return
	}
	r.seed = seedOf(x.Model, x.Prompt)
	r.stage = stageDecode
}

func (st *state) transferKV(r *run) (httpendpoint.ExportResult, error) {
	until := st.reserveLink(r.req.Tokens)
	x, err := st.exporter.Fetch(r.ctx, r.req.Source, r.req.Handle)
	if err != nil {
		return x, err
	}
	if err := st.faults.WaitWhileActive(r.ctx, host.StallTransfer); err != nil {
		return x, err
	}
	return x, host.Sleep(r.ctx, st.clk, until.Sub(st.clk.Now()))
}

func transferRefusal(err error) *refusal {
	if errors.Is(err, endpoint.ErrGone) {
		return &refusal{410, false, httpendpoint.CodeGone, "result is gone at its source"}
	}
	return &refusal{502, false, httpendpoint.CodeFailed, "transfer failed"}
}

// dropRunLocked removes a run and frees its slot and memory.
func (st *state) dropRunLocked(r *run) {
	if st.runs[r.key] != r {
		return
	}
	delete(st.runs, r.key)
	if r.swappedWith != nil {
		r.swappedWith.swappedWith = nil
		r.swappedWith = nil
	}
	r.cancel()
	st.freeLocked(r.pieces)
}

// decode starts the output of an imported request, or returns the existing run if a
// client resumes its stream.
func (st *state) decode(q endpoint.DecodeRequest) (*run, *refusal) {
	k := key{q.ID, q.Attempt}
	st.mu.Lock()
	defer st.mu.Unlock()
	r, ok := st.runs[k]
	if !ok {
		r, ok = st.outputs[k]
	}
	if !ok {
		return nil, &refusal{410, true, httpendpoint.CodeGone, "request is not known"}
	}
	if r.stage != stageDecode {
		return nil, &refusal{409, true, httpendpoint.CodeRefused, "import has not ended"}
	}
	if !r.started {
		r.started = true
		r.maxOutput = r.req.MaxOutput
		if q.MaxOutput > 0 {
			r.maxOutput = min(r.maxOutput, q.MaxOutput)
		}
		r.length = outputLength(r.seed, r.maxOutput)
		notify(st.stepWake)
	}
	if q.Offset < 0 || q.Offset >= r.length {
		return nil, &refusal{416, true, httpendpoint.CodeRefused, "offset is outside the output"}
	}
	return r, nil
}

// outputDelivered frees the slot and memory of a run whose output was read to the end.
// The output stays readable for OutputTTL, because the end of a stream can be lost in
// transit.
func (st *state) outputDelivered(r *run) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.runs[r.key] != r {
		return
	}
	st.dropRunLocked(r)
	r.expires = st.clk.Now().Add(st.s.OutputTTL)
	st.outputs[r.key] = r
	st.ledger.update(func(l *Ledger) { l.OutputsDelivered++ })
}

// stepLoop generates one token per step for every active output.
func (st *state) stepLoop() {
	for {
		n := st.activeOutputs()
		if n == 0 {
			select {
			case <-st.stepWake:
				continue
			case <-st.ctx.Done():
				return
			}
		}
		interval := st.s.TokenInterval + time.Duration(n)*st.s.StepCost
		if host.Sleep(st.ctx, st.clk, st.faults.ScaleDuration(interval)) != nil {
			return
		}
		if st.faults.WaitWhileActive(st.ctx, host.Stall) != nil {
			return
		}
		st.step()
	}
}

// activeOutputs returns the number of outputs that are being generated.
func (st *state) activeOutputs() int {
	st.mu.Lock()
	defer st.mu.Unlock()
	n := 0
	for _, r := range st.runs {
		if r.started && r.generated < r.length {
			n++
		}
	}
	return n
}

func (st *state) step() {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.swapStreamsLocked()
	n := 0
	for _, r := range st.runs {
		if !r.started || r.generated >= r.length {
			continue
		}
		n++
		r.generated++
		close(r.changed)
		r.changed = make(chan struct{})
	}
	st.ledger.update(func(l *Ledger) { l.TokensGenerated += n })
}

// swapStreamsLocked swaps the streams of pairs of started runs while a Crossed fault is
// active, and undoes the swaps afterwards.
func (st *state) swapStreamsLocked() {
	_, on := st.faults.Active(host.Crossed)
	var free *run
	for _, r := range st.runs {
		if !on {
			r.swappedWith = nil
			continue
		}
		if !r.started || r.swappedWith != nil {
			continue
		}
		if free == nil {
			free = r
			continue
		}
		free.swappedWith, r.swappedWith = r, free
		free = nil
	}
}

// tokens returns the generated tokens of a run starting at index from, and a channel
// that is closed when more are available.
func (st *state) tokens(r *run, from int) ([]endpoint.Token, <-chan struct{}) {
	st.mu.Lock()
	defer st.mu.Unlock()
	src := r
	if r.swappedWith != nil {
		src = r.swappedWith
	}
	var list []endpoint.Token
	for i := from; i < r.generated; i++ {
		t := endpoint.Token{ID: src.key.id, Attempt: src.key.attempt, Index: i, Text: tokenText(src.seed, i)}
		if i == r.length-1 {
			t.Finish = finishReason(r.length, r.maxOutput)
		}
		list = append(list, t)
	}
	return list, r.changed
}
