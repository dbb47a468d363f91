package config

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestReplaceSharesOtherKinds(t *testing.T) {
	e1, e2 := &Endpoint{Name: "e1", Pool: "p"}, &Endpoint{Name: "e2", Pool: "p"}
	old := Build(1, &Objects{
		Accounts:  []*Account{{Name: "a"}},
		Endpoints: []*Endpoint{e2, e1},
		Routes:    []*Route{{Name: "all", Path: "/*"}, {Name: "one", Path: "/x"}},
	})
	next := old.Replace(2, &Objects{Endpoints: []*Endpoint{e2}, Accounts: []*Account{}})
	assert.Equal(t, next.Ticket, uint64(2))
	assert.Equal(t, len(next.Accounts), 0)
	assert.Equal(t, len(next.Pool("p")), 1)
	assert.Equal(t, next.Route("GET", "/x", "").Name, "one")
	assert.Equal(t, old.Ticket, uint64(1))
	assert.Equal(t, len(old.Accounts), 1)
	assert.Equal(t, len(old.Pool("p")), 2)
	assert.Equal(t, old.Pool("p")[0], e1)
}
