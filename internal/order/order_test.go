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
	_ = flag.Set("rapid.seed", "7") // a seed on the command line takes precedence
	m.Run()
}

// testbed is one engine, its configuration and the homes that send it orders.
type testbed struct {
	clock   *clock.Fake
	fencing bool
	home    int // index of the process that is home
	epoch   uint64
	state   *config.State
	version string
	ticket  uint64

	mu           sync.Mutex
	engine       endpoint.Order // last order that the engine accepted
	highestEpoch uint64
	loseOrders   bool // orders time out at the sender, and reach the engine later or never
	inTransit    []lateOrder
	accepted     []endpoint.Order
	refused      int
}

// lateOrder is an order still in transit after its sender has timed out.
type lateOrder struct {
	order endpoint.Order
	sent  time.Time
}

// homeView is one process's view of the testbed.
type homeView struct {
	*testbed
	self int
	cut  bool // may not act as home
}

func (h *homeView) Held(shard.Key) (uint64, bool) { return h.epoch, h.home == h.self && !h.cut }
func (tb *testbed) Current() *config.State        { return tb.state }
func (tb *testbed) Age() time.Duration            { return 0 }

// engineStub accepts orders; its other methods are not called.
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

func (tb *testbed) accept(o endpoint.Order) (endpoint.OrderResult, error) {
	if tb.fencing && o.Epoch < tb.highestEpoch {
		tb.refused++
		return endpoint.OrderResult{}, endpoint.ErrStaleEpoch
	}
	tb.engine, tb.highestEpoch = o, max(tb.highestEpoch, o.Epoch)
	tb.accepted = append(tb.accepted, o)
	if !tb.fencing {
		return endpoint.OrderResult{}, nil
	}
	return endpoint.OrderResult{Epoch: tb.highestEpoch}, nil
}

// deliverLate delivers the orders in transit. An engine that ignores epochs does not
// receive those older than DefaultOrderTimeout.
func (tb *testbed) deliverLate() {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	for _, l := range tb.inTransit {
		if tb.fencing || tb.clock.Now().Sub(l.sent) <= DefaultOrderTimeout {
			_, _ = tb.accept(l.order)
		}
	}
	tb.inTransit = nil
}

func newTestbed(fencing bool) *testbed {
	tb := &testbed{clock: clock.NewFake(time.Unix(1000, 0)), fencing: fencing, epoch: 1}
	tb.configure()
	return tb
}

// configure puts the next ticket in force; the model version is numbered after it.
func (tb *testbed) configure() {
	tb.ticket++
	version := fmt.Sprintf("v%d", tb.ticket)
	tb.version = version
	tb.state = config.Build(tb.ticket, &config.Objects{
		Pools: []*config.Pool{{Name: "p", Kind: config.ModelPool, Model: "m", Version: version, Adapters: []string{"b", "a"}}},
		Endpoints: []*config.Endpoint{
			{Name: "e", Pool: "p", DataCentre: "a", Role: config.Decode, Fencing: tb.fencing},
			{Name: "leaving", Pool: "p", DataCentre: "a", Role: config.Decode, Leaving: true},
		},
	})
}

func (tb *testbed) controller(self int) (*Controller, *homeView) {
	h := &homeView{testbed: tb, self: self}
	return NewController(Options{
		Home: string(rune('A' + self)), Shards: h, Config: tb, Clock: tb.clock, Rand: rand.New(rand.NewPCG(1, uint64(self))),
		Engines: func(*config.Endpoint) endpoint.Engine { return engineStub{testbed: tb} },
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

func (tb *testbed) run(d time.Duration, cs ...*Controller) {
	for end := tb.clock.Now().Add(d); tb.clock.Now().Before(end); {
		tb.clock.Advance(DefaultRoundEvery)
		for _, c := range cs {
			runRound(c)
		}
	}
}

func TestOrderCarriesWholeStateAndIsRepeated(t *testing.T) {
	tb := newTestbed(true)
	c, _ := tb.controller(0)
	tb.run(time.Second, c)
	assert.DeepEqual(t, tb.engine, endpoint.Order{
		Epoch: token(1, 1), Home: "A", Model: "m", Version: "v1", Adapters: []string{"a", "b"}, Role: "decode",
	})
	assert.Equal(t, len(tb.accepted), 1)
	tb.run(2*DefaultReassertEvery, c)
	assert.Assert(t, len(tb.accepted) > 1, "orders are repeated, for an engine that was restarted")
	tb.configure()
	tb.run(time.Second, c)
	assert.Equal(t, tb.engine.Version, "v2")
	assert.DeepEqual(t, c.Status(), []Status{{Endpoint: "e", Epoch: 1, Acked: true}})
}

func TestOrderIsRetriedUntilAcknowledged(t *testing.T) {
	tb := newTestbed(true)
	c, _ := tb.controller(0)
	tb.loseOrders = true
	tb.run(10*time.Second, c)
	assert.Assert(t, !c.Status()[0].Acked)
	tb.loseOrders, tb.inTransit = false, nil
	tb.run(DefaultRetryMax*2, c)
	assert.Assert(t, c.Status()[0].Acked)
}

func TestNewHomeWaitsWhereEpochsAreIgnored(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		tb := newTestbed(fencing)
		c, h := tb.controller(1)
		tb.home, tb.epoch = 1, 2
		tb.run(DefaultOrderTimeout, c)
		assert.Equal(t, len(tb.accepted) > 0, fencing)
		tb.run(2*settleMargin, c)
		assert.Equal(t, len(tb.accepted), 1)
		h.cut = true
		tb.run(2*DefaultReassertEvery, c)
		assert.Equal(t, len(tb.accepted), 1, "a home that may not act sends no orders")
	}
}

// An order times out while it is in transit, and a ticket changes the desired state. The
// next order must wait until the first one can no longer arrive.
func TestLostOrderIsWaitedOutWhereEpochsAreIgnored(t *testing.T) {
	for _, interrupted := range []bool{true, false} {
		tb := newTestbed(false)
		c, h := tb.controller(0)
		tb.loseOrders = true
		runRound(c)
		tb.loseOrders = false
		tb.configure()
		h.cut = interrupted
		tb.run(time.Second, c)
		h.cut = false
		tb.run(DefaultOrderTimeout-time.Second, c)
		tb.deliverLate()
		assert.Equal(t, len(tb.accepted), 1)
		tb.run(2*settleMargin, c)
		assert.Equal(t, tb.engine.Version, tb.version)
	}
}

// A home that is paused between preparing an order and sending it must not send it.
func TestPausedHomeDoesNotSend(t *testing.T) {
	tb := newTestbed(false)
	c, h := tb.controller(0)
	c.opts.Engines = func(*config.Endpoint) endpoint.Engine {
		tb.clock.Advance(time.Minute)
		return engineStub{testbed: tb}
	}
	runRound(c)
	assert.Equal(t, len(tb.accepted), 0)
	c.opts.Engines = func(*config.Endpoint) endpoint.Engine {
		h.cut = true
		return engineStub{testbed: tb}
	}
	tb.run(time.Minute, c)
	assert.Equal(t, len(tb.accepted), 0)
}

func TestEndpointThatOnlyClaimsToFenceIsReported(t *testing.T) {
	tb := newTestbed(true)
	c, _ := tb.controller(0)
	tb.fencing = false
	tb.run(time.Second, c)
	assert.Equal(t, c.Status()[0].Error, errNotFencing.Error())
}

// Homes change, orders are lost or arrive late, tickets change the desired state: the
// engine never reverts to an order of an earlier home or to an earlier state of the same
// home, and ends in the desired state.
func TestEngineNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tb := newTestbed(rapid.Bool().Draw(t, "fencing"))
		var cs []*Controller
		var homes []*homeView
		for i := range 3 {
			c, h := tb.controller(i)
			cs, homes = append(cs, c), append(homes, h)
		}
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				for i := 1; i < len(tb.accepted); i++ {
					a, b := rank(tb.accepted[i-1]), rank(tb.accepted[i])
					assert.Assert(t, slices.Compare(a, b) <= 0, "order %v was accepted after %v", b, a)
				}
			},
			"run": func(t *rapid.T) {
				tb.run(time.Duration(rapid.IntRange(1, 20).Draw(t, "seconds"))*time.Second, cs...)
			},
			"round": func(t *rapid.T) { runRound(cs[rapid.IntRange(0, 2).Draw(t, "home")]) },
			"move": func(t *rapid.T) {
				tb.home = rapid.IntRange(0, 2).Draw(t, "home")
				tb.epoch++
			},
			"cut":    func(t *rapid.T) { homes[tb.home].cut = rapid.Bool().Draw(t, "cut") },
			"ticket": func(*rapid.T) { tb.configure() },
			"lose":   func(t *rapid.T) { tb.loseOrders = rapid.Bool().Draw(t, "lost") },
			"land":   func(*rapid.T) { tb.deliverLate() },
		})
		tb.loseOrders = false
		for _, h := range homes {
			h.cut = false
		}
		tb.run(2*DefaultReassertEvery, cs...)
		assert.Equal(t, tb.engine.Version, tb.version)
	})
}
