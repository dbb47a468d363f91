// Package filters implements the filters of the request chain.
package filters

import (
	"context"
	"strings"
	"time"

	"carawayrouter.example/router/internal/config"
	"carawayrouter.example/router/internal/endpoint"
	"carawayrouter.example/router/internal/errkind"
	"carawayrouter.example/router/internal/filter"
)

// Route resolves the route and pool of a request, estimates its tokens and applies the
// route's deadline.
type Route struct {
	Config config.Source
}

// Name implements filter.Filter.
func (*Route) Name() string { return "route" }

// Handle implements filter.Filter.
func (f *Route) Handle(ctx context.Context, r *filter.Request, next filter.Handler) error {
	r.State = f.Config.Current()
	if r.State.Ticket == 0 {
		return errkind.New(errkind.StaleConfiguration, "this instance has no configuration yet").WithRetryAfter(time.Second)
	}
	model := ""
	if r.Completion != nil {
		model = r.Completion.Model
	}
	path, _, _ := strings.Cut(r.Path, "?")
	r.Route = r.State.Route(r.Method, path, model)
	if r.Route == nil && r.Completion != nil {
		return errkind.New(errkind.UnknownModel, "no route serves this model")
	}
	if r.Route == nil {
		return errkind.New(errkind.UnknownRoute, "no route for this method and path")
	}
	r.Pool = r.State.Pools[r.Route.Pool]
	if r.Pool == nil {
		return errkind.New(errkind.NoEndpoint, "the route's pool is not configured")
	}
	if (r.Pool.Kind == config.ModelPool) != (r.Completion != nil) {
		return errkind.New(errkind.BadRequest, "the route's pool does not take this kind of request")
	}
	r.ReservedTokens = endpoint.EstimateTokens(string(r.Body))
	if r.Completion != nil {
		r.ReservedTokens = endpoint.EstimateTokens(r.Completion.Prompt) + r.Completion.MaxTokens
	}
	if r.Route.Deadline <= 0 {
		return next(ctx, r)
	}
	ctx, cancel := context.WithDeadline(ctx, r.Arrived.Add(r.Route.Deadline))
	defer cancel()
	return next(ctx, r)
}
