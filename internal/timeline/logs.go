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

// Messages of log lines that tell of lines left out.
const (
	logDropped = "log.dropped" // nobody read the log
	logOmitted = "log.omitted" // routine requests under load
)

// ReadLogs reads the JSON lines that processes have logged and returns a page for each
// process. A line names its process; one that does not belongs to the process given. What
// stands before a line's first brace is left out, so that prefixes of log collectors do no
// harm; lines without an object are counted as losses.
func ReadLogs(process string, r io.Reader) ([]event.Page, []Loss, error) {
	pages := map[string]*event.Page{}
	var losses []Loss
	unreadable := uint64(0)
	in := bufio.NewScanner(r)
	in.Buffer(nil, maxLogLine)
	for in.Scan() {
		line := in.Bytes()
		if len(bytes.TrimSpace(line)) == 0 {
			continue
		}
		e, fields, err := parseLog(process, line)
		if err != nil {
			unreadable++
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
		case logDropped:
			losses = append(losses, Loss{Process: e.Process, Error: fmt.Sprintf("%v lines dropped before %s", fields["lines"], clockTime(e.At))})
		case logOmitted:
			losses = append(losses, Loss{Process: e.Process, Error: fmt.Sprintf("%v routine requests left out before %s", fields["requests"], clockTime(e.At))})
		}
	}
	if unreadable > 0 {
		losses = append(losses, Loss{Process: process, Error: fmt.Sprintf("%d lines are no log lines", unreadable)})
	}
	var out []event.Page
	for _, name := range slices.Sorted(maps.Keys(pages)) {
		out = append(out, *pages[name])
	}
	return out, losses, errors.Wrapf(in.Err(), "log of %s", process)
}

// parseLog decodes one line. Fields that an event has no place for become its detail.
func parseLog(process string, line []byte) (event.Event, map[string]any, error) {
	start := bytes.IndexByte(line, '{')
	if start < 0 {
		return event.Event{}, nil, errors.New("no object")
	}
	fields := map[string]any{}
	dec := json.NewDecoder(bytes.NewReader(line[start:]))
	dec.UseNumber()
	if err := dec.Decode(&fields); err != nil {
		return event.Event{}, nil, err
	}
	at, err := time.Parse(time.RFC3339Nano, text(fields["time"]))
	if err != nil {
		return event.Event{}, nil, err
	}
	e := event.Event{
		At:       event.Stamp{Wall: at.UnixNano()},
		Process:  process,
		Kind:     text(fields["msg"]),
		Request:  text(fields["request"]),
		Account:  text(fields["account"]),
		Endpoint: text(fields["endpoint"]),
	}
	if name := text(fields["instance_name"]); name != "" {
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

// text returns a field that is a string, else nothing.
func text(v any) string {
	s, _ := v.(string)
	return s
}

// about reports whether an event names the filter's endpoint, in whichever role: the place
// of a prefill or a decode, the ends of a redirect.
func (f Filter) about(e event.Event) bool {
	return e.Endpoint == f.Endpoint || slices.ContainsFunc(strings.Fields(e.Detail), func(field string) bool {
		_, value, ok := strings.Cut(field, "=")
		return ok && value == f.Endpoint
	})
}

func clockTime(s event.Stamp) string {
	return time.Unix(0, s.Wall).UTC().Format("15:04:05.000000")
}
