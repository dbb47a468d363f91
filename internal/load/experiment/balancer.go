package experiment

import (
	"context"
	"sync/atomic"
	"time"

	"carawayrouter.example/router/internal/fleet"
	"carawayrouter.example/router/internal/platform"
)

// balancerInterval is the time between two looks at the platform's list.
const balancerInterval = 100 * time.Millisecond

// balancer picks entry instances in turn among those that the platform's list shows as
// live, as the platform's own balancer does.
type balancer struct {
	fleet *fleet.Fleet
	live  atomic.Pointer[[]*fleet.Entry]
	turn  atomic.Uint64
}

func newBalancer(f *fleet.Fleet) *balancer {
	b := &balancer{fleet: f}
	all := append([]*fleet.Entry(nil), f.Entries...)
	b.live.Store(&all)
	return b
}

// run follows the list until ctx ends.
func (b *balancer) run(ctx context.Context) error {
	list := b.fleet.Store.For(b.fleet.Deployment.DataCentres[0].Name).Instances
	for {
		if found, err := list.List(ctx); err == nil {
			b.update(found)
		}
		if err := sleep(ctx, balancerInterval); err != nil {
			return err
		}
	}
}

// update keeps the last instances when the list shows none.
func (b *balancer) update(list []platform.Instance) {
	var live []*fleet.Entry
	for _, e := range b.fleet.Entries {
		for _, i := range list {
			if i.Name == e.Name() && i.State == platform.Live {
				live = append(live, e)
			}
		}
	}
	if len(live) > 0 {
		b.live.Store(&live)
	}
}

// pick returns the next instance.
func (b *balancer) pick() *fleet.Entry {
	live := *b.live.Load()
	return live[b.turn.Add(1)%uint64(len(live))]
}

// count returns the number of instances in turn.
func (b *balancer) count() int { return len(*b.live.Load()) }
