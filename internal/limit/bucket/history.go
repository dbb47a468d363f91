package bucket

import "slices"

// maxSamples bounds the samples of a history. Beyond it, neighbouring samples are
// merged to the smaller headroom, which can only reduce refunds.
const maxSamples = 64

// sample holds the minimum headroom since any time after the previous sample's seq, up
// to and including seq.
type sample struct {
	seq      uint64
	headroom int64
}

// history answers queries for the minimum headroom since a mark. Its samples are
// strictly increasing in both fields.
type history struct{ samples []sample }

// record adds the headroom at seq.
func (h *history) record(seq uint64, headroom int64) {
	n := len(h.samples)
	for n > 0 && h.samples[n-1].headroom >= headroom {
		n--
	}
	h.samples = append(h.samples[:n], sample{seq, headroom})
	if len(h.samples) > maxSamples {
		h.mergeClosest()
	}
}

// minSince returns the minimum headroom recorded at or after m.
func (h *history) minSince(m Mark) int64 {
	if i := h.indexOf(m); i < len(h.samples) {
		return h.samples[i].headroom
	}
	return 0
}

// reduceSince rewrites the history as if the bucket had held n more tokens since m.
func (h *history) reduceSince(m Mark, n int64) {
	i := h.indexOf(m)
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

// indexOf returns the index of the first sample at or after m.
func (h *history) indexOf(m Mark) int {
	i, _ := slices.BinarySearchFunc(h.samples, uint64(m), func(s sample, m uint64) int {
		if s.seq < m {
			return -1
		}
		return 1
	})
	return i
}

// mergeClosest merges the two neighbouring samples whose headrooms differ least.
func (h *history) mergeClosest() {
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
