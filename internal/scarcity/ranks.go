package scarcity

import (
	"slices"

	"carawayrouter.example/router/internal/config"
)

const (
	// AccountRanks is how many ranks of routes one rank of a client account outweighs.
	AccountRanks = 10
	// OverLimit is added to the rank of a request above its account's limit.
	OverLimit = 1000
	// Levels is the number of levels of urgency that engines know. The last one is for requests above their account's limit.
	Levels = 10
)

// Ranks are the ranks that the requests of a pool can have by its configuration, within their accounts' limits, best first.
type Ranks []int

// RanksByPool returns the ranks of all pools.
func RanksByPool(st *config.State) map[string]Ranks {
	accounts := []int{}
	for _, a := range st.Accounts {
		accounts = insert(accounts, AccountRanks*a.Priority)
	}
	ranks := map[string]Ranks{}
	add := func(pool string, r *config.Route) {
		if pool == "" {
			return
		}
		if r.Open || len(accounts) == 0 {
			ranks[pool] = insert(ranks[pool], r.Priority)
			return
		}
		for _, a := range accounts {
			ranks[pool] = insert(ranks[pool], r.Priority+a)
		}
	}
	for _, r := range st.Routes {
		add(r.Pool, r)
		for _, share := range r.Split {
			add(share.Pool, r)
		}
	}
	return ranks
}

// BestRoutes returns the best priority of the routes to each pool.
func BestRoutes(st *config.State) map[string]int {
	best := map[string]int{}
	add := func(pool string, priority int) {
		if known, ok := best[pool]; !ok || priority < known {
			best[pool] = priority
		}
	}
	for _, r := range st.Routes {
		add(r.Pool, r.Priority)
		for _, share := range r.Split {
			add(share.Pool, r.Priority)
		}
	}
	return best
}

// insert adds a rank to a list in order, once.
func insert[L ~[]int](list L, rank int) L {
	i, found := slices.BinarySearch(list, rank)
	if found {
		return list
	}
	return slices.Insert(list, i, rank)
}

// Several reports whether the pool is ranked.
func (r Ranks) Several() bool { return len(r) > 1 }

// Best returns the best rank.
func (r Ranks) Best() int { return r[0] }

// Level returns the level of urgency of a rank that engines are told, 1 to Levels, 1 the most urgent; 0 if the pool is not ranked.
func (r Ranks) Level(rank int) int {
	switch {
	case !r.Several():
		return 0
	case rank >= OverLimit:
		return Levels
	}
	place, _ := slices.BinarySearch(r, rank)
	return 1 + min(place, len(r)-1)*(Levels-2)/(len(r)-1)
}
