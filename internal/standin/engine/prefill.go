package engine

import (
	"container/heap"
	"context"
	"strconv"
	"time"

	"carawayrouter.example/router/internal/endpoint"
	"carawayrouter.example/router/internal/endpoint/httpendpoint"
	"carawayrouter.example/router/internal/standin/host"
)

// job is one prefill request, from its arrival until its result is exported or expires.
type job struct {
	key       key
	req       endpoint.PrefillRequest
	seq       uint64
	tokens    int
	hashes    []uint64
	pieces    int // KV pieces held
	stage     string
	handle    string
	cached    int // cached prompt tokens
	expires   time.Time
	exporting bool
	done      chan struct{} // closed when the result is available or the job was dropped
	ctx       context.Context
	cancel    context.CancelFunc
}

// jobQueue is a heap ordered by priority, then by arrival.
type jobQueue []*job

func (q jobQueue) Len() int { return len(q) }
func (q jobQueue) Less(i, j int) bool {
	if q[i].req.Priority != q[j].req.Priority {
		return q[i].req.Priority < q[j].req.Priority
	}
	return q[i].seq < q[j].seq
}
func (q jobQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *jobQueue) Push(x any) { *q = append(*q, x.(*job)) }

// Pop implements heap.Interface.
func (q *jobQueue) Pop() any {
	old := *q
	j := old[len(old)-1]
	*q = old[:len(old)-1]
	return j
}

// prefill queues a request, or returns the existing job if the request was received
// before.
func (st *state) prefill(r endpoint.PrefillRequest) (*job, *refusal) {
	k := key{r.ID, r.Attempt}
	st.mu.Lock()
	defer st.mu.Unlock()
	if j, ok := st.jobs[k]; ok {
		return j, nil
	}
	if ref := st.admitLocked(k, "prefill", r.Model); ref != nil {
		return nil, ref
	}
	tokens := endpoint.EstimateTokens(r.Prompt)
	if endpoint.Pieces(tokens) > st.s.Pieces {
		return nil, &refusal{422, true, httpendpoint.CodeRefused, "prompt does not fit the memory"}
	}
	if len(st.jobs)-len(st.handles) >= st.s.Queue {
		return nil, st.refuseFull("prefill queue is full")
	}
	st.seq++
	j := &job{
		key: k, req: r, seq: st.seq, tokens: tokens, stage: stagePrefill,
		hashes: endpoint.PrefixHashes(r.Model, r.Prompt), done: make(chan struct{}),
	}
	j.ctx, j.cancel = context.WithCancel(st.ctx)
	st.jobs[k] = j
	heap.Push(&st.queue, j)
	notify(st.prefillWake)
	return j, nil
}

// dropJobLocked removes a job and frees its memory. A result that was never imported
// counts as wasted.
func (st *state) dropJobLocked(j *job) {
	if st.jobs[j.key] != j {
		return
	}
	delete(st.jobs, j.key)
	for i, q := range st.queue {
		if q == j {
			heap.Remove(&st.queue, i)
			break
		}
	}
	if j.stage == stageResult {
		delete(st.handles, j.handle)
		st.ledger.update(func(l *Ledger) {
			l.PrefillsWasted++
			l.WastedTokens += j.tokens - j.cached
		})
	} else {
		close(j.done)
	}
	j.cancel()
	st.freeLocked(j.pieces)
	j.pieces = 0
}

// prefillLoop runs one prefill at a time.
func (st *state) prefillLoop() {
	for {
		j := st.nextJob()
		if j == nil {
			select {
			case <-st.prefillWake:
				continue
			case <-st.ctx.Done():
				return
			}
		}
		st.runJob(j)
	}
}

// nextJob removes the first job from the queue and allocates its memory. It returns nil
// if the queue is empty or the memory is not free.
func (st *state) nextJob() *job {
	st.mu.Lock()
	defer st.mu.Unlock()
	if len(st.queue) == 0 {
		return nil
	}
	need := endpoint.Pieces(st.queue[0].tokens)
	if st.usedPieces+need > st.s.Pieces {
		return nil
	}
	j := heap.Pop(&st.queue).(*job)
	j.pieces = need
	st.usedPieces += need
	j.cached = min(st.cache.match(j.hashes)*endpoint.PieceTokens, j.tokens)
	return j
}

// runJob sleeps for the duration of a prefill and publishes its result.
func (st *state) runJob(j *job) {
	perToken := float64(st.s.PrefillPerPiece) / endpoint.PieceTokens
	cost := time.Duration(float64(j.tokens-j.cached) * perToken)
	if host.Sleep(j.ctx, st.clk, st.faults.ScaleDuration(cost)) != nil {
		return
	}
	if st.faults.WaitWhileActive(j.ctx, host.Stall) != nil {
		return
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.jobs[j.key] != j {
		return
	}
	now := st.clk.Now()
	j.stage = stageResult
	j.handle = st.s.Name + "-" + strconv.FormatUint(j.seq, 10) + "-" + strconv.FormatInt(now.UnixNano(), 36)
	j.expires = now.Add(st.s.ResultTTL)
	st.handles[j.handle] = j
	st.cache.add(j.hashes, now)
	st.ledger.update(func(l *Ledger) {
		l.PrefillsDone++
		l.PrefillTokens += j.tokens - j.cached
		l.CachedTokens += j.cached
	})
	close(j.done)
}

// result returns the response for a finished job.
func (st *state) result(j *job) (endpoint.PrefillResult, *refusal) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if j.handle == "" {
		return endpoint.PrefillResult{}, &refusal{410, false, httpendpoint.CodeGone, "prefill was cancelled"}
	}
	return endpoint.PrefillResult{
		ID: j.key.id, Attempt: j.key.attempt, Handle: j.handle,
		Tokens: j.tokens, CachedTokens: j.cached, TTL: st.s.ResultTTL,
	}, nil
}

// startExport marks a result as being transferred, so that it does not expire.
func (st *state) startExport(handle string) (*job, *refusal) {
	st.mu.Lock()
	defer st.mu.Unlock()
	j, ok := st.handles[handle]
	if !ok || j.exporting || st.clk.Now().After(j.expires) {
		return nil, &refusal{410, true, httpendpoint.CodeGone, "result is gone"}
	}
	j.exporting = true
	return j, nil
}

// endExport frees a result that was transferred. After a failed transfer, the result
// stays until it expires.
func (st *state) endExport(j *job, transferred bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	j.exporting = false
	if !transferred || st.jobs[j.key] != j {
		return
	}
	delete(st.jobs, j.key)
	delete(st.handles, j.handle)
	j.cancel()
	st.freeLocked(j.pieces)
	j.pieces = 0
	st.ledger.update(func(l *Ledger) { l.PrefillsImported++ })
}
