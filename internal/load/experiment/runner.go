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
	listLag          = time.Second
	settleTime       = 2 * time.Second // from the first ticket to the first arrival
	idleTimeout      = 20 * time.Second
	idlePoll         = 50 * time.Millisecond
	idleConns        = 1024
	progressInterval = 500 * time.Millisecond
)

// runner runs the experiment under one policy.
type runner struct {
	options        Options
	fleet          *fleet.Fleet
	policy         string
	capacity       workload.Capacity
	balancer       *balancer
	http           *http.Client
	start          time.Time // of the arrivals
	end            time.Time // of the arrivals
	progressCounts requestCounts

	probers sync.WaitGroup // one per ticket

	mu       sync.Mutex
	requests []observe.Request
	faults   faultRecord
	newKeys  map[string]string // replacement keys by account
	probes   []observe.Probe
	accepted map[uint64]time.Time
}

// requestCounts are the counters on the status line.
type requestCounts struct{ sent, answered, refused, running atomic.Int64 }

// faultRecord records the faults applied to the fleet, by target name.
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
		options: o, fleet: f, policy: name, capacity: c,
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

// run sends the requests and applies the faults at their scheduled times, waits for
// outstanding responses and collects the recorded data.
func (r *runner) run(ctx context.Context, requests []workload.Request) (*observe.ExperimentRecord, error) {
	defer r.http.CloseIdleConnections()
	background, stop := context.WithCancel(ctx)
	defer stop()
	g, background := errgroup.WithContext(background)
	g.Go(func() error { return r.balancer.run(background) })
	if err := sleep(ctx, settleTime); err != nil {
		return nil, err
	}
	r.start = time.Now()
	r.end = r.start.Add(r.options.Warmup + r.options.Duration)
	g.Go(func() error { return r.progress(background) })
	g.Go(func() error { return r.probeTickets(background) })
	var faults errgroup.Group
	faults.Go(func() error { return r.runFaults(background) })

	callerCtx, cancelCallers := context.WithCancel(ctx)
	defer cancelCallers()
	var wg sync.WaitGroup
	if err := r.send(ctx, callerCtx, &wg, requests); err != nil {
		return nil, err
	}
	r.waitForCallers(&wg, cancelCallers)
	if err := faults.Wait(); err != nil {
		return nil, err
	}
	r.waitIdle(ctx)
	stop()
	r.probers.Wait()
	if err := g.Wait(); err != nil && ctx.Err() != nil {
		return nil, err
	}
	return r.record(), ctx.Err()
}

// send starts each request at its scheduled time.
func (r *runner) send(ctx, callerCtx context.Context, wg *sync.WaitGroup, requests []workload.Request) error {
	for i := range requests {
		q := &requests[i]
		if err := sleep(ctx, time.Until(r.start.Add(q.At))); err != nil {
			return err
		}
		copies := 1
		if q.Duplicated {
			copies = 2
		}
		for n := range copies {
			wg.Go(func() { r.sendRequest(callerCtx, q, n > 0) })
		}
	}
	return nil
}

// waitForCallers waits for the callers, and cancels those still running after the drain
// timeout.
func (r *runner) waitForCallers(wg *sync.WaitGroup, cancel context.CancelFunc) {
	done := make(chan struct{})
	go func() {
		wg.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(r.options.Drain):
		cancel()
		<-done
	}
}

// waitIdle waits up to idleTimeout until no engine holds a request or KV pieces.
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

// record collects the data recorded by callers and stand-ins.
func (r *runner) record() *observe.ExperimentRecord {
	d := &r.options.Deployment
	e := &observe.ExperimentRecord{
		Model: d.Model.Model, FirstTokenTarget: d.Model.FirstToken,
		Capacity: r.capacity.Requests, MeasuredTime: r.options.Duration, Start: r.start.Add(r.options.Warmup),
		Requests: r.requests, Probes: r.probes, Accepted: r.accepted,
		Drained: r.faults.drained, Killed: r.faults.killed, Started: r.faults.started,
		Leaving: r.faults.leaving, Withdrawn: r.faults.withdrawn,
	}
	for _, a := range d.Accounts {
		e.Accounts = append(e.Accounts, observe.Account{Name: a.Name, Rate: a.Rate, Burst: a.Burst})
	}
	for _, x := range r.fleet.Engines {
		e.Engines = append(e.Engines, observe.Engine{Name: x.Name, Ledger: x.Server.Ledger(), Running: x.Server.Running(), Pieces: x.Server.UsedPieces()})
	}
	for _, x := range r.fleet.Services {
		e.Services = append(e.Services, observe.Service{Name: x.Name, Ledger: x.Server.Ledger()})
	}
	return e
}

// sleep waits for d or until ctx is done.
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
