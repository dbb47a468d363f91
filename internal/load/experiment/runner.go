package experiment

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"carawayrouter.example/router/internal/fleet"
	"carawayrouter.example/router/internal/load/observe"
	"carawayrouter.example/router/internal/load/workload"
)

const (
	listLag      = time.Second
	settleTime   = 2 * time.Second // between the first ticket and the first arrival
	idleTimeout  = 20 * time.Second
	idlePoll     = 50 * time.Millisecond
	idleConns    = 1024
	tickInterval = 500 * time.Millisecond
)

// runner runs one policy's requests.
type runner struct {
	o        Options
	fleet    *fleet.Fleet
	name     string
	capacity workload.Capacity
	balancer *balancer
	http     *http.Client
	start    time.Time // of the arrivals
	end      time.Time // of the arrivals
	counts   counts

	watchers sync.WaitGroup // of tickets

	mu       sync.Mutex
	requests []observe.Request
	faults   faultRecord
	newKeys  map[string]string // of accounts whose first key is being withdrawn
	probes   []observe.Probe
	accepted map[uint64]time.Time
}

// counts are what the progress line tells.
type counts struct{ sent, answered, refused, running atomic.Int64 }

// faultRecord is what was done to the fleet.
type faultRecord struct {
	drained   map[string]time.Time
	killed    map[string][]time.Time
	leaving   map[string]time.Time
	withdrawn map[string]time.Time
	started   map[string][]time.Time
}

func newRunner(o Options, f *fleet.Fleet, name string, c workload.Capacity, requests int) *runner {
	transport := &http.Transport{MaxIdleConns: 0, MaxIdleConnsPerHost: idleConns, DisableCompression: true}
	return &runner{
		o: o, fleet: f, name: name, capacity: c,
		balancer: newBalancer(f),
		http:     &http.Client{Transport: transport},
		requests: make([]observe.Request, 0, requests),
		accepted: map[uint64]time.Time{},
		newKeys:  map[string]string{},
		faults: faultRecord{
			drained: map[string]time.Time{}, killed: map[string][]time.Time{},
			leaving: map[string]time.Time{}, withdrawn: map[string]time.Time{},
			started: map[string][]time.Time{},
		},
	}
}

// run sends the requests at their times, with the faults at theirs, waits for the last
// answers and collects what was seen.
func (r *runner) run(ctx context.Context, requests []workload.Request) (*observe.Evidence, error) {
	defer r.http.CloseIdleConnections()
	background, stop := context.WithCancel(ctx)
	defer stop()
	g, background := errgroup.WithContext(background)
	g.Go(func() error { return r.balancer.run(background) })
	if err := sleep(ctx, settleTime); err != nil {
		return nil, err
	}
	r.start = time.Now()
	r.end = r.start.Add(r.o.Warmup + r.o.Duration)
	g.Go(func() error { return r.progress(background) })
	g.Go(func() error { return r.watchTickets(background) })
	var faults errgroup.Group
	faults.Go(func() error { return r.runFaults(background) })

	callers, cut := context.WithCancel(ctx)
	defer cut()
	var wg sync.WaitGroup
	if err := r.send(ctx, callers, &wg, requests); err != nil {
		return nil, err
	}
	r.drain(&wg, cut)
	if err := faults.Wait(); err != nil {
		return nil, err
	}
	r.waitIdle(ctx)
	stop()
	r.watchers.Wait()
	if err := g.Wait(); err != nil && ctx.Err() != nil {
		return nil, err
	}
	return r.evidence(), ctx.Err()
}

// send starts each request at its time.
func (r *runner) send(ctx, callers context.Context, wg *sync.WaitGroup, requests []workload.Request) error {
	for i := range requests {
		q := &requests[i]
		if err := sleep(ctx, time.Until(r.start.Add(q.At))); err != nil {
			return err
		}
		copies := 1
		if q.Twice {
			copies = 2
		}
		for n := range copies {
			wg.Go(func() { r.request(callers, q, n > 0) })
		}
	}
	return nil
}

// drain waits for the callers, at most for the time allowed, then ends them.
func (r *runner) drain(wg *sync.WaitGroup, cut context.CancelFunc) {
	done := make(chan struct{})
	go func() {
		wg.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(r.o.Drain):
		cut()
		<-done
	}
}

// waitIdle waits until no engine holds anything, at most for idleTimeout.
func (r *runner) waitIdle(ctx context.Context) {
	for until := time.Now().Add(idleTimeout); time.Now().Before(until) && !r.idle(); {
		if sleep(ctx, idlePoll) != nil {
			return
		}
	}
}

func (r *runner) idle() bool {
	for _, e := range r.fleet.Engines {
		if e.Server.UsedPieces() > 0 || len(e.Server.Running()) > 0 {
			return false
		}
	}
	return true
}

// evidence collects what callers and stand-ins saw.
func (r *runner) evidence() *observe.Evidence {
	d := &r.o.Deployment
	e := &observe.Evidence{
		Model: d.Model.Model, FirstToken: d.Model.FirstToken,
		Capacity: r.capacity.Requests, Measured: r.o.Duration, Start: r.start.Add(r.o.Warmup),
		Requests: r.requests, Probes: r.probes, Accepted: r.accepted,
		Drained: r.faults.drained, Killed: r.faults.killed, Started: r.faults.started,
		Leaving: r.faults.leaving, Withdrawn: r.faults.withdrawn,
	}
	for _, a := range d.Accounts {
		e.Accounts = append(e.Accounts, observe.Account{Name: a.Name, Rate: a.Rate, Burst: a.Burst})
	}
	for _, x := range r.fleet.Engines {
		e.Engines = append(e.Engines, observe.Engine{Name: x.Name, Ledger: x.Server.Ledger(), Held: x.Server.Running(), Pieces: x.Server.UsedPieces()})
	}
	for _, x := range r.fleet.Services {
		e.Services = append(e.Services, observe.Service{Name: x.Name, Ledger: x.Server.Ledger()})
	}
	return e
}

// sleep waits for d or for the end of ctx.
func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
