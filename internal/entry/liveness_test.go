package entry

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"carawayrouter.example/router/internal/clock"
	"carawayrouter.example/router/internal/member"
	"carawayrouter.example/router/internal/platform"
	"carawayrouter.example/router/internal/platform/memplatform"
)

type fixedView member.View

func (v *fixedView) View() *member.View { return (*member.View)(v) }

func putSession(t *testing.T, table platform.Table, r member.Row) {
	t.Helper()
	b, err := json.Marshal(r)
	assert.NilError(t, err)
	_, err = table.Commit(context.Background(), platform.Txn{Writes: []platform.Write{{Key: member.RowKey(r.Name), Value: b}}})
	assert.NilError(t, err)
}

func TestDeadProcesses(t *testing.T) {
	c := clock.NewFake(time.Unix(1000, 0))
	store := memplatform.New(memplatform.Options{Clock: c})
	table := store.For("east").Table
	view := &fixedView{Peers: []member.Session{{Name: "alive", Process: 5}}}
	e := newLivenessChecker(view, table, c)
	putSession(t, table, member.Row{Name: "replaced", Process: 9})
	putSession(t, table, member.Row{Name: "released", Process: 7, Released: true})
	putSession(t, table, member.Row{Name: "silent", Process: 7})

	assert.Assert(t, !e.Dead("alive", 5))
	assert.Assert(t, e.Dead("alive", 4))
	assert.Assert(t, e.Dead("replaced", 8))
	assert.Assert(t, e.Dead("released", 7))
	assert.Assert(t, !e.Dead("silent", 7), "a process with a session is not dead, even outside the view")
	assert.Assert(t, !e.Dead("unregistered", 3))
	c.Advance(missingSessionTimeout)
	assert.Assert(t, e.Dead("unregistered", 3))
	assert.Assert(t, !e.Dead("silent", 7))
}

func TestProcessDeathWhileStoreIsDown(t *testing.T) {
	c := clock.NewFake(time.Unix(1000, 0))
	store := memplatform.New(memplatform.Options{Clock: c})
	table := store.For("east").Table
	putSession(t, table, member.Row{Name: "released", Process: 7, Released: true})
	e := newLivenessChecker(&fixedView{}, table, c)
	store.Down(true)
	assert.Assert(t, !e.Dead("released", 7))
	assert.Assert(t, !e.Dead("lost", 7))
	c.Advance(storeDownTimeout)
	assert.Assert(t, e.Dead("lost", 7), "dead after storeDownTimeout outside the view")
	store.Down(false)
	c.Advance(sessionReadInterval)
	assert.Assert(t, e.Dead("released", 7))
}
