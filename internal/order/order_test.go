package order

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"carawayrouter.example/router/internal/clock"
	"carawayrouter.example/router/internal/config"
	"carawayrouter.example/router/internal/endpoint"
	"carawayrouter.example/router/internal/shard"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "7") // the command line may set another
	m.Run()
}

// testbed is one engine, its configuration and the homes that order it.
type testbed struct {
	clock   *clock.Fake
	fencing bool
	home    int // index of the process that is home
	epoch   uint64
	state   *config.State
	version string
	ticket  uint64

	mu           sync.Mutex
	engine       endpoint.Order // as the engine took it last
	highestEpoch uint64
	loseOrders   bool // orders time out, and reach the engine later or never
	inTransit    []lateOrder
	accepted     []endpoint.Order
	refused      int
}

// lateOrder is an order under way after its sender gave up on it.
type lateOrder struct {
	order endpoint.Order
	sent  time.Time
}

// homeView is what one process believes.
type homeView struct {
	*testbed
	self int
	cut  bool // has stopped acting
}

func (h *homeView) Held(shard.Key) (uint64, bool) { return h.epoch, h.home == h.self && !h.cut }
func (s *testbed) Current() *config.State         { return s.state }
func (s *testbed) Age() time.Duration             { return 0 }

// engineStub takes orders; other methods are not called.
type engineStub struct {
	endpoint.Engine
	*testbed
}

func (e engineStub) Order(_ context.Context, o endpoint.Order) (endpoint.OrderResult, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.loseOrders {
		e.inTransit = append(e.inTransit, lateOrder{o, e.clock.Now()})
		return endpoint.OrderResult{}, context.DeadlineExceeded
	}
	return e.accept(o)
}

func (s *testbed) accept(o endpoint.Order) (endpoint.OrderResult, error) {
	if s.fencing && o.Epoch < s.highestEpoch {
		s.refused++
		return endpoint.OrderResult{}, endpoint.ErrStaleEpoch
	}
	s.engine, s.highestEpoch = o, max(s.highestEpoch, o.Epoch)
	s.accepted = append(s.accepted, o)
	if !s.fencing {
		return endpoint.OrderResult{}, nil
	}
	return endpoint.OrderResult{Epoch: s.highestEpoch}, nil
}

// deliverLate delivers the orders under way; those older than the life of an order never
// arrive at an engine that ignores epochs.
func (s *testbed) deliverLate() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.inTransit {
		if s.fencing || s.clock.Now().Sub(l.sent) <= DefaultOrderTimeout {
			_, _ = s.accept(l.order)
		}
	}
	s.inTransit = nil
}

func newTestbed(fencing bool) *testbed {
	s := &testbed{clock: clock.NewFake(time.Unix(1000, 0)), fencing: fencing, epoch: 1}
	s.configure()
	return s
}

// configure puts the next ticket in force, which asks for a version of its number.
func (s *testbed) configure() {
	s.ticket++
	version := fmt.Sprintf("v%d", s.ticket)
	s.version = version
	s.state = config.Build(s.ticket, &config.Objects{
		Pools: []*config.Pool{{Name: "p", Kind: config.ModelPool, Model: "m", Version: version, Adapters: []string{"b", "a"}}},
		Endpoints: []*config.Endpoint{
			{Name: "e", Pool: "p", DataCentre: "a", Role: config.Decode, Fencing: s.fencing},
			{Name: "leaving", Pool: "p", DataCentre: "a", Role: config.Decode, Leaving: true},
		},
	})
}

func (s *testbed) controller(self int) (*Controller, *homeView) {
	h := &homeView{testbed: s, self: self}
	return NewController(Options{
		Home: string(rune('A' + self)), Shards: h, Config: s, Clock: s.clock, Rand: rand.New(rand.NewPCG(1, uint64(self))),
		Engines: func(*config.Endpoint) endpoint.Engine { return engineStub{testbed: s} },
	}), h
}

// rank returns the shard epoch of an order and the ticket of the state that it sets.
func rank(o endpoint.Order) []uint64 {
	ticket, err := strconv.ParseUint(strings.TrimPrefix(o.Version, "v"), 10, 64)
	if err != nil {
		panic(err)
	}
	return []uint64{o.Epoch >> ticketBits, ticket}
}

func runRound(c *Controller) {
	c.Round(context.Background())
	c.wg.Wait()
}

func (s *testbed) run(d time.Duration, cs ...*Controller) {
	for end := s.clock.Now().Add(d); s.clock.Now().Before(end); {
		s.clock.Advance(DefaultRoundEvery)
		for _, c := range cs {
			runRound(c)
		}
	}
}

func TestOrderCarriesWholeStateAndIsRepeated(t *testing.T) {
	s := newTestbed(true)
	c, _ := s.controller(0)
	s.run(time.Second, c)
	assert.DeepEqual(t, s.engine, endpoint.Order{
		Epoch: token(1, 1), Home: "A", Model: "m", Version: "v1", Adapters: []string{"a", "b"}, Role: "decode",
	})
	assert.Equal(t, len(s.accepted), 1)
	s.run(2*DefaultReassertEvery, c)
	assert.Assert(t, len(s.accepted) > 1, "an engine that was restarted gets its state again")
	s.configure()
	s.run(time.Second, c)
	assert.Equal(t, s.engine.Version, "v2")
	assert.DeepEqual(t, c.Status(), []Status{{Endpoint: "e", Epoch: 1, Acked: true}})
}

func TestOrderIsRetriedUntilAcknowledged(t *testing.T) {
	s := newTestbed(true)
	c, _ := s.controller(0)
	s.loseOrders = true
	s.run(10*time.Second, c)
	assert.Assert(t, !c.Status()[0].Acked)
	s.loseOrders, s.inTransit = false, nil
	s.run(DefaultRetryMax*2, c)
	assert.Assert(t, c.Status()[0].Acked)
}

func TestNewHomeWaitsWhereEpochsAreIgnored(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		s := newTestbed(fencing)
		c, h := s.controller(1)
		s.home, s.epoch = 1, 2
		s.run(DefaultOrderTimeout, c)
		assert.Equal(t, len(s.accepted) > 0, fencing)
		s.run(2*settleMargin, c)
		assert.Equal(t, len(s.accepted), 1)
		h.cut = true
		s.run(2*DefaultReassertEvery, c)
		assert.Equal(t, len(s.accepted), 1, "a home that may not act gives no orders")
	}
}

// An order is lost on its way; a ticket changes the state before it could arrive.
func TestLostOrderIsWaitedOutWhereEpochsAreIgnored(t *testing.T) {
	for _, interrupted := range []bool{true, false} {
		s := newTestbed(false)
		c, h := s.controller(0)
		s.loseOrders = true
		runRound(c)
		s.loseOrders = false
		s.configure()
		h.cut = interrupted
		s.run(time.Second, c)
		h.cut = false
		s.run(DefaultOrderTimeout-time.Second, c)
		s.deliverLate()
		assert.Equal(t, len(s.accepted), 1)
		s.run(2*settleMargin, c)
		assert.Equal(t, s.engine.Version, s.version)
	}
}

// A home is paused between preparing an order and sending it.
func TestPausedHomeDoesNotSend(t *testing.T) {
	s := newTestbed(false)
	c, h := s.controller(0)
	c.opts.Engines = func(*config.Endpoint) endpoint.Engine {
		s.clock.Advance(time.Minute)
		return engineStub{testbed: s}
	}
	runRound(c)
	assert.Equal(t, len(s.accepted), 0)
	c.opts.Engines = func(*config.Endpoint) endpoint.Engine {
		h.cut = true
		return engineStub{testbed: s}
	}
	s.run(time.Minute, c)
	assert.Equal(t, len(s.accepted), 0)
}

func TestEndpointThatOnlyClaimsToFenceIsReported(t *testing.T) {
	s := newTestbed(true)
	c, _ := s.controller(0)
	s.fencing = false
	s.run(time.Second, c)
	assert.Equal(t, c.Status()[0].Error, errNotFencing.Error())
}

// Homes change, orders are lost or land late, tickets change the desired state: the
// engine never goes back to an earlier home's order, nor to an earlier state of the
// same home, and ends in the desired state.
func TestEngineNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newTestbed(rapid.Bool().Draw(t, "fencing"))
		var cs []*Controller
		var homes []*homeView
		for i := range 3 {
			c, h := s.controller(i)
			cs, homes = append(cs, c), append(homes, h)
		}
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				for i := 1; i < len(s.accepted); i++ {
					a, b := rank(s.accepted[i-1]), rank(s.accepted[i])
					assert.Assert(t, slices.Compare(a, b) <= 0, "order %v was taken after %v", b, a)
				}
			},
			"run": func(t *rapid.T) {
				s.run(time.Duration(rapid.IntRange(1, 20).Draw(t, "seconds"))*time.Second, cs...)
			},
			"round": func(t *rapid.T) { runRound(cs[rapid.IntRange(0, 2).Draw(t, "home")]) },
			"move": func(t *rapid.T) {
				s.home = rapid.IntRange(0, 2).Draw(t, "home")
				s.epoch++
			},
			"cut":    func(t *rapid.T) { homes[s.home].cut = rapid.Bool().Draw(t, "cut") },
			"ticket": func(*rapid.T) { s.configure() },
			"lose":   func(t *rapid.T) { s.loseOrders = rapid.Bool().Draw(t, "lost") },
			"land":   func(*rapid.T) { s.deliverLate() },
		})
		s.loseOrders = false
		for _, h := range homes {
			h.cut = false
		}
		s.run(2*DefaultReassertEvery, cs...)
		assert.Equal(t, s.engine.Version, s.version)
	})
}
