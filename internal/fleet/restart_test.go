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
	e := f.takeStoreDown(t, "east", "west", 0)
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

// takeStoreDown takes the store down at a moment at which an account's tokens have a home in a
// data centre, and the other instances there know the home in another one. It returns the home
// in the data centre. Right after the start no instance may be the home, as the instances hand
// shards over to each other, and homes elsewhere are looked up in the background.
func (f *Fleet) takeStoreDown(t *testing.T, dataCentre, other string, account int) *Entry {
	t.Helper()
	name := "account/" + f.Deployment.Accounts[account].Name
	var home *Entry
	settled := func(poll.LogT) poll.Result {
		f.Store.Down(true)
		home = f.homeOf(shard.Of(dataCentre, name))
		if home != nil && f.homeIsKnown(shard.Of(other, name), dataCentre, home) {
			return poll.Success()
		}
		f.Store.Down(false)
		return poll.Continue("homes of the account are not known")
	}
	poll.WaitOn(t, settled, poll.WithTimeout(waitLimit), poll.WithDelay(pollInterval))
	return home
}

// homeOf returns the instance that is the home of a shard, or nil.
func (f *Fleet) homeOf(k shard.Key) *Entry {
	for _, r := range f.Store.Peek(shard.RowKey(k)) {
		for _, e := range f.Entries {
			if bytes.Contains(r.Value, []byte(e.settings.Listen.Peers)) {
				return e
			}
		}
	}
	return nil
}

// homeIsKnown reports whether all instances of a data centre except one know the home of a
// shard.
func (f *Fleet) homeIsKnown(k shard.Key, dataCentre string, except *Entry) bool {
	for _, e := range f.Entries {
		if e == except || e.DataCentre() != dataCentre {
			continue
		}
		if _, ok := e.Daemon().Home(k); !ok {
			return false
		}
	}
	return true
}
