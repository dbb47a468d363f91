package pool

import "container/list"

// hints is a bounded set of prefix pieces that an engine probably has cached, in
// order of use. Wrong hints cost time, never correctness.
type hints struct {
	limit int
	order *list.List // of uint64, most recently used first
	index map[uint64]*list.Element
}

func newHints(limit int) *hints {
	return &hints{limit: limit, order: list.New(), index: map[uint64]*list.Element{}}
}

// add records that a piece is cached.
func (h *hints) add(hash uint64) {
	if el, ok := h.index[hash]; ok {
		h.order.MoveToFront(el)
		return
	}
	if h.order.Len() >= h.limit {
		last := h.order.Back()
		delete(h.index, last.Value.(uint64))
		h.order.Remove(last)
	}
	h.index[hash] = h.order.PushFront(hash)
}

// remove forgets a piece.
func (h *hints) remove(hash uint64) {
	if el, ok := h.index[hash]; ok {
		h.order.Remove(el)
		delete(h.index, hash)
	}
}

// match returns how many leading pieces of a prompt are cached.
func (h *hints) match(prefix []uint64) int {
	for i, hash := range prefix {
		if _, ok := h.index[hash]; !ok {
			return i
		}
	}
	return len(prefix)
}
