package gateway

import (
	"encoding/json"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"carawayrouter.example/router/internal/gossip"
)

// Instances of former builds decode one form of updates only, and are sent that one.
func TestUpdatesAreSentInTheFormOfTheirReceivers(t *testing.T) {
	now := time.Now()
	addr := func(i byte) netip.AddrPort { return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, i}), 1) }
	p := &peers{known: map[string]*peer{
		"older":                  {addr: addr(1), form: gossip.FormSoftware},
		"old":                    {addr: addr(2), form: gossip.FormLeaving},
		"later":                  {addr: addr(3), form: gossip.CurrentForm + 1},
		"of this build, unheard": {addr: addr(4), row: instanceRow{Updates: "x", Form: gossip.CurrentForm}},
		"unknown build, unheard": {addr: addr(5), row: instanceRow{Updates: "x"}, foundAt: now.Add(-latestFormTime)},
		"unknown build, found":   {addr: addr(7), row: instanceRow{Updates: "x"}, foundAt: now.Add(time.Millisecond - latestFormTime)},
		"leaving":                {addr: addr(6), form: gossip.FormSoftware, leaving: true},
		"without an address":     {form: gossip.FormSoftware},
	}}
	to, _ := p.destinations(now, len(p.known)+1)
	for _, list := range to {
		slices.SortFunc(list, netip.AddrPort.Compare)
	}
	assert.Equal(t, len(to), 3)
	assert.Assert(t, slices.Equal(to[gossip.FormSoftware], []netip.AddrPort{addr(1), addr(5)}), "%v", to)
	assert.Assert(t, slices.Equal(to[gossip.FormLeaving], []netip.AddrPort{addr(2), addr(5), addr(7)}), "%v", to)
	assert.Assert(t, slices.Equal(to[gossip.CurrentForm], []netip.AddrPort{addr(3), addr(4)}), "%v", to)
}

// A relay passes on the updates of each build to the instances of each build: one that cannot be read costs a former
// build all that follow it in the batch.
func TestBatchesAreInTheFormOfTheirReceivers(t *testing.T) {
	p := &peers{s: &Server{settings: Settings{Instance: "relay"}}}
	secret := []byte("secret")
	updates := map[string]relayedUpdate{}
	for name, form := range map[string]gossip.Form{"a": gossip.FormSoftware, "b": gossip.FormLeaving} {
		b, err := gossip.EncodeForm(&gossip.Update{Instance: name, EndpointsLeaving: []gossip.LeavingEndpoint{{Endpoint: "e"}}}, form, secret)
		assert.NilError(t, err)
		updates[name] = relayedUpdate{instance: name, datagram: b, form: form}
	}
	for _, form := range []gossip.Form{gossip.FormSoftware, gossip.FormLeaving} {
		got := p.batch(updates, form, false)
		assert.Equal(t, len(got.Datagrams), 2)
		for _, d := range got.Datagrams {
			u, err := gossip.DecodeRelayed(d)
			assert.NilError(t, err)
			assert.Equal(t, u.Form, form)
			assert.Equal(t, u.SentForm, updates[u.Instance].form)
		}
	}
	assert.Equal(t, len(p.batch(updates, gossip.FormLeaving, true).Datagrams), 0, "what another data centre has sent is not sent on to others")
}

// A sender whose updates cannot be read is logged once a minute.
func TestRefusedUpdatesAreLoggedOnceAMinute(t *testing.T) {
	l, now, from := refusalLog{}, time.Unix(1000, 0), netip.MustParseAddrPort("10.0.0.1:1")
	lines := 0
	for i := range 600 {
		if l.allow(now.Add(time.Duration(i)*100*time.Millisecond), from, errors.New("bad")) {
			lines++
		}
	}
	assert.Equal(t, lines, 1)
	assert.Assert(t, l.allow(now.Add(refusalLogInterval), from, errors.New("bad")))
	assert.Assert(t, l.allow(now, from, errors.New("worse")))
	for i := range 3 * maxRefusalLog {
		l.allow(now, netip.AddrPortFrom(from.Addr(), uint16(i)), errors.New("bad"))
		assert.Assert(t, len(l) <= maxRefusalLog)
	}
}

// An instance that comes back with another build is sent the form of that one, whichever of its row and its update
// arrives first.
func TestFormIsThatOfTheIncarnation(t *testing.T) {
	now := time.Unix(1000, 0)
	row := func(incarnation int64) Row {
		b, err := json.Marshal(instanceRow{Incarnation: incarnation, Updates: "10.0.0.1:1"})
		assert.NilError(t, err)
		return Row{Key: "i1", Value: b, Version: uint64(incarnation)}
	}
	s := newTestServer("127.0.0.1:1", now)
	p := s.peers
	p.applyRow(now, row(1))
	p.applyUpdate(now, &gossip.Update{Instance: "i1", Incarnation: 1, Sequence: 1, SentForm: gossip.FormLeaving}, netip.AddrPort{}, false)
	assert.Equal(t, p.known["i1"].form, gossip.FormLeaving)
	p.applyRow(now, row(2))
	assert.DeepEqual(t, p.known["i1"].formsFor(now), []gossip.Form{gossip.FormLeaving})
	assert.DeepEqual(t, p.known["i1"].formsFor(now.Add(latestFormTime)), []gossip.Form{gossip.FormLeaving, gossip.FormSoftware})
	p.applyUpdate(now, &gossip.Update{Instance: "i1", Incarnation: 2, Sequence: 1, SentForm: gossip.FormSoftware}, netip.AddrPort{}, false)
	assert.DeepEqual(t, p.known["i1"].formsFor(now), []gossip.Form{gossip.FormSoftware})
	p.applyUpdate(now, &gossip.Update{Instance: "i1", Incarnation: 3, Sequence: 1, SentForm: gossip.FormLeaving}, netip.AddrPort{}, false)
	p.applyRow(now, row(3))
	assert.DeepEqual(t, p.known["i1"].formsFor(now), []gossip.Form{gossip.FormLeaving})
}
