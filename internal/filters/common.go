package filters

import (
	"slices"
	"time"

	"carawayrouter.example/router/internal/endpoint"
	"carawayrouter.example/router/internal/errkind"
	"carawayrouter.example/router/internal/filter"
)

type headerLine = endpoint.Header

type ageFunc = func() time.Duration

func contains(list []string, s string) bool { return slices.Contains(list, s) }

// notRunUnlessSent corrects the execution state of a refusal: a request of which
// an earlier attempt was sent to an endpoint may have run there.
func notRunUnlessSent(r *filter.Request, err error) error {
	e := errkind.From(err)
	if r.Sent && e.Execution == errkind.NotRun {
		return e.WithExecution(errkind.Unknown)
	}
	return e
}
