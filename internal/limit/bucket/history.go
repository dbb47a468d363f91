package bucket

import "slices"

// maxSamples bounds a history. Above it neighbouring samples are merged to the
// smaller value, which can only make refunds smaller.
const maxSamples = 64

// sample holds the smallest headroom from after the sample before it up to seq
// and from there to the present.
type sample struct {
	seq      uint64
	headroom int64
}

// history answers for the smallest headroom since any moment. Its samples rise
// strictly in both fields.
type history struct{ samples []sample }

// record adds the headroom at seq.
func (h *history) record(seq uint64, headroom int64) {
	n := len(h.samples)
	for n > 0 && h.samples[n-1].headroom >= headroom {
		n--
	}
	h.samples = append(h.samples[:n], sample{seq, headroom})
	if len(h.samples) > maxSamples {
		h.merge()
	}
}

// since returns the smallest headroom seen at or after m.
func (h *history) since(m Mark) int64 {
	if i := h.find(m); i < len(h.samples) {
		return h.samples[i].headroom
	}
	return 0
}

// lower restates the history as if n more tokens had been in the bucket since m.
func (h *history) lower(m Mark, n int64) {
	i := h.find(m)
	if i == len(h.samples) {
		return
	}
	for j := i; j < len(h.samples); j++ {
		h.samples[j].headroom -= n
	}
	first := i
	for first > 0 && h.samples[first-1].headroom >= h.samples[i].headroom {
		first--
	}
	h.samples = slices.Delete(h.samples, first, i)
}

// find returns the index of the first sample at or after m.
func (h *history) find(m Mark) int {
	i, _ := slices.BinarySearchFunc(h.samples, uint64(m), func(s sample, m uint64) int {
		if s.seq < m {
			return -1
		}
		return 1
	})
	return i
}

// merge joins the two neighbours whose headrooms differ least.
func (h *history) merge() {
	best := 0
	for i := 1; i+1 < len(h.samples); i++ {
		if h.gap(i) < h.gap(best) {
			best = i
		}
	}
	h.samples[best].seq = h.samples[best+1].seq
	h.samples = slices.Delete(h.samples, best+1, best+2)
}

func (h *history) gap(i int) int64 { return h.samples[i+1].headroom - h.samples[i].headroom }
