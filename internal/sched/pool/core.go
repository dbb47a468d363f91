// Package pool schedules requests on the endpoints of one pool in one data centre. It
// tracks decode slots and KV memory exactly, models the prefill queues, and keeps a
// fair queue of waiting demands.
//
// Core is the state machine: it uses no sockets or goroutines and takes the time as an
// argument. Dispatcher wraps it for concurrent callers. Local is a sched.Scheduler on
// top of dispatchers in this process.
package pool

import (
	"math/rand/v2"
	"time"

	"carawayrouter.example/router/internal/config"
	"carawayrouter.example/router/internal/endpoint"
	"carawayrouter.example/router/internal/errkind"
	"carawayrouter.example/router/internal/fairqueue"
	"carawayrouter.example/router/internal/reqid"
	"carawayrouter.example/router/internal/sched"
)

// Key identifies one attempt of a request to get a grant. A process never reuses a
// Try, so that reports on an earlier grant cannot affect a later one.
type Key struct {
	ID  reqid.ID
	Try uint64
}

// Holder identifies the process that owns a demand: the one that issued its request id.
type Holder struct {
	Instance    string
	Incarnation uint64
}

// Holder returns the process that issued the key's request id.
func (k Key) Holder() Holder { return Holder{k.ID.Instance, k.ID.Incarnation} }

// Decision is the result for one demand: the granted endpoints, or a refusal.
type Decision struct {
	Key     Key
	Prefill *config.Endpoint
	Decode  *config.Endpoint
	Err     *errkind.Error // nil for a grant
}

// demand is one waiting or granted request.
type demand struct {
	key              Key
	d                sched.Demand
	decodePieces     int                               // KV pieces at the decode engine
	entry            *fairqueue.Entry[*demand]         // not nil while queued
	prefill          *target                           // not nil while a prefill is outstanding
	decode           *target                           // not nil once granted
	placement        struct{ prefill, decode *target } // set by place
	predictedPrefill time.Duration
	uncachedTokens   int // predicted tokens to prefill
	granted          time.Time
	prefillEnded     time.Time // zero until PrefillDone
	firstTokenSeen   bool
	lease            time.Time // expiry; zero for none
}

// Core is the state machine of one pool in one data centre. It is not safe for
// concurrent use.
//
// Invariants: a target's slots and pieces equal the sum over the demands that use it;
// a Core never grants more than an endpoint's slots and pieces; a leaving endpoint is
// never part of a new grant.
type Core struct {
	pool       string
	dc         string
	kind       config.PoolKind
	tuning     Tuning
	rand       *rand.Rand
	queue      *fairqueue.Queue[*demand]
	demands    map[Key]*demand
	grantsByID map[reqid.ID]int // number of granted demands by request id
	byHolder   map[Holder]map[uint64]*demand
	targets    map[string]*target
	prefill    []*target // local prefill engines
	remote     []*target // prefill engines of other data centres
	decode     []*target // local decode engines or plain services
	paused     bool      // no grants are made

	healthChanges []HealthChange

	prefillSeconds float64 // sum over the prefill engines; see target
	prefillTokens  float64

	grantedCost  float64 // cost granted since backlogSince
	backlogSince time.Time
	serviceRate  ewma // cost granted per second while demands were queued
}

// NewCore returns a Core without endpoints.
func NewCore(pool, dataCentre string, kind config.PoolKind, t Tuning, r *rand.Rand) *Core {
	if t.Order == FIFO {
		t.Queue.MaxPerAccount = t.Queue.MaxEntries
	}
	return &Core{
		pool:       pool,
		dc:         dataCentre,
		kind:       kind,
		tuning:     t,
		rand:       r,
		queue:      fairqueue.New[*demand](t.Queue),
		demands:    map[Key]*demand{},
		grantsByID: map[reqid.ID]int{},
		byHolder:   map[Holder]map[uint64]*demand{},
		targets:    map[string]*target{},
	}
}

// roleTargets returns the list that contains x: the targets it is compared with.
func (c *Core) roleTargets(x *target) []*target {
	switch {
	case x.ep.Role != config.Prefill:
		return c.decode
	case x.ep.DataCentre == c.dc:
		return c.prefill
	}
	return c.remote
}

// DecodePieces returns the KV pieces that a demand needs at its decode engine.
func DecodePieces(d sched.Demand) int { return endpoint.Pieces(d.Prompt + d.MaxOutput) }

// SetEndpoints replaces the endpoints. Those in leaving, or configured as leaving,
// get no new work. An endpoint with the same name, address and role keeps its state.
// Of other data centres, only prefill engines are used, and only if no local one is
// available.
func (c *Core) SetEndpoints(eps []*config.Endpoint, leaving map[string]bool) {
	old := c.targets
	c.targets = make(map[string]*target, len(eps))
	c.prefill, c.remote, c.decode = nil, nil, nil
	c.prefillSeconds, c.prefillTokens = 0, 0
	for _, ep := range eps {
		if ep.DataCentre != c.dc && ep.Role != config.Prefill {
			continue
		}
		x := old[ep.Name]
		if x == nil || x.ep.Addr != ep.Addr || x.ep.Role != ep.Role {
			x = newTarget(ep, &c.tuning)
		} else {
			delete(old, ep.Name)
		}
		x.ep = ep
		x.leaving = ep.Leaving || leaving[ep.Addr]
		c.addTarget(x)
	}
	for _, x := range old {
		x.removed = true
	}
}

// addTarget adds a target to the map and to the list of its role.
func (c *Core) addTarget(x *target) {
	c.targets[x.ep.Name] = x
	switch {
	case x.ep.Role != config.Prefill:
		c.decode = append(c.decode, x)
	case x.ep.DataCentre == c.dc:
		c.prefill = append(c.prefill, x)
	default:
		c.remote = append(c.remote, x)
	}
	c.prefillSeconds += x.prefillSeconds
	c.prefillTokens += x.prefillTokens
}

// Enqueue adds a demand. It is idempotent by key: for a known demand it only extends
// the lease. An error is a final refusal. evicted is the refusal of another demand
// that was removed from the queue to make room.
func (c *Core) Enqueue(now time.Time, key Key, d sched.Demand, lease time.Time) (evicted *Decision, err *errkind.Error) {
	if m, ok := c.demands[key]; ok {
		m.lease = lease
		return nil, nil
	}
	m := &demand{key: key, d: d, lease: lease}
	if c.kind == config.ModelPool {
		m.decodePieces = DecodePieces(d)
	}
	if err := c.checkFeasible(m); err != nil {
		return nil, err
	}
	e := c.newEntry(m)
	if c.missesDeadline(now, e) {
		return nil, errkind.New(errkind.DeadlineUnreachable, "queue is too long for the route's longest wait").
			WithRetryAfter(time.Second)
	}
	out, full := c.queue.Push(e)
	if full != nil {
		return nil, queueFull()
	}
	m.entry = e
	c.add(m)
	if out != nil {
		c.remove(out.Value)
		evicted = &Decision{Key: out.Value.key, Err: queueFull()}
	}
	return evicted, nil
}

// add indexes a demand by key and by holder.
func (c *Core) add(m *demand) {
	c.demands[m.key] = m
	h := m.key.Holder()
	if c.byHolder[h] == nil {
		c.byHolder[h] = map[uint64]*demand{}
	}
	c.byHolder[h][m.key.Try] = m
}

// remove undoes add.
func (c *Core) remove(m *demand) {
	delete(c.demands, m.key)
	h := m.key.Holder()
	delete(c.byHolder[h], m.key.Try)
	if len(c.byHolder[h]) == 0 {
		delete(c.byHolder, h)
	}
}

func queueFull() *errkind.Error {
	return errkind.New(errkind.QueueFull, "too many requests wait for the pool").WithRetryAfter(time.Second)
}

func noEndpoint() *errkind.Error {
	return errkind.New(errkind.NoEndpoint, "no endpoint of the pool can be used").WithRetryAfter(time.Second)
}

// newEntry returns the queue entry for a demand.
func (c *Core) newEntry(m *demand) *fairqueue.Entry[*demand] {
	wait := m.d.MaxWait
	if wait <= 0 {
		wait = c.tuning.DefaultMaxWait
	}
	e := &fairqueue.Entry[*demand]{
		Account:  m.d.Account,
		Weight:   m.d.Weight,
		Cost:     float64(max(1, m.d.Prompt+m.d.MaxOutput)),
		Class:    m.d.Class,
		Deadline: m.d.Arrived.Add(wait),
		Value:    m,
	}
	if c.tuning.Order == FIFO {
		e.Account, e.Class, e.Weight = "", config.Interactive, 1
		return e
	}
	if slack := c.slack(m); slack > 0 {
		e.Due = m.d.Arrived.Add(slack)
	}
	return e
}

// RefuseInfeasible removes the queued demands that no endpoint can serve any more, for
// example after SetEndpoints.
func (c *Core) RefuseInfeasible() []Decision {
	var out []Decision
	c.queue.Each(func(e *fairqueue.Entry[*demand]) {
		if err := c.checkFeasible(e.Value); err != nil {
			out = append(out, Decision{Key: e.Value.key, Err: err})
		}
	})
	for _, d := range out {
		m := c.demands[d.Key]
		c.queue.Remove(m.entry)
		c.remove(m)
	}
	return out
}

// Load summarizes a pool in a data centre, for the choice between data centres.
type Load struct {
	Slots   int // of available endpoints
	Free    int
	Waiting int
}

// Load returns the current load.
func (c *Core) Load(now time.Time) Load {
	l := Load{Waiting: c.queue.Len()}
	for _, x := range c.decode {
		if !c.available(now, x) {
			continue
		}
		slots, _ := x.inUse(now)
		l.Slots += x.slotLimit(&c.tuning)
		l.Free += max(0, x.slotLimit(&c.tuning)-slots)
	}
	return l
}

// Waiting returns the number of queued demands.
func (c *Core) Waiting() int { return c.queue.Len() }
