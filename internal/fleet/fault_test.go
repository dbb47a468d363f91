package fleet

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"carawayrouter.example/router/internal/caller"
	"carawayrouter.example/router/internal/errkind"
	"carawayrouter.example/router/internal/standin/host"
	"carawayrouter.example/router/internal/standin/service"
)

// ask is one request of a trial and what its caller learnt of it.
type ask struct {
	prompt    string // of a completion
	operation string // idempotency key
	keyless   string // digest of a non-idempotent call without a key
	entry     int
	result    *caller.Result
	answer    *caller.Answer
	err       error
}

// trial sends completions and operations while faults happen, and checks the promises
// about single requests afterwards.
type trial struct {
	t       *testing.T
	f       *Fleet
	killed  map[int]bool // entry instances that were killed
	drained map[int]bool // and that were drained

	mu   sync.Mutex
	asks []*ask
}

const trialTokens = 40

func newTrial(t *testing.T, d Deployment) *trial {
	return &trial{t: t, f: start(t, d), killed: map[int]bool{}, drained: map[int]bool{}}
}

// load runs callers until stop is closed; every operation is sent to two instances at
// the same moment.
func (tr *trial) load(stop <-chan struct{}) *sync.WaitGroup {
	var wg sync.WaitGroup
	for c := range 6 {
		wg.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				tr.complete(fmt.Sprintf("caller %d, request %d", c, n), c%len(tr.f.Entries))
			}
		})
	}
	for c := range 2 {
		wg.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
				}
				tr.operate(fmt.Sprintf("operation-%d-%d", c, n))
			}
		})
	}
	wg.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
			}
			tr.keylessCall(fmt.Sprintf("call %d without a key", n), n%len(tr.f.Entries))
		}
	})
	return &wg
}

// keylessCall sends a non-idempotent call that carries no idempotency key.
func (tr *trial) keylessCall(body string, entry int) {
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	path := tr.f.Deployment.OperationsPath + "/keyless"
	a := &ask{keyless: service.Digest("POST", path, []byte(body)), entry: entry}
	a.answer, a.err = tr.f.client(entry, 1).Call(ctx, caller.Call{Method: "POST", Path: path, Body: []byte(body)})
	tr.keep(a)
}

func (tr *trial) keep(a *ask) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.asks = append(tr.asks, a)
}

func (tr *trial) complete(prompt string, entry int) {
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	a := &ask{prompt: prompt, entry: entry}
	a.result, a.err = tr.f.client(entry, 0).Complete(ctx, tr.f.completion(prompt, trialTokens))
	tr.keep(a)
}

// operate sends one operation to two instances at once.
func (tr *trial) operate(key string) {
	var wg sync.WaitGroup
	for entry := range 2 {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
			defer cancel()
			a := &ask{operation: key, entry: entry}
			a.answer, a.err = tr.f.client(entry, 1).Call(ctx, caller.Call{
				Method: "POST", Path: tr.f.Deployment.OperationsPath + "/" + key, IdempotencyKey: key, Body: []byte(key),
			})
			tr.keep(a)
		})
	}
	wg.Wait()
}

// check verifies what must hold whatever happened.
func (tr *trial) check() {
	tr.t.Helper()
	waitIdle(tr.t, tr.f)
	worked := tr.workedOn()
	runs := tr.operationRuns()
	answered := 0
	for _, a := range tr.asks {
		var refused *caller.RefusedError
		switch {
		case a.err == nil && a.keyless != "":
			assert.Equal(tr.t, runs[a.keyless], 1, "call %s was answered", a.keyless)
			answered++
		case a.err == nil && a.operation != "":
			assert.Equal(tr.t, runs[a.operation], 1, "operation %s was answered", a.operation)
			answered++
		case a.err == nil:
			assert.Equal(tr.t, a.result.Text, expected(tr.f.Deployment.Model.Model, a.prompt, trialTokens))
			assert.Equal(tr.t, a.result.DoneCount, 1)
			answered++
		case errors.As(a.err, &refused):
			if refused.Execution == errkind.NotRun && a.keyless != "" {
				assert.Equal(tr.t, runs[a.keyless], 0, "call %s was refused as not run", a.keyless)
			}
			if refused.Execution == errkind.NotRun && a.prompt != "" {
				assert.Assert(tr.t, !worked[refused.RequestID], "request %s was refused as not run: %v", refused.RequestID, a.err)
			}
		case tr.drained[a.entry] && neverConnected(a.err):
			// The platform's balancer would have chosen another instance.
		default:
			assert.Assert(tr.t, tr.killed[a.entry], "request at instance %d broke: %v", a.entry, a.err)
		}
	}
	for key := range tr.neverRun() {
		assert.Equal(tr.t, runs[key], 0, "operation %s was refused as not run everywhere", key)
	}
	for key, n := range runs {
		assert.Assert(tr.t, n <= 1, "operation %s ran %d times", key, n)
	}
	assert.Assert(tr.t, answered > 0, "no request was answered")
	tr.t.Logf("%d requests, %d answered", len(tr.asks), answered)
}

// workedOn lists the requests that prefill engines finished work for.
func (tr *trial) workedOn() map[string]bool {
	ids := map[string]bool{}
	for _, e := range tr.f.Engines {
		for _, s := range e.Server.Ledger().Seen {
			if s.Stage == "import" || s.Stage == "decode" {
				ids[s.ID.String()] = true
			}
		}
	}
	return ids
}

// neverConnected reports whether a caller got no connection, so that it sent nothing.
func neverConnected(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// neverRun lists the operations whose every request was refused as not run, and not
// because another request of the same operation was running.
func (tr *trial) neverRun() map[string]bool {
	keys := map[string]bool{}
	for _, a := range tr.asks {
		if a.operation != "" {
			keys[a.operation] = true
		}
	}
	for _, a := range tr.asks {
		var refused *caller.RefusedError
		truly := errors.As(a.err, &refused) && refused.Execution == errkind.NotRun && refused.Kind != errkind.OperationInProgress
		if a.operation != "" && !truly {
			delete(keys, a.operation)
		}
	}
	return keys
}

// operationRuns counts the runs of each operation over all services.
func (tr *trial) operationRuns() map[string]int {
	runs := map[string]int{}
	for _, s := range tr.f.Services {
		for key, n := range s.Server.Ledger().Runs {
			runs[key] += n
		}
	}
	return runs
}

// during runs the load, calls the faults and checks.
func during(t *testing.T, d Deployment, faults func(tr *trial)) {
	t.Helper()
	tr := newTrial(t, d)
	stop := make(chan struct{})
	wg := tr.load(stop)
	time.Sleep(settle)
	faults(tr)
	time.Sleep(settle)
	close(stop)
	wg.Wait()
	tr.check()
}

// settle is the load's time before and after the faults.
const settle = 700 * time.Millisecond

func (tr *trial) kill(entry int) {
	tr.killed[entry] = true
	tr.f.Entries[entry].Kill()
}

func (tr *trial) inject(kind host.Kind, d time.Duration) {
	for _, e := range tr.f.Engines[:len(tr.f.Engines)/2] {
		e.Server.Inject(host.Fault{Kind: kind, For: d})
	}
}

// three is the small deployment with a third entry instance.
func three() Deployment {
	d := small()
	d.DataCentres[0].Entries = 2
	return d
}

func TestPromisesUnderFaults(t *testing.T) {
	for _, c := range []struct {
		name   string
		faults func(tr *trial)
	}{
		{"instance killed", func(tr *trial) { tr.kill(0) }},
		{"instance killed and restarted", func(tr *trial) {
			tr.kill(1)
			assert.NilError(tr.t, tr.f.Entries[1].Start())
		}},
		{"instance drained", func(tr *trial) {
			tr.drained[0] = true
			tr.f.Entries[0].Drain()
		}},
		{"instance paused", func(tr *trial) {
			tr.f.Entries[0].Pause()
			time.Sleep(3 * time.Second)
			tr.f.Entries[0].Resume()
		}},
		{"engines die", func(tr *trial) { tr.inject(host.Die, 400*time.Millisecond) }},
		{"engines silent", func(tr *trial) { tr.inject(host.Silent, 0) }},
		{"engines drop", func(tr *trial) { tr.inject(host.Drop, 0) }},
		{"engines late", func(tr *trial) { tr.inject(host.Late, 500*time.Millisecond) }},
		{"engines crossed", func(tr *trial) { tr.inject(host.Crossed, 500*time.Millisecond) }},
		{"engines stall", func(tr *trial) { tr.inject(host.Stall, 500*time.Millisecond) }},
		{"transfers stall", func(tr *trial) { tr.inject(host.StallTransfer, 1500*time.Millisecond) }},
		{"service drops after the effect", func(tr *trial) {
			for _, s := range tr.f.Services {
				s.Server.Inject(host.Fault{Kind: host.DropAfter, For: 300 * time.Millisecond})
			}
		}},
		{"store down", func(tr *trial) {
			tr.f.Store.Down(true)
			time.Sleep(2 * time.Second)
			tr.f.Store.Down(false)
		}},
		{"store loses answers", func(tr *trial) {
			tr.f.Store.LoseAnswers(0.5)
			time.Sleep(2 * time.Second)
			tr.f.Store.LoseAnswers(0)
		}},
		{"store slow", func(tr *trial) {
			tr.f.Store.Slow(400 * time.Millisecond)
			time.Sleep(2 * time.Second)
			tr.f.Store.Slow(0)
		}},
		{"data centre cut", func(tr *trial) {
			tr.f.Isolate("west", true)
			time.Sleep(3 * time.Second)
			tr.f.Isolate("west", false)
		}},
		{"engines die while an instance is killed", func(tr *trial) {
			tr.inject(host.Die, 400*time.Millisecond)
			tr.kill(0)
		}},
		{"store down while an instance is killed", func(tr *trial) {
			tr.f.Store.Down(true)
			tr.kill(1)
			time.Sleep(2 * time.Second)
			tr.f.Store.Down(false)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			during(t, three(), c.faults)
		})
	}
}

// stageOf returns a check that a request is in a stage at some engine.
func inStage(f *Fleet, stage string) poll.Check {
	return func(poll.LogT) poll.Result {
		for _, e := range f.Engines {
			for _, r := range e.Server.Running() {
				if r.Stage == stage {
					return poll.Success()
				}
			}
		}
		return poll.Continue("no request in stage %s", stage)
	}
}

func TestInstanceKilledAtEveryStageLeavesNothingHeld(t *testing.T) {
	for stage, shape := range map[string]func(*ModelPool){
		"prefill": func(m *ModelPool) { m.PrefillPerPiece = 10 * time.Second },
		"import":  func(m *ModelPool) { m.LinkRate = 1e6 },
		"decode":  func(m *ModelPool) { m.TokenInterval = time.Second },
	} {
		t.Run(stage, func(t *testing.T) {
			t.Parallel()
			d := three()
			shape(&d.Model)
			f := start(t, d)
			done := make(chan error, 1)
			go func() {
				ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
				defer cancel()
				_, err := f.client(0, 0).Complete(ctx, f.completion("held by a killed instance", 100))
				done <- err
			}()
			poll.WaitOn(t, inStage(f, stage), poll.WithTimeout(waitLimit), poll.WithDelay(5*time.Millisecond))
			f.Entries[0].Kill()
			assert.Assert(t, <-done != nil)
			waitIdle(t, f)
		})
	}
}
