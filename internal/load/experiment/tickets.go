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
	ticketInterval = 5 * time.Second        // between probed tickets
	probeInterval  = 100 * time.Millisecond // between probes of an instance
	probeTimeout   = 2 * time.Second
	submitTimeout  = 5 * time.Second
	maxProbes      = 200_000
)

// probeTickets submits a ticket every ticketInterval, each with a new route that needs no
// key, and probes the route on every instance. Once an instance serves the route, it
// must keep serving it.
func (r *runner) probeTickets(ctx context.Context) error {
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
			continue // the store is down; the next ticket follows after ticketInterval
		}
		r.probers.Go(func() { r.probeTicket(ctx, number, path) })
	}
}

// submit submits a ticket and records its acceptance time.
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

// probeTicket probes all instances until shortly after the arrivals end.
func (r *runner) probeTicket(ctx context.Context, number uint64, path string) {
	interval := probeInterval
	for time.Now().Before(r.end.Add(ticketInterval)) {
		everywhere := true
		for _, e := range r.fleet.Entries {
			if p, ok := r.probe(ctx, e, number, path); ok {
				everywhere = everywhere && p.InForce
				r.addProbe(p)
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

func (r *runner) addProbe(p observe.Probe) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.probes) < maxProbes {
		r.probes = append(r.probes, p)
	}
}

// probe checks whether an instance serves a route. It returns false if the instance is
// unreachable or shutting down.
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
