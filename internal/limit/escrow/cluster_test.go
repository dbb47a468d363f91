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

// memTable is an in-memory platform.Table with fault injection.
type memTable struct {
	mu          sync.Mutex
	rows        map[string]platform.Row
	version     uint64
	down        bool
	loseAnswers int // number of commits whose answer is lost after the write takes effect
	delay       time.Duration
	lateBy      time.Duration // the next commit reports an unknown outcome and takes effect this much later
	reads       int
	writes      int
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
	if m.lateBy > 0 {
		d := m.lateBy
		m.lateBy = 0
		go func() {
			time.Sleep(d)
			m.mu.Lock()
			defer m.mu.Unlock()
			_, _ = m.apply(t)
		}()
		return 0, platform.ErrUnknownOutcome
	}
	v, err := m.apply(t)
	if err == nil && m.loseAnswers > 0 {
		m.loseAnswers--
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

// fault is a fault injected into calls of one method.
type fault struct {
	method      string        // "" matches every method
	loseRequest bool          // lose the request instead of the answer
	delay       time.Duration // deliver the answer this much later instead of losing it
	count       int
}

// node is one instance of the fleet.
type node struct {
	cluster  *cluster
	self     member.Session
	limiter  *Limiter
	reserver limit.Limiter // limiter, or a baseline limiter instead
	svc      *service
	stop     context.CancelFunc
	done     chan struct{}
	dead     bool
	isolated bool // may not act as home
	resumed  chan struct{}
}

// cluster simulates a fleet in one process. It serves as the directory, the network
// and the configuration of all its nodes.
type cluster struct {
	mu           sync.Mutex
	dataCentres  []string
	nodes        []*node
	byAddr       map[string]*node
	homes        map[shard.Key]shard.Assignment
	state        *config.State
	table        *memTable
	partitions   map[[2]string]bool
	faults       []*fault
	latency      time.Duration
	calls        map[string]int
	encode       bool
	newTransport func() (peer.Caller, peer.Registrar, string) // if set, opens connections instead of the simulated network

	uses []*use
}

// use records the tokens used by one admitted request.
type use struct {
	at      time.Time
	account string
	tokens  int64
	dc      string
}

func testAccount(name string, rate, burst float64) *config.Account {
	return &config.Account{Name: name, Rate: rate, Burst: burst, Weight: 1}
}

func newCluster(dcs []string, perDC int, accounts ...*config.Account) *cluster {
	c := newEmptyCluster(dcs, accounts...)
	c.populate(perDC)
	return c
}

func newEmptyCluster(dcs []string, accounts ...*config.Account) *cluster {
	return &cluster{
		dataCentres: dcs,
		byAddr:      map[string]*node{},
		homes:       map[shard.Key]shard.Assignment{},
		state:       config.Build(1, &config.Objects{Accounts: accounts}),
		table:       &memTable{rows: map[string]platform.Row{}},
		partitions:  map[[2]string]bool{},
		latency:     time.Millisecond,
		calls:       map[string]int{},
	}
}

// populate starts the nodes and distributes each data centre's shards among its nodes.
func (c *cluster) populate(perDC int) {
	for _, dc := range c.dataCentres {
		for i := range perDC {
			c.add(dc, i)
		}
		for i := range shard.Count {
			k := shard.Key{DataCentre: dc, Index: i}
			c.assign(k, c.nodesIn(dc)[i%perDC])
		}
	}
}

// add starts a node.
func (c *cluster) add(dc string, i int) *node {
	n := &node{cluster: c, done: make(chan struct{})}
	c.mu.Lock()
	id := len(c.nodes)
	addr := fmt.Sprintf("10.0.0.%d:1", id)
	var caller peer.Caller = n
	var registrar peer.Registrar = n
	if c.newTransport != nil {
		caller, registrar, addr = c.newTransport()
	}
	n.self = member.Session{Name: fmt.Sprintf("%s-%d-%d", dc, i, id), Addr: addr, DataCentre: dc, Epoch: uint64(id + 1)}
	c.nodes = append(c.nodes, n)
	c.byAddr[n.self.Addr] = n
	c.mu.Unlock()
	l, err := New(Options{
		Self: n.self, Config: c, Directory: n, Members: n, Caller: caller, Registrar: registrar, Table: c.table,
		DataCentres: c.dataCentres, Clock: clock.Real{}, Rand: rand.New(rand.NewPCG(1, uint64(id))), Logger: logr.Discard(),
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

func (c *cluster) nodesIn(dc string) []*node {
	c.mu.Lock()
	defer c.mu.Unlock()
	var in []*node
	for _, n := range c.nodes {
		if n.self.DataCentre == dc && !n.dead {
			in = append(in, n)
		}
	}
	return in
}

func (c *cluster) assign(k shard.Key, n *node) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.homes[k] = shard.Assignment{Key: k, Home: n.self, Epoch: c.homes[k].Epoch + 1}
}

// moveShards assigns all shards of a node to another node.
func (c *cluster) moveShards(from, to *node) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for k, a := range c.homes {
		if a.Home.Addr == from.self.Addr {
			c.homes[k] = shard.Assignment{Key: k, Home: to.self, Epoch: a.Epoch + 1}
		}
	}
}

// homeOf returns the node that is home of an account in a data centre.
func (c *cluster) homeOf(dc, account string) *node {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.byAddr[c.homes[shardOf(dc, account)].Home.Addr]
}

// other returns a live node of the data centre that is not n.
func (c *cluster) otherNode(n *node) *node {
	for _, o := range c.nodesIn(n.self.DataCentre) {
		if o != n {
			return o
		}
	}
	panic("no other node")
}

func (c *cluster) kill(n *node) {
	c.mu.Lock()
	n.dead = true
	c.mu.Unlock()
	n.stop()
	<-n.done
}

func (c *cluster) pause(n *node) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n.resumed = make(chan struct{})
}

func (c *cluster) unpause(n *node) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n.resumed != nil {
		close(n.resumed)
		n.resumed = nil
	}
}

func (c *cluster) isolate(n *node, isolated bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n.isolated = isolated
}

func (c *cluster) setPartition(a, b string, on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.partitions[[2]string{a, b}] = on
	c.partitions[[2]string{b, a}] = on
}

func (c *cluster) inject(f fault) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults = append(c.faults, &f)
}

func (c *cluster) setAccount(a *config.Account) {
	c.mu.Lock()
	defer c.mu.Unlock()
	o := c.state.Objects()
	o.Accounts = slices.DeleteFunc(o.Accounts, func(x *config.Account) bool { return x.Name == a.Name })
	o.Accounts = append(o.Accounts, a)
	c.state = config.Build(c.state.Ticket+1, o)
}

// Current and Age implement config.Source.
func (c *cluster) Current() *config.State {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state
}
func (c *cluster) Age() time.Duration { return 0 }

// setLatency sets how long a message takes.
func (c *cluster) setLatency(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.latency = d
}

// stop stops every node.
func (c *cluster) stop() {
	c.mu.Lock()
	nodes := slices.Clone(c.nodes)
	c.mu.Unlock()
	for _, n := range nodes {
		c.unpause(n)
		n.stop()
		<-n.done
	}
	time.Sleep(time.Minute) // lets messages in flight arrive
}

// Home and Held implement shard.Directory.
func (n *node) Home(k shard.Key) (shard.Assignment, bool) {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	a, ok := n.cluster.homes[k]
	return a, ok
}

func (n *node) Held(k shard.Key) (uint64, bool) {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	a, ok := n.cluster.homes[k]
	return a.Epoch, ok && a.Home.Addr == n.self.Addr && !n.isolated && !n.dead
}

// View implements member.Source.
func (n *node) View() *member.View { return &member.View{Self: n.self} }

// Register implements peer.Registrar.
func (n *node) Register(_ string, rcvr any) error {
	n.svc = rcvr.(*service)
	return nil
}

// Call implements peer.Caller on the simulated network.
func (n *node) Call(ctx context.Context, addr, method string, args, reply any) error {
	c := n.cluster
	c.mu.Lock()
	to := c.byAddr[addr]
	f := c.takeFault(method)
	unreachable := to == nil || to.dead || n.dead || c.partitions[[2]string{n.self.DataCentre, to.self.DataCentre}]
	c.calls[method]++
	c.mu.Unlock()
	if unreachable {
		return peer.ErrUnreachable
	}
	answer := make(chan error, 1)
	copied := reflect.New(reflect.TypeOf(reply).Elem()).Interface()
	go func() {
		time.Sleep(c.latency)
		if f != nil && f.loseRequest {
			return
		}
		c.waitResumed(to)
		err := to.serve(method, c.roundTrip(args), copied)
		time.Sleep(c.latency)
		c.waitResumed(to)
		c.waitResumed(n)
		c.mu.Lock()
		gone := to.dead || c.partitions[[2]string{n.self.DataCentre, to.self.DataCentre}]
		c.mu.Unlock()
		if f != nil && f.delay > 0 {
			time.Sleep(f.delay)
			if gone {
				err = peer.ErrConnectionLost // the caller waits without a timeout, so the call must end
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
		ctx = context.WithoutCancel(ctx) // a paused caller does not observe its timeout
	}
	select {
	case err := <-answer:
		if err == nil {
			reflect.ValueOf(reply).Elem().Set(reflect.ValueOf(c.roundTrip(copied)).Elem())
		}
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// callsSoFar returns the number of calls by method.
func (c *cluster) callsSoFar() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.calls)
}

// waitResumed blocks while a node is paused.
func (c *cluster) waitResumed(n *node) {
	c.mu.Lock()
	resume := n.resumed
	c.mu.Unlock()
	if resume != nil {
		<-resume
	}
}

// takeFault returns the next fault for a method and decrements its count. The caller
// holds mu.
func (c *cluster) takeFault(method string) *fault {
	for i, f := range c.faults {
		if f.method != "" && ServiceName+"."+f.method != method {
			continue
		}
		if f.count--; f.count <= 0 {
			c.faults = slices.Delete(c.faults, i, i+1)
		}
		return f
	}
	return nil
}

// roundTrip copies a message as net/rpc does. Unless encode is set, it makes a shallow
// copy, which is faster.
func (c *cluster) roundTrip(v any) any {
	copied := reflect.New(reflect.TypeOf(v).Elem())
	if !c.encode {
		copied.Elem().Set(reflect.ValueOf(v).Elem())
		return copied.Interface()
	}
	var b bytes.Buffer
	if err := gob.NewEncoder(&b).Encode(v); err != nil {
		panic(err)
	}
	if err := gob.NewDecoder(&b).DecodeValue(copied); err != nil {
		panic(err)
	}
	return copied.Interface()
}

func (n *node) serve(method string, args, reply any) error {
	m := reflect.ValueOf(n.svc).MethodByName(strings.TrimPrefix(method, ServiceName+"."))
	out := m.Call([]reflect.Value{reflect.ValueOf(args), reflect.ValueOf(reply)})
	err, _ := out[0].Interface().(error)
	return err
}

// reserve reserves tokens at a node and records the use.
func (n *node) reserve(name string, tokens int, wait time.Duration) (limit.Reservation, *use, error) {
	r, err := n.reserver.Reserve(context.Background(), name, tokens, limit.WaitUntil(time.Now().Add(wait)))
	if err != nil {
		return nil, nil, err
	}
	u := &use{at: time.Now(), account: name, tokens: int64(tokens), dc: n.self.DataCentre}
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	n.cluster.uses = append(n.cluster.uses, u)
	return r, u, nil
}

// settle settles a request that used the given number of tokens.
func (n *node) settle(r limit.Reservation, u *use, used int) {
	n.cluster.mu.Lock()
	u.tokens = int64(used)
	n.cluster.mu.Unlock()
	r.Settle(used)
}

// excess returns the maximum number of tokens that an account used above its rate and
// burst in any window, and the total number used.
func (c *cluster) excess(name string, rate, burst float64) (excess, total float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var level float64
	var last time.Time
	for _, u := range c.uses {
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

// totalRights returns the sum of an account's shares, and of its levels and
// outstanding loans, over all homes.
func (c *cluster) totalRights(name string) (share, tokens int64) {
	for _, dc := range c.dataCentres {
		n := c.homeOf(dc, name)
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

// runInBubble runs f in a synctest bubble with a fake clock.
func runInBubble(t *testing.T, f func(t *testing.T)) { synctest.Test(t, f) }
