package experiment

import (
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"carawayrouter.example/router/internal/entry"
)

// policies are the available policies by name.
var policies = map[string]entry.Policy{
	"caraway":             {},
	entry.RoundRobin:      {Scheduler: entry.RoundRobin},
	entry.LeastLoaded:     {Scheduler: entry.LeastLoaded},
	entry.DecodeFirstFIFO: {Scheduler: entry.DecodeFirstFIFO},
	"limit-per-instance":  {Limiter: entry.PerInstance},
	"limit-table":         {Limiter: entry.TablePerRequest},
	"limit-none":          {Limiter: entry.Unlimited},
}

// Policies returns the sorted names of the available policies.
func Policies() []string {
	var names []string
	for name := range policies {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func findPolicy(name string) (entry.Policy, error) {
	p, ok := policies[name]
	if !ok {
		return p, errors.Newf("policy %q is unknown; known: %s", name, strings.Join(Policies(), ", "))
	}
	return p, nil
}
