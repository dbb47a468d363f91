package fairqueue

// flowHeap orders flows by start tag, then by account. It implements heap.Interface.
type flowHeap[V any] []*flow[V]

func (h flowHeap[V]) Len() int { return len(h) }

func (h flowHeap[V]) Less(i, j int) bool {
	if h[i].startTag != h[j].startTag {
		return h[i].startTag < h[j].startTag
	}
	return h[i].account < h[j].account
}

func (h flowHeap[V]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *flowHeap[V]) Push(x any) {
	f := x.(*flow[V])
	f.index = len(*h)
	*h = append(*h, f)
}

func (h *flowHeap[V]) Pop() any {
	last := len(*h) - 1
	f := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	f.index = -1
	return f
}

// expiryHeap orders entries by deadline. It implements heap.Interface.
type expiryHeap[V any] []*Entry[V]

func (h expiryHeap[V]) Len() int           { return len(h) }
func (h expiryHeap[V]) Less(i, j int) bool { return h[i].Deadline.Before(h[j].Deadline) }

func (h expiryHeap[V]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].expiryIndex, h[j].expiryIndex = i, j
}

func (h *expiryHeap[V]) Push(x any) {
	e := x.(*Entry[V])
	e.expiryIndex = len(*h)
	*h = append(*h, e)
}

func (h *expiryHeap[V]) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	e.expiryIndex = -1
	return e
}
