// Package order keeps model engines in their configured state: model, version,
// adapters and role. The home of an endpoint's shard sends the orders. An order
// carries the complete desired state and a fencing token, and is idempotent.
package order

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"carawayrouter.example/router/internal/clock"
	"carawayrouter.example/router/internal/config"
	"carawayrouter.example/router/internal/endpoint"
	"carawayrouter.example/router/internal/event"
	"carawayrouter.example/router/internal/shard"
)

// Defaults of Options.
const (
	DefaultRoundEvery    = 500 * time.Millisecond
	DefaultOrderTimeout  = 5 * time.Second
	DefaultReassertEvery = time.Minute
	DefaultRetryMin      = time.Second
	DefaultRetryMax      = 30 * time.Second
	DefaultMaxInFlight   = 16

	// settleMargin is added to OrderTimeout to be sure that an order has ended at the
	// engine: it covers clock drift and the delay between the end of a request at the
	// sender and at the engine.
	settleMargin = time.Second

	// ticketBits is the number of low bits of a fencing token that hold the ticket: they
	// order the states that one home has sent under one epoch.
	ticketBits = 32
)

// Shards reports which shards this process may act for.
type Shards interface {
	// Held returns the epoch under which this process may act for the shard now.
	Held(k shard.Key) (epoch uint64, ok bool)
}

// Options configures a Controller. Zero durations take the defaults.
type Options struct {
	Home    string // name of this instance
	Shards  Shards
	Config  config.Source
	Engines func(*config.Endpoint) endpoint.Engine
	Clock   clock.Clock
	Rand    *rand.Rand
	Logger  logr.Logger
	Events  *event.Ring

	RoundEvery    time.Duration
	OrderTimeout  time.Duration // timeout of one order at the sender
	ReassertEvery time.Duration // interval at which acknowledged orders are repeated
	RetryMin      time.Duration
	RetryMax      time.Duration
	MaxInFlight   int
}

func (o Options) withDefaults() Options {
	for _, d := range []struct {
		v   *time.Duration
		def time.Duration
	}{
		{&o.RoundEvery, DefaultRoundEvery}, {&o.OrderTimeout, DefaultOrderTimeout},
		{&o.ReassertEvery, DefaultReassertEvery}, {&o.RetryMin, DefaultRetryMin}, {&o.RetryMax, DefaultRetryMax},
	} {
		if *d.v == 0 {
			*d.v = d.def
		}
	}
	if o.MaxInFlight == 0 {
		o.MaxInFlight = DefaultMaxInFlight
	}
	if o.Clock == nil {
		o.Clock = clock.Real{}
	}
	if o.Rand == nil {
		o.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if o.Logger.GetSink() == nil {
		o.Logger = logr.Discard()
	}
	return o
}

// Controller sends orders to the endpoints whose home is this process.
type Controller struct {
	opts     Options
	inFlight chan struct{} // semaphore for the orders in flight
	wg       sync.WaitGroup

	mu        sync.Mutex
	state     *config.State          // the state from which byKey was built
	byKey     map[shard.Key][]target // endpoints that take orders
	tasks     map[string]*task       // by endpoint, while this process is its home
	unsettled map[string]time.Time   // send times of orders with unknown outcome whose tasks have ended
}

// target is an endpoint and its desired state.
type target struct {
	endpoint *config.Endpoint
	want     desiredState
}

// desiredState is the state that an order sets.
type desiredState struct {
	model, version, adapters, role string
}

// task is the state of the orders to one endpoint under one epoch.
type task struct {
	epoch          uint64
	want           desiredState
	ticket         uint64    // in force when this process first saw the desired state
	notBefore      time.Time // no order is sent before this time, as an earlier one may still arrive
	next           time.Time
	backoff        time.Duration
	cancel         context.CancelFunc // cancels the order in flight; nil if there is none
	unsettledSince time.Time          // send time of the last order with unknown outcome
	acked          bool
	err            error
}

// Status is the state of the orders to one endpoint.
type Status struct {
	Endpoint string
	Epoch    uint64
	Acked    bool   // the endpoint has accepted the desired state under this epoch
	Error    string // of the last order, empty after a success
}

// NewController returns a Controller.
func NewController(o Options) *Controller {
	o = o.withDefaults()
	return &Controller{opts: o, inFlight: make(chan struct{}, o.MaxInFlight), tasks: map[string]*task{}, unsettled: map[string]time.Time{}}
}

// Run sends orders until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	defer c.wg.Wait()
	for {
		c.Round(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-c.opts.Clock.After(c.opts.RoundEvery):
		}
	}
}

// Status returns the state of the orders to the endpoints whose home is this process,
// sorted by name.
func (c *Controller) Status() []Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []Status
	for name, t := range c.tasks {
		s := Status{Endpoint: name, Epoch: t.epoch, Acked: t.acked}
		if t.err != nil {
			s.Error = t.err.Error()
		}
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b Status) int { return strings.Compare(a.Endpoint, b.Endpoint) })
	return out
}

// Key returns the shard of an endpoint.
func Key(e *config.Endpoint) shard.Key { return shard.Of(e.DataCentre, "endpoint/"+e.Name) }

// Round starts the orders that are due and cancels those that this process may no
// longer send.
func (c *Controller) Round(ctx context.Context) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.indexEndpoints(c.opts.Config.Current())
	held := map[string]bool{}
	for k, targets := range c.byKey {
		epoch, ok := c.opts.Shards.Held(k)
		if !ok {
			continue
		}
		for _, tg := range targets {
			held[tg.endpoint.Name] = true
			c.updateTask(tg, epoch)
			c.startOrder(ctx, tg, k)
		}
	}
	for name, t := range c.tasks {
		if held[name] {
			continue
		}
		if t.cancel != nil {
			t.cancel()
		}
		c.unsettled[name] = t.unsettledSince
		delete(c.tasks, name)
	}
	now := c.opts.Clock.Now()
	maps.DeleteFunc(c.unsettled, func(_ string, sent time.Time) bool {
		return now.Sub(sent) > c.opts.OrderTimeout+settleMargin
	})
}

// indexEndpoints groups the endpoints that take orders by shard. The caller holds mu.
func (c *Controller) indexEndpoints(s *config.State) {
	if s == c.state {
		return
	}
	c.state = s
	c.byKey = map[shard.Key][]target{}
	for _, e := range s.Endpoints {
		p := s.Pools[e.Pool]
		if p == nil || p.Kind != config.ModelPool || e.Leaving {
			continue
		}
		adapters := slices.Sorted(slices.Values(p.Adapters))
		tg := target{endpoint: e, want: desiredState{
			model: p.Model, version: p.Version, adapters: strings.Join(adapters, "\n"), role: string(e.Role),
		}}
		c.byKey[Key(e)] = append(c.byKey[Key(e)], tg)
	}
}

// updateTask updates the endpoint's task to the epoch and the desired state. The caller
// holds mu.
func (c *Controller) updateTask(tg target, epoch uint64) {
	now := c.opts.Clock.Now()
	t := c.tasks[tg.endpoint.Name]
	if t != nil && t.epoch != epoch && t.cancel != nil {
		t.cancel()
	}
	if t == nil || t.epoch != epoch {
		t = &task{epoch: epoch, want: tg.want, ticket: c.state.Ticket}
		// The first home of a shard has no predecessor to wait for.
		if !tg.endpoint.Fencing && epoch > 1 {
			t.notBefore = now.Add(c.opts.OrderTimeout + settleMargin)
		}
		t.unsettledSince = c.unsettled[tg.endpoint.Name]
		c.delayUntilSettled(tg, t)
		c.tasks[tg.endpoint.Name] = t
	}
	if t.want == tg.want {
		return
	}
	t.want, t.acked, t.backoff, t.next = tg.want, false, 0, now
	t.ticket = c.state.Ticket
	if t.cancel != nil {
		t.cancel()
	}
	c.delayUntilSettled(tg, t)
}

// delayUntilSettled delays the next order to an endpoint without fencing until an earlier
// one of this process with unknown outcome has ended, as it may still arrive late. The
// caller holds mu.
func (c *Controller) delayUntilSettled(tg target, t *task) {
	settled := t.unsettledSince.Add(c.opts.OrderTimeout + settleMargin)
	if !tg.endpoint.Fencing && settled.After(t.notBefore) {
		t.notBefore = settled
	}
}

// startOrder sends the endpoint's order if it is due and fewer than MaxInFlight are in
// flight. The caller holds mu.
func (c *Controller) startOrder(ctx context.Context, tg target, k shard.Key) {
	now := c.opts.Clock.Now()
	t := c.tasks[tg.endpoint.Name]
	if t.cancel != nil || now.Before(t.next) || now.Before(t.notBefore) {
		return
	}
	select {
	case c.inFlight <- struct{}{}:
	default:
		return
	}
	orderCtx, cancel := context.WithTimeout(ctx, c.opts.OrderTimeout)
	t.cancel = cancel
	t.unsettledSince = now
	o := tg.order(c.opts.Home, token(t.epoch, t.ticket))
	c.wg.Go(func() {
		defer func() { <-c.inFlight }()
		defer cancel()
		c.recordOutcome(tg, t, o, c.send(orderCtx, tg, k, t.epoch, now, o))
	})
}

// token returns the fencing token of an order: a higher epoch takes precedence, and
// within an epoch the state of a higher ticket. The ticket in force never decreases, so
// a home that was paused under one epoch resumes with tokens that are not stale.
func token(epoch, ticket uint64) uint64 { return epoch<<ticketBits | ticket&(1<<ticketBits-1) }

func (tg target) order(home string, token uint64) endpoint.Order {
	o := endpoint.Order{
		Epoch: token, Home: home,
		Model: tg.want.model, Version: tg.want.version, Adapters: []string{}, Role: tg.want.role,
	}
	if tg.want.adapters != "" {
		o.Adapters = strings.Split(tg.want.adapters, "\n")
	}
	return o
}

var (
	errNotHome    = errors.New("this instance is no longer the endpoint's home")
	errPaused     = errors.New("the order was prepared too long ago to be sent")
	errNotFencing = errors.New("endpoint is configured to refuse stale epochs but reports none")
)

// send sends one order. The checks come immediately before the call: a process that
// was paused since the order was prepared must not send it.
func (c *Controller) send(
	ctx context.Context, tg target, k shard.Key, epoch uint64, prepared time.Time, o endpoint.Order,
) error {
	engine := c.opts.Engines(tg.endpoint)
	if held, ok := c.opts.Shards.Held(k); !ok || held != epoch {
		return errNotHome
	}
	if c.opts.Clock.Now().Sub(prepared) > settleMargin {
		return errPaused
	}
	res, err := engine.Order(ctx, o)
	if err == nil && tg.endpoint.Fencing && res.Epoch == 0 {
		return errNotFencing
	}
	return err
}

// recordOutcome records the outcome of an order.
func (c *Controller) recordOutcome(tg target, t *task, o endpoint.Order, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.opts.Clock.Now()
	t.cancel = nil
	t.err = err
	if err == nil || knownOutcome(err) {
		t.unsettledSince = time.Time{}
	}
	if token(t.epoch, t.ticket) != o.Epoch {
		return // the desired state has changed since the order was sent
	}
	t.acked = err == nil
	if err == nil {
		t.backoff = 0
		t.next = now.Add(c.jitter(c.opts.ReassertEvery))
		c.event("order.acked", tg, "")
		return
	}
	t.backoff = min(max(2*t.backoff, c.opts.RetryMin), c.opts.RetryMax)
	t.next = now.Add(c.jitter(t.backoff))
	c.event("order.failed", tg, err.Error())
	c.opts.Logger.V(1).Info("order failed", "endpoint", tg.endpoint.Name, "epoch", t.epoch, "error", err.Error())
}

// knownOutcome reports whether an order that failed with err cannot take effect later.
func knownOutcome(err error) bool {
	return errors.IsAny(err, errNotHome, errPaused, endpoint.ErrNotSent, endpoint.ErrRefused, endpoint.ErrStaleEpoch)
}

// jitter returns d varied randomly by up to 20%. The caller holds mu.
func (c *Controller) jitter(d time.Duration) time.Duration {
	return d*4/5 + time.Duration(c.opts.Rand.Int64N(int64(d)*2/5+1))
}

func (c *Controller) event(kind string, tg target, detail string) {
	c.opts.Events.Add(event.Event{Kind: kind, Endpoint: tg.endpoint.Name, Detail: detail})
}
