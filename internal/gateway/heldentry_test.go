package gateway

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// endpointTable is the table of endpoints in a store, with its history.
type endpointTable struct {
	history []Row          // by version, from 1
	rows    map[string]Row // that are there
}

func newEndpointTable() *endpointTable { return &endpointTable{rows: map[string]Row{}} }

func (e *endpointTable) register(t *testing.T, name string) {
	r := endpointRow(t, name, uint64(len(e.history)+1))
	e.history, e.rows[name] = append(e.history, r), r
}

func (e *endpointTable) remove(name string) {
	e.history = append(e.history, Row{Key: name, Version: uint64(len(e.history) + 1), Deleted: true})
	delete(e.rows, name)
}

func (e *endpointTable) position() Position { return Position{Version: uint64(len(e.history))} }

// readBy has an instance read the whole table.
func (e *endpointTable) readBy(now time.Time, s *state) {
	var rows []Row
	for _, r := range e.rows {
		rows = append(rows, r)
	}
	s.applyEndpoints(now, rows, e.position(), true)
}

// followedBy has an instance read the changes after a version: the last one of each row.
func (e *endpointTable) followedBy(now time.Time, s *state, after int) {
	var changes []Row
	for i, r := range e.history[after:] {
		if !slices.ContainsFunc(e.history[after+i+1:], func(later Row) bool { return later.Key == r.Key }) {
			changes = append(changes, r)
		}
	}
	if len(changes) > 0 {
		s.applyEndpoints(now, changes, e.position(), false)
	}
}

// tellState has an instance take over what another one knows, as it is sent.
func tellState(t *testing.T, now time.Time, from, to *state, former bool) {
	exported := from.export(now)
	if former {
		for _, h := range exported.Held {
			exported.Endpoints = append(exported.Endpoints, h.Endpoint)
		}
		exported.Held = nil
	}
	b, err := json.Marshal(exported)
	assert.NilError(t, err)
	var p peerState
	assert.NilError(t, json.Unmarshal(b, &p))
	to.merge(now, &p, "other")
}

// An instance held back the removal of the last of the endpoints that left at once, and passed on their entries like those
// in force. One that had just started took them, had read past the removal, and used the endpoints until they exited.
func TestHeldRemovalIsKnownToInstancesThatAreTold(t *testing.T) {
	const endpoints, gone = 12, 4
	var all, left []string
	for i := range endpoints {
		all = append(all, fmt.Sprintf("e%02d", i))
	}
	left = all[gone:]
	for name, c := range map[string]struct {
		before  bool // it has read the table before the endpoints left
		after   bool // it has read the table after that
		changes bool // the table has changed once more when it is told
		former  bool // the instance that tells it is of a former build
	}{
		"started after the removal":                         {after: true},
		"started after the removal, further changes":        {after: true, changes: true},
		"started after the removal, told by a former build": {after: true, changes: true, former: true},
		"behind the other one":                              {before: true},
		"behind the other one, further changes":             {before: true, changes: true},
		"not read":                                          {},
		"read before and after the removal":                 {before: true, after: true, changes: true},
		"read before and after, told by a former build":     {before: true, after: true, changes: true, former: true},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			table, other, s := newEndpointTable(), newTableState(), newTableState()
			for _, n := range all {
				table.register(t, n)
			}
			table.readBy(now, other)
			if c.before {
				table.readBy(now, s)
			}
			read := len(table.history)
			for _, n := range all[:gone] {
				table.remove(n)
			}
			table.followedBy(now, other, read)
			assert.Equal(t, len(endpointNames(other)), endpoints-removalBurstMin, "some removals are held back")
			read = len(table.history)
			if c.after {
				table.readBy(now, s)
			}
			if c.changes {
				table.register(t, all[gone])
				table.followedBy(now, other, read)
			}
			now = now.Add(100 * time.Millisecond)
			tellState(t, now, other, s, c.former)
			if c.after && !c.before {
				assert.DeepEqual(t, endpointNames(s), left)
			}
			now = now.Add(suspendDelay)
			s.expire(now)
			assert.DeepEqual(t, endpointNames(s), left)
			now = now.Add(reregistrationGrace)
			s.expire(now)
			assert.DeepEqual(t, endpointNames(s), left)

			// One of them registers again.
			read = len(table.history)
			table.register(t, all[0])
			table.followedBy(now, s, read)
			assert.DeepEqual(t, endpointNames(s), slices.Concat(all[:1], left))
		})
	}
}

// The changes of the table name an entry that was written and removed between two reads only as removed.
func TestEntryThatWasNeverReadIsNotTakenOnceItIsGone(t *testing.T) {
	now := time.Unix(1000, 0)
	table, other, s := newEndpointTable(), newTableState(), newTableState()
	table.register(t, "kept")
	table.readBy(now, other)
	table.readBy(now, s)
	read := len(table.history)
	table.register(t, "short")
	table.followedBy(now, other, read)
	table.remove("short")
	table.followedBy(now, s, read)
	other.storeFailed(now)
	table.followedBy(now, other, read+1)
	read = len(table.history)
	table.register(t, "kept")
	table.followedBy(now, other, read)
	assert.DeepEqual(t, endpointNames(other), []string{"kept", "short"}) // the removal is held back
	tellState(t, now, other, s, true)
	assert.DeepEqual(t, endpointNames(s), []string{"kept"})
}

// An endpoint had left before an instance started, and the store was restored from an older copy that still has its entry.
func TestEntryOfTheStoresCopyIsNotTakenFromAnotherInstance(t *testing.T) {
	now := time.Unix(1000, 0)
	other, s := newTableState(), newTableState()
	s.applyEndpoints(now, []Row{endpointRow(t, "kept", 6)}, Position{Version: 12}, true)
	theCopy := []Row{endpointRow(t, "gone", 5), endpointRow(t, "kept", 6)}
	other.applyEndpoints(now, theCopy, Position{Era: 1, Version: 10}, true)
	tellState(t, now, other, s, false)
	assert.DeepEqual(t, endpointNames(s), []string{"kept"})

	again := []Row{endpointRow(t, "gone", 11)}
	other.applyEndpoints(now, again, Position{Era: 1, Version: 11}, false)
	tellState(t, now, other, s, false)
	assert.DeepEqual(t, endpointNames(s), []string{"gone", "kept"}) // it has registered again
}

// Instances that read the table now and then, start again and tell each other what they know, in any order, agree with the
// store in the end. None uses an entry for longer after it has read that it was removed than removals are held back.
func TestInstancesAgreeOnRemovedEndpoints(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const instances = 3
		names := []string{"a", "b", "c", "d", "e", "f"}
		now := time.Unix(1000, 0)
		table := newEndpointTable()
		for _, n := range names {
			table.register(t, n)
		}
		var states [instances]*state
		var read [instances]int // versions
		type removal struct {
			version uint64
			read    time.Time
		}
		var removals [instances]map[string]removal // that an instance has read
		start := func(i int) {
			states[i], read[i], removals[i] = newTableState(), 0, map[string]removal{}
		}
		follow := func(i int) {
			if read[i] == 0 {
				table.readBy(now, states[i])
			} else {
				table.followedBy(now, states[i], read[i])
			}
			for _, r := range table.history[read[i]:] {
				if r.Deleted {
					removals[i][r.Key] = removal{version: r.Version, read: now}
				}
			}
			read[i] = len(table.history)
		}
		for i := range states {
			start(i)
		}
		instance := rapid.IntRange(0, instances-1)
		for range rapid.IntRange(1, 50).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(rt, "ms")) * time.Millisecond)
			i := instance.Draw(rt, "instance")
			switch rapid.SampledFrom([]string{"register", "remove", "remove all", "follow", "follow", "fail", "start", "tell", "tell"}).Draw(rt, "step") {
			case "register":
				table.register(t, rapid.SampledFrom(names).Draw(rt, "name"))
			case "remove":
				if n := rapid.SampledFrom(names).Draw(rt, "name"); table.rows[n].Key != "" {
					table.remove(n)
				}
			case "remove all":
				for _, n := range names {
					if table.rows[n].Key != "" {
						table.remove(n)
					}
				}
			case "follow":
				follow(i)
			case "fail":
				states[i].storeFailed(now)
			case "start":
				start(i)
			case "tell":
				tellState(t, now, states[i], states[instance.Draw(rt, "told")], rapid.Bool().Draw(rt, "former"))
			}
			for i, s := range states {
				s.expire(now)
				for _, ep := range s.directory.list() {
					if r := removals[i][ep.Name]; !ep.Leaving && ep.Written < r.version {
						assert.Assert(rt, now.Sub(r.read) < reregistrationGrace, "instance %d uses %s %v after it has read that it was removed", i, ep.Name, now.Sub(r.read))
					}
				}
			}
		}
		for i, s := range states {
			follow(i)
			s.expire(now)
		}
		now = now.Add(time.Minute)
		var want []string
		for _, n := range names {
			if table.rows[n].Key != "" {
				want = append(want, n)
			}
		}
		for _, s := range states {
			s.expire(now)
			assert.DeepEqual(rt, endpointNames(s), want)
		}
	})
}
