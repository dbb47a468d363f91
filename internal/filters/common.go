package filters

import (
	"bytes"
	"io"
	"strings"
	"time"

	"carawayrouter.example/router/internal/config"
	"carawayrouter.example/router/internal/endpoint"
	"carawayrouter.example/router/internal/errkind"
	"carawayrouter.example/router/internal/filter"
)

// settleTimeout bounds recording the end of an operation.
const settleTimeout = 3 * time.Second

// notRunUnlessSent corrects the execution state of a refusal: a request of which
// an earlier attempt was sent to an endpoint may have run there.
func notRunUnlessSent(r *filter.Request, err error) error {
	e := errkind.From(err)
	if r.Sent && e.Execution == errkind.NotRun {
		return e.WithExecution(errkind.Unknown)
	}
	return e
}

// Priorities passed to engines; lower runs first.
const (
	interactivePriority = 0
	patientPriority     = 10
)

func priority(r *filter.Request) int {
	if r.Route.Class == config.Patient {
		return patientPriority
	}
	return interactivePriority
}

func newBody(b []byte) io.ReadCloser { return io.NopCloser(bytes.NewReader(b)) }

func headerValue(headers []endpoint.Header, name string) string {
	for _, h := range headers {
		if strings.EqualFold(h.Name, name) {
			return h.Value
		}
	}
	return ""
}
