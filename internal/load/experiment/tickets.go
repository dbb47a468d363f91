package experiment

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"carawayrouter.example/router/internal/caller"
	"carawayrouter.example/router/internal/errkind"
	"carawayrouter.example/router/internal/fleet"
	"carawayrouter.example/router/internal/load/observe"
)

const (
	ticketInterval = 5 * time.Second        // between two tickets that are watched
	probeInterval  = 100 * time.Millisecond // between two looks at an instance
	probeTimeout   = 2 * time.Second
	submitTimeout  = 5 * time.Second
	maxProbes      = 200_000
)

// watchTickets submits a ticket every few seconds, each with a new route that is open
// to all, and asks every instance for the routes until they answer. An instance that
// answered once must go on to.
func (r *runner) watchTickets(ctx context.Context) error {
	for n := 0; ; n++ {
		if err := sleep(ctx, ticketInterval); err != nil {
			return nil
		}
		if time.Now().After(r.end) {
			return nil
		}
		path := fmt.Sprintf("/probe-%d", n)
		number, err := r.submit(ctx, fmt.Sprintf("[ticket]\nnote = watched\n\n[route \"probe-%d\"]\npath = %s\npool = %s\nopen = true\nidempotent = true\n", n, path, r.fleet.Deployment.Service.Name))
		if err != nil {
			continue // the store is down; the next ticket comes later
		}
		r.watchers.Go(func() { r.watchTicket(ctx, number, path) })
	}
}

// submit submits a ticket and notes when it was accepted.
func (r *runner) submit(ctx context.Context, file string) (uint64, error) {
	ctx, stop := context.WithTimeout(ctx, submitTimeout)
	defer stop()
	number, err := r.fleet.Submit(ctx, file)
	if err != nil {
		return 0, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.accepted[number] = time.Now()
	return number, nil
}

// watchTicket looks at all instances until the arrivals end.
func (r *runner) watchTicket(ctx context.Context, number uint64, path string) {
	interval := probeInterval
	for time.Now().Before(r.end.Add(ticketInterval)) {
		everywhere := true
		for _, e := range r.fleet.Entries {
			if p, ok := r.probe(ctx, e, number, path); ok {
				everywhere = everywhere && p.InForce
				r.note(p)
			}
		}
		if everywhere {
			interval = time.Second
		}
		if sleep(ctx, interval) != nil {
			return
		}
	}
}

func (r *runner) note(p observe.Probe) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.probes) < maxProbes {
		r.probes = append(r.probes, p)
	}
}

// probe asks an instance for a route. It tells nothing of instances that do not answer.
func (r *runner) probe(ctx context.Context, e *fleet.Entry, number uint64, path string) (observe.Probe, bool) {
	ctx, stop := context.WithTimeout(ctx, probeTimeout)
	defer stop()
	p := observe.Probe{Ticket: number, Instance: e.Name()}
	_, err := caller.NewWithHTTPClient(e.URL(), "", r.http).Call(ctx, caller.Call{Method: http.MethodGet, Path: path})
	p.At = time.Now()
	var refused *caller.RefusedError
	switch {
	case err == nil:
		p.InForce = true
	case errors.As(err, &refused):
		p.InForce = refused.Kind != errkind.UnknownRoute && refused.Kind != errkind.ShuttingDown
		return p, refused.Kind != errkind.ShuttingDown
	default:
		return p, false
	}
	return p, true
}
