package configcheck

import (
	"cmp"
	"slices"
	"strings"

	"carawayrouter.example/router/internal/config"
)

func (c *checker) routes() {
	for i, r := range c.state.Routes {
		c.reach(i, r)
		c.split(r)
		c.times(r)
		c.attempts(r)
		c.homes(config.KindRoute, r.Name, "by the route", r.Homes, c.poolsOf(r))
		for _, name := range targets(r) {
			if c.state.Pools[name] == nil && !c.Partial {
				c.addf(Error, config.KindRoute, r.Name, "add the pool, or name another", "there is no pool %q", name)
			}
		}
	}
}

// targets returns the names of the pools that receive the route's requests.
func targets(r *config.Route) []string {
	var names []string
	for _, s := range r.Split {
		if s.Weight > 0 {
			names = append(names, s.Pool)
		}
	}
	if len(names) == 0 && (r.Pool != "" || len(r.Split) == 0) {
		return []string{r.Pool}
	}
	return names
}

// poolsOf returns the pools that receive the route's requests, without missing ones.
func (c *checker) poolsOf(r *config.Route) []*config.Pool {
	var list []*config.Pool
	for _, name := range targets(r) {
		if p := c.state.Pools[name]; p != nil && !slices.Contains(list, p) {
			list = append(list, p)
		}
	}
	return list
}

// reach reports a route that no request reaches.
func (c *checker) reach(i int, r *config.Route) {
	if prefix := strings.TrimSuffix(r.Path, "*"); !strings.HasPrefix(r.Path, "/") && r.Path != "*" {
		c.addf(Warning, config.KindRoute, r.Name, "begin the path with '/'", "no request's path begins with %q", prefix)
		return
	}
	if c.HostRoutes && r.Model != "" {
		c.addf(Warning, config.KindRoute, r.Name, "leave the model out", "names a model, which is not looked at: no request reaches it")
		return
	}
	if c.HostRoutes && r.Host == "" {
		c.addf(Warning, config.KindRoute, r.Name, "name the host", "has no host: no request that names one reaches it")
	}
	if by := c.coveredBy(i, r); by != nil {
		c.addf(Warning, config.KindRoute, r.Name, "delete it, or change what it matches", "no request reaches it: route %s goes before it and matches all of its requests", by.Name)
	}
}

// coveredBy returns a route that goes before r, at position i, and matches all of its requests. It
// tries one request, whose path, method and model no route names unless r does; a route that
// matches this one matches all.
func (c *checker) coveredBy(i int, r *config.Route) *config.Route {
	var earlier []*config.Route
	var methods, models []string
	for _, e := range c.state.Routes[:i] {
		if !c.HostRoutes || e.Host == r.Host {
			earlier = append(earlier, e)
			methods, models = append(methods, e.Method), append(models, e.Model)
		}
	}
	path, ok := pathOf(r, earlier)
	if !ok {
		return nil
	}
	method, model := cmp.Or(r.Method, unnamed(methods)), ""
	if !c.HostRoutes {
		model = cmp.Or(r.Model, unnamed(models))
	}
	for _, e := range earlier {
		if e.Matches(method, path, model) {
			return e
		}
	}
	return nil
}

// unnamed returns a name that is not in the list.
func unnamed(list []string) string {
	name := "other"
	for slices.Contains(list, name) {
		name += "-"
	}
	return name
}

// nextBytes are bytes that may follow a pattern's prefix in a path.
const nextBytes = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-._~"

// pathOf returns a path of r that as few earlier routes as possible match: an earlier route that
// matches it matches all paths of r. It returns false if other paths use every next byte.
func pathOf(r *config.Route, earlier []*config.Route) (string, bool) {
	prefix, pattern := strings.CutSuffix(r.Path, "*")
	if !pattern {
		return r.Path, true
	}
	if prefix == "" {
		prefix = "/"
	}
	for _, b := range nextBytes {
		path := prefix + string(b)
		if !slices.ContainsFunc(earlier, func(e *config.Route) bool { return strings.HasPrefix(e.Path, path) }) {
			return path, true
		}
	}
	return "", false
}

func (c *checker) split(r *config.Route) {
	if len(r.Split) == 0 {
		return
	}
	total := 0
	for _, s := range r.Split {
		total += max(0, s.Weight)
		if s.Weight < 0 {
			c.addf(Error, config.KindRoute, r.Name, "set it to at least 0", "the weight of pool %s in its split is %d", s.Pool, s.Weight)
		}
	}
	if total == 0 {
		c.addf(Error, config.KindRoute, r.Name, "give a pool of the split a weight above 0", "no pool of its split has a weight above 0")
	}
}

// times reports targets that a request can miss only after its deadline.
func (c *checker) times(r *config.Route) {
	add := func(s Severity, remedy, problem string, args ...any) {
		c.addf(s, config.KindRoute, r.Name, remedy, problem, args...)
	}
	if r.Deadline < 0 || r.FirstToken < 0 || r.MaxGap < 0 {
		add(Error, "set it to at least 0", "a time is below 0: deadline %s, latency target %s, longest gap %s", r.Deadline, r.FirstToken, r.MaxGap)
		return
	}
	if r.Deadline == 0 {
		return
	}
	if r.FirstToken > r.Deadline {
		add(Warning, "raise the deadline or lower the target", "the latency target of %s is above the deadline of %s", r.FirstToken, r.Deadline)
	}
	if r.MaxGap > r.Deadline {
		add(Warning, "raise the deadline or lower the gap", "the longest gap of %s is above the deadline of %s", r.MaxGap, r.Deadline)
	}
}

// attempts reports more attempts than a pool has endpoints that begin an attempt.
func (c *checker) attempts(r *config.Route) {
	if c.NoEndpoints || c.Partial {
		return
	}
	for _, p := range c.poolsOf(r) {
		n := 0
		for _, e := range c.state.Pool(p.Name) {
			if e.Role != config.Prefill {
				n++
			}
		}
		if n > 0 && r.MaxAttempts > n {
			c.addf(Warning, config.KindRoute, r.Name, "lower the attempts, or add endpoints", "%d attempts at different endpoints are allowed; pool %s has %d", r.MaxAttempts, p.Name, n)
		}
	}
}
