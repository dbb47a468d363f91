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

// TestMain fixes the seed of the state machine; -rapid.seed on the command line wins.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "20261203"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// process is one instance's store in the state machine.
type process struct {
	store *Store
	stop  func()
	name  string
	seq   int
	held  []heldClaim // dispatched, not yet settled
}

type heldClaim struct {
	key   string
	claim operation.Claim
}

// fleet drives a few processes over one faulty table and counts dispatches.
type fleet struct {
	t     *testing.T
	mem   *memplatform.Store
	procs []*process
	made  int

	mu   sync.Mutex
	dead map[string]bool
	runs map[string]int  // dispatches by key
	done map[string]bool // keys whose answer was recorded for sure
}

var machineKeys = []string{"a", "b", "c"}

func newFleet(t *testing.T) *fleet {
	f := &fleet{
		t: t, mem: memplatform.New(memplatform.Options{Seed: 7}),
		dead: map[string]bool{}, runs: map[string]int{}, done: map[string]bool{},
	}
	for range 2 {
		f.procs = append(f.procs, f.boot())
	}
	return f
}

func (f *fleet) boot() *process {
	f.made++
	s := quick()
	s.CallTimeout = 4 * time.Millisecond
	s.ClaimTimeout = 30 * time.Millisecond
	s.Drain = 0
	p := &process{name: fmt.Sprintf("e.%d", f.made)}
	p.store, p.stop = launch(f.t, Options{Settings: s, Table: f.mem.For(dc).Table, OwnerDead: f.ownerDead})
	return p
}

func (f *fleet) ownerDead(owner string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name := range f.dead {
		if len(owner) > len(name) && owner[:len(name)+1] == name+"." {
			return true
		}
	}
	return false
}

// request claims a key and, with a claim in hand, dispatches or gives it back.
func (f *fleet) request(p *process, owner, key string, dispatch bool) *heldClaim {
	c, a, err := p.store.Claim(context.Background(), "paper", key, "d", owner)
	if a != nil || err != nil {
		return nil
	}
	if !dispatch {
		_ = c.Release(context.Background())
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runs[key]++
	return &heldClaim{key: key, claim: c}
}

// race sends one request for the key to every process at once.
func (f *fleet) race(t *rapid.T) {
	key := rapid.SampledFrom(machineKeys).Draw(t, "key")
	var wg sync.WaitGroup
	got := make([]*heldClaim, len(f.procs))
	for i, p := range f.procs {
		p.seq++
		owner := fmt.Sprintf("%s.%d", p.name, p.seq)
		dispatch := rapid.IntRange(0, 3).Draw(t, "dispatch") > 0
		wg.Go(func() { got[i] = f.request(p, owner, key, dispatch) })
	}
	wg.Wait()
	for i, h := range got {
		if h != nil {
			f.procs[i].held = append(f.procs[i].held, *h)
		}
	}
}

// settle finishes or abandons the oldest dispatch of a process.
func (f *fleet) settle(t *rapid.T) {
	p := rapid.SampledFrom(f.procs).Draw(t, "process")
	if len(p.held) == 0 {
		t.Skip("nothing dispatched")
	}
	h := p.held[0]
	p.held = p.held[1:]
	ctx, stop := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer stop()
	if rapid.Bool().Draw(t, "answered") {
		if h.claim.Finish(ctx, answer) == nil {
			f.done[h.key] = true
		}
		return
	}
	_ = h.claim.Abandon(ctx)
}

// kill ends a process with all that it holds and starts a new incarnation.
func (f *fleet) kill(t *rapid.T) {
	i := rapid.IntRange(0, len(f.procs)-1).Draw(t, "process")
	f.procs[i].stop()
	f.mu.Lock()
	f.dead[f.procs[i].name] = true
	f.mu.Unlock()
	f.procs[i] = f.boot()
}

// fault sets the faults of the table anew.
func (f *fleet) fault(t *rapid.T) {
	f.mem.Down(rapid.IntRange(0, 4).Draw(t, "down") == 0)
	f.mem.LoseAnswers(rapid.SampledFrom([]float64{0, 0.5}).Draw(t, "lose answers"))
	f.mem.LoseRequests(rapid.SampledFrom([]float64{0, 0.5}).Draw(t, "lose requests"))
	f.mem.Slow(rapid.SampledFrom([]time.Duration{0, 0, time.Millisecond, 6 * time.Millisecond}).Draw(t, "slow"))
}

// check holds after every step: no key is dispatched twice, and a recorded answer
// stays.
func (f *fleet) check(t *rapid.T) {
	for key, n := range f.runs {
		assert.Assert(t, n <= 1, "key %s was dispatched %d times", key, n)
	}
	for key := range f.done {
		rec, err := f.procs[0].store.Status(context.Background(), "paper", key)
		if errkind.Is(err, errkind.StoreUnavailable) {
			continue
		}
		assert.NilError(t, err)
		assert.Equal(t, rec.State, operation.Done)
	}
}

// TestAtMostOneDispatch runs random requests, deaths and faults of the table.
func TestAtMostOneDispatch(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newFleet(t)
		defer func() {
			for _, p := range f.procs {
				p.stop()
			}
		}()
		rt.Repeat(map[string]func(*rapid.T){
			"race":   f.race,
			"settle": f.settle,
			"kill":   f.kill,
			"fault":  f.fault,
			"":       f.check,
		})
	})
}
