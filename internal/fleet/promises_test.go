package fleet

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"carawayrouter.example/router/internal/caller"
	"carawayrouter.example/router/internal/config"
	"carawayrouter.example/router/internal/errkind"
	"carawayrouter.example/router/internal/platform"
	"carawayrouter.example/router/internal/standin/engine"
	"carawayrouter.example/router/internal/standin/host"
	"carawayrouter.example/router/internal/ticket"
)

// singleEngines returns a deployment with one model engine of each role. Each has a
// single slot, so that one request fills it and further requests wait.
func singleEngines() Deployment {
	d := smallDeployment()
	d.DataCentres[1].Prefills = 0
	d.DataCentres[1].Decodes = 0
	d.Model.Slots = 1
	d.Model.TokenInterval = 20 * time.Millisecond
	d.Model.Deadline = 11 * time.Minute
	d.Model.MaxWait = 10 * time.Minute
	d.Model.FirstToken = 10 * time.Minute
	d.Model.Class = "patient"
	return d
}

// waitReady waits until every instance serves completions of the last account.
func (f *Fleet) waitReady(t *testing.T) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	for i := range f.Entries {
		served := func(poll.LogT) poll.Result {
			if _, err := f.client(i, len(f.Deployment.Accounts)-1).Complete(ctx, f.completion("ready?", 1)); err != nil {
				return poll.Continue("instance %d: %v", i, err)
			}
			return poll.Success()
		}
		poll.WaitOn(t, served, poll.WithTimeout(waitLimit), poll.WithDelay(pollInterval))
	}
	waitIdle(t, f)
}

// submitAndWait submits a ticket and waits until it is in force on all instances.
func (f *Fleet) submitAndWait(t *testing.T, file string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	number, err := f.Submit(ctx, file)
	assert.NilError(t, err)
	assert.NilError(t, f.WaitApplied(ctx, number))
}

// withdrawal returns a ticket file that withdraws an account's key.
func (f *Fleet) withdrawal(account string) string {
	hash, _ := f.keyHash(account).MarshalText()
	return fmt.Sprintf("[ticket]\nnote = withdraw\n[key %q]\naccount = %s\nhash = %s\nwithdrawn = true\n", account+"-1", account, hash)
}

// callsAfter returns the calls other than cancels that engines received after an instant.
func (f *Fleet) callsAfter(at time.Time) []engine.ReceivedCall {
	var work []engine.ReceivedCall
	for _, e := range f.Engines {
		for _, s := range e.Server.Ledger().Calls {
			if s.Stage != "cancel" && s.At.After(at) {
				work = append(work, s)
			}
		}
	}
	return work
}

// completionResult is the outcome of an asynchronous completion.
type completionResult struct {
	result *caller.Result
	err    error
}

func (f *Fleet) completeAsync(entry, account int, prompt string, tokens int, onToken func(string)) <-chan completionResult {
	done := make(chan completionResult, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 2*waitLimit)
		defer cancel()
		q := f.completion(prompt, tokens)
		q.OnToken = onToken
		r, err := f.client(entry, account).Complete(ctx, q)
		done <- completionResult{r, err}
	}()
	return done
}

// TestWithdrawnKeyGetsNoNewWork withdraws a key that a running stream and queued
// requests use. Queued and new requests are refused. If the stream's connection to its
// engine breaks, the output of the running attempt is still read, but no new attempt is
// started.
func TestWithdrawnKeyGetsNoNewWork(t *testing.T) {
	for _, fault := range []host.Kind{"none", host.Drop, host.Die} {
		t.Run(string(fault), func(t *testing.T) {
			t.Parallel()
			f := startFleet(t, singleEngines())
			f.waitReady(t)
			const prompt, tokens = "the stream under way", 300
			started := make(chan struct{}, 2*tokens)
			running := f.completeAsync(0, 0, prompt, tokens, func(string) { started <- struct{}{} })
			<-started
			var waiting []<-chan completionResult
			for i := range 6 {
				waiting = append(waiting, f.completeAsync(i%2, 0, fmt.Sprintf("waits %d", i), 5, nil))
			}
			f.submitAndWait(t, f.withdrawal(f.Deployment.Accounts[0].Name))
			applied := time.Now()
			for i := range f.Entries {
				ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
				_, err := f.client(i, 0).Complete(ctx, f.completion("too late", 5))
				assertRefused(t, err, errkind.KeyRefused, errkind.NotRun)
				_, err = f.client(i, 0).Call(ctx, caller.Call{Method: "GET", Path: ServicePath + "x"})
				assertRefused(t, err, errkind.KeyRefused, errkind.NotRun)
				cancel()
			}
			if fault != "none" {
				for _, e := range f.Engines {
					if len(e.Server.Running()) > 0 {
						e.Server.Inject(host.Fault{Kind: fault, For: 500 * time.Millisecond})
					}
				}
			}
			a := <-running
			if fault == host.Die {
				var refused *caller.RefusedError
				assert.Assert(t, errors.As(a.err, &refused), "got %v", a.err)
				assert.Equal(t, refused.Kind, errkind.KeyRefused)
				assert.Assert(t, refused.Execution != errkind.NotRun)
			} else {
				assert.NilError(t, a.err)
				assert.Equal(t, a.result.Text, expectedText(f.Deployment.Model.Model, prompt, tokens))
				assert.Equal(t, a.result.DoneCount, 1)
			}
			for i, w := range waiting {
				err := (<-w).err
				t.Logf("waiting caller %d: %v", i, err)
				assertRefused(t, err, errkind.KeyRefused, errkind.NotRun)
			}
			for _, s := range f.callsAfter(applied) {
				resumedRead := fault == host.Drop && s.ID.String() == a.result.RequestID && s.Attempt == 1 && s.Stage == "decode"
				assert.Assert(t, resumedRead, "%s of attempt %d of %s came after the withdrawal", s.Stage, s.Attempt, s.ID)
			}
			waitIdle(t, f)
			other := <-f.completeAsync(1, 1, "another account", 5, nil)
			assert.NilError(t, other.err)
		})
	}
}

// leavingGrace is the time after which an endpoint marked as leaving must not get new work.
const leavingGrace = 3 * time.Second

// markLeaving marks an endpoint as leaving, either in the platform's list or by a ticket.
func (f *Fleet) markLeaving(t *testing.T, e config.Endpoint, byList bool) {
	t.Helper()
	if byList {
		f.Store.SetInstance(platform.Instance{Name: e.Name, Addr: e.Addr, DataCentre: e.DataCentre, Group: e.Pool, State: platform.Leaving})
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	_, err := f.Submit(ctx, fmt.Sprintf("[ticket]\nnote = leave\n[endpoint %q]\npool = %s\naddr = %s\ndata_centre = %s\nrole = %s\nslots = %d\npieces = %d\nfencing = true\nleaving = true\n",
		e.Name, e.Pool, e.Addr, e.DataCentre, e.Role, e.Slots, e.Pieces))
	assert.NilError(t, err)
}

func TestLeavingEndpointGetsNoNewWork(t *testing.T) {
	for _, role := range []config.Role{config.Prefill, config.Decode} {
		for _, byList := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s by list=%t", role, byList), func(t *testing.T) {
				t.Parallel()
				d := threeInstances()
				d.DataCentres[0].Decodes = 2
				d.Model.TokenInterval = 10 * time.Millisecond
				tr := newFaultRun(t, d)
				f := tr.f
				var leaving *Engine
				for _, e := range f.Engines {
					if leaving == nil && e.Role == role {
						leaving = e
					}
				}
				stop := make(chan struct{})
				wg := tr.startLoad(stop)
				poll.WaitOn(t, func(poll.LogT) poll.Result {
					if len(leaving.Server.Running()) > 0 {
						return poll.Success()
					}
					return poll.Continue("%s has no work", leaving.Name)
				}, poll.WithTimeout(waitLimit), poll.WithDelay(time.Millisecond))
				f.markLeaving(t, leaving.Endpoint, byList)
				accepted := time.Now()
				time.Sleep(leavingGrace + 2*time.Second)
				close(stop)
				wg.Wait()
				for _, a := range tr.requests {
					assert.Assert(t, a.operation != "" || a.err == nil, "%v", a.err)
				}
				tr.verify()
				for _, s := range leaving.Server.Ledger().Calls {
					if s.Stage == "prefill" || s.Stage == "import" {
						assert.Assert(t, s.At.Sub(accepted) <= leavingGrace, "%s of %s came %v after the change", s.Stage, s.ID, s.At.Sub(accepted))
					}
				}
				assert.Assert(t, len(f.callsAfter(accepted.Add(leavingGrace))) > 0, "no engine calls after the grace period")
			})
		}
	}
}

func TestOneOfTwoRacingOperatorsWins(t *testing.T) {
	f := startFleet(t, threeInstances())
	ctx, cancel := context.WithTimeout(context.Background(), 2*waitLimit)
	defer cancel()
	account := f.Deployment.Accounts[0].Name
	base := f.Entries[0].Applied()
	for round := range 5 {
		// The first burst is too small for any request of the test, the second fits all of them.
		bursts := []float64{10, 1e6}
		var numbers [2]uint64
		var errs [2]error
		var wg sync.WaitGroup
		for i, burst := range bursts {
			wg.Go(func() {
				file := fmt.Sprintf("[ticket]\nnote = race %d\nbase = %d\n[account %q]\nrate = 100000\nburst = %g\n", round, base, account, burst)
				numbers[i], errs[i] = f.Submit(ctx, file)
			})
		}
		wg.Wait()
		winner := 0
		if errs[0] != nil {
			winner = 1
		}
		assert.NilError(t, errs[winner])
		var lost *ticket.ConflictError
		assert.Assert(t, errors.As(errs[1-winner], &lost), "got %v", errs[1-winner])
		assert.Equal(t, lost.Ticket, numbers[winner])
		assert.Equal(t, numbers[winner], base+1)
		base = numbers[winner]
		assert.NilError(t, f.WaitApplied(ctx, base))
		for i, e := range f.Entries {
			assert.Equal(t, e.Applied(), base)
			served := func(poll.LogT) poll.Result {
				_, err := f.client(i, 0).Complete(ctx, f.completion("which state", 50))
				var refused *caller.RefusedError
				if tooLarge := errors.As(err, &refused) && refused.Kind == errkind.TooLarge; tooLarge == (winner == 0) && (err == nil || tooLarge) {
					return poll.Success()
				}
				return poll.Continue("operator %d won, %s answered %v", winner, e.Name(), err)
			}
			poll.WaitOn(t, served, poll.WithTimeout(waitLimit), poll.WithDelay(pollInterval))
		}
	}
}
