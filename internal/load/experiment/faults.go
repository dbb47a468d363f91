package experiment

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"carawayrouter.example/router/internal/caller"
	"carawayrouter.example/router/internal/config"
	"carawayrouter.example/router/internal/fleet"
	"carawayrouter.example/router/internal/load/fault"
	"carawayrouter.example/router/internal/load/observe"
	"carawayrouter.example/router/internal/load/workload"
	"carawayrouter.example/router/internal/standin/host"
	"carawayrouter.example/router/internal/standin/service"
)

const (
	keySwitch       = 2 * time.Second // from the ticket with the new key to its use
	keyWithdraw     = 3 * time.Second // from the ticket with the new key to the withdrawal of the old one
	oldKeyInterval  = 200 * time.Millisecond
	callTimeout     = 10 * time.Second
	submitRetry     = 500 * time.Millisecond
	cancelSpan      = 1500 // milliseconds
	cancelSpread    = 7919 // prime; spreads the cancels of consecutive requests
	cancelShareBase = 1000
)

// runFaults makes the script's events happen at their times and ends them.
func (r *runner) runFaults(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for i := range r.o.Script.Events {
		e := &r.o.Script.Events[i]
		g.Go(func() error {
			if sleep(ctx, time.Until(r.start.Add(r.o.Warmup+e.At))) != nil {
				return nil
			}
			return r.produce(ctx, e)
		})
	}
	return g.Wait()
}

// produce makes one event happen and returns when it is over.
func (r *runner) produce(ctx context.Context, e *fault.Event) error {
	f := r.fleet
	last := func(on, off func()) error {
		on()
		_ = sleep(ctx, e.For)
		off()
		return nil
	}
	switch e.What {
	case fault.Kill:
		return r.kill(ctx, e)
	case fault.Pause:
		x := r.entry(e.Which)
		return last(x.Pause, x.Resume)
	case fault.Drain:
		return r.drainEntry(ctx, e, e.For > 0)
	case fault.Restart:
		return r.drainEntry(ctx, e, true)
	case fault.StoreDown:
		return last(func() { f.Store.Down(true) }, func() { f.Store.Down(false) })
	case fault.StoreSlow:
		return last(func() { f.Store.Slow(e.Delay) }, func() { f.Store.Slow(0) })
	case fault.StoreAnswersLost:
		return last(func() { f.Store.LoseAnswers(e.Share) }, func() { f.Store.LoseAnswers(0) })
	case fault.DataCentreCut:
		return last(func() { f.Isolate(e.Which, true) }, func() { f.Isolate(e.Which, false) })
	case fault.ConnectionsSilent, fault.EngineSilent:
		r.inject(e.Which, host.Fault{Kind: host.Silent})
	case fault.EngineDead:
		r.inject(e.Which, host.Fault{Kind: host.Die, For: e.For})
		_ = sleep(ctx, e.For)
	case fault.EngineStalled:
		r.inject(e.Which, host.Fault{Kind: host.Stall, For: e.For})
	case fault.EngineCrossed:
		r.inject(e.Which, host.Fault{Kind: host.Crossed, For: e.For})
	case fault.EndpointLeaving:
		return r.leaving(ctx, e.Which)
	case fault.KeyWithdrawn:
		return r.withdraw(ctx, e.Which)
	case fault.CompetingTickets:
		r.compete(ctx, e)
	}
	return nil
}

func (r *runner) entry(name string) *fleet.Entry {
	for _, e := range r.fleet.Entries {
		if e.Name() == name {
			return e
		}
	}
	return nil
}

// kill ends an instance abruptly and starts it again after the event's time, if any.
func (r *runner) kill(ctx context.Context, e *fault.Event) error {
	x := r.entry(e.Which)
	r.mu.Lock()
	r.faults.killed[e.Which] = append(r.faults.killed[e.Which], time.Now())
	r.mu.Unlock()
	x.Kill()
	if e.For == 0 || sleep(ctx, e.For) != nil {
		return nil
	}
	return r.startEntry(x)
}

// drainEntry shuts an instance down gracefully and may start it again.
func (r *runner) drainEntry(ctx context.Context, e *fault.Event, again bool) error {
	x := r.entry(e.Which)
	if x.Running() {
		r.mu.Lock()
		r.faults.drained[e.Which] = time.Now()
		r.mu.Unlock()
		x.Drain()
	}
	if !again || sleep(ctx, e.For) != nil {
		return nil
	}
	return r.startEntry(x)
}

func (r *runner) startEntry(x *fleet.Entry) error {
	r.mu.Lock()
	r.faults.started[x.Name()] = append(r.faults.started[x.Name()], time.Now())
	r.mu.Unlock()
	return x.Start()
}

// inject produces a fault at one endpoint or at all.
func (r *runner) inject(which string, x host.Fault) {
	for _, e := range r.fleet.Engines {
		if which == fault.All || which == e.Name {
			e.Server.Inject(x)
		}
	}
	for _, s := range r.fleet.Services {
		if which == fault.All || which == s.Name {
			s.Server.Inject(x)
		}
	}
}

// insist submits a ticket until the store takes it.
func (r *runner) insist(ctx context.Context, file string) (accepted time.Time, err error) {
	for {
		if _, err = r.submit(ctx, file); err == nil {
			return time.Now(), nil
		}
		if sleep(ctx, submitRetry) != nil || time.Now().After(r.end) {
			return time.Time{}, err
		}
	}
}

// leaving marks endpoints as leaving.
func (r *runner) leaving(ctx context.Context, which string) error {
	var file string
	var names []string
	for _, e := range r.fleet.Engines {
		if which != e.Name {
			continue
		}
		names = append(names, e.Name)
		file += fmt.Sprintf("[endpoint %q]\npool = %s\naddr = %s\ndata_centre = %s\nrole = %s\nslots = %d\npieces = %d\nfencing = %t\nleaving = true\n\n",
			e.Name, e.Pool, e.Addr, e.DataCentre, e.Role, e.Slots, e.Pieces, e.Fencing)
	}
	for _, s := range r.fleet.Services {
		if which == s.Name {
			file += fmt.Sprintf("[endpoint %q]\npool = %s\naddr = %s\ndata_centre = %s\nrole = %s\nslots = %d\nleaving = true\n\n", s.Name, s.Pool, s.Addr, s.DataCentre, s.Role, s.Slots)
		}
	}
	at, err := r.insist(ctx, file)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, name := range names {
		r.faults.leaving[name] = at
	}
	return nil
}

// secondKey returns the key that replaces an account's first one.
func (r *runner) secondKey(account string) string {
	sum := sha256.Sum256([]byte(r.fleet.Key(account) + "/second"))
	return "cwy_" + hex.EncodeToString(sum[:])
}

// key returns the key that an account's callers use now.
func (r *runner) key(account string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if key, ok := r.newKeys[account]; ok {
		return key
	}
	return r.fleet.Key(account)
}

// withdraw gives an account a second key, lets its callers change to it, withdraws the
// first one and goes on trying that at every instance.
func (r *runner) withdraw(ctx context.Context, account string) error {
	section := func(id, key string, withdrawn bool) string {
		hash, _ := config.HashKey(key).MarshalText()
		return fmt.Sprintf("[key %q]\naccount = %s\nhash = %s\nwithdrawn = %t\n", id, account, hash, withdrawn)
	}
	fresh, old := r.secondKey(account), r.fleet.Key(account)
	if _, err := r.insist(ctx, section(account+"-2", fresh, false)); err != nil {
		return err
	}
	if sleep(ctx, keySwitch) != nil {
		return nil
	}
	r.mu.Lock()
	r.newKeys[account] = fresh
	r.mu.Unlock()
	if sleep(ctx, keyWithdraw-keySwitch) != nil {
		return nil
	}
	at, err := r.insist(ctx, section(account+"-1", old, true))
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.faults.withdrawn[account] = at
	r.mu.Unlock()
	r.tryOldKey(ctx, account, old)
	return nil
}

// tryOldKey calls with a withdrawn key until the arrivals end.
func (r *runner) tryOldKey(ctx context.Context, account, key string) {
	for n := 0; time.Now().Before(r.end); n++ {
		e := r.fleet.Entries[n%len(r.fleet.Entries)]
		path := fmt.Sprintf("%sold-key-%s-%d", fleet.ServicePath, account, n)
		o := observation{observe.Request{Seq: -1, Account: account, Kind: workload.Call, Instance: e.Name(), OldKey: true, Sent: time.Now()}}
		o.Digest = service.Digest(http.MethodPost, path, nil)
		call, stop := context.WithTimeout(ctx, callTimeout)
		_, err := caller.NewWithHTTPClient(e.URL(), key, r.http).Call(call, caller.Call{Method: http.MethodPost, Path: path})
		o.End = time.Now()
		o.settle(ctx, call, err)
		stop()
		r.keep(&o.Request)
		if sleep(ctx, oldKeyInterval) != nil {
			return
		}
	}
}

// compete submits several tickets at once that change the same route. Each has a route
// of its own besides, by which an accepted one is watched.
func (r *runner) compete(ctx context.Context, e *fault.Event) {
	var g errgroup.Group
	for n := range e.Count {
		g.Go(func() error {
			path := fmt.Sprintf("/%s-%d", e.Name, n)
			route := "[route %q]\npath = %s\npool = %s\nopen = true\nidempotent = true\n\n"
			pool := r.fleet.Deployment.Service.Name
			number, err := r.submit(ctx, fmt.Sprintf(route, e.Name, path+"-shared", pool)+fmt.Sprintf(route, fmt.Sprintf("%s-%d", e.Name, n), path, pool))
			if err == nil {
				r.watchers.Go(func() { r.watchTicket(ctx, number, path) })
			}
			return nil
		})
	}
	_ = g.Wait()
}

// faultCancel returns when a caller leaves because of the script; zero: it stays.
func (r *runner) faultCancel(q *workload.Request) time.Duration {
	at := q.At - r.o.Warmup
	for i := range r.o.Script.Events {
		e := &r.o.Script.Events[i]
		if e.What != fault.CallersCancel || at < e.At || at >= e.At+e.For {
			continue
		}
		spread := q.Seq * cancelSpread
		if float64(spread%cancelShareBase) < e.Share*cancelShareBase {
			return time.Duration(1+spread%cancelSpan) * time.Millisecond
		}
	}
	return 0
}
