package gateway

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// readIDs reads a stream whose events have the given ids, and returns those of the events that may be relayed.
func readIDs(after string, order idOrder, ids ...string) (relayed []string, seen idOrder, err error) {
	var stream strings.Builder
	for i, id := range ids {
		if id != "" {
			id = "id: " + id + "\n"
		}
		fmt.Fprintf(&stream, "%sdata: event %d\n\n", id, i)
	}
	r := newEventReader(bufio.NewReader(strings.NewReader(stream.String())), newIDSequence(after, order, 0))
	for {
		e, err := r.next()
		if err != nil {
			return relayed, seen, err
		}
		relayed, seen = append(relayed, e.id), e.order
	}
}

// An event with an id that cannot follow was relayed, and the stream went on after that id elsewhere: events were missing
// or came twice in a stream that ended as complete.
func TestEventsWithWrongIDsAreNotRelayed(t *testing.T) {
	const events = 12
	for name, spoil := range map[string]func(n int) string{
		"missing":       func(int) string { return "" },
		"a lost digit":  func(n int) string { return fmt.Sprint(n / 10) },
		"doubled digit": func(n int) string { return fmt.Sprint(n*10 + n%10) },
		"repeated":      func(n int) string { return fmt.Sprint(n - 1) },
		"lower":         func(n int) string { return fmt.Sprint(n - 2) },
		"higher":        func(n int) string { return fmt.Sprint(n + 3) },
		"no number":     func(n int) string { return fmt.Sprintf("%dx", n) },
		"with a sign":   func(n int) string { return fmt.Sprintf("+%d", n) },
		"a fraction":    func(n int) string { return fmt.Sprintf("%d.0", n) },
		"too large":     func(int) string { return "18446744073709551616" },
		"largest":       func(int) string { return "18446744073709551615" },
	} {
		for _, after := range []int{0, 10} {
			for n := 1; n <= events; n++ {
				var ids, want []string
				for i := range events {
					id := fmt.Sprint(after + i + 1)
					if i+1 == n {
						id = spoil(after + n)
					} else if i+1 < n {
						want = append(want, id)
					}
					ids = append(ids, id)
				}
				position, order := "", orderUnknown
				if after > 0 {
					position, order = fmt.Sprint(after), orderCounted
				}
				relayed, seen, err := readIDs(position, order, ids...)
				if ids[0] == "0" {
					assert.Equal(t, seen, orderSparse, "%s: a stream may begin with 0", name)
					continue
				}
				assert.ErrorIs(t, err, errWrongEventID, "%s, event %d after %d", name, n, after)
				assert.DeepEqual(t, relayed, want)
			}
		}
	}
}

// Increasing ids are allowed that do not count the events. Such a stream is relayed, but what follows is not known.
func TestOrderOfEventIDs(t *testing.T) {
	for _, c := range []struct {
		name    string
		after   string
		before  idOrder
		ids     []string
		relayed int
		order   idOrder
		wrong   bool
	}{
		{name: "from one", ids: []string{"1", "2", "3"}, relayed: 3},
		{name: "resumed", after: "12", ids: []string{"13", "14"}, relayed: 2},
		{name: "resumed by this instance", after: "12", before: orderCounted, ids: []string{"13", "14"}, relayed: 2},
		{name: "leading zeros", after: "009", ids: []string{"010", "011"}, relayed: 2},
		{name: "from zero", ids: []string{"0", "1", "2"}, relayed: 3},
		{name: "from another number", ids: []string{"40", "41", "42"}, relayed: 3},
		{name: "position is no number", after: "x", ids: []string{"5", "6"}, relayed: 2},
		{name: "steps", ids: []string{"4", "8", "12"}, relayed: 3, order: orderSparse},
		{name: "steps, resumed", after: "12", ids: []string{"16", "20"}, relayed: 2, order: orderSparse},
		{name: "uneven steps", ids: []string{"3", "4", "9"}, relayed: 2, wrong: true},
		{name: "steps that fall", ids: []string{"4", "8", "12", "3"}, relayed: 3, order: orderSparse, wrong: true},
		{name: "one event", ids: []string{"7"}, relayed: 1},
		{name: "one event, resumed by this instance", after: "3", before: orderCounted, ids: []string{"7"}, wrong: true},
		{name: "first again", after: "12", ids: []string{"1", "2"}, wrong: true},
		{name: "nothing left", after: "12", before: orderCounted},
	} {
		t.Run(c.name, func(t *testing.T) {
			relayed, order, err := readIDs(c.after, c.before, c.ids...)
			assert.Equal(t, errors.Is(err, errWrongEventID), c.wrong, "%v", err)
			assert.Equal(t, errors.Is(err, io.EOF), !c.wrong, "%v", err)
			assert.Equal(t, len(relayed), c.relayed)
			assert.Equal(t, order == orderSparse, c.order == orderSparse)
		})
	}
}

// Two engines give the same larger id after the same event: it is no error of one of them. What only one of them gives, or
// what does not increase, is.
func TestEventIDThatTwoEnginesGiveIsRelayed(t *testing.T) {
	first := newIDSequence("", orderUnknown, 0)
	for _, id := range []string{"1", "2", "3"} {
		assert.NilError(t, first.add(id))
	}
	assert.ErrorIs(t, first.add("6"), errWrongEventID)
	for id, sound := range map[string]bool{"6": true, "4": true, "5": false, "7": false, "3": false} {
		second := newIDSequence("3", first.order, first.refused)
		err := second.add(id)
		assert.Equal(t, err == nil, sound, "%s: %v", id, err)
		if id == "6" {
			assert.Assert(t, !second.isDecided(), "both may be wrong")
			assert.ErrorIs(t, second.add("5"), errWrongEventID)
			assert.NilError(t, second.add("7"))
			assert.Equal(t, second.order, orderSparse)
		}
		if id == "4" {
			assert.ErrorIs(t, second.add("6"), errWrongEventID, "at another position")
		}
	}
	assert.ErrorIs(t, first.add("2"), errWrongEventID)
	assert.ErrorIs(t, newIDSequence("3", first.order, first.refused).add("2"), errWrongEventID)
}

// Comments between events have no id and keep their place, also while an event is kept back.
func TestCommentsInStreamsNeedNoID(t *testing.T) {
	for _, stream := range []string{
		": a\n\nid: 1\ndata: x\n\n: b\n\nid: 2\ndata: y\n\nretry: 5\n\n",
		"id: 4\ndata: x\n\n: b\n\nid: 8\ndata: y\n\n",
		"id: 4\ndata: x\n\n: b\n\n",
	} {
		r := newEventReader(bufio.NewReader(strings.NewReader(stream)), newIDSequence("", orderUnknown, 0))
		var got strings.Builder
		var err error
		for err == nil {
			var e streamEvent
			e, err = r.next()
			got.Write(e.raw)
		}
		assert.ErrorIs(t, err, io.EOF)
		assert.Equal(t, got.String(), stream)
	}
}
