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

// requestRecord is a request of a fault run and the outcome that its caller saw.
type requestRecord struct {
	prompt    string // prompt of a completion
	operation string // idempotency key of an operation
	keyless   string // digest of a non-idempotent call without an idempotency key
	entry     int
	result    *caller.Result
	answer    *caller.Answer
	err       error
}

// faultRun sends completions and operations while faults are injected and afterwards
// verifies the guarantees for each request.
type faultRun struct {
	t       *testing.T
	f       *Fleet
	killed  map[int]bool // indexes of killed entry instances
	drained map[int]bool // indexes of drained entry instances

	mu       sync.Mutex
	requests []*requestRecord
}

const completionTokens = 40

func newFaultRun(t *testing.T, d Deployment) *faultRun {
	return &faultRun{t: t, f: startFleet(t, d), killed: map[int]bool{}, drained: map[int]bool{}}
}

// startLoad runs callers until stop is closed. Every operation is sent to two instances
// concurrently.
func (tr *faultRun) startLoad(stop <-chan struct{}) *sync.WaitGroup {
	var wg sync.WaitGroup
	for c := range 6 {
		wg.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				tr.sendCompletion(fmt.Sprintf("caller %d, request %d", c, n), c%len(tr.f.Entries))
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
				tr.sendOperation(fmt.Sprintf("operation-%d-%d", c, n))
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
			tr.sendKeylessCall(fmt.Sprintf("call %d without a key", n), n%len(tr.f.Entries))
		}
	})
	return &wg
}

// sendKeylessCall sends a non-idempotent call that carries no idempotency key.
func (tr *faultRun) sendKeylessCall(body string, entry int) {
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	path := tr.f.Deployment.OperationsPath + "/keyless"
	a := &requestRecord{keyless: service.Digest("POST", path, []byte(body)), entry: entry}
	a.answer, a.err = tr.f.client(entry, 1).Call(ctx, caller.Call{Method: "POST", Path: path, Body: []byte(body)})
	tr.record(a)
}

func (tr *faultRun) record(a *requestRecord) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.requests = append(tr.requests, a)
}

func (tr *faultRun) sendCompletion(prompt string, entry int) {
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	a := &requestRecord{prompt: prompt, entry: entry}
	a.result, a.err = tr.f.client(entry, 0).Complete(ctx, tr.f.completion(prompt, completionTokens))
	tr.record(a)
}

// sendOperation sends the same operation to two instances concurrently.
func (tr *faultRun) sendOperation(key string) {
	var wg sync.WaitGroup
	for entry := range 2 {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
			defer cancel()
			a := &requestRecord{operation: key, entry: entry}
			a.answer, a.err = tr.f.client(entry, 1).Call(ctx, caller.Call{
				Method: "POST", Path: tr.f.Deployment.OperationsPath + "/" + key, IdempotencyKey: key, Body: []byte(key),
			})
			tr.record(a)
		})
	}
	wg.Wait()
}

// verify checks the guarantees that hold under every fault: answers are complete,
// operations run at most once, requests refused as not run have not run, and only
// requests at killed instances may break. A drained instance may also refuse connections.
func (tr *faultRun) verify() {
	tr.t.Helper()
	waitIdle(tr.t, tr.f)
	executed := tr.executedRequests()
	runs := tr.operationRuns()
	answered := 0
	for _, a := range tr.requests {
		var refused *caller.RefusedError
		switch {
		case a.err == nil && a.keyless != "":
			assert.Equal(tr.t, runs[a.keyless], 1, "call %s was answered", a.keyless)
			answered++
		case a.err == nil && a.operation != "":
			assert.Equal(tr.t, runs[a.operation], 1, "operation %s was answered", a.operation)
			answered++
		case a.err == nil:
			assert.Equal(tr.t, a.result.Text, expectedText(tr.f.Deployment.Model.Model, a.prompt, completionTokens))
			assert.Equal(tr.t, a.result.DoneCount, 1)
			answered++
		case errors.As(a.err, &refused):
			if refused.Execution == errkind.NotRun && a.keyless != "" {
				assert.Equal(tr.t, runs[a.keyless], 0, "call %s was refused as not run", a.keyless)
			}
			if refused.Execution == errkind.NotRun && a.prompt != "" {
				assert.Assert(tr.t, !executed[refused.RequestID], "request %s was refused as not run: %v", refused.RequestID, a.err)
			}
		case tr.drained[a.entry] && dialFailed(a.err):
			// In production the platform's load balancer would choose another instance.
		default:
			assert.Assert(tr.t, tr.killed[a.entry], "request at instance %d broke: %v", a.entry, a.err)
		}
	}
	for key := range tr.operationsNotRun() {
		assert.Equal(tr.t, runs[key], 0, "operation %s was refused as not run everywhere", key)
	}
	for key, n := range runs {
		assert.Assert(tr.t, n <= 1, "operation %s ran %d times", key, n)
	}
	assert.Assert(tr.t, answered > 0, "no request was answered")
	tr.t.Logf("%d requests, %d answered", len(tr.requests), answered)
}

// executedRequests returns the IDs of the requests that reached the import or decode
// stage, so that a prefill engine has finished work for them.
func (tr *faultRun) executedRequests() map[string]bool {
	ids := map[string]bool{}
	for _, e := range tr.f.Engines {
		for _, s := range e.Server.Ledger().Calls {
			if s.Stage == "import" || s.Stage == "decode" {
				ids[s.ID.String()] = true
			}
		}
	}
	return ids
}

// dialFailed reports whether a caller could not connect and therefore sent nothing.
func dialFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// operationsNotRun returns the operations for which every request was refused as not run.
// Refusals because another request of the same operation was running do not count.
func (tr *faultRun) operationsNotRun() map[string]bool {
	keys := map[string]bool{}
	for _, a := range tr.requests {
		if a.operation != "" {
			keys[a.operation] = true
		}
	}
	for _, a := range tr.requests {
		var refused *caller.RefusedError
		notRun := errors.As(a.err, &refused) && refused.Execution == errkind.NotRun && refused.Kind != errkind.OperationInProgress
		if a.operation != "" && !notRun {
			delete(keys, a.operation)
		}
	}
	return keys
}

// operationRuns counts the executions of each operation on all services.
func (tr *faultRun) operationRuns() map[string]int {
	runs := map[string]int{}
	for _, s := range tr.f.Services {
		for key, n := range s.Server.Ledger().Runs {
			runs[key] += n
		}
	}
	return runs
}

// runWithFaults sends load, injects the faults and verifies the outcomes.
func runWithFaults(t *testing.T, d Deployment, faults func(tr *faultRun)) {
	t.Helper()
	tr := newFaultRun(t, d)
	stop := make(chan struct{})
	wg := tr.startLoad(stop)
	time.Sleep(settleTime)
	faults(tr)
	time.Sleep(settleTime)
	close(stop)
	wg.Wait()
	tr.verify()
}

// settleTime is the duration of the load before and after the faults.
const settleTime = 700 * time.Millisecond

func (tr *faultRun) kill(entry int) {
	tr.killed[entry] = true
	tr.f.Entries[entry].Kill()
}

func (tr *faultRun) inject(kind host.Kind, d time.Duration) {
	for _, e := range tr.f.Engines[:len(tr.f.Engines)/2] {
		e.Server.Inject(host.Fault{Kind: kind, For: d})
	}
}

// threeInstances returns the small deployment with a third entry instance.
func threeInstances() Deployment {
	d := smallDeployment()
	d.DataCentres[0].Entries = 2
	return d
}

func TestPromisesUnderFaults(t *testing.T) {
	for _, c := range []struct {
		name   string
		faults func(tr *faultRun)
	}{
		{"instance killed", func(tr *faultRun) { tr.kill(0) }},
		{"instance killed and restarted", func(tr *faultRun) {
			tr.kill(1)
			assert.NilError(tr.t, tr.f.Entries[1].Start())
		}},
		{"instance drained", func(tr *faultRun) {
			tr.drained[0] = true
			tr.f.Entries[0].Drain()
		}},
		{"instance paused", func(tr *faultRun) {
			tr.f.Entries[0].Pause()
			time.Sleep(3 * time.Second)
			tr.f.Entries[0].Resume()
		}},
		{"engines die", func(tr *faultRun) { tr.inject(host.Die, 400*time.Millisecond) }},
		{"engines silent", func(tr *faultRun) { tr.inject(host.Silent, 0) }},
		{"engines drop", func(tr *faultRun) { tr.inject(host.Drop, 0) }},
		{"engines late", func(tr *faultRun) { tr.inject(host.Late, 500*time.Millisecond) }},
		{"engines crossed", func(tr *faultRun) { tr.inject(host.Crossed, 500*time.Millisecond) }},
		{"engines stall", func(tr *faultRun) { tr.inject(host.Stall, 500*time.Millisecond) }},
		{"transfers stall", func(tr *faultRun) { tr.inject(host.StallTransfer, 1500*time.Millisecond) }},
		{"service drops after the effect", func(tr *faultRun) {
			for _, s := range tr.f.Services {
				s.Server.Inject(host.Fault{Kind: host.DropAfter, For: 300 * time.Millisecond})
			}
		}},
		{"store down", func(tr *faultRun) {
			tr.f.Store.Down(true)
			time.Sleep(2 * time.Second)
			tr.f.Store.Down(false)
		}},
		{"store loses answers", func(tr *faultRun) {
			tr.f.Store.LoseAnswers(0.5)
			time.Sleep(2 * time.Second)
			tr.f.Store.LoseAnswers(0)
		}},
		{"store slow", func(tr *faultRun) {
			tr.f.Store.Slow(400 * time.Millisecond)
			time.Sleep(2 * time.Second)
			tr.f.Store.Slow(0)
		}},
		{"data centre cut", func(tr *faultRun) {
			tr.f.Isolate("west", true)
			time.Sleep(3 * time.Second)
			tr.f.Isolate("west", false)
		}},
		{"engines die while an instance is killed", func(tr *faultRun) {
			tr.inject(host.Die, 400*time.Millisecond)
			tr.kill(0)
		}},
		{"store down while an instance is killed", func(tr *faultRun) {
			tr.f.Store.Down(true)
			tr.kill(1)
			time.Sleep(2 * time.Second)
			tr.f.Store.Down(false)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			runWithFaults(t, threeInstances(), c.faults)
		})
	}
}

// inStage returns a poll check that any engine runs a request in the given stage.
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
			d := threeInstances()
			shape(&d.Model)
			f := startFleet(t, d)
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
