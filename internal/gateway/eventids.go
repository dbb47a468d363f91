package gateway

import (
	"bufio"
	"io"
	"strconv"

	"github.com/cockroachdb/errors"
)

// errWrongEventID ends a run whose engine has sent an event with an id that cannot follow the one before.
var errWrongEventID = errors.New("the id of an event cannot follow the one before")

// idSequence checks the ids of the events of one run.
//
// Engines count the events of a stream: N+1 follows N. The id of the last relayed event is the caller's position, after
// which another engine goes on with a broken stream, so an event with an id that does not follow must not be relayed.
//
// The platform promises only that ids increase. If the first id of a run does not follow the position in its request, the
// second one decides: if it is the next number, the ids count the events from there; if it is larger, they do not count
// them; otherwise the first one was wrong. A larger id than the next number is allowed later if two engines give it at the same
// position and a larger one follows.
type idSequence struct {
	next    uint64 // the id that follows if the ids count the events
	least   uint64 // the smallest id that may follow
	order   idOrder
	refused uint64 // the id that could not follow, here or, before the first event, in the run before; 0 if there was none
}

// idOrder is how the ids of a stream's events increase.
type idOrder int

const (
	orderUnknown   idOrder = iota // there was no event yet
	orderUndecided                // the first id does not follow the position in the request
	orderJumped                   // the last id is not the next number, but two engines gave it
	orderCounted                  // the ids count the events
	orderSparse                   // the ids increase by more than one
)

// newIDSequence returns the check of a run that begins after the event with an id, or with the first event if there is
// no such id. Order is that of the events that the stream has had before, and refused the id with which the
// run before ended, or 0.
func newIDSequence(after string, order idOrder, refused uint64) *idSequence {
	s := &idSequence{next: 1, order: order, refused: refused}
	if id, ok := parseEventID(after); ok {
		s.next, s.least = id+1, id+1
	}
	return s
}

func parseEventID(text string) (id uint64, ok bool) {
	id, err := strconv.ParseUint(text, 10, 63)
	return id, err == nil
}

// add records the id of the next event. It returns an error if that cannot follow.
func (s *idSequence) add(text string) error {
	id, ok := parseEventID(text)
	switch {
	case !ok:
		return errors.Wrapf(errWrongEventID, "not a number, want %d", s.next)
	case id < s.least, id != s.next && s.order == orderCounted && id != s.refused:
		s.refused = id
		return errors.Wrapf(errWrongEventID, "%d, want %d", id, s.next)
	}
	switch {
	case s.order == orderSparse:
	case s.order == orderJumped:
		s.order = orderSparse
	case id == s.next:
		s.order = orderCounted
	case s.order == orderUnknown:
		s.order = orderUndecided
	case s.order == orderUndecided:
		s.order = orderSparse
	case s.order == orderCounted:
		s.order = orderJumped
	}
	s.next, s.least, s.refused = id+1, id+1, 0
	return nil
}

// isDecided reports whether the last id can be right whatever follows.
func (s *idSequence) isDecided() bool { return s.order != orderUndecided && s.order != orderJumped }

// eventReader reads the events of a run. It keeps back those that the next one may show to be wrong.
type eventReader struct {
	br    *bufio.Reader
	ids   *idSequence   // nil if ids are not checked
	held  []streamEvent // until the order of the ids is decided
	ready []streamEvent
	err   error // follows the events that are ready
}

func newEventReader(br *bufio.Reader, ids *idSequence) *eventReader {
	return &eventReader{br: br, ids: ids}
}

// next returns the next event. It returns io.EOF at the end of a complete stream.
func (r *eventReader) next() (streamEvent, error) {
	for len(r.ready) == 0 {
		if r.err != nil {
			return streamEvent{}, r.err
		}
		e, err := readEvent(r.br)
		if err == nil && r.ids != nil && !e.isComment() {
			err = r.ids.add(e.id)
		}
		switch {
		case err == nil:
			r.held = append(r.held, e)
			if r.ids == nil || r.ids.isDecided() {
				r.release()
			}
		case errors.Is(err, io.EOF):
			r.release() // nothing follows that could show it to be wrong
			r.err = err
		default:
			r.err = err
		}
	}
	e := r.ready[0]
	r.ready = r.ready[1:]
	return e, nil
}

// release makes the events that were kept back ready.
func (r *eventReader) release() {
	r.ready, r.held = r.held, nil
	if r.ids == nil {
		return
	}
	for i := range r.ready {
		r.ready[i].order = r.ids.order
	}
}
