package pool

import "container/list"

// prefixCache is a bounded LRU set of the prefix pieces that an engine probably has
// cached. Wrong entries cost time, never correctness.
type prefixCache struct {
	limit int
	order *list.List // of uint64, most recently used first
	index map[uint64]*list.Element
}

func newPrefixCache(limit int) *prefixCache {
	return &prefixCache{limit: limit, order: list.New(), index: map[uint64]*list.Element{}}
}

// add records that a piece is cached, evicting the least recently used one if full.
func (h *prefixCache) add(hash uint64) {
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

// remove records that a piece is no longer cached.
func (h *prefixCache) remove(hash uint64) {
	if el, ok := h.index[hash]; ok {
		h.order.Remove(el)
		delete(h.index, hash)
	}
}

// match returns how many leading pieces of a prompt are cached.
func (h *prefixCache) match(prefix []uint64) int {
	for i, hash := range prefix {
		if _, ok := h.index[hash]; !ok {
			return i
		}
	}
	return len(prefix)
}
