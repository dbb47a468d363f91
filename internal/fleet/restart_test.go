package fleet

import (
	"context"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// TestInstanceStartsWithoutTheStore restarts an instance while the store is down: it
// serves by the configuration that it gets from another instance.
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
	e := f.Entries[1]
	e.Kill()
	assert.NilError(t, e.Start())
	ctx, cancel := context.WithTimeout(context.Background(), 2*waitLimit)
	defer cancel()
	const prompt = "asked while the store is down"
	served := func(poll.LogT) poll.Result {
		r, err := f.client(1, 0).Complete(ctx, f.completion(prompt, 20))
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
