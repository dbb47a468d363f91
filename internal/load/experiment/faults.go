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
	keySwitchDelay      = 2 * time.Second // from the ticket with the new key to its use
	keyWithdrawalDelay  = 3 * time.Second // from the ticket with the new key to the withdrawal of the old one
	oldKeyInterval      = 200 * time.Millisecond
	callTimeout         = 10 * time.Second
	submitRetryInterval = 500 * time.Millisecond
	maxCancelDelay      = 1500 // milliseconds
	cancelHashPrime     = 7919 // prime multiplier that spreads the cancels of consecutive requests
	cancelFractionScale = 1000
)

// runFaults starts and ends the script's events at their scheduled times.
func (r *runner) runFaults(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for i := range r.options.Faults.Events {
		e := &r.options.Faults.Events[i]
		g.Go(func() error {
			if sleep(ctx, time.Until(r.start.Add(r.options.Warmup+e.At))) != nil {
				return nil
			}
			return r.applyEvent(ctx, e)
		})
	}
	return g.Wait()
}

// applyEvent applies one event and returns when it has ended.
func (r *runner) applyEvent(ctx context.Context, e *fault.Event) error {
	f := r.fleet
	during := func(on, off func()) error {
		on()
		_ = sleep(ctx, e.Duration)
		off()
		return nil
	}
	switch e.Kind {
	case fault.Kill:
		return r.killEntry(ctx, e)
	case fault.Pause:
		x := r.entry(e.Target)
		return during(x.Pause, x.Resume)
	case fault.Drain:
		return r.drainEntry(ctx, e, e.Duration > 0)
	case fault.Restart:
		return r.drainEntry(ctx, e, true)
	case fault.StoreDown:
		return during(func() { f.Store.Down(true) }, func() { f.Store.Down(false) })
	case fault.StoreSlow:
		return during(func() { f.Store.Slow(e.Delay) }, func() { f.Store.Slow(0) })
	case fault.StoreAnswersLost:
		return during(func() { f.Store.LoseAnswers(e.Fraction) }, func() { f.Store.LoseAnswers(0) })
	case fault.DataCentreCut:
		return during(func() { f.Isolate(e.Target, true) }, func() { f.Isolate(e.Target, false) })
	case fault.ConnectionsSilent, fault.EngineSilent:
		r.injectFault(e.Target, host.Fault{Kind: host.Silent})
	case fault.EngineDead:
		r.injectFault(e.Target, host.Fault{Kind: host.Die, For: e.Duration})
		_ = sleep(ctx, e.Duration)
	case fault.EngineStalled:
		r.injectFault(e.Target, host.Fault{Kind: host.Stall, For: e.Duration})
	case fault.EngineCrossed:
		r.injectFault(e.Target, host.Fault{Kind: host.Crossed, For: e.Duration})
	case fault.EndpointLeaving:
		return r.markLeaving(ctx, e.Target)
	case fault.KeyWithdrawn:
		return r.withdrawKey(ctx, e.Target)
	case fault.CompetingTickets:
		r.submitCompetingTickets(ctx, e)
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

// killEntry kills an instance and restarts it after the event's duration, if it has one.
func (r *runner) killEntry(ctx context.Context, e *fault.Event) error {
	x := r.entry(e.Target)
	r.mu.Lock()
	r.faults.killed[e.Target] = append(r.faults.killed[e.Target], time.Now())
	r.mu.Unlock()
	x.Kill()
	if e.Duration == 0 || sleep(ctx, e.Duration) != nil {
		return nil
	}
	return r.startEntry(x)
}

// drainEntry shuts an instance down gracefully and optionally restarts it.
func (r *runner) drainEntry(ctx context.Context, e *fault.Event, restart bool) error {
	x := r.entry(e.Target)
	if x.Running() {
		r.mu.Lock()
		r.faults.drained[e.Target] = time.Now()
		r.mu.Unlock()
		x.Drain()
	}
	if !restart || sleep(ctx, e.Duration) != nil {
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

// injectFault injects a fault into one endpoint or all endpoints.
func (r *runner) injectFault(target string, x host.Fault) {
	for _, e := range r.fleet.Engines {
		if target == fault.All || target == e.Name {
			e.Server.Inject(x)
		}
	}
	for _, s := range r.fleet.Services {
		if target == fault.All || target == s.Name {
			s.Server.Inject(x)
		}
	}
}

// submitWithRetry submits a ticket until the store accepts it or the arrivals end.
func (r *runner) submitWithRetry(ctx context.Context, file string) (accepted time.Time, err error) {
	for {
		if _, err = r.submit(ctx, file); err == nil {
			return time.Now(), nil
		}
		if sleep(ctx, submitRetryInterval) != nil || time.Now().After(r.end) {
			return time.Time{}, err
		}
	}
}

// markLeaving submits a ticket that marks the endpoint as leaving.
func (r *runner) markLeaving(ctx context.Context, target string) error {
	var file string
	var names []string
	for _, e := range r.fleet.Engines {
		if target != e.Name {
			continue
		}
		names = append(names, e.Name)
		file += fmt.Sprintf("[endpoint %q]\npool = %s\naddr = %s\ndata_centre = %s\nrole = %s\nslots = %d\npieces = %d\nfencing = %t\nleaving = true\n\n",
			e.Name, e.Pool, e.Addr, e.DataCentre, e.Role, e.Slots, e.Pieces, e.Fencing)
	}
	for _, s := range r.fleet.Services {
		if target == s.Name {
			file += fmt.Sprintf("[endpoint %q]\npool = %s\naddr = %s\ndata_centre = %s\nrole = %s\nslots = %d\nleaving = true\n\n", s.Name, s.Pool, s.Addr, s.DataCentre, s.Role, s.Slots)
		}
	}
	at, err := r.submitWithRetry(ctx, file)
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

// secondKey returns the key that replaces an account's first key.
func (r *runner) secondKey(account string) string {
	sum := sha256.Sum256([]byte(r.fleet.Key(account) + "/second"))
	return "cwy_" + hex.EncodeToString(sum[:])
}

// key returns the key that an account's callers currently use.
func (r *runner) key(account string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if key, ok := r.newKeys[account]; ok {
		return key
	}
	return r.fleet.Key(account)
}

// withdrawKey adds a second key to an account, switches its callers to it, withdraws the
// first key and keeps sending requests with the withdrawn key to every instance.
func (r *runner) withdrawKey(ctx context.Context, account string) error {
	section := func(id, key string, withdrawn bool) string {
		hash, _ := config.HashKey(key).MarshalText()
		return fmt.Sprintf("[key %q]\naccount = %s\nhash = %s\nwithdrawn = %t\n", id, account, hash, withdrawn)
	}
	fresh, old := r.secondKey(account), r.fleet.Key(account)
	if _, err := r.submitWithRetry(ctx, section(account+"-2", fresh, false)); err != nil {
		return err
	}
	if sleep(ctx, keySwitchDelay) != nil {
		return nil
	}
	r.mu.Lock()
	r.newKeys[account] = fresh
	r.mu.Unlock()
	if sleep(ctx, keyWithdrawalDelay-keySwitchDelay) != nil {
		return nil
	}
	at, err := r.submitWithRetry(ctx, section(account+"-1", old, true))
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.faults.withdrawn[account] = at
	r.mu.Unlock()
	r.sendWithOldKey(ctx, account, old)
	return nil
}

// sendWithOldKey sends calls with a withdrawn key until the arrivals end.
func (r *runner) sendWithOldKey(ctx context.Context, account, key string) {
	for n := 0; time.Now().Before(r.end); n++ {
		e := r.fleet.Entries[n%len(r.fleet.Entries)]
		path := fmt.Sprintf("%sold-key-%s-%d", fleet.ServicePath, account, n)
		o := observation{observe.Request{Seq: -1, Account: account, Kind: workload.Call, Instance: e.Name(), OldKey: true, Sent: time.Now()}}
		o.Digest = service.Digest(http.MethodPost, path, nil)
		call, stop := context.WithTimeout(ctx, callTimeout)
		_, err := caller.NewWithHTTPClient(e.URL(), key, r.http).Call(call, caller.Call{Method: http.MethodPost, Path: path})
		o.End = time.Now()
		o.setOutcome(ctx, call, err)
		stop()
		r.addRequest(&o.Request)
		if sleep(ctx, oldKeyInterval) != nil {
			return
		}
	}
}

// submitCompetingTickets concurrently submits several tickets that change the same route.
// Each also adds a route of its own, which is probed if the ticket is accepted.
func (r *runner) submitCompetingTickets(ctx context.Context, e *fault.Event) {
	var g errgroup.Group
	for n := range e.Count {
		g.Go(func() error {
			path := fmt.Sprintf("/%s-%d", e.Name, n)
			route := "[route %q]\npath = %s\npool = %s\nopen = true\nidempotent = true\n\n"
			pool := r.fleet.Deployment.Service.Name
			number, err := r.submit(ctx, fmt.Sprintf(route, e.Name, path+"-shared", pool)+fmt.Sprintf(route, fmt.Sprintf("%s-%d", e.Name, n), path, pool))
			if err == nil {
				r.probers.Go(func() { r.probeTicket(ctx, number, path) })
			}
			return nil
		})
	}
	_ = g.Wait()
}

// scriptedCancel returns the delay after which the fault script makes a caller cancel, or
// zero if it does not.
func (r *runner) scriptedCancel(q *workload.Request) time.Duration {
	at := q.At - r.options.Warmup
	for i := range r.options.Faults.Events {
		e := &r.options.Faults.Events[i]
		if e.Kind != fault.CallersCancel || at < e.At || at >= e.At+e.Duration {
			continue
		}
		hash := q.Seq * cancelHashPrime
		if float64(hash%cancelFractionScale) < e.Fraction*cancelFractionScale {
			return time.Duration(1+hash%maxCancelDelay) * time.Millisecond
		}
	}
	return 0
}
