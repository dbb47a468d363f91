package gateway

import (
	"context"
	"slices"
	"strings"
	"time"

	"carawayrouter.example/router/internal/config"
	"carawayrouter.example/router/internal/errkind"
)

// resume prepares a request whose caller takes up a broken stream: it may go on only in the pool
// and at the software version that began the stream.
func (x *exchange) resume(ctx context.Context) error {
	c := x.call
	pools := x.s.modelPools(c.Route)
	if c.LastEventID == "" || len(pools) == 0 {
		return nil
	}
	only := ""
	if len(pools) == 1 {
		only = pools[0].Name
	}
	began := time.Now()
	at, known, err := x.s.origins.find(ctx, x.account(), c.Resumes, routeKey(c.Route), only)
	fields := []any{"attempt", c.Resumes, "after", c.LastEventID, "known", known, "pool", at.Pool, "software", at.Version, "waited_ms", time.Since(began).Milliseconds()}
	if err != nil {
		fields = append(fields, "cause", err.Error())
	}
	x.decision("resume", fields...)
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	if !known {
		return refusal(errkind.ResumeUnknown, "where the stream began is not known", resumeRetryAfter)
	}
	i := slices.IndexFunc(pools, func(p *config.Pool) bool { return p.Name == at.Pool })
	if i < 0 {
		return refusal(errkind.ResumeUnknown, "the stream began in a pool that the route no longer uses", resumeRetryAfter)
	}
	c.Pool, x.softwareVersion, x.takenUp = pools[i], at.Version, true
	x.countPriorTokens()
	return nil
}

// modelPools returns the model pools that a route may use.
func (s *Server) modelPools(r *config.Route) []*config.Pool { return modelPools(s.state.Current(), r) }

func modelPools(st *config.State, r *config.Route) (pools []*config.Pool) {
	for name, pool := range st.Pools {
		if pool.Engine != nil && r.Allows(name) {
			pools = append(pools, pool)
		}
	}
	return pools
}

// routeKey identifies a route in all configurations.
func routeKey(r *config.Route) string { return r.Host + " " + r.Path }

// movedRoutes returns the keys of the routes whose model pools differ between two configurations.
func movedRoutes(before, after *config.State) (moved []string) {
	pools := func(st *config.State) map[string]string {
		out := map[string]string{}
		for _, r := range st.Routes {
			var names []string
			for _, p := range modelPools(st, r) {
				names = append(names, p.Name)
			}
			slices.Sort(names)
			out[routeKey(r)] = strings.Join(names, "\x00")
		}
		return out
	}
	old := pools(before)
	for key, names := range pools(after) {
		if had, ok := old[key]; ok && had != names {
			moved = append(moved, key)
		}
	}
	return moved
}
