package quarantine

import "hash/maphash"

const (
	sketchRows  = 4
	sketchWidth = 1 << 19 // counters of a row; a power of two
	// sketchMax is larger than maxCrashes, so that a count there outweighs any crashes.
	sketchMax = 255
)

// sketch counts causes in bounded memory, whatever their number: a count-min sketch with
// conservative update. A count is never too low below sketchMax. It is too high only for a cause
// whose counters all collide: one in 50 or fewer at 2,000 requests a second with a part of their own.
type sketch struct {
	seed     maphash.Seed // of its own, so that nobody can choose causes that collide
	counters [sketchRows][sketchWidth]uint8
}

func newSketch() *sketch { return &sketch{seed: maphash.MakeSeed()} }

// cells returns the counters of a cause.
func (s *sketch) cells(cause string) (cells [sketchRows]*uint8) {
	h := maphash.String(s.seed, cause)
	step := h>>32 | 1
	for i := range cells {
		cells[i] = &s.counters[i][(h+uint64(i)*step)%sketchWidth]
	}
	return cells
}

func (s *sketch) count(cause string) int {
	least := uint8(sketchMax)
	for _, c := range s.cells(cause) {
		least = min(least, *c)
	}
	return int(least)
}

// add counts a cause once more.
func (s *sketch) add(cause string) {
	cells := s.cells(cause)
	least := uint8(sketchMax)
	for _, c := range cells {
		least = min(least, *c)
	}
	if least == sketchMax {
		return
	}
	for _, c := range cells {
		*c = max(*c, least+1)
	}
}

func (s *sketch) clear() { clear(s.counters[:]) }
