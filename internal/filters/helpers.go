package filters

import (
	"bytes"
	"io"
	"strings"

	"carawayrouter.example/router/internal/config"
	"carawayrouter.example/router/internal/filter"
)

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

func headerValue(headers []headerLine, name string) string {
	for _, h := range headers {
		if strings.EqualFold(h.Name, name) {
			return h.Value
		}
	}
	return ""
}
