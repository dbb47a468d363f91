package gateway

import (
	"context"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"carawayrouter.example/router/internal/config"
	"carawayrouter.example/router/internal/gossip"
	"carawayrouter.example/router/internal/limit/window"
)

// rowStore is a store that can be restored from an older copy.
type rowStore struct {
	Store
	mu   sync.Mutex
	at   Position
	rows map[Table]map[string]Row
}

func newRowStore() *rowStore {
	return &rowStore{at: Position{Version: 1}, rows: map[Table]map[string]Row{Instances: {}, Fleet: {}}}
}

func (s *rowStore) copyRows() (rows map[string]Row, version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.rows[Instances]), s.at.Version
}

func (s *rowStore) count() int {
	rows, _ := s.copyRows()
	return len(rows)
}

// restore goes back to an older copy, of which the version is reused.
func (s *rowStore) restore(rows map[string]Row, version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows[Instances] = rows
	s.at = Position{Era: s.at.Era + 1, Version: version}
}

func (s *rowStore) write(table Table, key string, value []byte) {
	s.at.Version++
	s.rows[table][key] = Row{Key: key, Value: value, Version: s.at.Version}
}

// storeAccess is an instance's access to the store.
type storeAccess struct {
	Store
	store *rowStore
	cut   func() bool
	delay func() time.Duration

	frozen func() bool
}

func (a *storeAccess) call() error {
	time.Sleep(a.delay())
	for a.frozen() {
		time.Sleep(10 * time.Millisecond)
	}
	if a.cut() {
		return errors.New("the store cannot be reached")
	}
	return nil
}

// answer waits for the answer. An instance that is frozen sees it when it goes on.
func (a *storeAccess) answer() {
	time.Sleep(a.delay())
	for a.frozen() {
		time.Sleep(10 * time.Millisecond)
	}
}

func (a *storeAccess) Rows(_ context.Context, table Table) (out []Row, at Position, err error) {
	if err := a.call(); err != nil {
		return nil, Position{}, err
	}
	a.store.mu.Lock()
	for _, r := range a.store.rows[table] {
		r.ReadAt = time.Duration(time.Now().UnixMilli()) * time.Millisecond
		out = append(out, r)
	}
	at = a.store.at
	a.store.mu.Unlock()
	a.answer()
	return out, at, nil
}

func (a *storeAccess) Put(_ context.Context, table Table, key string, value []byte) error {
	if err := a.call(); err != nil {
		return err
	}
	a.store.mu.Lock()
	a.store.write(table, key, value)
	a.store.mu.Unlock()
	a.answer()
	return nil
}

func (a *storeAccess) Create(_ context.Context, table Table, key string, value []byte) ([]byte, error) {
	if err := a.call(); err != nil {
		return nil, err
	}
	a.store.mu.Lock()
	defer a.store.mu.Unlock()
	if r, ok := a.store.rows[table][key]; ok {
		return r.Value, nil
	}
	a.store.write(table, key, value)
	return value, nil
}

func (a *storeAccess) Replace(_ context.Context, table Table, key string, value []byte, at Position) (bool, error) {
	if err := a.call(); err != nil {
		return false, err
	}
	defer a.answer()
	a.store.mu.Lock()
	defer a.store.mu.Unlock()
	r, ok := a.store.rows[table][key]
	if !ok || r.Version != at.Version {
		return false, nil
	}
	if delete(a.store.rows[table], key); value != nil {
		a.store.write(table, key, value)
	}
	return a.store.at.Era == at.Era, nil
}

// leaseAccount is the account of the tests: as in the users' sites, a window of 8 s.
var leaseAccount = &config.Account{Name: "a", Rate: 10000, Burst: 20000}

const (
	leaseWindow  = 8 * time.Second
	leaseAllowed = (10000*8+20000)*11/10 + 72000 // tokens in a window, by the users' rule
)

// leaseFleet is a fleet of instances without network: updates are passed on by the test.
type leaseFleet struct {
	store     *rowStore
	delay     atomic.Int64 // of half a call to the store
	down      atomic.Bool  // the store
	mu        sync.Mutex   // of instances
	instances []*leaseInstance
	began     int
	next      int
	charges   []leaseCharge
	log       logr.Logger
}

type leaseCharge struct {
	at     time.Time
	tokens int
}

type leaseInstance struct {
	*Server
	side      atomic.Int32 // instances of different sides do not hear each other
	storeless atomic.Bool
	frozen    atomic.Bool
	waiting   []*gossip.Update // received while it is frozen
	sequence  uint64
	addr      string
	stop      context.CancelFunc
}

func newLeaseFleet() *leaseFleet {
	f := &leaseFleet{store: newRowStore(), log: logr.Discard()}
	f.delay.Store(int64(4 * time.Millisecond))
	return f
}

// place sets whom an instance hears and whether it reaches the store.
func (x *leaseInstance) place(side int32, storeless bool) {
	x.side.Store(side)
	x.storeless.Store(storeless)
}

func (f *leaseFleet) start(name string, fresh bool) *leaseInstance {
	x := &leaseInstance{}
	access := &storeAccess{store: f.store, cut: func() bool { return f.down.Load() || x.storeless.Load() }, delay: func() time.Duration { return time.Duration(f.delay.Load()) }, frozen: x.frozen.Load}
	x.Server = New(Settings{Instance: name, DataCentre: "d", QuotaWindow: leaseWindow, QuotaSlackRatio: 0.1, QuotaSlackTokens: 72000, Bootstrap: fresh},
		Deps{Log: f.log, Wire: nameOnlyWire{}, Store: access})
	x.state.current.Store(config.Build(1, &config.Objects{Accounts: []*config.Account{leaseAccount}}))
	f.began++
	x.peers.started = time.Now()
	x.peers.self = instanceRow{Incarnation: time.Now().UnixNano(), State: fmt.Sprintf("127.0.1.%d:1", f.began%250+1), Updates: fmt.Sprintf("127.0.1.%d:2", f.began%250+1), DataCentre: "d", Form: gossip.CurrentForm}
	x.addr = x.peers.self.State
	ctx, cancel := context.WithCancel(context.Background())
	x.stop = cancel
	x.peers.fetch = func(addr string) error { return f.fetch(x, addr) }
	go func() { _ = x.peers.registerLoop(ctx) }()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.instances = append(f.instances, x)
	return x
}

// fetch stands in for the request for the state of another instance.
func (f *leaseFleet) fetch(x *leaseInstance, addr string) error {
	f.mu.Lock()
	i := slices.IndexFunc(f.instances, func(y *leaseInstance) bool { return y.addr == addr })
	var y *leaseInstance
	if i >= 0 {
		y = f.instances[i]
	}
	f.mu.Unlock()
	if y == nil || y.side.Load() != x.side.Load() || y.frozen.Load() {
		return errors.New("the instance cannot be reached")
	}
	y.peers.mu.Lock()
	rows := map[string]instanceRow{y.settings.Instance: y.peers.self}
	for name, z := range y.peers.known {
		if z.row.Updates != "" && !z.leaving {
			rows[name] = z.row
		}
	}
	y.peers.mu.Unlock()
	now := time.Now()
	x.peers.mu.Lock()
	for name, row := range rows {
		if name != x.settings.Instance && x.peers.known[name] == nil {
			x.peers.known[name] = &peer{row: row, addr: netip.MustParseAddrPort(row.Updates), foundAt: now, rowChangedAt: now}
		}
	}
	x.peers.mu.Unlock()
	x.updateFleet(now)
	return nil
}

func (p *peers) knows(y *leaseInstance) *peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.known[y.settings.Instance]
}

func (f *leaseFleet) kill(x *leaseInstance) {
	x.stop()
	x.storeless.Store(true)
	x.frozen.Store(false)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.instances = slices.DeleteFunc(f.instances, func(y *leaseInstance) bool { return x == y })
}

// exchange passes all updates on. An instance that is frozen applies them when it goes on.
func (f *leaseFleet) exchange() {
	for _, x := range f.instances {
		if x.frozen.Load() {
			continue
		}
		for _, u := range x.waiting {
			x.peers.applyUpdate(time.Now(), u, netip.AddrPort{}, false)
		}
		x.waiting = nil
	}
	for _, x := range f.instances {
		if !x.frozen.Load() {
			f.send(x)
		}
	}
}

// send passes the update of an instance to those that it knows.
func (f *leaseFleet) send(x *leaseInstance) {
	u := x.peers.buildUpdate()
	x.sequence++
	u.Sequence, u.SentForm = x.sequence, gossip.CurrentForm
	for _, y := range f.instances {
		switch {
		case x == y || x.side.Load() != y.side.Load() || x.peers.knows(y) == nil:
		case y.frozen.Load():
			y.waiting = append(y.waiting, u)
		default:
			y.peers.applyUpdate(time.Now(), u, netip.AddrPort{}, false)
		}
	}
}

// run lets time pass, with requests at all instances in turn.
func (f *leaseFleet) run(d time.Duration, tokensPerSecond int) (offered, granted int) {
	const step = 25 * time.Millisecond
	const tokens = 400
	due := 0.0
	for i := range int(d / step) {
		time.Sleep(step)
		if i%8 == 0 {
			f.exchange()
		}
		for due += float64(tokensPerSecond) * step.Seconds(); due >= tokens && len(f.instances) > 0; due -= tokens {
			x := f.instances[f.next%len(f.instances)]
			f.next++
			offered += tokens
			if x.frozen.Load() {
				continue
			}
			allowed := false
			x.withQuota(func(now time.Time, l *window.Limiter) {
				allowed = l.Reserve(now, leaseAccount, tokens, window.PlainCall).Allowed
			})
			if allowed {
				granted += tokens
				f.charges = append(f.charges, leaseCharge{time.Now(), tokens})
				f.send(x)
			}
		}
	}
	return offered, granted
}

func (f *leaseFleet) stop() {
	for _, x := range f.instances {
		x.stop()
	}
	synctest.Wait()
	time.Sleep(time.Minute)
}

// A tenant's quota is usable after many machines were lost for good, each followed by one with another name. The
// requests stay within the quota: 8,000 of 10,000 tokens a second.
func TestQuotaIsUsableAfterReplacements(t *testing.T) {
	for _, n := range []int{0, 16, 100} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newLeaseFleet()
				defer f.stop()
				f.start("m0", true)
				f.start("m1", true)
				f.run(15*time.Second, 8000)
				for i := range n {
					f.kill(f.instances[0])
					f.run(2*time.Second, 8000)
					f.start(fmt.Sprint("m", i+2), false)
					f.run(1500*time.Millisecond, 8000)
				}
				f.run(12*time.Second, 8000)
				offered, granted := f.run(20*time.Second, 8000)
				t.Logf("%d replacements: %.3f of the requests within 12 s to 32 s, rows %d", n, float64(granted)/float64(offered), f.store.count())
				assert.Check(t, float64(granted) >= 0.25*float64(offered), "RECOVER: %d of %d tokens", granted, offered)
				f.run(28*time.Second, 8000)
				offered, granted = f.run(20*time.Second, 8000)
				t.Logf("%d replacements: %.3f of the requests within 60 s to 80 s, rows %d", n, float64(granted)/float64(offered), f.store.count())
				assert.Assert(t, float64(granted) >= 0.95*float64(offered), "%d of %d tokens", granted, offered)
			})
		})
	}
}

// leaseFault is a fault of the property test, and how long it is left to itself before the next.
type leaseFault struct {
	kind     string
	instance int
	wait     time.Duration
	quiet    bool // no requests until a flood at the end
}

// play runs a fleet under faults and returns the most tokens that it granted in a window.
func (f *leaseFleet) play(n int, faults []leaseFault) (most int) {
	defer f.stop()
	for i := range n {
		f.start(fmt.Sprint("m", i), true)
	}
	f.run(10*time.Second, 8000)
	copied, version := f.store.copyRows()
	names := n
	for _, fault := range faults {
		x := f.instances[fault.instance%len(f.instances)]
		switch fault.kind {
		case "replace":
			f.kill(x)
			y := f.start(fmt.Sprint("m", names), false)
			y.place(x.side.Load(), x.storeless.Load())
			names++
		case "add":
			y := f.start(fmt.Sprint("m", names), false)
			y.place(int32(fault.instance%2), false)
			names++
		case "restart":
			f.kill(x)
			y := f.start(x.settings.Instance, false)
			y.place(x.side.Load(), x.storeless.Load())
		case "kill":
			if len(f.instances) > 1 {
				f.kill(x)
			}
		case "freeze":
			x.frozen.Store(true)
		case "wake":
			for _, x := range f.instances {
				x.frozen.Store(false)
			}
		case "cut":
			x.side.Store(1 - x.side.Load())
		case "cut off":
			x.place(1, true)
		case "storeless":
			x.storeless.Store(!x.storeless.Load())
		case "heal":
			for _, x := range f.instances {
				x.place(0, false)
			}
			f.down.Store(false)
			f.delay.Store(int64(4 * time.Millisecond))
		case "store down":
			f.down.Store(!f.down.Load())
		case "store slow":
			f.delay.Store(int64(240 * time.Millisecond))
		case "copy":
			copied, version = f.store.copyRows()
		case "restore":
			f.store.restore(maps.Clone(copied), version)
		}
		if fault.quiet {
			f.run(fault.wait, 0)
			f.run(6*time.Second, 60000)
		} else {
			f.run(fault.wait, 25000)
		}
	}
	for _, x := range f.instances {
		x.place(0, false)
		x.frozen.Store(false)
	}
	f.down.Store(false)
	f.delay.Store(int64(4 * time.Millisecond))
	f.run(time.Minute, 25000)
	first, sum := 0, 0
	for _, c := range f.charges {
		for sum += c.tokens; c.at.Sub(f.charges[first].at) > leaseWindow; first++ {
			sum -= f.charges[first].tokens
		}
		most = max(most, sum)
	}
	return most
}

// The fleet keeps an account's limit, as the users' rules state it, while instances are lost for good, replaced, frozen and
// cut off from each other and from the store, and the store is down, slow and restored from an older copy.
func TestCountedOutInstancesGrantNothing(t *testing.T) {
	kinds := []string{"replace", "add", "restart", "kill", "freeze", "wake", "cut", "cut off", "storeless", "heal", "store down", "store slow", "copy", "restore"}
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(2, 5).Draw(rt, "instances")
		var faults []leaseFault
		for range rapid.IntRange(1, 8).Draw(rt, "faults") {
			faults = append(faults, leaseFault{
				kind:     rapid.SampledFrom(kinds).Draw(rt, "kind"),
				instance: rapid.IntRange(0, 5).Draw(rt, "instance"),
				wait:     time.Duration(rapid.SampledFrom([]int{1, 4, 12, 25, 40}).Draw(rt, "wait")) * time.Second,
				quiet:    rapid.Bool().Draw(rt, "quiet"),
			})
		}
		most := 0
		synctest.Test(t, func(*testing.T) {
			f := newLeaseFleet()
			most = f.play(n, faults)
		})
		if most > leaseAllowed {
			rt.Fatalf("%d tokens in a window, %d are allowed", most, leaseAllowed)
		}
	})
}
