package timeline

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"carawayrouter.example/router/internal/event"
)

const maxLogLine = 1 << 20 // bytes

// Messages of log lines that report missing lines.
const (
	msgDropped = "log.dropped" // the log's queue was full
	msgOmitted = "log.omitted" // routine requests were not logged under load
)

// ReadLogs reads JSON log lines of any number of processes and returns a page for each
// process. A line without a process name is assigned to the given process. Text before a
// line's first brace is ignored, so that prefixes added by log collectors are accepted.
// Lines without a valid object are counted as a loss.
func ReadLogs(process string, r io.Reader) ([]event.Page, []Loss, error) {
	pages := map[string]*event.Page{}
	var losses []Loss
	malformed := uint64(0)
	in := bufio.NewScanner(r)
	in.Buffer(nil, maxLogLine)
	for in.Scan() {
		line := in.Bytes()
		if len(bytes.TrimSpace(line)) == 0 {
			continue
		}
		e, fields, err := parseLogLine(process, line)
		if err != nil {
			malformed++
			continue
		}
		p := pages[e.Process]
		if p == nil {
			p = &event.Page{Process: e.Process}
			pages[e.Process] = p
		}
		e.Seq = uint64(len(p.Events))
		p.Events = append(p.Events, e)
		switch e.Kind {
		case msgDropped:
			losses = append(losses, Loss{Process: e.Process, Error: fmt.Sprintf("%v lines dropped before %s", fields["lines"], formatTime(e.At))})
		case msgOmitted:
			losses = append(losses, Loss{Process: e.Process, Error: fmt.Sprintf("%v routine requests left out before %s", fields["requests"], formatTime(e.At))})
		}
	}
	if malformed > 0 {
		losses = append(losses, Loss{Process: process, Error: fmt.Sprintf("%d lines could not be parsed", malformed)})
	}
	var out []event.Page
	for _, name := range slices.Sorted(maps.Keys(pages)) {
		out = append(out, *pages[name])
	}
	return out, losses, errors.Wrapf(in.Err(), "log of %s", process)
}

// parseLogLine decodes a log line. Fields without a counterpart in event.Event go into its
// detail.
func parseLogLine(process string, line []byte) (event.Event, map[string]any, error) {
	start := bytes.IndexByte(line, '{')
	if start < 0 {
		return event.Event{}, nil, errors.New("no JSON object")
	}
	fields := map[string]any{}
	dec := json.NewDecoder(bytes.NewReader(line[start:]))
	dec.UseNumber()
	if err := dec.Decode(&fields); err != nil {
		return event.Event{}, nil, err
	}
	at, err := time.Parse(time.RFC3339Nano, stringField(fields["time"]))
	if err != nil {
		return event.Event{}, nil, err
	}
	e := event.Event{
		At:       event.Stamp{Wall: at.UnixNano()},
		Process:  process,
		Kind:     stringField(fields["msg"]),
		Request:  stringField(fields["request"]),
		Account:  stringField(fields["account"]),
		Endpoint: stringField(fields["endpoint"]),
	}
	if name := stringField(fields["instance_name"]); name != "" {
		e.Process = name
	}
	var rest []string
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		switch name {
		case "time", "level", "msg", "logger", "request", "account", "endpoint", "instance_name":
		default:
			rest = append(rest, fmt.Sprintf("%s=%v", name, fields[name]))
		}
	}
	e.Detail = strings.Join(rest, " ")
	return e, fields, nil
}

// stringField returns v if it is a string, else the empty string.
func stringField(v any) string {
	s, _ := v.(string)
	return s
}

// matchesEndpoint reports whether an event names the filter's endpoint in its endpoint
// field or in any field of its detail, for example as the place of a prefill or a decode
// or as the source or target of a redirect.
func (f Filter) matchesEndpoint(e event.Event) bool {
	return e.Endpoint == f.Endpoint || slices.ContainsFunc(strings.Fields(e.Detail), func(field string) bool {
		_, value, ok := strings.Cut(field, "=")
		return ok && value == f.Endpoint
	})
}

func formatTime(s event.Stamp) string {
	return time.Unix(0, s.Wall).UTC().Format("15:04:05.000000")
}
