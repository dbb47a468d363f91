// Package configcheck finds faults of a configuration before it is sent: objects that have no
// effect, references to missing objects and limits that contradict each other. It reports only
// what follows from the objects.
package configcheck

import (
	"fmt"
	"slices"
	"strings"

	"carawayrouter.example/router/internal/config"
)

// Severity says what a finding means for callers.
type Severity string

// The severities.
const (
	Error   Severity = "error"   // requests fail, or the object is without a meaning
	Warning Severity = "warning" // without effect, or limits that contradict each other
	Note    Severity = "note"    // correct, but perhaps not meant
)

// Finding is one fault of one object.
type Finding struct {
	Severity Severity `json:"severity"`
	Object   string   `json:"object"` // kind and name
	Problem  string   `json:"problem"`
	Remedy   string   `json:"remedy"`
	InForce  bool     `json:"in_force"` // the configuration in force has the same fault
}

// Rules say how instances use a configuration and how much of it is known.
type Rules struct {
	HostRoutes      bool // routes are chosen among those of the request's host, without regard to a model
	ZeroIsUnlimited bool // a rate of 0 sets no limit; otherwise it admits nothing
	NoEndpoints     bool // the endpoints are not part of the objects
	Partial         bool // objects may be missing; they may be in force already
}

// Check returns the findings on the objects, errors first. inForce may be nil.
func Check(o, inForce *config.Objects, rules Rules) []Finding {
	list := check(o, rules)
	if inForce != nil {
		before := check(inForce, rules)
		for i := range list {
			list[i].InForce = slices.Contains(before, list[i])
		}
	}
	return list
}

// Count returns the number of findings of a severity.
func Count(list []Finding, s Severity) int {
	n := 0
	for _, f := range list {
		if f.Severity == s {
			n++
		}
	}
	return n
}

func check(o *config.Objects, rules Rules) []Finding {
	c := &checker{Rules: rules, o: o, state: config.Build(1, o), found: []Finding{}}
	c.duplicates()
	c.routes()
	c.accounts()
	c.pools()
	slices.SortStableFunc(c.found, func(a, b Finding) int {
		if d := rank(a.Severity) - rank(b.Severity); d != 0 {
			return d
		}
		return strings.Compare(a.Object, b.Object)
	})
	return slices.Compact(c.found)
}

func rank(s Severity) int { return slices.Index([]Severity{Error, Warning, Note}, s) }

type checker struct {
	Rules
	o     *config.Objects
	state *config.State
	found []Finding
}

func (c *checker) addf(s Severity, kind config.Kind, name, remedy, problem string, args ...any) {
	c.found = append(c.found, Finding{Severity: s, Object: string(kind) + " " + name, Problem: fmt.Sprintf(problem, args...), Remedy: remedy})
}

// duplicates reports names and keys that are given twice; only one of the objects takes effect.
func (c *checker) duplicates() {
	seen := map[string]bool{}
	check := func(kind config.Kind, name string) {
		if id := string(kind) + " " + name; seen[id] {
			c.addf(Error, kind, name, "rename or delete one of them", "the name is given more than once")
		} else {
			seen[id] = true
		}
	}
	for _, a := range c.o.Accounts {
		check(config.KindAccount, a.Name)
	}
	for _, p := range c.o.Pools {
		check(config.KindPool, p.Name)
	}
	for _, e := range c.o.Endpoints {
		check(config.KindEndpoint, e.Name)
	}
	for _, r := range c.o.Routes {
		check(config.KindRoute, r.Name)
	}
	owners := map[config.KeyHash]string{}
	for _, k := range c.o.Keys {
		if owner, ok := owners[k.Hash]; ok {
			c.addf(Error, config.KindKey, k.ID, "issue another key", "the same key is given twice, for account %s and account %s", owner, k.Account)
		}
		owners[k.Hash] = k.Account
	}
}

func (c *checker) accounts() {
	keys := map[string]int{}
	for _, k := range c.o.Keys {
		if c.state.Accounts[k.Account] == nil && !c.Partial {
			c.addf(Error, config.KindKey, k.ID, "add the account or delete the key", "there is no account %s: every request with this key is refused", k.Account)
		}
		if !k.Withdrawn {
			keys[k.Account]++
		}
	}
	for _, a := range c.o.Accounts {
		c.account(a, keys[a.Name])
	}
}

func (c *checker) account(a *config.Account, keys int) {
	add := func(s Severity, remedy, problem string, args ...any) {
		c.addf(s, config.KindAccount, a.Name, remedy, problem, args...)
	}
	if keys == 0 && !c.Partial {
		add(Note, "issue a key, or delete the account", "has no valid key: no request can use it")
	}
	switch {
	case a.Rate < 0 || a.Burst < 0:
		add(Error, "set both to at least 0", "rate %g or burst %g is below 0", a.Rate, a.Burst)
		return
	case a.Rate == 0 && c.ZeroIsUnlimited:
		if a.Burst > 0 {
			add(Warning, "set a rate, or leave out the burst", "the burst of %g has no effect: a rate of 0 sets no limit", a.Burst)
		}
		return
	case a.Rate == 0 && keys > 0:
		add(Error, "set a rate, or withdraw the keys", "has %d valid keys and a rate of 0: what its burst admits is never refilled", keys)
		return
	}
	// On the users' platform one second at the rate is admitted at once whatever the burst.
	largest := a.Burst
	if c.ZeroIsUnlimited {
		largest = max(a.Burst, a.Rate)
	}
	if float64(a.FlatTokens) > largest {
		add(Warning, fmt.Sprintf("set the burst to at least %d", a.FlatTokens), "a request without token counts is charged %d tokens, more than the %g that the limit admits at once", a.FlatTokens, largest)
	}
	c.engineRequests(a, largest)
	c.accountHomes(a)
}

// engineRequests reports engines whose memory takes requests that the account's limit does not admit at once.
func (c *checker) engineRequests(a *config.Account, largest float64) {
	for _, r := range c.state.Routes {
		if r.Open {
			continue
		}
		for _, p := range c.poolsOf(r) {
			if e := p.Engine; e != nil && float64(e.KVTokens) > largest {
				c.addf(Note, config.KindAccount, a.Name, "raise the burst if the account sends such requests", "route %s leads to pool %s, which takes requests of up to %d tokens; the limit admits %g at once", r.Name, p.Name, e.KVTokens, largest)
			}
		}
	}
}

func (c *checker) accountHomes(a *config.Account) {
	if len(a.Homes) == 0 {
		return
	}
	for _, r := range c.state.Routes {
		if r.Open {
			continue
		}
		if len(r.Homes) > 0 && !slices.ContainsFunc(r.Homes, func(h string) bool { return slices.Contains(a.Homes, h) }) {
			c.addf(Warning, config.KindAccount, a.Name, "add a common region", "route %s has no region in common with the account (%s): its requests there are refused", r.Name, strings.Join(a.Homes, ", "))
		} else {
			c.homes(config.KindAccount, a.Name, "route "+r.Name, a.Homes, c.poolsOf(r))
		}
	}
}

// homes reports regions of a route or an account that have no endpoint of a pool that it uses.
func (c *checker) homes(kind config.Kind, name, via string, homes []string, pools []*config.Pool) {
	if c.NoEndpoints || c.Partial || len(homes) == 0 {
		return
	}
	for _, p := range pools {
		list := c.state.Pool(p.Name)
		var missing []string
		for _, h := range homes {
			if !slices.ContainsFunc(list, func(e *config.Endpoint) bool { return e.Region == h }) {
				missing = append(missing, h)
			}
		}
		switch {
		case len(list) == 0 || len(missing) == 0: // a pool without endpoints is reported itself
		case len(missing) == len(homes):
			c.addf(Error, kind, name, "add an endpoint there, or another region", "%s: pool %s has no endpoint in any of its home regions (%s)", via, p.Name, strings.Join(homes, ", "))
		default:
			c.addf(Warning, kind, name, "add an endpoint there, or leave the region out", "%s: pool %s has no endpoint in home region %s", via, p.Name, strings.Join(missing, ", "))
		}
	}
}

func (c *checker) pools() {
	used := map[string][]string{}
	for _, r := range c.o.Routes {
		for _, name := range targets(r) {
			used[name] = append(used[name], r.Name)
		}
	}
	for _, p := range c.o.Pools {
		c.pool(p, used[p.Name])
	}
}

func (c *checker) pool(p *config.Pool, routes []string) {
	add := func(s Severity, remedy, problem string, args ...any) {
		c.addf(s, config.KindPool, p.Name, remedy, problem, args...)
	}
	if c.Partial {
		return
	}
	if len(routes) == 0 {
		add(Warning, "add a route, or delete the pool", "no route leads to it")
	}
	if c.NoEndpoints {
		return
	}
	serves := func(e *config.Endpoint) bool { return !e.Leaving }
	switch list := c.state.Pool(p.Name); {
	case slices.ContainsFunc(list, serves):
	case len(routes) > 0:
		add(Error, "add an endpoint, or delete the routes", "has no endpoint that accepts requests, and routes lead to it: %s", strings.Join(routes, ", "))
	default:
		add(Warning, "add an endpoint, or delete the pool", "has no endpoint that accepts requests")
	}
}
