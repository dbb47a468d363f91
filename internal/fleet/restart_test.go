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

// TestInstanceStartsWithoutTheStore restarts an instance while the store is down: it
// serves by the configuration that it gets from another instance. The instance is the
// home of the account's tokens in its data centre, which stays without one until the
// store is back: the other data centre's home grants meanwhile.
func TestInstanceStartsWithoutTheStore(t *testing.T) {
	d := small()
	d.DataCentres[0].Entries = 3
	d.DataCentres[1].Entries = 3
	f := start(t, d)
	f.ready(t)
	for i := range f.Entries {
		a := <-f.completeLater(i, 0, "before the store goes down", 5, nil)
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
		if r.Text != expected(f.Deployment.Model.Model, prompt, 20) {
			return poll.Error(fmt.Errorf("got %q", r.Text))
		}
		return poll.Success()
	}
	poll.WaitOn(t, served, poll.WithTimeout(waitLimit), poll.WithDelay(pollInterval))
	assert.Equal(t, e.Applied(), number)
	f.Store.Down(false)
	f.change(t, f.withdrawal(f.Deployment.Accounts[3].Name))
	waitIdle(t, f)
}

// homeOf returns the instance that is home of an account's tokens in a data centre.
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
