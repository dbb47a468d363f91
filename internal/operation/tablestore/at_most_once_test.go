package tablestore

import (
	"context"
	"flag"
	"fmt"
	"os"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"carawayrouter.example/router/internal/errkind"
	"carawayrouter.example/router/internal/operation"
	"carawayrouter.example/router/internal/platform/memplatform"
)

// TestMain sets a fixed default seed for the state machine; -rapid.seed on the command
// line overrides it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "20261203"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// process is an instance with its store in the state machine.
type process struct {
	store      *Store
	stop       func()
	name       string
	seq        int
	openClaims []openClaim // dispatched, not yet closed
}

type openClaim struct {
	key   string
	claim operation.Claim
}

// machine drives a few processes that share a faulty table and counts dispatches.
type machine struct {
	t       *testing.T
	mem     *memplatform.Store
	procs   []*process
	started int

	mu         sync.Mutex
	dead       map[string]bool
	dispatches map[string]int  // number of dispatches by key
	recorded   map[string]bool // keys whose answer is known to be recorded
}

var machineKeys = []string{"a", "b", "c"}

func newMachine(t *testing.T) *machine {
	m := &machine{
		t: t, mem: memplatform.New(memplatform.Options{Seed: 7}),
		dead: map[string]bool{}, dispatches: map[string]int{}, recorded: map[string]bool{},
	}
	for range 2 {
		m.procs = append(m.procs, m.startProcess())
	}
	return m
}

func (m *machine) startProcess() *process {
	m.started++
	s := testSettings()
	s.CallTimeout = 4 * time.Millisecond
	s.ClaimTimeout = 30 * time.Millisecond
	s.Drain = 0
	p := &process{name: fmt.Sprintf("e.%d", m.started)}
	p.store, p.stop = startStore(m.t, Options{Settings: s, Table: m.mem.For(testDataCentre).Table, OwnerDead: m.ownerDead})
	return p
}

func (m *machine) ownerDead(owner string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name := range m.dead {
		if len(owner) > len(name) && owner[:len(name)+1] == name+"." {
			return true
		}
	}
	return false
}

// request claims a key; if it gets the claim, it dispatches or releases it.
func (m *machine) request(p *process, owner, key string, dispatch bool) *openClaim {
	c, a, err := p.store.Claim(context.Background(), "paper", key, "d", owner)
	if a != nil || err != nil {
		return nil
	}
	if !dispatch {
		_ = c.Release(context.Background())
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.dispatches[key]++
	return &openClaim{key: key, claim: c}
}

// race sends a request for the same key to every process concurrently.
func (m *machine) race(t *rapid.T) {
	key := rapid.SampledFrom(machineKeys).Draw(t, "key")
	var wg sync.WaitGroup
	got := make([]*openClaim, len(m.procs))
	for i, p := range m.procs {
		p.seq++
		owner := fmt.Sprintf("%s.%d", p.name, p.seq)
		dispatch := rapid.IntRange(0, 3).Draw(t, "dispatch") > 0
		wg.Go(func() { got[i] = m.request(p, owner, key, dispatch) })
	}
	wg.Wait()
	for i, h := range got {
		if h != nil {
			m.procs[i].openClaims = append(m.procs[i].openClaims, *h)
		}
	}
}

// settle finishes or abandons the oldest open claim of a process.
func (m *machine) settle(t *rapid.T) {
	p := rapid.SampledFrom(m.procs).Draw(t, "process")
	if len(p.openClaims) == 0 {
		t.Skip("no open claim")
	}
	h := p.openClaims[0]
	p.openClaims = p.openClaims[1:]
	ctx, stop := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer stop()
	if rapid.Bool().Draw(t, "answered") {
		if h.claim.Finish(ctx, answer) == nil {
			m.recorded[h.key] = true
		}
		return
	}
	_ = h.claim.Abandon(ctx)
}

// kill stops a process, discards its open claims and starts a new incarnation.
func (m *machine) kill(t *rapid.T) {
	i := rapid.IntRange(0, len(m.procs)-1).Draw(t, "process")
	m.procs[i].stop()
	m.mu.Lock()
	m.dead[m.procs[i].name] = true
	m.mu.Unlock()
	m.procs[i] = m.startProcess()
}

// fault draws new faults of the table.
func (m *machine) fault(t *rapid.T) {
	m.mem.Down(rapid.IntRange(0, 4).Draw(t, "down") == 0)
	m.mem.LoseAnswers(rapid.SampledFrom([]float64{0, 0.5}).Draw(t, "lose answers"))
	m.mem.LoseRequests(rapid.SampledFrom([]float64{0, 0.5}).Draw(t, "lose requests"))
	m.mem.Slow(rapid.SampledFrom([]time.Duration{0, 0, time.Millisecond, 6 * time.Millisecond}).Draw(t, "slow"))
}

// check checks after every step that no key was dispatched twice and that recorded
// answers persist.
func (m *machine) check(t *rapid.T) {
	for key, n := range m.dispatches {
		assert.Assert(t, n <= 1, "key %s was dispatched %d times", key, n)
	}
	for key := range m.recorded {
		rec, err := m.procs[0].store.Status(context.Background(), "paper", key)
		if errkind.Is(err, errkind.StoreUnavailable) {
			continue
		}
		assert.NilError(t, err)
		assert.Equal(t, rec.State, operation.Done)
	}
}

// TestAtMostOneDispatch runs random requests, process failures and table faults.
func TestAtMostOneDispatch(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := newMachine(t)
		defer func() {
			for _, p := range m.procs {
				p.stop()
			}
		}()
		rt.Repeat(map[string]func(*rapid.T){
			"race":   m.race,
			"settle": m.settle,
			"kill":   m.kill,
			"fault":  m.fault,
			"":       m.check,
		})
	})
}
