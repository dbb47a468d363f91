// Package timeline merges the event rings of all processes into one time line,
// ordered by hybrid logical time, and renders it.
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
	fetchTimeout  = 5 * time.Second
	maxPage       = 64 << 20 // bytes of one process's events
	parallelFetch = 32
)

// Loss tells that events of a process are missing from the time line.
type Loss struct {
	Process string `json:"process"`
	Events  uint64 `json:"events,omitempty"` // overwritten in the ring
	Error   string `json:"error,omitempty"`  // the process could not be asked
}

// Timeline is a merged time line.
type Timeline struct {
	Events []event.Event
	Losses []Loss
}

// Filter selects events; empty fields select all.
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
	case f.Endpoint != "" && !f.about(e):
	case f.Ticket != 0 && e.Ticket != f.Ticket:
	case !strings.HasPrefix(e.Kind, f.Kind):
	default:
		return true
	}
	return false
}

// Merge orders the events of all pages that the filter selects.
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
	slices.SortStableFunc(l.Events, compare)
	return l
}

func compare(a, b event.Event) int {
	return cmp.Or(
		cmp.Compare(a.At.Wall, b.At.Wall),
		cmp.Compare(a.At.Count, b.At.Count),
		strings.Compare(a.Process, b.Process),
		cmp.Compare(a.Seq, b.Seq),
	)
}

// Fetch asks the operator ports at the given addresses (IP:port) for their events.
// Processes that cannot be asked become losses.
func Fetch(ctx context.Context, addrs []string, token string) ([]event.Page, []Loss) {
	pages := make([]*event.Page, len(addrs))
	failures := make([]error, len(addrs))
	var g errgroup.Group
	g.SetLimit(parallelFetch)
	for i, addr := range addrs {
		g.Go(func() error {
			pages[i], failures[i] = fetch(ctx, addr, token)
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

func fetch(ctx context.Context, addr, token string) (*event.Page, error) {
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
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxPage)).Decode(&p); err != nil {
		return nil, errors.Wrap(err, "malformed events")
	}
	return &p, nil
}

// Text writes one event a line.
func (l *Timeline) Text(w io.Writer) error {
	for _, e := range l.Events {
		if _, err := fmt.Fprintf(w, "%s %-14s %-22s %s\n", clockTime(e.At), e.Process, e.Kind, fields(e)); err != nil {
			return err
		}
	}
	for _, loss := range l.Losses {
		if _, err := fmt.Fprintf(w, "lost: %s: %s\n", loss.Process, loss.text()); err != nil {
			return err
		}
	}
	return nil
}

func (l Loss) text() string {
	if l.Error != "" {
		return l.Error
	}
	return fmt.Sprintf("%d events overwritten", l.Events)
}

// fields joins the parts of an event that are set.
func fields(e event.Event) string {
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

// JSON writes one event a line, then one line for each loss.
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
