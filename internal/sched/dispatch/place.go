package dispatch

import (
	"strings"

	"github.com/cespare/xxhash/v2"

	"carawayrouter.example/router/internal/member"
)

func comparePlaces(a, b Place) int {
	if c := strings.Compare(a.Pool, b.Pool); c != 0 {
		return c
	}
	return strings.Compare(a.DataCentre, b.DataCentre)
}

// rendezvous returns the address of the member with the highest hash for a place. If a
// member joins or leaves, only the places that it wins or had won move.
func rendezvous(p Place, members []member.Session) (addr string, ok bool) {
	var best uint64
	for _, m := range members {
		h := xxhash.Sum64String(p.Pool + "\x00" + p.DataCentre + "\x00" + m.Name)
		if !ok || h > best {
			addr, best, ok = m.Addr, h, true
		}
	}
	return addr, ok
}
