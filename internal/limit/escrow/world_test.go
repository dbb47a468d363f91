package escrow

import (
	"bytes"
	"context"
	"encoding/gob"
	"fmt"
	"maps"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"carawayrouter.example/router/internal/clock"
	"carawayrouter.example/router/internal/config"
	"carawayrouter.example/router/internal/limit"
	"carawayrouter.example/router/internal/member"
	"carawayrouter.example/router/internal/peer"
	"carawayrouter.example/router/internal/platform"
	"carawayrouter.example/router/internal/shard"
)

// memTable is a platform.Table in memory with faults.
type memTable struct {
	mu      sync.Mutex
	rows    map[string]platform.Row
	version uint64
	down    bool
	lose    int // answers to commits lost after the write took effect
	delay   time.Duration
	late    time.Duration // commits take effect this long after their outcome was unknown
	reads   int
	writes  int
}

func (m *memTable) Get(_ context.Context, keys ...string) ([]platform.Row, error) {
	time.Sleep(m.delay)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reads++
	if m.down {
		return nil, platform.ErrUnavailable
	}
	rows := make([]platform.Row, len(keys))
	for i, k := range keys {
		rows[i] = m.rows[k]
		rows[i].Key = k
	}
	return rows, nil
}

func (m *memTable) Scan(context.Context, string, string, int) ([]platform.Row, error) {
	return nil, platform.ErrUnavailable
}

func (m *memTable) Commit(_ context.Context, t platform.Txn) (uint64, error) {
	time.Sleep(m.delay)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.writes++
	if m.down {
		return 0, platform.ErrUnavailable
	}
	if m.late > 0 {
		d := m.late
		m.late = 0
		go func() {
			time.Sleep(d)
			m.mu.Lock()
			defer m.mu.Unlock()
			_, _ = m.apply(t)
		}()
		return 0, platform.ErrUnknownOutcome
	}
	v, err := m.apply(t)
	if err == nil && m.lose > 0 {
		m.lose--
		return 0, platform.ErrUnknownOutcome
	}
	return v, err
}

func (m *memTable) apply(t platform.Txn) (uint64, error) {
	for _, c := range t.Conditions {
		if have := m.rows[c.Key].Version; have != c.Version {
			return 0, &platform.ConflictError{Key: c.Key, Want: c.Version, Have: have}
		}
	}
	m.version++
	for _, w := range t.Writes {
		m.rows[w.Key] = platform.Row{Key: w.Key, Version: m.version, Value: w.Value}
	}
	return m.version, nil
}

func (m *memTable) set(f func(m *memTable)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f(m)
}

// fault is what happens to calls of one method.
type fault struct {
	method  string        // "" is every method
	request bool          // lose the request; otherwise the answer
	delay   time.Duration // instead of losing the answer, deliver it this late
	count   int
}

// node is one instance of the fleet.
type node struct {
	w        *world
	self     member.Session
	limiter  *Limiter
	reserver limit.Limiter // limiter, or a baseline in its place
	svc      *service
	stop     context.CancelFunc
	done     chan struct{}
	dead     bool
	isolated bool // may not act as home
	resume   chan struct{}
}

// world is a fleet in one process. It is the directory, the network and the
// configuration of all its nodes.
type world struct {
	mu      sync.Mutex
	dcs     []string
	nodes   []*node
	byAddr  map[string]*node
	homes   map[shard.Key]shard.Assignment
	state   *config.State
	table   *memTable
	cuts    map[[2]string]bool
	faults  []*fault
	latency time.Duration
	calls   map[string]int
	encode  bool
	listen  func() (peer.Caller, peer.Registrar, string) // real connections instead

	uses []*use
}

// use is what one admitted request used.
type use struct {
	at      time.Time
	account string
	tokens  int64
	dc      string
}

func acct(name string, rate, burst float64) *config.Account {
	return &config.Account{Name: name, Rate: rate, Burst: burst, Weight: 1}
}

func newWorld(dcs []string, perDC int, accounts ...*config.Account) *world {
	w := emptyWorld(dcs, accounts...)
	w.populate(perDC)
	return w
}

func emptyWorld(dcs []string, accounts ...*config.Account) *world {
	return &world{
		dcs:     dcs,
		byAddr:  map[string]*node{},
		homes:   map[shard.Key]shard.Assignment{},
		state:   config.Build(1, &config.Objects{Accounts: accounts}),
		table:   &memTable{rows: map[string]platform.Row{}},
		cuts:    map[[2]string]bool{},
		latency: time.Millisecond,
		calls:   map[string]int{},
	}
}

// populate starts the nodes and gives each a part of its data centre's shards.
func (w *world) populate(perDC int) {
	for _, dc := range w.dcs {
		for i := range perDC {
			w.add(dc, i)
		}
		for i := range shard.Count {
			k := shard.Key{DataCentre: dc, Index: i}
			w.assign(k, w.in(dc)[i%perDC])
		}
	}
}

// add starts a node.
func (w *world) add(dc string, i int) *node {
	n := &node{w: w, done: make(chan struct{})}
	w.mu.Lock()
	id := len(w.nodes)
	addr := fmt.Sprintf("10.0.0.%d:1", id)
	var caller peer.Caller = n
	var registrar peer.Registrar = n
	if w.listen != nil {
		caller, registrar, addr = w.listen()
	}
	n.self = member.Session{Name: fmt.Sprintf("%s-%d-%d", dc, i, id), Addr: addr, DataCentre: dc, Epoch: uint64(id + 1)}
	w.nodes = append(w.nodes, n)
	w.byAddr[n.self.Addr] = n
	w.mu.Unlock()
	l, err := New(Options{
		Self: n.self, Config: w, Directory: n, Members: n, Caller: caller, Registrar: registrar, Table: w.table,
		DataCentres: w.dcs, Clock: clock.Real{}, Rand: rand.New(rand.NewPCG(1, uint64(id))), Logger: logr.Discard(),
	})
	if err != nil {
		panic(err)
	}
	n.limiter, n.reserver = l, l
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	go func() {
		defer close(n.done)
		_ = l.Run(ctx)
	}()
	return n
}

func (w *world) in(dc string) []*node {
	w.mu.Lock()
	defer w.mu.Unlock()
	var in []*node
	for _, n := range w.nodes {
		if n.self.DataCentre == dc && !n.dead {
			in = append(in, n)
		}
	}
	return in
}

func (w *world) assign(k shard.Key, n *node) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.homes[k] = shard.Assignment{Key: k, Home: n.self, Epoch: w.homes[k].Epoch + 1}
}

// moveShards gives all shards of a node to another one.
func (w *world) moveShards(from, to *node) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for k, a := range w.homes {
		if a.Home.Addr == from.self.Addr {
			w.homes[k] = shard.Assignment{Key: k, Home: to.self, Epoch: a.Epoch + 1}
		}
	}
}

// home returns the node that is home of an account in a data centre.
func (w *world) home(dc, account string) *node {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.byAddr[w.homes[keyOf(dc, account)].Home.Addr]
}

// other returns a live node of the data centre that is not n.
func (w *world) other(n *node) *node {
	for _, o := range w.in(n.self.DataCentre) {
		if o != n {
			return o
		}
	}
	panic("no other node")
}

func (w *world) kill(n *node) {
	w.mu.Lock()
	n.dead = true
	w.mu.Unlock()
	n.stop()
	<-n.done
}

func (w *world) pause(n *node) {
	w.mu.Lock()
	defer w.mu.Unlock()
	n.resume = make(chan struct{})
}

func (w *world) unpause(n *node) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if n.resume != nil {
		close(n.resume)
		n.resume = nil
	}
}

func (w *world) isolate(n *node, isolated bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	n.isolated = isolated
}

func (w *world) cut(a, b string, on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cuts[[2]string{a, b}] = on
	w.cuts[[2]string{b, a}] = on
}

func (w *world) inject(f fault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = append(w.faults, &f)
}

func (w *world) setAccount(a *config.Account) {
	w.mu.Lock()
	defer w.mu.Unlock()
	o := w.state.Objects()
	o.Accounts = slices.DeleteFunc(o.Accounts, func(x *config.Account) bool { return x.Name == a.Name })
	o.Accounts = append(o.Accounts, a)
	w.state = config.Build(w.state.Ticket+1, o)
}

// Current and Age implement config.Source.
func (w *world) Current() *config.State {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.state
}
func (w *world) Age() time.Duration { return 0 }

// stop ends every node.
func (w *world) stop() {
	w.mu.Lock()
	nodes := slices.Clone(w.nodes)
	w.mu.Unlock()
	for _, n := range nodes {
		w.unpause(n)
		n.stop()
		<-n.done
	}
	time.Sleep(time.Minute) // messages under way arrive
}

// Home and Held implement shard.Directory.
func (n *node) Home(k shard.Key) (shard.Assignment, bool) {
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	a, ok := n.w.homes[k]
	return a, ok
}

func (n *node) Held(k shard.Key) (uint64, bool) {
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	a, ok := n.w.homes[k]
	return a.Epoch, ok && a.Home.Addr == n.self.Addr && !n.isolated && !n.dead
}

// View implements member.Source.
func (n *node) View() *member.View { return &member.View{Self: n.self} }

// Register implements peer.Registrar.
func (n *node) Register(_ string, rcvr any) error {
	n.svc = rcvr.(*service)
	return nil
}

// Call implements peer.Caller on the world's network.
func (n *node) Call(ctx context.Context, addr, method string, args, reply any) error {
	w := n.w
	w.mu.Lock()
	to := w.byAddr[addr]
	f := w.fault(method)
	unreachable := to == nil || to.dead || n.dead || w.cuts[[2]string{n.self.DataCentre, to.self.DataCentre}]
	w.calls[method]++
	w.mu.Unlock()
	if unreachable {
		return peer.ErrUnreachable
	}
	answer := make(chan error, 1)
	copied := reflect.New(reflect.TypeOf(reply).Elem()).Interface()
	go func() {
		time.Sleep(w.latency)
		if f != nil && f.request {
			return
		}
		w.wait(to)
		err := to.serve(method, w.roundTrip(args), copied)
		time.Sleep(w.latency)
		w.wait(to)
		w.wait(n)
		w.mu.Lock()
		gone := to.dead || w.cuts[[2]string{n.self.DataCentre, to.self.DataCentre}]
		w.mu.Unlock()
		if f != nil && f.delay > 0 {
			time.Sleep(f.delay)
			if gone {
				err = peer.ErrConnectionLost // its caller has no other way to end
			}
			answer <- err
			return
		}
		if gone || f != nil {
			return
		}
		answer <- err
	}()
	if f != nil && f.delay > 0 {
		ctx = context.WithoutCancel(ctx) // a paused caller does not see its timer
	}
	select {
	case err := <-answer:
		if err == nil {
			reflect.ValueOf(reply).Elem().Set(reflect.ValueOf(w.roundTrip(copied)).Elem())
		}
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// callsSoFar returns the number of calls by method.
func (w *world) callsSoFar() map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return maps.Clone(w.calls)
}

// wait blocks while a node is paused.
func (w *world) wait(n *node) {
	w.mu.Lock()
	resume := n.resume
	w.mu.Unlock()
	if resume != nil {
		<-resume
	}
}

// fault takes the next fault for a method. The caller holds mu.
func (w *world) fault(method string) *fault {
	for i, f := range w.faults {
		if f.method != "" && ServiceName+"."+f.method != method {
			continue
		}
		if f.count--; f.count <= 0 {
			w.faults = slices.Delete(w.faults, i, i+1)
		}
		return f
	}
	return nil
}

// roundTrip copies a message as net/rpc would, or where encode is not set only its
// outer struct, which is faster.
func (w *world) roundTrip(v any) any {
	c := reflect.New(reflect.TypeOf(v).Elem())
	if !w.encode {
		c.Elem().Set(reflect.ValueOf(v).Elem())
		return c.Interface()
	}
	var b bytes.Buffer
	if err := gob.NewEncoder(&b).Encode(v); err != nil {
		panic(err)
	}
	if err := gob.NewDecoder(&b).DecodeValue(c); err != nil {
		panic(err)
	}
	return c.Interface()
}

func (n *node) serve(method string, args, reply any) error {
	m := reflect.ValueOf(n.svc).MethodByName(strings.TrimPrefix(method, ServiceName+"."))
	out := m.Call([]reflect.Value{reflect.ValueOf(args), reflect.ValueOf(reply)})
	err, _ := out[0].Interface().(error)
	return err
}

// reserve takes tokens at a node and notes the use.
func (n *node) reserve(name string, tokens int, wait time.Duration) (limit.Reservation, *use, error) {
	r, err := n.reserver.Reserve(context.Background(), name, tokens, limit.Until(time.Now().Add(wait)))
	if err != nil {
		return nil, nil, err
	}
	u := &use{at: time.Now(), account: name, tokens: int64(tokens), dc: n.self.DataCentre}
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	n.w.uses = append(n.w.uses, u)
	return r, u, nil
}

// settle ends a request that used fewer tokens.
func (n *node) settle(r limit.Reservation, u *use, used int) {
	n.w.mu.Lock()
	u.tokens = int64(used)
	n.w.mu.Unlock()
	r.Settle(used)
}

// excess returns the tokens that an account used above its rate and burst in any
// window, and the tokens used in all.
func (w *world) excess(name string, rate, burst float64) (excess, total float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var level float64
	var last time.Time
	for _, u := range w.uses {
		if u.account != name {
			continue
		}
		if !last.IsZero() {
			level = max(0, level-rate*u.at.Sub(last).Seconds())
		}
		last = u.at
		level += float64(u.tokens)
		total += float64(u.tokens)
		excess = max(excess, level-burst)
	}
	if excess < 1e-6 {
		excess = 0
	}
	return excess, total
}

// rights returns the shares and the levels and loans of an account at all homes.
func (w *world) rights(name string) (share, tokens int64) {
	for _, dc := range w.dcs {
		n := w.home(dc, name)
		n.limiter.home.mu.RLock()
		a := n.limiter.home.accounts[name]
		n.limiter.home.mu.RUnlock()
		if a == nil {
			continue
		}
		a.mu.Lock()
		now := time.Now()
		share += a.share
		tokens += a.bucket.Level(now) + a.bucket.Outstanding(now)
		a.mu.Unlock()
	}
	return share, tokens
}

// run calls f in a bubble of fake time.
func run(t *testing.T, f func(t *testing.T)) { synctest.Test(t, f) }
