package engine

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"carawayrouter.example/router/internal/endpoint"
	"carawayrouter.example/router/internal/endpoint/httpendpoint"
	"carawayrouter.example/router/internal/standin/host"
)

// run is one request in a decode slot. It keeps its slot and memory until its output
// was generated and read to the end, or until it is cancelled; the loss of a
// connection changes nothing.
type run struct {
	k         key
	req       endpoint.ImportRequest
	seed      uint64
	pieces    int
	stage     string
	ready     chan struct{} // closed when the import ended
	failed    *refusal      // outcome of the import, set before ready is closed
	started   bool
	maxOutput int
	length    int
	generated int
	changed   chan struct{} // closed and replaced at each step
	expires   time.Time     // of the text, after delivery
	partner   *run          // whose tokens the stream carries while streams are crossed
	gone      context.Context
	drop      context.CancelFunc
}

// importKV reserves a slot and memory and starts the transfer, or finds the request
// if it came before.
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
		return nil, st.full("no free slot")
	}
	if st.used+need > st.s.Pieces {
		return nil, st.full("no free memory")
	}
	st.used += need
	r := &run{
		k: k, req: q, pieces: need, stage: stageImport,
		ready: make(chan struct{}), changed: make(chan struct{}),
	}
	r.gone, r.drop = context.WithCancel(st.ctx)
	st.runs[k] = r
	st.spawn(func() { st.pull(r) })
	return r, nil
}

// pull transfers the KV cache of a run from its source.
func (st *state) pull(r *run) {
	x, err := st.transfer(r)
	st.mu.Lock()
	defer st.mu.Unlock()
	defer close(r.ready)
	if st.runs[r.k] != r {
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

func (st *state) transfer(r *run) (httpendpoint.ExportResult, error) {
	until := st.reserveLink(r.req.Tokens)
	x, err := st.fetch.Fetch(r.gone, r.req.Source, r.req.Handle)
	if err != nil {
		return x, err
	}
	if err := st.faults.Gate(r.gone, host.StallTransfer); err != nil {
		return x, err
	}
	return x, host.Sleep(r.gone, st.clk, until.Sub(st.clk.Now()))
}

func transferRefusal(err error) *refusal {
	if errors.Is(err, endpoint.ErrGone) {
		return &refusal{410, false, httpendpoint.CodeGone, "result is gone at its source"}
	}
	return &refusal{502, false, httpendpoint.CodeFailed, "transfer failed"}
}

// dropRunLocked forgets a run and frees its slot and memory.
func (st *state) dropRunLocked(r *run) {
	if st.runs[r.k] != r {
		return
	}
	delete(st.runs, r.k)
	if r.partner != nil {
		r.partner.partner = nil
		r.partner = nil
	}
	r.drop()
	st.freeLocked(r.pieces)
}

// decode starts the output of an imported request, or finds it for a resume.
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
		r.length = lengthOf(r.seed, r.maxOutput)
		wake(st.stepWake)
	}
	if q.Offset < 0 || q.Offset >= r.length {
		return nil, &refusal{416, true, httpendpoint.CodeRefused, "offset is outside the output"}
	}
	return r, nil
}

// delivered frees a run whose output was read to the end. Its text stays readable
// for a while, since the end of a stream can be lost on its way.
func (st *state) delivered(r *run) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.runs[r.k] != r {
		return
	}
	st.dropRunLocked(r)
	r.expires = st.clk.Now().Add(st.s.OutputTTL)
	st.outputs[r.k] = r
	st.ledger.update(func(l *Ledger) { l.OutputsDelivered++ })
}

// stepLoop advances all running outputs together, one token a step.
func (st *state) stepLoop() {
	for {
		n := st.batch()
		if n == 0 {
			select {
			case <-st.stepWake:
				continue
			case <-st.ctx.Done():
				return
			}
		}
		interval := st.s.TokenInterval + time.Duration(n)*st.s.StepCost
		if host.Sleep(st.ctx, st.clk, st.faults.Stretch(interval)) != nil {
			return
		}
		if st.faults.Gate(st.ctx, host.Stall) != nil {
			return
		}
		st.step()
	}
}

// batch returns the number of outputs that are being generated.
func (st *state) batch() int {
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
	st.crossLocked()
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

// crossLocked swaps the streams of two running outputs while that fault holds, and
// swaps them back afterwards.
func (st *state) crossLocked() {
	_, on := st.faults.Active(host.Crossed)
	var free *run
	for _, r := range st.runs {
		if !on {
			r.partner = nil
			continue
		}
		if !r.started || r.partner != nil {
			continue
		}
		if free == nil {
			free = r
			continue
		}
		free.partner, r.partner = r, free
		free = nil
	}
}

// tokens returns the generated tokens of a run from an index on, and a channel that
// is closed when there are more.
func (st *state) tokens(r *run, from int) ([]endpoint.Token, <-chan struct{}) {
	st.mu.Lock()
	defer st.mu.Unlock()
	src := r
	if r.partner != nil {
		src = r.partner
	}
	var list []endpoint.Token
	for i := from; i < r.generated; i++ {
		t := endpoint.Token{ID: src.k.id, Attempt: src.k.attempt, Index: i, Text: word(src.seed, i)}
		if i == r.length-1 {
			t.Finish = finishOf(r.length, r.maxOutput)
		}
		list = append(list, t)
	}
	return list, r.changed
}
