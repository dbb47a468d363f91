// Package timeline merges the events of all processes, from their event rings or their
// logs, into one timeline ordered by hybrid logical time, and renders it.
package timeline

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/cockroachdb/errors"

	"carawayrouter.example/router/internal/event"
)

const (
	fetchTimeout       = 5 * time.Second
	maxPageBytes       = 64 << 20 // limit for the events of one process
	maxParallelFetches = 32
)

// Loss reports that events of a process are missing from the timeline.
type Loss struct {
	Process string `json:"process"`
	Events  uint64 `json:"events,omitempty"` // number of events overwritten in the ring
	Error   string `json:"error,omitempty"`  // why events are missing, if the ring did not overwrite them
}

// Timeline holds the merged events of several processes.
type Timeline struct {
	Events []event.Event
	Losses []Loss
}

// Filter selects events; an empty field matches every event.
type Filter struct {
	Request  string
	Account  string
	Endpoint string
	Ticket   uint64
	Kind     string // prefix, for example "sched."
}

// Match reports whether the filter selects e.
func (f Filter) Match(e event.Event) bool {
	switch {
	case f.Request != "" && e.Request != f.Request:
	case f.Account != "" && e.Account != f.Account:
	case f.Endpoint != "" && !f.matchesEndpoint(e):
	case f.Ticket != 0 && e.Ticket != f.Ticket:
	case !strings.HasPrefix(e.Kind, f.Kind):
	default:
		return true
	}
	return false
}

// Merge combines the selected events of all pages in order of hybrid logical time.
func Merge(pages []event.Page, f Filter) *Timeline {
	l := &Timeline{}
	for _, p := range pages {
		if p.Lost > 0 {
			l.Losses = append(l.Losses, Loss{Process: p.Process, Events: p.Lost})
		}
		for _, e := range p.Events {
			if f.Match(e) {
				l.Events = append(l.Events, e)
			}
		}
	}
	slices.SortStableFunc(l.Events, compareEvents)
	return l
}

func compareEvents(a, b event.Event) int {
	return cmp.Or(
		cmp.Compare(a.At.Wall, b.At.Wall),
		cmp.Compare(a.At.Count, b.At.Count),
		strings.Compare(a.Process, b.Process),
		cmp.Compare(a.Seq, b.Seq),
	)
}

// Fetch reads the events from the operator ports at the given addresses (IP:port). A
// process whose events cannot be fetched is reported as a loss.
func Fetch(ctx context.Context, addrs []string, token string) ([]event.Page, []Loss) {
	pages := make([]*event.Page, len(addrs))
	failures := make([]error, len(addrs))
	var g errgroup.Group
	g.SetLimit(maxParallelFetches)
	for i, addr := range addrs {
		g.Go(func() error {
			pages[i], failures[i] = fetchPage(ctx, addr, token)
			return nil
		})
	}
	_ = g.Wait()
	var all []event.Page
	var losses []Loss
	for i, p := range pages {
		if p == nil {
			losses = append(losses, Loss{Process: addrs[i], Error: failures[i].Error()})
			continue
		}
		all = append(all, *p)
	}
	return all, losses
}

func fetchPage(ctx context.Context, addr, token string) (*event.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/events", nil)
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+token)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Newf("status %d", resp.StatusCode)
	}
	var p event.Page
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxPageBytes)).Decode(&p); err != nil {
		return nil, errors.Wrap(err, "malformed events")
	}
	return &p, nil
}

// Text writes one line per event, then one line per loss.
func (l *Timeline) Text(w io.Writer) error {
	for _, e := range l.Events {
		if _, err := fmt.Fprintf(w, "%s %-14s %-22s %s\n", formatTime(e.At), e.Process, e.Kind, formatFields(e)); err != nil {
			return err
		}
	}
	for _, loss := range l.Losses {
		if _, err := fmt.Fprintf(w, "lost: %s: %s\n", loss.Process, loss.describe()); err != nil {
			return err
		}
	}
	return nil
}

func (l Loss) describe() string {
	if l.Error != "" {
		return l.Error
	}
	return fmt.Sprintf("%d events overwritten", l.Events)
}

// formatFields formats the non-empty fields of an event as name=value pairs.
func formatFields(e event.Event) string {
	var parts []string
	for _, f := range []struct{ name, value string }{
		{"request", e.Request}, {"account", e.Account}, {"endpoint", e.Endpoint},
	} {
		if f.value != "" {
			parts = append(parts, f.name+"="+f.value)
		}
	}
	if e.Ticket != 0 {
		parts = append(parts, fmt.Sprintf("ticket=%d", e.Ticket))
	}
	if e.Detail != "" {
		parts = append(parts, e.Detail)
	}
	return strings.Join(parts, " ")
}

// JSON writes one line per event, then one line per loss.
func (l *Timeline) JSON(w io.Writer) error {
	out := json.NewEncoder(w)
	for _, e := range l.Events {
		if err := out.Encode(e); err != nil {
			return err
		}
	}
	for _, loss := range l.Losses {
		if err := out.Encode(map[string]Loss{"lost": loss}); err != nil {
			return err
		}
	}
	return nil
}
