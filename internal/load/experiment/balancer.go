package experiment

import (
	"context"
	"sync/atomic"
	"time"

	"carawayrouter.example/router/internal/fleet"
	"carawayrouter.example/router/internal/platform"
)

// listPollInterval is the interval between polls of the platform's instance list.
const listPollInterval = 100 * time.Millisecond

// balancer selects entry instances round-robin among those that the platform's list
// reports as live, like the platform's own load balancer.
type balancer struct {
	fleet *fleet.Fleet
	live  atomic.Pointer[[]*fleet.Entry]
	next  atomic.Uint64
}

func newBalancer(f *fleet.Fleet) *balancer {
	b := &balancer{fleet: f}
	all := append([]*fleet.Entry(nil), f.Entries...)
	b.live.Store(&all)
	return b
}

// run polls the list until ctx is done.
func (b *balancer) run(ctx context.Context) error {
	list := b.fleet.Store.For(b.fleet.Deployment.DataCentres[0].Name).Instances
	for {
		if found, err := list.List(ctx); err == nil {
			b.setInstances(found)
		}
		if err := sleep(ctx, listPollInterval); err != nil {
			return err
		}
	}
}

// setInstances updates the live instances, and keeps the previous ones if none is live.
func (b *balancer) setInstances(list []platform.Instance) {
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
	return live[b.next.Add(1)%uint64(len(live))]
}

// count returns the number of live instances.
func (b *balancer) count() int { return len(*b.live.Load()) }
