package shard

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"carawayrouter.example/router/internal/member"
)

// placement maps the shards of a data centre to the members that should be their
// homes.
type placement [Count]string

// place assigns each shard by rendezvous hashing with bounded loads: to the member with
// the highest hash that has fewer shards than the limit. All members with the same view
// compute the same placement, and a member that joins or leaves moves few other shards.
func place(members []member.Session) placement {
	var p placement
	if len(members) == 0 {
		return p
	}
	limit := (Count + len(members) - 1) / len(members)
	load := map[string]int{}
	for i := range p {
		for _, name := range ranking(i, members) {
			if load[name] < limit {
				p[i] = name
				load[name]++
				break
			}
		}
	}
	return p
}

// ranking returns the members' names in descending order of rendezvous hash for a shard.
func ranking(index int, members []member.Session) []string {
	type scored struct {
		name  string
		score uint64
	}
	all := make([]scored, len(members))
	for i, m := range members {
		h := xxhash.New()
		_, _ = h.Write([]byte{byte(index)})
		_, _ = h.WriteString(m.Name)
		all[i] = scored{name: m.Name, score: h.Sum64()}
	}
	slices.SortFunc(all, func(a, b scored) int {
		switch {
		case a.score > b.score:
			return -1
		case a.score < b.score:
			return 1
		}
		return 0
	})
	names := make([]string, len(all))
	for i, s := range all {
		names[i] = s.name
	}
	return names
}
