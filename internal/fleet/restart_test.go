package fleet

import (
	"bytes"
	"context"
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"carawayrouter.example/router/internal/shard"
)

// TestInstanceStartsWithoutTheStore restarts an instance while the store is down. The
// instance must serve with the configuration that it fetches from another instance. It
// was the home of the account's tokens in its data centre; no other instance can become
// the home until the store is back, so the home in the other data centre grants tokens
// meanwhile.
func TestInstanceStartsWithoutTheStore(t *testing.T) {
	d := smallDeployment()
	d.DataCentres[0].Entries = 3
	d.DataCentres[1].Entries = 3
	f := startFleet(t, d)
	f.waitReady(t)
	for i := range f.Entries {
		a := <-f.completeAsync(i, 0, "before the store goes down", 5, nil)
		assert.NilError(t, a.err)
	}
	number := f.Entries[0].Applied()
	f.Store.Down(true)
	e := f.homeOf(t, "east", 0)
	e.Kill()
	assert.NilError(t, e.Start())
	ctx, cancel := context.WithTimeout(context.Background(), 2*waitLimit)
	defer cancel()
	const prompt = "asked while the store is down"
	served := func(poll.LogT) poll.Result {
		r, err := f.client(slices.Index(f.Entries, e), 0).Complete(ctx, f.completion(prompt, 20))
		if err != nil {
			return poll.Continue("%v", err)
		}
		if r.Text != expectedText(f.Deployment.Model.Model, prompt, 20) {
			return poll.Error(fmt.Errorf("got %q", r.Text))
		}
		return poll.Success()
	}
	poll.WaitOn(t, served, poll.WithTimeout(waitLimit), poll.WithDelay(pollInterval))
	assert.Equal(t, e.Applied(), number)
	f.Store.Down(false)
	f.submitAndWait(t, f.withdrawal(f.Deployment.Accounts[3].Name))
	waitIdle(t, f)
}

// homeOf returns the instance that is the home of an account's tokens in a data centre.
func (f *Fleet) homeOf(t *testing.T, dataCentre string, account int) *Entry {
	t.Helper()
	k := shard.Of(dataCentre, "account/"+f.Deployment.Accounts[account].Name)
	for _, r := range f.Store.Peek(shard.RowKey(k)) {
		for _, e := range f.Entries {
			if bytes.Contains(r.Value, []byte(e.settings.Listen.Peers)) {
				return e
			}
		}
	}
	t.Fatalf("shard %s has no home", k)
	return nil
}
