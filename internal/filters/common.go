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

// claimEndTimeout limits the time to record the result of an operation claim.
const claimEndTimeout = 3 * time.Second

// correctExecution changes execution NotRun to Unknown if an earlier attempt was sent to an
// endpoint, since the request may have run there.
func correctExecution(r *filter.Request, err error) error {
	e := errkind.From(err)
	if r.Sent && e.Execution == errkind.NotRun {
		return e.WithExecution(errkind.Unknown)
	}
	return e
}

// Request priorities passed to engines; lower values run first.
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

func bodyReader(b []byte) io.ReadCloser { return io.NopCloser(bytes.NewReader(b)) }

func headerValue(headers []endpoint.Header, name string) string {
	for _, h := range headers {
		if strings.EqualFold(h.Name, name) {
			return h.Value
		}
	}
	return ""
}
