package ticket

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"carawayrouter.example/router/internal/config"
)

// drawChange draws a change of any kind; it uses only a few names, so that changes
// collide.
func drawChange(t *rapid.T) Change {
	name := fmt.Sprintf("o%d", rapid.IntRange(0, 3).Draw(t, "name"))
	n := rapid.IntRange(1, 9).Draw(t, "value")
	kinds := []Change{
		putTestAccount(name, float64(n)),
		PutKey(&config.Key{ID: name, Account: "a", Hash: config.HashKey(fmt.Sprint(name, n))}),
		PutPool(&config.Pool{Name: name, Kind: config.ServicePool}),
		PutEndpoint(&config.Endpoint{Name: name, Pool: fmt.Sprintf("o%d", n%3), Slots: n}),
		PutRoute(&config.Route{Name: name, Path: fmt.Sprintf("/%d", n)}),
	}
	c := rapid.SampledFrom(kinds).Draw(t, "change")
	if rapid.IntRange(0, 3).Draw(t, "delete") == 0 {
		return Delete(c.Kind, c.Name)
	}
	return c
}

// TestSharedStateEqualsRebuilt tests that a state that shares unchanged kinds with its
// predecessor equals one built from scratch, and that the predecessor is not modified.
func TestSharedStateEqualsRebuilt(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := NewApplier(Options{})
		for n := uint64(1); n <= 12; n++ {
			before := a.Current()
			kept := before.Objects()
			tk := &Ticket{Number: n}
			for range rapid.IntRange(1, 3).Draw(t, "changes") {
				tk.Changes = append(tk.Changes, drawChange(t))
			}
			w, err := encodeRow("", tk)
			assert.NilError(t, err)
			a.apply(update{tail: Tail{Head: n, Tickets: [][]byte{w.Value}}})
			assert.Equal(t, a.Applied(), n)
			want := a.set.build()
			assert.DeepEqual(t, a.Current().Objects(), want.Objects())
			assert.DeepEqual(t, before.Objects(), kept)
			for i := range 3 {
				pool := fmt.Sprintf("o%d", i)
				assert.DeepEqual(t, a.Current().Pool(pool), want.Pool(pool))
			}
			if rapid.IntRange(0, 9).Draw(t, "snapshot") == 0 {
				data, err := a.Snapshot()
				assert.NilError(t, err)
				b := NewApplier(Options{})
				b.apply(update{tail: Tail{Head: n, Snapshot: data}})
				assert.Equal(t, b.Applied(), n)
				a = b
			}
		}
	})
}
